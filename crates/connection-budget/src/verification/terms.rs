//! Verifies the terms for every combination of conditions: that floors are within ceilings and budgets, that loans and
//! fallback permits are within floors, and that loans can be recalled in time.

use super::{PolicyError, PolicyProblem};
use crate::compiled_policy::CompiledPolicy;
use crate::policy::Policy;
use crate::rule_guard::condition_combinations;
use crate::tenant_class::TenantClass;
use crate::terms::Terms;
use std::collections::{BTreeMap, BTreeSet};

/// Number of rules that a message names when the floors exceed a budget: those with the largest sums of floors.
const MAX_RULES_NAMED: usize = 2;

/// All terms that cannot be kept under some combination of conditions.
pub(crate) fn term_errors(compiled: &CompiledPolicy) -> Vec<PolicyError> {
    let mut errors = vec![];
    for active in condition_combinations(compiled.policy()) {
        let when = describe_conditions(&active);
        for budget in compiled.policy().budgets.keys() {
            let terms: Vec<(&TenantClass, Terms)> = compiled.terms(budget, &active).collect();
            let case = Case { policy: compiled.policy(), budget, when: &when };
            for (tenant_class, terms) in &terms {
                errors.extend(case.reserved_above_floor(tenant_class, terms));
                errors.extend(case.recall_too_fast(terms));
                errors.extend(case.ceiling_below_floor(tenant_class, terms));
            }
            errors.extend(case.floors_above_budget(&terms, compiled.total_connections(budget)));
        }
    }
    errors
}

fn describe_conditions(active: &BTreeSet<String>) -> String {
    if active.is_empty() {
        return "when no condition is active".to_owned();
    }
    format!("when the active conditions are {}", active.iter().cloned().collect::<Vec<_>>().join(", "))
}

/// Path of a term in the rule that sets it, or that of all rules if none does.
fn path(rule: Option<usize>, field: &str) -> String {
    rule.map_or_else(|| "rules".to_owned(), |index| format!("rules[{index}].set.{field}"))
}

/// A budget under one combination of conditions; `when` describes the combination.
struct Case<'a> {
    policy: &'a Policy,
    budget: &'a str,
    when: &'a str,
}

impl Case<'_> {
    /// Index and name of a rule, for messages.
    fn describe_rule(&self, rule: Option<usize>) -> String {
        rule.and_then(|index| Some(format!("rules[{index}] '{}'", self.policy.rules.get(index)?.name)))
            .unwrap_or_else(|| "no rule".to_owned())
    }

    fn reserved_above_floor(&self, tenant_class: &TenantClass, terms: &Terms) -> Option<PolicyError> {
        let lent = terms.loan.map_or(0, |loan| loan.max_connections);
        if terms.fallback.saturating_add(lent) <= terms.floor {
            return None;
        }
        let sources = &terms.sources;
        let path = match sources.fallback {
            Some(_) => path(sources.fallback, "ground"),
            None => path(sources.loan, "lend.up_to"),
        };
        let reason = PolicyProblem::ReservedAboveFloor {
            fallback: terms.fallback,
            lent,
            tenant: tenant_class.tenant.clone(),
            budget: self.budget.to_owned(),
            floor: terms.floor,
            floor_rule: self.describe_rule(sources.floor),
            rule: self.describe_rule(sources.fallback.or(sources.loan)),
            when: self.when.to_owned(),
        };
        Some(PolicyError::new(path, reason))
    }

    fn recall_too_fast(&self, terms: &Terms) -> Option<PolicyError> {
        let budget = &self.policy.budgets[self.budget];
        // A permit is recalled in the next round, and free again once the request that uses it is over.
        let soonest_ms = budget.rotation_ms + budget.attempt_ms;
        let loan = terms.loan.filter(|loan| loan.recall_ms < soonest_ms)?;
        let reason = PolicyProblem::RecallTooFast {
            recall_ms: loan.recall_ms,
            budget: self.budget.to_owned(),
            soonest_ms,
        };
        Some(PolicyError::new(path(terms.sources.loan, "lend.back_ms"), reason))
    }

    fn ceiling_below_floor(&self, tenant_class: &TenantClass, terms: &Terms) -> Option<PolicyError> {
        let ceiling = terms.ceiling.filter(|ceiling| *ceiling < terms.floor)?;
        let reason = PolicyProblem::CeilingBelowFloor {
            ceiling,
            floor: terms.floor,
            tenant: tenant_class.tenant.clone(),
            budget: self.budget.to_owned(),
            floor_rule: self.describe_rule(terms.sources.floor),
            ceiling_rule: self.describe_rule(terms.sources.ceiling),
            when: self.when.to_owned(),
        };
        Some(PolicyError::new(path(terms.sources.ceiling, "ceiling"), reason))
    }

    /// The problem's path is that of the later of the named rules.
    fn floors_above_budget(&self, terms: &[(&TenantClass, Terms)], connections: u64) -> Option<PolicyError> {
        let sum = terms.iter().map(|(_, terms)| u64::from(terms.floor)).sum::<u64>();
        if sum <= connections {
            return None;
        }
        let mut by_rule: BTreeMap<usize, u64> = BTreeMap::new();
        for (_, terms) in terms {
            if let Some(rule) = terms.sources.floor {
                *by_rule.entry(rule).or_default() += u64::from(terms.floor);
            }
        }
        let mut largest: Vec<(u64, usize)> =
            by_rule.into_iter().map(|(rule, floors)| (floors, rule)).collect();
        largest.sort_by(|a, b| b.cmp(a));
        largest.truncate(MAX_RULES_NAMED);
        let described: Vec<String> = (largest.iter())
            .map(|(floors, rule)| format!("{} ({floors})", self.describe_rule(Some(*rule))))
            .collect();
        let last = largest.iter().map(|(_, rule)| *rule).max();
        let reason = PolicyProblem::FloorsAboveBudget {
            budget: self.budget.to_owned(),
            sum,
            connections,
            when: self.when.to_owned(),
            largest: described.join(" and "),
        };
        Some(PolicyError::new(path(last, "floor"), reason))
    }
}
