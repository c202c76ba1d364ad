//! Callers: requests arrive whatever happens to earlier ones, and are sent again at once.

use super::{BenchWorld, WorldEvent, exponential};
use crate::overload::{
    call::RequestRecord,
    deployment::{DEEP, ZONES},
};
use agatehill_decide::{name::RequestId, outcome::CallOutcome, route::RequestHash};
use rand::RngExt;
use std::time::Duration;

/// Time after which a caller that was not answered sends again, whatever it is told.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Attempts that a caller makes of one request.
const ATTEMPTS: u32 = 6;
/// Time for which a caller waits past its deadline, for the way to it and back.
const CALLER_PATIENCE: Duration = Duration::from_millis(30);

impl BenchWorld<'_> {
    pub(super) fn arrive(&mut self) {
        let rate = self.deployment.capacity() * self.scenario.load_at(self.elapsed());
        let pause = exponential(&mut self.rng) / rate;
        self.clock
            .after(Duration::from_secs_f64(pause), WorldEvent::Arrive);
        let request = self.requests.len();
        let id = RequestId::try_from(format!("r{request}")).expect("a valid request id");
        let record = RequestRecord {
            chain: self.pick_chain(),
            zone: self.rng.random_range(0..ZONES),
            hash: RequestHash::of(&self.customer, &id),
            id,
            arrived: self.clock.now(),
            is_answered: false,
            attempt: 0,
            runs: [0; 4],
            retries: 0,
            work: Duration::ZERO,
        };
        self.requests.push(record);
        self.send(request, 0);
    }

    pub(super) fn pick_chain(&mut self) -> usize {
        let mut left = self.rng.random::<f64>();
        for (idx, chain) in self.deployment.chains.iter().enumerate() {
            left -= chain.share;
            if left < 0.0 {
                return idx;
            }
        }
        0
    }

    pub(super) fn send(&mut self, request: usize, attempt: u32) {
        let wait = self.chain(request).deadline + CALLER_PATIENCE;
        let way = self.deployment.client_latency;
        self.clock
            .after(way, WorldEvent::AtEntry { request, attempt });
        self.clock
            .after(wait, WorldEvent::CallerWaited { request, attempt });
    }

    pub(super) fn hear(&mut self, request: usize, attempt: u32, outcome: CallOutcome) {
        let record = &mut self.requests[request];
        if record.is_answered || record.attempt != attempt {
            return;
        }
        if outcome == CallOutcome::Answered {
            record.is_answered = true;
            let is_deep = self.chain(request).services.contains(&DEEP);
            self.stats.count_answer(is_deep, self.clock.now());
            return;
        }
        record.attempt += 1;
        if record.attempt < ATTEMPTS {
            let attempt = record.attempt;
            let way = self.deployment.client_latency;
            let wait = self.chain(request).deadline + CALLER_PATIENCE + RESEND_PAUSE;
            let at_entry = WorldEvent::AtEntry { request, attempt };
            self.clock.after(RESEND_PAUSE + way, at_entry);
            self.clock
                .after(wait, WorldEvent::CallerWaited { request, attempt });
        }
    }

    pub(super) fn tell(&mut self, request: usize, attempt: u32, outcome: CallOutcome) {
        let hears = WorldEvent::CallerHears {
            request,
            attempt,
            outcome,
        };
        self.clock.after(self.deployment.client_latency, hears);
    }
}
