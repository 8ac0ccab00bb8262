//! The host's decisions, by hand and against whatever order things come in.

use frostgauge::ListKind;
use frostgauge_resource_policy::client_permits::{Acquisition, ClientPermits};
use frostgauge_resource_policy::shares::Shares;
use frostgauge_resource_policy::timeouts::{last_byte_pause, ConnectionTimeouts};
use frostgauge_resource_policy::watch::{ListWatch, LONG_POLL_MS, RESPONSE_SLACK_MS};
use std::time::Duration;

#[test]
fn descriptors_are_shared_out_with_room_for_the_gateways_own() {
    for sockets in [64, 256, 1024] {
        let shares = Shares::divide(sockets, 32);
        assert!(shares.client_connections == shares.server_connections || sockets == 1024);
        assert!(shares.client_connections + shares.server_connections + 20 <= sockets);
        // Requests of usual clients hold a third at most.
        assert!(sockets < 256 || shares.client_connections > sockets / 3);
    }
    // Many descriptors and little memory: answers that come in all at once fit.
    let shares = Shares::divide(1024, 32);
    assert!(shares.server_connections * (64 << 10) <= 8 << 20 && shares.server_connections >= 100);
    assert_eq!(Shares::divide(1024, 0).server_connections, 1, "and there is always one");
}

#[test]
fn who_never_asked_leaves_first_then_who_is_idle_longest() {
    let mut clients = ClientPermits::new(3, 3);
    assert!((0..3).all(|_| clients.acquire() == Acquisition::Granted));
    let (used, silent) = (clients.mark_idle(true).0, clients.mark_idle(false).0);
    assert_eq!(clients.acquire(), Acquisition::Evict(silent));
    assert_eq!(clients.acquire(), Acquisition::Wait, "one leaves for one that comes");
    assert!(clients.mark_busy(silent));
    clients.release();
    assert_eq!(clients.acquire(), Acquisition::Granted);
    // A request came before the one asked has left: it stays, and another may be asked.
    assert_eq!(clients.acquire(), Acquisition::Evict(used));
    let again = clients.mark_idle(true).0;
    assert!(clients.mark_busy(used));
    assert_eq!(clients.acquire(), Acquisition::Evict(again));
    assert_eq!(clients.in_use(), 3);
}

#[test]
fn kept_connections_without_a_request_are_bounded_by_themselves() {
    let mut clients = ClientPermits::new(100, 2);
    let (silent, one, two) = (clients.mark_idle(false), clients.mark_idle(true), clients.mark_idle(true));
    assert_eq!((silent.1, one.1, two.1), (None, None, None), "who never asked may be about to");
    assert_eq!(clients.mark_idle(true).1, Some(one.0), "idle longest");
    assert!(!clients.mark_busy(one.0), "it makes room for nobody in particular");
    assert_eq!(clients.mark_idle(true).1, Some(two.0));
}

#[test]
fn times_of_links_stay_inside_those_of_the_settings() {
    let links = ConnectionTimeouts::from_settings(250_000, 15_000_000, 300_000);
    assert!(links.idle < Duration::from_secs(15) && links.first_byte <= Duration::from_millis(300));
    let untold = ConnectionTimeouts::from_settings(0, 0, 0);
    assert!(untold.idle > Duration::ZERO && untold.first_byte >= untold.connect);
    for trip in [0, 700, 40_000] {
        let pause = last_byte_pause(
            Duration::from_micros(trip),
            ConnectionTimeouts::from_settings(0, 0, 0).last_byte_pause,
        );
        assert!((Duration::from_millis(1)..=Duration::from_millis(5)).contains(&pause));
    }
}

#[test]
fn a_watch_follows_without_gaps() {
    let mut watch = ListWatch::default();
    assert_eq!(watch.next_poll(), (None, RESPONSE_SLACK_MS));
    assert_eq!(watch.response_received(true, 41), Some(ListKind::Full));
    assert_eq!(watch.next_poll(), (Some((41, LONG_POLL_MS)), LONG_POLL_MS + RESPONSE_SLACK_MS));
    assert_eq!(watch.response_received(false, 43), Some(ListKind::Delta));
    // Silence loses nothing: it goes on from what is held, each time after a longer pause, up to a quarter of a second.
    let pauses: Vec<u64> = (0..8).map(|_| watch.poll_failed(false, 0.999)).collect();
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]) && pauses[7] <= 250_000, "{pauses:?}");
    assert_eq!(watch.next_poll(), (Some((43, 0)), RESPONSE_SLACK_MS), "another lost call is noticed sooner");
    // An answer that could not be read may have told something.
    watch.poll_failed(true, 0.0);
    assert_eq!(watch.next_poll().0, None);
    // Changes to a list that is not held are of no use.
    assert_eq!(watch.response_received(false, 44), None);
    assert!(watch.poll_failed(true, 0.0) > 0, "asked again after a pause, however often it is answered so");
    assert_eq!(watch.response_received(true, 44), Some(ListKind::Full));
    assert_eq!(watch.response_received(false, 3), None, "an agent that began anew");
    watch.poll_failed(true, 0.0);
    assert_eq!(watch.next_poll().0, None);
    assert_eq!(watch.response_received(true, 3), Some(ListKind::Full));
    watch.reset();
    assert_eq!(watch.next_poll().0, None);
}
