//! What the leader knows of the keepers, and so why each of them is a voter or is none.

use super::{
    message::ReplicaId,
    node::{ReplicaNode, ReplicaRole},
    progress::FollowerProgress,
};
use crate::name::KeeperName;
use serde::Serialize;

/// How the leader finds a keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeeperState {
    /// It is the leader itself.
    Leads,
    /// Its messages come in and it holds all committed entries.
    Present,
    /// Its messages come in and it lacks committed entries.
    Behind,
    /// Its messages come in, since less than an election timeout ago.
    Settling,
    /// No message of it has come in for an election timeout; it isn't replaced yet.
    Silent,
    /// No message of it has come in for so long that it is replaced once another keeper is present.
    Gone,
    /// It votes with a disk that it has lost.
    DiskLost,
}

/// What the leader knows of a keeper.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct KeeperReport {
    /// The keeper.
    pub keeper: KeeperName,
    /// Whether it is a voter.
    pub votes: bool,
    /// How the leader finds it.
    pub state: KeeperState,
    /// Time since its last message or, if there was none, since the leader's election or the
    /// keeper's discovery, in milliseconds.
    pub silent_ms: u64,
    /// Number of committed entries that it isn't known to hold.
    pub missing_entries: u64,
}

impl ReplicaNode {
    /// Returns a report on each known keeper, if this replica leads.
    pub fn keeper_reports(&self) -> Vec<KeeperReport> {
        let ReplicaRole::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let own = KeeperReport {
            keeper: self.settings.id.name.clone(),
            votes: self.config().contains(&self.settings.id),
            state: KeeperState::Leads,
            silent_ms: 0,
            missing_entries: self.commit.saturating_sub(self.persisted),
        };
        let others = leader.followers.iter();
        let others = others.map(|(name, progress)| self.keeper_report(name, progress));
        [own].into_iter().chain(others).collect()
    }

    fn keeper_report(&self, name: &KeeperName, progress: &FollowerProgress) -> KeeperReport {
        let voter = self.config().voter(name);
        let silent = self.now.since(progress.seen_at);
        KeeperReport {
            keeper: name.clone(),
            votes: voter.is_some(),
            state: self.keeper_state(voter, progress),
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            missing_entries: self.commit.saturating_sub(progress.match_index),
        }
    }

    fn keeper_state(&self, voter: Option<&ReplicaId>, progress: &FollowerProgress) -> KeeperState {
        let election = self.settings.election_timeout;
        let silent = self.now.since(progress.seen_at);
        if voter.is_some_and(|voter| progress.has_other_incarnation(voter)) {
            return KeeperState::DiskLost;
        }
        if self.is_gone(progress) {
            return KeeperState::Gone;
        }
        if silent >= election {
            return KeeperState::Silent;
        }
        if self.now.since(progress.steady_since) < election {
            return KeeperState::Settling;
        }
        if progress.match_index < self.commit {
            return KeeperState::Behind;
        }
        KeeperState::Present
    }
}
