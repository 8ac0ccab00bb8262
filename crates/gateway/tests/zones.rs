//! Zone decisions in the core, which gate the library's attempts; without sockets.

mod common;

use common::*;
use frostgauge::{RejectReason, Status};
use frostgauge_gateway::core::Input;
use frostgauge_gateway::reply::GatewayAnswer;

/// Zone of the server that an attempt was sent to.
fn zone_of(host: &Host, call_id: u64, attempt: u32) -> u32 {
    let server =
        host.sends.iter().find(|s| s.0 == call_id && s.1 == attempt).expect("the attempt was sent").2;
    settings()
        .nodes
        .iter()
        .find(|n| n.entry.server == server)
        .expect("the server is in the settings")
        .entry
        .zone
}

/// Hands in a call of `serra`, whose token is verified if necessary.
fn verified_call(host: &mut Host, class: usize) -> u64 {
    let call_id = host.call(class, 1);
    if !host.introspections.is_empty() {
        host.introspected(1, Some("serra"));
    }
    call_id
}

/// Makes zone 0 unavailable: every attempt sent there fails to connect.
fn fail_zone_0(host: &mut Host) {
    for _ in 0..8 {
        let call_id = verified_call(host, READ);
        while let Some(attempt) = host.attempts_in_flight(call_id).first().copied() {
            let is_zone_0 = zone_of(host, call_id, attempt) == 0;
            host.advance_clock(40 * MS);
            host.end_attempt(call_id, attempt, if is_zone_0 { Status::ConnectFailed } else { Status::Ok });
        }
        host.advance_clock(20 * MS);
    }
    assert_eq!(
        host.core
            .zones()
            .expect("the settings have a zone_policy")
            .status(host.now, 0)
            .expect("zone 0 exists")
            .open_share,
        0.0
    );
}

#[test]
fn requests_spill_only_when_the_own_zone_is_unavailable() {
    let mut host = Host::with(&zoned_settings());
    for _ in 0..50 {
        let call_id = verified_call(&mut host, READ);
        assert_eq!(zone_of(&host, call_id, 0), 0);
        host.end_attempt(call_id, 0, Status::Ok);
        host.advance_clock(5 * MS);
    }
    fail_zone_0(&mut host);
    let (mut spilled, mut rejected) = (0, 0);
    for _ in 0..200 {
        let call_id = verified_call(&mut host, READ);
        match host.attempts_in_flight(call_id).first() {
            Some(attempt) => {
                assert_eq!(zone_of(&host, call_id, *attempt), 1);
                host.end_attempt(call_id, *attempt, Status::Ok);
                spilled += 1;
            }
            None => {
                let answer = host.answer(call_id);
                assert!(
                    matches!(
                        answer,
                        Some(Some(GatewayAnswer::Rejected {
                            why: RejectReason::ZoneClosed,
                            retry_after: 1..
                        }))
                    ),
                    "{answer:?}"
                );
                rejected += 1;
            }
        }
        host.advance_clock(10 * MS);
    }
    // 200 requests within 2 s, with a spill limit of 20 a second.
    assert!((20..=41).contains(&spilled) && rejected > 100, "{spilled} spilled, {rejected} rejected");
}

#[test]
fn retry_advice_to_clients_rejected_together_is_spread() {
    let mut host = Host::with(&zoned_settings());
    fail_zone_0(&mut host);
    host.core.replace_servers(host.now, vec![], &mut host.out);
    let own_zone = zoned_settings().entries().into_iter().filter(|e| e.zone == 0).collect();
    host.core.replace_servers(host.now, own_zone, &mut host.out);
    host.record_commands();
    let advice: std::collections::BTreeSet<u64> = (0..40)
        .filter_map(|_| {
            let call_id = verified_call(&mut host, READ);
            match host.answer(call_id) {
                Some(Some(GatewayAnswer::Rejected { retry_after, .. })) => Some(retry_after / (50 * MS)),
                _ => None,
            }
        })
        .collect();
    assert!(advice.len() > 10, "{advice:?}");
}

#[test]
fn keyed_request_that_may_have_run_does_not_spill() {
    let mut host = Host::with(&zoned_settings());
    let photo = verified_call(&mut host, PHOTO);
    assert_eq!(zone_of(&host, photo, 0), 0);
    fail_zone_0(&mut host);
    host.end_attempt(photo, 0, Status::Reset);
    assert!(host.attempts_in_flight(photo).is_empty(), "only zone 0 knows the idempotency key");
    assert!(matches!(host.answer(photo), Some(Some(GatewayAnswer::Failed(_)))), "{:?}", host.answer(photo));
}

#[test]
fn only_safe_requests_of_a_removed_zone_are_retried() {
    let mut host = Host::with(&zoned_settings());
    let (report, read) = (verified_call(&mut host, REPORT), verified_call(&mut host, READ));
    let remaining = zoned_settings().entries().into_iter().filter(|e| e.zone == 1).collect();
    host.core.replace_servers(host.now, remaining, &mut host.out);
    host.record_commands();
    host.advance_clock(400 * MS);
    host.end_attempt(report, 0, Status::Reset);
    assert!(matches!(host.answer(report), Some(Some(GatewayAnswer::Failed(_)))));
    host.end_attempt(read, 0, Status::Reset);
    assert_eq!(zone_of(&host, read, 1), 1, "the read is retried in the other zone, as spill");
    host.end_attempt(read, 1, Status::Ok);
}

#[test]
fn drained_zone_gets_no_attempts_until_it_is_restored() {
    let mut host = Host::with(&zoned_settings());
    host.input(Input::DrainZone { zone: 0, drained: true });
    let call_id = verified_call(&mut host, READ);
    host.advance_clock(500 * MS);
    assert!(host.sends.iter().filter(|s| s.0 == call_id).all(|s| zone_of(&host, s.0, s.1) == 1));
    host.input(Input::DrainZone { zone: 0, drained: false });
    host.advance_clock(5 * S);
    let call_id = verified_call(&mut host, REPORT);
    assert_eq!(zone_of(&host, call_id, 0), 0, "after the recovery ramp, attempts go to the own zone");
}
