//! Verification and compilation of policies: each problem is reported with its path, and a valid policy compiles to the
//! terms that its rules set.

use frostgauge_connection_budget::{CompiledPolicy, Inventory, Policy, PolicyError, TenantClass, Terms};
use std::collections::BTreeSet;

/// Three tenants on two plans, two classes, and two servers in each of the zones a and b.
fn inventory() -> Inventory {
    let tenant = |name: &str, plan: &str| (name.to_owned(), plan.to_owned());
    Inventory {
        tenants: [tenant("norte", "base"), tenant("sul", "base"), tenant("oeste", "alargado")].into(),
        classes: ["read".to_owned(), "photo".to_owned()].into(),
        servers: (0..4)
            .map(|index| (format!("s{index}"), if index < 2 { "a" } else { "b" }.to_owned()))
            .collect(),
    }
}

fn parse(text: &str) -> Policy {
    serde_json::from_str(text).expect("the text should parse as a policy")
}

/// Compiles a policy with the given rules and conditions, as JSON, and two groups of two servers with ten connections
/// each.
fn compile(rules: &str, conditions: &str) -> Result<CompiledPolicy, Vec<PolicyError>> {
    let text = r#"{
        "budgets": { "a": { "zone": "a", "connections": 10, "idle_ms": 5000 }, "rest": { "connections": 10, "idle_ms": 5000 } },
        "conditions": CONDITIONS, "rules": RULES }"#;
    CompiledPolicy::new(parse(&text.replace("RULES", rules).replace("CONDITIONS", conditions)), &inventory())
}

/// The errors that compiling reports, as text; none if the policy is valid.
fn errors(rules: &str, conditions: &str) -> Vec<String> {
    compile(rules, conditions).err().into_iter().flatten().map(|error| error.to_string()).collect()
}

fn terms(
    compiled: &CompiledPolicy,
    budget: &str,
    tenant: &str,
    class: Option<&str>,
    active_conditions: &[&str],
) -> Terms {
    let tenant_class = TenantClass { tenant: tenant.to_owned(), class: class.map(str::to_owned) };
    let active_conditions: BTreeSet<String> =
        active_conditions.iter().map(|condition| (*condition).to_owned()).collect();
    let mut all_terms = compiled.terms(budget, &active_conditions);
    let found = all_terms.find(|(key, _)| **key == tenant_class).map(|(_, terms)| terms);
    found.expect("the policy should have terms for the tenant class")
}

/// A condition named `dark`: the zone a is unavailable.
const DARK: &str = r#"{ "dark": { "zone_dark": { "zone": "a", "for_ms": 500, "over_ms": 5000 } } }"#;

#[test]
fn later_rules_override_earlier_ones_term_by_term() {
    let rules = r#"[
        { "name": "all", "set": { "weight": 2, "ceiling": 8 } },
        { "name": "large", "select": { "plans": ["alargado"] }, "set": { "floor": 4 } },
        { "name": "in the dark", "when": ["dark"], "select": { "plans": ["alargado"] }, "set": { "floor": 6, "weight": 5 } },
        { "name": "photos", "select": { "classes": ["photo"] }, "set": { "ceiling": 2 } }]"#;
    let compiled = compile(rules, DARK).expect("the policy should be valid");
    assert_eq!((compiled.total_connections("a"), compiled.servers("rest").len()), (20, 2));
    let normal = terms(&compiled, "a", "oeste", None, &[]);
    assert_eq!((normal.floor, normal.weight, normal.ceiling), (4, 2, Some(8)));
    assert_eq!(
        (normal.sources.floor, normal.sources.weight, normal.sources.ceiling),
        (Some(1), Some(0), Some(0))
    );
    let dark = terms(&compiled, "a", "oeste", None, &["dark"]);
    assert_eq!((dark.floor, dark.weight, dark.ceiling), (6, 5, Some(8)));
    assert_eq!((dark.sources.floor, dark.sources.weight), (Some(2), Some(2)));
    // A class that a rule names has terms of its own, which only rules that name it set.
    let photo = terms(&compiled, "rest", "norte", Some("photo"), &[]);
    assert_eq!((photo.floor, photo.weight, photo.ceiling, photo.sources.ceiling), (0, 1, Some(2), Some(3)));
}

#[test]
fn floors_above_a_budget_are_reported_with_their_rules() {
    let rules = r#"[
        { "name": "base", "select": { "plans": ["base"] }, "set": { "floor": 4 } },
        { "name": "large", "select": { "plans": ["alargado"] }, "set": { "floor": 12 } },
        { "name": "large in the dark", "when": ["dark"], "select": { "plans": ["alargado"] }, "set": { "floor": 13 } }]"#;
    let reported = errors(rules, DARK);
    assert_eq!(reported.len(), 2, "one for each group, only while the condition is active: {reported:?}");
    assert!(
        reported[0].starts_with(
            "rules[2].set.floor: floors at budget 'a' add up to 21, but its servers have 20 connections, \
             when the active conditions are dark; "
        ),
        "{reported:?}"
    );
    assert!(
        reported[0].contains("rules[2] 'large in the dark' (13) and rules[0] 'base' (8)"),
        "{reported:?}"
    );
    let fitting = rules.replace("13", "12");
    assert!(errors(&fitting, DARK).is_empty(), "{:?}", errors(&fitting, DARK));
}

#[test]
fn floors_of_disjoint_times_of_day_are_not_added_up() {
    let hours = r#"{ "day": { "hours": { "from_min": 480, "to_min": 1200 } }, "night": { "hours": { "from_min": 1200, "to_min": 480 } } }"#;
    let rules = r#"[
        { "name": "by day", "when": ["day"], "select": { "tenants": ["norte"] }, "set": { "floor": 15 } },
        { "name": "by night", "when": ["night"], "select": { "tenants": ["sul"] }, "set": { "floor": 15 } }]"#;
    assert_eq!(errors(rules, hours), Vec::<String>::new());
    let overlap = hours.replace("\"from_min\": 1200", "\"from_min\": 1100");
    let reported = errors(rules, &overlap);
    assert!(reported[0].contains("when the active conditions are day, night"), "{reported:?}");
    // A rule that requires two disjoint times of day never applies.
    let never = r#"[{ "name": "never", "when": ["day", "night"], "set": { "weight": 2 } }]"#;
    assert!(errors(never, hours)[0].contains("'never' never applies"), "{:?}", errors(never, hours));
}

#[test]
fn each_error_has_the_path_of_its_setting() {
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
        (r#"[{ "name": "x", "set": {} }]"#, "{}", "rules[0].set: is empty, but a rule must set at least one term"),
        (
            r#"[{ "name": "x", "set": { "weight": 1 } }, { "name": "x", "set": { "floor": 1 } }]"#,
            "{}",
            "rules[1].name: 'x' is already the name of rules[0]",
        ),
        (
            r#"[{ "name": "x", "set": { "lend": { "up_to": 1, "back_ms": 0 } } }]"#,
            "{}",
            "rules[0].set.lend.back_ms",
        ),
        (
            r#"[{ "name": "x", "set": { "floor": 3, "ground": 2, "lend": { "up_to": 2, "back_ms": 40000 } } }]"#,
            "{}",
            "rules[0].set.ground: ground 2 and lend.up_to 2 of tenant 'norte' at budget 'a' together exceed its floor 3",
        ),
        (
            r#"[{ "name": "x", "set": { "floor": 3, "lend": { "up_to": 2, "back_ms": 30000 } } }]"#,
            "{}",
            "rules[0].set.lend.back_ms: is 30000, but must be at least 31000: at budget 'a' ",
        ),
        (
            r#"[{ "name": "x", "set": { "floor": 3, "ceiling": 2 } }]"#,
            "{}",
            "rules[0].set.ceiling: 2 is below the floor 3",
        ),
        (
            r#"[{ "name": "x", "set": { "weight": 3 } }, { "name": "y", "set": { "weight": 2 } }]"#,
            "{}",
            "rules[0]: 'x' has no effect",
        ),
        (
            "[]",
            r#"{ "u": { "use_over": { "budget": "a", "percent": 80, "for_ms": 1, "under_percent": 80, "over_ms": 1 } } }"#,
            "conditions.u.use_over.under_percent: must be less than percent",
        ),
        (
            "[]",
            r#"{ "u": { "use_over": { "budget": "z", "percent": 80, "for_ms": 1, "under_percent": 70, "over_ms": 1 } } }"#,
            "conditions.u.use_over.budget: there is no budget 'z'",
        ),
        (
            "[]",
            r#"{ "h": { "hours": { "from_min": 5, "to_min": 5 } } }"#,
            "conditions.h.hours: from_min and to_min are the same minute",
        ),
        (
            "[]",
            r#"{ "d": { "zone_dark": { "zone": "q", "for_ms": 1, "over_ms": 1 } } }"#,
            "conditions.d.zone_dark.zone: there is no zone 'q'",
        ),
    ];
    for (rules, conditions, expected) in cases {
        let reported = errors(rules, conditions);
        assert!(
            reported.iter().any(|error| error.starts_with(expected)),
            "expected {expected}: {reported:?}"
        );
    }
    let too_many: Vec<String> = (0..9)
        .map(|index| format!(r#""c{index}": {{ "keepers_unreachable": {{ "for_ms": 1, "over_ms": 1 }} }}"#))
        .collect();
    let reported = errors("[]", &format!("{{ {} }}", too_many.join(", ")));
    assert!(reported[0].starts_with("conditions: are 9, but at most 8 are allowed"), "{reported:?}");
    let parsed = serde_json::from_str::<Policy>(r#"{ "rules": [{ "name": "x", "set": { "flor": 1 } }] }"#);
    let error = parsed.expect_err("a term has no field of this name").to_string();
    assert!(error.contains("unknown field `flor`"), "{error}");
}

#[test]
fn budgets_need_servers_and_a_zone_of_their_own() {
    let same_zone = r#"{ "budgets": { "x": { "zone": "a", "connections": 1, "idle_ms": 1 }, "y": { "zone": "a", "connections": 1, "idle_ms": 1 } } }"#;
    let reported = CompiledPolicy::new(parse(same_zone), &inventory()).expect_err("both budgets have zone a");
    assert!(
        (reported.iter())
            .any(|error| error.path == "budgets.y.zone" && error.reason.to_string().contains("'x'")),
        "{reported:?}"
    );
    let no_servers = r#"{ "budgets": { "x": { "zone": "c", "connections": 0, "idle_ms": 0 } } }"#;
    let reported = CompiledPolicy::new(parse(no_servers), &inventory()).expect_err("zone c has no servers");
    let paths: Vec<String> = reported.into_iter().map(|error| error.path).collect();
    assert_eq!(paths, ["budgets.x.connections", "budgets.x.idle_ms", "budgets.x"]);
}
