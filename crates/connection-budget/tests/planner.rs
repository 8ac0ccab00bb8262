//! Planned changes of the ledger: no more than needed, and towards the wanted permits.

use frostgauge_connection_budget::{
    plan, BudgetScope, Epoch, GatewayId, LedgerChange, LedgerError, PermitCounts, PermitLedger, PermitTarget,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn server(index: u32) -> BudgetScope {
    BudgetScope::server(&format!("s{index}"))
}

/// A ledger with `servers` servers of `capacity` connections each, and its scopes. Each gateway has a current process
/// whose incarnation is the gateway's number.
fn ledger(servers: u32, capacity: u32, gateways: u16) -> (PermitLedger, Vec<BudgetScope>) {
    let mut ledger = PermitLedger::default();
    let scopes: Vec<BudgetScope> = (0..servers).map(server).collect();
    scopes.iter().for_each(|scope| ledger.set_capacity(scope, capacity));
    (1..=gateways).for_each(|gateway| ledger.begin_incarnation(gateway, u64::from(gateway)));
    (ledger, scopes)
}

/// Targets with these numbers of permits by gateway, without fallback.
fn targets(counts: &[(GatewayId, u32)]) -> BTreeMap<GatewayId, PermitTarget> {
    let target = |count: u32| PermitTarget { count, ..PermitTarget::default() };
    counts.iter().map(|(gateway, count)| (*gateway, target(*count))).collect()
}

fn apply_all(ledger: &mut PermitLedger, changes: &[LedgerChange]) {
    changes.iter().for_each(|change| change.apply(ledger).expect("the ledger should accept planned changes"));
}

fn plan_and_apply(
    ledger: &mut PermitLedger,
    scopes: &[BudgetScope],
    wanted: &BTreeMap<GatewayId, PermitTarget>,
) {
    let changes = plan(ledger, scopes, wanted, 100);
    apply_all(ledger, &changes);
}

/// Sum of a gateway's targets over the scopes.
fn target_sum(ledger: &PermitLedger, scopes: &[BudgetScope], gateway: GatewayId) -> u32 {
    scopes.iter().map(|scope| ledger.permits(scope, gateway).target).sum()
}

#[test]
fn grants_are_spread_over_servers_and_then_stay() {
    let (mut ledger, scopes) = ledger(3, 4, 3);
    let wanted = targets(&[(1, 6), (2, 3), (3, 3)]);
    plan_and_apply(&mut ledger, &scopes, &wanted);
    assert_eq!([1, 2, 3].map(|gateway| target_sum(&ledger, &scopes, gateway)), [6, 3, 3]);
    assert!(
        scopes.iter().all(|scope| ledger.permits(scope, 1).target == 2),
        "gateway 1 has two at each server"
    );
    assert_eq!(plan(&ledger, &scopes, &wanted, 100), vec![], "nothing changes once all have what they want");
    // A gateway that wants less keeps its permits while no other lacks any.
    assert_eq!(plan(&ledger, &scopes, &targets(&[(1, 2), (2, 3), (3, 3)]), 100), vec![]);
}

#[test]
fn only_lacking_permits_are_recalled_and_then_granted() {
    let (mut ledger, scopes) = ledger(1, 10, 2);
    plan_and_apply(&mut ledger, &scopes, &targets(&[(1, 10)]));
    let wanted = targets(&[(1, 2), (2, 3)]);
    let changes = plan(&ledger, &scopes, &wanted, 100);
    let recall = LedgerChange::Recall { scope: server(0), gateway: 1, target: 7 };
    assert_eq!(changes, [recall]);
    apply_all(&mut ledger, &changes);
    assert_eq!(plan(&ledger, &scopes, &wanted, 100), vec![], "permits already being recalled are enough");
    // The gateway's acknowledgement frees them, once it knows of the recall.
    let epoch = ledger.epoch(1);
    ledger.acknowledge(1, 1, epoch - 1, &server(0), 0);
    assert_eq!(ledger.available(&server(0)), 0, "an acknowledgement from before the recall frees nothing");
    ledger.acknowledge(1, 1, epoch, &server(0), 8);
    assert_eq!(
        (ledger.available(&server(0)), ledger.permits(&server(0), 1)),
        (2, PermitCounts { held: 8, target: 7, fallback: 0 })
    );
    ledger.acknowledge(1, 1, epoch + 1, &server(0), 5);
    plan_and_apply(&mut ledger, &scopes, &wanted);
    assert_eq!((target_sum(&ledger, &scopes, 1), target_sum(&ledger, &scopes, 2)), (7, 3));
}

#[test]
fn halved_capacity_grants_nothing_until_recalls_complete() {
    let (mut ledger, scopes) = ledger(1, 8, 2);
    let wanted = targets(&[(1, 4), (2, 4)]);
    plan_and_apply(&mut ledger, &scopes, &wanted);
    ledger.set_capacity(&server(0), 4);
    assert_eq!((ledger.available(&server(0)), ledger.held(&server(0))), (0, 8));
    let wanted = targets(&[(1, 2), (2, 2)]);
    plan_and_apply(&mut ledger, &scopes, &wanted);
    assert_eq!([1, 2].map(|gateway| target_sum(&ledger, &scopes, gateway)), [2, 2]);
    assert_eq!(ledger.grant(&server(0), 1, 1, 0), Err(LedgerError::Exhausted));
    for gateway in [1, 2] {
        let epoch = ledger.epoch(gateway);
        ledger.acknowledge(gateway, u64::from(gateway), epoch, &server(0), 1);
    }
    assert_eq!((ledger.held(&server(0)), ledger.available(&server(0))), (4, 0));
}

#[test]
fn fallback_permits_stay_held_until_the_process_has_ended() {
    let (mut ledger, scopes) = ledger(1, 4, 2);
    let wanted = [(1, PermitTarget { count: 4, fallback: 1, ..PermitTarget::default() })].into();
    plan_and_apply(&mut ledger, &scopes, &wanted);
    ledger.expire_lease(1);
    assert_eq!((ledger.held(&server(0)), ledger.available(&server(0))), (1, 3));
    // A new process is granted free permits, but not those that the earlier process may still be using.
    ledger.begin_incarnation(1, 77);
    assert_eq!(ledger.granted(1, 77).map(|(_, permits)| permits), Some(vec![]));
    assert_eq!((ledger.granted(1, 1), ledger.earlier_incarnations_hold(1)), (None, (false, true)));
    ledger.expire_earlier_leases(1);
    assert_eq!(ledger.available(&server(0)), 3);
    assert_eq!(ledger.grant(&server(0), 1, 3, 1), Ok(()));
    assert_eq!(ledger.grant(&server(0), 1, 1, 0), Err(LedgerError::Exhausted));
    ledger.earlier_processes_ended(1);
    assert_eq!(ledger.available(&server(0)), 1);
    assert_eq!(ledger.granted(1, 77).map(|(_, permits)| permits.len()), Some(1));
    assert_eq!(ledger.grant(&server(9), 1, 1, 0), Err(LedgerError::UnknownScope));
    assert_eq!(ledger.grant(&server(0), 9, 1, 0), Err(LedgerError::NoProcess));
}

#[test]
fn a_superseded_process_never_becomes_current_again() {
    let (mut ledger, scopes) = ledger(1, 4, 1);
    plan_and_apply(&mut ledger, &scopes, &targets(&[(1, 3)]));
    ledger.begin_incarnation(1, 77);
    assert_eq!(
        (ledger.held(&server(0)), ledger.earlier_incarnations_hold(1)),
        (3, (true, false)),
        "the earlier process still holds its permits"
    );
    ledger.begin_incarnation(1, 1);
    assert_eq!(ledger.incarnation(1), Some(77));
    ledger.acknowledge(1, 1, Epoch::MAX, &server(0), 0);
    assert_eq!(ledger.held(&server(0)), 3, "an acknowledgement of a superseded process frees nothing");
    ledger.expire_lease(1);
    assert_eq!((ledger.held(&server(0)), ledger.earlier_incarnations_hold(1)), (0, (false, false)));
}

#[test]
fn a_gateway_below_its_floor_is_served_first() {
    let (mut ledger, scopes) = ledger(1, 4, 3);
    plan_and_apply(&mut ledger, &scopes, &targets(&[(1, 2)]));
    let target = |gateway: GatewayId, count, below_floor| {
        (gateway, PermitTarget { count, below_floor, ..PermitTarget::default() })
    };
    let wanted = [target(1, 4, true), target(2, 2, false), target(3, 1, false)].into();
    plan_and_apply(&mut ledger, &scopes, &wanted);
    assert_eq!([1, 2, 3].map(|gateway| target_sum(&ledger, &scopes, gateway)), [4, 0, 0]);
}

#[test]
fn a_removed_scope_disappears_from_the_next_grant() {
    let (mut ledger, scopes) = ledger(2, 2, 1);
    plan_and_apply(&mut ledger, &scopes, &targets(&[(1, 4)]));
    let before = ledger.epoch(1);
    ledger.remove(&server(0));
    assert!(ledger.epoch(1) > before && ledger.granted(1, 1).is_some_and(|(_, permits)| permits.len() == 1));
}

#[test]
fn a_closed_scope_is_removed_once_no_permits_are_held() {
    let (mut ledger, scopes) = ledger(2, 2, 1);
    plan_and_apply(&mut ledger, &scopes, &targets(&[(1, 4)]));
    ledger.close(&server(0));
    let (epoch, permits) = ledger.granted(1, 1).expect("incarnation 1 should be current");
    let by_scope: Vec<_> = permits.iter().map(|(scope, counts)| (scope.clone(), counts.target)).collect();
    assert_eq!(by_scope, [(server(0), 0), (server(1), 2)]);
    ledger.acknowledge(1, 1, epoch, &server(0), 0);
    assert_eq!(ledger.scopes().map(|(scope, _)| scope.clone()).collect::<Vec<_>>(), [server(1)]);
}

proptest! {
    #[test]
    fn any_plan_fits_the_capacities_and_reaches_its_targets(
        rounds in proptest::collection::vec(proptest::collection::btree_map(1u16..8, 0u32..9, 0..7), 1..12),
        servers in 1u32..5, capacity in 0u32..7,
    ) {
        let (mut ledger, scopes) = ledger(servers, capacity, 8);
        for wanted in rounds {
            let wanted: Vec<(GatewayId, u32)> = wanted.into_iter().collect();
            let wanted = targets(&wanted);
            // Every gateway acknowledges its recalls at once, so targets that fit are reached after two rounds.
            for _ in 0..2 {
                let changes = plan(&ledger, &scopes, &wanted, 1_000);
                apply_all(&mut ledger, &changes);
                for gateway in 1..=8u16 {
                    for scope in &scopes {
                        let epoch = ledger.epoch(gateway);
                        ledger.acknowledge(gateway, u64::from(gateway), epoch, scope, 0);
                    }
                }
                prop_assert!(scopes.iter().all(|scope| ledger.held(scope) <= u64::from(capacity)));
            }
            let sum: u32 = wanted.values().map(|target| target.count).sum();
            if sum <= servers * capacity {
                for (gateway, target) in &wanted {
                    prop_assert!(target_sum(&ledger, &scopes, *gateway) >= target.count);
                }
            }
            prop_assert_eq!(plan(&ledger, &scopes, &wanted, 1_000), vec![]);
        }
    }
}
