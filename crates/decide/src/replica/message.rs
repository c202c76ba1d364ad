//! Messages between replicas and the values they carry.

use crate::name::{Incarnation, KeeperName};
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// A keeper and the identity of its disk.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId {
    /// The keeper.
    pub name: KeeperName,
    /// Changes when the keeper starts with an empty disk.
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.name, self.incarnation.0)
    }
}

/// Who votes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupConfig {
    /// The voters, in order.
    pub voters: Vec<ReplicaId>,
}

impl GroupConfig {
    /// Returns how many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voter of that name.
    pub fn voter(&self, name: &KeeperName) -> Option<&ReplicaId> {
        self.voters.iter().find(|key| key.name == *name)
    }

    /// Returns whether this very incarnation votes.
    pub fn contains(&self, key: &ReplicaId) -> bool {
        self.voters.contains(key)
    }

    /// Returns the configuration without the voter of that name.
    pub fn without(&self, name: &KeeperName) -> GroupConfig {
        let kept = self.voters.iter().filter(|key| key.name != *name);
        GroupConfig {
            voters: kept.cloned().collect(),
        }
    }

    /// Returns the configuration with one more voter.
    pub fn with(&self, key: ReplicaId) -> GroupConfig {
        let mut voters = self.voters.clone();
        voters.push(key);
        voters.sort();
        GroupConfig { voters }
    }
}

/// What one entry of the log holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryPayload {
    /// The first entry of a leader's term.
    Noop,
    /// A change of voters, in force from the moment it is in the log.
    Config(GroupConfig),
    /// A command of the replicated state, serialised.
    Command(Arc<[u8]>),
}

impl EntryPayload {
    /// Returns the size of the command, in bytes; little for the other kinds.
    pub fn bytes(&self) -> usize {
        match self {
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Config(_) | EntryPayload::Noop => 0,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// What it holds.
    pub payload: EntryPayload,
}

/// What a replica must never forget besides its log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The latest term that it has seen.
    pub term: u64,
    /// Who got its vote in that term.
    pub vote: Option<ReplicaId>,
    /// The founder that it has told of its empty disk.
    pub promised_founder: Option<ReplicaId>,
}

/// Where a snapshot stands in the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that it covers; 0 if there is no snapshot.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The voters at that entry.
    pub config: GroupConfig,
}

/// The state after a prefix of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaSnapshot {
    /// The prefix.
    pub meta: SnapshotMeta,
    /// The state, serialised; empty for the initial state.
    pub data: Arc<[u8]>,
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaEnvelope {
    /// The group that it belongs to.
    pub group: u16,
    /// The number of groups that the sender knows.
    pub group_count: u16,
    /// Who sends it.
    pub from: ReplicaId,
    /// Who is to get it.
    pub to: KeeperName,
    /// The message.
    pub message: ReplicaMessage,
}

/// What replicas say to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicaMessage {
    /// The founder asks who is present with an empty disk.
    FormationProbe,
    /// The sender's disk is empty.
    FormationPromise {
        /// The founder that the sender has promised to follow.
        founder: Option<ReplicaId>,
    },
    /// The initial snapshot of a group that was formed.
    FormGroup(ReplicaSnapshot),
    /// Asks for a vote.
    VoteRequest {
        /// Whether the vote is only probed for, without a change of term.
        is_pre_vote: bool,
        /// The term that the sender wants to lead in.
        term: u64,
        /// The sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Answers a [`ReplicaMessage::VoteRequest`].
    VoteReply {
        /// As in the question.
        is_pre_vote: bool,
        /// The term asked for if granted, else the sender's own term.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
    },
    /// The leader of `term` stops and asks the receiver to take over without a probe.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// The leader's entries after one that the receiver should have; empty as a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The entry before `entries`.
        prev_index: u64,
        /// The term of that entry.
        prev_term: u64,
        /// The entries, without gaps.
        entries: Vec<LogEntry>,
        /// The last committed entry.
        commit: u64,
    },
    /// A part of the leader's snapshot, for a receiver that lacks entries which are in no log any
    /// more.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The prefix that the snapshot covers.
        meta: SnapshotMeta,
        /// Where the part begins in the state, in bytes.
        offset: u64,
        /// Size of the whole state, in bytes.
        total_bytes: u64,
        /// The part.
        chunk: Vec<u8>,
    },
    /// Answers an [`ReplicaMessage::AppendEntries`] or [`ReplicaMessage::InstallSnapshot`], after it is durable.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// How far the logs agree.
        result: AppendResult,
    },
}

/// How far a follower's log agrees with its leader's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendResult {
    /// Up to this entry, durably.
    Matched(u64),
    /// Not yet; of the snapshot up to entry `index` the first `bytes` bytes have come.
    Received {
        /// The last entry that the snapshot covers.
        index: u64,
        /// How much of it has come.
        bytes: u64,
    },
    /// Not at the entry before those sent; the leader should go on at or before this entry.
    Mismatch(u64),
}
