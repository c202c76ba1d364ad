//! Gate of the backend servers on this host: every call to them is admitted and run here.

mod claimed;

use crate::{
    admission::SlotGuard,
    at_most_once::{ClaimRunner, KeeperClaims, read_prefix},
    chain::{ChainHandle, RunningChain},
    client::{BackendClient, CallFailure},
    guarded_body::{BodyGuard, GuardedBody},
    quarantine::{QuarantineGuard, QuarantineRefusal, ZoneQuarantine, ZoneTransport},
    registry::ServerRegistry,
};
use agatehill_decide::{
    chain::{ChainBudget, ChainIndex, ChainRecord},
    claim::{DIGEST_BODY_BYTES_MAX, RequestDigest},
    gate::{GateCall, GateLoad, GateRefusal, RefusalReason, RunResult},
    level::ServiceHash,
    name::ServiceName,
    outcome::CallOutcome,
    quarantine::RequestFingerprint,
    retry::jitter_retry_after,
};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardHead, ForwardReport},
    timed_body::TimedBody,
};
use agatehill_process::clock::MonoClock;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Remaining time of the caller in milliseconds, as sent to the backend server.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");

/// Retry-after, before jitter, of a call whose server was lost or refused it itself.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after the deadline of a call in which the rest of its response may still arrive.
const BODY_GRACE: Duration = Duration::from_millis(100);

/// Result of a call at the gate.
#[derive(Debug)]
pub struct GateResponse {
    /// Report for the daemon that forwarded the call.
    pub report: ForwardReport,
    /// Response of the backend server; empty if there is none.
    pub response: Response<CallBody>,
}

/// Admits calls and runs them at the backend servers on this host.
#[derive(Clone, Debug)]
pub struct CallGate {
    registry: Arc<ServerRegistry>,
    client: BackendClient,
    chains: ChainIndex<ChainHandle>,
    claims: ClaimRunner<KeeperClaims>,
    quarantine: ZoneQuarantine,
    clock: MonoClock,
}

impl CallGate {
    /// Opens the gate of the servers in `registry`.
    ///
    /// `claims` runs non-idempotent requests at most once; `quarantine` holds back requests that
    /// crash servers.
    pub fn open(
        registry: Arc<ServerRegistry>,
        claims: ClaimRunner<KeeperClaims>,
        quarantine: ZoneQuarantine,
        clock: MonoClock,
    ) -> CallGate {
        CallGate {
            registry,
            claims,
            quarantine,
            client: BackendClient::open(),
            chains: ChainIndex::default(),
            clock,
        }
    }

    /// Returns the servers to which the gate admits calls.
    pub fn registry(&self) -> &Arc<ServerRegistry> {
        &self.registry
    }

    /// Returns the index of the running calls, by chain.
    pub fn chains(&self) -> &ChainIndex<ChainHandle> {
        &self.chains
    }

    /// Returns the monitor of requests that crash servers.
    pub fn quarantine(&self) -> &ZoneQuarantine {
        &self.quarantine
    }

    /// Waits until every non-idempotent run is recorded; call it once no new calls arrive.
    pub async fn wait_recorded(&self) {
        self.claims.wait_idle().await;
    }

    /// Returns the clock that deadlines refer to.
    pub fn clock(&self) -> MonoClock {
        self.clock
    }

    /// Runs the call `req` at its server, if the gate admits it.
    pub async fn run(&self, head: &ForwardHead, req: Request<CallBody>) -> GateResponse {
        let found = head.server.and_then(|addr| self.registry.get(addr));
        let Some(server) = found.filter(|server| server.announcement.service == head.service)
        else {
            return failed(FailureKind::NoServer, CallOutcome::NotRun, None);
        };
        let remaining = Duration::from_millis(u64::from(head.deadline_ms));
        let Ok((digest, req)) = digest_request(head, req).await else {
            return failed(FailureKind::Lost, CallOutcome::NotRun, None);
        };
        let call = GateCall {
            priority: head.priority,
            deadline: self.clock.now() + remaining,
            is_nested: head.is_nested,
        };
        let addr = server.announcement.address;
        let fingerprint = RequestFingerprint::of(&head.customer, digest);
        let mut quarantine = self.quarantine.guard(addr, fingerprint.into());
        let slot = loop {
            if let Err(refusal) = quarantine.wait_ready(call.deadline).await {
                return quarantined(refusal);
            }
            match server.admission.admit(call).await {
                Ok(slot) if quarantine.try_start() => break slot,
                // Another suspect has started at this server in the meantime.
                Ok(_) => {}
                Err(refusal) => {
                    let load = server.admission.load();
                    return with_level(refused(&refusal, load), &head.service, load);
                }
            }
        };
        let run = self.start_run(addr, head, call, slot, quarantine);
        let handle = run.chain.handle.clone();
        let mut response = match head.remember_hours {
            Some(_) => self.run_claimed(addr, (head, call), digest, req, run).await,
            None => self.run_idempotent(addr, call, req, run).await,
        };
        response.report.levels = handle.levels();
        with_level(response, &head.service, server.admission.load())
    }

    fn start_run(
        &self,
        addr: SocketAddr,
        head: &ForwardHead,
        call: GateCall,
        slot: SlotGuard,
        quarantine: QuarantineGuard<ZoneTransport>,
    ) -> RunGuard {
        let handle = ChainHandle::open(head.retries);
        let index_guard = self.chains.enter(ChainRecord {
            chain: head.chain,
            customer: head.customer.clone(),
            priority: head.priority,
            deadline: call.deadline,
            budget: handle.clone(),
        });
        RunGuard {
            addr,
            registry: self.registry.clone(),
            chain: RunningChain {
                handle,
                index_guard,
            },
            slot,
            quarantine,
            retries: head.retries,
        }
    }

    /// Returns the time at which a body of the response to `call` is cut. The server was told the deadline; what it still
    /// sends afterwards need not be a response.
    fn body_end(&self, call: GateCall) -> Instant {
        Instant::now() + call.deadline.since(self.clock.now()) + BODY_GRACE
    }

    async fn run_idempotent(
        &self,
        addr: SocketAddr,
        call: GateCall,
        req: Request<CallBody>,
        mut run: RunGuard,
    ) -> GateResponse {
        let remaining = call.deadline.since(self.clock.now());
        let req = with_deadline(req, remaining);
        run.quarantine.record_sent();
        let is_buffered = matches!(req.body(), CallBody::Buffered(_));
        let sent = self
            .client
            .send(addr, req, is_buffered.then_some(remaining / 2));
        match tokio::time::timeout(remaining, sent).await {
            Ok(Ok(response)) => pass_response(response, run, self.body_end(call)),
            Ok(Err(failure)) => {
                let kind = run.record_lost(failure).await;
                let outcome = match failure {
                    CallFailure::NotSent => CallOutcome::NotRun,
                    CallFailure::Lost => CallOutcome::Unknown,
                };
                failed(kind, outcome, Some(&run))
            }
            Err(_) => failed(FailureKind::Deadline, CallOutcome::Unknown, Some(&run)),
        }
    }
}

/// A call that runs at a server; the run ends on drop.
#[derive(Debug)]
struct RunGuard {
    addr: SocketAddr,
    registry: Arc<ServerRegistry>,
    chain: RunningChain,
    slot: SlotGuard,
    quarantine: QuarantineGuard<ZoneTransport>,
    retries: u32,
}

impl RunGuard {
    /// Returns the number of retries that are spent or still leased to child calls.
    fn retries_used(&self) -> u32 {
        self.retries.saturating_sub(self.chain.handle.remaining())
    }

    /// Records that the server refused the call without starting to process it.
    fn record_shed(&mut self) {
        self.slot.set_result(RunResult::Shed);
        self.quarantine.record_rejection();
    }

    /// Records that the call got no response and returns why.
    ///
    /// A server where nothing listens any more is removed from the registry at once. If the server
    /// crashed after the call was sent, returns only after the zone has been notified.
    async fn record_lost(&mut self, failure: CallFailure) -> FailureKind {
        self.slot.set_result(RunResult::Lost);
        let is_down = match failure {
            CallFailure::Lost => self.quarantine.record_lost().await,
            CallFailure::NotSent => self.quarantine.record_unsent().await,
        };
        if is_down {
            self.registry.remove(self.addr);
        }
        match failure {
            CallFailure::NotSent if is_down => FailureKind::NoServer,
            _ => FailureKind::Lost,
        }
    }
}

impl BodyGuard for RunGuard {
    fn complete(&mut self) {
        self.slot.set_result(RunResult::Answered);
        self.quarantine.record_answer();
    }

    fn aborted(&mut self) {
        self.slot.set_result(RunResult::Lost);
        self.quarantine.record_aborted();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.slot.set_child_time(self.chain.handle.child_time());
    }
}

/// Bounds the time for which `body` may go on.
fn ending_at<B>(body: B, ends_at: Instant) -> TimedBody<B> {
    TimedBody::new(
        body,
        Some(ends_at),
        counter!("agatehill_backend_bodies_cut"),
    )
}

/// Passes the response on; the run ends with its body, at `ends_at` at the latest.
fn pass_response(
    response: Response<Incoming>,
    mut run: RunGuard,
    ends_at: Instant,
) -> GateResponse {
    if is_shed(&response) {
        run.record_shed();
        return failed(FailureKind::Shed, CallOutcome::NotRun, Some(&run));
    }
    let report = report(CallOutcome::Answered, None, Some(&run));
    let guard_body = |body: Incoming| {
        CallBody::Stream(GuardedBody::new(ending_at(body, ends_at), run).boxed_unsync())
    };
    GateResponse {
        report,
        response: response.map(guard_body),
    }
}

/// Returns the digest of the request's content, and the request unchanged.
///
/// # Errors
///
/// The sender aborted the body.
async fn digest_request(
    head: &ForwardHead,
    req: Request<CallBody>,
) -> io::Result<(RequestDigest, Request<CallBody>)> {
    let (parts, body) = req.into_parts();
    let (prefix, body) = read_prefix(body, DIGEST_BODY_BYTES_MAX).await?;
    let prefix = &prefix[..prefix.len().min(DIGEST_BODY_BYTES_MAX)];
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let digest = RequestDigest::of(parts.method.as_str(), head.service.as_str(), path, prefix);
    Ok((digest, Request::from_parts(parts, body)))
}

fn with_deadline(mut req: Request<CallBody>, remaining: Duration) -> Request<CallBody> {
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    req.headers_mut()
        .insert(DEADLINE_HEADER, HeaderValue::from(millis));
    req
}

/// Returns whether the backend server refused the call without starting to process it.
fn is_shed<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(RETRY_AFTER)
}

/// Returns the response to a call that was not admitted.
fn refused(refusal: &GateRefusal, load: GateLoad) -> GateResponse {
    let kind = match refusal.reason {
        RefusalReason::Deadline => FailureKind::Deadline,
        RefusalReason::Full | RefusalReason::Level => FailureKind::Shed,
        RefusalReason::Leaving | RefusalReason::Starting => FailureKind::NoServer,
    };
    let mut report = report(CallOutcome::NotRun, Some(kind), None);
    report.retry_after_ms = millis(jitter_retry_after(refusal.retry_after, rand::random()));
    report.load = load_permille(load);
    report.level = load.level;
    report_only(report)
}

/// Returns the response to a suspect that was not run.
fn quarantined(refusal: QuarantineRefusal) -> GateResponse {
    match refusal {
        QuarantineRefusal::Quarantined(remaining) => {
            let mut response = failed(FailureKind::Quarantined, CallOutcome::NotRun, None);
            response.report.retry_after_ms = millis(remaining);
            response
        }
        QuarantineRefusal::Deadline => failed(FailureKind::Deadline, CallOutcome::NotRun, None),
    }
}

fn failed(kind: FailureKind, outcome: CallOutcome, run: Option<&RunGuard>) -> GateResponse {
    let mut report = report(outcome, Some(kind), run);
    report.retry_after_ms = millis(jitter_retry_after(RETRY_DELAY, rand::random()));
    report_only(report)
}

fn report(
    outcome: CallOutcome,
    failure: Option<FailureKind>,
    run: Option<&RunGuard>,
) -> ForwardReport {
    let mut report = ForwardReport::new(outcome, failure);
    if let Some(run) = run {
        let load = run.slot.admission().load();
        report.load = load_permille(load);
        report.level = load.level;
        report.retries_used = run.retries_used();
    }
    report
}

fn report_only(report: ForwardReport) -> GateResponse {
    GateResponse {
        report,
        response: Response::new(CallBody::empty()),
    }
}

/// Adds the level of this gate to those of the gates that the child calls have passed.
fn with_level(mut response: GateResponse, service: &ServiceName, load: GateLoad) -> GateResponse {
    let levels = &mut response.report.levels;
    levels.record(ServiceHash::of(service), load.level);
    response
}

fn load_permille(load: GateLoad) -> u16 {
    let calls = u64::from(load.running) + u64::from(load.queued);
    u16::try_from(calls * 1_000 / u64::from(load.limit.max(1))).unwrap_or(u16::MAX)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
