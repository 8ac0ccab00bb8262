//! One replicated record of the rules that all gateways of a fleet act under: versions, leases, connection permits. Free
//! of network I/O; time is passed in.
//!
//! A few gateways, the voters, hold the record by consensus, each as a [`Replica`]; every gateway has a [`Follower`]. A
//! follower acts under a version while it holds a lease on it from a majority of voters, and otherwise under fallback
//! rules: the part of the rules that every version still possible allows. See `docs/consensus.md` for what is promised
//! and what is not.

mod effective_rules;
mod follower;
mod log_storage;
mod message;
mod permit_issuer;
mod permit_state;
mod replica;
mod ruleset;
mod state_machine;
mod timing;
mod version;

pub use effective_rules::{fallback_violations, find_conflicts, intersect_all, EffectiveRules, TenantLimits};
pub use follower::{Follower, FollowerStats, RuleSource};
pub use log_storage::LogStorageError;
pub use message::{decode, encode, Configuration, DecodeError, LeaseRequest, LeaseResponse, Message};
pub use permit_state::{Attestation, PermitChange, PermitState};
pub use replica::{Replica, ReplicaError, ReplicaStats};
pub use ruleset::{
    changed_paths, Class, FieldError, FieldErrors, GatewayId, Plan, Rules, Server, ServerState, Tenant,
    RULES_FORMAT,
};
pub use state_machine::{Entry, Outcome, Proposal, SnapshotError, StateMachine, MAX_VERSIONS};
pub use timing::{Micros, Timing, TimingSettings};
pub use version::{Version, VersionError, VersionHash, VersionNumber, MAX_VERSION_BYTES};
