//! Rules that never have an effect.

use super::{PolicyError, PolicyProblem};
use crate::compiled_policy::CompiledPolicy;
use crate::rule_guard::condition_combinations;
use std::collections::BTreeSet;

/// Rules that apply to nobody, that never hold, or of which later rules leave nothing.
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
