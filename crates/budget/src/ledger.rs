//! Who may have how many connections open at which server: kept so that the sum at each server fits at every instant.
//!
//! A slot is given only while it is free, and is free only when its holder has given it back, or everything that the
//! holder could still do with it is surely over. That is decided outside (a lease, the longest attempt and the server's
//! own idle limit; for what was a process's own on ground, also that it has ended): here it comes in as
//! [`Ledger::silent`], [`Ledger::past_over`] and [`Ledger::past_ended`].
//!
//! All operations are deterministic: the ledger may be a fold over an agreed log.

use crate::check::Holder;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway's number.
pub type Gateway = u16;
/// Counts changes: what is told with a lower one is older.
pub type Epoch = u64;

/// Whose slots they are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The gateway.
    pub gateway: Gateway,
    /// The tenant, and the class if it has shares of its own.
    pub holder: Holder,
}

/// Slots of one owner at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// It may have so many connections open; counted against the server until they are back.
    pub held: u32,
    /// It is to come down to so many: no more than it holds.
    pub to: u32,
    /// So many are its own also without a lease, but for those called back that it knows of. They are never given away
    /// before it says so itself: one that is cut off does not hear that they are called back.
    pub ground: u32,
}

/// Why a change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// There is no such server.
    Unknown,
    /// So many are not free there.
    Full,
    /// No process of the gateway has been heard.
    Unheard,
}

/// What earlier processes of a gateway may still hold at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Past {
    /// Held by lease.
    leased: u32,
    /// Their own also without one: one that is stopped, and wakes, goes on with these.
    ground: u32,
}

/// A server's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Server {
    most: u32,
    slots: BTreeMap<Owner, Slots>,
    past: BTreeMap<Gateway, Past>,
}

impl Server {
    fn held(&self) -> u64 {
        let past: u64 = self.past.values().map(|p| u64::from(p.leased) + u64::from(p.ground)).sum();
        self.slots.values().map(|s| u64::from(s.held)).sum::<u64>() + past
    }

    fn empty(&self) -> bool {
        self.slots.is_empty() && self.past.is_empty()
    }
}

/// The process that a gateway's slots are for, and some before it, that never come back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Lives {
    now: u64,
    before: Vec<u64>,
}

/// Earlier lives of a gateway that are remembered.
const LIVES: usize = 8;

/// The ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    servers: BTreeMap<String, Server>,
    /// The last change of each gateway's slots.
    changed: BTreeMap<Gateway, Epoch>,
    epoch: Epoch,
    lives: BTreeMap<Gateway, Lives>,
}

impl Ledger {
    /// A server is there with so many connections; less than before: what is held over it is called back, and nothing
    /// new is given until it is back.
    pub fn server(&mut self, name: &str, most: u32) {
        self.servers.entry(name.to_owned()).or_default().most = most;
    }

    /// A server gets nothing new. It is forgotten once nothing is held there.
    pub fn close(&mut self, name: &str) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.most = 0;
        let owners: Vec<Owner> = server.slots.keys().cloned().collect();
        if server.empty() {
            self.servers.remove(name);
            return;
        }
        for owner in owners {
            self.call_back(name, &owner, 0);
        }
    }

    /// Servers, with what they hold at most.
    pub fn servers(&self) -> impl Iterator<Item = (&str, u32)> {
        self.servers.iter().map(|(n, s)| (n.as_str(), s.most))
    }

    /// What a server holds at most.
    pub fn most(&self, server: &str) -> u64 {
        self.servers.get(server).map_or(0, |s| u64::from(s.most))
    }

    /// Slots of a server that nobody may use.
    pub fn free(&self, server: &str) -> u32 {
        let Some(s) = self.servers.get(server) else { return 0 };
        u32::try_from(u64::from(s.most).saturating_sub(s.held())).unwrap_or(0)
    }

    /// Slots of a server that somebody may use.
    pub fn held(&self, server: &str) -> u64 {
        self.servers.get(server).map_or(0, Server::held)
    }

    /// An owner's slots at a server.
    pub fn slots(&self, server: &str, owner: &Owner) -> Slots {
        self.servers.get(server).and_then(|s| s.slots.get(owner)).copied().unwrap_or_default()
    }

    /// All slots of a server, by owner.
    pub fn at(&self, server: &str) -> impl Iterator<Item = (&Owner, &Slots)> {
        self.servers.get(server).into_iter().flat_map(|s| &s.slots)
    }

    /// A server takes connections without a budget: nothing is kept of it.
    pub fn forget(&mut self, name: &str) {
        let Some(server) = self.servers.remove(name) else { return };
        let gateways: BTreeSet<Gateway> = server.slots.keys().map(|o| o.gateway).collect();
        gateways.into_iter().for_each(|g| self.touch(g));
    }

    /// A new process of a gateway is heard. What an earlier one holds stays held until that is surely over; this one is
    /// given what is free. One that another has come after does not come back: a late word of it changes nothing.
    pub fn begin(&mut self, gateway: Gateway, life: u64) {
        let lives = self.lives.entry(gateway).or_default();
        if lives.now == life || lives.before.contains(&life) {
            return;
        }
        if lives.now != 0 {
            lives.before.push(lives.now);
            if lives.before.len() > LIVES {
                lives.before.remove(0);
            }
        }
        lives.now = life;
        for server in self.servers.values_mut() {
            let (mut leased, mut ground) = (0, 0);
            server.slots.retain(|owner, slots| {
                if owner.gateway == gateway {
                    ground += slots.ground;
                    leased += slots.held - slots.ground;
                }
                owner.gateway != gateway
            });
            if leased + ground > 0 {
                let past = server.past.entry(gateway).or_default();
                (past.leased, past.ground) = (past.leased + leased, past.ground + ground);
            }
        }
        self.touch(gateway);
    }

    /// The process that a gateway's slots are for.
    pub fn life(&self, gateway: Gateway) -> Option<u64> {
        self.lives.get(&gateway).map(|l| l.now)
    }

    /// What a process of a gateway is told; none: its slots are for another, or none was heard of yet.
    pub fn told(&self, gateway: Gateway, life: u64) -> Option<(Epoch, Vec<(String, Holder, Slots)>)> {
        (self.life(gateway) == Some(life)).then(|| self.of(gateway))
    }

    /// Whether earlier processes of a gateway may still hold slots: by lease, and as their own.
    pub fn past(&self, gateway: Gateway) -> (bool, bool) {
        let all = || self.servers.values().filter_map(|s| s.past.get(&gateway));
        (all().any(|p| p.leased > 0), all().any(|p| p.ground > 0))
    }

    /// Gateways that hold something by lease, or of which an earlier process may.
    pub fn leaseholders(&self) -> BTreeSet<Gateway> {
        let mut all = BTreeSet::new();
        for server in self.servers.values() {
            all.extend(server.slots.iter().filter(|(_, s)| s.held > s.ground).map(|(o, _)| o.gateway));
            all.extend(server.past.keys());
        }
        all
    }

    /// When a gateway's slots last changed.
    pub fn epoch(&self, gateway: Gateway) -> Epoch {
        self.changed.get(&gateway).copied().unwrap_or(0)
    }

    /// What a gateway holds, and the epoch at which that last changed.
    pub fn of(&self, gateway: Gateway) -> (Epoch, Vec<(String, Holder, Slots)>) {
        let mut all = vec![];
        for (name, server) in &self.servers {
            // Owners are sorted by gateway first.
            let mine = server.slots.iter().filter(|(o, _)| o.gateway == gateway);
            all.extend(mine.map(|(o, s)| (name.clone(), o.holder.clone(), *s)));
        }
        (self.epoch(gateway), all)
    }

    fn touch(&mut self, gateway: Gateway) {
        self.epoch += 1;
        self.changed.insert(gateway, self.epoch);
    }

    /// Gives slots that are free; `ground` of them are its own also without a lease.
    ///
    /// # Errors
    /// They are not free, there is no such server, or no process of the gateway was heard: nothing has changed.
    pub fn give(&mut self, server: &str, owner: &Owner, n: u32, ground: u32) -> Result<(), Refused> {
        if !self.lives.contains_key(&owner.gateway) {
            return Err(Refused::Unheard);
        }
        let s = self.servers.get_mut(server).ok_or(Refused::Unknown)?;
        if s.held() + u64::from(n) > u64::from(s.most) {
            return Err(Refused::Full);
        }
        let slots = s.slots.entry(owner.clone()).or_default();
        // What is being called back stays so: only its own word makes it free, and that word may be on its way.
        slots.held += n;
        slots.to += n;
        slots.ground = (slots.ground + ground.min(n)).min(slots.held);
        self.touch(owner.gateway);
        Ok(())
    }

    /// Calls slots back: the owner is to come down to so many.
    pub fn call_back(&mut self, server: &str, owner: &Owner, to: u32) {
        let slots = self.servers.get_mut(server).and_then(|s| s.slots.get_mut(owner));
        let Some(slots) = slots.filter(|s| to < s.to) else { return };
        slots.to = to;
        self.touch(owner.gateway);
    }

    /// A gateway's word, given under an epoch that it had seen: it has no more than so many open or being opened at a
    /// server, and opens none beyond what that epoch allows. Its earlier words change nothing: slots given since are
    /// not touched by a word that does not know of them.
    pub fn returned(&mut self, life: u64, seen: Epoch, server: &str, owner: &Owner, open: u32) {
        if self.life(owner.gateway) != Some(life) || seen < self.epoch(owner.gateway) {
            return;
        }
        let Some(s) = self.servers.get_mut(server) else { return };
        let Some(slots) = s.slots.get_mut(owner) else { return };
        let left = open.max(slots.to).min(slots.held);
        if left == slots.held && slots.ground <= slots.to {
            return;
        }
        slots.held = left;
        // It knows what it is to come down to: nothing beyond that is its own any more.
        slots.ground = slots.ground.min(slots.to);
        let gone = slots.held == 0;
        if gone {
            s.slots.remove(owner);
        }
        if s.most == 0 && s.empty() {
            self.servers.remove(server);
        }
        self.touch(owner.gateway);
    }

    /// All that a gateway's process could still do by lease is surely over: that is free. Its own also without a lease
    /// stays: one that is cut off does not hear of it.
    pub fn silent(&mut self, gateway: Gateway) {
        let mut any = false;
        for server in self.servers.values_mut() {
            server.slots.retain(|owner, slots| {
                if owner.gateway != gateway {
                    return true;
                }
                any |= slots.held != slots.ground;
                (slots.held, slots.to) = (slots.ground, slots.to.min(slots.ground));
                slots.ground > 0
            });
        }
        self.past_over(gateway);
        if any {
            self.touch(gateway);
        }
    }

    /// All that earlier processes of a gateway could still do by lease is over.
    pub fn past_over(&mut self, gateway: Gateway) {
        for server in self.servers.values_mut() {
            if let Some(past) = server.past.get_mut(&gateway) {
                past.leased = 0;
                if past.ground == 0 {
                    server.past.remove(&gateway);
                }
            }
        }
        self.tidy();
    }

    /// Earlier processes of a gateway have ended, and so have their connections: nothing of theirs is held. (What was
    /// their own on ground stays held before that: one that is stopped, and wakes, goes on with it. Seed 7 of
    /// `tests/sum.rs`, before this: it and the new process used the same slots.)
    pub fn past_ended(&mut self, gateway: Gateway) {
        for server in self.servers.values_mut() {
            server.past.remove(&gateway);
        }
        self.tidy();
    }

    /// A gateway has gone for good, and its connections with it.
    pub fn gone(&mut self, gateway: Gateway) {
        for server in self.servers.values_mut() {
            server.slots.retain(|owner, _| owner.gateway != gateway);
        }
        self.past_ended(gateway);
        self.touch(gateway);
    }

    fn tidy(&mut self) {
        self.servers.retain(|_, s| s.most > 0 || !s.empty());
    }

    /// Whether the sum fits at each server; where not, because the server now holds less, what is over it is on its
    /// way back.
    pub fn fits(&self) -> bool {
        self.servers.values().all(|s| {
            let to: u64 = s.slots.values().map(|s| u64::from(s.to)).sum();
            s.held() <= u64::from(s.most).max(to) || to <= u64::from(s.most)
        })
    }
}
