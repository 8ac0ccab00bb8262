//! The daemon: opens the sockets and the log, starts the threads, and shuts down on a signal once queued requests have
//! got their replies.

use crate::group_commit::{self, Shared};
use crate::write_ahead_log::{Config, WriteAheadLog};
use crate::{sessions, volatile_storage::VolatileStorage};
use async_executor::Executor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use frostgauge_net::{accept, listen, pages, Closing, Page, Places};
use frostgauge_proto::counter::Key;
use frostgauge_settings::{load_counter, CounterLoaded};
use frostgauge_storage::{Disk, Storage};
use futures_lite::{future, StreamExt};
use metrics_exporter_prometheus::PrometheusBuilder;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Exit codes, the same as those of the gateway's daemon.
pub mod exit {
    /// The daemon shut down after SIGTERM or SIGINT.
    pub const SUCCESS: u8 = 0;
    /// The daemon stopped because the log could not be written or synced.
    pub const RUNTIME_FAILURE: u8 = 1;
    /// The daemon could not start: the settings are invalid, the log cannot be opened, or an address cannot be bound.
    pub const STARTUP_FAILURE: u8 = 2;
}

/// Least and largest number of threads that serve sockets. The committing thread comes on top.
const SOCKET_THREADS: (usize, usize) = (1, 4);
/// Interval at which the shutdown checks whether all replies are sent.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the counter service until SIGTERM, SIGINT or a failure of the log, and returns the exit code. Two options are
/// for benchmarks: with `without_log` nothing is written to disk, and `sync_delay` is added to each sync.
pub fn run(config: &Path, without_log: bool, sync_delay: Duration) -> u8 {
    let loaded = match load_counter(config) {
        Ok(loaded) => loaded,
        Err(faults) => {
            eprint!("{}: invalid settings:\n{faults}", config.display());
            return exit::STARTUP_FAILURE;
        }
    };
    let result = if without_log {
        serve(loaded, VolatileStorage::default(), true)
    } else {
        serve_from_disk(loaded, sync_delay)
    };
    result.unwrap_or_else(|reason| {
        eprintln!("frostgauge-counter: {reason}");
        exit::STARTUP_FAILURE
    })
}

fn serve_from_disk(loaded: CounterLoaded, sync_delay: Duration) -> Result<u8, String> {
    let disk =
        Disk::open_exclusive(&loaded.file.data).map_err(|e| e.to_string())?.with_sync_delay(sync_delay);
    serve(loaded, disk, false)
}

/// Serves until a signal or a failure, and returns the exit code.
///
/// # Errors
/// The service could not start.
fn serve<S: Storage + 'static>(loaded: CounterLoaded, storage: S, without_log: bool) -> Result<u8, String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("cannot register signal handlers: {e}"))?;
    let (file, limits) = (&loaded.file, &loaded.file.limits);
    let bind = |setting: &str, address| {
        listen(address).map_err(|e| format!("cannot listen on the '{setting}' address {address}: {e}"))
    };
    let (gateway_listener, admin_listener) = (bind("listen", file.listen)?, bind("admin", file.admin)?);
    // If a port in the settings is 0, the system has chosen one.
    let local_address = |socket: &async_io::Async<std::net::TcpListener>| {
        socket.get_ref().local_addr().map_err(|e| format!("cannot get the local address of a socket: {e}"))
    };
    let (gateway_address, admin_address) =
        (local_address(&gateway_listener)?, local_address(&admin_listener)?);
    let config = Config {
        max_segment_bytes: limits.segment_bytes,
        max_counters: limits.names,
        keep_old_segments: limits.keep_log,
    };
    let location = storage.location();
    let recovery_started_at = Instant::now();
    let (wal, report) =
        WriteAheadLog::open(storage, config).map_err(|error| format!("{location}: {error}"))?;
    tracing::info!(
        records = report.replayed_records,
        snapshot = report.snapshot_index,
        index = wal.machine().index(),
        names = wal.machine().len(),
        took_ms = recovery_started_at.elapsed().as_millis() as u64,
        "recovery completed"
    );
    if let Some((name, offset, bytes)) = &report.torn_tail {
        tracing::warn!(
            file = name,
            at = offset,
            bytes,
            "cut off the end of the log, which never became durable and was not acknowledged"
        );
    }
    for name in &report.damaged_snapshots {
        tracing::error!(
            file = name,
            "damaged snapshot renamed to *.damaged; the state was restored from an older snapshot or the log"
        );
    }
    let derive = |s: &frostgauge_settings::Secret| Key::derive(s.expose());
    let keys = loaded.keys.iter().map(|(g, secrets)| (*g, secrets.iter().map(derive).collect()));
    // The committing thread drops its sender when it has sent the last reply, which closes the channel.
    let (drained_sender, drained) = async_channel::bounded::<()>(1);
    let shared =
        Arc::new(Shared::new(limits.clone(), keys.collect(), wal.machine().time_ms(), drained.clone()));
    let recorder = PrometheusBuilder::new().install_recorder().map_err(|e| e.to_string())?;
    let executor = Arc::new(Executor::new());
    let thread_count = (std::thread::available_parallelism().map_or(1, usize::from) / 2)
        .clamp(SOCKET_THREADS.0, SOCKET_THREADS.1);
    let (stop_socket_threads, stopped) = async_channel::bounded::<()>(1);
    let spawn_thread = |name: String, work: Box<dyn FnOnce() + Send>| {
        std::thread::Builder::new()
            .name(name.clone())
            .spawn(work)
            .map_err(|e| format!("cannot start the thread '{name}': {e}"))
    };
    let mut socket_threads = vec![];
    for k in 0..thread_count {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        let work = move || {
            let _ = future::block_on(executor.run(stopped.recv()));
        };
        socket_threads.push(spawn_thread(format!("sockets-{k}"), Box::new(work))?);
    }
    let snapshot_folder = (!without_log).then(|| file.data.clone());
    let commit_thread = {
        let shared = shared.clone();
        let work = move || group_commit::run(&shared, wal, snapshot_folder, drained_sender);
        spawn_thread("commit".into(), Box::new(work))?
    };
    let (close_gateways, closing) = Closing::new();
    let (close_admin, admin_closing) = Closing::new();
    let admin_shared = shared.clone();
    let admin_page = move |request: frostgauge_net::Question| {
        let (shared, recorder) = (admin_shared.clone(), recorder.clone());
        async move {
            match (request.method.as_str(), request.target.as_str()) {
                ("GET", "/metrics") => {
                    shared.publish_metrics();
                    Page::text(200, recorder.render())
                }
                ("GET", "/status") => Page::json(format!("{:#}\n", shared.status())),
                ("GET", "/health") => Page::text(200, "ok\n"),
                _ => Page::text(404, "GET /metrics, /status or /health\n"),
            }
        }
    };
    executor.spawn(pages(admin_listener, admin_closing, executor.clone(), admin_page)).detach();
    let connection_slots = Places::new(limits.connections);
    let accept_task = {
        let (shared, closing, tasks, connection_slots) =
            (shared.clone(), closing.clone(), executor.clone(), connection_slots.clone());
        executor.spawn(async move {
            accept(&gateway_listener, &connection_slots, &closing, |stream, peer, slot| {
                tasks.spawn(sessions::serve(stream, peer, slot, shared.clone(), closing.clone())).detach();
            })
            .await;
        })
    };
    tracing::info!(listen = %gateway_address, admin = %admin_address, "ready");
    let drain_timeout = Duration::from_millis(limits.drain_ms);
    let code = future::block_on(async {
        let shutdown_signal = async {
            // SIGHUP is ignored: there are no settings to reload, and it must not end the service.
            while let Some(signal) = signals.next().await {
                if !matches!(signal, Ok(Signal::Hup)) {
                    break;
                }
            }
        };
        future::or(shutdown_signal, async {
            let _ = drained.recv().await;
        })
        .await;
        drop(close_gateways);
        accept_task.await;
        shared.close();
        let deadline = Instant::now() + drain_timeout;
        // Waits until all requests in the queue have got their replies, and all connections are closed.
        while Instant::now() < deadline && !(drained.is_closed() && connection_slots.taken() == 0) {
            Timer::after(SHUTDOWN_POLL_INTERVAL).await;
        }
        if shared.failure().is_some() {
            exit::RUNTIME_FAILURE
        } else {
            exit::SUCCESS
        }
    });
    drop((close_admin, stop_socket_threads));
    let _ = commit_thread.join();
    for socket_thread in socket_threads {
        let _ = socket_thread.join();
    }
    tracing::info!(code, "the service has stopped");
    Ok(code)
}
