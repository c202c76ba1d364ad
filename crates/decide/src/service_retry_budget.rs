//! The budget for sending a request to a second backend server.
//!
//! Every daemon keeps its own part of it, as a part of the requests that it sends itself, so that
//! the sum over all daemons stays within the bound without a message. A repeat near the root repeats
//! all calls below it, which count as repeats too; so a call of a repeat uses the budget up instead
//! of adding to it. A service that fails at the end of a chain may use the whole budget, unless
//! those above it do.

use crate::name::ServiceName;
use std::collections::HashMap;

/// Repeats that are earned with each request; below the fifth that is allowed, as the parts of
/// daemons with many calls of repeats are not made up for by the others.
const EARNED: f64 = 0.16;
/// Most repeats that are saved up.
const SAVED_MAX: f64 = 1.0;
/// Most repeats that are owed, so that a spell of them above is over soon.
const OWED_MAX: f64 = 5.0;

/// Repeats that a daemon may still send, by service.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    saved: HashMap<ServiceName, f64>,
}

impl ServiceRetryBudget {
    /// Takes note of a request for `service` that is sent for the first time; `is_repeat` if it is a
    /// call of a repeat.
    pub fn record_request(&mut self, service: &ServiceName, is_repeat: bool) {
        let used = f64::from(u8::from(is_repeat));
        let saved = self.saved(service);
        *saved = (*saved + EARNED - used).clamp(-OWED_MAX, SAVED_MAX);
    }

    /// Spends a repeat, if there is one.
    pub fn try_spend(&mut self, service: &ServiceName) -> bool {
        let saved = self.saved(service);
        let is_enough = *saved >= 1.0;
        if is_enough {
            *saved -= 1.0;
        }
        is_enough
    }

    fn saved(&mut self, service: &ServiceName) -> &mut f64 {
        if !self.saved.contains_key(service) {
            self.saved.insert(service.clone(), 0.0);
        }
        self.saved.get_mut(service).expect("inserted above")
    }
}
