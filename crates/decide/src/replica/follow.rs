//! The follower's side of replication.

use super::{
    install::IncomingSnapshot,
    interface::ReplicaOutput,
    message::{AppendResult, LogEntry, ReplicaId, ReplicaMessage, ReplicaSnapshot, SnapshotMeta},
    node::{ReplicaNode, ReplicaRole},
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
            // Nothing to append to; the leader answers with a snapshot.
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
            self.current_at = Some(self.now);
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
            if !self.may_follow(&from) {
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
        let mut incoming = match self.incoming.take().filter(|i| i.is(&meta)) {
            Some(incoming) => incoming,
            None => IncomingSnapshot::new(meta),
        };
        let bytes = incoming.append(offset, chunk);
        if bytes < total_bytes {
            self.incoming = Some(incoming);
            return self.reply_append(from, AppendResult::Received { index, bytes });
        }
        self.install(incoming.finish());
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
        self.persist_whole();
        self.out.push(ReplicaOutput::Restore(snapshot));
    }

    fn accept_leader(&mut self, from: &ReplicaId, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.observe_term(term);
        self.follow();
        self.leader = Some(from.name.clone());
        self.heard_at = Some(self.now);
        self.restart_election_timer();
        true
    }

    /// Appends the entries that are new here, in place of any that contradict them.
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
