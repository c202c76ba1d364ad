//! Routing: which server an attempt runs at.
//!
//! Two candidates come from rendezvous hashing of the request id (Thaler and Ravishankar, "Using
//! Name-Based Mappings to Increase Hit Rates", 1998) and the less loaded one wins (Mitzenmacher,
//! "The Power of Two Choices in Randomized Load Balancing", 2001). The resends of one request so
//! meet the same few servers, and a server that understates its load draws twice its share at most.

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
    /// Names a server in a [`ServerDirectory`] and in the tables built from it.
    pub struct ServerKey;
}

/// What a server announced about itself, or what its zone says of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Warming up; gets a share of the requests.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Its daemon doesn't answer; takes nothing new until it does.
    Suspect,
}

/// One place where requests of a service can run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerView {
    /// The service that it runs.
    pub service: ServiceName,
    /// The daemon that requests go through.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where its daemon takes forwarded requests.
    pub forward: SocketAddr,
    /// The backend server; `None` for an entry into another zone, whose daemon chooses the server.
    pub backend: Option<SocketAddr>,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// How far away a server is, nearest first.
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

/// How far an attempt may go for its server; links between zones are slow and billed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteReach {
    /// The farthest distance when nearer servers shed the request.
    pub when_shed: RouteDistance,
    /// The farthest distance when nearer places have no server that takes requests.
    pub when_absent: RouteDistance,
}

impl RouteReach {
    /// Stays in the zone: for a request that another zone has sent here.
    pub const LOCAL: RouteReach = RouteReach {
        when_shed: RouteDistance::Zone,
        when_absent: RouteDistance::Zone,
    };

    /// Returns how far a request of class `class` may go.
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

/// Hash of a request's identity, the same in every resend.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Returns the hash of the request `id` of `customer`.
    pub fn of(customer: &CustomerName, id: &RequestId) -> RequestHash {
        RequestHash(hash_parts(&[customer.as_str(), id.as_str()]))
    }
}
