//! Retry budget for sending a request to a second backend server.
//!
//! Each daemon has a budget in proportion to the requests that it sends, so that the sum over all
//! daemons stays within the bound without messages between them. A retry near the root repeats all
//! calls below it, which count as retries too; so a call made by a retry uses up budget instead of
//! adding to it. A service that fails at the end of a chain can use the whole budget unless the
//! services above it use some.

use crate::name::ServiceName;
use std::collections::HashMap;

/// Retries added to the budget by each request. Below the allowed fifth: a daemon that sends many
/// calls made by retries exceeds its own budget, and the others do not compensate for that.
const RETRIES_PER_REQUEST: f64 = 0.16;
/// Upper bound of a budget, in retries.
const BALANCE_MAX: f64 = 1.0;
/// Most retries by which a budget can be below zero, so that it recovers soon after many retries by
/// the services above.
const DEBT_MAX: f64 = 5.0;

/// Retry budget of one daemon, by service.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    balances: HashMap<ServiceName, f64>,
}

impl ServiceRetryBudget {
    /// Records a request for `service` that is sent for the first time. `is_retry` states whether it
    /// is a call made by a retry.
    pub fn record_request(&mut self, service: &ServiceName, is_retry: bool) {
        let used = f64::from(u8::from(is_retry));
        let balance = self.balance(service);
        *balance = (*balance + RETRIES_PER_REQUEST - used).clamp(-DEBT_MAX, BALANCE_MAX);
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn try_spend(&mut self, service: &ServiceName) -> bool {
        let balance = self.balance(service);
        let is_enough = *balance >= 1.0;
        if is_enough {
            *balance -= 1.0;
        }
        is_enough
    }

    fn balance(&mut self, service: &ServiceName) -> &mut f64 {
        if !self.balances.contains_key(service) {
            self.balances.insert(service.clone(), 0.0);
        }
        self.balances.get_mut(service).expect("inserted above")
    }
}
