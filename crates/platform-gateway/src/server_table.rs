//! The servers that discovery listed, and their addresses.

use async_channel::{Receiver, Sender};
use frostgauge::{ListKind, ServerId, ServerState};
use frostgauge_platform_protocol::settings::PlatformSettings;
use frostgauge_platform_protocol::targets::Target;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A run of a server's process at an address, by the server list. It ends when the server is taken off the list, moves
/// or starts anew; another process may have the address then.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Number of the run, over all servers.
    number: u64,
    /// Closed at its end; `None`: it does not end.
    run: Option<Receiver<()>>,
}

/// Identifies a run, as a key of connections.
pub type RunKey = (ServerId, SocketAddr, u64);

impl Destination {
    /// Identifies the run.
    pub fn key(&self) -> RunKey {
        (self.server, self.address, self.number)
    }

    /// Whether the run goes on.
    pub fn is_current(&self) -> bool {
        self.run.as_ref().is_none_or(|run| !run.is_closed())
    }

    /// Waits until the run has ended.
    pub async fn ended(&self) {
        match &self.run {
            Some(run) => drop(run.recv().await),
            None => std::future::pending().await,
        }
    }
}

impl From<(ServerId, SocketAddr)> for Destination {
    /// A server whose list is not known: its run does not end.
    fn from((server, address): (ServerId, SocketAddr)) -> Destination {
        Destination { server, address, number: 0, run: None }
    }
}

#[derive(Debug)]
struct Known {
    destination: Destination,
    started_ms: u64,
    /// Ends the run when it is dropped; `None` for a server that is not listed any more.
    run: Option<Sender<()>>,
}

impl Known {
    fn is_listed(&self) -> bool {
        self.run.is_some()
    }
}

/// The servers that are listed or that have attempts in flight.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, Known>,
    /// Attempts in flight, by server.
    in_flight: BTreeMap<ServerId, usize>,
    runs: u64,
}

impl ServerTable {
    /// Applies a list, or changes to the known one. Returns the servers to which no connection may be kept: those that
    /// are gone, have restarted or have moved.
    pub fn listed(&mut self, site: &PlatformSettings, kind: ListKind, targets: &[Target]) -> Vec<ServerId> {
        let mut forget = Vec::new();
        if kind != ListKind::Delta {
            let named: BTreeSet<ServerId> = targets.iter().map(Target::server_id).collect();
            for (_, known) in self.servers.iter_mut().filter(|(server, _)| !named.contains(server)) {
                known.run = None;
            }
        }
        for target in targets {
            let (server, gone) = (target.server_id(), target.entry(site).state == ServerState::Removed);
            let Some(address) = target.address.filter(|_| !gone) else {
                self.servers.entry(server).and_modify(|known| known.run = None);
                continue;
            };
            let known = self.servers.get(&server);
            let goes_on = known.is_some_and(|known| {
                let is_same = known.destination.address == address && known.started_ms == target.started_ms;
                known.is_listed() && is_same
            });
            if goes_on {
                continue;
            }
            if known.is_some() {
                forget.push(server);
            }
            let new = self.begin_run(server, address, target.started_ms);
            self.servers.insert(server, new);
        }
        forget.extend(self.servers.iter().filter(|(_, known)| !known.is_listed()).map(|(server, _)| *server));
        let in_flight = &self.in_flight;
        self.servers.retain(|server, known| known.is_listed() || in_flight.contains_key(server));
        forget
    }

    fn begin_run(&mut self, server: ServerId, address: SocketAddr, started_ms: u64) -> Known {
        self.runs += 1;
        let (sender, run) = async_channel::bounded(1);
        let destination = Destination { server, address, number: self.runs, run: Some(run) };
        Known { destination, started_ms, run: Some(sender) }
    }

    /// Where a server is reached.
    pub fn destination(&self, server: ServerId) -> Option<&Destination> {
        self.servers.get(&server).map(|known| &known.destination)
    }

    /// Address of a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.destination(server).map(|destination| destination.address)
    }

    /// Notes that an attempt is sent.
    pub fn sent(&mut self, server: ServerId) {
        *self.in_flight.entry(server).or_default() += 1;
    }

    /// Notes that an attempt ended.
    pub fn over(&mut self, server: ServerId) {
        let Some(count) = self.in_flight.get_mut(&server) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(&server);
            // It was the last one at a server that is gone.
            if self.servers.get(&server).is_some_and(|known| !known.is_listed()) {
                self.servers.remove(&server);
            }
        }
    }

    /// Number of servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
