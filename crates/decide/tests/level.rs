//! How a gate adjusts its priority level, and how an entry uses the levels it receives.

use agatehill_decide::{
    level::{LevelControl, LevelTable, LevelWindow, PathLevels, ServiceHash},
    priority::CallPriority,
    time::MonoTime,
};
use rstest::rstest;

/// Calls that the server can finish in a window.
const CAPACITY: f64 = 100.0;

/// Offers `calls` calls of evenly spread priorities in each window; returns the number of calls
/// admitted in the last one.
fn run_windows(control: &mut LevelControl, windows: u32, calls: u16) -> u32 {
    let mut admitted = 0;
    for _ in 0..windows {
        admitted = 0;
        for call in 0..calls {
            let spread = u32::from(CallPriority::LOWEST.0) * u32::from(call) / u32::from(calls);
            admitted += u32::from(control.admits(CallPriority(spread as u16)));
        }
        control.close_window(LevelWindow {
            capacity: CAPACITY,
            is_overloaded: f64::from(admitted) > CAPACITY * 1.3,
            queued: 0.0,
        });
    }
    admitted
}

#[rstest]
#[case::one_and_a_half(150)]
#[case::twice(200)]
#[case::three_times(300)]
#[case::ten_times(1_000)]
fn level_converges_to_the_capacity(#[case] calls: u16) {
    let mut control = LevelControl::default();
    let admitted = run_windows(&mut control, 30, calls);
    assert!(
        (90..=160).contains(&admitted),
        "{admitted} of {calls} calls admitted"
    );
}

#[rstest]
#[case::after_twice(200)]
#[case::after_ten_times(1_000)]
fn level_recovers_within_two_seconds(#[case] calls: u16) {
    let mut control = LevelControl::default();
    run_windows(&mut control, 30, calls);
    assert!(control.level() < CallPriority::LOWEST);
    run_windows(&mut control, 20, 80);
    assert_eq!(control.level(), CallPriority::LOWEST);
}

const LOWERED: CallPriority = CallPriority(500);

fn received_table() -> LevelTable<&'static str, u8> {
    let mut table = LevelTable::default();
    for millis in 0..50 {
        for operation in ["check", "history"] {
            table.record(operation, 7, LOWERED, MonoTime::from_millis(millis));
        }
    }
    table
}

#[rstest]
#[case::fresh(200, 400, 600)]
#[case::fully_decayed(1_400, 3_071, 3_071)]
fn level_decays_when_not_received_again(#[case] millis: u64, #[case] low: u16, #[case] high: u16) {
    let table = received_table();
    let level = table.level(&"check", MonoTime::from_millis(millis)).0;
    assert!((low..=high).contains(&level), "{level}");
}

#[test]
fn refused_operation_gets_levels_through_another() {
    let mut table = received_table();
    for millis in 50..2_000 {
        table.record("check", 7, LOWERED, MonoTime::from_millis(millis));
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
