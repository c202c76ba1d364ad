//! Digest of one zone, with the version at which each part last changed.

use super::{
    STALE_AGE,
    wire::{DigestRow, ZoneDelta},
};
use crate::{
    name::{RegionName, ServiceName, ZoneName},
    time::MonoTime,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Age from which a zone's rows are removed; its relays are kept for further requests.
const ROWS_RETENTION: Duration = Duration::from_secs(300);
/// Change of load below which a row counts as unchanged, in thousandths of the slots.
const LOAD_STEP: u16 = 125;

struct VersionedRow {
    row: DigestRow,
    version: u64,
}

/// Digest of one zone.
pub(super) struct ZoneDigest {
    pub(super) region: RegionName,
    relays: Vec<SocketAddr>,
    /// Version at which the relays last changed.
    relays_version: u64,
    rows: BTreeMap<ServiceName, VersionedRow>,
    /// Time of the newest reply by the zone itself, received directly or through a relay.
    pub(super) last_contact: Option<MonoTime>,
    /// Whether the last reply came from the zone itself, so that this daemon may pass it on.
    pub(super) is_direct: bool,
}

/// Another zone as this daemon sees it.
#[derive(Clone, Debug)]
pub struct ZoneView<'a> {
    /// Name of the zone.
    pub zone: &'a ZoneName,
    /// Region of the zone.
    pub region: &'a RegionName,
    /// Whether its digest is older than [`STALE_AGE`]; its fixed share of a limit applies then.
    pub is_stale: bool,
    /// Services that have servers there.
    pub rows: Vec<&'a DigestRow>,
}

impl ZoneDigest {
    pub(super) fn new(region: RegionName) -> ZoneDigest {
        ZoneDigest {
            region,
            relays: Vec::new(),
            relays_version: 0,
            rows: BTreeMap::new(),
            last_contact: None,
            is_direct: false,
        }
    }

    /// Returns the control addresses of some relays of the zone.
    pub(super) fn relays(&self) -> &[SocketAddr] {
        &self.relays
    }

    /// Replaces the relays unless `relays` is empty; returns whether they changed.
    pub(super) fn set_relays(&mut self, relays: Vec<SocketAddr>, version: u64) -> bool {
        if relays.is_empty() || relays == self.relays {
            return false;
        }
        self.relays = relays;
        self.relays_version = version;
        true
    }

    /// Merges `rows`; changed ones get `version`. Returns whether any changed.
    pub(super) fn update(&mut self, rows: Vec<DigestRow>, version: u64) -> bool {
        let mut has_changed = false;
        for row in rows {
            let old = self.rows.get(&row.service);
            if old.map_or(row.servers == 0, |old| is_unchanged(&old.row, &row)) {
                continue;
            }
            has_changed = true;
            let service = row.service.clone();
            self.rows.insert(service, VersionedRow { row, version });
        }
        has_changed
    }

    /// Merges `rows` as the full digest; services that are missing in it get a row without servers.
    /// Returns whether any row changed.
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

    /// Returns the changes after `version`.
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

    /// Records that the zone replied `age` ago; returns whether its staleness changed.
    pub(super) fn record_contact(&mut self, age: Duration, now: MonoTime) -> bool {
        if age >= STALE_AGE {
            return false;
        }
        let was_stale = self.is_stale(now);
        self.last_contact = self.last_contact.max(Some(now - age));
        was_stale != self.is_stale(now)
    }

    pub(super) fn is_stale(&self, now: MonoTime) -> bool {
        self.age(now).is_none_or(|age| age >= STALE_AGE)
    }

    fn age(&self, now: MonoTime) -> Option<Duration> {
        self.last_contact
            .map(|last_contact| now.since(last_contact))
    }

    /// Removes all rows if their retention has passed; returns whether there were any.
    pub(super) fn remove_expired_rows(&mut self, now: MonoTime) -> bool {
        let is_old = self.age(now).is_some_and(|age| age >= ROWS_RETENTION);
        let has_expired = is_old && !self.rows.is_empty();
        if has_expired {
            self.rows.clear();
        }
        has_expired
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

fn is_unchanged(old: &DigestRow, new: &DigestRow) -> bool {
    let load_change = old.load_permille.abs_diff(new.load_permille);
    load_change < LOAD_STEP
        && old.servers == new.servers
        && old.slots == new.slots
        && old.entries == new.entries
}
