//! What contradicts what, what ground is, and what may follow, over drawn rules.

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
        cost in 1u64..4, repeatable in any::<bool>(), ground in any::<bool>(),
        rate in 100u64..300, more in prop::option::of(0u64..100), floor in 0u64..20,
        ready in prop::collection::vec(prop::option::of(any::<bool>()), 3),
        second in any::<bool>(), both in any::<bool>(),
    ) -> Rules {
        let mut classes = BTreeMap::from([("read".to_owned(), Class { cost_milli: cost, repeatable, on_fallback: true })]);
        if second {
            classes.insert("report".into(), Class { cost_milli: 2, repeatable: false, on_fallback: ground });
        }
        let mut may: BTreeSet<String> = ["read".to_owned()].into();
        if second && both {
            may.insert("report".into());
        }
        let plan = Plan { rate_milli: rate, ceiling_milli: more.map(|m| rate + m) };
        let floor = floor.min(rate / gateways.len() as u64);
        let servers = ready.iter().enumerate().filter_map(|(k, r)| {
            let state = if (*r)? { ServerState::Ready } else { ServerState::Draining };
            Some((format!("s{k}"), Server { address: format!("10.0.0.{}:80", k + 1), state, zone: String::new() }))
        });
        Rules {
            format: RULES_FORMAT,
            classes,
            plans: [("plan".into(), plan)].into(),
            tenants: [("sul".into(), Tenant { plan: "plan".into(), classes: may, floor_milli: floor })].into(),
            servers: servers.collect(),
            gateways,
            budgets: budgets(budget, ready.iter().flatten().count()),
        }
    }
}

/// None, one that binds nobody, one that binds.
fn budgets(which: u8, servers: usize) -> Policy {
    let connections = [0, MAX_CONNECTIONS_PER_SERVER, 10][usize::from(which)];
    let (idle_ms, attempt_ms, turn_ms) = (1_000, 1_000, 1_000);
    let budget = Budget { zone: None, connections, idle_ms, attempt_ms, rotation_ms: turn_ms };
    let some = (which > 0 && servers > 0).then(|| ("all".to_owned(), budget));
    Policy { budgets: some.into_iter().collect(), ..Policy::default() }
}

proptest! {
    #[test]
    fn contradiction_is_mutual_and_nothing_contradicts_itself(a in rules(), b in rules()) {
        prop_assert!(a.validate().is_empty(), "{:?}", a.validate());
        prop_assert!(find_conflicts(&a, &a).is_empty());
        let paths = |x: &Rules, y: &Rules| find_conflicts(x, y).into_iter().map(|f| f.path).collect::<BTreeSet<_>>();
        prop_assert_eq!(paths(&a, &b), paths(&b, &a));
    }

    #[test]
    fn what_both_allow_exceeds_neither_and_parts_stay_within_both_sums(a in rules(), b in rules()) {
        let mut sum = 0;
        for gateway in a.gateways.union(&b.gateways) {
            let (x, y) = (a.effective_rules(*gateway), b.effective_rules(*gateway));
            let both = x.intersect(&y);
            prop_assert!(both.violations_of(&x).is_empty() && both.violations_of(&y).is_empty());
            sum += both.tenants.get("sul").map_or(0, |p| p.ceiling_milli);
        }
        for rules in [&a, &b] {
            let plan = &rules.plans["plan"];
            prop_assert!(sum <= plan.ceiling_milli.unwrap_or(plan.rate_milli));
        }
    }

    #[test]
    fn ground_is_allowed_by_its_own_version_and_by_all_that_may_follow(a in rules(), b in rules()) {
        for gateway in &a.gateways {
            prop_assert!(a.fallback_rules(*gateway).violations_of(&a.effective_rules(*gateway)).is_empty());
        }
        prop_assert!(fallback_violations(&a, &a).is_empty());
        if fallback_violations(&a, &b).is_empty() {
            for gateway in &a.gateways {
                for place in a.fallback_rules(*gateway).violations_of(&b.effective_rules(*gateway)) {
                    // Only a server that says itself that it drains.
                    let name = place.path.strip_prefix("servers.").unwrap_or("");
                    let state = b.servers.get(name).map(|s| s.state);
                    prop_assert_eq!(state, Some(ServerState::Draining), "{}", place);
                }
            }
        }
    }

    #[test]
    fn floors_on_ground_and_parts_of_the_others_stay_within_the_sum(a in rules(), b in rules(), mask in any::<u8>()) {
        if fallback_violations(&a, &b).is_empty() {
            let mut sum = 0;
            for gateway in &b.gateways {
                let on_ground = a.gateways.contains(gateway) && mask & (1 << (gateway % 8)) != 0;
                let allowed = if on_ground { a.fallback_rules(*gateway) } else { b.effective_rules(*gateway) };
                sum += allowed.tenants.get("sul").map_or(0, |p| p.ceiling_milli);
            }
            let plan = &b.plans["plan"];
            prop_assert!(sum <= plan.ceiling_milli.unwrap_or(plan.rate_milli));
        }
    }

    #[test]
    fn a_version_reads_as_it_was_written_and_no_changed_byte_links(a in rules(), at in any::<prop::sample::Index>()) {
        let first = Version { number: 1, previous_hash: [0; 32], author: "a".into(), reason: "b".into(), time_ms: 7, rules: a };
        let second = Version { number: 2, previous_hash: first.hash(), ..first.clone() };
        prop_assert_eq!(Version::from_bytes(&second.to_bytes()), Ok(second.clone()));
        prop_assert!(second.follows(&first).is_ok());
        let mut bytes = first.to_bytes();
        let at = at.index(bytes.len());
        bytes[at] ^= 1;
        if let Ok(other) = Version::from_bytes(&bytes) {
            prop_assert!(second.follows(&other).is_err());
        }
        prop_assert!(Version::from_bytes(&bytes[..at]).is_err());
    }

    #[test]
    fn anything_at_all_is_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = (Version::from_bytes(&bytes), StateMachine::from_bytes(&bytes), frostgauge_consensus::decode(&bytes));
    }
}

fn some() -> Rules {
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
fn each_kind_of_contradiction_is_told_with_its_place() {
    let mut list: Vec<(&str, Rules)> = vec![];
    let mut with = |place, change: &dyn Fn(&mut Rules)| {
        let mut rules = some();
        change(&mut rules);
        list.push((place, rules));
    };
    with("classes.read.cost_milli", &|r| r.classes.get_mut("read").unwrap().cost_milli = 2_000);
    with("classes.read.repeatable", &|r| r.classes.get_mut("read").unwrap().repeatable = false);
    with("servers.s1", &|r| r.servers.get_mut("s1").unwrap().state = ServerState::Draining);
    with("servers.s1", &|r| r.servers.get_mut("s1").unwrap().address = "10.0.0.2:80".into());
    with("tenants.sul.sum", &|r| r.plans.get_mut("plan").unwrap().ceiling_milli = Some(12_000));
    with("tenants.sul.rate", &|r| r.plans.get_mut("plan").unwrap().rate_milli = 6_000);
    with("tenants.sul", &|r| r.tenants.clear());
    with("gateways.4", &|r| r.gateways.extend([4]));
    with("tenants.sul.classes.read", &|r| r.tenants.get_mut("sul").unwrap().classes.clear());
    for (place, rules) in list {
        let places = find_conflicts(&some(), &rules);
        assert!(places.iter().any(|f| f.path == place), "{place}: {places:?}");
        assert!(!changed_paths(&some(), &rules).is_empty());
    }
    // A floor is ground's alone.
    let mut rules = some();
    rules.tenants.get_mut("sul").unwrap().floor_milli = 10;
    assert!(find_conflicts(&some(), &rules).is_empty());
}

#[test]
fn a_server_drains_before_it_vanishes_and_a_class_leaves_ground_before_it_goes() {
    let (mut drains, mut gone, mut moved) = (some(), some(), some());
    drains.servers.get_mut("s1").unwrap().state = ServerState::Draining;
    gone.servers.clear();
    moved.servers.get_mut("s1").unwrap().address = "10.0.0.9:80".into();
    assert!(
        fallback_violations(&some(), &drains).is_empty() && fallback_violations(&drains, &gone).is_empty()
    );
    assert_eq!(fallback_violations(&some(), &gone)[0].path, "servers.s1");
    assert_eq!(fallback_violations(&some(), &moved)[0].path, "servers.s1");
}

#[test]
fn a_version_of_another_format_or_with_faults_is_not_taken() {
    let mut rules = some();
    rules.format = 9;
    let version = Version {
        number: 1,
        previous_hash: [0; 32],
        author: String::new(),
        reason: String::new(),
        time_ms: 0,
        rules,
    };
    let Err(VersionError::Invalid(faults)) = Version::from_bytes(&version.to_bytes()) else {
        panic!("it was taken")
    };
    assert_eq!(faults[0].to_string(), "format: is 9, this program knows 2");
    assert!(matches!(
        Version::from_bytes(&vec![0; frostgauge_consensus::MAX_VERSION_BYTES + 1]),
        Err(VersionError::Unreadable(_))
    ));
}

fn publish(machine: &mut StateMachine, id: u64, rules: Rules) -> Outcome {
    let (base, author) = (machine.latest(), "editor".to_owned());
    let proposal = Proposal { id, base_version: base, author, reason: String::new(), time_ms: 0, rules };
    machine.apply(Entry::Publish(Box::new(proposal))).expect("an outcome").1
}

fn machine(canary_percent: u8) -> StateMachine {
    StateMachine::bootstrap([1, 2, 3].into(), some(), canary_percent, 5).expect("good rules")
}

#[test]
fn a_version_comes_into_force_by_a_majority_of_keepers_and_not_by_one_keeper_twice() {
    let mut m = machine(0);
    let mut rules = some();
    rules.plans.get_mut("plan").unwrap().rate_milli = 6_000;
    assert_eq!(publish(&mut m, 1, rules), Outcome::Numbered(2));
    for keeper in [1, 1, 9] {
        m.apply(Entry::LeasesCleared { voter: keeper, version: 2 });
    }
    m.apply(Entry::LeasesCleared { voter: 2, version: 3 });
    assert_eq!((m.in_force(), m.next_version()), (1, Some(2)));
    m.apply(Entry::LeasesCleared { voter: 3, version: 2 });
    assert_eq!((m.in_force(), m.is_fully_rolled_out(), m.next_version()), (2, true, None));
}

#[test]
fn a_new_configuration_of_keepers_forgets_what_the_old_ones_said() {
    let mut m = machine(0);
    let mut rules = some();
    rules.plans.get_mut("plan").unwrap().rate_milli = 6_000;
    publish(&mut m, 1, rules);
    m.apply(Entry::LeasesCleared { voter: 1, version: 2 });
    m.apply(Entry::ChangeConfiguration { voters: [1, 2, 3].into(), readmitted: BTreeMap::new() });
    m.apply(Entry::LeasesCleared { voter: 2, version: 2 });
    assert_eq!(m.in_force(), 1);
    m.apply(Entry::LeasesCleared { voter: 1, version: 2 });
    assert_eq!(m.in_force(), 2);
}

#[test]
fn versions_that_may_be_somebodys_ground_are_bounded_and_kept() {
    let mut m = machine(0);
    let mut told = vec![];
    for k in 0..40 {
        let mut rules = some();
        rules.plans.get_mut("plan").unwrap().rate_milli = 9_000 + 3 * k;
        let latest = m.latest();
        told.push(publish(&mut m, k, rules));
        (1..=2).for_each(|keeper| drop(m.apply(Entry::LeasesCleared { voter: keeper, version: latest + 1 })));
    }
    assert!(
        matches!(told.last(), Some(Outcome::TooManyVersions(n)) if *n == frostgauge_consensus::MAX_VERSIONS)
    );
    // Once all stand on the newest, the old ones go.
    let on = m.in_force();
    m.apply(Entry::FallbackStored { version: on, gateways: vec![1, 2, 3] });
    assert!(m.versions().len() <= 2, "{:?}", m.versions().keys());
    assert_eq!(StateMachine::from_bytes(&m.to_bytes()), Ok(m));
}

#[test]
fn settings_out_of_bounds_are_told_with_their_paths() {
    let bad = TimingSettings {
        within_ms: 10,
        drift_ppm: 500_000,
        confirm_ms: 99_000,
        canary_percent: 101,
        canary_ms: 1,
    };
    let faults = bad.timing().expect_err("all of it is wrong");
    let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
    let all = ["within_ms", "drift_ppm", "confirm_ms", "canary_percent", "canary_ms"];
    assert_eq!(paths, all.map(|p| format!("accord.{p}")));
    let tuning = TimingSettings::default().timing().expect("the defaults");
    assert!(tuning.lease_wait > tuning.lease && tuning.lease_wait + tuning.lease < 3_100_000);
}
