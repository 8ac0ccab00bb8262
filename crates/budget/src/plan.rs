//! From what each gateway should have to the few changes that bring it about.
//!
//! Slots move only where somebody lacks one: as long as what is free covers that, nobody is called back. So at rest
//! nothing changes, however the parts lie.

use crate::ledger::{Ledger, Owner};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Move {
    /// Slots that are free are given.
    Give {
        /// Where.
        server: String,
        /// To whom.
        owner: Owner,
        /// How many.
        n: u32,
        /// Of them, its own also without a lease.
        ground: u32,
    },
    /// Slots are called back.
    CallBack {
        /// Where.
        server: String,
        /// From whom.
        owner: Owner,
        /// It is to come down to so many there.
        to: u32,
    },
}

/// What an owner should have over a group of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Connections.
    pub n: u32,
    /// Of them, its own also without a lease.
    pub ground: u32,
    /// Its holder is under its floor: it comes before those who are not.
    pub first: bool,
}

impl Move {
    /// Carries it out.
    ///
    /// # Errors
    /// The ledger refuses it: nothing has changed.
    pub fn apply(&self, ledger: &mut Ledger) -> Result<(), crate::ledger::Refused> {
        match self {
            Move::Give { server, owner, n, ground } => ledger.give(server, owner, *n, *ground),
            Move::CallBack { server, owner, to } => {
                ledger.call_back(server, owner, *to);
                Ok(())
            }
        }
    }
}

/// The changes that bring a group's servers nearer to what is wanted, `most` at most; none at rest.
pub fn plan(ledger: &Ledger, servers: &[String], wanted: &BTreeMap<Owner, Wanted>, most: usize) -> Vec<Move> {
    // On a copy, so that each change sees the ones before it.
    let mut after = ledger.clone();
    let mut moves = vec![];
    let mut have: BTreeMap<Owner, u32> = BTreeMap::new();
    let mut coming = 0u64;
    for server in servers {
        for (owner, slots) in ledger.at(server) {
            *have.entry(owner.clone()).or_default() += slots.to;
            coming += u64::from(slots.held - slots.to);
        }
    }
    let mut lacks: Vec<(Owner, u32)> = wanted
        .iter()
        .filter_map(|(o, w)| Some((o.clone(), w.n.checked_sub(have.get(o).copied().unwrap_or(0))?)))
        .filter(|(_, n)| *n > 0)
        .collect();
    // Who is under its floor comes first, then who has least of what it should have; gateways by number decide between
    // equals.
    lacks.sort_by_key(|(o, n)| {
        let first = wanted.get(o).is_some_and(|w| w.first);
        (!first, have.get(o).copied().unwrap_or(0), std::cmp::Reverse(*n), o.clone())
    });
    let free: u64 = servers.iter().map(|s| u64::from(ledger.free(s))).sum();
    let lacking: u64 = lacks.iter().map(|(_, n)| u64::from(*n)).sum();
    // What is free, or already on its way back, serves first.
    let mut needed = lacking.saturating_sub(free + coming);
    // A server that now holds less than it gave has to be relieved whoever lacks or not.
    for server in servers {
        let cap = ledger.most(server);
        let to: u64 = ledger.at(server).map(|(_, s)| u64::from(s.to)).sum();
        let over = to.saturating_sub(cap);
        let called = call_back(&mut after, server, over, wanted, &mut have, &mut moves, most);
        relieve(&mut after, server, over - called, &mut have, &mut moves, most);
    }
    for server in servers {
        let called = call_back(&mut after, server, needed, wanted, &mut have, &mut moves, most);
        needed = needed.saturating_sub(called);
    }
    for (owner, n) in lacks {
        give(
            &mut after,
            servers,
            &owner,
            n,
            wanted.get(&owner).copied().unwrap_or_default(),
            &mut moves,
            most,
        );
    }
    moves
}

/// Calls back up to `n` slots at a server from owners that have more than they should.
fn call_back(
    after: &mut Ledger,
    server: &str,
    n: u64,
    wanted: &BTreeMap<Owner, Wanted>,
    have: &mut BTreeMap<Owner, u32>,
    moves: &mut Vec<Move>,
    most: usize,
) -> u64 {
    let mut called = 0;
    let over = |o: &Owner| {
        let should = wanted.get(o).map_or(0, |w| w.n);
        have.get(o).copied().unwrap_or(0).saturating_sub(should)
    };
    let mut owners: Vec<(u32, Owner, u32)> = after
        .at(server)
        .map(|(o, s)| (over(o), o.clone(), s.to))
        .filter(|(n, _, to)| n.min(to) > &0)
        .collect();
    owners.sort_by(|a, b| (b.0, b.2, &a.1).cmp(&(a.0, a.2, &b.1)));
    for (excess, owner, to) in owners {
        let some = u64::from(excess.min(to)).min(n - called) as u32;
        if some == 0 || moves.len() >= most {
            break;
        }
        called += u64::from(some);
        down(after, server, owner, to - some, have, moves);
    }
    called
}

/// Calls `n` slots of a server back whoever has them: one by one from who then has most there.
fn relieve(
    after: &mut Ledger,
    server: &str,
    n: u64,
    have: &mut BTreeMap<Owner, u32>,
    moves: &mut Vec<Move>,
    most: usize,
) {
    let mut to: BTreeMap<Owner, u32> = after.at(server).map(|(o, s)| (o.clone(), s.to)).collect();
    for _ in 0..n {
        let Some((_, left)) = to.iter_mut().max_by_key(|(o, left)| (**left, std::cmp::Reverse((*o).clone())))
        else {
            break;
        };
        *left = left.saturating_sub(1);
    }
    for (owner, left) in to {
        if left < after.slots(server, &owner).to && moves.len() < most {
            down(after, server, owner, left, have, moves);
        }
    }
}

fn down(
    after: &mut Ledger,
    server: &str,
    owner: Owner,
    to: u32,
    have: &mut BTreeMap<Owner, u32>,
    moves: &mut Vec<Move>,
) {
    let was = after.slots(server, &owner).to;
    if let Some(have) = have.get_mut(&owner) {
        *have = have.saturating_sub(was - to);
    }
    let call = Move::CallBack { server: server.to_owned(), owner, to };
    let _ = call.apply(after);
    moves.push(call);
}

/// Gives an owner up to `n` free slots, where most are free and it has fewest.
fn give(
    after: &mut Ledger,
    servers: &[String],
    owner: &Owner,
    n: u32,
    wanted: Wanted,
    moves: &mut Vec<Move>,
    most: usize,
) {
    let mut ground: u32 = servers.iter().map(|s| after.slots(s, owner).ground).sum();
    for _ in 0..n {
        if moves.len() >= most {
            return;
        }
        let best = servers
            .iter()
            .filter(|s| after.free(s) > 0)
            .min_by_key(|s| (after.slots(s, owner).to, std::cmp::Reverse(after.free(s)), (*s).clone()));
        let Some(server) = best.cloned() else { return };
        let own = u32::from(ground < wanted.ground);
        ground += own;
        let given = Move::Give { server, owner: owner.clone(), n: 1, ground: own };
        if given.apply(after).is_err() {
            return;
        }
        moves.push(given);
    }
}
