//! The follower's side of replication.

use super::{
    interface::ReplicaOutput,
    message::{AppendResult, LogEntry, ReplicaId, ReplicaMessage, ReplicaSnapshot, SnapshotMeta},
    node::{ReplicaNode, ReplicaRole},
    snapshot_transfer::IncomingSnapshot,
};

impl ReplicaNode {
    pub(super) fn on_append_entries(
        &mut self,
        from: ReplicaId,
        term: u64,
        prev: (u64, u64),
        entries: Vec<LogEntry>,
        commit: u64,
    ) {
        if self.is_forming() {
            // There is no log to append to; the leader answers a mismatch at 0 with a snapshot.
            self.observe_term(term);
            return self.reply_append(from, AppendResult::Mismatch(0));
        }
        if !self.accept_leader(&from, term) {
            return self.reply_append(from, AppendResult::Mismatch(0));
        }
        let (prev_index, prev_term) = prev;
        if prev_index >= self.commit && self.log.term(prev_index) != Some(prev_term) {
            let hint = self
                .log
                .first_index_of_term(prev_index)
                .min(self.log.last_index() + 1);
            return self.reply_append(from, AppendResult::Mismatch(hint));
        }
        let matched = prev_index + entries.len() as u64;
        self.append_new(entries);
        self.commit = self.commit.max(commit.min(matched));
        if self.commit >= commit {
            self.caught_up_at = Some(self.now);
        }
        self.reply_append(from, AppendResult::Matched(matched));
        self.apply_committed();
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: ReplicaId,
        term: u64,
        meta: SnapshotMeta,
        (offset, total_bytes): (u64, u64),
        chunk: &[u8],
    ) {
        if self.is_forming() {
            if !self.may_accept_snapshot_from(&from) {
                return;
            }
            self.observe_term(term);
        } else if !self.accept_leader(&from, term) {
            return self.reply_append(from, AppendResult::Mismatch(0));
        }
        if term < self.hard_state.term {
            return;
        }
        let index = meta.index;
        if index <= self.commit {
            return self.reply_append(from, AppendResult::Matched(index));
        }
        let mut incoming = match self.incoming_snapshot.take().filter(|i| i.matches(&meta)) {
            Some(incoming) => incoming,
            None => IncomingSnapshot::new(meta),
        };
        let bytes = incoming.append_chunk(offset, chunk);
        if bytes < total_bytes {
            self.incoming_snapshot = Some(incoming);
            return self.reply_append(from, AppendResult::Received { index, bytes });
        }
        self.install(incoming.into_snapshot());
        self.accept_leader(&from, term);
        self.reply_append(from, AppendResult::Matched(index));
    }

    fn install(&mut self, snapshot: ReplicaSnapshot) {
        if self.is_forming() {
            self.role = ReplicaRole::Follower;
        }
        self.log.install(snapshot.clone());
        self.commit = snapshot.meta.index;
        self.applied = snapshot.meta.index;
        self.persist_snapshot();
        self.outputs.push(ReplicaOutput::Restore(snapshot));
    }

    fn accept_leader(&mut self, from: &ReplicaId, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.observe_term(term);
        self.become_follower();
        self.leader = Some(from.name.clone());
        self.leader_seen_at = Some(self.now);
        self.restart_election_timer();
        true
    }

    /// Appends the entries that this log lacks, replacing any that conflict with them.
    fn append_new(&mut self, entries: Vec<LogEntry>) {
        let is_known = |entry: &LogEntry| {
            entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term)
        };
        let known = entries.iter().take_while(|entry| is_known(entry)).count();
        let new: Vec<_> = entries.into_iter().skip(known).collect();
        let Some(first) = new.first() else { return };
        assert!(
            first.index > self.commit,
            "a committed entry must not be replaced"
        );
        self.log.truncate(first.index);
        self.persisted = self.persisted.min(self.log.last_index());
        for entry in &new {
            self.log.push(entry.clone());
        }
        self.persist_entries(new);
    }

    fn reply_append(&mut self, to: ReplicaId, result: AppendResult) {
        let term = self.hard_state.term;
        self.send(to.name, ReplicaMessage::AppendReply { term, result });
    }
}
