//! Decisions about tokens, free of I/O: which verdict may serve, when the introspection server is asked,
//! how many questions are out, and what is said while it does not answer.
//!
//! The host hands in what happens with the time, and carries out the [`Step`]s that come back. Tokens are
//! known here by [`TokenHash`] alone, a keyed hash that the host makes.
//!
//! The rules, each with the setting that bounds it:
//! - A request enters only on a verdict. Without one it is answered [`Outcome::Unavailable`], always
//!   before a stated part of the client's patience has gone ([`MAX_WAIT_FRACTION`]).
//! - A good verdict serves without a question while it is younger than [`Config::fresh`], counted from the
//!   moment the question was *sent*; never past the token's own `exp`.
//! - While the server does not answer, it serves until [`Config::stale`]. A revocation is therefore heeded
//!   within `fresh` while the server answers, and within `stale` at the latest.
//! - One question is out for a token however many requests wait for it; few are out in all, fewer after
//!   failures, and none while the [`Breaker`] is open but its trials.

mod breaker;
mod cache;

pub use breaker::Breaker;
use cache::{Cache, Known};
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A time or a span in microseconds; times count from 1970, so that a token's `exp` can be compared.
pub type Micros = u64;

/// A token's name: a keyed hash of it.
pub type TokenHash = [u8; 16];

/// Most of a client's patience that may go by before its token is judged: the other half is the node's.
pub const MAX_WAIT_FRACTION: f64 = 0.5;
/// Questions repeated per question asked; most saved up. A failing server is asked little more than a
/// healthy one.
const RETRIES: (f64, f64) = (0.1, 5.0);
/// Questions out at once to begin with and after a trial: a server that returns is not met with
/// every token at once.
const START_LIMIT: f64 = 2.0;

/// What the settings say.
#[derive(Clone, Debug)]
pub struct Config {
    /// A good verdict this young serves without a question.
    pub fresh: Micros,
    /// A good verdict serves at most this long while the server does not answer.
    pub stale: Micros,
    /// A bad verdict serves this long.
    pub negative: Micros,
    /// A question unanswered for this long has failed.
    pub timeout: Micros,
    /// Most questions out at once.
    pub flights: usize,
    /// Most requests waiting for a verdict.
    pub waiters: usize,
    /// Most verdicts kept.
    pub entries: usize,
}

/// What a good token allows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The customer, as the settings' chosen member names it.
    pub subject: String,
    /// Its scopes.
    pub scopes: Vec<String>,
}

/// The server's answer to a question, already read.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Good, until `exp` if the token names one.
    Valid {
        /// What it allows.
        grant: Grant,
        /// The time from which it is no longer good.
        exp: Option<Micros>,
    },
    /// Inactive, for another audience, not yet valid, or without the member that names the customer.
    Invalid,
}

/// What a waiting request is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may enter.
    Granted(Arc<Grant>),
    /// The token is not good.
    Denied,
    /// There is no verdict; come back after this time.
    Unavailable {
        /// When to ask again.
        retry_after: Micros,
    },
}

/// Something for the host to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the server about a token, and call [`Identity::introspected`] exactly once.
    Introspect {
        /// The question's number.
        flight: u64,
        /// The token.
        token: TokenHash,
        /// How long to wait.
        timeout: Micros,
    },
    /// A request has its outcome.
    Release {
        /// The request.
        waiter: u64,
        /// What it is told.
        outcome: Outcome,
    },
    /// A token that was good is no more: requests that entered with it and are not yet sent must not be.
    Revoked {
        /// The token.
        token: TokenHash,
    },
}

#[derive(Debug, Default)]
struct Pending {
    waiters: BTreeMap<u64, Micros>,
    flight: Option<u64>,
    repeated: bool,
}

/// Counts of what was decided, for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Questions asked.
    pub asked: u64,
    /// Questions that failed.
    pub failed: u64,
    /// Requests that entered on a fresh verdict in the cache.
    pub hits: u64,
    /// Requests that entered on a stale one.
    pub stale: u64,
    /// Requests without a verdict.
    pub unavailable: u64,
}

/// The decisions about tokens at one gateway.
#[derive(Debug)]
pub struct Identity {
    config: Config,
    cache: Cache,
    breaker: Breaker,
    pending: BTreeMap<TokenHash, Pending>,
    flights: BTreeMap<u64, (TokenHash, Micros)>,
    queue: VecDeque<TokenHash>,
    waiting: BTreeMap<u64, TokenHash>,
    deadlines: BTreeSet<(Micros, u64)>,
    next_flight: u64,
    limit: f64,
    retries: f64,
    rng: ChaCha8Rng,
    tally: Tally,
}

impl Identity {
    /// With nothing known yet.
    pub fn new(config: Config, seed: u64) -> Identity {
        Identity {
            cache: Cache::new(config.entries),
            config,
            breaker: Breaker::default(),
            pending: BTreeMap::new(),
            flights: BTreeMap::new(),
            queue: VecDeque::new(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_flight: 0,
            limit: START_LIMIT,
            retries: RETRIES.1 / 2.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tally: Tally::default(),
        }
    }

    /// Takes new settings; verdicts and questions that are out stay.
    pub fn configure(&mut self, config: Config) {
        self.cache.bound(config.entries);
        self.config = config;
    }

    /// What was decided so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The breaker's state in one word.
    pub fn breaker_state(&self, now: Micros) -> &'static str {
        self.breaker.state_name(now)
    }

    /// Requests waiting, questions out, verdicts kept.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.waiting.len(), self.flights.len(), self.cache.len())
    }

    /// Whether a question about this token is out or queued.
    pub fn is_pending(&self, token: &TokenHash) -> bool {
        self.pending.contains_key(token)
    }

    /// When [`Identity::tick`] is next needed.
    pub fn next_wake(&self) -> Option<Micros> {
        self.deadlines.first().map(|d| d.0)
    }

    /// A request asks to enter; its client waits `patience` from now on. `waiter` is never used twice.
    pub fn check(
        &mut self,
        now: Micros,
        waiter: u64,
        token: TokenHash,
        patience: Micros,
        out: &mut Vec<Step>,
    ) {
        match self.cache.get(now, &token, &self.config) {
            Known::Denied => return out.push(Step::Release { waiter, outcome: Outcome::Denied }),
            Known::Fresh(grant) => {
                self.tally.hits += 1;
                return out.push(Step::Release { waiter, outcome: Outcome::Granted(grant) });
            }
            Known::Stale(_) | Known::Nothing => {}
        }
        let joins = self.pending.contains_key(&token);
        let full = self.waiting.len() >= self.config.waiters;
        if full || !joins && !self.breaker.allows_request(now) {
            return self.settle(now, waiter, &token, out);
        }
        let deadline = now + (patience as f64 * MAX_WAIT_FRACTION) as Micros;
        self.waiting.insert(waiter, token);
        self.deadlines.insert((deadline, waiter));
        let pending = self.pending.entry(token).or_default();
        pending.waiters.insert(waiter, deadline);
        if !joins {
            self.queue.push_back(token);
        }
        self.pump(now, out);
    }

    /// A client left: nothing more is said to it.
    pub fn client_left(&mut self, waiter: u64) {
        let Some(token) = self.waiting.remove(&waiter) else { return };
        if let Some(pending) = self.pending.get_mut(&token) {
            if let Some(deadline) = pending.waiters.remove(&waiter) {
                self.deadlines.remove(&(deadline, waiter));
            }
        }
    }

    /// The answer to a question, or `None` if there was none that can be read within its time.
    pub fn introspected(&mut self, now: Micros, flight: u64, answer: Option<Verdict>, out: &mut Vec<Step>) {
        let Some((token, sent)) = self.flights.remove(&flight) else { return };
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.flight = None;
        }
        match answer {
            Some(answer) => {
                self.breaker.succeeded();
                self.limit = (self.limit + 1.0).min(self.config.flights as f64);
                // The verdict's age counts from the question: it may be that old when the answer comes.
                if self.cache.put(sent, token, answer) {
                    out.push(Step::Revoked { token });
                }
                self.release(now, &token, out);
            }
            None => {
                self.tally.failed += 1;
                self.limit = (self.limit / 2.0).max(1.0);
                let roll = self.rng.random::<f64>();
                let tripped = self.breaker.failed(now, sent, roll);
                let again = self.pending.get_mut(&token).is_some_and(|p| {
                    let soon = p.waiters.values().any(|d| *d > now + self.config.timeout / 2);
                    soon && !std::mem::replace(&mut p.repeated, true)
                });
                if again && !tripped && self.breaker.allows_request(now) && self.retries >= 1.0 {
                    self.retries -= 1.0;
                    self.queue.push_front(token);
                } else {
                    self.release(now, &token, out);
                }
                // What waits for a server that is taken for down is answered at once, not at its deadline.
                if tripped {
                    for token in std::mem::take(&mut self.queue) {
                        self.release(now, &token, out);
                    }
                }
            }
        }
        self.pump(now, out);
    }

    /// Time has passed: those who can wait no longer are told.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Step>) {
        while let Some((deadline, waiter)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(deadline, waiter));
            let Some(token) = self.waiting.remove(&waiter) else { continue };
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.waiters.remove(&waiter);
            }
            self.settle(now, waiter, &token, out);
        }
        self.pump(now, out);
    }

    /// Tells everyone who waits for a token what the cache now says of it.
    fn release(&mut self, now: Micros, token: &TokenHash, out: &mut Vec<Step>) {
        for (waiter, deadline) in self.pending.remove(token).map(|p| p.waiters).unwrap_or_default() {
            self.deadlines.remove(&(deadline, waiter));
            self.waiting.remove(&waiter);
            self.settle(now, waiter, token, out);
        }
    }

    /// What a request is told without another question.
    fn settle(&mut self, now: Micros, waiter: u64, token: &TokenHash, out: &mut Vec<Step>) {
        let outcome = match self.cache.get(now, token, &self.config) {
            Known::Denied => Outcome::Denied,
            Known::Fresh(grant) => Outcome::Granted(grant),
            Known::Stale(grant) => {
                self.tally.stale += 1;
                Outcome::Granted(grant)
            }
            Known::Nothing => {
                self.tally.unavailable += 1;
                // Spread, so that the clients of an outage do not return as one.
                let wait = self.breaker.time_until_trial(now).max(self.config.timeout) as f64;
                Outcome::Unavailable { retry_after: (wait * (1.0 + self.rng.random::<f64>())) as Micros }
            }
        };
        out.push(Step::Release { waiter, outcome });
    }

    /// Sends questions as far as the limit and the breaker let it.
    fn pump(&mut self, now: Micros, out: &mut Vec<Step>) {
        while (self.flights.len() as f64) < self.limit && self.breaker.allows_request(now) {
            let Some(token) = self.queue.pop_front() else { return };
            // Nobody waits for it any more: a question would be for nothing.
            if self.pending.get(&token).is_none_or(|p| p.waiters.is_empty()) {
                self.pending.remove(&token);
                continue;
            }
            self.next_flight += 1;
            let flight = self.next_flight;
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.flight = Some(flight);
            }
            self.flights.insert(flight, (token, now));
            self.breaker.request_sent(now);
            self.tally.asked += 1;
            self.retries = (self.retries + RETRIES.0).min(RETRIES.1);
            out.push(Step::Introspect { flight, token, timeout: self.config.timeout });
        }
    }
}
