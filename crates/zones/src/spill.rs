//! This gateway's part of a limit that all gateways hold together, without a word between them.

use crate::Micros;

/// How long a turn may be used after it came, microseconds, least and most. Turns kept longer could be used by all
/// gateways in the same moment, and the sum would pass the limit though each kept its own part; so the longer
/// they live, the fewer there are. They live as long as the time between a gateway's turns: hundreds of
/// gateways, with a request a second or so each, would else let most of theirs go by unused (at 400 gateways
/// and 250 ms a quarter of the limit was used at most).
const VALID: (f64, f64) = (250_000.0, 1_000_000.0);
/// The window in which the limit must hold, microseconds.
const WINDOW: f64 = 1e6;

/// Turns on a lattice of time: gateway `me` of `n` has a turn at `(j + me / n)` times its period, for every whole
/// `j`, and may use it for a while. The turns of all gateways are spread evenly, so those usable in any
/// window of one second came in one of a second and a turn's life: no more than the limit, also where each
/// gateway's part is less than one a second, where traffic gathers on some gateways, and where gateways
/// start again (a new one waits a turn's life first). Clocks that differ shift a gateway's turns and no more.
#[derive(Clone, Debug)]
pub struct Spill {
    period: f64,
    phase: f64,
    valid: Micros,
    begun: Micros,
    /// Turns used, by their number: those up to this one are gone.
    used: i64,
    taken: u64,
    /// Share of the turns that is used, for a target that is weaker than the limit says.
    thin: f64,
    owed: f64,
}

impl Spill {
    /// A part of `rate` attempts in any second.
    pub fn new(rate: f64, me: usize, gateways: usize, now: Micros) -> Spill {
        let n = gateways.max(1) as f64;
        // An interval of a second and a turn's life holds at most one turn more than its length has on the mean.
        let valid = (n / rate.max(1e-9) * WINDOW).clamp(VALID.0, VALID.1);
        let whole = ((rate - 1.0).max(0.0) / (WINDOW + valid)).max(1e-18);
        let period = n / whole;
        let (phase, valid) = (me as f64 / n, valid as Micros);
        let begun = now + valid;
        Spill { period, phase, valid, begun, used: i64::MIN, taken: 0, thin: 1.0, owed: 0.0 }
    }

    /// Number of the last turn that had come by a time.
    fn turn(&self, at: Micros) -> i64 {
        (at as f64 / self.period - self.phase).floor() as i64
    }

    /// The last turn that can no more be used.
    fn lapsed(&self, now: Micros) -> i64 {
        self.turn(now.max(self.begun).saturating_sub(self.valid))
    }

    /// Turns that can be used now.
    pub fn available(&self, now: Micros) -> i64 {
        if now < self.begun {
            return 0;
        }
        (self.turn(now) - self.lapsed(now).max(self.used)).max(0)
    }

    /// Uses the oldest turn.
    pub fn use_turn(&mut self, now: Micros) {
        let lapsed = self.lapsed(now);
        // A thinned part lets whole turns go by; it never uses one that is not its own.
        self.owed += 1.0 / self.thin;
        let steps = self.owed.floor();
        self.owed -= steps;
        self.used = lapsed.max(self.used) + (steps as i64).max(1);
        self.taken += 1;
    }

    /// Turns a second, on the mean.
    pub fn per_s(&self) -> f64 {
        WINDOW / self.period * self.thin
    }

    /// Uses only so many a second of all gateways' turns, where the target takes no more; the turns stay where
    /// they are, since parts that each gateway cut anew would not add up.
    pub fn reduce_rate(&mut self, rate: f64, limit: f64) {
        self.thin = (rate / limit.max(1e-9)).clamp(0.01, 1.0);
    }

    /// Turns used so far.
    pub fn used_count(&self) -> u64 {
        self.taken
    }
}
