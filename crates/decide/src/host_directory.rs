//! Directory of all hosts with their daemons and backend servers, as keepers distribute it.

mod wire;

use self::wire::WireAnswer;
pub use self::wire::{HostRecordError, WireHostRecord};
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

/// Most records in one [`DirectoryAnswer`]; about 30 KB, so that a keeper that lacks all of a large
/// directory fetches it in pieces.
pub const ANSWER_RECORDS_MAX: usize = 256;

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

impl HostRecord {
    /// Returns the newer of both records, with the server that has left of the one or the other, whichever
    /// started last.
    fn joined(&self, other: &HostRecord) -> HostRecord {
        let order = |record: &HostRecord| (record.run, record.sequence);
        let (newer, older) = match order(other) > order(self) {
            true => (other, self),
            false => (self, other),
        };
        HostRecord {
            left: ServerIdentity::latest(newer.left.clone(), older.left.clone()),
            ..newer.clone()
        }
    }
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

/// How far a reader has followed the changes of one directory.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryPosition {
    /// Identifies the run of the directory's process; changes are numbered anew in each.
    pub run: u64,
    /// Number of the last change that the reader has.
    pub change: u64,
}

/// A keeper's question for the records that it lacks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryQuery {
    /// How far the asking keeper has followed the asked one.
    pub position: DirectoryPosition,
    /// Digest of the asking keeper's directory.
    pub digest: u64,
}

/// The reply to a [`DirectoryQuery`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireAnswer")]
pub struct DirectoryAnswer {
    /// How far the asking keeper has followed the asked one once it has merged `records`.
    pub position: DirectoryPosition,
    /// Records that changed after the position of the query, the earliest change first.
    pub records: Vec<HostRecord>,
    /// Number of records that were left out when it was read, as they name no host.
    #[serde(skip)]
    pub skipped: usize,
}

impl DirectoryAnswer {
    /// Returns whether more records may follow at its position.
    pub fn is_full(&self) -> bool {
        self.records.len() + self.skipped == ANSWER_RECORDS_MAX
    }
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
    /// Hosts by the change that merged their record.
    changed: BTreeMap<u64, SocketAddr>,
    changes: u64,
    digest: u64,
}

impl HostDirectory {
    /// Merges `record`; returns whether that changed what is held. The newer record of a host counts, but for
    /// the server that has left: of two records, the one with the later start is held, so that no daemon
    /// or keeper that starts again can make it forgotten.
    pub fn merge(&mut self, record: HostRecord) -> bool {
        let held = self.hosts.get(&record.gate).map(|entry| &entry.record);
        let merged = match held {
            Some(held) => held.joined(&record),
            None => record,
        };
        if held == Some(&merged) {
            return false;
        }
        self.replace(merged);
        true
    }

    fn replace(&mut self, record: HostRecord) {
        if let Some(held) = self.hosts.get(&record.gate) {
            self.digest ^= record_digest(&held.record);
            self.changed.remove(&held.change);
        }
        self.digest ^= record_digest(&record);
        self.changes += 1;
        let change = self.changes;
        self.changed.insert(change, record.gate);
        self.hosts
            .insert(record.gate, DirectoryEntry { record, change });
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

    /// Returns the records that were merged after change number `after`, the earliest first.
    pub fn changed_after(&self, after: u64) -> Vec<HostRecord> {
        let changed = self.changed.range(after.saturating_add(1)..);
        changed.map(|(_, gate)| self.held(gate).clone()).collect()
    }

    /// Returns what the asking keeper lacks, [`ANSWER_RECORDS_MAX`] records at most. `run` identifies the
    /// run of this process.
    ///
    /// Equal digests show that it lacks nothing. Else it gets what changed since its position: it keeps
    /// all that it has once merged.
    pub fn answer(&self, query: &DirectoryQuery, run: u64) -> DirectoryAnswer {
        let end = DirectoryPosition {
            run,
            change: self.changes,
        };
        if query.digest == self.digest {
            return DirectoryAnswer {
                position: end,
                records: Vec::new(),
                skipped: 0,
            };
        }
        let after = match query.position.run == run {
            true => query.position.change,
            false => 0,
        };
        let changed = self
            .changed
            .range(after.saturating_add(1)..)
            .take(ANSWER_RECORDS_MAX);
        let changed: Vec<_> = changed.collect();
        let last = match changed.last() {
            Some((change, _)) if changed.len() == ANSWER_RECORDS_MAX => **change,
            _ => self.changes,
        };
        DirectoryAnswer {
            position: DirectoryPosition { run, change: last },
            records: changed
                .into_iter()
                .map(|(_, gate)| self.held(gate).clone())
                .collect(),
            skipped: 0,
        }
    }

    /// Returns a hash that is equal for equal sets of records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn held(&self, gate: &SocketAddr) -> &HostRecord {
        &self.hosts[gate].record
    }
}

/// Returns the part of the digest that comes from one record.
fn record_digest(record: &HostRecord) -> u64 {
    let mut hasher = DefaultHasher::new();
    (record.gate, record.run, record.sequence).hash(&mut hasher);
    if let Some(left) = &record.left {
        left.hash(&mut hasher);
    }
    hasher.finish()
}
