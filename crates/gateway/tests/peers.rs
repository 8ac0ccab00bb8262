//! Datagrams between gateways with a settings file.

mod common;

use async_io::block_on;
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::oauth::Message;
use frostgauge_gateway::peers::PeerSender;
use frostgauge_proto::peer::{Key, Sender};
use futures_lite::future::{or, poll_once};
use std::net::UdpSocket;
use std::pin::pin;

/// Datagrams of a stranger, fewer than a socket's buffer holds.
const STRANGE_DATAGRAMS: usize = 100;

/// Guards against a flood of datagrams that keeps the gateway's thread from everything else.
#[test]
fn dropped_datagrams_let_other_tasks_run() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let any = "127.0.0.1:0".parse().expect("an address");
    let mut loaded = common::settings();
    loaded.file.fleet.peers = vec![any, socket.local_addr().expect("an address")];
    loaded.file.fleet.peer_in_per_s = 10.0 * STRANGE_DATAGRAMS as f64;
    loaded.peer_secret = Some(loaded.client_secret.clone());
    let mut peer = Sender::new(Key::derive(loaded.client_secret.expose()), 1, 1);
    let opened = PeerSender::open(&loaded, Clock::default()).expect("a port");
    let (own_sender, receiver) = opened.expect("there is a secret");
    let to = own_sender.local_address().expect("an address");
    for _ in 0..STRANGE_DATAGRAMS {
        socket.send_to(b"x", to).expect("sent");
    }
    socket.send_to(&peer.seal(b"message"), to).expect("sent");
    block_on(async {
        let (inbox, received) = async_channel::bounded(1);
        let mut receiving = pin!(receiver.run(inbox));
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
