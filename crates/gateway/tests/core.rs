//! The core's answers to troubles, without sockets and with a clock given from outside.

mod common;

use common::*;
use frostgauge::{RejectReason, Status};
use frostgauge_gateway::core::Input;
use frostgauge_gateway::reply::{FailureReason, GatewayAnswer};
use frostgauge_proto::bearer::Denied;
use proptest::prelude::*;

#[test]
fn a_request_goes_from_token_to_node_and_back() {
    let mut host = Host::new();
    let call_id = host.call(READ, 1);
    assert!(host.sends.is_empty(), "no verdict, no entry");
    host.verdict(1, Some("serra"));
    assert_eq!(host.out_of(call_id), [0]);
    host.end(call_id, 0, Status::Ok);
    assert_eq!(host.answer(call_id), Some(None));
}

#[test]
fn one_token_on_five_hundred_requests_is_asked_about_once() {
    let mut host = Host::new();
    let tickets: Vec<u64> = (0..500).map(|_| host.call(READ, 1)).collect();
    assert_eq!(host.flights.len(), 1);
    host.verdict(1, Some("serra"));
    assert!(tickets.iter().all(|t| host.answer(*t).is_some() || !host.out_of(*t).is_empty()));
    assert!(host.flights.is_empty());
}

#[test]
fn bad_tokens_and_unknown_insurers_do_not_enter() {
    let mut host = Host::new();
    let (bad, unknown) = (host.call(READ, 1), host.call(READ, 2));
    host.verdict(1, None);
    host.verdict(2, Some("nobody"));
    assert_eq!(host.answer(bad), Some(Some(GatewayAnswer::Denied(Denied::Invalid))));
    assert_eq!(host.answer(unknown), Some(Some(GatewayAnswer::UnknownTenant)));
    assert!(host.sends.is_empty());
}

#[test]
fn without_a_verdict_each_client_is_told_in_time() {
    let mut host = Host::new();
    let call_id = host.call(REPORT, 1);
    host.pass(800 * MS);
    assert!(matches!(host.answer(call_id), Some(Some(GatewayAnswer::TokenUnverified { retry_after: 1.. }))));
    assert!(host.sends.is_empty());
}

/// Brings the small plan's customer into holding (its bucket is empty, a request waits for its delay) at
/// this time after the verdict was asked for, or some later.
fn hold_one(host: &mut Host, after: u64) -> u64 {
    let began = host.now;
    let warm = host.call(READ, 1);
    host.verdict(1, Some("vale"));
    host.end(warm, 0, Status::Ok);
    for _ in 0..200 {
        let call_id = host.call(REPORT, 1);
        let held = host.answer(call_id).is_none() && host.out_of(call_id).is_empty();
        if held && host.now >= began + after {
            return call_id;
        }
        for attempt in host.out_of(call_id) {
            host.end(call_id, attempt, Status::Ok);
        }
        host.pass(20 * MS);
    }
    panic!("nothing was held");
}

#[test]
fn a_token_revoked_while_its_request_is_held_takes_it_back() {
    let mut host = Host::new();
    // Held just before the verdict is past its fresh life: the next request asks anew and learns of the
    // revocation while the first is still held.
    let held = hold_one(&mut host, 1_960 * MS);
    host.pass(45 * MS);
    assert!(host.answer(held).is_none(), "still held");
    host.call(READ, 1);
    host.verdict(1, None);
    assert_eq!(host.answer(held), Some(Some(GatewayAnswer::Denied(Denied::Invalid))));
    host.pass(2 * S);
    assert!(host.sends.iter().all(|s| s.0 != held));
}

#[test]
fn a_token_revoked_while_its_request_is_out_lets_it_end() {
    let mut host = Host::new();
    let sent = host.call(REPORT, 1);
    host.verdict(1, Some("serra"));
    assert_eq!(host.out_of(sent), [0]);
    host.pass(1_000 * MS);
    host.call(READ, 1);
    assert!(host.flights.is_empty(), "still fresh");
    // A second report goes out just before the verdict is asked for again.
    host.pass(990 * MS);
    let out = host.call(REPORT, 1);
    assert_eq!(host.out_of(out), [0]);
    host.pass(20 * MS);
    let next = host.call(READ, 1);
    host.verdict(1, None);
    assert_eq!(host.answer(next), Some(Some(GatewayAnswer::Denied(Denied::Invalid))));
    // It may have run: its answer is what counts, not the revocation.
    assert_eq!(host.answer(out), None);
    host.end(out, 0, Status::Ok);
    assert_eq!(host.answer(out), Some(None));
}

#[test]
fn a_client_that_leaves_is_forgotten_wherever_it_stands() {
    let mut host = Host::new();
    let checking = host.call(READ, 1);
    host.input(Input::ClientDisconnected { call_id: checking });
    host.verdict(1, Some("serra"));
    assert!(host.out_of(checking).is_empty() && host.answer(checking).is_none());
    let mut fresh = Host::new();
    let held = hold_one(&mut fresh, 0);
    fresh.input(Input::ClientDisconnected { call_id: held });
    fresh.pass(2 * S);
    assert!(fresh.sends.iter().all(|s| s.0 != held) && fresh.answer(held).is_none());
    let out = host.call(REPORT, 1);
    assert_eq!(host.out_of(out), [0]);
    host.input(Input::ClientDisconnected { call_id: out });
    host.end(out, 0, Status::Reset);
    host.pass(2 * S);
    assert_eq!(host.sends.iter().filter(|s| s.0 == out).count(), 1, "an unsafe request is not repeated");
    assert!(host.answer(out).is_none());
    assert_eq!(host.core.stats().abandoned, 2);
}

#[test]
fn a_request_whose_insurer_is_taken_away_while_it_waits_has_its_one_answer() {
    let mut host = Host::new();
    let checked = host.call(READ, 1);
    let mut without = settings();
    without.tenants.clear();
    host.core.configure(host.now, &without, &mut Vec::new());
    host.verdict(1, Some("serra"));
    assert_eq!(host.answer(checked), Some(Some(GatewayAnswer::UnknownTenant)));
    assert!(host.out_of(checked).is_empty(), "nothing is sent on");
}

#[test]
fn a_client_that_leaves_as_its_attempt_ends_gets_nothing_more_whichever_is_seen_first() {
    for left_first in [true, false] {
        let mut host = Host::new();
        let call = host.call(READ, 1);
        host.verdict(1, Some("serra"));
        if left_first {
            host.input(Input::ClientDisconnected { call_id: call });
            host.end(call, 0, Status::ConnectFailed);
            assert!(host.out_of(call).is_empty(), "no further attempt");
        } else {
            host.end(call, 0, Status::ConnectFailed);
            host.input(Input::ClientDisconnected { call_id: call });
            assert_eq!(host.out_of(call), [1], "decided before the client was seen to leave");
            // It ends so before its first byte, as its client is gone.
            host.end(call, 1, Status::NotSent);
        }
        host.pass(5 * S);
        assert!(host.out_of(call).is_empty() && host.answer(call).is_none());
        assert_eq!((host.core.open_calls(), host.core.stats().abandoned), (0, 1));
    }
}

#[test]
fn an_answer_in_the_instant_of_the_deadline_is_one_answer_whichever_is_seen_first() {
    for answer_first in [true, false] {
        let mut host = Host::new();
        let call = host.call_waiting(REPORT, 1, 500 * MS);
        host.verdict(1, Some("serra"));
        let due = host.core.next_wake().into_iter().chain([host.now + 500 * MS]).max().expect("a time");
        if answer_first {
            host.end(call, 0, Status::Ok);
            host.pass(due - host.now);
            assert_eq!(host.answer(call), Some(None), "the node's");
        } else {
            host.pass(due - host.now);
            assert_eq!(host.answer(call), Some(Some(GatewayAnswer::Failed(FailureReason::Timeout))));
            assert!(host.out_of(call).is_empty(), "its attempt is called off, and its answer nobody's");
        }
    }
}

#[test]
fn a_report_whose_connection_broke_fails_and_one_that_never_left_goes_elsewhere() {
    let mut host = Host::new();
    let broke = host.call(REPORT, 1);
    host.verdict(1, Some("serra"));
    host.end(broke, 0, Status::Reset);
    assert_eq!(host.answer(broke), Some(Some(GatewayAnswer::Failed(FailureReason::ConnectionBroken))));
    let moved = host.call(REPORT, 1);
    host.end(moved, 0, Status::ConnectFailed);
    assert_eq!(host.out_of(moved), [1]);
    host.end(moved, 1, Status::Ok);
    assert_eq!(host.answer(moved), Some(None));
}

#[test]
fn a_photo_that_may_have_run_goes_on_only_within_its_zone() {
    let mut host = Host::new();
    let call_id = host.call(PHOTO, 1);
    host.verdict(1, Some("serra"));
    let zone =
        |s: frostgauge::ServerId| settings().nodes.iter().find(|n| n.entry.server == s).map(|n| n.entry.zone);
    host.end(call_id, 0, Status::Error);
    let went: Vec<_> = host.sends.iter().filter(|s| s.0 == call_id).map(|s| zone(s.2)).collect();
    assert_eq!(went.len(), 2);
    assert_eq!(went[0], went[1]);
}

#[test]
fn after_a_stall_answers_that_came_in_time_count_before_the_deadlines() {
    let mut host = Host::new();
    let (served, silent) = (host.call(READ, 1), host.call(READ, 1));
    host.verdict(1, Some("serra"));
    // One second goes by without a look at the clock; both deadlines are over, one answer is in the batch.
    host.now += 2 * S;
    host.end(served, 0, Status::Ok);
    host.core.advance(host.now, &mut host.out);
    host.settle();
    assert_eq!(host.answer(served), Some(None));
    assert!(matches!(
        host.answer(silent),
        Some(Some(GatewayAnswer::Rejected { why: RejectReason::DeadlineExceeded, .. }))
    ));
}

#[test]
fn a_call_that_waited_too_long_for_its_turn_is_refused_at_once() {
    let mut host = Host::new();
    host.now += 10 * S;
    let arrived = host.now - 10 * S;
    let ask = frostgauge_gateway::core::CallMetadata {
        call_id: 99,
        token: [1; 16],
        class: READ,
        units: 1.0,
        scope: "".into(),
        arrived,
        timeout: 1_500 * MS,
        is_retry: false,
    };
    host.input(Input::Call(ask));
    assert!(matches!(
        host.answer(99),
        Some(Some(GatewayAnswer::Rejected { why: RejectReason::DeadlineExceeded, .. }))
    ));
    assert!(host.flights.is_empty());
}

#[test]
fn a_node_gone_from_the_list_gets_nothing_new_and_its_requests_end_well() {
    let mut host = Host::new();
    let first = host.call(READ, 1);
    host.verdict(1, Some("serra"));
    let gone = host.running[&(first, 0)];
    let entries: Vec<_> = settings().entries().into_iter().filter(|e| e.server != gone).collect();
    host.core.replace_servers(host.now, entries, &mut host.out);
    host.settle();
    for _ in 0..50 {
        let call_id = host.call(READ, 1);
        for attempt in host.out_of(call_id) {
            assert_ne!(host.running[&(call_id, attempt)], gone);
            host.end(call_id, attempt, Status::Ok);
        }
    }
    host.end(first, 0, Status::Ok);
    assert_eq!(host.answer(first), Some(None));
}

#[test]
fn quota_and_pressure_are_told_apart() {
    let mut host = Host::new();
    let mut quota = 0;
    for _ in 0..30 {
        let call_id = host.call(READ, 1);
        if !host.flights.is_empty() {
            host.verdict(1, Some("vale"));
        }
        host.pass(100 * MS);
        for attempt in host.out_of(call_id) {
            host.end(call_id, attempt, Status::Ok);
        }
        quota += usize::from(matches!(
            host.answer(call_id),
            Some(Some(GatewayAnswer::Rejected { why: RejectReason::Quota, retry_after: 1.. }))
        ));
    }
    assert!(quota > 5, "{quota}");
    host.core.replace_servers(host.now, vec![], &mut host.out);
    host.pass(4 * S);
    let call_id = host.call(READ, 2);
    host.verdict(2, Some("serra"));
    assert!(matches!(
        host.answer(call_id),
        Some(Some(GatewayAnswer::Rejected { why: RejectReason::NoServer, .. }))
    ));
}

#[derive(Clone, Debug)]
enum Do {
    Call(usize, u8, u64),
    Verdict(usize, u8),
    End(usize, u8),
    Left(usize),
    Pass(u64),
    Stall(u64),
    Nodes(u8),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
    /// Whatever happens in whatever order: one answer each, in time, unless the client left; an unsafe
    /// request goes on only after what proves that it did not run; at most one attempt out at once; nothing
    /// to a node that the list no longer names.
    #[test]
    fn one_answer_each_in_time(steps in prop::collection::vec(prop_oneof![
        6 => (0usize..3, 0u8..6, 30u64..2_500).prop_map(|(c, t, p)| Do::Call(c, t, p)),
        4 => (0usize..20, 0u8..8).prop_map(|(k, a)| Do::Verdict(k, a)),
        6 => (0usize..20, 0u8..7).prop_map(|(k, s)| Do::End(k, s)),
        1 => (0usize..20).prop_map(Do::Left),
        5 => (0u64..400).prop_map(Do::Pass),
        1 => (500u64..3_000).prop_map(Do::Stall),
        1 => (0u8..16).prop_map(Do::Nodes),
    ], 1..120)) {
        let mut host = Host::new();
        let (mut open, mut class, mut ran) = (vec![], std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
        let mut listed = settings().entries();
        let mut stalled = 0;
        for step in steps {
            let sent = host.sends.len();
            match step {
                Do::Call(c, token, patience) => {
                    let call_id = host.call_waiting(c, token, patience * MS);
                    class.insert(call_id, c);
                    open.push((call_id, host.now + patience * MS));
                }
                Do::Verdict(k, a) if !host.flights.is_empty() => {
                    let flight = *host.flights.keys().nth(k % host.flights.len()).expect("some");
                    let token = host.flights[&flight][0];
                    match a {
                        0 => host.verdict(token, None),
                        1 => { host.flights.remove(&flight); host.input(Input::Introspected { flight, answer: None }); }
                        2 => host.verdict(token, Some("vale")),
                        _ => host.verdict(token, Some("serra")),
                    }
                }
                Do::End(k, s) if !host.running.is_empty() => {
                    let (call_id, attempt) = *host.running.keys().nth(k % host.running.len()).expect("some");
                    let status = [Status::Ok, Status::Error, Status::Rejected, Status::Timeout,
                        Status::ConnectFailed, Status::Reset, Status::NotSent][usize::from(s)];
                    if !matches!(status, Status::Rejected | Status::ConnectFailed | Status::NotSent) {
                        ran.insert(call_id);
                    }
                    host.end(call_id, attempt, status);
                }
                Do::Left(k) if !open.is_empty() => {
                    let (call_id, _) = open.remove(k % open.len());
                    let answered = host.answers.contains_key(&call_id);
                    host.input(Input::ClientDisconnected { call_id });
                    prop_assert_eq!(host.answers.contains_key(&call_id), answered);
                }
                Do::Pass(ms) => host.pass(ms * MS),
                Do::Stall(ms) => {
                    host.now += ms * MS;
                    stalled = host.now;
                    host.core.advance(host.now, &mut host.out);
                    host.settle();
                }
                Do::Nodes(mask) => {
                    listed = settings().entries();
                    let mut k = 0;
                    listed.retain(|_| { k += 1; mask >> (k - 1) & 1 == 0 });
                    host.core.replace_servers(host.now, listed.clone(), &mut host.out);
                    host.settle();
                }
                _ => {}
            }
            for (call_id, attempt, server) in &host.sends[sent..] {
                prop_assert!(listed.iter().any(|e| e.server == *server), "sent to a node not listed");
                prop_assert!(host.out_of(*call_id).len() <= 1, "two attempts out");
                if class[call_id] == REPORT && *attempt > 0 {
                    prop_assert!(!ran.contains(call_id), "an unsafe request went out again");
                }
            }
            for (call_id, answers) in &host.answers {
                prop_assert_eq!(answers.len(), 1, "request {}", call_id);
                let refused = matches!(answers[0], Some(GatewayAnswer::Rejected { .. } | GatewayAnswer::TokenUnverified { .. }));
                if refused && class[call_id] == REPORT {
                    prop_assert!(!ran.contains(call_id), "a refusal of what may have run");
                }
            }
            for (call_id, deadline) in &open {
                let answered = host.answers.contains_key(call_id);
                prop_assert!(answered || host.now < (*deadline).max(stalled), "request {} unanswered", call_id);
            }
        }
    }
}

#[test]
fn a_caller_known_with_its_request_needs_no_verdict_and_gets_one_answer_or_leaves_with_none() {
    let mut host = Host::with(&settings());
    let vale = settings().tenants["vale"];
    let first = host.known(REPORT, vale);
    assert!(host.flights.is_empty(), "nobody is asked about it");
    assert_eq!(host.sends.last().map(|s| s.0), Some(first));
    host.end(first, 0, Status::Ok);
    assert_eq!(host.answer(first), Some(None));
    // Beyond its quota for a while, the insurer's requests are held.
    for _ in 0..3 {
        for _ in 0..20 {
            host.known(READ, vale);
        }
        host.pass(500 * MS);
    }
    let sent = host.sends.len();
    let asked: Vec<u64> = (0..20).map(|_| host.known(REPORT, vale)).collect();
    let open = |t: &u64| !host.answers.contains_key(t) && host.sends.iter().all(|s| s.0 != *t);
    let held: Vec<u64> = asked.into_iter().filter(open).collect();
    assert!(held.len() >= 10, "{} of 20 held", held.len());
    for call_id in &held {
        host.input(Input::ClientDisconnected { call_id: *call_id });
    }
    let others = host.sends.len() - sent;
    host.pass(3 * S);
    assert_eq!(host.sends.len(), sent + others, "who left while held is not sent");
    assert!(held.iter().all(|t| !host.answers.contains_key(t)), "and gets no answer");
}
