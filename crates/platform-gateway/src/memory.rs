//! Memory held for clients and servers. Where little is left of it, requests that are not complete end: the one first
//! that holds shared memory longest. They have not run, and what they hold is to be had at once.

use async_channel::{Receiver, Sender};
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::log::Throttle;
use frostgauge_net::MemoryBudget;
use futures_lite::future::yield_now;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Requests that hold shared memory and are not complete, by the order in which they began to.
#[derive(Debug, Default)]
struct IncompleteRequests {
    last_sequence: u64,
    by_sequence: BTreeMap<u64, Sender<()>>,
}

/// The shared memory.
#[derive(Clone, Debug)]
pub struct SharedMemory {
    budget: MemoryBudget,
    low_water: usize,
    incomplete: Arc<Mutex<IncompleteRequests>>,
}

/// A request that holds shared memory and is not complete; while this lives, it may be ended.
#[derive(Debug)]
pub struct IncompleteRequest {
    memory: SharedMemory,
    sequence: u64,
    ended: Receiver<()>,
}

impl IncompleteRequest {
    /// Waits until the request is to end.
    pub async fn ended(&self) {
        let _ = self.ended.recv().await;
    }
}

impl Drop for IncompleteRequest {
    fn drop(&mut self) {
        self.memory.lock().by_sequence.remove(&self.sequence);
    }
}

impl SharedMemory {
    /// So many bytes, which clients and servers hold together beyond their allowances; incomplete requests end while less
    /// than `low_water` of them are left.
    pub fn new(bytes: usize, low_water: usize) -> SharedMemory {
        let budget = MemoryBudget::new(bytes, low_water);
        SharedMemory { budget, low_water, incomplete: Arc::default() }
    }

    /// The budget that reservations are taken from.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    fn lock(&self) -> MutexGuard<'_, IncompleteRequests> {
        self.incomplete.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request that holds shared memory and is not complete.
    pub fn register(&self) -> IncompleteRequest {
        let (sender, ended) = async_channel::bounded(1);
        let mut incomplete = self.lock();
        incomplete.last_sequence += 1;
        let sequence = incomplete.last_sequence;
        incomplete.by_sequence.insert(sequence, sender);
        drop(incomplete);
        IncompleteRequest { memory: self.clone(), sequence, ended }
    }

    /// Ends the incomplete request that holds shared memory longest; whether there was one.
    fn end_oldest(&self) -> bool {
        let oldest = self.lock().by_sequence.pop_first();
        oldest.map(|(_, sender)| sender.try_send(())).is_some()
    }

    /// Ends incomplete requests whenever little memory is left.
    pub async fn relieve(self, clock: Clock) {
        let (mut ended, mut log) = (0, Throttle::default());
        loop {
            self.budget.low().await;
            while self.budget.left() < self.low_water && self.end_oldest() {
                ended += 1;
                // The request returns its memory in its own task.
                yield_now().await;
            }
            if log.allow(clock.now(), "short").is_some() {
                let left = self.budget.left();
                tracing::warn!(ended, left, "shared memory is short: incomplete requests end");
                ended = 0;
            }
        }
    }
}
