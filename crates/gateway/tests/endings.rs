//! A call still ends correctly when its route or its client disappears before an attempt is sent.

mod common;

use async_executor::Executor;
use async_io::block_on;
use common::{settings, READ};
use frostgauge::Status;
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::engine::{Client, Reply};
use frostgauge_gateway::oauth::{engine, Call, Caller, HostEvent, Message};
use frostgauge_gateway::upstream::{attempt, Forward, OutgoingRequest};
use frostgauge_net::{Pool, Pooled};
use frostgauge_proto::bearer::Token;
use frostgauge_proto::http::{Head, Limits};
use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longer than any step takes.
const LONG: Duration = Duration::from_secs(20);

#[test]
fn a_call_is_answered_after_a_reload_removed_its_route() {
    let executor = Arc::new(Executor::new());
    let clock = Clock::default();
    let (engine, handle) = engine(settings(), 1, clock, executor.clone(), None, None).expect("an engine");
    let mut without_routes = settings();
    without_routes.routes.clear();
    let (reply, answer) = async_channel::bounded(1);
    let head = Head::request(b"GET /claims/1 HTTP/1.1\r\nhost: x\r\n\r\n").expect("a head");
    let token = Token::new("t.vale.1").expect("a token");
    let call = Call {
        call_id: handle.next_call_id(),
        caller: Caller { token, class: READ, units: 1.0, scope: "claims".into() },
        arrived: clock.now(),
        timeout: LONG.as_micros() as u64,
        is_retry: false,
        forward: Forward { head, target: "/claims/1".to_owned(), body: Vec::new(), client: None },
        reply,
    };
    // There is no introspection server, so that the gateway itself answers.
    let reply = block_on(executor.run(async {
        handle.send(Message::Host(HostEvent::Reload(Arc::new(without_routes)))).await;
        handle.send(Message::Call(Box::new(call))).await;
        let _running = executor.spawn(engine.run());
        answer.recv().await
    }));
    assert!(matches!(reply, Ok(Reply::Gateway(_))), "{reply:?}");
}

#[test]
fn no_request_is_sent_for_a_disconnected_client() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = Pool::new(1, LONG);
    let limits = Limits { line: 1024, fields: 8, head: 1024, body: 1024 };
    for connected in [false, true] {
        let (reply, answer) = async_channel::bounded(1);
        let answer = Some(answer).filter(|_| connected);
        let request = OutgoingRequest {
            bytes: b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
            to_head: false,
            final_check: None,
            client: Some(Client::of(&reply)),
        };
        let deadline = Instant::now() + if connected { Duration::from_millis(50) } else { LONG };
        let outcome = block_on(attempt(&Pooled(&pool, address), request, &limits, LONG, deadline));
        // With a connected client the same request is sent; the listener never responds.
        assert_eq!(outcome.status, if connected { Status::Timeout } else { Status::NotSent });
        drop(answer);
    }
    drop(pool);
    let mut received = Vec::new();
    listener.accept().expect("a connection").0.read_to_end(&mut received).expect("the end of the stream");
    assert!(received.starts_with(b"GET"), "the kept connection carried only the second request");
    listener.set_nonblocking(true).expect("non-blocking mode");
    assert!(listener.accept().is_err(), "both attempts used the same connection");
}
