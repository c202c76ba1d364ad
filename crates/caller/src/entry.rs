//! The path of a call through the daemon that took it.

use crate::{
    attempt::{AttemptRunner, report_only},
    call::ActiveCall,
    contracts::ContractView,
    levels::EntryLevels,
    message::{finish, limited, outgoing, try_clone, with_report},
    problem::CallProblem,
    request::{ATTEMPT_HEADER, CallerRequest},
};
use agatehill_backend::{attempt_tracker::AttemptTracker, chain::ChainHandle, gate::GateAnswer};
use agatehill_decide::{
    chain::ChainRecord,
    contract::{ContractSpec, OperationSpec},
    name::{ChainId, CustomerName},
    outcome::CallOutcome,
    retry::{AttemptCounter, TryOutcome, jitter_retry_after},
    route::{RequestHash, RouteReach},
    time::MonoTime,
};
use agatehill_peer::{
    body::CallBody,
    crash_report::{CRASH_REPORT_HEADER, crash_report_value, crash_reports},
    forward::{
        ATTEMPT_STATUS_HEADER, FailureKind, ForwardHead, ForwardHeaderError, ForwardReport,
        attempt_status_value, queried_attempt,
    },
    headers::strip_hop_by_hop,
};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Request, Response};
use metrics::counter;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Time after which a caller may ask again whose request was shed, before it is spread.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Times that a call is sent elsewhere, beside its retries, because a server was gone.
const REROUTES_MAX: u32 = 3;

/// Takes calls from callers and from other daemons.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// The contracts in force.
    pub contracts: ContractView,
    /// Makes the attempts.
    pub runner: AttemptRunner,
    /// The attempts that other daemons have sent.
    pub tracker: AttemptTracker,
    /// Counts the resends of callers that do not.
    pub resends: Arc<Mutex<AttemptCounter>>,
    /// The levels that gates on the way of each operation have stated.
    pub levels: EntryLevels,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
}

impl CallEntry {
    /// Runs a caller's request and returns its answer.
    pub async fn call(&self, req: Request<Body>) -> Response<CallBody> {
        let is_resend = is_resend(req.headers());
        match self.try_call(req).await {
            Ok(response) => response,
            Err(problem) if is_resend => problem.resend_response(),
            Err(problem) => problem.response(),
        }
    }

    /// Runs a call that another daemon forwarded and returns its answer with the report, or tells
    /// what has become of an earlier one.
    pub async fn forwarded(&self, req: Request<Body>) -> Response<CallBody> {
        let result = if req.headers().contains_key(ATTEMPT_STATUS_HEADER) {
            self.asked(req.headers())
        } else if req.headers().contains_key(CRASH_REPORT_HEADER) {
            self.struck(req.headers())
        } else {
            self.try_forwarded(req).await
        };
        result.unwrap_or_else(|problem| problem.response())
    }

    fn asked(&self, headers: &HeaderMap) -> Result<Response<CallBody>, CallProblem> {
        let id = queried_attempt(headers).map_err(malformed)?;
        let answer = attempt_status_value(self.tracker.query(id));
        let mut response = Response::new(CallBody::empty());
        response.headers_mut().insert(ATTEMPT_STATUS_HEADER, answer);
        Ok(response)
    }

    /// Takes in strikes against requests that crash servers.
    fn struck(&self, headers: &HeaderMap) -> Result<Response<CallBody>, CallProblem> {
        let notes = crash_reports(headers).map_err(malformed)?;
        let own = self.runner.gate.quarantine().merge_strikes(&notes);
        let mut response = Response::new(CallBody::empty());
        response
            .headers_mut()
            .insert(CRASH_REPORT_HEADER, crash_report_value(&own));
        Ok(response)
    }

    async fn try_call(&self, req: Request<Body>) -> Result<Response<CallBody>, CallProblem> {
        let (parts, body) = req.into_parts();
        let head = CallerRequest::parse(&parts.uri, &parts.headers)?;
        let call = self.begin(&head, &parts.method)?;
        let body = self.read_body(body).await?;
        let class = call.priority.class();
        let req = outgoing(parts.method, &head.target, parts.headers, &call, body)?;
        let operation = call.operation;
        let answer = self.attempts(call, req, RouteReach::of(class)).await;
        if let Some(operation) = operation {
            let now = self.runner.gate.clock().now();
            self.levels.record(operation, &answer.report.levels, now);
        }
        finish(answer)
    }

    async fn try_forwarded(&self, req: Request<Body>) -> Result<Response<CallBody>, CallProblem> {
        let head = ForwardHead::try_from(req.headers()).map_err(malformed)?;
        let Some(guard) = self.tracker.begin(head.id) else {
            // Its sender has counted it as not run.
            let report = ForwardReport::new(CallOutcome::NotRun, Some(FailureKind::Lost));
            return Ok(with_report(report_only(report), None));
        };
        let answer = self.run_forwarded(&head, req).await?;
        Ok(with_report(answer, Some(guard)))
    }

    async fn run_forwarded(
        &self,
        head: &ForwardHead,
        req: Request<Body>,
    ) -> Result<GateAnswer, CallProblem> {
        let (mut parts, body) = req.into_parts();
        strip_hop_by_hop(&mut parts.headers);
        let body = self.read_body(body).await?;
        let req = Request::from_parts(parts, body);
        if head.server.is_some() {
            return Ok(self.runner.gate.run(head, req).await);
        }
        let call = ActiveCall::from_forward(head, self.runner.gate.clock().now());
        let mut answer = self.attempts(call, req, RouteReach::LOCAL).await;
        if answer.report.failure == Some(FailureKind::NoServer) {
            // Final for this zone only; the entry may know another one.
            answer.report.is_final = false;
        }
        Ok(answer)
    }

    fn begin(&self, head: &CallerRequest, method: &Method) -> Result<ActiveCall, CallProblem> {
        let customer = self.customer(head)?;
        let unknown = || CallProblem::UnknownCustomer(customer.clone());
        let spec = self.contracts.get(&customer).ok_or_else(unknown)?;
        let operation = operation_of(&spec, head, method)?;
        self.begin_known(head, &spec, operation)
    }

    /// Returns the customer that `head` names or that its chain belongs to.
    fn customer(&self, head: &CallerRequest) -> Result<CustomerName, CallProblem> {
        if let Some(customer) = &head.customer {
            return Ok(customer.clone());
        }
        let parent = self.parent(head).ok_or(CallProblem::CustomerMissing)?;
        Ok(parent.customer)
    }

    fn begin_known(
        &self,
        head: &CallerRequest,
        spec: &ContractSpec,
        operation: &OperationSpec,
    ) -> Result<ActiveCall, CallProblem> {
        let now = self.runner.gate.clock().now();
        let attempt = self.attempt_number(head, &spec.customer, now);
        if let Some(parent) = self.parent(head) {
            return ActiveCall::child(head, spec, operation, (&parent, attempt), now);
        }
        let chain = ChainId(rand::random::<u128>().max(1));
        let call = ActiveCall::root(head, spec, operation, (chain, attempt), now)?;
        match self.is_worth_sending(&call, now) {
            true => Ok(call),
            false => Err(shed(&call)),
        }
    }

    /// Returns whether the gates on the way of a root call would let its priority in.
    fn is_worth_sending(&self, call: &ActiveCall, now: MonoTime) -> bool {
        let admits = |operation| self.levels.admits(operation, call.priority, now);
        call.operation.is_none_or(admits)
    }

    /// Returns the running call that `head` is made for, if it runs on this host.
    fn parent(&self, head: &CallerRequest) -> Option<ChainRecord<ChainHandle>> {
        let chain = head.chain?;
        self.runner
            .gate
            .chains()
            .parent(chain, head.customer.as_ref())
            .ok()
    }

    /// Returns the caller's attempt number, counted up when the caller repeats one.
    fn attempt_number(&self, head: &CallerRequest, customer: &CustomerName, now: MonoTime) -> u32 {
        let Some(request) = &head.request else {
            return head.attempt;
        };
        let hash = RequestHash::of(customer, request).0;
        let mut ledger = self.resends.lock().expect("no holder of the ledger panics");
        ledger.record(hash, head.attempt, now)
    }

    async fn read_body(&self, body: Body) -> Result<CallBody, CallProblem> {
        let limit = self.body_bytes_max;
        let is_over = http_body::Body::size_hint(&body).lower() > limit;
        if is_over {
            return Err(CallProblem::BodyTooLarge { limit });
        }
        let broken = |e: std::io::Error| CallProblem::Malformed(format!("body: {e}"));
        CallBody::read(limited(body, limit)).await.map_err(broken)
    }

    /// Makes attempts until one answers or no further one is allowed.
    async fn attempts(
        &self,
        mut call: ActiveCall,
        req: Request<CallBody>,
        reach: RouteReach,
    ) -> GateAnswer {
        let started = self.runner.gate.clock().now();
        let retries = call.budget.remaining();
        let mut tried = Vec::new();
        let mut next = Some(req);
        let mut outcome = before(&call);
        let mut reroutes = REROUTES_MAX;
        loop {
            let req = next.take().expect("a further attempt has a request");
            next = try_clone(&req);
            let mut answer = self.runner.run(&mut call, req, reach, &mut tried).await;
            if answer.report.covers_earlier {
                outcome = answer.report.outcome;
            }
            outcome = outcome.combine(answer.report.outcome);
            if next.is_some() && reroutes > 0 && is_misrouted(&answer) {
                reroutes -= 1;
                continue;
            }
            let is_last = next.is_none() || !may_retry(&call, &answer);
            if is_last || !call.budget.try_spend() {
                answer.report.outcome = outcome;
                answer.report.retries_used = retries.saturating_sub(call.budget.remaining());
                let is_answered = is_answered(&answer);
                call.record_levels(&answer.report.levels);
                call.end(is_answered, started, self.runner.gate.clock().now());
                return answer;
            }
        }
    }
}

/// Returns whether the caller says that it has sent the request before.
fn is_resend(headers: &HeaderMap) -> bool {
    let attempt = headers.get(ATTEMPT_HEADER);
    attempt.is_some_and(|attempt| attempt.as_bytes() != b"0")
}

/// Returns the refusal of a root call that a gate on its way would refuse.
fn shed(call: &ActiveCall) -> CallProblem {
    counter!("agatehill_entry_shed_total").increment(1);
    CallProblem::Failed {
        kind: FailureKind::Shed,
        outcome: before(call),
        retry_after: jitter_retry_after(SHED_RETRY_AFTER, rand::random()),
    }
}

/// Returns what is known before the first try of an attempt.
///
/// Earlier attempts may have run; only the claims can tell.
fn before(call: &ActiveCall) -> CallOutcome {
    if call.attempt == 0 {
        return CallOutcome::NotRun;
    }
    CallOutcome::Unknown
}

fn operation_of<'a>(
    spec: &'a ContractSpec,
    head: &CallerRequest,
    method: &Method,
) -> Result<&'a OperationSpec, CallProblem> {
    let unknown = || CallProblem::UnknownOperation {
        service: head.service.clone(),
        method: method.to_string(),
        path: head.path.clone(),
    };
    spec.operation(&head.service, method.as_str(), &head.path)
        .ok_or_else(unknown)
}

/// Returns whether the call went to a server that is gone or leaving, and never reached it.
fn is_misrouted(answer: &GateAnswer) -> bool {
    let report = &answer.report;
    let is_not_run = report.outcome == CallOutcome::NotRun;
    report.failure == Some(FailureKind::NoServer) && is_not_run && !report.is_final
}

/// Returns whether the caller has no reason to send the call again.
fn is_answered(answer: &GateAnswer) -> bool {
    answer.report.failure.is_none() && !answer.response.status().is_server_error()
}

fn may_retry(call: &ActiveCall, answer: &GateAnswer) -> bool {
    let Some(kind) = answer.report.failure else {
        return false;
    };
    let end = TryOutcome {
        outcome: answer.report.outcome,
        given_up: answer.report.is_final,
        idempotent: call.is_idempotent(),
    };
    matches!(kind, FailureKind::Lost | FailureKind::Shed) && end.may_retry()
}

fn malformed(e: ForwardHeaderError) -> CallProblem {
    CallProblem::Malformed(e.to_string())
}
