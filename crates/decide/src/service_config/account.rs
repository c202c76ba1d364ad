//! Client accounts: who may send requests, with which keys, at which rank and rate.

use super::RouteRule;
use crate::name::AccountName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// BLAKE3 digest of an API key. Only the digest is kept, so that no dump, log line or error can show
/// a key; comparing digests takes no time that depends on how much of a key is right.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; 32]);

/// Bytes of a digest that its fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    /// Writes a fingerprint by which operators tell keys apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..FINGERPRINT_BYTES] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// Its name, unique in the configuration.
    pub name: AccountName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, which takes precedence over that of their route; 0 is the most important.
    pub rank: Option<u32>,
    /// Limit on its requests; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// A limit on the requests of an account over all daemons.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate that may be sent at once.
    pub burst: f64,
}

impl RateLimit {
    /// Returns whether rate and burst can be enforced.
    pub(super) fn is_valid(self) -> bool {
        let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
        is_amount(self.rate) && is_amount(self.burst)
    }
}

/// Ranks of routes that are told apart within one rank of accounts.
const ROUTE_RANKS: u32 = 4;
/// Rank of accounts from which on all are equal; the largest that leaves room for the ranks of routes.
const ACCOUNT_RANK_MAX: u32 = u32::MAX / ROUTE_RANKS;

/// Returns the rank of a request on `route` where there are accounts: that of its account goes first, or
/// that of the route without one; among equals, that of the route decides.
///
/// Under overload the operator's most urgent routes are the last to be shed for each account.
pub fn rank_among_accounts(account: Option<&ClientAccount>, route: &RouteRule) -> u32 {
    let first = account
        .and_then(|account| account.rank)
        .unwrap_or(route.priority);
    let second = route.priority.min(ROUTE_RANKS - 1);
    first.min(ACCOUNT_RANK_MAX) * ROUTE_RANKS + second
}

/// Returns whether a root of `rank`, as [`rank_among_accounts`] returns it, is of the most urgent routes.
pub fn is_most_urgent_route(rank: u32) -> bool {
    rank.is_multiple_of(ROUTE_RANKS)
}
