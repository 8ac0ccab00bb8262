//! The rules of a fleet of gateways: classes, plans, tenants, servers, gateways and connection budgets.

mod validation;

use frostgauge_connection_budget::{CompiledPolicy, Inventory, Policy, MAX_CONNECTIONS_PER_SERVER};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub use validation::{FieldError, FieldErrors};

/// The number that identifies a gateway in the fleet.
pub type GatewayId = u16;
/// The number of the format of [`Rules`] that this program writes and reads; rules of any other are invalid.
pub const RULES_FORMAT: u16 = 2;

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The cost of a request, thousandths of a unit.
    pub cost_milli: u64,
    /// Whether a failed request of the class may be retried.
    pub repeatable: bool,
    /// Whether requests of the class are also served under fallback rules.
    #[serde(rename = "ground")]
    pub on_fallback: bool,
}

/// The limits of the tenants that have this plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The quota of each tenant over the whole fleet, thousandths of a unit per second.
    pub rate_milli: u64,
    /// The hard ceiling of each tenant over the whole fleet, thousandths of a unit per second; none: the quota is the
    /// ceiling.
    pub ceiling_milli: Option<u64>,
}

/// A tenant: its plan, and what it may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of the tenant's plan.
    pub plan: String,
    /// The names of the classes of requests that the tenant may send.
    pub classes: BTreeSet<String>,
    /// What each gateway may admit for the tenant under fallback rules, thousandths of a unit per second.
    pub floor_milli: u64,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It takes no new work, and reports that in each of its responses.
    Draining,
}

/// A server: where it is, and whether it takes new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The IP address and port, as `ADDRESS:PORT`.
    pub address: String,
    /// Whether the server takes new work.
    pub state: ServerState,
    /// The server's zone; empty: the one in the gateway's own list of servers, or the first zone.
    #[serde(default)]
    pub zone: String,
}

/// The rules of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The format of these rules: [`RULES_FORMAT`].
    pub format: u16,
    /// The classes of requests, by name.
    pub classes: BTreeMap<String, Class>,
    /// The plans, by name.
    pub plans: BTreeMap<String, Plan>,
    /// The tenants, by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// The servers, by name.
    pub servers: BTreeMap<String, Server>,
    /// The gateways of the fleet.
    pub gateways: BTreeSet<GatewayId>,
    /// How many connections servers accept, and how gateways and tenants share them; empty: no server has a budget.
    #[serde(default)]
    pub budgets: Policy,
}

impl Rules {
    /// The ceiling of a tenant over the whole fleet, thousandths of a unit per second: the quota where the plan has no
    /// ceiling, 0 where there is no such plan.
    pub(crate) fn ceiling_milli(&self, tenant: &Tenant) -> u64 {
        self.plans.get(&tenant.plan).map_or(0, |p| p.ceiling_milli.unwrap_or(p.rate_milli))
    }

    /// A hash of the rules, the same on every gateway. A fleet that is bootstrapped with these rules uses it as the
    /// seed of the choice of canaries.
    pub fn seed(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = blake3::hash(&bytes);
        u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
    }

    /// The tenants, classes and servers that the policy of connection budgets refers to.
    fn inventory(&self) -> Inventory {
        Inventory {
            tenants: self.tenants.iter().map(|(name, tenant)| (name.clone(), tenant.plan.clone())).collect(),
            classes: self.classes.keys().cloned().collect(),
            servers: self.servers.iter().map(|(name, server)| (name.clone(), server.zone.clone())).collect(),
        }
    }

    /// The compiled policy of connection budgets; none if no server has a budget, or if the policy is invalid.
    pub fn compiled_budgets(&self) -> Option<CompiledPolicy> {
        let has_budgets = !self.budgets.budgets.is_empty();
        has_budgets.then(|| CompiledPolicy::new(self.budgets.clone(), &self.inventory()).ok()).flatten()
    }

    /// How many connections a server accepts from the whole fleet; none if the server has no budget or is unknown.
    pub fn connection_budget(&self, server: &str) -> Option<u32> {
        let zone = &self.servers.get(server)?.zone;
        self.budgets.budget_for_zone(zone).map(|(_, budget)| budget.connections)
    }

    /// The servers with a budget, by name, and whether the budget limits them. A budget of
    /// [`MAX_CONNECTIONS_PER_SERVER`] does not: it is published before a smaller one, so that all gateways already use
    /// permits when that limits the server.
    pub fn budgeted_servers(&self) -> BTreeMap<String, bool> {
        if self.budgets.budgets.is_empty() {
            return BTreeMap::new();
        }
        let budgeted = self.servers.keys().filter_map(|name| Some((name, self.connection_budget(name)?)));
        budgeted.map(|(name, connections)| (name.clone(), connections < MAX_CONNECTIONS_PER_SERVER)).collect()
    }
}

/// The paths at which two sets of rules differ, such as `tenants.sul`. They are reported to a client that made its
/// proposal from an outdated version. The format is not compared.
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
