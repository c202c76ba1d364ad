//! Routing: chooses the server for an attempt.
//!
//! Rendezvous hashing of the request id (Thaler and Ravishankar, "Using Name-Based Mappings to
//! Increase Hit Rates", 1998) yields two candidates, and the less loaded one is chosen
//! (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Resends of a
//! request therefore go to the same few servers, and a server that understates its load gets at
//! most twice its share.

mod directory;
mod stats;
mod table;

pub use directory::ServerDirectory;
pub use stats::{InFlightGuard, OutcomeSample, ServerStats};
pub use table::{RouteChoice, RouteQuery, RouteTable, RouteTarget};

use crate::{
    contract::RequestClass,
    hash::hash_parts,
    name::{CustomerName, DaemonName, RegionName, RequestId, ServiceName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

slotmap::new_key_type! {
    /// Key of a server in a [`ServerDirectory`] and in the tables built from it.
    pub struct ServerKey;
}

/// State of a server, as announced by itself or assigned by the membership.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// In slow start; gets a reduced share of the requests.
    Starting,
    /// Accepts requests.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// Its daemon is suspect; gets no new requests until the daemon refutes.
    Suspect,
}

/// A server, or an entry into another zone, that requests of a service can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerView {
    /// Service that the server runs.
    pub service: ServiceName,
    /// Daemon that requests go through.
    pub daemon: DaemonName,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Region of the daemon.
    pub region: RegionName,
    /// The daemon's address for forwarded requests.
    pub forward: SocketAddr,
    /// Address of the backend server; `None` for an entry into another zone, where the daemon
    /// chooses the server.
    pub backend: Option<SocketAddr>,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// Number of requests that it can run at once.
    pub slots: u32,
}

/// Distance of a server, nearest first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteDistance {
    /// In this availability zone.
    Zone,
    /// In another availability zone of this region.
    Region,
    /// In another region.
    Far,
}

/// How far from this zone an attempt may be sent; links between zones are slow and billed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteReach {
    /// Farthest distance if nearer servers shed the request.
    pub when_shed: RouteDistance,
    /// Farthest distance if no nearer server accepts requests.
    pub when_absent: RouteDistance,
}

impl RouteReach {
    /// Stays in the zone; used for requests that were forwarded from another zone.
    pub const LOCAL: RouteReach = RouteReach {
        when_shed: RouteDistance::Zone,
        when_absent: RouteDistance::Zone,
    };

    /// Returns the reach of requests of `class`.
    pub fn of(class: RequestClass) -> RouteReach {
        let (when_shed, when_absent) = match class {
            RequestClass::Critical => (RouteDistance::Far, RouteDistance::Far),
            RequestClass::Normal => (RouteDistance::Region, RouteDistance::Far),
            RequestClass::Background => (RouteDistance::Zone, RouteDistance::Region),
        };
        RouteReach {
            when_shed,
            when_absent,
        }
    }
}

/// Hash of a request's identity; the same in every resend.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Returns the hash of the request `id` of `customer`.
    pub fn of(customer: &CustomerName, id: &RequestId) -> RequestHash {
        RequestHash(hash_parts(&[customer.as_str(), id.as_str()]))
    }
}
