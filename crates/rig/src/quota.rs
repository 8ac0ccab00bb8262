//! How well quotas were kept: what was sent beyond them, what was refused though there was room.

use crate::checks::{Recorded, Terms};
use frostgauge_standins::ledger::{Line, What};
use frostgauge_standins::tablets::{Outcome, Try};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Replays each insurer's store, filled at its rate up to its burst, over what was sent on and what was refused
/// for its quota. Not a rule: a quota is a measure of worth, and some beyond it may pay.
pub fn quality(tries: &[Try], nodes: &[Recorded], terms: &Terms, units: &BTreeMap<String, f64>) -> Value {
    let mut first: BTreeMap<&str, &Line> = BTreeMap::new();
    for line in nodes.iter().flat_map(|n| &n.lines).filter(|l| l.what == What::Recv) {
        let known = first.entry(&line.request).or_insert(line);
        if line.t < known.t {
            *known = line;
        }
    }
    let mut events: BTreeMap<&str, Vec<(u64, f64, bool)>> = BTreeMap::new();
    for line in first.into_values() {
        events.entry(&line.insurer).or_default().push((line.t, line.units, true));
    }
    for t in tries.iter().filter(|t| t.outcome == Outcome::Refused && t.reason == "quota") {
        let units = units.get(&t.class).copied().unwrap_or(1.0);
        events.entry(&t.insurer).or_default().push((t.ended, units, false));
    }
    let (mut sent, mut beyond, mut refused, mut with_room) = (0.0, 0.0, 0u64, 0u64);
    for (insurer, mut events) in events {
        let Some(plan) = terms.plans.get(insurer).filter(|p| p.rate > 0.0) else { continue };
        events.sort_by(|a, b| a.0.cmp(&b.0));
        let (mut level, mut at) = (plan.burst, 0);
        for (t, units, went) in events {
            level = (level + (t - at) as f64 / 1e6 * plan.rate).min(plan.burst);
            at = t;
            let room = level >= units;
            if went {
                sent += units;
                if room {
                    level -= units;
                } else {
                    beyond += units;
                }
            } else {
                refused += 1;
                with_room += u64::from(room);
            }
        }
    }
    let share = |part: f64, all: f64| if all > 0.0 { part / all } else { 0.0 };
    json!({
        "units_sent": sent, "beyond": share(beyond, sent), "refused": refused,
        "refused_with_room": share(with_room as f64, tries.len() as f64),
    })
}
