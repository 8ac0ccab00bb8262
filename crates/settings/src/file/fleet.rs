//! Sections `gateway` and `fleet`: this gateway, and all of them.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// This gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its number, from 0.
    pub number: usize,
    /// Its zone, one of `zones`.
    pub zone: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Source address of connections to servers; without it, the system chooses.
    pub source: Option<std::net::IpAddr>,
    /// Where administrators connect: `/metrics`, `/status`. Keep it on a local address.
    pub admin: SocketAddr,
}

/// All gateways.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many gateways there are.
    pub gateways: usize,
    /// The zone of each gateway, by number; with `zone_policy`, so that a limit is shared among those that it is for.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Where each gateway, by number, receives datagrams; without it, gateways do not gossip.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// A file with the secret that all gateways share; needed with `peers`.
    pub peer_secret_file: Option<PathBuf>,
    /// Datagrams a second that a gateway accepts.
    #[serde(default = "default_peer_in_per_s")]
    pub peer_in_per_s: f64,
}

fn default_peer_in_per_s() -> f64 {
    40.0
}
