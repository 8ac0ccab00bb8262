//! The list of servers in the format of the discovery service, which gateways poll for it.

use crate::settings::PlatformSettings;
use frostgauge::{ServerEntry, ServerId, ServerState};
use serde::Deserialize;
use std::net::SocketAddr;

/// Maximum size of a response's content, bytes. A list of 10,000 servers takes about 2 MB.
pub const MAX_BYTES: u64 = 8 << 20;

/// Whether a server may be sent requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// The server accepts requests.
    Up,
    /// The server finishes the requests in flight and accepts no new ones.
    Draining,
    /// The server is no longer part of the back end.
    Removed,
}

/// An entry of the list: one server.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Target {
    /// The server's id, which is the same at every gateway.
    #[serde(rename = "instanceId")]
    pub id: String,
    /// The address for requests; entries of removed servers may have none.
    #[serde(rename = "hostPort", default)]
    pub address: Option<SocketAddr>,
    /// Name of the server's zone.
    #[serde(default)]
    pub zone: String,
    /// Number of the server's cell, see [`frostgauge::DedupScope::Cell`].
    #[serde(default)]
    pub cell: u32,
    /// Whether the server may be sent requests.
    pub lifecycle: Lifecycle,
    /// The server's size relative to other servers; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When the server last started, Unix time in ms; 0 means long ago.
    #[serde(rename = "startedAtMs", default)]
    pub started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// A response of the discovery service: the whole list, or the entries that changed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct TargetList {
    /// Version of the list.
    pub generation: u64,
    /// Whether this is the whole list rather than changes to an earlier version.
    pub reset: bool,
    /// The entries of the list, or those that changed.
    pub instances: Vec<Target>,
}

/// Why a list cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// A value is missing or of the wrong type.
    #[error("{}: {}", .0.path(), .0.inner())]
    Value(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The content holds more text after the list.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
}

impl TargetList {
    /// Reads the content of a response.
    ///
    /// # Errors
    /// The first fault, with its path. One invalid entry makes the whole list invalid.
    pub fn read(text: &[u8]) -> Result<TargetList, ListError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let list = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        Ok(list)
    }
}

impl Target {
    /// The server's id as a number: its 64-bit FNV-1a hash, which is the same at every gateway.
    pub fn server_id(&self) -> ServerId {
        const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        ServerId(self.id.bytes().fold(FNV_OFFSET_BASIS, add_byte))
    }

    /// The entry in the form of the decision library. A server without an address counts as removed; a zone that the
    /// settings don't name becomes `u32::MAX`.
    pub fn entry(&self, platform: &PlatformSettings) -> ServerEntry {
        let zone = platform.zones.iter().position(|name| *name == self.zone);
        ServerEntry {
            server: self.server_id(),
            state: match (self.lifecycle, self.address) {
                (Lifecycle::Up, Some(_)) => ServerState::Ready,
                (Lifecycle::Draining, Some(_)) => ServerState::Draining,
                _ => ServerState::Removed,
            },
            ready_at: self.started_ms.saturating_mul(1_000),
            size: self.weight,
            zone: zone.map_or(u32::MAX, |index| index as u32),
            cell: self.cell,
        }
    }
}

/// The path and query of a poll. Without `changes` it requests the whole list; otherwise the changes since a version, and
/// discovery may hold the request for so many ms until there are some (long poll).
pub fn poll_path_and_query(changes: Option<(u64, u64)>) -> String {
    match changes {
        None => "/api/targets".to_owned(),
        Some((version, hold_ms)) => format!("/api/targets?from={version}&hold_ms={hold_ms}"),
    }
}
