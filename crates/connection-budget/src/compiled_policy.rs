//! A policy compiled against a fleet's tenants, plans and servers, and verified for every combination of conditions.
//!
//! The cost of compiling is proportional to rules x tenants x groups; verification takes as much for each combination
//! of conditions (at most [`MAX_CONDITION_COMBINATIONS`](crate::MAX_CONDITION_COMBINATIONS)). An evaluation goes once
//! through the rules that select each tenant class.

use crate::policy::{Budget, Policy, Rule};
use crate::rule_guard::RuleGuard;
use crate::tenant_class::TenantClass;
use crate::terms::Terms;
use crate::verification::{self, PolicyError};
use std::collections::{BTreeMap, BTreeSet};

/// The tenants, plans, classes, servers and zones of a fleet, which a policy may name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// The plan of each tenant.
    pub tenants: BTreeMap<String, String>,
    /// Classes of requests.
    pub classes: BTreeSet<String>,
    /// The zone of each server that accepts requests.
    pub servers: BTreeMap<String, String>,
}

/// A verified policy, ready to be evaluated.
#[derive(Clone, Debug)]
pub struct CompiledPolicy {
    policy: Policy,
    guards: Vec<RuleGuard>,
    /// By budget and tenant class: ascending indices of the rules that select it.
    rules: BTreeMap<String, BTreeMap<TenantClass, Vec<usize>>>,
    /// Names of the servers of each budget's group.
    servers: BTreeMap<String, Vec<String>>,
}

impl CompiledPolicy {
    /// Compiles and verifies a policy.
    ///
    /// # Errors
    /// All problems found, each with its path: figures out of range, unknown names and budgets without servers; if
    /// there are none of these, rules without effect and terms that cannot be kept under some combination of
    /// conditions.
    pub fn new(policy: Policy, inventory: &Inventory) -> Result<CompiledPolicy, Vec<PolicyError>> {
        let mut errors = verification::limit_errors(&policy);
        errors.extend(verification::name_errors(&policy, inventory));
        let servers = servers_by_budget(&policy, inventory);
        errors.extend(verification::group_errors(&policy, &servers));
        if !errors.is_empty() {
            return Err(errors);
        }
        let guards = policy.rules.iter().map(RuleGuard::new).collect();
        let rules = rules_by_budget(&policy, inventory);
        let compiled = CompiledPolicy { policy, guards, rules, servers };
        let mut errors = verification::unused_rule_errors(&compiled);
        errors.extend(verification::term_errors(&compiled));
        if errors.is_empty() {
            return Ok(compiled);
        }
        errors.sort();
        errors.dedup();
        Err(errors)
    }

    /// The policy as it was written.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Names of the servers of a budget's group; empty for an unknown budget.
    pub fn servers(&self, budget: &str) -> &[String] {
        self.servers.get(budget).map_or(&[], Vec::as_slice)
    }

    /// Name of the budget whose group a server belongs to.
    pub fn group_of(&self, server: &str) -> Option<&str> {
        let contains = |servers: &Vec<String>| servers.iter().any(|name| name == server);
        self.servers.iter().find(|(_, servers)| contains(servers)).map(|(name, _)| name.as_str())
    }

    /// The tenant class that a connection for a tenant's request of a class counts against at a group: that of the
    /// class if it has a share of its own, else that of the tenant's other classes. None if the policy knows no such
    /// budget or tenant.
    pub fn tenant_class(&self, budget: &str, tenant: &str, class: &str) -> Option<TenantClass> {
        let known = self.rules.get(budget)?;
        [Some(class), None]
            .map(|class| TenantClass { tenant: tenant.to_owned(), class: class.map(str::to_owned) })
            .into_iter()
            .find(|tenant_class| known.contains_key(tenant_class))
    }

    /// Connections that all servers of a budget's group accept together; 0 for an unknown budget.
    pub fn total_connections(&self, budget: &str) -> u64 {
        let per_server = self.policy.budgets.get(budget).map_or(0, |budget| u64::from(budget.connections));
        per_server * self.servers(budget).len() as u64
    }

    /// Terms of each tenant class at a budget's group while exactly these conditions are active.
    pub fn terms<'a>(
        &'a self,
        budget: &str,
        active_conditions: &'a BTreeSet<String>,
    ) -> impl Iterator<Item = (&'a TenantClass, Terms)> + 'a {
        let by_tenant_class = self.rules.get(budget).into_iter().flatten();
        by_tenant_class
            .map(move |(tenant_class, rules)| (tenant_class, self.evaluate(rules, active_conditions)))
    }

    fn evaluate(&self, rules: &[usize], active_conditions: &BTreeSet<String>) -> Terms {
        let mut terms = Terms::default();
        for index in rules.iter().copied().filter(|index| self.guards[*index].holds(active_conditions)) {
            terms.apply(index, &self.policy.rules[index].overrides);
        }
        terms
    }

    /// Whether the rule with this index selects any tenant class at any group.
    pub(crate) fn is_assigned(&self, rule: usize) -> bool {
        self.rules.values().flat_map(BTreeMap::values).any(|rules| rules.contains(&rule))
    }

    /// Whether the conditions of the rule with this index are met while exactly these conditions are active.
    pub(crate) fn rule_holds(&self, rule: usize, active_conditions: &BTreeSet<String>) -> bool {
        self.guards[rule].holds(active_conditions)
    }
}

/// Names of the servers of each budget. A server belongs to the budget of its zone, or else to the budget without a
/// zone.
fn servers_by_budget(policy: &Policy, inventory: &Inventory) -> BTreeMap<String, Vec<String>> {
    let mut servers: BTreeMap<String, Vec<String>> =
        policy.budgets.keys().map(|name| (name.clone(), vec![])).collect();
    let by_zone: BTreeMap<Option<&String>, &String> =
        policy.budgets.iter().map(|(name, budget)| (budget.zone.as_ref(), name)).collect();
    for (server, zone) in &inventory.servers {
        let Some(budget) = by_zone.get(&Some(zone)).or_else(|| by_zone.get(&None)) else { continue };
        if let Some(list) = servers.get_mut(*budget) {
            list.push(server.clone());
        }
    }
    servers
}

/// By budget and tenant class: ascending indices of the rules that select it. Each tenant has a tenant class for each
/// class of requests for which some rule selects it, and one for all others.
fn rules_by_budget(
    policy: &Policy,
    inventory: &Inventory,
) -> BTreeMap<String, BTreeMap<TenantClass, Vec<usize>>> {
    let named_classes: BTreeSet<&String> =
        policy.rules.iter().flat_map(|rule| &rule.select.classes).collect();
    let mut by_budget = BTreeMap::new();
    for (name, budget) in &policy.budgets {
        let mut by_tenant = BTreeMap::new();
        for (tenant, plan) in &inventory.tenants {
            for class in named_classes.iter().map(|class| Some((*class).clone())).chain([None]) {
                let is_selected = |rule: &Rule| selects(rule, budget, tenant, plan, class.as_ref());
                let rules = policy.rules.iter().enumerate().filter(|(_, rule)| is_selected(rule));
                let rules: Vec<usize> = rules.map(|(index, _)| index).collect();
                if class.is_none() || !rules.is_empty() {
                    by_tenant.insert(TenantClass { tenant: tenant.clone(), class }, rules);
                }
            }
        }
        by_budget.insert(name.clone(), by_tenant);
    }
    by_budget
}

/// Whether a rule selects a tenant's requests of a class at a budget's group; no class: those of all classes that no
/// rule names.
fn selects(rule: &Rule, budget: &Budget, tenant: &str, plan: &str, class: Option<&String>) -> bool {
    let matches = |names: &BTreeSet<String>, name: &str| names.is_empty() || names.contains(name);
    let select = &rule.select;
    let zone_matches =
        budget.zone.as_ref().map_or(select.zones.is_empty(), |zone| matches(&select.zones, zone));
    // A rule without classes sets terms once, for the classes that no rule names together, and not for each class.
    let class_matches = class.map_or(select.classes.is_empty(), |class| select.classes.contains(class));
    zone_matches && class_matches && matches(&select.tenants, tenant) && matches(&select.plans, plan)
}
