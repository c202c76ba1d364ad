//! Recovers the state of a group from its log and snapshot.

use crate::{ScanEnd, StoreError, frame::scan_records};
use agatehill_decide::replica::{HardState, LogEntry, RecoveredState, ReplicaSnapshot};
use serde::{Deserialize, Serialize};
use std::{fs, io, path::Path};

/// One record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum LogRecord {
    /// Term, vote and promised founder.
    HardState(HardState),
    /// An entry; it replaces all earlier entries from its index on.
    Entry(LogEntry),
    /// Index of the last entry of the snapshot that the log continues.
    SnapshotIndex(u64),
}

/// Reads the log at `path` and combines it with `snapshot`. Returns the state and the length of the
/// log's valid prefix, in bytes.
pub(crate) fn recover(
    path: &Path,
    snapshot: Option<ReplicaSnapshot>,
) -> Result<(RecoveredState, u64), StoreError> {
    let file = match fs::read(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(cause) => return Err(StoreError::io(path)(cause)),
    };
    let damaged = |offset| StoreError::Damaged {
        path: path.to_owned(),
        offset,
    };
    let scan = scan_records(&file);
    if scan.end == ScanEnd::Damaged {
        return Err(damaged(scan.valid_len));
    }
    let records = scan.payloads.iter().map(|p| postcard::from_bytes(p));
    let records: Result<Vec<_>, _> = records.collect();
    let records = records.map_err(|_| damaged(0))?;
    let recovered = replay(snapshot, records).ok_or_else(|| damaged(0))?;
    Ok((recovered, scan.valid_len))
}

/// Returns the state after `records`, or `None` if entries between `snapshot` and them are missing.
fn replay(snapshot: Option<ReplicaSnapshot>, records: Vec<LogRecord>) -> Option<RecoveredState> {
    let covered = snapshot.as_ref().map_or(0, |s| s.meta.index);
    let mut hard_state = HardState::default();
    let mut entries: Vec<LogEntry> = Vec::new();
    for record in records {
        match record {
            LogRecord::HardState(state) => hard_state = state,
            LogRecord::SnapshotIndex(index) if index > covered => return None,
            LogRecord::SnapshotIndex(_) => {}
            LogRecord::Entry(entry) => {
                let keep = entries.partition_point(|old| old.index < entry.index);
                entries.truncate(keep);
                entries.push(entry);
            }
        }
    }
    if let Some(snapshot) = &snapshot {
        remove_covered(snapshot, &mut entries);
        hard_state.term = hard_state.term.max(snapshot.meta.term);
    }
    let has_gap = entries.first().is_some_and(|e| e.index > covered + 1);
    (!has_gap).then_some(RecoveredState {
        hard_state,
        snapshot,
        entries,
    })
}

/// Removes the entries that `snapshot` covers, or all entries if they contradict it.
fn remove_covered(snapshot: &ReplicaSnapshot, entries: &mut Vec<LogEntry>) {
    let meta = &snapshot.meta;
    if entries
        .iter()
        .any(|e| e.index == meta.index && e.term != meta.term)
    {
        entries.clear();
    }
    entries.retain(|entry| entry.index > meta.index);
}
