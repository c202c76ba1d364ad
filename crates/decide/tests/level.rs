//! Levels: how a gate moves its own, and what an entry makes of those that it hears.

use agatehill_decide::{
    level::{LevelControl, LevelTable, LevelWindow, PathLevels, ServiceHash},
    priority::CallPriority,
    time::MonoTime,
};
use rstest::rstest;

/// Calls that the server finishes in a window.
const CAPACITY: f64 = 100.0;

/// Offers `calls` of evenly spread priorities a window; returns how many pass in the last one.
fn run_windows(control: &mut LevelControl, windows: u32, calls: u16) -> u32 {
    let mut passed = 0;
    for _ in 0..windows {
        passed = 0;
        for call in 0..calls {
            let spread = u32::from(CallPriority::LOWEST.0) * u32::from(call) / u32::from(calls);
            passed += u32::from(control.admits(CallPriority(spread as u16)));
        }
        control.close_window(LevelWindow {
            capacity: CAPACITY,
            is_overloaded: f64::from(passed) > CAPACITY * 1.3,
            queued: 0.0,
        });
    }
    passed
}

#[rstest]
#[case::one_and_a_half(150)]
#[case::twice(200)]
#[case::three_times(300)]
#[case::ten_times(1_000)]
fn level_settles_near_the_capacity(#[case] calls: u16) {
    let mut control = LevelControl::default();
    let passed = run_windows(&mut control, 30, calls);
    assert!((90..=160).contains(&passed), "{passed} of {calls} pass");
}

#[rstest]
#[case::after_twice(200)]
#[case::after_ten_times(1_000)]
fn level_is_back_within_two_seconds(#[case] calls: u16) {
    let mut control = LevelControl::default();
    run_windows(&mut control, 30, calls);
    assert!(control.level() < CallPriority::LOWEST);
    run_windows(&mut control, 20, 80);
    assert_eq!(control.level(), CallPriority::LOWEST);
}

const CUT: CallPriority = CallPriority(500);

fn heard_table() -> LevelTable<&'static str, u8> {
    let mut table = LevelTable::default();
    for millis in 0..50 {
        for operation in ["check", "history"] {
            table.record(operation, 7, CUT, MonoTime::from_millis(millis));
        }
    }
    table
}

#[rstest]
#[case::held(200, 400, 600)]
#[case::faded_for_good(1_400, 3_071, 3_071)]
fn unheard_level_fades(#[case] millis: u64, #[case] low: u16, #[case] high: u16) {
    let table = heard_table();
    let level = table.level(&"check", MonoTime::from_millis(millis)).0;
    assert!((low..=high).contains(&level), "{level}");
}

#[test]
fn operation_refused_as_a_whole_hears_through_another() {
    let mut table = heard_table();
    for millis in 50..2_000 {
        table.record("check", 7, CUT, MonoTime::from_millis(millis));
    }
    let now = MonoTime::from_millis(2_000);
    assert!(table.level(&"history", now) <= CallPriority(600));
    assert_eq!(table.level(&"browse", now), CallPriority::LOWEST);
    for millis in 2_000..2_050 {
        table.record(
            "check",
            7,
            CallPriority::LOWEST,
            MonoTime::from_millis(millis),
        );
    }
    let now = MonoTime::from_millis(2_050);
    assert!(table.level(&"history", now) > CallPriority(3_000));
    table.prune(MonoTime::from_millis(9_000));
    assert_eq!(table.iter(now).count(), 0);
}

#[test]
fn path_keeps_the_newest_of_the_lowest_levels() {
    let mut path = PathLevels::default();
    for service in 0..20 {
        path.record(ServiceHash(service), CallPriority(100 - service as u16));
    }
    path.record(ServiceHash(19), CallPriority(7));
    let mut levels: Vec<_> = path
        .iter()
        .map(|known| (known.level.0, known.service.0))
        .collect();
    levels.sort();
    let lowest = [(7, 19), (82, 18), (83, 17), (84, 16), (85, 15), (86, 14)];
    assert_eq!(levels, lowest);
}
