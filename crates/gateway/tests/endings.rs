//! Something ends in a gateway with a settings file while something else is still owed.

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

const LONG: Duration = Duration::from_secs(20);

#[test]
fn a_request_read_by_settings_that_are_replaced_before_its_turn_has_its_answer() {
    let executor = Arc::new(Executor::new());
    let clock = Clock::default();
    let (engine, handle) = engine(settings(), 1, clock, executor.clone(), None, None).expect("an engine");
    let mut without = settings();
    without.routes.clear();
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
    // Nobody answers for tokens here: the gateway says so, in words.
    let got = block_on(executor.run(async {
        handle.send(Message::Host(HostEvent::Reload(Arc::new(without)))).await;
        handle.send(Message::Call(Box::new(call))).await;
        let _running = executor.spawn(engine.run());
        answer.recv().await
    }));
    assert!(matches!(got, Ok(Reply::Gateway(_))), "{got:?}");
}

#[test]
fn a_client_gone_before_its_connection_stands_has_no_attempt() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let pool = Pool::new(1, LONG);
    let limits = Limits { line: 1024, fields: 8, head: 1024, body: 1024 };
    for there in [false, true] {
        let (reply, answer) = async_channel::bounded(1);
        let answer = Some(answer).filter(|_| there);
        let request = OutgoingRequest {
            bytes: b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
            to_head: false,
            final_check: None,
            client: Some(Client::of(&reply)),
        };
        let soon = Instant::now() + if there { Duration::from_millis(50) } else { LONG };
        let ended = block_on(attempt(&Pooled(&pool, to), request, &limits, LONG, soon));
        // With its client there the same request goes out, and has no answer.
        assert_eq!(ended.status, if there { Status::Timeout } else { Status::NotSent });
        drop(answer);
    }
    drop(pool);
    let mut seen = Vec::new();
    listener.accept().expect("a connection").0.read_to_end(&mut seen).expect("the end");
    assert!(seen.starts_with(b"GET"), "the kept connection carried the second one alone");
    listener.set_nonblocking(true).expect("set");
    assert!(listener.accept().is_err(), "there was one connection");
}
