//! Files that a run writes for its processes.

use crate::fleet::{Fleet, CLIENT};
use frostgauge_test_servers::dice;
use rand::RngExt;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// Lays one value over another: objects member by member, all else whole.
pub(crate) fn lay(over: &Value, base: &mut Value) {
    match (over, base) {
        // Nothing is laid over by default.
        (Value::Null, _) => {}
        (Value::Object(over), Value::Object(base)) => {
            for (name, value) in over {
                lay(value, base.entry(name.clone()).or_insert(Value::Null));
            }
        }
        (over, base) => *base = over.clone(),
    }
}

/// Writes a file as a whole: a reader sees the old or the new one.
pub(crate) fn write_whole(path: &Path, text: &str, secret: bool) -> Result<(), String> {
    let fail = |e: std::io::Error| format!("{}: {e}", path.display());
    let part = path.with_extension("part");
    std::fs::write(&part, text).map_err(fail)?;
    if secret {
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&part, std::fs::Permissions::from_mode(0o600)).map_err(fail)?;
    }
    std::fs::rename(&part, path).map_err(fail)
}

impl Fleet {
    pub(crate) fn settings(&self, me: usize, admins: &[SocketAddr], peers: &[SocketAddr]) -> Value {
        let s = &self.scenario;
        let classes = s.classes.iter().map(|(name, c)| {
            use frostgauge_test_servers::tablets::Effect;
            let effect = match c.effect {
                Effect::Safe => json!({ "kind": "safe" }),
                Effect::Unsafe => json!({ "kind": "unsafe" }),
                Effect::Keyed => json!({ "kind": "keyed", "group": "zone", "window_ms": c.window_ms }),
            };
            let class = json!({
                "aim_ms": c.aim_ms, "patience_ms": c.patience_ms, "worth": c.worth, "effect": effect,
            });
            (name.clone(), class)
        });
        let routes = s.classes.iter().map(|(name, c)| {
            json!({ "method": c.method, "path": c.path, "class": name, "units": c.units, "scope": "claims" })
        });
        let plans = s.plans.iter().map(|(name, p)| {
            let plan = json!({
                "rate": p.rate, "burst": p.burst, "open": p.max_in_flight, "price": p.weight_factor,
                "over_worth": p.over_quota_weight_share, "over_cost": p.over_quota_cost_share, "ceiling_rate": p.ceiling_rate,
                "ceiling_burst": p.ceiling_burst, "ceiling_slack": p.ceiling_slack,
            });
            (name.clone(), plan)
        });
        let mut insurers = serde_json::Map::new();
        for insurer in self.insurers() {
            let (first, spread) = (insurer.2, insurer.3);
            insurers.insert(insurer.0, json!({ "plan": insurer.1, "first": first, "spread": spread }));
        }
        for k in 0..s.one_offs {
            insurers.insert(format!("scan-{k}"), json!({ "plan": s.insurers[0].plan }));
        }
        let r = &s.nodes.rules;
        let peers = if s.gateways.count > 1 { peers } else { &[] };
        let mut settings = json!({
            "gateway": {
                "number": me, "zone": s.zones[me % s.zones.len()],
                "listen": self.doors[me].to_string(), "admin": admins[me].to_string(),
                "source": self.source(me).to_string(),
            },
            "fleet": {
                "gateways": s.gateways.count,
                "zones": (0..s.gateways.count).map(|k| &s.zones[k % s.zones.len()]).collect::<Vec<_>>(),
                "peers": peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
                "peer_secret_file": "peer.secret",
            },
            "introspection": {
                "address": self.introspection.to_string(), "client_id": CLIENT.0,
                "client_secret_file": "client.secret",
            },
            "classes": classes.collect::<serde_json::Map<_, _>>(),
            "plans": plans.collect::<serde_json::Map<_, _>>(),
            "insurers": insurers,
            "routes": routes.collect::<Vec<_>>(),
            "zones": s.zones,
            "nodes": "NODES",
            "rules": {
                "cold_from": r.slow_start_share, "cold_ms": r.slow_start_ms,
                "fall_multiple": r.collapse_multiple, "fall_ms": r.collapse_ms,
            },
            "limits": { "meter_ms": s.meter.period_ms },
        });
        if let Some(counter) = &s.counter {
            settings["counter"] =
                json!({ "address": self.counter[2].to_string(), "key_file": format!("keys/{me}.key") });
            lay(&counter.call, &mut settings["counter"]);
        }
        if s.accord.is_some() {
            settings["accord"] = self.accord_section(me);
        }
        lay(&s.gateways.settings, &mut settings);
        settings
    }

    /// Where a gateway's connections come from: an address of its own on loopback, so that paths can be cut.
    pub fn source(&self, gateway: usize) -> std::net::IpAddr {
        let zone = (gateway % self.scenario.zones.len()) as u8;
        std::net::Ipv4Addr::new(127, 0, zone + 1, (gateway + 1) as u8).into()
    }

    /// Every insurer: name, plan, first gateway, spread, what it asks in quotas.
    pub fn insurers(&self) -> Vec<(String, String, usize, usize, f64)> {
        let mut rng = dice(self.seed, "insurers");
        let (mut all, gateways) = (vec![], self.scenario.gateways.count);
        for (g, group) in self.scenario.insurers.iter().enumerate() {
            for k in 0..group.count {
                let uses = group.uses[0] + (group.uses[1] - group.uses[0]) * rng.random::<f64>();
                let first = rng.random_range(0..gateways);
                let spread = group.spread.unwrap_or(gateways).clamp(1, gateways);
                all.push((format!("ins-{g}-{k}"), group.plan.clone(), first, spread, uses));
            }
        }
        all
    }
}
