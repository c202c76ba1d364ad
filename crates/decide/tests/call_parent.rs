//! The request that a call is made for.

use agatehill_decide::{
    call_parent::{ParentIndex, ParentRequest},
    time::MonoTime,
};
use rstest::rstest;

fn run(rank: u32) -> ParentRequest {
    ParentRequest {
        rank,
        is_retry: rank == 7,
    }
}

/// Three runs that must end at 1,000, 1,100 and 1,101 ms.
fn three() -> ParentIndex {
    let mut runs = ParentIndex::default();
    for (end, rank) in [(1_000, 0), (1_100, 7), (1_101, 2)] {
        runs.insert(MonoTime::from_millis(end), run(rank));
    }
    runs
}

#[rstest]
#[case::same(1_000, Some(0))]
#[case::rounded(998, Some(0))]
#[case::after_its_way(1_020, Some(0))]
#[case::nearest(1_100, Some(7))]
#[case::nearest_of_two(1_108, Some(2))]
#[case::too_early(990, None)]
#[case::too_late(1_060, None)]
#[case::a_callers_own(6_000, None)]
fn a_call_ends_with_its_parent(#[case] end: u64, #[case] rank: Option<u32>) {
    let found = three().find(MonoTime::from_millis(end));
    assert_eq!(found, rank.map(run));
}

#[test]
fn a_run_that_has_ended_makes_no_calls() {
    let mut runs = three();
    let end = MonoTime::from_millis(2_000);
    let first = runs.insert(end, run(1));
    let second = runs.insert(end, run(7));
    runs.remove(second);
    assert_eq!(runs.find(end), Some(run(1)));
    runs.remove(first);
    assert_eq!(runs.find(end), None);
}
