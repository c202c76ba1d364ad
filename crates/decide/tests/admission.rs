//! Admission to the slots of one backend server.

use agatehill_decide::{
    admission::{Admission, AdmissionRequest, SlotAdmission, WaitKey},
    time::MonoTime,
};
use std::time::Duration;

const HOLD: Duration = Duration::from_millis(100);

fn ask(rank: u32, start_by_millis: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank,
        start_by: MonoTime::from_millis(start_by_millis),
    }
}

/// Returns a server of one slot that is taken, where a request is known to take [`HOLD`].
fn busy() -> SlotAdmission {
    let mut slots = SlotAdmission::new(1);
    for _ in 0..200 {
        assert_eq!(slots.offer(ask(0, 0), MonoTime::ZERO), Admission::Run);
        slots.release(Some(HOLD), MonoTime::ZERO);
    }
    assert_eq!(slots.offer(ask(0, 0), MonoTime::ZERO), Admission::Run);
    slots
}

fn wait(slots: &mut SlotAdmission, ask: AdmissionRequest) -> WaitKey {
    match slots.offer(ask, MonoTime::ZERO) {
        Admission::Wait(key) => key,
        other => panic!("{other:?}"),
    }
}

#[test]
fn as_many_run_as_there_are_slots() {
    let mut slots = SlotAdmission::new(2);
    assert_eq!(slots.offer(ask(0, 9), MonoTime::ZERO), Admission::Run);
    assert_eq!(slots.offer(ask(0, 9), MonoTime::ZERO), Admission::Run);
    assert!(!matches!(
        slots.offer(ask(0, 9_000), MonoTime::ZERO),
        Admission::Run
    ));
    assert_eq!(slots.running(), 2);
}

#[test]
fn the_more_important_goes_first_and_equals_in_order() {
    let mut slots = busy();
    let second = wait(&mut slots, ask(2, 9_000));
    let third = wait(&mut slots, ask(2, 9_000));
    let first = wait(&mut slots, ask(0, 9_000));
    let mut started = Vec::new();
    for _ in 0..3 {
        started.extend(slots.release(Some(HOLD), MonoTime::ZERO).started);
    }
    assert_eq!(started, [first, second, third]);
}

#[test]
fn what_cannot_start_in_time_is_refused_at_once() {
    let mut slots = busy();
    let Admission::Refuse { retry_after } = slots.offer(ask(0, 50), MonoTime::ZERO) else {
        panic!("there is no room for it");
    };
    assert!(retry_after >= HOLD.mul_f64(0.9), "{retry_after:?}");
    // Places before the less important ones count for the more important one alone.
    wait(&mut slots, ask(2, 150));
    assert!(matches!(
        slots.offer(ask(2, 150), MonoTime::ZERO),
        Admission::Refuse { .. }
    ));
    wait(&mut slots, ask(0, 150));
}

/// More important requests keep coming, so that one of the last rank has waited long already. The
/// next of its rank would wait as long: it is told at once instead of after its whole patience.
#[test]
fn behind_a_rank_that_does_not_move_nobody_waits() {
    let mut slots = busy();
    wait(&mut slots, ask(2, 9_000));
    let now = MonoTime::from_millis(600);
    let offer = |slots: &mut SlotAdmission, start_by| slots.offer(ask(2, start_by), now);
    assert!(matches!(offer(&mut slots, 1_100), Admission::Refuse { .. }));
    assert!(matches!(offer(&mut slots, 1_300), Admission::Wait(_)));
    // Another rank is not concerned.
    let more_important = slots.offer(ask(0, 1_100), now);
    assert!(matches!(more_important, Admission::Wait(_)));
}

#[test]
fn what_has_become_late_does_not_run() {
    let mut slots = busy();
    let late = wait(&mut slots, ask(0, 150));
    let next = wait(&mut slots, ask(2, 9_000));
    let turn = slots.release(Some(HOLD), MonoTime::from_millis(200));
    assert_eq!((turn.started, turn.expired), (vec![next], vec![late]));
}

#[test]
fn a_withdrawn_request_leaves_its_place() {
    let mut slots = busy();
    let gone = wait(&mut slots, ask(0, 9_000));
    let next = wait(&mut slots, ask(0, 9_000));
    slots.withdraw(gone);
    assert_eq!(slots.release(None, MonoTime::ZERO).started, [next]);
}

#[test]
fn a_server_that_leaves_empties_its_queue() {
    let mut slots = busy();
    let waiting = [
        wait(&mut slots, ask(0, 9_000)),
        wait(&mut slots, ask(1, 9_000)),
    ];
    let mut cleared = slots.clear();
    cleared.sort();
    assert_eq!(cleared, waiting);
    assert_eq!(slots.queued(), 0);
}
