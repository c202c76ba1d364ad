//! The part of the log that a replica holds in memory.

use super::message::{EntryPayload, GroupConfig, LogEntry, ReplicaSnapshot};
use std::collections::VecDeque;

/// Entries kept although the snapshot covers them, for followers that lag a little.
const TRAILING_ENTRIES: u64 = 1_024;

/// A snapshot, some entries before its end and all entries after it.
#[derive(Clone, Debug)]
pub struct ReplicaLog {
    snapshot: ReplicaSnapshot,
    /// Index and term of the entry before the first one held.
    base: (u64, u64),
    entries: VecDeque<LogEntry>,
    /// Configurations with the index of their entry, in order; the first is the snapshot's or
    /// older.
    configs: Vec<(u64, GroupConfig)>,
}

impl ReplicaLog {
    /// Returns a log of the entries after `snapshot`.
    pub fn new(snapshot: ReplicaSnapshot, entries: Vec<LogEntry>) -> ReplicaLog {
        let meta = snapshot.meta.clone();
        let mut log = ReplicaLog {
            snapshot,
            base: (meta.index, meta.term),
            entries: VecDeque::new(),
            configs: vec![(meta.index, meta.config)],
        };
        for entry in entries {
            if entry.index > meta.index {
                log.push(entry);
            }
        }
        log
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> &ReplicaSnapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if it is held or is the one before those held.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if it is held.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `index` on.
    pub fn entries_from(&self, index: u64) -> Vec<LogEntry> {
        self.iter_from(index).cloned().collect()
    }

    /// Returns entries from `index` on, up to and including the one with which their commands
    /// exceed `bytes` bytes.
    pub fn batch_from(&self, index: u64, bytes: usize) -> Vec<LogEntry> {
        let mut remaining = Some(bytes);
        let mut take = |entry: &&LogEntry| {
            let fits = remaining.is_some();
            remaining = remaining.and_then(|bytes| bytes.checked_sub(entry.payload.bytes()));
            fits
        };
        self.iter_from(index)
            .take_while(|entry| take(entry))
            .cloned()
            .collect()
    }

    fn iter_from(&self, index: u64) -> impl Iterator<Item = &LogEntry> {
        let skip = index.saturating_sub(self.base.0 + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
    }

    /// Returns the index of the first held entry that has the same term as the one at `index`, or
    /// `index` or the last index, whichever is lower, if that entry isn't held.
    pub fn first_index_of_term(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else {
            return self.last_index().min(index);
        };
        let mut start = index;
        while start > self.base.0 && self.term(start - 1) == Some(term) {
            start -= 1;
        }
        start
    }

    /// Returns the latest configuration and the index of its entry.
    pub fn config(&self) -> (u64, &GroupConfig) {
        let (index, config) = self.configs.last().expect("the snapshot has one");
        (*index, config)
    }

    /// Appends `entry`.
    ///
    /// # Panics
    ///
    /// Panics if its index isn't one above the last.
    pub fn push(&mut self, entry: LogEntry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "the log must have no gap"
        );
        if let EntryPayload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    ///
    /// # Panics
    ///
    /// Panics if that removes entries which the snapshot covers and with them the only
    /// configuration.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.configs.retain(|(at, _)| *at < index);
        assert!(!self.configs.is_empty(), "a snapshot must not be truncated");
    }

    /// Returns the configuration that was in force at `index`.
    pub fn config_at(&self, index: u64) -> &GroupConfig {
        let at = self.configs.iter().rev().find(|(at, _)| *at <= index);
        &at.expect("the first configuration is older than all entries held")
            .1
    }

    /// Replaces the snapshot with a later one of the held entries and removes the entries that it
    /// covers, except for the last [`TRAILING_ENTRIES`].
    pub fn compact(&mut self, snapshot: ReplicaSnapshot) {
        let index = snapshot.meta.index;
        self.snapshot = snapshot;
        while self.base.0 + TRAILING_ENTRIES < index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base = (entry.index, entry.term);
        }
        let base = self.base.0;
        while self.configs.get(1).is_some_and(|(at, _)| *at <= base) {
            self.configs.remove(0);
        }
    }

    /// Replaces the snapshot with one from another replica. The entries after it stay if the log
    /// holds the snapshot's last entry.
    pub fn install(&mut self, snapshot: ReplicaSnapshot) {
        let meta = &snapshot.meta;
        let kept = match self.term(meta.index) {
            Some(term) if term == meta.term => self.entries_from(meta.index + 1),
            _ => Vec::new(),
        };
        *self = ReplicaLog::new(snapshot, kept);
    }
}
