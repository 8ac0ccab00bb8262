//! One final answer for each request, in time, and nothing after it.

mod common;
use common::*;
use frostgauge::*;

#[test]
fn an_unanswered_request_is_ended_before_the_client_leaves() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let (id, actions) = rig.request(0, 5, 300 * MS);
    assert_eq!(sent(&actions), Some(ServerId(1)));
    let done = rig.run_to(2 * S);
    let answers: Vec<_> =
        done.iter().filter(|(_, a)| matches!(a, Action::Reject { id: i, .. } if *i == id)).collect();
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 <= S + 300 * MS && answers[0].0 >= S + 280 * MS);
    assert!(done.contains(&(answers[0].0, Action::Cancel { id, attempt: 0 })));
    let late = rig.outcome(id, 0, ServerId(1), Status::Cancelled);
    assert!(late.is_empty(), "nothing follows the final answer: {late:?}");
}

#[test]
fn a_request_with_no_server_is_refused_at_once() {
    let mut rig = Rig::new(settings(), &[]);
    let (_, actions) = rig.request(0, 5, S);
    assert!(refused(&actions));
}

#[test]
fn a_client_that_left_gets_nothing() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let (id, _) = rig.request(0, 5, 300 * MS);
    rig.event(Event::ClientDisconnected { id });
    let done = rig.run_to(3 * S);
    assert!(done.is_empty(), "{done:?}");
    assert!(rig.outcome(id, 0, ServerId(1), Status::Error).is_empty());
}

#[test]
fn a_started_stream_is_left_alone() {
    let mut s = settings();
    s.classes[0].stream = true;
    let mut rig = Rig::new(s, &[entry(1, 0)]);
    let (id, _) = rig.request(0, 5, 300 * MS);
    rig.event(Event::AnswerStarted { id });
    assert!(rig.run_to(3 * S).is_empty());
}

#[test]
fn strange_events_are_borne() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let unknown = RequestId(99);
    assert!(rig.outcome(unknown, 7, ServerId(1), Status::Ok).is_empty());
    assert!(rig.event(Event::ClientDisconnected { id: unknown }).is_empty());
    assert!(rig.event(Event::Timer { timer: TimerId(12345) }).is_empty());
    let load =
        Load { inflight: Some(f64::NAN), queue: Some(-1e300), util: None, latency_ms: Some(f64::INFINITY) };
    for server in [1, 77] {
        rig.event(Event::ProbeResult { server: ServerId(server), status: Status::Ok, load: Some(load) });
    }
    rig.event(Event::PeerMessage { from: 9, data: vec![1; 300] });
    rig.event(Event::PeerMessage { from: 1, data: vec![0; 3] });
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
    assert!(refused(&rig.event(request(3, 0, 1.0))));
    assert!(refused(&rig.event(request(0, 3, 1.0))));
    assert!(refused(&rig.event(request(2, 2, f64::NAN))));
    assert!(sent(&rig.event(request(0, 0, 1.0))).is_some(), "a sane request still goes");
}

#[test]
fn senseless_settings_name_their_field() {
    let refusal = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Gateway::new(s, 1, 0).err().map(|e| e.field)
    };
    assert_eq!(refusal(|_| {}), None);
    assert_eq!(refusal(|s| s.classes.clear()).as_deref(), Some("classes"));
    assert_eq!(refusal(|s| s.plans.clear()).as_deref(), Some("plans"));
    assert_eq!(refusal(|s| s.plans[0].rate = -1.0).as_deref(), Some("plans[0].rate"));
    assert_eq!(refusal(|s| s.plans[0].ceiling_rate = f64::NAN).as_deref(), Some("plans[0].ceiling_rate"));
    assert_eq!(refusal(|s| s.gateway_id = 2).as_deref(), Some("me"));
    assert_eq!(refusal(|s| s.tick = 0).as_deref(), Some("tick"));
    assert_eq!(
        refusal(|s| s.backend_limits.collapse_multiple = f64::INFINITY).as_deref(),
        Some("rules.fall_multiple")
    );
}
