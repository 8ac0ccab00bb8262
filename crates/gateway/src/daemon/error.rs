//! Why a gateway could not start.

use std::io;
use std::net::SocketAddr;

/// An error that keeps a gateway from starting; its text names the setting at fault.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listening socket could not be opened.
    #[error("{setting}: cannot listen on {address}: {source}")]
    Listen {
        /// Path of the setting with the address.
        setting: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The socket for datagrams between gateways could not be opened.
    #[error("fleet.peers[{gateway}]: cannot bind {address}: {source}")]
    PeerSocket {
        /// Number of this gateway.
        gateway: usize,
        /// The address to listen on.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Signals could not be subscribed to.
    #[error("cannot subscribe to signals: {0}")]
    Signals(io::Error),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// The metrics recorder could not be installed.
    #[error("{0}")]
    Metrics(String),
    /// The task that maintains the fleet's agreed rules could not be started.
    #[error("{0}")]
    FleetRules(String),
    /// The decision library rejected the settings.
    #[error("{0}")]
    Decisions(frostgauge::SettingsError),
}

/// An error that prevents a fleet from being bootstrapped.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// The file of settings or of rules is not usable; the text lists its faults.
    #[error("{path}: not usable:\n{faults}")]
    File {
        /// The file.
        path: String,
        /// Its faults, one a line.
        faults: String,
    },
    /// The settings have no section for the fleet's agreed rules.
    #[error("accord: the section is missing; bootstrapping a fleet needs it")]
    SectionMissing,
    /// This gateway is not one of the voters.
    #[error(
        "accord.keepers: gateway {gateway} is not listed; only a listed gateway can bootstrap the fleet"
    )]
    NotVoter {
        /// Number of this gateway.
        gateway: usize,
    },
    /// The first version could not be written into the voter's folder.
    #[error("{0}")]
    Record(String),
}
