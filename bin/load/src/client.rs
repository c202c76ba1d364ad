//! HTTP clients with pooled HTTP/1.1 connections or one HTTP/2 connection in clear text.

use http::{HeaderName, HeaderValue};
use hyper::body::Body;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rand::RngExt;

/// Names the customer whose contract applies.
pub(crate) const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("agatehill-customer");
/// Counts the sends of one request, from 0.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("agatehill-attempt");
/// Time left, in milliseconds.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");
/// When to come back, in milliseconds.
pub(crate) const RETRY_AFTER_HEADER: HeaderName =
    HeaderName::from_static("agatehill-retry-after-ms");
/// What is known about the run of a request.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("agatehill-outcome");
/// Identifies a request over its resends.
pub(crate) const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// W3C Trace Context.
pub(crate) const TRACE_PARENT_HEADER: HeaderName = HeaderName::from_static("traceparent");

/// A client for one or more hosts.
pub(crate) type HttpClient<B> = Client<HttpConnector, B>;

/// Version of HTTP that a client speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HttpVersion {
    /// HTTP/1.1, as many connections as calls in flight.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Opens a client; connections are made on use.
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

/// Returns a `traceparent` that starts a new call chain.
pub(crate) fn new_trace_parent(rng: &mut impl RngExt) -> HeaderValue {
    let trace = rng.random::<u128>().max(1);
    child_trace_parent(&format!("{trace:032x}"), rng)
}

/// Returns a `traceparent` of the chain `trace` with a new parent-id.
pub(crate) fn child_trace_parent(trace: &str, rng: &mut impl RngExt) -> HeaderValue {
    let span = rng.random::<u64>().max(1);
    let text = format!("00-{trace}-{span:016x}-01");
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static(""))
}
