//! Runs of non-idempotent calls under a claim.

use super::{
    CallGate, GateResponse, RunGuard, ending_at, failed, is_shed, report, report_only,
    with_deadline,
};
use crate::{
    at_most_once::{
        ClaimRefusal, ClaimedOutcome, ClaimedRequest, RunOutcome, collect_response,
        replayed_response,
    },
    client::CallFailure,
    guarded_body::GuardedBody,
};
use agatehill_decide::{
    claim::{ClaimKey, RequestDigest},
    gate::GateCall,
    outcome::CallOutcome,
};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardHead, ForwardReport},
};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{io, net::SocketAddr};
use tokio::time::Instant;

/// Seconds in an hour.
const HOUR_SECONDS: u32 = 3_600;

impl CallGate {
    /// Runs an admitted call at most once over all its attempts.
    pub(super) async fn run_claimed(
        &self,
        addr: SocketAddr,
        (head, call): (&ForwardHead, GateCall),
        digest: RequestDigest,
        req: Request<CallBody>,
        run: RunGuard,
    ) -> GateResponse {
        let remaining = call.deadline.since(self.clock.now());
        let request = ClaimedRequest {
            key: ClaimKey {
                customer: head.customer.clone(),
                id: head.request.clone(),
            },
            digest,
            attempt: head.attempt,
            remember_seconds: head
                .remember_hours
                .unwrap_or(0)
                .saturating_mul(HOUR_SECONDS),
            deadline: Instant::now() + remaining,
        };
        let gate = self.clone();
        let running = async move { gate.run_granted(addr, call, req, run).await };
        match self.claims.run(request, running).await {
            ClaimedOutcome::Ran(response) => response,
            ClaimedOutcome::Replayed(stored) => GateResponse {
                report: ForwardReport::new(CallOutcome::Replayed, None),
                response: replayed_response(stored),
            },
            ClaimedOutcome::Refused(refusal) => refused(refusal),
        }
    }

    /// Sends a call whose claim is granted; the claim runner limits its time.
    async fn run_granted(
        &self,
        addr: SocketAddr,
        call: GateCall,
        req: Request<CallBody>,
        mut run: RunGuard,
    ) -> RunOutcome<GateResponse> {
        let req = with_deadline(req, call.deadline.since(self.clock.now()));
        run.quarantine.record_sent();
        match self.client.send(addr, req, None).await {
            Ok(response) => pass_response(response, run, self.body_end(call)).await,
            Err(failure) => {
                let kind = run.record_lost(failure).await;
                lost(kind, failure, &run)
            }
        }
    }
}

/// Returns the outcome of a run that got no response.
fn lost(kind: FailureKind, failure: CallFailure, run: &RunGuard) -> RunOutcome<GateResponse> {
    match failure {
        CallFailure::NotSent => RunOutcome::NotRun(not_run(kind, run)),
        CallFailure::Lost => RunOutcome::Unknown(unknown(run)),
    }
}

/// Passes the response on with its stored form; the run ends with its body. A body that is too large to be stored ends at
/// `ends_at` at the latest; until then, the claim runner limits the time.
async fn pass_response(
    response: Response<Incoming>,
    mut run: RunGuard,
    ends_at: Instant,
) -> RunOutcome<GateResponse> {
    if is_shed(&response) {
        run.record_shed();
        return RunOutcome::NotRun(not_run(FailureKind::Shed, &run));
    }
    let report = report(CallOutcome::Answered, None, Some(&run));
    let stream = |body: Incoming| CallBody::Stream(body.map_err(io::Error::other).boxed_unsync());
    match collect_response(response.map(stream)).await {
        Ok((response, stored)) => {
            let guard_body = |body| {
                let body = ending_at(body, ends_at);
                CallBody::Stream(GuardedBody::new(body, run).boxed_unsync())
            };
            let response = response.map(guard_body);
            RunOutcome::Answered(GateResponse { report, response }, stored)
        }
        Err(_) => {
            run.record_lost(CallFailure::Lost).await;
            RunOutcome::Unknown(unknown(&run))
        }
    }
}

/// Returns the failure of a granted run that the server has not processed.
///
/// It covers earlier attempts: the claim was granted, so none of them has run either.
fn not_run(kind: FailureKind, run: &RunGuard) -> GateResponse {
    let mut response = failed(kind, CallOutcome::NotRun, Some(run));
    response.report.covers_earlier = true;
    response
}

fn unknown(run: &RunGuard) -> GateResponse {
    failed(FailureKind::Lost, CallOutcome::Unknown, Some(run))
}

/// Returns the response to an attempt that the claim did not let run.
fn refused(refusal: ClaimRefusal) -> GateResponse {
    let kind = match refusal {
        ClaimRefusal::AnswerNotStored => FailureKind::AnswerNotKept,
        ClaimRefusal::KeyReused => FailureKind::KeyReused,
        ClaimRefusal::MayHaveRun => FailureKind::Lost,
        ClaimRefusal::RunningPastDeadline | ClaimRefusal::OtherAttemptRunning => {
            FailureKind::Deadline
        }
        ClaimRefusal::StoreUnavailable | ClaimRefusal::StoreFull => FailureKind::Unclaimed,
        ClaimRefusal::AttemptWithdrawn => FailureKind::Shed,
    };
    let mut response = report_only(failed(kind, refusal.outcome(), None).report);
    response.report.covers_earlier = refusal.covers_earlier();
    response
}
