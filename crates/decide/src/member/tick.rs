//! Periodic work of a member: probes, gossip rounds, joining and reconnecting.

use super::{
    node::{ExchangeKind, MemberNode},
    probe::MemberProbe,
    table::MemberKey,
    wire::{MemberMessage, MemberUpdate},
};
use crate::{name::DaemonName, time::MonoTime};
use rand::{Rng, RngExt};
use std::{collections::HashSet, net::SocketAddr, time::Duration};

/// Time between two gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Members that a gossip round is sent to.
const GOSSIP_FANOUT: usize = 3;
/// Members that are requested to ping one that sent no ack.
const HELPERS_MAX: usize = 3;
/// Time between two attempts to get the table of another member.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two attempts to reach a seed that isn't a member.
const SEED_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two pings of members that died or left.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);

impl MemberNode {
    pub(super) fn tick(&mut self, now: MonoTime, random: &mut impl Rng) {
        for dead in self.table.expire(now) {
            self.merge(&dead, now, random);
        }
        self.send_nacks(now);
        self.request_indirect_pings(now, random);
        if now >= self.schedule.next_probe {
            self.schedule.next_probe = now + self.schedule.probe_interval();
            self.fail_probe(now, random);
            self.start_probe(now, random);
        }
        if now >= self.next_gossip && !self.queue.is_empty() {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.gossip(random);
        }
        self.join(now, random);
        self.reconnect(now, random);
    }

    /// Sends a nack for each indirect ping that got no ack in time.
    fn send_nacks(&mut self, now: MonoTime) {
        for ping in self.schedule.take_expired(now) {
            self.send(
                ping.requester,
                ping.requester_seq,
                MemberMessage::Nack,
                None,
            );
        }
    }

    /// Requests indirect pings of the probed member once the ack timeout has passed.
    fn request_indirect_pings(&mut self, now: MonoTime, random: &mut impl Rng) {
        let timeout = self.schedule.ack_timeout();
        let Some(probe) = &self.schedule.probe else {
            return;
        };
        if probe.helpers > 0 || now.since(probe.started) < timeout {
            return;
        }
        let (seq, target) = (probe.seq, probe.key);
        let Some(entry) = self.table.get(target) else {
            self.schedule.probe = None;
            return;
        };
        let name = entry.record.name.clone();
        let addr = entry.record.gossip;
        let helpers = self.random_members(HELPERS_MAX, &name, random);
        self.schedule.count_helpers(helpers.len());
        for helper in helpers {
            let message = MemberMessage::PingRequest(name.clone(), addr);
            self.send(helper, seq, message, None);
        }
    }

    /// Suspects the probed member, which sent no ack within the probe interval.
    fn fail_probe(&mut self, now: MonoTime, random: &mut impl Rng) {
        let Some(probe) = self.schedule.probe.take() else {
            return;
        };
        if probe.helpers > 0 && probe.nacks == 0 {
            self.schedule.degrade_health();
        }
        let Some(entry) = self.table.get(probe.key) else {
            return;
        };
        let addr = entry.record.gossip;
        let name = entry.record.name.clone();
        let suspect = MemberUpdate::Suspect(name, entry.incarnation());
        self.merge(&suspect, now, random);
        let seq = self.schedule.next_seq();
        self.send(addr, seq, MemberMessage::Gossip, Some(suspect));
    }

    fn start_probe(&mut self, now: MonoTime, random: &mut impl Rng) {
        let Some(key) = self.next_target(random) else {
            return;
        };
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let addr = entry.record.gossip;
        let name = entry.record.name.clone();
        let seq = self.schedule.next_seq();
        self.schedule.probe = Some(MemberProbe {
            key,
            seq,
            started: now,
            helpers: 0,
            nacks: 0,
        });
        let update = self.non_alive_update(&name);
        self.send(addr, seq, MemberMessage::Ping(name), update);
    }

    fn next_target(&mut self, random: &mut impl Rng) -> Option<MemberKey> {
        for _ in 0..=self.table.len() {
            let key = self.schedule.next_key(|| self.table.keys(), random)?;
            if self.table.get(key).is_some() {
                return Some(key);
            }
        }
        None
    }

    /// Sends queued updates to a few random members.
    fn gossip(&mut self, random: &mut impl Rng) {
        let own = self.own.name.clone();
        for addr in self.random_members(GOSSIP_FANOUT, &own, random) {
            let seq = self.schedule.next_seq();
            self.send(addr, seq, MemberMessage::Gossip, None);
        }
    }

    /// Requests the table of a seed or a known member until this member's own table is settled.
    fn join(&mut self, now: MonoTime, random: &mut impl Rng) {
        let Some(until) = self.unsettled_until else {
            return;
        };
        if now >= until {
            self.unsettled_until = None;
            return;
        }
        if now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_INTERVAL;
        let known = self.table.views().map(|view| view.record.control);
        let seeds = self.seeds.iter().map(|seed| seed.control);
        let addrs: Vec<SocketAddr> = known.chain(seeds).collect();
        if let Some(addr) = pick(&addrs, random) {
            self.request_exchange(addr, ExchangeKind::Introduction);
        }
    }

    /// Contacts seeds that aren't members, and members that died or left.
    fn reconnect(&mut self, now: MonoTime, random: &mut impl Rng) {
        if self.has_left {
            return;
        }
        if now >= self.next_seed {
            self.next_seed = now + SEED_INTERVAL;
            let known = self.table.views().map(|view| view.record.gossip);
            let known: HashSet<SocketAddr> = known.collect();
            let absent = self
                .seeds
                .iter()
                .filter(|seed| !known.contains(&seed.gossip));
            let absent: Vec<SocketAddr> = absent.map(|seed| seed.control).collect();
            if let Some(addr) = pick(&absent, random) {
                self.request_exchange(addr, ExchangeKind::Introduction);
            }
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + RECONNECT_INTERVAL;
            let former_members = self.table.former_members();
            if former_members.is_empty() {
                return;
            }
            let (name, addr) = former_members[random.random_range(0..former_members.len())];
            let name = name.clone();
            let seq = self.schedule.next_seq();
            let update = self.non_alive_update(&name);
            self.send(addr, seq, MemberMessage::Ping(name), update);
        }
    }

    /// Returns the gossip addresses of up to `count` random members other than `except`.
    fn random_members(
        &self,
        count: usize,
        except: &DaemonName,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = self
            .table
            .views()
            .filter(|view| view.record.name != *except);
        let mut addrs: Vec<SocketAddr> = others.map(|view| view.record.gossip).collect();
        let count = count.min(addrs.len());
        for idx in 0..count {
            let other = random.random_range(idx..addrs.len());
            addrs.swap(idx, other);
        }
        addrs.truncate(count);
        addrs
    }
}

fn pick(addrs: &[SocketAddr], random: &mut impl Rng) -> Option<SocketAddr> {
    if addrs.is_empty() {
        return None;
    }
    Some(addrs[random.random_range(0..addrs.len())])
}
