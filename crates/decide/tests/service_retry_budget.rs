//! Retry budgets of many daemons and a chain of services.

use agatehill_decide::{
    name::ServiceName,
    service_retry_budget::{RetryValue, ServiceRetryBudget},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::ops::Range;

/// Bound on the retries of all daemons in any window, as a share of the requests.
const RATIO: f64 = 0.2;
/// Number of retries that the bound allows in any window in addition, for each daemon.
const ALLOWANCE_PER_DAEMON: f64 = 1.29;
const WINDOW_SECONDS: usize = 10;
/// Services in the chain; daemon `idx` is on the host of a server of service `idx % DEPTH`.
const DEPTH: usize = 4;
const SECONDS: usize = 40;

const ANY_VALUE: RetryValue = RetryValue {
    is_important: true,
    calls_answered: 9,
};

fn service() -> ServiceName {
    ServiceName::try_from("gasdata").unwrap()
}

/// Requests and retries at one service in one second.
#[derive(Clone, Copy, Default)]
struct Counts {
    requests: f64,
    retries: f64,
}

/// How requests are spread over daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DaemonLoad {
    Even,
    /// The first daemons get most.
    Uneven,
}

/// A chain of services in which each request makes one call to the next service.
struct ServiceChain {
    rng: StdRng,
    budgets: Vec<ServiceRetryBudget>,
    services: Vec<ServiceName>,
    load: DaemonLoad,
    /// Share of the calls whose parent is known for certain. The others are charged with the share of
    /// the calls of lately on that host that are made by retries.
    certain: f64,
    /// That share and the number of calls so far, by daemon.
    retry_shares: Vec<(f64, f64)>,
    /// Share of the requests that fail, by service.
    failing: [f64; DEPTH],
    counts: [[Counts; SECONDS]; DEPTH],
    now: MonoTime,
}

impl ServiceChain {
    fn open(failing: [f64; DEPTH], daemons: usize, seed: u64) -> ServiceChain {
        let names = (0..DEPTH).map(|idx| ServiceName::try_from(format!("service-{idx}")).unwrap());
        ServiceChain {
            rng: StdRng::seed_from_u64(seed),
            budgets: (0..daemons)
                .map(|_| ServiceRetryBudget::default())
                .collect(),
            services: names.collect(),
            load: DaemonLoad::Even,
            certain: 1.0,
            retry_shares: vec![(0.0, 0.0); daemons],
            failing,
            counts: [[Counts::default(); SECONDS]; DEPTH],
            now: MonoTime::ZERO,
        }
    }

    fn run(&mut self, roots_per_second: usize) {
        self.run_seconds(0..SECONDS, roots_per_second);
    }

    fn run_seconds(&mut self, seconds: Range<usize>, roots_per_second: usize) {
        for second in seconds {
            for idx in 0..roots_per_second {
                let micros = (second * 1_000_000 + idx * 1_000_000 / roots_per_second) as u64;
                self.now = MonoTime::from_micros(micros);
                let entry = self.pick(self.budgets.len());
                self.send(second, entry, 0, false);
            }
        }
    }

    /// Returns one of `count` daemons.
    fn pick(&mut self, count: usize) -> usize {
        let position: f64 = self.rng.random_range(0.0..1.0);
        let position = match self.load {
            DaemonLoad::Even => position,
            DaemonLoad::Uneven => position.powi(4),
        };
        (position * count as f64) as usize
    }

    /// Sends a request for the service `depth` from the daemon `entry`; returns whether it succeeds.
    fn send(&mut self, second: usize, entry: usize, depth: usize, is_retry: bool) -> bool {
        let counts = &mut self.counts[depth][second];
        counts.requests += 1.0;
        counts.retries += f64::from(u8::from(is_retry));
        let service = self.services[depth].clone();
        let exact = f64::from(u8::from(is_retry));
        let charged = match depth > 0 && !self.rng.random_bool(self.certain) {
            true => self.retry_shares[entry].0,
            false => exact,
        };
        if depth > 0 {
            let (share, calls) = &mut self.retry_shares[entry];
            *calls += 1.0;
            *share += (exact - *share) * f64::max(1.0 / *calls, 0.05);
        }
        self.budgets[entry].record_request(&service, charged, self.now);
        if self.arrive(second, depth, is_retry) {
            return true;
        }
        if !self.budgets[entry].try_spend(&service, ANY_VALUE, self.now) {
            return false;
        }
        self.counts[depth][second].retries += 1.0;
        self.arrive(second, depth, true)
    }

    fn arrive(&mut self, second: usize, depth: usize, is_retry: bool) -> bool {
        let gate = self.pick(self.budgets.len() / DEPTH) * DEPTH + depth;
        let fails = self.rng.random_bool(self.failing[depth]);
        let is_last = depth + 1 == DEPTH;
        !fails && (is_last || self.send(second, gate, depth + 1, is_retry))
    }

    /// Checks the retries of each window against the requests of the same window.
    fn assert_within_bound(&self) {
        self.assert_retries(&[0]);
    }

    /// Checks the retries of each window against the requests of that window, the one before or the one
    /// half a window before, whichever has most, as the users' rule has it.
    fn assert_within_rule(&self) {
        self.assert_retries(&[0, WINDOW_SECONDS / 2, WINDOW_SECONDS]);
    }

    fn assert_retries(&self, steps_back: &[usize]) {
        let allowance = ALLOWANCE_PER_DAEMON * self.budgets.len() as f64;
        for (depth, seconds) in self.counts.iter().enumerate() {
            let sum = |from: usize, count: fn(&Counts) -> f64| -> f64 {
                seconds[from..from + WINDOW_SECONDS].iter().map(count).sum()
            };
            for start in 0..=SECONDS - WINDOW_SECONDS {
                let starts = steps_back
                    .iter()
                    .filter_map(|back| start.checked_sub(*back));
                let requests = starts.map(|from| sum(from, |counts| counts.requests));
                let requests = requests.fold(0.0, f64::max);
                let retries = sum(start, |counts| counts.retries);
                assert!(
                    retries <= RATIO * requests + allowance,
                    "service {depth}: {retries} retries, {requests} requests"
                );
            }
        }
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
#[case::first_and_last([0.5, 0.0, 0.0, 0.5])]
fn retries_of_all_daemons_stay_within_the_bound(
    #[case] failing: [f64; DEPTH],
    #[values(1, 20, 300)] roots_per_second: usize,
    #[values(24, 100, 300)] daemons: usize,
    #[values(DaemonLoad::Even, DaemonLoad::Uneven)] load: DaemonLoad,
    #[values(1.0, 0.5, 0.0)] certain: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut chain = ServiceChain::open(failing, daemons, seed);
    chain.load = load;
    chain.certain = certain;
    chain.run(roots_per_second);
    chain.assert_within_bound();
}

/// All services begin to fail after a long calm, in which all daemons have saved retries.
#[rstest]
fn saved_retries_stay_within_the_bound(
    #[values(20, 300)] roots_per_second: usize,
    #[values(24, 93, 300)] daemons: usize,
    #[values(0.5, 1.0)] failing: f64,
) {
    let mut chain = ServiceChain::open([0.0; DEPTH], daemons, 1);
    chain.run_seconds(0..SECONDS / 2, roots_per_second);
    chain.failing = [failing; DEPTH];
    chain.run_seconds(SECONDS / 2..SECONDS, roots_per_second);
    chain.assert_within_rule();
}

/// If only the last service of a chain fails, it can use most of the budget.
#[test]
fn last_service_uses_the_budget_of_those_above() {
    let mut chain = ServiceChain::open([0.0, 0.0, 0.0, 0.4], 24, 3);
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
fn few_requests_are_retried_once_in_a_window() {
    let service = service();
    let mut budget = ServiceRetryBudget::default();
    // One request in five seconds.
    let times = (0..10_000_u64).map(|idx| MonoTime::from_millis(idx * 5_000));
    times.for_each(|now| budget.record_request(&service, 0.0, now));
    let now = MonoTime::from_millis(50_000_000);
    let retries = (0..100).filter(|_| budget.try_spend(&service, ANY_VALUE, now));
    assert_eq!(retries.count(), 1);
}

/// One daemon alone must stay within its part of the bound, whatever it did before.
#[rstest]
#[case::few(20)]
#[case::many(100)]
#[case::very_many(100_000)]
fn retries_are_bounded_by_the_requests_of_the_window(#[case] requests: u64) {
    let service = service();
    let mut budget = ServiceRetryBudget::default();
    for idx in 0..3 * requests {
        let now = MonoTime::from_micros(idx * 10_000_000 / requests);
        budget.record_request(&service, 0.0, now);
    }
    let now = MonoTime::from_millis(30_000);
    let retries = (0..100_000).filter(|_| budget.try_spend(&service, ANY_VALUE, now));
    let retries = retries.count() as f64;
    assert!(
        retries <= RATIO * requests as f64 + ALLOWANCE_PER_DAEMON,
        "{retries}"
    );
}

/// The calls made by retries count for a window of time, whatever their number, and no longer: afterwards
/// the budget must soon allow retries again.
#[test]
fn calls_of_retries_count_for_a_window() {
    let service = service();
    let mut budget = ServiceRetryBudget::default();
    let at = |seconds: u64| MonoTime::from_millis(seconds * 1_000);
    (0..10_000).for_each(|_| budget.record_request(&service, 1.0, at(0)));
    let needed = |budget: &mut ServiceRetryBudget, now| {
        let mut requests = 0..100_000;
        requests.position(|_| {
            budget.record_request(&service, 0.0, now);
            budget.try_spend(&service, ANY_VALUE, now)
        })
    };
    let soon = needed(&mut budget, at(9));
    assert!(soon > Some(5_000), "{soon:?}");
    (0..10_000).for_each(|_| budget.record_request(&service, 1.0, at(10)));
    let later = needed(&mut budget, at(21));
    assert!(later < Some(50), "{later:?}");
}

/// Roots whose parent makes four calls to a service that rejects more than half of them.
struct RejectingService {
    rng: StdRng,
    budget: ServiceRetryBudget,
    /// Whether retries are decided by their value.
    by_value: bool,
    requests: u32,
    retries: u32,
}

/// A root in progress.
#[derive(Clone, Copy)]
struct RootCalls {
    is_important: bool,
    answered: u32,
}

/// Share of the roots that were served.
#[derive(Clone, Copy, Debug)]
struct ServedShares {
    important: f64,
    other: f64,
}

impl RejectingService {
    const REJECTED: f64 = 0.55;
    const CALLS: u32 = 4;
    const ROOTS: usize = 30_000;
    /// Roots in progress at once.
    const IN_PROGRESS: usize = 30;
    const CALLS_PER_SECOND: u64 = 250;

    /// Serves [`Self::ROOTS`] roots, a quarter of them important.
    fn serve(by_value: bool, seed: u64) -> (RejectingService, ServedShares) {
        let mut service = RejectingService {
            rng: StdRng::seed_from_u64(seed),
            budget: ServiceRetryBudget::default(),
            by_value,
            requests: 0,
            retries: 0,
        };
        let mut begun = [0.0, 0.0];
        let mut served = [0.0, 0.0];
        let mut roots = Vec::new();
        let mut left = Self::ROOTS;
        while left > 0 || !roots.is_empty() {
            while roots.len() < Self::IN_PROGRESS && left > 0 {
                left -= 1;
                let is_important = service.rng.random_bool(0.25);
                begun[usize::from(is_important)] += 1.0;
                roots.push(RootCalls {
                    is_important,
                    answered: 0,
                });
            }
            let idx = service.rng.random_range(0..roots.len());
            if !service.call(roots[idx]) {
                roots.swap_remove(idx);
                continue;
            }
            roots[idx].answered += 1;
            if roots[idx].answered == Self::CALLS {
                served[usize::from(roots[idx].is_important)] += 1.0;
                roots.swap_remove(idx);
            }
        }
        let shares = ServedShares {
            important: served[1] / begun[1],
            other: served[0] / begun[0],
        };
        (service, shares)
    }

    /// Returns whether a call succeeds, sent twice at most.
    fn call(&mut self, root: RootCalls) -> bool {
        let name = service();
        self.requests += 1;
        let micros = u64::from(self.requests) * 1_000_000 / Self::CALLS_PER_SECOND;
        let now = MonoTime::from_micros(micros);
        self.budget.record_request(&name, 0.0, now);
        if !self.rng.random_bool(Self::REJECTED) {
            return true;
        }
        let value = RetryValue {
            is_important: self.by_value && root.is_important,
            calls_answered: if self.by_value { root.answered } else { 0 },
        };
        if !self.budget.try_spend(&name, value, now) {
            return false;
        }
        self.retries += 1;
        !self.rng.random_bool(Self::REJECTED)
    }
}

/// All servers at the end of the chain reject more than half of their requests for some seconds. With the
/// same number of retries, more roots are served if the retries go to those that have most calls behind
/// them, and important ones first.
#[rstest]
fn retries_by_value_serve_more_roots(#[values(1, 2, 3)] seed: u64) {
    let (_, plain) = RejectingService::serve(false, seed);
    let (service, valued) = RejectingService::serve(true, seed);
    println!("{plain:?} {valued:?}");
    let ratio = f64::from(service.retries) / f64::from(service.requests);
    assert!(ratio <= RATIO, "{ratio}");
    assert!(
        valued.important >= 1.5 * plain.important,
        "{plain:?} {valued:?}"
    );
    assert!(valued.other >= plain.other, "{plain:?} {valued:?}");
}
