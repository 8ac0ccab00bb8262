//! The search in small: what it plays is kept, and each planted fault is found.

use frostgauge_fleet::search::{draw, figures, play, shrink, Fault, Outcomes, Schedule};
use frostgauge_fleet::Plant;

fn run(seeds: std::ops::Range<u64>, gateways: u16, plant: Option<Plant>) -> Vec<(Schedule, Outcomes)> {
    let each = seeds.map(|seed| {
        let schedule = draw(seed, gateways);
        let outcomes = play(&schedule, plant);
        (schedule, outcomes)
    });
    each.collect()
}

#[test]
fn drawn_faults_at_five_nine_and_thirty_gateways_contradict_nothing_and_lose_nothing() {
    for (gateways, count) in [(5, 12), (9, 8), (30, 2)] {
        let all = run(40_000..40_000 + count, gateways, None);
        let (line, kept) = figures(gateways, 40_000, 3_000, &all);
        assert!(kept, "{line} {:#?}", all.iter().filter(|(_, o)| !o.kept()).collect::<Vec<_>>());
        assert_eq!(line["verdict"], "kept");
        assert!(line["versions"].as_u64() > Some(0), "nothing was agreed on: {line}");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    let schedule = draw(77, 7);
    assert_eq!(play(&schedule, None), play(&schedule, None));
}

#[test]
fn every_planted_fault_is_found() {
    for (name, plant) in Plant::ALL {
        let seed = (500..620).find(|seed| !play(&draw(*seed, 7), Some(plant)).kept());
        let seed = seed.unwrap_or_else(|| panic!("{name} is found by none of 120 seeds"));
        assert!(play(&draw(seed, 7), None).kept(), "seed {seed} breaks something without {name} too");
    }
}

#[test]
fn what_is_found_is_made_short() {
    let fails = |s: &Schedule| !play(s, Some(Plant::NoWait)).kept();
    let schedule = (500..620).map(|seed| draw(seed, 7)).find(fails).expect("a schedule that fails");
    let short = shrink(&schedule, fails);
    assert!(short.faults.len() < schedule.faults.len(), "{short:?}");
    assert!(short.faults.iter().any(|(_, f)| matches!(f, Fault::Publish(..))), "{short:?}");
}
