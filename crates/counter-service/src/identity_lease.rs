//! The lease of a gateway's number, which only one process may use at a time.

use async_channel::Sender;
use frostgauge_proto::counter::{Frame, Nonce};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

/// Held by the process that uses a gateway's number.
pub struct IdentityLease {
    /// Identifies the process.
    pub incarnation: Nonce,
    /// When its last frame was received, milliseconds since 1970. The lease runs out after `limits.lease_ms` without one.
    pub last_frame_ms: Arc<AtomicU64>,
    /// Frames to send on its connection; closed when another connection takes over the lease.
    pub replies: Sender<Frame>,
}
