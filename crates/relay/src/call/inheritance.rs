//! What a call inherits from the request that it is made for, and whether it may be retried.

use super::{RequestCall, RequestTarget};
use agatehill_decide::{
    call_parent::{CallArrival, CallParent, CallSender},
    gate_selection::RouteKey,
    service_config::{is_most_urgent_route, rank_among_accounts},
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
            is_important: self.is_important(target),
            calls_answered: self.parent.map_or(0, |parent| parent.calls_answered),
        };
        let is_allowed = self.servers_reached < target.rule.servers_max;
        let now = self.entry.options.clock.now();
        let budget = &mut self.entry.lock().retry_budget;
        is_allowed && budget.try_spend(&target.service, value, now)
    }

    /// Returns the rank of the request at the root of the call graph.
    pub(super) fn rank(&self, target: &RequestTarget) -> u32 {
        if let Some(parent) = &self.parent {
            return parent.request.rank;
        }
        match self.has_accounts() {
            true => rank_among_accounts(self.account.as_deref(), &target.rule),
            false => target.rule.priority,
        }
    }

    /// Returns whether its root is on a route of the most important rank.
    fn is_important(&self, target: &RequestTarget) -> bool {
        let rank = self.rank(target);
        match self.has_accounts() {
            true => is_most_urgent_route(rank),
            false => rank == RANK_IMPORTANT,
        }
    }

    fn has_accounts(&self) -> bool {
        let table = self.table.as_ref();
        table.is_some_and(|table| table.requires_keys())
    }
}
