//! The occupancy limit of a server that always has more requests than it can run.

use agatehill_decide::{gate_selection::RouteKey, occupancy::OccupancyLimit, time::MonoTime};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

/// Routes with the mean time of their requests in microseconds and their share of the requests.
const ROUTES: [(RouteKey, f64, f64); 2] =
    [(RouteKey(1), 22_000.0, 0.9), (RouteKey(2), 360_000.0, 0.1)];

/// Length of a simulation, in microseconds.
const SIMULATED_MICROS: u64 = 60_000_000;

/// A simulated server that slows down when nearly full.
#[derive(Clone, Copy)]
struct SlowingServer {
    slots: u32,
    /// Share of the slots above which the server slows down.
    knee: f64,
    /// Factor by which requests then take longer.
    factor: f64,
    /// Share of the time in which there are requests for all slots.
    full_share: f64,
    seed: u64,
}

impl SlowingServer {
    /// Returns the number of requests that end, with the fixed `limit` or else with an
    /// [`OccupancyLimit`].
    fn run(self, limit: Option<u32>) -> u32 {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut occupancy = OccupancyLimit::new(self.slots);
        let mut ends = BinaryHeap::new();
        let mut started = HashMap::new();
        let mut now = 0_u64;
        let mut done = 0;
        for id in 0_u64.. {
            let limit = limit.unwrap_or(occupancy.limit()) as usize;
            let wanted = match rng.random_bool(self.full_share) {
                true => limit,
                false => limit.saturating_sub(rng.random_range(1..6)).max(1),
            };
            while ends.len() >= wanted {
                let Reverse((at, id)) = ends.pop().unwrap();
                let (route, running, from): (RouteKey, u32, u64) = started.remove(&id).unwrap();
                now = at;
                done += 1;
                let held = Duration::from_micros(at - from);
                occupancy.record(route, running, held, MonoTime::from_millis(at / 1_000));
            }
            if now > SIMULATED_MICROS {
                break;
            }
            let running = ends.len() as u32 + 1;
            let idx = usize::from(rng.random_bool(ROUTES[1].2));
            let (route, mean, _) = ROUTES[idx];
            let is_slow = f64::from(running) > self.knee * f64::from(self.slots);
            let factor = if is_slow { self.factor } else { 1.0 };
            let tail = if rng.random_bool(0.01) { 3.0 } else { 1.0 };
            let spread = (rng.random_range(-0.8..0.8_f64)).exp();
            let took = (mean * spread * tail * factor) as u64;
            ends.push(Reverse((now + took, id)));
            started.insert(id, (route, running, now));
        }
        done
    }

    /// Returns the number of requests that end with the best fixed limit.
    fn run_best_fixed(self) -> u32 {
        let parts = [0.8, 0.85, 0.9, 0.95, 1.0];
        let limits = parts.map(|part| (f64::from(self.slots) * part) as u32);
        limits
            .map(|limit| self.run(Some(limit)))
            .into_iter()
            .max()
            .unwrap()
    }
}

/// With the occupancy limit, measurements included, at least nine tenths as many requests end as with
/// the best fixed limit.
#[rstest]
#[case::small(11, 0.95, 1.3)]
#[case::medium(19, 0.95, 1.3)]
#[case::steep(19, 0.9, 2.0)]
#[case::large(86, 0.95, 1.3)]
#[case::larger(294, 0.9, 1.5)]
#[case::no_slowdown(19, 1.0, 1.0)]
#[case::no_slowdown_and_large(294, 1.0, 1.0)]
fn finds_nearly_the_best_limit(
    #[case] slots: u32,
    #[case] knee: f64,
    #[case] factor: f64,
    #[values(1.0, 0.6)] full_share: f64,
    #[values(7, 8)] seed: u64,
) {
    let server = SlowingServer {
        slots,
        knee,
        factor,
        full_share,
        seed,
    };
    let (found, best, without) = (
        server.run(None),
        server.run_best_fixed(),
        server.run(Some(slots)),
    );
    assert!(
        found * 100 >= best * 90,
        "{found} with the occupancy limit, {best} with the best fixed limit, {without} without a limit"
    );
    if factor > 1.0 && full_share == 1.0 {
        assert!(
            without * 100 < best * 90,
            "too little slowdown for the test: {without} without a limit, {best} with the best one"
        );
    }
}

/// Estimates of a server that was slow for a while must not last.
#[test]
fn limit_recovers_when_all_levels_take_the_same_time() {
    let mut limit = OccupancyLimit::new(20);
    let mut now = MonoTime::ZERO;
    let mut record = |limit: &mut OccupancyLimit, millis_when_full: u64, rounds: u32| {
        for idx in 0..rounds {
            now = now + Duration::from_millis(5);
            let running = limit.limit() - idx % 3;
            let millis = if running > 18 { millis_when_full } else { 20 };
            limit.record(RouteKey(1), running, Duration::from_millis(millis), now);
        }
    };
    record(&mut limit, 60, 2_000);
    assert!(limit.limit() < 20, "{limit:?}");
    record(&mut limit, 20, 8_000);
    let mut at_all_slots = 0;
    for _ in 0..8_000 {
        record(&mut limit, 20, 1);
        at_all_slots += u32::from(limit.limit() == 20);
    }
    assert!(at_all_slots > 7_000, "{at_all_slots} of 8,000 at all slots");
}
