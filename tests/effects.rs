//! Retries and rejections that each effect of a class allows.

mod common;
use common::*;
use frostgauge::*;

/// The servers of a zone deduplicate the request for 500 ms.
const DEDUPLICATED_BY_ZONE: Effect = Effect::Deduplicated { scope: DedupScope::Zone, window: 500 * MS };

/// Sends a request of a class with this effect to four servers, the odd ones in zone 0 and the even ones in
/// zone 1; returns its id and the server of its first attempt.
fn send_first_attempt(effect: Effect) -> (Driver, RequestId, ServerId) {
    let mut settings = settings();
    settings.classes = vec![class(effect)];
    let mut driver = Driver::new(settings, &[entry(1, 0), entry(2, 1), entry(3, 0), entry(4, 1)]);
    let (id, actions) = driver.request(0, 5, 2 * S);
    let server = sent_to(&actions).expect("the request is sent at once");
    (driver, id, server)
}

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for status in [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled] {
        let (mut driver, id, server) = send_first_attempt(Effect::NonIdempotent);
        let actions = driver.end_attempt(id, 0, server, status);
        assert!(
            is_failed(&actions) && sent_to(&actions).is_none() && !is_rejected(&actions),
            "{status:?}: {actions:?}"
        );
    }
}

#[test]
fn non_idempotent_request_not_run_is_retried_elsewhere() {
    for status in [Status::Rejected, Status::ConnectFailed] {
        let (mut driver, id, server) = send_first_attempt(Effect::NonIdempotent);
        let retried_on = sent_to(&driver.end_attempt(id, 0, server, status));
        assert!(retried_on.is_some_and(|retried_on| retried_on != server), "{status:?}");
    }
}

#[test]
fn non_idempotent_request_in_flight_at_its_deadline_fails() {
    let (mut driver, id, _) = send_first_attempt(Effect::NonIdempotent);
    let actions = driver.advance_to(4 * S);
    assert!(actions.iter().any(|(_, action)| *action == Action::Fail { id }));
    assert!(!actions.iter().any(|(_, action)| matches!(action, Action::Reject { .. })));
}

#[test]
fn idempotent_request_is_retried_on_another_server() {
    let (mut driver, id, server) = send_first_attempt(Effect::Idempotent);
    let retried_on = sent_to(&driver.end_attempt(id, 0, server, Status::Error));
    assert!(retried_on.is_some_and(|retried_on| retried_on != server));
}

#[test]
fn deduplicated_request_is_retried_within_its_group_only() {
    let (mut driver, id, server) = send_first_attempt(DEDUPLICATED_BY_ZONE);
    let retried_on =
        sent_to(&driver.end_attempt(id, 0, server, Status::Error)).expect("the request is retried");
    assert_ne!(retried_on, server);
    assert_eq!(retried_on.0 % 2, server.0 % 2, "the retry stays in the zone");
}

/// Guards against a retry in another group once the server that may have run the request has left the list.
#[test]
fn deduplicated_request_stays_in_its_group_when_its_first_server_is_removed() {
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        for kind in [ListKind::Full, ListKind::Delta] {
            let (mut driver, id, first) =
                send_first_attempt(Effect::Deduplicated { scope, window: 500 * MS });
            let second = sent_to(&driver.end_attempt(id, 0, first, Status::Reset)).expect("retried");
            driver.handle(Event::Servers { kind, entries: list_without(&[first], kind) });
            let third = sent_to(&driver.end_attempt(id, 1, second, Status::Reset));
            let third = third.expect("the second server is left");
            assert_eq!(third.0 % 2, first.0 % 2, "{scope:?}, {kind:?}: the retry stays in the group");
            driver.handle(Event::Servers { kind, entries: list_without(&[first, second], kind) });
            let actions = driver.end_attempt(id, 2, third, Status::Reset);
            assert!(is_failed(&actions), "{scope:?}, {kind:?}: no server of the group is left: {actions:?}");
        }
    }
}

/// The list of [`send_first_attempt`] without these servers, whole or as a change.
fn list_without(removed: &[ServerId], kind: ListKind) -> Vec<ServerEntry> {
    let all = (1..=4).map(|k| entry(k, (1 - k % 2) as u32));
    let is_removed = |entry: &ServerEntry| removed.contains(&entry.server);
    match kind {
        ListKind::Delta => {
            all.filter(is_removed).map(|entry| ServerEntry { state: ServerState::Removed, ..entry }).collect()
        }
        _ => all.filter(|entry| !is_removed(entry)).collect(),
    }
}

#[test]
fn deduplicated_request_is_not_retried_after_its_window() {
    let (mut driver, id, server) = send_first_attempt(DEDUPLICATED_BY_ZONE);
    driver.now += 501 * MS;
    let actions = driver.end_attempt(id, 0, server, Status::Error);
    assert!(is_failed(&actions) && sent_to(&actions).is_none());
}

#[test]
fn request_deduplicated_by_all_servers_may_be_rejected() {
    let (mut driver, id, server) =
        send_first_attempt(Effect::Deduplicated { scope: DedupScope::All, window: 500 * MS });
    driver.now += 501 * MS;
    assert!(is_rejected(&driver.end_attempt(id, 0, server, Status::Error)));
}

#[test]
fn attempts_stop_at_the_maximum() {
    let (mut driver, id, mut server) = send_first_attempt(Effect::Idempotent);
    for attempt in 0..3 {
        server = sent_to(&driver.end_attempt(id, attempt, server, Status::Error))
            .expect("the maximum is not reached");
    }
    let actions = driver.end_attempt(id, 3, server, Status::Error);
    assert!(is_rejected(&actions) && sent_to(&actions).is_none());
}
