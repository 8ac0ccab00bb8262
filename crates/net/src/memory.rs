//! Memory that is held for peers: a budget shared by all of them, and the reservations taken from it.
//!
//! A reservation covers the memory that is allocated, spare capacity included, not the bytes in use.

use async_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The budget has less left than a peer needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for this")]
pub struct OutOfMemory;

/// Bytes that may be held for all peers together, beyond what each may hold by itself.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    left: AtomicUsize,
    low_water: usize,
    /// Holds a message after little was left.
    low: (Sender<()>, Receiver<()>),
}

impl MemoryBudget {
    /// A budget of so many bytes; [`MemoryBudget::low`] completes once less than `low_water` of them are left.
    pub fn new(bytes: usize, low_water: usize) -> MemoryBudget {
        let (left, low) = (AtomicUsize::new(bytes), async_channel::bounded(1));
        MemoryBudget { state: Arc::new(BudgetState { left, low_water, low }) }
    }

    /// Bytes left.
    pub fn left(&self) -> usize {
        self.state.left.load(Ordering::Relaxed)
    }

    /// Waits until less than the low-water mark is left, or less than was asked for.
    pub async fn low(&self) {
        let _ = self.state.low.1.recv().await;
    }

    /// A reservation that holds nothing yet. Its first `allowance` bytes are not taken from the budget, which has to
    /// be sized with room for those of all holders beside it.
    pub fn reservation(&self, allowance: usize) -> Reservation {
        Reservation { budget: Some(self.clone()), allowance, bytes: 0 }
    }

    fn take(&self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes == 0 {
            return Ok(());
        }
        let less = |left: usize| left.checked_sub(bytes);
        let taken = self.state.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        if taken.is_err() || self.left() < self.state.low_water {
            let _ = self.state.low.0.try_send(());
        }
        taken.map(|_| ()).map_err(|_| OutOfMemory)
    }

    fn give_back(&self, bytes: usize) {
        self.state.left.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Bytes held for one peer; dropping it returns them.
#[derive(Debug, Default)]
pub struct Reservation {
    /// `None`: nothing bounds it.
    budget: Option<MemoryBudget>,
    allowance: usize,
    bytes: usize,
}

impl Reservation {
    /// A reservation that nothing bounds.
    pub fn unbounded() -> Reservation {
        Reservation::default()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes that it may hold without the budget.
    pub fn allowance(&self) -> usize {
        self.allowance
    }

    /// Bytes taken from the budget.
    pub fn taken(&self) -> usize {
        self.bytes.saturating_sub(self.allowance)
    }

    /// Changes how many bytes it holds.
    ///
    /// # Errors
    /// The budget has too few left; it holds as many as before.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let before = self.taken();
        let after = bytes.saturating_sub(self.allowance);
        if let Some(budget) = &self.budget {
            match after.checked_sub(before) {
                Some(more) => budget.take(more)?,
                None => budget.give_back(before - after),
            }
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.give_back(self.taken());
        }
    }
}

/// Least capacity that is allocated, bytes.
const MIN_CAPACITY: usize = 512;

/// Makes room for `more` bytes in a vector whose memory is reserved up to `reserved` bytes: the capacity doubles, so that
/// bytes that come one by one are not copied each time, and never exceeds the reservation.
pub(crate) fn reserve_capacity(bytes: &mut Vec<u8>, more: usize, reserved: usize) {
    let needed = bytes.len() + more;
    if needed > bytes.capacity() {
        let capacity = needed.next_power_of_two().max(MIN_CAPACITY).min(reserved.max(needed));
        bytes.reserve_exact(capacity - bytes.len());
    }
}

/// Received bytes that are still to be parsed. Memory for them is reserved before they are read.
#[derive(Debug)]
pub struct InputBuffer {
    bytes: Vec<u8>,
    /// Bytes that may be held.
    room: usize,
    memory: Reservation,
}

impl InputBuffer {
    /// An empty buffer with the room that the reservation allows without the budget.
    pub fn new(memory: Reservation) -> InputBuffer {
        let room = if memory.budget.is_some() { memory.allowance() } else { usize::MAX };
        InputBuffer { bytes: Vec::new(), room, memory }
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes that may be held.
    pub fn room(&self) -> usize {
        self.room
    }

    /// Bytes that may still be read.
    pub fn room_left(&self) -> usize {
        self.room - self.bytes.len()
    }

    /// Reserves memory for so many bytes.
    ///
    /// # Errors
    /// The budget has too few left; the room is as before.
    pub fn grow(&mut self, room: usize) -> Result<(), OutOfMemory> {
        if room > self.room {
            self.memory.resize(room)?;
            self.room = room;
        }
        Ok(())
    }

    /// Appends bytes that were read; no more than there is room for.
    pub(crate) fn append(&mut self, piece: &[u8]) {
        reserve_capacity(&mut self.bytes, piece.len(), self.room);
        self.bytes.extend_from_slice(piece);
    }

    /// Removes the first bytes, which were parsed; an empty buffer returns its memory.
    pub fn consume(&mut self, count: usize) {
        self.edit(|bytes| drop(bytes.drain(..count)));
    }

    /// Removes all bytes and returns their memory.
    pub fn clear(&mut self) {
        self.edit(Vec::clear);
    }

    /// Removes bytes in place; an empty buffer returns its memory. Bytes cannot be added this way.
    pub fn edit<T>(&mut self, edit: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let result = edit(&mut self.bytes);
        if self.bytes.is_empty() {
            self.fit(0);
        }
        result
    }

    /// Returns the room beyond the bytes held, in steps of `step` bytes.
    pub fn fit_steps(&mut self, step: usize) {
        self.fit(self.bytes.len().div_ceil(step) * step);
    }

    fn fit(&mut self, room: usize) {
        if self.memory.budget.is_none() {
            return;
        }
        let room = room.max(self.memory.allowance());
        if room < self.room || self.bytes.is_empty() {
            self.bytes.shrink_to(if self.bytes.is_empty() { 0 } else { room });
            // Less than before is always to be had.
            if self.memory.resize(room).is_ok() {
                self.room = room;
            }
        }
    }
}
