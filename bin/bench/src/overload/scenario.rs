//! What goes wrong, when, and what could still be served meanwhile.

use super::deployment::{DEEPEST_SERVICE, DeploymentSpec, ZONES};
use std::time::Duration;

/// When the disturbance begins.
pub(crate) const DISTURBANCE_START: Duration = Duration::from_secs(5);
/// When the disturbance ends.
pub(crate) const DISTURBANCE_END: Duration = Duration::from_secs(35);
/// When the run ends.
pub(crate) const SIMULATION_END: Duration = Duration::from_secs(47);
/// Load of every scenario outside its disturbance, as a share of capacity.
const NORMAL_LOAD: f64 = 0.8;
/// Time that a crashed server is away.
pub(super) const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time over which a cold server reaches its normal speed.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Times slower that a server is when it has just started.
const COLD_SLOWDOWN: f64 = 4.0;

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScenarioSpec {
    pub(crate) name: &'static str,
    /// Load during the disturbance, as a share of capacity.
    pub(crate) load: f64,
    /// Times slower that the deepest service is during the disturbance.
    pub(crate) slowdown: f64,
    /// A zone that is cut off from all others during the disturbance.
    pub(crate) isolated_zone: Option<usize>,
    /// Servers of the deepest service that crash at the start of the disturbance.
    pub(crate) crashed_servers: usize,
    /// Times their slots that the servers of the deepest service announce.
    pub(crate) slots_factor: u32,
}

const STEADY: ScenarioSpec = ScenarioSpec {
    name: "steady 0.8",
    load: NORMAL_LOAD,
    slowdown: 1.0,
    isolated_zone: None,
    crashed_servers: 0,
    slots_factor: 1,
};

/// All scenarios.
pub(crate) const SCENARIOS: [ScenarioSpec; 9] = [
    STEADY,
    ScenarioSpec {
        name: "surge 1.5",
        load: 1.5,
        ..STEADY
    },
    ScenarioSpec {
        name: "surge 2",
        load: 2.0,
        ..STEADY
    },
    ScenarioSpec {
        name: "surge 3",
        load: 3.0,
        ..STEADY
    },
    ScenarioSpec {
        name: "deep slow x5",
        slowdown: 5.0,
        ..STEADY
    },
    ScenarioSpec {
        name: "surge 2 + slow x5",
        load: 2.0,
        slowdown: 5.0,
        ..STEADY
    },
    ScenarioSpec {
        name: "surge 1.2, zone cut off",
        load: 1.2,
        isolated_zone: Some(0),
        ..STEADY
    },
    ScenarioSpec {
        name: "half restarted cold",
        crashed_servers: 3,
        ..STEADY
    },
    ScenarioSpec {
        name: "surge 2, slots overstated",
        load: 2.0,
        slots_factor: 2,
        ..STEADY
    },
];

/// Requests a second that perfect control could answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdealRate {
    pub(crate) all: f64,
    /// Those that reach the deepest service.
    pub(crate) deep: f64,
}

impl ScenarioSpec {
    pub(crate) fn is_disturbed(&self, at: Duration) -> bool {
        (DISTURBANCE_START..DISTURBANCE_END).contains(&at)
    }

    /// Returns the load at `at`, as a share of capacity.
    pub(crate) fn load_at(&self, at: Duration) -> f64 {
        match self.is_disturbed(at) {
            true => self.load,
            false => NORMAL_LOAD,
        }
    }

    /// Returns whether `zone` is cut off at `at`.
    pub(crate) fn is_isolated(&self, zone: usize, at: Duration) -> bool {
        self.is_disturbed(at) && self.isolated_zone == Some(zone)
    }

    /// Returns whether a message between the zones passes at `at`.
    pub(crate) fn can_reach(&self, from: usize, to: usize, at: Duration) -> bool {
        from == to || !(self.is_isolated(from, at) || self.is_isolated(to, at))
    }

    /// Returns whether the server of `service` in `zone` is up at `at`.
    pub(crate) fn is_up(&self, service: usize, zone: usize, at: Duration) -> bool {
        !(self.is_crashed(service, zone)
            && (DISTURBANCE_START..DISTURBANCE_START + RESTART_TIME).contains(&at))
    }

    /// Returns how many times its normal time a run takes.
    pub(crate) fn slowdown_at(&self, service: usize, zone: usize, at: Duration) -> f64 {
        if service != DEEPEST_SERVICE {
            return 1.0;
        }
        let slowdown = if self.is_disturbed(at) {
            self.slowdown
        } else {
            1.0
        };
        slowdown * self.cold_slowdown(zone, at)
    }

    /// Returns when normal service is possible again.
    pub(crate) fn recovery_start(&self) -> Duration {
        match self.crashed_servers {
            0 => DISTURBANCE_END,
            _ => DISTURBANCE_START + RESTART_TIME + WARM_UP_TIME,
        }
    }

    /// Returns what perfect control could answer at `at`.
    pub(crate) fn ideal_rate(&self, deployment: &DeploymentSpec, at: Duration) -> IdealRate {
        let offered = deployment.capacity() * self.load_at(at);
        let deep = offered * deployment.deep_share();
        let speed: f64 = (0..ZONES).map(|zone| self.speed(zone, at)).sum();
        let capacity = deployment.deep_capacity() * speed / ZONES as f64;
        IdealRate {
            all: offered - deep + deep.min(capacity),
            deep: deep.min(capacity),
        }
    }

    pub(crate) fn is_crashed(&self, service: usize, zone: usize) -> bool {
        service == DEEPEST_SERVICE && zone.is_multiple_of(2) && zone / 2 < self.crashed_servers
    }

    fn speed(&self, zone: usize, at: Duration) -> f64 {
        match self.is_up(DEEPEST_SERVICE, zone, at) {
            true => 1.0 / self.slowdown_at(DEEPEST_SERVICE, zone, at),
            false => 0.0,
        }
    }

    fn cold_slowdown(&self, zone: usize, at: Duration) -> f64 {
        let since = at.saturating_sub(DISTURBANCE_START + RESTART_TIME);
        if !self.is_crashed(DEEPEST_SERVICE, zone)
            || at < DISTURBANCE_START
            || since >= WARM_UP_TIME
        {
            return 1.0;
        }
        COLD_SLOWDOWN - (COLD_SLOWDOWN - 1.0) * since.div_duration_f64(WARM_UP_TIME)
    }
}
