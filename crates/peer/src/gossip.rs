//! Runs a daemon's membership protocol and digest exchange over UDP and control messages.

use crate::{
    control::{ControlClient, ControlServer, ControlService},
    keeper::FeedPage,
};
use agatehill_decide::{
    digest::{
        DigestInput, DigestNode, DigestOutput, DigestReply, DigestRequest, DigestRow,
        DigestSettings,
    },
    member::{
        MemberExchange, MemberInput, MemberNode, MemberOutput, MemberPacket, MemberRecord,
        MemberSeed, MemberServer, MemberSettings, MemberStatus, TICK_INTERVAL,
    },
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    time::MonoTime,
};
use agatehill_process::budget::ListenerBudget;
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{io, net::SocketAddr, sync::Arc};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior},
};

/// Size of the receive buffer for datagrams, in bytes.
const RECEIVE_BYTES_MAX: usize = 2_048;
/// Most events that wait for the gossip task.
const EVENT_QUEUE_MAX: usize = 1_024;

/// Settings of a daemon's gossip.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Region of the daemon.
    pub region: RegionName,
    /// Number of this run; larger than those of the daemon's earlier runs, as far as known.
    pub incarnation: Incarnation,
    /// UDP address that receives gossip.
    pub gossip: SocketAddr,
    /// TCP address that serves control messages.
    pub control: SocketAddr,
    /// Address that serves forwarded requests.
    pub forward: SocketAddr,
    /// Daemons to contact first, in this zone and in others.
    pub seeds: Vec<MemberSeed>,
    /// The contracts that the daemon applies, served to other daemons on request.
    pub contracts: watch::Receiver<Arc<FeedPage>>,
}

/// Another daemon of the zone.
#[derive(Clone, Debug, Serialize)]
pub struct PeerMember {
    /// The record that the daemon announces.
    pub record: MemberRecord,
    /// Its status in the membership protocol.
    pub status: MemberStatus,
}

/// Another zone.
#[derive(Clone, Debug, Serialize)]
pub struct PeerZone {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Whether its last digest is too old.
    pub is_stale: bool,
    /// Digests of its services.
    pub rows: Vec<DigestRow>,
}

/// What is known of other daemons and zones.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerSnapshot {
    /// Whether the member table was fetched since the daemon started or resumed after a freeze.
    pub is_settled: bool,
    /// Whether this daemon is a relay of its zone.
    pub is_relay: bool,
    /// The other daemons of the zone.
    pub members: Vec<PeerMember>,
    /// The other zones.
    pub zones: Vec<PeerZone>,
}

#[derive(Debug)]
enum GossipEvent {
    AnnounceServers(Vec<MemberServer>),
    ReportLoads(Vec<(ServiceName, u16)>),
    Leave,
    ExchangeRequest(MemberExchange, oneshot::Sender<MemberExchange>),
    ExchangeReply(MemberExchange),
    DigestRequest(DigestRequest, oneshot::Sender<DigestReply>),
    DigestReply(SocketAddr, Option<DigestReply>),
}

/// A handle to the running gossip task; the task stops when it is dropped.
#[derive(Debug)]
pub struct GossipHandle {
    events: mpsc::Sender<GossipEvent>,
    snapshot: watch::Receiver<Arc<PeerSnapshot>>,
    gossip: SocketAddr,
    control: ControlServer,
}

impl GossipHandle {
    /// Binds the addresses of `settings` and joins the zone; other daemons may hold what `budget` allows.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn bind(
        mut settings: GossipSettings,
        budget: ListenerBudget,
    ) -> io::Result<GossipHandle> {
        let socket = UdpSocket::bind(settings.gossip).await?;
        let listener = TcpListener::bind(settings.control).await?;
        settings.gossip = socket.local_addr()?;
        settings.control = listener.local_addr()?;
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_MAX);
        let (publish, snapshot) = watch::channel(Arc::default());
        let forwarder = EventForwarder::new(&events, &settings);
        let control = ControlServer::spawn(listener, forwarder, budget)?;
        let gossip = settings.gossip;
        let task = GossipTask::new(settings, socket, events.downgrade(), publish);
        tokio::spawn(task.run(receiver));
        Ok(GossipHandle {
            events,
            snapshot,
            gossip,
            control,
        })
    }

    /// Returns the UDP address that receives gossip.
    pub fn gossip_addr(&self) -> SocketAddr {
        self.gossip
    }

    /// Returns the TCP address that serves control messages.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.local_addr()
    }

    /// Returns a receiver of the current snapshot of other daemons and zones, and of its changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<PeerSnapshot>> {
        self.snapshot.clone()
    }

    /// Announces the backend servers on this host to the zone.
    pub async fn announce_servers(&self, servers: Vec<MemberServer>) {
        self.send(GossipEvent::AnnounceServers(servers)).await;
    }

    /// Reports the load of this host's servers, in thousandths by service, for the zone's digest.
    pub async fn report_loads(&self, loads: Vec<(ServiceName, u16)>) {
        self.send(GossipEvent::ReportLoads(loads)).await;
    }

    /// Announces to the zone that this daemon stops; keep the handle until the news has spread.
    pub async fn leave(&self) {
        self.send(GossipEvent::Leave).await;
    }

    async fn send(&self, event: GossipEvent) {
        // Doesn't fail: the task runs as long as the handle exists.
        let _ = self.events.send(event).await;
    }
}

/// Forwards control messages of other daemons to the gossip task.
#[derive(Clone, Debug)]
struct EventForwarder {
    events: mpsc::WeakSender<GossipEvent>,
    contracts: watch::Receiver<Arc<FeedPage>>,
}

impl EventForwarder {
    fn new(events: &mpsc::Sender<GossipEvent>, settings: &GossipSettings) -> EventForwarder {
        EventForwarder {
            events: events.downgrade(),
            contracts: settings.contracts.clone(),
        }
    }
}

impl ControlService for EventForwarder {
    async fn exchange(&self, table: MemberExchange) -> Option<MemberExchange> {
        let (tx, rx) = oneshot::channel();
        let events = self.events.upgrade()?;
        events
            .send(GossipEvent::ExchangeRequest(table, tx))
            .await
            .ok()?;
        rx.await.ok()
    }

    async fn digests(&self, request: DigestRequest) -> Option<DigestReply> {
        let (tx, rx) = oneshot::channel();
        let events = self.events.upgrade()?;
        events
            .send(GossipEvent::DigestRequest(request, tx))
            .await
            .ok()?;
        rx.await.ok()
    }

    async fn contracts(&self) -> FeedPage {
        FeedPage::clone(&self.contracts.borrow())
    }
}

struct GossipTask {
    start: Instant,
    random: StdRng,
    socket: UdpSocket,
    client: ControlClient,
    events: mpsc::WeakSender<GossipEvent>,
    publish: watch::Sender<Arc<PeerSnapshot>>,
    member: MemberNode,
    digest: DigestNode,
}

impl GossipTask {
    fn new(
        settings: GossipSettings,
        socket: UdpSocket,
        events: mpsc::WeakSender<GossipEvent>,
        publish: watch::Sender<Arc<PeerSnapshot>>,
    ) -> GossipTask {
        let digest = DigestNode::new(DigestSettings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region,
            control: settings.control,
            run: settings.incarnation.0,
            seeds: settings.seeds.iter().map(|seed| seed.control).collect(),
        });
        let member = MemberSettings {
            name: settings.name,
            zone: settings.zone,
            incarnation: settings.incarnation,
            gossip: settings.gossip,
            control: settings.control,
            forward: settings.forward,
            seeds: settings.seeds,
        };
        GossipTask {
            start: Instant::now(),
            random: StdRng::from_rng(&mut rand::rng()),
            socket,
            client: ControlClient::default(),
            events,
            publish,
            member: MemberNode::new(member, MonoTime::ZERO),
            digest,
        }
    }

    /// Runs the task until the handle is dropped.
    async fn run(mut self, mut receiver: mpsc::Receiver<GossipEvent>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = [0; RECEIVE_BYTES_MAX];
        self.update_digest_members();
        loop {
            tokio::select! {
                _ = tick.tick() => self.tick(),
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, from)) = received {
                        self.receive(from, &buf[..len]);
                    }
                }
                event = receiver.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.start.elapsed()
    }

    fn tick(&mut self) {
        self.step_member(MemberInput::Tick, None);
        self.step_digest(DigestInput::Tick, None);
    }

    fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        metrics::counter!("agatehill_gossip_received_bytes").increment(datagram.len() as u64);
        match postcard::from_bytes::<MemberPacket>(datagram) {
            Ok(packet) => self.step_member(MemberInput::Packet { from, packet }, None),
            Err(_) => metrics::counter!("agatehill_gossip_undecodable_packets").increment(1),
        }
    }

    fn handle_event(&mut self, event: GossipEvent) {
        match event {
            GossipEvent::AnnounceServers(servers) => {
                self.step_member(MemberInput::Servers(servers), None)
            }
            GossipEvent::ReportLoads(loads) => self.step_digest(DigestInput::Loads(loads), None),
            GossipEvent::Leave => self.step_member(MemberInput::Leave, None),
            GossipEvent::ExchangeRequest(table, tx) => {
                self.step_member(MemberInput::ExchangeRequest(table), Some(tx))
            }
            GossipEvent::ExchangeReply(table) => {
                self.step_member(MemberInput::ExchangeReply(table), None)
            }
            GossipEvent::DigestRequest(request, tx) => {
                self.step_digest(DigestInput::Request(request), Some(tx))
            }
            GossipEvent::DigestReply(from, reply) => {
                self.step_digest(DigestInput::Reply { from, reply }, None);
            }
        }
    }

    fn step_member(&mut self, input: MemberInput, mut tx: Option<oneshot::Sender<MemberExchange>>) {
        let now = self.now();
        let mut has_changed = false;
        for output in self.member.step(input, now, &mut self.random) {
            match output {
                MemberOutput::Send { to, packet } => self.send(to, &packet),
                MemberOutput::ExchangeRequest { to, exchange } => self.exchange(to, exchange),
                MemberOutput::ExchangeReply(table) => {
                    if let Some(tx) = tx.take() {
                        // The requester may have stopped waiting.
                        let _ = tx.send(table);
                    }
                }
                MemberOutput::Changed => has_changed = true,
            }
        }
        if has_changed {
            self.update_digest_members();
        }
    }

    fn step_digest(&mut self, input: DigestInput, mut tx: Option<oneshot::Sender<DigestReply>>) {
        let now = self.now();
        let mut has_changed = false;
        for output in self.digest.step(input, now, &mut self.random) {
            match output {
                DigestOutput::Request { to, request } => self.request(to, request),
                DigestOutput::Reply(reply) => {
                    if let Some(tx) = tx.take() {
                        // The requester may have stopped waiting.
                        let _ = tx.send(reply);
                    }
                }
                DigestOutput::Changed => has_changed = true,
            }
        }
        if has_changed {
            self.publish();
        }
    }

    fn send(&self, to: SocketAddr, packet: &MemberPacket) {
        let datagram = postcard::to_stdvec(packet).expect("packets always encode");
        metrics::counter!("agatehill_gossip_sent_bytes").increment(datagram.len() as u64);
        // The protocol tolerates lost datagrams, so one that can't be sent now is dropped.
        let _ = self.socket.try_send_to(&datagram, to);
    }

    fn exchange(&self, to: SocketAddr, table: MemberExchange) {
        metrics::counter!("agatehill_member_exchanges").increment(1);
        let (client, events) = (self.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let reply = client.exchange(to, table).await?;
            let event = GossipEvent::ExchangeReply(reply);
            events.upgrade()?.send(event).await.ok()
        });
    }

    fn request(&self, to: SocketAddr, request: DigestRequest) {
        let (client, events) = (self.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = GossipEvent::DigestReply(to, client.digests(to, request).await);
            events.upgrade()?.send(event).await.ok()
        });
    }

    /// Passes the members that are alive, this daemon included, to the digest node and publishes.
    fn update_digest_members(&mut self) {
        let others = self.member.members();
        let alive = others.filter(|view| view.status == MemberStatus::Alive);
        let records = alive.map(|view| view.record.clone());
        let records = records.chain([self.member.own_record().clone()]).collect();
        self.step_digest(DigestInput::Members(records), None);
        self.publish();
    }

    fn publish(&self) {
        let members = self.member.members().map(|view| PeerMember {
            record: view.record.clone(),
            status: view.status,
        });
        let zones = self.digest.zones(self.now()).map(|view| PeerZone {
            zone: view.zone.clone(),
            region: view.region.clone(),
            is_stale: view.is_stale,
            rows: view.rows.into_iter().cloned().collect(),
        });
        self.publish.send_replace(Arc::new(PeerSnapshot {
            is_settled: self.member.is_settled(),
            is_relay: self.digest.is_relay(),
            members: members.collect(),
            zones: zones.collect(),
        }));
    }
}
