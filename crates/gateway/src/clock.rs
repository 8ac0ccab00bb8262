//! A clock in microseconds since 1970 that never runs backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time (since 1970) or a duration, in microseconds.
pub type Micros = u64;

/// Starts at the system time and then advances with the monotonic clock, so that a step of the system clock
/// cannot move a deadline. The clocks of two gateways differ by as much as their system clocks did when they started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading of this clock at `start`, µs.
    base: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: micros(since_epoch), start: Instant::now() }
    }
}

impl Clock {
    /// The current time, µs.
    pub fn now(&self) -> Micros {
        self.base + micros(self.start.elapsed())
    }

    /// An instant and the reading of this clock at it, µs, from which other code can derive the same time without
    /// this type.
    pub fn origin(&self) -> (Instant, Micros) {
        (self.start, self.base)
    }

    /// Converts a reading of this clock, µs, into an instant for timers of the reactor.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// Converts a duration into whole microseconds, at most [`Micros::MAX`].
pub fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
