//! The entry: takes requests from callers on this host, finds their route and sends each to the
//! gates of its service until one answers, nothing more may be tried or the time is up.

use crate::{
    answer::RelayRefusal,
    body::{BodyFault, BodyLimits, read_body},
    decision_log::{DecisionLog, EntryDecision, request_id},
    gate::{GateResult, RequestGate},
    headers::{HeaderNames, millis, strip_connection},
    hop::{HopEnd, HopHead},
    hosts::GateView,
    pool::{ConnectionPool, PoolOptions, SendFailure},
};
use agatehill_decide::{
    name::ServiceName,
    placement::{GatePlacement, RouteKey},
    repeat_budget::RepeatBudget,
    service_config::{RouteRule, RouteTable},
    time::MonoTime,
    weighted_pick::WeightedPick,
};
use agatehill_peer::body::CallBody;
use agatehill_process::clock::MonoClock;
use arc_swap::ArcSwapOption;
use gotham::helpers::http::Body;
use http::{
    HeaderValue, Request, Response, Uri, Version,
    header::{CONNECTION, HOST, RETRY_AFTER},
    request::Parts,
};
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Time to open a connection to another host.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time after which an unused connection to another daemon is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Largest request body that is held whole, so that it can be sent again, in bytes.
const WHOLE_REQUEST_MAX: usize = 256 * 1024;
/// Time that a caller is kept waiting beyond its route's timeout, for an answer on its way.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);
/// Time kept back from a caller's deadline, for the answer's way.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Deadline of a request that names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(5);
/// Shortest time to come back after a refusal.
const RETRY_MIN: Duration = Duration::from_millis(100);
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
/// Time between two looks at unused connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What an entry is made of.
pub struct EntryOptions {
    /// Names of the callers' and servers' headers.
    pub names: Arc<HeaderNames>,
    /// The service on this host, which the requests' caller is.
    pub service: ServiceName,
    /// Address of the gate on this host, as others know it.
    pub gate_addr: SocketAddr,
    /// The gate on this host.
    pub gate: RequestGate,
    /// The gates of all hosts.
    pub gates: GateView,
    /// Where decisions are written.
    pub log: Arc<DecisionLog>,
    /// The clock.
    pub clock: MonoClock,
}

/// The entry of this host.
pub struct RequestEntry {
    options: EntryOptions,
    pool: ConnectionPool,
    table: ArcSwapOption<RouteTable>,
    state: Mutex<EntryState>,
    is_draining: AtomicBool,
}

#[derive(Default)]
struct EntryState {
    placement: GatePlacement,
    budget: RepeatBudget,
    picks: HashMap<RouteKey, WeightedPick>,
}

/// One request on its way.
struct RequestCall<'a> {
    entry: &'a RequestEntry,
    head: Parts,
    began: MonoTime,
    /// Time that the caller waits for its answer.
    patience: Duration,
    table: Option<Arc<RouteTable>>,
    /// Where it goes, once that is known.
    target: Option<RequestTarget>,
    tried: Vec<SocketAddr>,
    /// Backend servers that it reached.
    reached: u32,
    /// Whether a try ended without a word on whether it has run.
    may_have_run: bool,
    /// Whether a try is under way that may have reached a gate.
    is_out: bool,
    outcome: &'static str,
}

/// Where a request goes.
#[derive(Clone)]
struct RequestTarget {
    rule: Arc<RouteRule>,
    route: RouteKey,
    service: ServiceName,
}

impl RequestEntry {
    /// Opens an entry without a configuration.
    pub fn spawn(options: EntryOptions) -> Arc<RequestEntry> {
        let entry = Arc::new(RequestEntry {
            options,
            pool: ConnectionPool::open(PoolOptions {
                connect_limit: CONNECT_LIMIT,
                idle_limit: IDLE_LIMIT,
            }),
            table: ArcSwapOption::empty(),
            state: Mutex::default(),
            is_draining: AtomicBool::new(false),
        });
        tokio::spawn(sweep(entry.pool.clone()));
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

    /// Asks callers to close their connections from now on.
    pub fn set_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns the gate on this host.
    pub fn gate(&self) -> &RequestGate {
        &self.options.gate
    }

    /// Answers a request of a caller.
    pub async fn call(&self, req: Request<Body>) -> Response<CallBody> {
        let began = self.options.clock.now();
        let (head, body) = req.into_parts();
        let mut call = RequestCall::new(self, head, began);
        let mut response = match call.relay(body).await {
            Ok(response) => response,
            Err(refusal) => {
                call.outcome = refusal.reason();
                refusal.response()
            }
        };
        call.note_end(response.status().as_u16());
        if self.is_draining.load(Ordering::Relaxed) {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers a request of another daemon's entry.
    pub async fn forwarded(&self, req: Request<Body>) -> Response<CallBody> {
        let (mut head, body) = req.into_parts();
        let Some(hop) = HopHead::take(&mut head.headers) else {
            return RelayRefusal::BadRequest.response();
        };
        let limits = BodyLimits {
            whole_max: WHOLE_REQUEST_MAX,
            size_max: u64::MAX,
        };
        let Ok(body) = read_body(body, limits, ()).await else {
            return RelayRefusal::BadRequest.response();
        };
        let req = Request::from_parts(head, body);
        let result = self.options.gate.run(&hop, req).await;
        let mut response = result.answer.unwrap_or_else(|| match result.end {
            HopEnd::Lost => RelayRefusal::Lost.response(),
            _ => {
                let retry_after = result.retry_after;
                RelayRefusal::Busy { retry_after }.response()
            }
        });
        result.end.write(response.headers_mut());
        response
    }

    fn pick(&self, rule: &RouteRule, route: RouteKey) -> ServiceName {
        let mut state = self.lock();
        let pick = state.picks.entry(route).or_default();
        let idx = pick.next(&rule.parts);
        rule.parts[idx].service.clone()
    }

    fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().expect("no holder of the state panics")
    }
}

impl<'a> RequestCall<'a> {
    fn new(entry: &'a RequestEntry, head: Parts, began: MonoTime) -> RequestCall<'a> {
        let asked = millis(&head.headers, &entry.options.names.deadline_ms);
        RequestCall {
            entry,
            head,
            began,
            patience: asked.unwrap_or(DEADLINE_DEFAULT),
            table: entry.table.load_full(),
            target: None,
            tried: Vec::new(),
            reached: 0,
            may_have_run: false,
            is_out: false,
            outcome: "answered",
        }
    }

    async fn relay(&mut self, body: Body) -> Result<Response<CallBody>, RelayRefusal> {
        let table = self.table.clone().ok_or(RelayRefusal::NoConfig)?;
        let rule = find_rule(&table, &self.head).ok_or(RelayRefusal::NoRoute)?;
        let route = route_key(rule);
        let target = RequestTarget {
            rule: rule.clone(),
            route,
            service: self.entry.pick(rule, route),
        };
        self.target = Some(target.clone());
        let answer_by = self.patience.saturating_sub(ANSWER_TIME);
        self.patience = answer_by.min(rule.timeout + TIMEOUT_GRACE);
        strip_connection(&mut self.head.headers);
        let limits = BodyLimits {
            whole_max: WHOLE_REQUEST_MAX,
            size_max: table.config().limits.body_bytes_max,
        };
        let read = tokio::time::timeout(self.patience, read_body(body, limits, ())).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyFault::TooLarge)) => return Err(RelayRefusal::TooLarge),
            Ok(Err(BodyFault::Broken)) => return Err(RelayRefusal::BadRequest),
            Err(_) => return Err(RelayRefusal::SlowBody),
        };
        match tokio::time::timeout(self.left(), self.run(&target, body)).await {
            Ok(result) => result,
            Err(_) if self.is_out || self.may_have_run => Err(RelayRefusal::Late),
            Err(_) => Err(busy(RETRY_MIN)),
        }
    }

    async fn run(
        &mut self,
        target: &RequestTarget,
        body: CallBody,
    ) -> Result<Response<CallBody>, RelayRefusal> {
        let mut next = Some(body);
        let mut retry_after = RETRY_MIN;
        self.entry.lock().budget.earn(&target.service);
        while let Some(body) = next.take() {
            let Some(gate) = self.choose(target) else {
                break;
            };
            let copy = body.try_clone();
            let result = self.offer(target, gate, body).await;
            if let Some(answer) = result.answer {
                return Ok(answer);
            }
            retry_after = retry_after.max(result.retry_after);
            match result.end {
                HopEnd::Answered | HopEnd::Lost => {
                    self.reached += 1;
                    self.may_have_run = true;
                    if self.left() < TRY_MIN {
                        return Err(RelayRefusal::Late);
                    }
                    if !target.rule.kind.is_idempotent() || !self.may_repeat(target) {
                        return Err(RelayRefusal::Lost);
                    }
                }
                HopEnd::Shed => {
                    self.reached += 1;
                    if !self.may_repeat(target) {
                        break;
                    }
                }
                HopEnd::Refused => {}
            }
            next = copy;
        }
        match self.may_have_run {
            true => Err(RelayRefusal::Lost),
            false => Err(busy(retry_after)),
        }
    }

    /// Writes the request's end to the log.
    fn note_end(&self, status: u16) {
        let now = self.entry.options.clock.now();
        let target = self.target.as_ref();
        let version = self.table.as_ref().map_or(0, |t| t.config().version);
        let decision = EntryDecision {
            id: request_id(&self.head.headers, &self.entry.options.names.request_id),
            route: target.map(|target| target.rule.name.as_str()),
            version,
            service: target.map(|target| &target.service),
            tried: &self.tried,
            reached: self.reached + u32::from(self.outcome == "answered"),
            outcome: self.outcome,
            status,
            patience: self.patience,
            took: now.since(self.began),
        };
        self.entry.options.log.entry(&decision, now);
    }

    fn left(&self) -> Duration {
        let end = self.began + self.patience;
        end.since(self.entry.options.clock.now())
    }

    fn may_repeat(&self, target: &RequestTarget) -> bool {
        let is_allowed = self.reached < target.rule.servers_max;
        is_allowed && self.entry.lock().budget.spend(&target.service)
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
            .choose(&choices, &self.tried, target.route, now)
    }

    /// Offers the request to `gate` and takes note of what came of it.
    async fn offer(
        &mut self,
        target: &RequestTarget,
        gate: SocketAddr,
        body: CallBody,
    ) -> GateResult {
        let left = self.left();
        let hop = HopHead {
            service: target.service.clone(),
            caller: self.entry.options.service.clone(),
            route: target.route,
            rank: target.rule.priority,
            left,
            late_after: late_after(&target.rule),
            wait_max: target.rule.target.mul_f64(0.5).min(left.mul_f64(0.7)),
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
        entry.note_result(target, gate, &result, began);
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
}

impl RequestEntry {
    /// Takes note of what the end of a request says of `gate`.
    fn note_result(
        &self,
        target: &RequestTarget,
        gate: SocketAddr,
        result: &GateResult,
        began: MonoTime,
    ) {
        let now = self.options.clock.now();
        let mut state = self.lock();
        let latency = match result.end {
            HopEnd::Lost => return state.placement.fail(gate, now),
            HopEnd::Answered => now.since(began),
            HopEnd::Refused | HopEnd::Shed => REFUSED_LATENCY,
        };
        state.placement.observe(gate, target.route, latency, now);
    }

    /// Sends a request to the gate of another host.
    async fn send(
        &self,
        gate: SocketAddr,
        hop: &HopHead,
        mut req: Request<CallBody>,
    ) -> GateResult {
        hop.write(req.headers_mut());
        let answer = match self.pool.send(gate, req).await {
            Ok(answer) => answer,
            Err(SendFailure::NotSent) => {
                self.lock().placement.fail(gate, self.options.clock.now());
                return GateResult::refused("gate-unreachable", RETRY_MIN);
            }
            Err(SendFailure::Lost) => return GateResult::lost("gate-lost"),
        };
        let Ok((mut head, body)) = answer.read(()).await else {
            return GateResult::lost("answer-broken");
        };
        let end = HopEnd::take(&mut head.headers).unwrap_or(HopEnd::Lost);
        if end != HopEnd::Answered {
            let retry_after = head.headers.get(RETRY_AFTER);
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            return GateResult {
                end,
                reason: end.as_str(),
                answer: None,
                retry_after: Duration::try_from_secs_f64(seconds.unwrap_or(0.0))
                    .unwrap_or_default(),
            };
        }
        GateResult {
            end,
            reason: end.as_str(),
            answer: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
        }
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
        entry.lock().placement.begin(gate);
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
        state.placement.end(self.gate);
        if is_silent {
            state.placement.fail(self.gate, now);
            drop(state);
            self.entry.pool.forget(self.gate);
        }
    }
}

async fn sweep(pool: ConnectionPool) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        pool.sweep();
    }
}

/// Returns the refusal of a request that has not run.
fn busy(retry_after: Duration) -> RelayRefusal {
    RelayRefusal::Busy {
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
