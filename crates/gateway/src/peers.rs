//! Datagrams between gateways over UDP.

use crate::clock::{Clock, Micros};
use crate::oauth::Message;
use async_io::Async;
use frostgauge_proto::peer::{Dropped, Key, Receiver, Sender};
use frostgauge_settings::Loaded;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// More bytes than a datagram may have, so that a longer one is seen to be longer.
const BUFFER: usize = 512;

/// The sending side.
#[derive(Debug)]
pub struct PeerSender {
    socket: Arc<Async<UdpSocket>>,
    addresses: Vec<SocketAddr>,
    sender: Sender,
}

/// Lets in so many a second, a second's worth at once. What is over is dropped: a flood of datagrams must
/// not take the decisions' time.
#[derive(Debug)]
struct Budget {
    per_s: f64,
    left: f64,
    at: Micros,
}

impl Budget {
    fn take(&mut self, now: Micros) -> bool {
        let filled = self.left + now.saturating_sub(self.at) as f64 / 1e6 * self.per_s;
        self.left = filled.min(self.per_s.max(1.0));
        self.at = now;
        let ok = self.left >= 1.0;
        self.left -= f64::from(u8::from(ok));
        ok
    }
}

impl PeerSender {
    /// Opens the socket of the settings, if gateways talk to each other.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn open(loaded: &Loaded, clock: Clock) -> io::Result<Option<(PeerSender, PeerReceiver)>> {
        let (Some(secret), me) = (&loaded.peer_secret, loaded.file.gateway.number) else { return Ok(None) };
        let addresses = loaded.file.fleet.peers.clone();
        let socket = Arc::new(Async::<UdpSocket>::bind(addresses[me])?);
        let key = Key::derive(secret.expose());
        let number = u16::try_from(me).unwrap_or(u16::MAX);
        let receiver = Receiver::new(key.clone(), number, addresses.len());
        let per_s = loaded.file.fleet.peer_in_per_s;
        let budget = Budget { per_s, left: per_s, at: clock.now() };
        let sender = Sender::new(key, number, clock.now());
        let listener = PeerReceiver { socket: socket.clone(), receiver, budget, clock };
        Ok(Some((PeerSender { socket, addresses, sender }, listener)))
    }

    /// Sends a message; one that the socket does not take at once is lost, as any may be.
    pub fn send(&mut self, to: usize, message: &[u8]) {
        if let Some(address) = self.addresses.get(to) {
            let datagram = self.sender.seal(message);
            let sent = self.socket.get_ref().send_to(&datagram, address).is_ok();
            metrics::counter!("frostgauge_peer_sent", "ok" => if sent { "yes" } else { "no" }).increment(1);
        }
    }
}

/// The receiving side.
#[derive(Debug)]
pub struct PeerReceiver {
    socket: Arc<Async<UdpSocket>>,
    receiver: Receiver,
    budget: Budget,
    clock: Clock,
}

impl PeerReceiver {
    /// Takes datagrams until the engine is gone; what is not to be trusted is counted and dropped.
    pub async fn run(mut self, inbox: async_channel::Sender<Message>) {
        let mut buf = [0; BUFFER];
        loop {
            let n = match self.socket.recv_from(&mut buf).await {
                Ok((n, _)) => n,
                // A peer's closed port shows up here; it says nothing about this socket.
                Err(_) => {
                    futures_lite::future::yield_now().await;
                    continue;
                }
            };
            let dropped = if self.budget.take(self.clock.now()) {
                match self.receiver.open(&buf[..n]) {
                    Ok((from, data)) => {
                        if inbox.send(Message::Peer { from, data: data.to_vec() }).await.is_err() {
                            return;
                        }
                        metrics::counter!("frostgauge_peer_taken").increment(1);
                        continue;
                    }
                    Err(Dropped::Malformed) => "malformed",
                    Err(Dropped::Forged) => "forged",
                    Err(Dropped::Replayed) => "replayed",
                    Err(Dropped::Stranger) => "stranger",
                }
            } else {
                "over-budget"
            };
            metrics::counter!("frostgauge_peer_dropped", "reason" => dropped).increment(1);
        }
    }
}
