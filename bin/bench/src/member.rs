//! A zone of members in virtual time, whose packets are encoded and counted.

use agatehill_decide::{
    member::{
        MemberExchange, MemberInput, MemberNode, MemberOutput, MemberPacket, MemberSeed,
        MemberSettings, MemberStatus, ServerNote, TICK_SPAN,
    },
    name::{DaemonName, Incarnation, ServiceName, ZoneName},
    route::ServerState,
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Bytes of the IPv4 and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;
/// Bytes of the headers of a connection that carries one exchange, and of its set-up and end.
const TCP_EXCHANGE_BYTES: u64 = 600;
/// Longest time of a message on its way, in microseconds.
const DELAY_MICROS_MAX: u64 = 1_500;

enum ZoneEvent {
    Tick,
    Packet(usize, MemberPacket),
    Asked(usize, MemberExchange),
    Exchanged(MemberExchange),
}

/// What the members have sent and spent together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneCost {
    /// Datagrams and their bytes, headers included.
    pub(crate) datagrams: u64,
    /// Bytes of datagrams.
    pub(crate) datagram_bytes: u64,
    /// Whole tables exchanged.
    pub(crate) exchanges: u64,
    /// Their bytes.
    pub(crate) exchange_bytes: u64,
    /// Time in the state machines, encoding and decoding not included.
    pub(crate) step_time: Duration,
}

/// Members of one zone.
pub(crate) struct MemberZone {
    pub(crate) now: MonoTime,
    pub(crate) random: StdRng,
    pub(crate) cost: ZoneCost,
    nodes: Vec<Option<MemberNode>>,
    runs: Vec<u64>,
    events: BTreeMap<(MonoTime, u64), (usize, ZoneEvent)>,
    sequence: u64,
}

impl MemberZone {
    /// Starts `count` members with the first two as seeds.
    pub(crate) fn start(count: usize, seed: u64) -> MemberZone {
        let mut zone = MemberZone {
            now: MonoTime::ZERO,
            random: StdRng::seed_from_u64(seed),
            cost: ZoneCost::default(),
            nodes: Vec::new(),
            runs: vec![0; count],
            events: BTreeMap::new(),
            sequence: 0,
        };
        zone.nodes.resize_with(count, || None);
        (0..count).for_each(|idx| zone.restart(idx));
        zone
    }

    /// Starts a member's process.
    pub(crate) fn restart(&mut self, idx: usize) {
        self.runs[idx] += 1;
        let seed = |idx| MemberSeed {
            gossip: addr(idx),
            control: addr(idx),
        };
        let settings = MemberSettings {
            name: DaemonName::try_from(format!("herning-1-host-{idx}")).expect("a plain name"),
            zone: ZoneName::try_from("herning-1").expect("a plain name"),
            incarnation: Incarnation(1_790_000_000_000_000 + self.runs[idx]),
            gossip: addr(idx),
            control: addr(idx),
            forward: addr(idx),
            seeds: vec![seed(0), seed(1)],
        };
        self.nodes[idx] = Some(MemberNode::new(settings, self.now));
        self.announce(idx, ServerState::Serving);
        let wait = self.random.random_range(0..TICK_SPAN.as_micros() as u64);
        self.push(idx, Duration::from_micros(wait), ZoneEvent::Tick);
    }

    /// Ends a member's process without a word.
    pub(crate) fn kill(&mut self, idx: usize) {
        self.nodes[idx] = None;
        self.events.retain(|_, (to, _)| *to != idx);
    }

    /// Makes a member tell that it leaves.
    pub(crate) fn leave(&mut self, idx: usize) {
        self.step(idx, MemberInput::Leave, None);
    }

    /// Makes a member announce a backend server in `state`.
    pub(crate) fn announce(&mut self, idx: usize, state: ServerState) {
        let note = ServerNote {
            service: ServiceName::try_from(format!("service-{idx}")).expect("a plain name"),
            backend: addr(idx),
            slots: 50,
            state,
        };
        self.step(idx, MemberInput::Servers(vec![note]), None);
    }

    /// Members that would still send calls to the server of `idx`.
    pub(crate) fn offering(&self, idx: usize) -> usize {
        let offers = |node: &&MemberNode| {
            let mut alive = node
                .members()
                .filter(|view| view.status == MemberStatus::Alive);
            let record = alive.find(|view| view.record.gossip == addr(idx));
            record.is_some_and(|view| {
                let mut notes = view.record.servers.iter();
                notes.any(|note| note.state == ServerState::Serving)
            })
        };
        self.nodes.iter().flatten().filter(offers).count()
    }

    /// Runs until `done`, for `limit` at most; returns the time that it took.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&MemberZone) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Duration::from_millis(50));
        }
        Some(self.now.since(start))
    }

    /// Runs for `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            if let Some(((at, _), (to, event))) = self.events.pop_first() {
                self.now = at;
                self.handle(to, event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, to: usize, event: ZoneEvent) {
        match event {
            ZoneEvent::Tick => {
                self.push(to, TICK_SPAN, ZoneEvent::Tick);
                self.step(to, MemberInput::Tick, None);
            }
            ZoneEvent::Packet(from, packet) => {
                let from = addr(from);
                self.step(to, MemberInput::Packet { from, packet }, None);
            }
            ZoneEvent::Asked(from, table) => self.step(to, MemberInput::Asked(table), Some(from)),
            ZoneEvent::Exchanged(table) => self.step(to, MemberInput::Exchanged(table), None),
        }
    }

    fn step(&mut self, idx: usize, input: MemberInput, asker: Option<usize>) {
        let Some(node) = &mut self.nodes[idx] else {
            return;
        };
        let started = Instant::now();
        let outputs = node.step(input, self.now, &mut self.random);
        self.cost.step_time += started.elapsed();
        for output in outputs {
            match output {
                MemberOutput::Send { to, packet } => {
                    self.cost.datagrams += 1;
                    self.cost.datagram_bytes += UDP_HEADER_BYTES + encoded_bytes(&packet);
                    self.transmit(number(to), ZoneEvent::Packet(idx, packet));
                }
                MemberOutput::Exchange { to, exchange } => {
                    self.cost.exchanges += 1;
                    self.cost.exchange_bytes += TCP_EXCHANGE_BYTES + encoded_bytes(&exchange);
                    self.transmit(number(to), ZoneEvent::Asked(idx, exchange));
                }
                MemberOutput::Reply(exchange) => {
                    self.cost.exchange_bytes += encoded_bytes(&exchange);
                    if let Some(asker) = asker {
                        self.transmit(asker, ZoneEvent::Exchanged(exchange));
                    }
                }
                MemberOutput::Changed => {}
            }
        }
    }

    fn transmit(&mut self, to: usize, event: ZoneEvent) {
        let delay = self.random.random_range(100..DELAY_MICROS_MAX);
        self.push(to, Duration::from_micros(delay), event);
    }

    fn push(&mut self, to: usize, delay: Duration, event: ZoneEvent) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.insert((at, self.sequence), (to, event));
    }
}

/// Returns the bytes of `value` on the wire.
pub(crate) fn encoded_bytes<T: serde::Serialize>(value: &T) -> u64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}

fn addr(idx: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(idx).unwrap_or(u16::MAX)))
}

fn number(addr: SocketAddr) -> usize {
    usize::from(addr.port())
}
