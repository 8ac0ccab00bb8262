//! The counter service: counters by name that all gateways add to, each add counted once.
//!
//! `frostgauge-counter-core` decides; this package makes the decisions durable ([`write_ahead_log`], in groups of
//! one sync each), serves them on sockets ([`daemon`]), and holds a gateway's connection ([`client`]).

pub mod client;
pub mod daemon;
mod group_commit;
mod identity_lease;
mod sessions;
mod volatile_storage;
pub mod write_ahead_log;

/// Sets up logging to standard error: text for people, or JSON lines. `FROSTGAUGE_LOG` filters it.
pub fn init_logging(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_env("FROSTGAUGE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second call, as in tests, changes nothing.
    let _ = if json { builder.json().flatten_event(true).try_init() } else { builder.try_init() };
}
