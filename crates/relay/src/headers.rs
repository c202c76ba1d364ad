//! Names of the headers that callers and backend servers use, and what is never passed on.

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{
        CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING,
        UPGRADE,
    },
    request::Parts,
};
use std::time::Duration;

/// Names of the headers that carry what callers, daemons and backend servers tell each other.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// Time that the caller will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The service on whose host the request began.
    pub caller_service: HeaderName,
    /// Identity of the only server that may run the request.
    pub expected_server: HeaderName,
    /// In each answer that a server has made.
    pub response_seal: HeaderName,
    /// In an answer of a server that has not run the request.
    pub not_executed: HeaderName,
}

/// Further headers that concern one connection only.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Returns the size of a request head as a caller sends it over HTTP/1.1, in bytes.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let line = format!("{} {} HTTP/1.1\r\n", head.method, head.uri).len();
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}

/// Returns the time in milliseconds that the header `name` holds; `None` if it is missing or is no
/// number.
pub fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = headers.get(name)?.to_str().ok()?;
    let millis: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1e3).ok()
}

/// Returns a header value of whole milliseconds, at least 1.
pub fn format_millis(span: Duration) -> HeaderValue {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    HeaderValue::from(millis.max(1))
}
