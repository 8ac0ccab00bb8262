//! The transport of a gateway: its settings, and the handle through which messages are sent.

use crate::frame::MAX_BODY_BYTES;
use crate::inbound::accept_connections;
use crate::key::Key;
use crate::outbound::{Outbound, PeerStats};
use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use frostgauge_net::Closing;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A message from another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The gateway that sent it, as its connection has authenticated it.
    pub sender: u16,
    /// What it sent.
    pub payload: Vec<u8>,
}

/// Settings of a gateway's transport.
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this gateway.
    pub self_id: u16,
    /// Where each gateway accepts connections, by its id.
    pub addresses: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: Key,
    /// Source address of outgoing connections; none: the system chooses.
    pub source: Option<IpAddr>,
    /// A connection on which something was sent and nothing acknowledged for so long is closed and reopened; connecting
    /// and authenticating must be done within it too.
    pub stall_timeout: Duration,
    /// Longest delay before a reconnect.
    pub max_reconnect_delay: Duration,
}

/// Sends messages to the other gateways of the fleet, and receives theirs.
#[derive(Debug)]
pub struct PeerTransport {
    config: Arc<Config>,
    executor: Arc<Executor<'static>>,
    outbound: Mutex<BTreeMap<u16, Outbound>>,
}

impl PeerTransport {
    /// Accepts connections until closing, and opens them as there is something to send. What is received goes into
    /// `inbox`; while that is full, the connections wait.
    pub fn start(
        config: Config,
        listener: Async<TcpListener>,
        inbox: Sender<PeerMessage>,
        closing: Closing,
        executor: Arc<Executor<'static>>,
    ) -> PeerTransport {
        let config = Arc::new(config);
        let accepting = accept_connections(config.clone(), listener, inbox, closing, executor.clone());
        executor.spawn(accepting).detach();
        PeerTransport { config, executor, outbound: Mutex::default() }
    }

    /// Queues a message for a gateway; false if it is lost: there is no such gateway, it is too long, or the queue is
    /// full.
    pub fn send(&self, peer_id: u16, message: Vec<u8>) -> bool {
        let is_member = usize::from(peer_id) < self.config.addresses.len();
        if !is_member || message.len() > MAX_BODY_BYTES {
            return false;
        }
        let mut outbound = self.outbound.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || Outbound::start(self.config.clone(), peer_id, &self.executor);
        outbound.entry(peer_id).or_insert_with(start).send(message)
    }

    /// Statistics of each gateway that was ever sent to.
    pub fn stats(&self) -> BTreeMap<u16, PeerStats> {
        let outbound = self.outbound.lock().unwrap_or_else(PoisonError::into_inner);
        outbound.iter().map(|(peer_id, outbound)| (*peer_id, outbound.stats())).collect()
    }
}
