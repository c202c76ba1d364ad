//! Priority level of a gate under pressure, and what callers of the gate remember of it.
//!
//! A gate that cannot keep up lowers its level and refuses what is less important. The level
//! travels back on answers, so that entries refuse there what would be refused deeper. The scheme
//! of levels fed back to callers is that of DAGOR, "Overload Control for Scaling WeChat
//! Microservices", SoCC 2018; the step here follows the measured capacity instead of a fixed share.

use crate::{
    name::ServiceName,
    priority::{CLASS_LEVELS, CallPriority},
    time::MonoTime,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, hash::Hash, time::Duration};

/// Levels in one bucket of the demand histogram.
const BUCKET_LEVELS: u16 = 32;
/// Buckets of the demand histogram.
const BUCKETS: usize = (CallPriority::LOWEST.0 / BUCKET_LEVELS) as usize + 1;
/// Weight of the newest window in the demand histogram.
const DEMAND_WEIGHT: f64 = 0.3;
/// Demand that the level lets in, over the capacity; above one, so that a short queue stands and
/// chance does not leave slots empty.
const UTILISATION: f64 = 1.3;
/// Share of the waiting calls that one window is to work off.
const DRAIN_SHARE: f64 = 0.1;
/// Smallest share of the demand that stays after one step down.
const KEEP_MIN: f64 = 0.5;
/// Largest share of the demand that stays after one step down.
const KEEP_MAX: f64 = 0.98;
/// Share of the spare capacity that one step up gives away; callers hear of a step only after a
/// few windows.
const RAISE_GAIN: f64 = 0.25;
/// Smallest step up, in levels.
const RAISE_MIN: f64 = 4.0;
/// Largest step up, in levels.
const RAISE_MAX: f64 = 1024.0;

/// What a gate measured in one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct LevelWindow {
    /// Calls that the server could have finished in the window.
    pub capacity: f64,
    /// Whether calls waited too long or were refused for want of room.
    pub is_overloaded: bool,
    /// Calls that wait at the end of the window.
    pub queued: f64,
}

/// The level of one gate.
#[derive(Clone, Debug)]
pub struct LevelControl {
    level: CallPriority,
    counts: Box<[u32]>,
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
    /// Returns the least important priority that is let in.
    pub fn level(&self) -> CallPriority {
        self.level
    }

    /// Counts an offered call; returns whether its priority is let in.
    pub fn admits(&mut self, priority: CallPriority) -> bool {
        self.counts[bucket_of(priority)] += 1;
        priority <= self.level
    }

    /// Ends a window and moves the level.
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
        let target = window.capacity * UTILISATION - window.queued * DRAIN_SHARE;
        let keep = (target / admitted.max(1.0)).clamp(KEEP_MIN, KEEP_MAX);
        let mut left = admitted * keep;
        for (idx, demand) in self.demand.iter().enumerate() {
            if *demand >= left {
                let part = left / demand.max(f64::MIN_POSITIVE);
                let level = level_in(idx, part);
                self.level = level.min(self.level);
                return;
            }
            left -= demand;
        }
    }

    fn raise(&mut self, window: LevelWindow, admitted: f64) {
        let spare = window.capacity * UTILISATION - admitted;
        let step = (spare * RAISE_GAIN / self.density()).clamp(RAISE_MIN, RAISE_MAX);
        self.level = CallPriority(self.level.0 + step as u16).min(CallPriority::LOWEST);
    }

    /// Returns the demand a level just above the present one, taken to be as below it in the same
    /// class.
    fn density(&self) -> f64 {
        let top = bucket_of(self.level);
        let class_start = usize::from(self.level.class().rank() * CLASS_LEVELS / BUCKET_LEVELS);
        let seen = match top > class_start {
            true => &self.demand[class_start..top],
            false => &self.demand[top.saturating_sub(1)..=top],
        };
        let sum: f64 = seen.iter().sum();
        (sum / (seen.len() as f64 * f64::from(BUCKET_LEVELS))).max(f64::MIN_POSITIVE)
    }
}

fn bucket_of(priority: CallPriority) -> usize {
    usize::from(priority.0.min(CallPriority::LOWEST.0) / BUCKET_LEVELS)
}

fn level_in(bucket: usize, part: f64) -> CallPriority {
    let base = bucket as u16 * BUCKET_LEVELS;
    CallPriority(base + (f64::from(BUCKET_LEVELS) * part) as u16)
}

/// Services whose levels travel back with one answer.
const PATH_LEVELS_MAX: usize = 6;

/// Stands for a service in [`PathLevels`].
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
    /// The least important priority that its gate let in.
    pub level: CallPriority,
}

/// The levels of the gates that a call has passed, itself or through its child calls.
///
/// Of more services than fit, those with the lowest levels are kept.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PathLevels([Option<ServiceLevel>; PATH_LEVELS_MAX]);

impl PathLevels {
    /// Records the newest level of `service`.
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

    /// Returns the levels, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceLevel> {
        self.0.iter().flatten()
    }
}

/// Time for which a heard level holds in full.
const LEVEL_HOLD: Duration = Duration::from_millis(300);
/// Time over which a level that is not heard again rises back to let everything in.
const LEVEL_FADE: Duration = Duration::from_millis(1_000);
/// Weight of a newly heard level.
const HEARD_WEIGHT: f64 = 0.2;

/// Levels of services that an entry has heard, and the services that each operation `O` leads to.
///
/// A level is kept by the service `S` that stated it, so that the calls that still pass tell the
/// entry when the others may: an operation that is refused as a whole gets no answers of its own.
#[derive(Clone, Debug)]
pub struct LevelTable<O, S> {
    reached: HashMap<O, Vec<S>>,
    heard: HashMap<S, HeardLevel>,
}

#[derive(Clone, Copy, Debug)]
struct HeardLevel {
    level: f64,
    at: MonoTime,
}

impl<O, S> Default for LevelTable<O, S> {
    fn default() -> LevelTable<O, S> {
        LevelTable {
            reached: HashMap::new(),
            heard: HashMap::new(),
        }
    }
}

impl<O: Eq + Hash, S: Copy + Eq + Hash> LevelTable<O, S> {
    /// Records that a call of `operation` passed a gate of `service`, which stated `level`.
    pub fn record(&mut self, operation: O, service: S, level: CallPriority, now: MonoTime) {
        if level == CallPriority::LOWEST && !self.heard.contains_key(&service) {
            return;
        }
        let reached = self.reached.entry(operation).or_default();
        if !reached.contains(&service) {
            reached.push(service);
        }
        let heard = self.heard.entry(service).or_insert(HeardLevel {
            level: f64::from(CallPriority::LOWEST.0),
            at: now,
        });
        let old = heard.faded(now);
        heard.level = old + (f64::from(level.0) - old) * HEARD_WEIGHT;
        heard.at = now;
    }

    /// Returns the least important priority that is worth sending for `operation`.
    pub fn level(&self, operation: &O, now: MonoTime) -> CallPriority {
        let reached = self.reached.get(operation).into_iter().flatten();
        let levels = reached.filter_map(|service| self.heard.get(service));
        let lowest = levels.map(|heard| heard.faded(now).round() as u16).min();
        lowest.map_or(CallPriority::LOWEST, CallPriority)
    }

    /// Forgets the levels that have faded.
    pub fn prune(&mut self, now: MonoTime) {
        let is_held = |heard: &HeardLevel| now.since(heard.at) < LEVEL_HOLD + LEVEL_FADE;
        self.heard.retain(|_, heard| is_held(heard));
        let heard = &self.heard;
        self.reached.retain(|_, services| {
            services.retain(|service| heard.contains_key(service));
            !services.is_empty()
        });
    }

    /// Returns the heard levels by service, in no order.
    pub fn iter(&self, now: MonoTime) -> impl Iterator<Item = (&S, CallPriority)> {
        let level = move |heard: &HeardLevel| CallPriority(heard.faded(now).round() as u16);
        self.heard
            .iter()
            .map(move |(service, heard)| (service, level(heard)))
    }
}

impl HeardLevel {
    fn faded(&self, now: MonoTime) -> f64 {
        let over = now.since(self.at).saturating_sub(LEVEL_HOLD);
        let share = (over.as_secs_f64() / LEVEL_FADE.as_secs_f64()).min(1.0);
        self.level + (f64::from(CallPriority::LOWEST.0) - self.level) * share
    }
}
