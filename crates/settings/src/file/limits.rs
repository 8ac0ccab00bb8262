//! Section `limits`: bounds on what is held, and timeouts.

use serde::Deserialize;

/// How servers report their load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Reports {
    /// With every answer.
    #[default]
    Answers,
    /// With answers to probes alone; needs `probe_path`.
    Probe,
    /// Not at all.
    None,
}

/// Bounds on what is held, and timeouts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests in flight.
    pub open: usize,
    /// Client connections.
    pub connections: usize,
    /// Requests of one connection read ahead of their turn.
    pub pipeline: usize,
    /// Bytes of a line in a head.
    pub line_bytes: usize,
    /// Field lines in a head.
    pub fields: usize,
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a request's content.
    pub body_bytes: u64,
    /// Bytes of an answer's content.
    pub answer_bytes: u64,
    /// A connection without a request is closed after this.
    pub idle_ms: u64,
    /// A request that has begun must be complete after this.
    pub request_ms: u64,
    /// A connection to a server must be established after this.
    pub connect_ms: u64,
    /// Idle connections kept to each server.
    pub pool: usize,
    /// An idle connection to a server is closed after this; below the servers' own limit.
    pub pool_idle_ms: u64,
    /// Subtracted from a client's timeout for the answer's way back.
    pub answer_margin_ms: u64,
    /// Attempts of one request.
    pub attempts: u32,
    /// The longest `Retry-After` given, milliseconds.
    pub retry_after_ms: u64,
    /// How servers report their load.
    pub reports: Reports,
    /// Path of probes; without it, servers are not probed.
    pub probe_path: Option<String>,
    /// Period of the usage that servers report in answers; 0 if they report none.
    pub meter_ms: u64,
    /// After SIGTERM the process ends within this, whatever is in flight.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            open: 20_000,
            connections: 20_000,
            pipeline: 16,
            line_bytes: 8 << 10,
            fields: 100,
            head_bytes: 32 << 10,
            body_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            idle_ms: 60_000,
            request_ms: 10_000,
            connect_ms: 250,
            pool: 64,
            pool_idle_ms: 15_000,
            answer_margin_ms: 20,
            attempts: 4,
            retry_after_ms: 5_000,
            reports: Reports::Answers,
            probe_path: None,
            meter_ms: 0,
            drain_ms: 10_000,
        }
    }
}
