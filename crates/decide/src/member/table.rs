//! Table of members and the rules for merging updates into it.

use super::wire::{MemberRecord, MemberUpdate};
use crate::{
    hash::{hash_parts, mix},
    name::{DaemonName, Incarnation},
    time::MonoTime,
};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// Time after which a suspect that hasn't refuted is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Age from which the tombstone of a dead member yields to a full table in which it is alive.
const TOMBSTONE_OVERRIDE_AGE: Duration = Duration::from_secs(3);
/// Time for which the tombstone of a dead member is kept.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);
/// Time for which the tombstone of a member that left is kept.
const LEFT_RETENTION: Duration = Duration::from_secs(600);

slotmap::new_key_type! {
    /// Key of a living member in the table.
    pub(super) struct MemberKey;
}

/// Whether a member responds to probes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// It responds, as far as known.
    Alive,
    /// A probe of it failed and it hasn't refuted.
    Suspect,
}

/// A living member as this daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The member's own record.
    pub record: &'a MemberRecord,
    /// Whether it responds to probes.
    pub status: MemberStatus,
}

pub(super) struct MemberEntry {
    pub(super) record: MemberRecord,
    /// Hash of the name, cached to make table hashes cheap.
    name_hash: u64,
    /// Greatest incarnation known; a suspicion may refer to a newer record than `record`.
    incarnation: Incarnation,
    /// When the suspect is declared dead; `None` for a member that is alive.
    suspect_until: Option<MonoTime>,
}

struct MemberTombstone {
    incarnation: Incarnation,
    since: MonoTime,
    /// Whether it was declared dead rather than left.
    is_dead: bool,
    /// Last gossip address, where its next run may listen.
    last_addr: Option<SocketAddr>,
}

/// Effect of an update on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MergeEffect {
    /// The update was already known or outdated.
    Unchanged,
    /// The table changed; the update is to be gossiped.
    Changed,
    /// The update is about this member itself, at this incarnation, and may have to be refuted.
    Refute(Incarnation),
}

/// Members of the zone other than this one.
pub(super) struct MemberTable {
    own: DaemonName,
    entries: SlotMap<MemberKey, MemberEntry>,
    keys: HashMap<DaemonName, MemberKey>,
    /// Ordered, so that simulations with the same seed are identical.
    tombstones: BTreeMap<DaemonName, MemberTombstone>,
}

impl MemberTable {
    pub(super) fn new(own: DaemonName) -> MemberTable {
        MemberTable {
            own,
            entries: SlotMap::with_key(),
            keys: HashMap::new(),
            tombstones: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn key(&self, name: &DaemonName) -> Option<MemberKey> {
        self.keys.get(name).copied()
    }

    pub(super) fn get(&self, key: MemberKey) -> Option<&MemberEntry> {
        self.entries.get(key)
    }

    pub(super) fn keys(&self) -> Vec<MemberKey> {
        self.entries.keys().collect()
    }

    pub(super) fn views(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.entries.values().map(|entry| MemberView {
            record: &entry.record,
            status: entry.status(),
        })
    }

    /// Returns whether `name` is a member and not suspect.
    pub(super) fn is_alive(&self, name: &DaemonName) -> bool {
        let entry = self.key(name).and_then(|key| self.get(key));
        entry.is_some_and(|entry| entry.status() == MemberStatus::Alive)
    }

    /// Merges one update.
    pub(super) fn merge(&mut self, update: &MemberUpdate, now: MonoTime) -> MergeEffect {
        if *update.name() == self.own {
            return match update {
                MemberUpdate::Alive(record) => MergeEffect::Refute(record.incarnation),
                MemberUpdate::Suspect(_, incarnation)
                | MemberUpdate::Dead(_, incarnation)
                | MemberUpdate::Left(_, incarnation) => MergeEffect::Refute(*incarnation),
            };
        }
        match update {
            MemberUpdate::Alive(record) => self.merge_alive(record),
            MemberUpdate::Suspect(name, incarnation) => self.suspect(name, *incarnation, now),
            MemberUpdate::Dead(name, incarnation) => self.remove(name, *incarnation, true, now),
            MemberUpdate::Left(name, incarnation) => self.remove(name, *incarnation, false, now),
        }
    }

    fn merge_alive(&mut self, record: &MemberRecord) -> MergeEffect {
        if let Some(tombstone) = self.tombstones.get(&record.name) {
            if record.incarnation <= tombstone.incarnation {
                return MergeEffect::Unchanged;
            }
            self.tombstones.remove(&record.name);
        }
        let Some(key) = self.key(&record.name) else {
            let key = self.entries.insert(MemberEntry {
                record: record.clone(),
                name_hash: record.name_hash(),
                incarnation: record.incarnation,
                suspect_until: None,
            });
            self.keys.insert(record.name.clone(), key);
            return MergeEffect::Changed;
        };
        let entry = &mut self.entries[key];
        if record.incarnation <= entry.record.incarnation {
            return MergeEffect::Unchanged;
        }
        entry.record = record.clone();
        if record.incarnation > entry.incarnation {
            entry.incarnation = record.incarnation;
            entry.suspect_until = None;
        }
        MergeEffect::Changed
    }

    fn suspect(
        &mut self,
        name: &DaemonName,
        incarnation: Incarnation,
        now: MonoTime,
    ) -> MergeEffect {
        let Some(entry) = self
            .keys
            .get(name)
            .and_then(|key| self.entries.get_mut(*key))
        else {
            return MergeEffect::Unchanged;
        };
        let is_old = incarnation < entry.incarnation;
        let is_known = incarnation == entry.incarnation && entry.suspect_until.is_some();
        if is_old || is_known {
            return MergeEffect::Unchanged;
        }
        entry.incarnation = incarnation;
        entry.suspect_until.get_or_insert(now + SUSPICION_TIMEOUT);
        MergeEffect::Changed
    }

    fn remove(
        &mut self,
        name: &DaemonName,
        incarnation: Incarnation,
        is_dead: bool,
        now: MonoTime,
    ) -> MergeEffect {
        let key = self.key(name);
        let entry = key.and_then(|key| self.entries.get(key));
        let known = entry.map(|entry| entry.incarnation);
        let known = known.or(self
            .tombstones
            .get(name)
            .map(|tombstone| tombstone.incarnation));
        if known.is_some_and(|known| incarnation < known) {
            return MergeEffect::Unchanged;
        }
        let entry = key.and_then(|key| self.entries.remove(key));
        self.keys.remove(name);
        let last_addr = entry.as_ref().map(|entry| entry.record.gossip);
        let tombstone = MemberTombstone {
            incarnation,
            since: now,
            is_dead,
            last_addr,
        };
        match entry {
            Some(_) => {
                self.tombstones.insert(name.clone(), tombstone);
                MergeEffect::Changed
            }
            None => {
                self.tombstones
                    .entry(name.clone())
                    .or_insert(tombstone)
                    .incarnation = incarnation;
                MergeEffect::Unchanged
            }
        }
    }

    /// Returns the update to gossip about `name`, or `None` if it isn't known.
    pub(super) fn update(&self, name: &DaemonName) -> Option<MemberUpdate> {
        if let Some(entry) = self.key(name).and_then(|key| self.get(key)) {
            return Some(match entry.status() {
                MemberStatus::Alive => MemberUpdate::Alive(entry.record.clone()),
                MemberStatus::Suspect => MemberUpdate::Suspect(name.clone(), entry.incarnation),
            });
        }
        let tombstone = self.tombstones.get(name)?;
        Some(tombstone.update(name))
    }

    /// Returns the full table, with members that died or left.
    pub(super) fn updates(&self) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for entry in self.entries.values() {
            let name = entry.record.name.clone();
            updates.push(MemberUpdate::Alive(entry.record.clone()));
            if entry.status() == MemberStatus::Suspect {
                updates.push(MemberUpdate::Suspect(name, entry.incarnation));
            }
        }
        let tombstones = self.tombstones.iter();
        updates.extend(tombstones.map(|(name, tombstone)| tombstone.update(name)));
        updates
    }

    /// Removes expired tombstones and returns the deaths of members whose suspicion timed out.
    pub(super) fn expire(&mut self, now: MonoTime) -> Vec<MemberUpdate> {
        let is_timed_out = |entry: &&MemberEntry| entry.suspect_until.is_some_and(|end| end <= now);
        let timed_out = self.entries.values().filter(is_timed_out);
        let dead: Vec<MemberUpdate> = timed_out
            .map(|entry| MemberUpdate::Dead(entry.record.name.clone(), entry.incarnation))
            .collect();
        self.tombstones
            .retain(|_, tombstone| now.since(tombstone.since) < tombstone.retention());
        dead
    }

    /// Extends all suspicion timeouts by `delay`, the time for which this daemon made no step.
    pub(super) fn postpone_suspicions(&mut self, delay: Duration) {
        for entry in self.entries.values_mut() {
            if let Some(end) = &mut entry.suspect_until {
                *end = *end + delay;
            }
        }
    }

    /// Removes the living members for which `keep` returns false, without tombstones.
    pub(super) fn retain(&mut self, keep: impl Fn(&DaemonName) -> bool) {
        self.entries.retain(|_, entry| keep(&entry.record.name));
        self.keys.retain(|name, _| keep(name));
    }

    /// Returns the members that died or left, with their last gossip addresses.
    pub(super) fn former_members(&self) -> Vec<(&DaemonName, SocketAddr)> {
        let with_last_addr =
            |(name, tombstone): (_, &MemberTombstone)| Some((name, tombstone.last_addr?));
        self.tombstones.iter().filter_map(with_last_addr).collect()
    }

    /// Returns a hash that is equal for tables with the same records of living members.
    pub(super) fn hash(&self, own: &MemberRecord) -> u64 {
        let others = self.entries.values().map(MemberEntry::hash);
        others.fold(
            record_hash(own.name_hash(), own.incarnation),
            |all, hash| all ^ hash,
        )
    }

    /// Drops the tombstone of a dead member if it is old enough and another daemon's full table lists
    /// the member as alive, with `record`, at the same incarnation. Probes then show whether the
    /// member responds.
    pub(super) fn drop_tombstone(&mut self, record: &MemberRecord, now: MonoTime) {
        let is_overridden = |tombstone: &MemberTombstone| {
            tombstone.is_dead
                && tombstone.incarnation == record.incarnation
                && now.since(tombstone.since) >= TOMBSTONE_OVERRIDE_AGE
        };
        if self.tombstones.get(&record.name).is_some_and(is_overridden) {
            self.tombstones.remove(&record.name);
        }
    }
}

impl MemberEntry {
    pub(super) fn status(&self) -> MemberStatus {
        match self.suspect_until {
            Some(_) => MemberStatus::Suspect,
            None => MemberStatus::Alive,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn hash(&self) -> u64 {
        record_hash(self.name_hash, self.record.incarnation)
    }
}

impl MemberTombstone {
    fn retention(&self) -> Duration {
        match self.is_dead {
            true => DEAD_RETENTION,
            false => LEFT_RETENTION,
        }
    }

    fn update(&self, name: &DaemonName) -> MemberUpdate {
        match self.is_dead {
            true => MemberUpdate::Dead(name.clone(), self.incarnation),
            false => MemberUpdate::Left(name.clone(), self.incarnation),
        }
    }
}

impl MemberRecord {
    fn name_hash(&self) -> u64 {
        hash_parts(&[self.name.as_str()])
    }
}

fn record_hash(name_hash: u64, incarnation: Incarnation) -> u64 {
    mix(name_hash ^ mix(incarnation.0))
}
