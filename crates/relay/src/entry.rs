//! The entry of a daemon: accepts requests from callers on this host, and requests that the entries
//! of other daemons forward to the backend server on this host.

use crate::{
    body::{BodyError, BodyLimits, read_body},
    buffer_budget::BufferBudget,
    call::{BUFFERED_REQUEST_MAX, RequestCall},
    decision_log::DecisionLog,
    error::RelayError,
    gate::{GateResult, RequestGate},
    gate_view::GateView,
    headers::HeaderNames,
    held_body::{BodyHold, HeldEnd},
    hop::{HopContext, HopOutcome},
    notice::{self, KnownNotices},
    pool::{ConnectionPool, PoolOptions, PooledResponse, SendError},
    quota::{AccountQuotas, QUOTA, QuotaOptions},
};
use agatehill_decide::{
    gate_selection::{GateSelector, RouteKey},
    latency_budget::RETRY_AFTER_MIN,
    name::{ServiceName, ZoneName},
    quarantine::CrashReport,
    quota::QuotaTolerance,
    service_config::{ClientAccount, RouteRule, RouteTable},
    service_retry_budget::ServiceRetryBudget,
    time::span_from_seconds,
    weighted_round_robin::WeightedRoundRobin,
};
use agatehill_peer::{
    body::CallBody,
    crash_report::{CRASH_REPORT_HEADER, crash_report_value, crash_reports},
};
use agatehill_process::clock::MonoClock;
use arc_swap::ArcSwapOption;
use gotham::helpers::http::Body;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response,
    header::{CONNECTION, EXPECT, RETRY_AFTER, TRANSFER_ENCODING},
};
use parking_lot::{Mutex, MutexGuard};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Timeout for connecting to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an idle connection to another daemon is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two removals of expired connections.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Memory for the buffered bodies of all requests in flight, in bytes.
const REQUEST_BUFFERS_BYTES: usize = 16 << 20;
/// In the response of a gate that reads a request's body only when it begins to handle it.
const HOLDS: HeaderName = HeaderName::from_static("agatehill-holds");

/// Options of an entry.
pub struct EntryOptions {
    /// Header names of the protocol with callers and servers.
    pub names: Arc<HeaderNames>,
    /// The service on this host, named as the caller of requests from this host.
    pub service: ServiceName,
    /// Address of the gate on this host, as [`GateView`] lists it.
    pub gate_addr: SocketAddr,
    /// The gate on this host.
    pub gate: RequestGate,
    /// The gates of all hosts.
    pub gates: GateView,
    /// All availability zones, between which limits of client accounts are divided.
    pub zones: Vec<ZoneName>,
    /// What client accounts may send beyond their limits.
    pub quota_tolerance: QuotaTolerance,
    /// Records the decisions.
    pub log: Arc<DecisionLog>,
    /// Clock of deadlines and measured times.
    pub clock: MonoClock,
}

/// The entry of this host.
pub struct RequestEntry {
    pub(crate) options: EntryOptions,
    pub(crate) pool: ConnectionPool,
    /// Memory for the bodies of requests in flight.
    pub(crate) request_buffers: BufferBudget,
    pub(crate) quotas: AccountQuotas,
    pub(crate) table: ArcSwapOption<RouteTable>,
    state: Mutex<EntryState>,
    is_draining: AtomicBool,
    is_closed: AtomicBool,
}

/// How a request whose body was held back ended.
type HeldResponse = HeldEnd<Result<PooledResponse, SendError>>;

/// State that requests of an entry share.
#[derive(Default)]
pub(crate) struct EntryState {
    pub(crate) selector: GateSelector,
    pub(crate) retry_budget: ServiceRetryBudget,
    pub(crate) notices: KnownNotices,
    /// Gates that run no request before they have its whole body, and say when they begin to read it.
    holding_gates: HashSet<SocketAddr>,
    round_robins: HashMap<RouteKey, WeightedRoundRobin>,
}

impl RequestEntry {
    /// Starts an entry without a configuration.
    pub fn spawn(options: EntryOptions) -> Arc<RequestEntry> {
        let quotas = AccountQuotas::spawn(QuotaOptions {
            zones: options.zones.clone(),
            tolerance: options.quota_tolerance,
            gate_addr: options.gate_addr,
            gates: options.gates.clone(),
        });
        let entry = Arc::new(RequestEntry {
            options,
            quotas,
            pool: ConnectionPool::open(PoolOptions {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
            }),
            request_buffers: BufferBudget::open(REQUEST_BUFFERS_BYTES),
            table: ArcSwapOption::empty(),
            state: Mutex::default(),
            is_draining: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        });
        tokio::spawn(close_expired(entry.pool.clone()));
        entry
    }

    /// Puts a configuration in force.
    pub fn set_table(&self, table: RouteTable) {
        self.table.store(Some(Arc::new(table)));
    }

    /// Returns whether a configuration is in force.
    pub fn has_table(&self) -> bool {
        self.table.load().is_some()
    }

    /// Returns the version of the configuration in force, 0 without one.
    pub fn config_version(&self) -> u64 {
        let table = self.table.load();
        table.as_ref().map_or(0, |table| table.config().version)
    }

    /// Returns whether the configuration in force names `service`; `None` without a configuration.
    pub fn has_service(&self, service: &ServiceName) -> Option<bool> {
        let table = self.table.load();
        Some(table.as_ref()?.has_service(service))
    }

    /// Returns the client accounts of the configuration in force; their keys are digests.
    pub fn accounts(&self) -> Vec<ClientAccount> {
        let table = self.table.load();
        let accounts = table.as_ref().map(|table| table.config().accounts.clone());
        accounts.unwrap_or_default()
    }

    /// Returns the number of client accounts whose tokens this host hands out.
    pub fn quota_count(&self) -> usize {
        self.quotas.account_count()
    }

    /// Sets `Connection: close` on every later response to callers, and leaves the limits of client
    /// accounts to other hosts.
    pub fn set_draining(&self) {
        self.quotas.set_draining();
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Refuses requests of callers that have not been sent on yet. Calls of the server on this host go on, as
    /// the requests that they belong to are in flight.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether requests of callers are refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns the gate on this host.
    pub fn gate(&self) -> &RequestGate {
        &self.options.gate
    }

    /// Handles a request of a caller or of the server on this host, whose end of the connection is
    /// `sender`.
    pub async fn handle_call(&self, req: Request<Body>, sender: SocketAddr) -> Response<CallBody> {
        let (head, body) = req.into_parts();
        let mut response = RequestCall::new(self, head, sender).respond(body).await;
        if self.is_draining.load(Ordering::Relaxed) {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Handles a request that the entry of another daemon forwards.
    pub async fn handle_forwarded(&self, req: Request<Body>) -> Response<CallBody> {
        let (mut head, body) = req.into_parts();
        // They concern this connection only.
        head.headers.remove(EXPECT);
        head.headers.remove(TRANSFER_ENCODING);
        if head.headers.contains_key(QUOTA) {
            return self.quotas.handle(&head.headers, &self.table).await;
        }
        let Some(hop) = HopContext::take(&mut head.headers) else {
            return RelayError::BadRequest.response();
        };
        let limits = BodyLimits {
            buffered_max: BUFFERED_REQUEST_MAX,
            size_max: u64::MAX,
            ends_at: None,
        };
        let mut buffer = self.request_buffers.reservation();
        let body = match read_body(body, limits, Some(&mut buffer), ()).await {
            Ok(body) => body,
            Err(BodyError::NoRoom) => return refuse_forwarded(),
            Err(_) => return RelayError::BadRequest.response(),
        };
        self.learn_strikes(&mut head.headers);
        let server = self.options.gate.server();
        let known = notice::take(&mut head.headers);
        if let Some(notice) = &known {
            server.adopt_notice(notice);
        }
        let req = Request::from_parts(head, body);
        let result = self.options.gate.run(&hop, req).await;
        let mut response = result.response.unwrap_or_else(|| match result.outcome {
            HopOutcome::Lost => RelayError::Lost.response(),
            _ => {
                let retry_after = result.retry_after;
                RelayError::Unavailable { retry_after }.response()
            }
        });
        let headers = response.headers_mut();
        headers.remove(notice::NOTICE);
        let notice = server.notice();
        if let Some(notice) = notice.filter(|n| known.is_some() || n.is_restrictive()) {
            notice::write(&notice, headers);
        }
        result.outcome.write(headers);
        headers.insert(HOLDS, HeaderValue::from_static("1"));
        if !result.strikes.is_empty() {
            headers.insert(CRASH_REPORT_HEADER, crash_report_value(&result.strikes));
        }
        response
    }

    /// Removes the strikes from `headers` and merges them.
    fn learn_strikes(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(CRASH_REPORT_HEADER) {
            return;
        }
        match crash_reports(headers) {
            Ok(reports) => self.gate().quarantine().learn(&reports),
            Err(error) => spdlog::warn!("cannot decode crash reports", kv: {
                error = error.to_string()
            }),
        }
        headers.remove(CRASH_REPORT_HEADER);
    }

    /// Sends a request to the gate of another daemon. Unless it `is_idempotent`, its body is held back until
    /// the gate reads it.
    pub(crate) async fn send(
        &self,
        gate: SocketAddr,
        hop: &HopContext,
        is_idempotent: bool,
        strikes: &[CrashReport],
        mut req: Request<CallBody>,
    ) -> GateResult {
        hop.write(req.headers_mut());
        if !strikes.is_empty() {
            let value = crash_report_value(strikes);
            req.headers_mut().insert(CRASH_REPORT_HEADER, value);
        }
        if let Some(known) = self.lock().notices.get(gate) {
            notice::write(known, req.headers_mut());
        }
        let sent_at = self.options.clock.now();
        let is_held = !is_idempotent && self.lock().holding_gates.contains(&gate);
        let end = match is_held {
            true => self.send_held(gate, req).await,
            false => HeldEnd::Sent(self.pool.send(gate, req).await),
        };
        let response = match end {
            HeldEnd::Sent(Ok(response)) => response,
            HeldEnd::Sent(Err(SendError::NotSent)) => {
                return self.refuse_unread(gate, "gate-unreachable");
            }
            HeldEnd::Unread => return self.refuse_unread(gate, "gate-silent"),
            HeldEnd::Sent(Err(SendError::Lost)) => return GateResult::lost("gate-lost"),
        };
        let Ok((mut head, body)) = response.read((), None).await else {
            return GateResult::lost("answer-broken");
        };
        if head.headers.remove(HOLDS).is_some() {
            self.lock().holding_gates.insert(gate);
        }
        let outcome = HopOutcome::take(&mut head.headers).unwrap_or(HopOutcome::Lost);
        if let Some(notice) = notice::take(&mut head.headers) {
            let now = self.options.clock.now();
            self.lock().notices.record(gate, &notice, sent_at, now);
        }
        if outcome != HopOutcome::Answered {
            self.learn_strikes(&mut head.headers);
            let retry_after = head.headers.get(RETRY_AFTER);
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            return GateResult {
                outcome,
                reason: outcome.as_str(),
                response: None,
                retry_after: span_from_seconds(seconds.unwrap_or(0.0)).unwrap_or_default(),
                strikes: Vec::new(),
            };
        }
        GateResult {
            outcome,
            reason: outcome.as_str(),
            response: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
            strikes: Vec::new(),
        }
    }

    /// Sends a request whose body is held back until `gate` reads it; again over a new connection if one that was open
    /// before is silent.
    async fn send_held(&self, gate: SocketAddr, mut req: Request<CallBody>) -> HeldResponse {
        let is_reused = self.pool.has_idle(gate);
        let copy = if is_reused { try_clone(&req) } else { None };
        let hold = BodyHold::begin(&mut req);
        let end = hold.watch(self.pool.send(gate, req)).await;
        let (HeldEnd::Unread, Some(mut copy)) = (&end, copy) else {
            return end;
        };
        self.pool.close_idle(gate);
        let hold = BodyHold::begin(&mut copy);
        let end = hold.watch(self.pool.send(gate, copy)).await;
        if matches!(end, HeldEnd::Sent(Ok(_))) {
            // The gate reads, the connection was silent: so may be those to other gates.
            metrics::counter!("agatehill_relay_connections_silent").increment(1);
            spdlog::warn!("connection silent", kv: { gate = gate.to_string() });
            self.pool.close_all_idle();
        }
        end
    }

    /// Returns the result of a request that `gate` has not read, and avoids the gate for a while.
    fn refuse_unread(&self, gate: SocketAddr, reason: &'static str) -> GateResult {
        let now = self.options.clock.now();
        let mut state = self.lock();
        state.selector.record_failure(gate, now);
        // Its next process may be of an earlier build.
        state.holding_gates.remove(&gate);
        drop(state);
        self.pool.close_idle(gate);
        GateResult::refused(reason, RETRY_AFTER_MIN)
    }

    /// Returns the service that the next request of `rule` goes to.
    pub(crate) fn pick_service(&self, rule: &RouteRule, route: RouteKey) -> ServiceName {
        let mut state = self.lock();
        let round_robin = state.round_robins.entry(route).or_default();
        let idx = round_robin.next_index(&rule.weighted_services);
        rule.weighted_services[idx].service.clone()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock()
    }
}

/// Returns the response to a forwarded request whose body finds no memory.
fn refuse_forwarded() -> Response<CallBody> {
    let retry_after = RETRY_AFTER_MIN;
    let mut response = RelayError::Unavailable { retry_after }.response();
    HopOutcome::Refused.write(response.headers_mut());
    response
}

/// Returns a copy of `req`; `None` if its body is streamed.
fn try_clone(req: &Request<CallBody>) -> Option<Request<CallBody>> {
    let mut copy = Request::new(req.body().try_clone()?);
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.version_mut() = req.version();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}

async fn close_expired(pool: ConnectionPool) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        pool.close_expired();
    }
}
