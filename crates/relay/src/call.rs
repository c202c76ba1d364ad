//! Handles one request of a caller: finds its route and sends it to gates of the routed service.
//!
//! Gates are tried one after the other until one returns the server's response, no further try is
//! allowed or the deadline passes.

mod identity;
mod inheritance;
mod pending;
mod selection;
mod tries;

use crate::{
    body::{BodyError, BodyLimits, body_usage, read_body},
    decision_log::{EntryDecision, request_id},
    entry::RequestEntry,
    error::RelayError,
    headers::{head_bytes, parse_millis},
    notice::NOTICE,
    quota::QUOTA,
};
use agatehill_decide::{
    call_parent::CallParent,
    gate_selection::RouteKey,
    latency_budget::RETRY_AFTER_MIN,
    name::ServiceName,
    quarantine::RequestContent,
    service_config::{ClientAccount, RouteRule, RouteTable},
    time::MonoTime,
};
use agatehill_peer::{body::CallBody, crash_report::CRASH_REPORT_HEADER};
use gotham::helpers::http::Body;
use http::{Response, header::HOST, request::Parts};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Largest request body that is buffered, so that it can be sent again, in bytes.
pub(crate) const BUFFERED_REQUEST_MAX: usize = 256 * 1024;
/// Time allowed for a request without a deadline header.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(5);
/// Time that a caller waits beyond its route's timeout, for a response that is on its way.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);
/// Time reserved from a caller's deadline for sending the response back.
const RESPONSE_RESERVE: Duration = Duration::from_millis(20);
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
        self.strip_headers();
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
        let limits = BodyLimits {
            buffered_max: BUFFERED_REQUEST_MAX,
            size_max: table.config().limits.body_bytes_max,
            ends_at: None,
        };
        let usage = body_usage(&body, &self.entry.options.callers);
        let reading = read_body(body, limits, usage.as_ref(), ());
        let read = tokio::time::timeout(self.time_limit, reading).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => return Err(RelayError::BodyTooLarge),
            Ok(Err(BodyError::NoRoom)) => return Err(no_room()),
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

    /// Removes the headers that concern the caller's connection only, and those that only daemons send. Comes before
    /// any header is set.
    fn strip_headers(&mut self) {
        let headers = &mut self.head.headers;
        self.entry.options.names.strip_hop_by_hop(headers);
        headers.remove(CRASH_REPORT_HEADER);
        headers.remove(NOTICE);
        headers.remove(QUOTA);
    }

    fn remaining(&self) -> Duration {
        let end = self.started + self.time_limit;
        end.since(self.entry.options.clock.now())
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

/// Returns the error for a request whose body finds no memory, with jitter on its retry-after.
fn no_room() -> RelayError {
    RelayError::NoRoom {
        retry_after: add_jitter(RETRY_AFTER_MIN),
    }
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

/// Adds jitter to a retry-after, so that callers don't retry at the same moment.
fn add_jitter(retry_after: Duration) -> Duration {
    retry_after.mul_f64(1.0 + rand::random::<f64>() * 0.5)
}
