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
//! All numbers are little-endian. The synced length distinguishes a torn write from damage: an
//! unreadable record counts as torn only if no later record states that it had been synced.

/// Size of a record's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 20;
/// Unit in which a disk writes: a torn write leaves whole sectors unwritten, in bytes.
const SECTOR_BYTES: usize = 512;
/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Shortest run of zeros at either end of a record that counts as unwritten, in bytes.
const UNWRITTEN_BYTES_MIN: usize = 16;

/// How the readable records of a file end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScanEnd {
    /// At the end of the file.
    Clean,
    /// At a record that was being written when the process or host stopped.
    Torn,
    /// At a record that was synced and has changed since.
    Damaged,
}

/// The readable records of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordScan<'a> {
    /// Payloads of the records.
    pub payloads: Vec<&'a [u8]>,
    /// Length of the file up to the end of the last readable record, in bytes.
    pub valid_len: u64,
    /// What follows that record.
    pub end: ScanEnd,
}

struct RecordHeader {
    len: usize,
    synced: u64,
    payload_crc: u32,
}

/// Appends a record with `payload` to `buf`; `synced` is the synced length of the file, in bytes.
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

/// Reads the records of a file up to the first unreadable one.
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
    let u32_at = |at: usize| u32::from_le_bytes(header[at..at + 4].try_into().expect("four bytes"));
    if crc32fast::hash(&header[..16]) != u32_at(16) {
        return None;
    }
    let synced = u64::from_le_bytes(header[4..12].try_into().expect("eight bytes"));
    Some(RecordHeader {
        len: u32_at(0) as usize,
        synced,
        payload_crc: u32_at(12),
    })
}

/// Classifies the unreadable `rest` of a file, which starts at `offset`.
fn scan_end(rest: &[u8], offset: u64) -> ScanEnd {
    if rest.is_empty() {
        return ScanEnd::Clean;
    }
    if is_torn(rest, offset) && !was_synced(rest, offset) {
        ScanEnd::Torn
    } else {
        ScanEnd::Damaged
    }
}

/// Returns whether the first record of `rest` was partly written: it extends past the end of the
/// file, or contains a sector that was never written and reads as zeros.
fn is_torn(rest: &[u8], offset: u64) -> bool {
    match parse_header(rest) {
        Some(header) => match rest.get(..HEADER_BYTES + header.len) {
            Some(record) => has_unwritten(record, offset, UNWRITTEN_BYTES_MIN),
            None => true,
        },
        None if rest.len() < HEADER_BYTES => true,
        // The length can't be trusted, but it is never zero in a header that was written.
        None => has_unwritten(&rest[..rest.len().min(SECTOR_BYTES)], offset, LENGTH_BYTES),
    }
}

/// Returns whether `buf`, which starts at `offset` in the file, contains an all-zero sector, or an
/// all-zero part of a sector of at least `min` bytes at either end.
fn has_unwritten(buf: &[u8], offset: u64, min: usize) -> bool {
    let to_boundary = SECTOR_BYTES - (offset % SECTOR_BYTES as u64) as usize;
    let (first, others) = buf.split_at(to_boundary.min(buf.len()));
    let is_unwritten = |part: &[u8]| part.len() >= min && part.iter().all(|byte| *byte == 0);
    is_unwritten(first) || others.chunks(SECTOR_BYTES).any(is_unwritten)
}

/// Returns whether a later record states that the bytes at `offset` had been synced.
fn was_synced(rest: &[u8], offset: u64) -> bool {
    (1..rest.len()).any(|at| parse_header(&rest[at..]).is_some_and(|h| h.synced > offset))
}
