//! Zones in the core: the gate before the library's attempts, without sockets.

mod common;

use common::*;
use frostgauge::{RejectReason, Status};
use frostgauge_gateway::core::Input;
use frostgauge_gateway::reply::GatewayAnswer;

fn zone(host: &Host, call_id: u64, attempt: u32) -> u32 {
    let server = host.sends.iter().find(|s| s.0 == call_id && s.1 == attempt).expect("it was sent").2;
    settings().nodes.iter().find(|n| n.entry.server == server).expect("a node").entry.zone
}

fn enter(host: &mut Host, class: usize) -> u64 {
    let call_id = host.call(class, 1);
    if !host.flights.is_empty() {
        host.verdict(1, Some("serra"));
    }
    call_id
}

/// Loses zone 0 by what is sent there.
fn lose(host: &mut Host) {
    for _ in 0..8 {
        let call_id = enter(host, READ);
        while let Some(attempt) = host.out_of(call_id).first().copied() {
            let dead = zone(host, call_id, attempt) == 0;
            host.pass(40 * MS);
            host.end(call_id, attempt, if dead { Status::ConnectFailed } else { Status::Ok });
        }
        host.pass(20 * MS);
    }
    assert_eq!(host.core.zones().expect("a policy").status(host.now, 0).expect("a zone").open_share, 0.0);
}

#[test]
fn requests_stay_at_home_and_spill_when_home_is_lost() {
    let mut host = Host::with(&zoned());
    for _ in 0..50 {
        let call_id = enter(&mut host, READ);
        assert_eq!(zone(&host, call_id, 0), 0);
        host.end(call_id, 0, Status::Ok);
        host.pass(5 * MS);
    }
    lose(&mut host);
    let (mut spilled, mut refused) = (0, 0);
    for _ in 0..200 {
        let call_id = enter(&mut host, READ);
        match host.out_of(call_id).first() {
            Some(attempt) => {
                assert_eq!(zone(&host, call_id, *attempt), 1);
                host.end(call_id, *attempt, Status::Ok);
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
                refused += 1;
            }
        }
        host.pass(10 * MS);
    }
    // Two seconds at twenty a second and a hundred asked for.
    assert!((20..=41).contains(&spilled) && refused > 100, "{spilled} {refused}");
}

#[test]
fn advice_to_those_refused_together_is_spread() {
    let mut host = Host::with(&zoned());
    lose(&mut host);
    host.core.servers(host.now, vec![], &mut host.out);
    let all = zoned().entries().into_iter().filter(|e| e.zone == 0).collect();
    host.core.servers(host.now, all, &mut host.out);
    host.settle();
    let advice: std::collections::BTreeSet<u64> = (0..40)
        .filter_map(|_| {
            let call_id = enter(&mut host, READ);
            match host.answer(call_id) {
                Some(Some(GatewayAnswer::Rejected { retry_after, .. })) => Some(retry_after / (50 * MS)),
                _ => None,
            }
        })
        .collect();
    assert!(advice.len() > 10, "{advice:?}");
}

#[test]
fn a_photo_that_may_have_run_in_a_zone_now_dark_is_not_spilled() {
    let mut host = Host::with(&zoned());
    let photo = enter(&mut host, PHOTO);
    assert_eq!(zone(&host, photo, 0), 0);
    lose(&mut host);
    host.end(photo, 0, Status::Reset);
    assert!(host.out_of(photo).is_empty(), "its key is known in zone 0 alone");
    assert!(matches!(host.answer(photo), Some(Some(GatewayAnswer::Failed(_)))), "{:?}", host.answer(photo));
}

#[test]
fn reports_out_in_a_zone_that_vanishes_end_as_their_class_allows() {
    let mut host = Host::with(&zoned());
    let (report, read) = (enter(&mut host, REPORT), enter(&mut host, READ));
    let gone = zoned().entries().into_iter().filter(|e| e.zone == 1).collect();
    host.core.servers(host.now, gone, &mut host.out);
    host.settle();
    host.pass(400 * MS);
    host.end(report, 0, Status::Reset);
    assert!(matches!(host.answer(report), Some(Some(GatewayAnswer::Failed(_)))));
    host.end(read, 0, Status::Reset);
    assert_eq!(zone(&host, read, 1), 1, "a read goes on elsewhere, as spill");
    host.end(read, 1, Status::Ok);
}

#[test]
fn staff_drain_a_zone_and_checks_go_out_only_to_dark_ones() {
    let mut host = Host::with(&zoned());
    host.input(Input::DrainZone { zone: 0, drained: true });
    let call_id = enter(&mut host, READ);
    host.pass(500 * MS);
    assert!(host.sends.iter().filter(|s| s.0 == call_id).all(|s| zone(&host, s.0, s.1) == 1));
    host.input(Input::DrainZone { zone: 0, drained: false });
    host.pass(5 * S);
    let call_id = enter(&mut host, REPORT);
    assert_eq!(zone(&host, call_id, 0), 0, "home again after the ramp");
}
