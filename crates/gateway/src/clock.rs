//! The clock: microseconds since 1970, but never backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A time or a span in microseconds.
pub type Micros = u64;

/// Starts at the system's time and then goes by the monotonic clock, so that a step of the system's clock
/// cannot stretch a deadline. Gateways agree on it as far as their system clocks agreed at their starts.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: micros(since), start: Instant::now() }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + micros(self.start.elapsed())
    }

    /// A moment, and what the clock showed then: for a task that goes by the same time without this type.
    pub fn origin(&self) -> (Instant, Micros) {
        (self.start, self.base)
    }

    /// The moment of a time, for timers of the reactor.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A duration in whole microseconds.
pub fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
