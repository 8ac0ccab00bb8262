//! Shares against the exact weighted max-min, computed apart; turns.

use frostgauge_connection_budget::{max_min_shares, Claim, FairRotation, Loan, Terms};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn claim(floor: u32, weight: u32, ceiling: Option<u32>, wants: u64) -> Claim {
    Claim { terms: Terms { floor, weight, ceiling, ..Terms::default() }, demand_milli: wants * 1_000 }
}

fn lends(mut claim: Claim, up_to: u32) -> Claim {
    claim.terms.loan = Some(Loan { max_connections: up_to, recall_ms: 100 });
    claim
}

fn milli(connections: u64, claims: &[Claim]) -> Vec<u64> {
    max_min_shares(connections, claims).iter().map(|s| s.connections_milli).collect()
}

#[test]
fn what_is_wanted_is_had_while_there_is_enough_and_the_rest_goes_by_weight() {
    assert_eq!(milli(10, &[claim(0, 1, None, 3), claim(0, 1, None, 4)]), [3_000, 4_000]);
    assert_eq!(milli(10, &[claim(0, 1, None, 9), claim(0, 1, None, 9)]), [5_000, 5_000]);
    assert_eq!(milli(12, &[claim(0, 1, None, 99), claim(0, 2, None, 99)]), [4_000, 8_000]);
    // Who wants little leaves the rest to the others.
    assert_eq!(
        milli(12, &[claim(0, 1, None, 2), claim(0, 1, None, 99), claim(0, 1, None, 99)]),
        [2_000, 5_000, 5_000]
    );
    // Floors and ceilings bend the level for who they bind, and for nobody else.
    assert_eq!(milli(10, &[claim(6, 1, None, 99), claim(0, 1, None, 99)]), [6_000, 4_000]);
    assert_eq!(milli(10, &[claim(0, 9, Some(3), 99), claim(0, 1, None, 99)]), [3_000, 7_000]);
    assert_eq!(
        milli(10, &[claim(0, 0, None, 99), claim(0, 1, None, 4)]),
        [0, 4_000],
        "weight 0: floors alone"
    );
}

#[test]
fn thirty_connections_for_forty_tenants_are_three_quarters_each() {
    let shares = milli(30, &[claim(0, 1, None, 5); 40]);
    assert_eq!(shares, [750; 40]);
}

#[test]
fn a_floor_that_is_not_wanted_is_kept_free_or_lent_and_there_at_once_when_wanted() {
    let idle = claim(6, 1, None, 1);
    assert_eq!(milli(10, &[idle, claim(0, 1, None, 99)]), [1_000, 4_000], "kept free");
    let lender = lends(idle, 3);
    let shares = max_min_shares(10, &[lender, claim(0, 1, None, 99)]);
    assert_eq!((shares[0].connections_milli, shares[0].lent_milli, shares[1].connections_milli), (1_000, 3_000, 7_000));
    let back = Claim { demand_milli: 99_000, ..lender };
    assert_eq!(milli(10, &[back, claim(0, 1, None, 99)]), [6_000, 4_000]);
    // Everyone lends, and all ask back.
    let all = [lends(claim(5, 1, None, 99), 5); 2];
    assert_eq!(milli(10, &all), [5_000, 5_000]);
}

#[test]
fn when_servers_are_fewer_than_floors_need_higher_orders_give_up_first() {
    let order = |mut c: Claim, give_up| {
        c.terms.shed_order = give_up;
        c
    };
    let claims =
        [order(claim(4, 1, None, 9), 0), order(claim(4, 1, None, 9), 2), order(claim(4, 1, None, 9), 1)];
    assert_eq!(milli(12, &claims), [4_000, 4_000, 4_000]);
    assert_eq!(milli(8, &claims), [4_000, 0, 4_000]);
    assert_eq!(milli(6, &claims), [4_000, 0, 2_000]);
    assert_eq!(milli(0, &claims), [0, 0, 0]);
}

/// The exact shares by progressive filling: raise all levels together, freeze who reaches its end.
fn exact(connections: f64, claims: &[Claim]) -> Vec<f64> {
    let most = |c: &Claim| {
        c.terms.ceiling.map_or(c.demand_milli as f64 / 1e3, |x| (x as f64).min(c.demand_milli as f64 / 1e3))
    };
    let own = |c: &Claim| (c.terms.floor as f64).min(most(c));
    let kept: f64 = claims
        .iter()
        .map(|c| {
            let idle = c.terms.floor as f64 - own(c);
            idle - idle.min(c.terms.loan.map_or(0.0, |l| l.max_connections as f64))
        })
        .sum();
    let open = connections - kept;
    let level_of = |level: f64| -> Vec<f64> {
        claims.iter().map(|c| (level * c.terms.weight as f64).clamp(own(c), most(c).max(own(c)))).collect()
    };
    let (mut low, mut high) = (0.0, connections + 1.0);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        if level_of(middle).iter().sum::<f64>() <= open {
            low = middle;
        } else {
            high = middle;
        }
    }
    level_of(low)
}

fn claims() -> impl Strategy<Value = (u64, Vec<Claim>)> {
    let one = (0u32..20, 0u32..10, proptest::option::of(0u32..60), 0u64..80, 0u32..20);
    let one = one.prop_map(|(floor, weight, ceiling, wants, lend)| {
        lends(claim(floor, weight, ceiling.map(|c| c.max(floor)), wants), lend)
    });
    proptest::collection::vec(one, 1..60).prop_flat_map(|all| {
        let floors: u64 = all.iter().map(|c| u64::from(c.terms.floor)).sum();
        (floors..floors + 400, Just(all))
    })
}

proptest! {
    #[test]
    fn shares_are_the_exact_weighted_max_min_to_a_thousandth_or_two((connections, claims) in claims()) {
        let shares = max_min_shares(connections, &claims);
        let sum: u64 = shares.iter().map(|s| s.connections_milli).sum();
        prop_assert!(sum <= connections * 1_000);
        for (k, (got, want)) in shares.iter().zip(exact(connections as f64, &claims)).enumerate() {
            prop_assert!((got.connections_milli as f64 / 1e3 - want).abs() <= 0.003, "{k}: {} against {want}", got.connections_milli);
        }
    }

    #[test]
    fn floors_that_are_wanted_are_had_and_no_ceiling_is_passed((connections, claims) in claims()) {
        for (share, c) in max_min_shares(connections, &claims).iter().zip(&claims) {
            let most = c.terms.ceiling.map_or(c.demand_milli / 1_000, |x| (c.demand_milli / 1_000).min(u64::from(x)));
            prop_assert!(share.connections_milli >= (u64::from(c.terms.floor) * 1_000).min(most * 1_000));
            prop_assert!(share.connections_milli <= most * 1_000);
        }
    }

    #[test]
    fn turns_give_each_its_part_and_nobody_waits_longer_than_is_stated(
        raw in proptest::collection::vec(1u64..1_500, 1..40), spare in 0u64..3, rounds in 100u64..400,
    ) {
        let parts: BTreeMap<usize, u64> = raw.into_iter().enumerate().collect();
        let sum: u64 = parts.values().sum();
        let most = sum.div_ceil(1_000) + spare;
        let (mut turns, mut got, mut last) = (FairRotation::default(), BTreeMap::<usize, u64>::new(), BTreeMap::<usize, u64>::new());
        for round in 1..=rounds {
            let given = turns.next_round(&parts, most);
            prop_assert!(given.values().sum::<u64>() <= most);
            for (k, n) in given {
                let wait = round - last.insert(k, round).unwrap_or(0);
                prop_assert!(wait <= FairRotation::<usize>::longest_wait_rounds(parts[&k], 1), "{k} waited {wait} for {}", parts[&k]);
                *got.entry(k).or_default() += n;
            }
        }
        for (k, part) in &parts {
            let (got, want) = (got.get(k).copied().unwrap_or(0) * 1_000, part * rounds);
            prop_assert!(got.abs_diff(want) <= 2_000, "{k}: {got} against {want}");
        }
    }

    #[test]
    fn turns_stay_sound_while_parts_come_go_and_change(
        changes in proptest::collection::vec(proptest::collection::btree_map(0usize..12, 0u64..2_500, 0..12), 1..80),
        most in 0u64..10,
    ) {
        let mut turns = FairRotation::default();
        for parts in changes {
            let given = turns.next_round(&parts, most);
            prop_assert!(given.values().sum::<u64>() <= most);
            for (k, n) in given {
                prop_assert!(parts.contains_key(&k) && n <= parts[&k] / 1_000 + 3);
            }
        }
    }
}

#[test]
fn thirty_connections_for_three_hundred_gateways_and_forty_tenants_go_round() {
    // Each of 40 tenants has three quarters of a connection, over 300 gateways: a gateway has one in 400 rounds.
    let parts: BTreeMap<u32, u64> = (0..300).map(|g| (g, 100)).collect();
    let (mut turns, mut seen) = (FairRotation::default(), BTreeMap::<u32, u64>::new());
    for _ in 0..20 {
        turns.next_round(&parts, 30).into_iter().for_each(|(g, n)| *seen.entry(g).or_default() += n);
    }
    assert_eq!(seen.len(), 300, "each had a turn");
    assert!(seen.values().all(|n| *n == 2), "and all had as many");
}
