//! Hop-by-hop headers are removed, and of those that `Connection` lists only the ones for the next recipient.

use agatehill_peer::headers::{strip_call_headers, strip_hop_by_hop};
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

const PROTOCOL: HeaderName = HeaderName::from_static("x-protocol");

fn headers(name: &'static str, listed: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(name, HeaderValue::from_static("value"));
    headers.insert("connection", HeaderValue::from_str(listed).unwrap());
    headers
}

/// Guards against review/13 on both paths: headers of the system, and of HTTP, went when a caller listed them.
#[rstest]
#[case::account("x-protocol", "keep-alive, X-Protocol")]
#[case::spaces("x-protocol", " ,\tx-protocol ,")]
#[case::own("agatehill-customer", "agatehill-customer")]
#[case::between_daemons("agatehill-hop", "agatehill-hop")]
#[case::idempotency_key("idempotency-key", "Idempotency-Key")]
#[case::trace("traceparent", "traceparent")]
#[case::credentials("authorization", "authorization")]
#[case::length("content-length", "content-length")]
#[case::encoding("content-encoding", "content-encoding")]
#[case::content_type("content-type", "content-type")]
#[case::host("host", "host")]
#[case::retry_after("retry-after", "retry-after")]
fn a_listed_header_for_all_recipients_stays(#[case] name: &'static str, #[case] listed: &str) {
    let mut headers = headers(name, listed);
    strip_hop_by_hop(&mut headers, &[&PROTOCOL]);
    assert_eq!(headers.get(name).unwrap(), "value");
    assert!(!headers.contains_key("connection"));
}

#[rstest]
#[case::listed("x-own", "x-other, x-own")]
#[case::upper_case("x-own", "X-OWN")]
#[case::keep_alive("keep-alive", "close")]
#[case::proxy("proxy-authorization", "close")]
#[case::te("te", "te")]
#[case::trailer("trailer", "close")]
#[case::transfer_encoding("transfer-encoding", "close")]
#[case::upgrade("upgrade", "upgrade")]
fn a_header_for_the_next_recipient_goes(#[case] name: &'static str, #[case] listed: &str) {
    for strip in [
        (|headers| strip_hop_by_hop(headers, &[&PROTOCOL])) as fn(&mut HeaderMap),
        strip_call_headers,
    ] {
        let mut headers = headers(name, listed);
        strip(&mut headers);
        assert!(headers.is_empty(), "{headers:?}");
    }
}

#[rstest]
#[case::host("host")]
#[case::forward("agatehill-forward")]
#[case::report("agatehill-report")]
fn a_call_keeps_nothing_of_the_daemon_that_sent_it(#[case] name: &'static str) {
    let mut headers = headers(name, name);
    strip_call_headers(&mut headers);
    assert!(headers.is_empty(), "{headers:?}");
}
