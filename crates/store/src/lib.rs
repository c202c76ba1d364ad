//! The data folder of a keeper.
//!
//! ```text
//! DATA/owner                name of the keeper that owns the folder, number of its claim groups
//! DATA/leaves               backend servers that have left their hosts, replaced by rename
//! DATA/strikes              strikes against requests that crash servers, replaced by rename
//! DATA/lock                 locked by the process that uses the folder
//! DATA/group-N/incarnation  identity of the group's files
//! DATA/group-N/log          records of the group, appended and synced
//! DATA/group-N/snapshot     state after a prefix of the log, replaced by rename
//! ```
//!
//! A keeper acknowledges a write only after all records it depends on are synced. On start:
//!
//! - A record that was being written when the process or host stopped is truncated. It was never
//!   acknowledged.
//! - Any other damage is an error and the keeper doesn't start: without records that it has
//!   acknowledged, the group could lose committed entries or votes. After the group's folder is
//!   removed, the keeper starts with a new incarnation, as after the loss of its disk.

mod error;
mod file;
mod folder;
mod frame;
mod group;
mod record_file;
mod recover;

pub use self::{
    error::StoreError,
    file::{DiskFile, LogFile},
    folder::DataFolder,
    frame::{RecordScan, ScanEnd, scan_records},
    group::{GroupStore, OpenedGroup},
    record_file::RecordFile,
};
