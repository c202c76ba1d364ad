//! The keeper's side: the replica group of the service configuration, and the directory of hosts.

mod command;
mod options;
mod service;

use crate::{
    anti_entropy,
    catch_up::CatchUp,
    crash_log::CrashLog,
    host_sharing::{self, ShareQueue},
    keeper_map::{KeeperMap, KnownKeeper, keeper_name},
    leave_log::LeaveLog,
};
use agatehill_decide::{
    config_history::ConfigHistory,
    host_directory::{DirectoryPosition, HostDirectory, HostRecord},
    name::KeeperName,
    replica::{ReplicaEnvelope, ReplicaStatus},
};
use agatehill_peer::fleet::{FleetLink, FleetServer, KeeperRecord};
use agatehill_process::{budget::ListenerBudget, clock::MonoClock};
use agatehill_replica::{
    group::GroupHandle,
    monitor::report_group,
    outbox::{PeerOutbox, ReplicaLink},
};
use agatehill_store::DataFolder;
use parking_lot::{Mutex, MutexGuard};
use serde_json::json;
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

pub use options::{KeeperOpenError, KeeperOptions};

/// The only replica group.
const CONFIG_GROUP: u16 = 0;
/// Longest wait for the transfer of leadership before the process stops.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two checks of whether leadership has been transferred.
const TRANSFER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A running keeper; clones share it.
#[derive(Clone)]
pub struct FleetKeeper {
    pub(crate) shared: Arc<KeeperShared>,
}

pub(crate) struct KeeperShared {
    pub(crate) own_record: KeeperRecord,
    /// Identifies this run; the daemons' positions in the directory are valid for one run only.
    pub(crate) run: u64,
    voters_min: usize,
    /// Time without a message after which a voter is replaced.
    replace_after: Option<Duration>,
    pub(crate) keepers: KeeperMap,
    group: GroupHandle<ConfigHistory>,
    outbox: PeerOutbox,
    directory: Mutex<HostDirectory>,
    /// How far the directories of other keepers have been followed.
    positions: Mutex<HashMap<KeeperName, DirectoryPosition>>,
    pub(crate) share_queue: ShareQueue,
    /// Number of directory changes.
    directory_changes: watch::Sender<u64>,
    pub(crate) crash_log: CrashLog,
    pub(crate) leave_log: LeaveLog,
    pub(crate) catch_up: CatchUp,
    _folder: DataFolder,
}

impl FleetKeeper {
    /// Opens the data folder, starts the replica and listens on the address, where daemons and other keepers may hold what
    /// `peers` allows.
    ///
    /// # Errors
    ///
    /// The data folder can't be used or the address can't be bound.
    pub async fn spawn(
        options: &KeeperOptions,
        peers: ListenerBudget,
    ) -> Result<(FleetKeeper, FleetServer), KeeperOpenError> {
        let keeper = FleetKeeper::open(options)?;
        let addr = SocketAddr::new(options.host, options.port);
        let server = FleetServer::bind(addr, keeper.clone(), peers).await;
        let server = server.map_err(|error| KeeperOpenError::Bind(addr, error))?;
        let group = keeper.shared.group.clone();
        tokio::spawn(report_group(CONFIG_GROUP, group));
        tokio::spawn(anti_entropy::run_anti_entropy(keeper.clone()));
        tokio::spawn(host_sharing::share_new_hosts(keeper.clone()));
        let saving = keeper.clone();
        tokio::spawn(async move { saving.shared.crash_log.save_changes().await });
        let saving = keeper.clone();
        tokio::spawn(async move { saving.shared.leave_log.save_changes().await });
        Ok((keeper, server))
    }

    fn open(options: &KeeperOptions) -> Result<FleetKeeper, KeeperOpenError> {
        let name = keeper_name(options.host);
        let folder = DataFolder::open(&options.data_dir, &name, 1)?;
        let outbox = PeerOutbox::open();
        let clock = MonoClock::open();
        let settings = options.replica_settings(&name);
        let replace_after = settings.replace_after();
        let group = GroupHandle::open(
            settings,
            &folder.group_path(CONFIG_GROUP),
            clock,
            outbox.for_group(CONFIG_GROUP),
        )?;
        let keeper = FleetKeeper {
            shared: Arc::new(KeeperShared {
                own_record: KeeperRecord {
                    name,
                    region: options.region.clone(),
                    zone: options.zone.clone(),
                },
                run: rand::random(),
                voters_min: options.voter_count(),
                replace_after,
                keepers: KeeperMap::open(&options.seeds, options.port),
                group,
                outbox,
                directory: Mutex::default(),
                positions: Mutex::default(),
                share_queue: ShareQueue::default(),
                directory_changes: watch::channel(0).0,
                crash_log: CrashLog::open(clock, folder.strike_file()),
                leave_log: LeaveLog::open(folder.leave_file()),
                catch_up: CatchUp::begin(),
                _folder: folder,
            }),
        };
        keeper
            .shared
            .keepers
            .update_records(std::slice::from_ref(&keeper.shared.own_record));
        keeper.link_keepers();
        keeper.merge(keeper.shared.leave_log.read_saved());
        Ok(keeper)
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.shared.group.status()
    }

    /// Returns whether the keeper is in contact with the leader, so that no newer configuration is in force,
    /// and has what other keepers held when it started.
    pub(crate) fn is_current(&self) -> bool {
        self.shared.group.is_current() && self.has_caught_up()
    }

    /// Returns whether the keeper has what other keepers held when it started.
    pub(crate) fn has_caught_up(&self) -> bool {
        let names = || self.others().into_iter().map(|other| other.name).collect();
        self.shared.catch_up.is_done(names)
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        let keepers = self.shared.keepers.list();
        let hosts: Vec<_> = self.directory().iter().cloned().collect();
        json!({
            "keeper": self.shared.own_record.name,
            "replica": self.shared.group.report(),
            "replace_after_ms": self.shared.replace_after.map(options::millis),
            "caught_up": self.has_caught_up(),
            "config_version": self.shared.group.read(ConfigHistory::version),
            "keepers": keepers.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
            "links": self.shared.keepers.link_reports(),
            "hosts": hosts,
            "suspects": self.shared.crash_log.suspect_count(),
        })
    }

    /// Adds the keepers on `hosts`.
    pub fn add_keepers(&self, hosts: &[IpAddr]) {
        for host in hosts {
            self.shared.keepers.add(&keeper_name(*host));
        }
        self.link_keepers();
    }

    /// Transfers leadership to another keeper, if this one leads. Called before the process stops.
    pub async fn transfer_leadership(&self) {
        self.shared.group.transfer_leadership();
        let end = Instant::now() + TRANSFER_TIMEOUT;
        while Instant::now() < end && self.status().role == "leader" {
            tokio::time::sleep(TRANSFER_CHECK_INTERVAL).await;
        }
    }

    /// Merges host records into the directory; returns those that changed, as they are held now.
    pub(crate) fn merge(&self, records: Vec<HostRecord>) -> Vec<HostRecord> {
        let mut directory = self.directory();
        let mut new = Vec::new();
        for record in records {
            let gate = record.gate;
            if directory.merge(record) {
                new.extend(directory.get(gate).cloned());
            }
        }
        if !new.is_empty() {
            self.shared.leave_log.record(&new);
            self.shared
                .directory_changes
                .send_replace(directory.change_count());
        }
        new
    }

    /// Adds the keepers of `records` and updates the records of known ones.
    pub(crate) fn update_records(&self, records: &[KeeperRecord]) {
        self.shared.keepers.update_records(records);
        self.link_keepers();
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, HostDirectory> {
        self.shared.directory.lock()
    }

    /// Returns all known keepers but this one.
    pub(crate) fn others(&self) -> Vec<KnownKeeper> {
        let mut others = self.shared.keepers.list();
        others.retain(|other| other.name != self.shared.own_record.name);
        others
    }

    /// Returns how far the directory of the keeper `name` has been followed.
    pub(crate) fn position(&self, name: &KeeperName) -> DirectoryPosition {
        let positions = self.positions();
        positions.get(name).copied().unwrap_or_default()
    }

    /// Sets how far the directory of the keeper `name` has been followed.
    pub(crate) fn set_position(&self, name: &KeeperName, position: DirectoryPosition) {
        self.positions().insert(name.clone(), position);
    }

    fn positions(&self) -> MutexGuard<'_, HashMap<KeeperName, DirectoryPosition>> {
        self.shared.positions.lock()
    }

    /// Adds all known keepers to the replica and opens their outbound queues.
    pub(crate) fn link_keepers(&self) {
        let others = self.others();
        for keeper in &others {
            let link = EnvelopeLink(keeper.link.clone());
            self.shared.outbox.add_keeper(&keeper.name, Arc::new(link));
        }
        let names = others.into_iter().map(|keeper| keeper.name).collect();
        self.shared.group.add_keepers(names);
    }

    /// Adds the voters of the replicated log; the seeds may neither include nor know them.
    pub(crate) fn add_voters(&self) {
        for voter in self.status().voters {
            let name = voter.split('/').next().unwrap_or_default();
            if let Ok(name) = KeeperName::try_from(name) {
                self.shared.keepers.add(&name);
            }
        }
        self.link_keepers();
    }
}

/// Delivers messages of the replica over the link to another keeper.
struct EnvelopeLink(Arc<FleetLink>);

impl ReplicaLink for EnvelopeLink {
    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>, timeout: Duration) {
        let delivered = self.0.call(timeout, |client, ctx| async move {
            client.deliver(ctx, envelopes).await
        });
        // The replicas resend lost messages.
        let _ = delivered.await;
    }
}
