//! Lists in messages whose entries other builds may have written: one that can't be used is left out, the others
//! hold.

use metrics::counter;
use serde::{Deserialize, Deserializer};

/// Reads a list of `W` and returns the entries that are valid.
///
/// # Errors
///
/// The list itself can't be read.
pub(super) fn read_valid<'de, D, W, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    W: Deserialize<'de>,
    T: TryFrom<W>,
{
    Ok(valid_entries(Vec::<W>::deserialize(deserializer)?))
}

/// Reads one entry; `None` also for one that isn't valid.
///
/// # Errors
///
/// It can't be read.
pub(super) fn read_valid_entry<'de, D, W, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    W: Deserialize<'de>,
    T: TryFrom<W>,
{
    let entry = Option::<W>::deserialize(deserializer)?;
    Ok(valid_entries(entry.into_iter().collect()).pop())
}

/// Returns the entries that are valid, and counts the others.
fn valid_entries<W, T: TryFrom<W>>(entries: Vec<W>) -> Vec<T> {
    let count = entries.len();
    let valid: Vec<_> = entries
        .into_iter()
        .filter_map(|entry| T::try_from(entry).ok())
        .collect();
    record_skipped(count - valid.len());
    valid
}

/// Counts entries of a message that were left out.
pub fn record_skipped(count: usize) {
    if count > 0 {
        counter!("agatehill_peer_entries_skipped").increment(count as u64);
    }
}
