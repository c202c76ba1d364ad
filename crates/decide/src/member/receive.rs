//! Handling of packets and full tables that a member receives.

use super::{
    node::{ExchangeKind, MemberNode, MemberOutput},
    probe::IndirectPing,
    queue::UpdateQueue,
    wire::{MemberExchange, MemberMessage, MemberPacket, MemberUpdate},
};
use crate::{name::DaemonName, time::MonoTime};
use rand::Rng;
use std::{collections::HashSet, net::SocketAddr, time::Duration};

/// Time without changes after which differing tables are exchanged, and time between exchanges.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(3);

impl MemberNode {
    pub(super) fn receive(
        &mut self,
        from: SocketAddr,
        packet: MemberPacket,
        now: MonoTime,
        random: &mut impl Rng,
    ) {
        if packet.zone != self.zone {
            return;
        }
        // A sender that isn't alive here may be partitioned and report all others as dead.
        let is_credible = self.table.is_alive(&packet.from);
        for update in &packet.updates {
            if is_credible || !reports_other_down(update, &packet.from, &self.own.name) {
                self.merge(update, now, random);
            }
        }
        self.compare_hash(&packet.from, packet.table_hash, now);
        match packet.message {
            MemberMessage::Ping(name) if name == self.own.name => {
                let is_misreported = packet.updates.iter().any(|update| self.is_outdated(update));
                let own = is_misreported.then(|| self.own_update());
                let update = self.non_alive_update(&packet.from).or(own);
                self.send(from, packet.seq, MemberMessage::Ack, update);
            }
            MemberMessage::Ping(_) | MemberMessage::Gossip => {}
            MemberMessage::Ack => self.record_ack(packet.seq),
            MemberMessage::Nack => self.schedule.count_nack(packet.seq),
            MemberMessage::PingRequest(name, addr) => {
                self.relay_ping(from, packet.seq, name, addr, now);
            }
        }
    }

    /// Returns whether `update` suspects or removes an earlier incarnation of this member.
    fn is_outdated(&self, update: &MemberUpdate) -> bool {
        match update {
            MemberUpdate::Alive(_) => false,
            MemberUpdate::Suspect(name, incarnation)
            | MemberUpdate::Dead(name, incarnation)
            | MemberUpdate::Left(name, incarnation) => {
                *name == self.own.name && *incarnation < self.own.incarnation
            }
        }
    }

    fn record_ack(&mut self, seq: u32) {
        if self.schedule.acknowledge(seq) {
            return;
        }
        if let Some(ping) = self.schedule.take_indirect(seq) {
            self.send(ping.requester, ping.requester_seq, MemberMessage::Ack, None);
        }
    }

    fn relay_ping(
        &mut self,
        requester: SocketAddr,
        requester_seq: u32,
        name: DaemonName,
        addr: SocketAddr,
        now: MonoTime,
    ) {
        let seq = self.schedule.next_seq();
        self.schedule.indirect.push(IndirectPing {
            seq,
            requester,
            requester_seq,
            until: now + self.schedule.ack_timeout(),
        });
        let update = self.non_alive_update(&name);
        self.send(addr, seq, MemberMessage::Ping(name), update);
    }

    /// Exchanges tables with a sender whose hash differs though nothing changed for a while.
    fn compare_hash(&mut self, from: &DaemonName, hash: u64, now: MonoTime) {
        let is_quiet = now.since(self.changed) >= ANTI_ENTROPY_INTERVAL;
        if hash == self.table_hash || !is_quiet || now < self.next_exchange {
            return;
        }
        // An unknown sender has this member in its table and starts the exchange itself.
        if let Some(entry) = self.table.key(from).and_then(|key| self.table.get(key)) {
            let control = entry.record.control;
            self.next_exchange = now + ANTI_ENTROPY_INTERVAL;
            self.request_exchange(control, ExchangeKind::Table);
        }
    }

    pub(super) fn reply_exchange(
        &mut self,
        exchange: &MemberExchange,
        now: MonoTime,
        random: &mut impl Rng,
    ) {
        if exchange.zone != self.zone {
            return;
        }
        self.merge_exchange(exchange, now, random);
        let mut updates = self.table.updates();
        updates.push(self.own_update());
        let reply = MemberExchange {
            updates,
            ..self.own_exchange()
        };
        self.outputs.push(MemberOutput::ExchangeReply(reply));
    }

    /// Merges the reply to an exchange; an unsettled member adopts the sender's table.
    pub(super) fn apply_exchange_reply(
        &mut self,
        exchange: &MemberExchange,
        now: MonoTime,
        random: &mut impl Rng,
    ) {
        if exchange.zone != self.zone {
            return;
        }
        if self.unsettled_until.is_some() && exchange.is_settled {
            self.unsettled_until = None;
            let living = exchange.updates.iter().filter_map(|update| match update {
                MemberUpdate::Alive(record) => Some(&record.name),
                _ => None,
            });
            let living: HashSet<&DaemonName> = living.collect();
            self.table
                .retain(|name| *name == exchange.sender.name || living.contains(name));
            self.queue = UpdateQueue::default();
            self.queue.push(&self.own.name);
            self.record_change();
        }
        self.merge_exchange(exchange, now, random);
    }

    /// Merges a full table. It may come from the other side of a network partition, so suspicions
    /// and deaths in it are ignored for members that are alive here.
    fn merge_exchange(&mut self, exchange: &MemberExchange, now: MonoTime, random: &mut impl Rng) {
        let own = MemberUpdate::Alive(exchange.sender.clone());
        for update in std::iter::once(&own).chain(&exchange.updates) {
            let is_negative = matches!(update, MemberUpdate::Suspect(..) | MemberUpdate::Dead(..));
            if is_negative && self.table.is_alive(update.name()) {
                continue;
            }
            if let MemberUpdate::Alive(record) = update {
                self.table.drop_tombstone(record, now);
            }
            self.merge(update, now, random);
        }
    }
}

/// Returns whether `update`, sent by `from`, reports a third member as suspect, dead or left.
fn reports_other_down(update: &MemberUpdate, from: &DaemonName, own: &DaemonName) -> bool {
    let is_alive = matches!(update, MemberUpdate::Alive(_));
    !is_alive && update.name() != own && update.name() != from
}
