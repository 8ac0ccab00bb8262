//! One process of the fleet: its follower, its keeper if it is one, and what it may send to a server now.
//!
//! The same on sockets and in memory: bytes come in with the name of who the link has shown to have sent them, bytes
//! go out through a [`Transport`], and time is handed in. A keeper whose disk fails is started anew from it, and says
//! so; the follower serves on.

use crate::confirm::Confirmed;
use frostgauge_accord::{
    decode, encode, Allowance, Follower, Gateway, Keeper, Message, Micros, Number, Stop, Tuning, Under,
    Version,
};
use frostgauge_storage::{Journal, Storage};
use std::collections::{BTreeMap, BTreeSet};

/// Carries bytes to other processes: at most once, in any order, or not at all.
pub trait Transport {
    /// Sends to a gateway; what does not fit is lost.
    fn send(&mut self, to: Gateway, bytes: Vec<u8>);
}

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its number.
    pub me: Gateway,
    /// The keepers that its settings name.
    pub keepers: BTreeSet<Gateway>,
    /// Times.
    pub tuning: Tuning,
    /// Drawn anew at each start.
    pub draw: u64,
}

/// Starts of a failed keeper are this far apart.
const RESTART: Micros = 200_000;

enum Seat<S> {
    None,
    Up(Box<Keeper<S>>),
    /// Its disk failed: the folder is opened again at a time.
    Down(Micros, S),
    /// Its folder is damaged: what was found.
    Damaged(String),
}

/// A permit to send: looked at again right before the bytes go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// What it was decided under.
    pub under: Under,
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// The server.
    pub server: String,
}

/// A process.
pub struct Process<S> {
    start: Start,
    follower: Follower,
    keeper: Seat<S>,
    store: Option<Journal<S>>,
    confirmed: Confirmed,
    /// The last look, by what it was under.
    looked: Option<(BTreeSet<Number>, Option<Number>, Allowance)>,
    told: Vec<(u64, frostgauge_accord::Outcome)>,
    strange: u64,
    keeper_stops: u64,
}

impl<S: Storage> Process<S> {
    /// Starts. `keeps`: the folder of a keeper; `store`: where the follower keeps the version it stands on.
    ///
    /// # Errors
    /// A folder that is damaged, with file and place.
    pub fn start(now: Micros, start: Start, keeps: Option<S>, store: S) -> Result<Process<S>, String> {
        let (journal, found) = Journal::open(store, "stands")?;
        let stored = match found.frames.last() {
            Some(bytes) => Some(Version::read(bytes).map_err(|e| format!("stands: {e}"))?),
            None => None,
        };
        let Start { me, tuning, draw, .. } = start;
        let follower = Follower::new(now, me, draw, start.keepers.clone(), stored, tuning, draw ^ 0x5eed);
        let keeper = match keeps {
            Some(folder) => {
                Seat::Up(Box::new(Keeper::open(now, me, folder, &start.keepers, draw | 1, tuning)?))
            }
            None => Seat::None,
        };
        Ok(Process {
            start,
            follower,
            keeper,
            store: Some(journal),
            confirmed: Confirmed::default(),
            looked: None,
            told: vec![],
            strange: 0,
            keeper_stops: 0,
        })
    }

    /// Its follower.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Its keeper, if it is one and runs.
    pub fn keeper(&self) -> Option<&Keeper<S>> {
        match &self.keeper {
            Seat::Up(keeper) => Some(keeper),
            _ => None,
        }
    }

    /// Messages that could not be read.
    pub fn strange(&self) -> u64 {
        self.strange
    }

    /// Times that its keeper stopped for its disk.
    pub fn keeper_stops(&self) -> u64 {
        self.keeper_stops
    }

    /// What became of proposals that this process sent.
    pub fn take_told(&mut self) -> Vec<(u64, frostgauge_accord::Outcome)> {
        std::mem::take(&mut self.told)
    }

    /// Ends it: keeper's folder, if it is one, and the follower's.
    pub fn end(self) -> (Option<S>, Option<S>) {
        let keeps = match self.keeper {
            Seat::Up(keeper) => Some(keeper.into_storage()),
            Seat::Down(_, folder) => Some(folder),
            Seat::None | Seat::Damaged(_) => None,
        };
        (keeps, self.store.map(Journal::into_storage))
    }

    /// When [`Process::wake`] is due.
    pub fn next_wake(&self) -> Micros {
        let keeper = match &self.keeper {
            Seat::Up(keeper) => keeper.next_wake(),
            Seat::Down(at, _) => *at,
            Seat::None | Seat::Damaged(_) => Micros::MAX,
        };
        keeper.min(self.follower.next_wake())
    }

    /// What was found damaged in the keeper's folder, if it could not be opened again.
    pub fn damaged(&self) -> Option<&str> {
        match &self.keeper {
            Seat::Damaged(why) => Some(why),
            _ => None,
        }
    }

    /// Opens the folder of a keeper that stopped: the consensus begins again from what is durable.
    fn revive(&mut self, now: Micros) {
        if !matches!(self.keeper, Seat::Down(at, _) if now >= at) {
            return;
        }
        let Seat::Down(_, folder) = std::mem::replace(&mut self.keeper, Seat::None) else { return };
        // Another number than that of the process's first: what it was let in by before is not this.
        let Start { me, tuning, draw, .. } = self.start;
        let nonce = (draw ^ self.keeper_stops.rotate_left(32)) | 1;
        self.keeper = match Keeper::open(now, me, folder, &self.start.keepers, nonce, tuning) {
            Ok(keeper) => Seat::Up(Box::new(keeper)),
            Err(why) => Seat::Damaged(why),
        };
    }

    /// Takes bytes from one whom the link has shown to be `from`.
    pub fn receive(&mut self, now: Micros, from: Gateway, bytes: &[u8], net: &mut impl Transport) {
        match decode(bytes) {
            Ok(message) => self.take(now, from, message),
            Err(_) => self.strange += 1,
        }
        self.finish(now, net);
    }

    /// Says something as an editor or operator would, to a keeper.
    pub fn say(&mut self, now: Micros, to: Gateway, message: Message, net: &mut impl Transport) {
        self.send(now, to, message, net);
        self.finish(now, net);
    }

    fn take(&mut self, now: Micros, from: Gateway, message: Message) {
        match message {
            Message::Answer(_) | Message::Hint => self.follower.handle(now, from, message),
            Message::Told { id, outcome } => self.told.push((id, outcome)),
            other => {
                let failed = match &mut self.keeper {
                    Seat::Up(keeper) => keeper.handle(now, from, other).err(),
                    _ => None,
                };
                self.failed(now, failed);
            }
        }
    }

    fn failed(&mut self, now: Micros, stop: Option<Stop>) {
        if stop.is_none() {
            return;
        }
        if let Seat::Up(keeper) = std::mem::replace(&mut self.keeper, Seat::None) {
            self.keeper_stops += 1;
            self.keeper = Seat::Down(now + RESTART, keeper.into_storage());
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, net: &mut impl Transport) {
        self.revive(now);
        let failed = match &mut self.keeper {
            Seat::Up(keeper) => keeper.advance(now).err(),
            _ => None,
        };
        self.failed(now, failed);
        self.follower.advance(now);
        self.finish(now, net);
    }

    fn send(&mut self, now: Micros, to: Gateway, message: Message, net: &mut impl Transport) {
        if to == self.start.me {
            self.take(now, to, message);
        } else {
            net.send(to, encode(&message));
        }
    }

    /// Makes durable what must be, then sends.
    fn finish(&mut self, now: Micros, net: &mut impl Transport) {
        // What a process says to itself may bring more to say, a few times over.
        for _ in 0..8 {
            if let Some(version) = self.follower.to_store() {
                let (number, bytes) = (version.number, version.bytes());
                // Kept or not, it acts on; only what was kept is told, and counted on by the keepers.
                let kept = self.store.as_mut().map(|journal| journal.replace(&[bytes]));
                if matches!(kept, Some(Ok(()))) {
                    self.follower.stored(number);
                } else {
                    self.store = None;
                }
            }
            let mut out = self.follower.take();
            let stop = match &mut self.keeper {
                Seat::Up(keeper) => match keeper.finish() {
                    Ok(more) => {
                        out.extend(more);
                        None
                    }
                    Err(stop) => Some(stop),
                },
                _ => None,
            };
            self.failed(now, stop);
            if out.is_empty() {
                return;
            }
            for (to, message) in out {
                self.send(now, to, message, net);
            }
        }
    }

    /// A server, asked at a time, said whether it takes new work.
    pub fn server_said(&mut self, server: &str, asked: Micros, ready: bool) {
        self.confirmed.heard(server, asked, ready);
    }

    /// How it goes under a version.
    pub fn report(&mut self, version: Number, well: bool) {
        self.follower.report(version, well);
    }

    /// What it may do now.
    pub fn look(&mut self, now: Micros) -> (Under, &Allowance) {
        let under = self.follower.under(now);
        let key = match &under {
            Under::Lease(set, _) => (set.clone(), None),
            Under::Ground(number) => (BTreeSet::new(), *number),
        };
        let looked = match self.looked.take() {
            Some(last) if (&last.0, &last.1) == (&key.0, &key.1) => last,
            _ => (key.0, key.1, self.follower.allowance(&under)),
        };
        let (_, _, allowance) = self.looked.insert(looked);
        (under, allowance)
    }

    /// Servers that may get a tenant's request in a class now, in order of name.
    pub fn servers(&mut self, now: Micros, tenant: &str, class: &str) -> Vec<String> {
        let confirm = self.start.tuning.confirm;
        let (_, allowed) = self.look(now);
        let may = allowed.classes.contains_key(class)
            && allowed.tenants.get(tenant).is_some_and(|p| p.classes.contains(class));
        if !may {
            return vec![];
        }
        let wanted = allowed.confirmed_only.then_some(confirm);
        let names: Vec<String> = allowed.servers.keys().cloned().collect();
        names.into_iter().filter(|s| self.confirmed.may(s, now, wanted)).collect()
    }

    /// Decides on a request; none: it may not be sent now, and has not run.
    pub fn permit(&mut self, now: Micros, tenant: &str, class: &str, pick: usize) -> Option<Permit> {
        let servers = self.servers(now, tenant, class);
        let server = servers.get(pick.checked_rem(servers.len())?)?.clone();
        let under = self.look(now).0;
        Some(Permit { under, tenant: tenant.to_owned(), class: class.to_owned(), server })
    }

    /// Whether a permit still holds, right before the bytes go: the process may have been stopped since, past the
    /// end of its lease.
    pub fn still(&mut self, now: Micros, permit: &Permit) -> Option<Permit> {
        let servers = self.servers(now, &permit.tenant, &permit.class);
        servers.contains(&permit.server).then(|| Permit { under: self.look(now).0, ..permit.clone() })
    }

    /// Keepers as the follower's settings name them.
    pub fn keepers(&self) -> &BTreeSet<Gateway> {
        &self.start.keepers
    }

    /// Versions its keeper knows, by number, with their hashes; empty if it is none.
    pub fn record(&self) -> BTreeMap<Number, frostgauge_accord::Hash> {
        let machine = self.keeper().and_then(Keeper::machine);
        machine.into_iter().flat_map(|m| m.versions()).map(|(n, v)| (*n, v.hash())).collect()
    }
}
