//! Exponential backoff with jitter between attempts to connect.

use crate::Micros;

/// Backoff after the first failure.
const MIN_BACKOFF: Micros = 50_000;
/// Maximum backoff, also used after any rejection by the service.
const MAX_BACKOFF: Micros = 2_000_000;

/// The backoff doubles with each failure. Each pause is drawn uniformly from its upper half, so that many gateways do not
/// reconnect at the same time.
#[derive(Debug)]
pub(crate) struct ConnectBackoff {
    /// Backoff after the next failure.
    next: Micros,
    /// State of the xorshift64* generator; never zero.
    rng_state: u64,
}

impl ConnectBackoff {
    /// `seed` must differ between gateways, so that their pauses differ.
    pub(crate) fn new(seed: u64) -> ConnectBackoff {
        // Xorshift would return only zeros from a state of zero.
        ConnectBackoff { next: MIN_BACKOFF, rng_state: seed | 1 }
    }

    /// Resets the backoff to its minimum after a connection was established.
    pub(crate) fn reset(&mut self) {
        self.next = MIN_BACKOFF;
    }

    /// Returns the pause after a failed or lost connection. `rejected` selects the maximum backoff: the service has
    /// rejected the connection, and would most likely do so again.
    pub(crate) fn after_failure(&mut self, rejected: bool) -> Micros {
        let backoff = if rejected { MAX_BACKOFF } else { self.next };
        self.next = (self.next * 2).min(MAX_BACKOFF);
        backoff / 2 + (backoff as f64 / 2.0 * self.next_random()) as Micros
    }

    /// Returns a pseudo-random number in [0, 1) (xorshift64*).
    fn next_random(&mut self) -> f64 {
        self.rng_state ^= self.rng_state >> 12;
        self.rng_state ^= self.rng_state << 25;
        self.rng_state ^= self.rng_state >> 27;
        (self.rng_state.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }
}
