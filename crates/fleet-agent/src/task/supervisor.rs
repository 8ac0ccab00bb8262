//! Starts the thread of the task, and restarts the process when it fails.

use super::worker::Worker;
use super::{TaskConfig, TaskHandle, FALLBACK_FOLDER, REPLICA_FOLDER};
use crate::attempt_guard::AttemptGuard;
use crate::error::AgentError;
use crate::process::{Process, ProcessConfig};
use frostgauge_storage::Disk;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Capacity of the queue of commands.
const MAX_QUEUED_COMMANDS: usize = 64;
/// Delay before a failed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Starts the task. It ends on [`super::Command::Stop`].
///
/// # Errors
/// A folder is in use, damaged or not writable, or the thread cannot be started.
pub fn start(config: TaskConfig) -> Result<(TaskHandle, JoinHandle<()>), AgentError> {
    let (commands, command_queue) = async_channel::bounded(MAX_QUEUED_COMMANDS);
    let guard = Arc::new(Mutex::new(AttemptGuard::new(config.process.timing.confirmation_ttl)));
    let handle = TaskHandle { commands, guard };
    let process = start_process(&config)?;
    let worker = Worker::new(config, command_queue, handle.clone());
    let thread = std::thread::Builder::new()
        .name("agreed".into())
        .spawn(move || supervise(worker, process))
        .map_err(AgentError::Thread)?;
    Ok((handle, thread))
}

/// Runs the process until the task is to end, and restarts it whenever it panics or its folder cannot be opened.
fn supervise(mut worker: Worker, first: Process<Disk>) {
    let mut process = Some(first);
    loop {
        let run = AssertUnwindSafe(|| {
            let started = process.take().map_or_else(|| start_process(worker.config()), Ok);
            match started {
                Ok(process) => {
                    worker.run(process);
                    true
                }
                Err(error) => {
                    tracing::error!(%error, "cannot open the folders of the fleet agent; trying again");
                    false
                }
            }
        });
        if std::panic::catch_unwind(run).unwrap_or(false) {
            return;
        }
        worker.note_restart();
        std::thread::sleep(RESTART_DELAY);
    }
}

fn start_process(config: &TaskConfig) -> Result<Process<Disk>, AgentError> {
    // The folders' locks, which are taken below, prove that no other process with these folders is running.
    let process = ProcessConfig { random_seed: rand::random(), exclusive: true, ..config.process.clone() };
    let replica_folder = config.folder.join(REPLICA_FOLDER);
    // A gateway that became a voter by a later configuration is not named in the settings, but has the folder.
    let has_replica = process.replicas.contains(&process.self_id) || replica_folder.exists();
    let replica_storage = has_replica.then(|| Disk::open_exclusive(&replica_folder)).transpose();
    let replica_storage = replica_storage.map_err(|error| AgentError::Replica(error.to_string()))?;
    let fallback_storage = Disk::open_exclusive(&config.folder.join(FALLBACK_FOLDER));
    let fallback_storage =
        fallback_storage.map_err(|error| AgentError::FallbackStorage(error.to_string()))?;
    Process::start(config.clock.now(), process, replica_storage, fallback_storage)
}
