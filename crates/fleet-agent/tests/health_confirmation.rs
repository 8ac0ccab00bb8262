//! Health confirmations: reports of servers on whether they take new work.

use frostgauge_consensus::Micros;
use frostgauge_fleet_agent::{HealthConfirmations, MAX_TRACKED_SERVERS};

#[test]
fn the_report_with_the_latest_request_decides() {
    let mut confirmations = HealthConfirmations::default();
    assert!(confirmations.allow_new_work("s", 0, None) && !confirmations.allow_new_work("s", 0, Some(10)));
    confirmations.record_report("s", 5, true);
    assert!(
        confirmations.allow_new_work("s", 15, Some(10)) && !confirmations.allow_new_work("s", 16, Some(10))
    );
    confirmations.record_report("s", 9, false);
    confirmations.record_report("s", 7, true);
    assert!(!confirmations.allow_new_work("s", 10, None) && !confirmations.allow_new_work("s", 10, Some(10)));
}

#[test]
fn the_oldest_report_is_dropped_beyond_the_maximum() {
    let mut confirmations = HealthConfirmations::default();
    (0..=MAX_TRACKED_SERVERS).for_each(|number| {
        confirmations.record_report(&number.to_string(), number as Micros, true);
    });
    assert!(
        !confirmations.allow_new_work("0", 1, Some(MAX_TRACKED_SERVERS as Micros))
            && confirmations.allow_new_work("1", 1, Some(MAX_TRACKED_SERVERS as Micros))
    );
}
