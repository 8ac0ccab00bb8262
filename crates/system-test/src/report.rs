//! What a run comes to: the line for programs and the table for people.

use frostgauge_test_servers::tablets::{Outcome, Try};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A finished run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Every try.
    pub tries: Vec<Try>,
    /// Violations by rule.
    pub rules: BTreeMap<&'static str, Vec<String>>,
    /// Expectations that were not met, and processes that ended by themselves.
    pub unmet: Vec<String>,
    /// Operations begun, and those served in the end.
    pub operations: (u64, u64),
    /// How well quotas were kept.
    pub quota: Value,
    /// Counts of the counter, where there is one.
    pub counter: Option<Value>,
    /// How the agreed rules were kept, where there are some.
    pub accord: Option<Value>,
}

/// Microseconds of the served tries.
fn latencies(tries: &[Try]) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, 600_000_000, 3).ok()?;
    for t in tries.iter().filter(|t| t.outcome == Outcome::Served) {
        histogram.saturating_record(t.ended.saturating_sub(t.sent).max(1));
    }
    Some(histogram)
}

impl Report {
    /// Whether rules and expectations hold.
    pub fn passes(&self) -> bool {
        self.unmet.is_empty() && self.rules.values().all(Vec::is_empty)
    }

    fn count(&self, outcomes: &[Outcome]) -> usize {
        self.tries.iter().filter(|t| outcomes.contains(&t.outcome)).count()
    }

    /// The last line of a run.
    pub fn line(&self) -> Value {
        let rules: BTreeMap<_, _> = self.rules.iter().map(|(rule, found)| (rule, found.len())).collect();
        let ms = latencies(&self.tries).map(|h| {
            let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
            json!({ "p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "max": h.max() as f64 / 1e3 })
        });
        json!({
            "verdict": if self.passes() { "pass" } else { "fail" },
            "seed": self.seed,
            "taken": self.tries.len() - self.count(&[Outcome::Unreachable]),
            "answers": {
                "served": self.count(&[Outcome::Served]),
                "refused": self.count(&[Outcome::Refused]),
                "failed": self.count(&[Outcome::Failed]),
                "denied": self.count(&[Outcome::Denied]),
            },
            "left": self.count(&[Outcome::Left]),
            "cut": self.count(&[Outcome::Broken, Outcome::Silent]),
            "unreachable": self.count(&[Outcome::Unreachable]),
            "operations": self.operations.0,
            "operations_served": self.operations.1,
            "rules": rules,
            "quota": self.quota,
            "counter": self.counter,
            "accord": self.accord,
            "unmet": self.unmet,
            "latency_ms": ms,
        })
    }

    /// The table for people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let mut put = |line: String| {
            out += &line;
            out.push('\n');
        };
        let mut reasons: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for t in &self.tries {
            let kind = match t.outcome {
                Outcome::Served => "served",
                Outcome::Refused => "refused",
                Outcome::Failed => "failed",
                Outcome::Denied => "denied",
                Outcome::Odd => "odd",
                Outcome::Unreachable => "unreachable",
                Outcome::Broken => "cut off",
                Outcome::Silent => "no answer",
                Outcome::Left => "client left",
            };
            *reasons.entry((kind, &t.reason)).or_default() += 1;
        }
        put(format!("{:<14}{:<18}{:>8}", "answer", "reason", "tries"));
        for ((kind, reason), n) in &reasons {
            put(format!("{kind:<14}{:<18}{n:>8}", if reason.is_empty() { "-" } else { reason }));
        }
        let (all, served) = self.operations;
        put(format!("\noperations {all}, served in the end {served}"));
        if let Some(h) = latencies(&self.tries) {
            let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
            put(format!("served within, ms: p50 {:.1}, p90 {:.1}, p99 {:.1}", at(0.5), at(0.9), at(0.99)));
        }
        put(String::new());
        for (rule, found) in &self.rules {
            let verdict =
                if found.is_empty() { "kept".to_owned() } else { format!("BROKEN {} times", found.len()) };
            put(format!("{rule:<10}{verdict}"));
            found.iter().take(5).for_each(|v| put(format!("    {v}")));
        }
        self.unmet.iter().for_each(|u| put(format!("not met: {u}")));
        out
    }
}
