//! A gateway's side of the ledger: whether a connection may be opened now, which are to be closed, what is given back.
//!
//! A connection counts from before it is opened until it is known to be closed at the server too: one that was closed
//! only here may still be held there. Counted so, what is told back is never less than what the server holds.

use crate::check::Holder;
use crate::ledger::{Epoch, Slots};
use std::collections::BTreeMap;

/// Where, and for whom.
type Place = (String, Holder);

/// What a gateway holds, and has open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    epoch: Epoch,
    /// The lease under which it holds more than its ground, microseconds on the gateway's clock.
    until: u64,
    slots: BTreeMap<Place, Slots>,
    open: BTreeMap<Place, u32>,
}

impl Holdings {
    /// What the ledger says, under a lease until a time. Older words than the last are not taken.
    pub fn told(
        &mut self,
        epoch: Epoch,
        slots: impl IntoIterator<Item = (String, Holder, Slots)>,
        until: u64,
    ) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        self.until = self.until.max(until);
        self.slots = slots.into_iter().map(|(server, holder, s)| ((server, holder), s)).collect();
    }

    /// How many it may have open at a server for a holder now.
    pub fn most(&self, now: u64, server: &str, holder: &Holder) -> u32 {
        let slots = self.slots.get(&(server.to_owned(), holder.clone())).copied().unwrap_or_default();
        if now < self.until {
            slots.to
        } else {
            slots.ground.min(slots.to)
        }
    }

    /// Opens one, if it may: it counts from now on.
    pub fn open(&mut self, now: u64, server: &str, holder: &Holder) -> bool {
        let most = self.most(now, server, holder);
        let open = self.open.entry((server.to_owned(), holder.clone())).or_default();
        let may = *open < most;
        *open += u32::from(may);
        may
    }

    /// One is known to be closed at the server too, or was refused by it, or the server's own idle limit has passed
    /// since anything was sent on it.
    pub fn closed(&mut self, server: &str, holder: &Holder) {
        let place = (server.to_owned(), holder.clone());
        if let Some(open) = self.open.get_mut(&place) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.open.remove(&place);
            }
        }
    }

    /// How many are open, or not yet known to be closed.
    pub fn opened(&self, server: &str, holder: &Holder) -> u32 {
        self.open.get(&(server.to_owned(), holder.clone())).copied().unwrap_or(0)
    }

    /// Where more are open than may be: how many are to be closed, idle ones at once, busy ones after their answers.
    pub fn excess(&self, now: u64) -> Vec<(String, Holder, u32)> {
        let over = self.open.iter().filter_map(|((server, holder), open)| {
            let over = open.saturating_sub(self.most(now, server, holder));
            (over > 0).then(|| (server.clone(), holder.clone(), over))
        });
        over.collect()
    }

    /// What is told to the keepers: under which epoch, and how many are open where slots are being called back.
    pub fn report(&self) -> (Epoch, Vec<(String, Holder, u32)>) {
        let called = self.slots.iter().filter(|(_, s)| s.to < s.held);
        let words =
            called.map(|((server, holder), _)| (server.clone(), holder.clone(), self.opened(server, holder)));
        (self.epoch, words.collect())
    }
}
