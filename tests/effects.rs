//! Further attempts and refusals, as each kind of class permits.

mod common;
use common::*;
use frostgauge::*;

const ZONED: Effect = Effect::Deduplicated { scope: DedupScope::Zone, window: 500 * MS };

fn first(effect: Effect) -> (Rig, RequestId, ServerId) {
    let mut s = settings();
    s.classes = vec![class(effect)];
    let mut rig = Rig::new(s, &[entry(1, 0), entry(2, 1), entry(3, 0), entry(4, 1)]);
    let (id, actions) = rig.request(0, 5, 2 * S);
    let server = sent(&actions).expect("goes at once");
    (rig, id, server)
}

#[test]
fn a_fragile_request_that_may_have_run_fails_and_is_not_repeated() {
    for status in [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled] {
        let (mut rig, id, server) = first(Effect::NonIdempotent);
        let actions = rig.outcome(id, 0, server, status);
        assert!(
            failed(&actions) && sent(&actions).is_none() && !refused(&actions),
            "{status:?}: {actions:?}"
        );
    }
}

#[test]
fn a_fragile_request_that_never_ran_goes_elsewhere() {
    for status in [Status::Rejected, Status::ConnectFailed] {
        let (mut rig, id, server) = first(Effect::NonIdempotent);
        let again = sent(&rig.outcome(id, 0, server, status));
        assert!(again.is_some_and(|s| s != server), "{status:?}");
    }
}

#[test]
fn a_fragile_request_out_at_its_deadline_fails() {
    let (mut rig, id, _) = first(Effect::NonIdempotent);
    let done = rig.run_to(4 * S);
    assert!(done.iter().any(|(_, a)| *a == Action::Fail { id }));
    assert!(!done.iter().any(|(_, a)| matches!(a, Action::Reject { .. })));
}

#[test]
fn a_safe_request_is_repeated() {
    let (mut rig, id, server) = first(Effect::Idempotent);
    let again = sent(&rig.outcome(id, 0, server, Status::Error));
    assert!(again.is_some_and(|s| s != server));
}

#[test]
fn a_keyed_request_is_repeated_within_its_group_only() {
    let (mut rig, id, server) = first(ZONED);
    let again = sent(&rig.outcome(id, 0, server, Status::Error)).expect("goes again");
    assert_ne!(again, server);
    assert_eq!(again.0 % 2, server.0 % 2, "the same zone");
}

#[test]
fn a_keyed_request_is_not_repeated_once_its_window_is_over() {
    let (mut rig, id, server) = first(ZONED);
    rig.now += 501 * MS;
    let actions = rig.outcome(id, 0, server, Status::Error);
    assert!(failed(&actions) && sent(&actions).is_none());
}

#[test]
fn a_keyed_request_whose_repeats_all_servers_drop_may_be_refused() {
    let (mut rig, id, server) = first(Effect::Deduplicated { scope: DedupScope::All, window: 500 * MS });
    rig.now += 501 * MS;
    assert!(refused(&rig.outcome(id, 0, server, Status::Error)));
}

#[test]
fn attempts_stop_at_the_cap() {
    let (mut rig, id, mut server) = first(Effect::Idempotent);
    for attempt in 0..3 {
        server = sent(&rig.outcome(id, attempt, server, Status::Error)).expect("within the cap");
    }
    let actions = rig.outcome(id, 3, server, Status::Error);
    assert!(refused(&actions) && sent(&actions).is_none());
}
