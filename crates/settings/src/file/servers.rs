//! Sections `nodes` and `rules`: the servers, and the rules for sending to them.

use super::traffic::one;
use serde::Deserialize;
use std::net::SocketAddr;

/// State of a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes the requests it has; gets nothing new.
    Draining,
}

/// A server (an entry of `nodes`).
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeEntry {
    /// Its address; identifies it at all gateways.
    pub address: SocketAddr,
    /// Its zone, one of `zones`.
    pub zone: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its size relative to other servers'.
    #[serde(default = "one")]
    pub size: f64,
    /// Its state.
    #[serde(default)]
    pub state: NodeState,
    /// When it last started, milliseconds since 1970; 0 or left out: long ago, it is warmed up.
    #[serde(default)]
    pub started_ms: u64,
}

/// Rules for sending to servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Least share of its capacity with which a server starts.
    #[serde(rename = "cold_from")]
    pub slow_start_share: f64,
    /// Time within which a server is warmed up.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: u64,
    /// A server that warms up collapses when sent more than this multiple of its capacity...
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// ...for this long.
    #[serde(rename = "fall_ms")]
    pub collapse_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { slow_start_share: 0.2, slow_start_ms: 15_000, collapse_multiple: 3.0, collapse_ms: 2_000 }
    }
}
