//! Heartbeats that come late, twice, out of order or from an incarnation that has ended.

use agatehill_decide::{
    name::ServiceName,
    server_track::{BeatEffect, ServerBeat, ServerTrack},
    time::MonoTime,
};
use rstest::rstest;
use std::time::Duration;

const SILENCE_MAX: Duration = Duration::from_secs(9);

fn beat(id: &str, born: u64, sequence: u64) -> ServerBeat {
    ServerBeat {
        id: id.to_owned(),
        born,
        sequence,
        service: ServiceName::try_from("techreg").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 4,
        is_leaving: false,
        cold_left: Duration::ZERO,
    }
}

fn leaving(mut beat: ServerBeat) -> ServerBeat {
    beat.is_leaving = true;
    beat
}

fn track(beats: &[ServerBeat]) -> ServerTrack {
    let mut track = ServerTrack::new(SILENCE_MAX);
    for beat in beats {
        track.observe(beat.clone(), MonoTime::ZERO);
    }
    track
}

#[rstest]
#[case::first(&[], beat("a", 10, 1), BeatEffect::Started, Some("a"))]
#[case::next(&[beat("a", 10, 1)], beat("a", 10, 2), BeatEffect::Refreshed, Some("a"))]
#[case::twice(&[beat("a", 10, 2)], beat("a", 10, 2), BeatEffect::Ignored, Some("a"))]
#[case::out_of_order(&[beat("a", 10, 3)], beat("a", 10, 2), BeatEffect::Ignored, Some("a"))]
#[case::new_incarnation(&[beat("a", 10, 9)], beat("b", 20, 1), BeatEffect::Started, Some("b"))]
#[case::same_id_again(&[beat("a", 10, 9)], beat("a", 20, 1), BeatEffect::Started, Some("a"))]
#[case::late_from_before(&[beat("b", 20, 1)], beat("a", 10, 9), BeatEffect::Ignored, Some("b"))]
#[case::leaves(&[beat("a", 10, 1)], leaving(beat("a", 10, 2)), BeatEffect::Changed, None)]
#[case::ready_after_leaving(
    &[beat("a", 10, 1), leaving(beat("a", 10, 2))], beat("a", 10, 3), BeatEffect::Refreshed, None
)]
#[case::successor_of_a_leaving_one(
    &[leaving(beat("a", 10, 2))], beat("b", 20, 1), BeatEffect::Started, Some("b")
)]
fn heartbeats_in_any_order(
    #[case] before: &[ServerBeat],
    #[case] next: ServerBeat,
    #[case] effect: BeatEffect,
    #[case] serving: Option<&str>,
) {
    let mut track = track(before);
    assert_eq!(track.observe(next, MonoTime::ZERO), effect);
    let id = track.serving(MonoTime::ZERO).map(|beat| beat.id.as_str());
    assert_eq!(id, serving);
}

#[rstest]
#[case::late_beat_of_the_ended(beat("a", 10, 7), BeatEffect::Ignored)]
#[case::older_one(beat("z", 5, 7), BeatEffect::Ignored)]
#[case::same_id_born_again(beat("a", 11, 1), BeatEffect::Started)]
fn an_ended_incarnation_stays_ended(#[case] next: ServerBeat, #[case] effect: BeatEffect) {
    let mut track = track(&[beat("a", 10, 1)]);
    assert!(track.end("a", None, MonoTime::ZERO));
    assert!(track.serving(MonoTime::ZERO).is_none());
    assert_eq!(track.observe(next, MonoTime::ZERO), effect);
}

#[test]
fn the_end_of_another_incarnation_changes_nothing() {
    let mut track = track(&[beat("a", 20, 1)]);
    assert!(!track.end("a", Some(10), MonoTime::ZERO));
    assert!(!track.end("b", None, MonoTime::ZERO));
    assert!(track.serving(MonoTime::ZERO).is_some());
}

/// A daemon that has just started is told that a server leaves; its heartbeats from before come late.
#[rstest]
#[case::late_beat("a", 2_800, BeatEffect::Ignored)]
#[case::long_after("a", 10_000, BeatEffect::Started)]
#[case::another("b", 2_800, BeatEffect::Started)]
fn a_server_that_left_before_it_was_known_stays_away(
    #[case] id: &str,
    #[case] millis: u64,
    #[case] effect: BeatEffect,
) {
    let mut track = ServerTrack::new(SILENCE_MAX);
    assert!(!track.end("a", None, MonoTime::ZERO));
    let now = MonoTime::from_millis(millis);
    assert_eq!(track.observe(beat(id, 10, 23), now), effect);
}

#[test]
fn an_end_told_before_any_heartbeat_holds() {
    let mut track = ServerTrack::new(SILENCE_MAX);
    track.end("a", Some(10), MonoTime::ZERO);
    let effect = track.observe(beat("a", 10, 4), MonoTime::ZERO);
    assert_eq!(effect, BeatEffect::Ignored);
}

#[test]
fn a_silent_server_takes_no_work_until_it_is_heard() {
    let mut track = track(&[beat("a", 10, 1)]);
    let late = MonoTime::ZERO + SILENCE_MAX;
    assert!(track.serving(late).is_none());
    track.observe(beat("a", 10, 2), late);
    assert!(track.serving(late).is_some());
}

#[test]
fn a_server_that_is_down_takes_no_work_until_it_is_heard() {
    let mut track = track(&[beat("a", 10, 1)]);
    track.note_down("b");
    assert!(track.serving(MonoTime::ZERO).is_some());
    track.note_down("a");
    assert!(track.serving(MonoTime::ZERO).is_none());
    let effect = track.observe(beat("a", 10, 2), MonoTime::ZERO);
    assert_eq!(effect, BeatEffect::Changed);
    assert!(track.serving(MonoTime::ZERO).is_some());
}
