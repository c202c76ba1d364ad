//! Records in a file: a header with checksums, then the payload.
//!
//! ```text
//! 0   payload length, u32
//! 4   bytes of the file that were synced when the record was written, u64
//! 12  CRC-32 of the payload, u32
//! 16  CRC-32 of the 16 bytes above, u32
//! 20  payload
//! ```
//!
//! All numbers are little-endian. The second field tells a torn write from damage: a record that
//! can't be read was torn only if no later record says that it had been synced.

/// Length of a record's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 20;
/// A torn write leaves whole units of this size unwritten, in bytes.
const SECTOR_BYTES: usize = 512;
/// Length of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Shortest run of zeros at the edge of a record that counts as unwritten, in bytes.
const PAYLOAD_BLANK_BYTES: usize = 16;

/// How the records of a file end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScanEnd {
    /// With the end of the file.
    Clean,
    /// With a record that was being written when the host stopped.
    Torn,
    /// With a record that was synced and has changed since.
    Damaged,
}

/// The records of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordScan<'a> {
    /// The payloads of all whole records.
    pub payloads: Vec<&'a [u8]>,
    /// Where the last whole record ends, in bytes.
    pub valid_len: u64,
    /// What comes after it.
    pub end: ScanEnd,
}

struct RecordHeader {
    len: usize,
    synced: u64,
    payload_crc: u32,
}

/// Appends one record with `payload` to `buf`.
pub(crate) fn push_record(buf: &mut Vec<u8>, synced: u64, payload: &[u8]) {
    let len = u32::try_from(payload.len()).expect("records are shorter than 4 GiB");
    let start = buf.len();
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&synced.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let crc = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&crc.to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Reads the records of a file.
pub fn scan_records(file: &[u8]) -> RecordScan<'_> {
    let mut payloads = Vec::new();
    let mut rest = file;
    while let Some(payload) = first_payload(rest) {
        payloads.push(payload);
        rest = &rest[HEADER_BYTES + payload.len()..];
    }
    let valid_len = (file.len() - rest.len()) as u64;
    RecordScan {
        payloads,
        valid_len,
        end: scan_end(rest, valid_len),
    }
}

fn first_payload(buf: &[u8]) -> Option<&[u8]> {
    let header = parse_header(buf)?;
    let payload = buf[HEADER_BYTES..].get(..header.len)?;
    (crc32fast::hash(payload) == header.payload_crc).then_some(payload)
}

fn parse_header(buf: &[u8]) -> Option<RecordHeader> {
    let header = buf.get(..HEADER_BYTES)?;
    let word = |at: usize| u32::from_le_bytes(header[at..at + 4].try_into().expect("four bytes"));
    if crc32fast::hash(&header[..16]) != word(16) {
        return None;
    }
    let synced = u64::from_le_bytes(header[4..12].try_into().expect("eight bytes"));
    Some(RecordHeader {
        len: word(0) as usize,
        synced,
        payload_crc: word(12),
    })
}

/// Tells what the unreadable `rest` of a file is, which begins at `offset`.
fn scan_end(rest: &[u8], offset: u64) -> ScanEnd {
    if rest.is_empty() {
        return ScanEnd::Clean;
    }
    if is_torn(rest, offset) && !synced_later(rest, offset) {
        ScanEnd::Torn
    } else {
        ScanEnd::Damaged
    }
}

/// Whether the record that begins `rest` was written in part: it passes the end of the file, or
/// holds a unit of the disk that was never written and reads as zeros.
fn is_torn(rest: &[u8], offset: u64) -> bool {
    match parse_header(rest) {
        Some(header) => match rest.get(..HEADER_BYTES + header.len) {
            Some(record) => has_blank(record, offset, PAYLOAD_BLANK_BYTES),
            None => true,
        },
        None if rest.len() < HEADER_BYTES => true,
        // Its length can't be trusted, but no record has length zero.
        None => has_blank(&rest[..rest.len().min(SECTOR_BYTES)], offset, LENGTH_BYTES),
    }
}

/// Whether a whole unit in `buf` is all zeros, or a part of one at its edges of at least `min` bytes.
fn has_blank(buf: &[u8], offset: u64, min: usize) -> bool {
    let to_border = SECTOR_BYTES - (offset % SECTOR_BYTES as u64) as usize;
    let (first, others) = buf.split_at(to_border.min(buf.len()));
    let is_blank = |unit: &[u8]| unit.len() >= min && unit.iter().all(|byte| *byte == 0);
    is_blank(first) || others.chunks(SECTOR_BYTES).any(is_blank)
}

/// Whether a later record says that the bytes at `offset` had been synced.
fn synced_later(rest: &[u8], offset: u64) -> bool {
    (1..rest.len()).any(|at| parse_header(&rest[at..]).is_some_and(|h| h.synced > offset))
}
