//! The delay rule, the bucket and the metered share, by numbers worked out by hand.

mod common;
use common::*;
use frostgauge::*;

/// Servers enough that only the quota decides.
fn rig(settings: Settings) -> Rig {
    Rig::new(settings, &(1..=10).map(|k| entry(k, 0)).collect::<Vec<_>>())
}

/// Sends `n` requests of customer 5 now; how many went at once, were refused at once, were held.
fn burst(rig: &mut Rig, n: usize) -> (usize, usize, usize) {
    let all: Vec<_> = (0..n).map(|_| rig.request(0, 5, 2 * S).1).collect();
    let went = all.iter().filter(|a| sent(a).is_some()).count();
    let turned = all.iter().filter(|a| refused(a)).count();
    (went, turned, n - went - turned)
}

#[test]
fn a_new_customer_starts_full_and_without_delay() {
    let mut rig = rig(settings());
    // The even slice of a burst of 4 over two gateways is full at the first request, which sees all 4.
    let (went, turned, held) = burst(&mut rig, 6);
    assert_eq!((went + turned, held), (6, 0), "no delay yet, so none is held");
    assert!((2..=4).contains(&went), "{went}");
}

#[test]
fn over_speed_makes_a_delay_and_uncovered_requests_leave_one_per_delay() {
    let mut rig = rig(settings());
    burst(&mut rig, 20);
    rig.run_to(S + 500 * MS);
    // 20 units in half a second are 40 a second, 39 over the even slice of 1. At most 4 are open, so the
    // first delay is at least 39 / 5 ms and at most 39 ms (a previous zero counts as one).
    let (_, turned, held) = burst(&mut rig, 6);
    assert_eq!(turned, 0, "none is refused before its delay is over");
    assert!(held >= 5);
    let done = rig.run_to(S + 900 * MS);
    let times: Vec<_> =
        done.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).map(|d| d.0).collect();
    assert!(times.len() >= 4, "{times:?}");
    assert!(times.windows(2).take(2).all(|w| w[1] - w[0] >= 7 * MS), "{times:?}");
    let last = times.iter().max().expect("some left");
    assert!(*last <= S + 500 * MS + 90 * MS, "a hold is capped at 15% of the aim: {last}");
}

#[test]
fn a_refusal_tells_when_the_bucket_holds_the_units_again() {
    let mut rig = rig(settings());
    burst(&mut rig, 4);
    let (_, actions) = rig.request(0, 5, 2 * S);
    // Empty bucket, one unit, filled at the even slice of one a second.
    assert!(matches!(actions[..], [Action::Reject { retry_after: 1_000_000, .. }]), "{actions:?}");
}

#[test]
fn the_even_slice_serves_while_nothing_is_metered() {
    let mut rig = rig(settings());
    burst(&mut rig, 10);
    let mut went = 0;
    for k in 0..100 {
        rig.run_to(S + (k + 1) * 100 * MS);
        let (id, actions) = rig.request(0, 5, 2 * S);
        let mut done = actions;
        done.extend(rig.run_to(rig.now + 95 * MS).into_iter().map(|d| d.1));
        if let Some(server) = sent(&done) {
            went += 1;
            rig.outcome(id, 0, server, Status::Ok);
        }
    }
    assert!((9..=11).contains(&went), "ten seconds at one a second: {went}");
}

#[test]
fn a_metered_share_of_all_use_fills_the_bucket_at_the_whole_quota() {
    let mut s = settings();
    s.capabilities.usage_period = 500 * MS;
    let mut rig = rig(s);
    burst(&mut rig, 10);
    let mut went = 0;
    for k in 0..100 {
        rig.run_to(S + (k + 1) * 100 * MS);
        let (id, actions) = rig.request(0, 5, 2 * S);
        let mut done = actions;
        done.extend(rig.run_to(rig.now + 95 * MS).into_iter().map(|d| d.1));
        if let Some(server) = sent(&done) {
            went += 1;
            rig.event(Event::AttemptEnded {
                id,
                attempt: 0,
                server,
                status: Status::Ok,
                elapsed: 30 * MS,
                request_finished: true,
                usage: Some(0.5), // all use there is, and it is ours
                settled_units: None,
                load: None,
            });
        }
    }
    assert!(went >= 15, "near two a second over ten seconds: {went}");
}

#[test]
fn a_try_with_little_time_is_not_held_for_most_of_it() {
    let mut rig = rig(settings());
    for _ in 0..8 {
        burst(&mut rig, 20);
        rig.run_to(rig.now + 250 * MS);
    }
    // The pacer's delay is long by now.
    let began = rig.now;
    let held: Vec<_> = (0..10)
        .map(|_| rig.request(0, 5, 130 * MS))
        .filter(|(_, a)| !refused(a) && sent(a).is_none())
        .collect();
    assert!(held.len() >= 5, "{}", held.len());
    let done = rig.run_to(began + 130 * MS);
    for (id, _) in held {
        let at = done.iter().find(|(_, a)| matches!(a, Action::Reject { id: of, .. } if *of == id));
        let at = at.expect("refused").0;
        assert!(at < began + 65 * MS, "held for {} of 130 ms", (at - began) / MS);
    }
}

#[test]
fn a_hundred_thousand_customers_seen_once_are_forgotten() {
    let mut rig = rig(settings());
    for k in 0..100_000 {
        rig.run_to(rig.now + MS);
        let (id, actions) = rig.request(0, 1_000 + k, 100 * MS);
        if let Some(server) = sent(&actions) {
            rig.outcome(id, 0, server, Status::Ok);
        }
    }
    // Their stores are full again within some seconds; those seen before that are gone already.
    assert!(rig.gateway.customer_count() < 10_000, "{}", rig.gateway.customer_count());
    rig.run_to(rig.now + 10 * S);
    assert_eq!(rig.gateway.customer_count(), 0);
}
