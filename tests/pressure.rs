//! What is held back while the back end is short.

mod common;
use common::*;
use frostgauge::*;

/// Requests of fresh customers that go out before the first is refused, none being answered.
fn taken(rig: &mut Rig, class: usize) -> usize {
    (0..200).take_while(|k| sent(&rig.request(class, 1000 + k, 2 * S).1).is_some()).count()
}

fn rig() -> Rig {
    let mut s = Settings { gateways: 1, ..settings() };
    s.classes = vec![class(Effect::Idempotent), Class { priority_weight: 4.0, ..class(Effect::Idempotent) }];
    Rig::new(s, &[entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0)])
}

#[test]
fn what_is_out_is_bounded_though_nothing_is_answered() {
    let taken = taken(&mut rig(), 1);
    assert!((8..=30).contains(&taken), "{taken}");
}

#[test]
fn the_cheap_class_finds_less_room_than_the_dear_one() {
    let (cheap, dear) = (taken(&mut rig(), 0), taken(&mut rig(), 1));
    assert!(cheap < dear && cheap > 0, "{cheap} {dear}");
}

#[test]
fn slow_answers_shrink_the_floor() {
    let slowed = |took| {
        let mut rig = rig();
        for k in 0..60 {
            let (id, actions) = rig.request(1, k, 2 * S);
            let server = sent(&actions).expect("room for one");
            rig.ended(id, 0, server, Status::Ok, took);
        }
        rig.run_to(20 * S);
        taken(&mut rig, 1)
    };
    let (fast, slow) = (slowed(20 * MS), slowed(500 * MS));
    assert!(slow < fast && slow > 0, "{slow} {fast}");
}

#[test]
fn few_gateways_with_nothing_out_refuse_nobody_for_a_jam_that_is_over() {
    // Ten servers before three gateways: at rest this one's part is over 16 attempts, after slow answers under five.
    let s = Settings { gateways: 3, classes: vec![class(Effect::Idempotent)], ..settings() };
    let mut rig = Rig::new(s, &(1..=10).map(|k| entry(k, 0)).collect::<Vec<_>>());
    let mut out = std::collections::VecDeque::new();
    // A jam: answers take 500 ms each, and as much is out as may be.
    for k in 0..200 {
        rig.run_to(rig.now + 10 * MS);
        let (id, actions) = rig.request(0, 1_000 + k, 2 * S);
        out.extend(sent(&actions).map(|server| (rig.now, id, server)));
        while out.front().is_some_and(|o| o.0 + 500 * MS <= rig.now) {
            let (_, id, server) = out.pop_front().expect("one");
            rig.ended(id, 0, server, Status::Ok, 500 * MS);
        }
    }
    for (_, id, server) in out {
        rig.ended(id, 0, server, Status::Ok, 500 * MS);
    }
    // Nothing is out now: the next one goes, whatever the mean of the last seconds was.
    assert!(sent(&rig.request(0, 999, 2 * S).1).is_some());
}

#[test]
fn a_few_attempts_without_any_answer_are_no_jam() {
    let taken_after = |silent: u64| {
        let mut rig = rig();
        for k in 0..100 {
            let (id, actions) = rig.request(1, k, 2 * S);
            let server = sent(&actions).expect("room for one");
            // Two in a hundred fall silent, the rest take a tenth of the aim.
            let (status, took) = if k % 50 == 0 { (Status::Timeout, silent) } else { (Status::Ok, 60 * MS) };
            rig.ended(id, 0, server, status, took);
        }
        // The last of them just now.
        let (id, actions) = rig.request(1, 500, 2 * S);
        let server = sent(&actions).expect("room for one");
        rig.ended(id, 0, server, Status::Timeout, silent);
        taken(&mut rig, 1)
    };
    assert_eq!(taken_after(2 * S), taken_after(600 * MS), "how long nothing came says nothing more");
}

/// How many requests go out at once beside so many that have been out for a second, after answers that took so long.
fn room_beside(silent: u64, took: Micros) -> usize {
    let mut rig = rig();
    for k in 0..60 {
        let (id, actions) = rig.request(1, k, 2 * S);
        let server = sent(&actions).expect("room for one");
        rig.run_to(rig.now + took);
        rig.ended(id, 0, server, Status::Ok, took);
    }
    for k in 0..silent {
        assert!(sent(&rig.request(1, 100 + k, 2 * S).1).is_some());
    }
    rig.run_to(rig.now + S);
    taken(&mut rig, 1)
}

#[test]
fn attempts_that_fell_silent_hold_no_room_once_answers_would_have_come() {
    assert_eq!(room_beside(6, 30 * MS), room_beside(0, 30 * MS));
}

#[test]
fn in_a_jam_all_that_is_out_holds_room() {
    assert_eq!(room_beside(4, 550 * MS) + 4, room_beside(0, 550 * MS));
}

#[test]
fn a_cheap_class_is_served_beside_attempts_that_fell_silent_where_the_part_is_a_few() {
    let mut s = settings();
    s.gateways = 100;
    s.classes =
        vec![class(Effect::Idempotent), Class { priority_weight: 10.0, ..class(Effect::NonIdempotent) }];
    let mut rig = Rig::new(s, &(1..=60).map(|k| entry(k, 0)).collect::<Vec<_>>());
    let (mut answered, mut cheap) = (Vec::new(), 0);
    // One request in four, once a second, goes to a server that says nothing; nobody else takes long.
    for k in 0..80 {
        let (id, actions) = rig.request((k % 4) as usize / 2, k, 2 * S);
        cheap += usize::from(k >= 40 && k % 4 < 2 && sent(&actions).is_some());
        answered.extend(sent(&actions).filter(|_| k % 4 != 3).map(|server| (id, server)));
        rig.run_to(rig.now + 100 * MS);
        for (id, server) in answered.drain(..) {
            rig.ended(id, 0, server, Status::Ok, 100 * MS);
        }
        rig.run_to(rig.now + 150 * MS);
    }
    assert_eq!(cheap, 20);
}
