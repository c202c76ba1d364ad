//! Gate of the backend servers on this host: every call to them is admitted and run here.

mod claimed;
mod response;
mod run;

use crate::{
    admission::SlotGuard,
    at_most_once::{ClaimRunner, KeeperClaims, read_prefix},
    chain::{ChainHandle, RunningChain},
    client::{BackendClient, CallFailure},
    guarded_body::GuardedBody,
    quarantine::{QuarantineGuard, ZoneQuarantine, ZoneTransport},
    registry::ServerRegistry,
};
use agatehill_decide::{
    chain::{ChainIndex, ChainRecord},
    claim::{DIGEST_BODY_BYTES_MAX, RequestDigest},
    gate::GateCall,
    outcome::CallOutcome,
    quarantine::RequestFingerprint,
};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardHead, ForwardReport},
    timed_body::{BODY_GRACE, TimedBody},
};
use agatehill_process::clock::MonoClock;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

use response::{failed, quarantined, refused, report, report_only, with_level};
use run::RunGuard;

/// Remaining time of the caller in milliseconds, as sent to the backend server.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");

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
