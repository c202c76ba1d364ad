//! Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).

use crate::forward::{FORWARD_HEADER, REPORT_HEADER};
use http::{
    HeaderMap, HeaderName,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HOST,
        PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING,
        UPGRADE,
    },
};

const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of published standards that every recipient needs; senders must not list them in `Connection`.
const END_TO_END_HEADERS: [HeaderName; 8] = [
    AUTHORIZATION,
    CONTENT_ENCODING,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    HOST,
    HeaderName::from_static("idempotency-key"),
    RETRY_AFTER,
    HeaderName::from_static("traceparent"),
];

/// Prefix of the names of agatehill's own headers.
const OWN_PREFIX: &str = "agatehill-";

/// Removes the hop-by-hop headers, including those that `Connection` lists. Headers that every recipient needs stay,
/// though they are listed: those of published standards, agatehill's own, and the headers `protocol`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, protocol: &[&HeaderName]) {
    for name in connection_options(headers) {
        if !is_end_to_end(&name) && !protocol.contains(&&name) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Removes from the head of a call, or of its response, the hop-by-hop headers and what only the daemon needs that
/// has received it.
pub fn strip_call_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers, &[]);
    for name in &[HOST, FORWARD_HEADER, REPORT_HEADER] {
        headers.remove(name);
    }
}

fn is_end_to_end(name: &HeaderName) -> bool {
    name.as_str().starts_with(OWN_PREFIX) || END_TO_END_HEADERS.contains(name)
}

/// Returns the header names listed in `Connection`.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    let tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','));
    tokens
        .filter_map(|token| token.trim().parse().ok())
        .collect()
}
