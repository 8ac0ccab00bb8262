//! Allocates permits by a policy: computes each gateway's share from the demand, and the changes of the ledger that
//! bring the gateways to their shares.

use crate::compiled_policy::CompiledPolicy;
use crate::group_allocation::{GroupRotation, GroupRound};
use crate::ledger::PermitLedger;
use crate::planner::{plan, plan_recalling, LedgerChange};
use crate::report::Demand;
use crate::scope::{BudgetScope, GatewayId};
use crate::tenant_class::TenantClass;
use std::collections::{BTreeMap, BTreeSet};

/// The demand for connections at one group of servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupDemand {
    /// Demand of each tenant class at each gateway.
    pub by_tenant: BTreeMap<TenantClass, BTreeMap<GatewayId, Demand>>,
    /// Largest number of connections that all tenants together demanded at the same time, by gateway.
    pub peak_by_gateway: BTreeMap<GatewayId, u32>,
}

/// The demand for connections at each group of servers, by the name of the group's budget.
pub type DemandByGroup = BTreeMap<String, GroupDemand>;

/// The data from which a round is allocated.
#[derive(Clone, Copy, Debug)]
pub struct AllocationInput<'a> {
    /// The policy in force everywhere.
    pub policy: &'a CompiledPolicy,
    /// The conditions that are active.
    pub active_conditions: &'a BTreeSet<String>,
    /// The demand of all gateways.
    pub demand: &'a DemandByGroup,
    /// The gateways over which fallback permits are spread.
    pub fleet: &'a BTreeSet<GatewayId>,
    /// The permits that gateways hold now.
    pub ledger: &'a PermitLedger,
}

/// Allocates permits, round by round, each group at the interval of its budget.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    groups: BTreeMap<String, GroupRotation>,
    /// Number of rounds of all groups so far.
    rounds: u64,
}

impl Allocator {
    /// Time at which a group's next round is due, microseconds; 0 if it has had none yet.
    pub fn next_round_at(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |rotation| rotation.next_round_at)
    }

    /// Allocates a round of each group that is due, and returns the changes of the ledger. `now` is in microseconds on
    /// any monotonic clock. Grants and recalls are planned only while there are fewer than `max_changes` changes in
    /// all; capacities are set regardless of it.
    pub fn allocate(
        &mut self,
        now: u64,
        input: &AllocationInput<'_>,
        max_changes: usize,
    ) -> Vec<LedgerChange> {
        let budgets = &input.policy.policy().budgets;
        self.groups.retain(|group, _| budgets.contains_key(group));
        let mut changes = vec![];
        for (group, budget) in budgets {
            if now < self.next_round_at(group) {
                continue;
            }
            self.rounds += 1;
            let rotation = self.groups.entry(group.clone()).or_default();
            rotation.next_round_at = now + budget.rotation_ms * 1_000;
            allocate_group(self.rounds, group, rotation, input, max_changes, &mut changes);
        }
        changes
    }
}

fn allocate_group(
    round_number: u64,
    group: &str,
    rotation: &mut GroupRotation,
    input: &AllocationInput<'_>,
    max_changes: usize,
    changes: &mut Vec<LedgerChange>,
) {
    let AllocationInput { policy, active_conditions, ledger, .. } = *input;
    let servers: Vec<BudgetScope> = (policy.servers(group).iter())
        .map(|server| BudgetScope::server(server))
        .filter(|scope| ledger.capacity(scope) > 0)
        .collect();
    let connections = servers.iter().map(|scope| ledger.capacity(scope)).sum();
    changes.extend(capacity_changes(input, group, connections));
    let targets = GroupRound { input: *input, group, connections, round_number }.targets(rotation);
    let none = BTreeMap::new();
    for (tenant_class, _) in policy.terms(group, active_conditions) {
        let scope = [BudgetScope::tenant(group, tenant_class)];
        let wanted = targets.tenants.get(tenant_class).unwrap_or(&none);
        let left = max_changes.saturating_sub(changes.len());
        // If connections are scarce, a gateway with more than its share of this tenant's permits uses connections that
        // other tenants lack at the servers. So its excess is recalled even if no gateway lacks permits of this tenant.
        let planned = if targets.scarce {
            plan_recalling(ledger, &scope, wanted, left)
        } else {
            plan(ledger, &scope, wanted, left)
        };
        changes.extend(planned);
    }
    let left = max_changes.saturating_sub(changes.len());
    changes.extend(plan(ledger, &servers, &targets.servers, left));
}

/// Changes that set the capacity of each tenant class at the group as its terms now require, and close the scopes of
/// tenant classes and groups that the policy no longer has.
fn capacity_changes(input: &AllocationInput<'_>, group: &str, connections: u64) -> Vec<LedgerChange> {
    let AllocationInput { policy, active_conditions, ledger, .. } = *input;
    let connections = u32::try_from(connections).unwrap_or(u32::MAX);
    let capacities: BTreeMap<BudgetScope, u32> = (policy.terms(group, active_conditions))
        .map(|(tenant_class, terms)| {
            let capacity = terms.ceiling.map_or(connections, |ceiling| ceiling.min(connections));
            (BudgetScope::tenant(group, tenant_class), capacity)
        })
        .collect();
    let is_stale = |scope: &BudgetScope| match scope {
        BudgetScope::Tenant(budget, _) if budget == group => !capacities.contains_key(scope),
        BudgetScope::Tenant(budget, _) => !policy.policy().budgets.contains_key(budget),
        BudgetScope::Server(_) => false,
    };
    let stale = ledger.scopes().filter(|(scope, capacity)| *capacity > 0 && is_stale(scope));
    let changed =
        capacities.iter().filter(|(scope, capacity)| ledger.capacity(scope) != u64::from(**capacity));
    let stale = stale.map(|(scope, _)| (scope, 0));
    let changed = changed.map(|(scope, capacity)| (scope, *capacity));
    stale
        .chain(changed)
        .map(|(scope, capacity)| LedgerChange::SetCapacity { scope: scope.clone(), capacity })
        .collect()
}
