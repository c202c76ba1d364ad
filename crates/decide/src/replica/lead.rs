//! The leader's side of replication, and the replacement of voters that lost their disk.

use super::{
    install::OutgoingSnapshot,
    interface::ReplicaOutput,
    message::{AppendResult, EntryPayload, LogEntry, ReplicaId, ReplicaMessage},
    node::{ReplicaNode, ReplicaRole},
};
use crate::{
    name::{Incarnation, KeeperName},
    time::MonoTime,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Size of commands after which a message takes no further entry, in bytes.
const APPEND_BYTES: usize = 1 << 20;
/// Heartbeats after which a part of a snapshot without an answer is sent again.
const PART_HEARTBEATS: u32 = 10;

/// What a leader knows.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// The first entry of its term.
    pub(super) first_index: u64,
    pub(super) followers: BTreeMap<KeeperName, FollowerProgress>,
    /// Tokens of commands in flight, by index.
    tokens: BTreeMap<u64, u64>,
    heartbeat_at: MonoTime,
}

/// How far a follower's log is known to agree.
#[derive(Debug)]
pub(super) struct FollowerProgress {
    pub(super) incarnation: Option<Incarnation>,
    /// Incarnations whose disk is lost; late messages of theirs are ignored.
    lost: BTreeSet<Incarnation>,
    next: u64,
    pub(super) matched: u64,
    pub(super) heard_at: MonoTime,
    /// Since when it has been heard without a pause, in this incarnation.
    pub(super) steady_since: MonoTime,
    /// The snapshot on its way.
    outgoing: Option<OutgoingSnapshot>,
}

impl LeaderState {
    pub(super) fn new(first_index: u64, others: Vec<KeeperName>, now: MonoTime) -> LeaderState {
        let mut leader = LeaderState {
            first_index,
            followers: BTreeMap::new(),
            tokens: BTreeMap::new(),
            heartbeat_at: now,
        };
        for name in others {
            leader.add_follower(name, first_index, now);
        }
        leader
    }

    /// Takes in a keeper of which nothing is known yet; its log is tried from entry `next` on.
    pub(super) fn add_follower(&mut self, name: KeeperName, next: u64, now: MonoTime) {
        let progress = FollowerProgress {
            incarnation: None,
            lost: BTreeSet::new(),
            next,
            matched: 0,
            heard_at: now,
            steady_since: now,
            outgoing: None,
        };
        self.followers.insert(name, progress);
    }

    /// Returns whether `commit` covers all that earlier leaders may have acknowledged.
    pub(super) fn has_committed(&self, commit: u64) -> bool {
        commit >= self.first_index
    }

    /// Returns how far `voter` is known to agree.
    fn matched(&self, voter: &ReplicaId) -> u64 {
        let progress = self.followers.get(&voter.name);
        let progress = progress.filter(|p| p.incarnation == Some(voter.incarnation));
        progress.map_or(0, |p| p.matched)
    }
}

impl FollowerProgress {
    /// Takes note of the sender's incarnation; returns whether its message counts.
    ///
    /// After a pause, as when this leader itself stood still, what is heard may be old.
    fn observe(&mut self, incarnation: Incarnation, now: MonoTime, pause: Duration) -> bool {
        if self.lost.contains(&incarnation) {
            return false;
        }
        if self.incarnation != Some(incarnation) || now.since(self.heard_at) >= pause {
            self.steady_since = now;
        }
        if let Some(old) = self.incarnation.filter(|old| *old != incarnation) {
            self.lost.insert(old);
            self.matched = 0;
            self.outgoing = None;
        }
        self.incarnation = Some(incarnation);
        self.heard_at = now;
        true
    }
}

impl ReplicaNode {
    pub(super) fn propose(&mut self, commands: Vec<(u64, Arc<[u8]>)>) {
        let start = self.log.last_index() + 1;
        let term = self.hard_state.term;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return self.refuse(commands);
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
        self.append_own(entries);
    }

    /// Appends the leader's own entries; followers get them while they are being written here.
    pub(super) fn append_own(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.replicate_all();
        self.persist_entries(entries);
    }

    pub(super) fn tick_leading(&mut self) {
        if !self.has_quorum() {
            // Cut off: stop taking commands that can't be committed.
            return self.follow();
        }
        let (now, heartbeat) = (self.now, self.settings.heartbeat_interval);
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.heartbeat_at {
            return;
        }
        leader.heartbeat_at = now + heartbeat;
        for name in self.others() {
            self.replicate(&name, true);
        }
        self.repair_voters();
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
        if !progress.observe(from.incarnation, now, pause) {
            return;
        }
        let mut more = false;
        match result {
            // An answer to an earlier term's leader says nothing about this one's log.
            _ if term < self.hard_state.term => {}
            AppendResult::Matched(index) if index <= last => {
                progress.matched = progress.matched.max(index);
                progress.next = match progress.outgoing.take() {
                    Some(_) => index + 1,
                    None => progress.next.max(index + 1),
                };
                more = progress.next <= last;
            }
            AppendResult::Matched(_) => {}
            AppendResult::Received { index, bytes } => {
                if let Some(outgoing) = &mut progress.outgoing {
                    outgoing.acknowledge(index, bytes);
                    more = true;
                }
            }
            AppendResult::Mismatch(hint) => {
                let next = hint.max(progress.matched + 1);
                more = next < progress.next;
                progress.next = next.min(progress.next);
            }
        }
        self.advance_commit();
        if more {
            self.replicate(&from.name, false);
        }
    }

    /// Hands the lead to the voter that holds most of the log.
    pub(super) fn transfer_leadership(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let voters = self.config().voters.iter();
        let others = voters.filter(|voter| **voter != self.settings.id);
        if let Some(heir) = others.max_by_key(|voter| leader.matched(voter)) {
            let (name, term) = (heir.name.clone(), self.hard_state.term);
            self.send(name, ReplicaMessage::TimeoutNow { term });
        }
        self.follow();
    }

    /// Commits what a majority of the voters holds, if it is of this term.
    pub(super) fn advance_commit(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let config = self.config();
        let matched = |voter: &ReplicaId| {
            if *voter == self.settings.id {
                self.persisted
            } else {
                leader.matched(voter)
            }
        };
        let mut agreed: Vec<_> = config.voters.iter().map(matched).collect();
        agreed.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = agreed.get(config.quorum() - 1) else {
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

    pub(super) fn drop_tokens(&mut self) {
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        for token in std::mem::take(&mut leader.tokens).into_values() {
            self.out.push(ReplicaOutput::OutcomeUnknown { token });
        }
    }

    fn refuse(&mut self, commands: Vec<(u64, Arc<[u8]>)>) {
        for (token, _) in commands {
            let leader = self.leader.clone();
            self.out.push(ReplicaOutput::NotLeader { token, leader });
        }
    }

    fn replicate_all(&mut self) {
        for name in self.others() {
            self.replicate(&name, false);
        }
    }

    /// Sends `name` what it lacks; an empty message only if `always`.
    fn replicate(&mut self, name: &KeeperName, always: bool) {
        let (now, last, term) = (self.now, self.log.last_index(), self.hard_state.term);
        let patience = self.settings.heartbeat_interval * PART_HEARTBEATS;
        let snapshot_chunk_bytes = self.settings.snapshot_chunk_bytes;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.followers.get_mut(name) else {
            return;
        };
        if self.log.term(progress.next.max(1) - 1).is_none() && progress.outgoing.is_none() {
            let snapshot = self.log.snapshot().clone();
            progress.outgoing = Some(OutgoingSnapshot::new(snapshot, snapshot_chunk_bytes));
        }
        if let Some(outgoing) = &mut progress.outgoing {
            let chunk = outgoing.due(term, now, patience);
            // Until the snapshot is there, entries would only be refused; a heartbeat is not.
            progress.next = last + 1;
            if let Some(chunk) = chunk {
                return self.send(name.clone(), chunk);
            }
        }
        if progress.next > last && !always {
            return;
        }
        let prev_index = progress.next - 1;
        let prev_term = self.log.term(prev_index).expect("the entry is held");
        let entries = self.log.batch_from(prev_index + 1, APPEND_BYTES);
        progress.next = prev_index + 1 + entries.len() as u64;
        let append = ReplicaMessage::AppendEntries {
            term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
        };
        self.send(name.clone(), append);
    }

    fn has_quorum(&self) -> bool {
        let ReplicaRole::Leader(leader) = &self.role else {
            return false;
        };
        let span = self.settings.election_timeout;
        let hears = |voter: &&ReplicaId| {
            let progress = leader.followers.get(&voter.name);
            **voter == self.settings.id
                || progress.is_some_and(|p| self.now.since(p.heard_at) < span)
        };
        let config = self.config();
        config.voters.iter().filter(hears).count() >= config.quorum()
    }
}
