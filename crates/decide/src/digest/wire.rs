//! Messages of the digest exchange.

use crate::name::{DaemonName, RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Servers and load of one service in a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestRow {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of servers that accept requests; 0 if none is left.
    pub servers: u32,
    /// Number of requests that they can run at once.
    pub slots: u32,
    /// Load in thousandths of the slots, as the servers report it; only a hint.
    pub load_permille: u16,
    /// Some daemons on the servers' hosts, which choose a server in their zone.
    pub entries: Vec<ZoneEntry>,
}

/// A daemon of another zone that accepts requests for a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEntry {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Address for forwarded requests.
    pub forward: SocketAddr,
}

/// Zones that a request covers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DigestScope {
    /// The receiver's own zone.
    Own,
    /// The other zones that the receiver got a digest from directly.
    Others,
    /// No digests, only relays of the other zones that it knows.
    Relays,
}

/// Requests the changes since a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestRequest {
    /// The sender as a relay, so that the receiver's zone can request digests in turn.
    pub from: ZoneRelay,
    /// Zones covered.
    pub scope: DigestScope,
    /// Run of the receiver that `version` belongs to; 0 in the first request.
    pub run: u64,
    /// Version in the receiver's last reply; 0 in the first request.
    pub version: u64,
    /// Load of the sender's servers by service, in thousandths, for the digest of its zone.
    pub loads: Vec<(ServiceName, u16)>,
}

/// Changes in one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDelta {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Time since the zone itself replied, in milliseconds.
    pub age_ms: u32,
    /// Control addresses of some of its relays; empty if they haven't changed.
    pub relays: Vec<SocketAddr>,
    /// Changed rows.
    pub rows: Vec<DigestRow>,
}

/// A relay of a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneRelay {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Control address of the relay.
    pub control: SocketAddr,
}

/// Reply to a [`DigestRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestReply {
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Run of the sender.
    pub run: u64,
    /// Version of the sender, for the next request.
    pub version: u64,
    /// Whether the rows are complete, not only the changes.
    pub is_full: bool,
    /// Digests of the requested zones.
    pub zones: Vec<ZoneDelta>,
    /// All other zones that the sender knows; empty if none was added since the last reply.
    pub known_zones: Vec<ZoneRelay>,
}
