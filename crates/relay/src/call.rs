//! One request of a caller: its route, the gates that it is offered to and its end.
//!
//! It is sent to the gates of its service, one after the other, until one answers, nothing more may
//! be tried or the time is up.

use crate::{
    body::{BodyError, BodyLimits, read_body},
    decision_log::{EntryDecision, request_id},
    entry::RequestEntry,
    error::RelayError,
    gate::GateResult,
    headers::{head_bytes, parse_millis, strip_hop_by_hop},
    hop::{HopContext, HopOutcome},
};
use agatehill_decide::{
    call_parent::ParentRequest,
    gate_selection::RouteKey,
    name::ServiceName,
    service_config::{RouteRule, RouteTable},
    time::MonoTime,
};
use agatehill_peer::body::CallBody;
use gotham::helpers::http::Body;
use http::{Request, Response, Uri, Version, header::HOST, request::Parts};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Largest request body that is held whole, so that it can be sent again, in bytes.
pub(crate) const WHOLE_REQUEST_MAX: usize = 256 * 1024;
/// Shortest time to come back after a refusal.
pub(crate) const RETRY_MIN: Duration = Duration::from_millis(100);
/// Deadline of a request that names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(5);
/// Time that a caller is kept waiting beyond its route's timeout, for an answer on its way.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);
/// Time kept back from a caller's deadline, for the answer's way.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Gates that one request is offered to at most; refusals cost a round trip each.
const OFFERS_MAX: usize = 3;
/// Latency that a refusal counts as: more than the way to another zone of the region, less than that
/// to another region, where the same load is likely to wait.
const REFUSED_LATENCY: Duration = Duration::from_millis(300);
/// Part of its route's timeout from which a request of the most important rank counts as late.
const LATE_PART_FIRST: f64 = 0.85;
/// The same for the other ranks, which so give way before.
const LATE_PART: f64 = 0.6;
/// Time under way to a gate after which the end of a request without a word from it counts as a
/// failure of the gate.
const SILENT_LIMIT: Duration = Duration::from_millis(400);
/// Time that is too short for another try.
const TRY_MIN: Duration = Duration::from_millis(10);

/// One request on its way.
pub(crate) struct RequestCall<'a> {
    entry: &'a RequestEntry,
    head: Parts,
    began: MonoTime,
    /// Time that the caller waits for its answer.
    patience: Duration,
    table: Option<Arc<RouteTable>>,
    /// The request that the server on this host makes it for, if it does.
    parent: Option<ParentRequest>,
    /// Where it goes, once that is known.
    target: Option<RequestTarget>,
    tried: Vec<SocketAddr>,
    /// Backend servers that it reached.
    reached: u32,
    /// Whether a try ended without a word on whether it has run.
    may_have_run: bool,
    /// Whether a try is under way that may have reached a gate.
    is_out: bool,
    /// How it ended; `None` until then, and for good if its caller went away.
    end: Option<CallEnd>,
}

/// How a request ended.
struct CallEnd {
    outcome: &'static str,
    status: u16,
}

/// Where a request goes.
#[derive(Clone)]
struct RequestTarget {
    rule: Arc<RouteRule>,
    route: RouteKey,
    service: ServiceName,
}

impl<'a> RequestCall<'a> {
    /// Returns a request that has just come.
    pub(crate) fn new(entry: &'a RequestEntry, head: Parts) -> RequestCall<'a> {
        let asked = parse_millis(&head.headers, &entry.options.names.deadline_ms);
        let began = entry.options.clock.now();
        let server = entry.options.gate.server();
        RequestCall {
            entry,
            head,
            began,
            patience: asked.unwrap_or(DEADLINE_DEFAULT),
            parent: asked.and_then(|asked| server.find_parent(began + asked)),
            table: entry.table.load_full(),
            target: None,
            tried: Vec::new(),
            reached: 0,
            may_have_run: false,
            is_out: false,
            end: None,
        }
    }

    /// Returns the answer to the request. Dropping the future cancels the request.
    pub(crate) async fn answer(mut self, body: Body) -> Response<CallBody> {
        let result = self.relay(body).await;
        let (outcome, response) = match result {
            Ok(response) => ("answered", response),
            Err(refusal) => (refusal.reason(), refusal.response()),
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
        let target = RequestTarget {
            rule: rule.clone(),
            route,
            service: self.entry.pick(rule, route),
        };
        self.target = Some(target.clone());
        let answer_by = self.patience.saturating_sub(ANSWER_TIME);
        self.patience = answer_by.min(rule.timeout + TIMEOUT_GRACE);
        strip_hop_by_hop(&mut self.head.headers);
        let limits = BodyLimits {
            buffered_max: WHOLE_REQUEST_MAX,
            size_max: table.config().limits.body_bytes_max,
        };
        let read = tokio::time::timeout(self.patience, read_body(body, limits, ())).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => return Err(RelayError::BodyTooLarge),
            Ok(Err(BodyError::Interrupted)) => return Err(RelayError::BadRequest),
            Err(_) => return Err(RelayError::BodyTimeout),
        };
        match tokio::time::timeout(self.left(), self.run(&target, body)).await {
            Ok(result) => result,
            Err(_) if self.is_out || self.may_have_run => Err(RelayError::DeadlineExceeded),
            Err(_) => Err(busy(RETRY_MIN)),
        }
    }

    async fn run(
        &mut self,
        target: &RequestTarget,
        body: CallBody,
    ) -> Result<Response<CallBody>, RelayError> {
        let mut next = Some(body);
        let mut retry_after = RETRY_MIN;
        let is_repeat = self.parent.is_some_and(|parent| parent.is_retry);
        self.entry
            .lock()
            .budget
            .record_request(&target.service, is_repeat);
        while let Some(body) = next.take() {
            let Some(gate) = self.choose(target) else {
                break;
            };
            let copy = body.try_clone();
            let result = self.offer(target, gate, body).await;
            if let Some(answer) = result.response {
                return Ok(answer);
            }
            retry_after = retry_after.max(result.retry_after);
            match result.outcome {
                HopOutcome::Answered | HopOutcome::Lost => {
                    self.reached += 1;
                    self.may_have_run = true;
                    if self.left() < TRY_MIN {
                        return Err(RelayError::DeadlineExceeded);
                    }
                    if !target.rule.kind.is_idempotent() || !self.may_repeat(target) {
                        return Err(RelayError::Lost);
                    }
                }
                HopOutcome::Shed => {
                    self.reached += 1;
                    if !self.may_repeat(target) {
                        break;
                    }
                }
                HopOutcome::Refused => {}
            }
            next = copy;
        }
        match self.may_have_run {
            true => Err(RelayError::Lost),
            false => Err(busy(retry_after)),
        }
    }

    fn left(&self) -> Duration {
        let end = self.began + self.patience;
        end.since(self.entry.options.clock.now())
    }

    fn may_repeat(&self, target: &RequestTarget) -> bool {
        let is_allowed = self.reached < target.rule.servers_max;
        is_allowed && self.entry.lock().budget.try_spend(&target.service)
    }

    fn choose(&self, target: &RequestTarget) -> Option<SocketAddr> {
        if self.tried.len() >= OFFERS_MAX || self.reached >= target.rule.servers_max {
            return None;
        }
        let choices = self.entry.options.gates.get(&target.service);
        let now = self.entry.options.clock.now();
        let state = self.entry.lock();
        state
            .placement
            .select(&choices, &self.tried, target.route, now)
    }

    /// Offers the request to `gate` and takes note of what came of it.
    async fn offer(
        &mut self,
        target: &RequestTarget,
        gate: SocketAddr,
        body: CallBody,
    ) -> GateResult {
        let remaining = self.left();
        let hop = HopContext {
            service: target.service.clone(),
            caller: self.entry.options.service.clone(),
            route: target.route,
            rank: self
                .parent
                .map_or(target.rule.priority, |parent| parent.rank),
            remaining,
            late_after: late_after(&target.rule),
            is_nested: self.parent.is_some(),
            is_retry: self.reached > 0 || self.parent.is_some_and(|parent| parent.is_retry),
            wait_max: target
                .rule
                .target_latency
                .mul_f64(0.5)
                .min(remaining.mul_f64(0.7)),
        };
        let entry = self.entry;
        let options = &entry.options;
        let began = options.clock.now();
        self.tried.push(gate);
        let mut pending = PendingGuard::begin(entry, gate);
        let req = self.request(body);
        self.is_out = true;
        let result = if gate == options.gate_addr {
            options.gate.run(&hop, req).await
        } else {
            entry.send(gate, &hop, req).await
        };
        self.is_out = false;
        pending.is_settled = true;
        drop(pending);
        self.note_result(target, gate, &result, began);
        result
    }

    fn request(&self, body: CallBody) -> Request<CallBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = origin_form(&self.head.uri);
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = self.head.headers.clone();
        req
    }

    /// Takes note of what the end of a request says of `gate`.
    fn note_result(
        &self,
        target: &RequestTarget,
        gate: SocketAddr,
        result: &GateResult,
        began: MonoTime,
    ) {
        let now = self.entry.options.clock.now();
        let mut state = self.entry.lock();
        let latency = match result.outcome {
            HopOutcome::Lost => return state.placement.record_failure(gate, now),
            HopOutcome::Answered => now.since(began),
            HopOutcome::Refused | HopOutcome::Shed => REFUSED_LATENCY,
        };
        state
            .placement
            .record_latency(gate, target.route, latency, now);
    }
}

impl Drop for RequestCall<'_> {
    /// Writes the request's end to the log.
    fn drop(&mut self) {
        let options = &self.entry.options;
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
            gates_tried: &self.tried,
            servers_reached: self.reached + u32::from(outcome == "answered"),
            outcome,
            status,
            time_limit: self.patience,
            elapsed: now.since(self.began),
        };
        options.log.record_entry(&decision, now);
    }
}

/// A request under way to a gate.
struct PendingGuard<'a> {
    entry: &'a RequestEntry,
    gate: SocketAddr,
    began: MonoTime,
    /// Whether the gate has said how it ended.
    is_settled: bool,
}

impl<'a> PendingGuard<'a> {
    fn begin(entry: &'a RequestEntry, gate: SocketAddr) -> PendingGuard<'a> {
        entry.lock().placement.record_start(gate);
        PendingGuard {
            entry,
            gate,
            began: entry.options.clock.now(),
            is_settled: false,
        }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let now = self.entry.options.clock.now();
        let is_silent = !self.is_settled && now.since(self.began) >= SILENT_LIMIT;
        let mut state = self.entry.lock();
        state.placement.record_end(self.gate);
        if is_silent {
            state.placement.record_failure(self.gate, now);
            drop(state);
            self.entry.pool.close_idle(self.gate);
        }
    }
}

/// Returns the refusal of a request that has not run.
fn busy(retry_after: Duration) -> RelayError {
    RelayError::Unavailable {
        retry_after: spread(retry_after),
    }
}

/// Returns the time after which a request of `rule` counts as late at its gate.
fn late_after(rule: &RouteRule) -> Duration {
    let part = match rule.priority {
        0 => LATE_PART_FIRST,
        _ => LATE_PART,
    };
    rule.timeout.mul_f64(part)
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

/// Spreads a time to come back, so that callers don't return in step.
fn spread(span: Duration) -> Duration {
    span.mul_f64(1.0 + rand::random::<f64>() * 0.5)
}
