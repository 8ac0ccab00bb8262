//! The scopes in which open connections are limited, and the permit counts of a gateway at a scope.

use crate::tenant_class::TenantClass;
use serde::{Deserialize, Serialize};

/// The number that identifies a gateway; replicas are numbered by the same type.
pub type GatewayId = u16;
/// Number of a change of permits in the ledger. Of two grants, the one with the lower epoch is the older.
pub type Epoch = u64;
/// Permits of one gateway, by scope.
pub type PermitList = Vec<(BudgetScope, PermitCounts)>;

/// A set of connections whose number is limited. Each connection counts against two scopes: its server, and the tenant
/// class that it serves at the server's group. Stored by position: variants must not move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetScope {
    /// All connections to the server of this name.
    Server(String),
    /// All connections of a tenant class to a group of servers; the string is the name of the group's budget.
    Tenant(String, TenantClass),
}

impl BudgetScope {
    /// The scope of a server, by its name.
    pub fn server(name: &str) -> BudgetScope {
        BudgetScope::Server(name.to_owned())
    }

    /// The scope of a tenant class at a group, by the name of the group's budget.
    pub fn tenant(group: &str, tenant_class: &TenantClass) -> BudgetScope {
        BudgetScope::Tenant(group.to_owned(), tenant_class.clone())
    }
}

/// Permits of one gateway at one scope. Stored by position: fields must not move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitCounts {
    /// Permits that count against the scope's capacity: the gateway may still have that many connections open. It
    /// becomes less only when the gateway acknowledges a recall, its lease expires or its process ends.
    pub held: u32,
    /// Connections that the gateway may keep open; fewer than `held` while permits are being recalled, never more.
    pub target: u32,
    /// Connections that the gateway may keep open even without a lease. Once it knows of a recall, it uses no more of
    /// them than `target`. Until it has acknowledged the recall they are granted to no other gateway, since a gateway
    /// that is cut off does not learn of recalls.
    pub fallback: u32,
}

impl PermitCounts {
    /// Whether the gateway has not yet acknowledged a recall of some of these permits.
    pub fn is_being_recalled(&self) -> bool {
        self.target < self.held || self.fallback > self.target
    }
}
