//! Sections `classes`, `plans`, `insurers` and `routes`: requests, and the quotas they count against.

use serde::Deserialize;

/// What a class allows once an attempt may have run on a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Effect {
    /// Idempotent: running twice does no harm.
    Safe,
    /// Idempotent by key: servers of a group drop repeats of an `Idempotency-Key` for a while.
    Keyed {
        /// `all`, `zone` or `cell`.
        group: Group,
        /// How long they remember a key.
        window_ms: u64,
    },
    /// Must never run twice.
    Unsafe,
}

/// The servers that share the keys they have seen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of them.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Latency objective: an answer within this time earns the full priority weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// The longest timeout a client may ask for, and that of a client that asks for none.
    #[serde(rename = "patience_ms")]
    pub max_timeout_ms: u64,
    /// Priority weight of one request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the priority weight that a late answer earns.
    #[serde(default, rename = "late_worth")]
    pub late_weight_share: f64,
    /// Whether it may run again.
    pub effect: Effect,
}

/// A plan. Its quotas hold for each tenant, over all gateways together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Units a second.
    pub rate: f64,
    /// Most units in a burst.
    pub burst: f64,
    /// Most attempts in flight; 0 for no such quota.
    #[serde(rename = "open")]
    pub max_in_flight: u32,
    /// Factor on the priority weight.
    #[serde(rename = "price")]
    pub weight_factor: f64,
    /// Share of its priority weight that a request beyond the quota earns.
    #[serde(rename = "over_worth")]
    pub over_quota_weight_share: f64,
    /// Share of its priority weight that a request beyond the quota costs.
    #[serde(rename = "over_cost")]
    pub over_quota_cost_share: f64,
    /// Units a second that refill the hard ceiling; 0 for none.
    pub ceiling_rate: f64,
    /// Most units that the ceiling allows in a burst.
    pub ceiling_burst: f64,
    /// Units by which it may be overdrawn.
    pub ceiling_slack: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct TenantEntry {
    /// Its plan, one of `plans`.
    pub plan: String,
    /// Number of the first gateway of the subset that its requests come through.
    #[serde(default, rename = "first")]
    pub subset_start: usize,
    /// Gateways in the subset, counted on from the first; all of them if left out.
    #[serde(rename = "spread")]
    pub subset_size: Option<usize>,
}

/// A route.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Its method.
    pub method: String,
    /// Its path: segments, `*` for any one, a last `**` for any rest.
    pub path: String,
    /// Its class, one of `classes`.
    pub class: String,
    /// Units that a request takes from the quota.
    #[serde(default = "one")]
    pub units: f64,
    /// A scope that the token must have.
    pub scope: Option<String>,
}

pub(super) fn one() -> f64 {
    1.0
}
