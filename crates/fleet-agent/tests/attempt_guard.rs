//! The attempt guard under a lease and under fallback rules: which attempts it allows, their quota, and the servers it
//! probes.

use frostgauge_consensus::{
    intersect_all, Class, Plan, RuleSource, Rules, Server, ServerState, Tenant, Version, RULES_FORMAT,
};
use frostgauge_fleet_agent::{AttemptGuard, AttemptRejection, IndexedRules, LeasedRules, RulesView};
use std::net::SocketAddr;
use std::sync::Arc;

/// Microseconds.
const SECOND: u64 = 1_000_000;
/// How long a server's report is valid, microseconds.
const CONFIRMATION_VALIDITY: u64 = 400_000;

fn rules() -> Rules {
    let class = |on_fallback| Class { cost_milli: 1_000, repeatable: true, on_fallback };
    let server = |port: u16, state| Server { address: format!("127.0.0.1:{port}"), state, zone: "a".into() };
    let tenant = |floor_milli| Tenant {
        plan: "p".into(),
        classes: ["read".to_owned(), "report".to_owned()].into(),
        floor_milli,
    };
    Rules {
        format: RULES_FORMAT,
        classes: [
            ("read".into(), class(true)),
            ("report".into(), class(false)),
            ("other".into(), class(true)),
        ]
        .into(),
        plans: [("p".into(), Plan { rate_milli: 8_000, ceiling_milli: None })].into(),
        tenants: [("norte".into(), tenant(1_000)), ("sul".into(), tenant(0))].into(),
        servers: [
            ("s1".into(), server(1, ServerState::Ready)),
            ("s2".into(), server(2, ServerState::Ready)),
            ("s3".into(), server(3, ServerState::Draining)),
        ]
        .into(),
        gateways: [1, 2].into(),
        budgets: Default::default(),
    }
}

fn server_at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A view of version 4, with a lease that expires at the given time if there is one.
fn view(lease_expiry: Option<u64>) -> Arc<RulesView> {
    let rules = rules();
    let version = Version {
        number: 4,
        previous_hash: [0; 32],
        author: String::new(),
        reason: String::new(),
        time_ms: 0,
        rules,
    };
    let lease = lease_expiry.map(|expires_at| LeasedRules {
        versions: [4].into(),
        expires_at,
        rules: Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules))),
    });
    let fallback_rules = IndexedRules::new(version.rules.fallback_rules(1), Some(&version.rules));
    Arc::new(RulesView {
        lease,
        fallback_version: Some(4),
        fallback_rules: Arc::new(fallback_rules),
        permits: Arc::default(),
    })
}

fn guard_with_lease(lease_expiry: Option<u64>) -> AttemptGuard {
    let mut guard = AttemptGuard::new(CONFIRMATION_VALIDITY);
    guard.set_view(view(lease_expiry));
    guard
}

#[test]
fn leased_rules_apply_until_exactly_the_lease_expiry() {
    let mut guard = guard_with_lease(Some(5 * SECOND));
    assert_eq!(
        guard.authorize(5 * SECOND - 1, "norte", "report", server_at(1)),
        Ok(RuleSource::Lease([4].into(), 5 * SECOND))
    );
    // The guard is not notified of the expiry; the time passed to it is enough.
    assert_eq!(guard.authorize(5 * SECOND, "norte", "report", server_at(1)), Err(AttemptRejection::NoLease));
    assert_eq!(
        guard.authorize(5 * SECOND, "norte", "read", server_at(1)),
        Err(AttemptRejection::ServerUnavailable),
        "the server has not reported"
    );
    // The tenant's share is its floor now: one unit per second.
    guard.record_report("127.0.0.1:1", 6 * SECOND, true);
    assert_eq!(
        guard.authorize(6 * SECOND + CONFIRMATION_VALIDITY, "norte", "read", server_at(1)),
        Ok(RuleSource::Fallback(Some(4)))
    );
    assert_eq!(
        guard.authorize(7 * SECOND + CONFIRMATION_VALIDITY, "norte", "read", server_at(1)),
        Err(AttemptRejection::ServerUnavailable),
        "the server's report is too old"
    );
}

#[test]
fn what_the_rules_do_not_allow_is_rejected() {
    let mut guard = guard_with_lease(Some(5 * SECOND));
    assert_eq!(guard.admit(1, "oeste", "read"), Err(AttemptRejection::UnknownTenant));
    assert_eq!(guard.admit(1, "norte", "other"), Err(AttemptRejection::ClassNotAllowed));
    assert_eq!(
        guard.authorize(1, "norte", "read", server_at(3)),
        Err(AttemptRejection::ServerUnavailable),
        "the server drains"
    );
    assert_eq!(
        guard.authorize(1, "norte", "read", server_at(9)),
        Err(AttemptRejection::ServerUnavailable),
        "the rules have no such server"
    );
    let mut guard = guard_with_lease(None);
    assert_eq!(guard.admit(1, "sul", "read"), Err(AttemptRejection::NoLease), "the tenant has no floor");
    assert_eq!(
        AttemptGuard::new(CONFIRMATION_VALIDITY).admit(1, "norte", "read"),
        Err(AttemptRejection::NoLease),
        "the guard has no rules yet"
    );
}

#[test]
fn a_report_of_draining_overrides_the_leased_rules() {
    let mut guard = guard_with_lease(Some(9 * SECOND));
    guard.record_report("127.0.0.1:1", SECOND, false);
    assert_eq!(
        guard.authorize(2 * SECOND, "norte", "read", server_at(1)),
        Err(AttemptRejection::ServerUnavailable)
    );
    assert_eq!(
        guard.eligible_servers(2 * SECOND).map(|(name, _)| name.to_owned()).collect::<Vec<_>>(),
        ["s2"]
    );
}

#[test]
fn the_quota_share_holds_and_only_attempts_are_charged() {
    // Eight units per second over two gateways are four here, of which at most a second's worth accumulates.
    let mut guard = guard_with_lease(Some(u64::MAX));
    let mut sent = 0;
    for now in (0..20 * SECOND).step_by(10_000) {
        assert_eq!(guard.admit(now, "norte", "read").is_ok(), guard.admit(now, "norte", "read").is_ok());
        sent += u64::from(guard.authorize(now, "norte", "read", server_at(1)).is_ok());
    }
    assert!((78..=81).contains(&sent), "{sent} attempts in 20 s");
    while guard.authorize(20 * SECOND, "norte", "read", server_at(1)).is_ok() {}
    let Err(AttemptRejection::QuotaExhausted(wait)) =
        guard.authorize(20 * SECOND, "norte", "read", server_at(1))
    else {
        panic!("the quota share must be used up")
    };
    assert!(
        guard.authorize(20 * SECOND + wait, "norte", "read", server_at(1)).is_ok(),
        "the returned wait must be long enough"
    );
    // After 40 s without attempts, one second's worth is available and no more.
    let sent_after_pause =
        (0..9).filter(|_| guard.authorize(60 * SECOND, "norte", "read", server_at(1)).is_ok()).count();
    assert_eq!(sent_after_pause, 4);
    // Sending the same attempt again is not charged.
    assert!(guard.reauthorize(60 * SECOND, "norte", "read", server_at(1)).is_ok());
}

#[test]
fn a_share_below_one_request_per_second_admits_requests() {
    let mut low_rate = rules();
    low_rate.plans.get_mut("p").expect("the rules have this plan").rate_milli = 200;
    low_rate.tenants.values_mut().for_each(|tenant| tenant.floor_milli = 0);
    let version = Version {
        number: 5,
        previous_hash: [0; 32],
        author: String::new(),
        reason: String::new(),
        time_ms: 0,
        rules: low_rate,
    };
    let rules = Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules)));
    let lease = LeasedRules { versions: [5].into(), expires_at: u64::MAX, rules };
    let mut guard = AttemptGuard::new(CONFIRMATION_VALIDITY);
    guard.set_view(Arc::new(RulesView { lease: Some(lease), ..RulesView::default() }));
    let sent = (0..100 * SECOND)
        .step_by(50_000)
        .filter(|now| guard.authorize(*now, "norte", "read", server_at(1)).is_ok())
        .count();
    assert!((10..=11).contains(&sent), "{sent} attempts in 100 s at a tenth of a unit per second");
}

#[test]
fn unresponsive_servers_are_replaced_by_others_to_probe() {
    let mut guard = guard_with_lease(Some(5 * SECOND));
    assert_eq!(
        guard.servers_to_probe(SECOND, CONFIRMATION_VALIDITY / 2, 1, 1),
        vec![],
        "no server must be probed under a lease"
    );
    assert_eq!(
        guard.servers_to_probe(5 * SECOND - 1, CONFIRMATION_VALIDITY / 2, 1, 1).len(),
        1,
        "a server must be probed shortly before the lease expires"
    );
    let first = guard.servers_to_probe(5 * SECOND, 0, 1, 1);
    guard.record_probe(&first[0].to_string(), 5 * SECOND);
    assert_eq!(
        guard.servers_to_probe(5 * SECOND + 10_000, 0, 1, 1),
        vec![],
        "the server was probed a moment ago"
    );
    let next = guard.servers_to_probe(5 * SECOND + CONFIRMATION_VALIDITY, 0, 1, 1);
    assert!(!next.is_empty() && next != first, "a server that does not respond must be replaced");
    // The gateways of a fleet without leases do not all probe the same server.
    let probed: std::collections::BTreeSet<_> =
        (0..20).map(|gateway| guard.servers_to_probe(9 * SECOND, 0, gateway, 1)).collect();
    assert!(probed.len() > 1);
}
