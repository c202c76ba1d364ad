//! Heartbeats that come late, twice, out of order or from an incarnation that has ended.

use agatehill_decide::{
    name::ServiceName,
    server_tracker::{HeartbeatEffect, ServerHeartbeat, ServerTracker},
    time::MonoTime,
};
use rstest::rstest;
use std::time::Duration;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(9);

fn beat(id: &str, started_ms: u64, sequence: u64) -> ServerHeartbeat {
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

fn leaving(mut beat: ServerHeartbeat) -> ServerHeartbeat {
    beat.is_leaving = true;
    beat
}

fn tracker(beats: &[ServerHeartbeat]) -> ServerTracker {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    for beat in beats {
        tracker.record_heartbeat(beat.clone(), MonoTime::ZERO);
    }
    tracker
}

#[rstest]
#[case::first(&[], beat("a", 10, 1), HeartbeatEffect::Started, Some("a"))]
#[case::next(&[beat("a", 10, 1)], beat("a", 10, 2), HeartbeatEffect::Refreshed, Some("a"))]
#[case::twice(&[beat("a", 10, 2)], beat("a", 10, 2), HeartbeatEffect::Ignored, Some("a"))]
#[case::out_of_order(&[beat("a", 10, 3)], beat("a", 10, 2), HeartbeatEffect::Ignored, Some("a"))]
#[case::new_incarnation(&[beat("a", 10, 9)], beat("b", 20, 1), HeartbeatEffect::Started, Some("b"))]
#[case::same_id_again(&[beat("a", 10, 9)], beat("a", 20, 1), HeartbeatEffect::Started, Some("a"))]
#[case::late_from_before(&[beat("b", 20, 1)], beat("a", 10, 9), HeartbeatEffect::Ignored, Some("b"))]
#[case::leaves(&[beat("a", 10, 1)], leaving(beat("a", 10, 2)), HeartbeatEffect::Changed, None)]
#[case::ready_after_leaving(
    &[beat("a", 10, 1), leaving(beat("a", 10, 2))], beat("a", 10, 3), HeartbeatEffect::Refreshed, None
)]
#[case::successor_of_a_leaving_one(
    &[leaving(beat("a", 10, 2))], beat("b", 20, 1), HeartbeatEffect::Started, Some("b")
)]
fn heartbeats_in_any_order(
    #[case] before: &[ServerHeartbeat],
    #[case] next: ServerHeartbeat,
    #[case] effect: HeartbeatEffect,
    #[case] serving: Option<&str>,
) {
    let mut tracker = tracker(before);
    assert_eq!(tracker.record_heartbeat(next, MonoTime::ZERO), effect);
    let id = tracker.serving(MonoTime::ZERO).map(|beat| beat.id.as_str());
    assert_eq!(id, serving);
}

#[rstest]
#[case::late_beat_of_the_ended(beat("a", 10, 7), HeartbeatEffect::Ignored)]
#[case::older_one(beat("z", 5, 7), HeartbeatEffect::Ignored)]
#[case::same_id_born_again(beat("a", 11, 1), HeartbeatEffect::Started)]
fn an_ended_incarnation_stays_ended(
    #[case] next: ServerHeartbeat,
    #[case] effect: HeartbeatEffect,
) {
    let mut tracker = tracker(&[beat("a", 10, 1)]);
    assert!(tracker.record_leave("a", None, MonoTime::ZERO));
    assert!(tracker.serving(MonoTime::ZERO).is_none());
    assert_eq!(tracker.record_heartbeat(next, MonoTime::ZERO), effect);
}

#[test]
fn the_end_of_another_incarnation_changes_nothing() {
    let mut tracker = tracker(&[beat("a", 20, 1)]);
    assert!(!tracker.record_leave("a", Some(10), MonoTime::ZERO));
    assert!(!tracker.record_leave("b", None, MonoTime::ZERO));
    assert!(tracker.serving(MonoTime::ZERO).is_some());
}

/// A daemon that has just started is told that a server leaves; its heartbeats from before come late.
#[rstest]
#[case::late_beat("a", 2_800, HeartbeatEffect::Ignored)]
#[case::long_after("a", 10_000, HeartbeatEffect::Started)]
#[case::another("b", 2_800, HeartbeatEffect::Started)]
fn a_server_that_left_before_it_was_known_stays_away(
    #[case] id: &str,
    #[case] millis: u64,
    #[case] effect: HeartbeatEffect,
) {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    assert!(!tracker.record_leave("a", None, MonoTime::ZERO));
    let now = MonoTime::from_millis(millis);
    assert_eq!(tracker.record_heartbeat(beat(id, 10, 23), now), effect);
}

#[test]
fn an_end_told_before_any_heartbeat_holds() {
    let mut tracker = ServerTracker::new(HEARTBEAT_TIMEOUT);
    tracker.record_leave("a", Some(10), MonoTime::ZERO);
    let effect = tracker.record_heartbeat(beat("a", 10, 4), MonoTime::ZERO);
    assert_eq!(effect, HeartbeatEffect::Ignored);
}

#[test]
fn a_silent_server_takes_no_work_until_it_is_heard() {
    let mut tracker = tracker(&[beat("a", 10, 1)]);
    let late = MonoTime::ZERO + HEARTBEAT_TIMEOUT;
    assert!(tracker.serving(late).is_none());
    tracker.record_heartbeat(beat("a", 10, 2), late);
    assert!(tracker.serving(late).is_some());
}

#[test]
fn a_server_that_is_down_takes_no_work_until_it_is_heard() {
    let mut tracker = tracker(&[beat("a", 10, 1)]);
    tracker.mark_unreachable("b");
    assert!(tracker.serving(MonoTime::ZERO).is_some());
    tracker.mark_unreachable("a");
    assert!(tracker.serving(MonoTime::ZERO).is_none());
    let effect = tracker.record_heartbeat(beat("a", 10, 2), MonoTime::ZERO);
    assert_eq!(effect, HeartbeatEffect::Changed);
    assert!(tracker.serving(MonoTime::ZERO).is_some());
}
