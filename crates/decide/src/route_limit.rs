//! Limits how many requests of one route run or wait at one backend server at once, by how much of their
//! time they need.
//!
//! Answers the load pattern of a scarce service deep in the call graph, after a surge or a restart
//! of everything: each request near the root holds what it has while its calls wait, all of them
//! get slower together, and past a point nearly all run out of time after their work was done. No
//! server on the way is short of slots, so that only the time that requests take tells of it. A
//! route whose requests come late takes fewer at once, until what runs is in time again; the rest
//! is refused before any work is done. A more important route counts as late later, so that the
//! less important ones give way first.

use crate::time::MonoTime;
use std::time::Duration;

/// Weight of one request in the share of late ones.
const LATE_WEIGHT: f64 = 0.1;
/// Share of late requests from which the limit is lowered.
const LATE_SHARE_MAX: f64 = 0.25;
/// Factor by which it is lowered.
const CUT: f64 = 0.7;
/// Time between two cuts, in which the effect of the first shows.
const CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Requests that are let in for each one that ended in time, in parts of the limit.
const GROWTH: f64 = 2.0;
/// Highest limit, in slots of the server; what waits for a slot counts as well.
pub const LIMIT_PER_SLOT_MAX: f64 = 8.0;
/// Lowest limit.
const LIMIT_MIN: f64 = 2.0;

/// The limit of one route at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct RouteLimit {
    limit: f64,
    running: u32,
    late_share: f64,
    cut_at: Option<MonoTime>,
}

impl RouteLimit {
    /// Returns the limit of a route at a server with `slots` slots.
    pub fn new(slots: u32) -> RouteLimit {
        RouteLimit {
            limit: f64::from(slots) * LIMIT_PER_SLOT_MAX,
            running: 0,
            late_share: 0.0,
            cut_at: None,
        }
    }

    /// Takes a request in if there is room for it.
    pub fn try_enter(&mut self) -> bool {
        let has_room = f64::from(self.running) < self.limit;
        self.running += u32::from(has_room);
        has_room
    }

    /// Takes note of the end of a request that was taken in. `is_late` tells whether it took more
    /// than its time; `None` if its end tells nothing about that.
    pub fn leave(&mut self, is_late: Option<bool>, slots: u32, now: MonoTime) {
        let was_full = f64::from(self.running) + 1.0 > self.limit;
        self.running = self.running.saturating_sub(1);
        let Some(is_late) = is_late else { return };
        let sample = f64::from(u8::from(is_late));
        self.late_share += (sample - self.late_share) * LATE_WEIGHT;
        if is_late {
            return self.cut_if_due(now);
        }
        if was_full {
            let grown = self.limit + GROWTH / self.limit;
            self.limit = grown.min(f64::from(slots) * LIMIT_PER_SLOT_MAX);
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn cut_if_due(&mut self, now: MonoTime) {
        let is_soon = self.cut_at.is_some_and(|at| now.since(at) < CUT_INTERVAL);
        if is_soon || self.late_share < LATE_SHARE_MAX {
            return;
        }
        // What ran, not what might have: a limit far above it would take long to bind.
        let ran = f64::from(self.running + 1);
        self.limit = (self.limit.min(ran) * CUT).max(LIMIT_MIN);
        self.cut_at = Some(now);
    }
}
