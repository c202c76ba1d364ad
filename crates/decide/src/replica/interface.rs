//! Settings, inputs, outputs and status of a replica.

use super::{
    message::{HardState, LogEntry, ReplicaEnvelope, ReplicaId, ReplicaSnapshot},
    voter_change::VoterChange,
};
use crate::{name::KeeperName, time::MonoTime};
use serde::Serialize;
use std::{sync::Arc, time::Duration};

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The group that the replica belongs to.
    pub group: u16,
    /// The number of groups that keys are distributed over. It must be the same at every replica:
    /// messages from replicas with another number are dropped, because they map keys to other
    /// groups.
    pub group_count: u16,
    /// This replica.
    pub id: ReplicaId,
    /// All known keepers, this one included; [`ReplicaInput::AddKeepers`] adds to them.
    pub keepers: Vec<KeeperName>,
    /// How the voters are chosen.
    pub voter_policy: VoterPolicy,
    /// Time between two messages from the leader to each other replica.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; the longest is twice that.
    pub election_timeout: Duration,
    /// Size of the chunks in which a snapshot is sent, in bytes.
    pub snapshot_chunk_bytes: usize,
}

/// How the voters of a group are chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterPolicy {
    /// The keepers named in the settings. The group is formed once all known keepers are present.
    Listed(Vec<KeeperName>),
    /// Keepers that are discovered at run time and have caught up, up to a number of them.
    Discovered {
        /// Keepers that form a new group once all of them are present. Empty where a group already
        /// exists, so that a lost disk can't lead to a second group.
        founders: Vec<KeeperName>,
        /// The number of voters that the leader aims for.
        voter_count: usize,
        /// Time within which a voter that is gone must be replaced by a keeper that is present,
        /// also if the leader is lost meanwhile.
        replace_within: Duration,
    },
}

impl VoterPolicy {
    /// Returns the voters of a new group.
    pub fn founders(&self) -> &[KeeperName] {
        match self {
            VoterPolicy::Listed(names) => names,
            VoterPolicy::Discovered { founders, .. } => founders,
        }
    }
}

impl ReplicaSettings {
    /// Returns the time without a message after which a voter is replaced, if keepers are
    /// discovered. No voter is replaced sooner than a leader is.
    pub fn replace_after(&self) -> Option<Duration> {
        let VoterPolicy::Discovered { replace_within, .. } = &self.voter_policy else {
            return None;
        };
        // Two leaders may wait, one after the other.
        let waits = replace_within.saturating_sub(self.election_and_changes());
        Some((waits / 2).max(self.election_timeout))
    }

    /// Returns the longest time until a voter that is gone is replaced by a keeper that is present,
    /// if keepers are discovered: the leader may be lost just before it replaces the voter, and the
    /// next one waits anew.
    pub fn replacement_time_max(&self) -> Option<Duration> {
        Some(self.replace_after()? * 2 + self.election_and_changes())
    }

    /// Returns the time until another leader is elected and has made its changes.
    fn election_and_changes(&self) -> Duration {
        (self.election_timeout + self.heartbeat_interval) * 2
    }
}

/// State that a replica recovers from its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The term, the vote and the promised founder.
    pub hard_state: HardState,
    /// The snapshot, if there is one.
    pub snapshot: Option<ReplicaSnapshot>,
    /// The log entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// An input from the driver.
#[derive(Clone, Debug)]
pub enum ReplicaInput {
    /// A message from another replica.
    Message(ReplicaEnvelope),
    /// Time has passed. The driver sends it at least a few times per heartbeat interval.
    Tick,
    /// Commands to replicate, each with a token that the outputs use to report its outcome.
    Propose(Vec<(u64, Arc<[u8]>)>),
    /// Newly discovered keepers; keepers already known stay known.
    AddKeepers(Vec<KeeperName>),
    /// All outputs of earlier steps are durable.
    Persisted,
    /// The process is about to stop. If this replica leads, it transfers leadership.
    TransferLeadership,
    /// A snapshot of the state, taken after an applied entry.
    Compact {
        /// The last entry that the state covers.
        index: u64,
        /// The serialised state.
        data: Arc<[u8]>,
    },
}

/// Data that must be durable before later outputs are executed.
#[derive(Clone, Debug, Default)]
pub struct PersistBatch {
    /// The term, the vote and the promised founder, if any of them has changed.
    pub hard_state: Option<HardState>,
    /// A new snapshot. If there is one, `entries` is the whole log after it.
    pub snapshot: Option<ReplicaSnapshot>,
    /// Entries to append. They replace the stored entries from the index of the first one on.
    pub entries: Vec<LogEntry>,
}

/// An action for the driver.
#[derive(Clone, Debug)]
pub enum ReplicaOutput {
    /// Send a message, which may be lost.
    Send(ReplicaEnvelope),
    /// Write the batch and sync it to disk.
    Persist(PersistBatch),
    /// Apply a committed entry.
    Apply {
        /// The entry.
        entry: LogEntry,
        /// The token that the command was proposed with, if it was proposed at this replica.
        token: Option<u64>,
    },
    /// Replace the state with that of a snapshot.
    Restore(ReplicaSnapshot),
    /// Report that a command was not proposed, because this replica doesn't lead.
    NotLeader {
        /// The token that the command was proposed with.
        token: u64,
        /// The leader, if known.
        leader: Option<KeeperName>,
    },
    /// Report that a proposed command may or may not be committed; this replica can't know.
    OutcomeUnknown {
        /// The token that the command was proposed with.
        token: u64,
    },
    /// Report that this replica, as the leader, has proposed a change of the voters.
    VoterChange(VoterChange),
    /// Report that this replica has become the leader.
    BecameLeader {
        /// The term that it leads in.
        term: u64,
    },
}

/// Status of a replica, for dumps.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// `leader`, `candidate`, `follower` or `forming`.
    pub role: &'static str,
    /// The latest term that it has seen.
    pub term: u64,
    /// The keeper that leads, if known.
    pub leader: Option<KeeperName>,
    /// Index of the last entry.
    pub last_index: u64,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Index of the last entry that the snapshot covers.
    pub snapshot: u64,
    /// The voters, as keeper name and incarnation.
    pub voters: Vec<String>,
    /// When this replica last heard from the leader that it holds all committed entries or, if it leads, last
    /// heard from a majority of the voters; on the clock of the replica's inputs.
    #[serde(skip)]
    pub contact_at: Option<MonoTime>,
    /// Time until which the applied state counts as recent, unless a later status extends it.
    #[serde(skip)]
    pub current_until: Option<MonoTime>,
}

impl ReplicaStatus {
    /// Returns whether, at `now`, the applied state is as recent as the leader's was a moment ago. A status that
    /// its replica has ceased to renew is not.
    pub fn is_current(&self, now: MonoTime) -> bool {
        self.current_until.is_some_and(|until| now < until)
    }
}
