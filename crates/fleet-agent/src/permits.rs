//! A gateway's connections against its connection permits: which permit a connection needs, whether it may be opened or
//! used, and what is reported to the replicas. Free of I/O.

use frostgauge_connection_budget::{
    BudgetScope, CompiledPolicy, ConnectionPermit, DemandMeter, GatewayPermits, GatewayReport,
    ReceivedGrants, TenantClass,
};
use frostgauge_consensus::Micros;
use std::collections::BTreeSet;
use std::sync::Arc;

/// DemandMeter is the highest number wanted at once during the last one or two of these windows.
const DEMAND_WINDOW: Micros = 2_000_000;

/// The permit that a tenant's connection to a server needs.
pub(crate) fn permit(
    budgets: Option<&CompiledPolicy>,
    needs: bool,
    server: &str,
    tenant: &str,
    class: &str,
) -> ConnectionPermit {
    let group = budgets.and_then(|budgets| budgets.group_of(server)).unwrap_or_default();
    let holder = budgets.and_then(|budgets| budgets.tenant_class(group, tenant, class));
    let holder = holder.unwrap_or_else(|| TenantClass { tenant: tenant.to_owned(), class: None });
    ConnectionPermit {
        server: server.to_owned(),
        group: group.to_owned(),
        tenant_class: holder,
        budgeted: needs,
    }
}

/// The permits of a gateway, what is open under them, and the demand for more.
#[derive(Debug)]
pub(crate) struct Permits {
    holdings: GatewayPermits,
    demand: DemandMeter,
    unavailable_zones: BTreeSet<String>,
}

impl Default for Permits {
    fn default() -> Permits {
        Permits {
            holdings: GatewayPermits::default(),
            demand: DemandMeter::new(DEMAND_WINDOW),
            unavailable_zones: BTreeSet::new(),
        }
    }
}

impl Permits {
    pub(crate) fn set_grants(&mut self, granted: Arc<ReceivedGrants>) {
        self.holdings.set_grants(granted);
    }

    pub(crate) fn set_unavailable_zones(&mut self, zones: BTreeSet<String>) {
        self.unavailable_zones = zones;
    }

    pub(crate) fn begin_drain(&mut self) {
        self.holdings.begin_drain();
    }

    pub(crate) fn try_open_connection(&mut self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.holdings.try_open(now, permit)
    }

    pub(crate) fn may_use(&self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.holdings.may_use(now, permit)
    }

    pub(crate) fn transfer(&mut self, now: Micros, from: &ConnectionPermit, to: &ConnectionPermit) -> bool {
        self.holdings.transfer(now, from, to)
    }

    pub(crate) fn record_connection_closed(&mut self, permit: &ConnectionPermit) {
        self.holdings.release(permit);
    }

    /// A permit for the same server, of any tenant of its group that has one unused.
    pub(crate) fn any_unused_permit(&self, now: Micros, like: &ConnectionPermit) -> Option<ConnectionPermit> {
        let holder = self.holdings.tenants_with_room(now, &like.group).next()?;
        Some(ConnectionPermit { tenant_class: holder.clone(), ..like.clone() })
    }

    pub(crate) fn max_open(&self, now: Micros, scope: &BudgetScope) -> u32 {
        self.holdings.allowed(now, scope)
    }

    /// How many may be open without a lease too.
    pub(crate) fn max_open_on_fallback(&self, scope: &BudgetScope) -> u32 {
        self.holdings.allowed(Micros::MAX, scope)
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

    /// Where more is open than permitted, among the servers that `is_budgeted` names and, with `tenants`, among the
    /// tenants' shares: how many are to be closed.
    pub(crate) fn excess_connections(
        &self,
        now: Micros,
        is_budgeted: impl Fn(&str) -> bool,
        tenants: bool,
    ) -> Vec<(BudgetScope, u32)> {
        self.holdings.excess(now, |scope| match scope {
            BudgetScope::Server(server) => is_budgeted(server),
            BudgetScope::Tenant(group, _) => tenants && !group.is_empty(),
        })
    }

    pub(crate) fn report(&mut self, now: Micros) -> GatewayReport {
        let (wants, groups) = self.demand.snapshot(now);
        GatewayReport {
            demand: wants,
            group_peaks: groups,
            unavailable_zones: self.unavailable_zones.clone(),
            ..self.holdings.report()
        }
    }

    pub(crate) fn all_connections_closed(&self) -> bool {
        self.holdings.is_empty()
    }
}
