//! The entry: takes requests from callers on this host, finds their route and sends each to the
//! gates of its service until one answers, nothing more may be tried or the time is up.

use crate::{
    answer::RelayRefusal,
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
use http_body::Body as _;
use http_body_util::BodyExt;
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
const OFFERS_MAX: usize = 4;
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
    rule: &'a RouteRule,
    route: RouteKey,
    service: ServiceName,
    head: Parts,
    /// When the caller must have its answer.
    end: MonoTime,
    tried: Vec<SocketAddr>,
    /// Backend servers that it reached.
    reached: u32,
    /// Whether a try ended without a word on whether it has run.
    may_have_run: bool,
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
        let mut response = match self.relay(req).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        };
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
        let Ok(body) = read_body(body).await else {
            return RelayRefusal::BadRequest.response();
        };
        let req = Request::from_parts(head, body);
        let GateResult {
            end,
            answer,
            retry_after,
        } = self.options.gate.run(&hop, req).await;
        let mut response = answer.unwrap_or_else(|| match end {
            HopEnd::Lost => RelayRefusal::Lost.response(),
            _ => RelayRefusal::Busy { retry_after }.response(),
        });
        end.write(response.headers_mut());
        response
    }

    async fn relay(&self, req: Request<Body>) -> Result<Response<CallBody>, RelayRefusal> {
        let began = self.options.clock.now();
        let (head, body) = req.into_parts();
        let table = self.table.load_full().ok_or(RelayRefusal::NoConfig)?;
        let rule = find_rule(&table, &head).ok_or(RelayRefusal::NoRoute)?;
        let limit = table.config().limits.body_bytes_max;
        if body.size_hint().lower() > limit {
            return Err(RelayRefusal::TooLarge);
        }
        let asked = millis(&head.headers, &self.options.names.deadline_ms);
        let deadline = asked.unwrap_or(DEADLINE_DEFAULT);
        let patience = (rule.timeout + TIMEOUT_GRACE).min(deadline.saturating_sub(ANSWER_TIME));
        let route = route_key(rule);
        let service = self.pick(rule, route);
        let mut call = RequestCall {
            entry: self,
            rule,
            route,
            service,
            head,
            end: began + patience,
            tried: Vec::new(),
            reached: 0,
            may_have_run: false,
        };
        strip_connection(&mut call.head.headers);
        let body = read_body(body)
            .await
            .map_err(|_| RelayRefusal::BadRequest)?;
        let left = call.left();
        match tokio::time::timeout(left, call.run(body)).await {
            Ok(result) => result,
            Err(_) => Err(RelayRefusal::Late),
        }
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

impl RequestCall<'_> {
    async fn run(&mut self, body: CallBody) -> Result<Response<CallBody>, RelayRefusal> {
        let mut next = Some(body);
        let mut retry_after = RETRY_MIN;
        self.entry.lock().budget.earn(&self.service);
        while let Some(body) = next.take() {
            let Some(gate) = self.choose() else { break };
            let copy = body.try_clone();
            let result = self.offer(gate, body).await;
            if let Some(answer) = result.answer {
                return Ok(answer);
            }
            retry_after = retry_after.max(result.retry_after);
            match result.end {
                HopEnd::Answered | HopEnd::Lost => {
                    self.reached += 1;
                    self.may_have_run = true;
                    if !self.rule.kind.is_idempotent() || !self.may_repeat() {
                        return Err(RelayRefusal::Lost);
                    }
                }
                HopEnd::Shed => {
                    self.reached += 1;
                    if !self.may_repeat() {
                        break;
                    }
                }
                HopEnd::Refused => {}
            }
            next = copy;
        }
        if self.may_have_run {
            return Err(RelayRefusal::Lost);
        }
        Err(RelayRefusal::Busy {
            retry_after: spread(retry_after),
        })
    }

    fn left(&self) -> Duration {
        self.end.since(self.entry.options.clock.now())
    }

    fn may_repeat(&self) -> bool {
        let is_allowed = self.reached < self.rule.servers_max;
        is_allowed && self.entry.lock().budget.spend(&self.service)
    }

    fn choose(&self) -> Option<SocketAddr> {
        if self.tried.len() >= OFFERS_MAX || self.reached >= self.rule.servers_max {
            return None;
        }
        let choices = self.entry.options.gates.get(&self.service);
        let now = self.entry.options.clock.now();
        let state = self.entry.lock();
        state
            .placement
            .choose(&choices, &self.tried, self.route, now)
    }

    /// Offers the request to `gate` and takes note of what came of it.
    async fn offer(&mut self, gate: SocketAddr, body: CallBody) -> GateResult {
        let left = self.left();
        let hop = HopHead {
            service: self.service.clone(),
            caller: self.entry.options.service.clone(),
            rank: self.rule.priority,
            left,
            wait_max: self.rule.target.mul_f64(0.5).min(left.mul_f64(0.7)),
        };
        let options = &self.entry.options;
        let began = options.clock.now();
        self.tried.push(gate);
        let pending = PendingGuard::begin(self.entry, gate);
        let req = self.request(body);
        let result = if gate == options.gate_addr {
            options.gate.run(&hop, req).await
        } else {
            self.entry.send(gate, &hop, req).await
        };
        drop(pending);
        let now = options.clock.now();
        let mut state = self.entry.lock();
        match result.end {
            HopEnd::Answered => {
                let latency = now.since(began);
                state.placement.observe(gate, self.route, latency, now);
            }
            HopEnd::Refused | HopEnd::Shed => {
                // Counts like an answer at the latest useful time.
                let latency = self.rule.target;
                state.placement.observe(gate, self.route, latency, now);
            }
            HopEnd::Lost => state.placement.fail(gate, now),
        }
        drop(state);
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
                return GateResult::refused(RETRY_MIN);
            }
            Err(SendFailure::Lost) => return GateResult::lost(),
        };
        let Ok((mut head, body)) = answer.read(()).await else {
            return GateResult::lost();
        };
        strip_connection(&mut head.headers);
        if matches!(body, CallBody::Whole(_)) {
            crate::pool::drop_framing(&mut head.headers);
        }
        let end = HopEnd::take(&mut head.headers).unwrap_or(HopEnd::Lost);
        if end != HopEnd::Answered {
            let retry_after = head.headers.get(RETRY_AFTER);
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            return GateResult {
                end,
                answer: None,
                retry_after: Duration::try_from_secs_f64(seconds.unwrap_or(0.0))
                    .unwrap_or_default(),
            };
        }
        GateResult {
            end,
            answer: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
        }
    }
}

/// A request under way to a gate.
struct PendingGuard<'a> {
    entry: &'a RequestEntry,
    gate: SocketAddr,
}

impl<'a> PendingGuard<'a> {
    fn begin(entry: &'a RequestEntry, gate: SocketAddr) -> PendingGuard<'a> {
        entry.lock().placement.begin(gate);
        PendingGuard { entry, gate }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.entry.lock().placement.end(self.gate);
    }
}

async fn sweep(pool: ConnectionPool) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        pool.sweep();
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

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

/// Reads a body whole if it is small; a larger one passes through and can't be sent again.
async fn read_body(mut body: Body) -> Result<CallBody, gotham::anyhow::Error> {
    let mut start = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(gotham::anyhow::Error::from)?.into_data() {
            start.extend_from_slice(&data);
        }
        if start.len() > WHOLE_REQUEST_MAX {
            let start = http_body_util::Full::new(start.into());
            return Ok(CallBody::stream(ChainedBody {
                start: Some(start),
                rest: body,
            }));
        }
    }
    Ok(CallBody::whole(start.into()))
}

/// A body of which the start has been read.
struct ChainedBody {
    start: Option<http_body_util::Full<bytes::Bytes>>,
    rest: Body,
}

impl http_body::Body for ChainedBody {
    type Data = bytes::Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, std::io::Error>>> {
        if let Some(mut start) = self.start.take() {
            let frame = std::pin::Pin::new(&mut start).poll_frame(cx);
            return frame.map_err(|never| match never {});
        }
        let frame = std::pin::Pin::new(&mut self.rest).poll_frame(cx);
        frame.map_err(|error| std::io::Error::other(error.to_string()))
    }
}

/// Spreads a time to come back, so that callers don't return in step.
fn spread(span: Duration) -> Duration {
    span.mul_f64(1.0 + rand::random::<f64>() * 0.5)
}
