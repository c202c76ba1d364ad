//! Messages between replicas, and the values that they carry.

use crate::name::{Incarnation, KeeperName};
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// Identifies a replica: a keeper and the identity of its disk.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId {
    /// The keeper.
    pub name: KeeperName,
    /// Identifies the disk; changes when the keeper starts with an empty one.
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.name, self.incarnation.0)
    }
}

/// The voters of a group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupConfig {
    /// The voters, sorted.
    pub voters: Vec<ReplicaId>,
}

impl GroupConfig {
    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voter with that name.
    pub fn voter(&self, name: &KeeperName) -> Option<&ReplicaId> {
        self.voters.iter().find(|id| id.name == *name)
    }

    /// Returns whether this incarnation of the keeper is a voter.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id)
    }

    /// Returns the configuration without the voter with that name.
    pub fn without(&self, name: &KeeperName) -> GroupConfig {
        let kept = self.voters.iter().filter(|id| id.name != *name);
        GroupConfig {
            voters: kept.cloned().collect(),
        }
    }

    /// Returns the configuration with one more voter.
    pub fn with(&self, id: ReplicaId) -> GroupConfig {
        let mut voters = self.voters.clone();
        voters.push(id);
        voters.sort();
        GroupConfig { voters }
    }
}

/// The payload of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryPayload {
    /// The first entry of a leader's term.
    Noop,
    /// A new configuration, in force as soon as it is in the log.
    Config(GroupConfig),
    /// A serialised command for the replicated state.
    Command(Arc<[u8]>),
}

impl EntryPayload {
    /// Returns the size of the command, in bytes; 0 for the other kinds, which are small.
    pub fn bytes(&self) -> usize {
        match self {
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Config(_) | EntryPayload::Noop => 0,
        }
    }
}

/// A log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// The payload.
    pub payload: EntryPayload,
}

/// State that a replica must never lose, besides its log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The latest term that it has seen.
    pub term: u64,
    /// The candidate that it voted for in that term.
    pub vote: Option<ReplicaId>,
    /// The incarnation of the founder that it has promised to follow.
    pub promised_founder: Option<ReplicaId>,
}

/// Position of a snapshot in the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that it covers; 0 if there is no snapshot.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The voters at that entry.
    pub config: GroupConfig,
}

/// A snapshot of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaSnapshot {
    /// Its position in the log.
    pub meta: SnapshotMeta,
    /// The serialised state; empty for the initial state.
    pub data: Arc<[u8]>,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaEnvelope {
    /// The group that it belongs to.
    pub group: u16,
    /// The number of groups in the sender's settings.
    pub group_count: u16,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: KeeperName,
    /// The message.
    pub message: ReplicaMessage,
}

/// A message between replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicaMessage {
    /// The founder asks which keepers are present with an empty disk.
    FormationProbe,
    /// The sender has an empty disk.
    FormationPromise {
        /// The founder that the sender has promised to follow, if it has promised.
        founder: Option<ReplicaId>,
    },
    /// The initial snapshot of a newly formed group.
    FormGroup(ReplicaSnapshot),
    /// Asks for a vote or a pre-vote.
    VoteRequest {
        /// Whether this is a pre-vote, which changes no term.
        is_pre_vote: bool,
        /// The term that the sender wants to lead in.
        term: u64,
        /// Index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Answers a [`ReplicaMessage::VoteRequest`].
    VoteReply {
        /// As in the request.
        is_pre_vote: bool,
        /// The term of the request if the vote is granted, else the sender's own term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Asks the receiver to start an election at once, without a pre-vote, because the leader of
    /// `term` stops.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// The leader's entries after one that the receiver should hold; without entries a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// Index of the entry before `entries`.
        prev_index: u64,
        /// The term of that entry.
        prev_term: u64,
        /// The entries, without gaps.
        entries: Vec<LogEntry>,
        /// Index of the last committed entry.
        commit: u64,
    },
    /// A chunk of the leader's snapshot, for a receiver that lacks entries which the leader's log
    /// no longer holds.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// Position of the snapshot in the log.
        meta: SnapshotMeta,
        /// Offset of the chunk in the serialised state, in bytes.
        offset: u64,
        /// Size of the whole serialised state, in bytes.
        total_bytes: u64,
        /// The chunk.
        chunk: Vec<u8>,
    },
    /// Answers a [`ReplicaMessage::AppendEntries`] or [`ReplicaMessage::InstallSnapshot`], once
    /// what it carried is durable.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// How far the logs match.
        result: AppendResult,
    },
}

/// How far a follower's log matches its leader's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendResult {
    /// The logs match up to this index, durably.
    Matched(u64),
    /// A snapshot has been received in part.
    Received {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Bytes received so far, from the start of the snapshot.
        bytes: u64,
    },
    /// The logs differ at the entry before those sent; the leader should retry at or before this
    /// index.
    Mismatch(u64),
}
