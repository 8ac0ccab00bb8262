//! Connections at servers, shared by the fleet: told as stories over the fleet in memory. What is judged is what the
//! servers had open.

use frostgauge_connection_budget::{
    BudgetScope, Condition, Rule, Selector, TenantClass, TermOverrides, MAX_CONNECTIONS_PER_SERVER,
};
use frostgauge_consensus::{GatewayId, Message, Outcome, Rules};
use frostgauge_fleet_agent::budget_shares;
use frostgauge_fleet_simulator::{given, SimulationConfig, Story, SECOND};
use serde_json::json;

const TENANTS: [&str; 3] = ["norte", "sul", "oeste"];

fn fleet(gateways: u16, connections: u32) -> SimulationConfig {
    SimulationConfig { connections: Some(connections), ..SimulationConfig::fleet(gateways, 3) }
}

/// No server ever had more open than its budget, and nobody acted against the rules.
fn sums_fit(mut story: Story) -> Story {
    let over = story.simulation().worst_over_budget();
    assert_eq!(over, 0, "connections over a budget: {:#?}", story.simulation().invariants().violations());
    story.then_no_one_contradicts()
}

fn open(story: &mut Story) -> u32 {
    (1..=6).map(|k| story.simulation().open_at(&format!("s{k}"))).sum()
}

fn open_of(story: &mut Story, gateway: GatewayId) -> u32 {
    story.simulation().open_from(gateway, None)
}

/// The most that was open for each tenant at a gateway, looked at now and then for some seconds.
fn most_open(mut story: Story, gateway: GatewayId, seconds: u32) -> (Story, [u32; 3]) {
    let mut most = [0; 3];
    for _ in 0..seconds * 5 {
        story = story.after(0.2);
        let now = TENANTS.map(|t| story.simulation().open_from(gateway, Some(t)));
        most.iter_mut().zip(now).for_each(|(m, n)| *m = n.max(*m));
    }
    (story, most)
}

/// Only these tenants come, to every gateway.
fn only(mut story: Story, tenants: &[&str]) -> Story {
    let all: Vec<GatewayId> = story.simulation().gateways().collect();
    all.into_iter().for_each(|g| story.simulation().restrict_tenants(g, tenants));
    story
}

fn connections(rules: &mut Rules, n: u32) {
    rules.budgets.budgets.values_mut().for_each(|b| b.connections = n);
}

/// The budgets of such a fleet, without floors.
fn budgets(rules: &mut Rules, n: u32) {
    rules.budgets =
        SimulationConfig { connections: Some(n), ..SimulationConfig::fleet(5, 3) }.rules().budgets;
    rules.budgets.rules.retain(|r| r.name == "large");
}

#[test]
fn what_there_is_is_used_and_no_server_ever_has_more() {
    let mut s = given(fleet(7, 4)).after(20.0);
    let (opened, used, waited) = s.simulation().connection_counts();
    assert!(open(&mut s) >= 18, "of 24 many are open: {}", open(&mut s));
    assert!(used > 3 * opened && waited > 0, "{opened} opened, {used} used again, {waited} found no slot");
    sums_fit(s);
}

#[test]
fn on_ground_each_tenant_has_what_was_kept_for_it() {
    let mut s = given(fleet(5, 10)).when_killed(&[1, 2, 3]).after(10.0);
    for gateway in [4, 5] {
        let (story, each) = most_open(s, gateway, 5);
        assert!(each.iter().all(|n| (1..=2).contains(n)), "gateway {gateway} has {each:?} of 6 over 5");
        s = story;
    }
    sums_fit(s.when_started(&[1, 2, 3]).after(8.0).then_all_are_under(1));
}

#[test]
fn a_gateway_cut_off_gives_up_all_but_its_ground_and_the_others_get_it() {
    let s = only(given(fleet(4, 2)), &["oeste"]).after(5.0).when_cut_off(&[4]).after(10.0);
    // Twelve connections, two kept for the tenant's ground, of which gateway 4 may have one.
    let mut s = sums_fit(s);
    assert!(open_of(&mut s, 4) <= 1, "{}", open_of(&mut s, 4));
    sums_fit(s.when_mended().after(6.0).then_all_are_under(1));
}

#[test]
fn a_leader_paused_past_its_lease_and_woken_with_grants_in_hand_brings_nobody_over() {
    let s = given(fleet(7, 3)).after(5.0);
    let leader = s.leader();
    let s = s.when_paused(&[leader]).after(12.0).when_resumed(&[leader]).after(6.0);
    sums_fit(s.then_all_are_under(1));
}

#[test]
fn a_gateway_stopped_keeps_its_sockets_open_and_nobody_is_given_them_too_early() {
    let mut s = given(fleet(5, 3));
    for gateway in [4, 5, 4, 5] {
        s = s.when_paused(&[gateway]).after(2.0).when_resumed(&[gateway]).after(0.2);
        s = s.when_paused(&[gateway]).after(6.0).when_resumed(&[gateway]).after(1.0);
    }
    sums_fit(s);
}

#[test]
fn a_process_killed_leaves_connections_behind_and_the_next_gets_what_is_free() {
    let mut s = given(fleet(5, 4)).after(3.0);
    for gateway in [4, 1, 5, 2, 4] {
        s = s.when_power_is_lost(&[gateway]).after(0.2).when_started(&[gateway]).after(5.0);
        assert!(open_of(&mut s, gateway) > 0, "gateway {gateway} has connections again");
    }
    sums_fit(s.after(5.0));
}

#[test]
fn a_process_told_to_end_gives_all_back_first_and_the_next_has_nothing_to_wait_for() {
    let mut s = given(fleet(5, 3)).after(3.0);
    let held = |s: &mut Story, who: GatewayId| {
        let machine =
            s.simulation().process(1).and_then(|p| p.replica()).and_then(|k| k.state_machine().cloned());
        let ledger = machine.map(|m| m.permits().ledger().clone()).expect("a keeper");
        (ledger.permits_of(who).1.len(), ledger.earlier_incarnations_hold(who))
    };
    for gateway in [4, 5, 2] {
        assert!(held(&mut s, gateway).0 > 0);
        s.simulation().start_leaving(gateway);
        s = s.after(2.0);
        assert_eq!((open_of(&mut s, gateway), held(&mut s, gateway)), (0, (0, (false, false))));
        s = s.when_killed(&[gateway]).after(0.1).when_started(&[gateway]).after(4.0);
        let (slots, past) = held(&mut s, gateway);
        assert!(slots > 0 && past == (false, false), "{slots} {past:?}");
    }
    sums_fit(s);
}

#[test]
fn a_budget_halved_while_full_is_kept_once_the_rest_is_back_and_doubled_is_used() {
    let s = given(fleet(6, 6)).after(5.0).when_published(|r| {
        connections(r, 3);
        r.budgets.rules.retain(|r| r.name == "large");
    });
    let mut s = s.after(4.0).then_all_are_under(2).after(8.0);
    assert!(open(&mut s) <= 18, "{}", open(&mut s));
    assert!((1..=6).all(|k| s.simulation().open_at(&format!("s{k}")) <= 3));
    let mut s = sums_fit(s).when_published(|r| connections(r, 8)).after(12.0).then_all_are_under(3);
    assert!(open(&mut s) > 18, "{}", open(&mut s));
    sums_fit(s);
}

#[test]
fn the_first_budget_of_a_server_is_made_known_before_it_binds() {
    let s = given(SimulationConfig::fleet(5, 3)).when_published(|r| budgets(r, 4)).after(3.0);
    let s = s.then_told(|o| match o {
        Outcome::BreaksFallback { conflicts, .. } => conflicts.iter().any(|p| p.path == "servers.s1.budget"),
        _ => false,
    });
    let s = s.when_published(|r| budgets(r, MAX_CONNECTIONS_PER_SERVER)).after(6.0).then_all_are_under(2);
    let s = s.when_published(|r| connections(r, 4)).after(8.0).then_numbered(3).then_all_are_under(3);
    drop(s.then_no_one_contradicts());
}

#[test]
fn where_a_budget_begins_to_bind_what_is_open_without_a_slot_is_closed_first() {
    let mut s = given(fleet(6, MAX_CONNECTIONS_PER_SERVER)).after(3.0);
    let before = open(&mut s);
    let mut s = s.when_published(|r| budgets(r, 1)).after(10.0).then_all_are_under(2);
    assert!(before > 6 && open(&mut s) <= 6, "{before}, then {}", open(&mut s));
    sums_fit(s);
}

#[test]
fn a_tenant_added_removed_and_added_again_with_connections_open_is_counted_throughout() {
    let add = |r: &mut Rules| {
        let like = r.tenants["norte"].clone();
        r.tenants.insert("este".into(), frostgauge_consensus::Tenant { floor_milli: 0, ..like });
    };
    let mut s = given(fleet(5, 3)).when_published(add).after(6.0).then_all_are_under(2);
    assert!(s.simulation().open_for("este") > 0);
    let s = s.when_published(|r| drop(r.tenants.remove("este"))).after(1.0).when_published(add).after(8.0);
    let mut s = s.then_all_are_under(4);
    assert!(s.simulation().open_for("este") > 0, "it is served again");
    sums_fit(s);
}

#[test]
fn a_tenant_with_all_its_traffic_at_one_gateway_has_its_share_there_and_elsewhere_once_that_dies() {
    let mut s = only(given(fleet(5, 5)), &["sul"]);
    s.simulation().restrict_tenants(4, &["norte"]);
    let (mut s, [at_one, ..]) = most_open(s.after(3.0), 4, 5);
    assert!(at_one >= 2, "{at_one}: its own at one gateway");
    s = s.when_killed(&[4]);
    s.simulation().restrict_tenants(5, &["norte"]);
    let (s, [at_other, ..]) = most_open(s.after(3.0), 5, 5);
    assert!(at_other >= 2, "{at_other}");
    sums_fit(s);
}

#[test]
fn everyone_lends_and_all_ask_back() {
    // Nobody but one comes, and has use for all: of the others' floors, 4 of 24 each, it has the one that each lends.
    let mut s = only(given(fleet(60, 4)), &["oeste"]).after(10.0);
    let has = |s: &mut Story, tenant: &str| {
        let machine =
            s.simulation().process(1).and_then(|p| p.replica()).and_then(|k| k.state_machine().cloned());
        let purse = BudgetScope::tenant("all", &TenantClass { tenant: tenant.to_owned(), class: None });
        machine.map_or(0, |m| m.permits().ledger().permits_at(&purse).map(|(_, x)| x.target).sum::<u32>())
    };
    let mut alone = 0;
    for _ in 0..30 {
        s = s.after(0.1);
        alone = has(&mut s, "oeste").max(alone);
    }
    assert!((13..=18).contains(&alone), "{alone} of 24 at the most, 6 are kept for the others");
    s = only(s, &TENANTS).after(5.0);
    for tenant in ["norte", "sul"] {
        let n = has(&mut s, tenant);
        assert!(n >= 4, "{tenant}'s floor is 4 of 24, it has {n}");
    }
    let left = has(&mut s, "oeste");
    assert!(left <= 16, "{alone}, then {left}");
    sums_fit(s);
}

#[test]
fn keepers_lost_one_two_and_three_of_three_and_all_back_with_one_disk_empty() {
    let mut s = given(fleet(6, 3)).when_killed(&[1]).after(3.0).when_killed(&[2]).after(6.0);
    s = s.when_killed(&[3]).after(6.0);
    s.simulation().lose_disk(2);
    sums_fit(s.when_started(&[1, 2, 3]).after(15.0).then_all_are_under(1));
}

#[test]
fn two_halves_for_two_minutes_keep_their_sums() {
    let s = given(fleet(6, 3)).when_cut_off(&[1, 4, 5]).after(120.0);
    let s = sums_fit(s).when_mended().after(10.0).then_all_are_under(1);
    sums_fit(s);
}

#[test]
fn a_flapping_link_for_five_minutes() {
    let mut s = given(fleet(5, 3));
    for _ in 0..50 {
        s = s.when_cut_from_all_keepers(5).after(3.0).when_mended().after(3.0);
    }
    sums_fit(s);
}

#[test]
fn bad_links_lose_and_double_words_on_slots() {
    let s = given(fleet(7, 3)).when_links_are_bad(200, 200, 400).after(30.0);
    sums_fit(s.when_links_are_bad(0, 0, 5).after(8.0).then_all_are_under(1));
}

#[test]
fn an_operators_word_that_a_gateway_is_gone_frees_its_ground() {
    let mut s = given(fleet(4, 10)).when_the_editor_moves_to(2).when_killed(&[4]).after(10.0);
    let held = |s: &mut Story| {
        let machine =
            s.simulation().process(1).and_then(|p| p.replica()).and_then(|k| k.state_machine().cloned());
        machine.map_or(0, |m| m.permits().ledger().permits_of(4).1.iter().map(|(_, x)| x.held).sum::<u32>())
    };
    assert!(held(&mut s) > 0, "its ground is kept for it");
    let mut s = s.when_operator_says(Message::Retire { gateway: 4 }).after(2.0);
    assert_eq!(held(&mut s), 0);
    sums_fit(s);
}

#[test]
fn a_restart_of_three_hundred_at_once_with_few_connections() {
    let mut s =
        given(SimulationConfig { connections: Some(60), ..SimulationConfig::fleet(300, 3) }).after(3.0);
    let all: Vec<GatewayId> = (1..=300).collect();
    s = s.when_power_is_lost(&all).after(0.5).when_started(&all).after(8.0);
    let now = open(&mut s);
    assert!(now > 180, "{now} of 360 are open again");
    sums_fit(s.then_all_are_under(1));
}

#[test]
fn thirty_connections_for_three_hundred_gateways_and_forty_tenants_go_round() {
    let mut s = given(SimulationConfig {
        connections: Some(5),
        extra_tenants: 37,
        ..SimulationConfig::fleet(300, 3)
    });
    let from = s.simulation().now();
    s = s.after(4.0);
    let ever = s.simulation().ever_connected();
    let seconds = (s.simulation().now() - from) / SECOND;
    assert!(ever > 35, "{ever} gateways had a turn in {seconds} s");
    sums_fit(s);
}

#[test]
fn every_share_says_which_rules_made_it() {
    let mut s = given(fleet(5, 10));
    let machine =
        s.simulation().process(1).and_then(|p| p.replica()).and_then(|k| k.state_machine().cloned());
    let told = budget_shares::report(&machine.expect("a keeper")).expect("there are budgets");
    let group = &told["groups"]["all"];
    assert_eq!(group["servers"]["s1"]["connections"], 10);
    let oeste = group["holders"].as_array().and_then(|all| all.iter().find(|h| h["tenant"] == "oeste"));
    let oeste = oeste.expect("told");
    assert_eq!((&oeste["terms"]["floor"], &oeste["by"]["floor"]), (&json!(12), &json!("everyone")));
    assert_eq!((&oeste["terms"]["weight"], &oeste["by"]["weight"]), (&json!(2), &json!("large")));
    assert_eq!(oeste["by"].get("ceiling"), None, "no rule made it");
    let none = given(SimulationConfig::fleet(3, 3))
        .simulation()
        .process(1)
        .and_then(|p| p.replica()?.state_machine().cloned());
    assert_eq!(budget_shares::report(&none.expect("a keeper")), None);
}

#[test]
fn a_zone_that_most_gateways_see_dark_is_a_condition_that_holds() {
    let with = |r: &mut Rules| {
        r.budgets.conditions.insert(
            "dark".into(),
            Condition::ZoneUnavailable { zone: String::new(), begin_after_ms: 500, end_after_ms: 1_000 },
        );
        let overrides = TermOverrides { weight: Some(5), ..TermOverrides::default() };
        let when = ["dark".to_owned()].into();
        r.budgets.rules.push(Rule { name: "dark".into(), select: Selector::default(), when, overrides });
    };
    let mut s = given(fleet(5, 4)).when_published(with).after(5.0).then_all_are_under(2);
    let holds = |s: &mut Story| {
        let machine =
            s.simulation().process(1).and_then(|p| p.replica()).and_then(|k| k.state_machine().cloned());
        machine.is_some_and(|m| m.permits().active_conditions().contains("dark"))
    };
    s.simulation().set_unavailable_zones(&[4, 5], &[""]);
    let mut s = s.after(3.0);
    assert!(!holds(&mut s), "two of five");
    s.simulation().set_unavailable_zones(&[2, 3], &[""]);
    let mut s = s.after(3.0);
    assert!(holds(&mut s));
    s.simulation().set_unavailable_zones(&[2, 3, 4, 5], &[]);
    let mut s = s.after(4.0);
    assert!(!holds(&mut s));
    sums_fit(s);
}
