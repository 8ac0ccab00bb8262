//! `frostgauge status` and `frostgauge zones`.

use crate::error::CommandError;
use crate::output::Output;
use futures_lite::future;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway whose admin address does not answer by then is reported as silent.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the status of a gateway.
pub(crate) fn show(admin: SocketAddr, zones: bool, json: bool) -> Result<(), CommandError> {
    let page = future::block_on(frostgauge_gateway::admin::fetch(admin, "/status", ADMIN_TIMEOUT))?;
    let mut status: Value = serde_json::from_str(&page).map_err(|error| format!("{admin}: {error}"))?;
    if zones {
        status = serde_json::json!({ "zones": status["zones"] });
    }
    let text = match (json, zones) {
        (true, _) => format!("{status:#}\n"),
        (_, true) => zone_lines(&status),
        _ => table(&status),
    };
    let mut out = Output::stdout();
    write!(out, "{text}")?;
    Ok(out.flush()?)
}

/// Takes a zone out of use at a gateway, or gives it back.
pub(crate) fn change_zone(admin: SocketAddr, zone: &str, change: &str) -> Result<(), CommandError> {
    let path = format!("/zones/{zone}/{change}");
    future::block_on(frostgauge_gateway::admin::ask(admin, "POST", &path, ADMIN_TIMEOUT))?;
    let mut out = Output::stdout();
    writeln!(out, "{admin}: zone {zone}: {change}")?;
    Ok(out.flush()?)
}

/// The figures that an administrator looks at first.
fn table(status: &Value) -> String {
    let at = |path: &str| match status.pointer(path) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => "-".to_owned(),
    };
    let mut out = format!(
        "gateway {} (pid {}), up {} s, reloads {}\nopen {}, attempts out {}, longest batch {} ms\n",
        at("/gateway"),
        at("/pid"),
        at("/up_s"),
        at("/reloads"),
        at("/open"),
        at("/attempts"),
        at("/longest_batch_ms"),
    );
    out += &format!(
        "taken {}: served {}, refused {}, failed {}, denied {}, left {}\n",
        at("/answers/taken"),
        at("/answers/served"),
        at("/answers/refused"),
        at("/answers/failed"),
        at("/answers/denied"),
        at("/answers/left"),
    );
    out += &format!(
        "tokens: server {}, waiting {}, asked {}, failed {}, stale {}, without a verdict {}\n",
        at("/tokens/server"),
        at("/tokens/waiting"),
        at("/tokens/asked"),
        at("/tokens/failed"),
        at("/tokens/stale"),
        at("/tokens/unavailable"),
    );
    if status["counter"].is_object() {
        out += &format!(
            "counter: up {}, epoch {}, calls {}: totals {}, refused {}, unsure {}, repeats {}\n",
            at("/counter/up"),
            at("/counter/epoch"),
            at("/counter/calls"),
            at("/counter/totals"),
            at("/counter/refused"),
            at("/counter/unsure"),
            at("/counter/repeats"),
        );
    }
    for (reason, n) in status["reasons"].as_object().into_iter().flatten() {
        out += &format!("  {reason:<18}{n}\n");
    }
    for (kind, row) in status["latency_ms"].as_object().into_iter().flatten() {
        out += &format!("  {kind:<10}p50 {} ms, p99 {} ms\n", row["p50"], row["p99"]);
    }
    out += &zone_lines(status);
    for node in status["nodes"].as_array().into_iter().flatten() {
        let word = |name: &str| node[name].as_str().unwrap_or("-").to_owned();
        out += &format!("  node {:<22}{:<14}{}\n", word("address"), word("zone"), word("state"));
    }
    out
}

/// A line for each zone.
fn zone_lines(status: &Value) -> String {
    let mut out = String::new();
    for zone in status["zones"].as_array().into_iter().flatten() {
        let at = |name: &str| zone[name].as_str().map_or_else(|| zone[name].to_string(), str::to_owned);
        out +=
            &format!(
            "  zone {:<14}tier {:<5}{:<6}for {} s, open {}, health {}, spill {} of {} a second, short {}\n",
            at("zone"), at("tier"), at("phase"), at("for_s"), at("open"), at("health"), at("spilled"),
            at("spill_per_s"), at("short"),
        );
    }
    out
}
