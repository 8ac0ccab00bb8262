//! Tests of a gateway's calls: an outcome other than unsure agrees with what the service counted.

use frostgauge_counter_core::*;
use frostgauge_proto::counter::RejectReason;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const CONFIG: ClientCallsConfig = ClientCallsConfig { timeout: 80 * MS, retry_after: 25 * MS };
const START: Micros = 1_800_000_000_000_000;

/// Calls with an open session of epoch 1, and the actions issued after opening it.
fn connected_calls() -> (ClientCalls, Vec<Action>) {
    let (mut calls, mut out) = (ClientCalls::new(CONFIG, 7), vec![]);
    calls.advance(START, &mut out);
    assert_eq!(out, [Action::Connect]);
    out.clear();
    calls.session_opened(START, 1, &mut out);
    (calls, out)
}

/// Total and `unsure` of each completed call.
fn outcomes(out: &[Action]) -> Vec<(Option<f64>, bool)> {
    out.iter()
        .filter_map(|action| match action {
            Action::Complete { total, unsure, .. } => Some((*total, *unsure)),
            _ => None,
        })
        .collect()
}

/// Number of adds sent.
fn sent_adds(out: &[Action]) -> usize {
    out.iter().filter(|action| matches!(action, Action::SendAdd { .. })).count()
}

#[test]
fn reply_rejection_or_timeout_decides_the_outcome() {
    let (mut calls, mut out) = connected_calls();
    calls.call(START, 9, 1.5, 60_000 * MS, &mut out);
    assert_eq!(sent_adds(&out), 1);
    calls.total_received(START + MS, 1, 2_500_000, &mut out);
    assert_eq!(outcomes(&out), [(Some(2.5), false)]);
    out.clear();
    calls.call(START, 9, 1.5, 60_000 * MS, &mut out);
    calls.rejection_received(START + MS, 2, RejectReason::ResourceExhausted, &mut out);
    assert_eq!(outcomes(&out), [(None, false)], "the only attempt was rejected");
    out.clear();
    calls.call(START, 9, 1.5, 60_000 * MS, &mut out);
    calls.advance(START + 80 * MS, &mut out);
    assert_eq!(outcomes(&out), [(None, true)], "without a reply the amount may have been added");
}

#[test]
fn reply_to_a_retry_completes_the_call_with_a_total() {
    let (mut calls, mut out) = connected_calls();
    calls.call(START, 9, 1.0, 60_000 * MS, &mut out);
    calls.advance(START + 25 * MS, &mut out);
    let sent: Vec<_> = out
        .iter()
        .filter_map(|action| if let Action::SendAdd { seq, .. } = action { Some(*seq) } else { None })
        .collect();
    assert_eq!(sent, [1, 1], "a retry has the sequence of the first attempt");
    calls.total_received(START + 30 * MS, 1, 1_000_000, &mut out);
    assert_eq!(outcomes(&out), [(Some(1.0), false)]);
    assert_eq!(calls.stats().retries, 1);
}

#[test]
fn call_with_one_of_two_attempts_rejected_is_unsure() {
    let (mut calls, mut out) = connected_calls();
    calls.call(START, 9, 1.0, 60_000 * MS, &mut out);
    calls.advance(START + 25 * MS, &mut out);
    // One of the two attempts is rejected; the other may still be counted.
    calls.rejection_received(START + 30 * MS, 1, RejectReason::ResourceExhausted, &mut out);
    assert!(outcomes(&out).is_empty());
    calls.advance(START + 80 * MS, &mut out);
    assert_eq!(outcomes(&out), [(None, true)]);
}

#[test]
fn sent_calls_are_retried_only_within_the_same_epoch() {
    for (epoch, expected) in [(1, vec![]), (2, vec![(None, true)])] {
        let (mut calls, mut out) = connected_calls();
        calls.call(START, 9, 1.0, 60_000 * MS, &mut out);
        calls.connection_lost(START + MS, false);
        calls.call(START + 20 * MS, 8, 1.0, 60_000 * MS, &mut out);
        out.clear();
        calls.session_opened(START + 60 * MS, epoch, &mut out);
        assert_eq!(outcomes(&out), expected, "epoch {epoch}");
        assert_eq!(sent_adds(&out), 2 - expected.len(), "the call made while disconnected is sent");
    }
}

#[test]
fn unreachable_service_rejects_calls_and_spreads_connects() {
    let mut sixth_attempts = vec![];
    for seed in 1..40 {
        let mut calls = ClientCalls::new(CONFIG, seed * 0x9e37_79b9);
        let mut now = START;
        let mut attempts = vec![];
        while now < START + 20_000 * MS {
            let mut out = vec![];
            calls.advance(now, &mut out);
            if out.contains(&Action::Connect) {
                attempts.push(now);
                calls.connection_lost(now, false);
            }
            now += MS;
        }
        assert!((9..30).contains(&attempts.len()), "{} attempts to connect in 20 s", attempts.len());
        sixth_attempts.push(attempts[5]);
        let mut out = vec![];
        calls.call(now, 1, 1.0, MS, &mut out);
        calls.call(now, 2, 1.0, MS, &mut out);
        assert!(outcomes(&out).iter().all(|outcome| *outcome == (None, false)));
    }
    sixth_attempts.sort_unstable();
    sixth_attempts.dedup();
    assert!(sixth_attempts.len() > 30, "gateways reconnect at the same time");
}

#[test]
fn connection_to_a_silent_service_is_given_up() {
    let (mut calls, mut out) = connected_calls();
    let mut now = START;
    while !out.contains(&Action::Disconnect) {
        assert!(now < START + 1_000 * MS, "the connection was not given up within 1 s");
        if now.is_multiple_of(20 * MS) {
            calls.call(now, 9, 1.0, 60_000 * MS, &mut out);
        }
        calls.advance(now, &mut out);
        now += MS;
    }
    assert!(!calls.is_connected());
    assert!(now >= START + 240 * MS);
}

#[test]
fn amounts_that_are_not_finite_or_too_large_are_rejected() {
    let (mut calls, mut out) = connected_calls();
    for amount in [f64::NAN, f64::INFINITY, 1e300] {
        calls.call(START, 9, amount, MS, &mut out);
    }
    assert_eq!(outcomes(&out), [(None, false); 3]);
    assert_eq!(sent_adds(&out), 0);
}

#[test]
fn calls_complete_after_the_caller_stops_calling() {
    let config = ClientCallsConfig { timeout: 120_000 * MS, retry_after: 150 * MS };
    let (mut calls, mut out) = (ClientCalls::new(config, 7), vec![]);
    calls.advance(START, &mut out);
    calls.session_opened(START, 1, &mut out);
    for k in 0..60 {
        calls.call(START, k, 1.0, MS, &mut out);
    }
    // All replies of the first second are lost, and the retry budget is spent; then the service replies to retries.
    let (mut now, mut replies) = (START, 0);
    while calls.in_flight() > 0 {
        now += 10 * MS;
        assert!(now < START + 70_000 * MS, "{} calls have no outcome", calls.in_flight());
        out.clear();
        calls.advance(now, &mut out);
        calls.frame_received();
        for action in out.clone() {
            if let (Action::SendAdd { seq, .. }, true) = (action, now > START + 1_000 * MS) {
                calls.total_received(now, seq, 1, &mut out);
                replies += 1;
            }
        }
    }
    assert_eq!(replies, 60);
}

#[test]
fn retries_are_limited_in_proportion_to_calls() {
    let (mut calls, mut out) = connected_calls();
    for k in 0..400u64 {
        let now = START + k * 10 * MS;
        calls.call(now, k, 1.0, MS, &mut out);
        calls.advance(now, &mut out);
        calls.frame_received();
    }
    let retries = calls.stats().retries;
    // A fifth of the calls, one for each of 4 s, and the 20 that the budget starts with.
    assert!(retries <= 400 / 5 + 4 + 20, "{retries} retries");
    assert!(retries > 60);
}

/// A step of the randomized test.
#[derive(Clone, Debug)]
enum Step {
    /// The library makes a call.
    Call,
    /// The service processes the oldest add in transit.
    Reply { lost: bool, reject: bool },
    /// The connection is lost.
    Disconnect,
    /// So many milliseconds pass.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Call),
        5 => (any::<bool>(), 0..4u8).prop_map(|(lost, r)| Step::Reply { lost, reject: r == 0 }),
        1 => Just(Step::Disconnect),
        3 => (1..60u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 0..150)
}

proptest! {
    /// The service counts or rejects adds, replies are lost, and the connection breaks. Every call must complete exactly
    /// once and in time; with a total only if the service counted it, and as rejected only if it did not.
    #[test]
    fn outcomes_agree_with_what_the_service_counted(steps in steps()) {
        let (mut calls, mut out) = connected_calls();
        let (mut now, mut calls_made) = (START, 0u64);
        let mut in_transit: std::collections::VecDeque<u64> = Default::default();
        let mut counted: BTreeMap<u64, u64> = BTreeMap::new();
        let mut outcomes_by_seq: BTreeMap<u64, (Option<f64>, bool)> = BTreeMap::new();
        let mut rejected = 0;
        let mut handle = |out: &mut Vec<Action>, in_transit: &mut std::collections::VecDeque<u64>, connect: &mut bool| {
            for action in out.drain(..) {
                match action {
                    Action::SendAdd { seq, .. } => in_transit.push_back(seq),
                    Action::Complete { total, unsure, elapsed, details, .. } => {
                        assert!(elapsed <= CONFIG.timeout + 61 * MS);
                        if details.seq == 0 {
                            rejected += 1;
                        } else {
                            assert!(
                                outcomes_by_seq.insert(details.seq, (total, unsure)).is_none(),
                                "call {} completed twice",
                                details.seq
                            );
                        }
                    }
                    Action::Connect => *connect = true,
                    Action::Disconnect => {}
                }
            }
        };
        let mut connect = false;
        for step in steps.into_iter().chain([Step::Wait(500)]) {
            match step {
                Step::Call => {
                    calls_made += 1;
                    calls.call(now, calls_made, 1.0, 60_000 * MS, &mut out);
                }
                Step::Reply { lost, reject } => {
                    if let Some(seq) = in_transit.pop_front() {
                        let already_counted = counted.contains_key(&seq);
                        if reject && !already_counted {
                            if !lost {
                                calls.rejection_received(now, seq, RejectReason::ResourceExhausted, &mut out);
                            }
                        } else {
                            let new_total = counted.len() as u64 + 1;
                            let total = *counted.entry(seq).or_insert(new_total);
                            if !lost {
                                calls.total_received(now, seq, total as i64, &mut out);
                            }
                        }
                    }
                }
                Step::Disconnect => {
                    // Half of the adds in transit still reach the service and are counted; their replies are lost.
                    for seq in in_transit.drain(..).step_by(2) {
                        let new_total = counted.len() as u64 + 1;
                        counted.entry(seq).or_insert(new_total);
                    }
                    calls.connection_lost(now, false);
                }
                Step::Wait(ms) => {
                    for _ in 0..ms {
                        now += MS;
                        calls.advance(now, &mut out);
                    }
                }
            }
            handle(&mut out, &mut in_transit, &mut connect);
            if std::mem::take(&mut connect) {
                calls.session_opened(now, 1, &mut out);
                handle(&mut out, &mut in_transit, &mut connect);
            }
        }
        prop_assert_eq!(outcomes_by_seq.len() as u64 + rejected, calls_made);
        for (seq, (total, unsure)) in outcomes_by_seq {
            match (total, unsure) {
                (Some(total), _) => prop_assert_eq!(sub_units(total).map(|t| t as u64), counted.get(&seq).copied()),
                (None, false) => prop_assert!(!counted.contains_key(&seq), "call {} was rejected, but the service counted it", seq),
                (None, true) => {}
            }
        }
    }
}
