//! Contract limits divided between places (zones or daemons), never exceeded by the sum of the shares
//! in use.
//!
//! Each zone has a fixed share of a limit. A zone with more demand than its share requests part of the
//! shares of others. A grant is valid for [`GRANT_DURATION`], which the borrower counts from sending
//! the request and the lender from receiving it, which is later. So the grant expires at the borrower
//! first without comparing clocks, and the shares in use never add up to more than the limit. A zone
//! that is cut off falls back to its fixed share within one grant duration. Within a zone, the same
//! type divides the zone's share between daemons: one of them holds it and the others borrow.
//!
//! Lowering a base share does not revoke grants: for one grant duration the sum may exceed the new
//! limit by what was lent under the old one. The clocks of two hosts are assumed to run at the same
//! rate to within [`CLOCK_RATE_MARGIN`] per grant duration.

use crate::{name::Incarnation, time::MonoTime};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, hash::Hash, time::Duration};

/// Time for which a grant is valid.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time that the lender adds to the duration of a grant, for clocks that run at different rates.
pub const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(30);
/// Part of the limit that a place wants for itself, as a multiple of its recent demand.
const DEMAND_HEADROOM: f64 = 1.2;

/// A request for part of another place's share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// Incarnation of the borrower; the grant repeats it.
    pub borrower: Incarnation,
    /// Time of the request on the borrower's clock; the grant repeats it.
    pub requested_at: MonoTime,
    /// Requested part of the limit.
    pub amount: u32,
}

/// A grant of part of a share for [`GRANT_DURATION`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaGrant {
    /// Incarnation of the borrower, from the request.
    pub borrower: Incarnation,
    /// Time of the request on the borrower's clock, from the request.
    pub requested_at: MonoTime,
    /// Granted part of the limit; replaces any earlier grant.
    pub amount: u32,
}

#[derive(Clone, Copy, Debug)]
struct TimedGrant {
    amount: u32,
    expires: MonoTime,
}

/// The part of a contract limit that one place may use; `K` identifies the other places.
#[derive(Clone, Debug)]
pub struct QuotaShare<K> {
    incarnation: Incarnation,
    base: u32,
    demand: u32,
    /// Grants to other places; an earlier, larger grant stays until it expires.
    lent: HashMap<K, Vec<TimedGrant>>,
    borrowed: HashMap<K, BorrowedGrant>,
}

#[derive(Clone, Copy, Debug)]
struct BorrowedGrant {
    requested_at: MonoTime,
    grant: TimedGrant,
}

impl<K: Copy + Eq + Hash> QuotaShare<K> {
    /// Returns a share of `base` without grants, for the run `incarnation` of its process.
    pub fn new(base: u32, incarnation: Incarnation) -> QuotaShare<K> {
        QuotaShare {
            incarnation,
            base,
            demand: 0,
            lent: HashMap::new(),
            borrowed: HashMap::new(),
        }
    }

    /// Sets the fixed share after a change of the contract or of the places.
    pub fn set_base(&mut self, base: u32) {
        self.base = base;
    }

    /// Records the recent demand at this place.
    pub fn set_demand(&mut self, demand: u32) {
        self.demand = demand;
    }

    /// Returns the part of the limit that may be used at `now`.
    pub fn available(&self, now: MonoTime) -> u32 {
        let borrowed: u32 = self.borrowed.values().map(|b| b.grant.amount_at(now)).sum();
        (self.base + borrowed).saturating_sub(self.lent(now))
    }

    /// Returns the part of the limit that is lent at `now`.
    pub fn lent(&self, now: MonoTime) -> u32 {
        let largest = |grants: &Vec<TimedGrant>| grants.iter().map(|g| g.amount_at(now)).max();
        self.lent.values().filter_map(largest).sum()
    }

    /// Returns the request to send to each of `peers` other places; `None` if the own share is enough.
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

    /// Returns the grant for a request of the place `from`; its amount may be zero.
    pub fn lend(&mut self, from: K, request: QuotaRequest, now: MonoTime) -> QuotaGrant {
        let others = self.lent_except(from, now);
        let spare = self.base.saturating_sub(others + self.wanted());
        let amount = request.amount.min(spare);
        let grants = self.lent.entry(from).or_default();
        grants.retain(|g| g.amount_at(now) > amount);
        grants.push(TimedGrant {
            amount,
            expires: now + GRANT_DURATION + CLOCK_RATE_MARGIN,
        });
        QuotaGrant {
            borrower: request.borrower,
            requested_at: request.requested_at,
            amount,
        }
    }

    /// Applies a grant of the place `from`.
    ///
    /// Ignores grants requested by an earlier run of this process and grants older than the one held.
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
            grant: TimedGrant {
                amount: grant.amount,
                expires: grant.requested_at + GRANT_DURATION,
            },
        };
        self.borrowed.insert(from, borrowed);
    }

    fn wanted(&self) -> u32 {
        (f64::from(self.demand) * DEMAND_HEADROOM).ceil() as u32
    }

    fn lent_except(&self, place: K, now: MonoTime) -> u32 {
        let largest = |grants: &Vec<TimedGrant>| grants.iter().map(|g| g.amount_at(now)).max();
        self.lent
            .iter()
            .filter(|(to, _)| **to != place)
            .filter_map(|(_, grants)| largest(grants))
            .sum()
    }
}

impl TimedGrant {
    fn amount_at(&self, now: MonoTime) -> u32 {
        if now < self.expires { self.amount } else { 0 }
    }
}

/// Token bucket whose rate can change.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Available calls in millionths of a call, so that a rate times microseconds needs no rounding.
    tokens: u64,
    filled_at: MonoTime,
}

/// Tokens of one call.
const CALL_TOKENS: u64 = 1_000_000;

impl TokenBucket {
    /// Time in which an empty bucket fills.
    const BURST: Duration = Duration::from_millis(100);

    /// Returns a full bucket for `rate` calls per second.
    pub fn new(rate: u32, now: MonoTime) -> TokenBucket {
        TokenBucket {
            tokens: burst_of(rate),
            filled_at: now,
        }
    }

    /// Takes one call from the bucket, which fills at `rate` calls per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket holds a call, or [`crate::retry::RETRY_AFTER_MAX`] at
    /// a rate of zero.
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
