//! The replicated log under schedules of faults: what was accepted is never lost, never reverts,
//! and has one winner a revision.

mod replica_bed;

use proptest::{prelude::*, test_runner::RngSeed};
use replica_bed::{BedSettings, ReplicaBed};
use rstest::rstest;
use std::time::Duration;

const CASES: u32 = 60;
/// Time in which the voters must have replaced a lost disk.
const REPAIR_SPAN: Duration = Duration::from_secs(5);

fn check_schedule(settings: BedSettings) {
    let mut bed = ReplicaBed::open(settings);
    bed.run(Duration::from_secs(3), false);
    bed.run(Duration::from_secs(30), true);
    bed.heal();
    bed.run(Duration::from_secs(10), false);
    assert!(bed.is_whole(), "the voters were not replaced");
    let resends: Vec<_> = bed.accepted.values().map(|(_, put)| put.clone()).collect();
    assert!(!resends.is_empty(), "nothing was accepted");
    // Each must get its first answer; the bed compares.
    resends.into_iter().for_each(|put| bed.put(put));
    bed.quiet(Duration::from_secs(5));
    bed.check_converged();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(4_1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_contracts_survive_any_schedule(
        seed in any::<u64>(),
        voters in prop::sample::select(vec![3usize, 5]),
        learners in 0usize..3,
        loss in 0u32..200,
        faults in 1u32..40,
    ) {
        check_schedule(BedSettings { seed, voters, learners, loss, faults });
    }
}

/// A second disk is lost in the moment in which the voters have replaced the first.
#[rstest]
#[case::three_voters(3)]
#[case::five_voters(5)]
fn second_disk_lost_right_after_the_repair(#[case] voters: usize) {
    for seed in 0..20 {
        let mut bed = ReplicaBed::open(BedSettings {
            seed,
            voters,
            learners: 1,
            loss: 0,
            faults: 0,
        });
        bed.run(Duration::from_secs(3), false);
        for round in 0..6 {
            bed.lose_disk(round % voters);
            bed.run_until_whole(REPAIR_SPAN);
        }
        assert!(bed.is_whole(), "the voters were not replaced");
        bed.quiet(Duration::from_secs(5));
        bed.check_converged();
    }
}
