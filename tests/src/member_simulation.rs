//! Simulation of a zone's members in virtual time, with delays, packet loss, partitions, pauses and
//! restarts that are reproducible from one seed.
//!
//! Shared by the property tests and by the benchmark of the cost of membership.

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

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
const UDP_HEADER_BYTES: u64 = 28;
/// Size of all headers of a connection that carries one exchange, with its setup and end, in bytes.
const TCP_EXCHANGE_BYTES: u64 = 600;
/// Upper bound of the delay of a message, in microseconds.
const DELAY_MICROS_MAX: u64 = 3_000;
/// Maximum number of datagrams that are buffered for a paused process.
const BUFFERED_DATAGRAMS_MAX: usize = 200;

enum SimulationEvent {
    Tick,
    Packet(usize, MemberPacket),
    ExchangeRequest(usize, MemberExchange),
    ExchangeReply(MemberExchange),
}

struct SimulatedMember {
    node: MemberNode,
    is_paused: bool,
    buffer: Vec<(usize, MemberPacket)>,
}

/// Traffic and processor time of all members together.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetCost {
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Size of the datagrams with headers, in bytes.
    pub datagram_bytes: u64,
    /// Number of exchanges of full tables.
    pub exchanges: u64,
    /// Size of the exchanges in both directions with headers, in bytes.
    pub exchange_bytes: u64,
    /// Time spent in the state machines, without encoding and decoding.
    pub step_time: Duration,
}

/// Simulated zone of members.
pub struct MemberSimulation {
    /// Virtual time.
    pub now: MonoTime,
    /// Source of all random numbers.
    pub random: StdRng,
    /// Cost so far.
    pub cost: NetCost,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Links, by sender and receiver, on which all messages are lost.
    pub blocked: HashSet<(usize, usize)>,
    members: Vec<Option<SimulatedMember>>,
    runs: Vec<u64>,
    events: BTreeMap<(MonoTime, u64), (usize, SimulationEvent)>,
    sequence: u64,
}

impl MemberSimulation {
    /// Starts `count` members, with the first two as seeds.
    pub fn start(count: usize, seed: u64) -> MemberSimulation {
        let mut sim = MemberSimulation {
            now: MonoTime::ZERO,
            random: StdRng::seed_from_u64(seed),
            cost: NetCost::default(),
            loss: 0.0,
            blocked: HashSet::new(),
            members: Vec::new(),
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
        let idx = self.members.len();
        self.members.push(None);
        self.runs.push(0);
        self.restart(idx);
        idx
    }

    /// Starts a new process of a member.
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
        let member = SimulatedMember {
            node,
            is_paused,
            buffer,
        };
        self.members[idx] = Some(member);
        self.announce(idx, ServerState::Serving);
        let wait = self
            .random
            .random_range(0..TICK_INTERVAL.as_micros() as u64);
        self.push(idx, Duration::from_micros(wait), SimulationEvent::Tick);
    }

    /// Ends the process of a member without a leave message.
    pub fn kill(&mut self, idx: usize) {
        self.members[idx] = None;
        self.events.retain(|_, (to, _)| *to != idx);
    }

    /// Makes a member announce that it leaves.
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

    /// Pauses or resumes the process of a member.
    pub fn pause(&mut self, idx: usize, is_paused: bool) {
        let Some(member) = &mut self.members[idx] else {
            return;
        };
        member.is_paused = is_paused;
        for (from, packet) in std::mem::take(&mut member.buffer) {
            self.push(idx, Duration::ZERO, SimulationEvent::Packet(from, packet));
        }
    }

    /// Partitions the members in `side` from all others, in both directions.
    pub fn partition(&mut self, side: &BTreeSet<usize>) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.blocked.insert((from, to));
                }
            }
        }
    }

    /// Returns the members that have a process.
    pub fn living(&self) -> BTreeSet<usize> {
        let living = self.members.iter().enumerate();
        living
            .filter_map(|(idx, member)| member.as_ref().map(|_| idx))
            .collect()
    }

    /// Returns the members, itself included, whose servers member `idx` would route to.
    pub fn routable(&self, idx: usize) -> BTreeSet<usize> {
        let Some(member) = &self.members[idx] else {
            return BTreeSet::new();
        };
        let members = member.node.members();
        let alive = members.filter(|view| view.status == MemberStatus::Alive);
        let records = alive
            .map(|view| view.record)
            .chain([member.node.own_record()]);
        let serving = records.filter(|record| serves(record));
        serving.map(|record| number(record.gossip)).collect()
    }

    /// Returns the number of other members that would route to the server of `idx`.
    pub fn count_routing_to(&self, idx: usize) -> usize {
        let routes_to = |member: &&SimulatedMember| {
            let mut members = member.node.members();
            let member = members.find(|view| view.record.gossip == addr(idx));
            member.is_some_and(|view| view.status == MemberStatus::Alive && serves(view.record))
        };
        self.members.iter().flatten().filter(routes_to).count()
    }

    /// Returns the members, itself included, that are alive or suspect at member `idx`.
    pub fn known(&self, idx: usize) -> BTreeSet<usize> {
        let Some(member) = &self.members[idx] else {
            return BTreeSet::new();
        };
        let members = member.node.members();
        members
            .map(|view| number(view.record.gossip))
            .chain([idx])
            .collect()
    }

    /// Runs for `span` and calls `check` every 100 ms.
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

    /// Runs until `done` returns true and returns the elapsed time; `None` after `limit`.
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

    /// Returns whether every living member would route to exactly the members in `expected`.
    pub fn all_route_to(&self, expected: &BTreeSet<usize>) -> bool {
        let living = self.living();
        living.iter().all(|idx| self.routable(*idx) == *expected)
    }

    fn handle(&mut self, to: usize, event: SimulationEvent) {
        let Some(member) = &mut self.members[to] else {
            return;
        };
        if member.is_paused {
            match event {
                SimulationEvent::Tick => self.push(to, TICK_INTERVAL, SimulationEvent::Tick),
                SimulationEvent::Packet(from, packet)
                    if member.buffer.len() < BUFFERED_DATAGRAMS_MAX =>
                {
                    member.buffer.push((from, packet));
                }
                _ => {}
            }
            return;
        }
        match event {
            SimulationEvent::Tick => {
                self.push(to, TICK_INTERVAL, SimulationEvent::Tick);
                self.step(to, MemberInput::Tick, None);
            }
            SimulationEvent::Packet(from, packet) => {
                let from = addr(from);
                self.step(to, MemberInput::Packet { from, packet }, None);
            }
            SimulationEvent::ExchangeRequest(from, table) => {
                self.step(to, MemberInput::ExchangeRequest(table), Some(from))
            }
            SimulationEvent::ExchangeReply(table) => {
                self.step(to, MemberInput::ExchangeReply(table), None)
            }
        }
    }

    fn step(&mut self, idx: usize, input: MemberInput, requester: Option<usize>) {
        let Some(member) = &mut self.members[idx] else {
            return;
        };
        let started = Instant::now();
        let outputs = member.node.step(input, self.now, &mut self.random);
        self.cost.step_time += started.elapsed();
        for output in outputs {
            match output {
                MemberOutput::Send { to, packet } => {
                    self.cost.datagrams += 1;
                    self.cost.datagram_bytes += UDP_HEADER_BYTES + encoded_bytes(&packet);
                    if !self.random.random_bool(self.loss) {
                        self.transmit(idx, number(to), SimulationEvent::Packet(idx, packet));
                    }
                }
                MemberOutput::ExchangeRequest { to, exchange } => {
                    self.cost.exchanges += 1;
                    self.cost.exchange_bytes += TCP_EXCHANGE_BYTES + encoded_bytes(&exchange);
                    self.transmit(
                        idx,
                        number(to),
                        SimulationEvent::ExchangeRequest(idx, exchange),
                    );
                }
                MemberOutput::ExchangeReply(exchange) => {
                    self.cost.exchange_bytes += encoded_bytes(&exchange);
                    let requester = requester.expect("a reply follows a request");
                    self.transmit(idx, requester, SimulationEvent::ExchangeReply(exchange));
                }
                MemberOutput::Changed => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, event: SimulationEvent) {
        if !self.blocked.contains(&(from, to)) {
            let delay = self.random.random_range(100..DELAY_MICROS_MAX);
            self.push(to, Duration::from_micros(delay), event);
        }
    }

    fn push(&mut self, to: usize, delay: Duration, event: SimulationEvent) {
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

/// Returns the encoded size of `value`, in bytes.
pub fn encoded_bytes<T: Serialize>(value: &T) -> u64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}
