//! Troubles of the introspection server and of tokens, without a socket.

use frostgauge_identity::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
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

fn good(name: &str) -> Option<Verdict> {
    Some(Verdict::Valid { grant: Grant { subject: name.into(), scopes: vec![] }, exp: None })
}

fn token(k: u32) -> TokenHash {
    let mut name = [0; 16];
    name[..4].copy_from_slice(&k.to_be_bytes());
    name
}

struct Host {
    identity: Identity,
    now: Micros,
    out: Vec<Step>,
    next: u64,
}

impl Host {
    fn new() -> Host {
        Host { identity: Identity::new(config(), 1), now: 1000 * S, out: vec![], next: 0 }
    }
    fn enter(&mut self, token: TokenHash) -> u64 {
        self.next += 1;
        self.identity.check(self.now, self.next, token, 2 * S, &mut self.out);
        self.next
    }
    fn answer(&mut self, flight: u64, answer: Option<Verdict>) {
        self.identity.introspected(self.now, flight, answer, &mut self.out);
    }
    fn asks(&mut self) -> Vec<u64> {
        let flights = self.out.iter().filter_map(|s| match s {
            Step::Introspect { flight, .. } => Some(*flight),
            _ => None,
        });
        let flights = flights.collect();
        self.out.retain(|s| !matches!(s, Step::Introspect { .. }));
        flights
    }
    fn outcome(&mut self, waiter: u64) -> Option<Outcome> {
        let at =
            self.out.iter().position(|s| matches!(s, Step::Release { waiter: w, .. } if *w == waiter))?;
        match self.out.remove(at) {
            Step::Release { outcome, .. } => Some(outcome),
            _ => None,
        }
    }
    fn granted(&mut self, waiter: u64) -> bool {
        matches!(self.outcome(waiter), Some(Outcome::Granted(_)))
    }
    /// Makes a token known.
    fn know(&mut self, token: TokenHash) {
        let waiter = self.enter(token);
        let flight = self.asks()[0];
        self.answer(flight, good("a"));
        assert!(self.granted(waiter));
    }
    /// Lets questions fail until the breaker is open.
    fn trip(&mut self) {
        for k in 0..20 {
            if self.identity.breaker_state(self.now) != "closed" {
                return;
            }
            self.enter(token(9000 + k));
            for flight in self.asks() {
                self.answer(flight, None);
            }
        }
        assert_eq!(self.identity.breaker_state(self.now), "open");
    }
}

#[test]
fn five_hundred_requests_with_one_token_ask_once() {
    let mut host = Host::new();
    let waiters: Vec<u64> = (0..500).map(|_| host.enter(token(1))).collect();
    assert_eq!(host.asks(), [1]);
    host.answer(1, good("a"));
    assert!(waiters.into_iter().all(|w| host.granted(w)));
    assert!(host.asks().is_empty());
}

#[test]
fn a_silent_server_leaves_time_to_answer_each_client() {
    let mut host = Host::new();
    let waiter = host.enter(token(1));
    let wake = host.identity.next_wake().expect("a deadline");
    assert!(wake <= host.now + S, "half of two seconds' patience");
    host.now = wake;
    host.identity.tick(wake, &mut host.out);
    assert!(matches!(host.outcome(waiter), Some(Outcome::Unavailable { .. })));
    // The late answer is still good for those who come after.
    host.answer(1, good("a"));
    let next = host.enter(token(1));
    assert!(host.granted(next));
}

#[test]
fn an_old_verdict_is_asked_again_and_serves_while_nobody_answers() {
    let mut host = Host::new();
    host.know(token(1));
    host.now += 3 * S;
    let waiter = host.enter(token(1));
    let flight = host.asks()[0];
    assert_eq!(host.outcome(waiter), None, "older than fresh: a question first");
    // No answer, and none to the one repeat that the budget allows.
    host.answer(flight, None);
    let repeat = host.asks()[0];
    host.answer(repeat, None);
    assert!(host.granted(waiter), "stale");
    host.trip();
    let waiter = host.enter(token(1));
    assert!(host.granted(waiter), "at once while the breaker is open");
    host.now += 58 * S;
    // Past its stale life it must be asked for, and without an answer nobody enters.
    let waiter = host.enter(token(1));
    for flight in host.asks() {
        host.answer(flight, None);
    }
    assert!(matches!(host.outcome(waiter), Some(Outcome::Unavailable { .. })));
}

#[test]
fn a_revoked_token_is_heeded_within_fresh_and_told() {
    let mut host = Host::new();
    host.know(token(1));
    host.now += 2 * S + 1;
    let waiter = host.enter(token(1));
    let flight = host.asks()[0];
    host.answer(flight, Some(Verdict::Invalid));
    assert_eq!(host.outcome(waiter), Some(Outcome::Denied));
    assert_eq!(host.out, [Step::Revoked { token: token(1) }]);
    let waiter = host.enter(token(1));
    assert_eq!(host.outcome(waiter), Some(Outcome::Denied), "negative verdicts are kept");
    host.now += 5 * S + 1;
    host.enter(token(1));
    assert_eq!(host.asks().len(), 1, "but not for ever");
}

#[test]
fn exp_bounds_a_verdict_even_while_the_server_is_down() {
    let mut host = Host::new();
    host.enter(token(1));
    let exp = Some(host.now + S);
    host.answer(1, Some(Verdict::Valid { grant: Grant::default(), exp }));
    host.out.clear();
    host.now += S;
    let waiter = host.enter(token(1));
    assert_eq!(host.outcome(waiter), Some(Outcome::Denied));
}

#[test]
fn back_again_with_every_token_expired_questions_grow_step_by_step() {
    let mut host = Host::new();
    host.trip();
    host.out.clear();
    host.now += 2 * S;
    let first = host.enter(token(1));
    let flights = host.asks();
    assert_eq!(flights.len(), 1, "a trial");
    let other = host.enter(token(2));
    assert!(matches!(host.outcome(other), Some(Outcome::Unavailable { .. })), "during the trial");
    host.answer(flights[0], good("a"));
    assert!(host.granted(first));
    let waiters: Vec<u64> = (100..400).map(|k| host.enter(token(k))).collect();
    let mut most = 0;
    let mut out = host.asks();
    let (mut turns, mut sizes) = (0, vec![]);
    while !out.is_empty() {
        sizes.push(out.len());
        most = most.max(out.len());
        for flight in std::mem::take(&mut out) {
            host.answer(flight, good("a"));
        }
        out = host.asks();
        turns += 1;
        assert!(turns < 100);
    }
    assert!(sizes[0] <= 3 && most <= 32, "{sizes:?}");
    assert!(waiters.into_iter().all(|w| host.granted(w)));
}

#[test]
fn those_queued_when_the_breaker_opens_are_answered_at_once() {
    let mut host = Host::new();
    let waiters: Vec<u64> = (0..50).map(|k| host.enter(token(k))).collect();
    for _ in 0..20 {
        for flight in host.asks() {
            host.answer(flight, None);
        }
    }
    let told = waiters.into_iter().filter(|w| host.outcome(*w).is_some()).count();
    assert_eq!(told, 50);
    assert_eq!(host.identity.sizes().0, 0);
}

#[test]
fn a_question_nobody_waits_for_is_not_asked() {
    let mut host = Host::new();
    let waiters: Vec<u64> = (0..10).map(|k| host.enter(token(k))).collect();
    let out = host.asks();
    for waiter in &waiters[out.len()..] {
        host.identity.client_left(*waiter);
    }
    for flight in out {
        host.answer(flight, good("a"));
    }
    assert!(host.asks().is_empty());
}

#[test]
fn waiters_and_verdicts_are_bounded() {
    let mut host = Host::new();
    let last = (0..1001).map(|k| host.enter(token(k % 40))).last().expect("some");
    assert!(matches!(host.outcome(last), Some(Outcome::Unavailable { .. })));
    for k in 0..300 {
        host.now += S;
        for flight in host.asks() {
            host.answer(flight, good("a"));
        }
        host.enter(token(k));
    }
    assert!(host.identity.sizes().2 <= 100);
}

#[derive(Clone, Debug)]
enum Do {
    Enter(u32),
    Answer(usize, u8),
    Leave(usize),
    Pass(u64),
}

proptest! {
    /// Whatever the server does: each request that stays gets exactly one outcome, no later than half of
    /// its patience; none enters on a verdict past its stale life; questions out stay within the limit.
    #[test]
    fn one_outcome_in_time_whatever_happens(steps in prop::collection::vec(prop_oneof![
        4 => (0u32..12).prop_map(Do::Enter),
        4 => (0usize..40, 0u8..5).prop_map(|(k, a)| Do::Answer(k, a)),
        1 => (0usize..40).prop_map(Do::Leave),
        3 => (0u64..3_000_000).prop_map(Do::Pass),
    ], 1..300)) {
        let mut host = Host::new();
        let mut open: BTreeMap<u64, (u32, Micros)> = BTreeMap::new();
        let mut flights: Vec<(u64, TokenHash, Micros)> = vec![];
        let mut confirmed: BTreeMap<TokenHash, Micros> = BTreeMap::new();
        for step in steps {
            let mut told: Vec<(Micros, Step)> = vec![];
            match step {
                Do::Enter(k) => { let now = host.now; let w = host.enter(token(k)); open.insert(w, (k, now)); }
                Do::Answer(k, a) if !flights.is_empty() => {
                    let (flight, name, sent) = flights.remove(k % flights.len());
                    if a < 2 { confirmed.insert(name, sent); }
                    host.answer(flight, match a { 0 | 1 => good("a"), 2 => Some(Verdict::Invalid), _ => None });
                }
                Do::Leave(k) if !open.is_empty() => {
                    let w = *open.keys().nth(k % open.len()).expect("some");
                    host.identity.client_left(w);
                    open.remove(&w);
                }
                Do::Pass(span) => {
                    let end = host.now + span;
                    while let Some(at) = host.identity.next_wake().filter(|at| *at <= end) {
                        host.now = host.now.max(at);
                        host.identity.tick(host.now, &mut host.out);
                        told.extend(host.out.drain(..).map(|s| (host.now, s)));
                    }
                    host.now = end;
                }
                _ => {}
            }
            told.extend(host.out.drain(..).map(|s| (host.now, s)));
            for (at, step) in told {
                match step {
                    Step::Introspect { flight, token, .. } => {
                        prop_assert!(flights.iter().all(|f| f.1 != token), "two flights for a token");
                        flights.push((flight, token, at));
                    }
                    Step::Release { waiter, outcome } => {
                        let Some((k, since)) = open.remove(&waiter) else {
                            return Err(TestCaseError::fail("released twice, or after it left"));
                        };
                        prop_assert!(at <= since + S);
                        if let Outcome::Granted(_) = outcome {
                            let asked = confirmed.get(&token(k)).copied();
                            prop_assert!(asked.is_some_and(|sent| at - sent <= 60 * S));
                        }
                    }
                    Step::Revoked { .. } => {}
                }
            }
            prop_assert!(flights.len() <= 32);
            prop_assert!(open.values().all(|(_, since)| host.now <= since + S), "left waiting");
        }
    }
}
