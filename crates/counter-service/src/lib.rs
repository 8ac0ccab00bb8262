//! The counter service: named counters that all gateways add to. An add is counted exactly once, also if it is retried.
//!
//! `frostgauge-counter-core` holds the logic without I/O. This package makes the state durable ([`write_ahead_log`], one
//! sync for each group of requests), serves gateways over TCP ([`daemon`]), and contains the client that runs in a
//! gateway ([`client`]).

pub mod client;
pub mod daemon;
mod group_commit;
mod identity_lease;
mod sessions;
mod volatile_storage;
pub mod write_ahead_log;

/// Sets up logging to standard error, as text or as JSON lines. The filter is taken from the environment variable
/// `FROSTGAUGE_LOG`, and is `info` without it.
pub fn init_logging(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_env("FROSTGAUGE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // Fails if a logger is already set up, as in tests; that one is kept.
    let _ = if json { builder.json().flatten_event(true).try_init() } else { builder.try_init() };
}
