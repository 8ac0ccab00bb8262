//! The source of a connection to one server for one request: an idle connection, or a new one once a permit is free.

use super::permitted_connection::{HeldPermit, PermittedConnection};
use super::{BudgetedPool, IdleConnection, Waiter, MAX_WAITING_REQUESTS};
use async_io::Async;
use frostgauge_connection_budget::ConnectionPermit;
use frostgauge_net::{stands, until, NoLink, Timed, Way};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The connections to one server for one request, from a pool with connection budgets.
#[derive(Debug)]
pub struct BudgetedPath {
    pool: Arc<BudgetedPool>,
    to: SocketAddr,
    /// The permit that the request needs; `None` for the gateway's own requests, which use any permit that has an idle
    /// connection or is free.
    permit: Option<ConnectionPermit>,
    /// Whether the request counts as demand for its permit until this is dropped.
    in_demand: bool,
}

impl BudgetedPath {
    /// The path for a tenant's request; `None` if the rules do not allow the request at this server.
    pub fn request(
        pool: &Arc<BudgetedPool>,
        to: SocketAddr,
        tenant: &str,
        class: &str,
    ) -> Option<BudgetedPath> {
        let mut guard = pool.rules.guard();
        let now = pool.rules.now();
        let permit = guard.permit(now, tenant, class, to)?;
        guard.begin_demand(now, &permit);
        drop(guard);
        Some(BudgetedPath { pool: pool.clone(), to, permit: Some(permit), in_demand: true })
    }

    /// The path for the gateway's own requests; it never waits for a permit.
    pub fn probe(pool: &Arc<BudgetedPool>, to: SocketAddr) -> BudgetedPath {
        BudgetedPath { pool: pool.clone(), to, permit: None, in_demand: false }
    }

    /// The longest time that the budget allows for an attempt at the server; `None` without a budget.
    pub fn max_attempt_time(&self) -> Option<Duration> {
        self.pool.budget(self.permit.as_ref()?, |b| Duration::from_millis(b.attempt_ms))
    }

    /// Acquires the permit, waiting for it until `deadline` if it is not free. `None` if it did not become free in time, or
    /// if too many requests wait already.
    async fn acquire(&self, deadline: Instant) -> Option<HeldPermit> {
        let Some(permit) = &self.permit else {
            let mut guard = self.pool.rules.guard();
            let now = self.pool.rules.now();
            let permit = guard
                .any_unused_permit(now, self.to)
                .filter(|permit| guard.try_open_connection(now, permit))?;
            drop(guard);
            return Some(HeldPermit { pool: self.pool.clone(), permit: Some(permit), stream: None });
        };
        let receiver = {
            let mut state = self.pool.state();
            // Earlier requests that wait for the same permit come first.
            let others_wait = state.waiting.iter().any(|w| w.permit == *permit && !w.sender.is_closed());
            if !others_wait {
                if let Some(held) = self.pool.acquire(&mut state, self.to, permit) {
                    return Some(held);
                }
            }
            if state.waiting.len() >= MAX_WAITING_REQUESTS {
                return None;
            }
            self.pool.close_idle_of_tenant(&mut state, self.to, permit);
            let (sender, receiver) = async_channel::bounded(1);
            state.waiting.push_back(Waiter { to: self.to, permit: permit.clone(), sender });
            receiver
        };
        metrics::counter!("frostgauge_slot_waits").increment(1);
        let held = match until(deadline, receiver.recv()).await {
            Timed::Done(held) => held.ok(),
            Timed::Late => None,
        };
        if held.is_none() {
            metrics::counter!("frostgauge_slot_waits_over").increment(1);
            receiver.close();
            // A permit that arrived after the deadline is released here, for the next request.
            drop(receiver.try_recv());
        }
        held
    }
}

impl Drop for BudgetedPath {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.as_ref().filter(|_| self.in_demand) {
            let now = self.pool.rules.now();
            self.pool.rules.guard().end_demand(now, permit);
        }
    }
}

/// Whether an idle connection can be reused: the server has neither closed it nor sent unsolicited bytes.
fn is_reusable(stream: &Async<TcpStream>) -> bool {
    matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

impl Way for BudgetedPath {
    type Link = PermittedConnection;

    fn resting(&self) -> Option<PermittedConnection> {
        loop {
            let mut held = self.pool.take_idle(&mut self.pool.state(), self.to, self.permit.as_ref())?;
            let stream = held.stream.take()?;
            let connection = PermittedConnection::new(held, stream);
            if is_reusable(&connection.stream) {
                return Some(connection);
            }
        }
    }

    async fn open(&self, deadline: Instant) -> Result<PermittedConnection, NoLink> {
        let mut held = self.acquire(deadline).await.ok_or(NoLink::NoPlace)?;
        if let Some(stream) = held.stream.take() {
            let connection = PermittedConnection::new(held, stream);
            return if is_reusable(&connection.stream) { Ok(connection) } else { Err(NoLink::NoPlace) };
        }
        let stream = self.pool.connector.begin(self.to).map_err(NoLink::Io)?;
        // From here on the connection may exist at the server, so the permit is released only once that side is closed.
        let connection = PermittedConnection::new(held, Arc::new(stream));
        match until(deadline, stands(&connection.stream)).await {
            Timed::Done(Ok(())) => Ok(connection),
            Timed::Done(Err(e)) => Err(NoLink::Io(e)),
            Timed::Late => Err(NoLink::Late),
        }
    }

    fn back(&self, mut connection: PermittedConnection) {
        let now = self.pool.rules.now();
        let Some(permit) = connection.held.permit.take() else { return };
        if !self.pool.rules.guard().may_use(now, &permit) {
            // The gateway has more connections than permits, or is leaving; dropping the connection closes it.
            connection.held.permit = Some(permit);
            return;
        }
        let mut idle =
            Some(IdleConnection { stream: connection.stream.clone(), permit, idle_since: Instant::now() });
        let others_wait = {
            let mut state = self.pool.state();
            let list = state.idle.entry(self.to).or_default();
            // Where no budget bounds the number of connections, this bound alone limits the idle ones.
            if list.len() < self.pool.bounds.max_idle {
                list.extend(idle.take());
            }
            !state.waiting.is_empty()
        };
        if let Some(IdleConnection { permit, .. }) = idle {
            connection.held.permit = Some(permit);
            return;
        }
        if others_wait {
            self.pool.serve_waiting();
        }
    }
}
