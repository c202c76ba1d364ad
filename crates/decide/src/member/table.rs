//! The table of members and the rules by which news changes it.

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

/// Time from suspicion to death.
const SUSPICION_SPAN: Duration = Duration::from_millis(2_500);
/// Age from which a grave gives way to a whole table that holds the member alive.
const REVIVE_AGE: Duration = Duration::from_secs(3);
/// Time for which a dead member is remembered.
const DEAD_SPAN: Duration = Duration::from_secs(3_600);
/// Time for which a member that has left is remembered.
const LEFT_SPAN: Duration = Duration::from_secs(600);

slotmap::new_key_type! {
    /// Names a living member in the table.
    pub(super) struct MemberKey;
}

/// Whether a member answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// As far as is known.
    Alive,
    /// It didn't answer and hasn't refuted.
    Suspect,
}

/// What is known of a living member.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// What it says of itself.
    pub record: &'a MemberRecord,
    /// Whether it answers.
    pub status: MemberStatus,
}

pub(super) struct MemberEntry {
    pub(super) record: MemberRecord,
    /// Of the name; kept so that comparing tables costs little.
    name_hash: u64,
    /// The largest known; a suspicion may be of a later record than the one at hand.
    incarnation: Incarnation,
    /// When a suspect is declared dead.
    suspect_until: Option<MonoTime>,
}

struct MemberGrave {
    incarnation: Incarnation,
    since: MonoTime,
    /// It died, rather than left.
    is_dead: bool,
    /// Where its next run may be found, if it was known.
    contact: Option<SocketAddr>,
}

/// What an update did to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MergeEffect {
    /// It is old news.
    Nothing,
    /// It is news, to be told on.
    Changed,
    /// It speaks against this member itself, or of another run of it, at this incarnation.
    Refute(Incarnation),
}

/// Members of the zone other than this one.
pub(super) struct MemberTable {
    own: DaemonName,
    entries: SlotMap<MemberKey, MemberEntry>,
    keys: HashMap<DaemonName, MemberKey>,
    /// In order, so that runs from one seed are equal.
    graves: BTreeMap<DaemonName, MemberGrave>,
}

impl MemberTable {
    pub(super) fn new(own: DaemonName) -> MemberTable {
        MemberTable {
            own,
            entries: SlotMap::with_key(),
            keys: HashMap::new(),
            graves: BTreeMap::new(),
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

    /// Returns whether `name` is held to live and to answer.
    pub(super) fn is_alive(&self, name: &DaemonName) -> bool {
        let entry = self.key(name).and_then(|key| self.get(key));
        entry.is_some_and(|entry| entry.status() == MemberStatus::Alive)
    }

    /// Merges one item of news.
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
            MemberUpdate::Dead(name, incarnation) => self.bury(name, *incarnation, true, now),
            MemberUpdate::Left(name, incarnation) => self.bury(name, *incarnation, false, now),
        }
    }

    fn merge_alive(&mut self, record: &MemberRecord) -> MergeEffect {
        if let Some(grave) = self.graves.get(&record.name) {
            if record.incarnation <= grave.incarnation {
                return MergeEffect::Nothing;
            }
            self.graves.remove(&record.name);
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
            return MergeEffect::Nothing;
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
            return MergeEffect::Nothing;
        };
        let is_old = incarnation < entry.incarnation;
        let is_known = incarnation == entry.incarnation && entry.suspect_until.is_some();
        if is_old || is_known {
            return MergeEffect::Nothing;
        }
        entry.incarnation = incarnation;
        entry.suspect_until.get_or_insert(now + SUSPICION_SPAN);
        MergeEffect::Changed
    }

    fn bury(
        &mut self,
        name: &DaemonName,
        incarnation: Incarnation,
        is_dead: bool,
        now: MonoTime,
    ) -> MergeEffect {
        let key = self.key(name);
        let entry = key.and_then(|key| self.entries.get(key));
        let known = entry.map(|entry| entry.incarnation);
        let known = known.or(self.graves.get(name).map(|grave| grave.incarnation));
        if known.is_some_and(|known| incarnation < known) {
            return MergeEffect::Nothing;
        }
        let entry = key.and_then(|key| self.entries.remove(key));
        self.keys.remove(name);
        let contact = entry.as_ref().map(|entry| entry.record.gossip);
        let grave = MemberGrave {
            incarnation,
            since: now,
            is_dead,
            contact,
        };
        match entry {
            Some(_) => {
                self.graves.insert(name.clone(), grave);
                MergeEffect::Changed
            }
            None => {
                self.graves.entry(name.clone()).or_insert(grave).incarnation = incarnation;
                MergeEffect::Nothing
            }
        }
    }

    /// Returns what is to be told of the member `name`.
    pub(super) fn update(&self, name: &DaemonName) -> Option<MemberUpdate> {
        if let Some(entry) = self.key(name).and_then(|key| self.get(key)) {
            return Some(match entry.status() {
                MemberStatus::Alive => MemberUpdate::Alive(entry.record.clone()),
                MemberStatus::Suspect => MemberUpdate::Suspect(name.clone(), entry.incarnation),
            });
        }
        let grave = self.graves.get(name)?;
        Some(grave.update(name))
    }

    /// Returns the whole table, the dead and those that have left included.
    pub(super) fn updates(&self) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for entry in self.entries.values() {
            let name = entry.record.name.clone();
            updates.push(MemberUpdate::Alive(entry.record.clone()));
            if entry.status() == MemberStatus::Suspect {
                updates.push(MemberUpdate::Suspect(name, entry.incarnation));
            }
        }
        let graves = self.graves.iter();
        updates.extend(graves.map(|(name, grave)| grave.update(name)));
        updates
    }

    /// Declares dead whose suspicion has run out, forgets old graves; returns the newly dead.
    pub(super) fn expire(&mut self, now: MonoTime) -> Vec<MemberUpdate> {
        let is_over = |entry: &&MemberEntry| entry.suspect_until.is_some_and(|end| end <= now);
        let over = self.entries.values().filter(is_over);
        let dead: Vec<MemberUpdate> = over
            .map(|entry| MemberUpdate::Dead(entry.record.name.clone(), entry.incarnation))
            .collect();
        self.graves
            .retain(|_, grave| now.since(grave.since) < grave.span());
        dead
    }

    /// Moves the ends of all suspicions by `span`, in which this daemon heard nothing.
    pub(super) fn postpone(&mut self, span: Duration) {
        for entry in self.entries.values_mut() {
            if let Some(end) = &mut entry.suspect_until {
                *end = *end + span;
            }
        }
    }

    /// Forgets the living members for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&DaemonName) -> bool) {
        self.entries.retain(|_, entry| keep(&entry.record.name));
        self.keys.retain(|name, _| keep(name));
    }

    /// Returns the members that died or left and may have come back.
    pub(super) fn contacts(&self) -> Vec<(&DaemonName, SocketAddr)> {
        let with_contact = |(name, grave): (_, &MemberGrave)| Some((name, grave.contact?));
        self.graves.iter().filter_map(with_contact).collect()
    }

    /// Returns a hash that is equal where the same records of living members are known.
    pub(super) fn hash(&self, own: &MemberRecord) -> u64 {
        let others = self.entries.values().map(MemberEntry::hash);
        others.fold(
            record_hash(own.name_hash(), own.incarnation),
            |all, hash| all ^ hash,
        )
    }

    /// Lets a grave give way to `record`, which a whole table holds alive; pings will tell.
    pub(super) fn revive(&mut self, record: &MemberRecord, now: MonoTime) {
        let gives_way = |grave: &MemberGrave| {
            grave.is_dead
                && grave.incarnation == record.incarnation
                && now.since(grave.since) >= REVIVE_AGE
        };
        if self.graves.get(&record.name).is_some_and(gives_way) {
            self.graves.remove(&record.name);
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

impl MemberGrave {
    fn span(&self) -> Duration {
        match self.is_dead {
            true => DEAD_SPAN,
            false => LEFT_SPAN,
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
