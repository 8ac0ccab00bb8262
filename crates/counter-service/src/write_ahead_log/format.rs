//! Encoding of a log segment: a header, then groups of records. Each group is written and synced as a unit.
//!
//! Field sizes are in bytes. All integers are big-endian, and each checksum is a CRC-32C.
//!
//! - Segment header: magic (8, its last byte is the format version), index of the first record (8), checksum of the
//!   fields before it (4).
//! - Group header: magic (4), index of the first record (8), number of records (4), length of the records (4),
//!   checksum of the fields before it (4).
//! - Record: length of what follows the checksum (2), checksum of that (4), index (8), time in milliseconds since
//!   1970 (8), result (8), kind (1), fields of that kind.

use crc::{Crc, Table, CRC_32_ISCSI};
use frostgauge_counter_core::{Operation, Record};

const CRC: Crc<u32, Table<16>> = Crc::<u32, Table<16>>::new(&CRC_32_ISCSI);
/// First bytes of a segment; the last one is the version of the format.
pub const SEGMENT_MAGIC: &[u8; 8] = b"FGCLOG\0\x01";
/// Length of a segment header.
pub const SEGMENT_HEADER_BYTES: usize = 8 + 8 + 4;
const GROUP_MAGIC: &[u8; 4] = b"FGgr";
/// Length of a group header.
pub const GROUP_HEADER_BYTES: usize = 4 + 8 + 4 + 4 + 4;
const RECORD_HEADER_BYTES: usize = 2 + 4;

/// The CRC-32C checksum that log segments and the watermark file use.
pub fn crc32c(bytes: &[u8]) -> u32 {
    CRC.checksum(bytes)
}

fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.get(offset..offset + 8)?.try_into().ok()?))
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
}

/// The header of a segment whose first record has index `first_index`.
pub fn encode_segment_header(first_index: u64) -> Vec<u8> {
    let mut out = SEGMENT_MAGIC.to_vec();
    out.extend(first_index.to_be_bytes());
    let checksum = crc32c(&out);
    out.extend(checksum.to_be_bytes());
    out
}

/// Returns the index of the first record, as stated in the segment header at the start of `bytes`.
///
/// # Errors
/// `Err(true)`: the checksum is right, but the magic or the version is not the one this build reads.
/// `Err(false)`: the header is cut short or damaged.
pub fn decode_segment_header(bytes: &[u8]) -> Result<u64, bool> {
    let Some(header) = bytes.get(..SEGMENT_HEADER_BYTES) else { return Err(false) };
    if read_u32(header, 16) == Some(crc32c(&header[..16])) {
        return if header.starts_with(SEGMENT_MAGIC) { read_u64(header, 8).ok_or(false) } else { Err(true) };
    }
    Err(false)
}

fn encode_record(record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend([0; RECORD_HEADER_BYTES]);
    out.extend(record.index.to_be_bytes());
    out.extend(record.time_ms.to_be_bytes());
    out.extend(record.result.to_be_bytes());
    match &record.operation {
        Operation::Open { gateway, incarnation } => {
            out.push(1);
            out.extend(gateway.to_be_bytes());
            out.extend(incarnation);
        }
        Operation::Add { gateway, epoch, seq, amount, ttl_ms, name } => {
            out.push(2);
            out.extend(gateway.to_be_bytes());
            out.extend(epoch.to_be_bytes());
            out.extend(seq.to_be_bytes());
            out.extend(amount.to_be_bytes());
            out.extend(ttl_ms.to_be_bytes());
            out.push(name.len() as u8);
            out.extend(name);
        }
    }
    let len = (out.len() - start - RECORD_HEADER_BYTES) as u16;
    let checksum = crc32c(&out[start + RECORD_HEADER_BYTES..]);
    out[start..start + 2].copy_from_slice(&len.to_be_bytes());
    out[start + 2..start + RECORD_HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
}

/// Appends a group with these records to `out`. `records` must not be empty, and their indexes must be consecutive.
pub fn encode_group(records: &[Record], out: &mut Vec<u8>) {
    let start = out.len();
    out.extend(GROUP_MAGIC);
    out.extend(records.first().map_or(0, |r| r.index).to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    out.extend([0; 8]);
    records.iter().for_each(|record| encode_record(record, out));
    let len = (out.len() - start - GROUP_HEADER_BYTES) as u32;
    out[start + 16..start + 20].copy_from_slice(&len.to_be_bytes());
    let checksum = crc32c(&out[start..start + 20]);
    out[start + 20..start + GROUP_HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
}

/// Why a group cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidGroup {
    /// Where the fault was found, in bytes from the start of the segment.
    pub offset: usize,
    /// What is wrong there.
    pub reason: &'static str,
}

fn decode_operation(kind: u8, fields: &[u8]) -> Option<Operation> {
    let gateway = u16::from_be_bytes(fields.get(..2)?.try_into().ok()?);
    match kind {
        1 if fields.len() == 18 => {
            Some(Operation::Open { gateway, incarnation: fields[2..].try_into().ok()? })
        }
        2 => {
            let name_len = usize::from(*fields.get(30)?);
            let name = fields.get(31..31 + name_len).filter(|_| fields.len() == 31 + name_len)?.to_vec();
            let (epoch, seq, amount) =
                (read_u64(fields, 2)?, read_u64(fields, 10)?, read_u64(fields, 18)? as i64);
            Some(Operation::Add { gateway, epoch, seq, amount, ttl_ms: read_u32(fields, 26)?, name })
        }
        _ => None,
    }
}

/// Decodes the group that starts at `start`; returns its records and the offset at which the next group starts.
///
/// # Errors
/// The group is incomplete or damaged: the first fault in it, and its offset.
pub fn decode_group(bytes: &[u8], start: usize) -> Result<(Vec<Record>, usize), InvalidGroup> {
    let invalid = |offset, reason| Err(InvalidGroup { offset, reason });
    let Some(header) = bytes.get(start..start + GROUP_HEADER_BYTES) else {
        return invalid(start, "group header is cut short");
    };
    if !header.starts_with(GROUP_MAGIC) || read_u32(header, 20) != Some(crc32c(&header[..20])) {
        return invalid(start, "group header has a wrong magic or checksum");
    }
    let (first_index, count, len) = (
        read_u64(header, 4).unwrap_or(0),
        read_u32(header, 12).unwrap_or(0),
        read_u32(header, 16).unwrap_or(0),
    );
    let end = start + GROUP_HEADER_BYTES + len as usize;
    let (mut records, mut offset) = (vec![], start + GROUP_HEADER_BYTES);
    for k in 0..u64::from(count) {
        let Some(record_header) = bytes.get(offset..offset + RECORD_HEADER_BYTES) else {
            return invalid(offset, "record header is cut short");
        };
        let body_start = offset + RECORD_HEADER_BYTES;
        let body_end = body_start + usize::from(u16::from_be_bytes([record_header[0], record_header[1]]));
        let Some(body) = bytes.get(body_start..body_end).filter(|_| body_end <= end) else {
            return invalid(offset, "record is cut short, or longer than its group");
        };
        if read_u32(record_header, 2) != Some(crc32c(body)) {
            return invalid(offset, "record has a wrong checksum");
        }
        let decoded = (|| {
            let operation = decode_operation(*body.get(24)?, &body[25..])?;
            let (index, time_ms, result) =
                (read_u64(body, 0)?, read_u64(body, 8)?, read_u64(body, 16)? as i64);
            Some(Record { index, time_ms, operation, result })
        })();
        let Some(record) = decoded.filter(|r| r.index == first_index + k) else {
            return invalid(offset, "record has an unknown kind, malformed fields or an unexpected index");
        };
        records.push(record);
        offset = body_end;
    }
    if offset != end {
        return invalid(offset, "group header states a greater length than its records have");
    }
    Ok((records, end))
}

/// Finds the first offset, `start` or later, at which a complete group with records past `index` starts. The group
/// before such a one was durable: a group is written only after the previous one is synced.
pub fn find_later_group(bytes: &[u8], start: usize, index: u64) -> Option<usize> {
    (start..bytes.len().saturating_sub(GROUP_HEADER_BYTES)).find(|offset| {
        bytes[*offset..].starts_with(GROUP_MAGIC)
            && decode_group(bytes, *offset)
                .is_ok_and(|(records, _)| records.first().is_some_and(|first| first.index > index))
    })
}
