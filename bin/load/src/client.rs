//! HTTP clients with pooled HTTP/1.1 connections or one HTTP/2 connection without TLS, and the
//! headers that they send.

use http::{HeaderName, HeaderValue};
use hyper::body::Body;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rand::RngExt;

/// Customer whose contract applies.
pub(crate) const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("agatehill-customer");
/// Number of the attempt, from 0.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("agatehill-attempt");
/// Remaining time, in milliseconds.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");
/// Time to wait before a retry, in milliseconds.
pub(crate) const RETRY_AFTER_HEADER: HeaderName =
    HeaderName::from_static("agatehill-retry-after-ms");
/// Outcome of the request: whether it ran.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("agatehill-outcome");
/// Identifies a request over all its attempts.
pub(crate) const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// W3C Trace Context; its trace-id identifies the call chain.
pub(crate) const TRACE_PARENT_HEADER: HeaderName = HeaderName::from_static("traceparent");

/// Client for any number of servers.
pub(crate) type HttpClient<B> = Client<HttpConnector, B>;

/// HTTP version of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HttpVersion {
    /// HTTP/1.1, with one connection per call in flight.
    Http1,
    /// HTTP/2 without TLS, with prior knowledge.
    Http2,
}

/// Returns a client that connects on its first request.
pub(crate) fn open<B>(version: HttpVersion) -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .http2_only(version == HttpVersion::Http2)
        .build(connector)
}

/// Returns a `traceparent` with a new trace-id, which starts a call chain.
pub(crate) fn new_trace_parent(rng: &mut impl RngExt) -> HeaderValue {
    let trace = rng.random::<u128>().max(1);
    child_trace_parent(&format!("{trace:032x}"), rng)
}

/// Returns a `traceparent` with the trace-id `trace` and a new parent-id.
pub(crate) fn child_trace_parent(trace: &str, rng: &mut impl RngExt) -> HeaderValue {
    let parent_id = rng.random::<u64>().max(1);
    let text = format!("00-{trace}-{parent_id:016x}-01");
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static(""))
}
