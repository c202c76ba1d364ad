//! Limits of client accounts over zones in virtual time: sums against the limit, requests refused below
//! it, pauses and owners that change.

use agatehill_decide::{
    name::AccountName,
    quota::{
        LedgerOptions, OwnerBackoff, QuotaLedger, QuotaReply, QuotaTolerance, TOKEN_LIFETIME,
        owner_order,
    },
    service_config::RateLimit,
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::{net::SocketAddr, time::Duration};

const ZONES: usize = 6;
/// Excess that the users tolerate in each window: a tenth, and 20 requests.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Part of the slack that the buckets may use, as the daemons are set.
const EXTRA: f64 = 12.0;
/// Factor by which the buckets fill faster, as the daemons are set.
const RATE_FACTOR: f64 = 1.02;
const WINDOW_MS: u64 = 5_000;
/// Time after which a request that waits for the tokens of other zones asks again.
const RETRY_MS: u64 = 25;
/// Time that a message between zones takes, one way.
const TRANSIT_MS: u64 = 20;

/// A message between the owners of two zones.
enum Message {
    /// Asks for tokens.
    Request { from: usize, amount: u32 },
    /// Brings tokens.
    Tokens { amount: u32 },
}

/// The zones that still have to reply to a borrower, and what the others have lent.
#[derive(Clone, Copy, Default)]
struct Round {
    open: usize,
    tokens: u32,
}

/// The owners of one account in all zones, and what they have admitted.
struct AccountModel {
    account: AccountName,
    limit: RateLimit,
    ledgers: Vec<QuotaLedger>,
    /// Messages in flight by arrival time and receiver.
    messages: Vec<(u64, usize, Message)>,
    /// Requests that wait for a round of loans, by its end and their zone.
    retries: Vec<(u64, usize)>,
    /// Times at which requests were sent on, in milliseconds.
    sent: Vec<u64>,
    refused: usize,
    is_cut: bool,
    rounds: [Round; ZONES],
    rng: StdRng,
}

fn ms(millis: u64) -> MonoTime {
    MonoTime::from_millis(1_000_000 + millis)
}

fn ledger(now: u64) -> QuotaLedger {
    let options = LedgerOptions {
        zones: ZONES as u32,
        tolerance: QuotaTolerance {
            extra: EXTRA,
            rate_factor: RATE_FACTOR,
        },
    };
    QuotaLedger::new(options, ms(now))
}

impl AccountModel {
    fn new(rate: f64, seed: u64) -> AccountModel {
        AccountModel {
            account: AccountName::try_from("pulo780").unwrap(),
            limit: RateLimit { rate, burst: rate },
            ledgers: (0..ZONES).map(|_| ledger(0)).collect(),
            messages: Vec::new(),
            retries: Vec::new(),
            sent: Vec::new(),
            refused: 0,
            is_cut: false,
            rounds: [Round::default(); ZONES],
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays one millisecond with `demand` requests a second in each zone.
    fn step(&mut self, now: u64, demand: [f64; ZONES]) {
        self.deliver(now);
        self.retry(now);
        for (idx, demand) in demand.into_iter().enumerate() {
            if now.is_multiple_of(200) {
                self.ledgers[idx].settle(ms(now));
            }
            if self.rng.random_bool((demand * 1e-3).min(1.0)) {
                self.request(idx, now);
            }
        }
    }

    fn request(&mut self, idx: usize, now: u64) {
        let reply = self.ledgers[idx].take(&self.account, self.limit, ms(now), ms(now));
        self.borrow(idx, now);
        self.end_or_retry(idx, reply, now);
    }

    fn borrow(&mut self, idx: usize, now: u64) {
        let Some(amount) = self.ledgers[idx].begin_loan(&self.account, self.limit, ms(now)) else {
            return;
        };
        self.rounds[idx] = Round {
            open: ZONES - 1,
            tokens: 0,
        };
        for to in (0..ZONES).filter(|to| *to != idx) {
            let message = Message::Request { from: idx, amount };
            self.messages.push((now + TRANSIT_MS, to, message));
        }
    }

    /// Waits for the tokens of other zones, as the owner does.
    fn end_or_retry(&mut self, idx: usize, reply: QuotaReply, now: u64) {
        let is_denied = matches!(reply, QuotaReply::Denied { .. });
        match is_denied && self.ledgers[idx].is_borrowing(&self.account, ms(now)) {
            true if !self.is_cut => self.retries.push((now + RETRY_MS, idx)),
            _ => self.end_request(reply, now),
        }
    }

    fn end_request(&mut self, reply: QuotaReply, now: u64) {
        match reply {
            // The token may be spent until the end of its lifetime; the rest of the path takes that.
            QuotaReply::Granted { wait } => {
                let delay = self.rng.random_range(0..TOKEN_LIFETIME.as_millis() as u64);
                self.sent.push(now + wait.as_millis() as u64 + delay);
            }
            QuotaReply::Denied { retry_after } => {
                assert!(!retry_after.is_zero());
                self.refused += 1;
            }
        }
    }

    fn retry(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.retries = later;
        for (_, idx) in due {
            let reply = self.ledgers[idx].take_again(&self.account, self.limit, ms(now));
            self.end_or_retry(idx, reply, now);
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.messages = later;
        for (_, to, message) in due.into_iter().filter(|_| !self.is_cut) {
            match message {
                Message::Request { from, amount } => {
                    let amount = self.ledgers[to].lend(&self.account, self.limit, amount, ms(now));
                    let tokens = Message::Tokens { amount };
                    self.messages.push((now + TRANSIT_MS, from, tokens));
                }
                Message::Tokens { amount } => {
                    let round = &mut self.rounds[to];
                    if round.open == 0 {
                        // A reply to an owner that has been replaced.
                        continue;
                    }
                    round.open -= 1;
                    round.tokens += amount;
                    if round.open == 0 {
                        self.ledgers[to].end_loan(&self.account, round.tokens, ms(now));
                    }
                }
            }
        }
    }

    /// Replaces the owner of a zone by one that knows nothing of it.
    fn replace_owner(&mut self, idx: usize, now: u64) {
        self.rounds[idx] = Round::default();
        self.ledgers[idx] = ledger(now);
    }

    /// Returns the largest sum of any window over the bound, as a share of the bound.
    fn largest_window(&mut self) -> f64 {
        self.sent.sort_unstable();
        let seconds = WINDOW_MS as f64 * 1e-3;
        let bound = (self.limit.rate * seconds + self.limit.burst) * (1.0 + EXCESS) + SLACK;
        let mut first = 0;
        let mut most = 0;
        for last in 0..self.sent.len() {
            while self.sent[last] - self.sent[first] > WINDOW_MS {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 / bound
    }
}

/// Shares of the demand by zone: even, as on the sheet, and all in one zone.
const EVEN: [f64; ZONES] = [0.17, 0.17, 0.17, 0.14, 0.15, 0.20];
const ONE_ZONE: [f64; ZONES] = [1.0, 0.0, 0.0, 0.0, 0.0, 0.0];

fn demand(shares: [f64; ZONES], rate: f64) -> [f64; ZONES] {
    shares.map(|share| share * rate)
}

#[rstest]
fn an_account_that_sends_many_times_its_limit_stays_within_it(
    #[values(8.0, 40.0, 250.0)] rate: f64,
    #[values(EVEN, ONE_ZONE)] shares: [f64; ZONES],
    #[values(false, true)] is_cut: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut model = AccountModel::new(rate, seed);
    model.is_cut = is_cut;
    for now in 0..30_000 {
        let factor = if now < 8_000 { 0.625 } else { 4.7 };
        model.step(now, demand(shares, rate * factor));
    }
    let largest = model.largest_window();
    assert!(largest <= 1.0, "{largest:.3} of the bound");
    if !is_cut {
        let served = model.sent.len() as f64;
        assert!(served >= 0.9 * rate * 26.0, "{served} served at {rate}");
    }
}

#[rstest]
fn below_its_limit_an_account_is_not_refused(
    #[values(8.0, 40.0, 250.0)] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut model = AccountModel::new(rate, seed);
    for now in 0..60_000 {
        model.step(now, demand(EVEN, rate * 0.625));
    }
    let asked = model.sent.len() + model.refused;
    assert!(
        model.refused * 200 <= asked,
        "{} of {asked} refused",
        model.refused
    );
}

#[rstest]
fn an_account_with_all_its_clients_in_one_zone_borrows_the_others_shares(
    #[values(40.0, 250.0)] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut model = AccountModel::new(rate, seed);
    for now in 0..60_000 {
        model.step(now, demand(ONE_ZONE, rate * 0.625));
    }
    let asked = model.sent.len() + model.refused;
    assert!(
        model.refused * 50 <= asked,
        "{} of {asked} refused",
        model.refused
    );
}

#[rstest]
fn owners_that_follow_each_other_keep_the_limit(
    #[values(8.0, 40.0, 250.0)] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut model = AccountModel::new(rate, seed);
    for now in 0..30_000 {
        if now % 2_500 == 0 {
            model.replace_owner((now / 2_500) as usize % ZONES, now);
        }
        model.step(now, demand(EVEN, rate * 4.7));
    }
    let largest = model.largest_window();
    assert!(largest <= 1.0, "{largest:.3} of the bound");
}

#[test]
fn all_owners_that_begin_at_once_hand_out_no_burst() {
    let mut model = AccountModel::new(250.0, 1);
    for now in 0..1_000 {
        model.step(now, demand(EVEN, 250.0 * 4.7));
    }
    assert!(model.sent.len() <= 250 + 150, "{} sent", model.sent.len());
}

#[test]
fn an_owner_that_was_paused_begins_anew() {
    let limit = RateLimit {
        rate: 60.0,
        burst: 600.0,
    };
    let account = AccountName::try_from("pulo780").unwrap();
    let mut ledger = ledger(0);
    for now in (0..5_000).step_by(200) {
        ledger.take(&account, limit, ms(now), ms(now));
        ledger.settle(ms(now));
    }
    // 10 a second of this zone, of which another owner hands out those of the pause.
    let later = 25_000;
    let granted = (0..200)
        .filter(|_| {
            let reply = ledger.take(&account, limit, ms(later), ms(later));
            matches!(reply, QuotaReply::Granted { wait } if wait.is_zero())
        })
        .count();
    assert_eq!(granted, 0);
}

#[test]
fn a_host_that_has_long_been_the_owner_has_a_burst_at_once() {
    let limit = RateLimit {
        rate: 60.0,
        burst: 48.0,
    };
    let account = AccountName::try_from("pulo780").unwrap();
    let mut ledger = ledger(0);
    for now in (0..8_000).step_by(200) {
        ledger.settle(ms(now));
    }
    let granted = (0..60)
        .filter(|_| {
            let reply = ledger.take(&account, limit, ms(0), ms(8_000));
            matches!(reply, QuotaReply::Granted { wait } if wait.is_zero())
        })
        .count();
    // Its part of the burst and of the excess: (48 + 12) / 6.
    assert_eq!(granted, 10);
}

#[test]
fn a_lowered_limit_binds_the_next_window() {
    let mut model = AccountModel::new(250.0, 4);
    for now in 0..10_000 {
        model.step(now, demand(EVEN, 200.0));
    }
    model.limit = RateLimit {
        rate: 25.0,
        burst: 25.0,
    };
    model.sent.clear();
    for now in 10_000..20_000 {
        model.step(now, demand(EVEN, 200.0));
    }
    model.sent.retain(|at| *at >= 10_000 + WINDOW_MS);
    let largest = model.largest_window();
    assert!(largest <= 1.0, "{largest:.3} of the bound");
}

#[test]
fn daemons_that_know_the_same_hosts_ask_the_same_owner() {
    let hosts: Vec<SocketAddr> = (1..=12u8)
        .map(|host| SocketAddr::from(([10, 1, 0, host], 8300)))
        .collect();
    let mut others = hosts.clone();
    others.reverse();
    let accounts = (0..100).map(|idx| AccountName::try_from(format!("a{idx}")).unwrap());
    let mut owners = std::collections::HashSet::new();
    for account in accounts {
        let order = owner_order(&account, &hosts);
        assert_eq!(order, owner_order(&account, &others));
        // Without its owner, an account goes to the next; the order of the others stays.
        let left: Vec<_> = hosts.iter().copied().filter(|h| *h != order[0]).collect();
        assert_eq!(owner_order(&account, &left), order[1..]);
        owners.insert(order[0]);
    }
    assert_eq!(owners.len(), hosts.len());
}

#[test]
fn a_host_that_failed_is_asked_last_for_a_while() {
    let hosts: Vec<SocketAddr> = (1..=3u8)
        .map(|host| SocketAddr::from(([10, 1, 0, host], 8300)))
        .collect();
    let mut backoff = OwnerBackoff::default();
    backoff.record_failure(hosts[0], ms(0));
    let mut order = hosts.clone();
    backoff.apply(&mut order, ms(500));
    assert_eq!(order, [hosts[1], hosts[2], hosts[0]]);
    let mut order = hosts.clone();
    backoff.apply(&mut order, ms(0) + Duration::from_secs(2));
    assert_eq!(order, hosts);
}
