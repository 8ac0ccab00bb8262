//! Time that the checks of the attempt guard add to a request: its admission, the authorization of an attempt, and the
//! accounting of its connection.

use criterion::{criterion_group, criterion_main, Criterion};
use frostgauge_connection_budget::{
    Budget, BudgetScope, PermitCounts, PermitGrant, Policy, ReceivedGrants, TenantClass,
};
use frostgauge_consensus::{
    intersect_all, Class, Plan, Rules, Server, ServerState, Tenant, Version, RULES_FORMAT,
};
use frostgauge_fleet_agent::{AttemptGuard, IndexedRules, LeasedRules, RulesView};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;

fn rules(servers: u16, tenants: u32) -> Rules {
    let class = Class { cost_milli: 1, repeatable: true, on_fallback: true };
    let server = |k: u16| {
        let address = SocketAddr::from(([10, 0, (k >> 8) as u8, k as u8], 80)).to_string();
        (format!("s{k}"), Server { address, state: ServerState::Ready, zone: String::new() })
    };
    let tenant = |k: u32| {
        let classes = ["read".to_owned()].into();
        (format!("t{k}"), Tenant { plan: "p".into(), classes, floor_milli: 0 })
    };
    Rules {
        format: RULES_FORMAT,
        classes: [("read".into(), class)].into(),
        plans: [("p".into(), Plan { rate_milli: u64::MAX >> 20, ceiling_milli: None })].into(),
        tenants: (0..tenants).map(tenant).collect(),
        servers: (0..servers).map(server).collect(),
        gateways: [1].into(),
        budgets: Default::default(),
    }
}

fn check_attempts(c: &mut Criterion) {
    for (servers, tenants) in [(14, 40), (400, 400), (1_024, 5_000)] {
        let rules = rules(servers, tenants);
        let (author, reason) = (String::new(), String::new());
        let version = Version { number: 1, previous_hash: [0; 32], author, reason, time_ms: 0, rules };
        let rules = Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules)));
        let lease = LeasedRules { versions: [1].into(), expires_at: u64::MAX, rules };
        let mut guard = AttemptGuard::new(1_000_000);
        guard.set_view(Arc::new(RulesView { lease: Some(lease), ..RulesView::default() }));
        let (mut now, server) = (0, SocketAddr::from(([10, 0, 0, 7], 80)));
        c.bench_function(&format!("admit and authorize, {servers} servers, {tenants} tenants"), |b| {
            b.iter(|| {
                now += 1_000;
                let admitted = guard.admit(now, black_box("t17"), "read").is_ok();
                admitted && guard.authorize(now, black_box("t17"), "read", server).is_ok()
            });
        });
    }
}

/// Counts a connection as opened and closed for a request, where servers have budgets.
fn count_connections(c: &mut Criterion) {
    for (servers, tenants) in [(14u16, 40u32), (400, 400)] {
        let budget =
            Budget { zone: None, connections: 9, idle_ms: 9_000, attempt_ms: 9_000, rotation_ms: 1_000 };
        let budgets = Policy { budgets: [("all".to_owned(), budget)].into(), ..Policy::default() };
        let rules = Rules { budgets, ..rules(servers, tenants) };
        let (author, reason) = (String::new(), String::new());
        let version = Version { number: 1, previous_hash: [0; 32], author, reason, time_ms: 0, rules };
        let rules = Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules)));
        let lease = LeasedRules { versions: [1].into(), expires_at: u64::MAX, rules };
        let mut grants = ReceivedGrants::default();
        grants.set_quorums([(1, ([1, 2, 3].into(), 2))].into());
        let counts = PermitCounts { held: 2, target: 2, fallback: 0 };
        let at_servers = (0..servers).map(|k| (BudgetScope::server(&format!("s{k}")), counts));
        let tenant_class = |k: u32| TenantClass { tenant: format!("t{k}"), class: None };
        let of_tenants = (0..tenants).map(|k| (BudgetScope::tenant("all", &tenant_class(k)), counts));
        let permits: Vec<_> = at_servers.chain(of_tenants).collect();
        (1..=3).for_each(|voter| {
            grants.receive(voter, 1, PermitGrant::Current(1, permits.clone()), u64::MAX);
        });
        let mut guard = AttemptGuard::new(1_000_000);
        guard.set_view(Arc::new(RulesView {
            lease: Some(lease),
            permits: Arc::new(grants),
            ..RulesView::default()
        }));
        let (mut now, server) = (0, SocketAddr::from(([10, 0, 0, 7], 80)));
        c.bench_function(&format!("a permit for a request, {servers} servers, {tenants} tenants"), |b| {
            b.iter(|| {
                now += 1_000;
                let permit =
                    guard.permit(now, black_box("t17"), "read", server).expect("the server is known");
                guard.begin_demand(now, &permit);
                let allowed = guard.try_open_connection(now, &permit) && guard.may_use(now, &permit);
                guard.record_connection_closed(&permit);
                guard.end_demand(now, &permit);
                allowed
            });
        });
    }
}

criterion_group!(benches, check_attempts, count_connections);
criterion_main!(benches);
