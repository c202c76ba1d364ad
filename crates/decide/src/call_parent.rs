//! Finds the request that a backend server makes a call for, among those that it runs.
//!
//! Calls carry no mark of their parent, but end with it: the call's deadline is what is left of the
//! time that the server was given for its parent. Callers' own requests end later than anything
//! that runs, as a request is never given more time than its route allows.

use crate::time::MonoTime;
use std::{
    collections::{BTreeMap, btree_map::Range},
    time::Duration,
};

/// Time by which a call may seem to end later than its parent: on its way, the parent's deadline is a
/// span of time.
const LATE_MAX: Duration = Duration::from_millis(40);
/// The same for earlier: spans are in whole milliseconds.
const EARLY_MAX: Duration = Duration::from_millis(3);

/// A request that a backend server runs, as far as its calls inherit from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParentRequest {
    /// Rank of the request at the root; 0 is the most important.
    pub rank: u32,
    /// Whether it is a repeat, or was called by one.
    pub is_retry: bool,
}

/// Identifies a run until it ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ParentKey {
    end: MonoTime,
    number: u64,
}

/// The requests that one backend server runs, by the time at which they must end.
#[derive(Clone, Debug, Default)]
pub struct ParentIndex {
    runs: BTreeMap<ParentKey, ParentRequest>,
    next: u64,
}

impl ParentIndex {
    /// Adds a run that must end by `end`.
    pub fn insert(&mut self, end: MonoTime, run: ParentRequest) -> ParentKey {
        self.next += 1;
        let key = ParentKey {
            end,
            number: self.next,
        };
        self.runs.insert(key, run);
        key
    }

    /// Removes a run.
    pub fn remove(&mut self, key: ParentKey) {
        self.runs.remove(&key);
    }

    /// Returns the run that a call which ends at `end` is made for; the likeliest one where several end
    /// at about that time, `None` for a request that is no call.
    pub fn find(&self, end: MonoTime) -> Option<ParentRequest> {
        let before = self.between(end - LATE_MAX, end).next_back();
        let after = self.between(end, end + EARLY_MAX).next();
        before.or(after).map(|(_, run)| *run)
    }

    fn between(&self, from: MonoTime, to: MonoTime) -> Range<'_, ParentKey, ParentRequest> {
        let key = |end, number| ParentKey { end, number };
        self.runs.range(key(from, 0)..=key(to, u64::MAX))
    }
}
