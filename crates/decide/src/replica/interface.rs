//! What a driver and a replica say to each other.

use super::message::{HardState, LogEntry, ReplicaEnvelope, ReplicaId, ReplicaSnapshot};
use crate::name::KeeperName;
use serde::Serialize;
use std::{sync::Arc, time::Duration};

/// What a replica is told when it starts.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The group.
    pub group: u16,
    /// The number of groups that keys are spread over, the same at every replica: messages of
    /// replicas that know another number are dropped, because they look for keys elsewhere.
    pub group_count: u16,
    /// This keeper and its disk.
    pub id: ReplicaId,
    /// All keepers that are known, this one included; [`ReplicaInput::AddKeepers`] adds to them.
    pub keepers: Vec<KeeperName>,
    /// Who votes.
    pub voter_policy: VoterPolicy,
    /// Time between two messages of a leader to each other replica.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; the longest is twice as long.
    pub election_timeout: Duration,
    /// Size of the parts in which a snapshot is sent, in bytes.
    pub snapshot_chunk_bytes: usize,
}

/// How a group comes to its voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterPolicy {
    /// By name, from the settings. The group is formed once all known keepers are present.
    Listed(Vec<KeeperName>),
    /// By presence: keepers that are found and have caught up vote, up to a number of them.
    Discovered {
        /// Keepers that form a new group once all of them are present; empty where a group exists
        /// already, so that a lost disk can never lead to a second one.
        founders: Vec<KeeperName>,
        /// The number of voters that the leader brings the group to.
        voter_count: usize,
        /// Time without a message after which a voter gives way to a keeper that is present.
        replace_after: Duration,
    },
}

impl VoterPolicy {
    /// Returns the keepers that vote in a new group.
    pub fn founders(&self) -> &[KeeperName] {
        match self {
            VoterPolicy::Listed(names) => names,
            VoterPolicy::Discovered { founders, .. } => founders,
        }
    }
}

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Term, vote and promise.
    pub hard_state: HardState,
    /// The snapshot, if there is one.
    pub snapshot: Option<ReplicaSnapshot>,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

/// What a driver tells a replica.
#[derive(Clone, Debug)]
pub enum ReplicaInput {
    /// A message of another replica.
    Message(ReplicaEnvelope),
    /// Time has passed; at least a few times in a heartbeat.
    Tick,
    /// Commands to be replicated, each with a token that comes back with its fate.
    Propose(Vec<(u64, Arc<[u8]>)>),
    /// Further keepers that were found; those known before stay known.
    AddKeepers(Vec<KeeperName>),
    /// All outputs so far are durable.
    Persisted,
    /// The process is about to stop: hand the lead over, if there is one.
    TransferLeadership,
    /// The state after the entry `index`, which was applied, serialised.
    Compact {
        /// The last entry that the state covers.
        index: u64,
        /// The state.
        data: Arc<[u8]>,
    },
}

/// What must be durable before later outputs are carried out.
#[derive(Clone, Debug, Default)]
pub struct PersistBatch {
    /// Term, vote and promise, if they have changed.
    pub hard_state: Option<HardState>,
    /// A snapshot; with one, `entries` is the whole log after it.
    pub snapshot: Option<ReplicaSnapshot>,
    /// Entries to append; the first takes the place of its index and all after it.
    pub entries: Vec<LogEntry>,
}

/// What a driver is to do.
#[derive(Clone, Debug)]
pub enum ReplicaOutput {
    /// Send a message; it may get lost.
    Send(ReplicaEnvelope),
    /// Write and sync.
    Persist(PersistBatch),
    /// Apply a committed entry; `token` is set if it was proposed here.
    Apply {
        /// The entry.
        entry: LogEntry,
        /// The token that the command was proposed with.
        token: Option<u64>,
    },
    /// Replace the state.
    Restore(ReplicaSnapshot),
    /// A command was not proposed: another keeper leads.
    NotLeader {
        /// The token that the command was proposed with.
        token: u64,
        /// The leader, when known.
        leader: Option<KeeperName>,
    },
    /// A command was proposed but its fate will not be known here.
    OutcomeUnknown {
        /// The token that the command was proposed with.
        token: u64,
    },
    /// This replica leads from now on.
    BecameLeader {
        /// Its term.
        term: u64,
    },
}

/// What a replica is at the moment, for dumps.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// `leader`, `candidate`, `follower` or `forming`.
    pub role: &'static str,
    /// The latest term.
    pub term: u64,
    /// The keeper that leads, when known.
    pub leader: Option<KeeperName>,
    /// The last entry.
    pub last_index: u64,
    /// The last committed entry.
    pub commit: u64,
    /// The last entry that the snapshot covers.
    pub snapshot: u64,
    /// The voters.
    pub voters: Vec<String>,
    /// Whether the applied state is as new as the leader's was a moment ago.
    pub current: bool,
}
