//! What the script did and when, for the checks. Times are microseconds since 1970.

use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A gateway was told of a node.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    /// When.
    pub t: u64,
    /// Which gateway.
    pub gateway: usize,
    /// Which node.
    pub node: SocketAddr,
    /// That it takes new requests.
    pub ready: bool,
    /// When it started, by the list; 0: long ago.
    pub started_ms: u64,
}

/// A span in which something was so.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Span {
    /// Which gateway.
    pub gateway: usize,
    /// From.
    pub from: u64,
    /// To; `u64::MAX` while it lasts.
    pub to: u64,
}

/// A node's life: from a start to its end.
#[derive(Clone, Debug, Serialize)]
pub struct Life {
    /// Its address.
    pub node: SocketAddr,
    /// Its zone, the group that shares keys.
    pub zone: String,
    /// Its ledger.
    pub ledger: PathBuf,
    /// Its start.
    pub started: u64,
}

/// All of them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EventLog {
    /// What gateways were told of nodes.
    pub told: Vec<Told>,
    /// Gateways that were killed.
    pub killed: Vec<Span>,
    /// Gateways that stood still.
    pub stalled: Vec<Span>,
    /// Gateways told to end.
    pub ending: Vec<Span>,
    /// Nodes' lives.
    pub lives: Vec<Life>,
    /// Tokens revoked.
    pub revoked: Vec<(String, u64)>,
    /// Spans in which the introspection server did not answer well.
    pub no_verdicts: Vec<(u64, u64)>,
    /// Gateways that did not end with exit code 0 when told to.
    pub unclean: Vec<String>,
    /// Processes that ended although nobody ended them.
    pub died: Vec<String>,
}
