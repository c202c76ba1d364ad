//! Which keepers a keeper exchanges state with, and in which order it hands on new host records.
//!
//! Designed for many keepers in regions whose links are slow and billed, while servers come and go. A new
//! record crosses each link between two regions once or twice and is handed on inside the region. What
//! gets lost is found by comparing digests with a few keepers a round, so that the number of messages
//! grows with the keepers and not with their pairs.

use crate::name::{KeeperName, RegionName};
use std::collections::BTreeMap;

/// Number of keepers that one keeper compares digests with in one round.
pub const ROUND_KEEPERS: usize = 3;

/// Returns the keepers that `own` compares digests with in round number `round`.
///
/// `keepers` are all known ones in order of their names, `own` included or not. Each keeper begins after
/// its own name, so that all are asked equally often, and asks all others in successive rounds.
pub fn round_keepers(own: &KeeperName, keepers: &[KeeperName], round: u64) -> Vec<KeeperName> {
    let others: Vec<_> = keepers.iter().filter(|name| *name != own).collect();
    if others.len() <= ROUND_KEEPERS {
        return others.into_iter().cloned().collect();
    }
    let count = others.len() as u64;
    let own_idx = others.partition_point(|name| *name < own) as u64;
    let first = own_idx + (round % count) * ROUND_KEEPERS as u64;
    let idx = |offset: u64| usize::try_from((first + offset) % count).expect("below the length");
    (0..ROUND_KEEPERS as u64)
        .map(|offset| others[idx(offset)].clone())
        .collect()
}

/// The keepers that new records are sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharePlan {
    /// Keepers that each get them: those of the same region, and those whose region is not known.
    pub direct: Vec<KeeperName>,
    /// The keepers of each other region. One of them gets the records and hands them on in its region:
    /// the first that accepts them.
    pub regions: Vec<Vec<KeeperName>>,
}

impl SharePlan {
    /// Returns the plan of a keeper in `region`. `others` are all other keepers, with their region if it
    /// is known; `seed` varies which keeper of a region is asked first.
    pub fn new(
        region: &RegionName,
        others: &[(KeeperName, Option<RegionName>)],
        seed: u64,
    ) -> SharePlan {
        let mut plan = SharePlan::default();
        let mut regions: BTreeMap<&RegionName, Vec<KeeperName>> = BTreeMap::new();
        for (name, other) in others {
            match other {
                Some(other) if other != region => {
                    regions.entry(other).or_default().push(name.clone());
                }
                _ => plan.direct.push(name.clone()),
            }
        }
        plan.regions = regions.into_values().collect();
        for keepers in &mut plan.regions {
            let first = seed % keepers.len() as u64;
            keepers.rotate_left(usize::try_from(first).expect("below the length"));
        }
        plan
    }
}
