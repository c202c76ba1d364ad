//! Callers: requests arrive whatever happens to earlier ones, and are sent again at once.

use super::{OverloadSimulation, SimulationEvent, exponential};
use crate::overload::{
    call::RequestRecord,
    deployment::{DEEPEST_SERVICE, ZONES},
};
use agatehill_decide::{name::RequestId, outcome::CallOutcome, route::RequestHash};
use rand::RngExt;
use std::time::Duration;

/// Time after which a caller that was not answered sends again, whatever it is told.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// Attempts that a caller makes of one request.
const ATTEMPTS_MAX: u32 = 6;
/// Time for which a caller waits past its deadline, for the way to it and back.
const CALLER_EXTRA_WAIT: Duration = Duration::from_millis(30);

impl OverloadSimulation<'_> {
    pub(super) fn generate_request(&mut self) {
        let rate = self.deployment.capacity() * self.scenario.load_at(self.elapsed());
        let pause = exponential(&mut self.rng) / rate;
        self.clock.schedule_after(
            Duration::from_secs_f64(pause),
            SimulationEvent::RequestArrives,
        );
        let request = self.requests.len();
        let id = RequestId::try_from(format!("r{request}")).expect("a valid request id");
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

    pub(super) fn sample_chain(&mut self) -> usize {
        let mut left = self.rng.random::<f64>();
        for (idx, chain) in self.deployment.chains.iter().enumerate() {
            left -= chain.share;
            if left < 0.0 {
                return idx;
            }
        }
        0
    }

    pub(super) fn send_request(&mut self, request: usize, attempt: u32) {
        let wait = self.chain(request).deadline + CALLER_EXTRA_WAIT;
        let way = self.deployment.client_latency;
        self.clock
            .schedule_after(way, SimulationEvent::EntryReached { request, attempt });
        self.clock
            .schedule_after(wait, SimulationEvent::CallerTimeout { request, attempt });
    }

    pub(super) fn receive_outcome(&mut self, request: usize, attempt: u32, outcome: CallOutcome) {
        let record = &mut self.requests[request];
        if record.is_answered || record.attempt != attempt {
            return;
        }
        if outcome == CallOutcome::Answered {
            record.is_answered = true;
            let is_deep = self.chain(request).services.contains(&DEEPEST_SERVICE);
            self.stats.count_answer(is_deep, self.clock.now());
            return;
        }
        record.attempt += 1;
        if record.attempt < ATTEMPTS_MAX {
            let attempt = record.attempt;
            let way = self.deployment.client_latency;
            let wait = self.chain(request).deadline + CALLER_EXTRA_WAIT + RESEND_DELAY;
            let entry_reached = SimulationEvent::EntryReached { request, attempt };
            self.clock.schedule_after(RESEND_DELAY + way, entry_reached);
            self.clock
                .schedule_after(wait, SimulationEvent::CallerTimeout { request, attempt });
        }
    }

    pub(super) fn reply_to_caller(&mut self, request: usize, attempt: u32, outcome: CallOutcome) {
        let receives = SimulationEvent::CallerReceives {
            request,
            attempt,
            outcome,
        };
        self.clock
            .schedule_after(self.deployment.client_latency, receives);
    }
}
