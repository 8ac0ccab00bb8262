//! Verifies that each rule has an effect for some tenant class under some combination of conditions.

use super::{PolicyError, PolicyProblem};
use crate::compiled_policy::CompiledPolicy;
use crate::rule_guard::condition_combinations;
use std::collections::BTreeSet;

/// Rules that select no tenant class, whose conditions are never met together, or whose terms later rules always
/// override.
pub(crate) fn unused_rule_errors(compiled: &CompiledPolicy) -> Vec<PolicyError> {
    let combinations = condition_combinations(compiled.policy());
    let mut used: BTreeSet<usize> = BTreeSet::new();
    for budget in compiled.policy().budgets.keys() {
        for active in &combinations {
            used.extend(compiled.terms(budget, active).flat_map(|(_, terms)| terms.sources.rules()));
        }
    }
    let unused = compiled.policy().rules.iter().enumerate().filter(|(index, _)| !used.contains(index));
    let errors = unused.map(|(index, rule)| {
        let rule = rule.name.clone();
        let reason = if !compiled.is_assigned(index) {
            PolicyProblem::UnmatchedRule { rule }
        } else if !combinations.iter().any(|active| compiled.rule_holds(index, active)) {
            PolicyProblem::ContradictoryRule { rule }
        } else {
            PolicyProblem::OverriddenRule { rule }
        };
        PolicyError::new(format!("rules[{index}]"), reason)
    });
    errors.collect()
}
