//! The configuration file that a gateway is started with, as JSON.

use crate::settings::{self, PlatformSettings, ReadError};
use crate::targets::TargetList;
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest file, bytes: a list of 10,000 servers takes some 2 MB.
pub const MAX_BYTES: u64 = 16 << 20;
/// Fewest descriptors: fewer leave none for clients and servers beside the gateway's own.
pub const MIN_SOCKETS: usize = 64;

/// The machine's limits.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Share of the one core that the processes run on.
    pub cores: f64,
    /// Memory, MB; beyond it the gateway is killed.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    known: Option<TargetList>,
    settings: serde_json::Value,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of random numbers; a new one with each start.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// Address that datagrams of other gateways are sent to.
    pub peer_listen: Option<SocketAddr>,
    /// The datagram addresses of all gateways, this one's included, by number.
    pub peers: Vec<SocketAddr>,
    /// The list of servers as last known, perhaps outdated.
    pub known: Option<TargetList>,
    /// The settings.
    pub platform_settings: PlatformSettings,
}

/// Why a configuration is not valid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A value is missing or of the wrong type.
    #[error("{}{}", path_prefix(.0), .0.inner())]
    Value(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the object.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
    /// The seed is no hexadecimal number.
    #[error("seed: is not up to 16 hex digits")]
    Seed,
    /// The settings object is not valid.
    #[error(transparent)]
    Settings(#[from] ReadError),
    /// There are too few descriptors.
    #[error("limits.sockets: {0} is under {MIN_SOCKETS}")]
    Sockets(usize),
    /// There is not one peer address for each gateway.
    #[error("peers: has {addresses} addresses for {gateways} gateways")]
    Peers {
        /// Addresses in the file.
        addresses: usize,
        /// Gateways of the settings.
        gateways: usize,
    },
}

/// The path of an error's value; nothing for the object itself.
fn path_prefix(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    match error.path().to_string().as_str() {
        "." => String::new(),
        path => format!("{path}: "),
    }
}

impl Config {
    /// Reads and validates a file's text.
    ///
    /// # Errors
    /// What is wrong, with its path.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed)?;
        let platform_settings = settings::read(&file.settings)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::Sockets(file.limits.sockets));
        }
        let (addresses, gateways) = (file.peers.len(), platform_settings.settings.gateways);
        let has_peers = platform_settings.settings.capabilities.peers && file.peer_listen.is_some();
        if has_peers && addresses != gateways {
            return Err(ConfigError::Peers { addresses, gateways });
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            limits: file.limits,
            peer_listen: file.peer_listen.filter(|_| has_peers),
            peers: file.peers,
            known: file.known,
            platform_settings,
        })
    }
}
