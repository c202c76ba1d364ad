//! A token bucket whose last tokens are kept for urgent requests.

use super::{RequestRate, RequestUrgency};
use crate::time::MonoTime;
use std::time::Duration;

/// Lowest rate at which requests are sent, per second: without any, a server could not take its limit
/// back.
const RATE_MIN: f64 = 0.5;
/// Size of the bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.5;
/// Smallest size of the bucket, in requests.
const BURST_MIN: f64 = 2.0;
/// Fraction of the bucket that each rank leaves to the more important ones.
const RESERVE_PER_RANK: f64 = 0.2;
/// Rank from which on all requests leave the same fraction.
const RESERVED_RANKS_MAX: u32 = 3;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateBucket {
    /// Tokens a second.
    rate: f64,
    tokens: f64,
    filled_at: MonoTime,
}

impl RateBucket {
    /// Returns a bucket that is half full.
    pub(super) fn new(rate: RequestRate, now: MonoTime) -> RateBucket {
        let mut bucket = RateBucket {
            rate: rate.per_second().max(RATE_MIN),
            tokens: 0.0,
            filled_at: now,
        };
        bucket.tokens = bucket.size() / 2.0;
        bucket
    }

    pub(super) fn set_rate(&mut self, rate: RequestRate, now: MonoTime) {
        self.fill(now);
        self.rate = rate.per_second().max(RATE_MIN);
        self.tokens = self.tokens.min(self.size());
    }

    /// Takes a token; returns the time until there is one for such a request if there is none now.
    pub(super) fn try_take(
        &mut self,
        urgency: RequestUrgency,
        now: MonoTime,
    ) -> Result<(), Duration> {
        self.fill(now);
        let missing = 1.0 + self.reserve(urgency) - self.tokens;
        if missing > 0.0 {
            return Err(Duration::from_secs_f64(missing / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    pub(super) fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.size());
    }

    /// Returns the tokens that such a request leaves to more urgent ones; a full bucket serves all.
    fn reserve(&self, urgency: RequestUrgency) -> f64 {
        let ranks = match urgency {
            RequestUrgency::Nested => 0,
            RequestUrgency::Root(rank) => rank.min(RESERVED_RANKS_MAX) + 1,
        };
        (self.size() - 1.0) * RESERVE_PER_RANK * f64::from(ranks)
    }

    fn size(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(BURST_MIN)
    }

    fn fill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.size());
    }
}
