//! Pool of connections to servers: idle ones are kept for a while, the total is bounded. They belong to a run of a server's
//! process: a new server may have the address of an old one, and a server may start anew or be listed at another address
//! while a request on a connection to the old process is in flight.

use crate::semaphore::{Semaphore, SemaphorePermit};
use crate::server_table::{Destination, RunKey};
use async_io::Async;
use frostgauge::ServerId;
use frostgauge_net::MemoryBudget;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A connection to a server.
#[derive(Debug)]
pub struct PooledConnection {
    /// Its stream.
    pub stream: Async<TcpStream>,
    _permit: SemaphorePermit,
    /// How long it took to be established: about a round trip.
    pub trip: Duration,
}

/// Idle connections, each with the time since which it is idle.
type IdleConnections = BTreeMap<RunKey, Vec<(PooledConnection, Instant)>>;

/// Idle connections, and permits for all.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<IdleConnections>,
    permits: Semaphore,
    max_idle_time: Duration,
    memory: MemoryBudget,
}

impl PooledConnection {
    /// Whether nothing has been received and the server has not closed it.
    pub fn quiet(&self) -> bool {
        matches!(self.stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

impl ConnectionPool {
    /// A pool of up to `max_connections`; an idle one is used again within `max_idle_time`.
    pub fn new(max_connections: usize, max_idle_time: Duration) -> ConnectionPool {
        ConnectionPool {
            idle: Mutex::default(),
            permits: Semaphore::new(max_connections),
            max_idle_time,
            memory: MemoryBudget::new(usize::MAX, 0),
        }
    }

    /// With a budget for what attempts and probes hold beyond their allowances; nothing bounds it otherwise.
    #[must_use]
    pub fn with_memory(self, memory: MemoryBudget) -> ConnectionPool {
        ConnectionPool { memory, ..self }
    }

    /// The budget for what attempts and probes hold beyond their allowances.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Takes the idle connection used last. One that was closed or has received anything is discarded: a second answer
    /// would be taken for that to the next request.
    pub fn take(&self, destination: &Destination) -> Option<PooledConnection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&destination.key())?;
        while let Some((connection, since)) = list.pop() {
            if since.elapsed() < self.max_idle_time && connection.quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection that may be used again; it is closed if the run of its server has ended.
    pub fn put(&self, destination: &Destination, connection: PooledConnection) {
        if destination.is_current() {
            self.lock().entry(destination.key()).or_default().push((connection, Instant::now()));
        }
    }

    /// A permit for a new connection; where there is none, the connection idle longest is closed.
    pub fn permit(&self) -> Option<SemaphorePermit> {
        if let Some(permit) = self.permits.take(1) {
            return Some(permit);
        }
        let mut idle = self.lock();
        let oldest = idle.iter().filter_map(|(run, list)| Some((list.first()?.1, *run))).min()?;
        if let Some(list) = idle.get_mut(&oldest.1) {
            drop(list.remove(0));
        }
        drop(idle);
        self.permits.take(1)
    }

    /// A connection that is established, with its permit.
    pub fn connection(stream: Async<TcpStream>, permit: SemaphorePermit, trip: Duration) -> PooledConnection {
        PooledConnection { stream, _permit: permit, trip }
    }

    /// Closes connections that are idle too long, were closed by their server or have received anything.
    pub fn sweep(&self) {
        self.lock().retain(|_, list| {
            list.retain(|(connection, since)| since.elapsed() < self.max_idle_time && connection.quiet());
            !list.is_empty()
        });
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, server: ServerId) {
        self.lock().retain(|(of, _, _), _| *of != server);
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }
}
