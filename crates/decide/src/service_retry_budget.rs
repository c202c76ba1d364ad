//! Retry budget for sending a request to a second backend server.
//!
//! Each daemon has a budget in proportion to the requests that it sends, so that the sum over all
//! daemons stays within the bound without messages between them. A retry near the root repeats all
//! calls below it, which count as retries too; so a call made by a retry uses up budget instead of
//! adding to it. Where it isn't certain whether a call is made by a retry, the probability counts.
//! A service that fails at the end of a chain can use the whole budget unless the services above it
//! use some.
//!
//! Designed also for a service at the end of a chain that rejects more than the budget can repeat. A root
//! request needs several calls there, one after the other, and fails with the first that fails. So the
//! budget goes to the calls that save most: those of important roots, and those of parents that have most
//! of their calls behind them. What would come through anyway by chance alone is not retried early.

use crate::{name::ServiceName, time::MonoTime};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Retries added to the budget by each request. Below the allowed fifth, because calls made by retries
/// can't be refused at a daemon that has none left, and the others do not compensate for that.
const RETRIES_PER_REQUEST: f64 = 0.16;
/// Retries that a daemon may save up for each request of the last [`BUDGET_WINDOW`].
const SAVED_PER_REQUEST: f64 = 0.02;
/// Retries that a daemon may save up, however few its requests are. All daemons together may make as
/// many in addition to their share of the requests.
const SAVED_MIN: f64 = 1.25;
/// Retries that a daemon may save up, however many its requests are: a burst of retries would reach the
/// services below while fewer new requests do.
const SAVED_MAX: f64 = 5.0;
/// Share of the savings above one retry that an important request leaves to others, in relation to
/// another of equal progress.
const IMPORTANT_RESERVE_SHARE: f64 = 0.4;
/// Time over which retries are held against requests.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Parts of the window that are counted apart.
const WINDOW_PARTS: u32 = 20;

/// How much is lost if a request is not retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryValue {
    /// Whether its root is of the most important rank.
    pub is_important: bool,
    /// Calls of its parent that have been answered before, 0 for a root.
    pub calls_answered: u32,
}

impl RetryValue {
    /// Returns the share of the savings, 0 to 1, that must be left to others.
    fn reserve_share(self) -> f64 {
        let share = match self.is_important {
            true => IMPORTANT_RESERVE_SHARE,
            false => 1.0,
        };
        share / f64::from(1 + self.calls_answered)
    }
}

/// Requests in one part of a window.
#[derive(Clone, Copy, Debug)]
struct WindowPart {
    /// Number of the part since the start of the clock.
    number: u64,
    requests: f64,
}

/// The budget for one service, in retries.
#[derive(Clone, Debug, Default)]
struct ServiceBalance {
    balance: f64,
    /// Requests of the last [`BUDGET_WINDOW`].
    parts: VecDeque<WindowPart>,
    /// Sum of `parts`.
    recent: f64,
}

impl ServiceBalance {
    fn record_request(&mut self, retry_share: f64, now: MonoTime) {
        self.advance(now);
        self.balance += RETRIES_PER_REQUEST - retry_share;
        self.recent += 1.0;
        if let Some(last) = self.parts.back_mut() {
            last.requests += 1.0;
        }
        self.bound();
    }

    fn try_spend(&mut self, value: RetryValue, now: MonoTime) -> bool {
        self.advance(now);
        self.bound();
        let reserve = (self.saved_max() - 1.0) * value.reserve_share();
        let is_enough = self.balance >= 1.0 + reserve;
        if is_enough {
            self.balance -= 1.0;
        }
        is_enough
    }

    /// Begins a new part of the window if it is time, and drops those that ended a window ago.
    fn advance(&mut self, now: MonoTime) {
        let part = (BUDGET_WINDOW / WINDOW_PARTS).as_micros();
        let number = u64::try_from(now.as_micros() as u128 / part).unwrap_or(u64::MAX);
        while let Some(first) = self.parts.front()
            && first.number + u64::from(WINDOW_PARTS) < number
        {
            self.recent -= first.requests;
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|last| last.number < number) {
            self.parts.push_back(WindowPart {
                number,
                requests: 0.0,
            });
        }
    }

    /// Bounds the savings, and the debt to what the requests of a window add: what was used earlier no
    /// longer counts.
    fn bound(&mut self) {
        let debt_max = self.recent * RETRIES_PER_REQUEST;
        self.balance = self.balance.clamp(-debt_max, self.saved_max());
    }

    fn saved_max(&self) -> f64 {
        (self.recent * SAVED_PER_REQUEST).clamp(SAVED_MIN, SAVED_MAX)
    }
}

/// Retry budget of one daemon, by service.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    balances: HashMap<ServiceName, ServiceBalance>,
}

impl ServiceRetryBudget {
    /// Records a request for `service` that is sent for the first time. `retry_share` is the probability
    /// that it is a call made by a retry.
    pub fn record_request(&mut self, service: &ServiceName, retry_share: f64, now: MonoTime) {
        self.balance(service).record_request(retry_share, now);
    }

    /// Takes one retry of a request of `value` from the budget; returns false if there is none for it.
    pub fn try_spend(&mut self, service: &ServiceName, value: RetryValue, now: MonoTime) -> bool {
        self.balance(service).try_spend(value, now)
    }

    fn balance(&mut self, service: &ServiceName) -> &mut ServiceBalance {
        if !self.balances.contains_key(service) {
            let balance = ServiceBalance::default();
            self.balances.insert(service.clone(), balance);
        }
        self.balances.get_mut(service).expect("inserted above")
    }
}
