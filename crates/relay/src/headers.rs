//! Header names of the protocol with callers and backend servers, and helpers for reading, writing
//! and filtering headers.

use agatehill_decide::time::span_from_seconds;
use agatehill_peer::headers;
use http::{HeaderMap, HeaderName, HeaderValue, request::Parts};
use std::time::Duration;

/// Header names of the protocol between callers, daemons and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; servers echo it in their responses.
    pub request_id: HeaderName,
    /// Time that the sender will wait for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Name of the client account whose key the caller sent.
    pub account: HeaderName,
    /// The service on whose host the request originates.
    pub caller_service: HeaderName,
    /// Identity of the only server that may run the request.
    pub expected_server: HeaderName,
    /// Present in every response that a server has produced itself.
    pub response_seal: HeaderName,
    /// Present in the response of a server that has not run the request.
    pub not_executed: HeaderName,
    /// Number of requests a second that the server takes from all hosts together.
    pub server_limit: HeaderName,
    /// Is 1 in the responses of a server that accepts no new work.
    pub server_leaving: HeaderName,
}

impl HeaderNames {
    /// Removes the hop-by-hop headers, including those that `Connection` lists, but none of the protocol's.
    pub(crate) fn strip_hop_by_hop(&self, headers: &mut HeaderMap) {
        headers::strip_hop_by_hop(headers, &self.all());
    }

    fn all(&self) -> [&HeaderName; 9] {
        [
            &self.request_id,
            &self.deadline_ms,
            &self.account,
            &self.caller_service,
            &self.expected_server,
            &self.response_seal,
            &self.not_executed,
            &self.server_limit,
            &self.server_leaving,
        ]
    }
}

/// Returns the size of a request head in its HTTP/1.1 form, in bytes.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let line = format!("{} {} HTTP/1.1\r\n", head.method, head.uri).len();
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}

/// Returns the duration that the header `name` holds in milliseconds, or `None` if the header is
/// missing or not a valid duration.
pub fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = headers.get(name)?.to_str().ok()?;
    let millis: f64 = value.trim().parse().ok()?;
    span_from_seconds(millis / 1e3)
}

/// Formats `duration` as a header value in whole milliseconds, at least 1.
pub fn format_millis(duration: Duration) -> HeaderValue {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    HeaderValue::from(millis.max(1))
}
