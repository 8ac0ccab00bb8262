//! How well quotas were kept: what was sent beyond them, what was refused though there was room.

use crate::checks::{Recorded, Terms};
use frostgauge_test_servers::ledger::{Line, What};
use frostgauge_test_servers::tablets::{Outcome, Try};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Replays two stores of each insurer, filled at its rate up to its burst: one from which what was sent on is
/// drawn, and one from which all is drawn that was asked and fits. `beyond`: share of the units sent on that the
/// first store did not cover. `unused`: share of the units that the second gave which were not sent on within the
/// first: refused though there was room. Not a rule: a quota is a measure of worth, and some beyond it may pay.
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
    let (mut sent, mut inside, mut ideal, mut refused) = (0.0, 0.0, 0.0, 0u64);
    for (insurer, mut events) in events {
        let Some(plan) = terms.plans.get(insurer).filter(|p| p.rate > 0.0) else { continue };
        events.sort_by_key(|e| e.0);
        let (mut real, mut best, mut at) = (plan.burst, plan.burst, 0);
        for (t, units, went) in events {
            let filled = |level: f64| (level + (t - at) as f64 / 1e6 * plan.rate).min(plan.burst);
            (real, best) = (filled(real), filled(best));
            at = t;
            if best >= units {
                best -= units;
                ideal += units;
            }
            if !went {
                refused += 1;
                continue;
            }
            sent += units;
            if real >= units {
                real -= units;
                inside += units;
            }
        }
    }
    let share = |part: f64, all: f64| if all > 0.0 { part / all } else { 0.0 };
    json!({
        "units_sent": sent, "beyond": share(sent - inside, sent), "refused": refused,
        "unused": share((ideal - inside).max(0.0), ideal),
    })
}
