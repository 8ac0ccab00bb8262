//! Why the counter service rejects a request or closes a connection.

/// Why a request is rejected or a connection closed. The number is the wire's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum RejectReason {
    /// `RESOURCE_EXHAUSTED`: the queue is full, or its delay too long.
    ResourceExhausted = 1,
    /// The request's timeout was over before its turn.
    DeadlineExceeded = 2,
    /// The disk is full.
    DiskFull = 3,
    /// The total would pass what is exact.
    Overflow = 4,
    /// The sequence is behind the deduplication window: whether it was counted is no longer known.
    StaleSequence = 5,
    /// A later incarnation of this gateway has opened a session.
    Fenced = 6,
    /// The name is empty or too long.
    InvalidName = 7,
    /// The time to live is zero or too long.
    InvalidTtl = 8,
    /// Another process holds this gateway's number, and its lease.
    IdentityInUse = 9,
    /// The frame's body is not of its kind.
    Malformed = 10,
    /// The frame's version is not supported.
    UnsupportedVersion = 11,
    /// The frame's kind is unknown, or not one for this direction.
    UnknownKind = 12,
    /// The frame's MAC, or its number, is wrong.
    InvalidMac = 13,
    /// The service shuts down.
    ShuttingDown = 14,
    /// As many counters are kept as may be.
    TooManyCounters = 15,
}

impl RejectReason {
    const ALL: [RejectReason; 15] = [
        RejectReason::ResourceExhausted,
        RejectReason::DeadlineExceeded,
        RejectReason::DiskFull,
        RejectReason::Overflow,
        RejectReason::StaleSequence,
        RejectReason::Fenced,
        RejectReason::InvalidName,
        RejectReason::InvalidTtl,
        RejectReason::IdentityInUse,
        RejectReason::Malformed,
        RejectReason::UnsupportedVersion,
        RejectReason::UnknownKind,
        RejectReason::InvalidMac,
        RejectReason::ShuttingDown,
        RejectReason::TooManyCounters,
    ];

    /// Its label in logs, metrics and admin pages.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::ResourceExhausted => "exhausted",
            RejectReason::DeadlineExceeded => "late",
            RejectReason::DiskFull => "no-space",
            RejectReason::Overflow => "overflow",
            RejectReason::StaleSequence => "stale",
            RejectReason::Fenced => "fenced",
            RejectReason::InvalidName => "name",
            RejectReason::InvalidTtl => "life",
            RejectReason::IdentityInUse => "in-use",
            RejectReason::Malformed => "malformed",
            RejectReason::UnsupportedVersion => "version",
            RejectReason::UnknownKind => "kind",
            RejectReason::InvalidMac => "mac",
            RejectReason::ShuttingDown => "closing",
            RejectReason::TooManyCounters => "names",
        }
    }

    pub(super) fn from_byte(byte: u8) -> Option<RejectReason> {
        RejectReason::ALL.into_iter().find(|c| *c as u8 == byte)
    }
}
