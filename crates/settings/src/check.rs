//! Whether a file makes sense as a whole; nothing is decided here.

use crate::{Effect, Fault, File, Reports, ZonePolicy};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) struct Checks(pub Vec<Fault>);

impl Checks {
    pub fn that(&mut self, ok: bool, path: impl Into<String>, reason: impl Into<String>) {
        if !ok {
            self.0.push(Fault { path: path.into(), reason: reason.into() });
        }
    }

    fn figure(&mut self, value: f64, path: String) {
        self.that(value.is_finite() && value >= 0.0, path, "is negative or not finite");
    }
}

/// All that is wrong between the fields of a file.
pub(crate) fn check(f: &File) -> Vec<Fault> {
    let mut c = Checks(vec![]);
    fleet(&mut c, f);
    tokens(&mut c, f);
    for (name, class) in &f.classes {
        let at = |field: &str| format!("classes.{name}.{field}");
        c.that(class.latency_objective_ms > 0, at("aim_ms"), "is zero");
        let patient = class.max_timeout_ms > f.limits.answer_margin_ms;
        c.that(patient, at("patience_ms"), "is not over limits.answer_margin_ms");
        c.figure(class.priority_weight, at("worth"));
        c.figure(class.late_weight_share, at("late_worth"));
        if let Effect::Keyed { window_ms, .. } = class.effect {
            c.that(window_ms > 0, at("effect.window_ms"), "is zero");
        }
    }
    c.that(!f.classes.is_empty(), "classes", "is empty");
    c.that(!f.plans.is_empty() && f.plans.len() <= 256, "plans", "is empty or longer than 256");
    for (name, p) in &f.plans {
        let figures = [
            ("rate", p.rate),
            ("burst", p.burst),
            ("price", p.weight_factor),
            ("over_worth", p.over_quota_weight_share),
            ("over_cost", p.over_quota_cost_share),
            ("ceiling_rate", p.ceiling_rate),
            ("ceiling_burst", p.ceiling_burst),
            ("ceiling_slack", p.ceiling_slack),
        ];
        for (field, value) in figures {
            c.figure(value, format!("plans.{name}.{field}"));
        }
        c.that(
            p.rate > 0.0 || p.max_in_flight > 0,
            format!("plans.{name}"),
            "has neither a rate nor an open quota",
        );
        c.that(p.rate == 0.0 || p.burst > 0.0, format!("plans.{name}.burst"), "is zero beside a rate");
    }
    for (name, tenant) in &f.tenants {
        let at = |field: &str| format!("insurers.{name}.{field}");
        let known = f.plans.contains_key(&tenant.plan);
        c.that(known, at("plan"), format!("names the unknown plan '{}'", tenant.plan));
        c.that(tenant.subset_start < f.fleet.gateways, at("first"), "is outside the fleet");
        let subset_size = tenant.subset_size.unwrap_or(f.fleet.gateways);
        c.that(
            (1..=f.fleet.gateways).contains(&subset_size),
            at("spread"),
            "is not between 1 and the fleet's size",
        );
    }
    routes(&mut c, f);
    nodes(&mut c, f);
    let r = &f.rules;
    c.figure(r.slow_start_share, "rules.cold_from".into());
    c.figure(r.collapse_multiple, "rules.fall_multiple".into());
    limits(&mut c, f);
    if let Some(call) = &f.counter {
        c.that(call.address.port() > 0, "counter.address", "has port 0");
        c.that((1..=10_000).contains(&call.limit_ms), "counter.limit_ms", "is not between 1 and 10000");
        c.that(call.repeat_ms > 0, "counter.repeat_ms", "is zero");
    }
    if let Some(policy) = &f.zone_policy {
        zone_policy(&mut c, f, policy);
    }
    if let Some(a) = &f.consensus {
        crate::consensus::check(&mut c, f, a);
    }
    c.0
}

fn fleet(c: &mut Checks, f: &File) {
    let n = f.fleet.gateways;
    c.that((1..=65_535).contains(&n), "fleet.gateways", "is not between 1 and 65535");
    c.that(f.gateway.number < n, "gateway.number", "is outside the fleet");
    let peers = &f.fleet.peers;
    c.that(peers.is_empty() || peers.len() == n, "fleet.peers", "does not name every gateway");
    let distinct: BTreeSet<_> = peers.iter().collect();
    c.that(distinct.len() == peers.len(), "fleet.peers", "names an address twice");
    let keyed = peers.is_empty() || f.fleet.peer_secret_file.is_some();
    c.that(keyed, "fleet.peer_secret_file", "is missing beside fleet.peers");
    c.figure(f.fleet.peer_in_per_s, "fleet.peer_in_per_s".into());
    c.that(f.gateway.listen != f.gateway.admin, "gateway.admin", "is the clients' address");
    c.that(f.gateway.admin.ip().is_loopback(), "gateway.admin", "is not a loopback address");
}

fn tokens(c: &mut Checks, f: &File) {
    let i = &f.introspection;
    c.that(i.address.port() > 0, "introspection.address", "is missing or has port 0");
    c.that(i.path.starts_with('/'), "introspection.path", "does not start with /");
    let plain = |s: &str| s.bytes().all(|b| b.is_ascii_graphic());
    c.that(plain(&i.path) && plain(&i.host), "introspection", "host or path holds blanks or odd bytes");
    let quoted = |s: &str| s.bytes().all(|b| (b' '..=b'~').contains(&b) && b != b'"' && b != b'\\');
    c.that(quoted(&i.realm), "introspection.realm", "holds quotes or odd bytes");
    let member = ["client_id", "username", "sub"].contains(&i.customer.as_str());
    c.that(member, "introspection.customer", "is not client_id, username or sub");
    c.that(i.timeout_ms > 0, "introspection.timeout_ms", "is zero");
    c.that(i.stale_ms >= i.fresh_ms, "introspection.stale_ms", "is under fresh_ms");
    for (name, value) in [("flights", i.flights), ("waiters", i.waiters), ("entries", i.entries)] {
        c.that(value > 0, format!("introspection.{name}"), "is zero");
    }
}

fn routes(c: &mut Checks, f: &File) {
    c.that(!f.routes.is_empty(), "routes", "is empty");
    let mut seen = BTreeMap::new();
    for (k, route) in f.routes.iter().enumerate() {
        let at = |field: &str| format!("routes[{k}].{field}");
        let known = f.classes.contains_key(&route.class);
        c.that(known, at("class"), format!("names the unknown class '{}'", route.class));
        c.that(route.units.is_finite() && route.units > 0.0, at("units"), "is not above zero");
        let method = route.method.bytes().all(|b| b.is_ascii_uppercase()) && !route.method.is_empty();
        c.that(method, at("method"), "is not a method in capital letters");
        let sound = route.path.starts_with('/') && route.path.bytes().all(|b| b.is_ascii_graphic());
        c.that(sound, at("path"), "does not start with / or holds blanks");
        let rest = route.path.split('/').rev().skip(1).any(|s| s == "**");
        c.that(!rest, at("path"), "has ** before its last segment");
        if let Some(first) = seen.insert((&route.method, &route.path), k) {
            c.that(false, at("path"), format!("stands in routes[{first}] already"));
        }
    }
}

fn nodes(c: &mut Checks, f: &File) {
    let zones: BTreeSet<_> = f.zones.iter().collect();
    c.that(!f.zones.is_empty() && zones.len() == f.zones.len(), "zones", "is empty or names one twice");
    let here = format!("names the unknown zone '{}'", f.gateway.zone);
    c.that(zones.contains(&f.gateway.zone), "gateway.zone", here);
    let mut seen = BTreeMap::new();
    for (k, node) in f.nodes.iter().enumerate() {
        let at = |field: &str| format!("nodes[{k}].{field}");
        let known = zones.contains(&node.zone);
        c.that(known, at("zone"), format!("names the unknown zone '{}'", node.zone));
        c.that(node.size.is_finite() && node.size > 0.0, at("size"), "is not above zero");
        c.that(node.address.port() > 0, at("address"), "has port 0");
        if let Some(first) = seen.insert(node.address, k) {
            c.that(false, at("address"), format!("is that of nodes[{first}] too"));
        }
    }
}

fn zone_policy(c: &mut Checks, f: &File, p: &ZonePolicy) {
    let known = |zone: &String| f.zones.contains(zone);
    c.that(f.zones.len() <= 64, "zones", "are more than 64, which zone_policy cannot tell apart");
    c.that(p.tiers.contains_key(&f.gateway.zone), "zone_policy.tiers", "has none for this gateway's zone");
    for (from, tiers) in &p.tiers {
        let at = format!("zone_policy.tiers.{from}");
        c.that(known(from), &at, "is not a zone");
        c.that(tiers.first().is_some_and(|t| !t.is_empty()), &at, "has no first tier");
        let mut seen = BTreeSet::new();
        for (k, zone) in tiers.iter().enumerate().flat_map(|(k, tier)| tier.iter().map(move |z| (k, z))) {
            c.that(known(zone), format!("{at}[{k}]"), format!("names the unknown zone '{zone}'"));
            c.that(seen.insert(zone), format!("{at}[{k}]"), format!("names '{zone}' again: a cycle"));
            let empty = !f.nodes.is_empty() && !f.nodes.iter().any(|n| n.zone == *zone);
            c.that(!empty, format!("{at}[{k}]"), format!("names '{zone}', which has no nodes"));
        }
    }
    for (from, targets) in &p.limits {
        c.that(known(from), format!("zone_policy.limits.{from}"), "is not a zone");
        for (to, limit) in targets {
            let at = |field: &str| format!("zone_policy.limits.{from}.{to}{field}");
            c.that(known(to) && to != from, at(""), "is not another zone");
            c.that(limit.rate.is_finite() && limit.rate >= 2.0, at(".rate"), "is under 2 a second");
            c.that(limit.share > 0.0 && limit.share <= 1.0, at(".share"), "is not over 0 and up to 1");
        }
    }
    c.that(
        p.overprovision >= 1.0 && p.overprovision <= 10.0,
        "zone_policy.overprovision",
        "is not between 1 and 10",
    );
    for (name, value) in
        [("hold_ms", p.hold_ms), ("ramp_ms", p.ramp_ms), ("check_every_ms", p.check_every_ms)]
    {
        c.that(value > 0, format!("zone_policy.{name}"), "is zero");
    }
    c.that((1..=100).contains(&p.enter), "zone_policy.enter", "is not between 1 and 100");
    c.that((1..=100).contains(&p.leave), "zone_policy.leave", "is not between 1 and 100");
    c.that(p.hold_most_ms >= p.hold_ms, "zone_policy.hold_most_ms", "is under hold_ms");
    c.that(p.check_path.starts_with('/'), "zone_policy.check_path", "is no path");
    let z = &f.fleet.zones;
    c.that(z.is_empty() || z.len() == f.fleet.gateways, "fleet.zones", "does not name every gateway's zone");
    c.that(z.iter().all(known), "fleet.zones", "names an unknown zone");
    let here = z.get(f.gateway.number).is_none_or(|zone| *zone == f.gateway.zone);
    c.that(here, "fleet.zones", "gives this gateway another zone than gateway.zone");
}

fn limits(c: &mut Checks, f: &File) {
    let l = &f.limits;
    let counts = [
        ("open", l.open),
        ("connections", l.connections),
        ("pipeline", l.pipeline),
        ("fields", l.fields),
        ("pool", l.pool),
        ("attempts", l.attempts as usize),
    ];
    for (name, value) in counts {
        c.that(value > 0, format!("limits.{name}"), "is zero");
    }
    c.that(
        l.line_bytes >= 256 && l.head_bytes >= l.line_bytes,
        "limits.head_bytes",
        "is under line_bytes, or that under 256",
    );
    for (name, value) in [
        ("idle_ms", l.idle_ms),
        ("request_ms", l.request_ms),
        ("connect_ms", l.connect_ms),
        ("pool_idle_ms", l.pool_idle_ms),
        ("drain_ms", l.drain_ms),
    ] {
        c.that(value > 0, format!("limits.{name}"), "is zero");
    }
    let longest = f.classes.values().map(|c| c.max_timeout_ms).max().unwrap_or(0);
    c.that(
        l.drain_ms >= longest,
        "limits.drain_ms",
        "is under the longest patience_ms: a drain would cut answers off",
    );
    let probed = l.reports != Reports::Probe || l.probe_path.is_some();
    c.that(probed, "limits.probe_path", "is missing beside reports: 'probe'");
    if let Some(path) = &l.probe_path {
        c.that(
            path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic()),
            "limits.probe_path",
            "is no path",
        );
    }
}
