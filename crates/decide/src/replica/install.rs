//! Transfer of a snapshot in parts, one at a time.

use super::message::{ReplicaMessage, ReplicaSnapshot, SnapshotMeta};
use crate::time::MonoTime;
use std::{sync::Arc, time::Duration};

/// A snapshot on its way to a follower.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: ReplicaSnapshot,
    /// How much of it the follower has.
    acknowledged: usize,
    /// When the part in flight is sent again.
    resend_at: MonoTime,
    chunk_bytes: usize,
}

impl OutgoingSnapshot {
    pub(super) fn new(snapshot: ReplicaSnapshot, chunk_bytes: usize) -> OutgoingSnapshot {
        OutgoingSnapshot {
            snapshot,
            acknowledged: 0,
            resend_at: MonoTime::ZERO,
            chunk_bytes,
        }
    }

    /// Takes note of how much the follower has; the next part is due at once.
    pub(super) fn acknowledge(&mut self, index: u64, bytes: u64) {
        let len = self.snapshot.data.len();
        if index == self.snapshot.meta.index {
            self.acknowledged = usize::try_from(bytes).unwrap_or(len).min(len);
            self.resend_at = MonoTime::ZERO;
        }
    }

    /// Returns the part to send now, if one is due.
    pub(super) fn due(
        &mut self,
        term: u64,
        now: MonoTime,
        patience: Duration,
    ) -> Option<ReplicaMessage> {
        if now < self.resend_at {
            return None;
        }
        self.resend_at = now + patience;
        let data = &self.snapshot.data;
        let end = data.len().min(self.acknowledged + self.chunk_bytes);
        Some(ReplicaMessage::InstallSnapshot {
            term,
            meta: self.snapshot.meta.clone(),
            offset: self.acknowledged as u64,
            total_bytes: data.len() as u64,
            chunk: data[self.acknowledged..end].to_vec(),
        })
    }
}

/// A snapshot of which parts have come.
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

    /// Returns whether it is the snapshot that `meta` describes.
    ///
    /// Every replica has the same state at one entry, so parts may come from several leaders.
    pub(super) fn is(&self, meta: &SnapshotMeta) -> bool {
        self.meta == *meta
    }

    /// Appends the part at `offset`, unless it leaves a gap or has come before; returns how much
    /// there is.
    pub(super) fn append(&mut self, offset: u64, chunk: &[u8]) -> u64 {
        if offset == self.data.len() as u64 {
            self.data.extend_from_slice(chunk);
        }
        self.data.len() as u64
    }

    /// Returns the whole snapshot.
    pub(super) fn finish(self) -> ReplicaSnapshot {
        ReplicaSnapshot {
            meta: self.meta,
            data: Arc::from(self.data),
        }
    }
}
