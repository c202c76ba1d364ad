//! Callers: an open-loop load of new requests, and resends of requests that were not answered.

use super::{OverloadSimulation, SimulationEvent, exponential};
use crate::overload::{
    call::RequestRecord,
    deployment::{DEEPEST_SERVICE, ZONES},
};
use agatehill_decide::{name::RequestId, outcome::CallOutcome, route::RequestHash};
use rand::RngExt;
use std::time::Duration;

/// Delay before a request that was not answered is resent, whatever the reply was.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// Number of attempts of a caller for one request.
const ATTEMPTS_MAX: u32 = 6;
/// Time that a caller waits past its deadline, for the latency to the entry and back.
const CALLER_EXTRA_WAIT: Duration = Duration::from_millis(30);

impl OverloadSimulation<'_> {
    /// Sends a new request and schedules the next arrival.
    pub(super) fn generate_request(&mut self) {
        let rate = self.deployment.capacity() * self.scenario.load_at(self.elapsed());
        let delay = exponential(&mut self.rng) / rate;
        self.clock.schedule_after(
            Duration::from_secs_f64(delay),
            SimulationEvent::RequestArrives,
        );
        let request = self.requests.len();
        let id = RequestId::try_from(format!("r{request}")).expect("the request id is valid");
        let record = RequestRecord {
            chain: self.sample_chain(),
            zone: self.rng.random_range(0..ZONES),
            hash: RequestHash::of(&self.customer, &id),
            id,
            arrived: self.clock.now(),
            is_answered: false,
            attempt: 0,
            runs_by_service: [0; 4],
            retries: 0,
            server_time: Duration::ZERO,
        };
        self.requests.push(record);
        self.send_request(request, 0);
    }

    /// Draws the chain of a request by the shares of the operations.
    pub(super) fn sample_chain(&mut self) -> usize {
        let mut remaining_share = self.rng.random::<f64>();
        for (idx, chain) in self.deployment.chains.iter().enumerate() {
            remaining_share -= chain.share;
            if remaining_share < 0.0 {
                return idx;
            }
        }
        0
    }

    pub(super) fn send_request(&mut self, request: usize, attempt: u32) {
        let timeout = self.chain(request).deadline + CALLER_EXTRA_WAIT;
        let latency = self.deployment.client_latency;
        self.clock
            .schedule_after(latency, SimulationEvent::EntryReached { request, attempt });
        self.clock
            .schedule_after(timeout, SimulationEvent::CallerTimeout { request, attempt });
    }

    /// Handles the reply to an attempt or its timeout; resends the request if it was not answered.
    pub(super) fn receive_outcome(&mut self, request: usize, attempt: u32, outcome: CallOutcome) {
        let record = &mut self.requests[request];
        if record.is_answered || record.attempt != attempt {
            return;
        }
        if outcome == CallOutcome::Answered {
            record.is_answered = true;
            let is_deep = self.chain(request).services.contains(&DEEPEST_SERVICE);
            self.answers.count_answer(is_deep, self.clock.now());
            return;
        }
        record.attempt += 1;
        if record.attempt < ATTEMPTS_MAX {
            let attempt = record.attempt;
            let latency = self.deployment.client_latency;
            let timeout = self.chain(request).deadline + CALLER_EXTRA_WAIT + RESEND_DELAY;
            let event = SimulationEvent::EntryReached { request, attempt };
            self.clock.schedule_after(RESEND_DELAY + latency, event);
            self.clock
                .schedule_after(timeout, SimulationEvent::CallerTimeout { request, attempt });
        }
    }

    /// Sends the outcome of an attempt to the caller.
    pub(super) fn reply_to_caller(&mut self, request: usize, attempt: u32, outcome: CallOutcome) {
        let event = SimulationEvent::CallerReceives {
            request,
            attempt,
            outcome,
        };
        self.clock
            .schedule_after(self.deployment.client_latency, event);
    }
}
