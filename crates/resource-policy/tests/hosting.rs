//! Tests of the resource policy: shares, client permits, timeouts, and polling of discovery.

use frostgauge::ListKind;
use frostgauge_resource_policy::client_permits::{Acquisition, ClientPermits};
use frostgauge_resource_policy::shares::Shares;
use frostgauge_resource_policy::timeouts::{last_byte_pause, ConnectionTimeouts};
use frostgauge_resource_policy::watch::{ListWatch, LONG_POLL_MS, RESPONSE_SLACK_MS};
use std::time::Duration;

#[test]
fn shares_leave_room_for_reserved_descriptors() {
    for sockets in [64, 256, 1024] {
        let shares = Shares::divide(sockets, 32);
        assert!(shares.client_connections == shares.server_connections || sockets == 1024);
        assert!(shares.client_connections + shares.server_connections + 20 <= sockets);
        // In normal operation, clients use up to a third of the descriptors.
        assert!(sockets < 256 || shares.client_connections > sockets / 3);
    }
    // Many descriptors and little memory: maximum-size responses on all server connections fit into a quarter of it.
    let shares = Shares::divide(1024, 32);
    assert!(shares.server_connections * (64 << 10) <= 8 << 20 && shares.server_connections >= 100);
    assert_eq!(Shares::divide(1024, 0).server_connections, 1, "at least one server connection is allowed");
}

#[test]
fn eviction_prefers_unused_then_longest_idle() {
    let mut clients = ClientPermits::new(3, 3);
    assert!((0..3).all(|_| clients.acquire() == Acquisition::Granted));
    let (used, unused) = (clients.mark_idle(true).0, clients.mark_idle(false).0);
    assert_eq!(clients.acquire(), Acquisition::Evict(unused));
    assert_eq!(clients.acquire(), Acquisition::Wait, "one connection is evicted at a time");
    assert!(clients.mark_busy(unused));
    clients.release();
    assert_eq!(clients.acquire(), Acquisition::Granted);
    // A request arrives on the connection selected for eviction: it stays, and another one may be evicted.
    assert_eq!(clients.acquire(), Acquisition::Evict(used));
    let idle_later = clients.mark_idle(true).0;
    assert!(clients.mark_busy(used));
    assert_eq!(clients.acquire(), Acquisition::Evict(idle_later));
    assert_eq!(clients.in_use(), 3);
}

#[test]
fn idle_connections_after_a_request_are_limited() {
    let mut clients = ClientPermits::new(100, 2);
    let (unused, first, second) =
        (clients.mark_idle(false), clients.mark_idle(true), clients.mark_idle(true));
    assert_eq!(
        (unused.1, first.1, second.1),
        (None, None, None),
        "the limit excludes connections without a request"
    );
    assert_eq!(clients.mark_idle(true).1, Some(first.0), "the longest idle connection is evicted");
    assert!(!clients.mark_busy(first.0), "it was not evicted in favour of a new connection");
    assert_eq!(clients.mark_idle(true).1, Some(second.0));
}

#[test]
fn timeouts_stay_below_those_of_the_settings() {
    let timeouts = ConnectionTimeouts::from_settings(250_000, 15_000_000, 300_000);
    assert!(timeouts.idle < Duration::from_secs(15) && timeouts.first_byte <= Duration::from_millis(300));
    let defaults = ConnectionTimeouts::from_settings(0, 0, 0);
    assert!(defaults.idle > Duration::ZERO && defaults.first_byte >= defaults.connect);
    for round_trip_us in [0, 700, 40_000] {
        let pause = last_byte_pause(
            Duration::from_micros(round_trip_us),
            ConnectionTimeouts::from_settings(0, 0, 0).last_byte_pause,
        );
        assert!((Duration::from_millis(1)..=Duration::from_millis(5)).contains(&pause));
    }
}

#[test]
fn list_watch_misses_no_changes() {
    let mut watch = ListWatch::default();
    assert_eq!(watch.next_poll(), (None, RESPONSE_SLACK_MS));
    assert_eq!(watch.response_received(true, 41), Some(ListKind::Full));
    assert_eq!(watch.next_poll(), (Some((41, LONG_POLL_MS)), LONG_POLL_MS + RESPONSE_SLACK_MS));
    assert_eq!(watch.response_received(false, 43), Some(ListKind::Delta));
    // A missing response loses nothing: polling continues from the known version, with backoff up to 250 ms.
    let pauses: Vec<u64> = (0..8).map(|_| watch.poll_failed(false, 0.999)).collect();
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]) && pauses[7] <= 250_000, "{pauses:?}");
    assert_eq!(watch.next_poll(), (Some((43, 0)), RESPONSE_SLACK_MS), "a poll after a failure is not held");
    // An unreadable response may have contained changes, so the full list is requested.
    watch.poll_failed(true, 0.0);
    assert_eq!(watch.next_poll().0, None);
    // Changes cannot be applied while no list is known.
    assert_eq!(watch.response_received(false, 44), None);
    assert!(watch.poll_failed(true, 0.0) > 0, "there is a pause before the next poll");
    assert_eq!(watch.response_received(true, 44), Some(ListKind::Full));
    assert_eq!(watch.response_received(false, 3), None, "an older version, as after a restart of the agent");
    watch.poll_failed(true, 0.0);
    assert_eq!(watch.next_poll().0, None);
    assert_eq!(watch.response_received(true, 3), Some(ListKind::Full));
    watch.reset();
    assert_eq!(watch.next_poll().0, None);
}
