//! A gateway's side of the ledger: counts the gateway's connections and decides whether one may be opened or used, and
//! how many have to be closed.
//!
//! A connection is counted from before it is opened until it is known to be closed at the server too, since one that
//! was closed only by the gateway may still be open at the server. So the reported counts are never below what the
//! servers hold.

use crate::received_grants::ReceivedGrants;
use crate::report::{GatewayReport, MAX_REPORT_ENTRIES};
use crate::scope::BudgetScope;
use crate::tenant_class::TenantClass;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The server and the tenant class that a connection counts against.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionPermit {
    /// Name of the server.
    pub server: String,
    /// Name of the budget of the server's group; empty if there is none.
    pub group: String,
    /// The tenant class whose requests the connection serves.
    pub tenant_class: TenantClass,
    /// Whether the connection needs a permit of the budget. If not, it is counted but never refused.
    pub budgeted: bool,
}

impl ConnectionPermit {
    /// The two scopes that the connection counts against: the server, and the tenant class at its group.
    pub fn scopes(&self) -> [BudgetScope; 2] {
        [BudgetScope::server(&self.server), BudgetScope::tenant(&self.group, &self.tenant_class)]
    }

    /// Whether the connection counts against a scope.
    pub fn counts_against(&self, scope: &BudgetScope) -> bool {
        match scope {
            BudgetScope::Server(name) => *name == self.server,
            BudgetScope::Tenant(group, tenant_class) => {
                *group == self.group && *tenant_class == self.tenant_class
            }
        }
    }
}

/// The permits of a gateway and the number of its open connections at each scope.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayPermits {
    grants: Arc<ReceivedGrants>,
    /// Connections that are open or not yet known to be closed; scopes without any are left out.
    open: BTreeMap<BudgetScope, u32>,
    draining: bool,
}

impl GatewayPermits {
    /// Replaces the grants of the replicas. This must happen before a report is sent with their epoch, because a report
    /// acknowledges that the gateway keeps to the permits of that epoch.
    pub fn set_grants(&mut self, grants: Arc<ReceivedGrants>) {
        self.grants = grants;
    }

    /// Allows no connection from now on, because the process is about to end.
    pub fn begin_drain(&mut self) {
        self.draining = true;
    }

    /// How many connections may be open at a scope at the time `now`, microseconds; none while the process drains.
    pub fn allowed(&self, now: u64, scope: &BudgetScope) -> u32 {
        if self.draining {
            return 0;
        }
        self.grants.allowed(now, scope)
    }

    /// Tenant classes that may have another connection open at a group. Whether a server has room for one is not
    /// checked.
    pub fn tenants_with_room<'a>(
        &'a self,
        now: u64,
        group: &'a str,
    ) -> impl Iterator<Item = &'a TenantClass> {
        self.grants.newest_permits().filter_map(move |(scope, _)| match scope {
            BudgetScope::Tenant(budget, tenant_class) if budget == group && self.has_room(now, scope) => {
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

    /// Counts a connection that is about to be opened, if both its scopes have room; false if it must not be opened. A
    /// connection that needs no permit is counted too, so that the number is known when its server gets a budget.
    pub fn try_open(&mut self, now: u64, permit: &ConnectionPermit) -> bool {
        let allowed = !permit.budgeted || permit.scopes().iter().all(|scope| self.has_room(now, scope));
        if allowed {
            self.count(permit);
        }
        allowed
    }

    /// Whether a request may be sent on an open connection. It may not while more connections are open at one of its
    /// scopes than are allowed, since some of them have to be closed.
    pub fn may_use(&self, now: u64, permit: &ConnectionPermit) -> bool {
        !permit.budgeted || permit.scopes().iter().all(|scope| self.is_within(now, scope))
    }

    /// Counts an idle connection against another tenant class, if it is of the same server and the other tenant class
    /// has room; returns whether it was moved.
    pub fn transfer(&mut self, now: u64, from: &ConnectionPermit, to: &ConnectionPermit) -> bool {
        let [server, tenant] = to.scopes();
        let permitted = !to.budgeted || self.has_room(now, &tenant) && self.is_within(now, &server);
        let allowed = from.server == to.server && permitted;
        if allowed {
            self.release(from);
            self.count(to);
        }
        allowed
    }

    /// Ends the counting of a connection. It may be called once the server is known to have closed the connection too
    /// or has refused it, or when nothing was sent on the connection for the server's idle limit.
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

    /// Number of connections at a scope that are open, or not yet known to be closed.
    pub fn open_count(&self, scope: &BudgetScope) -> u32 {
        self.open.get(scope).copied().unwrap_or(0)
    }

    /// Whether no connection is counted at any scope.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Scopes at which more connections are open than allowed, and how many of them have to be closed: idle ones at
    /// once, busy ones after their responses. Only scopes for which `budgeted` is true are checked.
    pub fn excess(&self, now: u64, budgeted: impl Fn(&BudgetScope) -> bool) -> Vec<(BudgetScope, u32)> {
        let excess = self.open.iter().filter(|(scope, _)| budgeted(scope)).filter_map(|(scope, open)| {
            let excess = open.saturating_sub(self.allowed(now, scope));
            (excess > 0).then(|| (scope.clone(), excess))
        });
        excess.collect()
    }

    /// A report to the replicas with the newest epoch, the open connections at scopes where permits are being recalled,
    /// and whether the process has drained. The caller adds the demand and the other fields.
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
