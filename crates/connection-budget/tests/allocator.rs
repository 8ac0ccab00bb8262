//! Allocation over many rounds, with gateways that acknowledge every recall within the round: how close the shares come
//! to exact ones that the test computes itself and how soon, and that nothing changes once demand is met.

use frostgauge_connection_budget::{
    AllocationInput, Allocator, BudgetScope, CompiledPolicy, Demand, DemandByGroup, GatewayId, GroupDemand,
    Inventory, LedgerChange, PermitLedger, Policy, TenantClass,
};
use std::collections::{BTreeMap, BTreeSet};

const TENANTS: [&str; 3] = ["norte", "sul", "oeste"];

fn tenant_class(tenant: &str) -> TenantClass {
    TenantClass { tenant: tenant.to_owned(), class: None }
}

struct Sim {
    policy: CompiledPolicy,
    ledger: PermitLedger,
    allocator: Allocator,
    demand: DemandByGroup,
    fleet: BTreeSet<GatewayId>,
    /// Microseconds.
    now: u64,
}

impl Sim {
    /// One group of six servers with `connections` each, and gateways without demand; `rules` is JSON.
    fn new(gateways: u16, connections: u32, rules: &str) -> Sim {
        let text = format!(
            r#"{{ "budgets": {{ "all": {{ "connections": {connections}, "idle_ms": 1000, "attempt_ms": 1000, "turn_ms": 1000 }} }},
                 "rules": {rules} }}"#
        );
        let policy: Policy = serde_json::from_str(&text).expect("the text should parse as a policy");
        let inventory = Inventory {
            tenants: TENANTS.map(|tenant| (tenant.to_owned(), "p".to_owned())).into(),
            classes: BTreeSet::new(),
            servers: (0..6).map(|index| (format!("s{index}"), String::new())).collect(),
        };
        let policy = CompiledPolicy::new(policy, &inventory).expect("the policy should be valid");
        let mut ledger = PermitLedger::default();
        (0..6).for_each(|index| ledger.set_capacity(&BudgetScope::server(&format!("s{index}")), connections));
        let fleet: BTreeSet<GatewayId> = (1..=gateways).collect();
        fleet.iter().for_each(|gateway| ledger.begin_incarnation(*gateway, u64::from(*gateway)));
        let (allocator, demand, now) = (Allocator::default(), DemandByGroup::new(), 0);
        Sim { policy, ledger, allocator, demand, fleet, now }
    }

    /// Sets a tenant's demand at a gateway: the peak, and the average in thousandths of a connection.
    fn set_demand(&mut self, tenant: &str, gateway: GatewayId, peak: u32, mean_milli: u64) {
        let group: &mut GroupDemand = self.demand.entry("all".to_owned()).or_default();
        let by_gateway = group.by_tenant.entry(tenant_class(tenant)).or_default();
        by_gateway.insert(gateway, Demand { peak, mean_milli });
        let peak_here =
            |demand: &BTreeMap<GatewayId, Demand>| demand.get(&gateway).map_or(0, |demand| demand.peak);
        let sum = group.by_tenant.values().map(peak_here).sum();
        group.peak_by_gateway.insert(gateway, sum);
    }

    /// Sets a tenant's demand alike at every gateway.
    fn set_demand_everywhere(&mut self, tenant: &str, peak: u32, mean_milli: u64) {
        for gateway in self.fleet.clone() {
            self.set_demand(tenant, gateway, peak, mean_milli);
        }
    }

    /// Allocates a round and lets the gateways acknowledge its recalls; returns the changes.
    fn round(&mut self) -> Vec<LedgerChange> {
        let active_conditions = BTreeSet::new();
        let input = AllocationInput {
            policy: &self.policy,
            active_conditions: &active_conditions,
            demand: &self.demand,
            fleet: &self.fleet,
            ledger: &self.ledger,
        };
        let changes = self.allocator.allocate(self.now, &input, 100_000);
        for change in &changes {
            let _ = change.apply(&mut self.ledger);
        }
        assert!(self.ledger.is_consistent());
        for gateway in &self.fleet {
            for (scope, permits) in self.ledger.permits_of(*gateway).1 {
                if permits.target < permits.held {
                    let epoch = self.ledger.epoch(*gateway);
                    self.ledger.acknowledge(*gateway, u64::from(*gateway), epoch, &scope, 0);
                }
            }
        }
        self.now += 1_000_000;
        changes
    }

    /// Sum of a tenant's permits over all gateways.
    fn tenant_permits(&self, tenant: &str) -> u32 {
        let scope = BudgetScope::tenant("all", &tenant_class(tenant));
        self.ledger.permits_at(&scope).map(|(_, permits)| permits.target).sum()
    }

    /// Sum of a gateway's permits over all servers.
    fn server_permits(&self, gateway: GatewayId) -> u32 {
        let scopes = (0..6).map(|index| BudgetScope::server(&format!("s{index}")));
        scopes.map(|scope| self.ledger.permits(&scope, gateway).target).sum()
    }
}

/// Weighted max-min shares in connections, by raising the level in small steps from the floors until each claim has its
/// demand or no connections are left. A claim is a floor, a weight and a demand.
fn exact_shares(connections: f64, claims: &[(f64, f64, f64)]) -> Vec<f64> {
    let mut shares: Vec<f64> = claims.iter().map(|(floor, _, demand)| floor.min(*demand)).collect();
    let (mut level, step) = (0.0, connections / 1e6);
    while shares.iter().sum::<f64>() < connections && level < connections * 4.0 {
        level += step;
        for (share, (_, weight, demand)) in shares.iter_mut().zip(claims) {
            *share = share.max((level * weight).min(*demand));
        }
    }
    shares
}

#[test]
fn shares_match_changed_demand_within_two_rounds() {
    let rules = r#"[{ "name": "f", "set": { "floor": 6 } }, { "name": "w", "select": { "tenants": ["oeste"] }, "set": { "weight": 3 } }]"#;
    for gateways in [3u16, 50, 350] {
        let mut sim = Sim::new(gateways, 10, rules);
        let each = 300_000 / u64::from(gateways);
        sim.set_demand_everywhere("oeste", 2, each);
        (0..5).for_each(|_| drop(sim.round()));
        let alone = sim.tenant_permits("oeste");
        assert!((47..=48).contains(&alone), "{alone} of 60 permits; twelve are the other tenants' floors");
        // The demand of the other two begins at all gateways at once.
        sim.set_demand_everywhere("norte", 2, each);
        sim.set_demand_everywhere("sul", 2, each);
        (0..2).for_each(|_| drop(sim.round()));
        let claims = [(6.0, 1.0, 300.0), (6.0, 1.0, 300.0), (6.0, 3.0, 300.0)];
        let exact = exact_shares(60.0, &claims);
        let mut sums = [0; 3];
        for _ in 0..20 {
            sim.round();
            sums.iter_mut().zip(TENANTS).for_each(|(sum, tenant)| *sum += sim.tenant_permits(tenant));
        }
        // Of the permits for shares below one connection, a sixth is moved and unused in each round.
        let total = f64::from(sums.iter().sum::<u32>());
        assert!(
            total >= 20.0 * 60.0 * 0.8,
            "{gateways} gateways: {total} of 1200 permits held over 20 rounds"
        );
        for ((tenant, sum), exact) in TENANTS.iter().zip(sums).zip(exact) {
            let (part, exact) = (f64::from(sum) / total, exact / 60.0);
            assert!(
                (part - exact).abs() <= 0.05 * exact,
                "{gateways} gateways, {tenant}: its part is {part}, but the exact one {exact}"
            );
        }
    }
}

#[test]
fn lent_permits_are_used_and_recalled_within_two_rounds() {
    let rules = r#"[{ "name": "f", "set": { "floor": 12, "lend": { "up_to": 6, "back_ms": 5000 } } }]"#;
    let mut sim = Sim::new(20, 10, rules);
    sim.set_demand_everywhere("oeste", 4, 10_000);
    (0..4).for_each(|_| drop(sim.round()));
    let borrower = sim.tenant_permits("oeste");
    assert!((47..=48).contains(&borrower), "{borrower} of 60 permits, six of them lent by each other tenant");
    sim.set_demand_everywhere("norte", 4, 10_000);
    (0..2).for_each(|_| drop(sim.round()));
    let lender = sim.tenant_permits("norte");
    assert!(lender >= 12, "{lender} permits, but the floor is 12");
}

#[test]
fn peaks_are_met_without_changes_if_averages_fit() {
    for gateways in [3u16, 50, 350] {
        let mut sim = Sim::new(gateways, u32::from(gateways), "[]");
        for tenant in TENANTS {
            sim.set_demand_everywhere(tenant, 2, 300);
        }
        (0..4).for_each(|_| drop(sim.round()));
        let changes: usize = (0..50).map(|_| sim.round().len()).sum();
        assert_eq!(changes, 0, "{gateways} gateways");
        assert!(sim.fleet.iter().all(|gateway| sim.server_permits(*gateway) == 6));
    }
}

#[test]
fn scarce_permits_rotate_within_the_longest_wait() {
    // Twelve connections for sixty gateways, each of which could use one all the time.
    let mut sim = Sim::new(60, 2, "[]");
    sim.set_demand_everywhere("sul", 1, 1_000);
    let mut last_served: BTreeMap<GatewayId, u64> = sim.fleet.iter().map(|gateway| (*gateway, 0)).collect();
    let mut longest = 0;
    for round in 1..200u64 {
        sim.round();
        for (gateway, last) in &mut last_served {
            if sim.server_permits(*gateway) > 0 {
                *last = round;
            }
            longest = longest.max(round - *last);
        }
    }
    // Each gateway's share is a fifth of a connection, in turns of six rounds; a recalled permit is granted a round
    // later.
    assert!(
        longest <= frostgauge_connection_budget::FairRotation::<GatewayId>::longest_wait_rounds(200, 6) + 2,
        "a gateway waited {longest} rounds"
    );
}
