//! The file operations of a log, as a trait so that tests can inject disk errors.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
};

/// Permissions of new files: the state holds keys of client accounts, which nobody else may read.
const FILE_MODE: u32 = 0o600;

/// Returns options that create files which only this user may read.
pub(crate) fn private_options() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.mode(FILE_MODE);
    options
}

/// An append-only file.
pub trait LogFile {
    /// Appends `buf`. On an error, any part of it may have been written.
    ///
    /// # Errors
    ///
    /// The disk is full or fails.
    fn append(&mut self, buf: &[u8]) -> io::Result<()>;

    /// Makes all appended data durable.
    ///
    /// # Errors
    ///
    /// The disk is full or fails; the data appended since the last sync may or may not be durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `len` bytes.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
}

/// A file on disk, opened for appending.
#[derive(Debug)]
pub struct DiskFile(pub File);

impl LogFile for DiskFile {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        self.0.write_all(buf)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }
}
