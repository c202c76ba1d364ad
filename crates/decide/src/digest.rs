//! Exchange of digests between availability zones, as a state machine without I/O.
//!
//! The digest of a zone sums up its servers and load by service. A few daemons of each zone are its
//! relays: the first by a hash of the name, so that no election is needed. A relay requests the
//! digest of every other zone from one of that zone's relays. The other daemons request all digests
//! from a relay of their own zone. A reply holds only the changes since the last reply of the same
//! relay.
//!
//! A relay passes on only digests that it got from the zone itself, together with their age, so
//! that a digest can't appear fresh by circulating between relays.

mod node;
mod wire;
mod zone_digest;

pub use node::{DigestInput, DigestNode, DigestOutput, DigestSettings};
pub use wire::{
    DigestReply, DigestRequest, DigestRow, DigestScope, ZoneDelta, ZoneEntry, ZoneRelay,
};
pub use zone_digest::ZoneView;

use crate::{hash::hash_parts, name::DaemonName};
use std::time::Duration;

/// Members of a zone per relay.
const MEMBERS_PER_RELAY: usize = 8;
/// Minimum number of relays of a zone.
const RELAYS_MIN: usize = 3;
/// Age from which a digest counts as stale.
pub const STALE_AGE: Duration = Duration::from_secs(16);

/// Returns the indices of the names in `members` that are relays, in order of rank.
pub fn select_relays<'a>(members: impl Iterator<Item = &'a DaemonName>) -> Vec<usize> {
    let hashes = members.map(|name| hash_parts(&["relay", name.as_str()]));
    let mut ranks: Vec<(u64, usize)> = hashes.enumerate().map(|(idx, hash)| (hash, idx)).collect();
    ranks.sort_unstable();
    let count = ranks.len().div_ceil(MEMBERS_PER_RELAY).max(RELAYS_MIN);
    ranks.truncate(count);
    ranks.into_iter().map(|(_, idx)| idx).collect()
}
