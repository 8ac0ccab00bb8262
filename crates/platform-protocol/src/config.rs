//! Reads and validates the JSON configuration file that a gateway is started with.

use crate::settings::{self, PlatformSettings, ReadError};
use crate::targets::TargetList;
use serde::Deserialize;
use std::net::SocketAddr;

/// Maximum size of the file, bytes. A list of 10,000 servers takes about 2 MB.
pub const MAX_BYTES: u64 = 16 << 20;
/// Minimum number of file descriptors. With fewer, the gateway's own descriptors leave none for connections to clients
/// and servers.
pub const MIN_SOCKETS: usize = 64;

/// Limits of the machine that the gateway runs on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// CPU time that the gateway may use, as a share of one core.
    pub cores: f64,
    /// Maximum memory, MB. The gateway is killed if it uses more.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
}

/// The file's JSON object before validation.
#[derive(Deserialize)]
struct ConfigFile {
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
    /// The gateway's name, which stays the same across restarts.
    pub name: String,
    /// Address at which the gateway accepts clients' connections.
    pub listen: SocketAddr,
    /// Address of the discovery service, which publishes the list of servers.
    pub discovery: SocketAddr,
    /// Seed of the gateway's random numbers; each start has a new one.
    pub seed: u64,
    /// Limits of the machine that the gateway runs on.
    pub limits: Limits,
    /// Address at which the gateway receives datagrams of other gateways; `None` if gateways exchange none.
    pub peer_listen: Option<SocketAddr>,
    /// Datagram addresses of all gateways, this one included, indexed by the gateway's number.
    pub peers: Vec<SocketAddr>,
    /// The list of servers as last known before this start; it may be outdated.
    pub known: Option<TargetList>,
    /// The contents of the file's settings object.
    pub platform_settings: PlatformSettings,
}

/// Why a configuration is not valid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A value is missing or of the wrong type.
    #[error("{}{}", path_prefix(.0), .0.inner())]
    Value(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The file holds more text after its JSON object.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: is not a number of 1 to 16 hexadecimal digits")]
    Seed,
    /// The settings object is not valid.
    #[error(transparent)]
    Settings(#[from] ReadError),
    /// The limit of file descriptors is below [`MIN_SOCKETS`].
    #[error("limits.sockets: is {0}, but at least {MIN_SOCKETS} file descriptors are needed")]
    Sockets(usize),
    /// The number of peer addresses differs from the number of gateways.
    #[error("peers: has {addresses} addresses for {gateways} gateways")]
    Peers {
        /// Number of peer addresses in the file.
        addresses: usize,
        /// Number of gateways in the settings.
        gateways: usize,
    },
}

/// The path of the value at fault and a colon; empty if the whole object is at fault.
fn path_prefix(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    match error.path().to_string().as_str() {
        "." => String::new(),
        path => format!("{path}: "),
    }
}

impl Config {
    /// Reads and validates the text of a configuration file.
    ///
    /// # Errors
    /// The first fault found, with the path of the value at fault.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: ConfigFile = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed)?;
        let platform_settings = settings::read(&file.settings)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::Sockets(file.limits.sockets));
        }
        let (addresses, gateways) = (file.peers.len(), platform_settings.settings.gateways);
        let exchanges_datagrams = platform_settings.settings.capabilities.peers && file.peer_listen.is_some();
        if exchanges_datagrams && addresses != gateways {
            return Err(ConfigError::Peers { addresses, gateways });
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            limits: file.limits,
            peer_listen: file.peer_listen.filter(|_| exchanges_datagrams),
            peers: file.peers,
            known: file.known,
            platform_settings,
        })
    }
}
