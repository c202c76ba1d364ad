//! Runs a daemon's membership and its part in the digests over UDP and control messages.

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
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{io, net::SocketAddr, sync::Arc};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior},
};

/// Largest datagram that is read, in bytes.
const RECEIVE_BYTES_MAX: usize = 2_048;
/// Control messages that wait for the task.
const EVENTS_MAX: usize = 1_024;

/// What a daemon's gossip is started with.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// The daemon.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Larger than that of the daemon's earlier runs, as far as known.
    pub incarnation: Incarnation,
    /// Where it takes gossip, UDP.
    pub gossip: SocketAddr,
    /// Where it takes control messages, TCP.
    pub control: SocketAddr,
    /// Where it takes forwarded requests.
    pub forward: SocketAddr,
    /// Daemons to join, of its own and of other zones.
    pub seeds: Vec<MemberSeed>,
    /// The contracts in force, for daemons that ask.
    pub contracts: watch::Receiver<Arc<FeedPage>>,
}

/// Another daemon of the zone.
#[derive(Clone, Debug, Serialize)]
pub struct PeerMember {
    /// What it says of itself.
    pub record: MemberRecord,
    /// Whether it answers.
    pub status: MemberStatus,
}

/// Another zone.
#[derive(Clone, Debug, Serialize)]
pub struct PeerZone {
    /// The zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether nothing was heard from it for long.
    pub is_stale: bool,
    /// Its services.
    pub rows: Vec<DigestRow>,
}

/// What is known of other daemons and zones.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerSnapshot {
    /// Whether the table of members was learned since the daemon started or froze.
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
    Servers(Vec<MemberServer>),
    Loads(Vec<(ServiceName, u16)>),
    Leave,
    Asked(MemberExchange, oneshot::Sender<MemberExchange>),
    Exchanged(MemberExchange),
    Digests(DigestRequest, oneshot::Sender<DigestReply>),
    Answered(SocketAddr, Option<DigestReply>),
}

/// A running member; stops when dropped.
#[derive(Debug)]
pub struct GossipHandle {
    events: mpsc::Sender<GossipEvent>,
    view: watch::Receiver<Arc<PeerSnapshot>>,
    gossip: SocketAddr,
    control: ControlServer,
}

impl GossipHandle {
    /// Binds the addresses of `settings` and joins.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn bind(mut settings: GossipSettings) -> io::Result<GossipHandle> {
        let socket = UdpSocket::bind(settings.gossip).await?;
        let listener = TcpListener::bind(settings.control).await?;
        settings.gossip = socket.local_addr()?;
        settings.control = listener.local_addr()?;
        let (events, waiting) = mpsc::channel(EVENTS_MAX);
        let (publish, view) = watch::channel(Arc::default());
        let control = ControlServer::spawn(listener, ControlDesk::new(&events, &settings))?;
        let gossip = settings.gossip;
        let task = GossipTask::new(settings, socket, events.downgrade(), publish);
        tokio::spawn(task.run(waiting));
        Ok(GossipHandle {
            events,
            view,
            gossip,
            control,
        })
    }

    /// Returns the address that takes gossip.
    pub fn gossip_addr(&self) -> SocketAddr {
        self.gossip
    }

    /// Returns the address that takes control messages.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.local_addr()
    }

    /// Returns what is known of other daemons and zones, and every change of it.
    pub fn subscribe(&self) -> watch::Receiver<Arc<PeerSnapshot>> {
        self.view.clone()
    }

    /// Tells the zone of the backend servers on this host.
    pub async fn announce_servers(&self, servers: Vec<MemberServer>) {
        self.send(GossipEvent::Servers(servers)).await;
    }

    /// Takes the load of the own servers, by service in thousandths, for the zone's digest.
    pub async fn report_loads(&self, loads: Vec<(ServiceName, u16)>) {
        self.send(GossipEvent::Loads(loads)).await;
    }

    /// Tells the zone that this daemon stops; the handle is to be kept for a while yet.
    pub async fn leave(&self) {
        self.send(GossipEvent::Leave).await;
    }

    async fn send(&self, event: GossipEvent) {
        // The task runs as long as the handle.
        let _ = self.events.send(event).await;
    }
}

/// Passes control messages of other daemons on to the task.
#[derive(Clone, Debug)]
struct ControlDesk {
    events: mpsc::WeakSender<GossipEvent>,
    contracts: watch::Receiver<Arc<FeedPage>>,
}

impl ControlDesk {
    fn new(events: &mpsc::Sender<GossipEvent>, settings: &GossipSettings) -> ControlDesk {
        ControlDesk {
            events: events.downgrade(),
            contracts: settings.contracts.clone(),
        }
    }
}

impl ControlService for ControlDesk {
    async fn exchange(&self, table: MemberExchange) -> Option<MemberExchange> {
        let (tx, rx) = oneshot::channel();
        let events = self.events.upgrade()?;
        events.send(GossipEvent::Asked(table, tx)).await.ok()?;
        rx.await.ok()
    }

    async fn digests(&self, request: DigestRequest) -> Option<DigestReply> {
        let (tx, rx) = oneshot::channel();
        let events = self.events.upgrade()?;
        events.send(GossipEvent::Digests(request, tx)).await.ok()?;
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

    /// Runs until the handle is dropped.
    async fn run(mut self, mut waiting: mpsc::Receiver<GossipEvent>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = [0; RECEIVE_BYTES_MAX];
        self.pass_members();
        loop {
            tokio::select! {
                _ = tick.tick() => self.tick(),
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, from)) = received {
                        self.receive(from, &buf[..len]);
                    }
                }
                event = waiting.recv() => match event {
                    Some(event) => self.take(event),
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

    fn take(&mut self, event: GossipEvent) {
        match event {
            GossipEvent::Servers(servers) => self.step_member(MemberInput::Servers(servers), None),
            GossipEvent::Loads(loads) => self.step_digest(DigestInput::Loads(loads), None),
            GossipEvent::Leave => self.step_member(MemberInput::Leave, None),
            GossipEvent::Asked(table, tx) => {
                self.step_member(MemberInput::ExchangeRequest(table), Some(tx))
            }
            GossipEvent::Exchanged(table) => {
                self.step_member(MemberInput::ExchangeReply(table), None)
            }
            GossipEvent::Digests(request, tx) => {
                self.step_digest(DigestInput::Request(request), Some(tx))
            }
            GossipEvent::Answered(from, reply) => {
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
                        // The asker may have given up.
                        let _ = tx.send(table);
                    }
                }
                MemberOutput::Changed => has_changed = true,
            }
        }
        if has_changed {
            self.pass_members();
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
                        // The asker may have given up.
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
        // A datagram that can't be sent now is one that is lost.
        let _ = self.socket.try_send_to(&datagram, to);
    }

    fn exchange(&self, to: SocketAddr, table: MemberExchange) {
        metrics::counter!("agatehill_member_exchanges").increment(1);
        let (client, events) = (self.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let answer = client.exchange(to, table).await?;
            let event = GossipEvent::Exchanged(answer);
            events.upgrade()?.send(event).await.ok()
        });
    }

    fn request(&self, to: SocketAddr, request: DigestRequest) {
        let (client, events) = (self.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = GossipEvent::Answered(to, client.digests(to, request).await);
            events.upgrade()?.send(event).await.ok()
        });
    }

    /// Gives the digest the present members.
    fn pass_members(&mut self) {
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
