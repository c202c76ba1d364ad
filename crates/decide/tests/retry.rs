//! Bound on the tries of one request in random chains of calls.

use agatehill_decide::{
    outcome::CallOutcome,
    retry::{
        AttemptCounter, RETRY_AFTER_MAX, RetryBudget, TryOutcome, attempt_share,
        jitter_retry_after, max_attempts,
    },
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{collections::HashMap, time::Duration};

/// Runs of each call, identified by its path from the root.
#[derive(Default)]
struct RunCounts {
    runs: HashMap<Vec<u8>, u32>,
    retries: u32,
}

/// One request whose calls fail, are lost and make child calls at random.
struct ChainModel {
    rng: StdRng,
    counts: RunCounts,
    depth: usize,
    width: u8,
}

#[derive(Clone, Copy)]
struct CallEnd {
    outcome: CallOutcome,
    given_up: bool,
    unused: u32,
}

impl ChainModel {
    /// Makes a call as a daemon does: tries servers until one answers or the budget is spent.
    fn make_call(&mut self, path: &[u8], mut budget: RetryBudget) -> CallEnd {
        loop {
            let lease = budget.lease();
            let end = self.run_once(path, lease.tokens());
            if end.outcome == CallOutcome::Unknown {
                drop(lease);
            } else {
                budget.give_back(lease, end.unused);
            }
            let tried = TryOutcome {
                outcome: end.outcome,
                given_up: end.given_up,
                idempotent: true,
            };
            if !tried.may_retry() || !budget.try_spend() {
                let given_up = end.outcome != CallOutcome::Answered;
                let unused = budget.remaining();
                return CallEnd {
                    given_up,
                    unused,
                    ..end
                };
            }
            self.counts.retries += 1;
        }
    }

    /// Runs a call as a server does; all its child calls start before the first one ends.
    fn run_once(&mut self, path: &[u8], tokens: u32) -> CallEnd {
        if self.rng.random_bool(0.3) {
            return CallEnd {
                outcome: CallOutcome::NotRun,
                given_up: false,
                unused: tokens,
            };
        }
        *self.counts.runs.entry(path.to_vec()).or_default() += 1;
        let mut budget = RetryBudget::from_lease(tokens);
        let width = if path.len() < self.depth {
            self.width
        } else {
            0
        };
        let leases: Vec<_> = (0..width).map(|_| budget.lease()).collect();
        let mut given_up = false;
        for (child, lease) in leases.into_iter().enumerate() {
            let mut path = path.to_vec();
            path.push(child as u8);
            let end = self.make_call(&path, RetryBudget::from_lease(lease.tokens()));
            given_up |= end.given_up;
            budget.give_back(lease, end.unused);
        }
        let is_lost = self.rng.random_bool(0.2);
        let outcome = match is_lost || given_up {
            true => CallOutcome::Unknown,
            false => CallOutcome::Answered,
        };
        CallEnd {
            outcome,
            given_up: given_up && !is_lost,
            unused: budget.remaining(),
        }
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(52))]

    #[test]
    fn tries_never_exceed_the_bound(
        seed in any::<u64>(),
        retries in 0u32..6,
        depth in 0usize..5,
        width in 1u8..4,
        is_honest in any::<bool>(),
    ) {
        let rng = StdRng::seed_from_u64(seed);
        let mut model = ChainModel { rng, counts: RunCounts::default(), depth, width };
        let mut counter = AttemptCounter::new(16, Duration::from_secs(60));
        let mut resends = 0;
        for attempt in 0..20 {
            let stated = if is_honest { attempt } else { model.rng.random_range(0..2) };
            let number = counter.record(7, stated, MonoTime::from_millis(u64::from(attempt)));
            let Ok(budget) = RetryBudget::for_attempt(retries, number) else {
                continue;
            };
            resends += u32::from(attempt > 0);
            model.make_call(&[], budget);
        }
        prop_assert!(resends + model.counts.retries <= retries);
        let most = model.counts.runs.values().max().copied().unwrap_or(0);
        prop_assert!(most <= retries + 1, "{most} runs of one call");
    }

    #[test]
    fn shares_of_the_attempts_add_up(retries in 0u32..100_000) {
        let shares: u32 = (0..40).map(|attempt| attempt_share(retries, attempt)).sum();
        prop_assert_eq!(shares, retries + 1);
        prop_assert_eq!(attempt_share(retries, max_attempts(retries)), 0);
        prop_assert!(attempt_share(retries, max_attempts(retries) - 1) > 0);
    }

    #[test]
    fn counter_stays_bounded(keys in proptest::collection::vec(0u64..64, 1..200)) {
        let mut counter = AttemptCounter::new(8, Duration::from_millis(50));
        for (idx, key) in keys.into_iter().enumerate() {
            counter.record(key, 0, MonoTime::from_millis(idx as u64));
            prop_assert!(counter.len() <= 8);
        }
    }
}

#[rstest]
#[case::not_run(CallOutcome::NotRun, false, false, true)]
#[case::not_run_given_up(CallOutcome::NotRun, true, true, false)]
#[case::unknown_idempotent(CallOutcome::Unknown, false, true, true)]
#[case::unknown_not_idempotent(CallOutcome::Unknown, false, false, false)]
#[case::answered(CallOutcome::Answered, false, true, false)]
#[case::replayed(CallOutcome::Replayed, false, true, false)]
fn only_safe_tries_are_retried(
    #[case] outcome: CallOutcome,
    #[case] given_up: bool,
    #[case] idempotent: bool,
    #[case] may_retry: bool,
) {
    let end = TryOutcome {
        outcome,
        given_up,
        idempotent,
    };
    assert_eq!(end.may_retry(), may_retry);
}

#[test]
fn retry_after_gets_jitter() {
    let base = Duration::from_secs(1);
    let mut rng = StdRng::seed_from_u64(1);
    let spans: Vec<_> = (0..1_000)
        .map(|_| jitter_retry_after(base, rng.next_u32()))
        .collect();
    assert!(spans.iter().all(|s| (base / 2..=base * 3 / 2).contains(s)));
    let early = spans.iter().filter(|s| **s < base).count();
    assert!((400..600).contains(&early));
    assert_eq!(
        jitter_retry_after(RETRY_AFTER_MAX * 2, u32::MAX),
        RETRY_AFTER_MAX
    );
}
