//! Quota shares of places whose messages arrive late, twice or not at all; token bucket and deadlines.

use agatehill_decide::{
    deadline::{CallDeadline, HOP_MARGIN},
    name::Incarnation,
    quota::{GRANT_DURATION, QuotaGrant, QuotaRequest, QuotaShare, TokenBucket},
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;

const PLACES: usize = 4;
const BASE: u32 = 100;

#[derive(Clone, Debug)]
enum Step {
    Demand { place: usize, amount: u32 },
    Request { from: usize, to: usize },
    Deliver { pick: usize, is_kept: bool },
    Drop { pick: usize },
    Wait { millis: u64 },
    Restart { place: usize },
}

#[derive(Clone, Copy)]
enum Message {
    Request {
        from: usize,
        to: usize,
        request: QuotaRequest,
    },
    Grant {
        from: usize,
        to: usize,
        grant: QuotaGrant,
    },
}

/// Places with their own clocks, and the messages in flight between them.
struct QuotaModel {
    now: Duration,
    started: [Duration; PLACES],
    shares: Vec<QuotaShare<usize>>,
    messages: Vec<Message>,
    runs: u64,
}

impl QuotaModel {
    fn new() -> QuotaModel {
        QuotaModel {
            now: Duration::from_secs(100),
            started: [17, 61, 0, 99].map(Duration::from_secs),
            shares: (0..PLACES as u64)
                .map(|run| QuotaShare::new(BASE, Incarnation(run)))
                .collect(),
            messages: Vec::new(),
            runs: PLACES as u64,
        }
    }

    fn clock(&self, place: usize) -> MonoTime {
        MonoTime::ZERO + (self.now - self.started[place])
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Demand { place, amount } => self.shares[place].set_demand(amount),
            Step::Request { from, to } if from != to => {
                if let Some(request) = self.shares[from].request(1, self.clock(from)) {
                    self.messages.push(Message::Request { from, to, request });
                }
            }
            Step::Request { .. } => {}
            Step::Deliver { pick, is_kept } => self.deliver(pick, is_kept),
            Step::Drop { pick } => {
                if !self.messages.is_empty() {
                    self.messages.swap_remove(pick % self.messages.len());
                }
            }
            Step::Wait { millis } => self.now += Duration::from_millis(millis),
            Step::Restart { place } => self.restart(place),
        }
    }

    fn deliver(&mut self, pick: usize, is_kept: bool) {
        if self.messages.is_empty() {
            return;
        }
        let idx = pick % self.messages.len();
        let message = match is_kept {
            true => self.messages[idx],
            false => self.messages.swap_remove(idx),
        };
        match message {
            Message::Request { from, to, request } => {
                let now = self.clock(to);
                let grant = self.shares[to].lend(from, request, now);
                self.messages.push(Message::Grant {
                    from: to,
                    to: from,
                    grant,
                });
            }
            Message::Grant { from, to, grant } => self.shares[to].accept_grant(from, grant),
        }
    }

    /// Restarts a place, which waits until its grants have expired, because it no longer knows them.
    fn restart(&mut self, place: usize) {
        self.now += GRANT_DURATION * 2;
        self.started[place] = self.now;
        self.shares[place] = QuotaShare::new(BASE, Incarnation(self.runs));
        self.runs += 1;
    }

    fn total(&self) -> u32 {
        (0..PLACES)
            .map(|place| self.shares[place].available(self.clock(place)))
            .sum()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let place = || 0..PLACES;
    let step = prop_oneof![
        4 => (place(), 0u32..400).prop_map(|(place, amount)| Step::Demand { place, amount }),
        8 => (place(), place()).prop_map(|(from, to)| Step::Request { from, to }),
        12 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, is_kept)| Step::Deliver { pick, is_kept }),
        2 => any::<usize>().prop_map(|pick| Step::Drop { pick }),
        4 => (0u64..1_500).prop_map(|millis| Step::Wait { millis }),
        1 => place().prop_map(|place| Step::Restart { place }),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(53),
        ..ProptestConfig::default()
    })]

    #[test]
    fn sum_of_shares_never_exceeds_the_limit(steps in steps()) {
        let mut model = QuotaModel::new();
        for step in &steps {
            model.apply(step);
            prop_assert!(model.total() <= BASE * PLACES as u32, "{} in use", model.total());
        }
        model.now += GRANT_DURATION * 2;
        prop_assert_eq!(model.total(), BASE * PLACES as u32);
    }
}

#[test]
fn borrower_falls_back_to_its_share_when_cut_off() {
    let now = MonoTime::from_millis(10_000);
    let mut lender = QuotaShare::new(100, Incarnation(1));
    let mut borrower = QuotaShare::new(100, Incarnation(2));
    lender.set_demand(20);
    borrower.set_demand(150);
    let request = borrower.request(1, now).expect("demand is above the share");
    let grant = lender.lend('b', request, now);
    borrower.accept_grant('l', grant);
    assert_eq!((lender.available(now), borrower.available(now)), (24, 176));
    let later = now + GRANT_DURATION;
    assert_eq!(borrower.available(later), 100);
    assert_eq!(lender.available(later + GRANT_DURATION), 100);
}

#[rstest]
#[case::at_once(0, 10)]
#[case::after_an_idle_second(1_000, 10)]
fn bucket_limits_burst_and_rate(#[case] start: u64, #[case] burst: usize) {
    let mut bucket = TokenBucket::new(100, MonoTime::ZERO);
    let start = MonoTime::from_millis(start);
    let at_once = (0..50)
        .filter(|_| bucket.try_take(100, start).is_ok())
        .count();
    assert_eq!(at_once, burst);
    let wait = bucket
        .try_take(100, start)
        .expect_err("the bucket is empty");
    assert_eq!(wait, Duration::from_millis(10));
    let second = (1..=1_000).filter(|ms| {
        bucket
            .try_take(100, start + Duration::from_millis(*ms))
            .is_ok()
    });
    assert_eq!(second.count(), 100);
}

#[rstest]
#[case::contract_default(None, 1_500)]
#[case::shorter(Some(300), 300)]
#[case::capped(Some(9_000), 1_500)]
fn root_deadline_is_limited_by_the_contract(#[case] requested: Option<u64>, #[case] millis: u64) {
    let now = MonoTime::from_millis(77);
    let requested = requested.map(Duration::from_millis);
    let deadline = CallDeadline::at_root(requested, Duration::from_millis(1_500), now);
    assert_eq!(deadline.remaining(now), Duration::from_millis(millis));
}

#[test]
fn deadline_shrinks_at_each_hop() {
    let now = MonoTime::from_millis(500);
    let root = CallDeadline::at_root(None, Duration::from_millis(100), now);
    let child = root.child(Some(Duration::from_secs(9)), now);
    assert!(child < root);
    // The next host's clock has another start; only remaining time is sent.
    let now_there = MonoTime::from_millis(9_000_000);
    let remaining_ms = child.to_wire(now).expect("time remains");
    let next = CallDeadline::from_wire(remaining_ms, now_there);
    assert!(next.remaining(now_there) <= child.remaining(now) - HOP_MARGIN);
    assert_eq!(child.to_wire(now + Duration::from_millis(97)), None);
    assert!(root.has_passed(now + Duration::from_millis(100)));
}
