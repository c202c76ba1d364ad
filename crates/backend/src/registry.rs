//! The backend servers that have announced themselves to this daemon.

use crate::admission::ServerAdmission;
use agatehill_decide::{name::ServiceName, time::MonoTime};
use agatehill_process::clock::MonoClock;
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;

/// Time without an announcement after which a backend server counts as lost.
pub const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Life stage that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerStage {
    /// Warming up; takes a growing share of its slots.
    Starting,
    /// Takes work.
    Serving,
    /// Takes no new work and finishes what is in flight.
    Leaving,
}

/// What a backend server says about itself, every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Its life stage.
    pub state: ServerStage,
}

/// One announced backend server.
#[derive(Debug)]
pub struct LocalServer {
    /// The newest announcement.
    pub announcement: ServerAnnouncement,
    /// When it came.
    pub announced_at: MonoTime,
    /// Admission of calls; the same over all announcements of one server.
    pub admission: Arc<ServerAdmission>,
}

type ServerMap = HashMap<SocketAddr, Arc<LocalServer>>;

/// The announced backend servers, read without locks on a call's path.
#[derive(Debug)]
pub struct ServerRegistry {
    clock: MonoClock,
    servers: ArcSwap<ServerMap>,
    write: Mutex<()>,
    version: watch::Sender<u64>,
}

impl ServerRegistry {
    /// Opens an empty registry.
    pub fn open(clock: MonoClock) -> ServerRegistry {
        ServerRegistry {
            clock,
            servers: ArcSwap::default(),
            write: Mutex::new(()),
            version: watch::channel(0).0,
        }
    }

    /// Takes in an announcement that has just come.
    pub fn announce(&self, announcement: ServerAnnouncement) {
        let now = self.clock.now();
        let _write = self.write.lock().expect("no holder of the registry panics");
        let mut map = ServerMap::clone(&self.servers.load());
        let old = map.get(&announcement.address);
        let is_same = old.is_some_and(|old| old.announcement == announcement);
        let admission = match old {
            Some(old) if old.announcement.service == announcement.service => old.admission.clone(),
            _ => ServerAdmission::spawn(&announcement, self.clock),
        };
        admission.update(&announcement);
        let server = LocalServer {
            announcement,
            announced_at: now,
            admission,
        };
        map.insert(server.announcement.address, Arc::new(server));
        self.publish(map, !is_same);
    }

    /// Drops every server that has been silent for [`ANNOUNCEMENT_TIMEOUT`].
    pub fn expire(&self) {
        let now = self.clock.now();
        let _write = self.write.lock().expect("no holder of the registry panics");
        let mut map = ServerMap::clone(&self.servers.load());
        let before = map.len();
        map.retain(|_, server| now.since(server.announced_at) < ANNOUNCEMENT_TIMEOUT);
        if map.len() != before {
            self.publish(map, true);
        }
    }

    /// Drops the server at `address`, where nothing listens any more; its next announcement brings
    /// it back.
    pub fn remove(&self, address: SocketAddr) {
        let _write = self.write.lock().expect("no holder of the registry panics");
        let mut map = ServerMap::clone(&self.servers.load());
        if map.remove(&address).is_some() {
            self.publish(map, true);
        }
    }

    /// Returns the server at `address`.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<LocalServer>> {
        self.servers.load().get(&address).cloned()
    }

    /// Returns all servers, in order of their addresses.
    pub fn list(&self) -> Vec<Arc<LocalServer>> {
        let mut list: Vec<_> = self.servers.load().values().cloned().collect();
        list.sort_by_key(|server| server.announcement.address);
        list
    }

    /// Returns a counter that goes up whenever a server comes, goes or changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn publish(&self, map: ServerMap, is_change: bool) {
        self.servers.store(Arc::new(map));
        if is_change {
            self.version.send_modify(|version| *version += 1);
        }
    }
}
