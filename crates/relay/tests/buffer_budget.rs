//! The memory that buffered bodies take up together.

use agatehill_relay::buffer_budget::BufferBudget;

/// Bytes of a body that need no reservation.
const UNRESERVED: usize = 16 * 1024;

#[test]
fn bodies_are_held_until_the_budget_is_used_up() {
    let budget = BufferBudget::open(1_000);
    let mut first = budget.reservation();
    let mut second = budget.reservation();
    assert!(first.try_hold(UNRESERVED + 400));
    // It grows by what has arrived since.
    assert!(first.try_hold(UNRESERVED + 900));
    assert!(!second.try_hold(UNRESERVED + 101));
    assert!(second.try_hold(UNRESERVED + 100));
    drop(first);
    assert!(second.try_hold(UNRESERVED + 1_000));
}

#[test]
fn small_bodies_need_no_budget() {
    let budget = BufferBudget::open(0);
    assert!(budget.reservation().try_hold(UNRESERVED));
    assert!(!budget.reservation().try_hold(UNRESERVED + 1));
}
