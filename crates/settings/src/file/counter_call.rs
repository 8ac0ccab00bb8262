//! Section `counter`: how the shared counter is called.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How the shared counter is called.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CounterCall {
    /// Its address.
    pub address: SocketAddr,
    /// A file with this gateway's secret, as the counter has it.
    pub key_file: PathBuf,
    /// A call without an answer by then ends, milliseconds.
    #[serde(default = "count_limit")]
    pub limit_ms: u64,
    /// A call without an answer is repeated after this, milliseconds; the service counts it once.
    #[serde(default = "count_repeat")]
    pub repeat_ms: u64,
}

fn count_limit() -> u64 {
    80
}

fn count_repeat() -> u64 {
    30
}
