//! The outcome reported for several tries of one request covers all that may have happened.

use agatehill_decide::outcome::CallOutcome;
use proptest::{prelude::*, test_runner::RngSeed};

/// Generates the outcome of a try as the daemon knows it, and whether the try ran.
fn any_try() -> impl Strategy<Value = (CallOutcome, bool)> {
    prop_oneof![
        Just((CallOutcome::NotRun, false)),
        any::<bool>().prop_map(|ran| (CallOutcome::Unknown, ran)),
        Just((CallOutcome::Answered, true)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against the fault of Aerospike 3.99.0.3 (Jepsen, 2018): a write was applied but its reply
    /// lost, it was retried, and the definite failure of the retry was reported.
    #[test]
    fn not_run_is_reported_only_if_no_try_ran(tries in prop::collection::vec(any_try(), 1..6)) {
        let outcomes = tries.iter().map(|(outcome, _)| *outcome);
        let reported = outcomes.clone().reduce(CallOutcome::combine).unwrap();
        let ran = tries.iter().any(|(_, ran)| *ran);
        prop_assert!(!(reported == CallOutcome::NotRun && ran));
        prop_assert_eq!(reported == CallOutcome::NotRun, outcomes.clone().all(|o| o == CallOutcome::NotRun));
        prop_assert_eq!(reported == CallOutcome::Answered, outcomes.clone().any(|o| o == CallOutcome::Answered));
    }
}
