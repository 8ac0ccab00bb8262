//! The status page, and the gauges of zones.

use super::OAuthHost;
use crate::clock::Micros;
use crate::core::Core;
use crate::engine::EngineContext;
use frostgauge_counter_service::client::Client;
use frostgauge_settings::Loaded;
use frostgauge_zones::Phase;
use serde_json::{json, Value};
use std::collections::BTreeSet;

impl OAuthHost {
    /// Publishes each zone's gauges, and notifies the fleet agent of the zones that are unavailable.
    pub(super) fn publish_zones(&self, now: Micros, core: &Core) {
        let (Some(zones), loaded) = (core.zones(), self.handle.loaded()) else { return };
        let mut unavailable = BTreeSet::new();
        for (index, name) in loaded.file.zones.iter().enumerate() {
            let Some(state) = zones.status(now, index as u32) else { continue };
            if state.phase == Phase::Dark {
                unavailable.insert(name.clone());
            }
            for (what, value) in [
                ("open", state.open_share),
                ("health", state.healthy_share),
                ("spilled", state.spilled as f64),
                ("short", state.limited as f64),
                ("spill_per_s", state.spill_per_s.unwrap_or(f64::NAN)),
            ] {
                metrics::gauge!("frostgauge_zone", "zone" => name.clone(), "what" => what).set(value);
            }
        }
        if let Some(fleet_rules) = &self.fleet_rules {
            fleet_rules.task().guard().set_unavailable_zones(unavailable);
        }
    }

    /// One row for each zone of the status page; none if zones are not in use.
    fn zone_rows(&self, now: Micros, core: &Core, loaded: &Loaded) -> Vec<Value> {
        let Some(zones) = core.zones() else { return vec![] };
        let rows = loaded.file.zones.iter().enumerate().filter_map(|(index, name)| {
            let state = zones.status(now, index as u32)?;
            Some(json!({
                "zone": name, "phase": format!("{:?}", state.phase).to_lowercase(),
                "for_s": now.saturating_sub(state.since) as f64 / 1e6, "open": state.open_share, "health": state.healthy_share,
                "tier": state.tier, "spill_per_s": state.spill_per_s, "spilled": state.spilled, "short": state.limited,
            }))
        });
        rows.collect()
    }

    /// The content of the status page.
    pub(super) fn status(&self, now: Micros, context: &EngineContext<'_>) -> Value {
        let (stats, identity, loaded) = (context.core.stats(), context.core.identity(), self.handle.loaded());
        let (waiting, flights, verdicts) = identity.sizes();
        let tally = identity.tally();
        json!({
            "gateway": loaded.file.gateway.number,
            "pid": std::process::id(),
            "up_s": now.saturating_sub(context.started_at) as f64 / 1e6,
            "reloads": self.reloads,
            "open": context.core.open_calls(),
            "attempts": context.attempts_in_flight,
            "inbox": context.queued_messages,
            "longest_batch_ms": context.longest_batch as f64 / 1e3,
            "answers": {
                "taken": stats.accepted, "served": stats.served, "refused": stats.rejected,
                "failed": stats.failed, "denied": stats.denied, "left": stats.abandoned,
            },
            "reasons": context.answer_stats.reasons(),
            "latency_ms": context.answer_stats.latencies(),
            "tokens": {
                "server": identity.breaker_state(now), "waiting": waiting, "flights": flights, "verdicts": verdicts,
                "asked": tally.asked, "failed": tally.failed, "hits": tally.hits, "stale": tally.stale,
                "unavailable": tally.unavailable,
            },
            "counter": self.counter.as_ref().map(Client::status),
            "zones": self.zone_rows(now, context.core, &loaded),
            "nodes": loaded.file.nodes.iter().map(|n| json!({
                "address": n.address.to_string(), "zone": n.zone, "state": format!("{:?}", n.state).to_lowercase(),
            })).collect::<Vec<_>>(),
        })
    }
}
