//! Transport between the gateways of a fleet: authenticated connections that carry messages at most once.
//!
//! Each ordered pair of gateways has a connection of its own, opened by the one that has something to send. Messages
//! may be lost (a full queue, a failed connection), but those of one connection are never duplicated or reordered, and
//! each arrives with the authenticated id of its sender. Everything is bounded: queues in messages and bytes,
//! connections in number, waits in time.

mod error;
mod frame;
mod handshake;
mod inbound;
mod key;
mod outbound;
mod stream;
mod transport;

pub use error::RejectReason;
pub use frame::{
    Frame, FrameReader, FrameWriter, FRAME_VERSION, MAX_BODY_BYTES, MAX_UNAUTHENTICATED_BODY_BYTES,
};
pub use handshake::Hello;
pub use key::{Key, Nonce};
pub use outbound::PeerStats;
pub use transport::{Config, PeerMessage, PeerTransport};
