//! Checks of messages before they are handled: terms and indices are added to and stored, so that one message
//! with numbers that no replica reaches would leave the group without a leader for good.

use super::message::{AppendResult, LogEntry, ReplicaMessage, ReplicaSnapshot, SnapshotMeta};

/// Largest term, index or size in a message.
const NUMBER_MAX: u64 = 1 << 62;

impl ReplicaMessage {
    /// Returns whether a replica can have sent it.
    pub(super) fn is_valid(&self) -> bool {
        match self {
            ReplicaMessage::FormationProbe | ReplicaMessage::FormationPromise { .. } => true,
            ReplicaMessage::FormGroup(ReplicaSnapshot { meta, .. }) => is_valid_meta(meta),
            ReplicaMessage::VoteRequest {
                term,
                last_index,
                last_term,
                ..
            } => are_valid(&[*term, *last_index, *last_term]),
            ReplicaMessage::VoteReply { term, .. } | ReplicaMessage::TimeoutNow { term } => {
                are_valid(&[*term])
            }
            ReplicaMessage::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                are_valid(&[*term, *prev_index, *prev_term, *commit])
                    && are_consecutive(*prev_index, entries)
            }
            ReplicaMessage::InstallSnapshot {
                term,
                meta,
                offset,
                total_bytes,
                ..
            } => are_valid(&[*term, *offset, *total_bytes]) && is_valid_meta(meta),
            ReplicaMessage::AppendReply { term, result } => {
                are_valid(&[*term]) && is_valid_result(result)
            }
        }
    }
}

fn are_valid(numbers: &[u64]) -> bool {
    numbers.iter().all(|number| *number <= NUMBER_MAX)
}

fn is_valid_meta(meta: &SnapshotMeta) -> bool {
    are_valid(&[meta.index, meta.term])
}

fn is_valid_result(result: &AppendResult) -> bool {
    match result {
        AppendResult::Matched(index) | AppendResult::Mismatch(index) => are_valid(&[*index]),
        AppendResult::Received { index, bytes } => are_valid(&[*index, *bytes]),
    }
}

fn are_consecutive(prev_index: u64, entries: &[LogEntry]) -> bool {
    let mut numbered = (prev_index + 1..).zip(entries);
    numbered.all(|(index, entry)| entry.index == index && entry.term <= NUMBER_MAX)
}
