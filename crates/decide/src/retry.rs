//! Retries of one request, bounded over its whole chain of calls.
//!
//! A contract's `retries_per_request` allows one try more than that in total. Every attempt of the
//! caller has a fixed share of these tries, and the shares add up to the total, so attempts that
//! arrive at different daemons need no shared state. Within one attempt the retries are tokens:
//! the record of a call holds them, a child call leases some of them and gives back what it did
//! not use, and what a lost child held counts as spent.

use crate::{outcome::CallOutcome, time::MonoTime};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Longest time to come back after that is ever stated.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// An attempt number past the contract's bound; the request is refused as not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptError {
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// Number of attempts that the contract allows.
    pub allowed: u32,
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let AttemptError { attempt, allowed } = self;
        write!(
            f,
            "attempt {attempt} is past the contract's {allowed} attempts"
        )
    }
}

impl std::error::Error for AttemptError {}

/// Retries that a call may still make, itself or through its child calls.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct RetryBudget {
    left: u32,
}

/// Retries handed down to one child call; dropping it counts them as spent.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a lease that is dropped counts as spent"]
pub struct RetryLease {
    tokens: u32,
}

impl RetryLease {
    /// Returns the number of retries that the child call may make; this travels with the call.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

impl RetryBudget {
    /// Returns the budget of the caller's attempt number `attempt` under a contract that allows
    /// `retries` retries.
    ///
    /// # Errors
    ///
    /// The attempt has no share: the tries of the attempts before it use up the contract's bound.
    pub fn for_attempt(retries: u32, attempt: u32) -> Result<RetryBudget, AttemptError> {
        match attempt_share(retries, attempt) {
            0 => Err(AttemptError {
                attempt,
                allowed: max_attempts(retries),
            }),
            tries => Ok(RetryBudget { left: tries - 1 }),
        }
    }

    /// Returns the budget of a child call that came with `tokens` retries.
    pub fn from_lease(tokens: u32) -> RetryBudget {
        RetryBudget { left: tokens }
    }

    /// Returns the retries left; a child's answer states this on its way back.
    pub fn remaining(&self) -> u32 {
        self.left
    }

    /// Spends one retry; returns false and spends nothing when none is left.
    pub fn try_spend(&mut self) -> bool {
        let spent = self.left > 0;
        self.left -= u32::from(spent);
        spent
    }

    /// Hands the larger half of what is left to a child call.
    pub fn lease(&mut self) -> RetryLease {
        let tokens = self.left.div_ceil(2);
        self.left -= tokens;
        RetryLease { tokens }
    }

    /// Takes back the `unused` part of `lease`; an answer that states more than was leased counts
    /// as having used none.
    pub fn give_back(&mut self, lease: RetryLease, unused: u32) {
        self.left += unused.min(lease.tokens);
    }
}

/// Returns the tries that the caller's attempt number `attempt` may make in total.
///
/// Each attempt gets half of what the earlier ones left, rounded up.
pub fn attempt_share(retries: u32, attempt: u32) -> u32 {
    let mut left = retries.saturating_add(1);
    for _ in 0..attempt {
        left /= 2;
        if left == 0 {
            return 0;
        }
    }
    left.div_ceil(2)
}

/// Returns the number of attempts, the first one included, that a caller may make.
pub fn max_attempts(retries: u32) -> u32 {
    let tries = u64::from(retries) + 1;
    u64::BITS - tries.leading_zeros()
}

/// What is known when a try has ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TryOutcome {
    /// What is known about the run.
    pub outcome: CallOutcome,
    /// Whether a deeper hop has retried and given up.
    pub given_up: bool,
    /// Whether the operation is idempotent.
    pub idempotent: bool,
}

impl TryOutcome {
    /// Returns whether another server may be tried, budget and deadline permitting.
    ///
    /// Only what did not run, or may run twice without harm, is tried again, and nothing that a
    /// deeper hop has given up on.
    pub fn may_retry(self) -> bool {
        let harmless = match self.outcome {
            CallOutcome::NotRun => true,
            CallOutcome::Unknown => self.idempotent,
            CallOutcome::Answered | CallOutcome::Replayed => false,
        };
        harmless && !self.given_up
    }
}

/// Spreads `base` evenly over half of it to one and a half times it; `random` is uniform.
pub fn jitter_retry_after(base: Duration, random: u32) -> Duration {
    let share = f64::from(random) / f64::from(u32::MAX);
    base.mul_f64(0.5 + share).min(RETRY_AFTER_MAX)
}

/// Attempts seen lately, for callers that do not count their resends honestly.
///
/// Bounded: the oldest request is forgotten when the ledger is full or its time is over.
#[derive(Debug)]
pub struct AttemptCounter {
    seen: HashMap<u64, SeenAttempts>,
    order: VecDeque<(MonoTime, u64)>,
    capacity: usize,
    keep: Duration,
}

#[derive(Debug)]
struct SeenAttempts {
    next: u32,
    first: MonoTime,
}

impl AttemptCounter {
    /// Returns an empty ledger of at most `capacity` requests, each kept for `keep`.
    pub fn new(capacity: usize, keep: Duration) -> AttemptCounter {
        AttemptCounter {
            seen: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            keep,
        }
    }

    /// Records an attempt of the request with hash `request` and returns its number: the stated
    /// one, or one more than the last seen here if that is larger.
    pub fn record(&mut self, request: u64, stated: u32, now: MonoTime) -> u32 {
        self.forget(now);
        if let Some(seen) = self.seen.get_mut(&request) {
            let attempt = seen.next.max(stated);
            seen.next = attempt.saturating_add(1);
            return attempt;
        }
        let seen = SeenAttempts {
            next: stated.saturating_add(1),
            first: now,
        };
        self.seen.insert(request, seen);
        self.order.push_back((now, request));
        stated
    }

    /// Returns the number of requests held.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn forget(&mut self, now: MonoTime) {
        while let Some(&(first, request)) = self.order.front() {
            let full = self.seen.len() >= self.capacity;
            if !full && now.since(first) < self.keep {
                return;
            }
            self.order.pop_front();
            if self.seen.get(&request).is_some_and(|s| s.first == first) {
                self.seen.remove(&request);
            }
        }
    }
}
