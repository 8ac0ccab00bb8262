//! Attempts at servers, probes of them, and the connections for both.

mod attempt;
mod budgeted_pool;

pub use attempt::{attempt, probe, AttemptOutcome, Forward, OutgoingRequest, NOT_RUN_FIELD};
pub use budgeted_pool::{
    BudgetedPath, BudgetedPool, HeldPermit, PermittedConnection, PoolBounds, RulesAccess,
};
