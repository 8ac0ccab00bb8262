//! The guard's part for connections: their permits, the demand for them, and the report to the replicas.

use super::AttemptGuard;
use frostgauge_connection_budget::{BudgetScope, CompiledPolicy, ConnectionPermit, GatewayReport};
use frostgauge_consensus::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

impl AttemptGuard {
    /// The permit that the connection of a tenant's request to a server needs; none: the rules in effect do not list a
    /// server with this address.
    pub fn permit(
        &self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: SocketAddr,
    ) -> Option<ConnectionPermit> {
        self.view.rules(now).permit(tenant, class, server)
    }

    /// A permit for a connection to a server that belongs to no request: any unused permit of the gateway there, or one
    /// that is not counted against a budget if the server has none. None: no permit is unused, or the server is unknown.
    pub fn any_unused_permit(&self, now: Micros, server: SocketAddr) -> Option<ConnectionPermit> {
        let permit = self.view.rules(now).permit("", "", server)?;
        if !permit.budgeted {
            return Some(permit);
        }
        self.permits.any_unused_permit(now, &permit)
    }

    /// The policy of connection budgets in effect now.
    pub fn budgets(&self, now: Micros) -> Option<Arc<CompiledPolicy>> {
        self.view.rules(now).budgets.clone()
    }

    /// Counts a connection that is about to be opened, and returns true, if its permit allows one more.
    pub fn try_open_connection(&mut self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.permits.try_open_connection(now, permit)
    }

    /// Whether a request may use an open connection with this permit.
    pub fn may_use(&self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.permits.may_use(now, permit)
    }

    /// Counts a connection as closed. This must be called only once the server has closed it too.
    pub fn record_connection_closed(&mut self, permit: &ConnectionPermit) {
        self.permits.record_connection_closed(permit);
    }

    /// Counts an idle connection under another permit, and returns true, if that permit allows one more.
    pub fn transfer(&mut self, now: Micros, from: &ConnectionPermit, to: &ConnectionPermit) -> bool {
        self.permits.transfer(now, from, to)
    }

    /// Counts the demand of a request for a connection, until [`AttemptGuard::end_demand`] is called.
    pub fn begin_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        self.permits.begin_demand(now, permit);
    }

    /// Ends the demand of a request for a connection.
    pub fn end_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        self.permits.end_demand(now, permit);
    }

    /// Records that a request found no server with a permit. It counts as demand at each group with a server that takes
    /// new work; otherwise a gateway without permits would have no demand and would never be granted any.
    pub fn record_unserved_demand(&mut self, now: Micros, tenant: &str, class: &str) {
        let rules = self.view.rules(now).clone();
        let mut groups = BTreeSet::new();
        for (address, name) in &rules.server_names {
            let effective = &rules.effective;
            if !effective.budgeted.contains_key(name) || !effective.servers.contains_key(name) {
                continue;
            }
            if let Some(permit) = rules.permit(tenant, class, *address) {
                if groups.insert(permit.group.clone()) {
                    self.permits.record_unserved_demand(now, &permit);
                }
            }
        }
    }

    /// Scopes at which more connections are open than permitted, with the number to close.
    pub fn excess_connections(&self, now: Micros) -> Vec<(BudgetScope, u32)> {
        let budgeted = &self.view.rules(now).effective.budgeted;
        self.permits.excess_connections(now, |server| budgeted.contains_key(server), !budgeted.is_empty())
    }

    /// Whether at each of these servers no more connections are open than permitted.
    pub fn within_permits(&self, now: Micros, servers: &BTreeMap<String, bool>) -> bool {
        self.permits.excess_connections(now, |server| servers.contains_key(server), false).is_empty()
    }

    /// The report on the gateway's connections and demand that is sent to the replicas.
    pub fn connection_report(&mut self, now: Micros) -> GatewayReport {
        self.permits.report(now)
    }

    /// Sets the zones that this gateway cannot reach. They are reported to the replicas, for the conditions of budgets.
    pub fn set_unavailable_zones(&mut self, zones: BTreeSet<String>) {
        self.permits.set_unavailable_zones(zones);
    }

    /// Allows no connection from now on, because the process is about to end.
    pub fn begin_drain(&mut self) {
        self.permits.begin_drain();
    }

    /// Whether the newest grant contains any permits for this gateway.
    pub fn has_permits(&self) -> bool {
        self.view.permits.newest_permits().next().is_some()
    }

    /// Whether no connection is counted as open.
    pub fn all_connections_closed(&self) -> bool {
        self.permits.all_connections_closed()
    }
}
