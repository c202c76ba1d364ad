//! Which host of a zone hands out the tokens of an account.

use crate::{hash::hash_parts, name::AccountName, time::MonoTime};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Time for which a host that failed to reply is asked last.
const BACKOFF_DELAY: Duration = Duration::from_secs(1);

/// Returns `hosts` in the order in which they are asked for the tokens of `account`: all daemons that
/// know the same hosts ask the same one first, whatever their build (rendezvous hashing).
pub fn owner_order(account: &AccountName, hosts: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut order: Vec<_> = hosts
        .iter()
        .map(|host| (score(account, *host), *host))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, host)| host).collect()
}

fn score(account: &AccountName, host: SocketAddr) -> u64 {
    hash_parts(&[account.as_str(), &host.to_string()])
}

/// Hosts that have lately failed to reply.
#[derive(Clone, Debug, Default)]
pub struct OwnerBackoff {
    until: HashMap<SocketAddr, MonoTime>,
}

impl OwnerBackoff {
    /// Records that `host` has not replied.
    pub fn record_failure(&mut self, host: SocketAddr, now: MonoTime) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(host, now + BACKOFF_DELAY);
    }

    /// Moves the hosts that have lately failed to the end of `order`.
    pub fn apply(&self, order: &mut [SocketAddr], now: MonoTime) {
        order.sort_by_key(|host| self.until.get(host).is_some_and(|until| *until > now));
    }
}
