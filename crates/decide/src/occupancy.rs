//! Concurrency limit of a backend server that slows down when nearly all of its slots are taken.
//!
//! Designed for a scarce server that is always full: if its last slots slow down all requests by more
//! than they add, the server completes fewer requests with them than without. A full server is held
//! at each of a few occupancy levels for some requests, and the times that requests take are compared.
//! The limit is the level with the highest throughput. All levels are measured again from time to
//! time, because servers change.

use crate::{gate_selection::RouteKey, time::MonoTime};
use std::{collections::HashMap, time::Duration};

/// Number of occupancy levels; level 0 allows all slots, the last one covers any lower occupancy.
const LEVELS: usize = 4;
/// Number of levels that make up all slots of a large server; at a small server each level is one
/// slot.
const LEVELS_PER_SERVER: u32 = 20;
/// Upper bound of a sample, as a multiple of its route's mean time; a few requests take many times
/// the mean.
const SAMPLE_MAX: f64 = 2.0;
/// Samples that an estimate needs, whatever the number of slots.
const SAMPLES_BASE: u32 = 60;
/// Samples that an estimate needs in addition for each slot.
const SAMPLES_PER_SLOT: u32 = 4;
/// Length of the moving mean of a route's times, in multiples of the samples of an estimate; long, so
/// that levels measured one after the other are compared with the same mean.
const ROUTE_MEAN_LENGTH: u32 = 16;
/// Length of the moving mean of a level's estimate, in multiples of the samples of an estimate.
const LEVEL_MEAN_LENGTH: u32 = 4;
/// Time after its newest sample for which an estimate is used.
const ESTIMATE_RETENTION: Duration = Duration::from_secs(20);
/// Factor by which the throughput must rise for a lower limit to be preferred; larger than the
/// variation of the estimates.
const GAIN_MIN: f64 = 1.1;

/// Moving mean, weighted towards the newest samples.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    mean: f64,
    samples: u32,
}

impl MovingMean {
    /// Adds `sample` to a mean over about `length` samples.
    fn add(&mut self, sample: f64, length: u32) {
        self.samples = self.samples.saturating_add(1).min(length);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }
}

/// Estimate of how long requests take at a level.
#[derive(Clone, Copy, Debug)]
struct LevelEstimate {
    /// Time that requests take, as a multiple of their route's mean time.
    slowdown: MovingMean,
    /// Samples skipped at the start.
    skipped: u32,
    updated_at: MonoTime,
}

impl LevelEstimate {
    const NONE: LevelEstimate = LevelEstimate {
        slowdown: MovingMean {
            mean: 0.0,
            samples: 0,
        },
        skipped: 0,
        updated_at: MonoTime::ZERO,
    };
}

/// The limit of one backend server.
#[derive(Clone, Debug)]
pub struct OccupancyLimit {
    slots: u32,
    /// The level that sets the limit.
    limit_level: usize,
    levels: [LevelEstimate; LEVELS],
    /// Mean time of the requests of each route, in seconds.
    times: HashMap<RouteKey, MovingMean>,
}

impl OccupancyLimit {
    /// Returns the limit of a server with `slots` slots.
    pub fn new(slots: u32) -> OccupancyLimit {
        OccupancyLimit {
            slots: slots.max(1),
            limit_level: 0,
            levels: [LevelEstimate::NONE; LEVELS],
            times: HashMap::new(),
        }
    }

    /// Returns the number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit_at(self.limit_level)
    }

    /// Records a request of `route` that held its slot for `held` and started as one of `running`
    /// requests.
    pub fn record(&mut self, route: RouteKey, running: u32, held: Duration, now: MonoTime) {
        let samples = self.samples();
        let time = self.times.entry(route).or_default();
        time.add(
            held.as_secs_f64(),
            samples.saturating_mul(ROUTE_MEAN_LENGTH),
        );
        let sample = held.as_secs_f64() / time.mean.max(f64::MIN_POSITIVE);
        let level = self.level(running);
        let estimate = &mut self.levels[level];
        if now.since(estimate.updated_at) >= ESTIMATE_RETENTION {
            *estimate = LevelEstimate::NONE;
        }
        estimate.updated_at = now;
        // The first samples at a level are biased: short requests end first.
        if estimate.skipped < self.slots {
            estimate.skipped += 1;
        } else {
            estimate.slowdown.add(
                sample.min(SAMPLE_MAX),
                samples.saturating_mul(LEVEL_MEAN_LENGTH),
            );
        }
        if running >= self.limit() {
            self.adjust(now);
        }
    }

    /// Moves a full server to a level without an estimate, or to the best one if all have one.
    fn adjust(&mut self, now: MonoTime) {
        if self.slowdown(self.limit_level, now).is_none() {
            return;
        }
        let unknown = (0..LEVELS).find(|level| self.slowdown(*level, now).is_none());
        if let Some(level) = unknown {
            self.levels[level] = LevelEstimate::NONE;
        }
        self.limit_level = unknown.unwrap_or_else(|| self.best(now));
    }

    /// Returns the level with the highest throughput; a lower limit must gain at least
    /// [`GAIN_MIN`].
    fn best(&self, now: MonoTime) -> usize {
        let mut best = (0, 0.0);
        for level in 0..LEVELS {
            let slowdown = self.slowdown(level, now).unwrap_or(f64::INFINITY);
            let throughput = f64::from(self.limit_at(level)) / slowdown;
            if throughput > best.1 * GAIN_MIN {
                best = (level, throughput);
            }
        }
        best.0
    }

    /// Returns the time that requests take at `level`, as a multiple of their route's mean time;
    /// `None` without a complete and recent estimate.
    fn slowdown(&self, level: usize, now: MonoTime) -> Option<f64> {
        let LevelEstimate {
            slowdown,
            updated_at,
            ..
        } = self.levels[level];
        let is_known =
            slowdown.samples >= self.samples() && now.since(updated_at) < ESTIMATE_RETENTION;
        is_known.then_some(slowdown.mean)
    }

    /// Returns the number of samples that an estimate needs.
    fn samples(&self) -> u32 {
        SAMPLES_BASE.saturating_add(SAMPLES_PER_SLOT.saturating_mul(self.slots))
    }

    /// Returns the occupancy level of a server with `running` running requests.
    fn level(&self, running: u32) -> usize {
        let lower = (1..LEVELS).take_while(|level| self.limit_at(*level) >= running);
        lower.last().unwrap_or(0)
    }

    fn limit_at(&self, level: usize) -> u32 {
        let level = u32::try_from(level).unwrap_or(u32::MAX);
        let parts = u64::from(LEVELS_PER_SERVER - level);
        let part = u64::from(self.slots) * parts / u64::from(LEVELS_PER_SERVER);
        let part = u32::try_from(part).unwrap_or(self.slots);
        part.min(self.slots.saturating_sub(level)).max(1)
    }
}
