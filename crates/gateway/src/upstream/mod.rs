//! Attempts at servers, probes of servers, and the pool with connection budgets that both use.

mod attempt;
mod budgeted_pool;

pub use attempt::{attempt, probe, AttemptOutcome, Forward, OutgoingRequest, NOT_RUN_FIELD};
pub use budgeted_pool::{
    BudgetedPath, BudgetedPool, HeldPermit, PermittedConnection, PoolBounds, RulesAccess,
};
