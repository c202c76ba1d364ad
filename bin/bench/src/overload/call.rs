//! Records of callers' requests, the calls that daemons make for them, and their runs at servers.

use agatehill_decide::{
    gate::{SlotKey, TicketKey},
    name::RequestId,
    outcome::CallOutcome,
    priority::CallPriority,
    retry::{RetryBudget, RetryLease},
    route::{InFlightGuard, RequestHash, ServerKey, ServerStats},
    time::MonoTime,
};
use slotmap::new_key_type;
use std::{sync::Arc, time::Duration};

new_key_type! {
    /// A call that a daemon makes.
    pub(super) struct CallKey;
    /// A run of a call at a server, or in transit to it.
    pub(super) struct RunKey;
}

/// A caller's request, with all its attempts.
pub(super) struct RequestRecord {
    /// Index of the operation's chain in the deployment.
    pub(super) chain: usize,
    pub(super) zone: usize,
    pub(super) id: RequestId,
    pub(super) hash: RequestHash,
    pub(super) arrived: MonoTime,
    pub(super) is_answered: bool,
    /// Number of the current attempt; the first is 0.
    pub(super) attempt: u32,
    /// Number of runs at each service.
    pub(super) runs_by_service: [u16; 4],
    /// Number of retries, resends included.
    pub(super) retries: u32,
    /// Time that servers spent on it.
    pub(super) server_time: Duration,
}

/// A call made by a daemon, with all its tries.
pub(super) struct CallRecord {
    pub(super) request: usize,
    pub(super) attempt: u32,
    /// Run that makes the call; `None` for a call from a caller.
    pub(super) parent: Option<RunKey>,
    /// Index of the called service in the chain.
    pub(super) depth: usize,
    pub(super) zone: usize,
    pub(super) priority: CallPriority,
    pub(super) deadline: MonoTime,
    pub(super) budget: RetryBudget,
    /// Lease of this call from the retry budget of its parent.
    pub(super) lease: Option<RetryLease>,
    pub(super) tried: Vec<ServerKey>,
    pub(super) current: Option<CurrentTry>,
}

/// The current try of a call.
pub(super) struct CurrentTry {
    pub(super) run: RunKey,
    pub(super) lease: RetryLease,
    pub(super) stats: Arc<ServerStats>,
    pub(super) sent: MonoTime,
    pub(super) _in_flight: InFlightGuard,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    InTransit,
    QueuedAtGate(TicketKey),
    /// In the server's own queue.
    QueuedAtServer,
    Working,
    WaitingForChild,
}

/// A run of a call.
pub(super) struct RunRecord {
    pub(super) call: CallKey,
    pub(super) request: usize,
    pub(super) depth: usize,
    pub(super) server: usize,
    pub(super) phase: RunPhase,
    pub(super) slot: Option<SlotKey>,
    pub(super) budget: RetryBudget,
    pub(super) deadline: MonoTime,
    pub(super) priority: CallPriority,
    /// Levels received from services further down the chain.
    pub(super) levels: ServiceLevels,
    /// Time of the run, without its child call.
    pub(super) own_time: Duration,
    pub(super) child: Option<CallKey>,
    pub(super) child_started: MonoTime,
    /// Time spent waiting for the child call; zero before its reply.
    pub(super) child_time: Duration,
}

/// The level last received from each service.
pub(super) type ServiceLevels = [Option<CallPriority>; 4];

/// The reply to a try, or the final reply to a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallReply {
    pub(super) outcome: CallOutcome,
    /// Whether a deeper hop has stopped retrying.
    pub(super) given_up: bool,
    /// Whether the server or the connection was lost, as opposed to a refusal or a server's error.
    pub(super) is_lost: bool,
    /// Unused retries, returned to the budget of the sender.
    pub(super) unused_retries: u32,
    /// Level of the server's gate, for routing.
    pub(super) gate_level: CallPriority,
    /// Levels of the gates along the chain, for shedding at the entry.
    pub(super) levels: ServiceLevels,
}

impl CallReply {
    /// Returns the reply of a daemon that did not send the call to any server.
    pub(super) fn refused() -> CallReply {
        CallReply {
            outcome: CallOutcome::NotRun,
            given_up: true,
            is_lost: false,
            unused_retries: 0,
            gate_level: CallPriority::LOWEST,
            levels: ServiceLevels::default(),
        }
    }

    /// Returns the reply for a lost server or connection.
    pub(super) fn lost(outcome: CallOutcome) -> CallReply {
        CallReply {
            outcome,
            given_up: false,
            is_lost: true,
            ..CallReply::refused()
        }
    }
}
