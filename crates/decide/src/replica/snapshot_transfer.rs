//! Transfer of a snapshot in chunks, one at a time.

use super::message::{ReplicaMessage, ReplicaSnapshot, SnapshotMeta};
use crate::time::MonoTime;
use std::{sync::Arc, time::Duration};

/// A snapshot that is being sent to a follower.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: ReplicaSnapshot,
    /// Bytes that the follower has acknowledged.
    acknowledged_bytes: usize,
    /// Time at which the unacknowledged chunk is sent again.
    resend_at: MonoTime,
    chunk_bytes: usize,
}

impl OutgoingSnapshot {
    pub(super) fn new(snapshot: ReplicaSnapshot, chunk_bytes: usize) -> OutgoingSnapshot {
        OutgoingSnapshot {
            snapshot,
            acknowledged_bytes: 0,
            resend_at: MonoTime::ZERO,
            chunk_bytes,
        }
    }

    /// Records that the follower has `bytes` bytes of the snapshot up to entry `index`; the next
    /// chunk is due at once.
    pub(super) fn acknowledge(&mut self, index: u64, bytes: u64) {
        let len = self.snapshot.data.len();
        if index == self.snapshot.meta.index {
            self.acknowledged_bytes = usize::try_from(bytes).unwrap_or(len).min(len);
            self.resend_at = MonoTime::ZERO;
        }
    }

    /// Returns the chunk to send now, if one is due; it is due again `resend_after` later.
    pub(super) fn next_chunk(
        &mut self,
        term: u64,
        now: MonoTime,
        resend_after: Duration,
    ) -> Option<ReplicaMessage> {
        if now < self.resend_at {
            return None;
        }
        self.resend_at = now + resend_after;
        let data = &self.snapshot.data;
        let end = data.len().min(self.acknowledged_bytes + self.chunk_bytes);
        Some(ReplicaMessage::InstallSnapshot {
            term,
            meta: self.snapshot.meta.clone(),
            offset: self.acknowledged_bytes as u64,
            total_bytes: data.len() as u64,
            chunk: data[self.acknowledged_bytes..end].to_vec(),
        })
    }
}

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(super) fn new(meta: SnapshotMeta) -> IncomingSnapshot {
        IncomingSnapshot {
            meta,
            data: Vec::new(),
        }
    }

    /// Returns whether this is the snapshot that `meta` describes.
    ///
    /// All replicas have the same state at a given entry, so chunks from several leaders may be
    /// combined.
    pub(super) fn matches(&self, meta: &SnapshotMeta) -> bool {
        self.meta == *meta
    }

    /// Appends the chunk at `offset`, unless it leaves a gap or is a duplicate; returns the bytes
    /// received so far.
    pub(super) fn append_chunk(&mut self, offset: u64, chunk: &[u8]) -> u64 {
        if offset == self.data.len() as u64 {
            self.data.extend_from_slice(chunk);
        }
        self.data.len() as u64
    }

    /// Returns the complete snapshot.
    pub(super) fn into_snapshot(self) -> ReplicaSnapshot {
        ReplicaSnapshot {
            meta: self.meta,
            data: Arc::from(self.data),
        }
    }
}
