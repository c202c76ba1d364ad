//! State machine of one member.

use super::{
    TICK_INTERVAL,
    probe::ProbeSchedule,
    queue::UpdateQueue,
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

/// Gap between two steps from which this daemon counts as the late one, not the others.
const LATE_STEP_DELAY: Duration = TICK_INTERVAL.saturating_mul(6);
/// Gap between two steps from which this daemon's table counts as outdated.
const FREEZE_DELAY: Duration = Duration::from_secs(5);
/// Time after which a daemon that got no table from others takes its own as settled.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of a [`MemberNode`].
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the daemon, unique in the whole installation.
    pub name: DaemonName,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Greater than the incarnation of any earlier run of the daemon, as far as known.
    pub incarnation: Incarnation,
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address for forwarded requests.
    pub forward: SocketAddr,
    /// Daemons to join through; those of other zones are ignored.
    pub seeds: Vec<MemberSeed>,
}

/// Addresses of a daemon to join through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberSeed {
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
}

/// An input of a [`MemberNode`].
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Time has passed.
    Tick,
    /// A datagram was received.
    Packet {
        /// Address of the sender.
        from: SocketAddr,
        /// Decoded content.
        packet: MemberPacket,
    },
    /// Another daemon sent its table and requests this member's.
    ExchangeRequest(MemberExchange),
    /// Another daemon replied to an exchange.
    ExchangeReply(MemberExchange),
    /// The backend servers of this host changed.
    Servers(Vec<MemberServer>),
    /// The daemon is shutting down.
    Leave,
}

/// An action that a [`MemberNode`] requests from its driver.
#[derive(Clone, Debug)]
pub enum MemberOutput {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content to encode.
        packet: MemberPacket,
    },
    /// Send the table over a stream and pass the reply in as [`MemberInput::ExchangeReply`].
    ExchangeRequest {
        /// Control address of the receiver.
        to: SocketAddr,
        /// Table to send.
        exchange: MemberExchange,
    },
    /// Reply to a [`MemberInput::ExchangeRequest`].
    ExchangeReply(MemberExchange),
    /// The members or their servers changed.
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
    pub(super) queue: UpdateQueue,
    pub(super) schedule: ProbeSchedule,
    pub(super) last_step: MonoTime,
    pub(super) next_gossip: MonoTime,
    pub(super) next_reconnect: MonoTime,
    pub(super) next_seed: MonoTime,
    pub(super) next_join: MonoTime,
    /// Until when the table may be wrong, unless a settled member replies first.
    pub(super) unsettled_until: Option<MonoTime>,
    /// When this table last changed.
    pub(super) changed: MonoTime,
    pub(super) next_exchange: MonoTime,
    pub(super) outputs: Vec<MemberOutput>,
}

impl MemberNode {
    /// Returns a node without other members.
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
            queue: UpdateQueue::default(),
            schedule: ProbeSchedule::default(),
            last_step: now,
            next_gossip: now,
            next_reconnect: now,
            next_seed: now,
            next_join: now,
            unsettled_until: Some(now + JOIN_TIMEOUT),
            changed: now,
            next_exchange: now,
            outputs: Vec::new(),
        }
    }

    /// Applies `input` and returns the actions for the driver.
    pub fn step(
        &mut self,
        input: MemberInput,
        now: MonoTime,
        random: &mut impl Rng,
    ) -> Vec<MemberOutput> {
        self.check_step_delay(now);
        match input {
            MemberInput::Tick => self.tick(now, random),
            MemberInput::Packet { from, packet } => self.receive(from, packet, now, random),
            MemberInput::ExchangeRequest(exchange) => self.reply_exchange(&exchange, now, random),
            MemberInput::ExchangeReply(exchange) => {
                self.apply_exchange_reply(&exchange, now, random)
            }
            MemberInput::Servers(servers) => self.update_servers(servers, now),
            MemberInput::Leave => self.leave(now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns this member's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the other members, alive or suspect.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.table.views()
    }

    /// Returns whether the table is settled: taken from another member since the daemon started or
    /// froze, or kept because no reply came within the join timeout.
    pub fn is_settled(&self) -> bool {
        self.unsettled_until.is_none()
    }

    /// Detects a late step of this daemon, so that the gap isn't taken for missing acks of others.
    fn check_step_delay(&mut self, now: MonoTime) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        if gap < LATE_STEP_DELAY {
            return;
        }
        self.table.postpone_suspicions(gap);
        self.schedule.reset(now);
        self.schedule.degrade_health();
        self.changed = now;
        if gap >= FREEZE_DELAY {
            self.unsettled_until = Some(now + JOIN_TIMEOUT);
            self.next_join = now;
        }
    }

    pub(super) fn merge(&mut self, update: &MemberUpdate, now: MonoTime, random: &mut impl Rng) {
        let name = update.name();
        let is_new = self.table.key(name).is_none();
        match self.table.merge(update, now) {
            MergeEffect::Unchanged => {}
            MergeEffect::Refute(incarnation) => self.refute(update, incarnation),
            MergeEffect::Changed => {
                if let Some(key) = self.table.key(name).filter(|_| is_new) {
                    self.schedule.insert(key, random);
                }
                self.queue.push(name);
                self.record_change();
            }
        }
    }

    /// Refutes an update about this member or an earlier run of it by a greater incarnation.
    fn refute(&mut self, update: &MemberUpdate, incarnation: Incarnation) {
        let is_own_record = matches!(update, MemberUpdate::Alive(record) if *record == self.own);
        if self.has_left || is_own_record || incarnation < self.own.incarnation {
            return;
        }
        if matches!(update, MemberUpdate::Dead(..)) {
            // Others couldn't reach this member, so its queued updates about them may be wrong.
            self.queue = UpdateQueue::default();
        }
        self.schedule.degrade_health();
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.broadcast_own();
    }

    fn update_servers(&mut self, mut servers: Vec<MemberServer>, now: MonoTime) {
        servers.truncate(SERVERS_MAX);
        if self.own.servers == servers {
            return;
        }
        self.own.servers = servers;
        self.own.incarnation.0 += 1;
        self.next_gossip = now;
        self.broadcast_own();
    }

    fn leave(&mut self, now: MonoTime) {
        self.has_left = true;
        self.own.incarnation.0 += 1;
        self.next_gossip = now;
        self.broadcast_own();
    }

    fn broadcast_own(&mut self) {
        let name = self.own.name.clone();
        self.queue.push(&name);
        self.record_change();
    }

    pub(super) fn record_change(&mut self) {
        self.table_hash = self.table.hash(&self.own);
        self.changed = self.last_step;
        self.outputs.push(MemberOutput::Changed);
    }

    /// Returns the update that reports `name` as suspect, dead or left, so that it can refute, if
    /// there is one.
    pub(super) fn non_alive_update(&self, name: &DaemonName) -> Option<MemberUpdate> {
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

    pub(super) fn request_exchange(&mut self, to: SocketAddr, kind: ExchangeKind) {
        let mut exchange = self.own_exchange();
        if exchange.is_settled && kind == ExchangeKind::Table {
            exchange.updates = self.table.updates();
        }
        self.outputs
            .push(MemberOutput::ExchangeRequest { to, exchange });
    }

    /// Sends a packet with `first` and as many queued updates as fit.
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
        self.queue.transmit(table.len() + 1, |name| {
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

/// How much of its table a member sends when it requests another's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExchangeKind {
    /// Only its own record: the receiver may be of another zone or have a newer table.
    Introduction,
    /// The full table.
    Table,
}
