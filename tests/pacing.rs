//! The pacer's delay, the quota's token bucket and the share by metered usage, against values computed by hand.

mod common;
use common::*;
use frostgauge::*;

/// A gateway with ten servers: enough that only the quota limits it.
fn driver(settings: Settings) -> Driver {
    Driver::new(settings, &(1..=10).map(|k| entry(k, 0)).collect::<Vec<_>>())
}

/// Sends requests of customer 5 now; how many of them are sent at once, rejected at once, and held.
fn burst(driver: &mut Driver, count: usize) -> (usize, usize, usize) {
    let actions: Vec<_> = (0..count).map(|_| driver.request(0, 5, 2 * S).1).collect();
    let sent = actions.iter().filter(|actions| sent_to(actions).is_some()).count();
    let rejected = actions.iter().filter(|actions| is_rejected(actions)).count();
    (sent, rejected, count - sent - rejected)
}

#[test]
fn new_customer_starts_with_full_bucket_and_no_delay() {
    let mut driver = driver(settings());
    // The bucket starts full with the burst of 4; this gateway's even share of it is 2.
    let (sent, rejected, held) = burst(&mut driver, 6);
    assert_eq!((sent + rejected, held), (6, 0), "no request is held while there is no delay");
    assert!((2..=4).contains(&sent), "{sent} sent");
}

#[test]
fn requests_over_quota_are_released_one_per_delay() {
    let mut driver = driver(settings());
    burst(&mut driver, 20);
    driver.advance_to(S + 500 * MS);
    // 20 units in half a second are 40 per second, 39 above the even share of 1. At most 4 requests are in
    // flight, so the first delay is at least 39 / 5 ms and at most 39 ms (a previous delay of 0 counts as 1
    // ms).
    let (_, rejected, held) = burst(&mut driver, 6);
    assert_eq!(rejected, 0, "no request is rejected before its delay is over");
    assert!(held >= 5);
    let actions = driver.advance_to(S + 900 * MS);
    let rejections = actions.iter().filter(|(_, action)| matches!(action, Action::Reject { .. }));
    let times: Vec<_> = rejections.map(|(at, _)| *at).collect();
    assert!(times.len() >= 4, "{times:?}");
    assert!(times.windows(2).take(2).all(|pair| pair[1] - pair[0] >= 7 * MS), "{times:?}");
    let last = times.iter().max().expect("at least four rejections");
    assert!(*last <= S + 500 * MS + 90 * MS, "the longest hold is 15% of the latency objective: {last}");
}

#[test]
fn retry_after_is_the_time_until_the_bucket_has_the_units() {
    let mut driver = driver(settings());
    burst(&mut driver, 4);
    let (_, actions) = driver.request(0, 5, 2 * S);
    // The bucket is empty and refills at the even share of 1 unit per second; the request needs 1 unit.
    assert!(matches!(actions[..], [Action::Reject { retry_after: 1_000_000, .. }]), "{actions:?}");
}

#[test]
fn even_share_is_served_while_usage_is_not_metered() {
    let mut driver = driver(settings());
    burst(&mut driver, 10);
    let mut sent = 0;
    for k in 0..100 {
        driver.advance_to(S + (k + 1) * 100 * MS);
        let (id, mut actions) = driver.request(0, 5, 2 * S);
        actions.extend(driver.advance_to(driver.now + 95 * MS).into_iter().map(|(_, action)| action));
        if let Some(server) = sent_to(&actions) {
            sent += 1;
            driver.end_attempt(id, 0, server, Status::Ok);
        }
    }
    assert!((9..=11).contains(&sent), "{sent} sent in ten seconds at 1 per second");
}

#[test]
fn gateway_with_all_metered_usage_gets_the_whole_quota() {
    let mut settings = settings();
    settings.capabilities.usage_period = 500 * MS;
    let mut driver = driver(settings);
    burst(&mut driver, 10);
    let mut sent = 0;
    for k in 0..100 {
        driver.advance_to(S + (k + 1) * 100 * MS);
        let (id, mut actions) = driver.request(0, 5, 2 * S);
        actions.extend(driver.advance_to(driver.now + 95 * MS).into_iter().map(|(_, action)| action));
        if let Some(server) = sent_to(&actions) {
            sent += 1;
            driver.handle(Event::AttemptEnded {
                id,
                attempt: 0,
                server,
                status: Status::Ok,
                elapsed: 30 * MS,
                request_finished: true,
                usage: Some(0.5), // of the quota, all of it through this gateway
                settled_units: None,
                load: None,
            });
        }
    }
    assert!(sent >= 15, "{sent} sent in ten seconds at nearly 2 per second");
}

#[test]
fn request_with_short_timeout_is_held_under_half_of_it() {
    let mut driver = driver(settings());
    for _ in 0..8 {
        burst(&mut driver, 20);
        driver.advance_to(driver.now + 250 * MS);
    }
    // The pacer's delay is long by now.
    let start = driver.now;
    let held: Vec<_> = (0..10)
        .map(|_| driver.request(0, 5, 130 * MS))
        .filter(|(_, actions)| !is_rejected(actions) && sent_to(actions).is_none())
        .collect();
    assert!(held.len() >= 5, "{} of 10 held", held.len());
    let actions = driver.advance_to(start + 130 * MS);
    for (id, _) in held {
        let is_rejection =
            |action: &Action| matches!(action, Action::Reject { id: rejected, .. } if *rejected == id);
        let (rejected_at, _) =
            *actions.iter().find(|(_, action)| is_rejection(action)).expect("the held request is rejected");
        assert!(rejected_at < start + 65 * MS, "held for {} of 130 ms", (rejected_at - start) / MS);
    }
}

#[test]
fn customers_seen_once_are_forgotten() {
    let mut driver = driver(settings());
    for k in 0..100_000 {
        driver.advance_to(driver.now + MS);
        let (id, actions) = driver.request(0, 1_000 + k, 100 * MS);
        if let Some(server) = sent_to(&actions) {
            driver.end_attempt(id, 0, server, Status::Ok);
        }
    }
    // A customer is dropped once its buckets are full again, which takes some seconds.
    assert!(driver.gateway.customer_count() < 10_000, "{} customers", driver.gateway.customer_count());
    driver.advance_to(driver.now + 10 * S);
    assert_eq!(driver.gateway.customer_count(), 0);
}

/// Guards against clients that leave and send again, and so get more attempts in flight than their plan allows.
#[test]
fn attempts_of_clients_that_left_count_as_in_flight() {
    let mut settings = settings();
    settings.gateways = 1;
    settings.plans[0].max_in_flight = 1;
    let mut driver = driver(settings);
    let (id, actions) = driver.request(0, 5, 2 * S);
    let server = sent_to(&actions).expect("an attempt");
    driver.handle(Event::ClientDisconnected { id });
    assert_eq!(burst(&mut driver, 1).0, 0, "a second attempt in flight");
    driver.end_attempt(id, 0, server, Status::Ok);
    driver.advance_to(4 * S);
    assert_eq!(burst(&mut driver, 1).0, 1, "nothing is in flight");
}
