//! Validation of rules, before a version of them gets a number.

use super::{Rules, RULES_FORMAT};
use frostgauge_connection_budget::{CompiledPolicy, Policy};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Largest number of classes, plans, tenants, servers and gateways, each.
const MAX_ENTRIES: usize = 10_000;
/// Largest length of a name, bytes.
const MAX_NAME_BYTES: usize = 128;

/// What is wrong at one place of rules or settings, or where two sets of rules conflict.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FieldError {
    /// The place, such as `tenants.sul.floor_milli`.
    pub path: String,
    /// What is wrong, for people.
    pub reason: String,
}

impl FieldError {
    pub(crate) fn new(path: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Everything that is wrong with a set of rules or settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", join(.0))]
pub struct FieldErrors(pub Vec<FieldError>);

fn join(errors: &[FieldError]) -> String {
    let texts: Vec<String> = errors.iter().map(FieldError::to_string).collect();
    texts.join("; ")
}

impl Rules {
    /// Everything that is wrong with these rules by themselves; empty if a version of them may get a number.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = vec![];
        self.validate_sizes(&mut errors);
        self.validate_names(&mut errors);
        self.validate_classes_and_plans(&mut errors);
        self.validate_tenants(&mut errors);
        self.validate_servers(&mut errors);
        if errors.is_empty() {
            self.validate_budgets(&mut errors);
        }
        errors
    }

    fn validate_sizes(&self, errors: &mut Vec<FieldError>) {
        if self.format != RULES_FORMAT {
            let reason = format!("is {}, this program knows {RULES_FORMAT}", self.format);
            errors.push(FieldError::new("format", reason));
        }
        if self.gateways.is_empty() {
            errors.push(FieldError::new("gateways", "there must be one"));
        }
        let sizes = [
            ("classes", self.classes.len()),
            ("plans", self.plans.len()),
            ("tenants", self.tenants.len()),
            ("servers", self.servers.len()),
            ("gateways", self.gateways.len()),
        ];
        for (path, entries) in sizes.into_iter().filter(|(_, entries)| *entries > MAX_ENTRIES) {
            errors.push(FieldError::new(path, format!("{entries} entries, {MAX_ENTRIES} at most")));
        }
    }

    fn validate_names(&self, errors: &mut Vec<FieldError>) {
        let names = [
            ("classes", self.classes.keys().collect::<Vec<_>>()),
            ("plans", self.plans.keys().collect()),
            ("tenants", self.tenants.keys().collect()),
            ("servers", self.servers.keys().collect()),
        ];
        for (path, names) in names {
            for name in names.into_iter().filter(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
                let reason = format!("a name of {} bytes: 1 to {MAX_NAME_BYTES} may be", name.len());
                errors.push(FieldError::new(path, reason));
            }
        }
    }

    fn validate_classes_and_plans(&self, errors: &mut Vec<FieldError>) {
        for (name, class) in &self.classes {
            if class.cost_milli == 0 {
                errors.push(FieldError::new(format!("classes.{name}.cost_milli"), "must be over 0"));
            }
        }
        for (name, plan) in &self.plans {
            if let Some(ceiling) = plan.ceiling_milli.filter(|ceiling| *ceiling < plan.rate_milli) {
                let reason = format!("is {ceiling}, under rate_milli {}", plan.rate_milli);
                errors.push(FieldError::new(format!("plans.{name}.ceiling_milli"), reason));
            }
        }
    }

    fn validate_tenants(&self, errors: &mut Vec<FieldError>) {
        let gateways = self.gateways.len() as u64;
        for (name, tenant) in &self.tenants {
            let Some(plan) = self.plans.get(&tenant.plan) else {
                let reason = format!("there is no plan {:?}", tenant.plan);
                errors.push(FieldError::new(format!("tenants.{name}.plan"), reason));
                continue;
            };
            for class in tenant.classes.iter().filter(|class| !self.classes.contains_key(*class)) {
                let reason = format!("there is no class {class:?}");
                errors.push(FieldError::new(format!("tenants.{name}.classes"), reason));
            }
            let rate = plan.rate_milli;
            if tenant.floor_milli > rate / gateways.max(1) {
                let reason = format!("is over a gateway's part of the quota, {rate} over {gateways}");
                errors.push(FieldError::new(format!("tenants.{name}.floor_milli"), reason));
            }
        }
    }

    fn validate_servers(&self, errors: &mut Vec<FieldError>) {
        let mut by_address = BTreeMap::new();
        for (name, server) in &self.servers {
            let path = || format!("servers.{name}.address");
            if server.address.parse::<SocketAddr>().is_err() {
                errors.push(FieldError::new(path(), format!("{:?} is not ADDRESS:PORT", server.address)));
            }
            if let Some(other) = by_address.insert(&server.address, name) {
                errors.push(FieldError::new(path(), format!("is that of {other} too")));
            }
        }
    }

    fn validate_budgets(&self, errors: &mut Vec<FieldError>) {
        if self.budgets == Policy::default() {
            return;
        }
        if let Err(invalid) = CompiledPolicy::new(self.budgets.clone(), &self.inventory()) {
            let within = |path: &str| format!("budgets.{path}");
            errors.extend(
                invalid
                    .into_iter()
                    .map(|error| FieldError::new(within(&error.path), error.reason.to_string())),
            );
        }
    }
}
