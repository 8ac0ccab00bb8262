//! Timers of the decision library, ordered by due time and then by the order in which they were set.

use crate::clock::Micros;
use frostgauge::TimerId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers that have not fired. They cannot be cancelled; the decision library ignores those that it no longer needs.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, TimerId)>>,
    /// Number of timers set so far; it breaks ties between equal due times.
    set_count: u64,
}

impl Timers {
    /// Sets a timer that is due at `at`, µs.
    pub fn set(&mut self, at: Micros, timer: TimerId) {
        self.set_count += 1;
        self.heap.push(Reverse((at, self.set_count, timer)));
    }

    /// When the earliest timer is due, µs; `None` if none is set.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|entry| entry.0 .0)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn due(&mut self, now: Micros) -> Option<TimerId> {
        self.heap.peek().filter(|entry| entry.0 .0 <= now)?;
        self.heap.pop().map(|entry| entry.0 .2)
    }

    /// Number of timers that have not fired.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
