//! How far the log is known to be durable: a small file of two slots, written in turn after each sync.
//!
//! A tail that does not read may be one that never became durable, or one that did and was damaged since.
//! The log alone cannot tell; this file can. It is not synced with each group (that would cost a second sync),
//! so after a loss of power it may tell of less than is durable, never of more.

use super::format::crc32c;

/// Its name.
pub const NAME: &str = "durable";
const MAGIC: &[u8; 8] = b"FGDUR\0\0\x01";
const SLOT: usize = 12;
/// Bytes of the file.
pub const LEN: usize = 8 + 2 * SLOT;

/// The file with nothing claimed.
pub fn empty() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(slot(0));
    out.extend(slot(0));
    out
}

/// A slot that claims all up to an index.
pub fn slot(index: u64) -> Vec<u8> {
    let mut out = index.to_be_bytes().to_vec();
    let sum = crc32c(&out);
    out.extend(sum.to_be_bytes());
    out
}

/// Where the slot for a turn is.
pub fn place(turn: u64) -> u64 {
    8 + (turn % 2) * SLOT as u64
}

/// The highest index claimed; `None` if the file is of another format or both slots are damaged.
pub fn read(bytes: &[u8]) -> Option<u64> {
    if bytes.len() != LEN || !bytes.starts_with(MAGIC) {
        return None;
    }
    let slots = bytes[8..].chunks(SLOT).filter_map(|s| {
        let index: [u8; 8] = s[..8].try_into().ok()?;
        (s[8..] == crc32c(&index).to_be_bytes()).then_some(u64::from_be_bytes(index))
    });
    slots.max()
}
