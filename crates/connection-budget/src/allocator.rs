//! Allocation of a policy's shares: from what each gateway wants to the changes of the ledger that bring them about.

use crate::compiled_policy::CompiledPolicy;
use crate::group_allocation::{GroupRotation, GroupRound};
use crate::ledger::PermitLedger;
use crate::planner::{plan, plan_recalling, LedgerChange};
use crate::report::Demand;
use crate::scope::{BudgetScope, GatewayId};
use crate::tenant_class::TenantClass;
use std::collections::{BTreeMap, BTreeSet};

/// What gateways want of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupDemand {
    /// By tenant.
    pub by_tenant: BTreeMap<TenantClass, BTreeMap<GatewayId, Demand>>,
    /// Peak of all tenants together.
    pub peak_by_gateway: BTreeMap<GatewayId, u32>,
}

/// What gateways want, by group.
pub type DemandByGroup = BTreeMap<String, GroupDemand>;

/// What a round is allocated from.
#[derive(Clone, Copy, Debug)]
pub struct AllocationInput<'a> {
    /// The policy in force everywhere.
    pub policy: &'a CompiledPolicy,
    /// The conditions that are active.
    pub active_conditions: &'a BTreeSet<String>,
    /// What gateways want.
    pub demand: &'a DemandByGroup,
    /// All gateways that fallback permits are kept for.
    pub fleet: &'a BTreeSet<GatewayId>,
    /// Who has what.
    pub ledger: &'a PermitLedger,
}

/// Allocates permits, round by round, each group at the interval of its budget.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    groups: BTreeMap<String, GroupRotation>,
    rounds: u64,
}

impl Allocator {
    /// When a group's next round is due, microseconds; 0: at once.
    pub fn next_round_at(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |rotation| rotation.next_round_at)
    }

    /// Rounds of all groups that are due, at a time in microseconds on any clock that never goes back; at most
    /// `max_changes` permits are moved by them.
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
    number: u64,
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
    let targets = GroupRound { input: *input, group, connections, number }.targets(rotation);
    let none = BTreeMap::new();
    for (tenant_class, _) in policy.terms(group, active_conditions) {
        let scope = [BudgetScope::tenant(group, tenant_class)];
        let wanted = targets.tenants.get(tenant_class).unwrap_or(&none);
        let left = max_changes.saturating_sub(changes.len());
        // Where there is too little for all, who has more than its share uses what others lack at the servers.
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

/// Tenants' capacities as their terms are now; those of unknown tenants and groups are closed.
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
        BudgetScope::Tenant(of, _) if of == group => !capacities.contains_key(scope),
        BudgetScope::Tenant(of, _) => !policy.policy().budgets.contains_key(of),
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
