//! Hundreds of gateways: what one does must add up over all of them.

mod common;
use common::*;
use frostgauge::*;

/// One of `n` gateways, seeded by its number, with ten servers listed.
fn gateway(mut s: Settings, me: usize, n: usize, seed: u64) -> Gateway {
    s.gateway_id = me;
    s.gateways = n;
    let mut g = Gateway::new(s, seed, S).expect("sound settings");
    let entries = (1..=10).map(|k| entry(k, 0)).collect();
    g.handle(S, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
    g
}

fn request(k: u64, customer: u64, subset_size: usize) -> Event {
    Event::Request {
        id: RequestId(k),
        class: 0,
        plan: 0,
        customer: CustomerId(customer),
        timeout: 2 * S,
        units: 1.0,
        subset_size,
        subset_start: 0,
        is_retry: false,
    }
}

/// Plays a request to the end of its hold; where it went.
fn play(g: &mut Gateway, now: Micros, k: u64, customer: u64, subset_size: usize) -> Option<ServerId> {
    let mut out = Vec::new();
    g.handle(now, request(k, customer, subset_size), &mut out);
    let hold = out.iter().find_map(|a| match a {
        Action::Timer { at, timer } if *at < now + S => Some((*at, *timer)),
        _ => None,
    });
    if let Some((at, timer)) = hold.filter(|_| sent(&out).is_none()) {
        g.handle(at, Event::Timer { timer }, &mut out);
    }
    sent(&out)
}

fn served(g: &mut Gateway, now: Micros, k: u64, server: ServerId, used: f64) -> Vec<Action> {
    let mut out = Vec::new();
    let (id, status, elapsed) = (RequestId(k), Status::Ok, 50 * MS);
    let end = Event::AttemptEnded {
        id,
        attempt: 0,
        server,
        status,
        elapsed,
        request_finished: true,
        usage: Some(used),
        settled_units: None,
        load: Some(Load { inflight: Some(0.0), ..Load::default() }),
    };
    g.handle(now, end, &mut out);
    out
}

fn metered() -> Settings {
    let mut s = settings();
    s.capabilities.usage_period = 500 * MS;
    s
}

#[test]
fn a_small_customer_with_room_is_served_at_each_of_its_gateways() {
    // Two a second over 160 gateways: an even slice is a request in eighty seconds.
    let went = (0..160).filter(|me| {
        let mut g = gateway(metered(), *me, 160, *me as u64);
        play(&mut g, 2 * S, 1, 5, 160).is_some()
    });
    assert_eq!(went.count(), 160);
}

/// So many gateways that share a customer; one of them reads so much use of it, in quotas, and tells the others.
fn told_of_use(n: usize, used: f64) -> Vec<Gateway> {
    let mut s = metered();
    s.capabilities.peers = true;
    let mut all: Vec<Gateway> = (0..n).map(|me| gateway(s.clone(), me, n, me as u64)).collect();
    let server = play(&mut all[0], 2 * S, 1, 5, n).expect("room at first");
    served(&mut all[0], 2 * S + 50 * MS, 1, server, used);
    let mut news = Vec::new();
    all[0].handle(2 * S + 100 * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut news);
    let mut told = 0;
    for action in news {
        if let Action::SendToPeer { to, data } = action {
            all[to].handle(2 * S + 110 * MS, Event::PeerMessage { from: 0, data }, &mut Vec::new());
            told += 1;
        }
    }
    assert_eq!(told, n - 1);
    all
}

#[test]
fn a_customer_back_under_its_quota_is_served_at_each_of_its_gateways() {
    let mut all = told_of_use(160, 5.0);
    // Nobody has told of it for long.
    let went = all.iter_mut().filter_map(|g| play(g, 20 * S, 10, 5, 160));
    assert_eq!(went.count(), 160);
}

#[test]
fn a_customer_over_its_quota_is_cut_to_it_over_all_gateways() {
    let n = 160;
    let mut all = told_of_use(n, 5.0);
    let mut went = 0;
    for (me, g) in all.iter_mut().enumerate() {
        for k in 0..5 {
            let now = 2 * S + 200 * MS + (me as u64 % 10) * 10 * MS + k * 300 * MS;
            if let Some(server) = play(g, now, 10 + k, 5, n) {
                served(g, now + 50 * MS, 10 + k, server, 0.0);
                went += 1;
            }
        }
    }
    // A fifth of 800 tries, more or less: not a burst at each gateway, nor nothing.
    assert!((80..=280).contains(&went), "{went}");
}

#[test]
fn gateways_with_the_same_report_do_not_all_choose_alike() {
    let mut got = [0; 11];
    for me in 0..300 {
        let mut g = gateway(metered(), me, 300, 77 * me as u64 + 1);
        let load = Some(Load { inflight: Some(0.0), ..Load::default() });
        let report = Event::ProbeResult { server: ServerId(3), status: Status::Ok, load };
        g.handle(S, report, &mut Vec::new());
        got[play(&mut g, 2 * S, 1, me as u64, 300).expect("sent").0 as usize] += 1;
    }
    assert!(got[1..].iter().all(|n| (5..=120).contains(n)), "{got:?}");
}

#[test]
fn a_cold_server_gets_from_all_gateways_no_more_than_its_part() {
    let n = 300;
    let mut all: Vec<Gateway> = (0..n).map(|me| gateway(metered(), me, n, 31 * me as u64 + 7)).collect();
    let cold = ServerEntry { ready_at: 3 * S, ..entry(20, 0) };
    let (mut to_cold, mut total) = (0, 0);
    for (me, g) in all.iter_mut().enumerate() {
        for k in 0..12 {
            let now = 2 * S + k * 250 * MS + me as u64 * 300;
            if k == 4 {
                let entries = vec![cold.clone()];
                g.handle(now, Event::Servers { kind: ListKind::Delta, entries }, &mut Vec::new());
            }
            if k == 8 && me % 3 == 0 {
                // Restarted: nothing of what it sent is remembered.
                *g = gateway(metered(), me, n, 1_000 + me as u64);
                let entries = vec![cold.clone()];
                g.handle(now, Event::Servers { kind: ListKind::Delta, entries }, &mut Vec::new());
            }
            for back in [200, 100, 0] {
                g.handle(now - back * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut Vec::new());
            }
            if let Some(server) = play(g, now, 100 + k, 1_000 * me as u64 + k, n) {
                served(g, now + 50 * MS, 100 + k, server, 0.0);
                if k >= 4 {
                    total += 1;
                    to_cold += usize::from(server == ServerId(20));
                }
            }
        }
    }
    // Two seconds at up to 0.36 of the ramp, three times what a warm one of ten takes meanwhile.
    let most = 3.0 * 0.28 * total as f64 / 10.0;
    assert!(total > 1_000 && (to_cold as f64) < most, "{to_cold} of {total}, at most {most}");
    // And most of its part, though one cold server alone takes longer for a request than any warm one.
    assert!(to_cold as f64 > most / 8.0, "{to_cold} of {total}, at least {}", most / 8.0);
}

/// What a cold server may get at most within the settings' time, of requests of which a warm one takes so many a second.
fn cold_part(rules: &BackendLimits, up: Micros, rate: f64) -> f64 {
    let ramp =
        rules.slow_start_share + (1.0 - rules.slow_start_share) * up as f64 / rules.slow_start_time as f64;
    let part = rules.collapse_multiple * ramp * rate * rules.collapse_time as f64 / S as f64;
    part + if part < 30.0 { 3.0 * part.sqrt() + 3.0 } else { 2.0 * part.sqrt() + 2.0 }
}

#[test]
fn a_server_back_cold_under_new_ids_at_restarting_gateways_gets_its_part() {
    const GATEWAYS: usize = 25;
    const STEP: Micros = 100 * MS;
    let rules = settings().backend_limits;
    // One server joins, and is there again under another id a second later, and again.
    let starts = [(20, 3 * S), (21, 4 * S), (22, 5 * S)];
    let fresh = |me: usize, life: u64| gateway(metered(), me, GATEWAYS, life * 1_000 + me as u64);
    let mut all: Vec<Gateway> = (0..GATEWAYS).map(|me| fresh(me, 1)).collect();
    let (mut went, mut warm) = (vec![Vec::new(); starts.len()], 0);
    for step in 0..100 {
        for (me, g) in all.iter_mut().enumerate() {
            let now = 2 * S + step * STEP + me as u64 * 3 * MS;
            // A fifth of them is restarted in each second of the ramp.
            let restarted = step > 20 && step % 10 == 5 && me % 5 == (step / 10 % 5) as usize;
            if restarted {
                *g = fresh(me, 2 + step);
            }
            let list = |(server, at): &(u64, Micros)| {
                let state =
                    if now < at + S || *server == 22 { ServerState::Ready } else { ServerState::Removed };
                ServerEntry { ready_at: *at, state, ..entry(*server, 0) }
            };
            let entries = starts.iter().filter(|(_, at)| now >= *at).map(list).collect();
            g.handle(now, Event::Servers { kind: ListKind::Delta, entries }, &mut Vec::new());
            g.handle(now, Event::Timer { timer: TimerId(u64::MAX) }, &mut Vec::new());
            let Some(server) = play(g, now, 100 + step, 1_000 * me as u64 + step, GATEWAYS) else { continue };
            served(g, now + 50 * MS, 100 + step, server, 0.0);
            match starts.iter().position(|(id, _)| *id == server.0) {
                Some(k) => went[k].push(now),
                None => warm += 1,
            }
        }
    }
    // Ten servers that are warm, ten seconds.
    let rate = warm as f64 / 10.0 / 10.0;
    for ((_, start), moments) in starts.iter().zip(&went) {
        assert!(!moments.is_empty());
        for from in moments {
            let until = from + rules.collapse_time;
            let got = moments.iter().filter(|at| (*from..until).contains(at)).count();
            let most = cold_part(&rules, until - start, rate);
            assert!(got as f64 <= most, "{got} of {most} from {from} to {until}");
        }
    }
}

#[test]
fn ceilings_add_up_over_all_gateways_and_restarts() {
    let mut s = metered();
    s.plans[0] = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ceiling_rate: 40.0,
        ceiling_burst: 320.0,
        ceiling_slack: 32.0,
        ..plan()
    };
    let n = 160;
    let mut went = 0;
    for me in 0..n {
        let mut g = gateway(s.clone(), me, n, me as u64);
        for k in 0..40 {
            let now = 2 * S + k * 250 * MS;
            if k == 20 && me % 2 == 0 {
                (s.gateway_id, s.gateways) = (me, n);
                g = Gateway::new(s.clone(), 9_000 + me as u64, now).expect("sound settings");
                let entries = vec![entry(1, 0)];
                g.handle(now, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
            }
            if let Some(server) = play(&mut g, now, k, 5, n) {
                served(&mut g, now + 50 * MS, k, server, 0.0);
                went += 1;
            }
        }
    }
    // Eleven seconds since the launch; the store holds 320 and may be overdrawn by 32.
    assert!(went > 200 && went as f64 <= 352.0 + 11.0 * 40.0, "{went}");
}

#[test]
fn strange_messages_make_no_units_and_do_no_harm() {
    let mut s = metered();
    s.capabilities.peers = true;
    let mut g = gateway(s, 0, 160, 1);
    let good = [&[1, 0, 0, 1][..], &7u64.to_be_bytes(), &[0, 0, 160, 255, 255, 255, 255]].concat();
    let strange: [(usize, Vec<u8>); 8] = [
        (0, good.clone()),
        (160, good.clone()),
        (usize::MAX, good.clone()),
        (3, good[..9].to_vec()),
        (3, Vec::new()),
        (3, vec![9; 64]),
        (3, [&good[..12], &[200], &good[13..]].concat()),
        (3, [&good[..13], &[0, 0], &good[15..]].concat()),
    ];
    for (from, data) in strange {
        let mut out = Vec::new();
        g.handle(2 * S, Event::PeerMessage { from, data }, &mut out);
        assert!(out.iter().all(|a| matches!(a, Action::Timer { .. })), "{out:?}");
    }
    let went = (0..60).filter(|k| play(&mut g, 3 * S, *k, 7, 160).is_some()).count();
    assert!((1..=8).contains(&went), "told to ask ten times its quota: {went} of 60");
    assert!(play(&mut g, 3 * S, 90, 8, 0).is_some(), "a spread of nought is borne");
}

#[test]
fn news_costs_no_more_than_own_requests_pay_for() {
    let mut s = metered();
    s.capabilities.peers = true;
    let mut g = gateway(s, 0, 400, 1);
    let mut told = 0;
    for k in 0..400 {
        let now = 2 * S + k * 100 * MS;
        if let Some(server) = play(&mut g, now, k, k, 400) {
            served(&mut g, now + 20 * MS, k, server, 5.0);
        }
        let mut out = Vec::new();
        g.handle(now + 50 * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut out);
        told += out.iter().filter(|a| matches!(a, Action::SendToPeer { .. })).count();
    }
    assert!(told > 300 && told <= 200 + 6 * 400, "{told}");
}

/// Attempts out over all gateways, on average over the last ten of fifteen seconds, while clients ask without
/// end and answers take one and a half aims.
fn out_in_a_storm(n: usize) -> f64 {
    let mut all: Vec<Gateway> = (0..n).map(|me| gateway(metered(), me, n, 13 * me as u64 + 1)).collect();
    let (mut sum, mut steps) = (0.0, 0.0);
    let mut ends: Vec<(Micros, usize, u64, ServerId)> = Vec::new();
    for k in 0..300 {
        let now = 2 * S + k * 50 * MS;
        ends.retain(|(at, me, id, server)| {
            if *at > now {
                return true;
            }
            let (id, attempt, status, elapsed) = (RequestId(*id), 0, Status::Ok, 900 * MS);
            let (server, usage, settled_units, load, request_finished) = (*server, None, None, None, true);
            let end = Event::AttemptEnded {
                id,
                attempt,
                server,
                status,
                elapsed,
                request_finished,
                usage,
                settled_units,
                load,
            };
            all[*me].handle(*at, end, &mut Vec::new());
            false
        });
        for (me, g) in all.iter_mut().enumerate() {
            if let Some(server) = play(g, now, 100 + k, 1_000_000 * me as u64 + k, n) {
                ends.push((now + 900 * MS, me, 100 + k, server));
            }
        }
        if k >= 100 {
            sum += ends.len() as f64;
            steps += 1.0;
        }
    }
    sum / steps
}

#[test]
fn a_storm_of_repeats_keeps_no_more_out_over_hundreds_of_gateways_than_over_a_few() {
    let (few, many) = (out_in_a_storm(4), out_in_a_storm(300));
    assert!(few > 5.0 && many > 5.0, "something still goes: {few} {many}");
    assert!(many < 150.0, "ten servers hold fifteen each at most: {many}");
}
