//! Entry of calls into this daemon, from callers and from other daemons.

use crate::{
    attempt::{AttemptRunner, report_only},
    call::ActiveCall,
    contracts::ContractView,
    levels::EntryLevels,
    message::{backend_request, caller_response, limited, try_clone, with_report},
    problem::CallProblem,
    request::{ATTEMPT_HEADER, CallerRequest},
};
use agatehill_backend::{attempt_tracker::AttemptTracker, chain::ChainHandle, gate::GateResponse};
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
    body::{BUFFERED_BODY_BYTES_MAX, CallBody},
    crash_report::{CRASH_REPORT_HEADER, crash_report_value, crash_reports},
    forward::{
        ATTEMPT_STATUS_HEADER, FailureKind, ForwardHead, ForwardHeaderError, ForwardReport,
        attempt_status_value, queried_attempt,
    },
    headers::strip_call_headers,
};
use agatehill_process::budget::{ClientUsage, ListenerBudget};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Request, Response};
use metrics::counter;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};

/// Retry-after, before jitter, of a request that is shed at the entry.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Memory of a request body, in bytes: of a small one, or of the part of a large one that is being passed on.
const BODY_BYTES: usize = 2 * BUFFERED_BODY_BYTES_MAX as usize;

/// Largest number of times that a call is sent to another server because the chosen one is gone or
/// leaving; these are
/// not retries.
const REROUTES_MAX: u32 = 3;

/// Handles the calls of callers and of other daemons.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// The contracts in force.
    pub contracts: ContractView,
    /// Runs the attempts.
    pub runner: AttemptRunner,
    /// Tracks the attempts that other daemons have forwarded.
    pub tracker: AttemptTracker,
    /// Counts resends, for callers that do not number their attempts.
    pub resends: Arc<Mutex<AttemptCounter>>,
    /// The levels reported by the gates on the path of each operation.
    pub levels: EntryLevels,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// What callers may hold.
    pub callers: ListenerBudget,
    /// What other daemons may hold.
    pub daemons: ListenerBudget,
}

impl CallEntry {
    /// Runs a caller's request and returns the response.
    pub async fn handle_call(&self, req: Request<Body>) -> Response<CallBody> {
        let is_resend = is_resend(req.headers());
        match self.try_call(req).await {
            Ok(response) => response,
            Err(problem) if is_resend => problem.resend_response(),
            Err(problem) => problem.response(),
        }
    }

    /// Handles a request of another daemon: a forwarded call, a query for the status of an earlier
    /// attempt, or strikes.
    pub async fn handle_forwarded(&self, req: Request<Body>) -> Response<CallBody> {
        let result = if req.headers().contains_key(ATTEMPT_STATUS_HEADER) {
            self.answer_query(req.headers())
        } else if req.headers().contains_key(CRASH_REPORT_HEADER) {
            self.exchange_strikes(req.headers())
        } else {
            self.try_forwarded(req).await
        };
        result.unwrap_or_else(|problem| problem.response())
    }

    fn answer_query(&self, headers: &HeaderMap) -> Result<Response<CallBody>, CallProblem> {
        let id = queried_attempt(headers).map_err(malformed)?;
        let status = attempt_status_value(self.tracker.query(id));
        let mut response = Response::new(CallBody::empty());
        response.headers_mut().insert(ATTEMPT_STATUS_HEADER, status);
        Ok(response)
    }

    /// Merges strikes against requests that crash servers; the response holds this daemon's own.
    fn exchange_strikes(&self, headers: &HeaderMap) -> Result<Response<CallBody>, CallProblem> {
        let reports = crash_reports(headers).map_err(malformed)?;
        let own = self.runner.gate.quarantine().exchange_strikes(&reports);
        let mut response = Response::new(CallBody::empty());
        response
            .headers_mut()
            .insert(CRASH_REPORT_HEADER, crash_report_value(&own));
        Ok(response)
    }

    async fn try_call(&self, req: Request<Body>) -> Result<Response<CallBody>, CallProblem> {
        let (parts, body) = req.into_parts();
        let head = CallerRequest::parse(&parts.uri, &parts.headers)?;
        let call = self.start_call(&head, &parts.method)?;
        let (body, _usage) = self.read_body(body, &self.callers).await?;
        let class = call.priority.class();
        let req = backend_request(parts.method, &head.target, parts.headers, &call, body)?;
        let operation = call.operation;
        let response = self.run_attempts(call, req, RouteReach::of(class)).await;
        if let Some(operation) = operation {
            let now = self.runner.gate.clock().now();
            self.levels.record(operation, &response.report.levels, now);
        }
        caller_response(response)
    }

    async fn try_forwarded(&self, req: Request<Body>) -> Result<Response<CallBody>, CallProblem> {
        let head = ForwardHead::try_from(req.headers()).map_err(malformed)?;
        let Some(guard) = self.tracker.begin(head.id) else {
            // The sender already counts the attempt as not run.
            let report = ForwardReport::new(CallOutcome::NotRun, Some(FailureKind::Lost));
            return Ok(with_report(report_only(report), None));
        };
        let response = self.run_forwarded(&head, req).await?;
        Ok(with_report(response, Some(guard)))
    }

    async fn run_forwarded(
        &self,
        head: &ForwardHead,
        req: Request<Body>,
    ) -> Result<GateResponse, CallProblem> {
        let (mut parts, body) = req.into_parts();
        strip_call_headers(&mut parts.headers);
        let (body, _usage) = self.read_body(body, &self.daemons).await?;
        let req = Request::from_parts(parts, body);
        if head.server.is_some() {
            return Ok(self.runner.gate.run(head, req).await);
        }
        let call = ActiveCall::from_forward(head, self.runner.gate.clock().now());
        let mut response = self.run_attempts(call, req, RouteReach::LOCAL).await;
        if response.report.failure == Some(FailureKind::NoServer) {
            // Final within this zone only; the forwarding daemon may try another zone.
            response.report.is_final = false;
        }
        Ok(response)
    }

    fn start_call(&self, head: &CallerRequest, method: &Method) -> Result<ActiveCall, CallProblem> {
        let customer = self.customer(head)?;
        let unknown = || CallProblem::UnknownCustomer(customer.clone());
        let spec = self.contracts.get(&customer).ok_or_else(unknown)?;
        let operation = operation_of(&spec, head, method)?;
        self.start_known_call(head, &spec, operation)
    }

    /// Returns the customer named by `head`, or else that of its chain.
    fn customer(&self, head: &CallerRequest) -> Result<CustomerName, CallProblem> {
        if let Some(customer) = &head.customer {
            return Ok(customer.clone());
        }
        let parent = self.parent(head).ok_or(CallProblem::CustomerMissing)?;
        Ok(parent.customer)
    }

    fn start_known_call(
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
        match self.is_admissible(&call, now) {
            true => Ok(call),
            false => Err(shed(&call)),
        }
    }

    /// Returns whether the gates on the path of a root call would admit its priority.
    fn is_admissible(&self, call: &ActiveCall, now: MonoTime) -> bool {
        let admits = |operation| self.levels.admits(operation, call.priority, now);
        call.operation.is_none_or(admits)
    }

    /// Returns the parent call of `head`, if it runs on this host.
    fn parent(&self, head: &CallerRequest) -> Option<ChainRecord<ChainHandle>> {
        let chain = head.chain?;
        self.runner
            .gate
            .chains()
            .parent(chain, head.customer.as_ref())
            .ok()
    }

    /// Returns the caller's attempt number, incremented if the caller has used it before.
    fn attempt_number(&self, head: &CallerRequest, customer: &CustomerName, now: MonoTime) -> u32 {
        let Some(request) = &head.request else {
            return head.attempt;
        };
        let hash = RequestHash::of(customer, request).0;
        let mut counter = self.resends.lock();
        counter.record(hash, head.attempt, now)
    }

    /// Reads a body that is small, which counts in `budget` as long as the returned usage is held; a large one is
    /// streamed.
    async fn read_body(
        &self,
        body: Body,
        budget: &ListenerBudget,
    ) -> Result<(CallBody, Option<ClientUsage>), CallProblem> {
        let limit = self.body_bytes_max;
        let is_too_large = http_body::Body::size_hint(&body).lower() > limit;
        if is_too_large {
            return Err(CallProblem::BodyTooLarge { limit });
        }
        let unreadable = |e: std::io::Error| CallProblem::Malformed(format!("body: {e}"));
        if http_body::Body::is_end_stream(&body) {
            return Ok((CallBody::empty(), None));
        }
        let usage = budget.body();
        if !usage.try_hold(BODY_BYTES) {
            return Err(CallProblem::NoRoom);
        }
        let body = tokio::select! {
            body = CallBody::read(limited(body, limit)) => body.map_err(unreadable)?,
            () = usage.given_way() => return Err(CallProblem::NoRoom),
        };
        match usage.set_busy() {
            true => Ok((body, Some(usage))),
            false => Err(CallProblem::NoRoom),
        }
    }

    /// Makes attempts until one is answered or no further attempt is allowed.
    async fn run_attempts(
        &self,
        mut call: ActiveCall,
        req: Request<CallBody>,
        reach: RouteReach,
    ) -> GateResponse {
        let started = self.runner.gate.clock().now();
        let retries = call.budget.remaining();
        let mut tried = Vec::new();
        let mut next = Some(req);
        let mut outcome = initial_outcome(&call);
        let mut reroutes_left = REROUTES_MAX;
        loop {
            let req = next.take().expect("a further attempt has a request");
            next = try_clone(&req);
            let mut response = self.runner.run(&mut call, req, reach, &mut tried).await;
            if response.report.covers_earlier {
                outcome = response.report.outcome;
            }
            outcome = outcome.combine(response.report.outcome);
            if next.is_some() && reroutes_left > 0 && is_misrouted(&response) {
                reroutes_left -= 1;
                continue;
            }
            let is_last = next.is_none() || !may_retry(&call, &response);
            if is_last || !call.budget.try_spend() {
                response.report.outcome = outcome;
                response.report.retries_used = retries.saturating_sub(call.budget.remaining());
                let is_answered = is_answered(&response);
                call.record_levels(&response.report.levels);
                call.end(is_answered, started, self.runner.gate.clock().now());
                return response;
            }
        }
    }
}

/// Returns whether the caller says that it has sent the request before.
fn is_resend(headers: &HeaderMap) -> bool {
    let attempt = headers.get(ATTEMPT_HEADER);
    attempt.is_some_and(|attempt| attempt.as_bytes() != b"0")
}

/// Returns the problem for a root call that is shed here because a gate on its path would refuse it.
fn shed(call: &ActiveCall) -> CallProblem {
    counter!("agatehill_entry_shed_total").increment(1);
    CallProblem::Failed {
        kind: FailureKind::Shed,
        outcome: initial_outcome(call),
        retry_after: jitter_retry_after(SHED_RETRY_AFTER, rand::random()),
    }
}

/// Returns what is known about the run before the call's first attempt here.
///
/// Earlier attempts of the caller may have run; only the claims show whether they did.
fn initial_outcome(call: &ActiveCall) -> CallOutcome {
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

/// Returns whether the call was routed to a server that is gone or leaving and did not reach it.
fn is_misrouted(response: &GateResponse) -> bool {
    let report = &response.report;
    let is_not_run = report.outcome == CallOutcome::NotRun;
    report.failure == Some(FailureKind::NoServer) && is_not_run && !report.is_final
}

/// Returns whether there is a response without a server error, so that sending the call again would
/// be a new call and no resend.
fn is_answered(response: &GateResponse) -> bool {
    response.report.failure.is_none() && !response.response.status().is_server_error()
}

fn may_retry(call: &ActiveCall, response: &GateResponse) -> bool {
    let Some(kind) = response.report.failure else {
        return false;
    };
    let outcome = TryOutcome {
        outcome: response.report.outcome,
        given_up: response.report.is_final,
        idempotent: call.is_idempotent(),
    };
    matches!(kind, FailureKind::Lost | FailureKind::Shed) && outcome.may_retry()
}

fn malformed(e: ForwardHeaderError) -> CallProblem {
    CallProblem::Malformed(e.to_string())
}
