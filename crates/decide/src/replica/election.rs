//! Elections: a pre-vote, then a vote in a new term.

use super::{
    interface::ReplicaOutput,
    message::{EntryPayload, LogEntry, ReplicaId, ReplicaMessage},
    node::{ReplicaNode, ReplicaRole},
    progress::LeaderState,
};
use std::{collections::BTreeSet, time::Duration};

/// Divisor of the election timeout for a campaign; what is left is above a round trip with two slow syncs.
const CAMPAIGN_DIVISOR: u32 = 2;
/// Divisor of the election timeout for the first election after a start.
const FIRST_ELECTION_DIVISOR: u32 = 4;

/// A running election and the votes granted so far.
#[derive(Debug)]
pub(super) struct ElectionState {
    is_pre_vote: bool,
    votes: BTreeSet<ReplicaId>,
}

impl ReplicaNode {
    pub(super) fn restart_election_timer(&mut self) {
        let span = self.settings.election_timeout;
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let extra = Duration::from_micros(self.random % micros);
        self.election_due_at = self.now + span + extra;
    }

    /// Sets the timer after which a campaign that has found no majority is repeated. Shorter than the
    /// time without a leader before the first: a pre-vote disrupts no leader.
    fn restart_campaign_timer(&mut self) {
        let span = self.settings.election_timeout / CAMPAIGN_DIVISOR;
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let extra = Duration::from_micros(self.random % micros);
        self.election_due_at = self.now + span + extra;
    }

    /// Sets the election timer after a start, to a shorter time than usual: a running leader sends
    /// a heartbeat well before it expires, and a pre-vote doesn't disrupt one.
    pub(super) fn start_election_timer(&mut self) {
        let span = self.settings.election_timeout / FIRST_ELECTION_DIVISOR;
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let extra = Duration::from_micros(self.random % micros);
        self.election_due_at = self.now + self.settings.heartbeat_interval + span + extra;
    }

    pub(super) fn tick_election(&mut self) {
        if self.now < self.election_due_at {
            return;
        }
        self.leader = None;
        self.restart_election_timer();
        if self.config().contains(&self.settings.id) {
            self.campaign(true);
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: ReplicaId,
        is_pre_vote: bool,
        term: u64,
        last: (u64, u64),
    ) {
        let granted = if is_pre_vote {
            term > self.hard_state.term && !self.has_recent_leader() && self.is_up_to_date(last)
        } else {
            self.observe_term(term);
            self.grant_vote(&from, term, last)
        };
        if is_pre_vote && granted {
            self.defer_to_candidate(&from, last);
        }
        let term = if granted { term } else { self.hard_state.term };
        self.send(
            from.name,
            ReplicaMessage::VoteReply {
                is_pre_vote,
                term,
                granted,
            },
        );
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        is_pre_vote: bool,
        term: u64,
        granted: bool,
    ) {
        if !granted {
            return self.observe_term(term);
        }
        let requested = self.hard_state.term + u64::from(is_pre_vote);
        if term != requested || !self.config().contains(&from) {
            return;
        }
        let ReplicaRole::Candidate(election) = &mut self.role else {
            return;
        };
        if election.is_pre_vote == is_pre_vote {
            election.votes.insert(from);
            self.count_votes();
        }
    }

    /// Starts an election at once, without a pre-vote, at the request of the leader of `term`.
    pub(super) fn on_timeout_now(&mut self, term: u64) {
        let may_lead = !self.is_forming() && self.config().contains(&self.settings.id);
        if may_lead && term == self.hard_state.term && !self.is_leader() {
            self.campaign(false);
        }
    }

    /// Adopts `term` and becomes a follower, if `term` is newer than the replica's own.
    pub(super) fn observe_term(&mut self, term: u64) {
        if term <= self.hard_state.term {
            return;
        }
        self.hard_state.term = term;
        self.hard_state.vote = None;
        self.leader = None;
        self.persist_hard_state();
        self.become_follower();
    }

    /// Becomes a follower, whatever the role before, unless the group isn't formed yet.
    pub(super) fn become_follower(&mut self) {
        if self.is_forming() {
            return;
        }
        self.abandon_proposals();
        if self.is_leader() {
            self.leader = None;
        }
        if !matches!(self.role, ReplicaRole::Follower) {
            self.role = ReplicaRole::Follower;
            self.restart_election_timer();
        }
    }

    fn campaign(&mut self, is_pre_vote: bool) {
        self.restart_campaign_timer();
        let mut term = self.hard_state.term + 1;
        if !is_pre_vote {
            self.hard_state.term = term;
            self.hard_state.vote = Some(self.settings.id.clone());
            self.persist_hard_state();
            term = self.hard_state.term;
        }
        self.role = ReplicaRole::Candidate(ElectionState {
            is_pre_vote,
            votes: [self.settings.id.clone()].into(),
        });
        let request = ReplicaMessage::VoteRequest {
            is_pre_vote,
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.config().voters.clone() {
            if voter != self.settings.id {
                self.send(voter.name, request.clone());
            }
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let ReplicaRole::Candidate(election) = &self.role else {
            return;
        };
        let config = self.config();
        let votes = election.votes.iter();
        let votes = votes.filter(|id| config.contains(id)).count();
        if votes < config.quorum() {
            return;
        }
        if election.is_pre_vote {
            self.campaign(false);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let term = self.hard_state.term;
        let first = LogEntry {
            index: self.log.last_index() + 1,
            term,
            payload: EntryPayload::Noop,
        };
        let leader = LeaderState::new(first.index, self.others(), self.now);
        self.role = ReplicaRole::Leader(leader);
        self.leader = Some(self.settings.id.name.clone());
        self.outputs.push(ReplicaOutput::BecameLeader { term });
        self.append_local(vec![first]);
    }

    fn grant_vote(&mut self, from: &ReplicaId, term: u64, last: (u64, u64)) -> bool {
        let can_vote = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| vote == from);
        if term != self.hard_state.term || !can_vote || !self.is_up_to_date(last) {
            return false;
        }
        if self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.persist_hard_state();
        }
        self.restart_election_timer();
        true
    }

    /// Returns whether a log that ends with `last` (term, index) is at least as up to date as this
    /// one, and so holds every entry that this replica may have acknowledged.
    fn is_up_to_date(&self, last: (u64, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    /// Leaves the candidate `from`, whose log ends with `last`, the time for its campaign. Of two
    /// candidates the one with the longer log goes on, or the one whose name sorts last: both
    /// would vote for themselves, and often neither would find a majority.
    fn defer_to_candidate(&mut self, from: &ReplicaId, last: (u64, u64)) {
        let own_last = (self.log.last_term(), self.log.last_index());
        match &self.role {
            ReplicaRole::Candidate(own)
                if own.is_pre_vote && (last, from) > (own_last, &self.settings.id) =>
            {
                self.become_follower();
                self.restart_campaign_timer();
            }
            ReplicaRole::Follower => {
                let span = self.settings.election_timeout / CAMPAIGN_DIVISOR;
                self.election_due_at = self.election_due_at.max(self.now + span);
            }
            _ => {}
        }
    }

    fn has_recent_leader(&self) -> bool {
        let recent = |at| self.now.since(at) < self.settings.election_timeout;
        self.is_leader() || self.leader_seen_at.is_some_and(recent)
    }
}
