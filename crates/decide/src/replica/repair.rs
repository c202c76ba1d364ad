//! Changes of the voters by the leader, one at a time: voters that lost their disk are replaced, and
//! where keepers are found, those that are present take the places that are free.

use super::{
    interface::VoterPolicy,
    lead::LeaderState,
    message::{EntryPayload, GroupConfig, LogEntry, ReplicaId},
    node::{ReplicaNode, ReplicaRole},
};
use crate::name::KeeperName;
use std::time::Duration;

impl ReplicaNode {
    /// Makes the next change of the voters, once the one before is committed. A voter that lost its
    /// disk is taken out first, and in again when that is committed.
    pub(super) fn repair_voters(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let (config_index, config) = self.log.config();
        if self.commit < config_index.max(leader.first_index) {
            return;
        }
        let next = match &self.settings.voter_policy {
            VoterPolicy::Listed(names) => names
                .iter()
                .find_map(|name| self.repair(leader, config, name)),
            VoterPolicy::Discovered {
                voter_count,
                replace_after,
                ..
            } => self.fill(leader, config, *voter_count, *replace_after),
        };
        let Some(config) = next else {
            return;
        };
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload: EntryPayload::Config(config),
        };
        self.append_own(vec![entry]);
    }

    /// Returns the next configuration on the way to the present incarnation of `name`.
    fn repair(
        &self,
        leader: &LeaderState,
        config: &GroupConfig,
        name: &KeeperName,
    ) -> Option<GroupConfig> {
        let key = self.present(leader, name)?;
        if config.contains(&key) {
            return None;
        }
        if config.voter(name).is_some() {
            return Some(config.without(name));
        }
        Some(config.with(key))
    }

    /// Returns the next configuration on the way to `voter_count` voters that are present.
    fn fill(
        &self,
        leader: &LeaderState,
        config: &GroupConfig,
        voter_count: usize,
        replace_after: Duration,
    ) -> Option<GroupConfig> {
        let spares = leader.followers.keys();
        let mut spares = spares.filter(|name| config.voter(name).is_none());
        let spare = spares.find_map(|name| self.present(leader, name));
        // First of all as many as there should be: with fewer, fewer disks may be lost.
        if let Some(spare) = &spare
            && config.voters.len() < voter_count
        {
            return Some(config.with(spare.clone()));
        }
        let returned = config.voters.iter().find(|voter| {
            let present = self.present(leader, &voter.name);
            present.is_some_and(|key| key != **voter)
        });
        if let Some(voter) = returned {
            return Some(config.without(&voter.name));
        }
        let is_gone = |voter: &&ReplicaId| {
            let progress = leader.followers.get(&voter.name);
            progress.is_some_and(|p| self.now.since(p.heard_at) >= replace_after)
        };
        let gone = config.voters.iter().find(is_gone);
        if config.voters.len() > voter_count {
            let others = config.voters.iter().rev();
            let mut others = others.filter(|voter| **voter != self.settings.id);
            return Some(config.without(&gone.or_else(|| others.next())?.name));
        }
        // A voter that is gone may hold what is needed when disks are lost: it leaves only after
        // another has taken its place.
        gone?;
        Some(config.with(spare?))
    }

    /// Returns the present incarnation of `name`, if it has been heard for a while without a pause
    /// and has caught up.
    fn present(&self, leader: &LeaderState, name: &KeeperName) -> Option<ReplicaId> {
        let progress = leader.followers.get(name)?;
        let key = ReplicaId {
            name: name.clone(),
            incarnation: progress.incarnation?,
        };
        let election = self.settings.election_timeout;
        let is_fresh = self.now.since(progress.heard_at) < election
            && self.now.since(progress.steady_since) >= election;
        let has_caught_up = progress.matched >= self.commit;
        (is_fresh && has_caught_up).then_some(key)
    }
}
