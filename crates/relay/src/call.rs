//! Handles one request of a caller: finds its route and sends it to gates of the routed service.
//!
//! Gates are tried one after the other until one returns the server's response, no further try is
//! allowed or the deadline passes.

mod identity;
mod inheritance;
mod pending;
mod selection;

use crate::{
    body::{BodyError, BodyLimits, read_body},
    decision_log::{EntryDecision, request_id},
    entry::RequestEntry,
    error::RelayError,
    gate::GateResult,
    headers::{head_bytes, parse_millis, strip_hop_by_hop},
    hop::{HopContext, HopOutcome},
    notice::NOTICE,
    quota::QUOTA,
};
use agatehill_decide::{
    call_parent::CallParent,
    gate_selection::RouteKey,
    latency_budget::{LatencyBudget, RETRY_AFTER_MIN},
    name::ServiceName,
    quarantine::RequestContent,
    service_config::{ClientAccount, RouteRule, RouteTable},
    time::MonoTime,
};
use agatehill_peer::{body::CallBody, crash_report::CRASH_REPORT_HEADER};
use gotham::helpers::http::Body;
use http::{Request, Response, Uri, Version, header::HOST, request::Parts};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use pending::PendingGuard;

/// Largest request body that is buffered, so that it can be sent again, in bytes.
pub(crate) const BUFFERED_REQUEST_MAX: usize = 256 * 1024;
/// Time allowed for a request without a deadline header.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(5);
/// Time that a caller waits beyond its route's timeout, for a response that is on its way.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);
/// Time reserved from a caller's deadline for sending the response back.
const RESPONSE_RESERVE: Duration = Duration::from_millis(20);
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

/// A request of a caller in flight. Its end is logged on drop.
pub(crate) struct RequestCall<'a> {
    entry: &'a RequestEntry,
    head: Parts,
    /// The sender's end of the connection.
    sender: SocketAddr,
    started: MonoTime,
    /// Time allowed for the request, from `started` on.
    time_limit: Duration,
    table: Option<Arc<RouteTable>>,
    /// The request that the server on this host sends this one for, if any.
    parent: Option<CallParent>,
    /// The client account whose key it carries.
    account: Option<Arc<ClientAccount>>,
    /// Route and service, once a route has matched.
    target: Option<RequestTarget>,
    /// Identifies its content; known only once there are suspects.
    content: Option<RequestContent>,
    gates_tried: Vec<SocketAddr>,
    /// Number of them whose server had reached its limit.
    gates_limited: usize,
    /// Number of backend servers that it reached and got no response from.
    servers_reached: u32,
    /// Whether an earlier try may have run.
    may_have_run: bool,
    /// Whether a try is in flight, which may run.
    is_in_flight: bool,
    /// How it ended; stays `None` if the caller disconnects.
    end: Option<CallEnd>,
}

/// How a request ended.
struct CallEnd {
    outcome: &'static str,
    status: u16,
}

/// The matched route and the service selected for the request.
#[derive(Clone)]
struct RequestTarget {
    rule: Arc<RouteRule>,
    route: RouteKey,
    service: ServiceName,
}

impl<'a> RequestCall<'a> {
    /// Returns the handler of a request that has just arrived.
    pub(crate) fn new(entry: &'a RequestEntry, head: Parts, sender: SocketAddr) -> RequestCall<'a> {
        let deadline = parse_millis(&head.headers, &entry.options.names.deadline_ms);
        let started = entry.options.clock.now();
        RequestCall {
            entry,
            head,
            sender,
            started,
            time_limit: deadline.unwrap_or(DEADLINE_DEFAULT),
            parent: None,
            account: None,
            table: entry.table.load_full(),
            target: None,
            content: None,
            gates_tried: Vec::new(),
            gates_limited: 0,
            servers_reached: 0,
            may_have_run: false,
            is_in_flight: false,
            end: None,
        }
    }

    /// Returns the response to the request. Dropping the future cancels the request.
    pub(crate) async fn respond(mut self, body: Body) -> Response<CallBody> {
        let result = self.relay(body).await;
        let (outcome, response) = match result {
            Ok(response) => ("answered", response),
            Err(error) => (error.reason(), error.response()),
        };
        self.end = Some(CallEnd {
            outcome,
            status: response.status().as_u16(),
        });
        response
    }

    async fn relay(&mut self, body: Body) -> Result<Response<CallBody>, RelayError> {
        let table = self.table.clone().ok_or(RelayError::NoConfig)?;
        if head_bytes(&self.head) > table.config().limits.head_bytes_max {
            return Err(RelayError::HeadTooLarge);
        }
        let rule = find_rule(&table, &self.head).ok_or(RelayError::NoRoute)?;
        let route = route_key(rule);
        self.identify(&table, rule, route)?;
        let target = RequestTarget {
            rule: rule.clone(),
            route,
            service: self.entry.pick_service(rule, route),
        };
        self.target = Some(target.clone());
        let response_limit = self.time_limit.saturating_sub(RESPONSE_RESERVE);
        self.time_limit = response_limit.min(rule.timeout + TIMEOUT_GRACE);
        strip_hop_by_hop(&mut self.head.headers);
        // Only daemons send these.
        self.head.headers.remove(CRASH_REPORT_HEADER);
        self.head.headers.remove(NOTICE);
        self.head.headers.remove(QUOTA);
        let limits = BodyLimits {
            buffered_max: BUFFERED_REQUEST_MAX,
            size_max: table.config().limits.body_bytes_max,
            ends_at: None,
        };
        let mut buffer = self.entry.request_buffers.reservation();
        let reading = read_body(body, limits, Some(&mut buffer), ());
        let read = tokio::time::timeout(self.time_limit, reading).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => return Err(RelayError::BodyTooLarge),
            Ok(Err(BodyError::NoRoom)) => return Err(unavailable(RETRY_AFTER_MIN)),
            Ok(Err(BodyError::Interrupted)) => return Err(RelayError::BadRequest),
            Err(_) => return Err(RelayError::BodyTimeout),
        };
        // Only now, as a head or a body may take long to arrive.
        if self.entry.is_closed() && self.parent.is_none() {
            return Err(RelayError::Stopping);
        }
        // Right before the request is sent on, because a token is valid for a short time only.
        if let Some(account) = self.account.clone() {
            self.entry.quotas.take(&account).await?;
        }
        match tokio::time::timeout(self.remaining(), self.try_gates(&target, body)).await {
            Ok(result) => result,
            Err(_) if self.is_in_flight || self.may_have_run => Err(RelayError::DeadlineExceeded),
            Err(_) => Err(unavailable(RETRY_AFTER_MIN)),
        }
    }

    async fn try_gates(
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

    fn remaining(&self) -> Duration {
        let end = self.started + self.time_limit;
        end.since(self.entry.options.clock.now())
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

impl Drop for RequestCall<'_> {
    /// Logs the end of the request.
    fn drop(&mut self) {
        let options = &self.entry.options;
        let parent = self.parent.map(|parent| parent.key);
        options.gate.server().end_call(parent, self.sender);
        let now = options.clock.now();
        let target = self.target.as_ref();
        let (outcome, status) = match &self.end {
            Some(end) => (end.outcome, end.status),
            None => ("caller-gone", 0),
        };
        let decision = EntryDecision {
            id: request_id(&self.head.headers, &options.names.request_id),
            route: target.map(|target| target.rule.name.as_str()),
            version: self.table.as_ref().map_or(0, |t| t.config().version),
            service: target.map(|target| &target.service),
            content: self.content.map(|content| content.fingerprint),
            parent: self.parent.map(|parent| parent.evidence),
            rank: target.map(|target| self.rank(target)),
            account: self.account.as_ref().map(|account| &account.name),
            account_label: self.account_label(),
            target_latency: target.map(|target| target.rule.target_latency),
            gates_tried: &self.gates_tried,
            servers_reached: self.servers_reached + u32::from(outcome == "answered"),
            outcome,
            status,
            time_limit: self.time_limit,
            elapsed: now.since(self.started),
        };
        options.log.record_entry(&decision, now);
    }
}

/// Returns the error for a request that has not run, with jitter on `retry_after`.
fn unavailable(retry_after: Duration) -> RelayError {
    RelayError::Unavailable {
        retry_after: add_jitter(retry_after),
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

fn find_rule<'a>(table: &'a RouteTable, head: &Parts) -> Option<&'a Arc<RouteRule>> {
    let host = match head.headers.get(HOST) {
        Some(value) => value.to_str().ok()?,
        None => head.uri.host()?,
    };
    table.find(host, head.uri.path())
}

fn route_key(rule: &RouteRule) -> RouteKey {
    let mut hasher = DefaultHasher::new();
    rule.name.hash(&mut hasher);
    RouteKey(hasher.finish())
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

/// Adds jitter to a retry-after, so that callers don't retry at the same moment.
fn add_jitter(retry_after: Duration) -> Duration {
    retry_after.mul_f64(1.0 + rand::random::<f64>() * 0.5)
}
