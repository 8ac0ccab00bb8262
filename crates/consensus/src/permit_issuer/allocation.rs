//! The leader's rounds of allocation: from the gateways' reports to grants and recalls of permits.

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

/// Largest number of grants and recalls in one round.
const MAX_MOVES_PER_ROUND: usize = 4_096;

/// State of the allocation. Only the leader uses it.
#[derive(Default)]
pub(super) struct Allocation {
    /// The policy of this version; none inside if the version has no budgets.
    compiled: Option<(VersionNumber, Option<CompiledPolicy>)>,
    allocator: Allocator,
    conditions: Option<ConditionTracker>,
    /// Minutes since midnight UTC; 0 until it is set.
    pub(super) minute_of_day: u16,
}

impl Allocation {
    /// Drops the compiled policy and the conditions' state when no server has a budget any more.
    pub(super) fn reset_policy(&mut self) {
        self.conditions = None;
        self.compiled = None;
    }

    /// Drops the state that depends on earlier rounds when another voter becomes the leader.
    pub(super) fn stop_leading(&mut self) {
        self.conditions = None;
        self.allocator = Allocator::default();
    }

    /// Compiles the policy of the fully rolled out version, if that is another version than last time.
    fn compile(&mut self, machine: &StateMachine) {
        let number = machine.fallback_version();
        if self.compiled.as_ref().map(|(compiled, _)| *compiled) != Some(number) {
            let policy = machine.version(number).and_then(|version| version.rules.compiled_budgets());
            self.compiled = Some((number, policy));
        }
    }

    /// Runs a round of allocation if one is due, from reports received since `reported_since`. None if there is no
    /// policy, no round is due, or the round changes nothing.
    pub(super) fn allocate(
        &mut self,
        now: Micros,
        reported_since: Micros,
        reports: &BTreeMap<GatewayId, LastReport>,
        machine: &StateMachine,
    ) -> Option<PermitChange> {
        self.compile(machine);
        let (number, policy) = self.compiled.as_ref()?;
        let policy = policy.as_ref()?;
        let version = machine.version(*number)?;
        let permits = machine.permits();
        let ledger = permits.ledger();
        let is_current =
            |gateway: &GatewayId, last: &LastReport| last.is_current(*gateway, reported_since, ledger);
        let current: Vec<(GatewayId, &LastReport)> = reports
            .iter()
            .filter(|(gateway, last)| is_current(gateway, last))
            .map(|(gateway, last)| (*gateway, last))
            .collect();
        let conditions =
            self.conditions.get_or_insert_with(|| ConditionTracker::with_active(permits.active_conditions()));
        let observation = observe(&current, self.minute_of_day, policy, machine);
        conditions.observe(now, policy.policy(), &observation);
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
            demand: &total_demand(&current),
            fleet: &version.rules.gateways,
            ledger,
        };
        let moves = self.allocator.allocate(now, &input, MAX_MOVES_PER_ROUND);
        let has_changes = !moves.is_empty() || conditions_changed;
        has_changes.then_some(PermitChange::Allocated { active_conditions, moves })
    }
}

/// The demand that gateways report, by group of servers.
fn total_demand(reports: &[(GatewayId, &LastReport)]) -> DemandByGroup {
    let mut demand = DemandByGroup::new();
    for (gateway, last) in reports {
        for (group, tenant, tenant_demand) in &last.report.demand {
            let group_demand = demand.entry(group.clone()).or_default();
            group_demand.by_tenant.entry(tenant.clone()).or_default().insert(*gateway, *tenant_demand);
        }
        for (group, peak) in &last.report.group_peaks {
            demand.entry(group.clone()).or_default().peak_by_gateway.insert(*gateway, *peak);
        }
    }
    demand
}

/// The state that conditions depend on: zones that more than half of the reporting gateways cannot reach, the usage of
/// each budget, and the time of day.
fn observe(
    reports: &[(GatewayId, &LastReport)],
    minute_of_day: u16,
    policy: &CompiledPolicy,
    machine: &StateMachine,
) -> Observation {
    let mut unavailable_counts: BTreeMap<&String, usize> = BTreeMap::new();
    for zone in reports.iter().flat_map(|(_, last)| &last.report.unavailable_zones) {
        *unavailable_counts.entry(zone).or_default() += 1;
    }
    let by_majority = unavailable_counts.into_iter().filter(|(_, count)| count * 2 > reports.len());
    let unavailable_zones: BTreeSet<String> = by_majority.map(|(zone, _)| zone.clone()).collect();
    let groups = policy.policy().budgets.keys();
    let usage_percent =
        groups.filter_map(|group| Some((group.clone(), usage_percent(group, policy, machine)?))).collect();
    Observation { unavailable_zones, quorum_reachable: true, usage_percent, minute_of_day }
}

/// The percentage of a group's connections for which permits are held; none if the group's capacity is 0.
fn usage_percent(group: &str, policy: &CompiledPolicy, machine: &StateMachine) -> Option<u8> {
    let ledger = machine.permits().ledger();
    let scopes = || policy.servers(group).iter().map(|server| BudgetScope::server(server));
    let capacity: u64 = scopes().map(|scope| ledger.capacity(&scope)).sum();
    let held: u64 = scopes().map(|scope| ledger.held(&scope)).sum();
    let percent = (held * 100).checked_div(capacity)?.min(100);
    Some(u8::try_from(percent).unwrap_or(100))
}
