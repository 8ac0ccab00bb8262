//! Verifies what can be judged from the policy alone: ranges of figures, numbers of entries, names of conditions and
//! rules.

use super::{PolicyError, PolicyProblem};
use crate::policy::{
    Budget, Condition, Policy, Rule, TermOverrides, MAX_CONDITIONS, MAX_RULES, MINUTES_PER_DAY,
};
use std::collections::BTreeMap;

/// Maximum number of connections of one server, which keeps sums of connections small. A budget of this size limits
/// nothing in practice, so gateways that do not know of it comply with it too.
pub const MAX_CONNECTIONS_PER_SERVER: u32 = 1_000_000;
/// Longest duration that a budget may set, milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// All problems that follow from the policy alone.
pub(crate) fn limit_errors(policy: &Policy) -> Vec<PolicyError> {
    let mut errors = vec![];
    let counts =
        [("conditions", policy.conditions.len(), MAX_CONDITIONS), ("rules", policy.rules.len(), MAX_RULES)];
    for (path, count, max) in counts.into_iter().filter(|(_, count, max)| count > max) {
        errors.push(PolicyError::new(path, PolicyProblem::TooMany { count, max }));
    }
    for (name, budget) in &policy.budgets {
        budget_errors(name, budget, &mut errors);
    }
    for (name, condition) in &policy.conditions {
        condition_errors(name, condition, &mut errors);
    }
    let mut indices_by_name = BTreeMap::new();
    for (index, rule) in policy.rules.iter().enumerate() {
        if let Some(previous) = indices_by_name.insert(&rule.name, index) {
            let reason = PolicyProblem::DuplicateRuleName { name: rule.name.clone(), previous };
            errors.push(PolicyError::new(format!("rules[{index}].name"), reason));
        }
        rule_errors(index, rule, &mut errors);
    }
    errors
}

fn budget_errors(name: &str, budget: &Budget, errors: &mut Vec<PolicyError>) {
    let mut push = |field: &str, reason| {
        errors.push(PolicyError::new(format!("budgets.{name}.{field}"), reason));
    };
    let connections = budget.connections;
    if connections == 0 || connections > MAX_CONNECTIONS_PER_SERVER {
        push(
            "connections",
            PolicyProblem::ConnectionsOutOfRange { connections, max: MAX_CONNECTIONS_PER_SERVER },
        );
    }
    let durations =
        [("attempt_ms", budget.attempt_ms), ("turn_ms", budget.rotation_ms), ("idle_ms", budget.idle_ms)];
    for (field, value) in durations.into_iter().filter(|(_, value)| *value > MAX_DURATION_MS) {
        push(field, PolicyProblem::AboveMaximum { value, max: MAX_DURATION_MS });
    }
    if budget.attempt_ms == 0 {
        push("attempt_ms", PolicyProblem::ZeroDuration);
    } else if budget.rotation_ms == 0 {
        push("turn_ms", PolicyProblem::ZeroDuration);
    }
    if budget.idle_ms == 0 {
        push("idle_ms", PolicyProblem::ZeroIdleLimit);
    }
}

fn condition_errors(name: &str, condition: &Condition, errors: &mut Vec<PolicyError>) {
    if name.starts_with('!') || name.is_empty() {
        let path = format!("conditions.{name}");
        errors.push(PolicyError::new(path, PolicyProblem::InvalidConditionName));
    }
    let mut push = |field: &str, reason| {
        errors.push(PolicyError::new(format!("conditions.{name}.{field}"), reason));
    };
    match condition {
        Condition::UsageAbove { percent, end_below_percent, .. } => {
            if *percent > 100 {
                let reason = PolicyProblem::AboveMaximum { value: u64::from(*percent), max: 100 };
                push("use_over.percent", reason);
            }
            if end_below_percent >= percent {
                push("use_over.under_percent", PolicyProblem::NoHysteresis);
            }
        }
        Condition::TimeOfDay { from_minute, to_minute } => {
            if *from_minute >= MINUTES_PER_DAY || *to_minute > MINUTES_PER_DAY {
                push("hours", PolicyProblem::MinuteOutOfRange);
            }
            if from_minute == to_minute {
                push("hours", PolicyProblem::EmptyTimeOfDay);
            }
        }
        Condition::ZoneUnavailable { .. } | Condition::QuorumUnreachable { .. } => {}
    }
}

fn rule_errors(index: usize, rule: &Rule, errors: &mut Vec<PolicyError>) {
    if rule.overrides == TermOverrides::default() {
        errors.push(PolicyError::new(format!("rules[{index}].set"), PolicyProblem::NoOverrides));
    }
    if let Some(loan) = rule.overrides.loan.filter(|l| l.recall_ms == 0 && l.max_connections > 0) {
        let reason = PolicyProblem::ZeroRecallTime { connections: loan.max_connections };
        errors.push(PolicyError::new(format!("rules[{index}].set.lend.back_ms"), reason));
    }
}
