//! Starts and ends what runs the fleet's rules beside the engine.

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

/// Messages from other gateways that may wait for the task; while it is full, their connections wait.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Why the part of the fleet's rules cannot start.
#[derive(Debug, Error)]
pub enum FleetRulesError {
    /// The times of the settings do not fit together.
    #[error("{0}")]
    Timing(String),
    /// The gateway's number does not fit in 16 bits.
    #[error("gateway.number: is over 65535")]
    GatewayNumber,
    /// The settings name no address of this gateway for its peers.
    #[error("accord.links: does not name this gateway")]
    NotInLinks,
    /// The address for its peers cannot be listened on.
    #[error("accord.links {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The agent cannot start.
    #[error(transparent)]
    Agent(#[from] AgentError),
}

/// The fleet's rules, with what runs them.
pub struct RunningFleetRules {
    /// The rules.
    pub rules: FleetRules,
    /// Connections to servers under them.
    pub pool: Arc<BudgetedPool>,
    changes: Receiver<()>,
    thread: std::thread::JoinHandle<()>,
    peer_connections: Hold,
}

/// Starts the task and the peer connections of the settings; none: they have no such section.
///
/// # Errors
/// See [`FleetRulesError`].
pub fn start(
    loaded: &Loaded,
    clock: Clock,
    executor: &Arc<Executor<'static>>,
) -> Result<Option<RunningFleetRules>, FleetRulesError> {
    let (Some(a), Some(secret)) = (&loaded.file.consensus, &loaded.link_secret) else { return Ok(None) };
    let timing = a.timing().map_err(|error| FleetRulesError::Timing(error.to_string()))?;
    let number = loaded.file.gateway.number;
    let self_id = u16::try_from(number).map_err(|_| FleetRulesError::GatewayNumber)?;
    let address = a.listen_address(number).ok_or(FleetRulesError::NotInLinks)?;
    let listener =
        frostgauge_net::listen(address).map_err(|source| FleetRulesError::Listen { address, source })?;
    let (peer_connections, closing) = Closing::new();
    let (bytes, inbox) = async_channel::bounded(MAX_QUEUED_MESSAGES);
    let config = frostgauge_peer_transport::Config {
        self_id,
        addresses: a.peer_addresses.clone(),
        key: frostgauge_peer_transport::Key::derive(secret.expose()),
        source: loaded.file.gateway.source,
        stall_timeout: Duration::from_micros(timing.peer_stall_timeout),
        max_reconnect_delay: Duration::from_micros(timing.max_reconnect_delay),
    };
    let transport = PeerTransport::start(config, listener, bytes, closing, executor.clone());
    let (change, changes) = async_channel::bounded(1);
    let process =
        ProcessConfig { self_id, replicas: a.voters.clone(), timing, random_seed: 0, exclusive: true };
    let (origin, origin_micros) = clock.origin();
    let config = TaskConfig {
        process,
        folder: loaded.folder.join(&a.folder),
        clock: TaskClock { origin, origin_micros },
        inbox,
        transport,
        // A notification that waits already is enough.
        on_change: Box::new(move || {
            let _ = change.try_send(());
        }),
    };
    let (task, thread) = task::start(config)?;
    let canary = Arc::new(Mutex::new(CanaryObserver::new(timing.canary_observation)));
    let rules = FleetRules { task, canary, clock, self_id, timing };
    let limits = &loaded.file.limits;
    let (life, outlives) =
        (Duration::from_millis(limits.pool_idle_ms), Duration::from_micros(timing.peer_stall_timeout));
    let bounds = PoolBounds { max_idle: limits.pool, max_idle_time: life, close_timeout: outlives };
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

    /// Closes all connections to servers and reports that to the replicas, so that their permits are free at once. Given
    /// up after the time of a lease: the replicas then wait until all is surely over.
    pub async fn close_server_connections(&self) {
        if !self.rules.task.guard().has_permits() {
            return;
        }
        self.pool.start_leaving();
        let timing = self.rules.timing;
        let end = self.rules.clock.now() + timing.lease;
        while !self.rules.task.guard().all_closed() && self.rules.clock.now() < end {
            Timer::after(Duration::from_micros(timing.tick)).await;
        }
        if self.rules.task.send(Command::RequestLease) {
            // Time for the request to reach the replicas and go through their log.
            Timer::after(Duration::from_micros(timing.request_interval)).await;
        }
    }

    /// Ends the task and its peer connections.
    pub fn stop(self) {
        drop(self.peer_connections);
        self.rules.task.send(Command::Stop);
        drop((self.rules, self.pool, self.changes));
        let _ = self.thread.join();
    }
}
