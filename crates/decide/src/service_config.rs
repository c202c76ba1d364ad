//! The versioned configuration of a customer that routes by host and path: which requests go to
//! which service, how often they may be tried and how long they may take.

mod check;
mod table;

pub use self::{check::ConfigFault, table::RouteTable};
use crate::name::ServiceName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One version of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Its version; versions grow, in uneven steps.
    pub version: u64,
    /// The services that routes may name.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The routes by virtual host.
    pub hosts: Vec<HostRoutes>,
}

/// A service that requests are sent to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Path at which its backend servers tell their health.
    pub health_path: String,
    /// Connections that one of its backend servers accepts.
    pub connections_max: u32,
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Size of a request's head, in bytes.
    pub head_bytes_max: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes_max: u64,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// The routes of one virtual host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRoutes {
    /// Its name, as in the header `host`, without a port.
    pub host: String,
    /// Its routes.
    pub routes: Vec<RouteRule>,
}

/// What applies to the requests below one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Its name, unique in the configuration.
    pub name: String,
    /// Beginning of the paths that it is for; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for an answer.
    pub timeout: Duration,
    /// Time in which an answer is worth most.
    pub target_latency: Duration,
    /// Rank; 0 is the most important.
    pub priority: u32,
    /// The services that its requests are spread over; one for most routes.
    pub weighted_services: Vec<WeightedService>,
    /// Backend servers that one attempt of a caller may reach.
    pub servers_max: u32,
}

/// A share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service that they go to.
    pub service: ServiceName,
    /// The share, relative to the other parts.
    pub weight: u32,
}

/// Whether requests may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// They are idempotent.
    Idempotent,
    /// They run at most once.
    AtMostOnce,
    /// They run at most once, and their bodies are large.
    Upload,
}

impl RouteKind {
    /// Returns whether a request may be sent again although it may have run.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Idempotent
    }
}
