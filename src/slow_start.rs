//! Slow start: a server that is warming up is sent no more than a part of what a warm one is.
//!
//! The part is earned over time as a credit and spent a request at a time.

use crate::api::{Micros, BackendLimits};
use crate::decay::seconds;

/// Share of the load at which a server collapses that all gateways use together: requests differ in size.
const COLLAPSE_SAFETY: f64 = 0.5;
/// Minimum capacity of a server that is warming up, as a share of its full capacity.
const MIN_CAPACITY: f64 = 0.01;

/// Slow start of one server.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// When the server became ready; 0 means long ago.
    ready_at: Micros,
    /// When it became ready on this gateway's clock.
    started_at: Micros,
    credit: f64,
}

impl SlowStart {
    /// A server that became ready at a time, by its own clock perhaps later than now. A random credit from 0
    /// up to 1 keeps gateways from sending their first requests together.
    pub fn new(ready_at: Micros, now: Micros, credit: f64) -> SlowStart {
        SlowStart { ready_at, started_at: ready_at.min(now), credit }
    }

    /// Minimum capacity of the server, as a share of its full capacity.
    pub fn capacity(&self, now: Micros, limits: &BackendLimits) -> f64 {
        if self.ready_at == 0 || limits.slow_start_time == 0 {
            return 1.0;
        }
        let progress = now.saturating_sub(self.started_at) as f64 / limits.slow_start_time as f64;
        (limits.slow_start_share + (1.0 - limits.slow_start_share) * progress).clamp(MIN_CAPACITY, 1.0)
    }

    /// Whether the credit allows a request.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Spends the credit of a request.
    pub fn spend(&mut self) {
        self.credit -= 1.0;
    }

    /// Earns the credit of an interval, given the rate at which this gateway may send to a warm server,
    /// requests/s.
    pub fn earn(&mut self, now: Micros, interval: Micros, warm_rate: f64, limits: &BackendLimits) {
        let share = (COLLAPSE_SAFETY * limits.collapse_multiple).min(1.0);
        let rate = share * self.capacity(now, limits) * warm_rate;
        let max_credit = (rate * seconds(limits.collapse_time)).max(1.0);
        self.credit = (self.credit + rate * seconds(interval)).clamp(-max_credit, max_credit);
    }
}
