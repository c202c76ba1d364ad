//! Runs of non-idempotent calls, under a claim.

use super::{CallGate, GateAnswer, RunGuard, bodiless, failed, is_shed, report, with_deadline};
use crate::{
    at_most_once::{
        ClaimRefusal, ClaimedOutcome, ClaimedRequest, RunOutcome, collect_answer, replayed_response,
    },
    client::CallFailure,
    guarded_body::GuardedBody,
};
use agatehill_decide::{
    claim::{ClaimKey, RequestDigest},
    gate::{GateCall, RunResult},
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
    /// Runs a call that was admitted, at most once over all its attempts.
    pub(super) async fn run_claimed(
        &self,
        addr: SocketAddr,
        (head, call): (&ForwardHead, GateCall),
        digest: RequestDigest,
        req: Request<CallBody>,
        run: RunGuard,
    ) -> GateAnswer {
        let left = call.deadline.since(self.clock.now());
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
            deadline: Instant::now() + left,
        };
        let gate = self.clone();
        let running = async move { gate.run_granted(addr, call, req, run).await };
        match self.claims.run(request, running).await {
            ClaimedOutcome::Ran(answer) => answer,
            ClaimedOutcome::Replayed(stored) => GateAnswer {
                report: ForwardReport::new(CallOutcome::Replayed, None),
                response: replayed_response(stored),
            },
            ClaimedOutcome::Refused(refusal) => refuse(refusal),
        }
    }

    /// Sends a call whose claim is granted, without a time limit of its own.
    async fn run_granted(
        &self,
        addr: SocketAddr,
        call: GateCall,
        req: Request<CallBody>,
        mut run: RunGuard,
    ) -> RunOutcome<GateAnswer> {
        let req = with_deadline(req, call.deadline.since(self.clock.now()));
        match self.client.send(addr, req, None).await {
            Ok(response) => answer(response, run).await,
            Err(failure) => {
                let kind = run.lost(failure).await;
                lost(kind, failure, &run)
            }
        }
    }
}

fn lost(kind: FailureKind, failure: CallFailure, run: &RunGuard) -> RunOutcome<GateAnswer> {
    match failure {
        CallFailure::NotSent => RunOutcome::NotRun(not_run(kind, run)),
        CallFailure::Lost => RunOutcome::Unknown(unknown(run)),
    }
}

async fn answer(response: Response<Incoming>, mut run: RunGuard) -> RunOutcome<GateAnswer> {
    if is_shed(&response) {
        run.slot.set_result(RunResult::Shed);
        return RunOutcome::NotRun(not_run(FailureKind::Shed, &run));
    }
    let report = report(CallOutcome::Answered, None, Some(&run));
    let stream = |body: Incoming| CallBody::Stream(body.map_err(io::Error::other).boxed_unsync());
    match collect_answer(response.map(stream)).await {
        Ok((response, stored)) => {
            let hold = |body| CallBody::Stream(GuardedBody::new(body, run).boxed_unsync());
            let response = response.map(hold);
            RunOutcome::Answered(GateAnswer { report, response }, stored)
        }
        Err(_) => {
            run.lost(CallFailure::Lost).await;
            RunOutcome::Unknown(unknown(&run))
        }
    }
}

/// Returns the failure of a granted run that never reached the server's work; as the claim was
/// granted, no earlier attempt did either.
fn not_run(kind: FailureKind, run: &RunGuard) -> GateAnswer {
    let mut answer = failed(kind, CallOutcome::NotRun, Some(run));
    answer.report.covers_earlier = true;
    answer
}

fn unknown(run: &RunGuard) -> GateAnswer {
    failed(FailureKind::Lost, CallOutcome::Unknown, Some(run))
}

fn refuse(refusal: ClaimRefusal) -> GateAnswer {
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
    let mut answer = bodiless(failed(kind, refusal.outcome(), None).report);
    answer.report.covers_earlier = refusal.covers_earlier();
    answer
}
