//! Reads the status of an attempt, the customer's usage and the server's load report from a server's response.

use crate::settings::{Column, PlatformSettings};
use frostgauge::{Load, Status};
use frostgauge_proto::http::Head;

/// Header field by which a server states, with the value `1`, that it rejected the request without running it.
pub const REJECTED_FIELD: &str = "x-turned-away";
/// Header field that holds a server's load report, see [`load`].
const LOAD_FIELD: &str = "x-pressure";
/// Header field that holds a customer's usage over all gateways, in percent of its quota.
const USAGE_FIELD: &str = "x-allowance-used";
/// Highest usage that is accepted, percent; a higher figure counts as missing.
const MAX_USAGE_PERCENT: f64 = 1e6;

/// Status of an attempt that received a complete response. Only a 200 is a success. Only a 503 or 504 with
/// [`REJECTED_FIELD`] set to `1` proves that the request did not run; any other response is an error.
pub fn status(head: &Head) -> Status {
    match head.status() {
        200 => Status::Ok,
        503 | 504 if head.one(REJECTED_FIELD) == Some("1") => Status::Rejected,
        _ => Status::Error,
    }
}

/// The customer's usage over all gateways, as a share of its quota (1.0 is the whole quota); `None` if the field is
/// missing, repeated, not a number or out of range.
pub fn usage(head: &Head) -> Option<f64> {
    let percent: f64 = head.one(USAGE_FIELD)?.trim().parse().ok()?;
    (percent.is_finite() && (0.0..=MAX_USAGE_PERCENT).contains(&percent)).then_some(percent / 100.0)
}

/// The load report in the head of a response, see [`load`]; `None` if the field is missing or repeated.
pub fn load_report(platform: &PlatformSettings, head: &Head) -> Option<Load> {
    load(platform, head.one(LOAD_FIELD)?.as_bytes())
}

/// Reads a load report, a JSON object with a value for each column. Columns that the settings don't list are ignored;
/// values that are negative or not numbers count as missing. `None` if no value is left.
pub fn load(platform: &PlatformSettings, json: &[u8]) -> Option<Load> {
    let report: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(json).ok()?;
    let mut load = Load::default();
    for (name, value) in &report {
        let column = Column::from_name(name);
        let value = value.as_f64().filter(|value| value.is_finite() && *value >= 0.0);
        if platform.columns.contains(&column) {
            column.set_value(&mut load, value);
        }
    }
    (load != Load::default()).then_some(load)
}
