//! Seats for clients' connections. Where all are taken, a connection without an open request gives up its own for one
//! that arrives: one that never asked first, then the one that has been idle longest. Guards against hundreds of
//! connections that say nothing, or that asked once and stay, in whose place usual clients would not be served.

use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct State {
    taken: usize,
    next: u64,
    /// Who may be asked to leave, in that order: never asked anything or have, then the order of their waiting.
    idle: BTreeMap<(bool, u64), Sender<()>>,
    /// Connections asked to leave that have not left.
    leaving: usize,
}

/// All seats.
#[derive(Clone, Debug)]
pub struct Seats {
    state: Arc<Mutex<State>>,
    most: usize,
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
        if state.idle.remove(&self.key).is_none() {
            // It was asked to leave; where a request came first it stays, and another may be asked.
            state.leaving = state.leaving.saturating_sub(1);
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
        drop(state);
        // Someone may wait for just this: a connection that could leave.
        let _ = self.seats.freed.0.try_send(());
        Idle { seat: self, key, asked }
    }
}

impl Seats {
    /// So many.
    pub fn new(most: usize) -> Seats {
        Seats { state: Arc::default(), most: most.max(1), freed: async_channel::bounded(1) }
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
                if state.leaving == 0 {
                    if let Some((_, sender)) = state.idle.pop_first() {
                        if sender.try_send(()).is_ok() {
                            state.leaving += 1;
                        }
                    }
                }
            }
            let _ = self.freed.1.recv().await;
        }
    }
}
