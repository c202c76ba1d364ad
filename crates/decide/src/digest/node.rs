//! The part of one daemon in the exchange of digests.

use super::{
    book::{ZoneDigest, ZoneView},
    select_relays,
    wire::{DigestReply, DigestRequest, DigestRow, DigestScope, ZoneDelta, ZoneEntry, ZoneRelay},
};
use crate::{
    member::MemberRecord,
    name::{DaemonName, RegionName, ServiceName, ZoneName},
    route::ServerState,
    time::MonoTime,
};
use rand::{Rng, RngExt};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Time between two asks of the same zone, and between two asks of a daemon that is no relay.
const ASK_PERIOD: Duration = Duration::from_secs(5);
/// Time between two asks of a relay for zones that other relays have met.
const MEET_PERIOD: Duration = Duration::from_secs(10);
/// Time after which an ask without an answer is repeated elsewhere.
const ANSWER_SPAN: Duration = Duration::from_secs(2);
/// Time for which a reported load counts.
const LOAD_SPAN: Duration = Duration::from_secs(15);
/// Daemons of a zone that a digest names as entries for a service, and relays of the zone.
const ENTRIES_MAX: usize = 3;

/// What a node is made with.
#[derive(Clone, Debug)]
pub struct DigestSettings {
    /// The daemon.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// Differs from that of the daemon's earlier runs; not 0.
    pub run: u64,
    /// Control addresses of daemons of any zones.
    pub seeds: Vec<SocketAddr>,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum DigestInput {
    /// Time has passed.
    Tick,
    /// The living members of the own zone, this daemon included.
    Members(Vec<MemberRecord>),
    /// The load of this daemon's own servers in thousandths.
    Loads(Vec<(ServiceName, u16)>),
    /// The daemon `from` asks.
    Request(DigestRequest),
    /// The daemon at `from` has answered; `None` if it could not be reached.
    Reply {
        /// The control address that was asked.
        from: SocketAddr,
        /// The answer.
        reply: Option<DigestReply>,
    },
}

/// What the driver of a node has to do.
#[derive(Clone, Debug)]
pub enum DigestOutput {
    /// Ask the daemon at a control address and bring the answer as `Reply`.
    Request {
        /// Where to.
        to: SocketAddr,
        /// What.
        request: DigestRequest,
    },
    /// Answer a `Request`.
    Reply(DigestReply),
    /// What is known of other zones has changed.
    Changed,
}

/// The asks to one zone, or to a relay of the own zone.
#[derive(Default)]
struct AskState {
    /// The daemon that answered last, its run and version.
    source: Option<(SocketAddr, u64, u64)>,
    next: MonoTime,
}

/// One daemon's part in the exchange of digests.
pub struct DigestNode {
    settings: DigestSettings,
    version: u64,
    /// Version at which a zone was met for the first time.
    met_version: u64,
    own: ZoneDigest,
    is_relay: bool,
    relays: Vec<SocketAddr>,
    loads: Vec<(ServiceName, u16)>,
    /// Loads that members have reported here, by service, with the time.
    heard_loads: BTreeMap<ServiceName, Vec<(u16, MonoTime)>>,
    members: Vec<MemberRecord>,
    zones: BTreeMap<ZoneName, ZoneDigest>,
    zone_asks: BTreeMap<ZoneName, AskState>,
    relay_ask: AskState,
    seed_zones: BTreeMap<SocketAddr, Option<ZoneName>>,
    next_seed: MonoTime,
    stale: BTreeSet<ZoneName>,
    outputs: Vec<DigestOutput>,
}

impl DigestNode {
    /// Returns a node that knows no other zone yet.
    pub fn new(settings: DigestSettings) -> DigestNode {
        let seeds = settings.seeds.iter();
        DigestNode {
            version: 1,
            met_version: 1,
            own: ZoneDigest::new(settings.region.clone()),
            is_relay: false,
            relays: Vec::new(),
            loads: Vec::new(),
            heard_loads: BTreeMap::new(),
            members: Vec::new(),
            zones: BTreeMap::new(),
            zone_asks: BTreeMap::new(),
            relay_ask: AskState::default(),
            seed_zones: seeds.map(|seed| (*seed, None)).collect(),
            next_seed: MonoTime::ZERO,
            stale: BTreeSet::new(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Takes `input` in and returns what is to be done.
    pub fn step(
        &mut self,
        input: DigestInput,
        now: MonoTime,
        random: &mut impl Rng,
    ) -> Vec<DigestOutput> {
        match input {
            DigestInput::Tick => self.tick(now, random),
            DigestInput::Members(members) => self.take_members(members, now),
            DigestInput::Loads(loads) => self.loads = loads,
            DigestInput::Request(request) => self.answer(&request, now),
            DigestInput::Reply { from, reply } => self.learn(from, reply, now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether this daemon is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Returns what is known of the other zones.
    pub fn zones(&self, now: MonoTime) -> impl Iterator<Item = ZoneView<'_>> {
        let zones = self.zones.iter();
        zones.map(move |(zone, digest)| digest.view(zone, now))
    }

    fn tick(&mut self, now: MonoTime, random: &mut impl Rng) {
        if self.is_relay {
            self.ask_zones(now, random);
            self.ask_seeds(now);
        }
        self.ask_relay(now, random);
        self.age(now);
    }

    /// Asks each other zone that is due.
    fn ask_zones(&mut self, now: MonoTime, random: &mut impl Rng) {
        let from = self.settings.relay();
        for (zone, digest) in &self.zones {
            let state = self.zone_asks.entry(zone.clone()).or_default();
            let request = DigestRequest::first(from.clone(), DigestScope::Own);
            self.outputs
                .extend(state.ask(digest.relays(), request, now, random));
        }
    }

    /// Asks the seeds whose zone isn't heard.
    fn ask_seeds(&mut self, now: MonoTime) {
        if now < self.next_seed {
            return;
        }
        self.next_seed = now + ASK_PERIOD;
        let from = self.settings.relay();
        for (seed, zone) in &self.seed_zones {
            let digest = zone.as_ref().and_then(|zone| self.zones.get(zone));
            let is_own = zone.as_ref() == Some(&self.settings.zone);
            if !is_own && digest.is_none_or(|digest| digest.is_stale(now)) {
                let request = DigestRequest::first(from.clone(), DigestScope::Own);
                self.outputs
                    .push(DigestOutput::Request { to: *seed, request });
            }
        }
    }

    /// Asks a relay of the own zone: for the digests, or as another relay for zones that it has met.
    fn ask_relay(&mut self, now: MonoTime, random: &mut impl Rng) {
        let scope = match self.is_relay {
            true => DigestScope::Relays,
            false => DigestScope::Others,
        };
        let mut request = DigestRequest::first(self.settings.relay(), scope);
        request.loads = self.loads.clone();
        let Some(output) = self.relay_ask.ask(&self.relays, request, now, random) else {
            return;
        };
        self.outputs.push(output);
        if self.is_relay {
            self.relay_ask.next = now + MEET_PERIOD;
        }
    }

    /// Notes zones that have become stale, and forgets those silent for very long.
    fn age(&mut self, now: MonoTime) {
        let mut has_changed = false;
        for (zone, digest) in &mut self.zones {
            if digest.forget(now) {
                has_changed = true;
                self.zone_asks.remove(zone);
                self.relay_ask.source = None;
            }
            has_changed |= match digest.is_stale(now) {
                true => self.stale.insert(zone.clone()),
                false => self.stale.remove(zone),
            };
        }
        if has_changed {
            self.outputs.push(DigestOutput::Changed);
        }
    }

    fn take_members(&mut self, members: Vec<MemberRecord>, now: MonoTime) {
        let ranks = select_relays(members.iter().map(|record| &record.name));
        let relays = ranks.iter().map(|idx| &members[*idx]);
        let was_relay = self.is_relay;
        self.is_relay = relays.clone().any(|relay| relay.name == self.settings.name);
        self.relays = relays.map(|relay| relay.control).collect();
        let named = self.relays.iter().copied().take(ENTRIES_MAX).collect();
        if self.own.set_relays(named, self.version + 1) {
            self.version += 1;
        }
        self.relays.retain(|relay| *relay != self.settings.control);
        if was_relay != self.is_relay {
            self.relay_ask.source = None;
        }
        self.members = members;
        self.digest_own(now);
    }

    /// Builds the digest of the own zone anew.
    fn digest_own(&mut self, now: MonoTime) {
        let mut rows: BTreeMap<&ServiceName, DigestRow> = BTreeMap::new();
        for member in &self.members {
            for server in &member.servers {
                if !matches!(server.state, ServerState::Starting | ServerState::Serving) {
                    continue;
                }
                let row = rows.entry(&server.service).or_insert_with(|| DigestRow {
                    service: server.service.clone(),
                    servers: 0,
                    slots: 0,
                    load_permille: 0,
                    entries: Vec::new(),
                });
                row.servers += 1;
                row.slots += server.slots;
                let entry = ZoneEntry {
                    daemon: member.name.clone(),
                    forward: member.forward,
                };
                if row.entries.len() < ENTRIES_MAX && !row.entries.contains(&entry) {
                    row.entries.push(entry);
                }
            }
        }
        let mut rows: Vec<DigestRow> = rows.into_values().collect();
        for row in &mut rows {
            row.load_permille = self.load(&row.service, now);
        }
        self.own.heard = Some(now);
        if self.own.replace(rows, self.version + 1) {
            self.version += 1;
        }
    }

    /// Returns the mean of the loads that were reported for `service`.
    fn load(&self, service: &ServiceName, now: MonoTime) -> u16 {
        let heard = self.heard_loads.get(service).into_iter().flatten();
        let fresh = heard.filter(|(_, at)| now.since(*at) < LOAD_SPAN);
        let own = self.loads.iter().filter(|(name, _)| name == service);
        let loads = fresh.map(|(load, _)| load).chain(own.map(|(_, load)| load));
        let loads: Vec<u64> = loads.map(|load| u64::from(*load)).collect();
        let mean = loads.iter().sum::<u64>() / u64::try_from(loads.len().max(1)).unwrap_or(1);
        u16::try_from(mean).unwrap_or(u16::MAX)
    }

    fn answer(&mut self, request: &DigestRequest, now: MonoTime) {
        self.take_loads(&request.loads, now);
        if request.scope == DigestScope::Own {
            self.meet(request.from.clone());
            self.digest_own(now);
        }
        let is_full = request.run != self.settings.run;
        let version = if is_full { 0 } else { request.version };
        let zones = match request.scope {
            DigestScope::Own => vec![self.own.delta(&self.settings.zone, version, now)],
            DigestScope::Others => self.direct_deltas(version, now),
            DigestScope::Relays => Vec::new(),
        };
        let reply = DigestReply {
            zone: self.settings.zone.clone(),
            run: self.settings.run,
            version: self.version,
            is_full,
            zones,
            known_zones: if self.met_version > version {
                self.known_zones()
            } else {
                Vec::new()
            },
        };
        self.outputs.push(DigestOutput::Reply(reply));
    }

    fn direct_deltas(&self, version: u64, now: MonoTime) -> Vec<ZoneDelta> {
        let direct = self.zones.iter().filter(|(_, digest)| digest.is_direct);
        let deltas = direct.map(|(zone, digest)| digest.delta(zone, version, now));
        deltas.collect()
    }

    fn known_zones(&self) -> Vec<ZoneRelay> {
        let relays = self.zones.iter().filter_map(|(zone, digest)| {
            Some(ZoneRelay {
                zone: zone.clone(),
                region: digest.region.clone(),
                control: *digest.relays().first()?,
            })
        });
        relays.collect()
    }

    fn take_loads(&mut self, loads: &[(ServiceName, u16)], now: MonoTime) {
        for (service, load) in loads {
            let heard = self.heard_loads.entry(service.clone()).or_default();
            heard.retain(|(_, at)| now.since(*at) < LOAD_SPAN);
            heard.push((*load, now));
        }
    }

    fn learn(&mut self, from: SocketAddr, reply: Option<DigestReply>, now: MonoTime) {
        let Some(reply) = reply else {
            self.give_up(from);
            return;
        };
        if let Some(zone) = self.seed_zones.get_mut(&from) {
            *zone = Some(reply.zone.clone());
        }
        let is_own_zone = reply.zone == self.settings.zone;
        let source = Some((from, reply.run, reply.version));
        match is_own_zone {
            // Relays ask one another at random.
            true if self.is_relay => {}
            true => self.relay_ask.source = source,
            false => self.zone_asks.entry(reply.zone.clone()).or_default().source = source,
        }
        let mut has_changed = false;
        for delta in reply.zones {
            has_changed |= self.learn_zone(delta, reply.is_full, !is_own_zone, now);
        }
        for relay in reply.known_zones {
            self.meet(relay);
        }
        if has_changed {
            self.outputs.push(DigestOutput::Changed);
        }
    }

    fn learn_zone(
        &mut self,
        delta: ZoneDelta,
        is_full: bool,
        is_direct: bool,
        now: MonoTime,
    ) -> bool {
        if delta.zone == self.settings.zone {
            return false;
        }
        // One more for a zone that is met for the first time.
        let version = self.version + 2;
        let digest = self.zone(delta.zone, delta.region);
        let has_moved = digest.set_relays(delta.relays, version);
        digest.is_direct = is_direct;
        let age = Duration::from_millis(u64::from(delta.age_ms));
        let is_news = digest.hear(age, now);
        let has_changed = match is_full {
            true => digest.replace(delta.rows, version),
            false => digest.update(delta.rows, version),
        };
        if has_changed || has_moved {
            self.version = version;
        }
        is_news || has_changed
    }

    /// Takes in a zone that is known by name only.
    fn meet(&mut self, relay: ZoneRelay) {
        if relay.zone == self.settings.zone {
            return;
        }
        let version = self.version + 1;
        let digest = self.zone(relay.zone, relay.region);
        if digest.relays().is_empty() {
            digest.set_relays(vec![relay.control], version);
        }
    }

    /// Returns the digest of `zone`, which may be met for the first time.
    fn zone(&mut self, zone: ZoneName, region: RegionName) -> &mut ZoneDigest {
        if !self.zones.contains_key(&zone) {
            self.version += 1;
            self.met_version = self.version;
        }
        let zones = self.zones.entry(zone);
        zones.or_insert_with(|| ZoneDigest::new(region))
    }

    /// Asks elsewhere next time.
    fn give_up(&mut self, from: SocketAddr) {
        let asks = self.zone_asks.values_mut().chain([&mut self.relay_ask]);
        for ask in asks {
            if ask.source.is_some_and(|(addr, ..)| addr == from) {
                ask.source = None;
            }
        }
    }
}

impl DigestSettings {
    fn relay(&self) -> ZoneRelay {
        ZoneRelay {
            zone: self.zone.clone(),
            region: self.region.clone(),
            control: self.control,
        }
    }
}

impl AskState {
    /// Completes `request` if one is due, to the daemon that answered last or to a random one of `relays`.
    fn ask(
        &mut self,
        relays: &[SocketAddr],
        mut request: DigestRequest,
        now: MonoTime,
        random: &mut impl Rng,
    ) -> Option<DigestOutput> {
        if now < self.next || relays.is_empty() {
            return None;
        }
        let source = self.source.filter(|(addr, ..)| relays.contains(addr));
        let to = match source {
            Some((addr, run, version)) => {
                (request.run, request.version) = (run, version);
                addr
            }
            None => relays[random.random_range(0..relays.len())],
        };
        self.next = now
            + if source.is_some() {
                ASK_PERIOD
            } else {
                ANSWER_SPAN
            };
        Some(DigestOutput::Request { to, request })
    }
}

impl DigestRequest {
    fn first(from: ZoneRelay, scope: DigestScope) -> DigestRequest {
        DigestRequest {
            from,
            scope,
            run: 0,
            version: 0,
            loads: Vec::new(),
        }
    }
}
