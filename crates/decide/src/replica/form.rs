//! Formation of a new group: once, with every founder present and every disk empty.
//!
//! The founders are all listed keepers or, where keepers are found, those that the group starts
//! with. The founder is the voter whose name comes first. A keeper with an empty disk promises, durably,
//! to follow one incarnation of the founder and refuses initial snapshots from any other, so a
//! founder that loses its disk half-way can't form a second group beside the first.

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

/// What a replica without a configuration knows.
#[derive(Debug, Default)]
pub(super) struct FormationState {
    /// Keepers that have promised to follow this one.
    present: BTreeMap<KeeperName, Incarnation>,
    ask_at: MonoTime,
}

impl ReplicaNode {
    pub(super) fn tick_forming(&mut self) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat_interval);
        let ReplicaRole::Forming(formation) = &mut self.role else {
            return;
        };
        if now < formation.ask_at {
            return;
        }
        formation.ask_at = now + heartbeat;
        if !self.is_founder() {
            let founder = self.hard_state.promised_founder.clone();
            return self.broadcast(&ReplicaMessage::FormationPromise { founder });
        }
        self.broadcast(&ReplicaMessage::FormationProbe);
        self.form_if_complete();
    }

    pub(super) fn on_formation_probe(&mut self, from: ReplicaId) {
        if !self.is_forming() {
            return self.offer_form(from);
        }
        if self.hard_state.promised_founder.as_ref() != Some(&from) {
            self.hard_state.promised_founder = Some(from.clone());
            self.persist_hard();
        }
        let founder = self.hard_state.promised_founder.clone();
        self.send(from.name, ReplicaMessage::FormationPromise { founder });
    }

    pub(super) fn on_formation_promise(&mut self, from: ReplicaId, founder: Option<ReplicaId>) {
        if !self.is_forming() {
            return self.offer_form(from);
        }
        if founder.as_ref() != Some(&self.settings.id) {
            return;
        }
        if let ReplicaRole::Forming(formation) = &mut self.role {
            formation.present.insert(from.name, from.incarnation);
        }
        if self.is_founder() {
            self.form_if_complete();
        }
    }

    pub(super) fn on_form_group(&mut self, from: ReplicaId, snapshot: ReplicaSnapshot) {
        if !self.is_forming() || !self.may_follow(&from) {
            return;
        }
        self.install_first(snapshot);
    }

    /// Returns whether an empty disk may take state from `from`.
    pub(super) fn may_follow(&self, from: &ReplicaId) -> bool {
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
        let present = &formation.present;
        if !self.needed().iter().all(|name| present.contains_key(name)) {
            return;
        }
        let me = &self.settings.id;
        let voter = |name: &KeeperName| ReplicaId {
            name: name.clone(),
            incarnation: present.get(name).copied().unwrap_or(me.incarnation),
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
        self.install_first(snapshot.clone());
        self.broadcast(&ReplicaMessage::FormGroup(snapshot));
    }

    /// Returns the other keepers that must be present for the group to be formed.
    fn needed(&self) -> Vec<KeeperName> {
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

    fn install_first(&mut self, snapshot: ReplicaSnapshot) {
        self.hard_state.term = self.hard_state.term.max(FIRST_TERM);
        self.commit = snapshot.meta.index;
        self.applied = snapshot.meta.index;
        self.log.install(snapshot.clone());
        self.role = ReplicaRole::Follower;
        self.restart_election_timer();
        self.persist_whole();
        self.out.push(ReplicaOutput::Restore(snapshot));
    }

    /// Passes the initial snapshot on while it is all there is; later ones come from the leader.
    fn offer_form(&mut self, to: ReplicaId) {
        let snapshot = self.log.snapshot();
        if snapshot.meta.index == FIRST_INDEX {
            let form = ReplicaMessage::FormGroup(snapshot.clone());
            self.send(to.name, form);
        }
    }
}
