//! The digests at hand, with the version at which each part last changed.

use super::{
    STALE_AGE,
    wire::{DigestRow, ZoneDelta},
};
use crate::{
    name::{RegionName, ServiceName, ZoneName},
    time::MonoTime,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Age from which a zone's rows are forgotten; its relays are kept to ask again.
const FORGET_SPAN: Duration = Duration::from_secs(300);
/// Change of load below which a row counts as unchanged, in thousandths.
const LOAD_STEP: u16 = 125;

struct StampedRow {
    row: DigestRow,
    version: u64,
}

/// The digest of one zone.
pub(super) struct ZoneDigest {
    pub(super) region: RegionName,
    relays: Vec<SocketAddr>,
    /// Version at which the relays last changed.
    relays_version: u64,
    rows: BTreeMap<ServiceName, StampedRow>,
    /// When the zone itself was heard, directly or through a relay.
    pub(super) heard: Option<MonoTime>,
    /// Whether this daemon heard it directly and may hand it on.
    pub(super) is_direct: bool,
}

/// What is known of another zone.
#[derive(Clone, Debug)]
pub struct ZoneView<'a> {
    /// The zone.
    pub zone: &'a ZoneName,
    /// Its region.
    pub region: &'a RegionName,
    /// Whether nothing was heard from it for long; its fixed share counts then.
    pub is_stale: bool,
    /// Its services.
    pub rows: Vec<&'a DigestRow>,
}

impl ZoneDigest {
    pub(super) fn new(region: RegionName) -> ZoneDigest {
        ZoneDigest {
            region,
            relays: Vec::new(),
            relays_version: 0,
            rows: BTreeMap::new(),
            heard: None,
            is_direct: false,
        }
    }

    /// Returns control addresses of some relays of the zone.
    pub(super) fn relays(&self) -> &[SocketAddr] {
        &self.relays
    }

    /// Puts in `relays`, unless they are empty; returns whether they are new.
    pub(super) fn set_relays(&mut self, relays: Vec<SocketAddr>, version: u64) -> bool {
        if relays.is_empty() || relays == self.relays {
            return false;
        }
        self.relays = relays;
        self.relays_version = version;
        true
    }

    /// Puts `rows` in; the ones that changed get `version`. Returns whether one did.
    pub(super) fn update(&mut self, rows: Vec<DigestRow>, version: u64) -> bool {
        let mut has_changed = false;
        for row in rows {
            let old = self.rows.get(&row.service);
            if old.map_or(row.servers == 0, |old| is_same(&old.row, &row)) {
                continue;
            }
            has_changed = true;
            let service = row.service.clone();
            self.rows.insert(service, StampedRow { row, version });
        }
        has_changed
    }

    /// Puts in `rows` as all that there are.
    pub(super) fn replace(&mut self, mut rows: Vec<DigestRow>, version: u64) -> bool {
        for service in self.rows.keys() {
            if rows.iter().all(|row| row.service != *service) {
                rows.push(DigestRow {
                    service: service.clone(),
                    servers: 0,
                    slots: 0,
                    load_permille: 0,
                    entries: Vec::new(),
                });
            }
        }
        self.update(rows, version)
    }

    /// Returns what has changed after `version`.
    pub(super) fn delta(&self, zone: &ZoneName, version: u64, now: MonoTime) -> ZoneDelta {
        let changed = self.rows.values().filter(|row| row.version > version);
        let age = self.age(now).unwrap_or(Duration::MAX);
        ZoneDelta {
            zone: zone.clone(),
            region: self.region.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            relays: if self.relays_version > version {
                self.relays.clone()
            } else {
                Vec::new()
            },
            rows: changed.map(|row| row.row.clone()).collect(),
        }
    }

    /// Records that the zone was heard `age` ago; returns whether that is news.
    pub(super) fn hear(&mut self, age: Duration, now: MonoTime) -> bool {
        if age >= STALE_AGE {
            return false;
        }
        let was_stale = self.is_stale(now);
        self.heard = self.heard.max(Some(now - age));
        was_stale != self.is_stale(now)
    }

    pub(super) fn is_stale(&self, now: MonoTime) -> bool {
        self.age(now).is_none_or(|age| age >= STALE_AGE)
    }

    fn age(&self, now: MonoTime) -> Option<Duration> {
        self.heard.map(|heard| now.since(heard))
    }

    /// Forgets the rows of a zone that was not heard for very long; returns whether there were any.
    pub(super) fn forget(&mut self, now: MonoTime) -> bool {
        let is_old = self.age(now).is_some_and(|age| age >= FORGET_SPAN);
        let forgets = is_old && !self.rows.is_empty();
        if forgets {
            self.rows.clear();
        }
        forgets
    }

    pub(super) fn view<'a>(&'a self, zone: &'a ZoneName, now: MonoTime) -> ZoneView<'a> {
        let rows = self.rows.values().map(|row| &row.row);
        ZoneView {
            zone,
            region: &self.region,
            is_stale: self.is_stale(now),
            rows: rows.filter(|row| row.servers > 0).collect(),
        }
    }
}

fn is_same(old: &DigestRow, new: &DigestRow) -> bool {
    let moved = old.load_permille.abs_diff(new.load_permille);
    moved < LOAD_STEP
        && old.servers == new.servers
        && old.slots == new.slots
        && old.entries == new.entries
}
