//! The known keepers and the links to them.

use agatehill_decide::name::{KeeperName, RegionName, ZoneName};
use agatehill_peer::{
    fleet::{FleetLink, KeeperRecord},
    link::LinkReport,
};
use parking_lot::{Mutex, MutexGuard};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

/// A known keeper.
#[derive(Clone, Debug)]
pub struct KnownKeeper {
    /// Its name: see [`keeper_name`].
    pub name: KeeperName,
    /// Its region and zone, once known.
    pub record: Option<KeeperRecord>,
    /// The link to it.
    pub link: Arc<FleetLink>,
}

/// The known keepers. None is ever removed, because a network partition may last long.
#[derive(Debug)]
pub struct KeeperMap {
    port: u16,
    keepers: Mutex<BTreeMap<KeeperName, KnownKeeper>>,
}

impl KeeperMap {
    /// Returns a map of the keepers on `hosts`. All keepers listen on `port`.
    pub fn open(hosts: &[IpAddr], port: u16) -> KeeperMap {
        let map = KeeperMap {
            port,
            keepers: Mutex::default(),
        };
        for host in hosts {
            map.add(&keeper_name(*host));
        }
        map
    }

    /// Adds the keeper `name`; returns whether it is new. A name that is no IP address is ignored.
    pub fn add(&self, name: &KeeperName) -> bool {
        let mut keepers = self.lock();
        if keepers.contains_key(name) {
            return false;
        }
        let Ok(host) = name.as_str().replace('-', ":").parse::<IpAddr>() else {
            spdlog::warn!("keeper name is not an IP address", kv: { keeper = name.as_str() });
            return false;
        };
        let keeper = KnownKeeper {
            name: name.clone(),
            record: None,
            link: Arc::new(FleetLink::open(SocketAddr::new(host, self.port))),
        };
        keepers.insert(name.clone(), keeper);
        true
    }

    /// Adds the keepers of `records` and replaces the records of known ones.
    pub fn update_records(&self, records: &[KeeperRecord]) {
        for record in records {
            self.add(&record.name);
            if let Some(keeper) = self.lock().get_mut(&record.name) {
                keeper.record = Some(record.clone());
            }
        }
    }

    /// Returns the keeper `name`.
    pub fn get(&self, name: &KeeperName) -> Option<KnownKeeper> {
        self.lock().get(name).cloned()
    }

    /// Returns what has passed over the link to each keeper, for the dump.
    pub fn link_reports(&self) -> Vec<LinkReport> {
        self.lock().values().map(|k| k.link.report()).collect()
    }

    /// Returns all known keepers, in order of their names.
    pub fn list(&self) -> Vec<KnownKeeper> {
        self.lock().values().cloned().collect()
    }

    /// Returns all known keepers: those in `zone` first, then those in `region`, then the others.
    pub fn nearest(&self, region: &RegionName, zone: &ZoneName) -> Vec<KnownKeeper> {
        let mut list = self.list();
        let distance = |keeper: &KnownKeeper| match &keeper.record {
            Some(record) if record.zone == *zone => 0,
            Some(record) if record.region == *region => 1,
            _ => 2,
        };
        list.sort_by_key(distance);
        list
    }

    /// Returns a hash that is equal for equal records, see [`KeeperMap::records`].
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for record in self.records() {
            (&record.name, &record.region, &record.zone).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the records of the keepers whose region and zone are known.
    pub fn records(&self) -> Vec<KeeperRecord> {
        let keepers = self.lock();
        keepers.values().filter_map(|k| k.record.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<KeeperName, KnownKeeper>> {
        self.keepers.lock()
    }
}

/// Returns the name of the keeper on `host`: the address, with hyphens for the colons of IPv6.
pub fn keeper_name(host: IpAddr) -> KeeperName {
    KeeperName::try_from(host_label(host)).expect("addresses without colons are valid names")
}

/// Returns the address with hyphens for the colons of IPv6, which no name may contain.
pub fn host_label(host: IpAddr) -> String {
    host.to_string().replace(':', "-")
}
