//! The state machine of one member.

use super::{
    TICK_INTERVAL,
    probe::ProbeSchedule,
    queue::NewsQueue,
    table::{MemberTable, MemberView, MergeEffect},
    wire::{
        DATAGRAM_BYTES_MAX, MemberExchange, MemberMessage, MemberPacket, MemberRecord,
        MemberServer, MemberUpdate, SERVERS_MAX,
    },
};
use crate::{
    name::{DaemonName, Incarnation, ZoneName},
    time::MonoTime,
};
use rand::Rng;
use std::{net::SocketAddr, time::Duration};

/// A gap between two steps from which on this daemon, not the others, was late.
const LATE_SPAN: Duration = TICK_INTERVAL.saturating_mul(6);
/// A gap from which on this daemon no longer trusts its table.
const FREEZE_SPAN: Duration = Duration::from_secs(5);
/// Time after which a daemon whom nobody answers trusts its own table.
const JOIN_SPAN: Duration = Duration::from_secs(3);

/// What a node is made with.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The daemon; unique over the whole installation.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Larger than that of the daemon's earlier runs, as far as known.
    pub incarnation: Incarnation,
    /// Where it takes gossip.
    pub gossip: SocketAddr,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// Where it takes forwarded requests.
    pub forward: SocketAddr,
    /// Some daemons to join; those of other zones are of no use here, and do no harm.
    pub seeds: Vec<MemberSeed>,
}

/// Where a daemon to join listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberSeed {
    /// Where it takes gossip.
    pub gossip: SocketAddr,
    /// Where it takes control messages.
    pub control: SocketAddr,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Time has passed.
    Tick,
    /// A datagram has come.
    Packet {
        /// Where it came from.
        from: SocketAddr,
        /// What it brought.
        packet: MemberPacket,
    },
    /// Another member sends its table and wants this one's.
    ExchangeRequest(MemberExchange),
    /// Another member has answered an exchange.
    ExchangeReply(MemberExchange),
    /// The backend servers of this host have changed.
    Servers(Vec<MemberServer>),
    /// The daemon stops.
    Leave,
}

/// What the driver of a node has to do.
#[derive(Clone, Debug)]
pub enum MemberOutput {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        packet: MemberPacket,
    },
    /// Send the table over a stream and bring the answer as `ExchangeReply`.
    ExchangeRequest {
        /// The control address to send it to.
        to: SocketAddr,
        /// The table.
        exchange: MemberExchange,
    },
    /// Answer an `ExchangeRequest`.
    ExchangeReply(MemberExchange),
    /// The members or their servers have changed.
    Changed,
}

/// One member of a zone.
pub struct MemberNode {
    pub(super) zone: ZoneName,
    pub(super) own: MemberRecord,
    pub(super) has_left: bool,
    pub(super) seeds: Vec<MemberSeed>,
    pub(super) table: MemberTable,
    pub(super) table_hash: u64,
    pub(super) queue: NewsQueue,
    pub(super) schedule: ProbeSchedule,
    pub(super) last_step: MonoTime,
    pub(super) next_gossip: MonoTime,
    pub(super) next_contact: MonoTime,
    pub(super) next_seed: MonoTime,
    pub(super) next_join: MonoTime,
    /// Until when the table may be wrong, unless a settled member is heard first.
    pub(super) unsettled_until: Option<MonoTime>,
    /// When this table last changed.
    pub(super) changed: MonoTime,
    pub(super) next_exchange: MonoTime,
    pub(super) outputs: Vec<MemberOutput>,
}

impl MemberNode {
    /// Returns a node that knows nobody yet.
    pub fn new(settings: MemberSettings, now: MonoTime) -> MemberNode {
        let own = MemberRecord {
            name: settings.name,
            incarnation: settings.incarnation,
            gossip: settings.gossip,
            control: settings.control,
            forward: settings.forward,
            servers: Vec::new(),
        };
        let seeds = settings.seeds.into_iter();
        let table = MemberTable::new(own.name.clone());
        MemberNode {
            zone: settings.zone,
            seeds: seeds.filter(|seed| seed.gossip != own.gossip).collect(),
            table_hash: table.hash(&own),
            table,
            own,
            has_left: false,
            queue: NewsQueue::default(),
            schedule: ProbeSchedule::default(),
            last_step: now,
            next_gossip: now,
            next_contact: now,
            next_seed: now,
            next_join: now,
            unsettled_until: Some(now + JOIN_SPAN),
            changed: now,
            next_exchange: now,
            outputs: Vec::new(),
        }
    }

    /// Takes `input` in and returns what is to be done.
    pub fn step(
        &mut self,
        input: MemberInput,
        now: MonoTime,
        random: &mut impl Rng,
    ) -> Vec<MemberOutput> {
        self.check_lateness(now);
        match input {
            MemberInput::Tick => self.tick(now, random),
            MemberInput::Packet { from, packet } => self.receive(from, packet, now, random),
            MemberInput::ExchangeRequest(exchange) => self.answer_exchange(&exchange, now, random),
            MemberInput::ExchangeReply(exchange) => self.learn(&exchange, now, random),
            MemberInput::Servers(servers) => self.announce(servers, now),
            MemberInput::Leave => self.leave(now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns what this member says of itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the other members that are held to live.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.table.views()
    }

    /// Returns whether the table was learned since the daemon started or froze.
    pub fn is_settled(&self) -> bool {
        self.unsettled_until.is_none()
    }

    /// Tells a late step of this daemon from silence of the others.
    fn check_lateness(&mut self, now: MonoTime) {
        let late = now.since(self.last_step);
        self.last_step = now;
        if late < LATE_SPAN {
            return;
        }
        self.table.postpone(late);
        self.schedule.restart(now);
        self.schedule.worsen();
        self.changed = now;
        if late >= FREEZE_SPAN {
            self.unsettled_until = Some(now + JOIN_SPAN);
            self.next_join = now;
        }
    }

    pub(super) fn merge(&mut self, update: &MemberUpdate, now: MonoTime, random: &mut impl Rng) {
        let name = update.name();
        let is_new = self.table.key(name).is_none();
        match self.table.merge(update, now) {
            MergeEffect::Nothing => {}
            MergeEffect::Refute(incarnation) => self.refute(update, incarnation),
            MergeEffect::Changed => {
                if let Some(key) = self.table.key(name).filter(|_| is_new) {
                    self.schedule.insert(key, random);
                }
                self.queue.push(name);
                self.note_change();
            }
        }
    }

    /// Outbids what is said against this member, or by an earlier run of it.
    fn refute(&mut self, update: &MemberUpdate, incarnation: Incarnation) {
        let is_echo = matches!(update, MemberUpdate::Alive(record) if *record == self.own);
        if self.has_left || is_echo || incarnation < self.own.incarnation {
            return;
        }
        if matches!(update, MemberUpdate::Dead(..)) {
            // What this member holds against others dates from when they didn't hear it.
            self.queue = NewsQueue::default();
        }
        self.schedule.worsen();
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.tell_own();
    }

    fn announce(&mut self, mut servers: Vec<MemberServer>, now: MonoTime) {
        servers.truncate(SERVERS_MAX);
        if self.own.servers == servers {
            return;
        }
        self.own.servers = servers;
        self.own.incarnation.0 += 1;
        self.next_gossip = now;
        self.tell_own();
    }

    fn leave(&mut self, now: MonoTime) {
        self.has_left = true;
        self.own.incarnation.0 += 1;
        self.next_gossip = now;
        self.tell_own();
    }

    fn tell_own(&mut self) {
        let name = self.own.name.clone();
        self.queue.push(&name);
        self.note_change();
    }

    pub(super) fn note_change(&mut self) {
        self.table_hash = self.table.hash(&self.own);
        self.changed = self.last_step;
        self.outputs.push(MemberOutput::Changed);
    }

    /// Returns what is held against `name`, so that it can refute.
    pub(super) fn accusation(&self, name: &DaemonName) -> Option<MemberUpdate> {
        let update = self.table.update(name)?;
        Some(update).filter(|update| !matches!(update, MemberUpdate::Alive(_)))
    }

    pub(super) fn own_update(&self) -> MemberUpdate {
        if self.has_left {
            return MemberUpdate::Left(self.own.name.clone(), self.own.incarnation);
        }
        MemberUpdate::Alive(self.own.clone())
    }

    pub(super) fn own_exchange(&self) -> MemberExchange {
        MemberExchange {
            zone: self.zone.clone(),
            sender: self.own.clone(),
            is_settled: self.is_settled(),
            updates: Vec::new(),
        }
    }

    pub(super) fn exchange(&mut self, to: SocketAddr, kind: ExchangeKind) {
        let mut exchange = self.own_exchange();
        if exchange.is_settled && kind == ExchangeKind::Table {
            exchange.updates = self.table.updates();
        }
        self.outputs
            .push(MemberOutput::ExchangeRequest { to, exchange });
    }

    /// Sends a packet with `first` and as much news as fits.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        seq: u32,
        message: MemberMessage,
        first: Option<MemberUpdate>,
    ) {
        let mut packet = MemberPacket {
            from: self.own.name.clone(),
            zone: self.zone.clone(),
            table_hash: self.table_hash,
            seq,
            message,
            updates: Vec::from_iter(first),
        };
        let first_bytes: usize = packet.updates.iter().map(MemberUpdate::bytes_max).sum();
        let mut bytes = packet.bytes_max() + first_bytes;
        let own = self.own_update();
        let (table, updates) = (&self.table, &mut packet.updates);
        self.queue.tell(table.len() + 1, |name| {
            let update = match name == own.name() {
                true => Some(own.clone()),
                false => table.update(name),
            };
            let Some(update) = update else {
                return true;
            };
            let fits = bytes + update.bytes_max() <= DATAGRAM_BYTES_MAX;
            if fits {
                bytes += update.bytes_max();
                updates.push(update);
            }
            fits
        });
        self.outputs.push(MemberOutput::Send { to, packet });
    }
}

/// What a member gives of its table when it asks for another's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExchangeKind {
    /// Its own record, to a daemon that may be of another zone or know better.
    Introduction,
    /// All of it.
    Table,
}
