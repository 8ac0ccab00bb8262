//! Connections to servers with a budget: permits, demand, and what is reported of them.

use super::AttemptGuard;
use frostgauge_connection_budget::{BudgetScope, CompiledPolicy, ConnectionPermit, GatewayReport};
use frostgauge_consensus::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

impl AttemptGuard {
    /// The permit that the connection of a tenant's request needs; none: the server must not get it.
    pub fn permit(
        &self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: SocketAddr,
    ) -> Option<ConnectionPermit> {
        self.view.rules(now).permit(tenant, class, server)
    }

    /// Any unused permit for a connection of the gateway's own to a server.
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

    /// Counts a connection as open, if its permit allows one more.
    pub fn try_open_connection(&mut self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.permits.try_open_connection(now, permit)
    }

    /// Whether a request may use an open connection.
    pub fn may_use(&self, now: Micros, permit: &ConnectionPermit) -> bool {
        self.permits.may_use(now, permit)
    }

    /// Counts a connection as closed: to be called once it is closed at the server too.
    pub fn record_connection_closed(&mut self, permit: &ConnectionPermit) {
        self.permits.record_connection_closed(permit);
    }

    /// Moves an idle connection to another permit, if that allows one more.
    pub fn transfer(&mut self, now: Micros, from: &ConnectionPermit, to: &ConnectionPermit) -> bool {
        self.permits.transfer(now, from, to)
    }

    /// A request has use for a connection, from now on until [`AttemptGuard::end_demand`].
    pub fn begin_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        self.permits.begin_demand(now, permit);
    }

    /// A request has no more use for a connection.
    pub fn end_demand(&mut self, now: Micros, permit: &ConnectionPermit) {
        self.permits.end_demand(now, permit);
    }

    /// A request found no server with a permit. It counts as demand at each group of servers that take new work: where
    /// this gateway has no permit, nobody would ask for one otherwise.
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

    /// Where more connections are open than permitted: how many are to be closed.
    pub fn excess_connections(&self, now: Micros) -> Vec<(BudgetScope, u32)> {
        let budgeted = &self.view.rules(now).effective.budgeted;
        self.permits.excess_connections(now, |server| budgeted.contains_key(server), !budgeted.is_empty())
    }

    /// Whether no more connections are open at these servers than permitted.
    pub fn within_permits(&self, now: Micros, servers: &BTreeMap<String, bool>) -> bool {
        self.permits.excess_connections(now, |server| servers.contains_key(server), false).is_empty()
    }

    /// What the gateway reports to the replicas of its connections and its demand.
    pub fn connection_report(&mut self, now: Micros) -> GatewayReport {
        self.permits.report(now)
    }

    /// Sets the zones that cannot be reached from here, for the conditions of budgets.
    pub fn set_unavailable_zones(&mut self, zones: BTreeSet<String>) {
        self.permits.set_unavailable_zones(zones);
    }

    /// The process is about to end: no connection may be opened any more, and once all are closed it reports that.
    pub fn begin_drain(&mut self) {
        self.permits.begin_drain();
    }

    /// Whether the gateway has any permits.
    pub fn has_permits(&self) -> bool {
        self.view.permits.newest_permits().next().is_some()
    }

    /// Whether no connection is open at all.
    pub fn all_connections_closed(&self) -> bool {
        self.permits.all_connections_closed()
    }
}
