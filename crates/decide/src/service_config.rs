//! The versioned configuration for routing by host and path: which requests go to which service,
//! how many backend servers they may reach and how long they may take.

mod account;
mod check;
mod table;

pub use self::{
    account::{ClientAccount, KeyDigest, RateLimit, is_most_urgent_route, rank_among_accounts},
    check::ConfigFault,
    table::{KeyCheck, RouteTable},
};
use crate::name::ServiceName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Its version; versions increase, not necessarily by 1.
    pub version: u64,
    /// The services that routes may name.
    pub services: Vec<ServiceSpec>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The routes by virtual host.
    pub hosts: Vec<HostRoutes>,
    /// The client accounts; without any, requests need no key.
    pub accounts: Vec<ClientAccount>,
}

/// A service that routes may send requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Path of the health check of its backend servers.
    pub health_path: String,
    /// Connections that each of its backend servers accepts.
    pub connections_max: u32,
}

/// Limits on what callers may send, and how slowly.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes_max: usize,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// Time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// The routes of one virtual host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRoutes {
    /// Its name as in the `host` header, without a port.
    pub host: String,
    /// Its routes.
    pub routes: Vec<RouteRule>,
}

/// The rules for the requests below one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Its name, unique in the configuration.
    pub name: String,
    /// Prefix of the paths that it applies to; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Longest time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub target_latency: Duration,
    /// Rank of its requests; 0 is the most important.
    pub priority: u32,
    /// The services that its requests are distributed over; most routes have one.
    pub weighted_services: Vec<WeightedService>,
    /// Largest number of backend servers that one attempt of a caller may reach.
    pub servers_max: u32,
    /// Whether its requests need no key of a client account.
    pub is_public: bool,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Whether requests may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// They are idempotent and may run more than once.
    Idempotent,
    /// They run at most once.
    AtMostOnce,
    /// They run at most once and have large bodies.
    Upload,
}

impl RouteKind {
    /// Returns whether a request may be retried although it may already have run.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Idempotent
    }
}
