//! What zones know of one another: a digest of each service, carried by relays, without I/O.
//!
//! A few daemons of a zone are its relays: those that come first by a hash of the name, so that no
//! election is needed. A relay asks one relay of every other zone for its zone's digest, the other
//! daemons ask a relay of their own zone for all digests. Answers hold only what has changed since the
//! last one of the same relay. A relay hands on only what it has heard from the zone itself, with its
//! age, so that a digest can't stay young by going round in circles.

mod book;
mod node;
mod wire;

pub use book::ZoneView;
pub use node::{DigestInput, DigestNode, DigestOutput, DigestSettings};
pub use wire::{
    DigestReply, DigestRequest, DigestRow, DigestScope, ZoneDelta, ZoneEntry, ZoneRelay,
};

use crate::{hash::hash_parts, name::DaemonName};
use std::time::Duration;

/// Members of a zone for each of its relays.
const RELAY_FAN: usize = 8;
/// Relays of a zone at least.
const RELAYS_MIN: usize = 3;
/// Age from which a digest no longer tells how its zone is.
pub const STALE_AGE: Duration = Duration::from_secs(16);

/// Returns which of `members`, given by name, are relays: the places in `members`, first rank first.
pub fn select_relays<'a>(members: impl Iterator<Item = &'a DaemonName>) -> Vec<usize> {
    let hashes = members.map(|name| hash_parts(&["relay", name.as_str()]));
    let mut ranks: Vec<(u64, usize)> = hashes.enumerate().map(|(idx, hash)| (hash, idx)).collect();
    ranks.sort_unstable();
    let count = ranks.len().div_ceil(RELAY_FAN).max(RELAYS_MIN);
    ranks.truncate(count);
    ranks.into_iter().map(|(_, idx)| idx).collect()
}
