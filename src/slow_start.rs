//! Slow start: a server that is warming up is sent requests at a lower rate than a warm one.
//!
//! That rate earns the server a credit over time, and each request sent to it spends one of the credit.

use crate::api::{BackendLimits, Micros};
use crate::decay::seconds;

/// Share of the load at which a server collapses that all gateways send it together; the margin is needed
/// since requests differ in size.
const COLLAPSE_SAFETY: f64 = 0.5;
/// Lower bound of the capacity of a server that is warming up, as a share of its full capacity.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// Slow start of one server.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// When the server became ready by the list of servers, µs; 0 means long ago.
    ready_at: Micros,
    /// The same time, but no later than when this gateway received the list.
    started_at: Micros,
    /// Requests that may be sent to the server now; negative after more were sent.
    credit: f64,
}

impl SlowStart {
    /// Starts the slow start of a server that became ready at `ready_at`, which may be later than `now` where
    /// the server's clock is ahead. `credit` is random, from 0 to 1, so that the gateways do not send their
    /// first requests all at once.
    pub fn new(ready_at: Micros, now: Micros, credit: f64) -> SlowStart {
        SlowStart { ready_at, started_at: ready_at.min(now), credit }
    }

    /// Minimum capacity of the server at `now`, as a share of its full capacity.
    pub fn capacity_share(&self, now: Micros, limits: &BackendLimits) -> f64 {
        if self.ready_at == 0 || limits.slow_start_time == 0 {
            return 1.0;
        }
        let progress = now.saturating_sub(self.started_at) as f64 / limits.slow_start_time as f64;
        (limits.slow_start_share + (1.0 - limits.slow_start_share) * progress).clamp(MIN_CAPACITY_SHARE, 1.0)
    }

    /// Whether the credit allows one more request.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Spends the credit for one request, even if there is none.
    pub fn spend(&mut self) {
        self.credit -= 1.0;
    }

    /// Adds the credit for an interval. `warm_rate` is the rate at which this gateway may send to a warm
    /// server, requests/s.
    pub fn earn_credit(&mut self, now: Micros, interval: Micros, warm_rate: f64, limits: &BackendLimits) {
        let share = (COLLAPSE_SAFETY * limits.collapse_multiple).min(1.0);
        let rate = share * self.capacity_share(now, limits) * warm_rate;
        let max_credit = (rate * seconds(limits.collapse_time)).max(1.0);
        self.credit = (self.credit + rate * seconds(interval)).clamp(-max_credit, max_credit);
    }
}
