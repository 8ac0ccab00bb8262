//! Statistics of final answers for the status page and the metrics: counts by reason and latencies by kind.

use crate::clock::Micros;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Longest latency that the histograms resolve, µs; it exceeds the timeout of any client.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// Final answers: latencies by kind, counts by reason.
#[derive(Debug, Default)]
pub struct AnswerStats {
    /// Latencies in µs by kind.
    kinds: BTreeMap<&'static str, Histogram<u64>>,
    reasons: BTreeMap<&'static str, u64>,
}

impl AnswerStats {
    /// Records a final answer with its kind (`served`, `refused`, `failed` or `denied`), reason and latency (µs).
    pub fn record(&mut self, kind: &'static str, reason: &'static str, latency: Micros) {
        metrics::counter!("frostgauge_answers", "kind" => kind, "reason" => reason).increment(1);
        *self.reasons.entry(reason).or_default() += 1;
        if !self.kinds.contains_key(kind) {
            if let Ok(new) = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3) {
                self.kinds.insert(kind, new);
            }
        }
        if let Some(histogram) = self.kinds.get_mut(kind) {
            histogram.saturating_record(latency.max(1));
        }
    }

    /// Publishes the latencies as gauges. A histogram of the metrics crate would keep every sample until the metrics
    /// page is next requested.
    pub fn publish(&self) {
        for (kind, histogram) in &self.kinds {
            for (quantile, label) in [(0.5, "0.5"), (0.99, "0.99")] {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                metrics::gauge!("frostgauge_answer_seconds", "kind" => *kind, "quantile" => label)
                    .set(seconds);
            }
        }
    }

    /// Number of final answers by reason.
    pub fn reasons(&self) -> Value {
        json!(self.reasons)
    }

    /// Count and latencies (median, 99th percentile, maximum; milliseconds) by kind.
    pub fn latencies(&self) -> Value {
        let ms =
            |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let rows = self.kinds.iter().map(|(kind, histogram)| {
            let row = json!({
                "count": histogram.len(),
                "p50": ms(histogram, 0.5),
                "p99": ms(histogram, 0.99),
                "max": histogram.max() as f64 / 1e3,
            });
            ((*kind).to_owned(), row)
        });
        Value::Object(rows.collect())
    }
}
