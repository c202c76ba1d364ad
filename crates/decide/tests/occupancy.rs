//! The limit of a server's slots under the load that it is meant for: more requests than the server can
//! run, always.

use agatehill_decide::{gate_selection::RouteKey, occupancy::OccupancyLimit, time::MonoTime};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

/// Routes with the time that their requests take, in microseconds, and their share.
const ROUTES: [(RouteKey, f64, f64); 2] =
    [(RouteKey(1), 22_000.0, 0.9), (RouteKey(2), 360_000.0, 0.1)];

/// Time that is played, in microseconds.
const SPAN_MICROS: u64 = 60_000_000;

/// A server that slows down.
#[derive(Clone, Copy)]
struct World {
    slots: u32,
    /// Part of the slots beyond which it does.
    knee: f64,
    /// Factor by which it does.
    factor: f64,
    /// Part of the time in which there is enough to do for all slots.
    full_share: f64,
    seed: u64,
}

impl World {
    /// Returns how many requests end, with at most `limit` at once if it is given.
    fn run(self, limit: Option<u32>) -> u32 {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut decided = OccupancyLimit::new(self.slots);
        let mut ends = BinaryHeap::new();
        let mut begun = HashMap::new();
        let mut now = 0_u64;
        let mut done = 0;
        for id in 0_u64.. {
            let limit = limit.unwrap_or(decided.limit()) as usize;
            let wanted = match rng.random_bool(self.full_share) {
                true => limit,
                false => limit.saturating_sub(rng.random_range(1..6)).max(1),
            };
            while ends.len() >= wanted {
                let Reverse((at, id)) = ends.pop().unwrap();
                let (route, running, from): (RouteKey, u32, u64) = begun.remove(&id).unwrap();
                now = at;
                done += 1;
                let held = Duration::from_micros(at - from);
                decided.record(route, running, held, MonoTime::from_millis(at / 1_000));
            }
            if now > SPAN_MICROS {
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
            begun.insert(id, (route, running, now));
        }
        done
    }

    /// Returns how many end with the best limit that never changes.
    fn best(self) -> u32 {
        let parts = [0.8, 0.85, 0.9, 0.95, 1.0];
        let limits = parts.map(|part| (f64::from(self.slots) * part) as u32);
        limits
            .map(|limit| self.run(Some(limit)))
            .into_iter()
            .max()
            .unwrap()
    }
}

/// With the limit that is found, at least nine tenths as many requests end as with the best one, all
/// trials included.
#[rstest]
#[case::small(11, 0.95, 1.3)]
#[case::medium(19, 0.95, 1.3)]
#[case::steep(19, 0.9, 2.0)]
#[case::large(86, 0.95, 1.3)]
#[case::larger(294, 0.9, 1.5)]
#[case::even(19, 1.0, 1.0)]
#[case::even_and_large(294, 1.0, 1.0)]
fn nearly_the_best_limit_is_found(
    #[case] slots: u32,
    #[case] knee: f64,
    #[case] factor: f64,
    #[values(1.0, 0.6)] full_share: f64,
    #[values(7, 8)] seed: u64,
) {
    let world = World {
        slots,
        knee,
        factor,
        full_share,
        seed,
    };
    let (found, best, without) = (world.run(None), world.best(), world.run(Some(slots)));
    assert!(
        found * 100 >= best * 90,
        "{found} found, {best} with the best limit, {without} without one"
    );
    if factor > 1.0 && full_share == 1.0 {
        assert!(
            without * 100 < best * 90,
            "the load does not show the fault"
        );
    }
}

/// What was learnt of a server that was slow for a while does not last.
#[test]
fn the_limit_is_back_when_all_levels_take_the_same_time() {
    let mut limit = OccupancyLimit::new(20);
    let mut now = MonoTime::ZERO;
    let mut observe = |limit: &mut OccupancyLimit, millis_when_full: u64, rounds: u32| {
        for idx in 0..rounds {
            now = now + Duration::from_millis(5);
            let running = limit.limit() - idx % 3;
            let millis = if running > 18 { millis_when_full } else { 20 };
            limit.record(RouteKey(1), running, Duration::from_millis(millis), now);
        }
    };
    observe(&mut limit, 60, 2_000);
    assert!(limit.limit() < 20, "{limit:?}");
    observe(&mut limit, 20, 8_000);
    let mut at_all = 0;
    for _ in 0..8_000 {
        observe(&mut limit, 20, 1);
        at_all += u32::from(limit.limit() == 20);
    }
    assert!(at_all > 7_000, "{at_all} of 8,000 at all slots");
}
