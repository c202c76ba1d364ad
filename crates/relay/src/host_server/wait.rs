//! Waiting for a slot.

use super::{HostServer, ServerSlot, SlotOutcome, SlotRefusal, SlotRequest, slot::RouteGuard};
use agatehill_decide::{
    admission::{Admission, AdmissionRequest, WaitKey},
    route_limit::RouteLimit,
};
use std::time::Duration;
use tokio::sync::oneshot;

/// Retry-after of requests whose wait for a slot fails; callers get it if no other gate accepts
/// them.
const NO_SLOT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after of requests that exceed their route's limit. Longer than such an overload usually
/// lasts when all callers wait.
const ROUTE_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

impl HostServer {
    /// Waits for a slot. Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// The route's limit is reached, no slot is expected or becomes free in time, or the server no
    /// longer accepts requests.
    pub async fn admit(&self, request: SlotRequest) -> Result<ServerSlot, SlotRefusal> {
        let route_guard = self.enter_route(request)?;
        let ticket = match self.request_slot(request.admission) {
            SlotDecision::Run => return Ok(self.slot_guard(route_guard)),
            SlotDecision::Refuse(refusal) => return Err(refusal),
            SlotDecision::Wait(ticket) => ticket,
        };
        let generation = route_guard.generation;
        let mut wait = WaitGuard {
            server: self,
            ticket,
            generation,
        };
        let remaining = request.admission.start_by.since(self.shared.clock.now());
        match tokio::time::timeout(remaining, &mut wait.ticket.granted).await {
            Ok(Ok(true)) => Ok(self.slot_guard(route_guard)),
            _ => Err(SlotRefusal {
                reason: "no-slot",
                retry_after: NO_SLOT_RETRY_AFTER,
            }),
        }
    }

    /// Counts a request against its route's limit.
    fn enter_route(&self, request: SlotRequest) -> Result<RouteGuard, SlotRefusal> {
        let mut state = self.lock();
        let slots = state.slots;
        let limit = state.limits.entry(request.route);
        if !limit.or_insert_with(|| RouteLimit::new(slots)).try_enter() {
            return Err(SlotRefusal {
                reason: "route-limit",
                retry_after: ROUTE_LIMIT_RETRY_AFTER,
            });
        }
        Ok(RouteGuard {
            server: self.clone(),
            generation: state.generation,
            request,
            outcome: SlotOutcome::Unfinished,
        })
    }

    fn request_slot(&self, request: AdmissionRequest) -> SlotDecision {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        match state.admission.offer(request, now) {
            Admission::Run => SlotDecision::Run,
            Admission::Refuse { retry_after } => SlotDecision::Refuse(SlotRefusal {
                reason: "no-slot",
                retry_after,
            }),
            Admission::Wait(key) => {
                let (tx, granted) = oneshot::channel();
                state.waiting.insert(key, tx);
                SlotDecision::Wait(WaitTicket { key, granted })
            }
        }
    }
}

enum SlotDecision {
    Run,
    Wait(WaitTicket),
    Refuse(SlotRefusal),
}

struct WaitTicket {
    key: WaitKey,
    granted: oneshot::Receiver<bool>,
}

/// A queued request; removed from the queue on drop.
struct WaitGuard<'a> {
    server: &'a HostServer,
    ticket: WaitTicket,
    generation: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        if state.generation == self.generation {
            state.waiting.remove(self.ticket.key);
            state.admission.withdraw(self.ticket.key);
        }
        drop(state);
        // The slot may have been granted before the request left the queue.
        if let Ok(true) = self.ticket.granted.try_recv() {
            self.server.release(self.generation, None, None);
        }
    }
}
