//! Status of attempts at a gate, for senders whose connection may have stalled.
//!
//! The daemon that sent an attempt queries its status over another connection. The status is
//! binding: an attempt that is unknown at the time of the query is refused if it arrives later, so
//! that the sender may count it as not run.

use crate::time::MonoTime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Time for which an attempt that has ended or was withdrawn is remembered.
///
/// Longer than any time for which an undelivered attempt can wait in a connection.
pub const ATTEMPT_RETENTION: Duration = Duration::from_secs(120);

/// Identifies one attempt; drawn at random by its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct AttemptId(pub u64);

/// Status of an attempt at its gate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AttemptStatus {
    /// It hasn't arrived and is refused from now on.
    Absent,
    /// Its response was sent or its sender has gone.
    Ended,
    /// It is queued or runs.
    Running,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    Ended,
    Running,
    Withdrawn,
}

/// States of the attempts at a gate.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    states: HashMap<AttemptId, AttemptState>,
    /// Ended and withdrawn attempts with the time at which that happened, oldest first.
    finished: VecDeque<(MonoTime, AttemptId)>,
}

impl AttemptTable {
    /// Records the arrival of an attempt; returns whether it may run.
    ///
    /// It may not if it arrived before or if a query found it absent.
    pub fn begin(&mut self, id: AttemptId, now: MonoTime) -> bool {
        self.remove_expired(now);
        let is_new = !self.states.contains_key(&id);
        if is_new {
            self.states.insert(id, AttemptState::Running);
        }
        is_new
    }

    /// Records that the response to an attempt was sent or that its sender has gone.
    pub fn end(&mut self, id: AttemptId, now: MonoTime) {
        self.states.insert(id, AttemptState::Ended);
        self.finished.push_back((now, id));
    }

    /// Returns the status of an attempt; an unknown one is withdrawn, so that it never runs.
    pub fn query(&mut self, id: AttemptId, now: MonoTime) -> AttemptStatus {
        self.remove_expired(now);
        match self.states.get(&id) {
            Some(AttemptState::Running) => AttemptStatus::Running,
            Some(AttemptState::Ended) => AttemptStatus::Ended,
            Some(AttemptState::Withdrawn) => AttemptStatus::Absent,
            None => {
                self.states.insert(id, AttemptState::Withdrawn);
                self.finished.push_back((now, id));
                AttemptStatus::Absent
            }
        }
    }

    /// Returns the number of remembered attempts.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some(&(since, id)) = self.finished.front() {
            if now.since(since) < ATTEMPT_RETENTION {
                return;
            }
            self.finished.pop_front();
            self.states.remove(&id);
        }
    }
}
