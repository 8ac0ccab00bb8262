//! Verdicts of a canary gateway on a version, from the results of attempts.

use frostgauge_fleet_agent::{CanaryObserver, CanaryVerdict, MIN_VERDICT_ATTEMPTS};

fn record_attempts(observer: &mut CanaryObserver, failed: bool, count: u64) {
    (0..count).for_each(|_| observer.record_attempt(failed));
}

fn verdict(version: u64, healthy: bool) -> Option<CanaryVerdict> {
    Some(CanaryVerdict { version, healthy })
}

#[test]
fn a_version_is_unhealthy_at_once_but_healthy_only_later() {
    let mut observer = CanaryObserver::new(100);
    observer.set_version(0, Some(1));
    assert_eq!(observer.verdict(99), None);
    record_attempts(&mut observer, false, 30);
    assert_eq!(observer.verdict(100), verdict(1, true));
    observer.set_version(200, Some(2));
    record_attempts(&mut observer, true, MIN_VERDICT_ATTEMPTS - 1);
    assert_eq!(observer.verdict(200), None, "too few attempts for a verdict");
    observer.record_attempt(true);
    assert_eq!(observer.verdict(200), verdict(2, false));
    // The next version is judged by its own attempts.
    observer.set_version(300, Some(3));
    record_attempts(&mut observer, false, 30);
    assert_eq!(observer.verdict(400), verdict(3, true));
}

#[test]
fn failures_count_only_if_few_failed_before() {
    let mut observer = CanaryObserver::new(100);
    observer.set_version(0, Some(1));
    record_attempts(&mut observer, true, 15);
    record_attempts(&mut observer, false, 15);
    observer.set_version(50, Some(2));
    record_attempts(&mut observer, true, 40);
    assert_eq!(observer.verdict(150), verdict(2, true));
    // While no single version is in effect, the last one stays under observation.
    observer.set_version(160, None);
    assert_eq!(observer.verdict(160), verdict(2, true));
}
