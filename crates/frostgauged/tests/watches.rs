//! A watch of discovery ends, falls silent or moves while a server begins to drain.

mod common;

use common::*;
use rustix::process::Signal;
use serde_json::json;
use std::time::{Duration, Instant};

/// A gateway before one server, so that whatever is sent goes there, and nothing can be served once it may get nothing.
fn one_server() -> (Server, Discovery, Gateway) {
    let (mut servers, discovery, gateway) = stage(vec![serve()]);
    gateway.client().served(2);
    (servers.remove(0), discovery, gateway)
}

fn gets_nothing(gateway: &Gateway, server: &Server) {
    let before = server.ids().len();
    let mut client = gateway.client();
    for _ in 0..5 {
        assert_eq!(client.say(&request(&id(), true)).status(), 503);
    }
    assert_eq!(server.ids().len(), before);
}

fn taken(discovery: &Discovery, generation: u64) {
    let from = format!("from={generation}&");
    wait("the list taken", || discovery.asked().iter().any(|a| a.contains(&from)));
}

/// A watch ends so as a server begins to drain; the next call tells of it.
fn tells_after(end: Reply) {
    let (server, discovery, gateway) = one_server();
    discovery.does_instead(end);
    discovery.change(vec![server.entry("s-0", "draining")]);
    taken(&discovery, 2);
    gets_nothing(&gateway, &server);
}

#[test]
fn a_watch_that_ends_without_a_word_is_opened_anew() {
    tells_after(Reply::End);
}

#[test]
fn a_watch_that_is_reset_is_opened_anew() {
    tells_after(Reply::Reset);
}

#[test]
fn a_watch_that_tells_half_and_ends_is_opened_anew() {
    tells_after(Reply::Bytes(
        b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\nconnection: close\r\n\r\n{".to_vec(),
    ));
}

/// Guards against a draining server that goes on getting requests because each answer of discovery comes late.
#[test]
fn a_server_that_drains_while_discovery_answers_late_gets_nothing_new() {
    let (server, discovery, gateway) = one_server();
    // More than a call waits here, and what a response may take beyond that.
    discovery.answer_late(Duration::from_millis(1_500));
    let calls = discovery.asked().len();
    wait("late answers", || discovery.asked().len() >= calls + 4);
    discovery.change(vec![server.entry("s-0", "draining")]);
    let changed = Instant::now();
    taken(&discovery, 2);
    assert!(changed.elapsed() < Duration::from_secs(6), "{:?}", changed.elapsed());
    gets_nothing(&gateway, &server);
}

#[test]
fn a_whole_list_in_pieces_takes_away_what_it_does_not_name() {
    let (server, discovery, gateway) = one_server();
    // It still answers, and the list leaves it out.
    discovery.does_instead(Reply::Pieces(discovery.whole_list_without("s-0")));
    let calls = discovery.asked().len();
    wait("the next call", || discovery.asked().len() > calls + 1);
    gets_nothing(&gateway, &server);
}

#[test]
fn a_server_that_drains_while_discovery_is_silent_gets_nothing_once_it_is_back() {
    let (server, discovery, gateway) = one_server();
    discovery.fall_silent(true);
    // Connections that say nothing take all descriptors of clients, and more.
    let idle: Vec<Client> = (0..300).map(|_| gateway.client()).collect();
    wait("silence noticed", || gateway.log().contains("discovery does not answer"));
    gateway.client().served(10);
    discovery.change(vec![server.entry("s-0", "draining")]);
    discovery.fall_silent(false);
    wait("an answer", || gateway.log().contains("discovery answers again"));
    taken(&discovery, 2);
    gets_nothing(&gateway, &server);
    drop(idle);
}

#[test]
fn a_server_that_drains_as_discovery_moves_gets_nothing() {
    let (server, old, gateway) = one_server();
    // The call that is open has no answer any more.
    old.fall_silent(true);
    let new = Discovery::start(vec![server.entry("s-0", "up")]);
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new.address.to_string());
    gateway.rewrite(&config.to_string());
    gateway.signal(Signal::HUP);
    new.change(vec![server.entry("s-0", "draining")]);
    taken(&new, 2);
    gets_nothing(&gateway, &server);
}
