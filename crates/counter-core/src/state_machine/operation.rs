//! Operations on the state machine, and their records in the write-ahead log.

use frostgauge_proto::counter::Nonce;

/// A request to change the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Opens a session for a gateway's process, or continues the one that it has.
    Open {
        /// Number of the gateway.
        gateway: u16,
        /// Random identifier of the gateway's process, drawn at its start.
        incarnation: Nonce,
    },
    /// Adds an amount to a counter, which is created if it does not exist or has expired.
    Add {
        /// Number of the gateway.
        gateway: u16,
        /// Epoch of the gateway's session.
        epoch: u64,
        /// Sequence of the add within the epoch, from 1; a retry has that of the first attempt.
        seq: u64,
        /// Amount to add, sub-units.
        amount: i64,
        /// Time to live if the counter is created, milliseconds.
        ttl_ms: u32,
        /// Name of the counter.
        name: Vec<u8>,
    },
}

/// An operation applied to the state, as it is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log, from 1, without gaps.
    pub index: u64,
    /// When the operation was applied, milliseconds since 1970; never less than in the preceding record.
    pub time_ms: u64,
    /// The operation applied.
    pub operation: Operation,
    /// The resulting total of an add, or epoch of an open. A replay with a different result has diverged.
    pub result: i64,
}
