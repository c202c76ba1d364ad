//! The files of one group: its log and its snapshot.

use crate::{
    DiskFile, LogFile, StoreError,
    file::private_options,
    frame::push_record,
    record_file::{read_record, replace_bytes, replace_record, sync_folder},
    recover::{LogRecord, recover},
};
use agatehill_decide::{
    name::Incarnation,
    replica::{HardState, LogEntry, PersistBatch, RecoveredState, ReplicaSnapshot},
};
use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

/// An opened group and its recovered state.
#[derive(Debug)]
pub struct OpenedGroup {
    /// The open files.
    pub store: GroupStore,
    /// Identity of the files.
    pub incarnation: Incarnation,
    /// State read from the files.
    pub recovered: RecoveredState,
}

/// The open files of one group.
#[derive(Debug)]
pub struct GroupStore<F = DiskFile> {
    folder: PathBuf,
    log: F,
    /// Length of the durable part of the log, in bytes.
    synced: u64,
    /// Encoded records that are not durable yet.
    pending: Vec<u8>,
}

impl GroupStore<DiskFile> {
    /// Opens the group in `folder` and recovers its state. A new group gets `new_incarnation`.
    ///
    /// # Errors
    ///
    /// The files can't be read or written, or are damaged.
    pub fn open(folder: &Path, new_incarnation: Incarnation) -> Result<OpenedGroup, StoreError> {
        fs::create_dir_all(folder).map_err(StoreError::io(folder))?;
        let path = folder.join("log");
        let incarnation_path = folder.join("incarnation");
        let known = read_record::<Incarnation>(&incarnation_path)?;
        if known.is_some() && !path.exists() {
            return Err(StoreError::Damaged { path, offset: 0 });
        }
        let snapshot = read_record::<ReplicaSnapshot>(&folder.join("snapshot"))?;
        let (recovered, len) = recover(&path, snapshot)?;
        let log = open_log(&path)?;
        log.set_len(len).map_err(StoreError::io(&path))?;
        log.sync_all().map_err(StoreError::io(&path))?;
        sync_folder(folder)?;
        if known.is_none() {
            // Written last: an incarnation without a log then means that the log was lost.
            replace_record(&incarnation_path, &new_incarnation)?;
        }
        Ok(OpenedGroup {
            store: GroupStore::with_file(folder, DiskFile(log), len),
            incarnation: known.unwrap_or(new_incarnation),
            recovered,
        })
    }

    /// Replaces the snapshot and the log; both are durable on return.
    ///
    /// The snapshot is replaced first: after a crash in between, the old log together with the new
    /// snapshot is complete. In the other order entries would be missing.
    ///
    /// # Errors
    ///
    /// The disk is full or fails; the call may be retried.
    pub fn replace_with_snapshot(
        &mut self,
        snapshot: &ReplicaSnapshot,
        hard_state: &HardState,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        replace_record(&self.folder.join("snapshot"), snapshot)?;
        let mut buf = Vec::new();
        let covered = LogRecord::SnapshotIndex(snapshot.meta.index);
        push_log_record(&mut buf, 0, &covered);
        push_log_record(&mut buf, 0, &LogRecord::HardState(hard_state.clone()));
        for entry in entries {
            push_log_record(&mut buf, 0, &LogRecord::Entry(entry.clone()));
        }
        let path = self.folder.join("log");
        replace_bytes(&path, &buf)?;
        self.log = DiskFile(open_log(&path)?);
        self.synced = buf.len() as u64;
        self.pending.clear();
        Ok(())
    }

    /// Writes `batch`; it is durable on return.
    ///
    /// # Errors
    ///
    /// The disk is full or fails; the call may be retried.
    pub fn persist(&mut self, batch: &PersistBatch) -> Result<(), StoreError> {
        if let (Some(snapshot), Some(hard_state)) = (&batch.snapshot, &batch.hard_state) {
            return self.replace_with_snapshot(snapshot, hard_state, &batch.entries);
        }
        self.append(batch);
        self.sync()
    }
}

impl<F: LogFile> GroupStore<F> {
    /// Returns a store with the log `log`, whose first `synced` bytes are durable.
    pub fn with_file(folder: &Path, log: F, synced: u64) -> GroupStore<F> {
        GroupStore {
            folder: folder.to_owned(),
            log,
            synced,
            pending: Vec::new(),
        }
    }

    /// Buffers the records of `batch`, which must not contain a snapshot, for the next sync.
    pub fn append(&mut self, batch: &PersistBatch) {
        if let Some(hard_state) = &batch.hard_state {
            let record = LogRecord::HardState(hard_state.clone());
            push_log_record(&mut self.pending, self.synced, &record);
        }
        for entry in &batch.entries {
            let record = LogRecord::Entry(entry.clone());
            push_log_record(&mut self.pending, self.synced, &record);
        }
    }

    /// Writes the buffered records and makes them durable.
    ///
    /// # Errors
    ///
    /// The disk is full or fails. The records remain buffered and the call may be retried: it
    /// writes all of them again, because after a failed sync any page written before may be lost.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        match self.write_pending() {
            Ok(()) => {
                self.synced += self.pending.len() as u64;
                self.pending.clear();
                Ok(())
            }
            Err(cause) => {
                // The next call truncates again if this fails.
                let _ = self.log.truncate(self.synced);
                let path = self.folder.join("log");
                Err(StoreError::Io { path, cause })
            }
        }
    }

    fn write_pending(&mut self) -> io::Result<()> {
        self.log.truncate(self.synced)?;
        self.log.append(&self.pending)?;
        self.log.sync()
    }
}

fn push_log_record(buf: &mut Vec<u8>, synced: u64, record: &LogRecord) {
    let payload = postcard::to_stdvec(record).expect("records are serialisable");
    push_record(buf, synced, &payload);
}

fn open_log(path: &Path) -> Result<File, StoreError> {
    let mut options = private_options();
    options.create(true).append(true);
    options.open(path).map_err(StoreError::io(path))
}
