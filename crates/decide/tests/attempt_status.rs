//! Binding answers about attempts on silent connections.

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
#[case::before_it_comes(&["query", "begin"], AttemptStatus::Absent, false)]
#[case::while_it_runs(&["begin", "query"], AttemptStatus::Running, true)]
#[case::after_it_ended(&["begin", "end", "query"], AttemptStatus::Ended, true)]
#[case::twice_before_it_comes(&["query", "query", "begin"], AttemptStatus::Absent, false)]
fn the_answer_binds(#[case] steps: &[&str], #[case] answer: AttemptStatus, #[case] may_run: bool) {
    let mut table = AttemptTable::default();
    let mut told = None;
    let mut begun = None;
    for (idx, step) in steps.iter().enumerate() {
        let now = MonoTime::from_millis(idx as u64);
        match *step {
            "query" => told = Some(table.query(ID, now)),
            "begin" => begun = Some(table.begin(ID, now)),
            _ => table.end(ID, now),
        }
    }
    assert_eq!((told, begun), (Some(answer), Some(may_run)));
}

#[test]
fn what_is_past_is_forgotten() {
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

    /// In any order of deliveries, duplicates and questions, an attempt runs once at most, and
    /// never if its sender was told that it is absent.
    #[test]
    fn an_absent_attempt_never_runs(steps in prop::collection::vec((0u64..4, 0u8..3), 1..60)) {
        let mut table = AttemptTable::default();
        let mut ran = HashSet::new();
        let mut absent = HashSet::new();
        for (idx, (id, step)) in steps.into_iter().enumerate() {
            let (id, now) = (AttemptId(id), MonoTime::from_millis(idx as u64));
            if step == 0 && table.begin(id, now) {
                prop_assert!(ran.insert(id), "ran twice");
                prop_assert!(!absent.contains(&id), "ran after it was called absent");
            }
            if step == 1 && table.query(id, now) == AttemptStatus::Absent {
                prop_assert!(!ran.contains(&id), "called absent after it ran");
                absent.insert(id);
            }
            if step == 2 && ran.contains(&id) {
                table.end(id, now);
            }
        }
    }
}
