//! Clients that leave: what their requests hold as long as an attempt is out, and how their leaving is noticed.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A report with so much content, whose client waits long.
fn large(content: usize) -> Vec<u8> {
    let text = String::from_utf8(patient(&id(), LONG)).expect("text");
    let text = text.replace("content-length: 4", &format!("content-length: {content}"));
    text.replace("hail", &"h".repeat(content)).into_bytes()
}

/// Guards against a copy that runs beside the first attempt once the first client has gone.
#[test]
fn an_id_stays_taken_while_an_attempt_is_out() {
    let told = Arc::new(AtomicBool::new(false));
    let server = Server::start(when(&told));
    let discovery = Discovery::start(vec![server.entry("s-0", "up")]);
    let gateway = Gateway::with(&discovery, long_settings());
    let same = id();
    let mut first = gateway.client();
    first.write(&patient(&same, LONG));
    wait("the first at the server", || server.ids().len() == 1);
    first.leave(&gateway);
    for _ in 0..3 {
        assert_eq!(gateway.client().say(&patient(&same, LONG)).status(), 409);
    }
    assert_eq!(server.ids(), [same]);
}

/// Guards against ids that stay taken for good, here where nothing of the request was ever sent.
#[test]
fn an_id_is_free_after_an_attempt_that_never_began() {
    let (vanished, server) = (Vanished::start(), Server::start(serve()));
    let discovery = Discovery::start(vec![entry("s-0", vanished.address, "up")]);
    let gateway = Gateway::with(&discovery, long_settings());
    let same = id();
    let mut first = gateway.client();
    first.write(&patient(&same, LONG));
    wait("an attempt on its way", || gateway.connecting(vanished.address) == 1);
    drop(first);
    wait("the attempt called off", || gateway.connecting(vanished.address) == 0);
    discovery.change(vec![entry("s-0", vanished.address, "removed"), server.entry("s-1", "up")]);
    wait("another server known", || discovery.asked().iter().any(|a| a.contains("from=2")));
    assert_eq!(gateway.client().say(&request(&same, true)).status(), 200);
    assert_eq!(server.ids(), [same]);
}

/// Guards against contents that are held for clients who have gone, beyond what may be held for all.
#[test]
fn contents_count_while_their_attempts_are_out() {
    // A quarter of a mebibyte is for contents: four of these.
    const MEMORY_MB: u64 = 1;
    const CONTENT: usize = 60_000;
    let told = Arc::new(AtomicBool::new(false));
    let server = Server::start(when(&told));
    let discovery = Discovery::start(vec![server.entry("s-0", "up")]);
    let gateway = Gateway::limited(&discovery, long_settings(), MEMORY_MB);
    for sent in 1..=4 {
        let mut client = gateway.client();
        client.write(&large(CONTENT));
        wait("the content at the server", || server.ids().len() == sent);
        client.leave(&gateway);
    }
    let answer = gateway.client().say(&large(CONTENT));
    assert_eq!((answer.status(), answer.body), (503, b"no room for the content".to_vec()));
    told.store(true, Ordering::SeqCst);
    wait("room again", || gateway.client().say(&large(CONTENT)).status() == 200);
}
