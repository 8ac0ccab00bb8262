//! The threads that run the tasks with sockets; the engine has a thread of its own.

use super::error::StartError;
use async_channel::Sender;
use async_executor::Executor;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Bounds of the number of threads that run the tasks with sockets.
const MIN_THREADS: usize = 1;
const MAX_THREADS: usize = 8;

/// Threads that run an executor's tasks until [`SocketThreads::stop`].
pub(super) struct SocketThreads {
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl SocketThreads {
    /// Starts one thread for every two cores, within the bounds.
    pub(super) fn start(executor: &Arc<Executor<'static>>) -> Result<SocketThreads, StartError> {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let count = (cores / 2).clamp(MIN_THREADS, MAX_THREADS);
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..count)
            .map(|number| {
                let (executor, stopped) = (executor.clone(), stopped.clone());
                let work = move || {
                    // The receiver fails once the sender is dropped, which stops the thread.
                    let _ = async_io::block_on(executor.run(stopped.recv()));
                };
                std::thread::Builder::new().name(format!("sockets-{number}")).spawn(work)
            })
            .collect::<Result<_, _>>()
            .map_err(StartError::Thread)?;
        Ok(SocketThreads { stop, threads })
    }

    /// Stops the threads and waits until they have ended.
    pub(super) fn stop(self) {
        drop(self.stop);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
