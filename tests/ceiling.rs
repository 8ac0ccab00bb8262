//! The hard ceiling: each gateway lets through its even share only, and starts with none of the burst, since
//! an earlier incarnation may have used it.

mod common;
use common::*;
use frostgauge::*;

/// Two gateways and a ceiling of 10 units per second under a quota that never limits.
fn settings_with_ceiling() -> Settings {
    let mut settings = settings();
    settings.plans[0] = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ceiling_rate: 10.0,
        ceiling_burst: 20.0,
        ceiling_slack: 2.0,
        ..plan()
    };
    settings
}

/// How many of `count` requests of one customer, sent now, reach a server.
fn count_sent(driver: &mut Driver, count: usize) -> usize {
    let mut sent = 0;
    for _ in 0..count {
        let (id, actions) = driver.request(0, 5, S);
        if let Some(server) = sent_to(&actions) {
            sent += 1;
            driver.end_attempt(id, 0, server, Status::Ok);
        }
    }
    sent
}

#[test]
fn ceiling_share_starts_empty_and_fills_at_its_rate() {
    let mut driver = Driver::new(settings_with_ceiling(), &[entry(1, 0)]);
    assert_eq!(count_sent(&mut driver, 10), 0);
    driver.advance_to(S + S);
    assert_eq!(count_sent(&mut driver, 10), 5, "half of 10 units per second, over one second");
}

#[test]
fn ceiling_share_fills_to_its_part_of_burst_and_slack() {
    let mut driver = Driver::new(settings_with_ceiling(), &[entry(1, 0)]);
    driver.advance_to(60 * S);
    // Half of the burst of 20 and of the slack of 2.
    assert_eq!(count_sent(&mut driver, 40), 11);
}
