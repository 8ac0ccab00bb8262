//! The fleet agent: the part of a gateway that obtains the rules agreed on by the fleet and checks requests against them.
//!
//! A [`Process`] holds the gateway's follower, and its replica if the gateway is a voter; [`task`] runs a process on a
//! thread of the gateway. The [`AttemptGuard`] checks each attempt against the rules right before it is sent.

mod attempt_guard;
pub mod budget_shares;
mod canary;
mod error;
mod health_confirmation;
mod permits;
mod process;
mod quota;
mod rejection;
mod replica_host;
mod rules_view;
pub mod task;
mod view_cache;

pub use attempt_guard::AttemptGuard;
pub use canary::{CanaryObserver, CanaryVerdict, MIN_VERDICT_ATTEMPTS};
pub use error::AgentError;
pub use frostgauge_connection_budget::ConnectionPermit;
pub use health_confirmation::{HealthConfirmations, MAX_TRACKED_SERVERS};
pub use process::{Authorization, Process, ProcessConfig, ProposalOutcome, Transport};
pub use rejection::AttemptRejection;
pub use rules_view::{IndexedRules, LeasedRules, RulesView};
