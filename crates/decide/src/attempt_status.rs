//! What a gate tells about an attempt whose connection may have gone silent.
//!
//! The daemon that sent an attempt asks over another connection. The answer is binding: an attempt
//! that the gate does not know is refused should it arrive later, so that the asker may count it
//! as not run.

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

/// Names one attempt; drawn at random by its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct AttemptId(pub u64);

/// What the gate knows about an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AttemptStatus {
    /// It never came and is refused from now on.
    Absent,
    /// Its answer was sent.
    Ended,
    /// It waits or runs.
    Running,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    Ended,
    Running,
    Withdrawn,
}

/// The attempts that a gate knows.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    states: HashMap<AttemptId, AttemptState>,
    /// Ended and withdrawn attempts with the time of it, oldest first.
    past: VecDeque<(MonoTime, AttemptId)>,
}

impl AttemptTable {
    /// Records an attempt that has come; returns whether it may run.
    ///
    /// An attempt that came before, or whose sender was told that it did not come, may not.
    pub fn begin(&mut self, id: AttemptId, now: MonoTime) -> bool {
        self.forget(now);
        let is_new = !self.states.contains_key(&id);
        if is_new {
            self.states.insert(id, AttemptState::Running);
        }
        is_new
    }

    /// Records that the answer of an attempt was sent or that its sender has gone.
    pub fn end(&mut self, id: AttemptId, now: MonoTime) {
        self.states.insert(id, AttemptState::Ended);
        self.past.push_back((now, id));
    }

    /// Returns what is known about an attempt.
    pub fn query(&mut self, id: AttemptId, now: MonoTime) -> AttemptStatus {
        self.forget(now);
        match self.states.get(&id) {
            Some(AttemptState::Running) => AttemptStatus::Running,
            Some(AttemptState::Ended) => AttemptStatus::Ended,
            Some(AttemptState::Withdrawn) => AttemptStatus::Absent,
            None => {
                self.states.insert(id, AttemptState::Withdrawn);
                self.past.push_back((now, id));
                AttemptStatus::Absent
            }
        }
    }

    /// Returns the number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn forget(&mut self, now: MonoTime) {
        while let Some(&(since, id)) = self.past.front() {
            if now.since(since) < ATTEMPT_RETENTION {
                return;
            }
            self.past.pop_front();
            self.states.remove(&id);
        }
    }
}
