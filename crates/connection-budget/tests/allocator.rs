//! Dealing, round after round, with gateways that give back at once what is called back: how near shares come to the
//! exact ones, computed apart, and how soon; that at rest nothing moves.

use frostgauge_connection_budget::{
    AllocationInput, Allocator, BudgetScope, CompiledPolicy, Demand, DemandByGroup, GatewayId, GroupDemand,
    Inventory, LedgerChange, PermitLedger, Policy, TenantClass,
};
use std::collections::{BTreeMap, BTreeSet};

const TENANTS: [&str; 3] = ["norte", "sul", "oeste"];

fn holder(tenant: &str) -> TenantClass {
    TenantClass { tenant: tenant.to_owned(), class: None }
}

struct Sim {
    policy: CompiledPolicy,
    ledger: PermitLedger,
    dealer: Allocator,
    wants: DemandByGroup,
    fleet: BTreeSet<GatewayId>,
    now: u64,
}

impl Sim {
    /// Six servers, of so many connections, for so many gateways; rules as JSON.
    fn new(gateways: u16, connections: u32, rules: &str) -> Sim {
        let text = format!(
            r#"{{ "budgets": {{ "all": {{ "connections": {connections}, "idle_ms": 1000, "attempt_ms": 1000, "turn_ms": 1000 }} }},
                 "rules": {rules} }}"#
        );
        let policy: Policy = serde_json::from_str(&text).expect("the policy's shape");
        let site = Inventory {
            tenants: TENANTS.map(|t| (t.to_owned(), "p".to_owned())).into(),
            classes: BTreeSet::new(),
            servers: (0..6).map(|k| (format!("s{k}"), String::new())).collect(),
        };
        let policy = CompiledPolicy::new(policy, &site).expect("sound");
        let mut ledger = PermitLedger::default();
        (0..6).for_each(|k| ledger.set_capacity(&BudgetScope::server(&format!("s{k}")), connections));
        let fleet: BTreeSet<GatewayId> = (1..=gateways).collect();
        fleet.iter().for_each(|g| ledger.begin_incarnation(*g, u64::from(*g)));
        let (dealer, wants, now) = (Allocator::default(), DemandByGroup::new(), 0);
        Sim { policy, ledger, dealer, wants, fleet, now }
    }

    /// A tenant wants so much at a gateway: at once, and on average in thousandths.
    fn want(&mut self, tenant: &str, gateway: GatewayId, peak: u32, mean_milli: u64) {
        let all: &mut GroupDemand = self.wants.entry("all".to_owned()).or_default();
        all.by_tenant.entry(holder(tenant)).or_default().insert(gateway, Demand { peak, mean_milli });
        let at = |h: &BTreeMap<GatewayId, Demand>| h.get(&gateway).map_or(0, |w| w.peak);
        let sum = all.by_tenant.values().map(at).sum();
        all.peak_by_gateway.insert(gateway, sum);
    }

    fn want_all(&mut self, tenant: &str, most: u32, mean_milli: u64) {
        for gateway in self.fleet.clone() {
            self.want(tenant, gateway, most, mean_milli);
        }
    }

    /// A round; what is called back is back before the next.
    fn round(&mut self) -> Vec<LedgerChange> {
        let hold = BTreeSet::new();
        let table = AllocationInput {
            policy: &self.policy,
            active_conditions: &hold,
            demand: &self.wants,
            fleet: &self.fleet,
            ledger: &self.ledger,
        };
        let moves = self.dealer.allocate(self.now, &table, 100_000);
        for change in &moves {
            let _ = change.apply(&mut self.ledger);
        }
        assert!(self.ledger.is_consistent());
        for gateway in &self.fleet {
            for (place, slots) in self.ledger.permits_of(*gateway).1 {
                if slots.target < slots.held {
                    let epoch = self.ledger.epoch(*gateway);
                    self.ledger.acknowledge(*gateway, u64::from(*gateway), epoch, &place, 0);
                }
            }
        }
        self.now += 1_000_000;
        moves
    }

    fn has(&self, tenant: &str) -> u32 {
        self.ledger.permits_at(&BudgetScope::tenant("all", &holder(tenant))).map(|(_, s)| s.target).sum()
    }

    fn at_servers(&self, gateway: GatewayId) -> u32 {
        (0..6).map(|k| self.ledger.permits(&BudgetScope::server(&format!("s{k}")), gateway).target).sum()
    }
}

/// Weighted max-min by filling up in small steps: floors first, then all by weight until each has what it wants.
fn exact(connections: f64, claims: &[(f64, f64, f64)]) -> Vec<f64> {
    let mut has: Vec<f64> = claims.iter().map(|(floor, _, wants)| floor.min(*wants)).collect();
    let (mut level, step) = (0.0, connections / 1e6);
    while has.iter().sum::<f64>() < connections && level < connections * 4.0 {
        level += step;
        for (has, (_, weight, wants)) in has.iter_mut().zip(claims) {
            *has = has.max((level * weight).min(*wants));
        }
    }
    has
}

#[test]
fn after_demand_turns_shares_are_the_exact_ones_within_two_rounds() {
    let rules = r#"[{ "name": "f", "set": { "floor": 6 } }, { "name": "w", "select": { "tenants": ["oeste"] }, "set": { "weight": 3 } }]"#;
    for gateways in [3u16, 50, 350] {
        let mut sim = Sim::new(gateways, 10, rules);
        let each = 300_000 / u64::from(gateways);
        sim.want_all("oeste", 2, each);
        (0..5).for_each(|_| drop(sim.round()));
        let kept = sim.has("oeste");
        assert!((47..=48).contains(&kept), "{kept} of 60: twelve are the others' floors");
        // All turn up at once.
        sim.want_all("norte", 2, each);
        sim.want_all("sul", 2, each);
        (0..2).for_each(|_| drop(sim.round()));
        let claims = [(6.0, 1.0, 300.0), (6.0, 1.0, 300.0), (6.0, 3.0, 300.0)];
        let exact = exact(60.0, &claims);
        let mut sums = [0; 3];
        for _ in 0..20 {
            sim.round();
            sums.iter_mut().zip(TENANTS).for_each(|(sum, t)| *sum += sim.has(t));
        }
        // Of parts under one, some are always changing hands: a sixth each round.
        let all = f64::from(sums.iter().sum::<u32>());
        assert!(all >= 20.0 * 60.0 * 0.8, "{gateways} gateways: {all} of 1200 held");
        for ((tenant, sum), exact) in TENANTS.iter().zip(sums).zip(exact) {
            let (part, exact) = (f64::from(sum) / all, exact / 60.0);
            assert!(
                (part - exact).abs() <= 0.05 * exact,
                "{gateways} gateways, {tenant}: {part}, {exact} exactly"
            );
        }
    }
}

#[test]
fn what_is_lent_is_had_by_others_and_back_in_the_next_round() {
    let rules = r#"[{ "name": "f", "set": { "floor": 12, "lend": { "up_to": 6, "back_ms": 5000 } } }]"#;
    let mut sim = Sim::new(20, 10, rules);
    sim.want_all("oeste", 4, 10_000);
    (0..4).for_each(|_| drop(sim.round()));
    assert!((47..=48).contains(&sim.has("oeste")), "{} of 60, with six lent by each", sim.has("oeste"));
    sim.want_all("norte", 4, 10_000);
    (0..2).for_each(|_| drop(sim.round()));
    assert!(sim.has("norte") >= 12, "{}: its floor is there", sim.has("norte"));
}

#[test]
fn where_there_is_enough_on_average_each_has_what_it_uses_at_once_and_nothing_moves() {
    for gateways in [3u16, 50, 350] {
        let mut sim = Sim::new(gateways, u32::from(gateways), "[]");
        for tenant in TENANTS {
            sim.want_all(tenant, 2, 300);
        }
        (0..4).for_each(|_| drop(sim.round()));
        let moved: usize = (0..50).map(|_| sim.round().len()).sum();
        assert_eq!(moved, 0, "{gateways} gateways");
        assert!(sim.fleet.iter().all(|g| sim.at_servers(*g) == 6));
    }
}

#[test]
fn too_few_for_all_go_round_and_nobody_waits_longer_than_is_stated() {
    // Twelve connections for sixty gateways, each of which could use one all the time.
    let mut sim = Sim::new(60, 2, "[]");
    sim.want_all("sul", 1, 1_000);
    let mut last: BTreeMap<GatewayId, u64> = sim.fleet.iter().map(|g| (*g, 0)).collect();
    let mut longest = 0;
    for round in 1..200u64 {
        sim.round();
        for (gateway, last) in &mut last {
            if sim.at_servers(*gateway) > 0 {
                *last = round;
            }
            longest = longest.max(round - *last);
        }
    }
    // A part of a fifth, in turns of six rounds; what is called back is there a round later.
    assert!(
        longest <= frostgauge_connection_budget::FairRotation::<GatewayId>::longest_wait_rounds(200, 6) + 2,
        "{longest} rounds"
    );
}
