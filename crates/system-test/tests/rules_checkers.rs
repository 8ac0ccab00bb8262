//! The checks of agreed rules must fail: each planted fault is found, and the same records without it pass.

use frostgauge_connection_budget::{Budget, Policy};
use frostgauge_consensus::{Class, Plan, RuleSource, Rules, Server, ServerState, Tenant, RULES_FORMAT};
use frostgauge_system_test::checks::Recorded;
use frostgauge_system_test::rules_checks::{check, read, record, Terms};
use frostgauge_test_servers::ledger::{Line, What};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const S: u64 = 1_000_000;
const T: u64 = 1_000 * S;

fn rules(sum: u64, ready: bool) -> Rules {
    let all: BTreeSet<String> = ["read".to_owned()].into();
    let state = if ready { ServerState::Ready } else { ServerState::Draining };
    Rules {
        format: RULES_FORMAT,
        classes: [("read".into(), Class { cost_milli: 1_000, repeatable: true, on_fallback: true })].into(),
        plans: [("p".into(), Plan { rate_milli: sum, ceiling_milli: None })].into(),
        tenants: [("vale".into(), Tenant { plan: "p".into(), classes: all, floor_milli: 500 })].into(),
        servers: [("n0".into(), Server { address: "127.0.0.1:7000".into(), state, zone: String::new() })]
            .into(),
        gateways: [0, 1].into(),
        budgets: Default::default(),
    }
}

fn node() -> SocketAddr {
    "127.0.0.1:7000".parse().expect("an address")
}

fn terms() -> Terms {
    Terms {
        versions: [(1, rules(8_000, true)), (2, rules(4_000, true)), (3, rules(4_000, false))].into(),
        names: [(node(), "n0".to_owned())].into(),
        within: 2 * S,
        asked: BTreeMap::from([(2, T)]),
    }
}

fn line(t: u64, gateway: u16, rules: &str) -> Line {
    Line {
        t,
        what: What::Recv,
        request: format!("{gateway}-1-{t}"),
        attempt: 0,
        insurer: "vale".into(),
        class: "read".into(),
        op: t.to_string(),
        units: 1.0,
        rules: rules.into(),
    }
}

fn found(lines: Vec<Line>) -> Vec<String> {
    let nodes = [Recorded { node: node(), zone: "a".into(), started: 0, lines }];
    let (found, _) = check(&nodes, &terms());
    found.into_values().flatten().collect()
}

#[test]
fn a_gateway_that_acts_on_under_an_older_version_is_found() {
    let sound = vec![line(T, 0, "lease 1"), line(T + S, 0, "lease 2"), line(T + 2 * S, 1, "lease 1")];
    assert_eq!(found(sound), Vec::<String>::new());
    let late = vec![line(T, 0, "lease 1"), line(T + S, 0, "lease 2"), line(T + 4 * S, 1, "lease 1")];
    assert_eq!(found(late).len(), 1);
    // Under both at once nothing is contradicted, however late; on ground neither.
    let between =
        vec![line(T + S, 0, "lease 2"), line(T + 4 * S, 1, "lease 1 2"), line(T + 5 * S, 1, "ground 1")];
    assert_eq!(found(between), Vec::<String>::new());
    // A server that drains by the law gets nothing under a lease.
    let drained = vec![line(T + S, 0, "lease 3"), line(T + 4 * S, 1, "lease 3")];
    assert_eq!(found(drained).len(), 1, "both are told at most once each, the first is within the promise");
}

#[test]
fn requests_without_a_stamp_or_under_no_version_are_found() {
    assert_eq!(found(vec![line(T, 0, "")]).len(), 1);
    assert_eq!(found(vec![line(T, 0, "lease")]).len(), 1);
    assert_eq!(found(vec![line(T, 0, "lease 9")]).len(), 1);
    assert_eq!(found(vec![line(T, 0, "ground 1")]).len(), 0);
    assert_eq!(read("lease 4 5"), Some(RuleSource::Lease([4, 5].into(), 0)));
    assert_eq!(read("ground 0"), Some(RuleSource::Fallback(None)));
    assert_eq!(read("lease x"), None);
}

#[test]
fn a_sum_that_gateways_pass_together_is_found() {
    // Four units a second over both, and a second saved up at each: five seconds bear 24.
    let at = |k: u64, n: u64| line(T + k * 5 * S / n, (k % 2) as u16, "lease 2");
    assert_eq!(found((0..23).map(|k| at(k, 23)).collect()), Vec::<String>::new());
    assert_eq!(found((0..40).map(|k| at(k, 40)).collect()).len(), 1);
}

#[test]
fn a_version_lost_changed_or_told_twice_is_found() {
    let (one, two) = (rules(8_000, true), rules(4_000, true));
    let told = [(1, one.clone()), (2, two.clone())];
    let at = |number, rules: &Rules| vec![(0, 2, two.clone()), (1, number, rules.clone())];
    assert_eq!(record(&told, &at(2, &two)), Vec::<String>::new());
    assert_eq!(record(&told, &at(3, &one)), Vec::<String>::new(), "a later one that nobody asked for");
    assert_eq!(record(&told, &at(1, &one)).len(), 1, "one gateway never came to it");
    assert_eq!(record(&told, &at(2, &one)).len(), 1, "it says something else there");
    let twice = [(1, one.clone()), (2, one), (2, two.clone())];
    assert_eq!(record(&twice, &at(2, &two)).len(), 1, "told twice");
    assert_eq!(record(&told, &[]).len(), 1, "nobody can be asked");
}

#[test]
fn a_node_with_more_connections_than_its_budget_is_found() {
    let with = |most: u32| {
        let (idle_ms, attempt_ms, turn_ms) = (1_000, 1_000, 1_000);
        let budget = Budget { zone: None, connections: most, idle_ms, attempt_ms, rotation_ms: turn_ms };
        let budgets = Policy { budgets: [("all".to_owned(), budget)].into(), ..Policy::default() };
        Rules { budgets, ..rules(8_000, true) }
    };
    // Halved by the second version, which was asked for at T.
    let terms = Terms { versions: [(1, with(4)), (2, with(2))].into(), ..terms() };
    let seen =
        |t: u64, what: What, from: u64| Line { what, request: format!("10.0.0.1:{from}"), ..line(t, 0, "") };
    let found = |lines: Vec<Line>| {
        let nodes = [Recorded { node: node(), zone: "a".into(), started: 0, lines }];
        check(&nodes, &terms).0.remove("budgets").unwrap_or_default()
    };
    let opens = |t: u64, n: u64| (0..n).map(move |k| seen(t + k, What::Open, k));
    assert_eq!(found(opens(T - S, 4).collect()), Vec::<String>::new());
    assert_eq!(found(opens(T - S, 5).collect()).len(), 1, "one too many");
    let closed = opens(T - S, 4).chain([seen(T, What::Shut, 2)]).chain([seen(T + 1, What::Open, 9)]);
    assert_eq!(found(closed.collect()), Vec::<String>::new(), "one for another");
    let own = opens(T - S, 5).chain([seen(T, What::Control, 4)]);
    assert_eq!(found(own.collect()), Vec::<String>::new(), "the script's own do not count");
    // Once all that went by the first version is over, the second holds.
    let (late, later) = (T + 5 * S, T + 60 * S);
    assert_eq!(found(opens(late, 4).collect()), Vec::<String>::new());
    assert_eq!(found(opens(later, 3).collect()).len(), 1);
}
