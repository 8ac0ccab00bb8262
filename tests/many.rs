//! Hundreds of gateways: limits and choices that must be right for all of them together.

mod common;
use common::*;
use frostgauge::*;

/// The timer by which a gateway does its housekeeping: peer messages, counter calls, slow start.
const HOUSEKEEPING_TIMER: TimerId = TimerId(u64::MAX);

/// Gateway `index` of `count`, started at 1 s with ten servers listed.
fn gateway(mut settings: Settings, index: usize, count: usize, seed: u64) -> Gateway {
    settings.gateway_id = index;
    settings.gateways = count;
    let mut gateway = Gateway::new(settings, seed, S).expect("valid settings");
    let entries = (1..=10).map(|k| entry(k, 0)).collect();
    gateway.handle(S, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
    gateway
}

fn request(id: u64, customer: u64, subset_size: usize) -> Event {
    Event::Request {
        id: RequestId(id),
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

/// Sends a request to a gateway and, if it is held, fires the timer that ends the hold; the server it is sent to.
fn send_request(
    gateway: &mut Gateway,
    now: Micros,
    id: u64,
    customer: u64,
    subset_size: usize,
) -> Option<ServerId> {
    let mut actions = Vec::new();
    gateway.handle(now, request(id, customer, subset_size), &mut actions);
    // The timer at the request's deadline is about 2 s away, the one at the end of a hold less than 1 s.
    let hold_end = actions.iter().find_map(|action| match action {
        Action::Timer { at, timer } if *at < now + S => Some((*at, *timer)),
        _ => None,
    });
    if let Some((at, timer)) = hold_end.filter(|_| sent_to(&actions).is_none()) {
        gateway.handle(at, Event::Timer { timer }, &mut actions);
    }
    sent_to(&actions)
}

/// Ends the first attempt of a request as served after 50 ms. The answer reports `usage` by the customer, as
/// a multiple of its quota, and an idle server.
fn end_as_served(gateway: &mut Gateway, now: Micros, id: u64, server: ServerId, usage: f64) {
    let (status, elapsed) = (Status::Ok, 50 * MS);
    let outcome = Event::AttemptEnded {
        id: RequestId(id),
        attempt: 0,
        server,
        status,
        elapsed,
        request_finished: true,
        usage: Some(usage),
        settled_units: None,
        load: Some(Load { inflight: Some(0.0), ..Load::default() }),
    };
    gateway.handle(now, outcome, &mut Vec::new());
}

/// Settings with usage reports of the last 500 ms in answers.
fn metered_settings() -> Settings {
    let mut settings = settings();
    settings.capabilities.usage_period = 500 * MS;
    settings
}

#[test]
fn small_customer_under_quota_is_served_at_each_gateway() {
    // The even share of 2 units per second over 160 gateways is one request in 80 seconds.
    let serving = (0..160).filter(|index| {
        let mut gateway = gateway(metered_settings(), *index, 160, *index as u64);
        send_request(&mut gateway, 2 * S, 1, 5, 160).is_some()
    });
    assert_eq!(serving.count(), 160);
}

/// `count` gateways that share customer 5. An answer reports to gateway 0 that the customer uses `usage`
/// times its quota, and gateway 0 sends that to all others.
fn gateways_with_reported_usage(count: usize, usage: f64) -> Vec<Gateway> {
    let mut settings = metered_settings();
    settings.capabilities.peers = true;
    let mut gateways: Vec<Gateway> =
        (0..count).map(|index| gateway(settings.clone(), index, count, index as u64)).collect();
    let server =
        send_request(&mut gateways[0], 2 * S, 1, 5, count).expect("the first request is within the quota");
    end_as_served(&mut gateways[0], 2 * S + 50 * MS, 1, server, usage);
    let mut actions = Vec::new();
    gateways[0].handle(2 * S + 100 * MS, Event::Timer { timer: HOUSEKEEPING_TIMER }, &mut actions);
    let mut messages = 0;
    for action in actions {
        if let Action::SendToPeer { to, data } = action {
            gateways[to].handle(2 * S + 110 * MS, Event::PeerMessage { from: 0, data }, &mut Vec::new());
            messages += 1;
        }
    }
    assert_eq!(messages, count - 1);
    gateways
}

#[test]
fn customer_back_under_quota_is_served_at_each_gateway() {
    let mut gateways = gateways_with_reported_usage(160, 5.0);
    // The last report of the customer's usage is 18 s old by now.
    let servers = gateways.iter_mut().filter_map(|gateway| send_request(gateway, 20 * S, 10, 5, 160));
    assert_eq!(servers.count(), 160);
}

#[test]
fn customer_over_quota_is_limited_over_all_gateways() {
    let count = 160;
    let mut gateways = gateways_with_reported_usage(count, 5.0);
    let mut sent = 0;
    for (index, gateway) in gateways.iter_mut().enumerate() {
        for k in 0..5 {
            let now = 2 * S + 200 * MS + (index as u64 % 10) * 10 * MS + k * 300 * MS;
            if let Some(server) = send_request(gateway, now, 10 + k, 5, count) {
                end_as_served(gateway, now + 50 * MS, 10 + k, server, 0.0);
                sent += 1;
            }
        }
    }
    // The customer uses five times its quota, so about a fifth of its 800 requests is sent: neither a burst
    // at each gateway nor none at all.
    assert!((80..=280).contains(&sent), "{sent} of 800 sent");
}

#[test]
fn gateways_with_the_same_report_spread_their_choices() {
    let mut requests_by_server = [0; 11];
    for index in 0..300 {
        let mut gateway = gateway(metered_settings(), index, 300, 77 * index as u64 + 1);
        let load = Some(Load { inflight: Some(0.0), ..Load::default() });
        let report = Event::ProbeResult { server: ServerId(3), status: Status::Ok, load };
        gateway.handle(S, report, &mut Vec::new());
        let server =
            send_request(&mut gateway, 2 * S, 1, index as u64, 300).expect("the request is within the quota");
        requests_by_server[server.0 as usize] += 1;
    }
    let is_spread = requests_by_server[1..].iter().all(|count| (5..=120).contains(count));
    assert!(is_spread, "requests by server: {requests_by_server:?}");
}

#[test]
fn cold_server_gets_its_part_from_all_gateways_together() {
    let count = 300;
    let seed = |index: usize| 31 * index as u64 + 7;
    let mut gateways: Vec<Gateway> =
        (0..count).map(|index| gateway(metered_settings(), index, count, seed(index))).collect();
    let cold = ServerEntry { ready_at: 3 * S, ..entry(20, 0) };
    let (mut sent_to_cold, mut sent) = (0, 0);
    for (index, this_gateway) in gateways.iter_mut().enumerate() {
        for k in 0..12 {
            let now = 2 * S + k * 250 * MS + index as u64 * 300;
            if k == 4 {
                let entries = vec![cold.clone()];
                this_gateway.handle(now, Event::Servers { kind: ListKind::Delta, entries }, &mut Vec::new());
            }
            if k == 8 && index % 3 == 0 {
                // A restarted gateway does not know what it sent before.
                *this_gateway = gateway(metered_settings(), index, count, 1_000 + index as u64);
                let entries = vec![cold.clone()];
                this_gateway.handle(now, Event::Servers { kind: ListKind::Delta, entries }, &mut Vec::new());
            }
            for ms_ago in [200, 100, 0] {
                let at = now - ms_ago * MS;
                this_gateway.handle(at, Event::Timer { timer: HOUSEKEEPING_TIMER }, &mut Vec::new());
            }
            if let Some(server) = send_request(this_gateway, now, 100 + k, 1_000 * index as u64 + k, count) {
                end_as_served(this_gateway, now + 50 * MS, 100 + k, server, 0.0);
                if k >= 4 {
                    sent += 1;
                    sent_to_cold += usize::from(server == ServerId(20));
                }
            }
        }
    }
    // In its first two seconds the server has up to 0.36 of its capacity, 0.28 on average. It collapses at
    // three times that part of what one of the ten warm servers takes in the same time.
    let max_sent = 3.0 * 0.28 * sent as f64 / 10.0;
    assert!(
        sent > 1_000 && (sent_to_cold as f64) < max_sent,
        "{sent_to_cold} of {sent} sent to the cold server, at most {max_sent} allowed"
    );
    // The server is still sent at least an eighth of that, although it is expected to answer later than any
    // warm one.
    let min_sent = max_sent / 8.0;
    assert!(
        sent_to_cold as f64 > min_sent,
        "{sent_to_cold} of {sent} sent to the cold server, at least {min_sent} expected"
    );
}

/// Maximum of requests that a cold server may be sent within the collapse time that ends `uptime` µs after
/// its start, where a warm server takes `warm_rate` requests per second: the limit at which it collapses,
/// with a margin of two or three times the square root of that for chance.
fn max_sent_to_cold(limits: &BackendLimits, uptime: Micros, warm_rate: f64) -> f64 {
    let progress = uptime as f64 / limits.slow_start_time as f64;
    let capacity = limits.slow_start_share + (1.0 - limits.slow_start_share) * progress;
    let collapse_limit =
        limits.collapse_multiple * capacity * warm_rate * limits.collapse_time as f64 / S as f64;
    let margin = if collapse_limit < 30.0 {
        3.0 * collapse_limit.sqrt() + 3.0
    } else {
        2.0 * collapse_limit.sqrt() + 2.0
    };
    collapse_limit + margin
}

/// A server restarts twice under a new id while the gateways restart too: each incarnation of the server must
/// be sent less than would collapse it.
#[test]
fn restarts_do_not_let_gateways_collapse_a_cold_server() {
    const GATEWAYS: usize = 25;
    /// Time between two requests at a gateway, µs.
    const STEP: Micros = 100 * MS;
    let limits = settings().backend_limits;
    // Ids of the server, and when it became ready under each.
    let incarnations = [(20, 3 * S), (21, 4 * S), (22, 5 * S)];
    let start =
        |index: usize, seed: u64| gateway(metered_settings(), index, GATEWAYS, seed * 1_000 + index as u64);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|index| start(index, 1)).collect();
    let (mut sent_at, mut sent_to_warm) = (vec![Vec::new(); incarnations.len()], 0);
    for step in 0..100 {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let now = 2 * S + step * STEP + index as u64 * 3 * MS;
            // A fifth of the gateways restarts in each second of the slow start.
            let restarts = step > 20 && step % 10 == 5 && index % 5 == (step / 10 % 5) as usize;
            if restarts {
                *gateway = start(index, 2 + step);
            }
            let list_entry = |(server, ready_at): &(u64, Micros)| {
                let state = if now < ready_at + S || *server == 22 {
                    ServerState::Ready
                } else {
                    ServerState::Removed
                };
                ServerEntry { ready_at: *ready_at, state, ..entry(*server, 0) }
            };
            let started = incarnations.iter().filter(|(_, ready_at)| now >= *ready_at);
            let entries = started.map(list_entry).collect();
            gateway.handle(now, Event::Servers { kind: ListKind::Delta, entries }, &mut Vec::new());
            gateway.handle(now, Event::Timer { timer: HOUSEKEEPING_TIMER }, &mut Vec::new());
            let (id, customer) = (100 + step, 1_000 * index as u64 + step);
            let Some(server) = send_request(gateway, now, id, customer, GATEWAYS) else { continue };
            end_as_served(gateway, now + 50 * MS, id, server, 0.0);
            match incarnations.iter().position(|(id, _)| *id == server.0) {
                Some(incarnation) => sent_at[incarnation].push(now),
                None => sent_to_warm += 1,
            }
        }
    }
    // Ten warm servers, over ten seconds.
    let warm_rate = sent_to_warm as f64 / 10.0 / 10.0;
    for ((server, ready_at), sent_at) in incarnations.iter().zip(&sent_at) {
        assert!(!sent_at.is_empty(), "nothing sent to server {server}");
        for from in sent_at {
            let until = from + limits.collapse_time;
            let sent = sent_at.iter().filter(|at| (*from..until).contains(at)).count();
            let max_sent = max_sent_to_cold(&limits, until - ready_at, warm_rate);
            assert!(
                sent as f64 <= max_sent,
                "{sent} sent to server {server} from {from} to {until} µs, at most {max_sent} allowed"
            );
        }
    }
}

#[test]
fn ceiling_holds_over_all_gateways_and_restarts() {
    let mut settings = metered_settings();
    settings.plans[0] = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ceiling_rate: 40.0,
        ceiling_burst: 320.0,
        ceiling_slack: 32.0,
        ..plan()
    };
    let count = 160;
    let mut sent = 0;
    for index in 0..count {
        let mut gateway = gateway(settings.clone(), index, count, index as u64);
        for k in 0..40 {
            let now = 2 * S + k * 250 * MS;
            if k == 20 && index % 2 == 0 {
                (settings.gateway_id, settings.gateways) = (index, count);
                gateway = Gateway::new(settings.clone(), 9_000 + index as u64, now).expect("valid settings");
                let entries = vec![entry(1, 0)];
                gateway.handle(now, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
            }
            if let Some(server) = send_request(&mut gateway, now, k, 5, count) {
                end_as_served(&mut gateway, now + 50 * MS, k, server, 0.0);
                sent += 1;
            }
        }
    }
    // The ceiling allows a burst of 320 units, an overdraft of 32, and 40 units per second for the 11 s since
    // the start.
    assert!(sent > 200 && sent as f64 <= 352.0 + 11.0 * 40.0, "{sent} sent");
}

#[test]
fn invalid_peer_messages_give_no_quota() {
    let mut settings = metered_settings();
    settings.capabilities.peers = true;
    let mut gateway = gateway(settings, 0, 160, 1);
    // A usage update of customer 7 with the highest total and demand that the format allows.
    let valid = [&[1, 0, 0, 1][..], &7u64.to_be_bytes(), &[0, 0, 160, 255, 255, 255, 255]].concat();
    // Senders and messages: from the gateway itself, from unknown gateways, cut short, empty, of another
    // version, with an unknown plan, and with a subset size of 0.
    let messages: [(usize, Vec<u8>); 8] = [
        (0, valid.clone()),
        (160, valid.clone()),
        (usize::MAX, valid.clone()),
        (3, valid[..9].to_vec()),
        (3, Vec::new()),
        (3, vec![9; 64]),
        (3, [&valid[..12], &[200], &valid[13..]].concat()),
        (3, [&valid[..13], &[0, 0], &valid[15..]].concat()),
    ];
    for (from, data) in messages {
        let mut actions = Vec::new();
        gateway.handle(2 * S, Event::PeerMessage { from, data }, &mut actions);
        let only_timers = actions.iter().all(|action| matches!(action, Action::Timer { .. }));
        assert!(only_timers, "{actions:?}");
    }
    let sent = (0..60).filter(|id| send_request(&mut gateway, 3 * S, *id, 7, 160).is_some()).count();
    assert!((1..=8).contains(&sent), "{sent} of 60 sent for a customer with a demand of ten times its quota");
    let served = send_request(&mut gateway, 3 * S, 90, 8, 0).is_some();
    assert!(served, "a request with a subset size of 0 is rejected");
}

#[test]
fn peer_messages_are_limited_by_own_requests() {
    let mut settings = metered_settings();
    settings.capabilities.peers = true;
    let mut gateway = gateway(settings, 0, 400, 1);
    let mut messages = 0;
    for k in 0..400 {
        let now = 2 * S + k * 100 * MS;
        if let Some(server) = send_request(&mut gateway, now, k, k, 400) {
            end_as_served(&mut gateway, now + 20 * MS, k, server, 5.0);
        }
        let mut actions = Vec::new();
        gateway.handle(now + 50 * MS, Event::Timer { timer: HOUSEKEEPING_TIMER }, &mut actions);
        messages += actions.iter().filter(|action| matches!(action, Action::SendToPeer { .. })).count();
    }
    // 200 updates may be sent at the start, and 6 for each of 400 requests.
    assert!(messages > 300 && messages <= 200 + 6 * 400, "{messages} messages");
}

/// Attempts in flight through all gateways, averaged over the last 10 of 15 seconds, while each gateway gets
/// a request every 50 ms and answers take 900 ms, one and a half times the latency objective.
fn mean_in_flight_in_a_retry_storm(count: usize) -> f64 {
    let seed = |index: usize| 13 * index as u64 + 1;
    let mut gateways: Vec<Gateway> =
        (0..count).map(|index| gateway(metered_settings(), index, count, seed(index))).collect();
    let (mut sum, mut steps) = (0.0, 0.0);
    // The attempts in flight: time of the answer, gateway, request and server.
    let mut in_flight: Vec<(Micros, usize, u64, ServerId)> = Vec::new();
    for k in 0..300 {
        let now = 2 * S + k * 50 * MS;
        in_flight.retain(|(answer_at, index, id, server)| {
            if *answer_at > now {
                return true;
            }
            let outcome = Event::AttemptEnded {
                id: RequestId(*id),
                attempt: 0,
                server: *server,
                status: Status::Ok,
                elapsed: 900 * MS,
                request_finished: true,
                usage: None,
                settled_units: None,
                load: None,
            };
            gateways[*index].handle(*answer_at, outcome, &mut Vec::new());
            false
        });
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let customer = 1_000_000 * index as u64 + k;
            if let Some(server) = send_request(gateway, now, 100 + k, customer, count) {
                in_flight.push((now + 900 * MS, index, 100 + k, server));
            }
        }
        if k >= 100 {
            sum += in_flight.len() as f64;
            steps += 1.0;
        }
    }
    sum / steps
}

#[test]
fn attempts_in_flight_do_not_grow_with_gateways() {
    let (few, many) = (mean_in_flight_in_a_retry_storm(4), mean_in_flight_in_a_retry_storm(300));
    assert!(few > 5.0 && many > 5.0, "requests are still sent: {few} and {many} in flight");
    assert!(many < 150.0, "at most 15 in flight at each of ten servers: {many} in total");
}
