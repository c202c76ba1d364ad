//! Priority level of an overloaded gate, and the levels that callers of the gate have received.
//!
//! An overloaded gate lowers its level and refuses calls that are less important than it. Responses
//! carry the level back, so that an entry refuses at once the calls that would be refused deeper in
//! the graph. Feeding levels back to callers follows DAGOR, "Overload Control for Scaling WeChat
//! Microservices", SoCC 2018; here the size of a step depends on the measured capacity and
//! is no fixed share.

use crate::{
    name::ServiceName,
    priority::{CLASS_LEVELS, CallPriority},
    time::MonoTime,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, hash::Hash, time::Duration};

/// Number of levels in one bucket of the demand histogram.
const BUCKET_LEVELS: u16 = 32;
/// Number of buckets in the demand histogram.
const BUCKETS: usize = (CallPriority::LOWEST.0 / BUCKET_LEVELS) as usize + 1;
/// Weight of the newest window in the demand histogram.
const DEMAND_WEIGHT: f64 = 0.3;
/// Admitted demand as a multiple of the capacity; above one, so that a short queue keeps slots from
/// being idle by chance.
const TARGET_LOAD: f64 = 1.3;
/// Share of the queue that is to be drained per window.
const DRAIN_SHARE: f64 = 0.1;
/// Smallest share of the admitted demand that is kept by one step down.
const KEEP_MIN: f64 = 0.5;
/// Largest share of the admitted demand that is kept by one step down.
const KEEP_MAX: f64 = 0.98;
/// Share of the spare capacity that one step up admits; small, as callers receive a new level only
/// after a few windows.
const RAISE_GAIN: f64 = 0.25;
/// Smallest step up, in levels.
const RAISE_MIN: f64 = 4.0;
/// Largest step up, in levels.
const RAISE_MAX: f64 = 1024.0;

/// Measurements of a gate in one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct LevelWindow {
    /// Calls that the server could have finished in the window.
    pub capacity: f64,
    /// Whether calls waited too long or were refused for lack of time or queue space.
    pub is_overloaded: bool,
    /// Calls queued at the end of the window.
    pub queued: f64,
}

/// Sets the priority level of one gate.
#[derive(Clone, Debug)]
pub struct LevelControl {
    level: CallPriority,
    /// Calls offered in the present window, by bucket of priorities.
    counts: Box<[u32]>,
    /// Smoothed number of calls offered in a window, by bucket of priorities.
    demand: Box<[f64]>,
}

impl Default for LevelControl {
    fn default() -> LevelControl {
        LevelControl {
            level: CallPriority::LOWEST,
            counts: vec![0; BUCKETS].into_boxed_slice(),
            demand: vec![0.0; BUCKETS].into_boxed_slice(),
        }
    }
}

impl LevelControl {
    /// Returns the least important priority that is admitted.
    pub fn level(&self) -> CallPriority {
        self.level
    }

    /// Counts an offered call and returns whether its priority is admitted.
    pub fn admits(&mut self, priority: CallPriority) -> bool {
        self.counts[bucket_of(priority)] += 1;
        priority <= self.level
    }

    /// Ends a window and adjusts the level.
    pub fn close_window(&mut self, window: LevelWindow) {
        for (demand, count) in self.demand.iter_mut().zip(self.counts.iter_mut()) {
            *demand += (f64::from(*count) - *demand) * DEMAND_WEIGHT;
            *count = 0;
        }
        let admitted: f64 = self.demand[..=bucket_of(self.level)].iter().sum();
        if window.is_overloaded {
            self.lower(window, admitted);
        } else if self.level < CallPriority::LOWEST {
            self.raise(window, admitted);
        }
    }

    fn lower(&mut self, window: LevelWindow, admitted: f64) {
        let target = window.capacity * TARGET_LOAD - window.queued * DRAIN_SHARE;
        let keep = (target / admitted.max(1.0)).clamp(KEEP_MIN, KEEP_MAX);
        let mut remaining = admitted * keep;
        for (idx, demand) in self.demand.iter().enumerate() {
            if *demand >= remaining {
                let part = remaining / demand.max(f64::MIN_POSITIVE);
                let level = level_in(idx, part);
                self.level = level.min(self.level);
                return;
            }
            remaining -= demand;
        }
    }

    fn raise(&mut self, window: LevelWindow, admitted: f64) {
        let spare = window.capacity * TARGET_LOAD - admitted;
        let step = (spare * RAISE_GAIN / self.density()).clamp(RAISE_MIN, RAISE_MAX);
        self.level = CallPriority(self.level.0 + step as u16).min(CallPriority::LOWEST);
    }

    /// Estimates the demand per level just above the present level, which is not admitted: the mean
    /// of the levels below it in the same class.
    fn density(&self) -> f64 {
        let top = bucket_of(self.level);
        let class_start = usize::from(self.level.class().rank() * CLASS_LEVELS / BUCKET_LEVELS);
        let below = match top > class_start {
            true => &self.demand[class_start..top],
            false => &self.demand[top.saturating_sub(1)..=top],
        };
        let sum: f64 = below.iter().sum();
        (sum / (below.len() as f64 * f64::from(BUCKET_LEVELS))).max(f64::MIN_POSITIVE)
    }
}

fn bucket_of(priority: CallPriority) -> usize {
    usize::from(priority.0.min(CallPriority::LOWEST.0) / BUCKET_LEVELS)
}

/// Returns the level that has the share `part` of `bucket` below it.
fn level_in(bucket: usize, part: f64) -> CallPriority {
    let base = bucket as u16 * BUCKET_LEVELS;
    CallPriority(base + (f64::from(BUCKET_LEVELS) * part) as u16)
}

/// Most services whose levels one response carries.
const PATH_LEVELS_MAX: usize = 6;

/// Short identifier of a service in [`PathLevels`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServiceHash(pub u32);

impl ServiceHash {
    /// Returns the hash of `service`, the same on every host.
    pub fn of(service: &ServiceName) -> ServiceHash {
        let hash = blake3::hash(service.as_str().as_bytes());
        let mut low = [0; 4];
        low.copy_from_slice(&hash.as_bytes()[..4]);
        ServiceHash(u32::from_le_bytes(low))
    }
}

/// The level of one service's gate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLevel {
    /// The service.
    pub service: ServiceHash,
    /// The least important priority that its gate admits.
    pub level: CallPriority,
}

/// Levels of the gates that a call passed, itself or through its child calls.
///
/// If there are more services than fit, those with the lowest levels are kept.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PathLevels([Option<ServiceLevel>; PATH_LEVELS_MAX]);

impl PathLevels {
    /// Records the current level of `service`.
    pub fn record(&mut self, service: ServiceHash, level: CallPriority) {
        let new = Some(ServiceLevel { service, level });
        let is_same =
            |known: &&mut Option<ServiceLevel>| known.is_some_and(|known| known.service == service);
        if let Some(known) = self.0.iter_mut().find(is_same) {
            *known = new;
            return;
        }
        let rank = |known: &Option<ServiceLevel>| known.map_or(u16::MAX, |known| known.level.0);
        let highest = self.0.iter_mut().max_by_key(|known| rank(known));
        if let Some(highest) = highest.filter(|known| rank(known) > level.0) {
            *highest = new;
        }
    }

    /// Records all levels of `newer`.
    pub fn merge(&mut self, newer: &PathLevels) {
        for known in newer.iter() {
            self.record(known.service, known.level);
        }
    }

    /// Returns the levels in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceLevel> {
        self.0.iter().flatten()
    }
}

/// Age up to which a received level applies unchanged.
const LEVEL_FRESH_AGE: Duration = Duration::from_millis(300);
/// Time over which a level that is not received again rises until it admits every priority.
const LEVEL_DECAY_DURATION: Duration = Duration::from_millis(1_000);
/// Weight of a newly received level.
const RECEIVED_WEIGHT: f64 = 0.2;

/// Levels of services that an entry received, and the services that each operation `O` reaches.
///
/// Levels are kept per service `S`, not per operation: an operation whose calls are all refused gets
/// no responses, so its level must rise again through the responses to other operations.
#[derive(Clone, Debug)]
pub struct LevelTable<O, S> {
    reached: HashMap<O, Vec<S>>,
    levels: HashMap<S, ReceivedLevel>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLevel {
    level: f64,
    at: MonoTime,
}

impl<O, S> Default for LevelTable<O, S> {
    fn default() -> LevelTable<O, S> {
        LevelTable {
            reached: HashMap::new(),
            levels: HashMap::new(),
        }
    }
}

impl<O: Eq + Hash, S: Copy + Eq + Hash> LevelTable<O, S> {
    /// Records that a call of `operation` passed a gate of `service` with the level `level`.
    pub fn record(&mut self, operation: O, service: S, level: CallPriority, now: MonoTime) {
        if level == CallPriority::LOWEST && !self.levels.contains_key(&service) {
            return;
        }
        let reached = self.reached.entry(operation).or_default();
        if !reached.contains(&service) {
            reached.push(service);
        }
        let received = self.levels.entry(service).or_insert(ReceivedLevel {
            level: f64::from(CallPriority::LOWEST.0),
            at: now,
        });
        let old = received.decayed(now);
        received.level = old + (f64::from(level.0) - old) * RECEIVED_WEIGHT;
        received.at = now;
    }

    /// Returns the least important priority that is worth sending for `operation`.
    pub fn level(&self, operation: &O, now: MonoTime) -> CallPriority {
        let reached = self.reached.get(operation).into_iter().flatten();
        let levels = reached.filter_map(|service| self.levels.get(service));
        let lowest = levels
            .map(|received| received.decayed(now).round() as u16)
            .min();
        lowest.map_or(CallPriority::LOWEST, CallPriority)
    }

    /// Removes levels that have fully decayed.
    pub fn prune(&mut self, now: MonoTime) {
        let is_kept = |received: &ReceivedLevel| {
            now.since(received.at) < LEVEL_FRESH_AGE + LEVEL_DECAY_DURATION
        };
        self.levels.retain(|_, received| is_kept(received));
        let levels = &self.levels;
        self.reached.retain(|_, services| {
            services.retain(|service| levels.contains_key(service));
            !services.is_empty()
        });
    }

    /// Returns the received levels by service, in no particular order.
    pub fn iter(&self, now: MonoTime) -> impl Iterator<Item = (&S, CallPriority)> {
        let level =
            move |received: &ReceivedLevel| CallPriority(received.decayed(now).round() as u16);
        self.levels
            .iter()
            .map(move |(service, received)| (service, level(received)))
    }
}

impl ReceivedLevel {
    fn decayed(&self, now: MonoTime) -> f64 {
        let over = now.since(self.at).saturating_sub(LEVEL_FRESH_AGE);
        let share = (over.as_secs_f64() / LEVEL_DECAY_DURATION.as_secs_f64()).min(1.0);
        self.level + (f64::from(CallPriority::LOWEST.0) - self.level) * share
    }
}
