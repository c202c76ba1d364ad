//! The daemon's side: copies the configuration, the directory of hosts and the strikes against
//! requests from the keepers, and publishes the daemon's own host record to them.

mod contact;
mod leave;
mod poll;

use crate::{
    keeper_map::{KeeperMap, KnownKeeper, keeper_name},
    report_sender::{self, StrikeMismatch},
};
use agatehill_backend::quarantine::FleetQuarantine;
use agatehill_decide::{
    config_history::AcceptedConfig,
    host_directory::{HostDirectory, HostRecord, ServerRecord},
    keeper_poller::{KeeperPoll, KeeperPoller, POLL_RETRY_PAUSE},
    name::{Incarnation, KeeperName, RegionName, ZoneName},
    server_tracker::ServerIdentity,
};
pub use contact::ContactReport;
use contact::KeeperContact;
use futures_util::{
    future::ready,
    stream::{FuturesUnordered, StreamExt},
};
use leave::LeaveState;
use parking_lot::{Mutex, MutexGuard};
use poll::{PollPurpose, SyncPosition};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::SystemTime,
};
use tokio::sync::watch;

/// Number of keepers to which a change of this daemon's record is sent at once.
const PUBLISH_KEEPERS: usize = 2;

/// Number of keepers that are asked for changes when all are polled at once.
const CHANGES_KEEPERS: usize = 2;

/// Options of a [`FleetSync`].
#[derive(Clone, Debug)]
pub struct SyncOptions {
    /// Hosts of the keepers that discovery starts from.
    pub seeds: Vec<IpAddr>,
    /// Port that every keeper listens on.
    pub port: u16,
    /// Address at which this daemon accepts requests from other daemons.
    pub gate_addr: SocketAddr,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// The strikes against requests that crash servers.
    pub quarantine: FleetQuarantine,
    /// Number of keepers that must have saved a leave before it is acknowledged.
    pub leave_copies: usize,
}

/// The daemon's copy of the configuration and of the directory; clones share it.
#[derive(Clone)]
pub struct FleetSync {
    pub(crate) shared: Arc<SyncShared>,
}

pub(crate) struct SyncShared {
    pub(crate) options: SyncOptions,
    pub(crate) keepers: KeeperMap,
    record: Mutex<HostRecord>,
    /// How far the changes of each keeper have been followed.
    positions: Mutex<HashMap<KeeperName, SyncPosition>>,
    directory: Mutex<HostDirectory>,
    config: watch::Sender<Option<AcceptedConfig>>,
    directory_changes: watch::Sender<u64>,
    leaves: LeaveState,
    contact: KeeperContact,
    /// Whether a keeper in contact with the leader has replied since the start.
    has_synced: watch::Sender<bool>,
    pub(crate) strike_mismatch: StrikeMismatch,
}

impl FleetSync {
    /// Starts to sync with the keepers.
    pub fn spawn(options: SyncOptions) -> FleetSync {
        let record = HostRecord {
            gate: options.gate_addr,
            run: new_incarnation(),
            sequence: 0,
            region: options.region.clone(),
            zone: options.zone.clone(),
            server: None,
            left: None,
        };
        let sync = FleetSync {
            shared: Arc::new(SyncShared {
                keepers: KeeperMap::open(&options.seeds, options.port),
                options,
                record: Mutex::new(record),
                positions: Mutex::default(),
                directory: Mutex::default(),
                config: watch::channel(None).0,
                directory_changes: watch::channel(0).0,
                leaves: LeaveState::default(),
                contact: KeeperContact::default(),
                has_synced: watch::channel(false).0,
                strike_mismatch: StrikeMismatch::default(),
            }),
        };
        tokio::spawn(sync.clone().run());
        tokio::spawn(report_sender::send_reports(sync.clone()));
        tokio::spawn(sync.clone().report_contact());
        sync
    }

    /// Subscribes to the newest configuration.
    pub fn config(&self) -> watch::Receiver<Option<AcceptedConfig>> {
        self.shared.config.subscribe()
    }

    /// Subscribes to the number of directory changes.
    pub fn directory_changes(&self) -> watch::Receiver<u64> {
        self.shared.directory_changes.subscribe()
    }

    /// Subscribes to whether a keeper in contact with the leader has replied since the start.
    pub fn has_synced(&self) -> watch::Receiver<bool> {
        self.shared.has_synced.subscribe()
    }

    /// Returns the records of all hosts, with the newest record of this one.
    pub fn records(&self) -> Vec<HostRecord> {
        let own = self.record().clone();
        let directory = self.directory();
        let others = directory.iter().filter(|r| r.gate != own.gate);
        others.cloned().chain([own.clone()]).collect()
    }

    /// Adds the keepers on `hosts`.
    pub fn add_keepers(&self, hosts: &[IpAddr]) {
        for host in hosts {
            self.shared.keepers.add(&keeper_name(*host));
        }
    }

    /// Sets the backend server that accepts requests on this host, and the last one that has left it;
    /// publishes a change to the keepers.
    pub fn set_server(&self, server: Option<ServerRecord>, left: Option<ServerIdentity>) {
        let mut record = self.record();
        let left = ServerIdentity::latest(left, record.left.clone());
        if record.server == server && record.left == left {
            return;
        }
        record.server = server;
        record.left = left;
        record.sequence += 1;
        drop(record);
        self.shared
            .directory_changes
            .send_modify(|changes| *changes += 1);
        self.publish();
    }

    /// Sends this daemon's record to the nearest keepers without waiting for their replies.
    fn publish(&self) {
        for keeper in self.nearest().into_iter().take(PUBLISH_KEEPERS) {
            let sync = self.clone();
            tokio::spawn(async move { sync.poll(&keeper, PollPurpose::Contact).await });
        }
    }

    /// Polls the keepers forever.
    async fn run(self) {
        let mut poller = KeeperPoller::default();
        // The preferred keeper of the last log line.
        let mut logged = None;
        loop {
            let nearest = self.nearest();
            let names: Vec<_> = nearest.iter().map(|k| k.name.clone()).collect();
            match poller.next_poll(&names) {
                KeeperPoll::One(name) => {
                    let keeper = nearest.iter().find(|k| k.name == name);
                    let keeper = keeper.expect("the poller returns one of the given names");
                    let reply = self.poll(keeper, PollPurpose::Changes).await;
                    let is_current = reply.is_some_and(|reply| reply.is_current);
                    poller.record_reply(&name, is_current);
                }
                KeeperPoll::All => {
                    let current = self.poll_all(&nearest).await;
                    if current != logged {
                        let keeper = current.as_ref().map_or("none", KeeperName::as_str);
                        spdlog::info!("preferred keeper changed", kv: { keeper });
                        logged.clone_from(&current);
                    }
                    poller.record_all(current);
                }
                KeeperPoll::Pause => tokio::time::sleep(POLL_RETRY_PAUSE).await,
            }
            self.shared.contact.set_preferred(poller.preferred());
        }
    }

    /// Polls all keepers at once, the nearest ones for changes as well, as there may be no leader for
    /// long; returns the first that replies and is in contact with the leader.
    async fn poll_all(&self, keepers: &[KnownKeeper]) -> Option<KeeperName> {
        let poll = |(idx, keeper): (usize, &KnownKeeper)| {
            let keeper = keeper.clone();
            let purpose = match idx < CHANGES_KEEPERS {
                true => PollPurpose::ChangesSoFar,
                false => PollPurpose::Contact,
            };
            async move {
                let reply = self.poll(&keeper, purpose).await?;
                reply.is_current.then(|| keeper.name.clone())
            }
        };
        let replies: FuturesUnordered<_> = keepers.iter().enumerate().map(poll).collect();
        // The next poll fetches what has changed.
        replies.filter_map(ready).next().await
    }

    fn nearest(&self) -> Vec<KnownKeeper> {
        let options = &self.shared.options;
        self.shared.keepers.nearest(&options.region, &options.zone)
    }

    /// Returns the version of the configuration that is held, 0 before the first one.
    fn config_version(&self) -> u64 {
        let config = self.shared.config.borrow();
        config.as_ref().map_or(0, |config| config.version)
    }

    fn record(&self) -> MutexGuard<'_, HostRecord> {
        self.shared.record.lock()
    }

    fn directory(&self) -> MutexGuard<'_, HostDirectory> {
        self.shared.directory.lock()
    }
}

/// Returns an incarnation larger than those of earlier runs, unless the clock was set back.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_micros() as u64))
}
