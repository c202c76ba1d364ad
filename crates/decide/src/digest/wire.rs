//! What daemons ask and tell about other zones.

use crate::name::{DaemonName, RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a zone has of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestRow {
    /// The service.
    pub service: ServiceName,
    /// Servers that take requests; 0 when there are none any more.
    pub servers: u32,
    /// Requests that they can run at once.
    pub slots: u32,
    /// Load in thousandths of the slots, as the servers report it: a hint.
    pub load_permille: u16,
    /// Some daemons beside them, which choose a server in their zone.
    pub entries: Vec<ZoneEntry>,
}

/// A daemon of another zone that takes requests for a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEntry {
    /// The daemon.
    pub daemon: DaemonName,
    /// Where it takes forwarded requests.
    pub forward: SocketAddr,
}

/// Which zones a request is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DigestScope {
    /// The zone of the daemon that is asked.
    Own,
    /// The other zones that it has heard from.
    Others,
    /// No digests, only where other zones can be asked.
    Relays,
}

/// Asks for what has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestRequest {
    /// The asker, so that its zone can be asked in turn.
    pub from: ZoneRelay,
    /// Which zones.
    pub scope: DigestScope,
    /// Run of the asked daemon that `version` is of; 0 if it was never asked.
    pub run: u64,
    /// Version of the last reply.
    pub version: u64,
    /// Load of the asker's own servers in thousandths, by service, for the digest of its zone.
    pub loads: Vec<(ServiceName, u16)>,
}

/// What has changed in one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDelta {
    /// The zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Time since the zone itself was heard, in milliseconds.
    pub age_ms: u32,
    /// Control addresses of some of its relays; empty when they haven't changed.
    pub relays: Vec<SocketAddr>,
    /// The rows that have changed.
    pub rows: Vec<DigestRow>,
}

/// Where a zone can be asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneRelay {
    /// The zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Control address of one of its relays.
    pub control: SocketAddr,
}

/// Answers a [`DigestRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestReply {
    /// Zone of the daemon that answers.
    pub zone: ZoneName,
    /// Its run.
    pub run: u64,
    /// Its version, for the next request.
    pub version: u64,
    /// Whether the rows are all that there are, not only changes.
    pub is_full: bool,
    /// The zones asked for.
    pub zones: Vec<ZoneDelta>,
    /// Other zones that it knows of, when one has come since the last reply.
    pub known_zones: Vec<ZoneRelay>,
}
