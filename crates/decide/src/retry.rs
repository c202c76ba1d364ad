//! Retries of one request, bounded over its whole chain of calls.
//!
//! A contract's `retries_per_request` allows one more try than that in total. Each attempt of the
//! caller has a fixed share of these tries, and the shares add up to the total, so attempts that
//! arrive at different daemons need no shared state. Within one attempt the retries are tokens held
//! by the record of a call. A child call leases some of them and returns those it did not use; the
//! tokens of a lost child call count as spent.

use crate::{outcome::CallOutcome, time::MonoTime};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Longest retry-after sent to a caller.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Error for an attempt beyond the number that the contract allows; it is refused without running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptError {
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// Number of attempts that the contract allows.
    pub allowed: u32,
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let AttemptError { attempt, allowed } = self;
        write!(
            f,
            "attempt {attempt} exceeds the {allowed} attempts that the contract allows"
        )
    }
}

impl std::error::Error for AttemptError {}

/// Retries that a call can still make, itself or through its child calls.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct RetryBudget {
    remaining: u32,
}

/// Retries leased to one child call; dropping the lease counts them as spent.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a dropped lease counts as spent"]
pub struct RetryLease {
    tokens: u32,
}

impl RetryLease {
    /// Returns the number of retries that the child call can make, which is sent with the call.
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
    /// Returns an error if the attempt has no share, as earlier attempts use up all tries that the
    /// contract allows.
    pub fn for_attempt(retries: u32, attempt: u32) -> Result<RetryBudget, AttemptError> {
        match attempt_share(retries, attempt) {
            0 => Err(AttemptError {
                attempt,
                allowed: max_attempts(retries),
            }),
            tries => Ok(RetryBudget {
                remaining: tries - 1,
            }),
        }
    }

    /// Returns the budget of a child call that arrived with `tokens` retries.
    pub fn from_lease(tokens: u32) -> RetryBudget {
        RetryBudget { remaining: tokens }
    }

    /// Returns the remaining retries; the response of a child call contains this number.
    pub fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Spends one retry; returns false if none remains.
    pub fn try_spend(&mut self) -> bool {
        let spent = self.remaining > 0;
        self.remaining -= u32::from(spent);
        spent
    }

    /// Leases half of the remaining retries, rounded up, to a child call.
    pub fn lease(&mut self) -> RetryLease {
        let tokens = self.remaining.div_ceil(2);
        self.remaining -= tokens;
        RetryLease { tokens }
    }

    /// Adds the `unused` retries of `lease` back to the budget, at most as many as were leased.
    pub fn give_back(&mut self, lease: RetryLease, unused: u32) {
        self.remaining += unused.min(lease.tokens);
    }
}

/// Returns the number of tries of the caller's attempt number `attempt`, the first try included.
///
/// Each attempt gets half of the tries that remain after the earlier ones, rounded up.
pub fn attempt_share(retries: u32, attempt: u32) -> u32 {
    let mut remaining = retries.saturating_add(1);
    for _ in 0..attempt {
        remaining /= 2;
        if remaining == 0 {
            return 0;
        }
    }
    remaining.div_ceil(2)
}

/// Returns the number of attempts that a caller may make, the first one included.
pub fn max_attempts(retries: u32) -> u32 {
    let tries = u64::from(retries) + 1;
    u64::BITS - tries.leading_zeros()
}

/// What is known of a try that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TryOutcome {
    /// Whether the request ran.
    pub outcome: CallOutcome,
    /// Whether a deeper hop has stopped retrying.
    pub given_up: bool,
    /// Whether the operation is idempotent.
    pub idempotent: bool,
}

impl TryOutcome {
    /// Returns whether another server may be tried, if budget and deadline allow it.
    ///
    /// A try is repeated only if the request did not run or is idempotent, and only if no deeper hop
    /// has stopped retrying.
    pub fn may_retry(self) -> bool {
        let is_safe = match self.outcome {
            CallOutcome::NotRun => true,
            CallOutcome::Unknown => self.idempotent,
            CallOutcome::Answered | CallOutcome::Replayed => false,
        };
        is_safe && !self.given_up
    }
}

/// Returns `base` with jitter: uniform between half and one and a half of it, at most
/// [`RETRY_AFTER_MAX`]. `random` must be uniform.
pub fn jitter_retry_after(base: Duration, random: u32) -> Duration {
    let share = f64::from(random) / f64::from(u32::MAX);
    base.mul_f64(0.5 + share).min(RETRY_AFTER_MAX)
}

/// Counts recent attempts per request, for callers that do not number their resends correctly.
///
/// Requests are removed when their retention has expired, and the oldest one when the counter is
/// full.
#[derive(Debug)]
pub struct AttemptCounter {
    requests: HashMap<u64, RequestAttempts>,
    /// Requests by the time of their first attempt.
    order: VecDeque<(MonoTime, u64)>,
    capacity: usize,
    retention: Duration,
}

#[derive(Debug)]
struct RequestAttempts {
    /// Lowest number of the next attempt.
    next: u32,
    first_at: MonoTime,
}

impl AttemptCounter {
    /// Returns an empty counter of at most `capacity` requests, each kept for `retention`.
    pub fn new(capacity: usize, retention: Duration) -> AttemptCounter {
        AttemptCounter {
            requests: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            retention,
        }
    }

    /// Records an attempt of the request with hash `request` and returns its number.
    ///
    /// The number is `stated`, or one more than that of the last attempt recorded if that is larger.
    pub fn record(&mut self, request: u64, stated: u32, now: MonoTime) -> u32 {
        self.remove_expired(now);
        if let Some(attempts) = self.requests.get_mut(&request) {
            let attempt = attempts.next.max(stated);
            attempts.next = attempt.saturating_add(1);
            return attempt;
        }
        let attempts = RequestAttempts {
            next: stated.saturating_add(1),
            first_at: now,
        };
        self.requests.insert(request, attempts);
        self.order.push_back((now, request));
        stated
    }

    /// Returns the number of requests stored.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some(&(first_at, request)) = self.order.front() {
            let is_full = self.requests.len() >= self.capacity;
            if !is_full && now.since(first_at) < self.retention {
                return;
            }
            self.order.pop_front();
            if self
                .requests
                .get(&request)
                .is_some_and(|attempts| attempts.first_at == first_at)
            {
                self.requests.remove(&request);
            }
        }
    }
}
