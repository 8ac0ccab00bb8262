//! Peers that send as fast as they are read: each task of the gateway's one thread leaves it to the others.

use async_io::{block_on, Async};
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::engine::Message;
use frostgauge_net::Closing;
use frostgauge_platform_gateway::host::{self, Platform};
use frostgauge_platform_gateway::peers::Peers;
use frostgauge_platform_gateway::{front, permits::ConnectionPermits};
use frostgauge_platform_protocol::config::Config;
use futures_lite::future::{or, poll_once, yield_now};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::pin::pin;
use std::sync::Arc;

/// Datagrams of a stranger, fewer than a socket's buffer holds.
const STRANGE_DATAGRAMS: usize = 100;
/// Readiness checks that a client sends at once, fewer bytes than one read brings.
const CHECKS: usize = 100;
const CHECK: &[u8] = b"GET /-/ready HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against a flood of datagrams that keeps the gateway from everything else.
#[test]
fn datagrams_of_strangers_let_other_tasks_run() {
    let socket = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (stranger, peer) = (socket(), socket());
    let any = "127.0.0.1:0".parse().expect("an address");
    let peers = Peers::open(any, vec![any, peer.local_addr().expect("an address")]).expect("a port");
    let to = peers.local_address().expect("an address");
    for _ in 0..STRANGE_DATAGRAMS {
        stranger.send_to(b"x", to).expect("sent");
    }
    peer.send_to(b"x", to).expect("sent");
    block_on(async {
        let (inbox, received) = async_channel::bounded::<Message<Platform>>(1);
        let mut receiving = pin!(peers.listener(0).run(inbox));
        assert!(poll_once(&mut receiving).await.is_none());
        assert!(received.is_empty(), "it yields before it has read all datagrams");
        let receiving = async {
            receiving.await;
            None
        };
        let message = or(async { received.recv().await.ok() }, receiving).await;
        assert!(matches!(message, Some(Message::PeerMessage { from: 1, .. })));
    });
}

/// Guards against a client that keeps the gateway to itself with readiness checks, one behind the other.
#[test]
fn readiness_checks_in_a_row_let_other_tasks_run() {
    let config = Config::read(config().to_string().as_bytes()).expect("a configuration");
    let executor = Arc::new(async_executor::Executor::new());
    let (_engine, handle) = host::engine(&config, Clock::default(), executor, None).expect("an engine");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let accepted = listener.accept().expect("accepted").0;
    accepted.set_nodelay(true).expect("set");
    client.write_all(&CHECK.repeat(CHECKS)).expect("written");
    client.set_nonblocking(true).expect("set");
    block_on(async {
        let permit = ConnectionPermits::new(1, 1).take().await;
        let stream = Async::new(accepted).expect("registered");
        let (_hold, closing) = Closing::new();
        let mut serving = pin!(front::serve(stream, permit, handle, closing));
        let (mut turns, mut answers) = (0, 0);
        while answers < CHECKS {
            assert!(poll_once(&mut serving).await.is_none());
            turns += 1;
            answers += answers_read(&mut client);
            assert!(answers <= turns, "{answers} answers in {turns} turns");
            yield_now().await;
        }
    });
}

/// Number of answers that have come.
fn answers_read(client: &mut TcpStream) -> usize {
    let mut bytes = vec![0; 64 << 10];
    match client.read(&mut bytes) {
        Ok(n) => bytes[..n].windows(9).filter(|w| w == b"HTTP/1.1 ").count(),
        Err(error) => {
            assert_eq!(error.kind(), ErrorKind::WouldBlock);
            0
        }
    }
}

fn config() -> serde_json::Value {
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"generation": 0, "reset": true, "instances": []}, "settings": settings(),
    })
}

fn settings() -> serde_json::Value {
    serde_json::json!({
        "az": 0, "me": 0, "siblings": 1, "tickUs": 2000, "zones": ["a"],
        "classes": [{"aimUs": 1, "deadlineUs": 1, "lateWorth": 0, "name": "c", "semantics": "retryable", "value": 1}],
        "plans": [
            {"ceilingRate": 0.0, "concurrency": 0, "depth": 2.0, "excessCost": 1.0, "excessWorth": 0.0,
             "name": "p", "neverOverDepth": 0.0, "rate": 1.0, "tolerance": 0.0, "valueFactor": 1.0}],
        "familyInfo": {}, "limits": {"attemptsCap": 1, "maxRetryAfterUs": 0}, "stats": {},
        "rules": {"coldFrom": 0.1, "fallMultiple": 3, "graceToAnswerUs": 0, "tipAfterUs": 1, "warmAfterUs": 1},
    })
}
