//! Starts and stops the tasks, connections and the thread that keep the fleet rules up to date.

use super::maintenance::Maintenance;
use super::FleetRules;
use crate::clock::Clock;
use crate::oauth::Handle;
use crate::upstream::{BudgetedPool, PoolBounds};
use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use frostgauge_fleet_agent::task::{self, Command, TaskClock, TaskConfig};
use frostgauge_fleet_agent::{AgentError, CanaryObserver, ProcessConfig};
use frostgauge_net::{Closing, Hold};
use frostgauge_peer_transport::PeerTransport;
use frostgauge_settings::Loaded;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of messages from other gateways queued for the agent's task; while the queue is full, their
/// connections are not read.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Why the fleet rules cannot be started.
#[derive(Debug, Error)]
pub enum FleetRulesError {
    /// The durations in the settings contradict each other.
    #[error("{0}")]
    Timing(String),
    /// The gateway's number does not fit in 16 bits.
    #[error("gateway.number: is over 65535, the maximum")]
    GatewayNumber,
    /// `accord.links` has no address for this gateway.
    #[error("accord.links: has no address for this gateway's number (gateway.number)")]
    NotInLinks,
    /// The gateway cannot listen for its peers on its address.
    #[error("accord.links: cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The fleet agent cannot start.
    #[error(transparent)]
    Agent(#[from] AgentError),
}

/// The fleet rules with the thread and the connections that keep them up to date.
pub struct RunningFleetRules {
    /// Access to the rules.
    pub rules: FleetRules,
    /// Connections to servers, within the connection budgets of the rules.
    pub pool: Arc<BudgetedPool>,
    /// Notifications that the rules in effect or the permits have changed.
    changes: Receiver<()>,
    thread: std::thread::JoinHandle<()>,
    peer_connections: Hold,
}

/// Starts the fleet agent's task and the peer connections. Returns `None` if the settings have no section `accord`.
///
/// # Errors
/// See [`FleetRulesError`].
pub fn start(
    loaded: &Loaded,
    clock: Clock,
    executor: &Arc<Executor<'static>>,
) -> Result<Option<RunningFleetRules>, FleetRulesError> {
    let (Some(settings), Some(secret)) = (&loaded.file.consensus, &loaded.link_secret) else {
        return Ok(None);
    };
    let timing = settings.timing().map_err(|error| FleetRulesError::Timing(error.to_string()))?;
    let number = loaded.file.gateway.number;
    let self_id = u16::try_from(number).map_err(|_| FleetRulesError::GatewayNumber)?;
    let address = settings.listen_address(number).ok_or(FleetRulesError::NotInLinks)?;
    let listener =
        frostgauge_net::listen(address).map_err(|source| FleetRulesError::Listen { address, source })?;
    let (peer_connections, closing) = Closing::new();
    let (received, inbox) = async_channel::bounded(MAX_QUEUED_MESSAGES);
    let config = frostgauge_peer_transport::Config {
        self_id,
        addresses: settings.peer_addresses.clone(),
        key: frostgauge_peer_transport::Key::derive(secret.expose()),
        source: loaded.file.gateway.source,
        stall_timeout: Duration::from_micros(timing.peer_stall_timeout),
        max_reconnect_delay: Duration::from_micros(timing.max_reconnect_delay),
    };
    let transport = PeerTransport::start(config, listener, received, closing, executor.clone());
    let (change, changes) = async_channel::bounded(1);
    let process =
        ProcessConfig { self_id, replicas: settings.voters.clone(), timing, random_seed: 0, exclusive: true };
    let (origin, origin_micros) = clock.origin();
    let config = TaskConfig {
        process,
        folder: loaded.folder.join(&settings.folder),
        clock: TaskClock { origin, origin_micros },
        inbox,
        transport,
        // The channel holds one notification; a second one would add nothing.
        on_change: Box::new(move || {
            let _ = change.try_send(());
        }),
    };
    let (task, thread) = task::start(config)?;
    let canary = Arc::new(Mutex::new(CanaryObserver::new(timing.canary_observation)));
    let rules = FleetRules { task, canary, clock, self_id, timing };
    let limits = &loaded.file.limits;
    let bounds = PoolBounds {
        max_idle: limits.pool,
        max_idle_time: Duration::from_millis(limits.pool_idle_ms),
        close_timeout: Duration::from_micros(timing.peer_stall_timeout),
    };
    let pool =
        BudgetedPool::new(Arc::new(rules.clone()), executor.clone(), loaded.file.gateway.source, bounds);
    Ok(Some(RunningFleetRules { rules, pool, changes, thread, peer_connections }))
}

impl RunningFleetRules {
    /// Starts the task that notifies the engine when the rules change, probes servers and reports the canary verdict.
    pub fn start_maintenance(&self, handle: &Handle, executor: &Arc<Executor<'static>>) {
        let maintenance = Maintenance::new(
            self.rules.clone(),
            handle.clone(),
            self.changes.clone(),
            executor.clone(),
            self.pool.clone(),
        );
        executor.spawn(maintenance.run()).detach();
    }

    /// Closes all connections to servers and reports that to the replicas, so that the permits are free at once. Waits at
    /// most the duration of a lease for the connections to close; the replicas keep the permits of those still open until
    /// they are certain to be closed.
    pub async fn close_server_connections(&self) {
        if !self.rules.task.guard().has_permits() {
            return;
        }
        self.pool.start_leaving();
        let timing = self.rules.timing;
        let deadline = self.rules.clock.now() + timing.lease;
        while !self.rules.task.guard().all_connections_closed() && self.rules.clock.now() < deadline {
            Timer::after(Duration::from_micros(timing.tick)).await;
        }
        if self.rules.task.send(Command::RequestLease) {
            // The request needs time to reach the replicas and to be committed in their log.
            Timer::after(Duration::from_micros(timing.request_interval)).await;
        }
    }

    /// Stops the agent's task and closes its peer connections; waits for its thread to end.
    pub fn stop(self) {
        drop(self.peer_connections);
        self.rules.task.send(Command::Stop);
        drop((self.rules, self.pool, self.changes));
        let _ = self.thread.join();
    }
}
