//! HTTP messages of a call: the request to the backend server and the responses built from its
//! response.

use crate::{
    call::ActiveCall,
    problem::{CallProblem, OUTCOME_HEADER},
    request::{IDEMPOTENCY_KEY_HEADER, TRACE_HEADER},
    trace,
};
use agatehill_backend::{
    attempt_tracker::AttemptGuard, gate::GateResponse, guarded_body::GuardedBody,
};
use agatehill_peer::{body::CallBody, forward::REPORT_HEADER, headers::strip_call_headers};
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};

/// Returns `body`, which fails with an error past `limit` bytes.
pub(crate) fn limited(body: Body, limit: u64) -> Body {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    Limited::new(body, limit)
        .map_err(std::io::Error::other)
        .boxed_unsync()
}

/// Returns the request to send to the backend server.
pub(crate) fn backend_request(
    method: Method,
    target: &str,
    mut headers: HeaderMap,
    call: &ActiveCall,
    body: CallBody,
) -> Result<Request<CallBody>, CallProblem> {
    strip_call_headers(&mut headers);
    let span = rand::random::<u64>();
    headers
        .entry(TRACE_HEADER)
        .or_insert_with(|| trace::format(call.chain, span));
    let key = HeaderValue::try_from(call.request.as_str()).expect("request ids are visible ASCII");
    headers.insert(IDEMPOTENCY_KEY_HEADER, key);
    let malformed = |_| CallProblem::Malformed(format!("path {target:?} is malformed"));
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = Uri::try_from(target).map_err(malformed)?;
    *req.headers_mut() = headers;
    Ok(req)
}

/// Returns a copy of `req`, unless its body is a stream.
pub(crate) fn try_clone(req: &Request<CallBody>) -> Option<Request<CallBody>> {
    let body = req.body().try_clone()?;
    let mut copy = Request::new(body);
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}

/// Returns the response for the caller.
///
/// # Errors
///
/// The problem to report if the call failed.
pub(crate) fn caller_response(
    gate_response: GateResponse,
) -> Result<Response<CallBody>, CallProblem> {
    if let Some(kind) = gate_response.report.failure {
        return Err(CallProblem::from_report(kind, &gate_response.report));
    }
    let mut response = gate_response.response;
    strip_call_headers(response.headers_mut());
    let outcome = HeaderValue::from_static(gate_response.report.outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    Ok(response)
}

/// Returns the response for the daemon that forwarded the call; `guard` is held until its end.
pub(crate) fn with_report(
    gate_response: GateResponse,
    guard: Option<AttemptGuard>,
) -> Response<CallBody> {
    let GateResponse {
        report,
        mut response,
    } = gate_response;
    strip_call_headers(response.headers_mut());
    if report.failure.is_some() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
        .headers_mut()
        .insert(REPORT_HEADER, (&report).into());
    match guard {
        Some(guard) => response.map(|body| guarded(body, guard)),
        None => response,
    }
}

fn guarded(body: CallBody, guard: AttemptGuard) -> CallBody {
    CallBody::Stream(GuardedBody::new(body, guard).boxed_unsync())
}
