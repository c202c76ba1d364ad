//! Counts of the requests of one route, which show whether servers call it or callers use it.

use crate::gate_selection::RouteKey;
use std::collections::HashMap;

/// Certain calls after which a route counts as one that servers call.
const CERTAIN_CALLS_MIN: u32 = 3;
/// Requests that follow each other on a connection after which their route counts as one that servers call.
const FOLLOW_UPS_MIN: u32 = 10;
/// Callers' own requests per call up to which a route counts as one that servers call.
const OWN_PER_CALL_MAX: f64 = 0.5;
/// Share of a route's certain calls that the calls of one parent route need for it to count as a parent.
const PARENT_ROUTE_SHARE_MIN: f64 = 0.1;
/// Requests of a route after which its counts are halved, so that they follow a new configuration.
const ROUTE_COUNT_MAX: u32 = 10_000;

/// Requests of one route, by who sent them.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteCounts {
    /// Calls with the deadline of their parent.
    calls: u32,
    /// Requests that followed another on their connection, while they may have been calls.
    follow_ups: u32,
    /// Of `calls`, those by the route of their parent.
    by_parent: HashMap<RouteKey, u32>,
    /// Requests that no running request can have made.
    own: u32,
}

impl RouteCounts {
    pub(super) fn is_called(&self) -> bool {
        let has_evidence = self.calls >= CERTAIN_CALLS_MIN || self.follow_ups >= FOLLOW_UPS_MIN;
        let calls = f64::from(self.calls) + f64::from(self.follow_ups);
        has_evidence && f64::from(self.own) <= calls * OWN_PER_CALL_MAX
    }

    /// Returns whether callers use the route, so that an equal deadline may be chance.
    pub(super) fn is_own(&self) -> bool {
        self.own > 0 && !self.is_called()
    }

    /// Returns whether requests of the route `parent` make such calls.
    pub(super) fn is_parent(&self, parent: RouteKey) -> bool {
        let calls = self.by_parent.get(&parent).copied().unwrap_or(0);
        f64::from(calls) >= f64::from(self.calls) * PARENT_ROUTE_SHARE_MIN
    }

    pub(super) fn record_call(&mut self, parent: RouteKey) {
        self.calls += 1;
        *self.by_parent.entry(parent).or_default() += 1;
        self.halve_if_full();
    }

    pub(super) fn record_follow_up(&mut self) {
        self.follow_ups += 1;
        self.halve_if_full();
    }

    pub(super) fn record_own(&mut self) {
        self.own += 1;
        self.halve_if_full();
    }

    fn halve_if_full(&mut self) {
        if self.calls.max(self.own).max(self.follow_ups) < ROUTE_COUNT_MAX {
            return;
        }
        self.calls /= 2;
        self.follow_ups /= 2;
        self.own /= 2;
        self.by_parent.retain(|_, calls| {
            *calls /= 2;
            *calls > 0
        });
    }
}
