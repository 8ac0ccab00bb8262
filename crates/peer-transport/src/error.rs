//! Why connections end.

use thiserror::Error;

/// Why a connection is closed: what it brought cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RejectReason {
    /// A length that no frame has at this point.
    #[error("frame length out of range")]
    Length,
    /// Frames of another version.
    #[error("unsupported frame version")]
    Version,
    /// The MAC was not made with the fleet's secret.
    #[error("wrong MAC")]
    Mac,
    /// A sequence number other than the next one.
    #[error("sequence number out of order")]
    Replayed,
    /// A handshake or acknowledgement that cannot be read.
    #[error("malformed handshake or acknowledgement")]
    Malformed,
    /// A gateway that is not of the fleet, or takes this one for another.
    #[error("unknown gateway")]
    Stranger,
}

impl RejectReason {
    /// The value of the `why` label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::Length => "length",
            RejectReason::Version => "version",
            RejectReason::Mac => "mac",
            RejectReason::Replayed => "replayed",
            RejectReason::Malformed => "malformed",
            RejectReason::Stranger => "stranger",
        }
    }
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, Error)]
pub(crate) enum ConnectionError {
    /// The stream ended or failed, or took too long.
    #[error("connection lost or timed out")]
    Lost,
    /// It brought what cannot be trusted.
    #[error("rejected: {0}")]
    Rejected(#[from] RejectReason),
}
