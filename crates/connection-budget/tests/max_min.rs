//! Weighted max-min shares, compared with exact ones that the test computes itself, and the rotation of whole connections.

use frostgauge_connection_budget::{max_min_shares, Claim, FairRotation, Loan, Terms};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A claim with a demand in whole connections.
fn claim(floor: u32, weight: u32, ceiling: Option<u32>, demand: u64) -> Claim {
    Claim { terms: Terms { floor, weight, ceiling, ..Terms::default() }, demand_milli: demand * 1_000 }
}

/// The claim with a loan of up to `max_connections` of its floor.
fn with_loan(mut claim: Claim, max_connections: u32) -> Claim {
    claim.terms.loan = Some(Loan { max_connections, recall_ms: 100 });
    claim
}

/// The shares in thousandths of a connection.
fn shares_milli(connections: u64, claims: &[Claim]) -> Vec<u64> {
    max_min_shares(connections, claims).iter().map(|share| share.connections_milli).collect()
}

#[test]
fn demand_is_met_or_connections_are_divided_by_weight() {
    assert_eq!(shares_milli(10, &[claim(0, 1, None, 3), claim(0, 1, None, 4)]), [3_000, 4_000]);
    assert_eq!(shares_milli(10, &[claim(0, 1, None, 9), claim(0, 1, None, 9)]), [5_000, 5_000]);
    assert_eq!(shares_milli(12, &[claim(0, 1, None, 99), claim(0, 2, None, 99)]), [4_000, 8_000]);
    // What a claim with little demand leaves is divided among the others.
    assert_eq!(
        shares_milli(12, &[claim(0, 1, None, 2), claim(0, 1, None, 99), claim(0, 1, None, 99)]),
        [2_000, 5_000, 5_000]
    );
    // A floor raises the share of its own claim, and a ceiling limits it; the others divide the rest.
    assert_eq!(shares_milli(10, &[claim(6, 1, None, 99), claim(0, 1, None, 99)]), [6_000, 4_000]);
    assert_eq!(shares_milli(10, &[claim(0, 9, Some(3), 99), claim(0, 1, None, 99)]), [3_000, 7_000]);
    assert_eq!(
        shares_milli(10, &[claim(0, 0, None, 99), claim(0, 1, None, 4)]),
        [0, 4_000],
        "a claim of weight 0 gets its floor only"
    );
}

#[test]
fn thirty_connections_are_three_quarters_for_forty_tenants() {
    let shares = shares_milli(30, &[claim(0, 1, None, 5); 40]);
    assert_eq!(shares, [750; 40]);
}

#[test]
fn unused_floors_stay_free_or_are_lent_until_demanded() {
    let little_demand = claim(6, 1, None, 1);
    assert_eq!(
        shares_milli(10, &[little_demand, claim(0, 1, None, 99)]),
        [1_000, 4_000],
        "an unused floor without a loan stays free"
    );
    let lender = with_loan(little_demand, 3);
    let shares = max_min_shares(10, &[lender, claim(0, 1, None, 99)]);
    assert_eq!(
        (shares[0].connections_milli, shares[0].lent_milli, shares[1].connections_milli),
        (1_000, 3_000, 7_000)
    );
    let full_demand = Claim { demand_milli: 99_000, ..lender };
    assert_eq!(shares_milli(10, &[full_demand, claim(0, 1, None, 99)]), [6_000, 4_000]);
    // Both claims may lend their floors, and both demand them.
    let lenders = [with_loan(claim(5, 1, None, 99), 5); 2];
    assert_eq!(shares_milli(10, &lenders), [5_000, 5_000]);
}

#[test]
fn floors_above_the_capacity_are_reduced_by_shed_order() {
    let with_order = |mut claim: Claim, shed_order| {
        claim.terms.shed_order = shed_order;
        claim
    };
    let claims = [
        with_order(claim(4, 1, None, 9), 0),
        with_order(claim(4, 1, None, 9), 2),
        with_order(claim(4, 1, None, 9), 1),
    ];
    assert_eq!(shares_milli(12, &claims), [4_000, 4_000, 4_000]);
    assert_eq!(shares_milli(8, &claims), [4_000, 0, 4_000]);
    assert_eq!(shares_milli(6, &claims), [4_000, 0, 2_000]);
    assert_eq!(shares_milli(0, &claims), [0, 0, 0]);
}

/// The exact shares in connections: the level at which they add up to the connections that are not reserved, found by
/// bisection in floating point.
fn exact_shares(connections: f64, claims: &[Claim]) -> Vec<f64> {
    let demand = |claim: &Claim| claim.demand_milli as f64 / 1e3;
    let usable = |claim: &Claim| {
        claim.terms.ceiling.map_or(demand(claim), |ceiling| (ceiling as f64).min(demand(claim)))
    };
    let wanted_floor = |claim: &Claim| (claim.terms.floor as f64).min(usable(claim));
    let reserved: f64 = claims
        .iter()
        .map(|claim| {
            let unused = claim.terms.floor as f64 - wanted_floor(claim);
            unused - unused.min(claim.terms.loan.map_or(0.0, |loan| loan.max_connections as f64))
        })
        .sum();
    let available = connections - reserved;
    let shares_at = |level: f64| -> Vec<f64> {
        let share_at = |claim: &Claim| {
            let (min, max) = (wanted_floor(claim), usable(claim).max(wanted_floor(claim)));
            (level * claim.terms.weight as f64).clamp(min, max)
        };
        claims.iter().map(share_at).collect()
    };
    let (mut low, mut high) = (0.0, connections + 1.0);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        if shares_at(middle).iter().sum::<f64>() <= available {
            low = middle;
        } else {
            high = middle;
        }
    }
    shares_at(low)
}

/// A number of connections that covers all floors, and the claims.
fn connections_and_claims() -> impl Strategy<Value = (u64, Vec<Claim>)> {
    let one_claim = (0u32..20, 0u32..10, proptest::option::of(0u32..60), 0u64..80, 0u32..20);
    let one_claim = one_claim.prop_map(|(floor, weight, ceiling, demand, max_lent)| {
        with_loan(claim(floor, weight, ceiling.map(|ceiling| ceiling.max(floor)), demand), max_lent)
    });
    proptest::collection::vec(one_claim, 1..60).prop_flat_map(|claims| {
        let floors: u64 = claims.iter().map(|claim| u64::from(claim.terms.floor)).sum();
        (floors..floors + 400, Just(claims))
    })
}

proptest! {
    #[test]
    fn shares_are_exact_to_three_thousandths((connections, claims) in connections_and_claims()) {
        let shares = max_min_shares(connections, &claims);
        let sum: u64 = shares.iter().map(|share| share.connections_milli).sum();
        prop_assert!(sum <= connections * 1_000);
        for (index, (share, exact)) in shares.iter().zip(exact_shares(connections as f64, &claims)).enumerate() {
            let milli = share.connections_milli;
            prop_assert!(
                (milli as f64 / 1e3 - exact).abs() <= 0.003,
                "claim {index}: {milli} thousandths, but exactly {exact} connections"
            );
        }
    }

    #[test]
    fn shares_reach_wanted_floors_and_keep_to_ceilings((connections, claims) in connections_and_claims()) {
        for (share, claim) in max_min_shares(connections, &claims).iter().zip(&claims) {
            let demand = claim.demand_milli / 1_000;
            let usable = claim.terms.ceiling.map_or(demand, |ceiling| demand.min(u64::from(ceiling)));
            prop_assert!(share.connections_milli >= (u64::from(claim.terms.floor) * 1_000).min(usable * 1_000));
            prop_assert!(share.connections_milli <= usable * 1_000);
        }
    }

    #[test]
    fn rotation_gives_each_key_its_share_in_time(
        raw in proptest::collection::vec(1u64..1_500, 1..40), spare in 0u64..3, rounds in 100u64..400,
    ) {
        let shares: BTreeMap<usize, u64> = raw.into_iter().enumerate().collect();
        let sum: u64 = shares.values().sum();
        let max = sum.div_ceil(1_000) + spare;
        let mut rotation = FairRotation::default();
        let (mut totals, mut last_served) = (BTreeMap::<usize, u64>::new(), BTreeMap::<usize, u64>::new());
        for round in 1..=rounds {
            let allocated = rotation.next_round(&shares, max);
            prop_assert!(allocated.values().sum::<u64>() <= max);
            for (key, count) in allocated {
                let (share, wait) = (shares[&key], round - last_served.insert(key, round).unwrap_or(0));
                prop_assert!(
                    wait <= FairRotation::<usize>::longest_wait_rounds(share, 1),
                    "key {key} waited {wait} rounds with a share of {share} thousandths"
                );
                *totals.entry(key).or_default() += count;
            }
        }
        for (key, share) in &shares {
            let (total, expected) = (totals.get(key).copied().unwrap_or(0) * 1_000, share * rounds);
            prop_assert!(
                total.abs_diff(expected) <= 2_000,
                "key {key}: {total} thousandths in all rounds, but its share is {expected}"
            );
        }
    }

    #[test]
    fn rotation_stays_within_bounds_while_shares_change(
        changes in proptest::collection::vec(proptest::collection::btree_map(0usize..12, 0u64..2_500, 0..12), 1..80),
        max in 0u64..10,
    ) {
        let mut rotation = FairRotation::default();
        for shares in changes {
            let allocated = rotation.next_round(&shares, max);
            prop_assert!(allocated.values().sum::<u64>() <= max);
            for (key, count) in allocated {
                prop_assert!(shares.contains_key(&key) && count <= shares[&key] / 1_000 + 3);
            }
        }
    }
}

#[test]
fn thirty_connections_rotate_evenly_among_300_gateways() {
    // The share of each gateway, a tenth of a connection, is far below one connection, so it gets two in 20 rounds.
    let shares: BTreeMap<u32, u64> = (0..300).map(|gateway| (gateway, 100)).collect();
    let (mut rotation, mut totals) = (FairRotation::default(), BTreeMap::<u32, u64>::new());
    for _ in 0..20 {
        let allocated = rotation.next_round(&shares, 30);
        allocated.into_iter().for_each(|(gateway, count)| *totals.entry(gateway).or_default() += count);
    }
    assert_eq!(totals.len(), 300, "each gateway should get a connection");
    assert!(totals.values().all(|total| *total == 2), "each gateway should get as many as the others");
}
