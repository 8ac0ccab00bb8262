//! Rules and versions: which rules conflict, what fallback rules allow, which version may follow another, and how
//! versions come into force.

use frostgauge_connection_budget::{Budget, Policy, MAX_CONNECTIONS_PER_SERVER};
use frostgauge_consensus::{
    changed_paths, fallback_violations, find_conflicts, Class, Entry, Outcome, Plan, Proposal, Rules, Server,
    ServerState, StateMachine, Tenant, TimingSettings, Version, VersionError, RULES_FORMAT,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

prop_compose! {
    fn rules()(
        gateways in prop::collection::btree_set(1u16..8, 1..6),
        budget in 0u8..3,
        cost in 1u64..4, repeatable in any::<bool>(), on_fallback in any::<bool>(),
        rate in 100u64..300, ceiling_above_rate in prop::option::of(0u64..100), floor in 0u64..20,
        ready in prop::collection::vec(prop::option::of(any::<bool>()), 3),
        has_second_class in any::<bool>(), may_use_second_class in any::<bool>(),
    ) -> Rules {
        let mut classes = BTreeMap::from([("read".to_owned(), Class { cost_milli: cost, repeatable, on_fallback: true })]);
        if has_second_class {
            classes.insert("report".into(), Class { cost_milli: 2, repeatable: false, on_fallback });
        }
        let mut tenant_classes: BTreeSet<String> = ["read".to_owned()].into();
        if has_second_class && may_use_second_class {
            tenant_classes.insert("report".into());
        }
        let plan = Plan { rate_milli: rate, ceiling_milli: ceiling_above_rate.map(|above| rate + above) };
        let floor = floor.min(rate / gateways.len() as u64);
        let servers = ready.iter().enumerate().filter_map(|(k, is_ready)| {
            let state = if (*is_ready)? { ServerState::Ready } else { ServerState::Draining };
            Some((format!("s{k}"), Server { address: format!("10.0.0.{}:80", k + 1), state, zone: String::new() }))
        });
        Rules {
            format: RULES_FORMAT,
            classes,
            plans: [("plan".into(), plan)].into(),
            tenants: [(
                "sul".into(),
                Tenant { plan: "plan".into(), classes: tenant_classes, floor_milli: floor },
            )]
            .into(),
            servers: servers.collect(),
            gateways,
            budgets: budgets(budget, ready.iter().flatten().count()),
        }
    }
}

/// A policy of one of three kinds: 0 without a budget, 1 with a budget that limits nothing, 2 with one that does.
fn budgets(kind: u8, servers: usize) -> Policy {
    let connections = [0, MAX_CONNECTIONS_PER_SERVER, 10][usize::from(kind)];
    let (idle_ms, attempt_ms, rotation_ms) = (1_000, 1_000, 1_000);
    let budget = Budget { zone: None, connections, idle_ms, attempt_ms, rotation_ms };
    let has_budget = kind > 0 && servers > 0;
    let budgets = has_budget.then(|| ("all".to_owned(), budget));
    Policy { budgets: budgets.into_iter().collect(), ..Policy::default() }
}

proptest! {
    #[test]
    fn conflicts_are_symmetric_and_never_with_itself(a in rules(), b in rules()) {
        prop_assert!(a.validate().is_empty(), "{:?}", a.validate());
        prop_assert!(find_conflicts(&a, &a).is_empty());
        let paths = |x: &Rules, y: &Rules| {
            find_conflicts(x, y).into_iter().map(|conflict| conflict.path).collect::<BTreeSet<_>>()
        };
        prop_assert_eq!(paths(&a, &b), paths(&b, &a));
    }

    #[test]
    fn intersections_stay_within_both_rules_and_ceilings(a in rules(), b in rules()) {
        let mut ceiling_sum = 0;
        for gateway in a.gateways.union(&b.gateways) {
            let (under_a, under_b) = (a.effective_rules(*gateway), b.effective_rules(*gateway));
            let both = under_a.intersect(&under_b);
            prop_assert!(both.violations_of(&under_a).is_empty() && both.violations_of(&under_b).is_empty());
            ceiling_sum += both.tenants.get("sul").map_or(0, |limits| limits.ceiling_milli);
        }
        for rules in [&a, &b] {
            let plan = &rules.plans["plan"];
            prop_assert!(ceiling_sum <= plan.ceiling_milli.unwrap_or(plan.rate_milli));
        }
    }

    #[test]
    fn fallback_rules_are_allowed_by_all_that_may_follow(a in rules(), b in rules()) {
        for gateway in &a.gateways {
            prop_assert!(a.fallback_rules(*gateway).violations_of(&a.effective_rules(*gateway)).is_empty());
        }
        prop_assert!(fallback_violations(&a, &a).is_empty());
        if fallback_violations(&a, &b).is_empty() {
            for gateway in &a.gateways {
                for violation in a.fallback_rules(*gateway).violations_of(&b.effective_rules(*gateway)) {
                    // The only exception is a server that drains, which it reports itself.
                    let name = violation.path.strip_prefix("servers.").unwrap_or("");
                    let state = b.servers.get(name).map(|server| server.state);
                    prop_assert_eq!(state, Some(ServerState::Draining), "{}", violation);
                }
            }
        }
    }

    #[test]
    fn floors_and_shares_together_stay_within_the_ceiling(a in rules(), b in rules(), fallback_mask in any::<u8>()) {
        if fallback_violations(&a, &b).is_empty() {
            let mut ceiling_sum = 0;
            for gateway in &b.gateways {
                let on_fallback = a.gateways.contains(gateway) && fallback_mask & (1 << (gateway % 8)) != 0;
                let effective =
                    if on_fallback { a.fallback_rules(*gateway) } else { b.effective_rules(*gateway) };
                ceiling_sum += effective.tenants.get("sul").map_or(0, |limits| limits.ceiling_milli);
            }
            let plan = &b.plans["plan"];
            prop_assert!(ceiling_sum <= plan.ceiling_milli.unwrap_or(plan.rate_milli));
        }
    }

    #[test]
    fn versions_round_trip_and_changed_bytes_do_not_link(a in rules(), at in any::<prop::sample::Index>()) {
        let first = Version { number: 1, previous_hash: [0; 32], author: "a".into(), reason: "b".into(), time_ms: 7, rules: a };
        let second = Version { number: 2, previous_hash: first.hash(), ..first.clone() };
        prop_assert_eq!(Version::from_bytes(&second.to_bytes()), Ok(second.clone()));
        prop_assert!(second.follows(&first).is_ok());
        let mut bytes = first.to_bytes();
        let at = at.index(bytes.len());
        bytes[at] ^= 1;
        if let Ok(changed) = Version::from_bytes(&bytes) {
            prop_assert!(second.follows(&changed).is_err());
        }
        prop_assert!(Version::from_bytes(&bytes[..at]).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = (Version::from_bytes(&bytes), StateMachine::from_bytes(&bytes), frostgauge_consensus::decode(&bytes));
    }
}

/// Valid rules with one class, plan, tenant and server, for three gateways.
fn small_rules() -> Rules {
    let class = |cost_milli| Class { cost_milli, repeatable: true, on_fallback: true };
    Rules {
        format: RULES_FORMAT,
        classes: [("read".into(), class(1_000))].into(),
        plans: [("plan".into(), Plan { rate_milli: 9_000, ceiling_milli: None })].into(),
        tenants: [(
            "sul".into(),
            Tenant { plan: "plan".into(), classes: ["read".into()].into(), floor_milli: 1_000 },
        )]
        .into(),
        servers: [(
            "s1".into(),
            Server { address: "10.0.0.1:80".into(), state: ServerState::Ready, zone: String::new() },
        )]
        .into(),
        gateways: [1, 2, 3].into(),
        budgets: Default::default(),
    }
}

#[test]
fn each_kind_of_conflict_is_reported_with_its_path() {
    let mut cases: Vec<(&str, Rules)> = vec![];
    let mut case = |path, change: &dyn Fn(&mut Rules)| {
        let mut rules = small_rules();
        change(&mut rules);
        cases.push((path, rules));
    };
    case("classes.read.cost_milli", &|r| r.classes.get_mut("read").unwrap().cost_milli = 2_000);
    case("classes.read.repeatable", &|r| r.classes.get_mut("read").unwrap().repeatable = false);
    case("servers.s1", &|r| r.servers.get_mut("s1").unwrap().state = ServerState::Draining);
    case("servers.s1", &|r| r.servers.get_mut("s1").unwrap().address = "10.0.0.2:80".into());
    case("tenants.sul.sum", &|r| r.plans.get_mut("plan").unwrap().ceiling_milli = Some(12_000));
    case("tenants.sul.rate", &|r| r.plans.get_mut("plan").unwrap().rate_milli = 6_000);
    case("tenants.sul", &|r| r.tenants.clear());
    case("gateways.4", &|r| r.gateways.extend([4]));
    case("tenants.sul.classes.read", &|r| r.tenants.get_mut("sul").unwrap().classes.clear());
    for (path, rules) in cases {
        let conflicts = find_conflicts(&small_rules(), &rules);
        assert!(conflicts.iter().any(|conflict| conflict.path == path), "{path}: {conflicts:?}");
        assert!(!changed_paths(&small_rules(), &rules).is_empty(), "{path}");
    }
    // Different floors are no conflict: they apply under fallback rules only.
    let mut rules = small_rules();
    rules.tenants.get_mut("sul").unwrap().floor_milli = 10;
    assert!(find_conflicts(&small_rules(), &rules).is_empty());
}

#[test]
fn a_server_must_drain_before_it_is_removed_or_moved() {
    let (mut draining, mut removed, mut moved) = (small_rules(), small_rules(), small_rules());
    draining.servers.get_mut("s1").unwrap().state = ServerState::Draining;
    removed.servers.clear();
    moved.servers.get_mut("s1").unwrap().address = "10.0.0.9:80".into();
    assert!(
        fallback_violations(&small_rules(), &draining).is_empty()
            && fallback_violations(&draining, &removed).is_empty()
    );
    assert_eq!(fallback_violations(&small_rules(), &removed)[0].path, "servers.s1");
    assert_eq!(fallback_violations(&small_rules(), &moved)[0].path, "servers.s1");
}

#[test]
fn invalid_and_oversized_versions_are_rejected() {
    let mut rules = small_rules();
    rules.format = 9;
    let version = Version {
        number: 1,
        previous_hash: [0; 32],
        author: String::new(),
        reason: String::new(),
        time_ms: 0,
        rules,
    };
    let Err(VersionError::Invalid(errors)) = Version::from_bytes(&version.to_bytes()) else {
        panic!("a version of an unknown format is not rejected as invalid")
    };
    assert_eq!(errors[0].to_string(), "format: is 9, this program knows 2");
    assert!(matches!(
        Version::from_bytes(&vec![0; frostgauge_consensus::MAX_VERSION_BYTES + 1]),
        Err(VersionError::Unreadable(_))
    ));
}

fn publish(machine: &mut StateMachine, id: u64, rules: Rules) -> Outcome {
    let (base_version, author) = (machine.latest(), "editor".to_owned());
    let proposal = Proposal { id, base_version, author, reason: String::new(), time_ms: 0, rules };
    machine.apply(Entry::Publish(Box::new(proposal))).expect("the outcome of the proposal").1
}

/// A record of three voters and gateways with [`small_rules`] as its first version.
fn bootstrapped(canary_percent: u8) -> StateMachine {
    StateMachine::bootstrap([1, 2, 3].into(), small_rules(), canary_percent, 5).expect("valid rules")
}

#[test]
fn a_version_needs_attestations_of_a_majority_of_voters() {
    let mut machine = bootstrapped(0);
    let mut rules = small_rules();
    rules.plans.get_mut("plan").unwrap().rate_milli = 6_000;
    assert_eq!(publish(&mut machine, 1, rules), Outcome::Numbered(2));
    // One voter twice, and a gateway that does not vote.
    for voter in [1, 1, 9] {
        machine.apply(Entry::LeasesCleared { voter, version: 2 });
    }
    // Another voter, for a version that does not exist.
    machine.apply(Entry::LeasesCleared { voter: 2, version: 3 });
    assert_eq!((machine.in_force(), machine.next_version()), (1, Some(2)));
    machine.apply(Entry::LeasesCleared { voter: 3, version: 2 });
    assert_eq!((machine.in_force(), machine.is_fully_rolled_out(), machine.next_version()), (2, true, None));
}

#[test]
fn a_new_configuration_discards_earlier_attestations() {
    let mut machine = bootstrapped(0);
    let mut rules = small_rules();
    rules.plans.get_mut("plan").unwrap().rate_milli = 6_000;
    publish(&mut machine, 1, rules);
    machine.apply(Entry::LeasesCleared { voter: 1, version: 2 });
    machine.apply(Entry::ChangeConfiguration { voters: [1, 2, 3].into(), readmitted: BTreeMap::new() });
    machine.apply(Entry::LeasesCleared { voter: 2, version: 2 });
    assert_eq!(machine.in_force(), 1);
    machine.apply(Entry::LeasesCleared { voter: 1, version: 2 });
    assert_eq!(machine.in_force(), 2);
}

#[test]
fn versions_that_may_be_a_fallback_are_bounded_and_kept() {
    let mut machine = bootstrapped(0);
    let mut outcomes = vec![];
    for k in 0..40 {
        let mut rules = small_rules();
        rules.plans.get_mut("plan").unwrap().rate_milli = 9_000 + 3 * k;
        let latest = machine.latest();
        outcomes.push(publish(&mut machine, k, rules));
        for voter in 1..=2 {
            machine.apply(Entry::LeasesCleared { voter, version: latest + 1 });
        }
    }
    let Some(Outcome::TooManyVersions(kept)) = outcomes.last() else {
        panic!("the last proposal was not rejected for too many versions: {:?}", outcomes.last())
    };
    assert_eq!(*kept, frostgauge_consensus::MAX_VERSIONS);
    // Once all gateways have stored the newest version as their fallback, the earlier ones are dropped.
    let in_force = machine.in_force();
    machine.apply(Entry::FallbackStored { version: in_force, gateways: vec![1, 2, 3] });
    assert!(machine.versions().len() <= 2, "{:?}", machine.versions().keys());
    assert_eq!(StateMachine::from_bytes(&machine.to_bytes()), Ok(machine));
}

#[test]
fn settings_out_of_bounds_are_reported_with_their_paths() {
    let out_of_bounds = TimingSettings {
        within_ms: 10,
        drift_ppm: 500_000,
        confirm_ms: 99_000,
        canary_percent: 101,
        canary_ms: 1,
    };
    let errors = out_of_bounds.timing().expect_err("every setting is out of bounds");
    let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
    let keys = ["within_ms", "drift_ppm", "confirm_ms", "canary_percent", "canary_ms"];
    assert_eq!(paths, keys.map(|key| format!("accord.{key}")));
    let timing = TimingSettings::default().timing().expect("valid default settings");
    assert!(timing.lease_wait > timing.lease && timing.lease_wait + timing.lease < 3_100_000);
}
