//! Accounts for a gateway's connections under its connection permits: which permit a connection needs, whether it may be
//! opened or used, and what is reported to the replicas. Does no I/O.

use frostgauge_connection_budget::{
    BudgetScope, CompiledPolicy, ConnectionPermit, DemandMeter, GatewayPermits, GatewayReport,
    ReceivedGrants, TenantClass,
};
use frostgauge_consensus::Micros;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Length of the windows of the [`DemandMeter`], which reports the demand of the last one to two windows.
const DEMAND_WINDOW: Micros = 2_000_000;

/// The permit that a tenant's connection to a server needs; `budgeted`: whether the server accepts connections only with
/// permits.
pub(crate) fn permit(
    budgets: Option<&CompiledPolicy>,
    budgeted: bool,
    server: &str,
    tenant: &str,
    class: &str,
) -> ConnectionPermit {
    let group = budgets.and_then(|budgets| budgets.group_of(server)).unwrap_or_default();
    let tenant_class = budgets.and_then(|budgets| budgets.tenant_class(group, tenant, class));
    let tenant_class = tenant_class.unwrap_or_else(|| TenantClass { tenant: tenant.to_owned(), class: None });
    ConnectionPermit { server: server.to_owned(), group: group.to_owned(), tenant_class, budgeted }
}

/// The permits of a gateway, the connections open under them, and the demand for connections.
#[derive(Debug)]
pub(crate) struct Permits {
    permits: GatewayPermits,
    demand: DemandMeter,
    unavailable_zones: BTreeSet<String>,
}

impl Default for Permits {
    fn default() -> Permits {
        Permits {
            permits: GatewayPermits::default(),
            demand: DemandMeter::new(DEMAND_WINDOW),
            unavailable_zones: BTreeSet::new(),
        }
    }
}

impl Permits {
    pub(crate) fn set_grants(&mut self, grants: Arc<ReceivedGrants>) {
        self.permits.set_grants(grants);
    }

    pub(crate) fn set_unavailable_zones(&mut self, zones: BTreeSet<String>) {
        self.unavailable_zones = zones;
    }

    pub(crate) fn begin_drain(&mut self) {
        self.permits.begin_drain();
    }

    pub(crate) fn try_open_connection(&mut self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.permits.try_open(now, permit)
    }

    pub(crate) fn may_use(&self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.permits.may_use(now, permit)
    }

    pub(crate) fn transfer(&mut self, now: Micros, from: &ConnectionPermit, to: &ConnectionPermit) -> bool {
        self.permits.transfer(now, from, to)
    }

    pub(crate) fn record_connection_closed(&mut self, permit: &ConnectionPermit) {
        self.permits.release(permit);
    }

    /// A permit for the server of `permit`, of any tenant class that has an unused permit at the server's group.
    pub(crate) fn any_unused_permit(
        &self,
        now: Micros,
        permit: &ConnectionPermit,
    ) -> Option<ConnectionPermit> {
        let tenant_class = self.permits.tenants_with_room(now, &permit.group).next()?;
        Some(ConnectionPermit { tenant_class: tenant_class.clone(), ..permit.clone() })
    }

    /// How many connections may be open at a scope.
    pub(crate) fn max_open(&self, now: Micros, scope: &BudgetScope) -> u32 {
        self.permits.allowed(now, scope)
    }

    /// How many connections may be open at a scope even without a lease.
    pub(crate) fn max_open_on_fallback(&self, scope: &BudgetScope) -> u32 {
        self.permits.allowed(Micros::MAX, scope)
    }

    pub(crate) fn begin_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        if permit.budgeted {
            self.demand.begin(now, &permit.group, &permit.tenant_class);
        }
    }

    pub(crate) fn record_unserved_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        if permit.budgeted {
            self.demand.record_unserved_request(now, &permit.group, &permit.tenant_class);
        }
    }

    pub(crate) fn end_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        if permit.budgeted {
            self.demand.end(now, &permit.group, &permit.tenant_class);
        }
    }

    /// Scopes at which more connections are open than permitted, with the number to close. Checked are the servers that
    /// `is_budgeted` selects and, if `include_tenants` is set, the scopes of tenant classes.
    pub(crate) fn excess_connections(
        &self,
        now: Micros,
        is_budgeted: impl Fn(&str) -> bool,
        include_tenants: bool,
    ) -> Vec<(BudgetScope, u32)> {
        self.permits.excess(now, |scope| match scope {
            BudgetScope::Server(server) => is_budgeted(server),
            BudgetScope::Tenant(group, _) => include_tenants && !group.is_empty(),
        })
    }

    pub(crate) fn report(&mut self, now: Micros) -> GatewayReport {
        let (demand, group_peaks) = self.demand.snapshot(now);
        GatewayReport {
            demand,
            group_peaks,
            unavailable_zones: self.unavailable_zones.clone(),
            ..self.permits.report()
        }
    }

    pub(crate) fn all_connections_closed(&self) -> bool {
        self.permits.is_empty()
    }
}
