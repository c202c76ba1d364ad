//! Replacement of voters that lost their disk, by the leader.

use super::{
    lead::LeaderState,
    message::{EntryPayload, GroupConfig, LogEntry, MemberKey},
    node::{ReplicaNode, ReplicaRole},
};
use crate::name::KeeperName;

impl ReplicaNode {
    /// Replaces one voter that came back without its disk: out first, in when that is committed.
    pub(super) fn repair_voters(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let (config_index, config) = self.log.config();
        if self.commit < config_index.max(leader.first_index) {
            return;
        }
        let names = self.settings.voters.iter();
        let Some(config) = names
            .filter_map(|name| self.repair(leader, config, name))
            .next()
        else {
            return;
        };
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
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
        let progress = leader.followers.get(name)?;
        let key = MemberKey {
            name: name.clone(),
            incarnation: progress.incarnation?,
        };
        let fresh = self.now.since(progress.heard_at) < self.settings.election;
        let caught_up = progress.matched >= self.commit;
        if config.contains(&key) || !fresh || !caught_up {
            return None;
        }
        if config.voter(name).is_some() {
            return Some(config.without(name));
        }
        Some(config.with(key))
    }
}
