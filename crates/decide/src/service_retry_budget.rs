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
use std::{collections::HashMap, time::Duration};

/// Retries added to the budget by each request. Below the allowed fifth; the rest bounds what a daemon
/// may save up.
const RETRIES_PER_REQUEST: f64 = 0.16;
/// Retries that a daemon may save up for each request of the last [`BUDGET_WINDOW`].
const SAVED_PER_REQUEST: f64 = 0.04;
/// Retries that a daemon may save up, however few its requests are. All daemons together may make as
/// many in addition to their share of the requests.
const SAVED_MIN: f64 = 1.25;
/// Retries that a daemon may save up, however many its requests are.
const SAVED_MAX: f64 = 5.0;
/// Time over which retries are held against requests.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Largest debt for each request of the last [`BUDGET_WINDOW`].
const DEBT_PER_REQUEST: f64 = 0.2;
/// Largest debt, however few the requests are.
const DEBT_MIN: f64 = 5.0;
/// Share of the savings that an important request leaves to others, in relation to another of equal
/// progress.
const IMPORTANT_RESERVE_SHARE: f64 = 0.4;

/// How much is lost if a request is not retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryValue {
    /// Whether its root is of the most important rank.
    pub is_important: bool,
    /// Calls of its parent that have been answered before, 0 for a root.
    pub calls_answered: u32,
}

impl RetryValue {
    /// Returns the share of the savings, 0 to 1, that must be left for others.
    fn reserve_share(self) -> f64 {
        let share = match self.is_important {
            true => IMPORTANT_RESERVE_SHARE,
            false => 1.0,
        };
        share / f64::from(1 + self.calls_answered)
    }
}

/// The budget for one service, in retries.
#[derive(Clone, Copy, Debug)]
struct ServiceBalance {
    balance: f64,
    /// Requests of the last [`BUDGET_WINDOW`], weighted towards the newest.
    recent: f64,
    updated_at: MonoTime,
}

impl ServiceBalance {
    fn new(now: MonoTime) -> ServiceBalance {
        ServiceBalance {
            balance: 0.0,
            recent: 0.0,
            updated_at: now,
        }
    }

    /// Lets what is older than the window count less. Savings stay: they are bounded.
    fn advance(&mut self, now: MonoTime) {
        let windows = now.since(self.updated_at).div_duration_f64(BUDGET_WINDOW);
        let kept = (-windows).exp();
        self.updated_at = now;
        self.recent *= kept;
        if self.balance < 0.0 {
            self.balance *= kept;
        }
        self.balance = self.balance.min(self.saved_max());
    }

    fn saved_max(&self) -> f64 {
        (self.recent * SAVED_PER_REQUEST).clamp(SAVED_MIN, SAVED_MAX)
    }

    fn record_request(&mut self, retry_share: f64) {
        self.recent += 1.0;
        let debt_max = (self.recent * DEBT_PER_REQUEST).max(DEBT_MIN);
        let balance = self.balance + RETRIES_PER_REQUEST - retry_share;
        self.balance = balance.clamp(-debt_max, self.saved_max());
    }

    fn try_spend(&mut self, value: RetryValue) -> bool {
        let reserve = (self.saved_max() - 1.0) * value.reserve_share();
        let is_enough = self.balance >= 1.0 + reserve;
        if is_enough {
            self.balance -= 1.0;
        }
        is_enough
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
        self.balance(service, now).record_request(retry_share);
    }

    /// Takes one retry of a request of `value` from the budget; returns false if there is none for it.
    pub fn try_spend(&mut self, service: &ServiceName, value: RetryValue, now: MonoTime) -> bool {
        self.balance(service, now).try_spend(value)
    }

    fn balance(&mut self, service: &ServiceName, now: MonoTime) -> &mut ServiceBalance {
        if !self.balances.contains_key(service) {
            let balance = ServiceBalance::new(now);
            self.balances.insert(service.clone(), balance);
        }
        let balance = self.balances.get_mut(service).expect("inserted above");
        balance.advance(now);
        balance
    }
}
