//! Messages between voters, followers and clients. They are encoded by position: the order of fields and variants is
//! fixed.

use crate::ruleset::GatewayId;
use crate::state_machine::{Entry, Outcome, Proposal};
use crate::version::{Version, VersionError, VersionNumber};
use frostgauge_connection_budget::{GatewayReport, PermitGrant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Largest size of an encoded message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A follower's request for a lease, sent to all voters alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Drawn at the follower's start.
    pub incarnation: u64,
    /// Grows with each request of an incarnation.
    pub sequence: u64,
    /// Leases of requests before this sequence are used only within these versions from now on.
    pub narrowed: Option<(u64, BTreeSet<VersionNumber>)>,
    /// The stored version whose fallback rules it uses without a lease; 0: none.
    pub fallback_version: VersionNumber,
    /// The versions it knows.
    pub known_versions: BTreeSet<VersionNumber>,
    /// Of a canary: whether it is healthy under a version.
    pub canary_report: Option<(VersionNumber, bool)>,
    /// What it has open and has demand for, where servers have budgets.
    pub permits: Option<GatewayReport>,
}

/// A voter's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Of the request.
    pub incarnation: u64,
    /// Of the request.
    pub sequence: u64,
    /// The number of the voters' configuration.
    pub configuration: u32,
    /// The voters of that configuration.
    pub voters: BTreeSet<GatewayId>,
    /// A lease on what all of these versions allow; none, if this voter may not grant one now.
    pub lease: Option<BTreeSet<VersionNumber>>,
    /// The version that is rolled out, to be stored as the fallback.
    pub fallback_version: VersionNumber,
    /// Versions that the follower lacks, as [`Version::to_bytes`].
    pub missing_versions: Vec<Vec<u8>>,
    /// The follower's connection permits, for the term of the lease.
    pub permits: Option<PermitGrant>,
}

/// What a configuration of voters begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number, from 1.
    pub number: u32,
    /// Its voters.
    pub voters: BTreeSet<GatewayId>,
    /// Voters that entered this or an earlier one with empty storage, by the nonce that each then drew.
    pub readmitted: BTreeMap<GatewayId, u64>,
    /// The record as it was agreed on before, as [`StateMachine::to_bytes`](crate::StateMachine::to_bytes).
    pub snapshot: Vec<u8>,
}

/// A message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Between voters of one configuration.
    Paxos {
        /// The number of the configuration.
        configuration: u32,
        /// How often the sender's storage was opened, and its messages since: lexicographically they only grow.
        sequence: (u64, u64),
        /// Entries that the sender has accepted, and those it knows to be decided.
        log_position: (u64, u64),
        /// The consensus library's own message.
        message: Box<omnipaxos::messages::Message<Entry>>,
    },
    /// The sender is still in an earlier configuration than the voter that it replies to, and needs the later one.
    OutdatedConfiguration {
        /// The number of the sender's configuration.
        configuration: u32,
    },
    /// What a later configuration began with.
    Install(Box<Configuration>),
    /// From a voter whose storage is empty.
    StorageLost {
        /// Drawn at its start.
        nonce: u64,
    },
    /// A follower's request.
    LeaseRequest(LeaseRequest),
    /// A voter's response.
    LeaseResponse(Box<LeaseResponse>),
    /// The record has changed: request a lease.
    RecordChanged,
    /// A client's proposal.
    Propose(Box<Proposal>),
    /// What became of it.
    ProposalOutcome {
        /// The identifier of the proposal.
        id: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// An operator withdraws a version and those numbered after it.
    Withdraw {
        /// The version.
        version: VersionNumber,
        /// Why it is withdrawn.
        reason: String,
    },
    /// An operator states that a gateway's process has ended for good.
    Retire {
        /// The gateway.
        gateway: GatewayId,
    },
    /// An operator requests other voters.
    ChangeVoters {
        /// The new voters.
        voters: BTreeSet<GatewayId>,
    },
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// They are longer than any message.
    #[error("a message of {0} bytes, {MAX_MESSAGE_BYTES} at most")]
    TooLong(usize),
    /// So many bytes follow the message.
    #[error("{0} bytes too many")]
    TrailingBytes(usize),
    /// They do not encode a message.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
}

/// Decodes what [`encode`] encoded.
///
/// # Errors
/// The bytes are no message, or too long.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    match postcard::take_from_bytes::<Message>(bytes)? {
        (message, []) => Ok(message),
        (_, rest) => Err(DecodeError::TrailingBytes(rest.len())),
    }
}

/// The versions that a response brings, decoded and validated.
pub(crate) fn decode_versions(
    response: &LeaseResponse,
) -> impl Iterator<Item = Result<Version, VersionError>> + '_ {
    response.missing_versions.iter().map(|bytes| Version::from_bytes(bytes))
}
