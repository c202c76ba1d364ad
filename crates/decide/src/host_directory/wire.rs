//! Host records as they are read from messages and files. One that can't be used names no host; it must
//! not keep the records beside it from being read.

use super::{DirectoryAnswer, DirectoryPosition, HostRecord, ServerRecord};
use crate::{
    name::{Incarnation, NameError, RegionName, ServiceName, ZoneName},
    server_tracker::ServerIdentity,
};
use serde::Deserialize;
use std::{fmt, net::SocketAddr};

/// Largest incarnation, sequence number or start in a record: no process reaches it, and sums don't overflow.
pub(super) const COUNT_MAX: u64 = 1 << 62;

/// A [`HostRecord`] with any text for its names and any numbers.
#[derive(Clone, Debug, Deserialize)]
pub struct WireHostRecord {
    gate: SocketAddr,
    run: Incarnation,
    sequence: u64,
    region: String,
    zone: String,
    server: Option<WireServerRecord>,
    left: Option<ServerIdentity>,
}

#[derive(Clone, Debug, Deserialize)]
struct WireServerRecord {
    service: String,
    id: String,
    slots: u32,
}

/// A [`DirectoryAnswer`] with any records.
#[derive(Debug, Deserialize)]
pub(super) struct WireAnswer {
    position: DirectoryPosition,
    records: Vec<WireHostRecord>,
}

/// Why a record is left out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostRecordError {
    /// A name in it is not valid.
    Name(NameError),
    /// Its incarnation or sequence number is too large.
    Count(SocketAddr),
}

impl fmt::Display for HostRecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostRecordError::Name(error) => error.fmt(f),
            HostRecordError::Count(gate) => {
                write!(f, "record of host {gate}: a number is too large")
            }
        }
    }
}

impl std::error::Error for HostRecordError {}

impl From<NameError> for HostRecordError {
    fn from(error: NameError) -> HostRecordError {
        HostRecordError::Name(error)
    }
}

impl TryFrom<WireHostRecord> for HostRecord {
    type Error = HostRecordError;

    fn try_from(wire: WireHostRecord) -> Result<HostRecord, HostRecordError> {
        if wire.run.0 > COUNT_MAX || wire.sequence > COUNT_MAX {
            return Err(HostRecordError::Count(wire.gate));
        }
        Ok(HostRecord {
            gate: wire.gate,
            run: wire.run,
            sequence: wire.sequence,
            region: RegionName::try_from(wire.region)?,
            zone: ZoneName::try_from(wire.zone)?,
            server: wire.server.map(ServerRecord::try_from).transpose()?,
            // Only this field: the host itself can't take back what an earlier build has told of it.
            left: wire.left.filter(|left| left.started_ms <= COUNT_MAX),
        })
    }
}

impl TryFrom<WireServerRecord> for ServerRecord {
    type Error = NameError;

    fn try_from(wire: WireServerRecord) -> Result<ServerRecord, NameError> {
        Ok(ServerRecord {
            service: ServiceName::try_from(wire.service)?,
            id: wire.id,
            slots: wire.slots,
        })
    }
}

impl From<WireAnswer> for DirectoryAnswer {
    fn from(wire: WireAnswer) -> DirectoryAnswer {
        let count = wire.records.len();
        let records = wire.records.into_iter();
        let records: Vec<_> = records
            .filter_map(|record| HostRecord::try_from(record).ok())
            .collect();
        DirectoryAnswer {
            position: wire.position,
            skipped: count - records.len(),
            records,
        }
    }
}
