//! Log lines and counters on the voters of a group: who votes, since when, and why that changes.

use agatehill_decide::{
    replica::{GroupConfig, KeeperReport, ReplicaId, VoterAction, VoterChange},
    time::MonoTime,
};
use metrics::counter;
use serde::Serialize;
use spdlog::info;
use std::collections::BTreeMap;

/// What a keeper knows of the voters of a group, as last published.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoterStatus {
    /// Since when each voter votes, as far as this keeper has seen it.
    pub(crate) since: BTreeMap<ReplicaId, MonoTime>,
    /// The leader's reports on all keepers; empty at the others.
    pub(crate) keepers: Vec<KeeperReport>,
}

/// A voter in the dump.
#[derive(Clone, Debug, Serialize)]
pub struct VoterAge {
    /// The voter, as keeper name and incarnation.
    pub voter: String,
    /// Time since this keeper has seen it become a voter or, if it was one before, since this
    /// keeper's start, in milliseconds.
    pub since_ms: u64,
}

/// The committed voters of a group, with the time at which this keeper saw each of them first.
pub(crate) struct VoterLog {
    group: u16,
    since: BTreeMap<ReplicaId, MonoTime>,
}

impl VoterLog {
    /// Returns a log without voters.
    pub(crate) fn open(group: u16) -> VoterLog {
        VoterLog {
            group,
            since: BTreeMap::new(),
        }
    }

    /// Returns since when each voter votes.
    pub(crate) fn since(&self) -> &BTreeMap<ReplicaId, MonoTime> {
        &self.since
    }

    /// Replaces the voters by those of a snapshot, which are not news.
    pub(crate) fn restore(&mut self, config: &GroupConfig, now: MonoTime) {
        self.replace(config, now);
    }

    /// Records and logs the voters of a committed entry.
    pub(crate) fn record_change(&mut self, config: &GroupConfig, now: MonoTime) {
        let before = self.replace(config, now);
        let added = self.since.keys().filter(|id| !before.contains_key(id));
        let added = join_ids(added);
        let removed = before.iter().filter(|(id, _)| !config.contains(id));
        let ages = removed.clone().map(|(_, since)| now.since(*since));
        let voted_ms = ages.map(|age| age.as_millis()).max().unwrap_or_default();
        let removed = join_ids(removed.map(|(id, _)| id));
        info!("voters changed", kv: {
            group = self.group,
            voters = join_ids(&config.voters),
            added = added,
            removed = removed,
            removed_voted_ms = u64::try_from(voted_ms).unwrap_or(u64::MAX)
        });
    }

    /// Replaces the voters; returns those before.
    fn replace(&mut self, config: &GroupConfig, now: MonoTime) -> BTreeMap<ReplicaId, MonoTime> {
        let since = |id: &ReplicaId| self.since.get(id).copied().unwrap_or(now);
        let voters = config.voters.iter().map(|id| (id.clone(), since(id)));
        let voters = voters.collect();
        std::mem::replace(&mut self.since, voters)
    }
}

/// Logs and counts a change that this keeper has proposed as the leader.
pub(crate) fn log_proposed_change(group: u16, change: &VoterChange) {
    let (action, keeper) = match &change.action {
        VoterAction::Add(id) => ("add", id),
        VoterAction::Remove(id) => ("remove", id),
    };
    let reason = change.reason.as_str();
    info!("change of the voters proposed", kv: {
        group,
        action,
        keeper = keeper.to_string(),
        reason
    });
    let labels = [("action", action), ("reason", reason)];
    counter!("agatehill_voter_changes_proposed", &labels).increment(1);
}

/// Returns the ages of the voters at `now`.
pub(crate) fn voter_ages(since: &BTreeMap<ReplicaId, MonoTime>, now: MonoTime) -> Vec<VoterAge> {
    let age = |(id, since): (&ReplicaId, &MonoTime)| VoterAge {
        voter: id.to_string(),
        since_ms: u64::try_from(now.since(*since).as_millis()).unwrap_or(u64::MAX),
    };
    since.iter().map(age).collect()
}

fn join_ids<'a>(ids: impl IntoIterator<Item = &'a ReplicaId>) -> String {
    let ids: Vec<_> = ids.into_iter().map(ToString::to_string).collect();
    ids.join(" ")
}
