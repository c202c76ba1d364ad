//! Contract limits divided over places, never exceeded in sum.
//!
//! Each zone holds a fixed share of a limit. A zone with more demand than its share borrows from
//! the others: it asks, and a grant runs for a fixed term that the borrower counts from when it
//! asked and the lender from when it was asked, which is later. So a grant ends at the borrower
//! first, no clocks are compared, and the shares in use never add up to more than the limit. A zone
//! that is cut off falls back to its fixed share within one term. Inside a zone the same type
//! divides the zone's share over daemons: one of them holds it and the others borrow.
//!
//! Lowering a base takes back nothing that is lent: for one term the sum may exceed the new limit
//! by what was lent under the old one. The clocks of two hosts are taken to run at the same rate to
//! within [`CLOCK_RATE_MARGIN`].

use crate::{name::Incarnation, time::MonoTime};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, hash::Hash, time::Duration};

/// Term of a grant.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time that the lender waits past the term, for clocks that run at different rates.
pub const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(30);
/// Demand over its recent use that a lender keeps for itself.
const KEEP_FACTOR: f64 = 1.2;

/// Asks another place for part of its share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// The borrower's run; the grant echoes it.
    pub borrower: Incarnation,
    /// When this was asked, on the borrower's clock; the grant echoes it.
    pub requested_at: MonoTime,
    /// How much is wanted.
    pub amount: u32,
}

/// Lends part of a share for [`GRANT_DURATION`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaGrant {
    /// Echo of the borrower's run.
    pub borrower: Incarnation,
    /// Echo of the borrower's time.
    pub requested_at: MonoTime,
    /// How much is lent, in place of any earlier grant.
    pub amount: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    amount: u32,
    until: MonoTime,
}

/// The part of a contract limit that one place may use.
#[derive(Clone, Debug)]
pub struct QuotaShare<K> {
    incarnation: Incarnation,
    base: u32,
    demand: u32,
    lent: HashMap<K, Vec<HeldGrant>>,
    borrowed: HashMap<K, BorrowedGrant>,
}

#[derive(Clone, Copy, Debug)]
struct BorrowedGrant {
    requested_at: MonoTime,
    grant: HeldGrant,
}

impl<K: Copy + Eq + Hash> QuotaShare<K> {
    /// Returns a share of `base` that nothing is lent of or borrowed to, in the run `incarnation`
    /// of its process.
    pub fn new(base: u32, incarnation: Incarnation) -> QuotaShare<K> {
        QuotaShare {
            incarnation,
            base,
            demand: 0,
            lent: HashMap::new(),
            borrowed: HashMap::new(),
        }
    }

    /// Takes a new fixed share, after a change of the contract or of the places.
    pub fn set_base(&mut self, base: u32) {
        self.base = base;
    }

    /// Records the demand lately seen here.
    pub fn set_demand(&mut self, demand: u32) {
        self.demand = demand;
    }

    /// Returns what may be used at `now`.
    pub fn available(&self, now: MonoTime) -> u32 {
        let borrowed: u32 = self.borrowed.values().map(|b| b.grant.alive(now)).sum();
        (self.base + borrowed).saturating_sub(self.lent(now))
    }

    /// Returns what is lent out at `now`.
    pub fn lent(&self, now: MonoTime) -> u32 {
        let most = |grants: &Vec<HeldGrant>| grants.iter().map(|g| g.alive(now)).max();
        self.lent.values().filter_map(most).sum()
    }

    /// Returns what to ask one of `peers` other places for, `None` while the own share will do.
    pub fn request(&self, peers: u32, now: MonoTime) -> Option<QuotaRequest> {
        let own = self.base.saturating_sub(self.lent(now));
        let missing = self.wanted().saturating_sub(own);
        let amount = missing.div_ceil(peers.max(1));
        (amount > 0).then_some(QuotaRequest {
            borrower: self.incarnation,
            requested_at: now,
            amount,
        })
    }

    /// Answers the place `from`, which asks for part of this share.
    pub fn lend(&mut self, from: K, need: QuotaRequest, now: MonoTime) -> QuotaGrant {
        let others = self.lent_except(from, now);
        let spare = self.base.saturating_sub(others + self.wanted());
        let amount = need.amount.min(spare);
        let grants = self.lent.entry(from).or_default();
        grants.retain(|g| g.alive(now) > amount);
        grants.push(HeldGrant {
            amount,
            until: now + GRANT_DURATION + CLOCK_RATE_MARGIN,
        });
        QuotaGrant {
            borrower: need.borrower,
            requested_at: need.requested_at,
            amount,
        }
    }

    /// Takes the grant of the place `from`; one that an earlier run asked for, or that is older
    /// than the one held, changes nothing.
    pub fn accept_grant(&mut self, from: K, grant: QuotaGrant) {
        if grant.borrower != self.incarnation {
            return;
        }
        let held = self.borrowed.get(&from);
        if held.is_some_and(|b| b.requested_at > grant.requested_at) {
            return;
        }
        let borrowed = BorrowedGrant {
            requested_at: grant.requested_at,
            grant: HeldGrant {
                amount: grant.amount,
                until: grant.requested_at + GRANT_DURATION,
            },
        };
        self.borrowed.insert(from, borrowed);
    }

    fn wanted(&self) -> u32 {
        (f64::from(self.demand) * KEEP_FACTOR).ceil() as u32
    }

    fn lent_except(&self, place: K, now: MonoTime) -> u32 {
        let most = |grants: &Vec<HeldGrant>| grants.iter().map(|g| g.alive(now)).max();
        self.lent
            .iter()
            .filter(|(to, _)| **to != place)
            .filter_map(|(_, grants)| most(grants))
            .sum()
    }
}

impl HeldGrant {
    fn alive(&self, now: MonoTime) -> u32 {
        if now < self.until { self.amount } else { 0 }
    }
}

/// Token bucket whose rate may change.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// In millionths of a call, so that a rate times microseconds needs no rounding.
    tokens: u64,
    filled_at: MonoTime,
}

/// One call in the units of [`TokenBucket`].
const CALL_TOKENS: u64 = 1_000_000;

impl TokenBucket {
    /// Time of full rate that an unused bucket saves up.
    const BURST: Duration = Duration::from_millis(100);

    /// Returns a bucket that is full at `rate` calls a second.
    pub fn new(rate: u32, now: MonoTime) -> TokenBucket {
        TokenBucket {
            tokens: burst_of(rate),
            filled_at: now,
        }
    }

    /// Takes one call at `rate` calls a second.
    ///
    /// # Errors
    ///
    /// The time after which a call fits, [`crate::retry::RETRY_AFTER_MAX`] at a rate of zero.
    pub fn try_take(&mut self, rate: u32, now: MonoTime) -> Result<(), Duration> {
        let refill = tokens_in(now.since(self.filled_at), rate);
        self.tokens = self.tokens.saturating_add(refill).min(burst_of(rate));
        self.filled_at = now;
        if self.tokens >= CALL_TOKENS {
            self.tokens -= CALL_TOKENS;
            return Ok(());
        }
        let missing = CALL_TOKENS - self.tokens;
        match rate {
            0 => Err(crate::retry::RETRY_AFTER_MAX),
            rate => Err(Duration::from_micros(missing.div_ceil(u64::from(rate)))),
        }
    }
}

fn tokens_in(span: Duration, rate: u32) -> u64 {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    micros.saturating_mul(u64::from(rate))
}

fn burst_of(rate: u32) -> u64 {
    tokens_in(TokenBucket::BURST, rate).max(CALL_TOKENS)
}
