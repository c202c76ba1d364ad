//! Tracking of a server by heartbeats that are delayed, duplicated, reordered or outdated.

use agatehill_decide::{
    name::ServiceName,
    server_tracker::{HeartbeatEffect, LeaveEffect, ServerHeartbeat, ServerTracker},
    time::MonoTime,
};
use rstest::rstest;
use std::time::Duration;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(9);

fn heartbeat(id: &str, started_ms: u64, sequence: u64) -> ServerHeartbeat {
    ServerHeartbeat {
        id: id.to_owned(),
        started_ms,
        sequence,
        service: ServiceName::try_from("techreg").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 4,
        is_leaving: false,
        slow_start_left: Duration::ZERO,
    }
}

fn leaving(mut heartbeat: ServerHeartbeat) -> ServerHeartbeat {
    heartbeat.is_leaving = true;
    heartbeat
}

fn tracker(heartbeats: &[ServerHeartbeat]) -> ServerTracker {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    for heartbeat in heartbeats {
        tracker.record_heartbeat(heartbeat.clone(), MonoTime::ZERO);
    }
    tracker
}

#[rstest]
#[case::first(&[], heartbeat("a", 10, 1), HeartbeatEffect::Started, Some("a"))]
#[case::next(&[heartbeat("a", 10, 1)], heartbeat("a", 10, 2), HeartbeatEffect::Refreshed, Some("a"))]
#[case::duplicate(&[heartbeat("a", 10, 2)], heartbeat("a", 10, 2), HeartbeatEffect::Ignored, Some("a"))]
#[case::out_of_order(&[heartbeat("a", 10, 3)], heartbeat("a", 10, 2), HeartbeatEffect::Ignored, Some("a"))]
#[case::new_incarnation(&[heartbeat("a", 10, 9)], heartbeat("b", 20, 1), HeartbeatEffect::Started, Some("b"))]
#[case::new_incarnation_with_same_id(
    &[heartbeat("a", 10, 9)], heartbeat("a", 20, 1), HeartbeatEffect::Started, Some("a")
)]
#[case::delayed_from_earlier_incarnation(
    &[heartbeat("b", 20, 1)], heartbeat("a", 10, 9), HeartbeatEffect::Ignored, Some("b")
)]
#[case::leaves(&[heartbeat("a", 10, 1)], leaving(heartbeat("a", 10, 2)), HeartbeatEffect::Changed, None)]
#[case::ready_after_leaving(
    &[heartbeat("a", 10, 1), leaving(heartbeat("a", 10, 2))],
    heartbeat("a", 10, 3),
    HeartbeatEffect::Refreshed,
    None
)]
#[case::successor_of_leaving(
    &[leaving(heartbeat("a", 10, 2))], heartbeat("b", 20, 1), HeartbeatEffect::Started, Some("b")
)]
fn heartbeat_after_earlier_ones(
    #[case] before: &[ServerHeartbeat],
    #[case] next: ServerHeartbeat,
    #[case] effect: HeartbeatEffect,
    #[case] serving: Option<&str>,
) {
    let mut tracker = tracker(before);
    assert_eq!(tracker.record_heartbeat(next, MonoTime::ZERO), effect);
    let id = tracker
        .serving(MonoTime::ZERO)
        .map(|heartbeat| heartbeat.id.as_str());
    assert_eq!(id, serving);
}

#[rstest]
#[case::delayed_from_ended(heartbeat("a", 10, 7), HeartbeatEffect::Ignored)]
#[case::earlier_incarnation(heartbeat("z", 5, 7), HeartbeatEffect::Ignored)]
#[case::new_incarnation_with_same_id(heartbeat("a", 11, 1), HeartbeatEffect::Started)]
fn ended_incarnation_stays_ended(#[case] next: ServerHeartbeat, #[case] effect: HeartbeatEffect) {
    let mut tracker = tracker(&[heartbeat("a", 10, 1)]);
    let left = tracker.record_leave("a", None, MonoTime::ZERO);
    assert_eq!(left, LeaveEffect::Current);
    assert!(tracker.serving(MonoTime::ZERO).is_none());
    assert_eq!(tracker.record_heartbeat(next, MonoTime::ZERO), effect);
}

/// Guards against the leave of a server that has started again under its id, and was not heard yet, that is
/// acknowledged and dropped.
#[rstest]
#[case::same_id("a", Some(20))]
#[case::other_id("b", Some(20))]
#[case::other_id_without_start("b", None)]
fn a_leave_before_the_first_heartbeat_outlasts_it(
    #[case] id: &str,
    #[case] started_ms: Option<u64>,
) {
    let mut tracker = tracker(&[heartbeat("a", 10, 9)]);
    tracker.record_leave(id, started_ms, MonoTime::ZERO);
    let late = MonoTime::from_millis(3_000);
    let effect = tracker.record_heartbeat(heartbeat(id, 20, 1), late);
    assert_eq!(effect, HeartbeatEffect::Ignored);
    assert!(tracker.serving(late).is_none_or(|server| server.id == "a"));
}

/// Guards against requests to an incarnation that has ended, as one that started later has left.
#[test]
fn the_leave_of_a_successor_ends_the_current_server() {
    let mut tracker = tracker(&[heartbeat("a", 10, 9)]);
    let effect = tracker.record_leave("a", Some(20), MonoTime::ZERO);
    assert_eq!(effect, LeaveEffect::Successor);
    assert!(tracker.serving(MonoTime::ZERO).is_none());
    assert_eq!(tracker.left().unwrap().started_ms, 20);
}

/// Guards against a leave that arrives late and is forgotten, or that replaces one of a later start.
#[test]
fn every_incarnation_that_has_left_stays_ended() {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    for started_ms in [20, 10, 30] {
        tracker.record_leave("a", Some(started_ms), MonoTime::ZERO);
    }
    tracker.record_leave("a", Some(15), MonoTime::ZERO);
    assert_eq!(tracker.left().unwrap().started_ms, 30);
    let later = MonoTime::from_millis(60_000);
    for started_ms in [10, 15, 20, 30] {
        let effect = tracker.record_heartbeat(heartbeat("a", started_ms, 9), later);
        assert_eq!(effect, HeartbeatEffect::Ignored);
    }
}

/// Guards against a server whose clock was set back, and which is ignored as an earlier incarnation until
/// its daemon starts again.
#[rstest]
#[case::while_heartbeats_may_be_late(9_999, HeartbeatEffect::Ignored)]
#[case::afterwards(10_000, HeartbeatEffect::Started)]
fn a_server_with_an_earlier_start_is_heard_once_the_later_one_is_silent(
    #[case] millis: u64,
    #[case] effect: HeartbeatEffect,
    #[values(false, true)] has_left: bool,
) {
    let mut tracker = tracker(&[heartbeat("a", 20, 9)]);
    if has_left {
        tracker.record_leave("a", Some(20), MonoTime::ZERO);
    }
    let now = MonoTime::from_millis(millis);
    assert_eq!(tracker.record_heartbeat(heartbeat("b", 10, 1), now), effect);
}

#[test]
fn leave_of_another_incarnation_is_ignored() {
    let mut tracker = tracker(&[heartbeat("a", 20, 1)]);
    for (id, started_ms) in [("a", Some(10)), ("b", Some(20)), ("b", None)] {
        let effect = tracker.record_leave(id, started_ms, MonoTime::ZERO);
        assert_eq!(effect, LeaveEffect::Other);
    }
    assert!(tracker.serving(MonoTime::ZERO).is_some());
}

/// A server leaves a daemon that has just restarted, and its delayed heartbeats arrive afterwards.
/// They must not make it the current server again.
#[rstest]
#[case::delayed("a", 2_800, HeartbeatEffect::Ignored)]
#[case::long_after("a", 10_000, HeartbeatEffect::Started)]
#[case::other_server("b", 2_800, HeartbeatEffect::Started)]
fn server_that_left_before_its_first_heartbeat_is_ignored(
    #[case] id: &str,
    #[case] millis: u64,
    #[case] effect: HeartbeatEffect,
) {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    let left = tracker.record_leave("a", None, MonoTime::ZERO);
    assert_eq!(left, LeaveEffect::Other);
    let now = MonoTime::from_millis(millis);
    assert_eq!(tracker.record_heartbeat(heartbeat(id, 10, 23), now), effect);
}

#[test]
fn leave_before_any_heartbeat_ends_the_incarnation() {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    tracker.record_leave("a", Some(10), MonoTime::ZERO);
    let effect = tracker.record_heartbeat(heartbeat("a", 10, 4), MonoTime::ZERO);
    assert_eq!(effect, HeartbeatEffect::Ignored);
}

#[test]
fn server_without_heartbeats_accepts_no_work_until_the_next_one() {
    let mut tracker = tracker(&[heartbeat("a", 10, 1)]);
    let late = MonoTime::ZERO + HEARTBEAT_TIMEOUT;
    assert!(tracker.serving(late).is_none());
    tracker.record_heartbeat(heartbeat("a", 10, 2), late);
    assert!(tracker.serving(late).is_some());
}

#[test]
fn unreachable_server_accepts_no_work_until_the_next_heartbeat() {
    let mut tracker = tracker(&[heartbeat("a", 10, 1)]);
    tracker.mark_unreachable("b");
    assert!(tracker.serving(MonoTime::ZERO).is_some());
    tracker.mark_unreachable("a");
    assert!(tracker.serving(MonoTime::ZERO).is_none());
    let effect = tracker.record_heartbeat(heartbeat("a", 10, 2), MonoTime::ZERO);
    assert_eq!(effect, HeartbeatEffect::Changed);
    assert!(tracker.serving(MonoTime::ZERO).is_some());
}

/// A daemon that starts again is told which server had left, before or after a late heartbeat of it.
#[rstest]
#[case::told_first(true)]
#[case::heartbeat_first(false)]
fn a_server_that_had_left_before_the_start_is_not_believed(#[case] is_told_first: bool) {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    let late = heartbeat("i-1", 1_000, 3);
    let left = late.identity();
    if is_told_first {
        tracker.adopt_left(&left, MonoTime::ZERO);
    }
    tracker.record_heartbeat(late, MonoTime::ZERO);
    tracker.adopt_left(&left, MonoTime::ZERO);
    assert_eq!(tracker.serving(MonoTime::ZERO), None);
    tracker.record_heartbeat(heartbeat("i-1", 2_000, 1), MonoTime::ZERO);
    assert!(tracker.serving(MonoTime::ZERO).is_some());
}
