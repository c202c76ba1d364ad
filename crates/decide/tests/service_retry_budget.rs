//! The budget of repeats, over many daemons and a chain of services.

use agatehill_decide::{name::ServiceName, service_retry_budget::ServiceRetryBudget};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// The bound on arrivals beyond the first of each request, over all daemons and in any window: a part
/// of the requests and a number that is free.
const RATIO: f64 = 0.2;
const FREE: f64 = 47.0;
const WINDOW_SECONDS: usize = 10;
const DAEMONS: usize = 24;
/// Services in the chain; daemon `idx` stands beside a server of service `idx % DEPTH`.
const DEPTH: usize = 4;
const SECONDS: usize = 40;

fn service() -> ServiceName {
    ServiceName::try_from("gasdata").unwrap()
}

/// Requests and repeats at one service in one second.
#[derive(Clone, Copy, Default)]
struct Counts {
    requests: f64,
    repeats: f64,
}

/// A chain of services in which each run makes a call to the next one.
struct World {
    rng: StdRng,
    budgets: Vec<ServiceRetryBudget>,
    services: Vec<ServiceName>,
    /// Part of the runs that fail, by service.
    failing: [f64; DEPTH],
    counts: [[Counts; SECONDS]; DEPTH],
}

impl World {
    fn open(failing: [f64; DEPTH], seed: u64) -> World {
        let names = (0..DEPTH).map(|idx| ServiceName::try_from(format!("service-{idx}")).unwrap());
        World {
            rng: StdRng::seed_from_u64(seed),
            budgets: (0..DAEMONS)
                .map(|_| ServiceRetryBudget::default())
                .collect(),
            services: names.collect(),
            failing,
            counts: [[Counts::default(); SECONDS]; DEPTH],
        }
    }

    fn run(&mut self, roots_per_second: usize) {
        for second in 0..SECONDS {
            for _ in 0..roots_per_second {
                let entry = self.rng.random_range(0..DAEMONS);
                self.send(second, entry, 0, false);
            }
        }
    }

    /// Sends a request for the service `depth` from `entry`; returns whether it succeeds.
    fn send(&mut self, second: usize, entry: usize, depth: usize, is_repeat: bool) -> bool {
        let counts = &mut self.counts[depth][second];
        counts.requests += 1.0;
        counts.repeats += f64::from(u8::from(is_repeat));
        let service = self.services[depth].clone();
        self.budgets[entry].record_request(&service, is_repeat);
        if self.arrive(second, depth, is_repeat) {
            return true;
        }
        if !self.budgets[entry].try_spend(&service) {
            return false;
        }
        self.counts[depth][second].repeats += 1.0;
        self.arrive(second, depth, true)
    }

    fn arrive(&mut self, second: usize, depth: usize, is_repeat: bool) -> bool {
        let gate = self.rng.random_range(0..DAEMONS / DEPTH) * DEPTH + depth;
        let fails = self.rng.random_bool(self.failing[depth]);
        let is_last = depth + 1 == DEPTH;
        !fails && (is_last || self.send(second, gate, depth + 1, is_repeat))
    }
}

/// The repeats of all daemons together stay within the bound at every service of a chain, also at
/// the last one, which gets the calls of all repeats above it; wherever runs fail.
#[rstest]
#[case::nowhere([0.0, 0.0, 0.0, 0.0])]
#[case::last([0.0, 0.0, 0.0, 0.4])]
#[case::first([0.5, 0.0, 0.0, 0.0])]
#[case::all([0.3, 0.3, 0.3, 0.3])]
#[case::mostly([0.8, 0.8, 0.8, 0.8])]
#[case::two([0.0, 0.5, 0.0, 0.9])]
fn repeats_of_all_daemons_stay_within_the_bound(
    #[case] failing: [f64; DEPTH],
    #[values(1, 20, 300)] roots_per_second: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut world = World::open(failing, seed);
    world.run(roots_per_second);
    for (depth, seconds) in world.counts.iter().enumerate() {
        for window in seconds.windows(WINDOW_SECONDS) {
            let requests: f64 = window.iter().map(|counts| counts.requests).sum();
            let repeats: f64 = window.iter().map(|counts| counts.repeats).sum();
            assert!(
                repeats <= RATIO * requests + FREE,
                "service {depth}: {repeats} repeats, {requests} requests"
            );
        }
    }
}

/// A service that fails at the end of a chain gets most of the budget.
#[test]
fn the_last_service_may_use_what_those_above_do_not() {
    let mut world = World::open([0.0, 0.0, 0.0, 0.4], 3);
    world.run(300);
    let last = world.counts[DEPTH - 1];
    let requests: f64 = last.iter().map(|counts| counts.requests).sum();
    let repeats: f64 = last.iter().map(|counts| counts.repeats).sum();
    assert!(
        repeats >= 0.75 * RATIO * requests,
        "{repeats} repeats, {requests} requests"
    );
}

#[test]
fn what_is_saved_up_is_bounded() {
    let service = service();
    let mut budget = ServiceRetryBudget::default();
    (0..10_000).for_each(|_| budget.record_request(&service, false));
    let repeats = (0..100).filter(|_| budget.try_spend(&service)).count();
    assert_eq!(repeats, 1);
}

/// After a spell of calls of repeats, however long, repeats are earned again soon.
#[test]
fn what_is_owed_is_bounded() {
    let service = service();
    let mut budget = ServiceRetryBudget::default();
    (0..10_000).for_each(|_| budget.record_request(&service, true));
    assert!(!budget.try_spend(&service));
    let needed = (0..10_000).position(|_| {
        budget.record_request(&service, false);
        budget.try_spend(&service)
    });
    assert!(needed.unwrap() < 50, "{needed:?}");
}
