//! Permits of clients' connections: [`ClientPermits`] with the tasks that wait for them.

use async_channel::{Receiver, Sender};
use frostgauge_resource_policy::client_permits::{Acquisition, ClientPermits, IdleClient, Waiting};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug)]
struct State {
    clients: ClientPermits,
    /// Evicts an idle connection.
    idle: BTreeMap<IdleClient, Sender<()>>,
}

impl State {
    fn evict(&mut self, client: IdleClient) {
        let _ = self.idle.remove(&client).map(|sender| sender.try_send(()));
    }
}

/// All permits.
#[derive(Clone, Debug)]
pub struct ConnectionPermits {
    state: Arc<Mutex<State>>,
    /// Something changed for those that wait for a permit.
    changed: (Sender<()>, Receiver<()>),
}

/// One permit; dropping it returns it.
#[derive(Debug)]
pub struct ConnectionPermit {
    permits: ConnectionPermits,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.permits.lock().clients.release();
        let _ = self.permits.changed.0.try_send(());
    }
}

/// An idle connection; while this lives, it may be evicted.
#[derive(Debug)]
pub struct Idle<'a> {
    permit: &'a ConnectionPermit,
    client: IdleClient,
    evicted: Receiver<()>,
}

impl Idle<'_> {
    /// Waits until it is evicted.
    pub async fn evicted(&self) {
        let _ = self.evicted.recv().await;
    }
}

impl Drop for Idle<'_> {
    fn drop(&mut self) {
        let mut state = self.permit.permits.lock();
        state.idle.remove(&self.client);
        if state.clients.mark_busy(self.client) {
            drop(state);
            let _ = self.permit.permits.changed.0.try_send(());
        }
    }
}

impl ConnectionPermit {
    /// Marks this connection as one that waits for its client.
    pub fn idle(&self, waiting: Waiting) -> Idle<'_> {
        let (sender, evicted) = async_channel::bounded(1);
        let mut state = self.permits.lock();
        let (client, oldest) = state.clients.mark_idle(waiting);
        state.idle.insert(client, sender);
        if let Some(oldest) = oldest {
            state.evict(oldest);
        }
        drop(state);
        // A new connection may wait for one that can be evicted.
        let _ = self.permits.changed.0.try_send(());
        Idle { permit: self, client, evicted }
    }
}

impl ConnectionPermits {
    /// Permits for `max_connections`; `max_idle` of them for idle connections that sent a request.
    pub fn new(max_connections: usize, max_idle: usize) -> ConnectionPermits {
        let state = State { clients: ClientPermits::new(max_connections, max_idle), idle: BTreeMap::new() };
        ConnectionPermits { state: Arc::new(Mutex::new(state)), changed: async_channel::bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Permits in use.
    pub fn taken(&self) -> usize {
        self.lock().clients.in_use()
    }

    /// Waits for a permit, and evicts an idle connection where there is none.
    pub async fn take(&self) -> ConnectionPermit {
        loop {
            {
                let mut state = self.lock();
                match state.clients.acquire() {
                    Acquisition::Granted => return ConnectionPermit { permits: self.clone() },
                    Acquisition::Evict(client) => state.evict(client),
                    Acquisition::Wait => {}
                }
            }
            let _ = self.changed.1.recv().await;
        }
    }
}
