//! State machine of one daemon in the digest exchange.

mod request;

use super::{
    select_relays,
    wire::{DigestReply, DigestRequest, DigestRow, DigestScope, ZoneDelta, ZoneEntry, ZoneRelay},
    zone_digest::{ZoneDigest, ZoneView},
};
use crate::{
    member::MemberRecord,
    name::{DaemonName, RegionName, ServiceName, ZoneName},
    route::ServerState,
    time::MonoTime,
};
use rand::Rng;
use request::{REQUEST_INTERVAL, RequestState};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Time between two requests of a relay for zones that other relays discovered.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a reported load is used.
const LOAD_RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of entry daemons per service, and of relays, that a digest names.
const ENTRIES_MAX: usize = 3;

/// Settings of a [`DigestNode`].
#[derive(Clone, Debug)]
pub struct DigestSettings {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Region of the daemon.
    pub region: RegionName,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Nonzero number that differs from those of the daemon's earlier runs.
    pub run: u64,
    /// Control addresses of daemons in any zone.
    pub seeds: Vec<SocketAddr>,
}

/// An input of a [`DigestNode`].
#[derive(Clone, Debug)]
pub enum DigestInput {
    /// Time has passed.
    Tick,
    /// The living members of this daemon's zone, itself included.
    Members(Vec<MemberRecord>),
    /// Load of this daemon's own servers by service, in thousandths of the slots.
    Loads(Vec<(ServiceName, u16)>),
    /// Another daemon sent a request.
    Request(DigestRequest),
    /// A request was replied to or failed.
    Reply {
        /// Control address that the request was sent to.
        from: SocketAddr,
        /// The reply; `None` if the daemon could not be reached.
        reply: Option<DigestReply>,
    },
}

/// An action that a [`DigestNode`] requests from its driver.
#[derive(Clone, Debug)]
pub enum DigestOutput {
    /// Send a request and pass the reply in as [`DigestInput::Reply`].
    Request {
        /// Control address of the receiver.
        to: SocketAddr,
        /// Request to send.
        request: DigestRequest,
    },
    /// Reply to a [`DigestInput::Request`].
    Reply(DigestReply),
    /// The digests of other zones changed.
    Changed,
}

/// One daemon in the digest exchange.
pub struct DigestNode {
    settings: DigestSettings,
    version: u64,
    /// Version at which the last new zone was discovered.
    discovery_version: u64,
    own: ZoneDigest,
    is_relay: bool,
    relays: Vec<SocketAddr>,
    loads: Vec<(ServiceName, u16)>,
    /// Loads that members reported to this daemon, by service, with the time of the report.
    member_loads: BTreeMap<ServiceName, Vec<(u16, MonoTime)>>,
    members: Vec<MemberRecord>,
    zones: BTreeMap<ZoneName, ZoneDigest>,
    zone_requests: BTreeMap<ZoneName, RequestState>,
    relay_request: RequestState,
    seed_zones: BTreeMap<SocketAddr, Option<ZoneName>>,
    next_seed: MonoTime,
    stale: BTreeSet<ZoneName>,
    outputs: Vec<DigestOutput>,
}

impl DigestNode {
    /// Returns a node that knows no other zone.
    pub fn new(settings: DigestSettings) -> DigestNode {
        let seeds = settings.seeds.iter();
        DigestNode {
            version: 1,
            discovery_version: 1,
            own: ZoneDigest::new(settings.region.clone()),
            is_relay: false,
            relays: Vec::new(),
            loads: Vec::new(),
            member_loads: BTreeMap::new(),
            members: Vec::new(),
            zones: BTreeMap::new(),
            zone_requests: BTreeMap::new(),
            relay_request: RequestState::default(),
            seed_zones: seeds.map(|seed| (*seed, None)).collect(),
            next_seed: MonoTime::ZERO,
            stale: BTreeSet::new(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Applies `input` and returns the actions for the driver.
    pub fn step(
        &mut self,
        input: DigestInput,
        now: MonoTime,
        random: &mut impl Rng,
    ) -> Vec<DigestOutput> {
        match input {
            DigestInput::Tick => self.tick(now, random),
            DigestInput::Members(members) => self.set_members(members, now),
            DigestInput::Loads(loads) => self.loads = loads,
            DigestInput::Request(request) => self.reply_to(&request, now),
            DigestInput::Reply { from, reply } => self.apply_reply(from, reply, now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether this daemon is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Returns the other zones.
    pub fn zones(&self, now: MonoTime) -> impl Iterator<Item = ZoneView<'_>> {
        let zones = self.zones.iter();
        zones.map(move |(zone, digest)| digest.view(zone, now))
    }

    fn tick(&mut self, now: MonoTime, random: &mut impl Rng) {
        if self.is_relay {
            self.request_zones(now, random);
            self.request_seeds(now);
        }
        self.request_relay(now, random);
        self.expire(now);
    }

    /// Sends a request to each other zone that is due.
    fn request_zones(&mut self, now: MonoTime, random: &mut impl Rng) {
        let from = self.settings.own_relay();
        for (zone, digest) in &self.zones {
            let state = self.zone_requests.entry(zone.clone()).or_default();
            let request = DigestRequest::initial(from.clone(), DigestScope::Own);
            self.outputs
                .extend(state.request_if_due(digest.relays(), request, now, random));
        }
    }

    /// Sends requests to the seeds whose zone is unknown or stale.
    fn request_seeds(&mut self, now: MonoTime) {
        if now < self.next_seed {
            return;
        }
        self.next_seed = now + REQUEST_INTERVAL;
        let from = self.settings.own_relay();
        for (seed, zone) in &self.seed_zones {
            let digest = zone.as_ref().and_then(|zone| self.zones.get(zone));
            let is_own = zone.as_ref() == Some(&self.settings.zone);
            if !is_own && digest.is_none_or(|digest| digest.is_stale(now)) {
                let request = DigestRequest::initial(from.clone(), DigestScope::Own);
                self.outputs
                    .push(DigestOutput::Request { to: *seed, request });
            }
        }
    }

    /// Sends a request to a relay of the own zone: for digests or, if this daemon is a relay
    /// itself, for zones that the other relay discovered.
    fn request_relay(&mut self, now: MonoTime, random: &mut impl Rng) {
        let scope = match self.is_relay {
            true => DigestScope::Relays,
            false => DigestScope::Others,
        };
        let mut request = DigestRequest::initial(self.settings.own_relay(), scope);
        request.loads = self.loads.clone();
        let Some(output) = self
            .relay_request
            .request_if_due(&self.relays, request, now, random)
        else {
            return;
        };
        self.outputs.push(output);
        if self.is_relay {
            self.relay_request.next = now + DISCOVERY_INTERVAL;
        }
    }

    /// Updates the set of stale zones and removes expired rows.
    fn expire(&mut self, now: MonoTime) {
        let mut has_changed = false;
        for (zone, digest) in &mut self.zones {
            if digest.remove_expired_rows(now) {
                has_changed = true;
                self.zone_requests.remove(zone);
                self.relay_request.source = None;
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

    fn set_members(&mut self, members: Vec<MemberRecord>, now: MonoTime) {
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
            self.relay_request.source = None;
        }
        self.members = members;
        self.rebuild_own(now);
    }

    /// Rebuilds the digest of the own zone.
    fn rebuild_own(&mut self, now: MonoTime) {
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
            row.load_permille = self.mean_load(&row.service, now);
        }
        self.own.last_contact = Some(now);
        if self.own.replace(rows, self.version + 1) {
            self.version += 1;
        }
    }

    /// Returns the mean of the recent loads of `service`, the own one included.
    fn mean_load(&self, service: &ServiceName, now: MonoTime) -> u16 {
        let reported = self.member_loads.get(service).into_iter().flatten();
        let fresh = reported.filter(|(_, at)| now.since(*at) < LOAD_RETENTION);
        let own = self.loads.iter().filter(|(name, _)| name == service);
        let loads = fresh.map(|(load, _)| load).chain(own.map(|(_, load)| load));
        let loads: Vec<u64> = loads.map(|load| u64::from(*load)).collect();
        let mean = loads.iter().sum::<u64>() / u64::try_from(loads.len().max(1)).unwrap_or(1);
        u16::try_from(mean).unwrap_or(u16::MAX)
    }

    fn reply_to(&mut self, request: &DigestRequest, now: MonoTime) {
        self.record_loads(&request.loads, now);
        if request.scope == DigestScope::Own {
            self.discover(request.from.clone());
            self.rebuild_own(now);
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
            known_zones: if self.discovery_version > version {
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

    fn record_loads(&mut self, loads: &[(ServiceName, u16)], now: MonoTime) {
        for (service, load) in loads {
            let reported = self.member_loads.entry(service.clone()).or_default();
            reported.retain(|(_, at)| now.since(*at) < LOAD_RETENTION);
            reported.push((*load, now));
        }
    }

    fn apply_reply(&mut self, from: SocketAddr, reply: Option<DigestReply>, now: MonoTime) {
        let Some(reply) = reply else {
            self.forget_source(from);
            return;
        };
        if let Some(zone) = self.seed_zones.get_mut(&from) {
            *zone = Some(reply.zone.clone());
        }
        let is_own_zone = reply.zone == self.settings.zone;
        let source = Some((from, reply.run, reply.version));
        match is_own_zone {
            // A relay picks another relay at random for each request.
            true if self.is_relay => {}
            true => self.relay_request.source = source,
            false => {
                self.zone_requests
                    .entry(reply.zone.clone())
                    .or_default()
                    .source = source
            }
        }
        let mut has_changed = false;
        for delta in reply.zones {
            has_changed |= self.apply_delta(delta, reply.is_full, !is_own_zone, now);
        }
        for relay in reply.known_zones {
            self.discover(relay);
        }
        if has_changed {
            self.outputs.push(DigestOutput::Changed);
        }
    }

    fn apply_delta(
        &mut self,
        delta: ZoneDelta,
        is_full: bool,
        is_direct: bool,
        now: MonoTime,
    ) -> bool {
        if delta.zone == self.settings.zone {
            return false;
        }
        // `zone_digest` uses up one version if the zone is new.
        let version = self.version + 2;
        let digest = self.zone_digest(delta.zone, delta.region);
        let has_new_relays = digest.set_relays(delta.relays, version);
        digest.is_direct = is_direct;
        let age = Duration::from_millis(u64::from(delta.age_ms));
        let is_staleness_changed = digest.record_contact(age, now);
        let has_changed = match is_full {
            true => digest.replace(delta.rows, version),
            false => digest.update(delta.rows, version),
        };
        if has_changed || has_new_relays {
            self.version = version;
        }
        is_staleness_changed || has_changed
    }

    /// Adds the zone of `relay` if it is new, with this relay if no other is known.
    fn discover(&mut self, relay: ZoneRelay) {
        if relay.zone == self.settings.zone {
            return;
        }
        let version = self.version + 1;
        let digest = self.zone_digest(relay.zone, relay.region);
        if digest.relays().is_empty() {
            digest.set_relays(vec![relay.control], version);
        }
    }

    /// Returns the digest of `zone`, which is added if it is new.
    fn zone_digest(&mut self, zone: ZoneName, region: RegionName) -> &mut ZoneDigest {
        if !self.zones.contains_key(&zone) {
            self.version += 1;
            self.discovery_version = self.version;
        }
        let zones = self.zones.entry(zone);
        zones.or_insert_with(|| ZoneDigest::new(region))
    }

    /// Makes the next requests go to another daemon than `from`.
    fn forget_source(&mut self, from: SocketAddr) {
        let requests = self
            .zone_requests
            .values_mut()
            .chain([&mut self.relay_request]);
        for state in requests {
            if state.source.is_some_and(|(addr, ..)| addr == from) {
                state.source = None;
            }
        }
    }
}

impl DigestSettings {
    fn own_relay(&self) -> ZoneRelay {
        ZoneRelay {
            zone: self.zone.clone(),
            region: self.region.clone(),
            control: self.control,
        }
    }
}
