//! Keeps the route table up to date with the servers of this host, of its zone and of other zones.

use crate::peer_monitor::PeerMonitor;
use agatehill_backend::registry::{LocalServer, ServerRegistry, ServerStage};
use agatehill_caller::routes::RouteView;
use agatehill_config::DaemonSettings;
use agatehill_decide::{
    digest::DigestRow,
    member::{MemberRecord, MemberSeed, MemberServer, MemberStatus},
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    route::{ServerDirectory, ServerKey, ServerState, ServerView},
    time::MonoTime,
};
use agatehill_peer::{
    gossip::{GossipHandle, GossipSettings, PeerSnapshot, PeerZone},
    keeper::FeedPage,
};
use agatehill_process::{budget::ListenerBudget, clock::MonoClock};
use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};
use tokio::sync::watch;

/// Time between two checks for servers whose announcements have expired.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reports of the load of this host's servers.
const LOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a daemon that leaves the zone still gossips that it does.
const DEPARTURE_DELAY: Duration = Duration::from_millis(500);

/// A handle to the task that keeps the route table up to date.
#[derive(Debug)]
pub(crate) struct RouteUpdater {
    leaving: watch::Sender<bool>,
    gossip: Arc<GossipHandle>,
}

impl RouteUpdater {
    /// Joins the zone as a daemon that accepts forwarded calls at `forward`, and spawns the task
    /// that updates `routes`. Other daemons may hold what `budget` allows.
    ///
    /// # Errors
    ///
    /// The gossip or control address can't be bound.
    pub(crate) async fn bind(
        settings: &DaemonSettings,
        registry: &Arc<ServerRegistry>,
        routes: RouteView,
        forward: SocketAddr,
        contracts: watch::Receiver<Arc<FeedPage>>,
        clock: MonoClock,
        budget: ListenerBudget,
    ) -> io::Result<RouteUpdater> {
        let gossip_settings = gossip_settings(settings, forward, contracts);
        let gossip = Arc::new(GossipHandle::bind(gossip_settings, budget).await?);
        let (leaving, is_leaving) = watch::channel(false);
        let task = UpdateTask {
            host: LocalHost {
                daemon: settings.name.clone(),
                zone: settings.availability_zone.clone(),
                region: settings.region.clone(),
                forward,
            },
            registry: registry.clone(),
            routes,
            gossip: gossip.clone(),
            clock,
            is_leaving,
        };
        tokio::spawn(task.run());
        Ok(RouteUpdater { leaving, gossip })
    }

    /// Returns a receiver of what is known of other daemons and zones.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<PeerSnapshot>> {
        self.gossip.subscribe()
    }

    /// Announces to other daemons that this one accepts no new work.
    pub(crate) fn announce_leaving(&self) {
        self.leaving.send_replace(true);
    }

    /// Leaves the zone's membership and waits until the others had time to learn of it.
    pub(crate) async fn leave(&self) {
        self.gossip.leave().await;
        tokio::time::sleep(DEPARTURE_DELAY).await;
    }
}

fn gossip_settings(
    settings: &DaemonSettings,
    forward: SocketAddr,
    contracts: watch::Receiver<Arc<FeedPage>>,
) -> GossipSettings {
    let seeds = settings.seeds.iter().map(|seed| MemberSeed {
        gossip: seed.gossip,
        control: seed.control,
    });
    GossipSettings {
        name: settings.name.clone(),
        zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
        incarnation: wall_clock(),
        gossip: settings.listen.gossip,
        control: settings.listen.control,
        forward,
        seeds: seeds.collect(),
        contracts,
    }
}

/// Returns the wall clock in microseconds. After the clock was set back, the daemon raises its
/// incarnation above that of its earlier run when it learns of it.
fn wall_clock() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(1).max(1))
}

struct UpdateTask {
    host: LocalHost,
    registry: Arc<ServerRegistry>,
    routes: RouteView,
    gossip: Arc<GossipHandle>,
    clock: MonoClock,
    is_leaving: watch::Receiver<bool>,
}

/// What all servers of this host have in common.
struct LocalHost {
    daemon: DaemonName,
    zone: ZoneName,
    region: RegionName,
    forward: SocketAddr,
}

impl UpdateTask {
    async fn run(mut self) {
        let mut changes = self.registry.subscribe();
        let mut view = self.gossip.subscribe();
        let mut directory = ServerDirectory::new(self.host.zone.clone(), self.host.region.clone());
        let mut monitor = PeerMonitor::default();
        let mut expire_tick = tokio::time::interval(EXPIRE_INTERVAL);
        let mut load_tick = tokio::time::interval(LOAD_INTERVAL);
        loop {
            tokio::select! {
                _ = expire_tick.tick() => {
                    self.registry.expire();
                    continue;
                }
                _ = load_tick.tick() => {
                    self.gossip.report_loads(self.loads()).await;
                    continue;
                }
                _ = changes.changed() => self.announce().await,
                changed = self.is_leaving.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.announce().await;
                }
                _ = view.changed() => {}
            }
            let peers = view.borrow_and_update().clone();
            monitor.record(&peers);
            self.refresh(&mut directory, &peers);
            self.routes.publish(directory.snapshot());
        }
    }

    /// Announces the servers of this host to the zone.
    async fn announce(&self) {
        let servers = self.registry.list();
        let is_leaving = *self.is_leaving.borrow();
        let member_server = |server: &Arc<LocalServer>| MemberServer {
            service: server.announcement.service.clone(),
            backend: server.announcement.address,
            slots: server.announcement.slots,
            state: server_state(server.announcement.state, is_leaving),
        };
        self.gossip
            .announce_servers(servers.iter().map(member_server).collect())
            .await;
    }

    /// Returns the load of each server: running and queued calls per limit, in permille.
    fn loads(&self) -> Vec<(ServiceName, u16)> {
        let servers = self.registry.list();
        let load = |server: &Arc<LocalServer>| {
            let load = server.admission.load();
            let calls = u64::from(load.running) + u64::from(load.queued);
            let permille = calls * 1_000 / u64::from(load.limit.max(1));
            let service = server.announcement.service.clone();
            (service, u16::try_from(permille).unwrap_or(u16::MAX))
        };
        servers.iter().map(load).collect()
    }

    /// Updates `directory` to the servers of this host, the zone and zones with a recent digest.
    fn refresh(&self, directory: &mut ServerDirectory, peers: &PeerSnapshot) {
        let mut keys = HashSet::new();
        let is_leaving = *self.is_leaving.borrow();
        for server in self.registry.list() {
            keys.insert(directory.upsert(self.host.view(&server, is_leaving)));
        }
        for member in &peers.members {
            for server in &member.record.servers {
                let view = self.host.member_view(&member.record, member.status, server);
                keys.insert(directory.upsert(view));
            }
        }
        for zone in peers.zones.iter().filter(|zone| !zone.is_stale) {
            keys.extend(add_zone(directory, zone, self.clock.now()));
        }
        directory.retain(|key, _| keys.contains(&key));
    }
}

impl LocalHost {
    fn view(&self, server: &LocalServer, is_leaving: bool) -> ServerView {
        let announced = &server.announcement;
        ServerView {
            service: announced.service.clone(),
            daemon: self.daemon.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            forward: self.forward,
            backend: Some(announced.address),
            state: server_state(announced.state, is_leaving),
            slots: announced.slots,
        }
    }

    fn member_view(
        &self,
        record: &MemberRecord,
        status: MemberStatus,
        server: &MemberServer,
    ) -> ServerView {
        let state = match status {
            MemberStatus::Alive => server.state,
            MemberStatus::Suspect => ServerState::Suspect,
        };
        ServerView {
            service: server.service.clone(),
            daemon: record.name.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            forward: record.forward,
            backend: Some(server.backend),
            state,
            slots: server.slots,
        }
    }
}

/// Adds the entry daemons of another zone to `directory`, with the load that the zone reports.
fn add_zone(directory: &mut ServerDirectory, zone: &PeerZone, now: MonoTime) -> Vec<ServerKey> {
    let mut keys = Vec::new();
    for row in &zone.rows {
        for view in entry_views(zone, row) {
            let key = directory.upsert(view);
            if let Some(stats) = directory.stats(key) {
                stats.report_load(row.load_permille, now);
            }
            keys.push(key);
        }
    }
    keys
}

/// Returns the entry daemons of a service in `zone`, each with an equal part of its slots.
fn entry_views(zone: &PeerZone, row: &DigestRow) -> impl Iterator<Item = ServerView> {
    let entries = u32::try_from(row.entries.len()).unwrap_or(u32::MAX);
    row.entries.iter().map(move |entry| ServerView {
        service: row.service.clone(),
        daemon: entry.daemon.clone(),
        zone: zone.zone.clone(),
        region: zone.region.clone(),
        forward: entry.forward,
        backend: None,
        state: ServerState::Serving,
        slots: row.slots / entries.max(1),
    })
}

fn server_state(stage: ServerStage, is_leaving: bool) -> ServerState {
    match stage {
        _ if is_leaving => ServerState::Leaving,
        ServerStage::Starting => ServerState::Starting,
        ServerStage::Serving => ServerState::Serving,
        ServerStage::Leaving => ServerState::Leaving,
    }
}
