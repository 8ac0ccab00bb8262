//! Section `zone_policy`: preference between zones, and bounds on what crosses.

use super::traffic::one;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Preference between zones, and bounds on what crosses.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ZonePolicy {
    /// For gateways of each zone: its tiers, in order of preference, each a list of zones.
    pub tiers: BTreeMap<String, Vec<Vec<String>>>,
    /// From gateways of a zone to a zone outside their first tier: what crosses at most.
    #[serde(default)]
    pub limits: BTreeMap<String, BTreeMap<String, SpillLimit>>,
    /// A tier serves all requests while its healthy share times this is at least 1.
    #[serde(default = "overprovision")]
    pub overprovision: f64,
    /// A zone that recovers gets no requests for this long, doubled with each flap.
    #[serde(default = "hold")]
    pub hold_ms: u64,
    /// The longest such time.
    #[serde(default = "hold_most")]
    pub hold_most_ms: u64,
    /// A flap is forgotten after this long without one.
    #[serde(default = "calm")]
    pub calm_ms: u64,
    /// Duration of the recovery ramp.
    #[serde(default = "ramp")]
    pub ramp_ms: u64,
    /// Interval between two health checks of an unavailable zone.
    #[serde(default = "check_every")]
    pub check_every_ms: u64,
    /// Path of health checks; any answer counts.
    #[serde(default = "check_path")]
    pub check_path: String,
    /// Consecutive unanswered attempts, at two servers at least, that make a zone unavailable. With fewer an outage
    /// is detected sooner, and more often wrongly; each costs an attempt.
    #[serde(default = "enter")]
    pub enter: u32,
    /// Consecutive answered health checks that make a zone available again.
    #[serde(default = "leave")]
    pub leave: u32,
}

fn enter() -> u32 {
    3
}

fn leave() -> u32 {
    2
}

fn overprovision() -> f64 {
    1.4
}

fn hold() -> u64 {
    5_000
}

fn hold_most() -> u64 {
    120_000
}

fn calm() -> u64 {
    60_000
}

fn ramp() -> u64 {
    15_000
}

fn check_every() -> u64 {
    500
}

fn check_path() -> String {
    "/health".into()
}

/// What crosses from the gateways of a zone to another zone at most.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SpillLimit {
    /// Attempts in any one second, from all gateways of the zone together; 2 at least.
    pub rate: f64,
    /// Share of the target's capacity, as far as it can be learnt.
    #[serde(default = "one")]
    pub share: f64,
}
