//! The settings section `accord`: how a gateway takes part in the fleet's consensus on one set of rules.

use crate::check::Checks;
use crate::File;
use frostgauge_consensus::{Rules, Timing, TimingSettings};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Largest number of gateways that `accord.links` may name.
const MAX_PEERS: usize = 4_096;
/// Bounds of [`Consensus::confirm_nodes`].
const CONFIRM_NODES: std::ops::RangeInclusive<usize> = 1..=1_024;

/// How this gateway takes part in the fleet's agreed rules: the section `accord`.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Consensus {
    /// Numbers of the voting gateways: 3, 5 or 7. Voters agreed on since then take precedence over this list.
    #[serde(rename = "keepers")]
    pub voters: BTreeSet<u16>,
    /// Peer address of each gateway, by gateway number; gateways to be added later may be listed already.
    #[serde(rename = "links")]
    pub peer_addresses: Vec<SocketAddr>,
    /// Where this gateway listens for peer connections, if not at its own entry in `links` (behind a relay).
    pub listen: Option<SocketAddr>,
    /// A file with the secret that all gateways of the fleet share.
    pub secret_file: PathBuf,
    /// A folder for a voter's log and for the stored fallback version; relative to the settings file.
    pub folder: PathBuf,
    /// Longest time a gateway may act under a version after another acted under a conflicting one, milliseconds.
    #[serde(default = "default_within_ms")]
    pub within_ms: u64,
    /// Largest deviation of a process's clock rate, parts per million.
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u64,
    /// Under fallback rules, how long a server's own statement that it takes new work is valid, milliseconds.
    #[serde(default = "default_confirm_ms")]
    pub confirm_ms: u64,
    /// The path at which a server is asked for that statement; a response that does not say `draining` confirms.
    #[serde(default = "default_confirm_path")]
    pub confirm_path: String,
    /// Largest number of servers that this gateway probes under fallback rules.
    #[serde(default = "default_confirm_nodes")]
    pub confirm_nodes: usize,
    /// Percentage of gateways that try a version before the others; read when the fleet is bootstrapped.
    #[serde(default = "default_canary_percent")]
    pub canary_percent: u8,
    /// Time in which the canaries must confirm a version before it is withdrawn, milliseconds.
    #[serde(default = "default_canary_ms")]
    pub canary_ms: u64,
}

fn default_within_ms() -> u64 {
    TimingSettings::default().within_ms
}

fn default_drift_ppm() -> u64 {
    TimingSettings::default().drift_ppm
}

fn default_confirm_ms() -> u64 {
    TimingSettings::default().confirm_ms
}

fn default_confirm_path() -> String {
    "/health".into()
}

fn default_confirm_nodes() -> usize {
    8
}

fn default_canary_percent() -> u8 {
    TimingSettings::default().canary_percent
}

fn default_canary_ms() -> u64 {
    TimingSettings::default().canary_ms
}

impl Consensus {
    fn timing_settings(&self) -> TimingSettings {
        TimingSettings {
            within_ms: self.within_ms,
            drift_ppm: self.drift_ppm,
            confirm_ms: self.confirm_ms,
            canary_percent: self.canary_percent,
            canary_ms: self.canary_ms,
        }
    }

    /// Derives the protocol's timing from this section.
    ///
    /// # Errors
    /// Every field out of bounds; a loaded file has none.
    pub fn timing(&self) -> Result<Timing, String> {
        self.timing_settings()
            .timing()
            .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
    }

    /// Where the gateway with this number listens for peer connections.
    pub fn listen_address(&self, gateway_id: usize) -> Option<SocketAddr> {
        self.listen.or_else(|| self.peer_addresses.get(gateway_id).copied())
    }
}

pub(crate) fn check(checks: &mut Checks, file: &File, section: &Consensus) {
    if let Err(errors) = section.timing_settings().timing() {
        for error in errors {
            checks.that(false, error.path, error.reason);
        }
    }
    check_voters(checks, section);
    check_peer_addresses(checks, file, section);
    let path_is_absolute = section.confirm_path.starts_with('/');
    checks.that(path_is_absolute, "accord.confirm_path", "is no path");
    let nodes_in_bounds = CONFIRM_NODES.contains(&section.confirm_nodes);
    checks.that(nodes_in_bounds, "accord.confirm_nodes", "is not between 1 and 1024");
}

fn check_voters(checks: &mut Checks, section: &Consensus) {
    checks.that(matches!(section.voters.len(), 3 | 5 | 7), "accord.keepers", "are not 3, 5 or 7");
    let peers = section.peer_addresses.len();
    let all_have_an_address = section.voters.iter().all(|voter| usize::from(*voter) < peers);
    checks.that(all_have_an_address, "accord.keepers", "name one without a place in accord.links");
}

fn check_peer_addresses(checks: &mut Checks, file: &File, section: &Consensus) {
    let addresses = &section.peer_addresses;
    checks.that(addresses.len() >= file.fleet.gateways, "accord.links", "does not name every gateway");
    checks.that(addresses.len() <= MAX_PEERS, "accord.links", "names over 4096 gateways");
    let distinct: BTreeSet<_> = addresses.iter().collect();
    checks.that(distinct.len() == addresses.len(), "accord.links", "names an address twice");
    checks.that(addresses.iter().all(|a| a.port() > 0), "accord.links", "names port 0");
}

/// Reads rules from a Jsonnet file and validates them.
///
/// # Errors
/// Everything that is wrong with them, with paths.
pub fn load_rules(path: &Path) -> Result<Rules, crate::Faults> {
    let evaluated = crate::evaluate(path)?;
    read_rules(&evaluated.value)
}

/// Reads rules from JSON and validates them.
///
/// # Errors
/// Everything that is wrong with them, with paths.
pub fn read_rules(value: &serde_json::Value) -> Result<Rules, crate::Faults> {
    let fault = |path: String, reason: String| crate::Fault { path, reason };
    let rules: Rules = serde_path_to_error::deserialize(value)
        .map_err(|e| crate::Faults(vec![fault(e.path().to_string(), e.inner().to_string())]))?;
    let faults: Vec<_> = rules.validate().into_iter().map(|f| fault(f.path, f.reason)).collect();
    if faults.is_empty() {
        Ok(rules)
    } else {
        Err(crate::Faults(faults))
    }
}
