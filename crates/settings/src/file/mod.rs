//! The structure of a settings file. Names of times end in their unit; unknown fields are errors.

mod counter_call;
mod fleet;
mod introspection;
mod limits;
mod servers;
mod traffic;
mod zone_policy;

pub use counter_call::CounterCall;
pub use fleet::{Fleet, Gateway};
pub use introspection::Introspection;
pub use limits::{Limits, Reports};
pub use servers::{NodeEntry, NodeState, Rules};
pub use traffic::{Class, Effect, Group, Plan, RouteEntry, TenantEntry};
pub use zone_policy::{SpillLimit, ZonePolicy};

use crate::{Fault, Faults};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;

/// A whole file.
#[derive(Clone, Debug)]
pub struct File {
    /// This gateway.
    pub gateway: Gateway,
    /// All gateways.
    pub fleet: Fleet,
    /// The introspection server.
    pub introspection: Introspection,
    /// Classes of request, by name.
    pub classes: BTreeMap<String, Class>,
    /// Plans, by name.
    pub plans: BTreeMap<String, Plan>,
    /// Tenants (section `insurers`), by the name that the token's chosen member gives.
    pub tenants: BTreeMap<String, TenantEntry>,
    /// Routes; the first that matches applies.
    pub routes: Vec<RouteEntry>,
    /// Zones.
    pub zones: Vec<String>,
    /// Servers (section `nodes`).
    pub nodes: Vec<NodeEntry>,
    /// Rules for sending to servers.
    pub rules: Rules,
    /// Bounds and timeouts.
    pub limits: Limits,
    /// Preference between zones; without it, all zones are alike.
    pub zone_policy: Option<ZonePolicy>,
    /// The shared counter; without it, usage is learnt from peers and servers.
    pub counter: Option<CounterCall>,
    /// Rules that the fleet agrees on (section `accord`); without it, each gateway uses its own file.
    pub consensus: Option<crate::Consensus>,
}

/// Reads each section by itself, so that an error in one does not hide errors in others.
struct Sections<'a> {
    members: &'a serde_json::Map<String, Value>,
    faults: Vec<Fault>,
}

impl Sections<'_> {
    fn parse<T: DeserializeOwned>(&mut self, path: &str, value: &Value) -> Option<T> {
        match serde_path_to_error::deserialize(value) {
            Ok(value) => Some(value),
            Err(e) => {
                let inner = e.path().to_string();
                let path = if inner == "." { path.to_owned() } else { format!("{path}.{inner}") };
                self.faults.push(Fault { path, reason: e.inner().to_string() });
                None
            }
        }
    }

    fn get(&mut self, name: &str) -> Option<Value> {
        let found = self.members.get(name).cloned();
        if found.is_none() {
            self.faults.push(Fault { path: name.to_owned(), reason: "is missing".into() });
        }
        found
    }

    fn one<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.get(name)?;
        self.parse(name, &value)
    }

    fn optional<T: DeserializeOwned + Default>(&mut self, name: &str) -> Option<T> {
        match self.members.get(name).cloned() {
            Some(value) => self.parse(name, &value),
            None => Some(T::default()),
        }
    }

    fn list<T: DeserializeOwned>(&mut self, name: &str) -> Option<Vec<T>> {
        let Value::Array(items) = self.get(name)? else {
            self.faults.push(Fault { path: name.to_owned(), reason: "is no list".into() });
            return None;
        };
        let items: Vec<_> =
            items.iter().enumerate().map(|(k, v)| self.parse(&format!("{name}[{k}]"), v)).collect();
        items.into_iter().collect()
    }

    fn map<T: DeserializeOwned>(&mut self, name: &str) -> Option<BTreeMap<String, T>> {
        let Value::Object(items) = self.get(name)? else {
            self.faults.push(Fault { path: name.to_owned(), reason: "is no object".into() });
            return None;
        };
        let items: Vec<_> = items
            .iter()
            .map(|(k, v)| self.parse(&format!("{name}.{k}"), v).map(|v| (k.clone(), v)))
            .collect();
        items.into_iter().collect()
    }
}

/// Names of the sections.
const SECTIONS: [&str; 14] = [
    "gateway",
    "fleet",
    "introspection",
    "classes",
    "plans",
    "insurers",
    "routes",
    "zones",
    "nodes",
    "rules",
    "limits",
    "zone_policy",
    "counter",
    "accord",
];

/// Reads an evaluated template as a settings file.
pub(crate) fn read(value: &Value) -> Result<File, Faults> {
    let Value::Object(members) = value else {
        return Err(Faults(vec![Fault { path: "settings".into(), reason: "are no object".into() }]));
    };
    let mut s = Sections { members, faults: vec![] };
    for name in members.keys().filter(|name| !SECTIONS.contains(&name.as_str())) {
        s.faults.push(Fault { path: name.clone(), reason: "is not a section of the settings".into() });
    }
    let (gateway, fleet, introspection) = (s.one("gateway"), s.one("fleet"), s.one("introspection"));
    let (classes, plans, tenants) = (s.map("classes"), s.map("plans"), s.map("insurers"));
    let (routes, zones, nodes) = (s.list("routes"), s.list("zones"), s.list("nodes"));
    let (rules, limits) = (s.optional("rules"), s.optional("limits"));
    let (zone_policy, counter) = (s.optional("zone_policy"), s.optional("counter"));
    let consensus = s.optional("accord");
    let file = (|| {
        Some(File {
            gateway: gateway?,
            fleet: fleet?,
            introspection: introspection?,
            classes: classes?,
            plans: plans?,
            tenants: tenants?,
            routes: routes?,
            zones: zones?,
            nodes: nodes?,
            rules: rules?,
            limits: limits?,
            zone_policy: zone_policy?,
            counter: counter?,
            consensus: consensus?,
        })
    })();
    file.filter(|_| s.faults.is_empty()).ok_or(Faults(s.faults))
}
