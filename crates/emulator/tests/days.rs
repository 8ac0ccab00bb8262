//! Days in virtual time: the same twice, rules kept on days of faults, and a planted fault found.

use frostgauge_emulator::{run, Day, Fault};

const S: u64 = 1_000_000;

#[test]
fn the_same_day_twice_is_the_same_to_the_last_event() {
    let day = Day::draw(5, 12);
    let first = run(&day).expect("it runs");
    assert_eq!(first, run(&day).expect("it runs"));
    assert_ne!(first.trace, run(&Day::draw(6, 12)).expect("it runs").trace);
    assert!(first.asked > 3_000 && first.served > first.asked / 3, "{first:?}");
}

#[test]
fn days_of_faults_keep_the_limit_and_bring_everyone_home() {
    for seed in 0..12 {
        let day = Day::draw(seed, if seed % 2 == 0 { 3 } else { 40 });
        let outcome = run(&day).expect("it runs");
        assert!(outcome.spill <= 1.0, "seed {seed}: spill {} of the limit", outcome.spill);
        assert_eq!((outcome.answers_wrong, outcome.away, outcome.fell), (0, 0, 0), "seed {seed}: {day:?}");
    }
}

#[test]
fn without_the_decisions_about_zones_the_limit_is_passed() {
    // The planted fault: the check must see what the package prevents.
    let dark = (2 * S, Fault::Dark { zone: 0, len: 4 * S });
    let day = Day { zones: false, faults: vec![dark], ..Day::draw(3, 30) };
    assert!(run(&day).expect("it runs").spill > 1.0);
    assert!(run(&Day { zones: true, ..day }).expect("it runs").spill <= 1.0);
}
