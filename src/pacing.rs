//! Pacing: a customer's requests beyond the quota are released one by one, a delay apart.
//!
//! The delay is adapted as in the peak load control of Lee and Min (2007, Figure 10), for each customer by
//! itself.

use crate::api::Micros;
use crate::decay::seconds;

/// Interval after which the delay is adapted, µs.
const INTERVAL: Micros = 500_000;
/// A delay up to this drops to zero after an interval within the quota, ms; δ in the paper.
const MIN_DELAY_MS: f64 = 10.0;
/// Factor on a longer delay after an interval within the quota; β in the paper.
const DELAY_DECAY: f64 = 0.5;
/// Longest hold, as a share of the class's latency objective; the rest is needed to serve the request.
const MAX_HOLD_SHARE_OF_OBJECTIVE: f64 = 0.15;
/// Longest hold, as a share of the time left until the request's deadline: a client that is rejected after
/// the hold still has time to retry.
const MAX_HOLD_SHARE_OF_REMAINING: f64 = 0.25;

/// The longest time that a request may be held, with `remaining` µs left until its deadline.
pub(crate) fn max_hold_us(latency_objective: Micros, remaining: Micros) -> f64 {
    let by_remaining = remaining as f64 * MAX_HOLD_SHARE_OF_REMAINING;
    (latency_objective as f64 * MAX_HOLD_SHARE_OF_OBJECTIVE).min(by_remaining)
}

/// Paces the requests of one customer.
pub(crate) struct Pacer {
    /// Time between two releases.
    delay_ms: f64,
    interval_start: Micros,
    /// Units of the requests that arrived in the present interval.
    interval_units: f64,
    /// Release time of the request held last.
    last_release: Micros,
}

impl Pacer {
    /// Creates a pacer without delay, whose first interval starts now.
    pub fn new(now: Micros) -> Pacer {
        Pacer { delay_ms: 0.0, interval_start: now, interval_units: 0.0, last_release: 0 }
    }

    /// Ends the intervals that are over by `now` and adapts the delay after each. `quota_rate` is this
    /// gateway's share of the quota, units per second.
    pub fn advance(&mut self, now: Micros, quota_rate: f64, in_flight: u32, max_delay_ms: f64) {
        while now >= self.interval_start + INTERVAL {
            let excess_rate = self.interval_units / seconds(INTERVAL) - quota_rate;
            self.delay_ms = self.next_delay_ms(excess_rate, in_flight, max_delay_ms);
            self.interval_units = 0.0;
            self.interval_start += INTERVAL;
            if self.delay_ms == 0.0 {
                self.interval_start += (now - self.interval_start) / INTERVAL * INTERVAL;
            }
        }
    }

    fn next_delay_ms(&self, excess_rate: f64, in_flight: u32, max_delay_ms: f64) -> f64 {
        if excess_rate > 0.0 {
            let previous = if self.delay_ms == 0.0 { 1.0 } else { self.delay_ms };
            (excess_rate / f64::from(in_flight.max(1)) * previous).min(max_delay_ms)
        } else if self.delay_ms > MIN_DELAY_MS {
            self.delay_ms * DELAY_DECAY
        } else {
            0.0
        }
    }

    /// Counts the units of a request that arrives in the present interval.
    pub fn record_arrival(&mut self, units: f64) {
        self.interval_units += units;
    }

    /// When a request that arrives now is to be released, at most `max_hold_us` later.
    pub fn release_time(&self, now: Micros, max_hold_us: f64) -> Micros {
        let release_at = self.last_release.max(now) + (self.delay_ms * 1e3) as Micros;
        release_at.min(now + max_hold_us as Micros)
    }

    /// Records the release time of a held request: the next one is released a delay later.
    pub fn reserve(&mut self, release_at: Micros) {
        self.last_release = release_at;
    }
}
