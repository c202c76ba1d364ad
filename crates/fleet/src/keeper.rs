//! The keeper's side: the group of the service configuration and the directory of hosts.

use crate::{
    keeper_map::{KeeperMap, keeper_name},
    upkeep,
};
use agatehill_decide::{
    config_history::{ConfigCommand, ConfigHistory, ConfigReply},
    host_directory::{HostDirectory, HostRecord},
    name::{Incarnation, KeeperName, RegionName, ZoneName},
    replica::{ReplicaEnvelope, ReplicaId, ReplicaSettings, ReplicaStatus, VoterPolicy},
};
use agatehill_peer::{
    fleet::{
        CommandError, FleetLink, FleetServer, FleetService, KeeperExchange, KeeperExchangeReply,
        KeeperRecord, SyncReply, SyncRequest,
    },
    link::LinkError,
};
use agatehill_process::clock::MonoClock;
use agatehill_replica::{
    group::{GroupHandle, ProposeError},
    outbox::{PeerOutbox, ReplicaLink},
};
use agatehill_store::{DataFolder, StoreError};
use serde_json::json;
use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// The only group.
const CONFIG_GROUP: u16 = 0;
/// Time between two messages of a leader.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Shortest time without a leader before an election.
const ELECTION: Duration = Duration::from_millis(900);
/// Size of the parts in which a snapshot is sent, in bytes.
const PART_BYTES: usize = 1 << 18;
/// Time without a message after which a voter gives way to a keeper that is present.
const RETIRE_AFTER: Duration = Duration::from_secs(8);
/// Time limit of a command that is passed on to the keeper that leads.
const FORWARD_SPAN: Duration = Duration::from_millis(1_600);
/// Longest wait of a daemon's question.
const SYNC_WAIT_MAX: Duration = Duration::from_secs(5);
/// Time between two looks of a waiting question at whether the leader can still be heard.
const SYNC_LOOK: Duration = Duration::from_millis(250);
/// Longest wait for another keeper to take the lead over before a stop.
const RESIGN_SPAN: Duration = Duration::from_millis(800);
/// Time between two looks at whether it has.
const RESIGN_LOOK: Duration = Duration::from_millis(20);

/// What a keeper is told when it starts.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// The IP address of its host.
    pub host: IpAddr,
    /// Where every keeper takes messages of the others and of daemons.
    pub port: u16,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub zone: ZoneName,
    /// Folder of the durable state.
    pub data_dir: PathBuf,
    /// Hosts of some keepers.
    pub seeds: Vec<IpAddr>,
    /// Whether the system starts for the first time, so that the seeds form the group.
    pub is_first_start: bool,
    /// Keepers that may lose their disk at the same time without losing what was acknowledged.
    pub disk_losses_max: usize,
}

/// Why a keeper can't start.
#[derive(Debug)]
pub enum KeeperOpenError {
    /// Its data folder can't be used.
    Store(StoreError),
    /// Its address can't be bound.
    Bind(SocketAddr, io::Error),
}

impl fmt::Display for KeeperOpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeeperOpenError::Store(error) => error.fmt(f),
            KeeperOpenError::Bind(addr, error) => write!(f, "cannot listen on {addr}: {error}"),
        }
    }
}

impl std::error::Error for KeeperOpenError {}

impl From<StoreError> for KeeperOpenError {
    fn from(error: StoreError) -> KeeperOpenError {
        KeeperOpenError::Store(error)
    }
}

/// A running keeper; clones share it.
#[derive(Clone)]
pub struct FleetKeeper {
    pub(crate) shared: Arc<KeeperShared>,
}

pub(crate) struct KeeperShared {
    pub(crate) me: KeeperRecord,
    /// Told apart by daemons, whose positions in the directory hold for one run.
    run: u64,
    voters_min: usize,
    pub(crate) keepers: KeeperMap,
    group: GroupHandle<ConfigHistory>,
    outbox: PeerOutbox,
    directory: Mutex<HostDirectory>,
    /// Counts the changes of the directory.
    changed: watch::Sender<u64>,
    _folder: DataFolder,
}

impl FleetKeeper {
    /// Opens the data folder, starts the group and listens.
    ///
    /// # Errors
    ///
    /// The folder can't be used or the address can't be bound.
    pub async fn spawn(
        options: &KeeperOptions,
    ) -> Result<(FleetKeeper, FleetServer), KeeperOpenError> {
        let keeper = FleetKeeper::open(options)?;
        let addr = SocketAddr::new(options.host, options.port);
        let server = FleetServer::bind(addr, keeper.clone()).await;
        let server = server.map_err(|error| KeeperOpenError::Bind(addr, error))?;
        tokio::spawn(upkeep::meet_keepers(keeper.clone()));
        Ok((keeper, server))
    }

    fn open(options: &KeeperOptions) -> Result<FleetKeeper, KeeperOpenError> {
        let name = keeper_name(options.host);
        let folder = DataFolder::open(&options.data_dir, &name, 1)?;
        let outbox = PeerOutbox::open();
        let group = GroupHandle::open(
            replica_settings(options, &name),
            &folder.group_path(CONFIG_GROUP),
            MonoClock::open(),
            outbox.for_group(CONFIG_GROUP),
        )?;
        let keeper = FleetKeeper {
            shared: Arc::new(KeeperShared {
                me: KeeperRecord {
                    name,
                    region: options.region.clone(),
                    zone: options.zone.clone(),
                },
                run: rand::random(),
                voters_min: 2 * options.disk_losses_max + 1,
                keepers: KeeperMap::open(&options.seeds, options.port),
                group,
                outbox,
                directory: Mutex::default(),
                changed: watch::channel(0).0,
                _folder: folder,
            }),
        };
        keeper
            .shared
            .keepers
            .update_records(std::slice::from_ref(&keeper.shared.me));
        keeper.link_keepers();
        Ok(keeper)
    }

    /// Runs `command` here or, if another keeper leads, there.
    ///
    /// # Errors
    ///
    /// No keeper is known to lead, or the command may or may not have been carried out.
    pub async fn run_command(&self, command: ConfigCommand) -> Result<ConfigReply, CommandError> {
        let leader = match self.propose(&command).await {
            Ok(reply) => return Ok(reply),
            Err(ProposeError::Unknown) => return Err(CommandError::Unknown),
            Err(ProposeError::NotLeader(leader)) => leader.ok_or(CommandError::NotLeader)?,
        };
        if leader == self.shared.me.name {
            return Err(CommandError::NotLeader);
        }
        let keeper = self.shared.keepers.get(&leader);
        let link = keeper.ok_or(CommandError::NotLeader)?.link;
        let sent = link.call(FORWARD_SPAN, |client, ctx| async move {
            client.command(ctx, command).await
        });
        sent.await.unwrap_or_else(|error| match error {
            LinkError::Unreachable => Err(CommandError::NotLeader),
            LinkError::Silent => Err(CommandError::Unknown),
        })
    }

    /// Returns what the replica is at the moment.
    pub fn status(&self) -> ReplicaStatus {
        self.shared.group.status()
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        let keepers = self.shared.keepers.list();
        let hosts: Vec<_> = self.directory().iter().cloned().collect();
        json!({
            "keeper": self.shared.me.name,
            "replica": self.status(),
            "config_version": self.shared.group.read(ConfigHistory::version),
            "keepers": keepers.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
            "hosts": hosts,
        })
    }

    /// Makes further keepers known.
    pub fn add_keepers(&self, hosts: &[IpAddr]) {
        for host in hosts {
            self.shared.keepers.add(&keeper_name(*host));
        }
        self.link_keepers();
    }

    /// Hands the lead over, before the process stops.
    pub async fn transfer_leadership(&self) {
        self.shared.group.transfer_leadership();
        let end = Instant::now() + RESIGN_SPAN;
        while Instant::now() < end && self.status().role == "leader" {
            tokio::time::sleep(RESIGN_LOOK).await;
        }
    }

    /// Takes in records of hosts; returns those that were new.
    pub(crate) fn merge(&self, records: Vec<HostRecord>) -> Vec<HostRecord> {
        let mut directory = self.directory();
        let is_new = |record: &HostRecord| directory.merge(record.clone());
        let new: Vec<_> = records.into_iter().filter(is_new).collect();
        if !new.is_empty() {
            self.shared.changed.send_replace(directory.change_count());
        }
        new
    }

    /// Takes in where keepers are.
    pub(crate) fn learn(&self, records: &[KeeperRecord]) {
        self.shared.keepers.update_records(records);
        self.link_keepers();
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, HostDirectory> {
        let directory = self.shared.directory.lock();
        directory.expect("no holder of the directory panics")
    }

    /// Makes all known keepers known to the replica and opens the queues of their messages.
    pub(crate) fn link_keepers(&self) {
        let keepers = self.shared.keepers.list();
        let others = keepers.iter().filter(|k| k.name != self.shared.me.name);
        for keeper in others.clone() {
            let link = EnvelopeLink(keeper.link.clone());
            self.shared.outbox.add_keeper(&keeper.name, Arc::new(link));
        }
        let names = others.map(|keeper| keeper.name.clone()).collect();
        self.shared.group.add_keepers(names);
    }

    /// Makes the voters that the log names known, which the seeds need not lead to.
    pub(crate) fn learn_voters(&self) {
        for voter in self.status().voters {
            let name = voter.split('/').next().unwrap_or_default();
            if let Ok(name) = KeeperName::try_from(name) {
                self.shared.keepers.add(&name);
            }
        }
        self.link_keepers();
    }

    async fn propose(&self, command: &ConfigCommand) -> Result<ConfigReply, ProposeError> {
        let status = self.status();
        let is_short = status.voters.len() < self.shared.voters_min;
        if status.role == "leader" && is_short && matches!(command, ConfigCommand::Put(_)) {
            // With fewer voters the loss of disks that must be borne could lose the change.
            return Err(ProposeError::NotLeader(None));
        }
        self.shared.group.propose(command).await
    }

    /// Passes new records on to the other keepers.
    fn pass_on(&self, records: Vec<HostRecord>) {
        for keeper in self.shared.keepers.list() {
            if keeper.name != self.shared.me.name {
                tokio::spawn(share(keeper.link, records.clone()));
            }
        }
    }

    fn has_news(&self, request: &SyncRequest) -> bool {
        let is_same_run = request.keeper_run == self.shared.run;
        self.shared.group.read(ConfigHistory::version) > request.config_after
            || !is_same_run
            || self.directory().change_count() > request.hosts_after
    }

    fn page(&self, request: &SyncRequest) -> SyncReply {
        // Read before the state: what is applied meanwhile makes the page only newer.
        let is_current = self.status().current;
        let newer = |book: &ConfigHistory| {
            let text = book.current()?;
            (text.version > request.config_after).then(|| text.clone())
        };
        let config = self.shared.group.read(newer);
        let is_same_run = request.keeper_run == self.shared.run;
        let after = if is_same_run { request.hosts_after } else { 0 };
        let directory = self.directory();
        SyncReply {
            is_current,
            config,
            keeper_run: self.shared.run,
            hosts_at: directory.change_count(),
            hosts: directory.changed_after(after),
            keepers: self.shared.keepers.records(),
        }
    }
}

impl FleetService for FleetKeeper {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        if let Some(record) = request.record.clone() {
            let new = self.merge(vec![record]);
            if !new.is_empty() {
                self.pass_on(new);
            }
        }
        let wait = Duration::from_millis(request.wait_ms.into()).min(SYNC_WAIT_MAX);
        let end = Instant::now() + wait;
        let mut applied = self.shared.group.subscribe_applied();
        let mut changed = self.shared.changed.subscribe();
        while Instant::now() < end && self.status().current && !self.has_news(&request) {
            let left = end.saturating_duration_since(Instant::now());
            tokio::select! {
                _ = applied.changed() => {}
                _ = changed.changed() => {}
                () = tokio::time::sleep(left.min(SYNC_LOOK)) => {}
            }
        }
        self.page(&request)
    }

    async fn share(&self, records: Vec<HostRecord>) {
        self.merge(records);
    }

    async fn exchange_keepers(&self, exchange: KeeperExchange) -> KeeperExchangeReply {
        self.learn(&exchange.keepers);
        let directory = self.directory();
        let is_same = directory.digest() == exchange.hosts_digest;
        KeeperExchangeReply {
            keepers: self.shared.keepers.records(),
            hosts: match is_same {
                true => Vec::new(),
                false => directory.iter().cloned().collect(),
            },
        }
    }

    async fn command(&self, command: ConfigCommand) -> Result<ConfigReply, CommandError> {
        let reply = self.propose(&command).await;
        reply.map_err(|error| match error {
            ProposeError::NotLeader(_) => CommandError::NotLeader,
            ProposeError::Unknown => CommandError::Unknown,
        })
    }

    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) {
        for envelope in envelopes {
            self.shared.group.deliver(envelope);
        }
    }
}

/// Delivers messages of the replica over the link to a keeper.
struct EnvelopeLink(Arc<FleetLink>);

impl ReplicaLink for EnvelopeLink {
    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>, timeout: Duration) {
        let delivered = self.0.call(timeout, |client, ctx| async move {
            client.deliver(ctx, envelopes).await
        });
        // What is lost here the replicas send again.
        let _ = delivered.await;
    }
}

async fn share(link: Arc<FleetLink>, records: Vec<HostRecord>) {
    let shared = link.call(FORWARD_SPAN, |client, ctx| async move {
        client.share(ctx, records).await
    });
    // What is lost here the next greeting finds.
    let _ = shared.await;
}

fn replica_settings(options: &KeeperOptions, name: &KeeperName) -> ReplicaSettings {
    let founders = match options.is_first_start {
        true => options.seeds.iter().copied().map(keeper_name).collect(),
        false => Vec::new(),
    };
    ReplicaSettings {
        group: CONFIG_GROUP,
        group_count: 1,
        id: ReplicaId {
            name: name.clone(),
            incarnation: Incarnation(rand::random()),
        },
        keepers: vec![name.clone()],
        voter_policy: VoterPolicy::Discovered {
            founders,
            voter_count: 2 * options.disk_losses_max + 1,
            replace_after: RETIRE_AFTER,
        },
        heartbeat_interval: HEARTBEAT,
        election_timeout: ELECTION,
        snapshot_chunk_bytes: PART_BYTES,
    }
}
