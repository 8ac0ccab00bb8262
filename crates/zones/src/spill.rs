//! This gateway's share of a spill limit that all gateways keep together without exchanging messages.

use crate::Micros;

/// Least and greatest validity of a turn, microseconds. The longer turns stay valid, the more of them all gateways
/// could use at the same moment, and the sum would pass the limit though each gateway kept to its share; a longer
/// validity therefore means fewer turns. Turns are valid for the time between two turns of one gateway, within
/// these bounds: hundreds of gateways with about one request a second each would otherwise let most of their turns
/// expire unused (with 400 gateways and 250 ms, at most a quarter of the limit was used).
const TURN_VALIDITY_RANGE_US: (f64, f64) = (250_000.0, 1_000_000.0);
/// The window in which the limit must hold, microseconds.
const WINDOW_US: f64 = 1e6;

/// Permission to send spill, as turns at fixed times: gateway `me` of `n` has a turn at `(j + me / n)` times its
/// period, for every integer `j`, and each turn may be used until its validity ends. The turns of all gateways are
/// spread evenly, so those that can be used within any second began within one second plus one validity. Their
/// number stays within the limit, even if each gateway's share is below one a second, if traffic concentrates on
/// some gateways, or if gateways restart (a new one first waits for one validity). Clock differences between
/// gateways only shift the turns.
#[derive(Clone, Debug)]
pub struct Spill {
    /// Time between two turns of this gateway, microseconds.
    period: f64,
    /// Offset of this gateway's turns, as a fraction of the period.
    phase: f64,
    /// How long a turn can be used.
    validity: Micros,
    /// No turn is used before this time.
    usable_from: Micros,
    /// Number of the last turn used or skipped.
    last_used: i64,
    used_count: u64,
    /// Fraction of the turns to use, below 1 if the target zone can take less than the limit.
    used_fraction: f64,
    /// Turns to use up for the sends so far, fractional part: each send costs `1 / used_fraction` turns.
    turn_debt: f64,
}

impl Spill {
    /// The share of gateway `me` (from 0) of `gateways` in a limit of `rate` attempts in any second.
    pub fn new(rate: f64, me: usize, gateways: usize, now: Micros) -> Spill {
        let gateways = gateways.max(1) as f64;
        let (min_validity, max_validity) = TURN_VALIDITY_RANGE_US;
        let validity = (gateways / rate.max(1e-9) * WINDOW_US).clamp(min_validity, max_validity);
        // An interval of one window plus one validity holds at most one turn more than its mean number.
        let turns_per_us = ((rate - 1.0).max(0.0) / (WINDOW_US + validity)).max(1e-18);
        let period = gateways / turns_per_us;
        let (phase, validity) = (me as f64 / gateways, validity as Micros);
        let usable_from = now + validity;
        Spill {
            period,
            phase,
            validity,
            usable_from,
            last_used: i64::MIN,
            used_count: 0,
            used_fraction: 1.0,
            turn_debt: 0.0,
        }
    }

    /// Number of the last turn that began at or before `at`.
    fn last_begun(&self, at: Micros) -> i64 {
        (at as f64 / self.period - self.phase).floor() as i64
    }

    /// Number of the last turn that has expired.
    fn last_expired(&self, now: Micros) -> i64 {
        self.last_begun(now.max(self.usable_from).saturating_sub(self.validity))
    }

    /// Number of turns that can be used now.
    pub fn available(&self, now: Micros) -> i64 {
        if now < self.usable_from {
            return 0;
        }
        (self.last_begun(now) - self.last_expired(now).max(self.last_used)).max(0)
    }

    /// Uses the oldest valid turn; call it only if [`Spill::available`] is at least 1.
    pub fn use_turn(&mut self, now: Micros) {
        let expired = self.last_expired(now);
        // At a reduced rate whole turns are skipped, so that this gateway uses no turn but its own.
        self.turn_debt += 1.0 / self.used_fraction;
        let steps = self.turn_debt.floor();
        self.turn_debt -= steps;
        self.last_used = expired.max(self.last_used) + (steps as i64).max(1);
        self.used_count += 1;
    }

    /// Mean number of turns a second that this gateway may use.
    pub fn per_s(&self) -> f64 {
        WINDOW_US / self.period * self.used_fraction
    }

    /// Lowers the use of turns to the fraction `rate / limit`, at least 0.01, if the target zone can take only `rate`
    /// attempts a second from all gateways. The times of the turns stay the same: if each gateway recomputed its
    /// turns on its own, the shares would no longer add up to the limit.
    pub fn reduce_rate(&mut self, rate: f64, limit: f64) {
        self.used_fraction = (rate / limit.max(1e-9)).clamp(0.01, 1.0);
    }

    /// Number of sends that used a turn, since the start.
    pub fn used_count(&self) -> u64 {
        self.used_count
    }
}
