//! Options of a keeper, and the settings of its replica that follow from them.

use super::CONFIG_GROUP;
use crate::keeper_map::keeper_name;
use agatehill_decide::{
    name::{Incarnation, KeeperName, RegionName, ZoneName},
    replica::{ReplicaId, ReplicaSettings, VoterPolicy},
};
use agatehill_store::StoreError;
use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time without a heartbeat of a leader before an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Size of the chunks in which a snapshot is sent, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 18;

/// Options of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// IP address of the host.
    pub host: IpAddr,
    /// Port on which every keeper accepts connections from keepers and daemons.
    pub port: u16,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Folder of the durable state.
    pub data_dir: PathBuf,
    /// Hosts of the keepers that discovery starts from.
    pub seeds: Vec<IpAddr>,
    /// Whether the system starts for the first time; if so, the seeds then form the group.
    pub is_first_start: bool,
    /// Number of keepers that may lose their disks at the same time without loss of acknowledged
    /// changes.
    pub disk_losses_max: usize,
    /// Time from the start of an empty keeper until the one whose place it takes may not be needed
    /// any more.
    pub replace_within: Duration,
}

impl KeeperOptions {
    /// Returns the number of voters of which a majority holds every acknowledged change after the
    /// tolerated loss of disks.
    pub(super) fn voter_count(&self) -> usize {
        self.disk_losses_max.saturating_mul(2).saturating_add(1)
    }

    /// Returns the settings of the replica of the keeper `name`. Warns if they replace voters that
    /// are gone later than the options ask for.
    pub(super) fn replica_settings(&self, name: &KeeperName) -> ReplicaSettings {
        let founders = match self.is_first_start {
            true => self.seeds.iter().copied().map(keeper_name).collect(),
            false => Vec::new(),
        };
        let settings = ReplicaSettings {
            group: CONFIG_GROUP,
            group_count: 1,
            id: ReplicaId {
                name: name.clone(),
                incarnation: Incarnation(rand::random()),
            },
            keepers: vec![name.clone()],
            voter_policy: VoterPolicy::Discovered {
                founders,
                voter_count: self.voter_count(),
                replace_within: self.replace_within,
            },
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        };
        let longest = settings.replacement_time_max().unwrap_or_default();
        if longest > self.replace_within {
            spdlog::warn!("a voter that is gone may be replaced later than the settings ask for", kv: {
                longest_ms = millis(longest),
                within_ms = millis(self.replace_within)
            });
        }
        settings
    }
}

/// Returns `span` in milliseconds, for logs and dumps.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Why a keeper can't start.
#[derive(Debug)]
pub enum KeeperOpenError {
    /// The data folder can't be used.
    Store(StoreError),
    /// The address can't be bound.
    Bind(SocketAddr, io::Error),
}

impl fmt::Display for KeeperOpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeeperOpenError::Store(error) => error.fmt(f),
            KeeperOpenError::Bind(addr, error) => write!(f, "cannot listen on {addr}: {error}"),
        }
    }
}

impl std::error::Error for KeeperOpenError {}

impl From<StoreError> for KeeperOpenError {
    fn from(error: StoreError) -> KeeperOpenError {
        KeeperOpenError::Store(error)
    }
}
