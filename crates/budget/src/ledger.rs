//! Who may have how many connections open at which server: kept so that the sum at each server fits at every instant.
//!
//! A slot is given only while it is free, and is free only when its holder has given it back, or everything that the
//! holder could still do with it is surely over. That is decided outside (a lease, the longest attempt and the server's
//! own idle limit, or a lock that only an ended process leaves): here it comes in as [`Ledger::over`].
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
    /// An earlier process of the gateway may still hold what it had, or none of it has been heard.
    Haunted,
}

/// A server's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Server {
    most: u32,
    slots: BTreeMap<Owner, Slots>,
}

impl Server {
    fn held(&self) -> u64 {
        self.slots.values().map(|s| u64::from(s.held)).sum()
    }
}

/// The ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    servers: BTreeMap<String, Server>,
    /// The last change of each gateway's slots.
    changed: BTreeMap<Gateway, Epoch>,
    epoch: Epoch,
    /// The process that each gateway's slots are for.
    lives: BTreeMap<Gateway, u64>,
    /// Gateways of which an earlier process may still hold something.
    haunted: BTreeSet<Gateway>,
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
        if owners.is_empty() {
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

    /// A process of a gateway is heard for the first time. `alone`: it has shown that every earlier one has ended, and its
    /// connections with it (a lock that only an ended process leaves). Otherwise what an earlier one holds stays held,
    /// and this one gets nothing, until that is surely over.
    pub fn begin(&mut self, gateway: Gateway, life: u64, alone: bool) {
        if self.lives.get(&gateway) == Some(&life) {
            if alone && self.haunted.contains(&gateway) {
                self.over(gateway, true);
            }
            return;
        }
        let holds = self.servers.values().any(|s| s.slots.keys().any(|o| o.gateway == gateway));
        self.lives.insert(gateway, life);
        if alone {
            self.over(gateway, true);
        } else if holds {
            self.haunted.insert(gateway);
            self.touch(gateway);
        }
    }

    /// What a process of a gateway is told: nothing while an earlier one may hold what is the gateway's.
    pub fn told(&self, gateway: Gateway, life: u64) -> (Epoch, Vec<(String, Holder, Slots)>) {
        let (epoch, slots) = self.of(gateway);
        let own = self.lives.get(&gateway) == Some(&life) && !self.haunted.contains(&gateway);
        (epoch, if own { slots } else { vec![] })
    }

    /// What a gateway holds, and the epoch at which that last changed.
    pub fn of(&self, gateway: Gateway) -> (Epoch, Vec<(String, Holder, Slots)>) {
        let mut all = vec![];
        for (name, server) in &self.servers {
            // Owners are sorted by gateway first.
            let mine = server.slots.iter().filter(|(o, _)| o.gateway == gateway);
            all.extend(mine.map(|(o, s)| (name.clone(), o.holder.clone(), *s)));
        }
        (self.changed.get(&gateway).copied().unwrap_or(0), all)
    }

    fn touch(&mut self, gateway: Gateway) {
        self.epoch += 1;
        self.changed.insert(gateway, self.epoch);
    }

    /// Gives slots that are free; `ground` of them are its own also without a lease.
    ///
    /// # Errors
    /// They are not free, there is no such server, or the gateway's process is not known to be the only one of it:
    /// nothing has changed.
    pub fn give(&mut self, server: &str, owner: &Owner, n: u32, ground: u32) -> Result<(), Refused> {
        if self.haunted.contains(&owner.gateway) || !self.lives.contains_key(&owner.gateway) {
            return Err(Refused::Haunted);
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
        let current = self.lives.get(&owner.gateway) == Some(&life) && !self.haunted.contains(&owner.gateway);
        if !current || seen < self.changed.get(&owner.gateway).copied().unwrap_or(0) {
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
        if s.slots.is_empty() && s.most == 0 {
            self.servers.remove(server);
        }
        self.touch(owner.gateway);
    }

    /// All that a gateway could still do with its slots is surely over: they are free. With `ground`, those that are
    /// its own also without a lease too: only when its process has ended for good, or begins anew and says so.
    pub fn over(&mut self, gateway: Gateway, ground: bool) {
        // What was an ended process's own on ground is the new one's: it has the same folder, or the word of an operator.
        let (mut any, mut still) = (false, false);
        for server in self.servers.values_mut() {
            server.slots.retain(|owner, slots| {
                if owner.gateway != gateway {
                    return true;
                }
                let left = if ground { 0 } else { slots.ground };
                any |= slots.held != left;
                still |= left > 0;
                (slots.held, slots.to) = (left, slots.to.min(left));
                left > 0
            });
        }
        self.servers.retain(|_, s| s.most > 0 || !s.slots.is_empty());
        // An earlier process that is stopped and wakes goes on with its ground: until that is shown to be over, the new
        // one has nothing. (Seed 7 of `tests/sum.rs`, before this: both used the same slots.)
        any |= !still && self.haunted.remove(&gateway);
        if any {
            self.touch(gateway);
        }
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
