//! Finding the parent request of a call by its deadline.

use agatehill_decide::{
    call_parent::{ParentIndex, ParentRequest},
    time::MonoTime,
};
use rstest::rstest;

fn request(rank: u32) -> ParentRequest {
    ParentRequest {
        rank,
        is_retry: rank == 7,
    }
}

/// Returns three running requests with deadlines at 1,000, 1,100 and 1,101 ms.
fn three_requests() -> ParentIndex {
    let mut index = ParentIndex::default();
    for (deadline, rank) in [(1_000, 0), (1_100, 7), (1_101, 2)] {
        index.insert(MonoTime::from_millis(deadline), request(rank));
    }
    index
}

#[rstest]
#[case::same(1_000, Some(0))]
#[case::rounded_down(998, Some(0))]
#[case::delayed_in_transit(1_020, Some(0))]
#[case::nearest(1_100, Some(7))]
#[case::nearest_of_two(1_108, Some(2))]
#[case::too_early(990, None)]
#[case::too_late(1_060, None)]
#[case::own_request_of_a_caller(6_000, None)]
fn finds_parent_by_deadline(#[case] deadline: u64, #[case] rank: Option<u32>) {
    let found = three_requests().find(MonoTime::from_millis(deadline));
    assert_eq!(found, rank.map(request));
}

#[test]
fn removed_request_is_not_found() {
    let mut index = three_requests();
    let deadline = MonoTime::from_millis(2_000);
    let first = index.insert(deadline, request(1));
    let second = index.insert(deadline, request(7));
    index.remove(second);
    assert_eq!(index.find(deadline), Some(request(1)));
    index.remove(first);
    assert_eq!(index.find(deadline), None);
}
