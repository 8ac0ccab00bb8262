//! Encoder and decoder of one direction of a connection.

use super::{Frame, Key, RejectReason, HEAD_BYTES, MAC_BYTES, MAX_FRAME_BYTES, VERSION};

/// Writes one direction's frames; without a key their MAC is zero.
#[derive(Debug, Default)]
pub struct FrameEncoder {
    key: Option<Key>,
    number: u64,
}

impl FrameEncoder {
    /// With a key, from the first number.
    pub fn new(key: Option<Key>) -> FrameEncoder {
        FrameEncoder { key, number: 0 }
    }

    /// Appends a frame.
    pub fn encode(&mut self, frame: &Frame, out: &mut Vec<u8>) {
        self.number += 1;
        let from = out.len();
        out.extend([0, 0, VERSION, frame.kind()]);
        out.extend(self.number.to_be_bytes());
        frame.encode_body(out);
        let mac = self.key.as_ref().map_or([0; MAC_BYTES], |key| {
            let mut mac = [0; MAC_BYTES];
            mac.copy_from_slice(&key.mac(&out[from + 2..]).as_bytes()[..MAC_BYTES]);
            mac
        });
        out.extend(mac);
        let len = (out.len() - from - 2) as u16;
        out[from..from + 2].copy_from_slice(&len.to_be_bytes());
    }
}

/// Reads one direction's frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    key: Option<Key>,
    number: u64,
}

impl FrameDecoder {
    /// With a key, from the first number.
    pub fn new(key: Option<Key>) -> FrameDecoder {
        FrameDecoder { key, number: 0 }
    }

    /// The first frame in the buffer and how many bytes it took; `None` if it is not whole yet. Numbers must
    /// grow: a frame sent again, from this connection or another, is not taken.
    ///
    /// # Errors
    /// Why the connection must be closed.
    pub fn decode(&mut self, buf: &[u8]) -> Result<Option<(Frame, usize)>, RejectReason> {
        let Some((len, rest)) = buf.split_first_chunk::<2>() else { return Ok(None) };
        let len = usize::from(u16::from_be_bytes(*len));
        if !(HEAD_BYTES + MAC_BYTES..=MAX_FRAME_BYTES).contains(&len) {
            return Err(RejectReason::Malformed);
        }
        // Checked first, so that a peer of another version need not send a whole frame to learn of it.
        if rest.first().is_some_and(|v| *v != VERSION) {
            return Err(RejectReason::UnsupportedVersion);
        }
        let Some(frame) = rest.get(..len) else { return Ok(None) };
        let (signed, mac) = frame.split_at(len - MAC_BYTES);
        if let Some(key) = &self.key {
            // In constant time: all bytes are compared, whatever the first ones are.
            let differs = key.mac(signed).as_bytes().iter().zip(mac).fold(0, |all, (a, b)| all | (a ^ b));
            if differs != 0 {
                return Err(RejectReason::InvalidMac);
            }
        }
        let number = u64::from_be_bytes(signed[2..HEAD_BYTES].try_into().unwrap_or_default());
        if number <= self.number {
            return Err(RejectReason::InvalidMac);
        }
        self.number = number;
        Frame::decode_body(signed[1], &signed[HEAD_BYTES..]).map(|f| Some((f, 2 + len)))
    }
}
