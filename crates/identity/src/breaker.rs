//! A circuit breaker: after several consecutive failures it blocks introspection requests for a while, then allows
//! one trial request at a time.

use crate::Micros;

/// Consecutive failures that open the breaker. With a lower threshold, a single lost connection that carries several
/// requests would open it.
const FAILURES_TO_OPEN: u32 = 5;
/// How long the breaker stays open the first time, before jitter.
const FIRST_OPEN_MICROS: Micros = 500_000;
/// How often the open time doubles, which bounds it at 2 s. After the server recovers, a revocation may go unnoticed
/// for that long; one request in 2 s from each gateway is a negligible load.
const MAX_DOUBLINGS: u32 = 2;

/// The state of the circuit breaker: closed (requests are allowed), open (none is) or half open (one trial request at
/// a time is allowed).
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    /// Failures since the last success.
    failures: u32,
    /// How often the breaker opened since the last success; 0 while it is closed.
    openings: u32,
    opened_at: Micros,
    open_until: Micros,
    trial_in_flight: bool,
}

impl Breaker {
    /// Whether an introspection request may be sent now.
    pub fn allows_request(&self, now: Micros) -> bool {
        self.openings == 0 || now >= self.open_until && !self.trial_in_flight
    }

    /// The time until the breaker allows a trial request; 0 if it is not open.
    pub fn time_until_trial(&self, now: Micros) -> Micros {
        self.open_until.saturating_sub(now)
    }

    /// Records that an introspection request is sent; in the half-open state it is the trial.
    pub fn request_sent(&mut self, now: Micros) {
        self.trial_in_flight = self.openings > 0 && now >= self.open_until;
    }

    /// Records a readable response, whatever its verdict, and closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// Records the failure of a request sent at `sent`, and returns whether it opened the breaker or reopened it after
    /// a trial. `jitter`, in [0, 1), scales the open time by 0.75 to 1.25, so that the trials of many gateways do not
    /// coincide.
    pub fn failed(&mut self, now: Micros, sent: Micros, jitter: f64) -> bool {
        self.failures += 1;
        // The failure of a request sent before the breaker opened is no new evidence: only a failed trial reopens it.
        let opens = if self.openings == 0 {
            self.failures >= FAILURES_TO_OPEN
        } else {
            sent >= self.opened_at && self.trial_in_flight
        };
        if !opens {
            return false;
        }
        self.trial_in_flight = false;
        let open_time = FIRST_OPEN_MICROS << self.openings.min(MAX_DOUBLINGS);
        self.openings += 1;
        self.opened_at = now;
        self.open_until = now + (open_time as f64 * (0.75 + 0.5 * jitter)) as Micros;
        true
    }

    /// The state's name on the status page: `closed`, `open` or `half-open`.
    pub fn state_name(&self, now: Micros) -> &'static str {
        match (self.openings, now >= self.open_until) {
            (0, _) => "closed",
            (_, false) => "open",
            (_, true) => "half-open",
        }
    }
}
