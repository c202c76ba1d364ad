//! Mutable directory of the known servers, from which route tables are built.

use super::{RouteDistance, RouteTable, ServerKey, ServerStats, ServerView, table::RouteEntry};
use crate::{
    hash::hash_parts,
    name::{DaemonName, RegionName, ServiceName, ZoneName},
};
use slotmap::SlotMap;
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ServerIdentity {
    daemon: DaemonName,
    service: ServiceName,
    backend: Option<SocketAddr>,
}

impl From<&ServerView> for ServerIdentity {
    fn from(view: &ServerView) -> ServerIdentity {
        ServerIdentity {
            daemon: view.daemon.clone(),
            service: view.service.clone(),
            backend: view.backend,
        }
    }
}

/// All servers that a daemon knows; route tables are snapshots of it.
#[derive(Debug)]
pub struct ServerDirectory {
    zone: ZoneName,
    region: RegionName,
    servers: SlotMap<ServerKey, RouteEntry>,
    keys: HashMap<ServerIdentity, ServerKey>,
}

impl ServerDirectory {
    /// Returns an empty directory for a daemon in `zone` of `region`.
    pub fn new(zone: ZoneName, region: RegionName) -> ServerDirectory {
        ServerDirectory {
            zone,
            region,
            servers: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Inserts or updates a server and returns its key; an update keeps key and statistics.
    pub fn upsert(&mut self, view: ServerView) -> ServerKey {
        let identity = ServerIdentity::from(&view);
        if let Some(&key) = self.keys.get(&identity) {
            self.servers[key].view = Arc::new(view);
            return key;
        }
        let hash = identity.hash();
        let key = self.servers.insert_with_key(|key| RouteEntry {
            key,
            hash,
            view: Arc::new(view),
            stats: Arc::default(),
        });
        self.keys.insert(identity, key);
        key
    }

    /// Removes a server; returns whether it was there.
    pub fn remove(&mut self, key: ServerKey) -> bool {
        let Some(entry) = self.servers.remove(key) else {
            return false;
        };
        self.keys.remove(&ServerIdentity::from(&*entry.view));
        true
    }

    /// Keeps only the servers for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(ServerKey, &ServerView) -> bool) {
        self.servers.retain(|key, entry| keep(key, &entry.view));
        let servers = &self.servers;
        self.keys.retain(|_, key| servers.contains_key(*key));
    }

    /// Returns the statistics of the server `key`.
    pub fn stats(&self, key: ServerKey) -> Option<&Arc<ServerStats>> {
        self.servers.get(key).map(|entry| &entry.stats)
    }

    /// Builds a route table of the current servers.
    pub fn snapshot(&self) -> RouteTable {
        let mut table = RouteTable::default();
        for entry in self.servers.values() {
            let distance = self.distance(&entry.view);
            let routes = table
                .services
                .entry(entry.view.service.clone())
                .or_default();
            routes.groups[distance as usize].push(entry.clone());
        }
        table
    }

    fn distance(&self, view: &ServerView) -> RouteDistance {
        if view.region != self.region {
            return RouteDistance::Far;
        }
        if view.zone != self.zone {
            return RouteDistance::Region;
        }
        RouteDistance::Zone
    }
}

impl ServerIdentity {
    fn hash(&self) -> u64 {
        let backend = self.backend.map_or(String::new(), |addr| addr.to_string());
        hash_parts(&[self.daemon.as_str(), self.service.as_str(), &backend])
    }
}
