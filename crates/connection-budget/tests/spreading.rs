//! Dividing connections over gateways: evenly, within their demand and with the same result each time.

use frostgauge_connection_budget::{fill_evenly, spread_evenly, GatewayId, TenantClass};
use std::collections::BTreeSet;

#[test]
fn shares_are_equal_within_demand_and_add_up() {
    let demand = vec![(1, 500), (2, 4_000), (3, 9_000), (4, 9_000)];
    assert_eq!(fill_evenly(10_000, demand.clone(), 0), [(1, 500), (2, 3_167), (3, 3_167), (4, 3_166)]);
    assert_eq!(fill_evenly(10_000, demand.clone(), 1), [(1, 500), (2, 3_166), (3, 3_167), (4, 3_167)]);
    assert_eq!(fill_evenly(50_000, demand.clone(), 0), demand);
    assert_eq!(fill_evenly(2, vec![(1, 1_000), (2, 1_000), (3, 1_000)], 0), [(1, 1), (2, 1)]);
}

#[test]
fn permits_are_spread_evenly_and_alike_each_time() {
    let tenant_class = TenantClass { tenant: "vale".into(), class: None };
    let fleet: BTreeSet<GatewayId> = (1..=7).collect();
    let by_gateway = spread_evenly(&tenant_class, 10, &fleet);
    assert_eq!(by_gateway.values().sum::<u32>(), 10);
    assert!(by_gateway.values().all(|count| (1..=2).contains(count)));
    assert_eq!(spread_evenly(&tenant_class, 3, &fleet).len(), 3);
    assert_eq!(spread_evenly(&tenant_class, 3, &fleet), spread_evenly(&tenant_class, 3, &fleet));
}
