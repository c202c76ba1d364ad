//! One replica of one group: its state and the handling of its inputs.

use super::{
    election::ElectionState,
    formation::FormationState,
    interface::{
        PersistBatch, RecoveredState, ReplicaInput, ReplicaOutput, ReplicaSettings, ReplicaStatus,
    },
    log::ReplicaLog,
    message::{
        GroupConfig, HardState, LogEntry, ReplicaEnvelope, ReplicaId, ReplicaMessage,
        ReplicaSnapshot, SnapshotMeta,
    },
    progress::LeaderState,
    snapshot_transfer::IncomingSnapshot,
};
use crate::{name::KeeperName, time::MonoTime};
use std::sync::Arc;

/// The present role of a replica.
#[derive(Debug)]
pub(super) enum ReplicaRole {
    Forming(FormationState),
    Follower,
    Candidate(ElectionState),
    Leader(LeaderState),
}

/// One replica of one group.
#[derive(Debug)]
pub struct ReplicaNode {
    pub(super) settings: ReplicaSettings,
    pub(super) hard_state: HardState,
    pub(super) log: ReplicaLog,
    pub(super) role: ReplicaRole,
    pub(super) leader: Option<KeeperName>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    /// Index of the last entry that is durable here.
    pub(super) persisted: u64,
    /// Time of the last message from a leader.
    pub(super) leader_seen_at: Option<MonoTime>,
    /// Time of the last message from a leader that showed this replica to hold all committed
    /// entries.
    pub(super) caught_up_at: Option<MonoTime>,
    /// A snapshot that is being received from a leader.
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) election_due_at: MonoTime,
    pub(super) now: MonoTime,
    pub(super) random: u64,
    pub(super) outputs: Vec<ReplicaOutput>,
}

impl ReplicaNode {
    /// Returns a replica that continues from its recovered state.
    pub fn open(
        settings: ReplicaSettings,
        recovered: RecoveredState,
        now: MonoTime,
        random: u64,
    ) -> ReplicaNode {
        let formed = recovered.snapshot.is_some();
        let empty = || ReplicaSnapshot {
            meta: SnapshotMeta::default(),
            data: Arc::new([]),
        };
        let snapshot = recovered.snapshot.unwrap_or_else(empty);
        let start = snapshot.meta.index;
        let log = ReplicaLog::new(snapshot, recovered.entries);
        let role = if formed {
            ReplicaRole::Follower
        } else {
            ReplicaRole::Forming(FormationState::default())
        };
        let mut node = ReplicaNode {
            settings,
            hard_state: recovered.hard_state,
            persisted: log.last_index(),
            log,
            role,
            leader: None,
            commit: start,
            applied: start,
            leader_seen_at: None,
            caught_up_at: None,
            incoming_snapshot: None,
            election_due_at: MonoTime::ZERO,
            now,
            random,
            outputs: Vec::new(),
        };
        node.start_election_timer();
        node.add_voters();
        node
    }

    /// Handles one input at time `now`; returns the outputs to execute, in order.
    pub fn step(&mut self, input: ReplicaInput, now: MonoTime, random: u64) -> Vec<ReplicaOutput> {
        self.now = now;
        self.random = random;
        match input {
            ReplicaInput::Message(envelope) => self.receive(envelope),
            ReplicaInput::Tick => self.tick(),
            ReplicaInput::Propose(commands) => self.propose(commands),
            ReplicaInput::AddKeepers(names) => self.add_keepers(names),
            ReplicaInput::Persisted => self.record_persisted(),
            ReplicaInput::TransferLeadership => self.transfer_leadership(),
            ReplicaInput::Compact { index, data } => self.compact(index, data),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether this replica believes that it leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Returns the keeper that this replica believes to be the leader, if any.
    pub fn leader(&self) -> Option<&KeeperName> {
        self.leader.as_ref()
    }

    /// Returns the number of applied entries that the snapshot doesn't cover.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.applied - self.log.snapshot().meta.index
    }

    /// Returns the latest configuration.
    pub fn config(&self) -> &GroupConfig {
        self.log.config().1
    }

    /// Returns the present status.
    pub fn status(&self) -> ReplicaStatus {
        let role = match self.role {
            ReplicaRole::Forming(_) => "forming",
            ReplicaRole::Follower => "follower",
            ReplicaRole::Candidate(_) => "candidate",
            ReplicaRole::Leader(_) => "leader",
        };
        let contact_at = self.contact_at();
        ReplicaStatus {
            role,
            term: self.hard_state.term,
            leader: self.leader.clone(),
            last_index: self.log.last_index(),
            commit: self.commit,
            snapshot: self.log.snapshot().meta.index,
            voters: self
                .config()
                .voters
                .iter()
                .map(ReplicaId::to_string)
                .collect(),
            contact_at,
            current_until: contact_at.map(|at| at + self.settings.election_timeout),
        }
    }

    /// Returns [`ReplicaStatus::contact_at`].
    fn contact_at(&self) -> Option<MonoTime> {
        match &self.role {
            ReplicaRole::Leader(leader) if leader.covers_earlier_terms(self.commit) => {
                self.quorum_seen_at(leader)
            }
            ReplicaRole::Leader(_) => None,
            _ => self.caught_up_at,
        }
    }

    fn receive(&mut self, envelope: ReplicaEnvelope) {
        if envelope.group_count != self.settings.group_count || !envelope.message.is_valid() {
            return;
        }
        let ReplicaEnvelope { from, message, .. } = envelope;
        match message {
            ReplicaMessage::FormationProbe => self.on_formation_probe(from),
            ReplicaMessage::FormationPromise { founder } => {
                self.on_formation_promise(from, founder)
            }
            ReplicaMessage::FormGroup(snapshot) => self.on_form_group(from, snapshot),
            // A replica without a configuration can't vote.
            ReplicaMessage::VoteRequest { .. } if self.is_forming() => {}
            ReplicaMessage::VoteRequest {
                is_pre_vote,
                term,
                last_index,
                last_term,
            } => self.on_vote_request(from, is_pre_vote, term, (last_term, last_index)),
            ReplicaMessage::VoteReply {
                is_pre_vote,
                term,
                granted,
            } => {
                self.on_vote_reply(from, is_pre_vote, term, granted);
            }
            ReplicaMessage::TimeoutNow { term } => self.on_timeout_now(term),
            ReplicaMessage::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
            } => self.on_append_entries(from, term, (prev_index, prev_term), entries, commit),
            ReplicaMessage::InstallSnapshot {
                term,
                meta,
                offset,
                total_bytes,
                chunk,
            } => self.on_install_snapshot(from, term, meta, (offset, total_bytes), &chunk),
            ReplicaMessage::AppendReply { term, result } => {
                self.on_append_reply(from, term, result)
            }
        }
    }

    fn tick(&mut self) {
        match self.role {
            ReplicaRole::Forming(_) => self.tick_forming(),
            ReplicaRole::Leader(_) => self.tick_leading(),
            ReplicaRole::Follower | ReplicaRole::Candidate(_) => self.tick_election(),
        }
    }

    /// Adds the voters of the latest configuration to the known keepers.
    pub(super) fn add_voters(&mut self) {
        let voters = self.config().voters.iter();
        let names = voters.map(|voter| voter.name.clone()).collect();
        self.add_keepers(names);
    }

    fn add_keepers(&mut self, names: Vec<KeeperName>) {
        let (next_index, now) = (self.log.last_index() + 1, self.now);
        for name in names {
            if self.settings.keepers.contains(&name) {
                continue;
            }
            if let ReplicaRole::Leader(leader) = &mut self.role {
                leader.add_follower(name.clone(), next_index, now);
            }
            self.settings.keepers.push(name);
        }
    }

    fn record_persisted(&mut self) {
        self.persisted = self.log.last_index();
        self.advance_commit();
    }

    fn compact(&mut self, index: u64, data: Arc<[u8]>) {
        let old = self.log.snapshot().meta.index;
        if index <= old || index > self.applied {
            return;
        }
        let term = self.log.term(index).expect("applied entries are held");
        let meta = SnapshotMeta {
            index,
            term,
            config: self.log.config_at(index).clone(),
        };
        self.log.compact(ReplicaSnapshot { meta, data });
        self.persist_snapshot();
    }

    /// Applies all committed entries.
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log.get(self.applied);
            let entry = entry.expect("committed entries are held").clone();
            let token = self.take_token(&entry);
            self.outputs.push(ReplicaOutput::Apply { entry, token });
        }
    }

    pub(super) fn is_forming(&self) -> bool {
        matches!(self.role, ReplicaRole::Forming(_))
    }

    pub(super) fn send(&mut self, to: KeeperName, message: ReplicaMessage) {
        let envelope = ReplicaEnvelope {
            group: self.settings.group,
            group_count: self.settings.group_count,
            from: self.settings.id.clone(),
            to,
            message,
        };
        self.outputs.push(ReplicaOutput::Send(envelope));
    }

    pub(super) fn broadcast(&mut self, message: &ReplicaMessage) {
        for name in self.others() {
            self.send(name, message.clone());
        }
    }

    pub(super) fn others(&self) -> Vec<KeeperName> {
        let keepers = self.settings.keepers.iter();
        keepers
            .filter(|name| **name != self.settings.id.name)
            .cloned()
            .collect()
    }

    pub(super) fn persist_hard_state(&mut self) {
        self.outputs.push(ReplicaOutput::Persist(PersistBatch {
            hard_state: Some(self.hard_state.clone()),
            ..PersistBatch::default()
        }));
    }

    pub(super) fn persist_entries(&mut self, entries: Vec<LogEntry>) {
        self.outputs.push(ReplicaOutput::Persist(PersistBatch {
            entries,
            ..PersistBatch::default()
        }));
    }

    /// Persists the hard state, the snapshot and the log after it.
    pub(super) fn persist_snapshot(&mut self) {
        let snapshot = self.log.snapshot().clone();
        let entries = self.log.entries_from(snapshot.meta.index + 1);
        self.outputs.push(ReplicaOutput::Persist(PersistBatch {
            hard_state: Some(self.hard_state.clone()),
            snapshot: Some(snapshot),
            entries,
        }));
    }
}
