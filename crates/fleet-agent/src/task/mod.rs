//! The task that runs a process in a gateway. It has a thread of its own, because a replica waits for its disk before it
//! sends anything.
//!
//! The task owns all state of the process. Other tasks send it [`Command`]s through a [`TaskHandle`] and use the
//! [`AttemptGuard`](crate::AttemptGuard) to which it publishes the rules in effect. If the process fails, an error is
//! logged and the process is started again from its folder; until then the published lease stays valid, but not beyond
//! its expiry.

mod command;
mod proposals;
mod status;
mod supervisor;
mod worker;

pub use command::{Command, NumberedRules, TaskHandle};
pub use supervisor::start;

use crate::error::AgentError;
use crate::process::ProcessConfig;
use async_channel::Receiver;
use frostgauge_consensus::{GatewayId, Micros, Replica, Rules};
use frostgauge_peer_transport::{PeerMessage, PeerTransport};
use frostgauge_storage::Disk;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Name of the folder of a replica's log within the task's folder; part of the stored data.
const REPLICA_FOLDER: &str = "keeper";
/// Name of the folder of the fallback version within the task's folder; part of the stored data.
const FALLBACK_FOLDER: &str = "stands";

/// A clock in microseconds that the task shares with the other tasks of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct TaskClock {
    /// The instant at which the clock showed `origin_micros`.
    pub origin: Instant,
    /// The time that the clock showed at `origin`.
    pub origin_micros: Micros,
}

impl TaskClock {
    /// The time that the clock shows now.
    fn now(&self) -> Micros {
        self.origin_micros + Micros::try_from(self.origin.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// The instant at which the clock shows `at`, but not before now and not more than `max_ahead` from now.
    fn instant(&self, at: Micros, max_ahead: Duration) -> Instant {
        let since_origin = Duration::from_micros(at.saturating_sub(self.origin_micros));
        let latest = self.origin.elapsed() + max_ahead;
        (self.origin + since_origin.min(latest)).max(Instant::now())
    }
}

/// Configuration of a task.
pub struct TaskConfig {
    /// Configuration of the process. Its `random_seed` is ignored: a new one is drawn at each start.
    pub process: ProcessConfig,
    /// Folder of the stored data: the replica's log is in `keeper`, the fallback version in `stands`.
    pub folder: PathBuf,
    /// The clock of the gateway.
    pub clock: TaskClock,
    /// Messages received from other gateways.
    pub inbox: Receiver<PeerMessage>,
    /// Sends messages to other gateways.
    pub transport: PeerTransport,
    /// Called after each change of the rules in effect or of the permits.
    pub on_change: Box<dyn Fn() + Send>,
}

/// Writes the fleet's first rules to the folder of a replica, before the fleet's first start. Each replica must be given
/// the same rules. The order in which gateways are chosen as canaries is derived from a hash of the rules.
///
/// # Errors
/// The folder contains versions already or cannot be written, or the rules or the number of replicas are invalid.
pub fn bootstrap(
    folder: &Path,
    replicas: &BTreeSet<GatewayId>,
    rules: Rules,
    canary_percent: u8,
) -> Result<(), AgentError> {
    let seed = rules.seed();
    let folder = folder.join(REPLICA_FOLDER);
    let disk = Disk::open_exclusive(&folder).map_err(|error| AgentError::Replica(error.to_string()))?;
    let written = Replica::bootstrap(disk, replicas, rules, canary_percent, seed);
    written.map(drop).map_err(|error| AgentError::Replica(error.to_string()))
}
