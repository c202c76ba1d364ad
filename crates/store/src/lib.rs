//! A keeper's data folder.
//!
//! ```text
//! DATA/owner                the keeper that the folder belongs to
//! DATA/group-N/incarnation  identity of the group's files
//! DATA/group-N/log          records of the group, appended and synced
//! DATA/group-N/snapshot     the state after a prefix of the log, replaced by rename
//! ```
//!
//! A keeper acknowledges nothing before the records that it rests on are synced. On start:
//!
//! - A record that was being written when the process or host stopped is cut off. It was never
//!   acknowledged.
//! - Any other damage is an error, and the keeper doesn't start: to go on without records that were
//!   acknowledged would break the group's promise. Once the group's folder is removed the keeper
//!   returns with a new incarnation, as after the loss of its disk.

mod error;
mod file;
mod folder;
mod frame;
mod group;
mod recover;

pub use self::{
    error::StoreError,
    file::{DiskFile, LogFile},
    folder::DataFolder,
    frame::{RecordScan, ScanEnd, scan_records},
    group::{GroupStore, OpenedGroup},
};
