//! What a server's response proves about its request, and what it reports of load and usage.

use crate::settings::{Column, PlatformSettings};
use frostgauge::{Load, Status};
use frostgauge_proto::http::Head;

/// Field of a response which states that the request was rejected without running.
pub const REJECTED_FIELD: &str = "x-turned-away";
/// Field of a server's load report.
const LOAD_FIELD: &str = "x-pressure";
/// Field of a customer's usage, percent of its quota.
const USAGE_FIELD: &str = "x-allowance-used";
/// Highest usage that is believed, percent.
const MAX_USAGE_PERCENT: f64 = 1e6;

/// Status of an attempt with a complete response. Only a 200 serves; only a 503 or 504 with [`REJECTED_FIELD`] proves
/// that the request did not run.
pub fn status(head: &Head) -> Status {
    match head.status() {
        200 => Status::Ok,
        503 | 504 if head.one(REJECTED_FIELD) == Some("1") => Status::Rejected,
        _ => Status::Error,
    }
}

/// The customer's usage over all gateways, as a share of its quota; `None` if it is missing or unreadable.
pub fn usage(head: &Head) -> Option<f64> {
    let percent: f64 = head.one(USAGE_FIELD)?.trim().parse().ok()?;
    (percent.is_finite() && (0.0..=MAX_USAGE_PERCENT).contains(&percent)).then_some(percent / 100.0)
}

/// The load report in a response's head.
pub fn load_report(platform: &PlatformSettings, head: &Head) -> Option<Load> {
    load(platform, head.one(LOAD_FIELD)?.as_bytes())
}

/// Reads a load report, a JSON object of the columns that the settings name; what is unreadable counts as missing.
pub fn load(platform: &PlatformSettings, json: &[u8]) -> Option<Load> {
    let rows: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(json).ok()?;
    let mut load = Load::default();
    for (name, value) in &rows {
        let column = Column::from_name(name);
        let value = value.as_f64().filter(|v| v.is_finite() && *v >= 0.0);
        if platform.columns.contains(&column) {
            column.set_value(&mut load, value);
        }
    }
    (load != Load::default()).then_some(load)
}
