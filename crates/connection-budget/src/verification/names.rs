//! Verifies that the names in a policy exist, and that each budget has servers and a zone of its own.

use super::{NameKind, PolicyError, PolicyProblem};
use crate::compiled_policy::Inventory;
use crate::policy::{Condition, Policy, Rule};
use std::collections::{BTreeMap, BTreeSet};

fn unknown_name(path: String, kind: NameKind, name: &str) -> PolicyError {
    PolicyError::new(path, PolicyProblem::UnknownName { kind, name: name.to_owned() })
}

/// All names in a policy that neither the inventory nor the policy itself defines.
pub(crate) fn name_errors(policy: &Policy, inventory: &Inventory) -> Vec<PolicyError> {
    let mut errors = vec![];
    let zones: BTreeSet<&String> = inventory.servers.values().collect();
    for (index, rule) in policy.rules.iter().enumerate() {
        selector_errors(index, rule, inventory, &mut errors);
        for name in rule.when.iter().map(|name| name.strip_prefix('!').unwrap_or(name)) {
            if !policy.conditions.contains_key(name) {
                errors.push(unknown_name(format!("rules[{index}].when"), NameKind::Condition, name));
            }
        }
    }
    for (name, condition) in &policy.conditions {
        match condition {
            Condition::ZoneUnavailable { zone, .. } if !zones.contains(zone) => {
                errors.push(unknown_name(format!("conditions.{name}.zone_dark.zone"), NameKind::Zone, zone));
            }
            Condition::UsageAbove { budget, .. } if !policy.budgets.contains_key(budget) => {
                errors.push(unknown_name(
                    format!("conditions.{name}.use_over.budget"),
                    NameKind::Budget,
                    budget,
                ));
            }
            _ => {}
        }
    }
    errors
}

fn selector_errors(index: usize, rule: &Rule, inventory: &Inventory, errors: &mut Vec<PolicyError>) {
    let select = &rule.select;
    let tenants: BTreeSet<&String> = inventory.tenants.keys().collect();
    let plans: BTreeSet<&String> = inventory.tenants.values().collect();
    let classes: BTreeSet<&String> = inventory.classes.iter().collect();
    let zones: BTreeSet<&String> = inventory.servers.values().collect();
    let lists = [
        ("tenants", NameKind::Tenant, &select.tenants, tenants),
        ("plans", NameKind::Plan, &select.plans, plans),
        ("classes", NameKind::Class, &select.classes, classes),
        ("zones", NameKind::Zone, &select.zones, zones),
    ];
    for (field, kind, names, known) in lists {
        for name in names.iter().filter(|name| !known.contains(name)) {
            errors.push(unknown_name(format!("rules[{index}].select.{field}"), kind, name));
        }
    }
}

/// Budgets that have the same zone as another one, and budgets without servers.
pub(crate) fn group_errors(policy: &Policy, servers: &BTreeMap<String, Vec<String>>) -> Vec<PolicyError> {
    let mut errors = vec![];
    let mut by_zone: BTreeMap<Option<&String>, &String> = BTreeMap::new();
    for (name, budget) in &policy.budgets {
        if let Some(other) = by_zone.insert(budget.zone.as_ref(), name) {
            let reason = PolicyProblem::DuplicateZone { other: other.clone() };
            errors.push(PolicyError::new(format!("budgets.{name}.zone"), reason));
        }
    }
    for (name, _) in servers.iter().filter(|(_, servers)| servers.is_empty()) {
        errors.push(PolicyError::new(format!("budgets.{name}"), PolicyProblem::NoServers));
    }
    errors
}
