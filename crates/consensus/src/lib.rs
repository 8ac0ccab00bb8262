//! Replication of the rules that all gateways of a fleet act under. The replicated state, called the record, holds the
//! versions of the rules, the progress of their rollout, and connection permits. The crate does no network I/O and
//! reads no clock: the caller passes in messages and the current time.
//!
//! A few gateways, the voters, replicate the record by consensus, each through a [`Replica`]; every gateway runs a
//! [`Follower`]. A follower acts under a version while it holds a lease on it from a majority of voters. Without such a
//! lease it acts under the fallback rules of the version that it stored last: a version that forbids what some gateway
//! may still do under its fallback rules is rejected, so fallback rules conflict with no later version. The guarantees
//! and their limits are listed in `docs/consensus.md`.

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
