//! The budget for sending a request to a second backend server.
//!
//! Every daemon keeps its own share, as a part of the requests that it sends itself, so that the
//! sum over all daemons stays within the bound without a message. A repeat near the root repeats
//! all calls below it: at the end of a chain the parts of all its services add up.

use crate::name::ServiceName;
use std::collections::HashMap;

/// Repeats that are earned with each first request; four services deep, the sum stays below the
/// fifth that is allowed.
const EARNED: f64 = 0.04;
/// Most repeats that are saved up.
const SAVED_MAX: f64 = 1.0;

/// Repeats that a daemon may still send, by service.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    saved: HashMap<ServiceName, f64>,
}

impl RepeatBudget {
    /// Takes note of a first request for `service`.
    pub fn earn(&mut self, service: &ServiceName) {
        let saved = self.saved(service);
        *saved = (*saved + EARNED).min(SAVED_MAX);
    }

    /// Spends a repeat, if there is one.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
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
