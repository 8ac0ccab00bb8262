//! What stands before each attempt.

use frostgauge_consensus::{
    intersect_all, Class, Plan, RuleSource, Rules, Server, ServerState, Tenant, Version, RULES_FORMAT,
};
use frostgauge_fleet_agent::{AttemptGuard, AttemptRejection, IndexedRules, LeasedRules, RulesView};
use std::net::SocketAddr;
use std::sync::Arc;

const S: u64 = 1_000_000;
const CONFIRM: u64 = 400_000;

fn rules() -> Rules {
    let class = |ground| Class { cost_milli: 1_000, repeatable: true, on_fallback: ground };
    let server = |k: u16, state| Server { address: format!("127.0.0.1:{k}"), state, zone: "a".into() };
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

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn view(lease_until: Option<u64>) -> Arc<RulesView> {
    let rules = rules();
    let version = Version {
        number: 4,
        previous_hash: [0; 32],
        author: String::new(),
        reason: String::new(),
        time_ms: 0,
        rules,
    };
    let leased = lease_until.map(|until| LeasedRules {
        versions: [4].into(),
        expires_at: until,
        rules: Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules))),
    });
    let ground = IndexedRules::new(version.rules.fallback_rules(1), Some(&version.rules));
    Arc::new(RulesView {
        lease: leased,
        fallback_version: Some(4),
        fallback_rules: Arc::new(ground),
        permits: Arc::default(),
    })
}

fn guard(lease_until: Option<u64>) -> AttemptGuard {
    let mut guard = AttemptGuard::new(CONFIRM);
    guard.set_view(view(lease_until));
    guard
}

#[test]
fn under_a_lease_its_servers_get_work_until_its_time_and_not_a_microsecond_longer() {
    let mut g = guard(Some(5 * S));
    assert_eq!(g.authorize(5 * S - 1, "norte", "report", at(1)), Ok(RuleSource::Lease([4].into(), 5 * S)));
    // Nobody told it that the lease is over: the clock does.
    assert_eq!(g.authorize(5 * S, "norte", "report", at(1)), Err(AttemptRejection::NoLease));
    assert_eq!(
        g.authorize(5 * S, "norte", "read", at(1)),
        Err(AttemptRejection::ServerUnavailable),
        "no word of the server's own"
    );
    // Its part is the floor now: a unit a second.
    g.record_report("127.0.0.1:1", 6 * S, true);
    assert_eq!(g.authorize(6 * S + CONFIRM, "norte", "read", at(1)), Ok(RuleSource::Fallback(Some(4))));
    assert_eq!(
        g.authorize(7 * S + CONFIRM, "norte", "read", at(1)),
        Err(AttemptRejection::ServerUnavailable),
        "its word is too old"
    );
}

#[test]
fn what_the_rules_do_not_name_does_not_go() {
    let mut g = guard(Some(5 * S));
    assert_eq!(g.admit(1, "oeste", "read"), Err(AttemptRejection::UnknownTenant));
    assert_eq!(g.admit(1, "norte", "other"), Err(AttemptRejection::ClassNotAllowed));
    assert_eq!(g.authorize(1, "norte", "read", at(3)), Err(AttemptRejection::ServerUnavailable), "it drains");
    assert_eq!(
        g.authorize(1, "norte", "read", at(9)),
        Err(AttemptRejection::ServerUnavailable),
        "it is not named"
    );
    let mut g = guard(None);
    assert_eq!(g.admit(1, "sul", "read"), Err(AttemptRejection::NoLease), "it has no floor");
    assert_eq!(
        AttemptGuard::new(CONFIRM).admit(1, "norte", "read"),
        Err(AttemptRejection::NoLease),
        "nothing is known yet"
    );
}

#[test]
fn a_draining_servers_word_goes_before_the_record() {
    let mut g = guard(Some(9 * S));
    g.record_report("127.0.0.1:1", S, false);
    assert_eq!(g.authorize(2 * S, "norte", "read", at(1)), Err(AttemptRejection::ServerUnavailable));
    assert_eq!(g.eligible_servers(2 * S).map(|(n, _)| n.to_owned()).collect::<Vec<_>>(), ["s2"]);
}

#[test]
fn a_part_is_kept_over_any_time_and_nothing_is_taken_by_asking() {
    // Eight units a second over two gateways: four here, and no more than a second saved.
    let mut g = guard(Some(u64::MAX));
    let mut gone = 0;
    for now in (0..20 * S).step_by(10_000) {
        assert_eq!(g.admit(now, "norte", "read").is_ok(), g.admit(now, "norte", "read").is_ok());
        gone += u64::from(g.authorize(now, "norte", "read", at(1)).is_ok());
    }
    assert!((78..=81).contains(&gone), "{gone} in 20 s");
    while g.authorize(20 * S, "norte", "read", at(1)).is_ok() {}
    let Err(AttemptRejection::QuotaExhausted(wait)) = g.authorize(20 * S, "norte", "read", at(1)) else {
        panic!("it is used up")
    };
    assert!(g.authorize(20 * S + wait, "norte", "read", at(1)).is_ok(), "the wait that is told is enough");
    // After a rest a second's worth is there, not more.
    let rested = (0..9).filter(|_| g.authorize(60 * S, "norte", "read", at(1)).is_ok()).count();
    assert_eq!(rested, 4);
    // The second time for the same attempt takes nothing.
    assert!(g.reauthorize(60 * S, "norte", "read", at(1)).is_ok());
}

#[test]
fn a_part_under_one_request_a_second_still_passes_one_at_a_time() {
    let mut slow = rules();
    slow.plans.get_mut("p").expect("there").rate_milli = 200;
    slow.tenants.values_mut().for_each(|t| t.floor_milli = 0);
    let version = Version {
        number: 5,
        previous_hash: [0; 32],
        author: String::new(),
        reason: String::new(),
        time_ms: 0,
        rules: slow,
    };
    let rules = Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules)));
    let lease = LeasedRules { versions: [5].into(), expires_at: u64::MAX, rules };
    let mut g = AttemptGuard::new(CONFIRM);
    g.set_view(Arc::new(RulesView { lease: Some(lease), ..RulesView::default() }));
    let gone =
        (0..100 * S).step_by(50_000).filter(|now| g.authorize(*now, "norte", "read", at(1)).is_ok()).count();
    assert!((10..=11).contains(&gone), "a tenth of a unit a second: {gone}");
}

#[test]
fn on_ground_a_few_servers_are_asked_and_silent_ones_give_their_place_away() {
    let mut g = guard(Some(5 * S));
    assert_eq!(g.servers_to_probe(S, CONFIRM / 2, 1, 1), vec![], "with a lease nobody is asked");
    assert_eq!(g.servers_to_probe(5 * S - 1, CONFIRM / 2, 1, 1).len(), 1, "shortly before its end one is");
    let first = g.servers_to_probe(5 * S, 0, 1, 1);
    g.record_probe(&first[0].to_string(), 5 * S);
    assert_eq!(g.servers_to_probe(5 * S + 10_000, 0, 1, 1), vec![], "it was asked a moment ago");
    let next = g.servers_to_probe(5 * S + CONFIRM, 0, 1, 1);
    assert!(!next.is_empty() && next != first, "it said nothing: another is asked");
    // Of a fleet on ground not all ask the same.
    let lots: std::collections::BTreeSet<_> = (0..20).map(|me| g.servers_to_probe(9 * S, 0, me, 1)).collect();
    assert!(lots.len() > 1);
}
