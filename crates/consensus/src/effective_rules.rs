//! What a gateway may do under a version, under fallback rules, or while several versions may be in force, and where
//! two sets of rules conflict.

use crate::ruleset::{Class, FieldError, GatewayId, Rules, Server, ServerState};
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};

/// The limits up to which one gateway admits requests of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLimits {
    /// The classes of requests that the tenant may send.
    pub classes: BTreeSet<String>,
    /// This gateway's share of the tenant's quota, thousandths of a unit per second.
    pub rate_milli: u64,
    /// This gateway's share of the ceiling (of the quota where the plan has no ceiling), thousandths of a unit per
    /// second.
    pub ceiling_milli: u64,
}

/// What one gateway may do: which requests it may admit, and to which servers it may send them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveRules {
    /// The classes of requests that are served, by name.
    pub classes: BTreeMap<String, Class>,
    /// The limits of each tenant that is served, by name.
    pub tenants: BTreeMap<String, TenantLimits>,
    /// The addresses of servers that may be sent new work, by name.
    pub servers: BTreeMap<String, String>,
    /// Whether only those servers may be used that reported recently, in a response of their own, that they take new
    /// work.
    pub confirmed_only: bool,
    /// The servers to which connections need permits, by name, and whether the budget limits them: see
    /// [`Rules::budgeted_servers`](crate::Rules::budgeted_servers).
    pub budgeted: BTreeMap<String, bool>,
}

impl Rules {
    /// What a gateway may do under these rules while they are in force: nothing if it is not in the fleet.
    pub fn effective_rules(&self, gateway: GatewayId) -> EffectiveRules {
        if !self.gateways.contains(&gateway) {
            return EffectiveRules::default();
        }
        let gateways = self.gateways.len().max(1) as u64;
        let tenants = self.tenants.iter().map(|(name, tenant)| {
            let rate = self.plans.get(&tenant.plan).map_or(0, |plan| plan.rate_milli);
            let limits = TenantLimits {
                classes: tenant.classes.clone(),
                rate_milli: rate / gateways,
                ceiling_milli: self.ceiling_milli(tenant) / gateways,
            };
            (name.clone(), limits)
        });
        EffectiveRules {
            classes: self.classes.clone(),
            tenants: tenants.collect(),
            servers: self.ready_servers(),
            confirmed_only: false,
            budgeted: self.budgeted_servers(),
        }
    }

    fn ready_servers(&self) -> BTreeMap<String, String> {
        let ready = self.servers.iter().filter(|(_, server)| server.state == ServerState::Ready);
        ready.map(|(name, server)| (name.clone(), server.address.clone())).collect()
    }

    /// What a gateway may do without a lease, if these are the rules of its fallback version: it serves each tenant up
    /// to its floor, in the classes that are served under fallback rules, at servers that confirmed that they take new
    /// work.
    pub fn fallback_rules(&self, gateway: GatewayId) -> EffectiveRules {
        if !self.gateways.contains(&gateway) {
            return EffectiveRules::default();
        }
        let on_fallback = self.classes.iter().filter(|(_, class)| class.on_fallback);
        let classes: BTreeMap<String, Class> =
            on_fallback.map(|(name, class)| (name.clone(), class.clone())).collect();
        let with_floor = self.tenants.iter().filter(|(_, tenant)| tenant.floor_milli > 0);
        let tenants = with_floor.map(|(name, tenant)| {
            let served = tenant.classes.iter().filter(|class| classes.contains_key(*class));
            let limits = TenantLimits {
                classes: served.cloned().collect(),
                rate_milli: tenant.floor_milli,
                ceiling_milli: tenant.floor_milli,
            };
            (name.clone(), limits)
        });
        EffectiveRules {
            tenants: tenants.collect(),
            classes,
            servers: self.ready_servers(),
            confirmed_only: true,
            budgeted: self.budgeted_servers(),
        }
    }
}

impl EffectiveRules {
    /// What both this and `other` allow: the classes, tenants and servers in both, each with the stricter limits.
    #[must_use]
    pub fn intersect(&self, other: &EffectiveRules) -> EffectiveRules {
        let mut both = self.clone();
        both.classes.retain(|name, class| {
            let Some(other_class) = other.classes.get(name) else { return false };
            class.cost_milli = class.cost_milli.max(other_class.cost_milli);
            class.repeatable &= other_class.repeatable;
            class.on_fallback &= other_class.on_fallback;
            true
        });
        both.tenants.retain(|name, limits| {
            let Some(other_limits) = other.tenants.get(name) else { return false };
            limits.classes.retain(|class| other_limits.classes.contains(class));
            limits.rate_milli = limits.rate_milli.min(other_limits.rate_milli);
            limits.ceiling_milli = limits.ceiling_milli.min(other_limits.ceiling_milli);
            true
        });
        both.servers.retain(|name, address| other.servers.get(name) == Some(address));
        both.confirmed_only |= other.confirmed_only;
        for (server, is_limited) in &other.budgeted {
            *both.budgeted.entry(server.clone()).or_default() |= is_limited;
        }
        both
    }

    /// The places at which this allows something that `allowed` does not, each with what is stricter under `allowed`.
    pub fn violations_of(&self, allowed: &EffectiveRules) -> Vec<FieldError> {
        let mut violations = vec![];
        self.class_violations(allowed, &mut violations);
        self.tenant_violations(allowed, &mut violations);
        self.server_violations(allowed, &mut violations);
        violations
    }

    fn class_violations(&self, allowed: &EffectiveRules, violations: &mut Vec<FieldError>) {
        for (name, class) in &self.classes {
            let Some(allowed_class) = allowed.classes.get(name) else {
                violations.push(FieldError::new(format!("classes.{name}"), "is not served under the other"));
                continue;
            };
            if class.cost_milli < allowed_class.cost_milli {
                let path = format!("classes.{name}.cost_milli");
                violations.push(FieldError::new(path, "counts for more under the other"));
            }
            if class.repeatable && !allowed_class.repeatable {
                let path = format!("classes.{name}.repeatable");
                violations.push(FieldError::new(path, "may not be repeated under the other"));
            }
        }
    }

    fn tenant_violations(&self, allowed: &EffectiveRules, violations: &mut Vec<FieldError>) {
        for (name, limits) in &self.tenants {
            let Some(allowed_limits) = allowed.tenants.get(name) else {
                violations.push(FieldError::new(format!("tenants.{name}"), "is unknown to the other"));
                continue;
            };
            for class in limits.classes.difference(&allowed_limits.classes) {
                let path = format!("tenants.{name}.classes.{class}");
                violations.push(FieldError::new(path, "is not for this tenant under the other"));
            }
            let smaller_share = "a gateway's part is less under the other";
            if limits.rate_milli > allowed_limits.rate_milli {
                violations.push(FieldError::new(format!("tenants.{name}.rate"), smaller_share));
            }
            if limits.ceiling_milli > allowed_limits.ceiling_milli {
                violations.push(FieldError::new(format!("tenants.{name}.sum"), smaller_share));
            }
        }
    }

    fn server_violations(&self, allowed: &EffectiveRules, violations: &mut Vec<FieldError>) {
        for (name, address) in &self.servers {
            if allowed.servers.get(name) != Some(address) {
                let reason = "gets nothing new under the other";
                violations.push(FieldError::new(format!("servers.{name}"), reason));
            }
            if !self.budgeted.contains_key(name) && allowed.budgeted.get(name) == Some(&true) {
                let reason = "takes connections only for slots under the other";
                violations.push(FieldError::new(format!("servers.{name}.budget"), reason));
            }
        }
    }
}

/// The places at which two sets of rules conflict; empty if they do not.
///
/// They conflict where one allows, and the other forbids, a request (of a tenant, in a class, retried or not, through a
/// gateway), a server, or a sum of admitted work. Each gateway keeps to an equal share of a sum, so two sets of rules
/// conflict if the shares differ, even where the sums are the same.
///
/// Fallback rules are not compared: see [`fallback_violations`].
pub fn find_conflicts(a: &Rules, b: &Rules) -> Vec<FieldError> {
    let in_one_only = a.gateways.symmetric_difference(&b.gateways);
    let reason = "is of the fleet under one of them only";
    let mut conflicts: Vec<FieldError> =
        in_one_only.map(|gateway| FieldError::new(format!("gateways.{gateway}"), reason)).collect();
    // All gateways of a fleet have the same effective rules: the first gateway of each fleet represents the others.
    if let (Some(a_gateway), Some(b_gateway)) = (a.gateways.first(), b.gateways.first()) {
        let (a_rules, b_rules) = (a.effective_rules(*a_gateway), b.effective_rules(*b_gateway));
        conflicts.extend(a_rules.violations_of(&b_rules));
        conflicts.extend(b_rules.violations_of(&a_rules));
    }
    conflicts.sort();
    conflicts.dedup();
    conflicts
}

/// The places at which `new` forbids what a gateway may still do under the fallback rules of `old`; empty if `new` may
/// come into force while gateways use those.
///
/// - A server that is given a budget is such a place if gateways may open connections to it without permits. So a
///   budget of [`MAX_CONNECTIONS_PER_SERVER`](frostgauge_connection_budget::MAX_CONNECTIONS_PER_SERVER) has to come
///   first: it forbids nothing, and makes all gateways use permits.
/// - A server that changes from ready to draining is not: a draining server reports that in its responses, and under
///   fallback rules only servers are used that confirmed that they take new work. A server that is removed, or changes
///   its address, without draining first is such a place.
/// - A tenant's floor under `old` may not exceed a gateway's share under `new`. So the floors at gateways under
///   fallback rules and the shares of the other gateways together stay within the tenant's ceiling.
pub fn fallback_violations(old: &Rules, new: &Rules) -> Vec<FieldError> {
    let mut violations = vec![];
    for gateway in old.gateways.difference(&new.gateways) {
        let reason = "may still act on ground: retire it first, once its process has ended";
        violations.push(FieldError::new(format!("gateways.{gateway}"), reason));
    }
    let Some(gateway) = old.gateways.first() else { return violations };
    let first = new.gateways.first();
    let allowed = first.map_or_else(EffectiveRules::default, |gateway| new.effective_rules(*gateway));
    let exceeding = old.fallback_rules(*gateway).violations_of(&allowed);
    violations.extend(exceeding.into_iter().filter(|violation| !begins_draining(&violation.path, old, new)));
    violations.sort();
    violations.dedup();
    violations
}

/// Whether the path is that of a server that drains under `new`, at the same address as under `old`.
fn begins_draining(path: &str, old: &Rules, new: &Rules) -> bool {
    let Some(name) = path.strip_prefix("servers.") else { return false };
    let old_address = old.servers.get(name).map(|server| &server.address);
    let drains_in_place =
        |server: &Server| server.state == ServerState::Draining && Some(&server.address) == old_address;
    new.servers.get(name).is_some_and(drains_in_place)
}

/// What a gateway may do while any of these versions may be in force, which is what all of them allow; nothing if there
/// are no versions.
pub fn intersect_all<'a>(
    gateway: GatewayId,
    versions: impl IntoIterator<Item = &'a Version>,
) -> EffectiveRules {
    let each = versions.into_iter().map(|version| version.rules.effective_rules(gateway));
    each.reduce(|a, b| a.intersect(&b)).unwrap_or_default()
}
