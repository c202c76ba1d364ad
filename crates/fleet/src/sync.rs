//! The daemon's side: keeps its copy of the configuration and of the directory up to date, and the
//! keepers up to date about itself.

use crate::keeper_map::{KeeperMap, KnownKeeper, keeper_name};
use agatehill_decide::{
    config_history::AcceptedConfig,
    host_directory::{HostDirectory, HostRecord, ServerRecord},
    keeper_poller::{
        KeeperPoll, KeeperPoller, LONG_POLL_GRACE, LONG_POLL_WAIT, POLL_ALL_TIMEOUT,
        POLL_RETRY_PAUSE,
    },
    name::{Incarnation, KeeperName, RegionName, ZoneName},
};
use agatehill_peer::fleet::{SyncReply, SyncRequest};
use futures_util::{
    future::ready,
    stream::{FuturesUnordered, StreamExt},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime},
};
use tokio::{sync::watch, time::timeout};

/// Keepers that are told of a change of the own record.
const TOLD_KEEPERS: usize = 2;

/// What a daemon is told when it starts.
#[derive(Clone, Debug)]
pub struct SyncOptions {
    /// Hosts of some keepers.
    pub seeds: Vec<IpAddr>,
    /// Where every keeper takes messages.
    pub port: u16,
    /// Where this daemon takes requests from other daemons.
    pub gate_addr: SocketAddr,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub zone: ZoneName,
}

/// The daemon's copy of what the keepers know; clones share it.
#[derive(Clone)]
pub struct FleetSync {
    shared: Arc<SyncShared>,
}

struct SyncShared {
    options: SyncOptions,
    keepers: KeeperMap,
    record: Mutex<HostRecord>,
    directory: Mutex<HostDirectory>,
    config: watch::Sender<Option<AcceptedConfig>>,
    hosts: watch::Sender<u64>,
    /// Whether a keeper in touch with the leader has answered since the start.
    confirmed: watch::Sender<bool>,
}

/// How far the daemon has got with one keeper.
#[derive(Clone, Copy, Debug, Default)]
struct SyncPosition {
    keeper_run: u64,
    hosts_at: u64,
}

impl From<&SyncReply> for SyncPosition {
    fn from(page: &SyncReply) -> SyncPosition {
        SyncPosition {
            keeper_run: page.keeper_run,
            hosts_at: page.hosts_at,
        }
    }
}

impl FleetSync {
    /// Starts to ask the keepers.
    pub fn spawn(options: SyncOptions) -> FleetSync {
        let record = HostRecord {
            gate: options.gate_addr,
            run: run_number(),
            sequence: 0,
            region: options.region.clone(),
            zone: options.zone.clone(),
            server: None,
        };
        let sync = FleetSync {
            shared: Arc::new(SyncShared {
                keepers: KeeperMap::open(&options.seeds, options.port),
                options,
                record: Mutex::new(record),
                directory: Mutex::default(),
                config: watch::channel(None).0,
                hosts: watch::channel(0).0,
                confirmed: watch::channel(false).0,
            }),
        };
        tokio::spawn(sync.clone().follow());
        sync
    }

    /// Watches the newest configuration.
    pub fn config(&self) -> watch::Receiver<Option<AcceptedConfig>> {
        self.shared.config.subscribe()
    }

    /// Watches the number of changes of the directory.
    pub fn directory_changes(&self) -> watch::Receiver<u64> {
        self.shared.hosts.subscribe()
    }

    /// Watches whether a keeper in touch with the leader has answered since the start.
    pub fn has_synced(&self) -> watch::Receiver<bool> {
        self.shared.confirmed.subscribe()
    }

    /// Returns the records of all hosts, the own one as it is now.
    pub fn records(&self) -> Vec<HostRecord> {
        let mine = self.record().clone();
        let directory = self.directory();
        let others = directory.iter().filter(|r| r.gate != mine.gate);
        others.cloned().chain([mine.clone()]).collect()
    }

    /// Makes further keepers known.
    pub fn add_keepers(&self, hosts: &[IpAddr]) {
        for host in hosts {
            self.shared.keepers.add(&keeper_name(*host));
        }
    }

    /// Sets the backend server that takes work here and tells the keepers of a change.
    pub fn set_server(&self, server: Option<ServerRecord>) {
        let mut record = self.record();
        if record.server == server {
            return;
        }
        record.server = server;
        record.sequence += 1;
        drop(record);
        self.shared.hosts.send_modify(|changes| *changes += 1);
        self.tell();
    }

    /// Tells a few keepers of the own record, without waiting for their answers.
    fn tell(&self) {
        for keeper in self.nearest().into_iter().take(TOLD_KEEPERS) {
            let sync = self.clone();
            tokio::spawn(async move {
                let start = SyncPosition::default();
                sync.ask(&keeper, start, Duration::ZERO).await
            });
        }
    }

    /// Asks the keepers for what is new, for ever.
    async fn follow(self) {
        let mut home = KeeperPoller::default();
        let mut position = SyncPosition::default();
        // The home that the log names.
        let mut told = None;
        loop {
            let nearest = self.nearest();
            let names: Vec<_> = nearest.iter().map(|k| k.name.clone()).collect();
            match home.next_poll(&names) {
                KeeperPoll::One(name) => {
                    let keeper = nearest.iter().find(|k| k.name == name);
                    let keeper = keeper.expect("the name is one of those given");
                    let page = self.ask(keeper, position, LONG_POLL_WAIT).await;
                    let page = page.filter(|page| page.is_current);
                    home.record_reply(&name, page.is_some());
                    position = page.as_ref().map(SyncPosition::from).unwrap_or_default();
                }
                KeeperPoll::All => {
                    let current = self.ask_all(&nearest).await;
                    if current != told {
                        let keeper = current.as_ref().map_or("none", KeeperName::as_str);
                        spdlog::info!("home keeper changes", kv: { keeper });
                        told.clone_from(&current);
                    }
                    home.record_all(current);
                }
                KeeperPoll::Pause => tokio::time::sleep(POLL_RETRY_PAUSE).await,
            }
        }
    }

    /// Asks all keepers at once; returns the first that answers and is in touch with the leader.
    async fn ask_all(&self, keepers: &[KnownKeeper]) -> Option<KeeperName> {
        let ask = |keeper| async move {
            let asked = self.ask(keeper, SyncPosition::default(), Duration::ZERO);
            let page = timeout(POLL_ALL_TIMEOUT, asked).await.ok()??;
            page.is_current.then(|| keeper.name.clone())
        };
        let answers: FuturesUnordered<_> = keepers.iter().map(ask).collect();
        // What the others would have said is asked for with the next question.
        answers.filter_map(ready).next().await
    }

    fn nearest(&self) -> Vec<KnownKeeper> {
        let options = &self.shared.options;
        self.shared.keepers.nearest(&options.region, &options.zone)
    }

    /// Asks `keeper`, which may hold its answer back for `wait`, and takes the answer in.
    async fn ask(
        &self,
        keeper: &KnownKeeper,
        position: SyncPosition,
        wait: Duration,
    ) -> Option<SyncReply> {
        let held = self
            .shared
            .config
            .borrow()
            .as_ref()
            .map_or(0, |c| c.version);
        let ask = SyncRequest {
            record: Some(self.record().clone()),
            config_after: held,
            keeper_run: position.keeper_run,
            hosts_after: position.hosts_at,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let limit = wait + LONG_POLL_GRACE;
        let asked = keeper.link.call(
            limit,
            |client, ctx| async move { client.sync(ctx, ask).await },
        );
        let page = timeout(limit, asked).await.ok()?.ok()?;
        self.take(&page);
        if page.is_current {
            self.shared.confirmed.send_replace(true);
        }
        Some(page)
    }

    fn take(&self, page: &SyncReply) {
        self.shared.keepers.update_records(&page.keepers);
        if let Some(text) = &page.config {
            self.take_config(text);
        }
        let mut directory = self.directory();
        let merged = page.hosts.iter().filter(|r| directory.merge((*r).clone()));
        if merged.count() > 0 {
            self.shared.hosts.send_modify(|changes| *changes += 1);
        }
        let mine = directory.get(self.shared.options.gate_addr).cloned();
        drop(directory);
        if let Some(mine) = mine {
            self.outlive(&mine);
        }
    }

    /// Takes in a configuration unless a newer one is held.
    fn take_config(&self, text: &AcceptedConfig) {
        self.shared.config.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|h| h.version < text.version);
            if is_newer {
                *held = Some(text.clone());
            }
            is_newer
        });
    }

    /// Moves the own run past a record of an earlier one, which a clock that was set back may have
    /// made larger.
    fn outlive(&self, known: &HostRecord) {
        let mut record = self.record();
        if known.run > record.run {
            record.run = Incarnation(known.run.0 + 1);
        }
    }

    fn record(&self) -> MutexGuard<'_, HostRecord> {
        let record = self.shared.record.lock();
        record.expect("no holder of the record panics")
    }

    fn directory(&self) -> MutexGuard<'_, HostDirectory> {
        let directory = self.shared.directory.lock();
        directory.expect("no holder of the directory panics")
    }
}

/// Returns a number for this run, larger than that of earlier ones unless the clock was set back.
fn run_number() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_micros() as u64))
}
