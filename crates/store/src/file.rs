//! The file operations that a log needs, so that tests can let them fail.

use std::{
    fs::File,
    io::{self, Write},
};

/// A file that is appended to.
pub trait LogFile {
    /// Appends `buf`, perhaps only in part if it fails.
    ///
    /// # Errors
    ///
    /// The disk is full or broken.
    fn append(&mut self, buf: &[u8]) -> io::Result<()>;

    /// Makes all that was appended durable.
    ///
    /// # Errors
    ///
    /// The disk is full or broken; nothing is known about what was appended.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file to `len` bytes.
    ///
    /// # Errors
    ///
    /// The disk is broken.
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
