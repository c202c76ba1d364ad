//! Intended start times of the calls of an open-loop load.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    hint, thread,
    time::{Duration, Instant},
};

/// Last part of a wait that is spent spinning, since a thread wakes up late from a sleep.
const SPIN_DURATION: Duration = Duration::from_micros(100);

/// Rate, duration and distribution of the start times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSchedule {
    /// Calls per second.
    pub(crate) rate: f64,
    /// Time for which calls are started.
    pub(crate) duration: Duration,
    /// Draws the intervals from an exponential distribution; otherwise they are equal.
    pub(crate) is_poisson: bool,
    /// Seed of the intervals.
    pub(crate) seed: u64,
}

impl LoadSchedule {
    /// Calls `start(number, intended)` at each start time; blocks the thread until the last one.
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
            offset += self.interval(&mut rng);
        }
    }

    fn interval(&self, rng: &mut StdRng) -> Duration {
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
