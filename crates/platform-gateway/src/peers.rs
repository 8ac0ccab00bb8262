//! Datagrams between gateways. A sender is identified by its address; datagrams of any other are dropped.

use async_channel::Sender;
use async_io::{Async, Timer};
use frostgauge_gateway::engine::{Host, Message};
use frostgauge_net::read_budget;
use frostgauge_resource_policy::timeouts::DATAGRAM_ERROR_PAUSE;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Longest datagram, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// The sending side.
#[derive(Debug)]
pub struct Peers {
    socket: Arc<Async<UdpSocket>>,
    addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn open(listen: SocketAddr, addresses: Vec<SocketAddr>) -> io::Result<Peers> {
        Ok(Peers { socket: Arc::new(Async::<UdpSocket>::bind(listen)?), addresses })
    }

    /// The address of the socket.
    ///
    /// # Errors
    /// The system does not return it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Sends a message; one that the socket does not accept at once is lost, as any may be.
    pub fn send(&self, to: usize, message: &[u8]) {
        if let Some(address) = self.addresses.get(to).filter(|_| message.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.get_ref().send_to(message, address);
        }
    }

    /// The receiving side, for datagrams of all gateways but `self_id`.
    pub fn listener(&self, self_id: usize) -> Listener {
        let others = self.addresses.iter().enumerate().filter(|(k, _)| *k != self_id);
        Listener { socket: self.socket.clone(), numbers: others.map(|(k, a)| (*a, k)).collect() }
    }
}

/// The receiving side.
#[derive(Debug)]
pub struct Listener {
    socket: Arc<Async<UdpSocket>>,
    numbers: BTreeMap<SocketAddr, usize>,
}

impl Listener {
    /// Passes datagrams to an engine until it is gone.
    pub async fn run<H: Host>(self, inbox: Sender<Message<H>>) {
        // One byte more than a datagram may have, to recognize a longer one.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // Datagrams of strangers come without a bound.
            read_budget().await;
            let Ok((n, from)) = self.socket.recv_from(&mut buffer).await else {
                // A peer's closed port shows up here and says nothing about this socket. The pause keeps a lasting error
                // from taking the whole core.
                Timer::after(DATAGRAM_ERROR_PAUSE).await;
                continue;
            };
            let Some(from) = self.numbers.get(&from).copied().filter(|_| n <= MAX_DATAGRAM_BYTES) else {
                continue;
            };
            if inbox.send(Message::PeerMessage { from, data: buffer[..n].to_vec() }).await.is_err() {
                return;
            }
        }
    }
}
