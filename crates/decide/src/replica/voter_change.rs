//! Changes of the voters by the leader, one at a time: voters that lost their disk are replaced
//! and, where keepers are discovered, keepers that are present are added until there are
//! enough voters.

use super::{
    interface::{ReplicaOutput, VoterPolicy},
    message::{EntryPayload, GroupConfig, LogEntry, ReplicaId},
    node::{ReplicaNode, ReplicaRole},
    progress::LeaderState,
};
use crate::name::KeeperName;

/// Whether a change adds a voter or removes one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterAction {
    /// The keeper becomes a voter.
    Add(ReplicaId),
    /// The keeper is no voter any more.
    Remove(ReplicaId),
}

/// Why the leader changes the voters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoterReason {
    /// There are fewer voters than wanted.
    TooFew,
    /// There are more voters than wanted.
    TooMany,
    /// The voter has lost its disk.
    DiskLost,
    /// A voter has sent no message for too long.
    Gone,
    /// The settings don't list the voter.
    NotListed,
}

impl VoterReason {
    /// Returns the reason as it appears in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            VoterReason::TooFew => "too-few",
            VoterReason::TooMany => "too-many",
            VoterReason::DiskLost => "disk-lost",
            VoterReason::Gone => "gone",
            VoterReason::NotListed => "not-listed",
        }
    }
}

/// A change of the voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterChange {
    /// What changes.
    pub action: VoterAction,
    /// Why.
    pub reason: VoterReason,
}

impl VoterChange {
    fn add(id: ReplicaId, reason: VoterReason) -> VoterChange {
        VoterChange {
            action: VoterAction::Add(id),
            reason,
        }
    }

    fn remove(voter: &ReplicaId, reason: VoterReason) -> VoterChange {
        VoterChange {
            action: VoterAction::Remove(voter.clone()),
            reason,
        }
    }

    /// Returns `config` after this change.
    fn apply(&self, config: &GroupConfig) -> GroupConfig {
        match &self.action {
            VoterAction::Add(id) => config.with(id.clone()),
            VoterAction::Remove(id) => config.without(&id.name),
        }
    }
}

impl ReplicaNode {
    /// Proposes the next change of the voters, once the previous one is committed. A voter that
    /// lost its disk is removed first and added again once the removal is committed.
    pub(super) fn propose_voter_change(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let (config_index, config) = self.log.config();
        if self.commit < config_index.max(leader.first_index) {
            return;
        }
        let next = match &self.settings.voter_policy {
            VoterPolicy::Listed(names) => {
                let mut changes = names.iter();
                let change = changes.find_map(|name| self.next_listed_change(leader, config, name));
                change.or_else(|| self.next_unlisted_change(config, names))
            }
            VoterPolicy::Discovered { voter_count, .. } => {
                self.next_discovered_change(leader, config, *voter_count)
            }
        };
        let Some(change) = next else {
            return;
        };
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload: EntryPayload::Config(change.apply(config)),
        };
        self.outputs.push(ReplicaOutput::VoterChange(change));
        self.append_local(vec![entry]);
    }

    /// Returns the next change towards voters that contain the present incarnation of `name`.
    fn next_listed_change(
        &self,
        leader: &LeaderState,
        config: &GroupConfig,
        name: &KeeperName,
    ) -> Option<VoterChange> {
        let id = self.present_id(leader, name)?;
        if config.contains(&id) {
            return None;
        }
        if let Some(voter) = config.voter(name) {
            return Some(VoterChange::remove(voter, VoterReason::DiskLost));
        }
        Some(VoterChange::add(id, VoterReason::TooFew))
    }

    /// Returns the removal of a voter that is not listed, if there are more voters than listed
    /// keepers: one that takes its place votes already.
    fn next_unlisted_change(
        &self,
        config: &GroupConfig,
        names: &[KeeperName],
    ) -> Option<VoterChange> {
        if config.voters.len() <= names.len() {
            return None;
        }
        let mut others = config
            .voters
            .iter()
            .filter(|voter| **voter != self.settings.id);
        let voter = others.find(|voter| !names.contains(&voter.name))?;
        Some(VoterChange::remove(voter, VoterReason::NotListed))
    }

    /// Returns the next change towards `voter_count` voters that are all present.
    fn next_discovered_change(
        &self,
        leader: &LeaderState,
        config: &GroupConfig,
        voter_count: usize,
    ) -> Option<VoterChange> {
        let spares = leader.followers.keys();
        let mut spares = spares.filter(|name| config.voter(name).is_none());
        let spare = spares.find_map(|name| self.present_id(leader, name));
        // Reaching the wanted number comes first: fewer voters survive fewer lost disks.
        if let Some(spare) = &spare
            && config.voters.len() < voter_count
        {
            return Some(VoterChange::add(spare.clone(), VoterReason::TooFew));
        }
        let has_spare = spare.is_some();
        let mut voters = config.voters.iter();
        let stale = voters.find(|voter| self.is_replaceable_stale(leader, voter, has_spare));
        if let Some(voter) = stale {
            return Some(VoterChange::remove(voter, VoterReason::DiskLost));
        }
        let is_gone = |voter: &&ReplicaId| {
            let progress = leader.followers.get(&voter.name);
            progress.is_some_and(|progress| self.is_gone(progress))
        };
        let gone = config.voters.iter().find(is_gone);
        if config.voters.len() > voter_count {
            let removal = gone.map(|voter| VoterChange::remove(voter, VoterReason::Gone));
            return removal.or_else(|| self.next_surplus_change(leader, config));
        }
        // A voter that is gone may hold entries that are needed when other disks are lost, so it
        // is removed only after another has been added.
        gone?;
        Some(VoterChange::add(spare?, VoterReason::Gone))
    }

    /// Returns whether `voter` has lost its disk and another can take its place: a spare, if
    /// `has_spare`, or the present incarnation of its keeper. The lost replica holds nothing, so it
    /// need not stay until the other is added.
    fn is_replaceable_stale(
        &self,
        leader: &LeaderState,
        voter: &ReplicaId,
        has_spare: bool,
    ) -> bool {
        let steady = self.steady_id(leader, &voter.name);
        let is_stale = steady.is_some_and(|id| id != *voter);
        is_stale && (has_spare || self.present_id(leader, &voter.name).is_some())
    }

    /// Returns the removal of one voter too many, once all are heard: a new leader doesn't know yet
    /// which of them is gone.
    fn next_surplus_change(
        &self,
        leader: &LeaderState,
        config: &GroupConfig,
    ) -> Option<VoterChange> {
        let others = config.voters.iter().rev();
        let mut others = others.filter(|voter| **voter != self.settings.id);
        let is_heard = |voter: &ReplicaId| {
            let progress = leader.followers.get(&voter.name);
            progress.is_some_and(|progress| self.is_heard(progress))
        };
        if !others.clone().all(is_heard) {
            return None;
        }
        Some(VoterChange::remove(others.next()?, VoterReason::TooMany))
    }

    /// Returns the present incarnation of `name`, if its messages come in steadily and it has caught
    /// up.
    fn present_id(&self, leader: &LeaderState, name: &KeeperName) -> Option<ReplicaId> {
        let progress = leader.followers.get(name)?;
        let has_caught_up = progress.match_index >= self.commit;
        self.steady_id(leader, name).filter(|_| has_caught_up)
    }

    /// Returns the present incarnation of `name`, if its messages have come in without a pause for
    /// an election timeout.
    fn steady_id(&self, leader: &LeaderState, name: &KeeperName) -> Option<ReplicaId> {
        let progress = leader.followers.get(name)?;
        let id = ReplicaId {
            name: name.clone(),
            incarnation: progress.incarnation?,
        };
        let election = self.settings.election_timeout;
        let is_steady = self.now.since(progress.steady_since) >= election;
        (is_steady && self.is_heard(progress)).then_some(id)
    }
}
