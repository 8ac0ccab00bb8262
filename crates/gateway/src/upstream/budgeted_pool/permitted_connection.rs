//! Permits in use, and the connections opened under them.

use super::BudgetedPool;
use async_io::Async;
use frostgauge_connection_budget::ConnectionPermit;
use std::net::TcpStream;
use std::sync::Arc;

/// A permit in use, with its connection once connecting has started. Dropping it shuts the connection down; the permit is
/// released once the server has closed its side.
#[derive(Debug)]
pub struct HeldPermit {
    pub(super) pool: Arc<BudgetedPool>,
    /// `None` once the permit has passed to an idle connection of the pool.
    pub(super) permit: Option<ConnectionPermit>,
    pub(super) stream: Option<Arc<Async<TcpStream>>>,
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.pool.clone().close(permit, self.stream.take());
        }
    }
}

/// A connection that is established, or being established, under a permit.
#[derive(Debug)]
pub struct PermittedConnection {
    pub(super) held: HeldPermit,
    pub(super) stream: Arc<Async<TcpStream>>,
}

impl PermittedConnection {
    pub(super) fn new(mut held: HeldPermit, stream: Arc<Async<TcpStream>>) -> PermittedConnection {
        held.stream = Some(stream.clone());
        PermittedConnection { held, stream }
    }
}

impl AsRef<Async<TcpStream>> for PermittedConnection {
    fn as_ref(&self) -> &Async<TcpStream> {
        &self.stream
    }
}
