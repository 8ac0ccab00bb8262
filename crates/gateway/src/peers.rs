//! Authenticated datagrams between gateways over UDP.

use crate::clock::{Clock, Micros};
use crate::oauth::Message;
use async_io::Async;
use frostgauge_net::read_budget;
use frostgauge_proto::peer::{Dropped, Key, Receiver, Sender};
use frostgauge_settings::Loaded;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Size of the receive buffer. It exceeds the longest valid datagram, so that an oversized one arrives with its
/// excess bytes and is rejected as malformed, instead of being truncated to a valid length.
const RECEIVE_BUFFER_BYTES: usize = 512;

/// Sends this gateway's datagrams to the other gateways.
#[derive(Debug)]
pub struct PeerSender {
    socket: Arc<Async<UdpSocket>>,
    /// Addresses of all gateways, by gateway number.
    addresses: Vec<SocketAddr>,
    sender: Sender,
}

/// Token bucket for received datagrams; its burst is the datagrams of one second, and at least one. Datagrams over the
/// rate are dropped, because a flood of them must not take the engine's time from requests.
#[derive(Debug)]
struct RateLimit {
    per_s: f64,
    available: f64,
    refilled_at: Micros,
}

impl RateLimit {
    /// Consumes one datagram's token; false if there is none.
    fn try_acquire(&mut self, now: Micros) -> bool {
        let refilled = self.available + now.saturating_sub(self.refilled_at) as f64 / 1e6 * self.per_s;
        self.available = refilled.min(self.per_s.max(1.0));
        self.refilled_at = now;
        let allowed = self.available >= 1.0;
        self.available -= f64::from(u8::from(allowed));
        allowed
    }
}

impl PeerSender {
    /// Binds this gateway's address in `fleet.peers`; `None` if the settings have no secret for datagrams between
    /// gateways.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn open(loaded: &Loaded, clock: Clock) -> io::Result<Option<(PeerSender, PeerReceiver)>> {
        let (Some(secret), self_id) = (&loaded.peer_secret, loaded.file.gateway.number) else {
            return Ok(None);
        };
        let addresses = loaded.file.fleet.peers.clone();
        let socket = Arc::new(Async::<UdpSocket>::bind(addresses[self_id])?);
        let key = Key::derive(secret.expose());
        let number = u16::try_from(self_id).unwrap_or(u16::MAX);
        let receiver = Receiver::new(key.clone(), number, addresses.len());
        let per_s = loaded.file.fleet.peer_in_per_s;
        let rate_limit = RateLimit { per_s, available: per_s, refilled_at: clock.now() };
        let sender = Sender::new(key, number, clock.now());
        let peer_receiver = PeerReceiver { socket: socket.clone(), receiver, rate_limit, clock };
        Ok(Some((PeerSender { socket, addresses, sender }, peer_receiver)))
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// The system does not return it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Sends a message to a gateway without waiting. If the socket cannot send it now, the message is lost and counted;
    /// receivers have to allow for lost datagrams anyway.
    pub fn send(&mut self, to: usize, message: &[u8]) {
        if let Some(address) = self.addresses.get(to) {
            let datagram = self.sender.seal(message);
            let sent = self.socket.get_ref().send_to(&datagram, address).is_ok();
            metrics::counter!("frostgauge_peer_sent", "ok" => if sent { "yes" } else { "no" }).increment(1);
        }
    }
}

/// Receives the other gateways' datagrams and passes their messages to the engine.
#[derive(Debug)]
pub struct PeerReceiver {
    socket: Arc<Async<UdpSocket>>,
    receiver: Receiver,
    rate_limit: RateLimit,
    clock: Clock,
}

impl PeerReceiver {
    /// Receives datagrams until the engine has ended. Those that are over the rate limit or fail authentication are
    /// counted by reason and dropped.
    pub async fn run(mut self, inbox: async_channel::Sender<Message>) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            // Datagrams that are dropped come without a bound.
            read_budget().await;
            let length = match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                // ICMP reports that a peer's port is closed arrive as errors here; this socket still works.
                Err(_) => {
                    futures_lite::future::yield_now().await;
                    continue;
                }
            };
            let dropped = if self.rate_limit.try_acquire(self.clock.now()) {
                match self.receiver.open(&buffer[..length]) {
                    Ok((from, data)) => {
                        if inbox.send(Message::PeerMessage { from, data: data.to_vec() }).await.is_err() {
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
