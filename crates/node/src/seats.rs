//! Seats for clients' connections: `hosting`'s [`Seating`] with the tasks that wait on it.

use async_channel::{Receiver, Sender};
use frostgauge_hosting::seating::{Arrival, Seating, Waiting};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug)]
struct State {
    seating: Seating,
    /// How those who wait for a request are asked to leave.
    idle: BTreeMap<Waiting, Sender<()>>,
}

impl State {
    fn ask(&mut self, waiting: Waiting) {
        let _ = self.idle.remove(&waiting).map(|sender| sender.try_send(()));
    }
}

/// All seats.
#[derive(Clone, Debug)]
pub struct Seats {
    state: Arc<Mutex<State>>,
    /// Something changed for who waits for a seat.
    freed: (Sender<()>, Receiver<()>),
}

/// One seat; dropping it frees it.
#[derive(Debug)]
pub struct Seat {
    seats: Seats,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.lock().seating.left();
        let _ = self.seats.freed.0.try_send(());
    }
}

/// A connection that waits for a request; while it lives, it may be asked to leave.
#[derive(Debug)]
pub struct Idle<'a> {
    seat: &'a Seat,
    waiting: Waiting,
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
        state.idle.remove(&self.waiting);
        if state.seating.waits_no_longer(self.waiting) {
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
        let (waiting, oldest) = state.seating.waits(used);
        state.idle.insert(waiting, sender);
        if let Some(oldest) = oldest {
            state.ask(oldest);
        }
        drop(state);
        // Someone may wait for just this: a connection that could leave.
        let _ = self.seats.freed.0.try_send(());
        Idle { seat: self, waiting, asked }
    }
}

impl Seats {
    /// So many; and so many of them for kept connections without a request.
    pub fn new(most: usize, most_kept: usize) -> Seats {
        let state = State { seating: Seating::new(most, most_kept), idle: BTreeMap::new() };
        Seats { state: Arc::new(Mutex::new(state)), freed: async_channel::bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Seats taken.
    pub fn taken(&self) -> usize {
        self.lock().seating.taken()
    }

    /// Waits for a seat, asking someone to leave where there is none.
    pub async fn take(&self) -> Seat {
        loop {
            {
                let mut state = self.lock();
                match state.seating.arrive() {
                    Arrival::Seated => return Seat { seats: self.clone() },
                    Arrival::Ask(waiting) => state.ask(waiting),
                    Arrival::Wait => {}
                }
            }
            let _ = self.freed.1.recv().await;
        }
    }
}
