//! A circuit breaker: after failures in a row nothing is asked for a while, then one question at a time.

use crate::Micros;

/// Failures in a row that open it: fewer would open it at one lost connection with some questions out.
const TRIP: u32 = 5;
/// First time that it stays open, and how often that doubles, to 2 s: for so long after the server's return a
/// revocation may go unheeded, and one question in 2 s from each gateway is no load.
const OPEN: (Micros, u32) = (500_000, 2);

/// Closed (questions go), open (none go) or half open (one at a time goes, as a trial).
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    openings: u32,
    since: Micros,
    until: Micros,
    trial: bool,
}

impl Breaker {
    /// Whether a question may be asked now.
    pub fn allows_request(&self, now: Micros) -> bool {
        self.openings == 0 || now >= self.until && !self.trial
    }

    /// How long until a trial.
    pub fn time_until_trial(&self, now: Micros) -> Micros {
        self.until.saturating_sub(now)
    }

    /// A question goes out.
    pub fn request_sent(&mut self, now: Micros) {
        self.trial = self.openings > 0 && now >= self.until;
    }

    /// A question was answered, whatever the verdict.
    pub fn succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// A question sent at `sent` failed; `roll` from 0 up to 1 spreads the trials of many gateways.
    /// True if this opened it (anew).
    pub fn failed(&mut self, now: Micros, sent: Micros, roll: f64) -> bool {
        self.failures += 1;
        // Questions sent before it opened say nothing new; only a trial may prolong.
        let fresh = if self.openings == 0 { self.failures >= TRIP } else { sent >= self.since && self.trial };
        if !fresh {
            return false;
        }
        self.trial = false;
        let span = OPEN.0 << self.openings.min(OPEN.1);
        self.openings += 1;
        self.since = now;
        self.until = now + (span as f64 * (0.75 + 0.5 * roll)) as Micros;
        true
    }

    /// Its state in one word.
    pub fn state_name(&self, now: Micros) -> &'static str {
        match (self.openings, now >= self.until) {
            (0, _) => "closed",
            (_, false) => "open",
            (_, true) => "half-open",
        }
    }
}
