//! Conditions become active and end only after the observations have called for it for the required time.

use frostgauge_connection_budget::{Condition, ConditionTracker, Observation, Policy};

/// A policy with only this condition, named `c`.
fn policy(condition: Condition) -> Policy {
    Policy { conditions: [("c".into(), condition)].into(), ..Policy::default() }
}

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

#[test]
fn zone_state_must_last_before_the_condition_changes() {
    let policy =
        policy(Condition::ZoneUnavailable { zone: "a".into(), begin_after_ms: 100, end_after_ms: 500 });
    let (unavailable, available) = (
        Observation { unavailable_zones: ["a".to_owned()].into(), ..Observation::default() },
        Observation::default(),
    );
    let mut tracker = ConditionTracker::default();
    assert!(!tracker.observe(0, &policy, &unavailable) && !tracker.observe(99 * MS, &policy, &unavailable));
    // A single observation that the zone is available restarts the waiting time.
    assert!(
        !tracker.observe(99 * MS, &policy, &available)
            && !tracker.observe(150 * MS, &policy, &unavailable)
            && !tracker.observe(249 * MS, &policy, &unavailable)
    );
    assert!(tracker.observe(250 * MS, &policy, &unavailable) && tracker.active().contains("c"));
    assert!(
        !tracker.observe(300 * MS, &policy, &available) && !tracker.observe(799 * MS, &policy, &available)
    );
    assert!(tracker.observe(800 * MS, &policy, &available) && tracker.active().is_empty());
}

#[test]
fn usage_between_percentages_or_unknown_changes_nothing() {
    let usage_above = Condition::UsageAbove {
        budget: "b".into(),
        percent: 90,
        begin_after_ms: 0,
        end_below_percent: 70,
        end_after_ms: 0,
    };
    let policy = policy(usage_above);
    let usage = |percent: u8| Observation {
        usage_percent: [("b".to_owned(), percent)].into(),
        ..Observation::default()
    };
    let mut tracker = ConditionTracker::default();
    assert!(!tracker.observe(0, &policy, &usage(90)) && tracker.observe(1, &policy, &usage(91)));
    assert!(
        !tracker.observe(2, &policy, &usage(80))
            && !tracker.observe(3, &policy, &usage(70))
            && !tracker.observe(4, &policy, &Observation::default())
    );
    assert!(tracker.observe(5, &policy, &usage(69)) && tracker.active().is_empty());
}

#[test]
fn time_of_day_may_span_midnight() {
    let policy = policy(Condition::TimeOfDay { from_minute: 22 * 60, to_minute: 6 * 60 });
    let mut tracker = ConditionTracker::default();
    let at = |minute| Observation { minute_of_day: minute, ..Observation::default() };
    assert!(!tracker.observe(0, &policy, &at(21 * 60 + 59)) && tracker.observe(1, &policy, &at(22 * 60)));
    assert!(
        !tracker.observe(2, &policy, &at(0))
            && !tracker.observe(3, &policy, &at(359))
            && tracker.observe(4, &policy, &at(360))
    );
}
