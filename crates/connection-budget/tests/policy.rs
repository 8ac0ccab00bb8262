//! The policy's check: what is wrong is told with its path, what is sound compiles to the terms that it says.

use frostgauge_connection_budget::{CompiledPolicy, Inventory, Policy, PolicyError, TenantClass, Terms};
use std::collections::BTreeSet;

fn site() -> Inventory {
    let tenant = |name: &str, plan: &str| (name.to_owned(), plan.to_owned());
    Inventory {
        tenants: [tenant("norte", "base"), tenant("sul", "base"), tenant("oeste", "alargado")].into(),
        classes: ["read".to_owned(), "photo".to_owned()].into(),
        servers: (0..4).map(|k| (format!("s{k}"), if k < 2 { "a" } else { "b" }.to_owned())).collect(),
    }
}

fn policy(text: &str) -> Policy {
    serde_json::from_str(text).expect("the policy's shape")
}

/// Two groups of two servers with ten connections each; what differs is put in place of RULES and CONDITIONS.
fn with(rules: &str, conditions: &str) -> Result<CompiledPolicy, Vec<PolicyError>> {
    let text = r#"{
        "budgets": { "a": { "zone": "a", "connections": 10, "idle_ms": 5000 }, "rest": { "connections": 10, "idle_ms": 5000 } },
        "conditions": CONDITIONS, "rules": RULES }"#;
    CompiledPolicy::new(policy(&text.replace("RULES", rules).replace("CONDITIONS", conditions)), &site())
}

fn faults(rules: &str, conditions: &str) -> Vec<String> {
    with(rules, conditions).err().into_iter().flatten().map(|f| f.to_string()).collect()
}

fn terms(c: &CompiledPolicy, budget: &str, tenant: &str, class: Option<&str>, hold: &[&str]) -> Terms {
    let holder = TenantClass { tenant: tenant.to_owned(), class: class.map(str::to_owned) };
    let hold: BTreeSet<String> = hold.iter().map(|h| (*h).to_owned()).collect();
    let found = c.terms(budget, &hold).find(|(h, _)| **h == holder).map(|(_, t)| t);
    found.expect("the holder")
}

const DARK: &str = r#"{ "dark": { "zone_dark": { "zone": "a", "for_ms": 500, "over_ms": 5000 } } }"#;

#[test]
fn later_rules_go_before_earlier_ones_field_by_field_and_each_share_says_which_made_it() {
    let rules = r#"[
        { "name": "all", "set": { "weight": 2, "ceiling": 8 } },
        { "name": "large", "select": { "plans": ["alargado"] }, "set": { "floor": 4 } },
        { "name": "in the dark", "when": ["dark"], "select": { "plans": ["alargado"] }, "set": { "floor": 6, "weight": 5 } },
        { "name": "photos", "select": { "classes": ["photo"] }, "set": { "ceiling": 2 } }]"#;
    let c = with(rules, DARK).expect("sound");
    assert_eq!((c.total_connections("a"), c.servers("rest").len()), (20, 2));
    let quiet = terms(&c, "a", "oeste", None, &[]);
    assert_eq!((quiet.floor, quiet.weight, quiet.ceiling), (4, 2, Some(8)));
    assert_eq!(
        (quiet.sources.floor, quiet.sources.weight, quiet.sources.ceiling),
        (Some(1), Some(0), Some(0))
    );
    let dark = terms(&c, "a", "oeste", None, &["dark"]);
    assert_eq!((dark.floor, dark.weight, dark.ceiling), (6, 5, Some(8)));
    assert_eq!((dark.sources.floor, dark.sources.weight), (Some(2), Some(2)));
    // A class that a rule names has terms of its own, from rules that name it alone.
    let photo = terms(&c, "rest", "norte", Some("photo"), &[]);
    assert_eq!((photo.floor, photo.weight, photo.ceiling, photo.sources.ceiling), (0, 1, Some(2), Some(3)));
}

#[test]
fn floors_that_do_not_fit_under_some_combination_are_told_with_the_rules_and_the_condition() {
    let rules = r#"[
        { "name": "base", "select": { "plans": ["base"] }, "set": { "floor": 4 } },
        { "name": "large", "select": { "plans": ["alargado"] }, "set": { "floor": 12 } },
        { "name": "large in the dark", "when": ["dark"], "select": { "plans": ["alargado"] }, "set": { "floor": 13 } }]"#;
    let told = faults(rules, DARK);
    assert_eq!(told.len(), 2, "at both groups, and in the dark alone: {told:?}");
    assert!(
        told[0].starts_with("rules[2].set.floor: floors at 'a' add up to 21, it has 20, when dark hold: "),
        "{told:?}"
    );
    assert!(told[0].contains("rules[2] 'large in the dark' (13) and rules[0] 'base' (8)"), "{told:?}");
    let fits = rules.replace("13", "12");
    assert!(faults(&fits, DARK).is_empty(), "{:?}", faults(&fits, DARK));
}

#[test]
fn hours_that_never_meet_need_not_fit_together() {
    let hours = r#"{ "day": { "hours": { "from_min": 480, "to_min": 1200 } }, "night": { "hours": { "from_min": 1200, "to_min": 480 } } }"#;
    let rules = r#"[
        { "name": "by day", "when": ["day"], "select": { "tenants": ["norte"] }, "set": { "floor": 15 } },
        { "name": "by night", "when": ["night"], "select": { "tenants": ["sul"] }, "set": { "floor": 15 } }]"#;
    assert_eq!(faults(rules, hours), Vec::<String>::new());
    let overlap = hours.replace("\"from_min\": 1200", "\"from_min\": 1100");
    assert!(faults(rules, &overlap)[0].contains("when day, night hold"), "{:?}", faults(rules, &overlap));
    // What no minute has is a rule that never holds.
    let never = r#"[{ "name": "never", "when": ["day", "night"], "set": { "weight": 2 } }]"#;
    assert!(faults(never, hours)[0].contains("'never' never holds"), "{:?}", faults(never, hours));
}

#[test]
fn each_fault_has_its_path() {
    let cases = [
        (
            r#"[{ "name": "x", "select": { "tenants": ["este"] }, "set": { "floor": 1 } }]"#,
            "{}",
            "rules[0].select.tenants: there is no tenant 'este'",
        ),
        (
            r#"[{ "name": "x", "select": { "plans": ["p"] }, "set": { "floor": 1 } }]"#,
            "{}",
            "rules[0].select.plans: there is no plan 'p'",
        ),
        (
            r#"[{ "name": "x", "select": { "classes": ["c"] }, "set": { "floor": 1 } }]"#,
            "{}",
            "rules[0].select.classes: there is no class 'c'",
        ),
        (
            r#"[{ "name": "x", "select": { "zones": ["z"] }, "set": { "floor": 1 } }]"#,
            "{}",
            "rules[0].select.zones: there is no zone 'z'",
        ),
        (
            r#"[{ "name": "x", "when": ["!y"], "set": { "floor": 1 } }]"#,
            "{}",
            "rules[0].when: there is no condition 'y'",
        ),
        (r#"[{ "name": "x", "set": {} }]"#, "{}", "rules[0].set: is empty"),
        (
            r#"[{ "name": "x", "set": { "weight": 1 } }, { "name": "x", "set": { "floor": 1 } }]"#,
            "{}",
            "rules[1].name: 'x' is that of rules[0] too",
        ),
        (
            r#"[{ "name": "x", "set": { "lend": { "up_to": 1, "back_ms": 0 } } }]"#,
            "{}",
            "rules[0].set.lend.back_ms",
        ),
        (
            r#"[{ "name": "x", "set": { "floor": 3, "ground": 2, "lend": { "up_to": 2, "back_ms": 40000 } } }]"#,
            "{}",
            "rules[0].set.ground: ground 2 and lend 2 of norte at 'a' are over its floor 3",
        ),
        (
            r#"[{ "name": "x", "set": { "floor": 3, "lend": { "up_to": 2, "back_ms": 30000 } } }]"#,
            "{}",
            "rules[0].set.lend.back_ms: is 30000, at 'a' a turn and an attempt take 31000",
        ),
        (
            r#"[{ "name": "x", "set": { "floor": 3, "ceiling": 2 } }]"#,
            "{}",
            "rules[0].set.ceiling: 2 is under the floor 3",
        ),
        (
            r#"[{ "name": "x", "set": { "weight": 3 } }, { "name": "y", "set": { "weight": 2 } }]"#,
            "{}",
            "rules[0]: 'x' changes nothing",
        ),
        (
            "[]",
            r#"{ "u": { "use_over": { "budget": "a", "percent": 80, "for_ms": 1, "under_percent": 80, "over_ms": 1 } } }"#,
            "conditions.u.use_over.under_percent: is not under percent",
        ),
        (
            "[]",
            r#"{ "u": { "use_over": { "budget": "z", "percent": 80, "for_ms": 1, "under_percent": 70, "over_ms": 1 } } }"#,
            "conditions.u.use_over.budget: there is no budget 'z'",
        ),
        (
            "[]",
            r#"{ "h": { "hours": { "from_min": 5, "to_min": 5 } } }"#,
            "conditions.h.hours: begin and end",
        ),
        (
            "[]",
            r#"{ "d": { "zone_dark": { "zone": "q", "for_ms": 1, "over_ms": 1 } } }"#,
            "conditions.d.zone_dark.zone: there is no zone 'q'",
        ),
    ];
    for (rules, conditions, want) in cases {
        let told = faults(rules, conditions);
        assert!(told.iter().any(|f| f.starts_with(want)), "{want}: {told:?}");
    }
    let more: Vec<String> = (0..9)
        .map(|k| format!(r#""c{k}": {{ "keepers_unreachable": {{ "for_ms": 1, "over_ms": 1 }} }}"#))
        .collect();
    let told = faults("[]", &format!("{{ {} }}", more.join(", ")));
    assert!(told[0].starts_with("conditions: are 9, 8 at most"), "{told:?}");
    let shape = serde_json::from_str::<Policy>(r#"{ "rules": [{ "name": "x", "set": { "flor": 1 } }] }"#);
    assert!(shape.expect_err("no such field").to_string().contains("unknown field `flor`"));
}

#[test]
fn groups_without_servers_and_two_for_one_zone_are_faults() {
    let two = r#"{ "budgets": { "x": { "zone": "a", "connections": 1, "idle_ms": 1 }, "y": { "zone": "a", "connections": 1, "idle_ms": 1 } } }"#;
    let told = CompiledPolicy::new(policy(two), &site()).expect_err("faulty");
    assert!(
        told.iter().any(|f| f.path == "budgets.y.zone" && f.reason.to_string().contains("'x'")),
        "{told:?}"
    );
    let none = r#"{ "budgets": { "x": { "zone": "c", "connections": 0, "idle_ms": 0 } } }"#;
    let paths: Vec<String> =
        CompiledPolicy::new(policy(none), &site()).expect_err("faulty").into_iter().map(|f| f.path).collect();
    assert_eq!(paths, ["budgets.x.connections", "budgets.x.idle_ms", "budgets.x"]);
}
