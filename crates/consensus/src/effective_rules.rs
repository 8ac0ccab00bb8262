//! What a gateway may do under a version, under fallback rules, or while several versions may be in force; and where two
//! of these conflict.

use crate::ruleset::{Class, FieldError, GatewayId, Rules, Server, ServerState};
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};

/// What one gateway admits for a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLimits {
    /// The classes of requests it may send.
    pub classes: BTreeSet<String>,
    /// This gateway's share of the quota, thousandths of a unit per second.
    pub rate_milli: u64,
    /// Its share of the ceiling (of the quota where there is none), thousandths of a unit per second.
    pub ceiling_milli: u64,
}

/// What one gateway may do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveRules {
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, Class>,
    /// Limits of tenants, by name.
    pub tenants: BTreeMap<String, TenantLimits>,
    /// Addresses of servers that may get new work, by name.
    pub servers: BTreeMap<String, String>,
    /// Whether only servers count whose own response said a short while ago that they take new work.
    pub confirmed_only: bool,
    /// Servers that accept connections only with permits, and whether that limits anything: see
    /// [`Rules::budgeted_servers`](crate::Rules::budgeted_servers).
    pub budgeted: BTreeMap<String, bool>,
}

impl Rules {
    /// What a gateway may do under these rules: nothing if it is not in the fleet.
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

    /// What a gateway may do without a lease, when these are the last rules it knows to have been in force: each
    /// tenant's floor, in the classes served under fallback rules, at servers that said so themselves.
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
    /// What both allow.
    #[must_use]
    pub fn intersect(&self, other: &EffectiveRules) -> EffectiveRules {
        let mut both = self.clone();
        both.classes.retain(|name, class| {
            let Some(theirs) = other.classes.get(name) else { return false };
            class.cost_milli = class.cost_milli.max(theirs.cost_milli);
            class.repeatable &= theirs.repeatable;
            class.on_fallback &= theirs.on_fallback;
            true
        });
        both.tenants.retain(|name, limits| {
            let Some(theirs) = other.tenants.get(name) else { return false };
            limits.classes.retain(|class| theirs.classes.contains(class));
            limits.rate_milli = limits.rate_milli.min(theirs.rate_milli);
            limits.ceiling_milli = limits.ceiling_milli.min(theirs.ceiling_milli);
            true
        });
        both.servers.retain(|name, address| other.servers.get(name) == Some(address));
        both.confirmed_only |= other.confirmed_only;
        for (server, limits) in &other.budgeted {
            *both.budgeted.entry(server.clone()).or_default() |= limits;
        }
        both
    }

    /// Where this allows what `law` forbids: each place, with what is narrower under `law`.
    pub fn violations_of(&self, law: &EffectiveRules) -> Vec<FieldError> {
        let mut violations = vec![];
        self.class_violations(law, &mut violations);
        self.tenant_violations(law, &mut violations);
        self.server_violations(law, &mut violations);
        violations
    }

    fn class_violations(&self, law: &EffectiveRules, violations: &mut Vec<FieldError>) {
        for (name, class) in &self.classes {
            let Some(theirs) = law.classes.get(name) else {
                violations.push(FieldError::new(format!("classes.{name}"), "is not served under the other"));
                continue;
            };
            if class.cost_milli < theirs.cost_milli {
                let path = format!("classes.{name}.cost_milli");
                violations.push(FieldError::new(path, "counts for more under the other"));
            }
            if class.repeatable && !theirs.repeatable {
                let path = format!("classes.{name}.repeatable");
                violations.push(FieldError::new(path, "may not be repeated under the other"));
            }
        }
    }

    fn tenant_violations(&self, law: &EffectiveRules, violations: &mut Vec<FieldError>) {
        for (name, limits) in &self.tenants {
            let Some(theirs) = law.tenants.get(name) else {
                violations.push(FieldError::new(format!("tenants.{name}"), "is unknown to the other"));
                continue;
            };
            for class in limits.classes.difference(&theirs.classes) {
                let path = format!("tenants.{name}.classes.{class}");
                violations.push(FieldError::new(path, "is not for this tenant under the other"));
            }
            let smaller_share = "a gateway's part is less under the other";
            if limits.rate_milli > theirs.rate_milli {
                violations.push(FieldError::new(format!("tenants.{name}.rate"), smaller_share));
            }
            if limits.ceiling_milli > theirs.ceiling_milli {
                violations.push(FieldError::new(format!("tenants.{name}.sum"), smaller_share));
            }
        }
    }

    fn server_violations(&self, law: &EffectiveRules, violations: &mut Vec<FieldError>) {
        for (name, address) in &self.servers {
            if law.servers.get(name) != Some(address) {
                let reason = "gets nothing new under the other";
                violations.push(FieldError::new(format!("servers.{name}"), reason));
            }
            if !self.budgeted.contains_key(name) && law.budgeted.get(name) == Some(&true) {
                let reason = "takes connections only for slots under the other";
                violations.push(FieldError::new(format!("servers.{name}.budget"), reason));
            }
        }
    }
}

/// Where two sets of rules conflict: a request (of a tenant, in a class, retried or not, through a gateway), a server,
/// or a sum that one allows and the other forbids. Sums are kept in even shares, so two sets of rules whose shares
/// differ conflict even where the sums are the same. Empty if they do not.
///
/// Not compared: author, reason, time, and fallback rules (see [`fallback_violations`]).
pub fn find_conflicts(a: &Rules, b: &Rules) -> Vec<FieldError> {
    let in_one_only = a.gateways.symmetric_difference(&b.gateways);
    let reason = "is of the fleet under one of them only";
    let mut conflicts: Vec<FieldError> =
        in_one_only.map(|gateway| FieldError::new(format!("gateways.{gateway}"), reason)).collect();
    // Shares are equal for all gateways of a fleet: one of each represents all.
    if let (Some(x), Some(y)) = (a.gateways.first(), b.gateways.first()) {
        let (x, y) = (a.effective_rules(*x), b.effective_rules(*y));
        conflicts.extend(x.violations_of(&y));
        conflicts.extend(y.violations_of(&x));
    }
    conflicts.sort();
    conflicts.dedup();
    conflicts
}

/// Where `new` forbids what a gateway may still do under the fallback rules of `old`. Empty if `new` may follow while
/// gateways use them.
///
/// A server that gets a budget breaks the fallback rules of those who open connections there without permits: a budget
/// of [`MAX_CONNECTIONS_PER_SERVER`](frostgauge_connection_budget::MAX_CONNECTIONS_PER_SERVER) comes first, which
/// forbids nothing and makes all ask for permits.
///
/// A server that goes from ready to draining breaks nothing: a draining server says so in its responses, and under
/// fallback rules only those count. One that vanishes, or moves, without having drained first does. A floor may not be
/// over a gateway's share under `new`: so floors of those under fallback rules and shares of the others stay within the
/// sum.
pub fn fallback_violations(old: &Rules, new: &Rules) -> Vec<FieldError> {
    let mut violations = vec![];
    for gateway in old.gateways.difference(&new.gateways) {
        let reason = "may still act on ground: retire it first, once its process has ended";
        violations.push(FieldError::new(format!("gateways.{gateway}"), reason));
    }
    let Some(gateway) = old.gateways.first() else { return violations };
    let first = new.gateways.first();
    let law = first.map_or_else(EffectiveRules::default, |gateway| new.effective_rules(*gateway));
    let exceeding = old.fallback_rules(*gateway).violations_of(&law);
    violations.extend(exceeding.into_iter().filter(|violation| !begins_draining(&violation.path, old, new)));
    violations.sort();
    violations.dedup();
    violations
}

/// Whether the path names a server that only begins to drain.
fn begins_draining(path: &str, old: &Rules, new: &Rules) -> bool {
    let Some(name) = path.strip_prefix("servers.") else { return false };
    let old_address = old.servers.get(name).map(|server| &server.address);
    let drains_in_place =
        |server: &Server| server.state == ServerState::Draining && Some(&server.address) == old_address;
    new.servers.get(name).is_some_and(drains_in_place)
}

/// What a gateway may do while each of these versions may be in force; nothing if there is none.
pub fn intersect_all<'a>(
    gateway: GatewayId,
    versions: impl IntoIterator<Item = &'a Version>,
) -> EffectiveRules {
    let each = versions.into_iter().map(|version| version.rules.effective_rules(gateway));
    each.reduce(|a, b| a.intersect(&b)).unwrap_or_default()
}
