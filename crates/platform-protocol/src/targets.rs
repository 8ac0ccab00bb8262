//! The list of servers in discovery's format.

use crate::settings::PlatformSettings;
use frostgauge::{ServerEntry, ServerId, ServerState};
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest response, bytes: a list of 10,000 servers takes some 2 MB.
pub const MAX_BYTES: u64 = 8 << 20;

/// Whether a server may be sent requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// It accepts requests.
    Up,
    /// It finishes the requests it holds.
    Draining,
    /// It is removed.
    Removed,
}

/// A server of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Target {
    /// Its id, the same at every gateway.
    #[serde(rename = "instanceId")]
    pub id: String,
    /// Its address; entries of removed servers may have none.
    #[serde(rename = "hostPort", default)]
    pub address: Option<SocketAddr>,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it may be sent requests.
    pub lifecycle: Lifecycle,
    /// Its size relative to other servers'.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Its last start, Unix time in ms; 0 means long ago.
    #[serde(rename = "startedAtMs", default)]
    pub started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// A response of discovery: the list or changes to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct TargetList {
    /// The list's version.
    pub generation: u64,
    /// It is the whole list rather than changes.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Target>,
}

/// Why a list is unreadable.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// A value is missing or of the wrong type.
    #[error("{}: {}", .0.path(), .0.inner())]
    Value(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the list.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
}

impl TargetList {
    /// Reads a response's content.
    ///
    /// # Errors
    /// What is unreadable, with its path. One invalid entry makes the whole list unreadable.
    pub fn read(text: &[u8]) -> Result<TargetList, ListError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let list = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        Ok(list)
    }
}

impl Target {
    /// A number for its id, the same at every gateway (FNV-1a).
    pub fn server_id(&self) -> ServerId {
        let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        ServerId(self.id.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
    }

    /// Its entry for the decision library. A server without an address counts as gone.
    pub fn entry(&self, platform: &PlatformSettings) -> ServerEntry {
        let zone = platform.zones.iter().position(|z| *z == self.zone);
        ServerEntry {
            server: self.server_id(),
            state: match (self.lifecycle, self.address) {
                (Lifecycle::Up, Some(_)) => ServerState::Ready,
                (Lifecycle::Draining, Some(_)) => ServerState::Draining,
                _ => ServerState::Removed,
            },
            ready_at: self.started_ms.saturating_mul(1_000),
            size: self.weight,
            zone: zone.map_or(u32::MAX, |z| z as u32),
            cell: self.cell,
        }
    }
}

/// The request target of a poll: `None` for the whole list, else the version after which changes are asked for and
/// how long the poll may be held, ms.
pub fn poll_path_and_query(changes: Option<(u64, u64)>) -> String {
    match changes {
        None => "/api/targets".to_owned(),
        Some((version, hold_ms)) => format!("/api/targets?from={version}&hold_ms={hold_ms}"),
    }
}
