//! When a rule applies: all conditions that it names must be active, and all that it negates must not be.

use crate::policy::{minute_in_range, Condition, Policy, Rule, MAX_CONDITIONS, MINUTES_PER_DAY};
use std::collections::BTreeSet;

/// Maximum number of combinations of conditions for which a policy is verified.
pub const MAX_CONDITION_COMBINATIONS: usize = 1 << MAX_CONDITIONS;

/// A condition that a rule names or negates.
#[derive(Clone, Debug)]
struct Literal {
    condition: String,
    /// Whether the condition must be active; false if the rule negates it.
    active: bool,
}

/// The conditions of one rule, all of which must be met.
#[derive(Clone, Debug)]
pub(crate) struct RuleGuard {
    literals: Vec<Literal>,
}

impl RuleGuard {
    pub(crate) fn new(rule: &Rule) -> RuleGuard {
        let literals = rule.when.iter().map(|name| match name.strip_prefix('!') {
            Some(negated) => Literal { condition: negated.to_owned(), active: false },
            None => Literal { condition: name.clone(), active: true },
        });
        RuleGuard { literals: literals.collect() }
    }

    /// Whether the rule applies while exactly these conditions are active.
    pub(crate) fn holds(&self, active_conditions: &BTreeSet<String>) -> bool {
        self.literals.iter().all(|literal| active_conditions.contains(&literal.condition) == literal.active)
    }
}

/// The sets of a policy's conditions that can be active at the same time. Sets that no minute of the day allows are
/// left out: two times of day that do not overlap are never active together.
pub(crate) fn condition_combinations(policy: &Policy) -> Vec<BTreeSet<String>> {
    let names: Vec<&String> = policy.conditions.keys().collect();
    let combinations = (0..1usize << names.len().min(MAX_CONDITIONS)).map(|bits| {
        let active = names.iter().enumerate().filter(|(index, _)| bits >> index & 1 == 1);
        active.map(|(_, name)| (*name).clone()).collect::<BTreeSet<String>>()
    });
    combinations.filter(|active| some_minute_matches(policy, active)).collect()
}

/// Whether at some minute of the day exactly those of the policy's time-of-day conditions hold that are in `active`.
fn some_minute_matches(policy: &Policy, active: &BTreeSet<String>) -> bool {
    let ranges: Vec<(bool, u16, u16)> = (policy.conditions.iter())
        .filter_map(|(name, condition)| match condition {
            Condition::TimeOfDay { from_minute, to_minute } => {
                Some((active.contains(name), *from_minute, *to_minute))
            }
            _ => None,
        })
        .collect();
    let matches =
        |minute: u16| ranges.iter().all(|(active, from, to)| minute_in_range(minute, *from, *to) == *active);
    ranges.is_empty() || (0..MINUTES_PER_DAY).any(matches)
}
