//! Decides about tokens without doing any I/O: whether a cached verdict may serve, when a token introspection request
//! is sent, how many are in flight, and what a waiting request gets while the introspection server does not answer.
//!
//! The host reports events together with the time, and carries out the [`Step`]s it gets in return. This package sees
//! a token only as its [`TokenHash`], a keyed hash computed by the host.
//!
//! The rules, each with the setting that bounds it:
//! - A request is admitted only on a verdict. Without one its outcome is [`Outcome::Unavailable`], always
//!   before [`MAX_WAIT_FRACTION`] of the time that its client waits has passed.
//! - A valid verdict serves without an introspection request while it is no older than [`Config::fresh`], counted from
//!   the moment its request was *sent*; never past the token's own `exp`.
//! - While the server does not answer, a valid verdict serves until it is older than [`Config::stale`]. A revocation
//!   therefore takes effect within `fresh` while the server answers, and within `stale` at the latest.
//! - Single flight: one introspection request is in flight for a token, however many requests wait for its verdict.
//!   The number in flight for different tokens is limited; failures lower the limit, and while the [`Breaker`] is not
//!   closed only its trial requests are sent.

mod breaker;
mod cache;

pub use breaker::Breaker;
use cache::{Cache, Lookup};
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A time or a duration in microseconds. Times count from the Unix epoch, so that they can be compared with a token's
/// `exp`.
pub type Micros = u64;

/// A keyed hash that identifies a token.
pub type TokenHash = [u8; 16];

/// The largest part of a client's timeout that a request may wait for a verdict; the rest is left for the node.
pub const MAX_WAIT_FRACTION: f64 = 0.5;
/// Retries added to the budget per introspection request sent. The budget keeps the load on a failing server little
/// above that on a healthy one.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The largest retry budget, in retries.
const MAX_RETRY_BUDGET: f64 = 5.0;
/// The initial limit of introspection requests in flight. Each success raises the limit by one, and each failure halves
/// it, so that a server that recovers does not get requests for every token at once.
const INITIAL_IN_FLIGHT_LIMIT: f64 = 2.0;

/// The settings of token introspection.
#[derive(Clone, Debug)]
pub struct Config {
    /// The greatest age at which a valid verdict serves without an introspection request.
    pub fresh: Micros,
    /// The greatest age at which a valid verdict serves while the server does not answer.
    pub stale: Micros,
    /// The greatest age at which an invalid verdict serves.
    pub negative: Micros,
    /// The time after which an unanswered introspection request has failed.
    pub timeout: Micros,
    /// The maximum number of introspection requests in flight.
    pub flights: usize,
    /// The maximum number of requests waiting for a verdict.
    pub waiters: usize,
    /// The maximum number of cached verdicts.
    pub entries: usize,
}

/// What a valid token permits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The customer, from the member of the introspection response that the settings choose.
    pub subject: String,
    /// The scopes of the token.
    pub scopes: Vec<String>,
}

/// The verdict on a token, as parsed from an introspection response.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The token is valid, until `exp` if the response has one.
    Valid {
        /// What the token permits.
        grant: Grant,
        /// The time from which the token is no longer valid.
        exp: Option<Micros>,
    },
    /// The token is inactive, for another audience, not yet valid, or its response lacks the member that names the
    /// customer.
    Invalid,
}

/// The result of checking a request's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The token is valid, and the request is admitted.
    Granted(Arc<Grant>),
    /// The token is invalid.
    Denied,
    /// There is no verdict that may serve.
    Unavailable {
        /// The time after which the client may retry.
        retry_after: Micros,
    },
}

/// An action for the host, which carries out the steps in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an introspection request, and call [`Identity::introspected`] exactly once when it ends.
    Introspect {
        /// The number of the introspection request, never used twice.
        flight: u64,
        /// The token to introspect.
        token: TokenHash,
        /// The time after which the request has failed.
        timeout: Micros,
    },
    /// Continue a request with the outcome of its token check.
    Release {
        /// The request, by the number given to [`Identity::check`].
        waiter: u64,
        /// The outcome of the check.
        outcome: Outcome,
    },
    /// A token with a valid verdict turned out invalid: requests admitted with it and not yet sent to a node must not
    /// be sent.
    Revoked {
        /// The revoked token.
        token: TokenHash,
    },
}

/// A token with an introspection request queued or in flight.
#[derive(Debug, Default)]
struct Pending {
    /// The waiting requests and their deadlines.
    waiters: BTreeMap<u64, Micros>,
    /// The number of the introspection request in flight.
    flight: Option<u64>,
    /// Whether a failed introspection request was already considered for its one retry.
    retried: bool,
}

/// Counters for the status page, since the gateway started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Introspection requests sent.
    pub asked: u64,
    /// Introspection requests that failed.
    pub failed: u64,
    /// Requests admitted at once on a fresh cached verdict.
    pub hits: u64,
    /// Requests admitted on a stale verdict.
    pub stale: u64,
    /// Requests that ended without a verdict.
    pub unavailable: u64,
}

/// The token checks of one gateway: its cache, introspection requests and waiting requests.
#[derive(Debug)]
pub struct Identity {
    config: Config,
    cache: Cache,
    breaker: Breaker,
    pending: BTreeMap<TokenHash, Pending>,
    /// Introspection requests in flight, each with its token and the time it was sent.
    flights: BTreeMap<u64, (TokenHash, Micros)>,
    /// Tokens whose introspection request is not yet sent.
    queue: VecDeque<TokenHash>,
    /// The token of each waiting request.
    waiting: BTreeMap<u64, TokenHash>,
    deadlines: BTreeSet<(Micros, u64)>,
    last_flight: u64,
    in_flight_limit: f64,
    retry_budget: f64,
    rng: ChaCha8Rng,
    tally: Tally,
}

impl Identity {
    /// Creates the token checks with an empty cache; `seed` determines the jitter.
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
            last_flight: 0,
            in_flight_limit: INITIAL_IN_FLIGHT_LIMIT,
            retry_budget: MAX_RETRY_BUDGET / 2.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tally: Tally::default(),
        }
    }

    /// Applies new settings. Introspection requests in flight continue, and cached verdicts stay up to the new maximum.
    pub fn configure(&mut self, config: Config) {
        self.cache.set_max_entries(config.entries);
        self.config = config;
    }

    /// The counters so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The state of the circuit breaker: `closed`, `open` or `half-open`.
    pub fn breaker_state(&self, now: Micros) -> &'static str {
        self.breaker.state_name(now)
    }

    /// The numbers of waiting requests, of introspection requests in flight and of cached verdicts.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.waiting.len(), self.flights.len(), self.cache.len())
    }

    /// Whether an introspection request for this token is in flight or queued.
    pub fn is_pending(&self, token: &TokenHash) -> bool {
        self.pending.contains_key(token)
    }

    /// The earliest deadline of a waiting request, at which [`Identity::tick`] must be called.
    pub fn next_wake(&self) -> Option<Micros> {
        self.deadlines.first().map(|d| d.0)
    }

    /// Checks the token of a request, numbered `waiter`, whose client waits for `client_timeout` from now on. The
    /// outcome is a [`Step::Release`], now or later. A number is never used twice.
    pub fn check(
        &mut self,
        now: Micros,
        waiter: u64,
        token: TokenHash,
        client_timeout: Micros,
        out: &mut Vec<Step>,
    ) {
        match self.cache.get(now, &token, &self.config) {
            Lookup::Denied => return out.push(Step::Release { waiter, outcome: Outcome::Denied }),
            Lookup::Fresh(grant) => {
                self.tally.hits += 1;
                return out.push(Step::Release { waiter, outcome: Outcome::Granted(grant) });
            }
            Lookup::Stale(_) | Lookup::Missing => {}
        }
        let already_pending = self.pending.contains_key(&token);
        let full = self.waiting.len() >= self.config.waiters;
        if full || !already_pending && !self.breaker.allows_request(now) {
            return self.release_from_cache(now, waiter, &token, out);
        }
        let deadline = now + (client_timeout as f64 * MAX_WAIT_FRACTION) as Micros;
        self.waiting.insert(waiter, token);
        self.deadlines.insert((deadline, waiter));
        let pending = self.pending.entry(token).or_default();
        pending.waiters.insert(waiter, deadline);
        if !already_pending {
            self.queue.push_back(token);
        }
        self.send_queued(now, out);
    }

    /// Removes a waiting request whose client disconnected; it gets no [`Step::Release`].
    pub fn client_left(&mut self, waiter: u64) {
        let Some(token) = self.waiting.remove(&waiter) else { return };
        if let Some(pending) = self.pending.get_mut(&token) {
            if let Some(deadline) = pending.waiters.remove(&waiter) {
                self.deadlines.remove(&(deadline, waiter));
            }
        }
    }

    /// Handles the end of an introspection request: its verdict, or `None` if no readable response arrived before its
    /// timeout.
    pub fn introspected(&mut self, now: Micros, flight: u64, verdict: Option<Verdict>, out: &mut Vec<Step>) {
        let Some((token, sent)) = self.flights.remove(&flight) else { return };
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.flight = None;
        }
        match verdict {
            Some(verdict) => {
                self.breaker.succeeded();
                self.in_flight_limit = (self.in_flight_limit + 1.0).min(self.config.flights as f64);
                // The server may have decided as early as the request was sent, so the verdict's age counts from then.
                if self.cache.put(sent, token, verdict) {
                    out.push(Step::Revoked { token });
                }
                self.release_waiters(now, &token, out);
            }
            None => {
                self.tally.failed += 1;
                self.in_flight_limit = (self.in_flight_limit / 2.0).max(1.0);
                let jitter = self.rng.random::<f64>();
                let opened = self.breaker.failed(now, sent, jitter);
                let may_retry = self.pending.get_mut(&token).is_some_and(|p| {
                    let enough_time = p.waiters.values().any(|d| *d > now + self.config.timeout / 2);
                    enough_time && !std::mem::replace(&mut p.retried, true)
                });
                let allowed = may_retry && !opened && self.breaker.allows_request(now);
                if allowed && self.retry_budget >= 1.0 {
                    self.retry_budget -= 1.0;
                    self.queue.push_front(token);
                } else {
                    self.release_waiters(now, &token, out);
                }
                // The server is presumed down: queued requests get their outcome now rather than at their deadlines.
                if opened {
                    for token in std::mem::take(&mut self.queue) {
                        self.release_waiters(now, &token, out);
                    }
                }
            }
        }
        self.send_queued(now, out);
    }

    /// Releases the waiting requests whose deadline has passed, and sends queued introspection requests.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Step>) {
        while let Some((deadline, waiter)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(deadline, waiter));
            let Some(token) = self.waiting.remove(&waiter) else { continue };
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.waiters.remove(&waiter);
            }
            self.release_from_cache(now, waiter, &token, out);
        }
        self.send_queued(now, out);
    }

    /// Releases every request that waits for a token's verdict.
    fn release_waiters(&mut self, now: Micros, token: &TokenHash, out: &mut Vec<Step>) {
        for (waiter, deadline) in self.pending.remove(token).map(|p| p.waiters).unwrap_or_default() {
            self.deadlines.remove(&(deadline, waiter));
            self.waiting.remove(&waiter);
            self.release_from_cache(now, waiter, token, out);
        }
    }

    /// Releases one request with the outcome that the cache allows, a stale verdict included.
    fn release_from_cache(&mut self, now: Micros, waiter: u64, token: &TokenHash, out: &mut Vec<Step>) {
        let outcome = match self.cache.get(now, token, &self.config) {
            Lookup::Denied => Outcome::Denied,
            Lookup::Fresh(grant) => Outcome::Granted(grant),
            Lookup::Stale(grant) => {
                self.tally.stale += 1;
                Outcome::Granted(grant)
            }
            Lookup::Missing => {
                self.tally.unavailable += 1;
                // The jitter keeps the clients rejected during an outage from retrying at the same time.
                let delay = self.breaker.time_until_trial(now).max(self.config.timeout) as f64;
                Outcome::Unavailable { retry_after: (delay * (1.0 + self.rng.random::<f64>())) as Micros }
            }
        };
        out.push(Step::Release { waiter, outcome });
    }

    /// Sends queued introspection requests as far as the in-flight limit and the breaker allow.
    fn send_queued(&mut self, now: Micros, out: &mut Vec<Step>) {
        while (self.flights.len() as f64) < self.in_flight_limit && self.breaker.allows_request(now) {
            let Some(token) = self.queue.pop_front() else { return };
            // Every request that waited for this token was released or disconnected, so its verdict is not needed.
            if self.pending.get(&token).is_none_or(|p| p.waiters.is_empty()) {
                self.pending.remove(&token);
                continue;
            }
            self.last_flight += 1;
            let flight = self.last_flight;
            if let Some(pending) = self.pending.get_mut(&token) {
                pending.flight = Some(flight);
            }
            self.flights.insert(flight, (token, now));
            self.breaker.request_sent(now);
            self.tally.asked += 1;
            self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
            out.push(Step::Introspect { flight, token, timeout: self.config.timeout });
        }
    }
}
