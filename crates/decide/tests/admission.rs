//! Admission of requests to the slots of one backend server.

use agatehill_decide::{
    admission::{Admission, AdmissionRequest, SlotAdmission, WaitKey},
    time::MonoTime,
};
use std::time::Duration;

const HOLD: Duration = Duration::from_millis(100);

fn request(rank: u64, start_by_millis: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank,
        start_by: MonoTime::from_millis(start_by_millis),
    }
}

/// Returns the admission of a server whose only slot is taken, with an estimated hold time of [`HOLD`].
fn busy_server() -> SlotAdmission {
    let mut slots = SlotAdmission::new(1);
    for _ in 0..200 {
        assert_eq!(slots.offer(request(0, 0), MonoTime::ZERO), Admission::Run);
        slots.release(Some(HOLD), MonoTime::ZERO);
    }
    assert_eq!(slots.offer(request(0, 0), MonoTime::ZERO), Admission::Run);
    slots
}

fn wait(slots: &mut SlotAdmission, request: AdmissionRequest) -> WaitKey {
    match slots.offer(request, MonoTime::ZERO) {
        Admission::Wait(key) => key,
        other => panic!("{other:?}"),
    }
}

#[test]
fn runs_one_request_per_slot() {
    let mut slots = SlotAdmission::new(2);
    assert_eq!(slots.offer(request(0, 9), MonoTime::ZERO), Admission::Run);
    assert_eq!(slots.offer(request(0, 9), MonoTime::ZERO), Admission::Run);
    assert!(!matches!(
        slots.offer(request(0, 9_000), MonoTime::ZERO),
        Admission::Run
    ));
    assert_eq!(slots.running(), 2);
}

/// Guards against the panic on the rank after which no other follows.
#[test]
fn requests_of_the_lowest_rank_wait_for_all_others() {
    let mut slots = busy_server();
    let last = wait(&mut slots, request(u64::MAX, 9_000));
    let behind = wait(&mut slots, request(u64::MAX, 9_000));
    let first = wait(&mut slots, request(u64::MAX - 1, 9_000));
    let mut started = Vec::new();
    for _ in 0..3 {
        started.extend(slots.release(Some(HOLD), MonoTime::ZERO).started);
    }
    assert_eq!(started, [first, last, behind]);
}

#[test]
fn starts_queued_requests_by_rank_then_by_arrival() {
    let mut slots = busy_server();
    let second = wait(&mut slots, request(2, 9_000));
    let third = wait(&mut slots, request(2, 9_000));
    let first = wait(&mut slots, request(0, 9_000));
    let mut started = Vec::new();
    for _ in 0..3 {
        started.extend(slots.release(Some(HOLD), MonoTime::ZERO).started);
    }
    assert_eq!(started, [first, second, third]);
}

#[test]
fn refuses_request_that_cannot_start_in_time() {
    let mut slots = busy_server();
    let Admission::Refuse { retry_after } = slots.offer(request(0, 50), MonoTime::ZERO) else {
        panic!("the request was not refused");
    };
    assert!(retry_after >= HOLD.mul_f64(0.9), "{retry_after:?}");
    // Less important requests do not lengthen the expected wait of a more important one.
    wait(&mut slots, request(2, 150));
    assert!(matches!(
        slots.offer(request(2, 150), MonoTime::ZERO),
        Admission::Refuse { .. }
    ));
    wait(&mut slots, request(0, 150));
}

/// While more important requests keep arriving, the queue of a lower rank does not move. A new
/// request of that rank would wait as long as the oldest one and is refused at once, instead of
/// after its whole time has passed.
#[test]
fn refuses_by_the_wait_of_the_oldest_request_of_the_same_rank() {
    let mut slots = busy_server();
    wait(&mut slots, request(2, 9_000));
    let now = MonoTime::from_millis(600);
    let offer = |slots: &mut SlotAdmission, start_by| slots.offer(request(2, start_by), now);
    assert!(matches!(offer(&mut slots, 1_100), Admission::Refuse { .. }));
    assert!(matches!(offer(&mut slots, 1_300), Admission::Wait(_)));
    // Requests of another rank are not affected.
    let more_important = slots.offer(request(0, 1_100), now);
    assert!(matches!(more_important, Admission::Wait(_)));
}

#[test]
fn drops_queued_request_past_its_latest_start() {
    let mut slots = busy_server();
    let late = wait(&mut slots, request(0, 150));
    let next = wait(&mut slots, request(2, 9_000));
    let dequeued = slots.release(Some(HOLD), MonoTime::from_millis(200));
    assert_eq!(
        (dequeued.started, dequeued.expired),
        (vec![next], vec![late])
    );
}

#[test]
fn withdrawn_request_leaves_the_queue() {
    let mut slots = busy_server();
    let withdrawn = wait(&mut slots, request(0, 9_000));
    let next = wait(&mut slots, request(0, 9_000));
    slots.withdraw(withdrawn);
    assert_eq!(slots.release(None, MonoTime::ZERO).started, [next]);
}

#[test]
fn clear_returns_all_queued_requests() {
    let mut slots = busy_server();
    let waiting = [
        wait(&mut slots, request(0, 9_000)),
        wait(&mut slots, request(1, 9_000)),
    ];
    let mut cleared = slots.clear();
    cleared.sort();
    assert_eq!(cleared, waiting);
    assert_eq!(slots.queued(), 0);
}
