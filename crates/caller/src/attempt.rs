//! One attempt of a call: choose a server, then run there or forward to the daemon beside it.

use crate::{call::ActiveCall, routes::RouteView};
use agatehill_backend::gate::{CallGate, GateAnswer};
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

/// Time after which a caller that found no server may ask again.
const ABSENT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time after which a caller that was refused by level may ask again.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Runs attempts, here or at other daemons.
#[derive(Clone, Debug)]
pub struct AttemptRunner {
    /// Name of this daemon.
    pub daemon: DaemonName,
    /// The servers to choose from.
    pub routes: RouteView,
    /// The gate of the servers on this host.
    pub gate: CallGate,
    /// The way to other daemons.
    pub forward: ForwardClient,
}

impl AttemptRunner {
    /// Makes one attempt of `call` at a server that is not among `tried`, and adds it there.
    pub async fn run(
        &self,
        call: &mut ActiveCall,
        req: Request<CallBody>,
        reach: RouteReach,
        tried: &mut Vec<ServerKey>,
    ) -> GateAnswer {
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
                let mut report = refusal_report(FailureKind::NoServer, ABSENT_RETRY_AFTER);
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
    ) -> GateAnswer {
        let started = self.gate.clock().now();
        let lease = call.budget.lease();
        let head = match call.forward_head(target.view.backend, lease.tokens(), started) {
            Ok(head) => head,
            Err(kind) => return report_only(refusal_report(kind, Duration::ZERO)),
        };
        let _in_flight = target.stats.start_request();
        let is_here = target.view.daemon == self.daemon;
        let heard = if is_here {
            Ok(self.gate.run(&head, req).await)
        } else {
            self.forward(&head, req, target).await
        };
        let report = heard
            .as_ref()
            .map_or_else(|report| *report, |answer| answer.report);
        let unused = lease.tokens().saturating_sub(report.retries_used);
        call.budget.give_back(lease, unused);
        let now = self.gate.clock().now();
        match heard {
            Ok(answer) => {
                note_report(target, &answer.report, now.since(started), now);
                answer
            }
            Err(report) => {
                target.stats.record(OutcomeSample::Failed, now);
                report_only(report)
            }
        }
    }

    /// Forwards the call; an error is the report of one whose gate was not heard.
    async fn forward(
        &self,
        head: &ForwardHead,
        req: Request<CallBody>,
        target: &RouteTarget,
    ) -> Result<GateAnswer, ForwardReport> {
        let limit = Duration::from_millis(u64::from(head.deadline_ms));
        let sent = self.forward.send(target.forward(), head, req);
        match tokio::time::timeout(limit, sent).await {
            Ok(Ok(response)) => forwarded_answer(head, response),
            Ok(Err(ForwardSendError::NotSent)) => {
                Err(refusal_report(FailureKind::NoServer, Duration::ZERO))
            }
            Ok(Err(ForwardSendError::Lost)) => Err(unheard(head, FailureKind::Lost)),
            Err(_) => Err(unheard(head, FailureKind::Deadline)),
        }
    }
}

/// Returns a report of a call that was refused before it ran; the time to come back is spread.
pub fn refusal_report(kind: FailureKind, retry_after: Duration) -> ForwardReport {
    let mut report = ForwardReport::new(CallOutcome::NotRun, Some(kind));
    let spread = jitter_retry_after(retry_after, rand::random());
    report.retry_after_ms = u32::try_from(spread.as_millis()).unwrap_or(u32::MAX);
    report
}

/// Returns a report of a call whose gate was not heard: it may have run and spent its retries.
fn unheard(head: &ForwardHead, kind: FailureKind) -> ForwardReport {
    let mut report = ForwardReport::new(CallOutcome::Unknown, Some(kind));
    report.retries_used = head.retries;
    report
}

/// Returns an answer that is only a report.
pub fn report_only(report: ForwardReport) -> GateAnswer {
    GateAnswer {
        report,
        response: Response::new(CallBody::empty()),
    }
}

/// Reads the answer of another daemon; one without a report may have run.
fn forwarded_answer(
    head: &ForwardHead,
    response: Response<Incoming>,
) -> Result<GateAnswer, ForwardReport> {
    match ForwardReport::try_from(response.headers()) {
        Ok(report) => {
            let stream =
                |body: Incoming| CallBody::Stream(body.map_err(io::Error::other).boxed_unsync());
            Ok(GateAnswer {
                report,
                response: response.map(stream),
            })
        }
        Err(_) => Err(unheard(head, FailureKind::Lost)),
    }
}

/// Takes in what a gate's report shows of its server.
fn note_report(target: &RouteTarget, report: &ForwardReport, elapsed: Duration, now: MonoTime) {
    let level = report.level;
    let sample = match report.failure {
        None => OutcomeSample::Answered { elapsed, level },
        Some(FailureKind::Lost | FailureKind::NoServer) => OutcomeSample::Failed,
        Some(FailureKind::Deadline | FailureKind::Shed) => OutcomeSample::Shed { level },
        // These concern the request alone.
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
