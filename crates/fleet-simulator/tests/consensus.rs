//! Stories of agreed versions, leases and ground.

use frostgauge_consensus::{Message, Outcome, Plan, Rules, ServerState};
use frostgauge_fleet_simulator::{given, SimulationConfig};

/// The small plan is cut to four fifths: every gateway's part is less, so it contradicts the version before.
fn less(rules: &mut Rules) {
    let plan = rules.plans.get_mut("small").expect("the plan");
    *plan =
        Plan { rate_milli: plan.rate_milli * 4 / 5, ceiling_milli: plan.ceiling_milli.map(|c| c * 4 / 5) };
}

fn fleet_of_7() -> SimulationConfig {
    SimulationConfig::fleet(7, 3)
}

#[test]
fn a_version_reaches_the_whole_fleet_and_no_one_contradicts_it_for_a_moment() {
    given(fleet_of_7())
        .when_published(less)
        .after(4.0)
        .then_numbered(2)
        .then_all_are_under(2)
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_gateway_cut_from_all_keepers_goes_to_ground_and_serves_its_floors() {
    given(fleet_of_7())
        .when_cut_from_all_keepers(6)
        .when_published(less)
        .after(5.0)
        .then_numbered(2)
        .then_is_on_ground_of(6, 1)
        .then_is_under(5, 2)
        .when_counted(&[6])
        .after(10.0)
        // Two tenants at a unit a second and one at two; a request is one unit or two.
        .then_each_served(20)
        .then_no_one_contradicts()
        .when_mended()
        .after(3.0)
        .then_all_are_under(2)
        .the_end();
}

#[test]
fn a_keeper_cut_from_the_others_but_not_from_gateways_gives_nobody_an_old_lease() {
    given(fleet_of_7())
        .when(|w| {
            (2..=3).for_each(|k| {
                w.cut_link(1, k);
                w.cut_link(k, 1);
            })
        })
        .when_published(less)
        .after(6.0)
        .then_numbered(2)
        .then_is_under(6, 2)
        .then_is_on_ground_of(1, 1)
        .then_no_one_contradicts_for_a_moment()
        .when_mended()
        .after(3.0)
        .then_all_are_under(2)
        .then_nothing_told_is_lost()
        .the_end();
}

#[test]
fn in_a_ring_where_each_hears_only_its_neighbours_all_serve_their_floors() {
    given(fleet_of_7())
        .when(|w| {
            for (a, b) in (1..=7).flat_map(|a| (1..=7).map(move |b| (a, b))) {
                let apart = (7 + a - b) % 7;
                if a != b && apart != 1 && apart != 6 {
                    w.cut_link(a, b);
                }
            }
        })
        .after(3.0)
        .when_counted(&[4, 5, 6])
        .after(10.0)
        .then_each_served(20)
        .when_mended()
        .after(4.0)
        .then_all_are_under(1)
        .the_end();
}

#[test]
fn a_leader_paused_past_every_lease_wakes_with_grants_in_hand_that_are_worth_nothing() {
    let story = given(fleet_of_7());
    let leader = story.leader();
    story
        .when_paused(&[leader])
        .when_published(less)
        .after(8.0)
        .then_numbered(2)
        .when_resumed(&[leader])
        .after(0.5)
        .then_no_one_contradicts_for_a_moment()
        .after(3.0)
        .then_all_are_under(2)
        .the_end();
}

#[test]
fn a_gateway_stopped_between_look_and_send_looks_again_and_turns_back() {
    let story = given(fleet_of_7()).when(|w| w.set_send_delay(6, 500_000)).after(1.0);
    let mut story = story.when_paused(&[6]).when_published(|rules| {
        let norte = rules.tenants.get_mut("norte").expect("the tenant");
        (norte.classes, norte.floor_milli) = (["read".to_owned()].into(), 1_000);
        rules.classes.get_mut("report").expect("the class").on_fallback = true;
    });
    // The class is still norte's on ground: taking it away is refused, with the place.
    story = story.after(3.0).then_told(|o| matches!(o, Outcome::BreaksFallback { conflicts, .. } if conflicts.iter().any(|p| p.path == "tenants.norte.classes.report")));
    story = story.when_published(less).after(5.0).then_numbered(2);
    let before = story.simulation().invariants().rejected_before_send();
    story = story.when_resumed(&[6]).after(0.2).then_no_one_contradicts_for_a_moment().after(3.0);
    assert!(story.simulation().invariants().rejected_before_send() >= before);
    story.then_all_are_under(2).the_end();
}

#[test]
fn without_a_second_look_a_stopped_gateway_acts_under_an_old_version() {
    let mut fleet = fleet_of_7();
    fleet.injected_bug = Some(frostgauge_fleet_simulator::InjectedBug::NoRecheck);
    let mut story = given(fleet)
        .when(|w| w.set_send_delay(6, 500_000))
        .after(1.0)
        .when_paused(&[6])
        .when_published(less)
        .after(6.0)
        .then_numbered(2)
        .when_resumed(&[6])
        .after(1.0);
    assert!(story.simulation().invariants().violation_count() > 0, "the planted fault must be found");
}

#[test]
fn a_gateway_that_hears_but_is_not_heard_goes_to_ground() {
    given(fleet_of_7())
        .when(|w| (1..=3).for_each(|k| w.cut_link(7, k)))
        .when_published(less)
        .after(5.0)
        .then_numbered(2)
        .then_is_on_ground_of(7, 1)
        .then_is_under(6, 2)
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_gateway_that_is_heard_but_hears_nothing_goes_to_ground() {
    given(fleet_of_7())
        .when(|w| (1..=3).for_each(|k| w.cut_link(k, 7)))
        .when_published(less)
        .after(5.0)
        .then_numbered(2)
        .then_is_on_ground_of(7, 1)
        .then_is_under(6, 2)
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn one_keeper_of_three_lost_changes_nothing() {
    given(fleet_of_7())
        .when_power_is_lost(&[2])
        .when_published(less)
        .after(5.0)
        .then_numbered(2)
        .then_is_under(7, 2)
        .when_started(&[2])
        .after(4.0)
        .then_all_are_under(2)
        .then_nothing_told_is_lost()
        .the_end();
}

#[test]
fn two_keepers_of_three_lost_nothing_new_is_agreed_on_and_serving_goes_on_at_the_floors() {
    given(fleet_of_7())
        .when_power_is_lost(&[1, 2])
        .when_published(less)
        .after(4.0)
        .then_told_nothing()
        .when_counted(&[4, 5, 6, 7])
        .after(10.0)
        .then_each_served(20)
        .when_started(&[1, 2])
        .after(5.0)
        .then_nothing_told_is_lost()
        .the_end();
}

#[test]
fn all_keepers_lost_and_back_with_one_disk_empty() {
    given(fleet_of_7())
        .when_published(less)
        .after(4.0)
        .then_numbered(2)
        .when_power_is_lost(&[1, 2, 3])
        .after(4.0)
        .then_is_on_ground_of(7, 2)
        .when(|w| w.lose_disk(2))
        .when_started(&[1, 2, 3])
        .after(6.0)
        .then_all_are_under(2)
        .then_nothing_told_is_lost()
        .when_published(less)
        .after(4.0)
        .then_all_are_under(3)
        .the_end();
}

#[test]
fn a_keeper_that_lost_its_disk_is_let_in_by_a_new_configuration_and_not_before() {
    let mut story = given(fleet_of_7()).when_power_is_lost(&[3]).when(|w| w.lose_disk(3)).when_started(&[3]);
    assert!(!story.simulation().process(3).and_then(|p| p.replica()).expect("a keeper").is_voter());
    story = story.after(4.0);
    let config =
        story.simulation().process(3).and_then(|p| p.replica()).expect("a keeper").configuration_number();
    assert!(config > 1, "configuration {config}");
    // The other two may go now: it holds what they held.
    story
        .when_power_is_lost(&[1])
        .when_published(less)
        .after(6.0)
        .then_numbered(2)
        .then_is_under(7, 2)
        .the_end();
}

#[test]
fn two_halves_for_two_minutes_one_agrees_the_other_serves_its_floors() {
    given(SimulationConfig::fleet(10, 3))
        .when_cut_off(&[3, 7, 8, 9, 10])
        .when_published(less)
        .after(6.0)
        .then_numbered(2)
        .then_is_under(5, 2)
        .then_is_on_ground_of(8, 1)
        .when_counted(&[3, 7, 8, 9, 10])
        .after(114.0)
        .then_each_served(200)
        .then_no_one_contradicts()
        .when_mended()
        .after(4.0)
        .then_all_are_under(2)
        .then_nothing_told_is_lost()
        .the_end();
}

#[test]
fn a_cut_exactly_as_a_version_comes_into_force() {
    for tenth in 0..12 {
        given(fleet_of_7())
            .when_published(less)
            .after(f64::from(tenth) * 0.02)
            .when_cut_off(&[1, 4, 5])
            .after(7.0)
            .then_no_one_contradicts()
            .when_mended()
            .after(4.0)
            .when(|w| w.resend(4, 1))
            .after(4.0)
            .then_numbered(2)
            .then_all_are_under(2)
            .the_end();
    }
}

#[test]
fn a_version_under_which_the_canary_part_fails_is_withdrawn_and_what_was_before_restored() {
    let mut fleet = SimulationConfig::fleet(20, 3);
    fleet.settings.canary_percent = 30;
    given(fleet)
        .when(|w| (1..=20).for_each(|g| w.fail_under(g, 2)))
        .when_published(less)
        .after(6.0)
        .then_numbered(2)
        .then_all_are_under(3)
        .when(|w| {
            let keeper =
                w.process(1).and_then(|p| p.replica()).and_then(|k| k.state_machine()).expect("a record");
            assert!(keeper.is_withdrawn(2));
            let (three, one) = (keeper.version(3).expect("kept"), w.initial_rules());
            assert!(
                three.rules == one && three.reason.contains("version 2 is withdrawn"),
                "{}",
                three.reason
            );
        })
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_version_withdrawn_by_an_operator_while_half_have_it() {
    given(fleet_of_7())
        .when_published(less)
        .after(0.1)
        .when_operator_says(Message::Withdraw { version: 2, reason: "customers call".to_owned() })
        .after(5.0)
        .then_no_one_contradicts_for_a_moment()
        .then_all_are_under(3)
        .the_end();
}

#[test]
fn keepers_change_during_a_cut() {
    let mut story =
        given(fleet_of_7()).when_killed(&[5]).when(|w| w.add_replica_disk(5)).when_started(&[5]).after(1.0);
    story = story
        .when_cut_off(&[3])
        .when(|w| w.inject_message(5, 1, frostgauge_consensus::encode(&Message::StorageLost { nonce: 1 })))
        .after(1.0);
    // The new keeper says that it is there to those it knows; then the operator asks for it in place of the lost one.
    let new = [1, 2, 5].into();
    story = story.when_operator_says(Message::ChangeVoters { voters: new }).after(6.0);
    let seated = |s: &mut frostgauge_fleet_simulator::Story, g| {
        s.simulation().process(g).and_then(|p| p.replica()).is_some_and(|k| k.is_voter())
    };
    assert!(seated(&mut story, 5), "the new keeper has its seat");
    story =
        story.when_published(less).after(5.0).then_numbered(2).then_is_under(6, 2).when_mended().after(5.0);
    assert!(!seated(&mut story, 3), "the old one has none any more");
    story.then_all_are_under(2).then_no_one_contradicts_for_a_moment().the_end();
}

#[test]
fn a_restart_of_all_at_once_comes_back_to_its_version_and_spreads_its_questions() {
    let mut fleet = SimulationConfig::fleet(300, 3);
    fleet.traffic = false;
    fleet.settings.canary_percent = 0;
    let all: Vec<u16> = (1..=300).collect();
    let story =
        given(fleet).when_published(less).after(4.0).then_numbered(2).when_killed(&all).when_started(&all);
    story.after(6.0).then_all_are_under(2).then_nothing_told_is_lost().the_end();
}

#[test]
fn a_machine_back_with_its_clock_an_hour_off_is_a_gateway_like_any_other() {
    let hour = 3_600 * frostgauge_fleet_simulator::SECOND;
    given(fleet_of_7())
        .when_power_is_lost(&[2, 6])
        .when(|w| {
            w.set_clock(2, 5);
            w.set_clock(6, 9_000 * hour);
        })
        .when_started(&[2, 6])
        .after(4.0)
        .then_all_are_under(1)
        .when_published(less)
        .after(4.0)
        .then_all_are_under(2)
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_tenant_added_taken_away_and_added_again_takes_its_floor_off_first() {
    let floorless = |rules: &mut Rules| {
        let mut tenant = rules.tenants["sul"].clone();
        tenant.floor_milli = 0;
        rules.tenants.insert("leste".to_owned(), tenant);
    };
    let with_floor = |rules: &mut Rules| {
        floorless(rules);
        rules.tenants.get_mut("leste").expect("just added").floor_milli = 500;
    };
    let gone = |rules: &mut Rules| drop(rules.tenants.remove("leste"));
    given(fleet_of_7())
        .when_published(with_floor)
        .after(4.0)
        .then_numbered(2)
        .when_published(gone)
        .after(2.0)
        .then_told(
            |o| matches!(o, Outcome::BreaksFallback { version: 2, conflicts, .. } if conflicts[0].path == "tenants.leste"),
        )
        .when_published(floorless)
        .after(4.0)
        .then_numbered(3)
        .when_published(gone)
        .after(4.0)
        .then_numbered(4)
        .when_published(with_floor)
        .after(4.0)
        .then_numbered(5)
        .then_all_are_under(5)
        .the_end();
}

#[test]
fn who_may_stand_on_an_old_floor_holds_up_what_breaks_it_until_back_or_retired() {
    let narrow = |rules: &mut Rules| rules.tenants.get_mut("sul").expect("the tenant").floor_milli = 0;
    let gone = |rules: &mut Rules| drop(rules.tenants.remove("sul"));
    given(fleet_of_7())
        .when_cut_from_all_keepers(7)
        .when_published(narrow)
        .after(5.0)
        .then_numbered(2)
        .when_published(gone)
        .after(3.0)
        .then_told(|o| matches!(o, Outcome::BreaksFallback { version: 1, held_by, .. } if *held_by == [7]))
        .when_killed(&[7])
        .when_operator_says(Message::Retire { gateway: 7 })
        .after(1.0)
        .when_published(gone)
        .after(4.0)
        .then_numbered(3)
        .then_is_under(6, 3)
        .the_end();
}

#[test]
fn a_link_that_flaps_every_three_seconds_for_five_minutes() {
    let mut story = given(fleet_of_7());
    for round in 0..50 {
        story = story.when_cut_one_way(1, 2).when_cut_one_way(6, 3).after(3.0).when_mended().after(3.0);
        if round % 10 == 5 {
            story = story.when_published(less);
        }
    }
    story
        .then_no_one_contradicts_for_a_moment()
        .after(3.0)
        .then_all_are_under(6)
        .then_nothing_told_is_lost()
        .the_end();
}

#[test]
fn a_tenth_at_a_time_restarts_while_servers_are_replaced_and_the_list_moves() {
    let mut story = given(SimulationConfig::fleet(20, 3));
    for step in 0..10u16 {
        let (old, new) = (format!("s{}", step % 6 + 1), format!("t{step}"));
        let some = [2 * step + 1, 2 * step + 2];
        story = story
            .when_killed(&some)
            .when(|w| {
                w.drain(&old, true);
                w.set_server_up(&new, true);
            })
            .when_the_editor_moves_to((2 * step + 10) % 20 + 1)
            .when_published(|rules| {
                let state = ServerState::Draining;
                rules.servers.get_mut(&old).into_iter().for_each(|s| s.state = state);
                let address = format!("10.1.0.{}:80", step + 1);
                let server =
                    frostgauge_consensus::Server { address, state: ServerState::Ready, zone: String::new() };
                rules.servers.insert(new.clone(), server);
            })
            .after(1.0)
            .when_started(&some)
            .after(3.0);
    }
    let mut story = story.after(5.0).then_no_one_contradicts().then_nothing_told_is_lost();
    let latest = story.simulation().latest().0;
    story.then_all_are_under(latest).the_end();
}

#[test]
fn of_two_editors_at_once_the_second_is_told_what_changed() {
    let mut story = given(fleet_of_7());
    let (base, rules) = story.simulation().latest();
    let (mut a, mut b) = (rules.clone(), rules);
    less(&mut a);
    b.classes.get_mut("read").expect("the class").cost_milli = 900;
    let (first, second) = (story.simulation().publish(4, base, a), story.simulation().publish(6, base, b));
    story = story.after(3.0);
    let told = [first, second].map(|id| story.simulation().outcome(id).cloned().expect("both are told"));
    let won = told.iter().filter(|o| **o == Outcome::Numbered(2)).count();
    let lost = told.iter().find_map(|o| match o {
        Outcome::Overtaken { latest: 2, changed_paths } => Some(changed_paths.clone()),
        _ => None,
    });
    assert_eq!(won, 1, "{told:?}");
    assert!(lost.is_some_and(|c| c == ["plans.small"] || c == ["classes.read"]), "{told:?}");
    story.the_end();
}

#[test]
fn rules_with_faults_are_never_numbered_and_each_is_told_with_its_path() {
    given(fleet_of_7())
        .when_published(|rules| {
            rules.tenants.get_mut("sul").expect("the tenant").plan = "huge".to_owned();
            rules.servers.get_mut("s1").expect("the server").address = "nowhere".to_owned();
            rules.classes.get_mut("read").expect("the class").cost_milli = 0;
        })
        .after(2.0)
        .then_told(|o| {
            let Outcome::Invalid(faults) = o else { return false };
            let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
            paths == ["classes.read.cost_milli", "tenants.sul.plan", "servers.s1.address"]
        })
        .then_all_are_under(1)
        .the_end();
}

#[test]
fn a_gateway_many_versions_behind_comes_back_to_the_latest() {
    // The one that is cut off may be of the canary part, and would hold each version up.
    let mut fleet = fleet_of_7();
    fleet.settings.canary_percent = 0;
    let mut story = given(fleet).when_cut_from_all_keepers(7);
    for version in 2..=12 {
        story = story.when_published(|r| r.plans.get_mut("large").expect("the plan").rate_milli += 70);
        story = story.after(4.0).then_numbered(version);
    }
    story.then_is_on_ground_of(7, 1).when_mended().after(3.0).then_all_are_under(12).the_end();
}

#[test]
fn on_ground_a_server_that_drains_is_left_within_confirm_ms() {
    let mut story = given(fleet_of_7()).when_cut_from_all_keepers(7).after(3.0).then_is_on_ground_of(7, 1);
    story = story.when(|w| (1..=5).for_each(|s| w.drain(&format!("s{s}"), true))).when_published(|rules| {
        for s in 1..=5 {
            rules.servers.get_mut(&format!("s{s}")).expect("the server").state = ServerState::Draining;
        }
    });
    story = story.after(4.0).when_counted(&[7]).after(10.0).then_each_served(20);
    let (worst, confirm) =
        (story.simulation().invariants().worst_contradiction(), story.simulation().timing().confirmation_ttl);
    assert!(worst <= confirm, "{worst} µs");
    story.the_end();
}

#[test]
fn on_ground_a_server_that_says_nothing_is_not_used() {
    given(fleet_of_7())
        .when_cut_from_all_keepers(7)
        .after(3.0)
        .when(|w| (1..=6).for_each(|s| w.set_server_up(&format!("s{s}"), false)))
        .after(1.5)
        .when_counted(&[7])
        .after(5.0)
        .then_each_served_at_most(0)
        .the_end();
}

#[test]
fn a_keeper_whose_disk_fails_a_sync_says_nothing_of_that_batch_and_starts_anew() {
    for call in [12, 15, 18, 24] {
        let mut story = given(fleet_of_7()).when_killed(&[2]).when(|w| {
            w.inject_disk_faults(
                2,
                frostgauge_storage::sim::FaultPlan { failed_sync_at_call: call, ..Default::default() },
            );
        });
        story =
            story.when_started(&[2]).when_published(less).after(6.0).then_numbered(2).then_all_are_under(2);
        for _ in 0..3 {
            story = story.when_published(less).after(4.0);
        }
        let stops = story.simulation().process(2).expect("it runs").replica_stops();
        assert!(stops <= 1, "it stopped {stops} times");
        story.then_all_are_under(5).then_nothing_told_is_lost().the_end();
    }
}

#[test]
fn a_keeper_whose_disk_is_full_stops_and_is_back_once_there_is_room() {
    let mut story = given(fleet_of_7()).when_killed(&[2]).when(|w| {
        w.inject_disk_faults(
            2,
            frostgauge_storage::sim::FaultPlan {
                full_from_call: 12,
                full_for_calls: 20,
                ..Default::default()
            },
        );
    });
    story = story.when_started(&[2]);
    for _ in 0..4 {
        story = story.when_published(less).after(4.0);
    }
    story = story.then_numbered(5);
    assert!(story.simulation().process(2).expect("it runs").replica_stops() > 0, "the fault was met");
    story.then_no_one_contradicts_for_a_moment().the_end();
}

#[test]
fn what_cannot_be_read_and_what_strangers_say_is_counted_and_changes_nothing() {
    let far = Message::Install(Box::new(frostgauge_consensus::Configuration {
        number: 1,
        voters: [6, 7].into(),
        readmitted: Default::default(),
        snapshot: vec![1, 2, 3],
    }));
    let mut story = given(fleet_of_7()).when(|w| {
        for to in [1, 5] {
            w.inject_message(6, to, vec![]);
            w.inject_message(6, to, vec![0xff; 900]);
            w.inject_message(6, to, vec![7; 3]);
        }
        w.inject_message(6, 1, frostgauge_consensus::encode(&far));
    });
    story = story.after(2.0).then_all_are_under(1);
    let strange = [1, 5].map(|g| story.simulation().process(g).expect("it runs").unreadable_messages());
    assert!(strange.iter().all(|s| *s >= 2), "{strange:?}");
    story.when_published(less).after(4.0).then_all_are_under(2).the_end();
}

#[test]
fn links_that_lose_a_fifth_double_a_tenth_and_take_long() {
    given(fleet_of_7())
        .when_links_are_bad(200, 100, 300)
        .when_published(less)
        .after(8.0)
        .when(|w| w.resend(4, 1))
        .after(8.0)
        .then_numbered(2)
        .then_no_one_contradicts_for_a_moment()
        .when_links_are_bad(0, 0, 5)
        .after(4.0)
        .then_all_are_under(2)
        .the_end();
}

#[test]
fn of_five_keepers_two_may_be_gone() {
    given(SimulationConfig::fleet(9, 5))
        .when_power_is_lost(&[1, 5])
        .when_published(less)
        .after(6.0)
        .then_numbered(2)
        .then_is_under(8, 2)
        .when_started(&[1, 5])
        .after(4.0)
        .then_all_are_under(2)
        .then_nothing_told_is_lost()
        .the_end();
}

#[test]
fn a_proposal_sent_twice_is_numbered_once() {
    given(fleet_of_7())
        .when_published(less)
        .when(|w| w.resend(6, 1))
        .after(2.0)
        .when(|w| w.resend(5, 1))
        .after(2.0)
        .then_numbered(2)
        .then_all_are_under(2)
        .the_end();
}

#[test]
fn versions_that_contradict_nothing_come_under_without_a_moment_on_ground() {
    let mut story = given(fleet_of_7());
    let before = story.simulation().invariants().requests_on_fallback();
    // The floor is less: a lease allows what it did.
    story =
        story.when_published(|r| r.tenants.get_mut("sul").expect("the tenant").floor_milli = 900).after(5.0);
    story = story.then_all_are_under(2);
    let checks = story.simulation().invariants();
    assert_eq!((checks.requests_on_fallback(), checks.requests_between_versions()), (before, 0));
    story.the_end();
}

#[test]
fn a_gateway_joins_and_every_part_gets_smaller_without_a_moment_over_the_sum() {
    given(fleet_of_7())
        .when_published(|r| assert!(r.gateways.insert(8)))
        .after(4.0)
        .then_numbered(2)
        .then_all_are_under(2)
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_gateway_leaves_only_after_its_process_has_ended_and_the_others_take_its_part() {
    let leaves = |r: &mut Rules| assert!(r.gateways.remove(&7));
    given(fleet_of_7())
        .when_published(leaves)
        .after(2.0)
        .then_told(
            |o| matches!(o, Outcome::BreaksFallback { conflicts, .. } if conflicts.iter().any(|p| p.path == "gateways.7")),
        )
        .when_killed(&[7])
        .when_operator_says(Message::Retire { gateway: 7 })
        .after(1.0)
        .when_published(leaves)
        .after(4.0)
        .then_numbered(2)
        .then_is_under(6, 2)
        .the_end();
}

#[test]
fn a_server_that_vanishes_from_the_list_must_have_drained_first() {
    let gone = |r: &mut Rules| drop(r.servers.remove("s3"));
    let drained = |r: &mut Rules| r.servers.get_mut("s3").expect("the server").state = ServerState::Draining;
    given(fleet_of_7())
        .when_published(gone)
        .after(2.0)
        .then_told(
            |o| matches!(o, Outcome::BreaksFallback { version: 1, conflicts, .. } if conflicts[0].path == "servers.s3"),
        )
        .when(|w| w.drain("s3", true))
        .when_published(drained)
        .after(4.0)
        .then_numbered(2)
        .when_published(gone)
        .after(4.0)
        .then_numbered(3)
        .then_all_are_under(3)
        .the_end();
}

#[test]
fn two_keepers_that_hear_only_each_other_and_one_alone_agree_on_one_record() {
    given(fleet_of_7())
        .when_cut_off(&[1])
        .when_published(less)
        .after(5.0)
        .then_numbered(2)
        .when_mended()
        .when_cut_off(&[2])
        .when_published(less)
        .after(5.0)
        .then_numbered(3)
        .when_mended()
        .after(4.0)
        .then_all_are_under(3)
        .then_nothing_told_is_lost()
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_leader_killed_in_the_moment_of_publishing_loses_nothing_that_was_told() {
    for after in [0.0, 0.002, 0.005, 0.01, 0.03] {
        let story = given(fleet_of_7());
        let leader = story.leader();
        let editor = if leader == 3 { 2 } else { 3 };
        story
            .when_the_editor_moves_to(editor)
            .when_published(less)
            .after(after)
            .when_power_is_lost(&[leader])
            .after(6.0)
            .then_numbered(2)
            .when_started(&[leader])
            .after(4.0)
            .then_all_are_under(2)
            .then_nothing_told_is_lost()
            .the_end();
    }
}

#[test]
fn all_lose_their_power_at_once_and_come_back_to_what_was_told() {
    let all: Vec<u16> = (1..=7).collect();
    given(fleet_of_7())
        .when_published(less)
        .after(3.0)
        .then_numbered(2)
        .when_power_is_lost(&all)
        .after(1.0)
        .when_started(&all)
        .after(6.0)
        .then_all_are_under(2)
        .then_nothing_told_is_lost()
        .then_no_one_contradicts_for_a_moment()
        .the_end();
}

#[test]
fn a_gateway_stopped_for_a_minute_wakes_under_nothing_old() {
    given(fleet_of_7())
        .when_paused(&[6])
        .when_published(less)
        .after(30.0)
        .when_published(less)
        .after(30.0)
        .then_numbered(3)
        .when_resumed(&[6])
        .then_no_one_contradicts_for_a_moment()
        .after(3.0)
        .then_all_are_under(3)
        .the_end();
}
