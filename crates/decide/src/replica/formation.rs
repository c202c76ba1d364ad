//! Formation of a new group: once, with every initial voter present and every disk empty.
//!
//! The initial voters are those of the settings or, where keepers are discovered, the founders in
//! the voter policy. The one whose name sorts first is the founder, which creates the initial
//! snapshot. A keeper with an empty disk promises, durably, to follow one incarnation of the
//! founder and refuses initial snapshots from its other incarnations. A founder that loses its disk
//! during formation therefore can't form a second group next to the first.

use super::{
    interface::{ReplicaOutput, VoterPolicy},
    message::{GroupConfig, ReplicaId, ReplicaMessage, ReplicaSnapshot, SnapshotMeta},
    node::{ReplicaNode, ReplicaRole},
};
use crate::{
    name::{Incarnation, KeeperName},
    time::MonoTime,
};
use std::{collections::BTreeMap, sync::Arc};

/// Index of the initial snapshot.
const FIRST_INDEX: u64 = 1;
/// Term of the initial snapshot.
const FIRST_TERM: u64 = 1;

/// State of a replica that has no configuration yet.
#[derive(Debug, Default)]
pub(super) struct FormationState {
    /// Keepers that have promised to follow this one as the founder.
    promised: BTreeMap<KeeperName, Incarnation>,
    /// Time of the next probe or promise.
    next_send_at: MonoTime,
}

impl ReplicaNode {
    pub(super) fn tick_forming(&mut self) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat_interval);
        let ReplicaRole::Forming(formation) = &mut self.role else {
            return;
        };
        if now < formation.next_send_at {
            return;
        }
        formation.next_send_at = now + heartbeat;
        if !self.is_founder() {
            let founder = self.hard_state.promised_founder.clone();
            return self.broadcast(&ReplicaMessage::FormationPromise { founder });
        }
        self.broadcast(&ReplicaMessage::FormationProbe);
        self.form_if_complete();
    }

    pub(super) fn on_formation_probe(&mut self, from: ReplicaId) {
        if !self.is_forming() {
            return self.offer_initial_snapshot(from);
        }
        if self.hard_state.promised_founder.as_ref() != Some(&from) {
            self.hard_state.promised_founder = Some(from.clone());
            self.persist_hard_state();
        }
        let founder = self.hard_state.promised_founder.clone();
        self.send(from.name, ReplicaMessage::FormationPromise { founder });
    }

    pub(super) fn on_formation_promise(&mut self, from: ReplicaId, founder: Option<ReplicaId>) {
        if !self.is_forming() {
            return self.offer_initial_snapshot(from);
        }
        if founder.as_ref() != Some(&self.settings.id) {
            return;
        }
        if let ReplicaRole::Forming(formation) = &mut self.role {
            formation.promised.insert(from.name, from.incarnation);
        }
        if self.is_founder() {
            self.form_if_complete();
        }
    }

    pub(super) fn on_form_group(&mut self, from: ReplicaId, snapshot: ReplicaSnapshot) {
        if !self.is_forming() || !self.may_accept_snapshot_from(&from) {
            return;
        }
        self.install_initial_snapshot(snapshot);
    }

    /// Returns whether a replica with an empty disk may accept a snapshot from `from`.
    pub(super) fn may_accept_snapshot_from(&self, from: &ReplicaId) -> bool {
        let founder = self.hard_state.promised_founder.as_ref();
        founder.is_none_or(|founder| founder.name != from.name || founder == from)
    }

    fn is_founder(&self) -> bool {
        self.settings.voter_policy.founders().iter().min() == Some(&self.settings.id.name)
    }

    fn form_if_complete(&mut self) {
        let ReplicaRole::Forming(formation) = &self.role else {
            return;
        };
        let promised = &formation.promised;
        if !self
            .required_keepers()
            .iter()
            .all(|name| promised.contains_key(name))
        {
            return;
        }
        let own = &self.settings.id;
        let voter = |name: &KeeperName| ReplicaId {
            name: name.clone(),
            incarnation: promised.get(name).copied().unwrap_or(own.incarnation),
        };
        let mut voters: Vec<_> = self
            .settings
            .voter_policy
            .founders()
            .iter()
            .map(voter)
            .collect();
        voters.sort();
        let meta = SnapshotMeta {
            index: FIRST_INDEX,
            term: FIRST_TERM,
            config: GroupConfig { voters },
        };
        let snapshot = ReplicaSnapshot {
            meta,
            data: Arc::new([]),
        };
        self.install_initial_snapshot(snapshot.clone());
        self.broadcast(&ReplicaMessage::FormGroup(snapshot));
    }

    /// Returns the other keepers that must be present before the group is formed.
    fn required_keepers(&self) -> Vec<KeeperName> {
        match &self.settings.voter_policy {
            VoterPolicy::Listed(_) => self.others(),
            VoterPolicy::Discovered { founders, .. } => {
                let others = founders
                    .iter()
                    .filter(|name| **name != self.settings.id.name);
                others.cloned().collect()
            }
        }
    }

    fn install_initial_snapshot(&mut self, snapshot: ReplicaSnapshot) {
        self.hard_state.term = self.hard_state.term.max(FIRST_TERM);
        self.commit = snapshot.meta.index;
        self.applied = snapshot.meta.index;
        self.log.install(snapshot.clone());
        self.role = ReplicaRole::Follower;
        self.restart_election_timer();
        self.persist_snapshot();
        self.outputs.push(ReplicaOutput::Restore(snapshot));
    }

    /// Sends the initial snapshot to a keeper with an empty disk, unless a later one has replaced
    /// it: later snapshots are sent by the leader.
    fn offer_initial_snapshot(&mut self, to: ReplicaId) {
        let snapshot = self.log.snapshot();
        if snapshot.meta.index == FIRST_INDEX {
            let form = ReplicaMessage::FormGroup(snapshot.clone());
            self.send(to.name, form);
        }
    }
}
