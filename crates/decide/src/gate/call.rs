//! Inputs and outputs of a gate.

use super::{SlotKey, TicketKey};
use crate::{priority::CallPriority, time::MonoTime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// State that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Not ready for calls.
    Starting,
    /// Accepts calls.
    Serving,
    /// Finishes its running calls and accepts no new ones.
    Leaving,
}

/// A call that requests a slot.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Priority of the call's chain.
    pub priority: CallPriority,
    /// Time by which the call must have finished.
    pub deadline: MonoTime,
    /// Whether a backend server makes the call on behalf of a request that it runs.
    pub is_nested: bool,
}

/// Why a call was refused without running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The call is less important than the gate's level.
    Level,
    /// The call cannot finish in its remaining time.
    Deadline,
    /// The queue is full of calls that are at least as important.
    Full,
    /// The server has not started yet.
    Starting,
    /// The server is leaving.
    Leaving,
}

/// The refusal of a call; final for this server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateRefusal {
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// The gate's level.
    pub level: CallPriority,
    /// Time after which to try again, before [`crate::retry::jitter_retry_after`].
    pub retry_after: Duration,
}

/// The decision on an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The call runs now.
    Admit(SlotKey),
    /// The call waits until exactly one [`GateEvent`] or a [`super::ServerGate::cancel`].
    Queue(TicketKey),
    /// The call is refused.
    Refuse(GateRefusal),
}

/// The end of a queued call's wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateEvent {
    /// The call runs now.
    Admitted {
        /// The queued call.
        ticket: TicketKey,
        /// The slot in which it runs.
        slot: SlotKey,
    },
    /// The call is refused.
    Refused {
        /// The queued call.
        ticket: TicketKey,
        /// Reason, level and retry-after for the caller.
        refusal: GateRefusal,
    },
}

/// How an admitted call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The server sent a complete response.
    Answered,
    /// The server shed the call without running it.
    Shed,
    /// The server or a child call failed.
    Failed,
    /// The connection or the server was lost.
    Lost,
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

/// Load of a gate, used for routing and written to the dump.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateLoad {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub queued: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Least important priority that is admitted.
    pub level: CallPriority,
    /// Mean time for which a call holds its slot, in microseconds.
    pub hold_micros: u64,
    /// The same without the time spent waiting for child calls, in microseconds; shows whether the
    /// server itself is slow.
    pub own_micros: u64,
}

/// Counts of calls since the gate was created.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateCounts {
    /// Calls that got a slot.
    pub admitted: u64,
    /// Calls refused because of their priority.
    pub refused_level: u64,
    /// Calls refused because they could not finish in their remaining time.
    pub refused_deadline: u64,
    /// Calls refused because the queue was full.
    pub refused_full: u64,
    /// Calls refused because the server was starting or leaving.
    pub refused_state: u64,
}
