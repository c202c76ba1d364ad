//! Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).

use crate::forward::{FORWARD_HEADER, REPORT_HEADER};
use http::{
    HeaderMap, HeaderName,
    header::{CONNECTION, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};

const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    FORWARD_HEADER,
    REPORT_HEADER,
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
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
