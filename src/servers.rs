//! The servers of the back end by the server list, with the state kept for each.

use crate::api::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use crate::load_balancing::ServerLoad;
use crate::outlier_detection::Health;
use crate::random::Random;
use crate::request::Location;
use crate::slow_start::SlowStart;
use std::collections::{BTreeMap, BTreeSet};

/// A server with its state at this gateway.
pub(crate) struct Server {
    /// Its latest entry in the list.
    pub entry: ServerEntry,
    pub load: ServerLoad,
    pub health: Health,
    pub slow_start: SlowStart,
}

impl Server {
    /// Where the server is.
    pub fn location(&self) -> Location {
        Location { zone: self.entry.zone, cell: self.entry.cell }
    }
}

/// All servers in the list, and those removed from it with attempts of this gateway in flight.
#[derive(Default)]
pub(crate) struct Servers {
    by_id: BTreeMap<ServerId, Server>,
    /// Servers that accept requests, in order of their ids.
    ready: Vec<ServerId>,
    /// Ready servers that may still be warming up, in order of their ids.
    maybe_warming_up: Vec<ServerId>,
}

impl Servers {
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.by_id.get_mut(&id)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut()
    }

    /// Ids of the ready servers, in ascending order.
    pub fn ready(&self) -> &[ServerId] {
        &self.ready
    }

    /// The server with an id from [`Servers::ready`].
    pub fn ready_server(&self, id: ServerId) -> &Server {
        &self.by_id[&id]
    }

    /// Ids of the ready servers that may still be warming up.
    pub fn maybe_warming_up(&self) -> &[ServerId] {
        &self.maybe_warming_up
    }

    /// Removes the servers that are warm from [`Servers::maybe_warming_up`].
    pub fn retain_warming_up(&mut self, is_warming_up: impl Fn(&Server) -> bool) {
        let by_id = &self.by_id;
        self.maybe_warming_up.retain(|id| is_warming_up(&by_id[id]));
    }

    /// Applies an update of the list. The state of a server that became ready again, as after a restart,
    /// starts anew, except for its attempts in flight.
    pub fn update(&mut self, now: Micros, kind: ListKind, entries: Vec<ServerEntry>, random: &mut Random) {
        if kind != ListKind::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (_, server) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                server.entry.state = ServerState::Removed;
            }
        }
        for entry in entries {
            self.update_entry(now, entry, random);
        }
        self.by_id
            .retain(|_, server| server.entry.state != ServerState::Removed || server.load.in_flight() > 0);
        let ready = self.by_id.iter().filter(|(_, server)| server.entry.state == ServerState::Ready);
        self.ready = ready.map(|(id, _)| *id).collect();
        self.maybe_warming_up.clone_from(&self.ready);
    }

    fn update_entry(&mut self, now: Micros, entry: ServerEntry, random: &mut Random) {
        let id = entry.server;
        let known = self.by_id.get_mut(&id);
        let in_flight = known.as_ref().map_or(0, |server| server.load.in_flight());
        if let Some(server) = known.filter(|server| server.entry.ready_at == entry.ready_at) {
            server.entry = entry;
            return;
        }
        let slow_start = SlowStart::new(entry.ready_at, now, random.next());
        let load = ServerLoad::new(in_flight);
        self.by_id.insert(id, Server { entry, load, health: Health::new(now), slow_start });
    }
}
