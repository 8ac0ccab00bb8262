//! Admission: which requests are rejected while the back end has no capacity for them.

mod common;
use common::*;
use frostgauge::*;

/// How many requests of new customers are sent before the first is rejected, while none is answered.
fn count_admitted(driver: &mut Driver, class: usize) -> usize {
    (0..200).take_while(|k| sent_to(&driver.request(class, 1000 + k, 2 * S).1).is_some()).count()
}

/// A single gateway with four servers, and two classes; the second has four times the priority weight.
fn driver() -> Driver {
    let mut settings = Settings { gateways: 1, ..settings() };
    settings.classes =
        vec![class(Effect::Idempotent), Class { priority_weight: 4.0, ..class(Effect::Idempotent) }];
    Driver::new(settings, &[entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0)])
}

#[test]
fn attempts_in_flight_are_limited_without_answers() {
    let admitted = count_admitted(&mut driver(), 1);
    assert!((8..=30).contains(&admitted), "{admitted} admitted");
}

#[test]
fn low_weight_class_gets_a_lower_limit() {
    let (low_weight, high_weight) = (count_admitted(&mut driver(), 0), count_admitted(&mut driver(), 1));
    assert!(low_weight < high_weight && low_weight > 0, "{low_weight} and {high_weight} admitted");
}

#[test]
fn slow_answers_lower_the_limit() {
    let count_after_answers = |elapsed| {
        let mut driver = driver();
        for k in 0..60 {
            let (id, actions) = driver.request(1, k, 2 * S);
            let server = sent_to(&actions).expect("the gateway has capacity for one attempt");
            driver.end_attempt_after(id, 0, server, Status::Ok, elapsed);
        }
        driver.advance_to(20 * S);
        count_admitted(&mut driver, 1)
    };
    let (after_fast, after_slow) = (count_after_answers(20 * MS), count_after_answers(500 * MS));
    assert!(after_slow < after_fast && after_slow > 0, "{after_slow} and {after_fast} admitted");
}

#[test]
fn no_request_is_rejected_for_a_past_overload() {
    // Three gateways share ten servers: this one's limit at rest is over 16 attempts, after slow answers under 5.
    let settings = Settings { gateways: 3, classes: vec![class(Effect::Idempotent)], ..settings() };
    let mut driver = Driver::new(settings, &(1..=10).map(|k| entry(k, 0)).collect::<Vec<_>>());
    let mut in_flight = std::collections::VecDeque::new();
    // An overload: answers take 500 ms each, and as many attempts are in flight as the limit allows.
    for k in 0..200 {
        driver.advance_to(driver.now + 10 * MS);
        let (id, actions) = driver.request(0, 1_000 + k, 2 * S);
        in_flight.extend(sent_to(&actions).map(|server| (driver.now, id, server)));
        while in_flight.front().is_some_and(|(sent_at, _, _)| sent_at + 500 * MS <= driver.now) {
            let (_, id, server) = in_flight.pop_front().expect("not empty");
            driver.end_attempt_after(id, 0, server, Status::Ok, 500 * MS);
        }
    }
    for (_, id, server) in in_flight {
        driver.end_attempt_after(id, 0, server, Status::Ok, 500 * MS);
    }
    // Nothing is in flight now, so the next request is sent, whatever the mean in flight of the last seconds was.
    assert!(sent_to(&driver.request(0, 999, 2 * S).1).is_some());
}

#[test]
fn duration_of_unanswered_attempts_does_not_matter() {
    let count_after_silence = |silence: Micros| {
        let mut driver = driver();
        for k in 0..100 {
            let (id, actions) = driver.request(1, k, 2 * S);
            let server = sent_to(&actions).expect("the gateway has capacity for one attempt");
            // Two in a hundred get no answer, the others one after a tenth of the latency objective.
            let (status, elapsed) =
                if k % 50 == 0 { (Status::Timeout, silence) } else { (Status::Ok, 60 * MS) };
            driver.end_attempt_after(id, 0, server, status, elapsed);
        }
        // The most recent attempt got no answer either.
        let (id, actions) = driver.request(1, 500, 2 * S);
        let server = sent_to(&actions).expect("the gateway has capacity for one attempt");
        driver.end_attempt_after(id, 0, server, Status::Timeout, silence);
        count_admitted(&mut driver, 1)
    };
    assert_eq!(
        count_after_silence(2 * S),
        count_after_silence(600 * MS),
        "a timeout does not show how late the answer would have been"
    );
}

/// How many requests are admitted beside `unanswered` attempts that were sent a second ago, after 60 answers
/// that took `elapsed` µs each.
fn count_admitted_beside(unanswered: u64, elapsed: Micros) -> usize {
    let mut driver = driver();
    for k in 0..60 {
        let (id, actions) = driver.request(1, k, 2 * S);
        let server = sent_to(&actions).expect("the gateway has capacity for one attempt");
        driver.advance_to(driver.now + elapsed);
        driver.end_attempt_after(id, 0, server, Status::Ok, elapsed);
    }
    for k in 0..unanswered {
        assert!(sent_to(&driver.request(1, 100 + k, 2 * S).1).is_some());
    }
    driver.advance_to(driver.now + S);
    count_admitted(&mut driver, 1)
}

#[test]
fn lost_attempts_do_not_count_as_in_flight() {
    assert_eq!(count_admitted_beside(6, 30 * MS), count_admitted_beside(0, 30 * MS));
}

#[test]
fn unanswered_attempts_count_while_answers_are_slow() {
    assert_eq!(count_admitted_beside(4, 550 * MS) + 4, count_admitted_beside(0, 550 * MS));
}

#[test]
fn small_limit_serves_low_weight_beside_lost_attempts() {
    let mut settings = settings();
    settings.gateways = 100;
    settings.classes =
        vec![class(Effect::Idempotent), Class { priority_weight: 10.0, ..class(Effect::NonIdempotent) }];
    let mut driver = Driver::new(settings, &(1..=60).map(|k| entry(k, 0)).collect::<Vec<_>>());
    let (mut to_answer, mut low_weight_sent) = (Vec::new(), 0);
    // One request in four, once a second, gets no answer; the others are answered after 100 ms.
    for k in 0..80 {
        let (id, actions) = driver.request((k % 4) as usize / 2, k, 2 * S);
        low_weight_sent += usize::from(k >= 40 && k % 4 < 2 && sent_to(&actions).is_some());
        to_answer.extend(sent_to(&actions).filter(|_| k % 4 != 3).map(|server| (id, server)));
        driver.advance_to(driver.now + 100 * MS);
        for (id, server) in to_answer.drain(..) {
            driver.end_attempt_after(id, 0, server, Status::Ok, 100 * MS);
        }
        driver.advance_to(driver.now + 150 * MS);
    }
    assert_eq!(low_weight_sent, 20);
}
