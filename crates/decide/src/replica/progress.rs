//! What a leader knows of itself and of its followers.

use super::{message::ReplicaId, snapshot_transfer::OutgoingSnapshot};
use crate::{
    name::{Incarnation, KeeperName},
    time::MonoTime,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Index of the first entry of its term.
    pub(super) first_index: u64,
    pub(super) followers: BTreeMap<KeeperName, FollowerProgress>,
    /// Tokens of the commands that are proposed and not yet applied, by log index.
    pub(super) tokens: BTreeMap<u64, u64>,
    pub(super) heartbeat_due_at: MonoTime,
}

/// What a leader knows of a follower.
#[derive(Debug)]
pub(super) struct FollowerProgress {
    /// The incarnation that sent its last message; `None` before the first.
    pub(super) incarnation: Option<Incarnation>,
    /// Incarnations whose disk is lost; their delayed messages are ignored.
    lost_incarnations: BTreeSet<Incarnation>,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Index up to which its log is known to match the leader's, durably.
    pub(super) match_index: u64,
    /// Time of its last message.
    pub(super) seen_at: MonoTime,
    /// Time since which its messages have come in without a pause, in this incarnation.
    pub(super) steady_since: MonoTime,
    /// The snapshot that is being sent to it.
    pub(super) outgoing_snapshot: Option<OutgoingSnapshot>,
}

impl LeaderState {
    pub(super) fn new(first_index: u64, others: Vec<KeeperName>, now: MonoTime) -> LeaderState {
        let mut leader = LeaderState {
            first_index,
            followers: BTreeMap::new(),
            tokens: BTreeMap::new(),
            heartbeat_due_at: now,
        };
        for name in others {
            leader.add_follower(name, first_index, now);
        }
        leader
    }

    /// Adds a keeper whose log is unknown; entries are sent to it from `next_index` on.
    pub(super) fn add_follower(&mut self, name: KeeperName, next_index: u64, now: MonoTime) {
        let progress = FollowerProgress {
            incarnation: None,
            lost_incarnations: BTreeSet::new(),
            next_index,
            match_index: 0,
            seen_at: now,
            steady_since: now,
            outgoing_snapshot: None,
        };
        self.followers.insert(name, progress);
    }

    /// Returns whether `commit` covers all entries that earlier leaders may have acknowledged.
    pub(super) fn covers_earlier_terms(&self, commit: u64) -> bool {
        commit >= self.first_index
    }

    /// Returns the index up to which the log of `voter` is known to match the leader's.
    pub(super) fn match_index(&self, voter: &ReplicaId) -> u64 {
        let progress = self.followers.get(&voter.name);
        let progress = progress.filter(|p| p.incarnation == Some(voter.incarnation));
        progress.map_or(0, |p| p.match_index)
    }
}

impl FollowerProgress {
    /// Returns whether the keeper's messages come from another incarnation than that of `voter`.
    pub(super) fn has_other_incarnation(&self, voter: &ReplicaId) -> bool {
        self.incarnation.is_some_and(|own| own != voter.incarnation)
    }

    /// Records a message from `incarnation`; returns whether it counts.
    ///
    /// A gap of `pause` or more between messages restarts `steady_since`: the leader itself may
    /// have been frozen, and the messages that it reads afterwards may be old.
    pub(super) fn record_message(
        &mut self,
        incarnation: Incarnation,
        now: MonoTime,
        pause: Duration,
    ) -> bool {
        if self.lost_incarnations.contains(&incarnation) {
            return false;
        }
        if self.incarnation != Some(incarnation) || now.since(self.seen_at) >= pause {
            self.steady_since = now;
        }
        if let Some(old) = self.incarnation.filter(|old| *old != incarnation) {
            self.lost_incarnations.insert(old);
            self.match_index = 0;
            self.outgoing_snapshot = None;
        }
        self.incarnation = Some(incarnation);
        self.seen_at = now;
        true
    }
}
