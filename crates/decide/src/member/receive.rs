//! What a member does with packets and with whole tables.

use super::{
    node::{ExchangeKind, MemberNode, MemberOutput},
    probe::RelayedPing,
    queue::NewsQueue,
    wire::{MemberExchange, MemberMessage, MemberPacket, MemberUpdate},
};
use crate::{name::DaemonName, time::MonoTime};
use rand::Rng;
use std::{collections::HashSet, net::SocketAddr, time::Duration};

/// Time without news after which tables that differ are exchanged whole, and time between exchanges.
const QUIET_SPAN: Duration = Duration::from_secs(3);

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
        // A daemon that doesn't answer may take everybody else for dead.
        let is_credible = self.table.is_alive(&packet.from);
        for update in &packet.updates {
            if is_credible || !accuses_other(update, &packet.from, &self.own.name) {
                self.merge(update, now, random);
            }
        }
        self.compare(&packet.from, packet.table_hash, now);
        match packet.message {
            MemberMessage::Ping(name) if name == self.own.name => {
                let is_misjudged = packet.updates.iter().any(|update| self.is_outdated(update));
                let own = is_misjudged.then(|| self.own_update());
                let news = self.accusation(&packet.from).or(own);
                self.send(from, packet.seq, MemberMessage::Ack, news);
            }
            MemberMessage::Ping(_) | MemberMessage::Gossip => {}
            MemberMessage::Ack => self.take_ack(packet.seq),
            MemberMessage::Nack => self.schedule.count_nack(packet.seq),
            MemberMessage::PingRequest(name, addr) => {
                self.ping_for(from, packet.seq, name, addr, now);
            }
        }
    }

    /// Returns whether `update` speaks against an earlier record of this member.
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

    fn take_ack(&mut self, seq: u32) {
        if self.schedule.acknowledge(seq) {
            return;
        }
        if let Some(ping) = self.schedule.take_relayed(seq) {
            self.send(ping.asker, ping.asker_seq, MemberMessage::Ack, None);
        }
    }

    fn ping_for(
        &mut self,
        asker: SocketAddr,
        asker_seq: u32,
        name: DaemonName,
        addr: SocketAddr,
        now: MonoTime,
    ) {
        let seq = self.schedule.next_seq();
        self.schedule.relayed.push(RelayedPing {
            seq,
            asker,
            asker_seq,
            until: now + self.schedule.ack_span(),
        });
        let news = self.accusation(&name);
        self.send(addr, seq, MemberMessage::Ping(name), news);
    }

    /// Exchanges tables with a sender whose table differs though no news has come for a while.
    fn compare(&mut self, from: &DaemonName, hash: u64, now: MonoTime) {
        let is_quiet = now.since(self.changed) >= QUIET_SPAN;
        if hash == self.table_hash || !is_quiet || now < self.next_exchange {
            return;
        }
        // A sender that isn't known here knows this member and asks in its turn.
        if let Some(entry) = self.table.key(from).and_then(|key| self.table.get(key)) {
            let control = entry.record.control;
            self.next_exchange = now + QUIET_SPAN;
            self.exchange(control, ExchangeKind::Table);
        }
    }

    pub(super) fn answer_exchange(
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

    /// Takes in the answer of an exchange.
    pub(super) fn learn(
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
            self.queue = NewsQueue::default();
            self.queue.push(&self.own.name);
            self.note_change();
        }
        self.merge_exchange(exchange, now, random);
    }

    /// Merges a whole table. It may come from the other side of a cut, so its sender's view of who
    /// is dead counts for nothing where this member knows better.
    fn merge_exchange(&mut self, exchange: &MemberExchange, now: MonoTime, random: &mut impl Rng) {
        let own = MemberUpdate::Alive(exchange.sender.clone());
        for update in std::iter::once(&own).chain(&exchange.updates) {
            let is_accusation =
                matches!(update, MemberUpdate::Suspect(..) | MemberUpdate::Dead(..));
            if is_accusation && self.table.is_alive(update.name()) {
                continue;
            }
            if let MemberUpdate::Alive(record) = update {
                self.table.revive(record, now);
            }
            self.merge(update, now, random);
        }
    }
}

/// Returns whether `update`, sent by `from`, speaks against a third member.
fn accuses_other(update: &MemberUpdate, from: &DaemonName, own: &DaemonName) -> bool {
    let is_alive = matches!(update, MemberUpdate::Alive(_));
    !is_alive && update.name() != own && update.name() != from
}
