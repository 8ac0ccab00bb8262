//! Token checks when the introspection server fails, is silent or recovers, and when tokens expire or are revoked;
//! without a socket.

use frostgauge_identity::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Microseconds per millisecond.
const MS: Micros = 1_000;
/// Microseconds per second.
const S: Micros = 1_000_000;

fn config() -> Config {
    Config {
        fresh: 2 * S,
        stale: 60 * S,
        negative: 5 * S,
        timeout: 200 * MS,
        flights: 32,
        waiters: 1000,
        entries: 100,
    }
}

fn valid(subject: &str) -> Option<Verdict> {
    Some(Verdict::Valid { grant: Grant { subject: subject.into(), scopes: vec![] }, exp: None })
}

/// A token hash that is distinct for each number.
fn token(number: u32) -> TokenHash {
    let mut hash = [0; 16];
    hash[..4].copy_from_slice(&number.to_be_bytes());
    hash
}

/// The host of the token checks, with a clock that the test sets.
struct Host {
    identity: Identity,
    now: Micros,
    steps: Vec<Step>,
    last_waiter: u64,
}

impl Host {
    fn new() -> Host {
        Host { identity: Identity::new(config(), 1), now: 1000 * S, steps: vec![], last_waiter: 0 }
    }
    /// Checks the token of a new request, whose client waits 2 s, and returns the request's number.
    fn check(&mut self, token: TokenHash) -> u64 {
        self.last_waiter += 1;
        self.identity.check(self.now, self.last_waiter, token, 2 * S, &mut self.steps);
        self.last_waiter
    }
    fn introspected(&mut self, flight: u64, verdict: Option<Verdict>) {
        self.identity.introspected(self.now, flight, verdict, &mut self.steps);
    }
    /// Removes the introspection requests from the steps and returns their numbers.
    fn take_flights(&mut self) -> Vec<u64> {
        let flights = self.steps.iter().filter_map(|s| match s {
            Step::Introspect { flight, .. } => Some(*flight),
            _ => None,
        });
        let flights = flights.collect();
        self.steps.retain(|s| !matches!(s, Step::Introspect { .. }));
        flights
    }
    /// Removes the outcome of a request from the steps, if it has one.
    fn outcome(&mut self, waiter: u64) -> Option<Outcome> {
        let index =
            self.steps.iter().position(|s| matches!(s, Step::Release { waiter: w, .. } if *w == waiter))?;
        match self.steps.remove(index) {
            Step::Release { outcome, .. } => Some(outcome),
            _ => None,
        }
    }
    fn granted(&mut self, waiter: u64) -> bool {
        matches!(self.outcome(waiter), Some(Outcome::Granted(_)))
    }
    /// Caches a valid verdict on a token.
    fn cache_valid(&mut self, token: TokenHash) {
        let waiter = self.check(token);
        let flight = self.take_flights()[0];
        self.introspected(flight, valid("a"));
        assert!(self.granted(waiter));
    }
    /// Fails introspection requests until the breaker is open.
    fn open_breaker(&mut self) {
        for number in 0..20 {
            if self.identity.breaker_state(self.now) != "closed" {
                return;
            }
            self.check(token(9000 + number));
            for flight in self.take_flights() {
                self.introspected(flight, None);
            }
        }
        assert_eq!(self.identity.breaker_state(self.now), "open");
    }
}

#[test]
fn requests_with_one_token_share_one_introspection() {
    let mut host = Host::new();
    let waiters: Vec<u64> = (0..500).map(|_| host.check(token(1))).collect();
    assert_eq!(host.take_flights(), [1]);
    host.introspected(1, valid("a"));
    assert!(waiters.into_iter().all(|w| host.granted(w)));
    assert!(host.take_flights().is_empty());
}

#[test]
fn silent_server_leaves_half_of_the_client_timeout() {
    let mut host = Host::new();
    let waiter = host.check(token(1));
    let wake = host.identity.next_wake().expect("the waiting request has a deadline");
    assert!(wake <= host.now + S, "the deadline is later than half of the 2 s client timeout");
    host.now = wake;
    host.identity.tick(wake, &mut host.steps);
    assert!(matches!(host.outcome(waiter), Some(Outcome::Unavailable { .. })));
    // The late verdict is still cached for later requests.
    host.introspected(1, valid("a"));
    let next = host.check(token(1));
    assert!(host.granted(next));
}

#[test]
fn stale_verdict_serves_only_while_the_server_fails() {
    let mut host = Host::new();
    host.cache_valid(token(1));
    host.now += 3 * S;
    let waiter = host.check(token(1));
    let flight = host.take_flights()[0];
    assert_eq!(
        host.outcome(waiter),
        None,
        "a verdict older than `fresh` served before its introspection request ended"
    );
    // The introspection request fails, and so does its only retry.
    host.introspected(flight, None);
    let retry = host.take_flights()[0];
    host.introspected(retry, None);
    assert!(host.granted(waiter), "the stale verdict did not serve after the failures");
    host.open_breaker();
    let waiter = host.check(token(1));
    assert!(host.granted(waiter), "the stale verdict did not serve at once while the breaker was open");
    host.now += 58 * S;
    // Past `stale` the verdict no longer serves, and without a new one the request is not admitted.
    let waiter = host.check(token(1));
    for flight in host.take_flights() {
        host.introspected(flight, None);
    }
    assert!(matches!(host.outcome(waiter), Some(Outcome::Unavailable { .. })));
}

#[test]
fn revoked_token_is_denied_and_reported_after_fresh() {
    let mut host = Host::new();
    host.cache_valid(token(1));
    host.now += 2 * S + 1;
    let waiter = host.check(token(1));
    let flight = host.take_flights()[0];
    host.introspected(flight, Some(Verdict::Invalid));
    assert_eq!(host.outcome(waiter), Some(Outcome::Denied));
    assert_eq!(host.steps, [Step::Revoked { token: token(1) }]);
    let waiter = host.check(token(1));
    assert_eq!(host.outcome(waiter), Some(Outcome::Denied), "the invalid verdict was not cached");
    host.now += 5 * S + 1;
    host.check(token(1));
    assert_eq!(
        host.take_flights().len(),
        1,
        "an invalid verdict older than `negative` was not introspected again"
    );
}

#[test]
fn expired_token_is_denied_without_introspection() {
    let mut host = Host::new();
    host.check(token(1));
    let exp = Some(host.now + S);
    host.introspected(1, Some(Verdict::Valid { grant: Grant::default(), exp }));
    host.steps.clear();
    host.now += S;
    let waiter = host.check(token(1));
    assert_eq!(host.outcome(waiter), Some(Outcome::Denied));
}

/// Guards against a burst of requests for every token when a server recovers after an outage that outlasted the cached
/// verdicts.
#[test]
fn recovered_server_gets_gradually_more_requests() {
    let mut host = Host::new();
    host.open_breaker();
    host.steps.clear();
    host.now += 2 * S;
    let trial_waiter = host.check(token(1));
    let flights = host.take_flights();
    assert_eq!(flights.len(), 1, "the half-open breaker did not send exactly one trial request");
    let second_waiter = host.check(token(2));
    assert!(
        matches!(host.outcome(second_waiter), Some(Outcome::Unavailable { .. })),
        "a second request waited during the trial"
    );
    host.introspected(flights[0], valid("a"));
    assert!(host.granted(trial_waiter));
    let waiters: Vec<u64> = (100..400).map(|number| host.check(token(number))).collect();
    let mut max_in_flight = 0;
    let mut flights = host.take_flights();
    let (mut rounds, mut sizes) = (0, vec![]);
    while !flights.is_empty() {
        sizes.push(flights.len());
        max_in_flight = max_in_flight.max(flights.len());
        for flight in std::mem::take(&mut flights) {
            host.introspected(flight, valid("a"));
        }
        flights = host.take_flights();
        rounds += 1;
        assert!(rounds < 100, "introspection did not end within 100 rounds");
    }
    assert!(sizes[0] <= 3 && max_in_flight <= 32, "requests in flight by round: {sizes:?}");
    assert!(waiters.into_iter().all(|w| host.granted(w)));
}

#[test]
fn opening_the_breaker_releases_queued_requests() {
    let mut host = Host::new();
    let waiters: Vec<u64> = (0..50).map(|number| host.check(token(number))).collect();
    for _ in 0..20 {
        for flight in host.take_flights() {
            host.introspected(flight, None);
        }
    }
    let released = waiters.into_iter().filter(|w| host.outcome(*w).is_some()).count();
    assert_eq!(released, 50);
    assert_eq!(host.identity.sizes().0, 0);
}

#[test]
fn disconnected_clients_cause_no_introspection() {
    let mut host = Host::new();
    let waiters: Vec<u64> = (0..10).map(|number| host.check(token(number))).collect();
    let flights = host.take_flights();
    for waiter in &waiters[flights.len()..] {
        host.identity.client_left(*waiter);
    }
    for flight in flights {
        host.introspected(flight, valid("a"));
    }
    assert!(host.take_flights().is_empty());
}

#[test]
fn waiting_requests_and_cached_verdicts_are_bounded() {
    let mut host = Host::new();
    let last = (0..1001).map(|number| host.check(token(number % 40))).last().expect("the range is not empty");
    assert!(matches!(host.outcome(last), Some(Outcome::Unavailable { .. })));
    for number in 0..300 {
        host.now += S;
        for flight in host.take_flights() {
            host.introspected(flight, valid("a"));
        }
        host.check(token(number));
    }
    assert!(host.identity.sizes().2 <= 100);
}

#[derive(Clone, Debug)]
enum Event {
    /// A request with the token of this number.
    Check(u32),
    /// The end of the introspection request at this index, modulo their number: 0 and 1 are a valid verdict, 2 an
    /// invalid one, the rest failures.
    Introspected(usize, u8),
    /// The disconnect of the client of the waiting request at this index, modulo their number.
    ClientLeft(usize),
    /// The passing of a time in microseconds.
    Wait(u64),
}

proptest! {
    /// For any behaviour of the server: each request whose client stays gets exactly one outcome, no later than half
    /// of the client's timeout; none is admitted on a verdict older than `stale`; the introspection requests in flight
    /// stay within the limit.
    #[test]
    fn each_waiting_request_gets_one_outcome_in_time(events in prop::collection::vec(prop_oneof![
        4 => (0u32..12).prop_map(Event::Check),
        4 => (0usize..40, 0u8..5).prop_map(|(index, result)| Event::Introspected(index, result)),
        1 => (0usize..40).prop_map(Event::ClientLeft),
        3 => (0u64..3_000_000).prop_map(Event::Wait),
    ], 1..300)) {
        let mut host = Host::new();
        let mut waiting: BTreeMap<u64, (u32, Micros)> = BTreeMap::new();
        let mut flights: Vec<(u64, TokenHash, Micros)> = vec![];
        let mut last_valid_sent: BTreeMap<TokenHash, Micros> = BTreeMap::new();
        for event in events {
            let mut steps: Vec<(Micros, Step)> = vec![];
            match event {
                Event::Check(number) => {
                    let now = host.now;
                    let waiter = host.check(token(number));
                    waiting.insert(waiter, (number, now));
                }
                Event::Introspected(index, result) if !flights.is_empty() => {
                    let (flight, token, sent) = flights.remove(index % flights.len());
                    if result < 2 { last_valid_sent.insert(token, sent); }
                    host.introspected(flight, match result { 0 | 1 => valid("a"), 2 => Some(Verdict::Invalid), _ => None });
                }
                Event::ClientLeft(index) if !waiting.is_empty() => {
                    let waiter = *waiting.keys().nth(index % waiting.len()).expect("a request waits");
                    host.identity.client_left(waiter);
                    waiting.remove(&waiter);
                }
                Event::Wait(duration) => {
                    let end = host.now + duration;
                    while let Some(at) = host.identity.next_wake().filter(|at| *at <= end) {
                        host.now = host.now.max(at);
                        host.identity.tick(host.now, &mut host.steps);
                        steps.extend(host.steps.drain(..).map(|s| (host.now, s)));
                    }
                    host.now = end;
                }
                _ => {}
            }
            steps.extend(host.steps.drain(..).map(|s| (host.now, s)));
            for (at, step) in steps {
                match step {
                    Step::Introspect { flight, token, .. } => {
                        prop_assert!(flights.iter().all(|f| f.1 != token), "two introspection requests in flight for one token");
                        flights.push((flight, token, at));
                    }
                    Step::Release { waiter, outcome } => {
                        let Some((number, since)) = waiting.remove(&waiter) else {
                            return Err(TestCaseError::fail("a request was released twice, or after its client disconnected"));
                        };
                        prop_assert!(at <= since + S);
                        if let Outcome::Granted(_) = outcome {
                            let sent = last_valid_sent.get(&token(number)).copied();
                            prop_assert!(sent.is_some_and(|sent| at - sent <= 60 * S));
                        }
                    }
                    Step::Revoked { .. } => {}
                }
            }
            prop_assert!(flights.len() <= 32);
            prop_assert!(waiting.values().all(|(_, since)| host.now <= since + S), "a request waits past its deadline");
        }
    }
}
