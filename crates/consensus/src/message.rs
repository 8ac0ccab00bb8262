//! Messages between voters, followers and clients. They are encoded by position: the order of variants and fields is
//! fixed.

use crate::ruleset::GatewayId;
use crate::state_machine::{Entry, Outcome, Proposal};
use crate::version::{Version, VersionError, VersionNumber};
use frostgauge_connection_budget::{GatewayReport, PermitGrant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Largest size of an encoded message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A follower's request for a lease. The same request is sent to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// A random number that identifies the follower's process.
    pub incarnation: u64,
    /// The number of the request; it increases with each request of an incarnation.
    pub sequence: u64,
    /// A request sequence and a set of versions: the follower uses leases granted to requests before that sequence only
    /// for what all of these versions allow too.
    pub narrowed: Option<(u64, BTreeSet<VersionNumber>)>,
    /// The version that the follower has stored, and whose fallback rules it uses without a lease; 0: none.
    pub fallback_version: VersionNumber,
    /// The versions that the follower has.
    pub known_versions: BTreeSet<VersionNumber>,
    /// A version, and whether the gateway is healthy under it. It counts only from canaries.
    pub canary_report: Option<(VersionNumber, bool)>,
    /// The gateway's open connections and its demand for connections, if servers have budgets.
    pub permits: Option<GatewayReport>,
}

/// A voter's response to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The incarnation in the request.
    pub incarnation: u64,
    /// The sequence in the request.
    pub sequence: u64,
    /// The number of the configuration that the voter is in.
    pub configuration: u32,
    /// The voters of that configuration.
    pub voters: BTreeSet<GatewayId>,
    /// The versions of the granted lease, which allows what all of them allow; none if this voter may not grant one
    /// now.
    pub lease: Option<BTreeSet<VersionNumber>>,
    /// The fully rolled out version, which the follower is to store as its fallback.
    pub fallback_version: VersionNumber,
    /// The versions that the follower lacks, each encoded by [`Version::to_bytes`].
    pub missing_versions: Vec<Vec<u8>>,
    /// The follower's connection permits, for the term of the lease.
    pub permits: Option<PermitGrant>,
}

/// A configuration of voters, with the record at its beginning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of the configuration, from 1.
    pub number: u32,
    /// The voters of the configuration.
    pub voters: BTreeSet<GatewayId>,
    /// Voters that entered this or an earlier configuration with empty storage, each with the nonce in its
    /// [`Message::StorageLost`].
    pub readmitted: BTreeMap<GatewayId, u64>,
    /// The record at the end of the preceding configuration, encoded by
    /// [`StateMachine::to_bytes`](crate::StateMachine::to_bytes).
    pub snapshot: Vec<u8>,
}

/// A message between two gateways. Clients and operators send theirs through a gateway's admin interface.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A consensus message between two voters of the same configuration.
    Paxos {
        /// The number of the sender's configuration.
        configuration: u32,
        /// How often the sender's storage has been opened, and the number of messages it has sent since. The pairs
        /// increase in lexicographic order.
        sequence: (u64, u64),
        /// The number of entries that the sender has accepted, and the number of those that it knows to be decided.
        log_position: (u64, u64),
        /// The message of the consensus library.
        message: Box<omnipaxos::messages::Message<Entry>>,
    },
    /// The sender is still in an earlier configuration than the voter that it replies to, and needs the later one.
    OutdatedConfiguration {
        /// The number of the sender's configuration.
        configuration: u32,
    },
    /// A later configuration, which the receiver is to enter.
    Install(Box<Configuration>),
    /// The sender is a voter, and its storage is empty.
    StorageLost {
        /// A random number that identifies the sender's process.
        nonce: u64,
    },
    /// A follower requests a lease from a voter.
    LeaseRequest(LeaseRequest),
    /// A voter's response to a lease request.
    LeaseResponse(Box<LeaseResponse>),
    /// A voter notifies a follower that the record has changed, so that it requests a lease soon.
    RecordChanged,
    /// A client proposes a version.
    Propose(Box<Proposal>),
    /// A voter's reply to a proposal, once its outcome is known.
    ProposalOutcome {
        /// The identifier of the proposal.
        id: u64,
        /// Whether the proposal became a version, or why not.
        outcome: Outcome,
    },
    /// An operator withdraws a version and those numbered after it.
    Withdraw {
        /// The first version that is withdrawn.
        version: VersionNumber,
        /// Why it is withdrawn.
        reason: String,
    },
    /// An operator states that a gateway's process has ended for good.
    Retire {
        /// The gateway.
        gateway: GatewayId,
    },
    /// An operator requests a change of voters.
    ChangeVoters {
        /// The new voters.
        voters: BTreeSet<GatewayId>,
    },
}

/// Encodes a message for the peer connection.
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length of the message in bytes, which exceeds the maximum of 64 MiB.
    #[error("message of {0} bytes exceeds the maximum of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// This number of bytes follows the message.
    #[error("{0} bytes follow the end of the message")]
    TrailingBytes(usize),
    /// The bytes do not encode a message.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
}

/// Decodes what [`encode`] encoded.
///
/// # Errors
/// The bytes are not exactly one message, or exceed the maximum of 64 MiB.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    match postcard::take_from_bytes::<Message>(bytes)? {
        (message, []) => Ok(message),
        (_, rest) => Err(DecodeError::TrailingBytes(rest.len())),
    }
}

/// The versions in a response's `missing_versions`, decoded and validated.
pub(crate) fn decode_versions(
    response: &LeaseResponse,
) -> impl Iterator<Item = Result<Version, VersionError>> + '_ {
    response.missing_versions.iter().map(|bytes| Version::from_bytes(bytes))
}
