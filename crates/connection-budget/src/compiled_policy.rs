//! A policy compiled against a fleet's tenants, plans and servers, and verified for every combination of conditions.
//!
//! Compiling costs rules x tenants x groups, verification that for each combination of conditions besides (at most
//! [`MAX_CONDITION_COMBINATIONS`](crate::MAX_CONDITION_COMBINATIONS)); an evaluation looks at each tenant's own rules
//! once.

use crate::policy::{Budget, Policy, Rule};
use crate::rule_guard::RuleGuard;
use crate::tenant_class::TenantClass;
use crate::terms::Terms;
use crate::verification::{self, PolicyError};
use std::collections::{BTreeMap, BTreeSet};

/// Names that a policy may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// Plans by tenant.
    pub tenants: BTreeMap<String, String>,
    /// Classes.
    pub classes: BTreeSet<String>,
    /// Zones by server, for servers that take work.
    pub servers: BTreeMap<String, String>,
}

/// A verified policy, ready to be evaluated.
#[derive(Clone, Debug)]
pub struct CompiledPolicy {
    policy: Policy,
    guards: Vec<RuleGuard>,
    /// Indices of the rules for each tenant, in order, by budget.
    rules: BTreeMap<String, BTreeMap<TenantClass, Vec<usize>>>,
    servers: BTreeMap<String, Vec<String>>,
}

impl CompiledPolicy {
    /// Compiles and verifies a policy.
    ///
    /// # Errors
    /// Everything that is wrong with it, each with its path: unknown names, figures out of range, rules that apply to
    /// nobody or never, floors that do not fit under some combination of conditions.
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

    /// The policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Servers of a group.
    pub fn servers(&self, budget: &str) -> &[String] {
        self.servers.get(budget).map_or(&[], Vec::as_slice)
    }

    /// The group of a server.
    pub fn group_of(&self, server: &str) -> Option<&str> {
        let has = |servers: &Vec<String>| servers.iter().any(|name| name == server);
        self.servers.iter().find(|(_, servers)| has(servers)).map(|(name, _)| name.as_str())
    }

    /// Who a tenant's connection in a class counts against at a group; none: the policy knows no such tenant there.
    pub fn tenant_class(&self, budget: &str, tenant: &str, class: &str) -> Option<TenantClass> {
        let known = self.rules.get(budget)?;
        [Some(class), None]
            .map(|class| TenantClass { tenant: tenant.to_owned(), class: class.map(str::to_owned) })
            .into_iter()
            .find(|tenant_class| known.contains_key(tenant_class))
    }

    /// Connections that a group's servers hold together.
    pub fn total_connections(&self, budget: &str) -> u64 {
        let per_server = self.policy.budgets.get(budget).map_or(0, |b| u64::from(b.connections));
        per_server * self.servers(budget).len() as u64
    }

    /// Terms of each tenant at a group while exactly these conditions are active.
    pub fn terms<'a>(
        &'a self,
        budget: &str,
        active_conditions: &'a BTreeSet<String>,
    ) -> impl Iterator<Item = (&'a TenantClass, Terms)> + 'a {
        let tenants = self.rules.get(budget).into_iter().flatten();
        tenants.map(move |(tenant_class, rules)| (tenant_class, self.evaluate(rules, active_conditions)))
    }

    fn evaluate(&self, rules: &[usize], active_conditions: &BTreeSet<String>) -> Terms {
        let mut terms = Terms::default();
        for index in rules.iter().copied().filter(|index| self.guards[*index].holds(active_conditions)) {
            terms.apply(index, &self.policy.rules[index].overrides);
        }
        terms
    }

    /// Whether any tenant at any group has this rule.
    pub(crate) fn is_assigned(&self, rule: usize) -> bool {
        self.rules.values().flat_map(BTreeMap::values).any(|rules| rules.contains(&rule))
    }

    /// Whether a rule holds while exactly these conditions are active.
    pub(crate) fn rule_holds(&self, rule: usize, active_conditions: &BTreeSet<String>) -> bool {
        self.guards[rule].holds(active_conditions)
    }
}

/// Servers of each group: of the budget of their zone, or else of the budget without one.
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

/// Which rules are for whom, by budget.
fn rules_by_budget(
    policy: &Policy,
    inventory: &Inventory,
) -> BTreeMap<String, BTreeMap<TenantClass, Vec<usize>>> {
    let named: BTreeSet<&String> = policy.rules.iter().flat_map(|rule| &rule.select.classes).collect();
    let mut by_budget = BTreeMap::new();
    for (name, budget) in &policy.budgets {
        let mut by_tenant = BTreeMap::new();
        for (tenant, plan) in &inventory.tenants {
            for class in named.iter().map(|class| Some((*class).clone())).chain([None]) {
                let applies = |rule: &Rule| applies(rule, budget, tenant, plan, class.as_ref());
                let rules = policy.rules.iter().enumerate().filter(|(_, rule)| applies(rule));
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

/// Whether a rule is for a tenant in a class at a group.
fn applies(rule: &Rule, budget: &Budget, tenant: &str, plan: &str, class: Option<&String>) -> bool {
    let fits = |names: &BTreeSet<String>, name: &str| names.is_empty() || names.contains(name);
    let select = &rule.select;
    let in_zone = budget.zone.as_ref().map_or(select.zones.is_empty(), |zone| fits(&select.zones, zone));
    // A rule without classes is for what no rule names: once for the tenant as a whole, not once a class.
    let in_class = class.map_or(select.classes.is_empty(), |class| select.classes.contains(class));
    in_zone && in_class && fits(&select.tenants, tenant) && fits(&select.plans, plan)
}
