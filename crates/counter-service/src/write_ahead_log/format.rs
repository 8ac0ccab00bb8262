//! Bytes of a segment: a head, then groups, each written and synced as one.
//!
//! Segment: magic (8, its last byte the version), first index (8), CRC (4). Group: magic (4), first index (8),
//! records (4), bytes of them (4), CRC of that (4). Record: bytes after the CRC (2), CRC (4), index (8), time (8),
//! gave (8), kind (1), fields. CRC-32C; whole numbers with the high byte first.

use crc::{Crc, Table, CRC_32_ISCSI};
use frostgauge_counter_core::{Operation, Record};

const CRC: Crc<u32, Table<16>> = Crc::<u32, Table<16>>::new(&CRC_32_ISCSI);
/// First bytes of a segment; the last is the version of the format.
pub const SEGMENT_MAGIC: &[u8; 8] = b"FGCLOG\0\x01";
/// Bytes of a segment's head.
pub const SEGMENT_HEADER_BYTES: usize = 8 + 8 + 4;
const GROUP_MAGIC: &[u8; 4] = b"FGgr";
/// Bytes of a group's head.
pub const GROUP_HEADER_BYTES: usize = 4 + 8 + 4 + 4 + 4;
const RECORD_HEADER_BYTES: usize = 2 + 4;

/// A checksum, as in all files of the counter.
pub fn crc32c(bytes: &[u8]) -> u32 {
    CRC.checksum(bytes)
}

fn word(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

fn half(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// A segment's head.
pub fn encode_segment_header(first: u64) -> Vec<u8> {
    let mut out = SEGMENT_MAGIC.to_vec();
    out.extend(first.to_be_bytes());
    let sum = crc32c(&out);
    out.extend(sum.to_be_bytes());
    out
}

/// The first index that a segment's head tells; `Err(true)`: it is of another format.
pub fn decode_segment_header(bytes: &[u8]) -> Result<u64, bool> {
    let Some(head) = bytes.get(..SEGMENT_HEADER_BYTES) else { return Err(false) };
    if half(head, 16) == Some(crc32c(&head[..16])) {
        return if head.starts_with(SEGMENT_MAGIC) { word(head, 8).ok_or(false) } else { Err(true) };
    }
    Err(false)
}

fn put_record(record: &Record, out: &mut Vec<u8>) {
    let from = out.len();
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
    let len = (out.len() - from - RECORD_HEADER_BYTES) as u16;
    let sum = crc32c(&out[from + RECORD_HEADER_BYTES..]);
    out[from..from + 2].copy_from_slice(&len.to_be_bytes());
    out[from + 2..from + RECORD_HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
}

/// Appends a group; there must be a record.
pub fn encode_group(records: &[Record], out: &mut Vec<u8>) {
    let from = out.len();
    out.extend(GROUP_MAGIC);
    out.extend(records.first().map_or(0, |r| r.index).to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    out.extend([0; 8]);
    records.iter().for_each(|record| put_record(record, out));
    let len = (out.len() - from - GROUP_HEADER_BYTES) as u32;
    out[from + 16..from + 20].copy_from_slice(&len.to_be_bytes());
    let sum = crc32c(&out[from..from + 20]);
    out[from + 20..from + GROUP_HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
}

/// Why a group cannot be read: where, from the start given, and what is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidGroup {
    /// Bytes from the start.
    pub offset: usize,
    /// What.
    pub reason: &'static str,
}

fn read_op(kind: u8, f: &[u8]) -> Option<Operation> {
    let gateway = u16::from_be_bytes(f.get(..2)?.try_into().ok()?);
    match kind {
        1 if f.len() == 18 => Some(Operation::Open { gateway, incarnation: f[2..].try_into().ok()? }),
        2 => {
            let len = usize::from(*f.get(30)?);
            let name = f.get(31..31 + len).filter(|_| f.len() == 31 + len)?.to_vec();
            let (epoch, seq, amount) = (word(f, 2)?, word(f, 10)?, word(f, 18)? as i64);
            Some(Operation::Add { gateway, epoch, seq, amount, ttl_ms: half(f, 26)?, name })
        }
        _ => None,
    }
}

/// Reads the group at `at`; its records and where the next begins.
///
/// # Errors
/// What is wrong with it, and where.
pub fn decode_group(bytes: &[u8], at: usize) -> Result<(Vec<Record>, usize), InvalidGroup> {
    let bad = |offset, reason| Err(InvalidGroup { offset, reason });
    let Some(head) = bytes.get(at..at + GROUP_HEADER_BYTES) else {
        return bad(at, "the head of a group is cut off");
    };
    if !head.starts_with(GROUP_MAGIC) || half(head, 20) != Some(crc32c(&head[..20])) {
        return bad(at, "the head of a group does not fit its checksum");
    }
    let (first, count, len) =
        (word(head, 4).unwrap_or(0), half(head, 12).unwrap_or(0), half(head, 16).unwrap_or(0));
    let end = at + GROUP_HEADER_BYTES + len as usize;
    let (mut records, mut place) = (vec![], at + GROUP_HEADER_BYTES);
    for k in 0..u64::from(count) {
        let Some(head) = bytes.get(place..place + RECORD_HEADER_BYTES) else {
            return bad(place, "a record is cut off");
        };
        let body = place + RECORD_HEADER_BYTES;
        let to = body + usize::from(u16::from_be_bytes([head[0], head[1]]));
        let Some(record) = bytes.get(body..to).filter(|_| to <= end) else {
            return bad(place, "a record is cut off");
        };
        if half(head, 2) != Some(crc32c(record)) {
            return bad(place, "a record does not fit its checksum");
        }
        let fields = (|| {
            let operation = read_op(*record.get(24)?, &record[25..])?;
            let (index, time_ms, result) = (word(record, 0)?, word(record, 8)?, word(record, 16)? as i64);
            Some(Record { index, time_ms, operation, result })
        })();
        let Some(record) = fields.filter(|r| r.index == first + k) else {
            return bad(place, "a record is of no known kind, or out of its place");
        };
        records.push(record);
        place = to;
    }
    if place != end {
        return bad(place, "a group is longer than its records");
    }
    Ok((records, end))
}

/// Whether a whole group with records past `index` begins anywhere from `from` on: what was written after it
/// was written once it was durable.
pub fn find_later_group(bytes: &[u8], from: usize, index: u64) -> Option<usize> {
    (from..bytes.len().saturating_sub(GROUP_HEADER_BYTES)).find(|at| {
        bytes[*at..].starts_with(GROUP_MAGIC)
            && decode_group(bytes, *at).is_ok_and(|(r, _)| r.first().is_some_and(|r| r.index > index))
    })
}
