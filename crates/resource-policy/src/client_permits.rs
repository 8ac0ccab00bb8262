//! Permits of client connections.
//!
//! If all permits are in use, a connection that waits for its client is evicted for a new one: first connections that have
//! never sent a request, then the one that has been idle longest, then the one whose request is incomplete and went on
//! longest ago. Clients that send nothing, or stop in the middle, therefore cannot keep others out.
//!
//! Idle connections that have sent a request have a separate limit, because the clients' side limits its connections
//! too and that limit is unknown here: clients that send one request on each connection and keep it open could
//! otherwise exhaust it and be unable to open a new one.

use std::collections::BTreeSet;

/// What a connection waits for. The least in this order is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiting {
    /// Its first request.
    FirstRequest,
    /// A later request.
    NextRequest,
    /// The rest of a request's content.
    Content,
}

/// A connection that waits for its client. The least one in the derived order is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleClient {
    waiting: Waiting,
    /// Number of the wait, counted over all connections.
    sequence: u64,
}

/// Result of [`ClientPermits::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The new connection has a permit.
    Granted,
    /// No permit is free: the caller has this idle connection closed and calls `acquire` again after a permit is released.
    Evict(IdleClient),
    /// No permit is free and none can be freed now: the caller calls `acquire` again after a permit is released or a
    /// connection becomes idle or busy.
    Wait,
}

/// Counts the permits in use and tracks which connections may be evicted.
#[derive(Debug)]
pub struct ClientPermits {
    max_connections: usize,
    max_idle: usize,
    in_use: usize,
    last_sequence: u64,
    /// Idle connections that have not been selected for eviction.
    idle: BTreeSet<IdleClient>,
    /// Connections selected for eviction in favour of a new one that are not closed yet.
    evicting: BTreeSet<IdleClient>,
}

impl ClientPermits {
    /// Creates `max_connections` permits, at least one. At most `max_idle` idle connections that have sent a request are
    /// kept.
    pub fn new(max_connections: usize, max_idle: usize) -> ClientPermits {
        ClientPermits {
            max_connections: max_connections.max(1),
            max_idle,
            in_use: 0,
            last_sequence: 0,
            idle: BTreeSet::new(),
            evicting: BTreeSet::new(),
        }
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Requests a permit for a new connection. Only one connection is evicted at a time.
    pub fn acquire(&mut self) -> Acquisition {
        if self.in_use < self.max_connections {
            self.in_use += 1;
            return Acquisition::Granted;
        }
        if !self.evicting.is_empty() {
            return Acquisition::Wait;
        }
        let Some(candidate) = self.idle.pop_first() else { return Acquisition::Wait };
        self.evicting.insert(candidate);
        Acquisition::Evict(candidate)
    }

    /// Returns a permit after its connection has closed.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Records that a connection waits for its client. Returns its key, and the connection to evict if more than `max_idle`
    /// connections wait for a later request.
    pub fn mark_idle(&mut self, waiting: Waiting) -> (IdleClient, Option<IdleClient>) {
        self.last_sequence += 1;
        let client = IdleClient { waiting, sequence: self.last_sequence };
        self.idle.insert(client);
        let first = |waiting| IdleClient { waiting, sequence: 0 };
        let mut have_sent = self.idle.range(first(Waiting::NextRequest)..first(Waiting::Content));
        // `next` has consumed the oldest, so that `count` covers the others.
        let oldest = have_sent.next().copied().filter(|_| have_sent.count() >= self.max_idle);
        if let Some(oldest) = oldest {
            self.idle.remove(&oldest);
        }
        (client, oldest)
    }

    /// Records that a connection is no longer idle. Returns true if it had been selected for eviction in favour of a
    /// new connection. If a request arrived on it before it was closed it stays open, and another one may be evicted.
    pub fn mark_busy(&mut self, client: IdleClient) -> bool {
        self.idle.remove(&client);
        self.evicting.remove(&client)
    }
}
