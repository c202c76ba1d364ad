//! Limits how many requests of one route run or wait at one backend server at once, by the share of
//! them that end late.
//!
//! Designed for a scarce service deep in the call graph, after a surge or a restart of all servers.
//! Each request near the root holds its slot while its calls wait, so all requests become slower
//! together, and beyond some point nearly all run out of time after their work was done. No
//! server on the path is short of slots; only the time that requests take shows the overload. A route
//! whose requests end late gets a lower limit until its requests are in time again, and the rest is
//! refused before any work is done. Requests of a more important route count as late after a longer
//! time, so the limits of less important routes are lowered first.

use crate::time::MonoTime;
use std::time::Duration;

/// Weight of a new request in the moving share of late requests.
const LATE_WEIGHT: f64 = 0.1;
/// Share of late requests from which the limit is lowered.
const LATE_SHARE_MAX: f64 = 0.25;
/// Factor by which the limit is lowered.
const DECREASE: f64 = 0.7;
/// Shortest time between two decreases, so that the first one takes effect.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// A reached limit grows by this number divided by the limit for each request that ended in time.
const GROWTH: f64 = 2.0;
/// Highest limit per slot of the server; above one, as queued requests count too.
pub const LIMIT_PER_SLOT_MAX: f64 = 8.0;
/// Lowest limit.
const LIMIT_MIN: f64 = 2.0;

/// The limit of one route at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct RouteLimit {
    limit: f64,
    admitted: u32,
    late_share: f64,
    decreased_at: Option<MonoTime>,
}

impl RouteLimit {
    /// Returns the limit of a route at a server with `slots` slots.
    pub fn new(slots: u32) -> RouteLimit {
        RouteLimit {
            limit: f64::from(slots) * LIMIT_PER_SLOT_MAX,
            admitted: 0,
            late_share: 0.0,
            decreased_at: None,
        }
    }

    /// Admits a request if the limit allows it.
    pub fn try_enter(&mut self) -> bool {
        let is_admitted = f64::from(self.admitted) < self.limit;
        self.admitted += u32::from(is_admitted);
        is_admitted
    }

    /// Records the end of an admitted request and adjusts the limit.
    ///
    /// `is_late` states whether the request took too long; `None` if its end does not show that.
    pub fn leave(&mut self, is_late: Option<bool>, slots: u32, now: MonoTime) {
        let was_limit_reached = f64::from(self.admitted) + 1.0 > self.limit;
        self.admitted = self.admitted.saturating_sub(1);
        let Some(is_late) = is_late else { return };
        let sample = f64::from(u8::from(is_late));
        self.late_share += (sample - self.late_share) * LATE_WEIGHT;
        if is_late {
            return self.decrease_if_due(now);
        }
        if was_limit_reached {
            let grown = self.limit + GROWTH / self.limit;
            self.limit = grown.min(f64::from(slots) * LIMIT_PER_SLOT_MAX);
        }
    }

    /// Returns the limit, in requests.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn decrease_if_due(&mut self, now: MonoTime) {
        let is_soon = self
            .decreased_at
            .is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if is_soon || self.late_share < LATE_SHARE_MAX {
            return;
        }
        // Lowered from the number of admitted requests: a limit far above that number would need many
        // decreases to take effect.
        let admitted = f64::from(self.admitted + 1);
        self.limit = (self.limit.min(admitted) * DECREASE).max(LIMIT_MIN);
        self.decreased_at = Some(now);
    }
}
