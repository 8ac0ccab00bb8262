//! Checked settings, with names resolved to the numbers that the decisions use.

use crate::{check, Fault, File, Introspection, Limits, Route, Routed, Secret};
use frostgauge::{CustomerId, ServerEntry};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A tenant as the decisions know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its number.
    pub id: CustomerId,
    /// Index of its plan.
    pub plan: usize,
    /// The first gateway of the subset that its requests come through.
    pub subset_start: usize,
    /// Gateways in that subset.
    pub subset_size: usize,
}

/// A server: what the decisions know of it, and its address.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its address.
    pub address: SocketAddr,
    /// Its entry, with `ready_at` in microseconds since 1970.
    pub entry: ServerEntry,
}

/// Settings, ready for use.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The file itself.
    pub file: File,
    /// The settings of the decision library.
    pub library: frostgauge::Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Routes in order.
    pub routes: Vec<Route>,
    /// Servers.
    pub nodes: Vec<Node>,
    /// The introspection client's secret.
    pub client_secret: Secret,
    /// The gateways' shared secret, where they talk to each other.
    pub peer_secret: Option<Secret>,
    /// This gateway's secret for the counter, where there is one.
    pub counter_secret: Option<Secret>,
    /// The fleet's secret for peer connections, where its rules are agreed on.
    pub link_secret: Option<Secret>,
    /// Where the settings file lies.
    pub folder: std::path::PathBuf,
}

impl Loaded {
    /// Where a request goes; `path` without its query.
    pub fn route(&self, method: &str, path: &str) -> Routed<'_> {
        let mut matching = self.routes.iter().enumerate().filter(|(_, r)| r.matches(path)).peekable();
        if matching.peek().is_none() {
            return Routed::Nowhere;
        }
        let mut others = vec![];
        for (k, route) in matching {
            if route.method == method {
                return Routed::To(k, route);
            }
            others.push(route.method.as_str());
        }
        others.dedup();
        Routed::Method(others)
    }

    /// Why these settings cannot replace `old` while the gateway runs; none if they can.
    pub fn needs_restart(&self, old: &Loaded) -> Vec<Fault> {
        let mut c = check::Checks(vec![]);
        let (new, old) = (&self.file, &old.file);
        let reason = "changes; that needs a restart";
        c.that(new.gateway == old.gateway, "gateway", reason);
        c.that(new.fleet == old.fleet, "fleet", reason);
        c.that(new.classes == old.classes, "classes", reason);
        c.that(new.plans == old.plans, "plans", reason);
        c.that(new.rules == old.rules, "rules", reason);
        c.that(new.zone_policy == old.zone_policy, "zone_policy", reason);
        c.that(new.counter == old.counter, "counter", reason);
        c.that(new.consensus == old.consensus, "accord", reason);
        let kept = new.zones.get(..old.zones.len()) == Some(&old.zones[..]);
        c.that(kept, "zones", "takes one away or changes their order; that needs a restart");
        let l = |l: &Limits| (l.attempts, l.retry_after_ms, l.reports, l.probe_path.clone(), l.meter_ms);
        c.that(
            l(&new.limits) == l(&old.limits),
            "limits",
            "changes attempts, retry_after_ms, reports, probe_path or meter_ms; that needs a restart",
        );
        c.0
    }

    /// The node list as the decisions take it.
    pub fn entries(&self) -> Vec<ServerEntry> {
        self.nodes.iter().map(|n| n.entry.clone()).collect()
    }

    /// What `identity` goes by.
    pub fn introspection(&self) -> &Introspection {
        &self.file.introspection
    }
}
