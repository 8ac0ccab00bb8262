//! Frames between gateways and the counter service: `docs/counter-protocol.md` is their specification.
//!
//! A frame is length (2), version (1), kind (1), number (8), body, MAC (16); whole numbers with the high byte
//! first; the length counts what follows it.

mod codec;
mod frame;
mod key;
mod reject_reason;

pub use codec::{FrameDecoder, FrameEncoder};
pub use frame::Frame;
pub use key::Key;
pub use reject_reason::RejectReason;

/// Version of the frames.
pub const VERSION: u8 = 1;
/// Longest name of a counter, bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest frame, bytes after its length.
pub const MAX_FRAME_BYTES: usize = 192;
/// Longest time to live of a counter, milliseconds: a day.
pub const MAX_TTL_MS: u32 = 86_400_000;
const HEAD_BYTES: usize = 1 + 1 + 8;
const MAC_BYTES: usize = 16;

/// Identifies a gateway's process or a connection; drawn at random.
pub type Nonce = [u8; 16];
