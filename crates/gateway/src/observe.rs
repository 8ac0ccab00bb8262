//! What operators can see: counts by reason, latencies, sizes.

use crate::clock::Micros;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Longest latency told apart, µs: over any client's patience.
const LONGEST: u64 = 120_000_000;

/// Answers by kind and reason, with latencies.
#[derive(Debug, Default)]
pub struct AnswerStats {
    kinds: BTreeMap<&'static str, Histogram<u64>>,
    reasons: BTreeMap<&'static str, u64>,
}

impl AnswerStats {
    /// One final answer: its kind (`served`, `refused`, `failed`, `denied`), its reason, its latency.
    pub fn record(&mut self, kind: &'static str, reason: &'static str, latency: Micros) {
        metrics::counter!("frostgauge_answers", "kind" => kind, "reason" => reason).increment(1);
        *self.reasons.entry(reason).or_default() += 1;
        if !self.kinds.contains_key(kind) {
            if let Ok(new) = Histogram::new_with_bounds(1, LONGEST, 3) {
                self.kinds.insert(kind, new);
            }
        }
        if let Some(histogram) = self.kinds.get_mut(kind) {
            histogram.saturating_record(latency.max(1));
        }
    }

    /// Publishes the latencies as gauges. A histogram of the metrics crate would keep every sample until
    /// somebody asks for the page.
    pub fn publish(&self) {
        for (kind, h) in &self.kinds {
            for (q, name) in [(0.5, "0.5"), (0.99, "0.99")] {
                let seconds = h.value_at_quantile(q) as f64 / 1e6;
                metrics::gauge!("frostgauge_answer_seconds", "kind" => *kind, "quantile" => name)
                    .set(seconds);
            }
        }
    }

    /// CallStats by reason.
    pub fn reasons(&self) -> Value {
        json!(self.reasons)
    }

    /// Latencies by kind, milliseconds.
    pub fn latencies(&self) -> Value {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        let rows = self.kinds.iter().map(|(kind, h)| {
            let row = json!({ "count": h.len(), "p50": ms(h, 0.5), "p99": ms(h, 0.99), "max": h.max() as f64 / 1e3 });
            ((*kind).to_owned(), row)
        });
        Value::Object(rows.collect())
    }
}
