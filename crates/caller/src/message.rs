//! The HTTP messages of a call: as they go to the backend server and back.

use crate::{
    call::ActiveCall,
    problem::{CallProblem, OUTCOME_HEADER},
    request::{IDEMPOTENCY_KEY_HEADER, TRACE_HEADER},
    trace,
};
use agatehill_backend::{
    attempt_tracker::AttemptGuard, gate::GateAnswer, guarded_body::GuardedBody,
};
use agatehill_peer::{body::CallBody, forward::REPORT_HEADER, headers::strip_hop_by_hop};
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};

/// Returns `body`, broken off with an error past `limit` bytes.
pub(crate) fn limited(body: Body, limit: u64) -> Body {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    Limited::new(body, limit)
        .map_err(std::io::Error::other)
        .boxed_unsync()
}

/// Returns the request as the backend server gets it.
pub(crate) fn outgoing(
    method: Method,
    target: &str,
    mut headers: HeaderMap,
    call: &ActiveCall,
    body: CallBody,
) -> Result<Request<CallBody>, CallProblem> {
    strip_hop_by_hop(&mut headers);
    let span = rand::random::<u64>();
    headers
        .entry(TRACE_HEADER)
        .or_insert_with(|| trace::format(call.chain, span));
    let key = HeaderValue::try_from(call.request.as_str()).expect("request ids are visible ASCII");
    headers.insert(IDEMPOTENCY_KEY_HEADER, key);
    let wrong = |_| CallProblem::Malformed(format!("path {target:?} is malformed"));
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = Uri::try_from(target).map_err(wrong)?;
    *req.headers_mut() = headers;
    Ok(req)
}

/// Returns a second copy of `req`, unless its body is a stream.
pub(crate) fn try_clone(req: &Request<CallBody>) -> Option<Request<CallBody>> {
    let body = req.body().try_clone()?;
    let mut copy = Request::new(body);
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}

/// Returns the answer for the caller, or the problem that stands for it.
pub(crate) fn finish(answer: GateAnswer) -> Result<Response<CallBody>, CallProblem> {
    if let Some(kind) = answer.report.failure {
        return Err(CallProblem::from_report(kind, &answer.report));
    }
    let mut response = answer.response;
    strip_hop_by_hop(response.headers_mut());
    let outcome = HeaderValue::from_static(answer.report.outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    Ok(response)
}

/// Returns the answer for the daemon that forwarded the call; `guard` is held until its end.
pub(crate) fn with_report(answer: GateAnswer, guard: Option<AttemptGuard>) -> Response<CallBody> {
    let GateAnswer {
        report,
        mut response,
    } = answer;
    strip_hop_by_hop(response.headers_mut());
    if report.failure.is_some() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
        .headers_mut()
        .insert(REPORT_HEADER, (&report).into());
    match guard {
        Some(guard) => response.map(|body| hold(body, guard)),
        None => response,
    }
}

fn hold(body: CallBody, guard: AttemptGuard) -> CallBody {
    CallBody::Stream(GuardedBody::new(body, guard).boxed_unsync())
}
