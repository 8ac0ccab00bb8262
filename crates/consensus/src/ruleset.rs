//! The rules of a fleet: classes, plans, tenants, servers, gateways and connection budgets.

mod validation;

use frostgauge_connection_budget::{CompiledPolicy, Inventory, Policy, MAX_CONNECTIONS_PER_SERVER};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub use validation::{FieldError, FieldErrors};

/// A gateway's number in the fleet.
pub type GatewayId = u16;
/// The format of [`Rules`] that this program writes and reads.
pub const RULES_FORMAT: u16 = 2;

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The cost of a request, thousandths of a unit.
    pub cost_milli: u64,
    /// Whether a request may be retried.
    pub repeatable: bool,
    /// Whether it is served under fallback rules too.
    #[serde(rename = "ground")]
    pub on_fallback: bool,
}

/// What a tenant has paid for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The quota of a tenant over the whole fleet, thousandths of a unit per second.
    pub rate_milli: u64,
    /// The hard ceiling over the whole fleet, thousandths of a unit per second; none: the quota.
    pub ceiling_milli: Option<u64>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of its plan.
    pub plan: String,
    /// The classes of requests it may send.
    pub classes: BTreeSet<String>,
    /// What each gateway may admit for it under fallback rules, thousandths of a unit per second.
    pub floor_milli: u64,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It takes no new work, and says so itself in each of its responses.
    Draining,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its address and port.
    pub address: String,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Its zone; empty: that of the gateway's own list, or the first.
    #[serde(default)]
    pub zone: String,
}

/// The rules of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// [`RULES_FORMAT`].
    pub format: u16,
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, Class>,
    /// Plans, by name.
    pub plans: BTreeMap<String, Plan>,
    /// Tenants, by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Servers, by name.
    pub servers: BTreeMap<String, Server>,
    /// The gateways of the fleet.
    pub gateways: BTreeSet<GatewayId>,
    /// How many connections servers accept, and how they are shared; empty: no server has a budget.
    #[serde(default)]
    pub budgets: Policy,
}

impl Rules {
    /// The ceiling of a tenant over the whole fleet; its quota where its plan has no ceiling.
    pub(crate) fn ceiling_milli(&self, tenant: &Tenant) -> u64 {
        self.plans.get(&tenant.plan).map_or(0, |p| p.ceiling_milli.unwrap_or(p.rate_milli))
    }

    /// A hash of the rules, the same wherever they are read: the seed by which a fleet that is bootstrapped with them
    /// draws its canaries.
    pub fn seed(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = blake3::hash(&bytes);
        u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
    }

    /// What the policy of budgets applies to.
    fn inventory(&self) -> Inventory {
        Inventory {
            tenants: self.tenants.iter().map(|(n, t)| (n.clone(), t.plan.clone())).collect(),
            classes: self.classes.keys().cloned().collect(),
            servers: self.servers.iter().map(|(n, s)| (n.clone(), s.zone.clone())).collect(),
        }
    }

    /// The compiled policy of budgets; none if there is none, or if the rules are invalid.
    pub fn compiled_budgets(&self) -> Option<CompiledPolicy> {
        let some = !self.budgets.budgets.is_empty();
        some.then(|| CompiledPolicy::new(self.budgets.clone(), &self.inventory()).ok()).flatten()
    }

    /// How many connections a server accepts from the fleet; none: it has no budget.
    pub fn connection_budget(&self, server: &str) -> Option<u32> {
        let zone = &self.servers.get(server)?.zone;
        self.budgets.budget_for_zone(zone).map(|(_, b)| b.connections)
    }

    /// Servers with a budget, and whether it limits anything: one of [`MAX_CONNECTIONS_PER_SERVER`] does not, and is how a fleet
    /// learns that a server is to have one.
    pub fn budgeted_servers(&self) -> BTreeMap<String, bool> {
        if self.budgets.budgets.is_empty() {
            return BTreeMap::new();
        }
        let all = self.servers.keys().filter_map(|name| Some((name, self.connection_budget(name)?)));
        all.map(|(name, n)| (name.clone(), n < MAX_CONNECTIONS_PER_SERVER)).collect()
    }
}

/// Paths at which two sets of rules differ, for a client whose proposal was overtaken.
pub fn changed_paths(a: &Rules, b: &Rules) -> Vec<String> {
    let mut paths = vec![];
    paths.extend(changed_keys("classes", &a.classes, &b.classes));
    paths.extend(changed_keys("plans", &a.plans, &b.plans));
    paths.extend(changed_keys("tenants", &a.tenants, &b.tenants));
    paths.extend(changed_keys("servers", &a.servers, &b.servers));
    paths.extend(changed_keys("budgets.budgets", &a.budgets.budgets, &b.budgets.budgets));
    paths.extend(changed_keys("budgets.conditions", &a.budgets.conditions, &b.budgets.conditions));
    if a.budgets.rules != b.budgets.rules {
        paths.push("budgets.rules".to_owned());
    }
    paths.extend(a.gateways.symmetric_difference(&b.gateways).map(|gateway| format!("gateways.{gateway}")));
    paths
}

fn changed_keys<V: PartialEq>(path: &str, a: &BTreeMap<String, V>, b: &BTreeMap<String, V>) -> Vec<String> {
    let keys: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let changed = keys.into_iter().filter(|key| a.get(*key) != b.get(*key));
    changed.map(|key| format!("{path}.{key}")).collect()
}
