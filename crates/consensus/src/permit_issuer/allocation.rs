//! Rounds of allocation, as the leader proposes them.

use super::LastReport;
use crate::permit_state::PermitChange;
use crate::ruleset::GatewayId;
use crate::state_machine::StateMachine;
use crate::timing::Micros;
use crate::version::VersionNumber;
use frostgauge_connection_budget::{
    AllocationInput, Allocator, BudgetScope, CompiledPolicy, ConditionTracker, DemandByGroup, Observation,
};
use std::collections::{BTreeMap, BTreeSet};

/// Moves of permits in one round.
const MAX_MOVES_PER_ROUND: usize = 4_096;

/// State of the leader's allocation.
#[derive(Default)]
pub(super) struct Allocation {
    compiled: Option<(VersionNumber, Option<CompiledPolicy>)>,
    allocator: Allocator,
    conditions: Option<ConditionTracker>,
    /// Minutes from midnight UTC, as far as they are known.
    pub(super) minute_of_day: u16,
}

impl Allocation {
    /// There are no budgets any more.
    pub(super) fn reset_policy(&mut self) {
        self.conditions = None;
        self.compiled = None;
    }

    /// Another voter allocates.
    pub(super) fn stop_leading(&mut self) {
        self.conditions = None;
        self.allocator = Allocator::default();
    }

    /// Compiles the policy of the version that is rolled out, if it has changed.
    fn compile(&mut self, machine: &StateMachine) {
        let number = machine.fallback_version();
        if self.compiled.as_ref().map(|(compiled, _)| *compiled) != Some(number) {
            let policy = machine.version(number).and_then(|version| version.rules.compiled_budgets());
            self.compiled = Some((number, policy));
        }
    }

    /// A round of allocation by the reports received since `recently`; none if nothing changes.
    pub(super) fn allocate(
        &mut self,
        now: Micros,
        recently: Micros,
        reports: &BTreeMap<GatewayId, LastReport>,
        machine: &StateMachine,
    ) -> Option<PermitChange> {
        self.compile(machine);
        let (number, policy) = self.compiled.as_ref()?;
        let policy = policy.as_ref()?;
        let version = machine.version(*number)?;
        let permits = machine.permits();
        let ledger = permits.ledger();
        let is_current = |gateway: &GatewayId, last: &LastReport| last.is_current(*gateway, recently, ledger);
        let current: Vec<(GatewayId, &LastReport)> = reports
            .iter()
            .filter(|(gateway, last)| is_current(gateway, last))
            .map(|(gateway, last)| (*gateway, last))
            .collect();
        let conditions =
            self.conditions.get_or_insert_with(|| ConditionTracker::with_active(permits.active_conditions()));
        conditions.observe(now, policy.policy(), &observe(&current, self.minute_of_day, policy, machine));
        let active_conditions = conditions.active();
        let conditions_changed = active_conditions != *permits.active_conditions();
        let groups = &policy.policy().budgets;
        let is_due = groups.keys().any(|group| now >= self.allocator.next_round_at(group));
        if !is_due && !conditions_changed {
            return None;
        }
        let input = AllocationInput {
            policy,
            active_conditions: &active_conditions,
            demand: &demand(&current),
            fleet: &version.rules.gateways,
            ledger,
        };
        let moves = self.allocator.allocate(now, &input, MAX_MOVES_PER_ROUND);
        let changes = !moves.is_empty() || conditions_changed;
        changes.then_some(PermitChange::Allocated { active_conditions, moves })
    }
}

/// The demand of all gateways, by group.
fn demand(reports: &[(GatewayId, &LastReport)]) -> DemandByGroup {
    let mut demand = DemandByGroup::new();
    for (gateway, last) in reports {
        for (group, tenant, wanted) in &last.report.demand {
            let group = demand.entry(group.clone()).or_default();
            group.by_tenant.entry(tenant.clone()).or_default().insert(*gateway, *wanted);
        }
        for (group, peak) in &last.report.group_peaks {
            demand.entry(group.clone()).or_default().peak_by_gateway.insert(*gateway, *peak);
        }
    }
    demand
}

/// What conditions depend on: zones that more than half of the gateways report as unavailable, use of each budget.
fn observe(
    reports: &[(GatewayId, &LastReport)],
    minute_of_day: u16,
    policy: &CompiledPolicy,
    machine: &StateMachine,
) -> Observation {
    let mut reported: BTreeMap<&String, usize> = BTreeMap::new();
    for zone in reports.iter().flat_map(|(_, last)| &last.report.unavailable_zones) {
        *reported.entry(zone).or_default() += 1;
    }
    let by_majority = reported.into_iter().filter(|(_, count)| count * 2 > reports.len());
    let unavailable_zones: BTreeSet<String> = by_majority.map(|(zone, _)| zone.clone()).collect();
    let groups = policy.policy().budgets.keys();
    let usage_percent =
        groups.filter_map(|group| Some((group.clone(), usage_percent(group, policy, machine)?))).collect();
    Observation { unavailable_zones, quorum_reachable: true, usage_percent, minute_of_day }
}

/// How much of a group's connections is held, per cent; none if it has no connections.
fn usage_percent(group: &str, policy: &CompiledPolicy, machine: &StateMachine) -> Option<u8> {
    let ledger = machine.permits().ledger();
    let scopes = || policy.servers(group).iter().map(|server| BudgetScope::server(server));
    let capacity: u64 = scopes().map(|scope| ledger.capacity(&scope)).sum();
    let held: u64 = scopes().map(|scope| ledger.held(&scope)).sum();
    let percent = (held * 100).checked_div(capacity)?.min(100);
    Some(u8::try_from(percent).unwrap_or(100))
}
