//! One attempt of a call: chooses a server, then runs the call at it or forwards the call to the
//! daemon on its host.

use crate::{call::ActiveCall, routes::RouteView};
use agatehill_backend::gate::{CallGate, GateResponse};
use agatehill_decide::{
    name::DaemonName,
    outcome::CallOutcome,
    retry::jitter_retry_after,
    route::{
        OutcomeSample, RequestHash, RouteChoice, RouteQuery, RouteReach, RouteTarget, ServerKey,
    },
    time::MonoTime,
};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardHead, ForwardReport},
    forward_client::{ForwardClient, ForwardSendError},
};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{io, time::Duration};

/// Retry-after, before jitter, when no server of the service is known.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry-after, before jitter, when the gates of all servers would refuse the priority.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Runs attempts at this daemon's servers or through other daemons.
#[derive(Clone, Debug)]
pub struct AttemptRunner {
    /// Name of this daemon.
    pub daemon: DaemonName,
    /// The routes to choose from.
    pub routes: RouteView,
    /// The gate of the servers on this host.
    pub gate: CallGate,
    /// Client for forwarding to other daemons.
    pub forward: ForwardClient,
}

impl AttemptRunner {
    /// Makes one attempt of `call` at a server that is not in `tried`, and adds the server to it.
    pub async fn run(
        &self,
        call: &mut ActiveCall,
        req: Request<CallBody>,
        reach: RouteReach,
        tried: &mut Vec<ServerKey>,
    ) -> GateResponse {
        match self.choose(call, reach, tried) {
            RouteChoice::Target(target) => {
                tried.push(target.key);
                self.run_at(call, req, &target).await
            }
            RouteChoice::Shed { level } => {
                let mut report = refusal_report(FailureKind::Shed, SHED_RETRY_AFTER);
                report.level = level;
                report_only(report)
            }
            RouteChoice::NoServer => {
                let mut report = refusal_report(FailureKind::NoServer, NO_SERVER_RETRY_AFTER);
                report.is_final = true;
                report_only(report)
            }
        }
    }

    fn choose(&self, call: &ActiveCall, reach: RouteReach, tried: &[ServerKey]) -> RouteChoice {
        self.routes.load().choose(&RouteQuery {
            service: &call.service,
            request: RequestHash::of(&call.customer, &call.request),
            priority: call.routing_priority(),
            tried,
            reach,
            now: self.gate.clock().now(),
        })
    }

    async fn run_at(
        &self,
        call: &mut ActiveCall,
        req: Request<CallBody>,
        target: &RouteTarget,
    ) -> GateResponse {
        let started = self.gate.clock().now();
        let lease = call.budget.lease();
        let head = match call.forward_head(target.view.backend, lease.tokens(), started) {
            Ok(head) => head,
            Err(kind) => return report_only(refusal_report(kind, Duration::ZERO)),
        };
        let _in_flight = target.stats.start_request();
        let is_local = target.view.daemon == self.daemon;
        let result = if is_local {
            Ok(self.gate.run(&head, req).await)
        } else {
            self.forward(&head, req, target).await
        };
        let report = result
            .as_ref()
            .map_or_else(|report| *report, |response| response.report);
        let unused = lease.tokens().saturating_sub(report.retries_used);
        call.budget.give_back(lease, unused);
        let now = self.gate.clock().now();
        match result {
            Ok(response) => {
                record_report(target, &response.report, now.since(started), now);
                response
            }
            Err(report) => {
                target.stats.record(OutcomeSample::Failed, now);
                report_only(report)
            }
        }
    }

    /// Forwards the call to the daemon of `target`.
    ///
    /// # Errors
    ///
    /// No report came from the gate; the error is the report to use instead.
    async fn forward(
        &self,
        head: &ForwardHead,
        req: Request<CallBody>,
        target: &RouteTarget,
    ) -> Result<GateResponse, ForwardReport> {
        let timeout = Duration::from_millis(u64::from(head.deadline_ms));
        let sent = self.forward.send(target.forward(), head, req);
        match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(response)) => forwarded_response(head, response),
            Ok(Err(ForwardSendError::NotSent)) => {
                Err(refusal_report(FailureKind::NoServer, Duration::ZERO))
            }
            Ok(Err(ForwardSendError::Lost)) => Err(missing_report(head, FailureKind::Lost)),
            Err(_) => Err(missing_report(head, FailureKind::Deadline)),
        }
    }
}

/// Returns a report of a call that was refused before it ran, with jitter added to `retry_after`.
pub fn refusal_report(kind: FailureKind, retry_after: Duration) -> ForwardReport {
    let mut report = ForwardReport::new(CallOutcome::NotRun, Some(kind));
    let jittered = jitter_retry_after(retry_after, rand::random());
    report.retry_after_ms = u32::try_from(jittered.as_millis()).unwrap_or(u32::MAX);
    report
}

/// Returns the report for a call whose gate sent none: it may have run and spent its retries.
fn missing_report(head: &ForwardHead, kind: FailureKind) -> ForwardReport {
    let mut report = ForwardReport::new(CallOutcome::Unknown, Some(kind));
    report.retries_used = head.retries;
    report
}

/// Returns a response that consists of a report only.
pub fn report_only(report: ForwardReport) -> GateResponse {
    GateResponse {
        report,
        response: Response::new(CallBody::empty()),
    }
}

/// Reads the response of another daemon; without a report in it, the call may have run.
fn forwarded_response(
    head: &ForwardHead,
    response: Response<Incoming>,
) -> Result<GateResponse, ForwardReport> {
    match ForwardReport::try_from(response.headers()) {
        Ok(report) => {
            let stream =
                |body: Incoming| CallBody::Stream(body.map_err(io::Error::other).boxed_unsync());
            Ok(GateResponse {
                report,
                response: response.map(stream),
            })
        }
        Err(_) => Err(missing_report(head, FailureKind::Lost)),
    }
}

/// Records what a gate's report shows about its server.
fn record_report(target: &RouteTarget, report: &ForwardReport, elapsed: Duration, now: MonoTime) {
    let level = report.level;
    let sample = match report.failure {
        None => OutcomeSample::Answered { elapsed, level },
        Some(FailureKind::Lost | FailureKind::NoServer) => OutcomeSample::Failed,
        Some(FailureKind::Deadline | FailureKind::Shed) => OutcomeSample::Shed { level },
        // These failures give no information about the server.
        Some(
            FailureKind::AnswerNotKept
            | FailureKind::KeyReused
            | FailureKind::Limit
            | FailureKind::Quarantined
            | FailureKind::Unclaimed,
        ) => return,
    };
    if sample != OutcomeSample::Failed {
        target.stats.report_load(report.load, now);
    }
    target.stats.record(sample, now);
}
