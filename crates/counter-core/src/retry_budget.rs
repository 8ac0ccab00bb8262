//! Retry budget: limits how many retries a client may send.

use crate::Micros;

/// Retries credited per call. If every reply is lost, retries add at most a fifth to the service's load.
const RETRIES_PER_CALL: f64 = 0.2;
/// Additional retries credited per second, so that a client that makes few calls, or has stopped making any, still
/// obtains the outcome of those in flight.
const RETRIES_PER_SECOND: f64 = 1.0;
/// Capacity of the budget, in retries.
const MAX_RETRIES: f64 = 20.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket: a retry spends one token.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// Retries available, including a fraction of the next one.
    available: f64,
    /// When the credit for elapsed time was last added.
    refilled_at: Micros,
}

impl RetryBudget {
    /// Starts at full capacity.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { available: MAX_RETRIES, refilled_at: 0 }
    }

    /// Adds the credit for a new call and for the time elapsed.
    pub(crate) fn credit_call(&mut self, now: Micros) {
        self.credit(now, RETRIES_PER_CALL);
    }

    /// Adds the credit for the time elapsed since the last one.
    pub(crate) fn refill(&mut self, now: Micros) {
        self.credit(now, 0.0);
    }

    fn credit(&mut self, now: Micros, retries: f64) {
        let last = std::mem::replace(&mut self.refilled_at, now);
        let seconds = now.saturating_sub(last) as f64 / MICROS_PER_SECOND;
        self.available = (self.available + retries + seconds * RETRIES_PER_SECOND).min(MAX_RETRIES);
    }

    /// Spends one retry. Returns false, and spends nothing, if less than one is available.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
