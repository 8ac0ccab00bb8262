//! Something ends on the platform while something else is still owed: each test forces the crossing.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Longer than a failing test waits for anything: what ends before has not ended by its time.
const LONG: Duration = Duration::from_secs(60);

/// Settings under which no time limit ends anything while a test runs, and connections are for requests alone.
fn long_settings() -> Value {
    let mut settings = settings();
    settings["limits"]["mayProbe"] = json!(false);
    let long = json!(LONG.as_micros() as u64);
    for class in [0, 1] {
        settings["classes"][class]["deadlineUs"] = long.clone();
        settings["classes"][class]["aimUs"] = long.clone();
    }
    settings["limits"]["connectTimeoutUs"] = long.clone();
    settings["rules"]["drainGraceUs"] = long;
    settings
}

/// A request whose client waits so long.
fn patient(id: &str, patience: Duration) -> Vec<u8> {
    let text = String::from_utf8(request(id, true)).expect("text");
    text.replace("X-Remaining-Ms: 1400", &format!("X-Remaining-Ms: {}", patience.as_millis())).into_bytes()
}

/// Clients leave together while their attempts' connections are on their way, each having sent so much behind its
/// request.
fn leave_before_their_attempts_begin(ahead: &[u8], leave: impl Fn(Client) -> Option<Client>) {
    const CLIENTS: usize = 4;
    let vanished = Vanished::start();
    let discovery = Discovery::start(vec![entry("s-0", vanished.address, "up")]);
    let gateway = Gateway::with(&discovery, long_settings());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.write(&[&patient(&id(), LONG), ahead].concat());
    }
    wait("attempts on their way", || gateway.connecting(vanished.address) == CLIENTS);
    let _open: Vec<Option<Client>> = clients.into_iter().map(leave).collect();
    wait("the attempts called off", || gateway.connecting(vanished.address) == 0);
}

fn close(client: Client) -> Option<Client> {
    drop(client);
    None
}

fn close_the_sending_side(client: Client) -> Option<Client> {
    client.0.get_ref().shutdown(Shutdown::Write).expect("closed");
    Some(client)
}

fn reset(client: Client) -> Option<Client> {
    reset_at_close(client.0.get_ref());
    None
}

#[test]
fn clients_that_close_take_attempts_that_have_not_begun_with_them() {
    leave_before_their_attempts_begin(b"", close);
}

#[test]
fn clients_that_close_their_sending_side_take_attempts_that_have_not_begun_with_them() {
    leave_before_their_attempts_begin(b"", close_the_sending_side);
}

#[test]
fn clients_that_reset_take_attempts_that_have_not_begun_with_them() {
    leave_before_their_attempts_begin(b"", reset);
}

#[test]
fn clients_that_sent_much_more_and_leave_take_attempts_that_have_not_begun_with_them() {
    leave_before_their_attempts_begin(&[b"POST /".to_vec(), vec![b'a'; 30 << 10]].concat(), close);
}

#[test]
fn a_client_that_leaves_between_attempts_has_no_further_one() {
    let (first, second) = (Arc::new(AtomicBool::new(false)), Server::start(serve()));
    let left = first.clone();
    let server = Server::start(Box::new(move |_, stream| {
        wait("the client gone", || left.load(Ordering::SeqCst));
        stream.write_all(&answer(503, "X-Turned-Away: 1\r\n", "full")).is_ok()
    }));
    let discovery = Discovery::start(vec![server.entry("s-0", "up")]);
    let gateway = Gateway::with(&discovery, long_settings());
    let mut client = gateway.client();
    client.write(&patient(&id(), LONG));
    wait("the first attempt out", || server.ids().len() == 1);
    discovery.change(vec![second.entry("s-1", "up")]);
    wait("another server known", || discovery.asked().iter().any(|a| a.contains("from=2")));
    drop(client);
    // The gateway has seen it leave once it has answered a client that came later.
    gateway.client().say(b"GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n");
    first.store(true, Ordering::SeqCst);
    let mut client = gateway.client();
    wait("served by the other", || {
        let usual = id();
        client.say(&request(&usual, true));
        second.ids().contains(&usual)
    });
    let sent: Vec<String> = [server.ids(), second.ids()].concat();
    let gone = &server.ids()[0];
    assert_eq!(sent.iter().filter(|id| *id == gone).count(), 1);
}

#[test]
fn a_repeat_gets_no_connection_once_its_servers_have_forgotten_the_request() {
    let (vanished, server) = (Vanished::start(), Server::start(serve()));
    let discovery = Arc::new(Discovery::start(vec![server.entry("s-0", "up")]));
    let mut settings = long_settings();
    settings["classes"][1]["semantics"] = json!("dedup");
    settings["classes"][1]["windowUs"] = json!(4_000_000);
    let gateway = Gateway::with(&discovery, settings);
    let (told, change) =
        (discovery.clone(), vec![server.entry("s-0", "removed"), entry("s-1", vanished.address, "up")]);
    // The request may have run, and only the machine that vanished is left.
    server.set(Box::new(move |_, stream| {
        told.change(change.clone());
        wait("the change taken", || told.asked().iter().any(|a| a.contains("from=2")));
        let _ = stream.shutdown(Shutdown::Both);
        false
    }));
    let mut client = gateway.client();
    client.write(&patient(&id(), LONG));
    wait("a repeat on its way", || gateway.connecting(vanished.address) == 1);
    assert_eq!(client.answer().expect("an answer").status(), 503);
    assert_eq!(gateway.connecting(vanished.address), 0);
    assert_eq!(server.ids().len(), 1);
}
