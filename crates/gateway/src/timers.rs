//! Timers of the decisions, in order of time, then of setting.

use crate::clock::Micros;
use frostgauge::TimerId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers not yet due. They cannot be taken back; the decisions ignore those they no longer need.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, TimerId)>>,
    set: u64,
}

impl Timers {
    /// Sets one.
    pub fn set(&mut self, at: Micros, timer: TimerId) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, timer)));
    }

    /// When the first is due.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|t| t.0 .0)
    }

    /// Takes the first one due by now.
    pub fn due(&mut self, now: Micros) -> Option<TimerId> {
        self.heap.peek().filter(|t| t.0 .0 <= now)?;
        self.heap.pop().map(|t| t.0 .2)
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
