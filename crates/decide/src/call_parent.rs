//! Finds the running request on whose behalf a backend server makes a call.
//!
//! A call carries no reference to its parent request, but it has the same deadline: the server states
//! the remaining time that it was given for the parent. A caller's own request has a later deadline
//! than any running request, because no request is given more time than its route allows.

use crate::time::MonoTime;
use std::{
    collections::{BTreeMap, btree_map::Range},
    time::Duration,
};

/// Time by which a call's deadline may seem to lie after its parent's: deadlines are sent as remaining
/// time, so the transit time is added.
const LATE_MAX: Duration = Duration::from_millis(40);
/// Time by which it may seem to lie before its parent's: remaining time is sent in whole milliseconds.
const EARLY_MAX: Duration = Duration::from_millis(3);

/// What calls inherit from the running request that makes them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParentRequest {
    /// Rank of the root request; 0 is the most important.
    pub rank: u32,
    /// Whether the request is a retry or a call made by one.
    pub is_retry: bool,
}

/// Identifies a running request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ParentKey {
    deadline: MonoTime,
    number: u64,
}

/// The running requests of one backend server, by deadline.
#[derive(Clone, Debug, Default)]
pub struct ParentIndex {
    requests: BTreeMap<ParentKey, ParentRequest>,
    last_number: u64,
}

impl ParentIndex {
    /// Adds a request that must end by `deadline`.
    pub fn insert(&mut self, deadline: MonoTime, request: ParentRequest) -> ParentKey {
        self.last_number += 1;
        let key = ParentKey {
            deadline,
            number: self.last_number,
        };
        self.requests.insert(key, request);
        key
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, key: ParentKey) {
        self.requests.remove(&key);
    }

    /// Returns the parent of a call with the deadline `deadline`.
    ///
    /// Returns the most likely one if several have about that deadline, and `None` for a caller's own
    /// request.
    pub fn find(&self, deadline: MonoTime) -> Option<ParentRequest> {
        let before = self.between(deadline - LATE_MAX, deadline).next_back();
        let after = self.between(deadline, deadline + EARLY_MAX).next();
        before.or(after).map(|(_, request)| *request)
    }

    fn between(&self, from: MonoTime, to: MonoTime) -> Range<'_, ParentKey, ParentRequest> {
        let key = |deadline, number| ParentKey { deadline, number };
        self.requests.range(key(from, 0)..=key(to, u64::MAX))
    }
}
