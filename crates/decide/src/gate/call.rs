//! What goes into a gate and what comes out of it.

use super::{SlotKey, TicketKey};
use crate::{priority::CallPriority, time::MonoTime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a backend server announced about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Not ready for calls.
    Starting,
    /// Takes calls.
    Serving,
    /// Finishes what it has and takes no more.
    Leaving,
}

/// A call that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Priority of its chain.
    pub priority: CallPriority,
    /// Point by which its answer must be on its way.
    pub deadline: MonoTime,
    /// Whether another backend server makes it as part of a chain.
    pub is_nested: bool,
}

/// Why a call was refused; it did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Its priority is below the gate's level.
    Level,
    /// It cannot finish in its remaining time.
    Deadline,
    /// The queue is full of calls that are as important.
    Full,
    /// The server has not started yet.
    Starting,
    /// The server is leaving.
    Leaving,
}

/// A refusal, final for this server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// The gate's level.
    pub level: CallPriority,
    /// When to come back, to be spread by [`crate::retry::jitter_retry_after`].
    pub retry_after: Duration,
}

/// What becomes of an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// Run it now.
    Admit(SlotKey),
    /// It waits; exactly one [`GateEvent`] or a [`super::ServerGate::cancel`] ends that.
    Queue(TicketKey),
    /// Answer the refusal now.
    Refuse(GateRefusal),
}

/// The end of a call's wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateEvent {
    /// Run it now.
    Admitted {
        /// The call that waited.
        ticket: TicketKey,
        /// Its slot.
        slot: SlotKey,
    },
    /// Answer the refusal now.
    Refused {
        /// The call that waited.
        ticket: TicketKey,
        /// The refusal.
        refusal: GateRefusal,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// With a whole answer.
    Answered,
    /// The server shed it; it did not run.
    Shed,
    /// With an error of the server or of a child call.
    Failed,
    /// The connection or the server was lost.
    Lost,
    /// The caller went away or the deadline passed.
    Cancelled,
}

/// Load of a gate, for routing and for the dump.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Least important priority that is let in.
    pub level: CallPriority,
    /// Mean time that a call holds its slot, in microseconds.
    pub hold_micros: u64,
    /// The same without its child calls: a server that is slow itself tells itself by this.
    pub own_micros: u64,
}

/// Counts since the gate was made.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateCounts {
    /// Calls that got a slot.
    pub admitted: u64,
    /// Calls refused for their priority.
    pub refused_level: u64,
    /// Calls refused for their remaining time.
    pub refused_deadline: u64,
    /// Calls refused by a full queue.
    pub refused_full: u64,
    /// Calls refused because the server starts or leaves.
    pub refused_state: u64,
}
