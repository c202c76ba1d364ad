//! The daemon's side: copies the configuration, the directory of hosts and the strikes against
//! requests from the keepers, and publishes the daemon's own host record to them.

mod contact;
mod leave;

use crate::{
    keeper_map::{KeeperMap, KnownKeeper, keeper_name},
    report_sender::{self, StrikeMismatch},
};
use agatehill_backend::quarantine::FleetQuarantine;
use agatehill_decide::{
    config_history::AcceptedConfig,
    host_directory::{DirectoryPosition, DirectoryQuery, HostDirectory, HostRecord, ServerRecord},
    keeper_poller::{
        KeeperPoll, KeeperPoller, LONG_POLL_GRACE, LONG_POLL_WAIT, POLL_ALL_TIMEOUT,
        POLL_RETRY_PAUSE,
    },
    name::{Incarnation, KeeperName, RegionName, ZoneName},
    server_tracker::ServerIdentity,
};
use agatehill_peer::fleet::{SyncReply, SyncRequest, record_skipped};
pub use contact::ContactReport;
use contact::KeeperContact;
use futures_util::{
    future::ready,
    stream::{FuturesUnordered, StreamExt},
};
use leave::{LeaveState, STORE_TIMEOUT};
use parking_lot::{Mutex, MutexGuard};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, SystemTime},
};
use tokio::{sync::watch, time::timeout};

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

/// Position in the changes of one keeper.
#[derive(Clone, Copy, Debug, Default)]
struct SyncPosition {
    hosts: DirectoryPosition,
    /// Run of the keeper to which `reports_at` belongs.
    keeper_run: u64,
    reports_at: u64,
}

/// What a poll is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PollPurpose {
    /// All changes; the keeper may delay its reply until there is one.
    Changes,
    /// The changes so far.
    ChangesSoFar,
    /// Publishing the daemon's record, or whether the keeper is in contact with the leader.
    Contact,
    /// Storing the server that has left, with the daemon's record.
    Store,
}

impl PollPurpose {
    fn asks_for_hosts(self) -> bool {
        matches!(self, PollPurpose::Changes | PollPurpose::ChangesSoFar)
    }
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
                let polled = self.poll(&keeper, purpose);
                let reply = timeout(POLL_ALL_TIMEOUT, polled).await.ok()??;
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

    /// Polls `keeper` and applies the reply. Returns `None` if none arrives in time.
    async fn poll(&self, keeper: &KnownKeeper, purpose: PollPurpose) -> Option<SyncReply> {
        let wait = match purpose {
            PollPurpose::Changes => LONG_POLL_WAIT,
            PollPurpose::ChangesSoFar | PollPurpose::Contact | PollPurpose::Store => Duration::ZERO,
        };
        let position = self.position(&keeper.name);
        let request = SyncRequest {
            record: Some(self.record().clone()),
            config_after: self.config_version(),
            hosts: purpose.asks_for_hosts().then(|| DirectoryQuery {
                position: position.hosts,
                digest: self.directory().digest(),
            }),
            keeper_run: position.keeper_run,
            reports_after: position.reports_at,
            keepers_digest: self.shared.keepers.digest(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let limit = match purpose {
            PollPurpose::Store => STORE_TIMEOUT,
            _ => wait + LONG_POLL_GRACE,
        };
        let sent = keeper.link.call(limit, |client, ctx| async move {
            client.sync(ctx, request).await
        });
        let reply = timeout(limit, sent).await.ok()?.ok()?;
        self.apply(&reply);
        if reply.is_current {
            self.shared.contact.record_confirmation(&keeper.name);
        }
        self.set_position(&keeper.name, position, &reply);
        report_sender::send_missing(self, keeper, &reply);
        // Only then this daemon's own record of an earlier run is known.
        let has_all = reply.hosts.as_ref().is_some_and(|answer| !answer.is_full());
        if reply.is_current && has_all {
            self.shared.has_synced.send_replace(true);
        }
        Some(reply)
    }

    fn apply(&self, reply: &SyncReply) {
        self.shared.keepers.update_records(&reply.keepers);
        // First the strikes: a daemon that has just started serves nothing without a configuration.
        self.shared.options.quarantine.merge(&reply.crash_reports);
        if let Some(config) = &reply.config {
            self.apply_config(config);
        }
        let hosts = reply.hosts.as_ref();
        record_skipped(hosts.map_or(0, |answer| answer.skipped));
        let hosts = hosts.map_or(&[][..], |answer| &answer.records);
        let mut directory = self.directory();
        let merged = hosts.iter().filter(|r| directory.merge((*r).clone()));
        if merged.count() > 0 {
            self.shared
                .directory_changes
                .send_modify(|changes| *changes += 1);
        }
        drop(directory);
        let gate = self.shared.options.gate_addr;
        if let Some(own) = hosts.iter().find(|record| record.gate == gate) {
            self.supersede(own);
            self.adopt_left(own);
        }
    }

    /// Stores a configuration if it is newer than the one held.
    fn apply_config(&self, config: &AcceptedConfig) {
        self.shared.config.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|h| h.version < config.version);
            if is_newer {
                self.shared.contact.record_config();
                *held = Some(config.clone());
            }
            is_newer
        });
    }

    /// Returns the version of the configuration that is held, 0 before the first one.
    fn config_version(&self) -> u64 {
        let config = self.shared.config.borrow();
        config.as_ref().map_or(0, |config| config.version)
    }

    /// Raises this daemon's incarnation above that of `known`, the record of an earlier run, which is
    /// larger if the clock was set back in between.
    fn supersede(&self, known: &HostRecord) {
        let mut record = self.record();
        if known.run > record.run {
            record.run = Incarnation(known.run.0 + 1);
        }
    }

    fn position(&self, keeper: &KeeperName) -> SyncPosition {
        self.positions().get(keeper).copied().unwrap_or_default()
    }

    /// Records how far `reply` leads from `position`.
    fn set_position(&self, keeper: &KeeperName, position: SyncPosition, reply: &SyncReply) {
        let hosts = reply.hosts.as_ref();
        let position = SyncPosition {
            hosts: hosts.map_or(position.hosts, |answer| answer.position),
            keeper_run: reply.keeper_run,
            reports_at: reply.reports_at,
        };
        self.positions().insert(keeper.clone(), position);
    }

    fn positions(&self) -> MutexGuard<'_, HashMap<KeeperName, SyncPosition>> {
        self.shared.positions.lock()
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
