//! Directory of all hosts with their daemons and backend servers, as keepers distribute it.

use crate::{
    name::{Incarnation, RegionName, ServiceName, ZoneName},
    server_tracker::ServerIdentity,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// A daemon's description of its host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HostRecord {
    /// Address for requests from other daemons; identifies the host.
    pub gate: SocketAddr,
    /// Incarnation of the daemon.
    pub run: Incarnation,
    /// Number of the record within one run.
    pub sequence: u64,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Backend server, while it accepts work through this daemon.
    pub server: Option<ServerRecord>,
    /// Last backend server of this host that accepts no new work as it leaves. A daemon that starts
    /// again takes it over, because a late heartbeat may name that server.
    pub left: Option<ServerIdentity>,
}

/// A backend server that accepts work.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerRecord {
    /// Service that the server runs.
    pub service: ServiceName,
    /// Identity of the server.
    pub id: String,
    /// Number of requests that it can run at once.
    pub slots: u32,
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    record: HostRecord,
    /// Value of the change counter when the record was merged.
    change: u64,
}

/// The newest record of each host.
#[derive(Clone, Debug, Default)]
pub struct HostDirectory {
    hosts: BTreeMap<SocketAddr, DirectoryEntry>,
    changes: u64,
}

impl HostDirectory {
    /// Merges `record` if it is newer than the one held; returns whether it was. A run of a daemon that
    /// knows of no server that has left keeps what the one before knew.
    pub fn merge(&mut self, mut record: HostRecord) -> bool {
        let order = |record: &HostRecord| (record.run, record.sequence);
        let held = self.hosts.get(&record.gate);
        if held.is_some_and(|held| order(&held.record) >= order(&record)) {
            return false;
        }
        if record.left.is_none() {
            record.left = held.and_then(|held| held.record.left.clone());
        }
        self.changes += 1;
        let change = self.changes;
        self.hosts
            .insert(record.gate, DirectoryEntry { record, change });
        true
    }

    /// Returns the number of changes so far.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the record of the host at `gate`.
    pub fn get(&self, gate: SocketAddr) -> Option<&HostRecord> {
        self.hosts.get(&gate).map(|entry| &entry.record)
    }

    /// Returns all records in order of address.
    pub fn iter(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.values().map(|entry| &entry.record)
    }

    /// Returns the records that were merged after change number `after`.
    pub fn changed_after(&self, after: u64) -> Vec<HostRecord> {
        let changed = self.hosts.values().filter(|entry| entry.change > after);
        changed.map(|entry| entry.record.clone()).collect()
    }

    /// Returns a hash that is equal for equal sets of records.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for entry in self.hosts.values() {
            entry.record.gate.hash(&mut hasher);
            entry.record.run.hash(&mut hasher);
            entry.record.sequence.hash(&mut hasher);
        }
        hasher.finish()
    }
}
