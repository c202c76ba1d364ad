//! Token buckets of client accounts for one zone.
//!
//! Designed for many small accounts, whose clients are spread over all hosts: a share for each host
//! would be less than one request. A zone whose bucket runs short takes tokens from the buckets of other
//! zones. Nothing passes between zones for an account that stays below its zone's share, so that a zone
//! that is cut off goes on with it. An account that sends many times its limit gets its limit.
//!
//! Sum over all zones in a window of length W, for an account of rate R and burst B:
//!
//! - the buckets fill by R x W x `rate_factor`, since each zone's fills at its share of R;
//! - they hold B + `extra` at the start of the window; a token that is lent leaves one bucket before it
//!   enters the other, and a bucket that begins anew holds what it would have gained since its host became
//!   the owner;
//! - a token is valid for [`TOKEN_LIFETIME`], so that up to R x [`TOKEN_LIFETIME`] tokens that were
//!   handed out before the window are spent in it.

use crate::{name::AccountName, retry::RETRY_AFTER_MAX, service_config::RateLimit, time::MonoTime};
use std::{collections::HashMap, time::Duration};

/// Time for which a token may be spent.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(400);
/// Longest time that a request waits for its token.
pub const WAIT_MAX: Duration = Duration::from_millis(400);
/// Time constant of the measured demand.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Demand that a loan is to cover, as a time.
const LOAN_COVER: Duration = Duration::from_millis(500);
/// Demand that a lender keeps tokens for, and below which a borrower asks for more, as a time.
const RESERVE_COVER: Duration = Duration::from_millis(100);
/// Tokens that are kept beside.
const RESERVE_TOKENS: f64 = 1.0;
/// Time after a loan of nothing in which no other is asked for.
const LOAN_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a loan under way is given up; tokens that arrive later are dropped.
const LOAN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without [`QuotaLedger::settle`] after which the process counts as paused. Others have handed
/// out the tokens since then, so that the buckets begin anew.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Time without a request after which an account's bucket is forgotten.
const IDLE_MAX: Duration = Duration::from_secs(60);
/// Tokens in a bucket that begins anew.
const START_TOKENS: f64 = 1.0;

/// What a ledger does not learn from the configuration.
#[derive(Clone, Copy, Debug)]
pub struct LedgerOptions {
    /// Number of zones that the limits are divided between.
    pub zones: u32,
    /// What may be sent beyond the limits.
    pub tolerance: QuotaTolerance,
}

/// By how much an account may exceed its limit. It makes up for tokens that lie in one zone while another
/// has none.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Requests that the buckets of all zones may hold beyond the account's burst.
    pub extra: f64,
    /// Factor by which the buckets fill faster than the account's rate, 1 or a little more.
    pub rate_factor: f64,
}

impl QuotaTolerance {
    /// Nothing may be sent beyond a limit.
    pub const NONE: QuotaTolerance = QuotaTolerance {
        extra: 0.0,
        rate_factor: 1.0,
    };
}

/// The reply to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaReply {
    /// The request may be sent on after `wait`, until [`TOKEN_LIFETIME`] later.
    Granted {
        /// Zero, or the time until the token exists.
        wait: Duration,
    },
    /// The account has reached its limit.
    Denied {
        /// Time after which there is a token, if nobody else takes it.
        retry_after: Duration,
    },
}

/// Tokens on their way from other zones.
#[derive(Clone, Copy, Debug)]
enum Loan {
    None,
    /// Asked for at this time.
    Pending(MonoTime),
    /// Nothing was lent; not asked for before this time.
    PausedUntil(MonoTime),
}

#[derive(Clone, Debug)]
struct TokenBucket {
    /// Tokens; below zero by what waiting requests have reserved.
    level: f64,
    filled_at: MonoTime,
    /// Demand at `demand_at`, in requests a second.
    demand: f64,
    demand_at: MonoTime,
    loan: Loan,
}

/// The buckets of the accounts whose tokens this host hands out in its zone.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    options: LedgerOptions,
    buckets: HashMap<AccountName, TokenBucket>,
    settled_at: MonoTime,
}

impl QuotaLedger {
    /// Returns a ledger without accounts.
    pub fn new(options: LedgerOptions, now: MonoTime) -> QuotaLedger {
        QuotaLedger {
            options,
            buckets: HashMap::new(),
            settled_at: now,
        }
    }

    /// Takes a token of `account`, whose limit is `limit`.
    ///
    /// `owned_since` is the time since when this host has been the first to be asked, for all that it
    /// knows; `now` if it isn't.
    pub fn take(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        owned_since: MonoTime,
        now: MonoTime,
    ) -> QuotaReply {
        if !self.buckets.contains_key(account) {
            let bucket = TokenBucket::new(owned_since);
            self.buckets.insert(account.clone(), bucket);
        }
        self.bucket(account, limit, now).record_demand(now);
        self.take_again(account, limit, now)
    }

    /// Returns whether there is a bucket of `account`.
    pub fn has_bucket(&self, account: &AccountName) -> bool {
        self.buckets.contains_key(account)
    }

    /// Takes a token for a request that has been denied one, once other zones may have lent some.
    pub fn take_again(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        now: MonoTime,
    ) -> QuotaReply {
        let rate = self.rate(limit);
        let bucket = self.bucket(account, limit, now);
        let wait = wait_for(1.0 - bucket.level, rate);
        if wait > WAIT_MAX {
            return QuotaReply::Denied { retry_after: wait };
        }
        bucket.level -= 1.0;
        QuotaReply::Granted { wait }
    }

    /// Returns the number of tokens to ask each other zone for, if the bucket of `account` runs short and
    /// none are on their way; [`QuotaLedger::end_loan`] must follow.
    pub fn begin_loan(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        now: MonoTime,
    ) -> Option<u32> {
        let capacity = self.capacity(limit);
        let others = f64::from(
            self.options
                .zones
                .checked_sub(1)
                .filter(|others| *others > 0)?,
        );
        let bucket = self.bucket(account, limit, now);
        if bucket.level >= bucket.reserve(now) || !bucket.loan.is_possible(now) {
            return None;
        }
        bucket.loan = Loan::Pending(now);
        let cover = bucket.demand_at(now) * LOAN_COVER.as_secs_f64();
        let wanted = (bucket.reserve(now) + cover).min(capacity) - bucket.level;
        // The cast saturates.
        Some((wanted / others).ceil() as u32)
    }

    /// Adds `tokens` that other zones have lent to `account`.
    pub fn end_loan(&mut self, account: &AccountName, tokens: u32, now: MonoTime) {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return;
        };
        let Loan::Pending(begun_at) = bucket.loan else {
            return;
        };
        bucket.loan = match tokens {
            0 => Loan::PausedUntil(now + LOAN_PAUSE),
            _ => Loan::None,
        };
        if now.since(begun_at) < LOAN_TIMEOUT {
            bucket.level += f64::from(tokens);
        }
    }

    /// Returns whether tokens for `account` are on their way.
    pub fn is_borrowing(&self, account: &AccountName, now: MonoTime) -> bool {
        let bucket = self.buckets.get(account);
        bucket.is_some_and(|bucket| bucket.loan.is_pending(now))
    }

    /// Takes up to `amount` tokens out of the bucket for another zone.
    pub fn lend(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        amount: u32,
        now: MonoTime,
    ) -> u32 {
        let bucket = self.bucket(account, limit, now);
        // The cast saturates.
        let spare = (bucket.level - bucket.reserve(now)).max(0.0) as u32;
        let lent = spare.min(amount);
        bucket.level -= f64::from(lent);
        lent
    }

    /// Notices pauses of the process, and forgets accounts without requests. Must be called at intervals
    /// well below a second.
    pub fn settle(&mut self, now: MonoTime) {
        self.check_pause(now);
        self.buckets
            .retain(|_, bucket| now.since(bucket.filled_at) < IDLE_MAX);
    }

    /// Returns the number of accounts whose tokens are handed out here.
    pub fn account_count(&self) -> usize {
        self.buckets.len()
    }

    /// Begins all buckets anew after a pause of the process.
    fn check_pause(&mut self, now: MonoTime) {
        if now.since(self.settled_at) >= PAUSE_MIN {
            for bucket in self.buckets.values_mut() {
                bucket.level = bucket.level.min(0.0);
                bucket.filled_at = now;
            }
        }
        self.settled_at = self.settled_at.max(now);
    }

    /// Returns the bucket of `account`, filled up to `now`.
    fn bucket(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        now: MonoTime,
    ) -> &mut TokenBucket {
        self.check_pause(now);
        let (rate, capacity) = (self.rate(limit), self.capacity(limit));
        let loans_max = f64::from(self.options.zones.saturating_sub(1));
        let bucket = self.buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(now));
        bucket.fill(rate, capacity, loans_max, now);
        bucket
    }

    /// Returns this zone's share of a rate, in tokens a second.
    fn rate(&self, limit: RateLimit) -> f64 {
        limit.rate * self.options.tolerance.rate_factor / f64::from(self.options.zones)
    }

    fn capacity(&self, limit: RateLimit) -> f64 {
        let all = limit.burst + self.options.tolerance.extra;
        (all / f64::from(self.options.zones)).max(START_TOKENS)
    }
}

impl TokenBucket {
    fn new(now: MonoTime) -> TokenBucket {
        TokenBucket {
            level: START_TOKENS,
            filled_at: now,
            demand: 0.0,
            demand_at: now,
            loan: Loan::None,
        }
    }

    fn fill(&mut self, rate: f64, capacity: f64, loans_max: f64, now: MonoTime) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let filled = (self.level + rate * elapsed).min(capacity);
        // Each of the other zones may have lent a token more than was missing.
        self.level = filled.max(self.level.min(capacity + loans_max));
        self.filled_at = now;
    }

    /// Returns the level up to which the tokens are needed here.
    fn reserve(&self, now: MonoTime) -> f64 {
        RESERVE_TOKENS + self.demand_at(now) * RESERVE_COVER.as_secs_f64()
    }

    fn record_demand(&mut self, now: MonoTime) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    fn demand_at(&self, now: MonoTime) -> f64 {
        let age = now.since(self.demand_at).div_duration_f64(DEMAND_TIME);
        self.demand * (-age).exp()
    }
}

impl Loan {
    fn is_pending(self, now: MonoTime) -> bool {
        matches!(self, Loan::Pending(at) if now.since(at) < LOAN_TIMEOUT)
    }

    fn is_possible(self, now: MonoTime) -> bool {
        match self {
            Loan::None => true,
            Loan::Pending(_) => !self.is_pending(now),
            Loan::PausedUntil(until) => now >= until,
        }
    }
}

/// Returns the time in which `missing` tokens come in at `rate` a second.
fn wait_for(missing: f64, rate: f64) -> Duration {
    if missing <= 0.0 {
        return Duration::ZERO;
    }
    let wait = Duration::try_from_secs_f64(missing / rate);
    wait.map_or(RETRY_AFTER_MAX, |wait| wait.min(RETRY_AFTER_MAX))
}
