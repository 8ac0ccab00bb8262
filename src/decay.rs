//! Exponential decay over time.

use crate::api::Micros;

/// Time constant of the averages of usage, send rates and attempts in flight, s.
pub(crate) const RATE_HORIZON_S: f64 = 1.5;

/// A duration in seconds.
pub(crate) fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// Factor by which a value decays in `elapsed`, between 0 and 1.
pub(crate) fn decay(elapsed: Micros, time_constant_s: f64) -> f64 {
    (-seconds(elapsed) / time_constant_s).exp()
}

/// A rate in units per second, as an exponential average with the time constant [`RATE_HORIZON_S`].
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    rate: f64,
    updated_at: Micros,
}

impl DecayingRate {
    /// Rate at `now`, units per second.
    pub fn get(&self, now: Micros) -> f64 {
        self.rate * decay(now.saturating_sub(self.updated_at), RATE_HORIZON_S)
    }

    /// Adds units that are used at `now`.
    pub fn add(&mut self, now: Micros, units: f64) {
        *self = DecayingRate { rate: self.get(now) + units / RATE_HORIZON_S, updated_at: now };
    }
}
