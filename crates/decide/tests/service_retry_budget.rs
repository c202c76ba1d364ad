//! Retry budgets of many daemons and a chain of services.

use agatehill_decide::{name::ServiceName, service_retry_budget::ServiceRetryBudget};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Bound on the retries of all daemons in any window, as a share of the requests.
const RATIO: f64 = 0.2;
/// Number of retries that the bound allows in any window in addition.
const ALLOWANCE: f64 = 47.0;
const WINDOW_SECONDS: usize = 10;
const DAEMONS: usize = 24;
/// Services in the chain; daemon `idx` is on the host of a server of service `idx % DEPTH`.
const DEPTH: usize = 4;
const SECONDS: usize = 40;

fn service() -> ServiceName {
    ServiceName::try_from("gasdata").unwrap()
}

/// Requests and retries at one service in one second.
#[derive(Clone, Copy, Default)]
struct Counts {
    requests: f64,
    retries: f64,
}

/// A chain of services in which each request makes one call to the next service.
struct ServiceChain {
    rng: StdRng,
    budgets: Vec<ServiceRetryBudget>,
    services: Vec<ServiceName>,
    /// Share of the requests that fail, by service.
    failing: [f64; DEPTH],
    counts: [[Counts; SECONDS]; DEPTH],
}

impl ServiceChain {
    fn open(failing: [f64; DEPTH], seed: u64) -> ServiceChain {
        let names = (0..DEPTH).map(|idx| ServiceName::try_from(format!("service-{idx}")).unwrap());
        ServiceChain {
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

    /// Sends a request for the service `depth` from the daemon `entry`; returns whether it succeeds.
    fn send(&mut self, second: usize, entry: usize, depth: usize, is_retry: bool) -> bool {
        let counts = &mut self.counts[depth][second];
        counts.requests += 1.0;
        counts.retries += f64::from(u8::from(is_retry));
        let service = self.services[depth].clone();
        self.budgets[entry].record_request(&service, is_retry);
        if self.arrive(second, depth, is_retry) {
            return true;
        }
        if !self.budgets[entry].try_spend(&service) {
            return false;
        }
        self.counts[depth][second].retries += 1.0;
        self.arrive(second, depth, true)
    }

    fn arrive(&mut self, second: usize, depth: usize, is_retry: bool) -> bool {
        let gate = self.rng.random_range(0..DAEMONS / DEPTH) * DEPTH + depth;
        let fails = self.rng.random_bool(self.failing[depth]);
        let is_last = depth + 1 == DEPTH;
        !fails && (is_last || self.send(second, gate, depth + 1, is_retry))
    }
}

/// The retries of all daemons together must stay within the bound at every service of a chain, wherever
/// requests fail; also at the last service, which gets the calls of all retries above it.
#[rstest]
#[case::nowhere([0.0, 0.0, 0.0, 0.0])]
#[case::last([0.0, 0.0, 0.0, 0.4])]
#[case::first([0.5, 0.0, 0.0, 0.0])]
#[case::all([0.3, 0.3, 0.3, 0.3])]
#[case::mostly([0.8, 0.8, 0.8, 0.8])]
#[case::two([0.0, 0.5, 0.0, 0.9])]
fn retries_of_all_daemons_stay_within_the_bound(
    #[case] failing: [f64; DEPTH],
    #[values(1, 20, 300)] roots_per_second: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut chain = ServiceChain::open(failing, seed);
    chain.run(roots_per_second);
    for (depth, seconds) in chain.counts.iter().enumerate() {
        for window in seconds.windows(WINDOW_SECONDS) {
            let requests: f64 = window.iter().map(|counts| counts.requests).sum();
            let retries: f64 = window.iter().map(|counts| counts.retries).sum();
            assert!(
                retries <= RATIO * requests + ALLOWANCE,
                "service {depth}: {retries} retries, {requests} requests"
            );
        }
    }
}

/// If only the last service of a chain fails, it can use most of the budget.
#[test]
fn last_service_uses_the_budget_of_those_above() {
    let mut chain = ServiceChain::open([0.0, 0.0, 0.0, 0.4], 3);
    chain.run(300);
    let last = chain.counts[DEPTH - 1];
    let requests: f64 = last.iter().map(|counts| counts.requests).sum();
    let retries: f64 = last.iter().map(|counts| counts.retries).sum();
    assert!(
        retries >= 0.75 * RATIO * requests,
        "{retries} retries, {requests} requests"
    );
}

#[test]
fn balance_is_bounded() {
    let service = service();
    let mut budget = ServiceRetryBudget::default();
    (0..10_000).for_each(|_| budget.record_request(&service, false));
    let retries = (0..100).filter(|_| budget.try_spend(&service)).count();
    assert_eq!(retries, 1);
}

/// After any number of calls made by retries, the budget must soon allow retries again.
#[test]
fn debt_is_bounded() {
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
