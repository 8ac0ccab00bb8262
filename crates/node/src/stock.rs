//! A bounded amount of something that many take of.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A bounded amount of something, taken and given back.
#[derive(Clone, Debug)]
pub struct Stock {
    left: Arc<AtomicUsize>,
}

/// What was taken; dropping it gives it back.
#[derive(Debug)]
pub struct Taken {
    stock: Arc<AtomicUsize>,
    amount: usize,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.stock.fetch_add(self.amount, Ordering::Relaxed);
    }
}

impl Stock {
    /// So much.
    pub fn new(amount: usize) -> Stock {
        Stock { left: Arc::new(AtomicUsize::new(amount)) }
    }

    /// Takes so much, or nothing.
    pub fn take(&self, amount: usize) -> Option<Taken> {
        let less = |left: usize| left.checked_sub(amount);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).ok()?;
        Some(Taken { stock: self.left.clone(), amount })
    }

    /// What is left.
    pub fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed)
    }
}
