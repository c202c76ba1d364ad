//! The files of one group: its log and its snapshot.

use crate::{
    DiskFile, LogFile, ScanEnd, StoreError,
    frame::{push_record, scan_records},
    recover::{LogRecord, recover},
};
use agatehill_decide::{
    name::Incarnation,
    replica::{HardState, LogEntry, PersistBatch, RecoveredState, ReplicaSnapshot},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fs::{self, File, OpenOptions},
    io,
    path::{Path, PathBuf},
};

/// A group that was opened.
#[derive(Debug)]
pub struct OpenedGroup {
    /// The open files.
    pub store: GroupStore,
    /// Identity of the files.
    pub incarnation: Incarnation,
    /// What they hold.
    pub recovered: RecoveredState,
}

/// The open files of one group.
#[derive(Debug)]
pub struct GroupStore<F = DiskFile> {
    folder: PathBuf,
    log: F,
    /// Length of the log that is durable, in bytes.
    synced: u64,
    /// Records that are not durable yet.
    pending: Vec<u8>,
}

impl GroupStore<DiskFile> {
    /// Opens the group in `folder`; one that is new gets the incarnation `new_incarnation`.
    ///
    /// # Errors
    ///
    /// The files can't be read or written, or are damaged.
    pub fn open(folder: &Path, new_incarnation: Incarnation) -> Result<OpenedGroup, StoreError> {
        fs::create_dir_all(folder).map_err(StoreError::io(folder))?;
        let path = folder.join("log");
        let incarnation_path = folder.join("incarnation");
        let known = read_whole::<Incarnation>(&incarnation_path)?;
        if known.is_some() && !path.exists() {
            return Err(StoreError::Damaged { path, offset: 0 });
        }
        let snapshot = read_whole::<ReplicaSnapshot>(&folder.join("snapshot"))?;
        let (recovered, len) = recover(&path, snapshot)?;
        let log = open_log(&path)?;
        log.set_len(len).map_err(StoreError::io(&path))?;
        log.sync_all().map_err(StoreError::io(&path))?;
        sync_folder(folder)?;
        if known.is_none() {
            // Last, so that files without a log are known to be damaged.
            replace_file(&incarnation_path, &new_incarnation)?;
        }
        Ok(OpenedGroup {
            store: GroupStore::with_file(folder, DiskFile(log), len),
            incarnation: known.unwrap_or(new_incarnation),
            recovered,
        })
    }

    /// Replaces snapshot and log; durable on return.
    ///
    /// The snapshot comes first: a log that is older than the snapshot is whole with it, the other
    /// way round entries would be missing.
    ///
    /// # Errors
    ///
    /// The disk is full or broken; the call may be repeated.
    pub fn replace_with_snapshot(
        &mut self,
        snapshot: &ReplicaSnapshot,
        hard: &HardState,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        replace_file(&self.folder.join("snapshot"), snapshot)?;
        let mut buf = Vec::new();
        let start = LogRecord::SnapshotIndex(snapshot.meta.index);
        push_log_record(&mut buf, 0, &start);
        push_log_record(&mut buf, 0, &LogRecord::HardState(hard.clone()));
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

    /// Writes `batch`; durable on return.
    ///
    /// # Errors
    ///
    /// The disk is full or broken; the call may be repeated.
    pub fn persist(&mut self, batch: &PersistBatch) -> Result<(), StoreError> {
        if let (Some(snapshot), Some(hard)) = (&batch.snapshot, &batch.hard_state) {
            return self.replace_with_snapshot(snapshot, hard, &batch.entries);
        }
        self.append(batch);
        self.sync()
    }
}

impl<F: LogFile> GroupStore<F> {
    /// Returns a store whose log is `log`, of which `synced` bytes are durable.
    pub fn with_file(folder: &Path, log: F, synced: u64) -> GroupStore<F> {
        GroupStore {
            folder: folder.to_owned(),
            log,
            synced,
            pending: Vec::new(),
        }
    }

    /// Adds the records of `batch`, which holds no snapshot, to those of the next sync.
    pub fn append(&mut self, batch: &PersistBatch) {
        if let Some(hard) = &batch.hard_state {
            let record = LogRecord::HardState(hard.clone());
            push_log_record(&mut self.pending, self.synced, &record);
        }
        for entry in &batch.entries {
            let record = LogRecord::Entry(entry.clone());
            push_log_record(&mut self.pending, self.synced, &record);
        }
    }

    /// Makes all records durable.
    ///
    /// # Errors
    ///
    /// The disk is full or broken. The records are still pending and the call may be repeated: it
    /// writes them anew, because a sync that failed says nothing about the pages written before.
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
                // If this fails as well, the cut of the next call counts.
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
    let mut options = OpenOptions::new();
    options.create(true).append(true);
    options.open(path).map_err(StoreError::io(path))
}

/// Reads a file that holds one record; `None` if there is no such file.
pub(crate) fn read_whole<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StoreError> {
    let file = match fs::read(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(cause) => return Err(StoreError::io(path)(cause)),
    };
    let scan = scan_records(&file);
    let parsed = match (scan.payloads.as_slice(), scan.end) {
        ([payload], ScanEnd::Clean) => postcard::from_bytes(payload).ok(),
        _ => None,
    };
    // The file was renamed into place after its sync, so it can't be torn.
    let damaged = || StoreError::Damaged {
        path: path.to_owned(),
        offset: scan.valid_len,
    };
    parsed.ok_or_else(damaged).map(Some)
}

/// Puts a file with one record in place of the one at `path`; durable on return.
pub(crate) fn replace_file<T: Serialize>(path: &Path, value: &T) -> Result<(), StoreError> {
    let payload = postcard::to_stdvec(value).expect("records are serialisable");
    let mut buf = Vec::new();
    push_record(&mut buf, 0, &payload);
    replace_bytes(path, &buf)
}

fn replace_bytes(path: &Path, buf: &[u8]) -> Result<(), StoreError> {
    let new = path.with_extension("new");
    let write = || {
        fs::write(&new, buf)?;
        File::open(&new)?.sync_all()?;
        fs::rename(&new, path)
    };
    write().map_err(StoreError::io(&new))?;
    let folder = path.parent().expect("files lie in a folder");
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    let sync = || File::open(folder)?.sync_all();
    sync().map_err(StoreError::io(folder))
}
