//! Frames of a connection, free of I/O.
//!
//! A frame is length (4 bytes), version (1), sequence number (8), body, MAC (16); integers are big-endian, and the
//! length counts what follows it. The MAC covers all that stands between the length and itself.

use crate::error::RejectReason;
use crate::key::{Key, MAC_BYTES};

/// Version of the frame format.
pub const FRAME_VERSION: u8 = 1;
/// Longest body accepted before the other side has shown that it knows the secret.
pub const MAX_UNAUTHENTICATED_BODY_BYTES: usize = 64;
/// Longest body: the longest message between gateways is a ruleset with its versions.
pub const MAX_BODY_BYTES: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;
/// Version and sequence number.
const HEADER_BYTES: usize = 1 + 8;

/// Writes the frames of one direction; without a key their MAC is zero.
#[derive(Debug)]
pub struct FrameWriter {
    key: Option<Key>,
    sequence: u64,
}

impl FrameWriter {
    /// A writer whose first frame has sequence number 1.
    pub fn new(key: Option<Key>) -> FrameWriter {
        FrameWriter { key, sequence: 0 }
    }

    /// Appends a frame and returns its sequence number. The other side rejects a body over [`MAX_BODY_BYTES`].
    pub fn write(&mut self, body: &[u8], out: &mut Vec<u8>) -> u64 {
        self.sequence += 1;
        let len = HEADER_BYTES + body.len() + MAC_BYTES;
        out.extend(u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes());
        let authenticated_from = out.len();
        out.push(FRAME_VERSION);
        out.extend(self.sequence.to_be_bytes());
        out.extend(body);
        let mac = self.key.as_ref().map_or([0; MAC_BYTES], |key| key.mac(&out[authenticated_from..]));
        out.extend(mac);
        self.sequence
    }
}

/// A frame read from a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Position in the order of its direction, from 1.
    pub sequence: u64,
    /// What it carries.
    pub body: &'a [u8],
    /// Bytes that it takes in the buffer.
    pub len: usize,
}

/// Reads the frames of one direction.
#[derive(Debug)]
pub struct FrameReader {
    key: Option<Key>,
    sequence: u64,
    max_body_bytes: usize,
}

impl FrameReader {
    /// A reader that expects sequence number 1 first; without a key it does not check the MAC.
    pub fn new(key: Option<Key>, max_body_bytes: usize) -> FrameReader {
        FrameReader { key, sequence: 0, max_body_bytes }
    }

    /// The first frame in the buffer; `None` while it is incomplete.
    ///
    /// # Errors
    /// Why the connection must be closed.
    pub fn read<'a>(&mut self, buf: &'a [u8]) -> Result<Option<Frame<'a>>, RejectReason> {
        let Some((len, rest)) = buf.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let len = u32::from_be_bytes(*len) as usize;
        // Checked before the frame is complete: a length alone must not make this side buffer that much.
        let min_len = HEADER_BYTES + MAC_BYTES;
        if !(min_len..=min_len + self.max_body_bytes).contains(&len) {
            return Err(RejectReason::Length);
        }
        if rest.first().is_some_and(|version| *version != FRAME_VERSION) {
            return Err(RejectReason::Version);
        }
        let Some(frame) = rest.get(..len) else { return Ok(None) };
        let (authenticated, mac) = frame.split_at(len - MAC_BYTES);
        if self.key.as_ref().is_some_and(|key| !key.verifies(authenticated, mac)) {
            return Err(RejectReason::Mac);
        }
        let sequence = u64::from_be_bytes(authenticated[1..HEADER_BYTES].try_into().unwrap_or_default());
        // The next one and no other: a path that swallowed some bytes is closed, not read on with a gap.
        if sequence != self.sequence + 1 {
            return Err(RejectReason::Replayed);
        }
        self.sequence = sequence;
        Ok(Some(Frame { sequence, body: &authenticated[HEADER_BYTES..], len: LENGTH_BYTES + len }))
    }
}
