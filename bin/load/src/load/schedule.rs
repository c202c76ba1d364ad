//! Start times of an open-loop load.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    hint, thread,
    time::{Duration, Instant},
};

/// Rest of a wait that is spun away, since a thread wakes up late from a sleep.
const SPIN_DURATION: Duration = Duration::from_micros(100);

/// When calls start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSchedule {
    /// Calls a second.
    pub(crate) rate: f64,
    /// Time over which calls are started.
    pub(crate) duration: Duration,
    /// Draws the gaps from an exponential distribution; otherwise they are equal.
    pub(crate) is_poisson: bool,
    /// Seed of the gaps.
    pub(crate) seed: u64,
}

impl LoadSchedule {
    /// Runs `start(number, intended)` at each start time, on the thread that calls this.
    pub(crate) fn run(self, mut start: impl FnMut(u64, Instant)) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let started = Instant::now();
        let mut offset = Duration::ZERO;
        let mut number = 0;
        while offset < self.duration {
            let intended = started + offset;
            wait_until(intended);
            start(number, intended);
            number += 1;
            offset += self.gap(&mut rng);
        }
    }

    fn gap(&self, rng: &mut StdRng) -> Duration {
        let mean = Duration::from_secs_f64(1.0 / self.rate);
        if !self.is_poisson {
            return mean;
        }
        let uniform: f64 = rng.random();
        mean.mul_f64(-(1.0 - uniform).ln())
    }
}

fn wait_until(point: Instant) {
    let remaining = point.saturating_duration_since(Instant::now());
    if remaining > SPIN_DURATION {
        thread::sleep(remaining - SPIN_DURATION);
    }
    while Instant::now() < point {
        hint::spin_loop();
    }
}
