//! A client's connection, with the test in the engine's place: how its leaving is noticed while answers are awaited.

mod common;

use async_channel::Receiver;
use async_io::{block_on, Async};
use common::settings;
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::engine::Reply;
use frostgauge_gateway::front::http;
use frostgauge_gateway::oauth::{Handle, Message};
use frostgauge_gateway::reply::GatewayAnswer;
use frostgauge_net::{until, Closing, Places, Timed};
use futures_lite::future::{or, poll_once, yield_now};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// Longer than any step takes; only a failing test waits so long.
const LONG: Duration = Duration::from_secs(20);
/// More bytes than the buffers between a client and a gateway hold.
const MORE_THAN_ALL_BUFFERS: usize = 16 << 20;
/// More requests than the queue of answers holds.
const MORE_THAN_THE_QUEUE: usize = 40;

const READ: &[u8] = b"GET /claims/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer t.vale.1\r\n\r\n";
const LAST_READ: &[u8] =
    b"GET /claims/1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer t.vale.1\r\n\r\n";

/// A client's connection, the gateway's side of it, and what the front uses besides.
struct Stage {
    client: TcpStream,
    accepted: TcpStream,
    handle: Handle,
    messages: Receiver<Message>,
}

impl Stage {
    fn new() -> Stage {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        let accepted = listener.accept().expect("accepted").0;
        let (handle, messages) = Handle::new(Clock::default(), Arc::new(RwLock::new(Arc::new(settings()))));
        Stage { client, accepted, handle, messages }
    }
}

/// What became of a client's calls.
#[derive(Debug, Default, PartialEq)]
struct Calls {
    begun: usize,
    abandoned: usize,
}

/// A client sends this and leaves before anything is answered; what became of its calls once its connection has ended.
fn calls_of_a_client_that_leaves(bytes: Vec<u8>) -> Calls {
    let Stage { mut client, accepted, handle, messages } = Stage::new();
    let writer = std::thread::spawn(move || {
        client.set_write_timeout(Some(LONG)).expect("set");
        client.write_all(&bytes).expect("all is read");
    });
    let mut calls = Calls::default();
    // Calls are kept, without an answer.
    let mut open = Vec::new();
    block_on(async {
        let place = Places::new(1).take().await;
        let (_hold, closing) = Closing::new();
        let from = accepted.peer_addr().expect("an address");
        let serving = http::serve(Async::new(accepted).expect("registered"), from, place, handle, closing);
        assert!(matches!(until(Instant::now() + LONG, serving).await, Timed::Done(())), "it never ends");
        while let Ok(message) = messages.try_recv() {
            match message {
                Message::Call(call) => open.push(call),
                Message::ClientDisconnected(_) => calls.abandoned += 1,
                _ => panic!("neither a call nor its client's leaving"),
            }
        }
    });
    calls.begun = open.len();
    writer.join().expect("written");
    calls
}

/// Guards against a full queue of answers behind which a close is not noticed.
#[test]
fn a_client_that_leaves_behind_a_full_queue_is_noticed() {
    for bytes in [MORE_THAN_THE_QUEUE * READ.len(), MORE_THAN_ALL_BUFFERS] {
        let calls = calls_of_a_client_that_leaves(READ.repeat(bytes / READ.len()));
        assert!((1..MORE_THAN_THE_QUEUE).contains(&calls.begun), "{calls:?}");
        assert_eq!(calls.abandoned, calls.begun);
    }
}

/// Guards against a last request, or one that cannot be read, behind which a close is not noticed.
#[test]
fn a_client_that_leaves_behind_its_last_request_is_noticed() {
    for last in [LAST_READ, b"GET\r\n\r\n"] {
        let bytes = [READ, last, &vec![b'a'; MORE_THAN_ALL_BUFFERS]].concat();
        let calls = calls_of_a_client_that_leaves(bytes);
        assert!((1..=2).contains(&calls.begun), "{calls:?}");
        assert_eq!(calls.abandoned, calls.begun);
    }
}

/// Guards against lost or exchanged answers where more is sent ahead than is held.
#[test]
fn all_that_is_sent_ahead_is_answered() {
    const REQUESTS: usize = 1_500;
    let Stage { client, accepted, handle, messages } = Stage::new();
    let mut sender = client.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || {
        sender
            .write_all(&READ.repeat(REQUESTS - 1))
            .and_then(|()| sender.write_all(LAST_READ))
            .expect("all is read");
    });
    let reader = std::thread::spawn(move || {
        let mut answers = String::new();
        (&client).read_to_string(&mut answers).expect("answers up to the end");
        let statuses = answers.split("HTTP/1.1 ").skip(1).map(|answer| answer[..3].to_owned());
        statuses.collect::<Vec<String>>()
    });
    let mut begun = 0;
    block_on(async {
        let place = Places::new(1).take().await;
        let (_hold, closing) = Closing::new();
        let from = accepted.peer_addr().expect("an address");
        let mut serving =
            pin!(http::serve(Async::new(accepted).expect("registered"), from, place, handle, closing));
        // Nothing is answered before all is sent.
        while !writer.is_finished() {
            assert!(poll_once(&mut serving).await.is_none());
            yield_now().await;
        }
        let answering = async {
            while let Ok(message) = messages.recv().await {
                let Message::Call(call) = message else { panic!("not a call") };
                begun += 1;
                call.reply.try_send(Reply::Gateway(GatewayAnswer::UnknownTenant)).expect("awaited");
            }
        };
        assert!(matches!(until(Instant::now() + LONG, or(serving, answering)).await, Timed::Done(())));
    });
    let statuses = reader.join().expect("read");
    let count = |status: &str| statuses.iter().filter(|s| *s == status).count();
    assert_eq!((statuses.len(), count("403")), (REQUESTS, begun), "{statuses:?}");
    assert_eq!(count("503"), REQUESTS - begun);
    assert!(count("503") > 0);
}

/// Guards against content that is taken for requests, and skipped, while 100 (Continue) waits for the queue of answers.
#[test]
fn content_behind_a_full_queue_is_kept_whole() {
    // As many as the queue holds.
    const BEFORE: usize = 16;
    let content = READ.repeat(100_000 / READ.len());
    let head = format!(
        "POST /claims HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\nauthorization: Bearer t.vale.1\r\ncontent-length: {}\r\n\r\n",
        content.len()
    );
    // The queue is full when the report comes: its content is sent at once, without a wait for 100 (Continue).
    let bytes = [&READ.repeat(BEFORE), head.as_bytes(), &content, LAST_READ].concat();
    let Stage { client, accepted, handle, messages } = Stage::new();
    let mut sender = client.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || sender.write_all(&bytes).expect("all is read"));
    let mut contents = Vec::new();
    block_on(async {
        let place = Places::new(1).take().await;
        let (_hold, closing) = Closing::new();
        let from = accepted.peer_addr().expect("an address");
        let serving = http::serve(Async::new(accepted).expect("registered"), from, place, handle, closing);
        let answering = async {
            while let Ok(message) = messages.recv().await {
                let Message::Call(call) = message else { panic!("not a call") };
                // Slower than the client sends: what it sends is there while the queue is full.
                async_io::Timer::after(Duration::from_millis(5)).await;
                contents.push(call.forward.body.clone());
                call.reply.try_send(Reply::Gateway(GatewayAnswer::UnknownTenant)).expect("awaited");
            }
        };
        assert!(matches!(until(Instant::now() + LONG, or(serving, answering)).await, Timed::Done(())));
    });
    writer.join().expect("written");
    drop(client);
    assert_eq!(contents.len(), BEFORE + 2);
    assert!(contents[BEFORE] == content, "{} bytes of content", contents[BEFORE].len());
}
