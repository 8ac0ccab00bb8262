//! Entries of the replicated log, and outcomes of proposals.

use crate::permit_state::PermitChange;
use crate::ruleset::{FieldError, GatewayId, Rules};
use crate::version::VersionNumber;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A new version of the rules that a client proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Identifier drawn at random by the client; a proposal that is sent again keeps it, so it is numbered only once.
    pub id: u64,
    /// The version whose rules the author edited; the proposal is rejected if a later one has been numbered since.
    pub base_version: VersionNumber,
    /// Who proposes it.
    pub author: String,
    /// Why it is proposed.
    pub reason: String,
    /// When it was proposed, in milliseconds since the Unix epoch on the author's clock.
    pub time_ms: u64,
    /// The proposed rules.
    pub rules: Rules,
}

/// An entry of the replicated log. Entries are encoded by position: the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A client proposes a version.
    Publish(Box<Proposal>),
    /// A voter attests that no unexpired lease that it granted conflicts with the version next to come into force.
    LeasesCleared {
        /// The voter that attests this.
        voter: GatewayId,
        /// The version next to come into force.
        version: VersionNumber,
    },
    /// Gateways have stored this version, or a later one, as their fallback.
    FallbackStored {
        /// The stored version.
        version: VersionNumber,
        /// The gateways that reported it.
        gateways: Vec<GatewayId>,
    },
    /// A canary reports whether it is healthy under a version.
    CanaryReport {
        /// The version on canary trial.
        version: VersionNumber,
        /// The canary.
        gateway: GatewayId,
        /// Whether the canary is healthy under the version.
        healthy: bool,
    },
    /// A version and those numbered after it are withdrawn; a new version restores the rules that were in force before.
    Withdraw {
        /// The first version to withdraw.
        version: VersionNumber,
        /// Why it is withdrawn; part of the reason of the restoring version.
        reason: String,
    },
    /// An operator states that a gateway's process has ended for good.
    Retire {
        /// The gateway whose process has ended.
        gateway: GatewayId,
    },
    /// Changes of connection permits.
    Permits(Vec<PermitChange>),
    /// Ends this configuration of voters, and begins the next; later entries of this log have no effect.
    ChangeConfiguration {
        /// The voters of the next configuration.
        voters: BTreeSet<GatewayId>,
        /// Voters that enter it with empty storage, each with the nonce that its process drew at its start.
        readmitted: BTreeMap<GatewayId, u64>,
    },
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Accepted as the version with this number, which is yet to come into force.
    Numbered(VersionNumber),
    /// Rejected: another version was numbered after the proposal's base version.
    Overtaken {
        /// The newest numbered version.
        latest: VersionNumber,
        /// The paths of the rules at which it differs from the proposal's base version.
        changed_paths: Vec<String>,
    },
    /// Rejected: its rules are invalid at these paths, or it is too large.
    Invalid(Vec<FieldError>),
    /// Rejected: it forbids what gateways may still do under fallback rules. A version that narrows the fallback rules
    /// has to be published first, and this proposal again once all gateways have stored that version as their fallback.
    BreaksFallback {
        /// The version whose fallback rules allow what the proposal forbids.
        version: VersionNumber,
        /// The gateways that may still use the fallback rules of this version or an earlier one.
        held_by: Vec<GatewayId>,
        /// The paths of the rules at which the proposal forbids it.
        conflicts: Vec<FieldError>,
    },
    /// Rejected: this many versions are kept already, since gateways may still use their fallback rules.
    TooManyVersions(usize),
}
