//! The gate beside a backend server: the one place where calls to it are admitted.

mod claimed;

use crate::{
    admission::SlotGuard,
    at_most_once::{ClaimRunner, KeeperClaims, read_prefix},
    chain::{ChainHandle, RunningChain},
    client::{BackendClient, CallFailure},
    guarded_body::{BodyGuard, GuardedBody},
    quarantine::{QuarantineGuard, QuarantineMonitor, QuarantineRefusal, is_down},
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
};
use agatehill_process::clock::MonoClock;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Time left to the caller, in milliseconds, as the backend server learns it.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");

/// Time after which a caller may ask again whose server was lost or refused by itself, before it
/// is spread.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What became of a call at the gate.
#[derive(Debug)]
pub struct GateAnswer {
    /// What the daemon that forwarded the call learns.
    pub report: ForwardReport,
    /// The backend server's answer; empty when there is none.
    pub response: Response<CallBody>,
}

/// Admits calls and runs them at the backend servers on this host.
#[derive(Clone, Debug)]
pub struct CallGate {
    registry: Arc<ServerRegistry>,
    client: BackendClient,
    chains: ChainIndex<ChainHandle>,
    claims: ClaimRunner<KeeperClaims>,
    quarantine: QuarantineMonitor,
    clock: MonoClock,
}

impl CallGate {
    /// Opens the gate of the servers in `registry`; `claims` guards what must not run twice and
    /// `quarantine` what crashes servers.
    pub fn open(
        registry: Arc<ServerRegistry>,
        claims: ClaimRunner<KeeperClaims>,
        quarantine: QuarantineMonitor,
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

    /// Returns the servers that the gate admits to.
    pub fn registry(&self) -> &Arc<ServerRegistry> {
        &self.registry
    }

    /// Returns the calls that run at the servers, by chain.
    pub fn chains(&self) -> &ChainIndex<ChainHandle> {
        &self.chains
    }

    /// Returns the watch over requests that crash servers.
    pub fn quarantine(&self) -> &QuarantineMonitor {
        &self.quarantine
    }

    /// Waits until every non-idempotent run is recorded; call it when no new call comes.
    pub async fn wait_recorded(&self) {
        self.claims.wait_idle().await;
    }

    /// Returns the clock that deadlines are counted on.
    pub fn clock(&self) -> MonoClock {
        self.clock
    }

    /// Admits the call `req` and runs it.
    pub async fn run(&self, head: &ForwardHead, req: Request<CallBody>) -> GateAnswer {
        let found = head.server.and_then(|addr| self.registry.get(addr));
        let Some(server) = found.filter(|server| server.announcement.service == head.service)
        else {
            return failed(FailureKind::NoServer, CallOutcome::NotRun, None);
        };
        let limit = Duration::from_millis(u64::from(head.deadline_ms));
        let Ok((digest, req)) = digested(head, req).await else {
            return failed(FailureKind::Lost, CallOutcome::NotRun, None);
        };
        let call = GateCall {
            priority: head.priority,
            deadline: self.clock.now() + limit,
            is_nested: head.is_nested,
        };
        let addr = server.announcement.address;
        let print = RequestFingerprint::of(&head.customer, digest);
        let mut quarantine = self.quarantine.guard(addr, print);
        let slot = loop {
            if let Err(refusal) = quarantine.wait_ready(call.deadline).await {
                return suspected(refusal);
            }
            match server.admission.admit(call).await {
                Ok(slot) if quarantine.try_start() => break slot,
                // Another suspect has taken the lane meanwhile.
                Ok(_) => {}
                Err(refusal) => {
                    let load = server.admission.load();
                    return stated(refused(&refusal, load), &head.service, load);
                }
            }
        };
        let run = self.enter(addr, head, call, slot, quarantine);
        let handle = run.chain.handle.clone();
        let mut answer = match head.remember_hours {
            Some(_) => self.run_claimed(addr, (head, call), digest, req, run).await,
            None => self.run_admitted(addr, call, req, run).await,
        };
        answer.report.levels = handle.levels();
        stated(answer, &head.service, server.admission.load())
    }

    fn enter(
        &self,
        addr: SocketAddr,
        head: &ForwardHead,
        call: GateCall,
        slot: SlotGuard,
        quarantine: QuarantineGuard,
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

    async fn run_admitted(
        &self,
        addr: SocketAddr,
        call: GateCall,
        req: Request<CallBody>,
        mut run: RunGuard,
    ) -> GateAnswer {
        let left = call.deadline.since(self.clock.now());
        let req = with_deadline(req, left);
        let is_whole = matches!(req.body(), CallBody::Buffered(_));
        let sent = self.client.send(addr, req, is_whole.then_some(left / 2));
        match tokio::time::timeout(left, sent).await {
            Ok(Ok(response)) => answered(response, run),
            Ok(Err(failure)) => {
                let kind = run.lost(failure).await;
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

/// A call that runs at a server; ends on drop.
#[derive(Debug)]
struct RunGuard {
    addr: SocketAddr,
    registry: Arc<ServerRegistry>,
    chain: RunningChain,
    slot: SlotGuard,
    quarantine: QuarantineGuard,
    retries: u32,
}

impl RunGuard {
    /// Returns the retries that are spent or still leased to child calls.
    fn retries_used(&self) -> u32 {
        self.retries.saturating_sub(self.chain.handle.remaining())
    }

    /// The call failed; returns why, when the zone knows if that was a crash.
    ///
    /// A server where nothing listens any more is dropped at once.
    async fn lost(&mut self, failure: CallFailure) -> FailureKind {
        self.slot.set_result(RunResult::Lost);
        let is_gone = match failure {
            CallFailure::Lost => self.quarantine.record_lost().await,
            CallFailure::NotSent => is_down(self.addr).await,
        };
        if is_gone {
            self.registry.remove(self.addr);
        }
        match failure {
            CallFailure::NotSent if is_gone => FailureKind::NoServer,
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

fn answered(response: Response<Incoming>, mut run: RunGuard) -> GateAnswer {
    if is_shed(&response) {
        run.slot.set_result(RunResult::Shed);
        return failed(FailureKind::Shed, CallOutcome::NotRun, Some(&run));
    }
    let report = report(CallOutcome::Answered, None, Some(&run));
    let hold = |body: Incoming| {
        let body = body.map_err(io::Error::other);
        CallBody::Stream(GuardedBody::new(body, run).boxed_unsync())
    };
    GateAnswer {
        report,
        response: response.map(hold),
    }
}

/// Returns the digest of what `req` asks for, and the same request.
///
/// # Errors
///
/// The sender broke the body off.
async fn digested(
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

fn with_deadline(mut req: Request<CallBody>, left: Duration) -> Request<CallBody> {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    req.headers_mut()
        .insert(DEADLINE_HEADER, HeaderValue::from(millis));
    req
}

/// Returns whether a backend server refused the call before its work.
fn is_shed<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(RETRY_AFTER)
}

fn refused(refusal: &GateRefusal, load: GateLoad) -> GateAnswer {
    let kind = match refusal.reason {
        RefusalReason::Deadline => FailureKind::Deadline,
        RefusalReason::Full | RefusalReason::Level => FailureKind::Shed,
        RefusalReason::Leaving | RefusalReason::Starting => FailureKind::NoServer,
    };
    let mut report = report(CallOutcome::NotRun, Some(kind), None);
    report.retry_after_ms = millis(jitter_retry_after(refusal.retry_after, rand::random()));
    report.load = load_permille(load);
    report.level = load.level;
    bodiless(report)
}

/// Returns the refusal of a request that may crash the server.
fn suspected(refusal: QuarantineRefusal) -> GateAnswer {
    match refusal {
        QuarantineRefusal::Quarantined(left) => {
            let mut answer = failed(FailureKind::Quarantined, CallOutcome::NotRun, None);
            answer.report.retry_after_ms = millis(left);
            answer
        }
        QuarantineRefusal::Deadline => failed(FailureKind::Deadline, CallOutcome::NotRun, None),
    }
}

fn failed(kind: FailureKind, outcome: CallOutcome, run: Option<&RunGuard>) -> GateAnswer {
    let mut report = report(outcome, Some(kind), run);
    report.retry_after_ms = millis(jitter_retry_after(RETRY_PAUSE, rand::random()));
    bodiless(report)
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

fn bodiless(report: ForwardReport) -> GateAnswer {
    GateAnswer {
        report,
        response: Response::new(CallBody::empty()),
    }
}

/// Adds the level of this gate to those of the gates below.
fn stated(mut answer: GateAnswer, service: &ServiceName, load: GateLoad) -> GateAnswer {
    let levels = &mut answer.report.levels;
    levels.record(ServiceHash::of(service), load.level);
    answer
}

fn load_permille(load: GateLoad) -> u16 {
    let calls = u64::from(load.running) + u64::from(load.queued);
    u16::try_from(calls * 1_000 / u64::from(load.limit.max(1))).unwrap_or(u16::MAX)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
