//! How attempts fare under a version.

use frostgauge_fleet_agent::{CanaryObserver, CanaryVerdict, MIN_VERDICT_ATTEMPTS};

fn ends(t: &mut CanaryObserver, failed: bool, n: u64) {
    (0..n).for_each(|_| t.record_attempt(failed));
}

fn verdict(version: u64, healthy: bool) -> Option<CanaryVerdict> {
    Some(CanaryVerdict { version, healthy })
}

#[test]
fn a_version_is_good_after_a_while_and_bad_at_once_when_attempts_begin_to_fail() {
    let mut t = CanaryObserver::new(100);
    t.set_version(0, Some(1));
    assert_eq!(t.verdict(99), None);
    ends(&mut t, false, 30);
    assert_eq!(t.verdict(100), verdict(1, true));
    t.set_version(200, Some(2));
    ends(&mut t, true, MIN_VERDICT_ATTEMPTS - 1);
    assert_eq!(t.verdict(200), None, "a few failures say nothing");
    t.record_attempt(true);
    assert_eq!(t.verdict(200), verdict(2, false));
    // Under the next one it begins anew.
    t.set_version(300, Some(3));
    ends(&mut t, false, 30);
    assert_eq!(t.verdict(400), verdict(3, true));
}

#[test]
fn what_failed_before_does_not_speak_against_a_version() {
    let mut t = CanaryObserver::new(100);
    t.set_version(0, Some(1));
    ends(&mut t, true, 15);
    ends(&mut t, false, 15);
    t.set_version(50, Some(2));
    ends(&mut t, true, 40);
    assert_eq!(t.verdict(150), verdict(2, true));
    // On ground or between versions nothing new begins.
    t.set_version(160, None);
    assert_eq!(t.verdict(160), verdict(2, true));
}
