//! The ping of one member a period, and pings on behalf of others.

use super::table::MemberKey;
use crate::time::MonoTime;
use rand::{Rng, RngExt};
use std::{net::SocketAddr, time::Duration};

/// Time between two pings of a healthy daemon.
const PERIOD: Duration = Duration::from_millis(500);
/// Time after which others are asked to ping.
const ACK_SPAN: Duration = Duration::from_millis(150);
/// Largest local health score; both times grow by a multiple of it.
const HEALTH_MAX: u32 = 4;

/// The ping that runs.
pub(super) struct MemberProbe {
    pub(super) key: MemberKey,
    pub(super) seq: u32,
    pub(super) started: MonoTime,
    /// Members that were asked to ping too.
    pub(super) helpers: u32,
    /// Helpers that had no answer either.
    pub(super) nacks: u32,
}

/// A ping on behalf of another member.
pub(super) struct RelayedPing {
    pub(super) seq: u32,
    pub(super) asker: SocketAddr,
    pub(super) asker_seq: u32,
    pub(super) until: MonoTime,
}

/// Whom to ping and when.
#[derive(Default)]
pub(super) struct ProbeSchedule {
    pub(super) probe: Option<MemberProbe>,
    pub(super) relayed: Vec<RelayedPing>,
    pub(super) next_period: MonoTime,
    order: Vec<MemberKey>,
    seq: u32,
    /// Lifeguard's local health: 0 is healthy.
    health: u32,
}

impl ProbeSchedule {
    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Records that this daemon itself may be slow.
    pub(super) fn worsen(&mut self) {
        self.health = (self.health + 1).min(HEALTH_MAX);
    }

    pub(super) fn improve(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub(super) fn period(&self) -> Duration {
        PERIOD * (self.health + 1)
    }

    pub(super) fn ack_span(&self) -> Duration {
        ACK_SPAN * (self.health + 1)
    }

    /// Returns the next member to ping: each once in a random order, then in another.
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

    /// Puts a new member at a random place of the present round.
    pub(super) fn insert(&mut self, key: MemberKey, random: &mut impl Rng) {
        let idx = random.random_range(0..=self.order.len());
        self.order.insert(idx, key);
    }

    /// Takes the relayed ping that `seq` answers.
    pub(super) fn take_relayed(&mut self, seq: u32) -> Option<RelayedPing> {
        let idx = self.relayed.iter().position(|ping| ping.seq == seq)?;
        Some(self.relayed.swap_remove(idx))
    }

    /// Takes the relayed pings that got no answer in time.
    pub(super) fn take_unanswered(&mut self, now: MonoTime) -> Vec<RelayedPing> {
        self.relayed
            .extract_if(.., |ping| ping.until <= now)
            .collect()
    }

    /// Forgets what was asked before a time in which this daemon heard nothing.
    pub(super) fn restart(&mut self, now: MonoTime) {
        self.probe = None;
        self.relayed.clear();
        self.next_period = now + self.period();
    }

    /// Returns whether `seq` answers the running ping, and ends it.
    pub(super) fn acknowledge(&mut self, seq: u32) -> bool {
        let is_answer = self.probe.as_ref().is_some_and(|probe| probe.seq == seq);
        if is_answer {
            self.probe = None;
            self.improve();
        }
        is_answer
    }

    /// Records how many members were asked to ping too.
    pub(super) fn count_helpers(&mut self, helpers: usize) {
        if let Some(probe) = &mut self.probe {
            probe.helpers = u32::try_from(helpers).unwrap_or(u32::MAX);
        }
    }

    /// Counts a helper that had no answer either.
    pub(super) fn count_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }
}

/// Puts `items` into a random order (Fisher and Yates).
pub(super) fn shuffle<T>(items: &mut [T], random: &mut impl Rng) {
    for idx in (1..items.len()).rev() {
        items.swap(idx, random.random_range(0..=idx));
    }
}
