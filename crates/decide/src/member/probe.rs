//! Schedule of probes, and the indirect pings that are under way for other members.

use super::table::MemberKey;
use crate::time::MonoTime;
use rand::{Rng, RngExt};
use std::{net::SocketAddr, time::Duration};

/// Time between two probes of a healthy daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an ack after which indirect pings are requested, at a healthy daemon.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest local health score; both times are multiplied by the score plus one.
const HEALTH_MAX: u32 = 4;

/// The probe under way.
pub(super) struct MemberProbe {
    pub(super) key: MemberKey,
    pub(super) seq: u32,
    pub(super) started: MonoTime,
    /// Members that were requested to ping indirectly.
    pub(super) helpers: u32,
    /// Helpers that replied with a nack.
    pub(super) nacks: u32,
}

/// A ping on behalf of another member.
pub(super) struct IndirectPing {
    pub(super) seq: u32,
    pub(super) requester: SocketAddr,
    pub(super) requester_seq: u32,
    pub(super) until: MonoTime,
}

/// Decides which member to probe next and when.
#[derive(Default)]
pub(super) struct ProbeSchedule {
    pub(super) probe: Option<MemberProbe>,
    pub(super) indirect: Vec<IndirectPing>,
    pub(super) next_probe: MonoTime,
    order: Vec<MemberKey>,
    seq: u32,
    /// Lifeguard's local health score; 0 is healthy.
    health: u32,
}

impl ProbeSchedule {
    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Records a sign that this daemon itself is slow.
    pub(super) fn degrade_health(&mut self) {
        self.health = (self.health + 1).min(HEALTH_MAX);
    }

    pub(super) fn improve_health(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub(super) fn probe_interval(&self) -> Duration {
        PROBE_INTERVAL * (self.health + 1)
    }

    pub(super) fn ack_timeout(&self) -> Duration {
        ACK_TIMEOUT * (self.health + 1)
    }

    /// Returns the next member to probe. Each round visits every member once in a new random order.
    pub(super) fn next_key(
        &mut self,
        keys: impl FnOnce() -> Vec<MemberKey>,
        random: &mut impl Rng,
    ) -> Option<MemberKey> {
        if self.order.is_empty() {
            self.order = keys();
            shuffle(&mut self.order, random);
        }
        self.order.pop()
    }

    /// Inserts a new member at a random position of the current round.
    pub(super) fn insert(&mut self, key: MemberKey, random: &mut impl Rng) {
        let idx = random.random_range(0..=self.order.len());
        self.order.insert(idx, key);
    }

    /// Removes and returns the indirect ping with sequence number `seq`.
    pub(super) fn take_indirect(&mut self, seq: u32) -> Option<IndirectPing> {
        let idx = self.indirect.iter().position(|ping| ping.seq == seq)?;
        Some(self.indirect.swap_remove(idx))
    }

    /// Removes and returns the indirect pings that got no ack in time.
    pub(super) fn take_expired(&mut self, now: MonoTime) -> Vec<IndirectPing> {
        self.indirect
            .extract_if(.., |ping| ping.until <= now)
            .collect()
    }

    /// Drops all probes under way, after a time in which this daemon made no step.
    pub(super) fn reset(&mut self, now: MonoTime) {
        self.probe = None;
        self.indirect.clear();
        self.next_probe = now + self.probe_interval();
    }

    /// Ends the current probe if `seq` is its sequence number; returns whether it is.
    pub(super) fn acknowledge(&mut self, seq: u32) -> bool {
        let is_answer = self.probe.as_ref().is_some_and(|probe| probe.seq == seq);
        if is_answer {
            self.probe = None;
            self.improve_health();
        }
        is_answer
    }

    /// Records how many members were requested to ping indirectly.
    pub(super) fn count_helpers(&mut self, helpers: usize) {
        if let Some(probe) = &mut self.probe {
            probe.helpers = u32::try_from(helpers).unwrap_or(u32::MAX);
        }
    }

    /// Counts a nack from a helper of the current probe.
    pub(super) fn count_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }
}

/// Shuffles `items` by the Fisher-Yates algorithm.
pub(super) fn shuffle<T>(items: &mut [T], random: &mut impl Rng) {
    for idx in (1..items.len()).rev() {
        items.swap(idx, random.random_range(0..=idx));
    }
}
