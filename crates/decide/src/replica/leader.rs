//! The leader's side of replication: log entries, snapshots, commits and leadership transfer.

use super::{
    interface::ReplicaOutput,
    message::{AppendResult, EntryPayload, LogEntry, ReplicaId, ReplicaMessage},
    node::{ReplicaNode, ReplicaRole},
    progress::{FollowerProgress, LeaderState},
    snapshot_transfer::OutgoingSnapshot,
};
use crate::{name::KeeperName, time::MonoTime};
use std::sync::Arc;

/// Total size of the commands in a message from which on no further entry is added, in bytes.
const APPEND_BYTES_TARGET: usize = 1 << 20;
/// Heartbeat intervals after which an unacknowledged snapshot chunk is sent again.
const CHUNK_RESEND_HEARTBEATS: u32 = 4;

impl ReplicaNode {
    pub(super) fn propose(&mut self, commands: Vec<(u64, Arc<[u8]>)>) {
        let start = self.log.last_index() + 1;
        let term = self.hard_state.term;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return self.reject_proposals(commands);
        };
        let mut entries = Vec::with_capacity(commands.len());
        for (index, (token, command)) in (start..).zip(commands) {
            leader.tokens.insert(index, token);
            entries.push(LogEntry {
                index,
                term,
                payload: EntryPayload::Command(command),
            });
        }
        self.append_local(entries);
    }

    /// Appends entries of this leader. Followers receive them while they are still being written
    /// here.
    pub(super) fn append_local(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.replicate_all();
        self.persist_entries(entries);
    }

    pub(super) fn tick_leading(&mut self) {
        if !self.has_quorum() {
            // Without a quorum no command can be committed: stop accepting them.
            return self.become_follower();
        }
        self.send_heartbeats_if_due();
        self.propose_voter_change();
    }

    fn send_heartbeats_if_due(&mut self) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat_interval);
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.heartbeat_due_at {
            return;
        }
        leader.heartbeat_due_at = now + heartbeat;
        for name in self.others() {
            self.replicate(&name, true);
        }
    }

    pub(super) fn on_append_reply(&mut self, from: ReplicaId, term: u64, result: AppendResult) {
        if term > self.hard_state.term {
            return self.observe_term(term);
        }
        let (now, last) = (self.now, self.log.last_index());
        let pause = self.settings.election_timeout;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.followers.get_mut(&from.name) else {
            return;
        };
        if !progress.record_message(from.incarnation, now, pause) {
            return;
        }
        let mut has_more = false;
        match result {
            // A reply to the leader of an earlier term says nothing about this leader's log.
            _ if term < self.hard_state.term => {}
            AppendResult::Matched(index) if index <= last => {
                progress.match_index = progress.match_index.max(index);
                progress.next_index = match progress.outgoing_snapshot.take() {
                    Some(_) => index + 1,
                    None => progress.next_index.max(index + 1),
                };
                has_more = progress.next_index <= last;
            }
            AppendResult::Matched(_) => {}
            AppendResult::Received { index, bytes } => {
                if let Some(outgoing) = &mut progress.outgoing_snapshot {
                    outgoing.acknowledge(index, bytes);
                    has_more = true;
                }
            }
            AppendResult::Mismatch(hint) => {
                let next = hint.max(progress.match_index + 1);
                has_more = next < progress.next_index;
                progress.next_index = next.min(progress.next_index);
            }
        }
        self.advance_commit();
        if has_more {
            self.replicate(&from.name, false);
        }
    }

    /// Transfers leadership to the voter that holds most of the log, of those that answer.
    pub(super) fn transfer_leadership(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let voters = self.config().voters.iter();
        let others = voters.filter(|voter| {
            let progress = leader.followers.get(&voter.name);
            progress.is_some_and(|progress| self.is_heard(progress))
        });
        if let Some(successor) = others.max_by_key(|voter| leader.match_index(voter)) {
            let (name, term) = (successor.name.clone(), self.hard_state.term);
            self.send(name, ReplicaMessage::TimeoutNow { term });
        }
        self.become_follower();
    }

    /// Commits what a majority of the voters holds, if its last entry is of this term.
    pub(super) fn advance_commit(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let config = self.config();
        let matched = |voter: &ReplicaId| {
            if *voter == self.settings.id {
                self.persisted
            } else {
                leader.match_index(voter)
            }
        };
        let mut match_indices: Vec<_> = config.voters.iter().map(matched).collect();
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = match_indices.get(config.quorum() - 1) else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.commit = index;
            self.apply_committed();
        }
    }

    pub(super) fn take_token(&mut self, entry: &LogEntry) -> Option<u64> {
        match &mut self.role {
            ReplicaRole::Leader(leader) => leader.tokens.remove(&entry.index),
            _ => None,
        }
    }

    pub(super) fn abandon_proposals(&mut self) {
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        for token in std::mem::take(&mut leader.tokens).into_values() {
            self.outputs.push(ReplicaOutput::OutcomeUnknown { token });
        }
    }

    fn reject_proposals(&mut self, commands: Vec<(u64, Arc<[u8]>)>) {
        for (token, _) in commands {
            let leader = self.leader.clone();
            self.outputs
                .push(ReplicaOutput::NotLeader { token, leader });
        }
    }

    fn replicate_all(&mut self) {
        for name in self.others() {
            self.replicate(&name, false);
        }
    }

    /// Sends `name` the entries or the snapshot chunk that it lacks. If it lacks nothing, sends an
    /// empty message only if `send_empty`.
    fn replicate(&mut self, name: &KeeperName, send_empty: bool) {
        let (now, last, term) = (self.now, self.log.last_index(), self.hard_state.term);
        let resend_after = self.settings.heartbeat_interval * CHUNK_RESEND_HEARTBEATS;
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.followers.get_mut(name) else {
            return;
        };
        if self.log.term(progress.next_index.max(1) - 1).is_none()
            && progress.outgoing_snapshot.is_none()
        {
            let snapshot = self.log.snapshot().clone();
            progress.outgoing_snapshot = Some(OutgoingSnapshot::new(snapshot, chunk_bytes));
        }
        if let Some(outgoing) = &mut progress.outgoing_snapshot {
            let chunk = outgoing.next_chunk(term, now, resend_after);
            // Until the snapshot is installed, entries would be rejected; heartbeats are not.
            progress.next_index = last + 1;
            if let Some(chunk) = chunk {
                return self.send(name.clone(), chunk);
            }
        }
        if progress.next_index > last && !send_empty {
            return;
        }
        let prev_index = progress.next_index - 1;
        let prev_term = self.log.term(prev_index).expect("the entry is held");
        let entries = self.log.batch_from(prev_index + 1, APPEND_BYTES_TARGET);
        progress.next_index = prev_index + 1 + entries.len() as u64;
        let append = ReplicaMessage::AppendEntries {
            term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
        };
        self.send(name.clone(), append);
    }

    /// Returns whether the keeper has sent a message within an election timeout.
    pub(super) fn is_heard(&self, progress: &FollowerProgress) -> bool {
        let silent = self.now.since(progress.seen_at);
        progress.incarnation.is_some() && silent < self.settings.election_timeout
    }

    /// Returns whether the keeper has sent no message for so long that it is replaced as a voter.
    pub(super) fn is_gone(&self, progress: &FollowerProgress) -> bool {
        let silent = self.now.since(progress.seen_at);
        let replace_after = self.settings.replace_after();
        replace_after.is_some_and(|span| silent >= span)
    }

    fn has_quorum(&self) -> bool {
        let ReplicaRole::Leader(leader) = &self.role else {
            return false;
        };
        let span = self.settings.election_timeout;
        let seen_at = self.quorum_seen_at(leader);
        seen_at.is_some_and(|at| self.now.since(at) < span)
    }

    /// Returns the time since which a majority of the voters has sent a message, this replica included.
    pub(super) fn quorum_seen_at(&self, leader: &LeaderState) -> Option<MonoTime> {
        let seen_at = |voter: &ReplicaId| match *voter == self.settings.id {
            true => Some(self.now),
            false => Some(leader.followers.get(&voter.name)?.seen_at),
        };
        let config = self.config();
        let mut times: Vec<_> = config.voters.iter().filter_map(seen_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(config.quorum() - 1).copied()
    }
}
