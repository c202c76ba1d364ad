//! The tries of a request: gate after gate, until one returns the server's response.

use super::{RequestCall, RequestTarget, pending::PendingGuard, unavailable};
use crate::{
    error::RelayError,
    gate::GateResult,
    hop::{HopContext, HopOutcome},
};
use agatehill_decide::{
    latency_budget::{LatencyBudget, RETRY_AFTER_MIN},
    service_config::RouteRule,
    time::MonoTime,
};
use agatehill_peer::body::CallBody;
use http::{Request, Response, Uri, Version};
use std::{net::SocketAddr, time::Duration};

/// Longest time for which a gate whose server has reached its limit is avoided.
const LIMIT_PAUSE_MAX: Duration = Duration::from_millis(500);
/// Latency recorded for a refusal: more than it costs to reach another zone of the region, less
/// than to reach another region, which is likely to be under the same load.
const REFUSAL_LATENCY: Duration = Duration::from_millis(300);
/// Fraction of the route's timeout after which a request of priority 0, the most important, counts
/// as late.
const LATE_FRACTION_PRIORITY_0: f64 = 0.85;
/// The same fraction for all other priorities; lower, so that their routes are limited first.
const LATE_FRACTION: f64 = 0.6;
/// Shortest remaining time in which a request is retried.
const RETRY_TIME_MIN: Duration = Duration::from_millis(10);

impl RequestCall<'_> {
    /// Sends the request to gates of the target's service, one after the other, until one returns a response or no further
    /// try is allowed.
    pub(super) async fn try_gates(
        &mut self,
        target: &RequestTarget,
        body: CallBody,
    ) -> Result<Response<CallBody>, RelayError> {
        let mut next = Some(body);
        let mut budget = match self.parent {
            None => LatencyBudget::of_root(target.rule.target_latency),
            Some(_) => LatencyBudget::of_call(target.rule.target_latency),
        };
        let mut retry_after = RETRY_AFTER_MIN;
        let retry_share = self.inherited_retry_share();
        let now = self.entry.options.clock.now();
        self.entry
            .lock()
            .retry_budget
            .record_request(&target.service, retry_share, now);
        while let Some(body) = next.take() {
            let (suspect, body) = self.check_quarantine(body).await?;
            let Some(gate) = self.select_gate(target, suspect) else {
                break;
            };
            let copy = body.try_clone();
            let sent_at = self.entry.options.clock.now();
            let wait_max = budget.wait_max(self.remaining());
            let result = self.try_gate(target, gate, wait_max, body).await;
            if let Some(response) = result.response {
                return Ok(response);
            }
            retry_after = retry_after.max(result.retry_after);
            match result.outcome {
                HopOutcome::Answered | HopOutcome::Lost => {
                    self.servers_reached += 1;
                    self.may_have_run = true;
                    if self.remaining() < RETRY_TIME_MIN {
                        return Err(RelayError::DeadlineExceeded);
                    }
                    if !target.rule.kind.is_idempotent() || !self.may_retry(target) {
                        return Err(RelayError::Lost);
                    }
                }
                HopOutcome::Shed => {
                    self.servers_reached += 1;
                    if !self.may_retry(target) {
                        break;
                    }
                }
                HopOutcome::Refused => {
                    self.gates_limited += usize::from(self.is_limited(gate));
                    let now = self.entry.options.clock.now();
                    budget.record_refusal(now.since(sent_at));
                }
            }
            next = copy;
        }
        match self.may_have_run {
            true => Err(RelayError::Lost),
            false => Err(self.refuse(target, budget, retry_after)),
        }
    }

    /// Returns the error for a request that no gate accepts, with the time after which its caller may come
    /// back.
    fn refuse(
        &self,
        target: &RequestTarget,
        budget: LatencyBudget,
        proposed: Duration,
    ) -> RelayError {
        let options = &self.entry.options;
        let candidates = options.gates.get(&target.service);
        let now = options.clock.now();
        let selector = &self.entry.lock().selector;
        let latency = selector.expected_latency(&candidates, target.route, now);
        unavailable(budget.retry_after(proposed, now.since(self.started), latency))
    }

    /// Sends the request to `gate`, where it may wait for `wait_max`, and records the result.
    async fn try_gate(
        &mut self,
        target: &RequestTarget,
        gate: SocketAddr,
        wait_max: Duration,
        body: CallBody,
    ) -> GateResult {
        let hop = HopContext {
            service: target.service.clone(),
            caller: self.entry.options.service.clone(),
            route: target.route,
            rank: self.rank(target),
            remaining: self.remaining(),
            late_after: late_after(&target.rule),
            is_nested: self.parent.is_some(),
            retry_share: match self.servers_reached {
                0 => self.inherited_retry_share(),
                _ => 1.0,
            },
            wait_max,
        };
        let entry = self.entry;
        let options = &entry.options;
        let started = options.clock.now();
        self.gates_tried.push(gate);
        let mut pending = PendingGuard::begin(entry, gate);
        let req = self.build_request(body);
        self.is_in_flight = true;
        let result = if gate == options.gate_addr {
            options.gate.run(&hop, req).await
        } else {
            let is_idempotent = target.rule.kind.is_idempotent();
            entry
                .send(gate, &hop, is_idempotent, &self.strikes(), req)
                .await
        };
        self.is_in_flight = false;
        pending.has_result = true;
        drop(pending);
        self.record_result(target, gate, &result, started);
        result
    }

    fn build_request(&self, body: CallBody) -> Request<CallBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = origin_form(&self.head.uri);
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = self.head.headers.clone();
        req
    }

    /// Updates the gate selection with the result of a try at `gate`.
    fn record_result(
        &self,
        target: &RequestTarget,
        gate: SocketAddr,
        result: &GateResult,
        started: MonoTime,
    ) {
        let now = self.entry.options.clock.now();
        let is_limited = result.outcome == HopOutcome::Refused && self.is_limited(gate);
        let mut state = self.entry.lock();
        let latency = match result.outcome {
            HopOutcome::Lost => return state.selector.record_failure(gate, now),
            HopOutcome::Refused if is_limited => {
                let pause = result.retry_after.min(LIMIT_PAUSE_MAX);
                return state.selector.record_limited(gate, now + pause);
            }
            HopOutcome::Answered => now.since(started),
            HopOutcome::Refused | HopOutcome::Shed => REFUSAL_LATENCY,
        };
        state
            .selector
            .record_latency(gate, target.route, latency, now);
    }
}

/// Returns the time at the gate from which a request of `rule` counts as late.
fn late_after(rule: &RouteRule) -> Duration {
    let fraction = match rule.priority {
        0 => LATE_FRACTION_PRIORITY_0,
        _ => LATE_FRACTION,
    };
    rule.timeout.mul_f64(fraction)
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
