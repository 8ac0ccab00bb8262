//! Runs the replica of a process that is a voter. When the replica's disk fails, it is stopped, and reopened from what is
//! durable after a delay.

use crate::process::ProcessConfig;
use frostgauge_consensus::{Micros, Replica, ReplicaError};
use frostgauge_storage::Storage;

/// Delay before a stopped replica is reopened.
const RESTART_DELAY: Micros = 200_000;

enum ReplicaState<S> {
    /// The process has no replica, because it is not a voter.
    None,
    Running(Box<Replica<S>>),
    /// The replica's disk failed; its storage is to be reopened.
    Stopped {
        restart_at: Micros,
        storage: S,
    },
    /// The replica's storage could not be reopened, for this reason; it is not tried again.
    Damaged(String),
}

/// Runs the replica of a process, if it has one.
pub(crate) struct ReplicaHost<S> {
    state: ReplicaState<S>,
    /// Times that the replica was stopped.
    stops: u64,
}

impl<S: Storage> ReplicaHost<S> {
    /// Opens the replica stored in a folder; `storage` is none if the process has no replica.
    ///
    /// # Errors
    /// Why the replica cannot be opened.
    pub(crate) fn open(
        now: Micros,
        config: &ProcessConfig,
        storage: Option<S>,
    ) -> Result<ReplicaHost<S>, String> {
        let state = match storage {
            Some(storage) => ReplicaState::Running(open_replica(now, config, storage, config.random_seed)?),
            None => ReplicaState::None,
        };
        Ok(ReplicaHost { state, stops: 0 })
    }

    /// The replica, if there is one and it is not stopped.
    pub(crate) fn running(&self) -> Option<&Replica<S>> {
        match &self.state {
            ReplicaState::Running(replica) => Some(replica),
            _ => None,
        }
    }

    /// The replica, if there is one and it is not stopped.
    pub(crate) fn running_mut(&mut self) -> Option<&mut Replica<S>> {
        match &mut self.state {
            ReplicaState::Running(replica) => Some(replica),
            _ => None,
        }
    }

    /// Runs a step on the replica and returns its result; none: there is no running replica, or the step failed and the
    /// replica was stopped.
    pub(crate) fn run<T>(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut Replica<S>) -> Result<T, ReplicaError>,
    ) -> Option<T> {
        let result = step(self.running_mut()?).ok();
        if result.is_none() {
            self.stop(now);
        }
        result
    }

    fn stop(&mut self, now: Micros) {
        if let ReplicaState::Running(replica) = std::mem::replace(&mut self.state, ReplicaState::None) {
            self.stops += 1;
            let storage = replica.into_storage();
            self.state = ReplicaState::Stopped { restart_at: now + RESTART_DELAY, storage };
        }
    }

    /// Reopens a stopped replica once its delay is over; it resumes from what is durable.
    pub(crate) fn restart_if_due(&mut self, now: Micros, config: &ProcessConfig) {
        if !matches!(self.state, ReplicaState::Stopped { restart_at, .. } if now >= restart_at) {
            return;
        }
        let stopped = std::mem::replace(&mut self.state, ReplicaState::None);
        let ReplicaState::Stopped { storage, .. } = stopped else { return };
        // The nonce must differ from the earlier ones of this process, so that a readmission by the other voters that was
        // meant for an earlier instance of this replica does not apply to this one.
        let seed = config.random_seed ^ self.stops.rotate_left(32);
        self.state = match open_replica(now, config, storage, seed) {
            Ok(replica) => ReplicaState::Running(replica),
            Err(reason) => ReplicaState::Damaged(reason),
        };
    }

    /// When the replica next has something to do.
    pub(crate) fn next_wake(&self) -> Micros {
        match &self.state {
            ReplicaState::Running(replica) => replica.next_wake(),
            ReplicaState::Stopped { restart_at, .. } => *restart_at,
            ReplicaState::None | ReplicaState::Damaged(_) => Micros::MAX,
        }
    }

    /// Times that the replica was stopped because its disk failed.
    pub(crate) fn stops(&self) -> u64 {
        self.stops
    }

    /// Why the replica's storage could not be reopened, if that has happened.
    pub(crate) fn damage(&self) -> Option<&str> {
        match &self.state {
            ReplicaState::Damaged(reason) => Some(reason),
            _ => None,
        }
    }

    /// Ends the replica and returns its storage, unless it could not be reopened.
    pub(crate) fn into_storage(self) -> Option<S> {
        match self.state {
            ReplicaState::Running(replica) => Some(replica.into_storage()),
            ReplicaState::Stopped { storage, .. } => Some(storage),
            ReplicaState::None | ReplicaState::Damaged(_) => None,
        }
    }
}

fn open_replica<S: Storage>(
    now: Micros,
    config: &ProcessConfig,
    storage: S,
    seed: u64,
) -> Result<Box<Replica<S>>, String> {
    // An odd nonce is never 0, which means that there is none.
    let nonce = seed | 1;
    let opened = Replica::open(now, config.self_id, storage, &config.replicas, nonce, config.timing);
    opened.map(Box::new).map_err(|error| error.to_string())
}
