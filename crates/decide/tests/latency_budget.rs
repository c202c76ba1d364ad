//! What a request may wait for slots, and when its caller is told to come back.

use agatehill_decide::latency_budget::{LatencyBudget, RETRY_AFTER_MIN};
use rstest::rstest;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(1_000);
/// Time that does not bound any wait.
const LONG: Duration = Duration::from_secs(60);
/// Largest factor of the jitter on a retry-after.
const JITTER_MAX: f64 = 1.5;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A request that has waited for its whole time at one gate does not wait at the next.
#[test]
fn waits_of_a_root_at_all_gates_share_one_budget() {
    let mut budget = LatencyBudget::of_root(TARGET);
    let first = budget.wait_max(LONG);
    assert!(first < TARGET / 2, "{first:?}");
    budget.record_refusal(millis(100));
    assert_eq!(budget.wait_max(LONG), first - millis(100));
    budget.record_refusal(first);
    assert_eq!(budget.wait_max(LONG), Duration::ZERO);
}

/// Work has been done for the root of a call, which is lost if the call is refused.
#[test]
fn a_call_may_wait_as_long_at_the_next_gate() {
    let mut budget = LatencyBudget::of_call(TARGET);
    let first = budget.wait_max(LONG);
    budget.record_refusal(first);
    assert_eq!(budget.wait_max(LONG), first);
    assert!(first > LatencyBudget::of_root(TARGET).wait_max(LONG));
}

#[test]
fn nothing_waits_for_most_of_its_remaining_time() {
    for budget in [
        LatencyBudget::of_root(TARGET),
        LatencyBudget::of_call(TARGET),
    ] {
        assert!(budget.wait_max(millis(100)) < millis(100));
    }
}

/// With the longest jitter, the caller's next attempt still ends within the target latency.
#[rstest]
#[case::refused_at_once(1_000, 5, 400)]
#[case::refused_after_a_wait(1_000, 300, 400)]
#[case::not_measured(300, 40, 0)]
#[case::never(7_200_000, 0, 700)]
fn a_caller_comes_back_in_time_to_be_served(
    #[case] proposed: u64,
    #[case] elapsed: u64,
    #[case] latency: u64,
) {
    let (elapsed, latency) = (millis(elapsed), millis(latency));
    let budget = LatencyBudget::of_root(TARGET);
    let delay = budget.retry_after(millis(proposed), elapsed, latency);
    let ends_after = elapsed + delay.mul_f64(JITTER_MAX) + latency;
    assert!(ends_after <= TARGET, "{ends_after:?}");
    assert!(delay >= RETRY_AFTER_MIN, "{delay:?}");
}

#[test]
fn a_caller_is_not_told_to_come_back_later_than_there_is_room() {
    let budget = LatencyBudget::of_root(TARGET);
    let delay = budget.retry_after(millis(120), millis(5), millis(200));
    assert_eq!(delay, millis(120));
}

/// Nothing is gained by coming back sooner than there is room if it is too late for the target latency.
#[rstest]
#[case::slow_service(5, 1_200)]
#[case::held_long(1_100, 50)]
#[case::hardly_any_time_left(5, 900)]
#[case::hardly_any_time_left_after_a_wait(300, 600)]
fn a_caller_that_is_late_anyway_comes_back_when_there_is_room(
    #[case] elapsed: u64,
    #[case] latency: u64,
) {
    let budget = LatencyBudget::of_root(TARGET);
    let delay = budget.retry_after(millis(900), millis(elapsed), millis(latency));
    assert_eq!(delay, millis(900));
}
