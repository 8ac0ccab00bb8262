//! Each request gets one final answer, before its timeout, and no action follows it.

mod common;
use common::*;
use frostgauge::*;

#[test]
fn unanswered_request_is_rejected_before_its_timeout() {
    let mut driver = Driver::new(settings(), &[entry(1, 0)]);
    let (id, actions) = driver.request(0, 5, 300 * MS);
    assert_eq!(sent_to(&actions), Some(ServerId(1)));
    let actions = driver.advance_to(2 * S);
    let is_answer =
        |action: &Action| matches!(action, Action::Reject { id: rejected, .. } if *rejected == id);
    let answers: Vec<_> = actions.iter().filter(|(_, action)| is_answer(action)).collect();
    assert_eq!(answers.len(), 1);
    let answered_at = answers[0].0;
    assert!((S + 280 * MS..=S + 300 * MS).contains(&answered_at), "answered at {answered_at} µs");
    assert!(actions.contains(&(answered_at, Action::Cancel { id, attempt: 0 })));
    let late = driver.end_attempt(id, 0, ServerId(1), Status::Cancelled);
    assert!(late.is_empty(), "actions after the final answer: {late:?}");
}

#[test]
fn request_without_any_server_is_rejected_at_once() {
    let mut driver = Driver::new(settings(), &[]);
    let (_, actions) = driver.request(0, 5, S);
    assert!(is_rejected(&actions));
}

#[test]
fn no_action_follows_a_client_disconnect() {
    let mut driver = Driver::new(settings(), &[entry(1, 0)]);
    let (id, _) = driver.request(0, 5, 300 * MS);
    driver.handle(Event::ClientDisconnected { id });
    let actions = driver.advance_to(3 * S);
    assert!(actions.is_empty(), "{actions:?}");
    assert!(driver.end_attempt(id, 0, ServerId(1), Status::Error).is_empty());
}

#[test]
fn started_stream_is_not_ended_at_its_timeout() {
    let mut settings = settings();
    settings.classes[0].stream = true;
    let mut driver = Driver::new(settings, &[entry(1, 0)]);
    let (id, _) = driver.request(0, 5, 300 * MS);
    driver.handle(Event::AnswerStarted { id });
    assert!(driver.advance_to(3 * S).is_empty());
}

#[test]
fn invalid_events_are_ignored_or_rejected() {
    let mut driver = Driver::new(settings(), &[entry(1, 0)]);
    let unknown_id = RequestId(99);
    assert!(driver.end_attempt(unknown_id, 7, ServerId(1), Status::Ok).is_empty());
    assert!(driver.handle(Event::ClientDisconnected { id: unknown_id }).is_empty());
    assert!(driver.handle(Event::Timer { timer: TimerId(12345) }).is_empty());
    let load =
        Load { inflight: Some(f64::NAN), queue: Some(-1e300), util: None, latency_ms: Some(f64::INFINITY) };
    for server in [1, 77] {
        driver.handle(Event::ProbeResult { server: ServerId(server), status: Status::Ok, load: Some(load) });
    }
    driver.handle(Event::PeerMessage { from: 9, data: vec![1; 300] });
    driver.handle(Event::PeerMessage { from: 1, data: vec![0; 3] });
    let request = |class, plan, units| Event::Request {
        id: RequestId(1000 + class as u64 * 10 + plan as u64),
        class,
        plan,
        customer: CustomerId(1),
        timeout: S,
        units,
        subset_size: 0,
        subset_start: 9,
        is_retry: false,
    };
    assert!(is_rejected(&driver.handle(request(3, 0, 1.0))));
    assert!(is_rejected(&driver.handle(request(0, 3, 1.0))));
    assert!(is_rejected(&driver.handle(request(2, 2, f64::NAN))));
    assert!(sent_to(&driver.handle(request(0, 0, 1.0))).is_some(), "a valid request is still sent");
}

#[test]
fn settings_error_names_the_invalid_setting() {
    let invalid_field = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Gateway::new(settings, 1, 0).err().map(|error| error.field)
    };
    assert_eq!(invalid_field(|_| {}), None);
    assert_eq!(invalid_field(|s| s.classes.clear()).as_deref(), Some("classes"));
    assert_eq!(invalid_field(|s| s.plans.clear()).as_deref(), Some("plans"));
    assert_eq!(invalid_field(|s| s.plans[0].rate = -1.0).as_deref(), Some("plans[0].rate"));
    assert_eq!(
        invalid_field(|s| s.plans[0].ceiling_rate = f64::NAN).as_deref(),
        Some("plans[0].ceiling_rate")
    );
    assert_eq!(invalid_field(|s| s.gateway_id = 2).as_deref(), Some("me"));
    assert_eq!(invalid_field(|s| s.tick = 0).as_deref(), Some("tick"));
    assert_eq!(
        invalid_field(|s| s.backend_limits.collapse_multiple = f64::INFINITY).as_deref(),
        Some("rules.fall_multiple")
    );
}
