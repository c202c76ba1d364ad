//! Requests of callers, the calls that daemons make for them, and their runs at servers.

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
    /// One run of a call at a server, or on its way there.
    pub(super) struct RunKey;
}

/// A caller's request over all its attempts.
pub(super) struct RequestRecord {
    pub(super) chain: usize,
    pub(super) zone: usize,
    pub(super) id: RequestId,
    pub(super) hash: RequestHash,
    pub(super) arrived: MonoTime,
    pub(super) is_answered: bool,
    /// The attempt under way.
    pub(super) attempt: u32,
    pub(super) runs_by_service: [u16; 4],
    pub(super) retries: u32,
    /// Server time spent on it.
    pub(super) server_time: Duration,
}

/// A call made by a daemon, over all its tries.
pub(super) struct CallRecord {
    pub(super) request: usize,
    pub(super) attempt: u32,
    pub(super) parent: Option<RunKey>,
    /// Position in the chain.
    pub(super) depth: usize,
    pub(super) zone: usize,
    pub(super) priority: CallPriority,
    pub(super) deadline: MonoTime,
    pub(super) budget: RetryBudget,
    /// The lease that the parent's budget gave to this call.
    pub(super) lease: Option<RetryLease>,
    pub(super) tried: Vec<ServerKey>,
    pub(super) current: Option<CurrentTry>,
}

/// The try under way of a call.
pub(super) struct CurrentTry {
    pub(super) run: RunKey,
    pub(super) lease: RetryLease,
    pub(super) stats: Arc<ServerStats>,
    pub(super) sent: MonoTime,
    pub(super) _in_flight: InFlightGuard,
}

/// Where a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    InTransit,
    QueuedAtGate(TicketKey),
    /// In the server's own queue.
    QueuedAtServer,
    Working,
    WaitingForChild,
}

/// One run of a call.
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
    /// The levels received from deeper services.
    pub(super) levels: ServiceLevels,
    pub(super) own_time: Duration,
    pub(super) child: Option<CallKey>,
    pub(super) child_started: MonoTime,
    pub(super) child_time: Duration,
}

/// The level that each service has stated, if any.
pub(super) type ServiceLevels = [Option<CallPriority>; 4];

/// What comes back to the daemon that made a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallReply {
    pub(super) outcome: CallOutcome,
    pub(super) given_up: bool,
    /// Whether the server was lost, in place of a refusal or an error of its own.
    pub(super) is_lost: bool,
    pub(super) unused_retries: u32,
    /// The gate's level, for the choice of the server.
    pub(super) gate_level: CallPriority,
    /// The levels of the gates on the way down.
    pub(super) levels: ServiceLevels,
}

impl CallReply {
    /// Returns the reply of a daemon that refuses without a gate.
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

    /// Returns the reply of a connection that broke.
    pub(super) fn lost(outcome: CallOutcome) -> CallReply {
        CallReply {
            outcome,
            given_up: false,
            is_lost: true,
            ..CallReply::refused()
        }
    }
}
