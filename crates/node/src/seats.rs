//! Seats for clients' connections. Where all are taken, a connection without an open request gives up its own for one
//! that arrives: one that never asked first, then the one that has been idle longest. Guards against hundreds of
//! connections that say nothing, or that asked once and stay, in whose place usual clients would not be served.
//!
//! Kept connections without a request are bounded by themselves, since the clients' side has a bound of its own that
//! is not told: guards against clients that ask once and keep each connection for good, until none is left there for a
//! new one while there still are seats here.

use async_channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct State {
    taken: usize,
    next: u64,
    /// Who may be asked to leave, in that order: never asked anything or have, then the order of their waiting.
    idle: BTreeMap<(bool, u64), Sender<()>>,
    /// Those of them asked for the sake of one that comes, not yet gone.
    leaving: BTreeSet<(bool, u64)>,
}

/// All seats.
#[derive(Clone, Debug)]
pub struct Seats {
    state: Arc<Mutex<State>>,
    most: usize,
    most_idle: usize,
    freed: (Sender<()>, Receiver<()>),
}

/// One seat; dropping it frees it.
#[derive(Debug)]
pub struct Seat {
    seats: Seats,
}

impl Drop for Seat {
    fn drop(&mut self) {
        {
            let mut state = self.seats.lock();
            state.taken = state.taken.saturating_sub(1);
        }
        let _ = self.seats.freed.0.try_send(());
    }
}

/// A connection that waits for a request; while it lives, it may be asked to leave.
#[derive(Debug)]
pub struct Idle<'a> {
    seat: &'a Seat,
    key: (bool, u64),
    asked: Receiver<()>,
}

impl Idle<'_> {
    /// Waits until it is asked to leave.
    pub async fn asked(&self) {
        let _ = self.asked.recv().await;
    }
}

impl Drop for Idle<'_> {
    fn drop(&mut self) {
        let mut state = self.seat.seats.lock();
        state.idle.remove(&self.key);
        if state.leaving.remove(&self.key) {
            // Where a request came first it stays, and another may be asked.
            drop(state);
            let _ = self.seat.seats.freed.0.try_send(());
        }
    }
}

impl Seat {
    /// This connection waits for a request; `used` once it has brought one.
    pub fn idle(&self, used: bool) -> Idle<'_> {
        let (sender, asked) = async_channel::bounded(1);
        let mut state = self.seats.lock();
        state.next += 1;
        let key = (used, state.next);
        state.idle.insert(key, sender);
        let kept = state.idle.range((true, 0)..).count();
        if kept > self.seats.most_idle {
            if let Some(oldest) = state.idle.range((true, 0)..).next().map(|(key, _)| *key) {
                let _ = state.idle.remove(&oldest).map(|asked| asked.try_send(()));
            }
        }
        drop(state);
        // Someone may wait for just this: a connection that could leave.
        let _ = self.seats.freed.0.try_send(());
        Idle { seat: self, key, asked }
    }
}

impl Seats {
    /// So many; and so many of them for kept connections without a request.
    pub fn new(most: usize, most_idle: usize) -> Seats {
        Seats { state: Arc::default(), most: most.max(1), most_idle, freed: async_channel::bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Seats taken.
    pub fn taken(&self) -> usize {
        self.lock().taken
    }

    /// Waits for a seat, asking someone to leave where there is none.
    pub async fn take(&self) -> Seat {
        loop {
            {
                let mut state = self.lock();
                if state.taken < self.most {
                    state.taken += 1;
                    return Seat { seats: self.clone() };
                }
                // One leaves for one that comes.
                if state.leaving.is_empty() {
                    if let Some((key, sender)) = state.idle.pop_first() {
                        if sender.try_send(()).is_ok() {
                            state.leaving.insert(key);
                        }
                    }
                }
            }
            let _ = self.freed.1.recv().await;
        }
    }
}
