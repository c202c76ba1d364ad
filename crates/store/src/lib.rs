//! A keeper's data folder.
//!
//! ```text
//! DATA/identity          incarnation of the folder, and what it belongs to
//! DATA/group-N/log       records of a group, appended and synced
//! DATA/group-N/snapshot  the state after a prefix of the log, replaced by rename
//! ```
//!
//! A keeper acknowledges nothing before the records that it rests on are synced. On start:
//!
//! - A record that was being written when the process or host stopped is cut off. It was never
//!   acknowledged.
//! - Any other damage is an error, and the keeper doesn't start: to go on without records that were
//!   acknowledged would break the group's promise. Once the folder is removed the keeper returns
//!   with a new incarnation, as after the loss of its disk.

mod error;
mod file;
mod frame;
mod group;
mod identity;

pub use self::{
    error::StoreError,
    file::{DiskFile, LogFile},
    frame::{RecordScan, ScanEnd, scan_records},
    group::GroupStore,
    identity::StoreIdentity,
};
