//! The durable watermark: the index up to which the log is known to be durable, in a small file of two slots that
//! are written alternately, one after each sync of the log.
//!
//! An unreadable tail of the log either never became durable, or became durable and was damaged later. The log
//! alone cannot distinguish the two; the watermark can. It is not synced with each group, as that would cost a second
//! sync, so after a power loss it may be lower than what is durable, but never higher.

use super::format::crc32c;

/// Name of the file that holds the watermark.
pub const FILE_NAME: &str = "durable";
const MAGIC: &[u8; 8] = b"FGDUR\0\0\x01";
/// An index (8 bytes) and its CRC-32C (4 bytes), both big-endian.
const SLOT_BYTES: usize = 12;
/// Length of the file.
pub const FILE_BYTES: usize = 8 + 2 * SLOT_BYTES;

/// Contents of a file with watermark 0 in both slots.
pub fn empty_file() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(encode_slot(0));
    out.extend(encode_slot(0));
    out
}

/// A slot which states that the records up to `index` are durable.
pub fn encode_slot(index: u64) -> Vec<u8> {
    let mut out = index.to_be_bytes().to_vec();
    let checksum = crc32c(&out);
    out.extend(checksum.to_be_bytes());
    out
}

/// Offset in the file of the slot that write number `write_number` goes to: even numbers use the first slot, odd
/// ones the second, so that a torn write leaves the other slot intact.
pub fn slot_offset(write_number: u64) -> u64 {
    8 + (write_number % 2) * SLOT_BYTES as u64
}

/// The highest index in an intact slot; `None` if the file has another length or format, or both slots are damaged.
pub fn decode_file(bytes: &[u8]) -> Option<u64> {
    if bytes.len() != FILE_BYTES || !bytes.starts_with(MAGIC) {
        return None;
    }
    let slots = bytes[8..].chunks(SLOT_BYTES).filter_map(|slot| {
        let index: [u8; 8] = slot[..8].try_into().ok()?;
        (slot[8..] == crc32c(&index).to_be_bytes()).then_some(u64::from_be_bytes(index))
    });
    slots.max()
}
