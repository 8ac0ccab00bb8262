//! Budgets of connections at groups of servers. A policy divides them among tenants, and each tenant's share is divided
//! among gateways.
//!
//! The crate does no I/O and uses no floating point, so every process computes the same numbers. A [`Policy`] is data;
//! it is compiled once ([`CompiledPolicy`]) and verified for every combination of its conditions. Tenants' shares are
//! weighted max-min shares within floors and ceilings ([`max_min_shares`]). A [`FairRotation`] turns fractional shares
//! into whole connections, and an [`Allocator`] turns those into changes of the [`PermitLedger`]. See
//! `docs/connection-budget.md`.

mod allocator;
mod compiled_policy;
mod condition_tracker;
mod demand_meter;
mod fair_rotation;
mod gateway_permits;
mod group_allocation;
mod incarnations;
mod ledger;
mod max_min;
mod planner;
mod policy;
mod received_grants;
mod report;
mod rule_guard;
mod scope;
mod scope_state;
mod spreading;
mod tenant_class;
mod terms;
mod verification;

pub use allocator::{AllocationInput, Allocator, DemandByGroup, GroupDemand};
pub use compiled_policy::{CompiledPolicy, Inventory};
pub use condition_tracker::{ConditionTracker, Observation};
pub use demand_meter::DemandMeter;
pub use fair_rotation::FairRotation;
pub use gateway_permits::{ConnectionPermit, GatewayPermits};
pub use ledger::{LedgerError, PermitLedger};
pub use max_min::{max_min_shares, Claim, Share};
pub use planner::{plan, LedgerChange, PermitTarget};
pub use policy::{Budget, Condition, Loan, Policy, Rule, Selector, TermOverrides, MAX_CONDITIONS, MAX_RULES};
pub use received_grants::{PermitGrant, ReceivedGrants};
pub use report::{Demand, GatewayReport, MAX_REPORT_ENTRIES};
pub use rule_guard::MAX_CONDITION_COMBINATIONS;
pub use scope::{BudgetScope, Epoch, GatewayId, PermitCounts, PermitList};
pub use spreading::{fill_evenly, spread_evenly};
pub use tenant_class::TenantClass;
pub use terms::{TermSources, Terms};
pub use verification::{NameKind, PolicyError, PolicyProblem, MAX_CONNECTIONS_PER_SERVER};
