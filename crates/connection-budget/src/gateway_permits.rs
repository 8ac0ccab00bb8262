//! A gateway's side of the ledger: whether a connection may be opened now, which have to be closed, what is released.
//!
//! A connection counts from before it is opened until it is known to be closed at the server too: one that was closed
//! only here may still be held there. Counted so, what is reported is never less than what the server holds.

use crate::received_grants::ReceivedGrants;
use crate::report::{GatewayReport, MAX_REPORT_ENTRIES};
use crate::scope::BudgetScope;
use crate::tenant_class::TenantClass;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a connection counts against.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionPermit {
    /// The server, by name.
    pub server: String,
    /// The budget's name; empty where there is none.
    pub group: String,
    /// Whose it is.
    pub tenant_class: TenantClass,
    /// Whether it takes a permit of the budget.
    pub budgeted: bool,
}

impl ConnectionPermit {
    /// The server and the tenant at its group.
    pub fn scopes(&self) -> [BudgetScope; 2] {
        [BudgetScope::server(&self.server), BudgetScope::tenant(&self.group, &self.tenant_class)]
    }

    /// Whether it counts against a scope.
    pub fn counts_against(&self, scope: &BudgetScope) -> bool {
        match scope {
            BudgetScope::Server(server) => *server == self.server,
            BudgetScope::Tenant(group, tenant_class) => {
                *group == self.group && *tenant_class == self.tenant_class
            }
        }
    }
}

/// The permits of a gateway, and its open connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayPermits {
    grants: Arc<ReceivedGrants>,
    open: BTreeMap<BudgetScope, u32>,
    draining: bool,
}

impl GatewayPermits {
    /// Sets what the replicas have granted. Must happen before the gateway reports that it knows of it.
    pub fn set_grants(&mut self, grants: Arc<ReceivedGrants>) {
        self.grants = grants;
    }

    /// The process is about to end: from now on no connection may be open.
    pub fn begin_drain(&mut self) {
        self.draining = true;
    }

    /// How many connections may be open at a scope now.
    pub fn allowed(&self, now: u64, scope: &BudgetScope) -> u32 {
        if self.draining {
            return 0;
        }
        self.grants.allowed(now, scope)
    }

    /// Tenants that may open another connection at a group now.
    pub fn tenants_with_room<'a>(
        &'a self,
        now: u64,
        group: &'a str,
    ) -> impl Iterator<Item = &'a TenantClass> {
        self.grants.newest_permits().filter_map(move |(scope, _)| match scope {
            BudgetScope::Tenant(of, tenant_class) if of == group && self.has_room(now, scope) => {
                Some(tenant_class)
            }
            _ => None,
        })
    }

    fn has_room(&self, now: u64, scope: &BudgetScope) -> bool {
        self.open_count(scope) < self.allowed(now, scope)
    }

    fn is_within(&self, now: u64, scope: &BudgetScope) -> bool {
        self.open_count(scope) <= self.allowed(now, scope)
    }

    fn count(&mut self, permit: &ConnectionPermit) {
        for scope in permit.scopes() {
            *self.open.entry(scope).or_default() += 1;
        }
    }

    /// Opens a connection, if it may be opened: it counts from now on. One that takes no permit counts all the same, so
    /// that the number is known when a budget begins.
    pub fn try_open(&mut self, now: u64, permit: &ConnectionPermit) -> bool {
        let may = !permit.budgeted || permit.scopes().iter().all(|scope| self.has_room(now, scope));
        if may {
            self.count(permit);
        }
        may
    }

    /// Whether an open connection may get a request: not while there are too many, some of which have to be closed.
    pub fn may_use(&self, now: u64, permit: &ConnectionPermit) -> bool {
        !permit.budgeted || permit.scopes().iter().all(|scope| self.is_within(now, scope))
    }

    /// Lets an idle connection count against another tenant from now on, if it may.
    pub fn transfer(&mut self, now: u64, from: &ConnectionPermit, to: &ConnectionPermit) -> bool {
        let [server, tenant] = to.scopes();
        let fits = !to.budgeted || self.has_room(now, &tenant) && self.is_within(now, &server);
        let may = from.server == to.server && fits;
        if may {
            self.release(from);
            self.count(to);
        }
        may
    }

    /// A connection is known to be closed at the server too, or was refused by it, or the server's own idle limit has
    /// passed since anything was sent on it.
    pub fn release(&mut self, permit: &ConnectionPermit) {
        for scope in permit.scopes() {
            if let Some(open) = self.open.get_mut(&scope) {
                *open = open.saturating_sub(1);
                if *open == 0 {
                    self.open.remove(&scope);
                }
            }
        }
    }

    /// Connections that are open, or not yet known to be closed.
    pub fn open_count(&self, scope: &BudgetScope) -> u32 {
        self.open.get(scope).copied().unwrap_or(0)
    }

    /// Whether no connection is open anywhere.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Where more connections are open than allowed: how many have to be closed, idle ones at once, busy ones after their
    /// responses. `budgeted` tells scopes that take permits.
    pub fn excess(&self, now: u64, budgeted: impl Fn(&BudgetScope) -> bool) -> Vec<(BudgetScope, u32)> {
        let excess = self.open.iter().filter(|(scope, _)| budgeted(scope)).filter_map(|(scope, open)| {
            let excess = open.saturating_sub(self.allowed(now, scope));
            (excess > 0).then(|| (scope.clone(), excess))
        });
        excess.collect()
    }

    /// The report to the replicas: the epoch known, and how many connections are open where permits are recalled.
    pub fn report(&self) -> GatewayReport {
        let recalled = self.grants.newest_permits().filter(|(_, permits)| permits.is_being_recalled());
        let open_counts = recalled.map(|(scope, _)| (scope.clone(), self.open_count(scope)));
        GatewayReport {
            seen_epoch: self.grants.newest_epoch(),
            open_counts: open_counts.take(MAX_REPORT_ENTRIES).collect(),
            drained: self.draining && self.open.is_empty(),
            ..GatewayReport::default()
        }
    }
}
