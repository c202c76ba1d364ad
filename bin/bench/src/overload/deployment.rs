//! The two simulated deployments: services, latencies and operations.

use agatehill_decide::contract::RequestClass;
use std::time::Duration;

/// Number of availability zones, two in each of three regions.
pub(crate) const ZONES: usize = 6;
/// Retries that a contract allows for a request.
pub(crate) const RETRIES_PER_REQUEST: u32 = 2;

/// A service; each zone has one server of it.
pub(crate) struct ServiceSpec {
    pub(crate) name: &'static str,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Mean time of a run, without its child calls.
    pub(crate) own_time: Duration,
}

/// An operation of callers, which calls a chain of services.
pub(crate) struct ChainSpec {
    pub(crate) class: RequestClass,
    pub(crate) is_idempotent: bool,
    /// Share of all requests.
    pub(crate) share: f64,
    pub(crate) deadline: Duration,
    /// Indexes of the called services, outermost first.
    pub(crate) services: &'static [usize],
}

/// The deployment of one customer; latencies are one way.
pub(crate) struct DeploymentSpec {
    pub(crate) name: &'static str,
    /// Latency between zones of a region.
    pub(crate) zone_latency: Duration,
    /// Latency between regions.
    pub(crate) region_latency: Duration,
    /// Latency between a caller and its entry daemon.
    pub(crate) client_latency: Duration,
    pub(crate) services: [ServiceSpec; 4],
    pub(crate) chains: [ChainSpec; 6],
}

/// Index of the deepest service, the one with the fewest slots.
pub(crate) const DEEPEST_SERVICE: usize = 3;

const MAIN_CHAIN: &[usize] = &[0, 1, 3];
const SIDE_CHAIN: &[usize] = &[0, 2, 3];
const SHALLOW_CHAIN: &[usize] = &[0];

impl DeploymentSpec {
    /// Returns the deployment of Dansk Kølemiddelforening.
    pub(crate) fn dansk() -> DeploymentSpec {
        DeploymentSpec {
            name: "dansk",
            zone_latency: Duration::from_micros(1_500),
            region_latency: Duration::from_millis(20),
            client_latency: Duration::from_millis(8),
            services: [
                service("techreg", 50, 400, 20),
                service("certdesk", 50, 400, 30),
                service("proevesal", 50, 400, 40),
                service("gasdata", 10, 150, 40),
            ],
            // In order: check, logbook, history, exam, browse, export.
            chains: [
                chain(RequestClass::Critical, true, 0.20, MAIN_CHAIN),
                chain(RequestClass::Normal, false, 0.35, MAIN_CHAIN),
                chain(RequestClass::Background, true, 0.15, MAIN_CHAIN),
                chain(RequestClass::Normal, false, 0.10, SIDE_CHAIN),
                chain(RequestClass::Normal, true, 0.10, SHALLOW_CHAIN),
                chain(RequestClass::Background, true, 0.10, SHALLOW_CHAIN),
            ],
        }
    }

    /// Returns the deployment of Sutravan Menswear Collective.
    pub(crate) fn sutravan() -> DeploymentSpec {
        DeploymentSpec {
            name: "sutravan",
            zone_latency: Duration::from_millis(1),
            region_latency: Duration::from_millis(20),
            client_latency: Duration::from_millis(8),
            services: [
                service("capsule-view", 75, 550, 15),
                service("till", 75, 550, 30),
                service("darkroom", 75, 550, 50),
                service("tailor-desk", 15, 200, 45),
            ],
            // In order: confirm, swap, lookbook, upload, browse, feed.
            chains: [
                chain(RequestClass::Critical, false, 0.20, MAIN_CHAIN),
                chain(RequestClass::Normal, true, 0.35, MAIN_CHAIN),
                chain(RequestClass::Background, true, 0.15, MAIN_CHAIN),
                chain(RequestClass::Normal, false, 0.10, SIDE_CHAIN),
                chain(RequestClass::Normal, true, 0.10, SHALLOW_CHAIN),
                chain(RequestClass::Background, true, 0.10, SHALLOW_CHAIN),
            ],
        }
    }

    /// Returns the request rate per second that saturates the deepest service.
    pub(crate) fn capacity(&self) -> f64 {
        self.deep_capacity() / self.deep_share()
    }

    /// Returns the runs per second of the deepest service at its normal speed.
    pub(crate) fn deep_capacity(&self) -> f64 {
        let deep = &self.services[DEEPEST_SERVICE];
        f64::from(deep.slots) * ZONES as f64 / deep.own_time.as_secs_f64()
    }

    /// Returns the share of requests that reach the deepest service.
    pub(crate) fn deep_share(&self) -> f64 {
        let reaches = |c: &&ChainSpec| c.services.contains(&DEEPEST_SERVICE);
        self.chains.iter().filter(reaches).map(|c| c.share).sum()
    }

    /// Returns the one-way latency between two zones.
    pub(crate) fn latency(&self, from: usize, to: usize) -> Duration {
        match (from == to, from / 2 == to / 2) {
            (true, _) => SAME_ZONE_LATENCY,
            (false, true) => self.zone_latency,
            (false, false) => self.region_latency,
        }
    }
}

/// One-way latency between hosts of a zone.
const SAME_ZONE_LATENCY: Duration = Duration::from_micros(200);

fn service(name: &'static str, slots: u32, connections: u32, own_millis: u64) -> ServiceSpec {
    ServiceSpec {
        name,
        slots,
        connections,
        own_time: Duration::from_millis(own_millis),
    }
}

fn chain(
    class: RequestClass,
    is_idempotent: bool,
    share: f64,
    services: &'static [usize],
) -> ChainSpec {
    let millis = match class {
        RequestClass::Critical => 1_500,
        RequestClass::Normal => 2_000,
        RequestClass::Background => 3_000,
    };
    ChainSpec {
        class,
        is_idempotent,
        share,
        deadline: Duration::from_millis(millis),
        services,
    }
}
