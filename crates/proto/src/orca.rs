//! Load reports in answers: the ORCA response field `endpoint-load-metrics` in its TEXT and JSON forms.
//! The named metrics `inflight`, `queue` (requests), `latency_ms` (milliseconds) and `quota_use` (the
//! insurer's use of its rate by all gateways in the last period, as a share) are this project's own.

use serde_json::Value;

/// The field's name.
pub const FIELD: &str = "endpoint-load-metrics";

/// A load report; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Busy share of the cores.
    pub utilization: Option<f64>,
    /// Requests held.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Recent service time, milliseconds.
    pub latency_ms: Option<f64>,
    /// The insurer's use of its rate over all gateways, as a share.
    pub quota_use: Option<f64>,
}

impl Report {
    fn set(&mut self, name: &str, value: f64) {
        if !value.is_finite() || value < 0.0 {
            return;
        }
        let place = match name {
            "cpu_utilization" | "application_utilization" => &mut self.utilization,
            "named_metrics.inflight" => &mut self.inflight,
            "named_metrics.queue" => &mut self.queue,
            "named_metrics.latency_ms" => &mut self.latency_ms,
            "named_metrics.quota_use" => &mut self.quota_use,
            _ => return,
        };
        *place = Some(value);
    }

    /// Reads the field's value; what is not understood is left out, since a report is only a hint.
    pub fn read(value: &str) -> Report {
        let mut report = Report::default();
        if let Some(text) = value.strip_prefix("TEXT ") {
            for (name, figure) in text.split(',').filter_map(|pair| pair.split_once('=')) {
                if let Ok(figure) = figure.trim().parse() {
                    report.set(name.trim(), figure);
                }
            }
        } else if let Some(Ok(Value::Object(members))) = value.strip_prefix("JSON ").map(serde_json::from_str)
        {
            for (name, figure) in &members {
                match figure {
                    Value::Object(named) => {
                        for (inner, figure) in named {
                            report.set(&format!("{name}.{inner}"), figure.as_f64().unwrap_or(f64::NAN));
                        }
                    }
                    figure => report.set(name, figure.as_f64().unwrap_or(f64::NAN)),
                }
            }
        }
        report
    }

    /// The field's value in its TEXT form.
    pub fn write(&self) -> String {
        let parts = [
            ("cpu_utilization", self.utilization),
            ("named_metrics.inflight", self.inflight),
            ("named_metrics.queue", self.queue),
            ("named_metrics.latency_ms", self.latency_ms),
            ("named_metrics.quota_use", self.quota_use),
        ];
        let told = parts.iter().filter_map(|(name, value)| value.map(|v| format!("{name}={v:.4}")));
        format!("TEXT {}", told.collect::<Vec<_>>().join(","))
    }
}
