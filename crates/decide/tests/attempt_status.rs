//! Status of attempts: it is binding, and finished attempts expire.

use agatehill_decide::{
    attempt_status::{ATTEMPT_RETENTION, AttemptId, AttemptStatus, AttemptTable},
    time::MonoTime,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;
use std::{collections::HashSet, time::Duration};

const ID: AttemptId = AttemptId(7);

#[rstest]
#[case::before_arrival(&["query", "begin"], AttemptStatus::Absent, false)]
#[case::while_running(&["begin", "query"], AttemptStatus::Running, true)]
#[case::after_end(&["begin", "end", "query"], AttemptStatus::Ended, true)]
#[case::twice_before_arrival(&["query", "query", "begin"], AttemptStatus::Absent, false)]
fn status_is_binding(#[case] steps: &[&str], #[case] status: AttemptStatus, #[case] may_run: bool) {
    let mut table = AttemptTable::default();
    let mut queried = None;
    let mut begun = None;
    for (idx, step) in steps.iter().enumerate() {
        let now = MonoTime::from_millis(idx as u64);
        match *step {
            "query" => queried = Some(table.query(ID, now)),
            "begin" => begun = Some(table.begin(ID, now)),
            _ => table.end(ID, now),
        }
    }
    assert_eq!((queried, begun), (Some(status), Some(may_run)));
}

#[test]
fn finished_attempts_expire() {
    let mut table = AttemptTable::default();
    for id in 0..1_000 {
        let now = MonoTime::from_millis(id);
        table.begin(AttemptId(id), now);
        table.end(AttemptId(id), now);
    }
    let late = MonoTime::from_millis(1_000) + ATTEMPT_RETENTION + Duration::from_millis(1);
    table.query(ID, late);
    assert_eq!(table.len(), 1);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// In any order of deliveries, duplicates and queries, an attempt runs at most once, and never
    /// after a query found it absent.
    #[test]
    fn absent_attempt_never_runs(steps in prop::collection::vec((0u64..4, 0u8..3), 1..60)) {
        let mut table = AttemptTable::default();
        let mut ran = HashSet::new();
        let mut absent = HashSet::new();
        for (idx, (id, step)) in steps.into_iter().enumerate() {
            let (id, now) = (AttemptId(id), MonoTime::from_millis(idx as u64));
            if step == 0 && table.begin(id, now) {
                prop_assert!(ran.insert(id), "ran twice");
                prop_assert!(!absent.contains(&id), "ran after a query found it absent");
            }
            if step == 1 && table.query(id, now) == AttemptStatus::Absent {
                prop_assert!(!ran.contains(&id), "found absent after it ran");
                absent.insert(id);
            }
            if step == 2 && ran.contains(&id) {
                table.end(id, now);
            }
        }
    }
}
