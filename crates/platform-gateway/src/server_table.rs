//! The servers that discovery listed, and their addresses.

use frostgauge::{ListKind, ServerId, ServerState};
use frostgauge_platform_protocol::settings::PlatformSettings;
use frostgauge_platform_protocol::targets::Target;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Debug)]
struct Known {
    address: SocketAddr,
    started_ms: u64,
    listed: bool,
}

/// The servers that are listed or that have attempts in flight.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, Known>,
    /// Attempts in flight, by server.
    in_flight: BTreeMap<ServerId, usize>,
}

impl ServerTable {
    /// Applies a list, or changes to the known one. Returns the servers to which no connection may be kept: those that
    /// are gone, have restarted or have moved.
    pub fn listed(&mut self, site: &PlatformSettings, kind: ListKind, targets: &[Target]) -> Vec<ServerId> {
        if kind != ListKind::Delta {
            for known in self.servers.values_mut() {
                known.listed = false;
            }
        }
        let mut forget = Vec::new();
        for target in targets {
            let (server, gone) = (target.server_id(), target.entry(site).state == ServerState::Removed);
            let Some(address) = target.address.filter(|_| !gone) else {
                self.servers.entry(server).and_modify(|known| known.listed = false);
                continue;
            };
            let new = Known { address, started_ms: target.started_ms, listed: true };
            let old = self.servers.insert(server, new);
            if old.is_some_and(|o| o.address != address || o.started_ms != target.started_ms) {
                forget.push(server);
            }
        }
        forget.extend(self.servers.iter().filter(|(_, known)| !known.listed).map(|(server, _)| *server));
        let in_flight = &self.in_flight;
        self.servers.retain(|server, known| known.listed || in_flight.contains_key(server));
        forget
    }

    /// Address of a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|known| known.address)
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
            if self.servers.get(&server).is_some_and(|known| !known.listed) {
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
