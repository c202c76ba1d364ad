//! Parses and validates the head of a caller's request.

use crate::{problem::CallProblem, trace};
use agatehill_decide::name::{ChainId, CustomerName, RequestId};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};

/// The customer whose contract applies.
pub const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("agatehill-customer");
/// The request id; the same in every resend.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The call chain, as a W3C trace context.
pub const TRACE_HEADER: HeaderName = HeaderName::from_static("traceparent");
/// The caller's attempt number, from 0.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("agatehill-attempt");
/// The caller's remaining time, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");

/// Prefix of every path that callers use.
const CALL_PREFIX: &str = "/call/";

/// The validated head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The customer whose contract applies; a child call may omit it, as its chain has one.
    pub customer: Option<CustomerName>,
    /// The request id.
    pub request: Option<RequestId>,
    /// The call chain.
    pub chain: Option<ChainId>,
    /// The caller's attempt number, from 0.
    pub attempt: u32,
    /// The caller's remaining time, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// The service to call.
    pub service: String,
    /// The path at the service, without the query.
    pub path: String,
    /// The path at the service, with the query.
    pub target: String,
}

impl CallerRequest {
    /// Parses `uri` and `headers`.
    ///
    /// # Errors
    ///
    /// [`CallProblem::Malformed`] names the malformed header or path.
    pub fn parse(uri: &Uri, headers: &HeaderMap) -> Result<CallerRequest, CallProblem> {
        let (service, target) = split_target(uri)?;
        let path = target.split('?').next().unwrap_or_default().to_owned();
        let customer = |value: &str| CustomerName::try_from(value).map_err(malformed);
        let request = |value: &str| RequestId::try_from(value).map_err(malformed);
        Ok(CallerRequest {
            customer: text(headers, &CUSTOMER_HEADER)?.map(customer).transpose()?,
            request: text(headers, &IDEMPOTENCY_KEY_HEADER)?
                .map(request)
                .transpose()?,
            chain: chain(headers)?,
            attempt: number(headers, &ATTEMPT_HEADER)?.unwrap_or(0),
            deadline_ms: number(headers, &DEADLINE_HEADER)?,
            service,
            path,
            target,
        })
    }
}

fn split_target(uri: &Uri) -> Result<(String, String), CallProblem> {
    let full = uri.path_and_query().map_or("", |path| path.as_str());
    let malformed =
        || CallProblem::Malformed(format!("path {full:?} is not /call/{{service}}/{{path}}"));
    let rest = full.strip_prefix(CALL_PREFIX).ok_or_else(malformed)?;
    let (service, _) = rest.split_once('/').ok_or_else(malformed)?;
    if service.is_empty() {
        return Err(malformed());
    }
    Ok((service.to_owned(), rest[service.len()..].to_owned()))
}

fn chain(headers: &HeaderMap) -> Result<Option<ChainId>, CallProblem> {
    let malformed = || CallProblem::Malformed(format!("header {TRACE_HEADER:?} is malformed"));
    let parse = |value: &HeaderValue| trace::parse(value).ok_or_else(malformed);
    single(headers, &TRACE_HEADER)?.map(parse).transpose()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u32>, CallProblem> {
    let malformed = |text: &str| {
        let max = u32::MAX;
        CallProblem::Malformed(format!(
            "header {name:?}: {text:?} is not a number from 0 to {max}"
        ))
    };
    let parse = |text: &str| text.parse().map_err(|_| malformed(text));
    text(headers, name)?.map(parse).transpose()
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, CallProblem> {
    let malformed = || CallProblem::Malformed(format!("header {name:?} is not visible ASCII"));
    let parse = |value: &'a HeaderValue| value.to_str().map_err(|_| malformed());
    single(headers, name)?.map(parse).transpose()
}

fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, CallProblem> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(CallProblem::Malformed(format!(
            "header {name:?} is given more than once"
        )));
    }
    Ok(first)
}

fn malformed(e: agatehill_decide::name::NameError) -> CallProblem {
    CallProblem::Malformed(e.to_string())
}
