//! The core's handling of faults, without sockets and with a clock that the test advances.

mod common;

use common::*;
use frostgauge::{RejectReason, Status};
use frostgauge_gateway::core::Input;
use frostgauge_gateway::reply::{FailureReason, GatewayAnswer};
use frostgauge_proto::bearer::Denied;
use proptest::prelude::*;

#[test]
fn verified_request_is_sent_and_its_response_delivered() {
    let mut host = Host::new();
    let call_id = host.call(READ, 1);
    assert!(host.sends.is_empty(), "nothing is sent before the verdict");
    host.introspected(1, Some("serra"));
    assert_eq!(host.attempts_in_flight(call_id), [0]);
    host.end_attempt(call_id, 0, Status::Ok);
    assert_eq!(host.answer(call_id), Some(None));
}

#[test]
fn concurrent_requests_share_one_introspection() {
    let mut host = Host::new();
    let call_ids: Vec<u64> = (0..500).map(|_| host.call(READ, 1)).collect();
    assert_eq!(host.introspections.len(), 1);
    host.introspected(1, Some("serra"));
    assert!(call_ids.iter().all(|id| host.answer(*id).is_some() || !host.attempts_in_flight(*id).is_empty()));
    assert!(host.introspections.is_empty());
}

#[test]
fn invalid_tokens_and_unknown_tenants_are_denied() {
    let mut host = Host::new();
    let (invalid, unknown) = (host.call(READ, 1), host.call(READ, 2));
    host.introspected(1, None);
    host.introspected(2, Some("unknown"));
    assert_eq!(host.answer(invalid), Some(Some(GatewayAnswer::Denied(Denied::Invalid))));
    assert_eq!(host.answer(unknown), Some(Some(GatewayAnswer::UnknownTenant)));
    assert!(host.sends.is_empty());
}

#[test]
fn missing_verdict_is_answered_in_time() {
    let mut host = Host::new();
    let call_id = host.call(REPORT, 1);
    host.advance_clock(800 * MS);
    assert!(matches!(host.answer(call_id), Some(Some(GatewayAnswer::TokenUnverified { retry_after: 1.. }))));
    assert!(host.sends.is_empty());
}

/// Sends requests of the tenant with the small plan until its quota is used up and the library holds one back. Returns
/// the first call that is held at least `min_elapsed` µs after the introspection request.
fn held_call(host: &mut Host, min_elapsed: u64) -> u64 {
    let start = host.now;
    let first = host.call(READ, 1);
    host.introspected(1, Some("vale"));
    host.end_attempt(first, 0, Status::Ok);
    for _ in 0..200 {
        let call_id = host.call(REPORT, 1);
        let held = host.answer(call_id).is_none() && host.attempts_in_flight(call_id).is_empty();
        if held && host.now >= start + min_elapsed {
            return call_id;
        }
        for attempt in host.attempts_in_flight(call_id) {
            host.end_attempt(call_id, attempt, Status::Ok);
        }
        host.advance_clock(20 * MS);
    }
    panic!("no call was held");
}

#[test]
fn held_request_is_denied_when_its_token_is_revoked() {
    let mut host = Host::new();
    // The call is held just before the verdict stops being fresh. The next call causes a new introspection request, which
    // shows the revocation while the first call is still held.
    let held = held_call(&mut host, 1_960 * MS);
    host.advance_clock(45 * MS);
    assert!(host.answer(held).is_none(), "the call is still held");
    host.call(READ, 1);
    host.introspected(1, None);
    assert_eq!(host.answer(held), Some(Some(GatewayAnswer::Denied(Denied::Invalid))));
    host.advance_clock(2 * S);
    assert!(host.sends.iter().all(|s| s.0 != held));
}

#[test]
fn attempt_in_flight_survives_revocation_of_its_token() {
    let mut host = Host::new();
    let sent = host.call(REPORT, 1);
    host.introspected(1, Some("serra"));
    assert_eq!(host.attempts_in_flight(sent), [0]);
    host.advance_clock(1_000 * MS);
    host.call(READ, 1);
    assert!(host.introspections.is_empty(), "the verdict is still fresh");
    // A second report is sent just before the verdict stops being fresh.
    host.advance_clock(990 * MS);
    let in_flight = host.call(REPORT, 1);
    assert_eq!(host.attempts_in_flight(in_flight), [0]);
    host.advance_clock(20 * MS);
    let next = host.call(READ, 1);
    host.introspected(1, None);
    assert_eq!(host.answer(next), Some(Some(GatewayAnswer::Denied(Denied::Invalid))));
    // The report may have run, so its response is delivered in spite of the revocation.
    assert_eq!(host.answer(in_flight), None);
    host.end_attempt(in_flight, 0, Status::Ok);
    assert_eq!(host.answer(in_flight), Some(None));
}

#[test]
fn disconnected_client_gets_no_answer_at_any_stage() {
    let mut host = Host::new();
    let unverified = host.call(READ, 1);
    host.input(Input::ClientDisconnected { call_id: unverified });
    host.introspected(1, Some("serra"));
    assert!(host.attempts_in_flight(unverified).is_empty() && host.answer(unverified).is_none());
    let mut other = Host::new();
    let held = held_call(&mut other, 0);
    other.input(Input::ClientDisconnected { call_id: held });
    other.advance_clock(2 * S);
    assert!(other.sends.iter().all(|s| s.0 != held) && other.answer(held).is_none());
    let in_flight = host.call(REPORT, 1);
    assert_eq!(host.attempts_in_flight(in_flight), [0]);
    host.input(Input::ClientDisconnected { call_id: in_flight });
    host.end_attempt(in_flight, 0, Status::Reset);
    host.advance_clock(2 * S);
    assert_eq!(host.sends.iter().filter(|s| s.0 == in_flight).count(), 1, "an unsafe request is not retried");
    assert!(host.answer(in_flight).is_none());
    assert_eq!(host.core.stats().abandoned, 2);
}

#[test]
fn request_of_a_tenant_removed_meanwhile_is_denied() {
    let mut host = Host::new();
    let unverified = host.call(READ, 1);
    let mut without_tenants = settings();
    without_tenants.tenants.clear();
    host.core.configure(host.now, &without_tenants, &mut Vec::new());
    host.introspected(1, Some("serra"));
    assert_eq!(host.answer(unverified), Some(Some(GatewayAnswer::UnknownTenant)));
    assert!(host.attempts_in_flight(unverified).is_empty(), "nothing is sent");
}

#[test]
fn disconnected_client_gets_no_answer_in_either_order() {
    for disconnected_first in [true, false] {
        let mut host = Host::new();
        let call = host.call(READ, 1);
        host.introspected(1, Some("serra"));
        if disconnected_first {
            host.input(Input::ClientDisconnected { call_id: call });
            host.end_attempt(call, 0, Status::ConnectFailed);
            assert!(host.attempts_in_flight(call).is_empty(), "no further attempt");
        } else {
            host.end_attempt(call, 0, Status::ConnectFailed);
            host.input(Input::ClientDisconnected { call_id: call });
            assert_eq!(
                host.attempts_in_flight(call),
                [1],
                "the retry was decided before the disconnect was handled"
            );
            // An attempt whose client has disconnected ends like this, before its first byte is sent.
            host.end_attempt(call, 1, Status::NotSent);
        }
        host.advance_clock(5 * S);
        assert!(host.attempts_in_flight(call).is_empty() && host.answer(call).is_none());
        assert_eq!((host.core.open_calls(), host.core.stats().abandoned), (0, 1));
    }
}

#[test]
fn response_and_deadline_give_one_answer_in_either_order() {
    for response_first in [true, false] {
        let mut host = Host::new();
        let call = host.call_with_timeout(REPORT, 1, 500 * MS);
        host.introspected(1, Some("serra"));
        let due = host.core.next_wake().into_iter().chain([host.now + 500 * MS]).max().expect("the deadline");
        if response_first {
            host.end_attempt(call, 0, Status::Ok);
            host.advance_clock(due - host.now);
            assert_eq!(host.answer(call), Some(None), "the server's response");
        } else {
            host.advance_clock(due - host.now);
            assert_eq!(host.answer(call), Some(Some(GatewayAnswer::Failed(FailureReason::Timeout))));
            assert!(host.attempts_in_flight(call).is_empty(), "the attempt is cancelled");
        }
    }
}

#[test]
fn unsafe_request_is_retried_only_if_it_was_not_sent() {
    let mut host = Host::new();
    let reset = host.call(REPORT, 1);
    host.introspected(1, Some("serra"));
    host.end_attempt(reset, 0, Status::Reset);
    assert_eq!(host.answer(reset), Some(Some(GatewayAnswer::Failed(FailureReason::ConnectionBroken))));
    let retried = host.call(REPORT, 1);
    host.end_attempt(retried, 0, Status::ConnectFailed);
    assert_eq!(host.attempts_in_flight(retried), [1]);
    host.end_attempt(retried, 1, Status::Ok);
    assert_eq!(host.answer(retried), Some(None));
}

#[test]
fn keyed_request_that_may_have_run_stays_in_its_zone() {
    let mut host = Host::new();
    let call_id = host.call(PHOTO, 1);
    host.introspected(1, Some("serra"));
    let zone =
        |s: frostgauge::ServerId| settings().nodes.iter().find(|n| n.entry.server == s).map(|n| n.entry.zone);
    host.end_attempt(call_id, 0, Status::Error);
    let zones: Vec<_> = host.sends.iter().filter(|s| s.0 == call_id).map(|s| zone(s.2)).collect();
    assert_eq!(zones.len(), 2);
    assert_eq!(zones[0], zones[1]);
}

#[test]
fn after_a_stall_responses_count_before_deadlines() {
    let mut host = Host::new();
    let (served, unanswered) = (host.call(READ, 1), host.call(READ, 1));
    host.introspected(1, Some("serra"));
    // The clock advances by 2 s without a call of the core. Both deadlines have passed, and one response is in the batch.
    host.now += 2 * S;
    host.end_attempt(served, 0, Status::Ok);
    host.core.advance(host.now, &mut host.out);
    host.record_commands();
    assert_eq!(host.answer(served), Some(None));
    assert!(matches!(
        host.answer(unanswered),
        Some(Some(GatewayAnswer::Rejected { why: RejectReason::DeadlineExceeded, .. }))
    ));
}

#[test]
fn call_queued_past_its_deadline_is_rejected_at_once() {
    let mut host = Host::new();
    host.now += 10 * S;
    let arrived = host.now - 10 * S;
    let metadata = frostgauge_gateway::core::CallMetadata {
        call_id: 99,
        token: [1; 16],
        class: READ,
        units: 1.0,
        scope: "".into(),
        arrived,
        timeout: 1_500 * MS,
        is_retry: false,
    };
    host.input(Input::Call(metadata));
    assert!(matches!(
        host.answer(99),
        Some(Some(GatewayAnswer::Rejected { why: RejectReason::DeadlineExceeded, .. }))
    ));
    assert!(host.introspections.is_empty());
}

#[test]
fn removed_server_gets_no_new_attempts() {
    let mut host = Host::new();
    let first = host.call(READ, 1);
    host.introspected(1, Some("serra"));
    let removed = host.running[&(first, 0)];
    let entries: Vec<_> = settings().entries().into_iter().filter(|e| e.server != removed).collect();
    host.core.replace_servers(host.now, entries, &mut host.out);
    host.record_commands();
    for _ in 0..50 {
        let call_id = host.call(READ, 1);
        for attempt in host.attempts_in_flight(call_id) {
            assert_ne!(host.running[&(call_id, attempt)], removed);
            host.end_attempt(call_id, attempt, Status::Ok);
        }
    }
    host.end_attempt(first, 0, Status::Ok);
    assert_eq!(host.answer(first), Some(None));
}

#[test]
fn used_up_quota_and_missing_servers_have_own_reasons() {
    let mut host = Host::new();
    let mut quota_rejections = 0;
    for _ in 0..30 {
        let call_id = host.call(READ, 1);
        if !host.introspections.is_empty() {
            host.introspected(1, Some("vale"));
        }
        host.advance_clock(100 * MS);
        for attempt in host.attempts_in_flight(call_id) {
            host.end_attempt(call_id, attempt, Status::Ok);
        }
        quota_rejections += usize::from(matches!(
            host.answer(call_id),
            Some(Some(GatewayAnswer::Rejected { why: RejectReason::Quota, retry_after: 1.. }))
        ));
    }
    assert!(quota_rejections > 5, "{quota_rejections} quota rejections");
    host.core.replace_servers(host.now, vec![], &mut host.out);
    host.advance_clock(4 * S);
    let call_id = host.call(READ, 2);
    host.introspected(2, Some("serra"));
    assert!(matches!(
        host.answer(call_id),
        Some(Some(GatewayAnswer::Rejected { why: RejectReason::NoServer, .. }))
    ));
}

/// A step of the property test; an index selects among the pending items, modulo their number.
#[derive(Clone, Debug)]
enum TestStep {
    /// A call: class, byte of the token, timeout in ms.
    Call(usize, u8, u64),
    /// The end of an introspection request: index, choice of the result.
    Introspected(usize, u8),
    /// The end of an attempt: index, choice of the status.
    EndAttempt(usize, u8),
    /// The client of a call disconnects: index.
    Disconnect(usize),
    /// The clock advances, with all timers: ms.
    AdvanceClock(u64),
    /// The clock advances at once, without timers in between: ms.
    Stall(u64),
    /// New list of servers: bit mask of those that are missing.
    ReplaceServers(u8),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
    /// For any order of events: each call has one answer by its deadline, unless its client disconnected; an unsafe
    /// request is retried only if it is certain that it has not run; a call has at most one attempt in flight; a
    /// server that is not in the list gets no attempt.
    #[test]
    fn every_call_gets_exactly_one_answer_in_time(steps in prop::collection::vec(prop_oneof![
        6 => (0usize..3, 0u8..6, 30u64..2_500).prop_map(|(class, token, timeout_ms)| TestStep::Call(class, token, timeout_ms)),
        4 => (0usize..20, 0u8..8).prop_map(|(index, result)| TestStep::Introspected(index, result)),
        6 => (0usize..20, 0u8..7).prop_map(|(index, status)| TestStep::EndAttempt(index, status)),
        1 => (0usize..20).prop_map(TestStep::Disconnect),
        5 => (0u64..400).prop_map(TestStep::AdvanceClock),
        1 => (500u64..3_000).prop_map(TestStep::Stall),
        1 => (0u8..16).prop_map(TestStep::ReplaceServers),
    ], 1..120)) {
        let mut host = Host::new();
        let (mut open, mut class_of, mut may_have_run) = (vec![], std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
        let mut listed = settings().entries();
        // When the last stall ended. A call whose deadline passed during a stall is answered at its end.
        let mut stall_end = 0;
        for step in steps {
            let sends_before = host.sends.len();
            match step {
                TestStep::Call(class, token, timeout_ms) => {
                    let call_id = host.call_with_timeout(class, token, timeout_ms * MS);
                    class_of.insert(call_id, class);
                    open.push((call_id, host.now + timeout_ms * MS));
                }
                TestStep::Introspected(index, result) if !host.introspections.is_empty() => {
                    let flight = *host.introspections.keys().nth(index % host.introspections.len()).expect("one is pending");
                    let token = host.introspections[&flight][0];
                    match result {
                        0 => host.introspected(token, None),
                        1 => { host.introspections.remove(&flight); host.input(Input::Introspected { flight, answer: None }); }
                        2 => host.introspected(token, Some("vale")),
                        _ => host.introspected(token, Some("serra")),
                    }
                }
                TestStep::EndAttempt(index, status) if !host.running.is_empty() => {
                    let (call_id, attempt) = *host.running.keys().nth(index % host.running.len()).expect("one is in flight");
                    let status = [Status::Ok, Status::Error, Status::Rejected, Status::Timeout,
                        Status::ConnectFailed, Status::Reset, Status::NotSent][usize::from(status)];
                    if !matches!(status, Status::Rejected | Status::ConnectFailed | Status::NotSent) {
                        may_have_run.insert(call_id);
                    }
                    host.end_attempt(call_id, attempt, status);
                }
                TestStep::Disconnect(index) if !open.is_empty() => {
                    let (call_id, _) = open.remove(index % open.len());
                    let answered = host.answers.contains_key(&call_id);
                    host.input(Input::ClientDisconnected { call_id });
                    prop_assert_eq!(host.answers.contains_key(&call_id), answered);
                }
                TestStep::AdvanceClock(ms) => host.advance_clock(ms * MS),
                TestStep::Stall(ms) => {
                    host.now += ms * MS;
                    stall_end = host.now;
                    host.core.advance(host.now, &mut host.out);
                    host.record_commands();
                }
                TestStep::ReplaceServers(mask) => {
                    listed = settings().entries();
                    let mut count = 0;
                    listed.retain(|_| { count += 1; mask >> (count - 1) & 1 == 0 });
                    host.core.replace_servers(host.now, listed.clone(), &mut host.out);
                    host.record_commands();
                }
                _ => {}
            }
            for (call_id, attempt, server) in &host.sends[sends_before..] {
                prop_assert!(listed.iter().any(|e| e.server == *server), "attempt at a server that is not in the list");
                prop_assert!(host.attempts_in_flight(*call_id).len() <= 1, "two attempts in flight");
                if class_of[call_id] == REPORT && *attempt > 0 {
                    prop_assert!(!may_have_run.contains(call_id), "retry of an unsafe request that may have run");
                }
            }
            for (call_id, answers) in &host.answers {
                prop_assert_eq!(answers.len(), 1, "answers of call {}", call_id);
                let rejected = matches!(answers[0], Some(GatewayAnswer::Rejected { .. } | GatewayAnswer::TokenUnverified { .. }));
                if rejected && class_of[call_id] == REPORT {
                    prop_assert!(!may_have_run.contains(call_id), "rejection of a request that may have run");
                }
            }
            for (call_id, deadline) in &open {
                let answered = host.answers.contains_key(call_id);
                prop_assert!(answered || host.now < (*deadline).max(stall_end), "call {} is unanswered at its deadline", call_id);
            }
        }
    }
}

#[test]
fn authenticated_calls_need_no_introspection() {
    let mut host = Host::with(&settings());
    let vale = settings().tenants["vale"];
    let first = host.authenticated_call(REPORT, vale);
    assert!(host.introspections.is_empty(), "no introspection request is sent");
    assert_eq!(host.sends.last().map(|s| s.0), Some(first));
    host.end_attempt(first, 0, Status::Ok);
    assert_eq!(host.answer(first), Some(None));
    // Once the tenant has exceeded its quota for a while, the library holds its requests.
    for _ in 0..3 {
        for _ in 0..20 {
            host.authenticated_call(READ, vale);
        }
        host.advance_clock(500 * MS);
    }
    let sends_before = host.sends.len();
    let reports: Vec<u64> = (0..20).map(|_| host.authenticated_call(REPORT, vale)).collect();
    let is_held = |id: &u64| !host.answers.contains_key(id) && host.sends.iter().all(|s| s.0 != *id);
    let held: Vec<u64> = reports.into_iter().filter(is_held).collect();
    assert!(held.len() >= 10, "{} of 20 calls are held", held.len());
    for call_id in &held {
        host.input(Input::ClientDisconnected { call_id: *call_id });
    }
    let other_sends = host.sends.len() - sends_before;
    host.advance_clock(3 * S);
    assert_eq!(
        host.sends.len(),
        sends_before + other_sends,
        "a held call is not sent after its client disconnected"
    );
    assert!(held.iter().all(|id| !host.answers.contains_key(id)), "a disconnected client gets no answer");
}
