//! Connections to servers under the fleet's connection budgets. Each connection holds a permit from before it is opened
//! until the server has closed its side too, or must have closed it.
//!
//! A request that finds no free permit waits behind earlier requests for the same permit. A connection that is no longer
//! wanted is shut down; its permit stays in use until the server has closed its side, or until the longest time after
//! which the server must have closed it as idle.

mod path;
mod permitted_connection;

pub use path::BudgetedPath;
pub use permitted_connection::{HeldPermit, PermittedConnection};

use crate::clock::Micros;
use async_executor::Executor;
use async_io::Async;
use frostgauge_connection_budget::{Budget, ConnectionPermit};
use frostgauge_fleet_agent::AttemptGuard;
use frostgauge_net::{stands, until, Pool};
use futures_lite::AsyncReadExt;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Access to the guard with the fleet's rules and permits, and to the clock that its times refer to.
pub trait RulesAccess: Send + Sync {
    /// The current time of the guard's clock.
    fn now(&self) -> Micros;
    /// Locks the guard that checks each attempt. Callers hold the lock for one check and no longer.
    fn guard(&self) -> MutexGuard<'_, AttemptGuard>;
}

/// Largest number of requests that may wait for a permit.
const MAX_WAITING_REQUESTS: usize = 4_096;

/// An open connection without a request, with the permit that it was opened or last used under.
struct IdleConnection {
    stream: Arc<Async<TcpStream>>,
    permit: ConnectionPermit,
    idle_since: Instant,
}

/// A request that waits for a permit, or for an idle connection.
struct Waiter {
    to: SocketAddr,
    permit: ConnectionPermit,
    sender: async_channel::Sender<HeldPermit>,
}

#[derive(Default)]
struct State {
    /// Idle connections by server; within a list the most recently used is last.
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    /// Requests in the order of their arrival.
    waiting: VecDeque<Waiter>,
    /// Number of connections by permit that were shut down here and are not known to be closed at the server.
    closing: BTreeMap<ConnectionPermit, usize>,
}

/// Bounds of a pool's connections; they also hold where no budget sets any.
#[derive(Clone, Copy, Debug)]
pub struct PoolBounds {
    /// Largest number of idle connections to each server.
    pub max_idle: usize,
    /// Time after which an idle connection is closed.
    pub max_idle_time: Duration,
    /// Without a budget: how long the permit of a connection that was shut down stays in use if the server does not
    /// close its side.
    pub close_timeout: Duration,
}

/// A gateway's connections to servers under connection budgets.
pub struct BudgetedPool {
    rules: Arc<dyn RulesAccess>,
    executor: Arc<Executor<'static>>,
    connector: Pool,
    bounds: PoolBounds,
    state: Mutex<State>,
}

impl std::fmt::Debug for BudgetedPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BudgetedPool").field("bounds", &self.bounds).finish_non_exhaustive()
    }
}

impl BudgetedPool {
    /// An empty pool. Idle connections are kept within the bounds, and are closed before a server with a budget would close
    /// them. `source` is the local address to connect from.
    pub fn new(
        rules: Arc<dyn RulesAccess>,
        executor: Arc<Executor<'static>>,
        source: Option<IpAddr>,
        bounds: PoolBounds,
    ) -> Arc<BudgetedPool> {
        let connector = Pool::new(0, Duration::ZERO).from(source);
        Arc::new(BudgetedPool { rules, executor, connector, bounds, state: Mutex::default() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The state is consistent between any two of its changes.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A value of the budget that a permit belongs to; `None` if the permit is not under a budget.
    fn budget<T>(&self, permit: &ConnectionPermit, value: impl Fn(&Budget) -> T) -> Option<T> {
        let policy = self.rules.guard().budgets(self.rules.now()).filter(|_| permit.budgeted)?;
        policy.policy().budgets.get(&permit.group).map(value)
    }

    /// How long a connection under this permit may be idle.
    fn idle_timeout(&self, permit: &ConnectionPermit) -> Duration {
        let bound = self.budget(permit, |b| Duration::from_millis(b.gateway_idle_limit_ms()));
        bound.map_or(self.bounds.max_idle_time, |bound| bound.min(self.bounds.max_idle_time))
    }

    /// Number of idle connections to all servers.
    pub fn len(&self) -> usize {
        self.state().idle.values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes an idle connection to a server and moves it to `permit`; without `permit`, the connection keeps its own.
    fn take_idle(
        self: &Arc<Self>,
        state: &mut State,
        to: SocketAddr,
        permit: Option<&ConnectionPermit>,
    ) -> Option<HeldPermit> {
        let now = self.rules.now();
        let list = state.idle.get_mut(&to)?;
        // A connection under the same permit is preferred; otherwise the most recently used one is taken.
        let same_permit = list.iter().rposition(|r| permit.is_none_or(|t| r.permit == *t));
        let k = same_permit.or_else(|| list.len().checked_sub(1))?;
        let mut guard = self.rules.guard();
        let allowed = match permit {
            Some(permit) if list[k].permit != *permit => guard.transfer(now, &list[k].permit, permit),
            _ => guard.may_use(now, &list[k].permit),
        };
        drop(guard);
        if !allowed {
            return None;
        }
        let IdleConnection { stream, permit: previous, .. } = list.remove(k);
        Some(HeldPermit {
            pool: self.clone(),
            permit: Some(permit.cloned().unwrap_or(previous)),
            stream: Some(stream),
        })
    }

    /// Acquires a permit without waiting, together with an idle connection if there is one.
    fn acquire(
        self: &Arc<Self>,
        state: &mut State,
        to: SocketAddr,
        permit: &ConnectionPermit,
    ) -> Option<HeldPermit> {
        if let Some(held) = self.take_idle(state, to, Some(permit)) {
            return Some(held);
        }
        let opened = self.rules.guard().try_open_connection(self.rules.now(), permit);
        opened.then(|| HeldPermit { pool: self.clone(), permit: Some(permit.clone()), stream: None })
    }

    /// Closes one idle connection to another server that counts against the permit's tenant scope, so that the tenant's
    /// permit becomes free if its scope is exhausted.
    fn close_idle_of_tenant(self: &Arc<Self>, state: &mut State, to: SocketAddr, permit: &ConnectionPermit) {
        let [_, tenant_scope] = permit.scopes();
        let lists = state.idle.iter_mut().filter(|(at, _)| **at != to);
        for (_, list) in lists {
            if let Some(k) = list.iter().position(|r| r.permit.counts_against(&tenant_scope)) {
                let IdleConnection { stream, permit, .. } = list.remove(k);
                *state.closing.entry(permit.clone()).or_default() += 1;
                self.clone().release_when_closed(permit, Some(stream));
                return;
            }
        }
    }

    /// Assigns free permits to the waiting requests, in the order of their arrival.
    pub fn serve_waiting(self: &Arc<Self>) {
        let mut unclaimed = vec![];
        let mut state = self.state();
        let mut waiting = std::mem::take(&mut state.waiting);
        waiting.retain(|w| {
            if w.sender.is_closed() {
                return false;
            }
            let Some(held) = self.acquire(&mut state, w.to, &w.permit) else { return true };
            if let Err(e) = w.sender.try_send(held) {
                unclaimed.push(e.into_inner());
            }
            false
        });
        state.waiting = waiting;
        drop(state);
        // The requests of these permits ended meanwhile. Dropping a permit locks the state, which is unlocked by now.
        drop(unclaimed);
    }

    /// Closes connections that were idle for too long and connections in excess of the gateway's permits, then serves the
    /// waiting requests.
    pub fn close_excess(self: &Arc<Self>) {
        let now = self.rules.now();
        let excess = self.rules.guard().excess_connections(now);
        let mut to_close = vec![];
        let mut state = self.state();
        let State { idle, closing, .. } = &mut *state;
        for list in idle.values_mut() {
            let timeout = |r: &IdleConnection| self.idle_timeout(&r.permit);
            to_close.extend(list.extract_if(.., |r| r.idle_since.elapsed() >= timeout(r)));
        }
        for (scope, n) in excess {
            let already_closing =
                closing.iter().filter(|(t, _)| t.counts_against(&scope)).map(|(_, n)| n).sum::<usize>()
                    + to_close.iter().filter(|r| r.permit.counts_against(&scope)).count();
            let mut n = (n as usize).saturating_sub(already_closing);
            for list in idle.values_mut() {
                to_close.extend(list.extract_if(.., |r| {
                    let close = n > 0 && r.permit.counts_against(&scope);
                    n -= usize::from(close);
                    close
                }));
            }
        }
        idle.retain(|_, list| !list.is_empty());
        drop(state);
        for IdleConnection { stream, permit, .. } in to_close {
            self.clone().close(permit, Some(stream));
        }
        self.serve_waiting();
    }

    /// Prepares the gateway for leaving the fleet: closes all idle connections, and from now on connections in use as soon
    /// as their requests end.
    pub fn start_leaving(self: &Arc<Self>) {
        self.rules.guard().begin_drain();
        self.close_idle_except(&[]);
    }

    /// Closes idle connections to all addresses that are not in `wanted`.
    pub fn close_idle_except(self: &Arc<Self>, wanted: &[SocketAddr]) {
        let mut to_close = vec![];
        self.state().idle.retain(|to, list| {
            let keep = wanted.contains(to);
            if !keep {
                to_close.append(list);
            }
            keep
        });
        for IdleConnection { stream, permit, .. } in to_close {
            self.clone().close(permit, Some(stream));
        }
    }

    /// Shuts a connection down in the background; its permit is released once the server has closed its side.
    fn close(self: Arc<Self>, permit: ConnectionPermit, stream: Option<Arc<Async<TcpStream>>>) {
        *self.state().closing.entry(permit.clone()).or_default() += 1;
        self.release_when_closed(permit, stream);
    }

    /// Releases a permit in the background once the server has closed the connection, or after the time by which it must
    /// have done so: the longest attempt and idle times of the budget, or [`PoolBounds::close_timeout`] without one. A
    /// permit without a connection is released at once.
    fn release_when_closed(self: Arc<Self>, permit: ConnectionPermit, stream: Option<Arc<Async<TcpStream>>>) {
        let bound = self.budget(&permit, |b| Duration::from_millis(b.attempt_ms + b.idle_ms));
        let timeout = bound.unwrap_or(self.bounds.close_timeout);
        let executor = self.executor.clone();
        let work = async move {
            if let Some(stream) = stream {
                until(Instant::now() + timeout, shut_down(&stream)).await;
            }
            {
                let mut state = self.state();
                if let Some(n) = state.closing.get_mut(&permit) {
                    *n -= 1;
                    if *n == 0 {
                        state.closing.remove(&permit);
                    }
                }
            }
            self.rules.guard().record_connection_closed(&permit);
            self.serve_waiting();
        };
        executor.spawn(work).detach();
    }
}

/// Shuts down the sending side and waits until the server has closed its side.
async fn shut_down(stream: &Async<TcpStream>) {
    // A connection that is still being established here may be established at the server already.
    if stands(stream).await.is_err() || stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let (mut discarded, mut reader) = ([0; 4_096], stream);
    while matches!(reader.read(&mut discarded).await, Ok(1..)) {}
}
