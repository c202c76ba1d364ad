//! A zone of members in virtual time: delays, losses, cuts, pauses and restarts from one seed.
//!
//! Shared by the property tests and by the measurement of what membership costs.

use agatehill_decide::{
    member::{
        MemberExchange, MemberInput, MemberNode, MemberOutput, MemberPacket, MemberRecord,
        MemberSeed, MemberServer, MemberSettings, MemberStatus, TICK_INTERVAL,
    },
    name::{DaemonName, Incarnation, ServiceName, ZoneName},
    route::ServerState,
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Bytes of the IPv4 and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;
/// Bytes of the headers of a connection that carries one exchange, and of its set-up and end.
const TCP_EXCHANGE_BYTES: u64 = 600;
/// Longest time of a message on its way, in microseconds.
const DELAY_MICROS_MAX: u64 = 3_000;
/// Datagrams that wait at a paused process.
const SOCKET_BUFFER: usize = 200;

enum NetEvent {
    Tick,
    Packet(usize, MemberPacket),
    Asked(usize, MemberExchange),
    Exchanged(MemberExchange),
}

struct NetPeer {
    node: MemberNode,
    is_paused: bool,
    buffer: Vec<(usize, MemberPacket)>,
}

/// What the members have sent and spent together.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetCost {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes, headers included.
    pub datagram_bytes: u64,
    /// Whole tables exchanged.
    pub exchanges: u64,
    /// Their bytes, both ways, headers included.
    pub exchange_bytes: u64,
    /// Time in the state machines; encoding and decoding not included.
    pub step_time: Duration,
}

/// A zone of members.
pub struct MemberSimulation {
    /// The virtual time.
    pub now: MonoTime,
    /// The source of everything random.
    pub random: StdRng,
    /// What was sent and spent.
    pub cost: NetCost,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Links, by sender and receiver, on which everything is lost.
    pub blocked: HashSet<(usize, usize)>,
    peers: Vec<Option<NetPeer>>,
    runs: Vec<u64>,
    events: BTreeMap<(MonoTime, u64), (usize, NetEvent)>,
    sequence: u64,
}

impl MemberSimulation {
    /// Starts `count` members that know only the first two.
    pub fn start(count: usize, seed: u64) -> MemberSimulation {
        let mut sim = MemberSimulation {
            now: MonoTime::ZERO,
            random: StdRng::seed_from_u64(seed),
            cost: NetCost::default(),
            loss: 0.0,
            blocked: HashSet::new(),
            peers: Vec::new(),
            runs: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
        };
        for _ in 0..count {
            sim.add();
        }
        sim
    }

    /// Adds a member and returns its number.
    pub fn add(&mut self) -> usize {
        let idx = self.peers.len();
        self.peers.push(None);
        self.runs.push(0);
        self.restart(idx);
        idx
    }

    /// Starts the process of a member anew.
    pub fn restart(&mut self, idx: usize) {
        self.runs[idx] += 1;
        let settings = MemberSettings {
            name: name(idx),
            zone: ZoneName::try_from("herning-1").unwrap(),
            incarnation: Incarnation(self.runs[idx] * 1_000),
            gossip: addr(idx),
            control: addr(idx),
            forward: addr(idx),
            seeds: [0, 1].map(seed).to_vec(),
        };
        let node = MemberNode::new(settings, self.now);
        let is_paused = false;
        let buffer = Vec::new();
        let peer = NetPeer {
            node,
            is_paused,
            buffer,
        };
        self.peers[idx] = Some(peer);
        self.announce(idx, ServerState::Serving);
        let wait = self
            .random
            .random_range(0..TICK_INTERVAL.as_micros() as u64);
        self.push(idx, Duration::from_micros(wait), NetEvent::Tick);
    }

    /// Ends the process of a member without a word.
    pub fn kill(&mut self, idx: usize) {
        self.peers[idx] = None;
        self.events.retain(|_, (to, _)| *to != idx);
    }

    /// Makes a member tell that it leaves.
    pub fn leave(&mut self, idx: usize) {
        self.step(idx, MemberInput::Leave, None);
    }

    /// Makes a member announce its backend server in `state`.
    pub fn announce(&mut self, idx: usize, state: ServerState) {
        let server = MemberServer {
            service: ServiceName::try_from("techreg").unwrap(),
            backend: addr(idx),
            slots: 50,
            state,
        };
        self.step(idx, MemberInput::Servers(vec![server]), None);
    }

    /// Freezes the process of a member, or lets it go on.
    pub fn pause(&mut self, idx: usize, is_paused: bool) {
        let Some(peer) = &mut self.peers[idx] else {
            return;
        };
        peer.is_paused = is_paused;
        for (from, packet) in std::mem::take(&mut peer.buffer) {
            self.push(idx, Duration::ZERO, NetEvent::Packet(from, packet));
        }
    }

    /// Cuts `side` off from all others, in both directions.
    pub fn cut(&mut self, side: &BTreeSet<usize>) {
        for from in 0..self.peers.len() {
            for to in 0..self.peers.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.blocked.insert((from, to));
                }
            }
        }
    }

    /// The members whose processes exist.
    pub fn living(&self) -> BTreeSet<usize> {
        let living = self.peers.iter().enumerate();
        living
            .filter_map(|(idx, peer)| peer.as_ref().map(|_| idx))
            .collect()
    }

    /// The members, itself included, whose servers the member `idx` would route to.
    pub fn routable(&self, idx: usize) -> BTreeSet<usize> {
        let Some(peer) = &self.peers[idx] else {
            return BTreeSet::new();
        };
        let members = peer.node.members();
        let alive = members.filter(|view| view.status == MemberStatus::Alive);
        let records = alive
            .map(|view| view.record)
            .chain([peer.node.own_record()]);
        let serving = records.filter(|record| serves(record));
        serving.map(|record| number(record.gossip)).collect()
    }

    /// Counts the other members that would route to the server of `idx`.
    pub fn count_routing_to(&self, idx: usize) -> usize {
        let offers = |peer: &&NetPeer| {
            let mut members = peer.node.members();
            let member = members.find(|view| view.record.gossip == addr(idx));
            member.is_some_and(|view| view.status == MemberStatus::Alive && serves(view.record))
        };
        self.peers.iter().flatten().filter(offers).count()
    }

    /// The members, itself included, that the member `idx` hasn't declared dead.
    pub fn known(&self, idx: usize) -> BTreeSet<usize> {
        let Some(peer) = &self.peers[idx] else {
            return BTreeSet::new();
        };
        let members = peer.node.members();
        members
            .map(|view| number(view.record.gossip))
            .chain([idx])
            .collect()
    }

    /// Runs for `span`; calls `check` every 100 ms.
    pub fn run_checked(&mut self, span: Duration, mut check: impl FnMut(&MemberSimulation)) {
        let end = self.now + span;
        let mut next_check = self.now;
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            if at >= next_check {
                next_check = at + Duration::from_millis(100);
                check(self);
            }
            let ((at, _), (to, event)) = self.events.pop_first().unwrap();
            self.now = at;
            self.handle(to, event);
        }
        self.now = end;
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        self.run_checked(span, |_| {});
    }

    /// Runs until `done`, for `limit` at most; returns the time that it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&MemberSimulation) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Duration::from_millis(100));
        }
        Some(self.now.since(start))
    }

    /// Whether every living member would route to all `expected` and to no other.
    pub fn all_route_to(&self, expected: &BTreeSet<usize>) -> bool {
        let living = self.living();
        living.iter().all(|idx| self.routable(*idx) == *expected)
    }

    fn handle(&mut self, to: usize, event: NetEvent) {
        let Some(peer) = &mut self.peers[to] else {
            return;
        };
        if peer.is_paused {
            match event {
                NetEvent::Tick => self.push(to, TICK_INTERVAL, NetEvent::Tick),
                NetEvent::Packet(from, packet) if peer.buffer.len() < SOCKET_BUFFER => {
                    peer.buffer.push((from, packet));
                }
                _ => {}
            }
            return;
        }
        match event {
            NetEvent::Tick => {
                self.push(to, TICK_INTERVAL, NetEvent::Tick);
                self.step(to, MemberInput::Tick, None);
            }
            NetEvent::Packet(from, packet) => {
                let from = addr(from);
                self.step(to, MemberInput::Packet { from, packet }, None);
            }
            NetEvent::Asked(from, table) => {
                self.step(to, MemberInput::ExchangeRequest(table), Some(from))
            }
            NetEvent::Exchanged(table) => self.step(to, MemberInput::ExchangeReply(table), None),
        }
    }

    fn step(&mut self, idx: usize, input: MemberInput, asker: Option<usize>) {
        let Some(peer) = &mut self.peers[idx] else {
            return;
        };
        let started = Instant::now();
        let outputs = peer.node.step(input, self.now, &mut self.random);
        self.cost.step_time += started.elapsed();
        for output in outputs {
            match output {
                MemberOutput::Send { to, packet } => {
                    self.cost.datagrams += 1;
                    self.cost.datagram_bytes += UDP_HEADER_BYTES + encoded_bytes(&packet);
                    if !self.random.random_bool(self.loss) {
                        self.transmit(idx, number(to), NetEvent::Packet(idx, packet));
                    }
                }
                MemberOutput::ExchangeRequest { to, exchange } => {
                    self.cost.exchanges += 1;
                    self.cost.exchange_bytes += TCP_EXCHANGE_BYTES + encoded_bytes(&exchange);
                    self.transmit(idx, number(to), NetEvent::Asked(idx, exchange));
                }
                MemberOutput::ExchangeReply(exchange) => {
                    self.cost.exchange_bytes += encoded_bytes(&exchange);
                    let asker = asker.expect("only an asked member replies");
                    self.transmit(idx, asker, NetEvent::Exchanged(exchange));
                }
                MemberOutput::Changed => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, event: NetEvent) {
        if !self.blocked.contains(&(from, to)) {
            let delay = self.random.random_range(100..DELAY_MICROS_MAX);
            self.push(to, Duration::from_micros(delay), event);
        }
    }

    fn push(&mut self, to: usize, delay: Duration, event: NetEvent) {
        self.sequence += 1;
        self.events
            .insert((self.now + delay, self.sequence), (to, event));
    }
}

fn name(idx: usize) -> DaemonName {
    DaemonName::try_from(format!("daemon-{idx}")).unwrap()
}

fn addr(idx: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(idx).unwrap()))
}

fn seed(idx: usize) -> MemberSeed {
    let (gossip, control) = (addr(idx), addr(idx));
    MemberSeed { gossip, control }
}

fn number(addr: SocketAddr) -> usize {
    usize::from(addr.port())
}

fn serves(record: &MemberRecord) -> bool {
    let mut servers = record.servers.iter();
    servers.any(|server| server.state == ServerState::Serving)
}

/// Returns the bytes of `value` on the wire.
pub fn encoded_bytes<T: Serialize>(value: &T) -> u64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}
