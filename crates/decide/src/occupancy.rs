//! Limits how many requests run at once at a backend server that slows down when nearly all of its
//! slots are taken.
//!
//! Answers the load pattern of a scarce server that is always full: if its last slots cost more
//! time than they add, it serves less with them than without. How long requests take is compared
//! between levels of fullness, which a full server is held at for a few requests each; the limit
//! is the level at which most end in the same time. All are tried again now and then, as servers
//! change.

use crate::{gate_selection::RouteKey, time::MonoTime};
use std::{collections::HashMap, time::Duration};

/// Levels of fullness that are told apart; the last one is for all that is less full.
const LEVELS: usize = 4;
/// Levels that make up all slots of a large server; a small one has a level for each slot.
const LEVELS_ALL: u32 = 20;
/// Most that one request counts for, in mean times of its route; a few take many times as long.
const SAMPLE_MAX: f64 = 2.0;
/// Requests that an estimate takes at least.
const SAMPLES_MIN: u32 = 60;
/// Requests that it takes for each slot.
const SAMPLES_SLOT: u32 = 4;
/// Estimates' worth of requests that the mean time of a route is taken over; many, so that levels that
/// are seen one after the other are compared with the same mean.
const MEAN_SPAN: u32 = 16;
/// The same for the estimate of a level.
const LEVEL_SPAN: u32 = 4;
/// Time after which an estimate without a further request counts no more.
const SAMPLE_LIFE: Duration = Duration::from_secs(20);
/// Gain in requests a second from which a lower limit is kept, as a factor; more than estimates
/// scatter.
const GAIN_MIN: f64 = 1.1;

/// A mean over the last samples.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    mean: f64,
    samples: u32,
}

impl MovingMean {
    /// Adds `sample` to a mean over about `span` of them.
    fn add(&mut self, sample: f64, span: u32) {
        self.samples = self.samples.saturating_add(1).min(span);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }
}

/// How long requests take at a level, in mean times of their routes.
#[derive(Clone, Copy, Debug)]
struct LevelEstimate {
    slowdown: MovingMean,
    /// Requests that have ended and don't count.
    skipped: u32,
    at: MonoTime,
}

impl LevelEstimate {
    const NONE: LevelEstimate = LevelEstimate {
        slowdown: MovingMean {
            mean: 0.0,
            samples: 0,
        },
        skipped: 0,
        at: MonoTime::ZERO,
    };
}

/// The limit of one backend server.
#[derive(Clone, Debug)]
pub struct OccupancyLimit {
    slots: u32,
    /// The level that the limit allows; 0 for all slots.
    top: usize,
    levels: [LevelEstimate; LEVELS],
    /// Times that requests of a route take, in seconds.
    times: HashMap<RouteKey, MovingMean>,
}

impl OccupancyLimit {
    /// Returns the limit of a server with `slots` slots.
    pub fn new(slots: u32) -> OccupancyLimit {
        OccupancyLimit {
            slots: slots.max(1),
            top: 0,
            levels: [LevelEstimate::NONE; LEVELS],
            times: HashMap::new(),
        }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self) -> u32 {
        self.limit_at(self.top)
    }

    /// Takes note of a request of `route` that took `held` and began as one of `running`.
    pub fn record(&mut self, route: RouteKey, running: u32, held: Duration, now: MonoTime) {
        let span = self.samples();
        let time = self.times.entry(route).or_default();
        time.add(held.as_secs_f64(), span * MEAN_SPAN);
        let sample = held.as_secs_f64() / time.mean.max(f64::MIN_POSITIVE);
        let level = self.level(running);
        let estimate = &mut self.levels[level];
        if now.since(estimate.at) >= SAMPLE_LIFE {
            *estimate = LevelEstimate::NONE;
        }
        estimate.at = now;
        // The first that end are the short ones.
        if estimate.skipped < self.slots {
            estimate.skipped += 1;
        } else {
            estimate
                .slowdown
                .add(sample.min(SAMPLE_MAX), span * LEVEL_SPAN);
        }
        if running >= self.limit() {
            self.adjust(now);
        }
    }

    /// Moves a full server to a level that isn't known, or to the best one.
    fn adjust(&mut self, now: MonoTime) {
        if self.slowdown(self.top, now).is_none() {
            return;
        }
        let unknown = (0..LEVELS).find(|level| self.slowdown(*level, now).is_none());
        if let Some(level) = unknown {
            self.levels[level] = LevelEstimate::NONE;
        }
        self.top = unknown.unwrap_or_else(|| self.best(now));
    }

    /// Returns the level at which most requests end in the same time; a lower one only if that
    /// gains enough.
    fn best(&self, now: MonoTime) -> usize {
        let mut best = (0, 0.0);
        for level in 0..LEVELS {
            let slowdown = self.slowdown(level, now).unwrap_or(f64::INFINITY);
            let rate = f64::from(self.limit_at(level)) / slowdown;
            if rate > best.1 * GAIN_MIN {
                best = (level, rate);
            }
        }
        best.0
    }

    /// Returns how long requests take at `level`, if that is known.
    fn slowdown(&self, level: usize, now: MonoTime) -> Option<f64> {
        let LevelEstimate { slowdown, at, .. } = self.levels[level];
        let is_known = slowdown.samples >= self.samples() && now.since(at) < SAMPLE_LIFE;
        is_known.then_some(slowdown.mean)
    }

    /// Returns how many requests an estimate takes.
    fn samples(&self) -> u32 {
        SAMPLES_MIN + SAMPLES_SLOT * self.slots
    }

    /// Returns the level of a server at which `running` requests run.
    fn level(&self, running: u32) -> usize {
        let lower = (1..LEVELS).take_while(|level| self.limit_at(*level) >= running);
        lower.last().unwrap_or(0)
    }

    fn limit_at(&self, level: usize) -> u32 {
        let level = u32::try_from(level).unwrap_or(u32::MAX);
        let part = self.slots * (LEVELS_ALL - level) / LEVELS_ALL;
        part.min(self.slots.saturating_sub(level)).max(1)
    }
}
