//! The slot of a running request, and its count against its route's limit.

use super::{HostServer, SlotRequest};
use agatehill_decide::{
    call_parent::{ParentKey, ParentRequest},
    gate_selection::RouteKey,
    time::MonoTime,
};
use std::time::Duration;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotOutcome {
    /// It was cancelled, its time ran out or its response was not valid.
    Unfinished,
    /// The server responded without a server error.
    Succeeded,
    /// The request was not sent, the connection was lost, the server shed the request or it responded
    /// with a server error. The duration is no valid sample.
    Failed,
}

/// A request counted against its route's limit; dropping it ends the count.
pub(super) struct RouteGuard {
    pub(super) server: HostServer,
    pub(super) generation: u64,
    pub(super) request: SlotRequest,
    pub(super) outcome: SlotOutcome,
}

impl RouteGuard {
    /// Returns whether the request was late, or `None` if its outcome gives no evidence.
    fn is_late(&self, now: MonoTime) -> Option<bool> {
        let is_late = now.since(self.request.arrived) >= self.request.late_after;
        match self.outcome {
            SlotOutcome::Succeeded => Some(is_late),
            SlotOutcome::Unfinished => is_late.then_some(true),
            SlotOutcome::Failed => None,
        }
    }
}

impl Drop for RouteGuard {
    fn drop(&mut self) {
        let now = self.server.shared.clock.now();
        let is_late = self.is_late(now);
        let mut state = self.server.lock();
        if state.generation != self.generation {
            return;
        }
        let slots = state.slots;
        if let Some(limit) = state.limits.get_mut(&self.request.route) {
            limit.leave(is_late, slots, now);
        }
    }
}

/// How long a request ran, as a sample for admission.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunSample {
    pub(super) route: RouteKey,
    /// Requests that ran when it started, itself included.
    pub(super) running: u32,
    pub(super) duration: Duration,
}

/// A slot of the server; released on drop.
pub struct ServerSlot {
    pub(super) route_guard: RouteGuard,
    pub(super) running: u32,
    pub(super) parent: Option<ParentKey>,
    pub(super) started: MonoTime,
}

impl ServerSlot {
    /// Records that the server runs the request, until `end` at the latest. Nested requests inherit
    /// from `parent`.
    pub fn begin_run(&mut self, end: MonoTime, parent: ParentRequest) {
        let mut state = self.route_guard.server.lock();
        if state.generation == self.route_guard.generation {
            self.parent = Some(state.parent_index.insert(end, parent));
        }
    }

    /// Sets the outcome of the run.
    pub fn set_outcome(&mut self, outcome: SlotOutcome) {
        self.route_guard.outcome = outcome;
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        let server = &self.route_guard.server;
        let sample = RunSample {
            route: self.route_guard.request.route,
            running: self.running,
            duration: server.shared.clock.now().since(self.started),
        };
        let has_succeeded = self.route_guard.outcome == SlotOutcome::Succeeded;
        server.release(
            self.route_guard.generation,
            has_succeeded.then_some(sample),
            self.parent,
        );
    }
}
