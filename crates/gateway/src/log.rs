//! Logging to standard error, and a throttle that keeps an overload from flooding the log.

use crate::clock::Micros;
use std::collections::BTreeMap;

/// Shortest time between two log lines of the same kind, µs.
const MIN_LINE_INTERVAL: Micros = 1_000_000;

/// Allows one log line a second of each kind, and counts the lines that it suppressed.
#[derive(Debug, Default)]
pub struct Throttle {
    /// Time of the last allowed line and the number suppressed since then, by kind.
    kinds: BTreeMap<&'static str, (Micros, u64)>,
}

impl Throttle {
    /// The number of lines suppressed since the last allowed one if a line of this kind may be written now; `None` if
    /// it must be suppressed.
    pub fn allow(&mut self, now: Micros, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last, suppressed)) if now < *last + MIN_LINE_INTERVAL => {
                *suppressed += 1;
                None
            }
            Some(entry) => Some(std::mem::replace(entry, (now, 0)).1),
            None => {
                self.kinds.insert(kind, (now, 0));
                Some(0)
            }
        }
    }
}

/// Sets up logging to standard error, as text or as JSON lines. `FROSTGAUGE_LOG` filters the lines by level and module,
/// as in `info` (the default) or `frostgauge_gateway=debug`.
pub fn init(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_env("FROSTGAUGE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second call in the same process, as in tests, has no effect.
    let _ = if json { builder.json().flatten_event(true).try_init() } else { builder.try_init() };
}
