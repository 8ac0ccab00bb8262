//! A counting semaphore whose permits hold any amount, without waiting.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A bounded amount that tasks take from and return to.
#[derive(Clone, Debug)]
pub struct Semaphore {
    left: Arc<AtomicUsize>,
}

/// An amount that was taken; dropping it returns it.
#[derive(Debug)]
pub struct SemaphorePermit {
    semaphore: Arc<AtomicUsize>,
    amount: usize,
}

impl Drop for SemaphorePermit {
    fn drop(&mut self) {
        self.semaphore.fetch_add(self.amount, Ordering::Relaxed);
    }
}

impl Semaphore {
    /// A semaphore with this amount.
    pub fn new(amount: usize) -> Semaphore {
        Semaphore { left: Arc::new(AtomicUsize::new(amount)) }
    }

    /// Takes an amount, or nothing if there is less.
    pub fn take(&self, amount: usize) -> Option<SemaphorePermit> {
        let less = |left: usize| left.checked_sub(amount);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).ok()?;
        Some(SemaphorePermit { semaphore: self.left.clone(), amount })
    }

    /// The amount left.
    pub fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed)
    }
}
