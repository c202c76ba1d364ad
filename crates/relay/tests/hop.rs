//! What an entry tells a gate, on its way through a header.

use agatehill_decide::{gate_selection::RouteKey, name::ServiceName};
use agatehill_relay::hop::{HopContext, HopOutcome};
use http::HeaderMap;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn a_head_arrives_as_it_was_sent(
    #[values(true, false)] is_nested: bool,
    #[values(true, false)] is_retry: bool,
) {
    let head = HopContext {
        service: ServiceName::try_from("gasdata").unwrap(),
        caller: ServiceName::try_from("techreg").unwrap(),
        route: RouteKey(u64::MAX - 7),
        rank: 3,
        remaining: Duration::from_millis(1_234),
        wait_max: Duration::from_millis(500),
        late_after: Duration::from_millis(700),
        is_nested,
        is_retry,
    };
    let mut headers = HeaderMap::new();
    head.write(&mut headers);
    assert_eq!(HopContext::take(&mut headers), Some(head));
    assert!(headers.is_empty(), "nothing of it reaches the server");
}

#[rstest]
#[case::none("")]
#[case::cut("gasdata techreg ff 3 1234 500")]
#[case::no_number("gasdata techreg ff x 1234 500 700 0 0")]
fn what_cannot_be_read_is_no_head(#[case] text: &str) {
    let mut headers = HeaderMap::new();
    headers.insert("agatehill-hop", text.parse().unwrap());
    assert_eq!(HopContext::take(&mut headers), None);
}

#[rstest]
fn an_end_arrives_as_it_was_sent(
    #[values(
        HopOutcome::Answered,
        HopOutcome::Refused,
        HopOutcome::Shed,
        HopOutcome::Lost
    )]
    outcome: HopOutcome,
) {
    let mut headers = HeaderMap::new();
    outcome.write(&mut headers);
    assert_eq!(HopOutcome::take(&mut headers), Some(outcome));
}
