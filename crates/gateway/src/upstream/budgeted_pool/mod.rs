//! Connections to servers under the fleet's budgets: each counts against a permit from before it is opened until it is
//! known to be closed at the server too.
//!
//! A request that finds no permit waits behind earlier ones of the same permit. A connection that is given up is shut
//! down, and counts until the server has closed its side, or until the server must have dropped it as idle.

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

/// Access to the fleet's rules and permits, and the clock that they go by.
pub trait RulesAccess: Send + Sync {
    /// The present time of the guard's clock.
    fn now(&self) -> Micros;
    /// The check of each attempt. The lock is to be held for one check, not longer.
    fn guard(&self) -> MutexGuard<'_, AttemptGuard>;
}

/// Requests that may wait for a permit.
const MAX_WAITING_REQUESTS: usize = 4_096;

/// An idle connection.
struct IdleConnection {
    stream: Arc<Async<TcpStream>>,
    permit: ConnectionPermit,
    since: Instant,
}

/// A request that waits for a permit, or for an idle connection.
struct Waiter {
    to: SocketAddr,
    permit: ConnectionPermit,
    sender: async_channel::Sender<HeldPermit>,
}

#[derive(Default)]
struct State {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    waiting: VecDeque<Waiter>,
    /// Connections that were shut down and still count.
    closing: BTreeMap<ConnectionPermit, usize>,
}

/// PoolBounds of connections, also where no budget sets any.
#[derive(Clone, Copy, Debug)]
pub struct PoolBounds {
    /// Idle connections to each server.
    pub max_idle: usize,
    /// An idle connection is closed after this.
    pub max_idle_time: Duration,
    /// A connection that was shut down counts for this long, where its server does not close it.
    pub close_timeout: Duration,
}

/// The connections of a gateway to servers.
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
    /// An empty pool; idle connections are kept within the bounds, and no longer than a budget's server keeps them.
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

    /// A value of the budget of a permit's server; `None`: it has no budget.
    fn budget<T>(&self, permit: &ConnectionPermit, of: impl Fn(&Budget) -> T) -> Option<T> {
        let policy = self.rules.guard().budgets(self.rules.now()).filter(|_| permit.budgeted)?;
        policy.policy().budgets.get(&permit.group).map(of)
    }

    /// How long a connection may be idle.
    fn idle_timeout(&self, permit: &ConnectionPermit) -> Duration {
        let bound = self.budget(permit, |b| Duration::from_millis(b.gateway_idle_limit_ms()));
        bound.map_or(self.bounds.max_idle_time, |bound| bound.min(self.bounds.max_idle_time))
    }

    /// Idle connections.
    pub fn len(&self) -> usize {
        self.state().idle.values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes an idle connection for a permit; without one, under the permit it was opened for.
    fn take_idle(
        self: &Arc<Self>,
        state: &mut State,
        to: SocketAddr,
        permit: Option<&ConnectionPermit>,
    ) -> Option<HeldPermit> {
        let now = self.rules.now();
        let list = state.idle.get_mut(&to)?;
        // Its own first, then the one used last.
        let own = list.iter().rposition(|r| permit.is_none_or(|t| r.permit == *t));
        let k = own.or_else(|| list.len().checked_sub(1))?;
        let mut guard = self.rules.guard();
        let may = match permit {
            Some(permit) if list[k].permit != *permit => guard.transfer(now, &list[k].permit, permit),
            _ => guard.may_use(now, &list[k].permit),
        };
        drop(guard);
        if !may {
            return None;
        }
        let IdleConnection { stream, permit: was, .. } = list.remove(k);
        Some(HeldPermit {
            pool: self.clone(),
            permit: Some(permit.cloned().unwrap_or(was)),
            stream: Some(stream),
        })
    }

    /// Acquires a permit now, with an idle connection if there is one.
    fn acquire(
        self: &Arc<Self>,
        state: &mut State,
        to: SocketAddr,
        permit: &ConnectionPermit,
    ) -> Option<HeldPermit> {
        if let Some(held) = self.take_idle(state, to, Some(permit)) {
            return Some(held);
        }
        let opened = self.rules.guard().open(self.rules.now(), permit);
        opened.then(|| HeldPermit { pool: self.clone(), permit: Some(permit.clone()), stream: None })
    }

    /// Closes an idle connection of the same tenant to another server, where the tenant's scope is what is used up.
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

    /// Gives free permits to the requests that wait, in their order.
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
        // Dropping these takes the lock.
        drop(unclaimed);
    }

    /// Closes connections that were idle for too long, and those over the gateway's permits.
    pub fn close_excess(self: &Arc<Self>) {
        let now = self.rules.now();
        let excess = self.rules.guard().excess(now);
        let mut to_close = vec![];
        let mut state = self.state();
        let State { idle, closing, .. } = &mut *state;
        for list in idle.values_mut() {
            let timeout = |r: &IdleConnection| self.idle_timeout(&r.permit);
            to_close.extend(list.extract_if(.., |r| r.since.elapsed() >= timeout(r)));
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

    /// Closes all idle connections, for good: those in use are closed as they come back.
    pub fn start_leaving(self: &Arc<Self>) {
        self.rules.guard().start_leaving();
        self.close_idle_except(&[]);
    }

    /// Closes idle connections to addresses that are not among these.
    pub fn close_idle_except(self: &Arc<Self>, wanted: &[SocketAddr]) {
        let mut gone = vec![];
        self.state().idle.retain(|to, list| {
            let keep = wanted.contains(to);
            if !keep {
                gone.append(list);
            }
            keep
        });
        for IdleConnection { stream, permit, .. } in gone {
            self.clone().close(permit, Some(stream));
        }
    }

    /// Closes a connection; its permit is free once the server has closed its side.
    fn close(self: Arc<Self>, permit: ConnectionPermit, stream: Option<Arc<Async<TcpStream>>>) {
        *self.state().closing.entry(permit.clone()).or_default() += 1;
        self.release_when_closed(permit, stream);
    }

    fn release_when_closed(self: Arc<Self>, permit: ConnectionPermit, stream: Option<Arc<Async<TcpStream>>>) {
        let bound = self.budget(&permit, |b| Duration::from_millis(b.attempt_ms + b.idle_ms));
        let timeout = bound.unwrap_or(self.bounds.close_timeout);
        let executor = self.executor.clone();
        let work = async move {
            if let Some(stream) = stream {
                until(Instant::now() + timeout, closed(&stream)).await;
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
            self.rules.guard().closed(&permit);
            self.serve_waiting();
        };
        executor.spawn(work).detach();
    }
}

/// Shuts down this side and waits for the other side to close.
async fn closed(stream: &Async<TcpStream>) {
    // One that is not established here yet may be established at the server.
    if stands(stream).await.is_err() || stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let (mut rest, mut from) = ([0; 4_096], stream);
    while matches!(from.read(&mut rest).await, Ok(1..)) {}
}
