//! The gateway keeps its invariants in any valid order of events; the orders are generated from a fixed seed.

mod common;
use common::*;
use frostgauge::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// A step of a generated sequence. `selector` chooses among the requests that the step can apply to, modulo
/// their number.
#[derive(Clone, Debug)]
enum Step {
    /// Lets this time pass, ms.
    Wait(u64),
    /// A client sends a request.
    Request { class: usize, customer: u64, timeout_ms: u64 },
    /// An attempt in flight ends.
    EndAttempt { selector: usize, status: Status },
    /// The client of an unanswered request disconnects.
    Disconnect { selector: usize },
    /// A list update reports the state of a server.
    UpdateServer { server: u64, state: ServerState },
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop::sample::select(vec![
        Status::Ok,
        Status::Ok,
        Status::Error,
        Status::Rejected,
        Status::ConnectFailed,
        Status::Reset,
        Status::Timeout,
    ]);
    let state = prop::sample::select(vec![
        ServerState::Ready,
        ServerState::Ready,
        ServerState::Draining,
        ServerState::Removed,
    ]);
    prop_oneof![
        3 => (1u64..120).prop_map(Step::Wait),
        6 => (0usize..4, 0u64..5, 20u64..2000)
            .prop_map(|(class, customer, timeout_ms)| Step::Request { class, customer, timeout_ms }),
        5 => (any::<prop::sample::Index>(), status)
            .prop_map(|(index, status)| Step::EndAttempt { selector: index.index(1 << 16), status }),
        1 => any::<prop::sample::Index>().prop_map(|index| Step::Disconnect { selector: index.index(1 << 16) }),
        1 => (1u64..7, state).prop_map(|(server, state)| Step::UpdateServer { server, state }),
    ]
}

/// Steps by which deduplicated requests are retried while their servers are removed and listed again.
fn step_of_retries_and_removals() -> impl Strategy<Value = Step> {
    let state = prop::sample::select(vec![ServerState::Ready, ServerState::Removed]);
    prop_oneof![
        1 => (50u64..150).prop_map(Step::Wait),
        2 => (0u64..50).prop_map(|customer| Step::Request { class: 2, customer, timeout_ms: 2000 }),
        4 => any::<prop::sample::Index>()
            .prop_map(|index| Step::EndAttempt { selector: index.index(1 << 16), status: Status::Reset }),
        3 => (1u64..7, state).prop_map(|(server, state)| Step::UpdateServer { server, state }),
    ]
}

/// Statuses that show that an attempt did not run.
const NOT_RUN: [Status; 3] = [Status::Rejected, Status::ConnectFailed, Status::NotSent];

/// An attempt that the gateway sent.
struct SentAttempt {
    server: ServerId,
    sent_at: Micros,
    /// `None` while the attempt is in flight.
    status: Option<Status>,
}

/// A request as observed from outside the gateway.
struct ObservedRequest {
    class: usize,
    customer: u64,
    /// Latest time for a final answer or an attempt, µs.
    deadline: Micros,
    final_answers: usize,
    /// The request has its final answer, or its client disconnected.
    finished: bool,
    attempts: Vec<SentAttempt>,
}

fn zone(server: ServerId) -> u64 {
    server.0 % 2
}

/// Drives a gateway and checks each of its actions against the invariants.
struct Checker {
    driver: Driver,
    requests: BTreeMap<RequestId, ObservedRequest>,
    is_ready: BTreeMap<ServerId, bool>,
    /// Units sent so far, by customer.
    units_sent: BTreeMap<u64, f64>,
}

impl Checker {
    fn check(&mut self, at: Micros, action: &Action) {
        match action {
            Action::Send { id, server, .. } => {
                let request = self.requests.get_mut(id).expect("a known request");
                let is_open = !request.finished && request.final_answers == 0;
                assert!(is_open, "sent after its final answer or after its client disconnected");
                assert!(at <= request.deadline, "sent after its deadline");
                assert_eq!(self.is_ready.get(server), Some(&true), "sent to a server that is not ready");
                let none_in_flight = request.attempts.iter().all(|attempt| attempt.status.is_some());
                assert!(none_in_flight, "two attempts in flight at once");
                assert!(request.attempts.len() < 4, "more than four attempts");
                let may_have_run =
                    |attempt: &&SentAttempt| attempt.status.is_some_and(|status| !NOT_RUN.contains(&status));
                if let Some(ran) = request.attempts.iter().find(may_have_run) {
                    match request.class {
                        1 => panic!("a non-idempotent request was retried after it may have run"),
                        2 => {
                            assert!(
                                zone(ran.server) == zone(*server),
                                "a deduplicated request was retried in another zone"
                            );
                            assert!(
                                at < ran.sent_at + 500 * MS,
                                "a deduplicated request was retried after its window"
                            );
                        }
                        _ => {}
                    }
                }
                if request.attempts.is_empty() {
                    *self.units_sent.entry(request.customer).or_default() += 1.0;
                }
                request.attempts.push(SentAttempt { server: *server, sent_at: at, status: None });
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(!request.finished, "a second final answer, or one after the client disconnected");
                if matches!(action, Action::Reject { .. }) && (request.class == 1 || request.class == 2) {
                    let did_not_run = |attempt: &SentAttempt| {
                        attempt.status.is_some_and(|status| NOT_RUN.contains(&status))
                    };
                    assert!(request.attempts.iter().all(did_not_run), "rejected after it may have run");
                }
                assert!(at <= request.deadline, "answered after its deadline");
                request.final_answers += 1;
                request.finished = true;
            }
            _ => {}
        }
        // The even share of the ceiling: half of 6 units per second, and nothing of the burst at the start.
        let units_allowed = 3.0 * (at - S) as f64 / 1e6;
        assert!(
            self.units_sent.values().all(|units| *units <= units_allowed + 1e-6),
            "more units sent than the share of the ceiling has filled since the start"
        );
    }

    fn handle(&mut self, event: Event) {
        let now = self.driver.now;
        for action in self.driver.handle(event) {
            self.check(now, &action);
        }
    }

    fn advance_to(&mut self, end: Micros) {
        for (at, action) in self.driver.advance_to(end) {
            self.check(at, &action);
        }
    }
}

/// Runs the steps against a gateway with an idempotent, a non-idempotent and two deduplicated classes, then lets 5 s pass, in
/// which each request left must get its final answer.
fn run(steps: Vec<Step>) {
    let mut settings = settings();
    let deduplicated = |scope| class(Effect::Deduplicated { scope, window: 500 * MS });
    settings.classes = vec![
        class(Effect::Idempotent),
        class(Effect::NonIdempotent),
        deduplicated(DedupScope::Zone),
        deduplicated(DedupScope::All),
    ];
    settings.plans[0] =
        Plan { ceiling_rate: 6.0, ceiling_burst: 8.0, ceiling_slack: 2.0, rate: 5.0, burst: 8.0, ..plan() };
    let servers: Vec<_> = (1..5).map(|k| entry(k, (k % 2) as u32)).collect();
    let driver = Driver::new(settings, &servers);
    let is_ready = servers.iter().map(|entry| (entry.server, true)).collect();
    let mut checker = Checker { driver, requests: BTreeMap::new(), is_ready, units_sent: BTreeMap::new() };
    let mut last_request_id = 0;
    for step in steps {
        match step {
            Step::Wait(ms) => checker.advance_to(checker.driver.now + ms * MS),
            Step::Request { class, customer, timeout_ms } => {
                last_request_id += 1;
                let id = RequestId(last_request_id);
                let timeout = timeout_ms * MS;
                // A final answer still counts 8 ms after the timeout.
                let deadline = checker.driver.now + timeout + 8 * MS;
                let request = ObservedRequest {
                    class,
                    customer,
                    deadline,
                    final_answers: 0,
                    finished: false,
                    attempts: vec![],
                };
                checker.requests.insert(id, request);
                checker.handle(Event::Request {
                    id,
                    class,
                    plan: 0,
                    customer: CustomerId(customer),
                    timeout,
                    units: 1.0,
                    subset_size: 2,
                    subset_start: 0,
                    is_retry: false,
                });
            }
            Step::EndAttempt { selector, status } => {
                let has_attempt_in_flight = |request: &ObservedRequest| {
                    request.attempts.last().is_some_and(|attempt| attempt.status.is_none())
                };
                let in_flight: Vec<_> = checker
                    .requests
                    .iter()
                    .filter(|(_, request)| has_attempt_in_flight(request))
                    .map(|(id, _)| *id)
                    .collect();
                if in_flight.is_empty() {
                    continue;
                }
                let id = in_flight[selector % in_flight.len()];
                let request = checker.requests.get_mut(&id).expect("just listed");
                let number = request.attempts.len() - 1;
                let attempt = &mut request.attempts[number];
                attempt.status = Some(status);
                let (server, elapsed) = (attempt.server, checker.driver.now - attempt.sent_at);
                request.finished |= status == Status::Ok;
                let request_finished = request.finished;
                checker.handle(Event::AttemptEnded {
                    id,
                    attempt: number as u32,
                    server,
                    status,
                    elapsed,
                    request_finished,
                    usage: None,
                    settled_units: None,
                    load: None,
                });
            }
            Step::Disconnect { selector } => {
                let open: Vec<_> = checker
                    .requests
                    .iter()
                    .filter(|(_, request)| !request.finished)
                    .map(|(id, _)| *id)
                    .collect();
                if open.is_empty() {
                    continue;
                }
                let id = open[selector % open.len()];
                checker.requests.get_mut(&id).expect("just listed").finished = true;
                checker.handle(Event::ClientDisconnected { id });
            }
            Step::UpdateServer { server, state } => {
                let entry = ServerEntry { state, ..entry(server, (server % 2) as u32) };
                checker.is_ready.insert(entry.server, state == ServerState::Ready);
                checker.handle(Event::Servers { kind: ListKind::Delta, entries: vec![entry] });
            }
        }
    }
    checker.advance_to(checker.driver.now + 5 * S);
    for (id, request) in &checker.requests {
        assert!(
            request.finished && request.final_answers <= 1,
            "{id:?} has no final answer, or more than one"
        );
    }
}

/// Runs generated sequences of these steps.
fn check_invariants(step: impl Strategy<Value = Step>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[29; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step, 1..250);
    runner
        .run(&steps, |steps| {
            run(steps);
            Ok(())
        })
        .expect("every order of events keeps the invariants");
}

#[test]
fn any_valid_order_of_events_keeps_the_invariants() {
    check_invariants(step());
}

/// Guards against a retry in another group after the server of the first attempt has left the list.
#[test]
fn retries_of_deduplicated_requests_while_servers_are_removed_keep_the_invariants() {
    check_invariants(step_of_retries_and_removals());
}
