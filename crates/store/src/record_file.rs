//! Files that hold a single record and are replaced as a whole.

use crate::{
    StoreError,
    file::private_options,
    frame::{ScanEnd, push_record, scan_records},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// A file that holds a single record.
#[derive(Clone, Debug)]
pub struct RecordFile {
    path: PathBuf,
}

impl RecordFile {
    pub(crate) fn new(path: PathBuf) -> RecordFile {
        RecordFile { path }
    }

    /// Returns the record, or `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// The file can't be read or is damaged.
    pub fn read<T: DeserializeOwned>(&self) -> Result<Option<T>, StoreError> {
        read_record(&self.path)
    }

    /// Replaces the record; it is durable on return.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn replace<T: Serialize>(&self, value: &T) -> Result<(), StoreError> {
        replace_record(&self.path, value)
    }
}

/// Reads a file that holds a single record; returns `None` if the file does not exist.
pub(crate) fn read_record<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StoreError> {
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
    // The file was synced before it was renamed into place, so it can't be torn.
    let damaged = || StoreError::Damaged {
        path: path.to_owned(),
        offset: scan.valid_len,
    };
    parsed.ok_or_else(damaged).map(Some)
}

/// Replaces the file at `path` by one that holds a single record; it is durable on return.
pub(crate) fn replace_record<T: Serialize>(path: &Path, value: &T) -> Result<(), StoreError> {
    let payload = postcard::to_stdvec(value).expect("records are serialisable");
    let mut buf = Vec::new();
    push_record(&mut buf, 0, &payload);
    replace_bytes(path, &buf)
}

pub(crate) fn replace_bytes(path: &Path, buf: &[u8]) -> Result<(), StoreError> {
    let new = path.with_extension("new");
    let mut options = private_options();
    options.create(true).write(true).truncate(true);
    let write = || {
        let mut file = options.open(&new)?;
        file.write_all(buf)?;
        file.sync_all()?;
        fs::rename(&new, path)
    };
    write().map_err(StoreError::io(&new))?;
    let folder = path.parent().expect("the file has a parent folder");
    sync_folder(folder)
}

pub(crate) fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    let sync = || File::open(folder)?.sync_all();
    sync().map_err(StoreError::io(folder))
}
