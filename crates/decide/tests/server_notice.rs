//! What servers say about themselves: which statement is in force, and how many requests a limit lets
//! through.

use agatehill_decide::{
    server_notice::{NoticeTracker, RequestUrgency, ServerNotice},
    server_tracker::ServerIdentity,
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;

/// Span in which the requests that a limit lets through are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What a server may get in [`WINDOW`] beyond one and a half times what its limit allows.
const WINDOW_EXTRA: f64 = 5.0;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

fn server(id: &str, started_ms: u64) -> ServerIdentity {
    ServerIdentity {
        id: id.to_owned(),
        started_ms,
    }
}

fn notice(server: &ServerIdentity, limit: Option<&str>) -> ServerNotice {
    ServerNotice {
        server: server.clone(),
        limit: limit.map(|limit| limit.parse().unwrap()),
        is_leaving: false,
    }
}

/// Returns the limit in force at `server`.
fn limit(tracker: &NoticeTracker, server: &ServerIdentity) -> Option<f64> {
    let limit = tracker.notice(server.clone()).limit;
    limit.map(|limit| limit.per_second())
}

/// Each response is given as the times at which its request was sent and it arrived, and the limit that
/// it names.
#[rstest]
#[case::later_response_names_none(&[(0, 10, Some("9")), (20, 30, None)], None)]
#[case::earlier_request_names_none(&[(0, 10, Some("9")), (5, 30, None)], Some(9.0))]
#[case::earlier_request_names_more(&[(0, 10, Some("9")), (5, 30, Some("12"))], Some(9.0))]
#[case::earlier_request_names_less(&[(0, 10, Some("9")), (5, 30, Some("3"))], Some(3.0))]
#[case::later_request_names_more(&[(0, 10, Some("9")), (15, 30, Some("12.5"))], Some(12.5))]
#[case::none_was_named(&[(0, 10, None), (5, 30, None)], None)]
fn a_looser_statement_counts_only_if_it_answers_a_later_request(
    #[case] responses: &[(u64, u64, Option<&str>)],
    #[case] expected: Option<f64>,
) {
    let server = server("i-1", 1);
    let mut tracker = NoticeTracker::default();
    for (sent, arrived, limit) in responses {
        tracker.record_response(&notice(&server, *limit), at(*sent), at(*arrived));
    }
    assert_eq!(limit(&tracker, &server), expected);
}

/// An incarnation with the same identity may be in the same need; another server is not.
#[rstest]
#[case::same_incarnation("i-1", 1, Some(9.0))]
#[case::new_incarnation("i-1", 2, Some(9.0))]
#[case::other_server("i-2", 2, None)]
fn a_limit_stays_with_the_identity(
    #[case] id: &str,
    #[case] started_ms: u64,
    #[case] expected: Option<f64>,
) {
    let (old, new) = (server("i-1", 1), server(id, started_ms));
    let mut tracker = NoticeTracker::default();
    tracker.record_response(&notice(&old, Some("9")), at(0), at(10));
    tracker.adopt(&notice(&new, None), at(20));
    assert_eq!(limit(&tracker, &new), expected);
    tracker.record_response(&notice(&new, None), at(30), at(40));
    assert_eq!(limit(&tracker, &new), None);
}

/// A gate that has restarted takes over what entries know, until the server has responded to it.
#[rstest]
#[case::restarted(false, Some(9.0))]
#[case::has_responded(true, None)]
fn an_entry_tells_a_gate_that_knows_nothing(
    #[case] has_responded: bool,
    #[case] expected: Option<f64>,
) {
    let server = server("i-1", 1);
    let mut tracker = NoticeTracker::default();
    if has_responded {
        tracker.record_response(&notice(&server, None), at(0), at(10));
    }
    tracker.adopt(&notice(&server, Some("9")), at(20));
    assert_eq!(limit(&tracker, &server), expected);
}

#[test]
fn a_server_that_leaves_has_left_whatever_other_responses_say() {
    let server = server("i-1", 1);
    let mut tracker = NoticeTracker::default();
    let leaving = ServerNotice {
        is_leaving: true,
        ..notice(&server, None)
    };
    assert!(tracker.record_response(&leaving, at(0), at(10)));
    assert!(!tracker.record_response(&notice(&server, None), at(20), at(30)));
    assert!(tracker.notice(server).is_leaving);
}

#[rstest]
#[case::words("many")]
#[case::empty("")]
#[case::negative("-1")]
#[case::negative_zero("-0")]
#[case::infinite("inf")]
#[case::not_a_number("NaN")]
fn a_limit_that_is_no_decimal_number_is_rejected(#[case] text: &str) {
    assert!(
        text.parse::<agatehill_decide::server_notice::RequestRate>()
            .is_err()
    );
}

/// Where a server takes half of what it is sent, the more urgent half gets through.
#[test]
fn urgent_requests_go_first_where_a_limit_is_short() {
    let server = server("i-1", 1);
    let mut tracker = NoticeTracker::default();
    tracker.record_response(&notice(&server, Some("20")), at(0), at(0));
    let urgencies = [
        RequestUrgency::Nested,
        RequestUrgency::Root(0),
        RequestUrgency::Root(2),
    ];
    let mut accepted = [0; 3];
    for millis in (0..10_000).step_by(75) {
        for (idx, urgency) in urgencies.into_iter().enumerate() {
            let taken = tracker.try_take(&server, urgency, at(millis));
            accepted[idx] += u32::from(taken.is_ok());
        }
    }
    let [nested, first, last] = accepted;
    assert_eq!(nested, 134);
    assert!(first > 4 * last, "{accepted:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// No window has more requests than the rule allows, whatever arrives when; what is refused is
    /// told a time after which it is accepted if nothing else arrives.
    #[test]
    fn a_limit_bounds_each_window(
        rate in prop_oneof![Just(0.0), 0.0..2.0_f64, 2.0..200.0_f64],
        pauses in prop::collection::vec((0..30_u64, 0..4_u32, any::<bool>()), 1..2_000),
    ) {
        let server = server("i-1", 1);
        let mut tracker = NoticeTracker::default();
        let rate = format!("{rate:.3}");
        tracker.record_response(&notice(&server, Some(&rate)), at(0), at(0));
        let (mut now, mut accepted) = (MonoTime::ZERO, Vec::new());
        for (pause, rank, is_nested) in pauses {
            now = now + Duration::from_millis(pause);
            let urgency = match is_nested {
                true => RequestUrgency::Nested,
                false => RequestUrgency::Root(rank),
            };
            match tracker.try_take(&server, urgency, now) {
                Ok(()) => accepted.push(now),
                Err(retry_after) => {
                    let later = now + retry_after + Duration::from_millis(1);
                    prop_assert!(tracker.clone().try_take(&server, urgency, later).is_ok());
                }
            }
        }
        let allowed = rate.parse::<f64>().unwrap() * 1.5 * WINDOW.as_secs_f64() + WINDOW_EXTRA;
        for (idx, first) in accepted.iter().enumerate() {
            let window = accepted[idx..].iter().take_while(|at| at.since(*first) < WINDOW);
            prop_assert!(window.count() as f64 <= allowed);
        }
    }
}
