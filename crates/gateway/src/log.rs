//! Log lines that a storm cannot multiply: one a second for each kind, with how many were left out.

use crate::clock::Micros;
use std::collections::BTreeMap;

/// Shortest time between two lines of a kind.
const EVERY: Micros = 1_000_000;

/// Lets one line of a kind through in each second.
#[derive(Debug, Default)]
pub struct Throttle {
    kinds: BTreeMap<&'static str, (Micros, u64)>,
}

impl Throttle {
    /// `Some` of the number left out since the last line, if a line may be written now.
    pub fn allow(&mut self, now: Micros, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last, out)) if now < *last + EVERY => {
                *out += 1;
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

/// Sets up logging to standard error: text for people, or JSON lines. `FROSTGAUGE_LOG` chooses what is
/// told, as in `info` or `frostgauge_gateway=debug`.
pub fn init(json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_env("FROSTGAUGE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second call, as in tests, changes nothing.
    let _ = if json { builder.json().flatten_event(true).try_init() } else { builder.try_init() };
}
