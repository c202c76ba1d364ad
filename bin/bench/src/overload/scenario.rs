//! Scenarios: the disturbance of each, and the rate of answers that remains possible during it.

use super::deployment::{DEEPEST_SERVICE, DeploymentSpec, ZONES};
use std::time::Duration;

/// Start of the disturbance.
pub(crate) const DISTURBANCE_START: Duration = Duration::from_secs(5);
/// End of the disturbance.
pub(crate) const DISTURBANCE_END: Duration = Duration::from_secs(35);
/// End of the simulation.
pub(crate) const SIMULATION_END: Duration = Duration::from_secs(47);
/// Load outside the disturbance, as a share of capacity.
const NORMAL_LOAD: f64 = 0.8;
/// Time from the crash of a server to its restart.
pub(super) const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time that a restarted server takes to reach its normal speed.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Factor by which runs take longer just after a restart.
const COLD_SLOWDOWN: f64 = 4.0;

/// A scenario with one disturbance, from [`DISTURBANCE_START`] to [`DISTURBANCE_END`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScenarioSpec {
    pub(crate) name: &'static str,
    /// Load during the disturbance, as a share of capacity.
    pub(crate) load: f64,
    /// Factor by which runs of the deepest service take longer during the disturbance.
    pub(crate) slowdown: f64,
    /// Zone that the network isolates from all others during the disturbance.
    pub(crate) isolated_zone: Option<usize>,
    /// Number of servers of the deepest service that crash at the start of the disturbance.
    pub(crate) crashed_servers: usize,
    /// Factor by which servers of the deepest service overstate their slots, all the time.
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

/// Requests per second that a perfect overload control could answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdealRate {
    pub(crate) all: f64,
    /// Requests among them that reach the deepest service.
    pub(crate) deep: f64,
}

impl ScenarioSpec {
    /// Returns whether the disturbance is in progress at `at`.
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

    /// Returns whether `zone` is isolated at `at`.
    pub(crate) fn is_isolated(&self, zone: usize, at: Duration) -> bool {
        self.is_disturbed(at) && self.isolated_zone == Some(zone)
    }

    /// Returns whether a message sent at `at` gets from zone `from` to zone `to`.
    pub(crate) fn can_reach(&self, from: usize, to: usize, at: Duration) -> bool {
        from == to || !(self.is_isolated(from, at) || self.is_isolated(to, at))
    }

    /// Returns whether the server of `service` in `zone` is up at `at`.
    pub(crate) fn is_up(&self, service: usize, zone: usize, at: Duration) -> bool {
        !(self.will_crash(service, zone)
            && (DISTURBANCE_START..DISTURBANCE_START + RESTART_TIME).contains(&at))
    }

    /// Returns the factor by which a run started at `at` takes longer than normal.
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

    /// Returns the time from which normal service is possible again.
    pub(crate) fn recovery_start(&self) -> Duration {
        match self.crashed_servers {
            0 => DISTURBANCE_END,
            _ => DISTURBANCE_START + RESTART_TIME + WARM_UP_TIME,
        }
    }

    /// Returns the rate that a perfect overload control could answer at `at`.
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

    /// Returns whether the server of `service` in `zone` crashes in this scenario; at most
    /// one per region does.
    pub(crate) fn will_crash(&self, service: usize, zone: usize) -> bool {
        service == DEEPEST_SERVICE && zone.is_multiple_of(2) && zone / 2 < self.crashed_servers
    }

    /// Returns the speed of the deepest service in `zone`, as a share of normal.
    fn speed(&self, zone: usize, at: Duration) -> f64 {
        match self.is_up(DEEPEST_SERVICE, zone, at) {
            true => 1.0 / self.slowdown_at(DEEPEST_SERVICE, zone, at),
            false => 0.0,
        }
    }

    /// Returns the slowdown after a restart; it falls linearly to 1.
    fn cold_slowdown(&self, zone: usize, at: Duration) -> f64 {
        let since_restart = at.saturating_sub(DISTURBANCE_START + RESTART_TIME);
        if !self.will_crash(DEEPEST_SERVICE, zone)
            || at < DISTURBANCE_START
            || since_restart >= WARM_UP_TIME
        {
            return 1.0;
        }
        COLD_SLOWDOWN - (COLD_SLOWDOWN - 1.0) * since_restart.div_duration_f64(WARM_UP_TIME)
    }
}
