//! The machine's limits, shared out.

use frostgauge_platform::config::Limits;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Descriptors that are neither clients' nor servers': standard streams, the reactor's, listeners, discovery (two
/// while it moves), datagrams, signals, the configuration while it is read, and connections between accepting and
/// taking a seat.
const OWN: usize = 24;

/// Descriptors for each side, so that neither can starve the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients.
    pub clients: usize,
    /// Of these, kept without a request.
    pub idle: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Bytes of content held for clients in all.
    pub bytes: usize,
}

impl Shares {
    /// Half of what is left to each side; a quarter of the memory for clients' content. Usual clients hold a third of
    /// the descriptors at most: half of that may be idle, so that there is room for new ones on their side too.
    pub fn of(limits: &Limits) -> Shares {
        let each = limits.sockets.saturating_sub(OWN).max(2) / 2;
        let bytes = usize::try_from(limits.memory_mb << 20).unwrap_or(usize::MAX) / 4;
        Shares { clients: each, idle: limits.sockets / 6, servers: each, bytes }
    }
}

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
