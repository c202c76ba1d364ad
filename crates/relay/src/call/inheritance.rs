//! What a call inherits from the request that it is made for, and whether it may be retried.

use super::{RequestCall, RequestTarget};
use agatehill_decide::{
    call_parent::{CallArrival, CallParent, CallSender},
    gate_selection::RouteKey,
    service_retry_budget::RetryValue,
};

/// Rank of the most important requests.
const RANK_IMPORTANT: u32 = 0;

impl RequestCall<'_> {
    /// Returns the running request of the server on this host that this one is a call of, if any.
    pub(super) fn find_parent(&self, route: RouteKey, sender: CallSender) -> Option<CallParent> {
        let call = CallArrival {
            deadline: self.started + self.time_limit,
            route,
            connection: self.sender,
            sender,
        };
        self.entry.gate().server().begin_call(call)
    }

    /// Returns the probability that the parent is a retry, 0 without one.
    pub(super) fn inherited_retry_share(&self) -> f64 {
        self.parent.map_or(0.0, |parent| parent.request.retry_share)
    }

    pub(super) fn may_retry(&self, target: &RequestTarget) -> bool {
        let value = RetryValue {
            is_important: self.rank(target) == RANK_IMPORTANT,
            calls_answered: self.parent.map_or(0, |parent| parent.calls_answered),
        };
        let is_allowed = self.servers_reached < target.rule.servers_max;
        let now = self.entry.options.clock.now();
        let budget = &mut self.entry.lock().retry_budget;
        is_allowed && budget.try_spend(&target.service, value, now)
    }

    /// Returns the rank of the request at the root of the call graph.
    pub(super) fn rank(&self, target: &RequestTarget) -> u32 {
        match (&self.parent, &self.account) {
            (Some(parent), _) => parent.request.rank,
            (None, Some(account)) => account.rank_on(&target.rule),
            (None, None) => target.rule.priority,
        }
    }
}
