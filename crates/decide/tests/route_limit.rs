//! The limit of a route under the load that it is meant for: roots that make calls, one after the
//! other, to a scarce service, and run out of time together.

use agatehill_decide::{
    route_limit::{LIMIT_PER_SLOT_MAX, RouteLimit},
    time::MonoTime,
};
use std::{collections::BTreeMap, time::Duration};

/// Slots of the scarce service.
const LEAF_SLOTS: usize = 10;
/// Calls that each root makes there.
const CALLS: u32 = 5;
/// Time of a call, in milliseconds.
const CALL_MILLIS: u64 = 20;
/// The same while the servers are cold.
const COLD_MILLIS: u64 = 60;
/// Time that a root may take, in milliseconds.
const TIMEOUT_MILLIS: u64 = 800;
/// Time from which a root counts as late, in milliseconds.
const LATE_MILLIS: u64 = 500;
/// Slots of the server of the roots.
const ROOT_SLOTS: u32 = 200;

/// What happens at a point in time.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { tries: u32 },
    CallEnds { root: u64 },
    TimesOut { root: u64 },
}

struct Root {
    began: u64,
    calls: u32,
    tries: u32,
}

/// Roots arrive evenly, `per_second`, and come again once after `back_millis` when they fail.
struct World {
    limit: Option<RouteLimit>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    now: u64,
    cold_until: u64,
    roots: BTreeMap<u64, Root>,
    busy: usize,
    waiting: Vec<u64>,
    /// Roots that ended in time, by second.
    good: BTreeMap<u64, u32>,
}

impl World {
    fn run(limit: Option<RouteLimit>, per_second: u64, seconds: u64, cold_until: u64) -> World {
        let mut world = World {
            limit,
            events: BTreeMap::new(),
            next: 0,
            now: 0,
            cold_until,
            roots: BTreeMap::new(),
            busy: 0,
            waiting: Vec::new(),
            good: BTreeMap::new(),
        };
        for idx in 0..per_second * seconds {
            world.at(idx * 1_000 / per_second, Event::Arrive { tries: 1 });
        }
        while let Some(((at, _), event)) = world.events.pop_first() {
            if at > seconds * 1_000 {
                break;
            }
            world.now = at;
            world.handle(event);
        }
        world
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { tries } => self.arrive(tries),
            Event::CallEnds { root } => self.end_call(root),
            Event::TimesOut { root } => {
                if self.roots.contains_key(&root) {
                    self.waiting.retain(|waiting| *waiting != root);
                    self.end_root(root, false);
                }
            }
        }
        self.start_calls();
    }

    fn arrive(&mut self, tries: u32) {
        if self.limit.as_mut().is_some_and(|limit| !limit.try_enter()) {
            return self.come_back(tries, 1_000);
        }
        let root = self.next;
        let state = Root {
            began: self.now,
            calls: CALLS,
            tries,
        };
        self.roots.insert(root, state);
        self.waiting.push(root);
        self.at(self.now + TIMEOUT_MILLIS, Event::TimesOut { root });
    }

    fn come_back(&mut self, tries: u32, millis: u64) {
        if tries < 2 {
            self.at(self.now + millis, Event::Arrive { tries: tries + 1 });
        }
    }

    fn start_calls(&mut self) {
        while self.busy < LEAF_SLOTS && !self.waiting.is_empty() {
            let root = self.waiting.remove(0);
            self.busy += 1;
            let millis = match self.now < self.cold_until {
                true => COLD_MILLIS,
                false => CALL_MILLIS,
            };
            self.at(self.now + millis, Event::CallEnds { root });
        }
    }

    fn end_call(&mut self, id: u64) {
        self.busy -= 1;
        let Some(root) = self.roots.get_mut(&id) else {
            return;
        };
        root.calls -= 1;
        match root.calls {
            0 => self.end_root(id, true),
            _ => self.waiting.push(id),
        }
    }

    fn end_root(&mut self, id: u64, is_good: bool) {
        let root = self.roots.remove(&id).unwrap();
        let took = self.now - root.began;
        if let Some(limit) = &mut self.limit {
            let now = MonoTime::from_millis(self.now);
            limit.leave(Some(took >= LATE_MILLIS), ROOT_SLOTS, now);
        }
        if is_good {
            *self.good.entry(self.now / 1_000).or_default() += 1;
        } else {
            self.come_back(root.tries, 100);
        }
    }

    fn good_in(&self, seconds: std::ops::Range<u64>) -> u32 {
        self.good.range(seconds).map(|(_, count)| count).sum()
    }
}

/// Roots a second that the scarce service can carry.
const CAPACITY: u64 = LEAF_SLOTS as u64 * 1_000 / (CALLS as u64 * CALL_MILLIS);

fn highest(slots: u32) -> f64 {
    f64::from(slots) * LIMIT_PER_SLOT_MAX
}

/// What waits for a slot is no fault of the route's.
#[test]
fn a_limit_that_was_never_cut_lets_requests_wait() {
    let mut limit = RouteLimit::new(10);
    assert!((0..30).all(|_| limit.try_enter()));
}

#[test]
fn under_overload_most_of_the_capacity_is_used_for_roots_that_end_in_time() {
    let without = World::run(None, CAPACITY * 3 / 2, 20, 0).good_in(5..20);
    let with = World::run(Some(RouteLimit::new(ROOT_SLOTS)), CAPACITY * 3 / 2, 20, 0);
    let with = with.good_in(5..20);
    let capacity = 15 * CAPACITY as u32;
    assert!(
        without < capacity / 2,
        "the load does not show the fault: {without}"
    );
    assert!(
        with > capacity * 8 / 10,
        "{with} of {capacity}, {without} without the limit"
    );
}

#[test]
fn after_a_cold_start_at_high_load_service_is_back_within_seconds() {
    let load = CAPACITY * 9 / 10;
    let without = World::run(None, load, 20, 3_000).good_in(6..10);
    let with = World::run(Some(RouteLimit::new(ROOT_SLOTS)), load, 20, 3_000).good_in(6..10);
    let asked = 4 * load as u32;
    assert!(
        without < asked / 2,
        "the load does not show the fault: {without}"
    );
    assert!(
        with > asked * 8 / 10,
        "{with} of {asked}, {without} without the limit"
    );
}

#[test]
fn without_pressure_the_limit_binds_nothing() {
    let with = World::run(Some(RouteLimit::new(ROOT_SLOTS)), CAPACITY / 2, 10, 0);
    assert_eq!(with.limit.unwrap().limit(), highest(ROOT_SLOTS));
    assert_eq!(with.good_in(1..9), 8 * CAPACITY as u32 / 2);
}

#[test]
fn a_few_late_requests_cut_nothing() {
    let mut limit = RouteLimit::new(10);
    for idx in 0..200 {
        assert!(limit.try_enter());
        let now = MonoTime::ZERO + Duration::from_millis(idx * 10);
        limit.leave(Some(idx % 10 == 0), 10, now);
    }
    assert_eq!(limit.limit(), highest(10));
}

#[test]
fn ends_that_tell_nothing_cut_nothing() {
    let mut limit = RouteLimit::new(10);
    for idx in 0..200 {
        assert!(limit.try_enter());
        limit.leave(None, 10, MonoTime::from_millis(idx));
    }
    assert_eq!(limit.limit(), highest(10));
}

#[test]
fn a_cut_limit_grows_back_when_requests_are_in_time() {
    let mut limit = RouteLimit::new(20);
    for round in 0..20 {
        while limit.try_enter() {}
        let running = limit.limit().ceil() as u64;
        for _ in 0..running {
            limit.leave(Some(true), 20, MonoTime::from_millis(round * 400));
        }
    }
    assert!(limit.limit() <= 3.0, "{limit:?}");
    for round in 0..20_000 {
        let mut entered = 0;
        while limit.try_enter() {
            entered += 1;
        }
        for _ in 0..entered {
            limit.leave(Some(false), 20, MonoTime::from_millis(10_000 + round));
        }
    }
    assert_eq!(limit.limit(), highest(20));
}
