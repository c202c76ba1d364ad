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
    pub(super) struct MakeKey;
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
    pub(super) runs: [u16; 4],
    pub(super) retries: u32,
    /// Server time spent on it.
    pub(super) work: Duration,
}

/// A call made by a daemon, over all its tries.
pub(super) struct MakeRecord {
    pub(super) request: usize,
    pub(super) attempt: u32,
    pub(super) parent: Option<RunKey>,
    /// Position in the chain.
    pub(super) step: usize,
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
    Travelling,
    Queued(TicketKey),
    /// In the server's own queue.
    Backlog,
    Working,
    WaitingForChild,
}

/// One run of a call.
pub(super) struct RunRecord {
    pub(super) make: MakeKey,
    pub(super) request: usize,
    pub(super) step: usize,
    pub(super) server: usize,
    pub(super) phase: RunPhase,
    pub(super) slot: Option<SlotKey>,
    pub(super) budget: RetryBudget,
    pub(super) deadline: MonoTime,
    pub(super) priority: CallPriority,
    /// The levels heard from deeper services.
    pub(super) levels: ServiceLevels,
    pub(super) own_time: Duration,
    pub(super) child: Option<MakeKey>,
    pub(super) child_since: MonoTime,
    pub(super) child_time: Duration,
}

/// The level that each service has stated, if any.
pub(super) type ServiceLevels = [Option<CallPriority>; 4];

/// What comes back to the daemon that made a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallAnswer {
    pub(super) outcome: CallOutcome,
    pub(super) given_up: bool,
    /// Whether the server was lost, in place of a refusal or an error of its own.
    pub(super) is_lost: bool,
    pub(super) unused: u32,
    /// The gate's level, for the choice of the server.
    pub(super) gate_level: CallPriority,
    /// The levels of the gates on the way down.
    pub(super) levels: ServiceLevels,
}

impl CallAnswer {
    /// Returns the answer of a daemon that refuses without a gate.
    pub(super) fn refused() -> CallAnswer {
        CallAnswer {
            outcome: CallOutcome::NotRun,
            given_up: true,
            is_lost: false,
            unused: 0,
            gate_level: CallPriority::LOWEST,
            levels: ServiceLevels::default(),
        }
    }

    /// Returns the answer of a connection that broke.
    pub(super) fn lost(outcome: CallOutcome) -> CallAnswer {
        CallAnswer {
            outcome,
            given_up: false,
            is_lost: true,
            ..CallAnswer::refused()
        }
    }
}
