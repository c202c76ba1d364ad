//! The limit of a route whose requests (roots) make calls to a scarce service, one after another, and
//! run out of time together.

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
/// Time of a call while the servers are cold, in milliseconds.
const COLD_MILLIS: u64 = 60;
/// Timeout of a root, in milliseconds.
const TIMEOUT_MILLIS: u64 = 800;
/// Time from which a root counts as late, in milliseconds.
const LATE_MILLIS: u64 = 500;
/// Slots of the server that runs the roots.
const ROOT_SLOTS: u32 = 200;

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

/// Simulates roots that arrive at a constant rate and are retried once if they fail.
struct Simulation {
    limit: Option<RouteLimit>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    now: u64,
    cold_until: u64,
    roots: BTreeMap<u64, Root>,
    busy: usize,
    waiting: Vec<u64>,
    /// Number of roots that ended before their timeout, by second.
    completed: BTreeMap<u64, u32>,
}

impl Simulation {
    fn run(
        limit: Option<RouteLimit>,
        per_second: u64,
        seconds: u64,
        cold_until: u64,
    ) -> Simulation {
        let mut simulation = Simulation {
            limit,
            events: BTreeMap::new(),
            next: 0,
            now: 0,
            cold_until,
            roots: BTreeMap::new(),
            busy: 0,
            waiting: Vec::new(),
            completed: BTreeMap::new(),
        };
        for idx in 0..per_second * seconds {
            simulation.at(idx * 1_000 / per_second, Event::Arrive { tries: 1 });
        }
        while let Some(((at, _), event)) = simulation.events.pop_first() {
            if at > seconds * 1_000 {
                break;
            }
            simulation.now = at;
            simulation.handle(event);
        }
        simulation
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
            return self.retry(tries, 1_000);
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

    fn retry(&mut self, tries: u32, millis: u64) {
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

    fn end_root(&mut self, id: u64, is_completed: bool) {
        let root = self.roots.remove(&id).unwrap();
        let elapsed = self.now - root.began;
        if let Some(limit) = &mut self.limit {
            let now = MonoTime::from_millis(self.now);
            limit.leave(Some(elapsed >= LATE_MILLIS), ROOT_SLOTS, now);
        }
        if is_completed {
            *self.completed.entry(self.now / 1_000).or_default() += 1;
        } else {
            self.retry(root.tries, 100);
        }
    }

    fn completed_in(&self, seconds: std::ops::Range<u64>) -> u32 {
        self.completed.range(seconds).map(|(_, count)| count).sum()
    }
}

/// Roots per second that the scarce service can run.
const CAPACITY: u64 = LEAF_SLOTS as u64 * 1_000 / (CALLS as u64 * CALL_MILLIS);

fn limit_max(slots: u32) -> f64 {
    f64::from(slots) * LIMIT_PER_SLOT_MAX
}

/// Requests may wait for a slot while none of them is late.
#[test]
fn initial_limit_lets_requests_wait() {
    let mut limit = RouteLimit::new(10);
    assert!((0..30).all(|_| limit.try_enter()));
}

#[test]
fn most_capacity_serves_roots_in_time_under_overload() {
    let without = Simulation::run(None, CAPACITY * 3 / 2, 20, 0).completed_in(5..20);
    let with = Simulation::run(Some(RouteLimit::new(ROOT_SLOTS)), CAPACITY * 3 / 2, 20, 0);
    let with = with.completed_in(5..20);
    let capacity = 15 * CAPACITY as u32;
    assert!(
        without < capacity / 2,
        "without the limit there is no overload: {without} roots in time"
    );
    assert!(
        with > capacity * 8 / 10,
        "{with} roots in time of {capacity}, {without} without the limit"
    );
}

#[test]
fn recovers_within_seconds_after_a_cold_start_at_high_load() {
    let load = CAPACITY * 9 / 10;
    let without = Simulation::run(None, load, 20, 3_000).completed_in(6..10);
    let with =
        Simulation::run(Some(RouteLimit::new(ROOT_SLOTS)), load, 20, 3_000).completed_in(6..10);
    let sent = 4 * load as u32;
    assert!(
        without < sent / 2,
        "without the limit there is no overload: {without} roots in time"
    );
    assert!(
        with > sent * 8 / 10,
        "{with} roots in time of {sent}, {without} without the limit"
    );
}

#[test]
fn limit_stays_at_its_maximum_without_overload() {
    let with = Simulation::run(Some(RouteLimit::new(ROOT_SLOTS)), CAPACITY / 2, 10, 0);
    assert_eq!(with.limit.unwrap().limit(), limit_max(ROOT_SLOTS));
    assert_eq!(with.completed_in(1..9), 8 * CAPACITY as u32 / 2);
}

#[test]
fn few_late_requests_do_not_lower_the_limit() {
    let mut limit = RouteLimit::new(10);
    for idx in 0..200 {
        assert!(limit.try_enter());
        let now = MonoTime::ZERO + Duration::from_millis(idx * 10);
        limit.leave(Some(idx % 10 == 0), 10, now);
    }
    assert_eq!(limit.limit(), limit_max(10));
}

#[test]
fn ends_without_lateness_do_not_lower_the_limit() {
    let mut limit = RouteLimit::new(10);
    for idx in 0..200 {
        assert!(limit.try_enter());
        limit.leave(None, 10, MonoTime::from_millis(idx));
    }
    assert_eq!(limit.limit(), limit_max(10));
}

#[test]
fn lowered_limit_recovers_when_requests_are_in_time() {
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
    assert_eq!(limit.limit(), limit_max(20));
}
