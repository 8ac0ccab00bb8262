//! Section `introspection`: the server that tells whether a token is valid.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The introspection server (RFC 7662) and how long its verdicts serve.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Introspection {
    /// Its address.
    pub address: SocketAddr,
    /// `Host` in requests to it.
    pub host: String,
    /// The endpoint's path.
    pub path: String,
    /// The client id of this gateway.
    pub client_id: String,
    /// A file with its secret.
    pub client_secret_file: PathBuf,
    /// `realm` in challenges.
    pub realm: String,
    /// If given, tokens that name audiences must name this one.
    pub audience: Option<String>,
    /// The member that names the tenant: `client_id`, `username` or `sub`.
    pub customer: String,
    /// A request unanswered for this long has failed.
    pub timeout_ms: u64,
    /// A good verdict is cached for this long; a revocation takes effect within this time.
    pub fresh_ms: u64,
    /// A good verdict stays in use for this long while the server does not answer.
    pub stale_ms: u64,
    /// A bad verdict is cached for this long.
    pub negative_ms: u64,
    /// Most introspection requests in flight.
    pub flights: usize,
    /// Most requests waiting for a verdict.
    pub waiters: usize,
    /// Most verdicts cached.
    pub entries: usize,
}

impl Default for Introspection {
    fn default() -> Self {
        Introspection {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            host: "introspection".into(),
            path: "/introspect".into(),
            client_id: String::new(),
            client_secret_file: PathBuf::new(),
            realm: "claims".into(),
            audience: None,
            customer: "client_id".into(),
            timeout_ms: 300,
            fresh_ms: 5_000,
            stale_ms: 60_000,
            negative_ms: 10_000,
            flights: 32,
            waiters: 10_000,
            entries: 100_000,
        }
    }
}
