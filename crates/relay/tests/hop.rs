//! Encoding of the hop context and the hop outcome as headers.

use agatehill_decide::{gate_selection::RouteKey, name::ServiceName};
use agatehill_relay::hop::{HopContext, HopOutcome};
use http::HeaderMap;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn context_round_trips(
    #[values(true, false)] is_nested: bool,
    #[values(0.0, 0.25, 1.0)] retry_share: f64,
) {
    let context = HopContext {
        service: ServiceName::try_from("gasdata").unwrap(),
        caller: ServiceName::try_from("techreg").unwrap(),
        route: RouteKey(u64::MAX - 7),
        rank: 3,
        remaining: Duration::from_millis(1_234),
        wait_max: Duration::from_millis(500),
        late_after: Duration::from_millis(700),
        is_nested,
        retry_share,
    };
    let mut headers = HeaderMap::new();
    context.write(&mut headers);
    assert_eq!(HopContext::take(&mut headers), Some(context));
    assert!(
        headers.is_empty(),
        "take removes the header, so that it does not reach the server"
    );
}

/// The text that the builds 248d2bd, e60a975 and b8548e2 write for the same request, and that this build
/// writes; the first ends with a flag, the others with a probability.
#[rstest]
#[case::flag_of_248d2bd(0.0, "gasdata techreg fffffffffffffff8 3 1234 500 700 1 0")]
#[case::retry_of_248d2bd(1.0, "gasdata techreg fffffffffffffff8 3 1234 500 700 1 1")]
#[case::share_of_b8548e2(0.0, "gasdata techreg fffffffffffffff8 3 1234 500 700 1 0.00")]
#[case::retry_of_b8548e2(1.0, "gasdata techreg fffffffffffffff8 3 1234 500 700 1 1.00")]
#[case::likely_of_b8548e2(0.25, "gasdata techreg fffffffffffffff8 3 1234 500 700 1 0.25")]
fn context_of_an_earlier_build_is_read(#[case] retry_share: f64, #[case] text: &str) {
    let mut headers = HeaderMap::new();
    headers.insert("agatehill-hop", text.parse().unwrap());
    let context = HopContext::take(&mut headers).unwrap();
    assert_eq!(context.retry_share, retry_share);
    context.write(&mut headers);
    let written = headers["agatehill-hop"].to_str().unwrap();
    // The first builds read a flag: anything but "1" is no retry.
    let flag = written.rsplit(' ').next().unwrap();
    assert_eq!(flag == "1", retry_share == 1.0, "{written}");
    assert_eq!(HopContext::take(&mut headers), Some(context));
}

#[rstest]
#[case::empty("")]
#[case::truncated("gasdata techreg ff 3 1234 500")]
#[case::not_a_number("gasdata techreg ff x 1234 500 700 0 0")]
#[case::share_above_one("gasdata techreg ff 3 1234 500 700 0 1.01")]
#[case::share_not_a_number("gasdata techreg ff 3 1234 500 700 0 NaN")]
fn malformed_context_is_rejected(#[case] text: &str) {
    let mut headers = HeaderMap::new();
    headers.insert("agatehill-hop", text.parse().unwrap());
    assert_eq!(HopContext::take(&mut headers), None);
}

#[rstest]
fn outcome_round_trips(
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
