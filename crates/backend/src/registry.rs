//! The backend servers that have announced themselves to this daemon.

use crate::admission::ServerAdmission;
use agatehill_decide::{name::ServiceName, time::MonoTime};
use agatehill_process::clock::MonoClock;
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::watch;

/// Time without an announcement after which a backend server is removed.
pub const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Lifecycle stage that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerStage {
    /// Warming up: slow start gives it a growing share of its slots.
    Starting,
    /// Accepts calls.
    Serving,
    /// Accepts no new calls and finishes those in flight.
    Leaving,
}

/// Announcement that a backend server repeats every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// The service that the server runs.
    pub service: ServiceName,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Number of calls that it can run concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Its lifecycle stage.
    pub state: ServerStage,
}

/// One announced backend server.
#[derive(Debug)]
pub struct LocalServer {
    /// The newest announcement.
    pub announcement: ServerAnnouncement,
    /// When that announcement arrived.
    pub announced_at: MonoTime,
    /// Admission of calls; kept over all announcements of the same server.
    pub admission: Arc<ServerAdmission>,
}

type ServerMap = HashMap<SocketAddr, Arc<LocalServer>>;

/// The announced backend servers; calls read them without a lock.
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

    /// Adds or updates the server that has just sent `announcement`.
    pub fn announce(&self, announcement: ServerAnnouncement) {
        let now = self.clock.now();
        let _write = self.write.lock();
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

    /// Removes the servers without an announcement for [`ANNOUNCEMENT_TIMEOUT`].
    pub fn expire(&self) {
        let now = self.clock.now();
        let _write = self.write.lock();
        let mut map = ServerMap::clone(&self.servers.load());
        let before = map.len();
        map.retain(|_, server| now.since(server.announced_at) < ANNOUNCEMENT_TIMEOUT);
        if map.len() != before {
            self.publish(map, true);
        }
    }

    /// Removes the server at `address`, where nothing listens any more; its next announcement adds
    /// it again.
    pub fn remove(&self, address: SocketAddr) {
        let _write = self.write.lock();
        let mut map = ServerMap::clone(&self.servers.load());
        if map.remove(&address).is_some() {
            self.publish(map, true);
        }
    }

    /// Returns the server at `address`.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<LocalServer>> {
        self.servers.load().get(&address).cloned()
    }

    /// Returns all servers, ordered by address.
    pub fn list(&self) -> Vec<Arc<LocalServer>> {
        let mut list: Vec<_> = self.servers.load().values().cloned().collect();
        list.sort_by_key(|server| server.announcement.address);
        list
    }

    /// Returns a counter that is incremented whenever a server is added, changed or removed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn publish(&self, map: ServerMap, has_changed: bool) {
        self.servers.store(Arc::new(map));
        if has_changed {
            self.version.send_modify(|version| *version += 1);
        }
    }
}
