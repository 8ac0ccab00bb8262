//! The daemon: files opened, sockets opened, signals heeded, what waits answered before the end.

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

/// Exit codes, as the gateway's daemon has them.
pub mod exit {
    /// It was told to end, and answered what waited.
    pub const SUCCESS: u8 = 0;
    /// It stopped by itself: a sync failed.
    pub const RUNTIME_FAILURE: u8 = 1;
    /// It could not start: settings, files, a port in use.
    pub const STARTUP_FAILURE: u8 = 2;
}

/// Threads that serve sockets, beside the one that commits.
const THREADS: (usize, usize) = (1, 4);
/// How often it is looked whether the committing thread has ended, and metrics are published.
const LOOK: Duration = Duration::from_millis(20);

/// Runs a counter until SIGTERM or SIGINT. Returns the exit code. For measures: `no_log`, nothing is written;
/// `stretch`, each sync takes so much longer.
pub fn run(config: &Path, no_log: bool, stretch: Duration) -> u8 {
    let loaded = match load_counter(config) {
        Ok(loaded) => loaded,
        Err(faults) => {
            eprint!("{}: not usable:\n{faults}", config.display());
            return exit::STARTUP_FAILURE;
        }
    };
    let started =
        if no_log { start(loaded, VolatileStorage::default(), true) } else { on_disk(loaded, stretch) };
    started.unwrap_or_else(|reason| {
        eprintln!("frostgauge-counter: {reason}");
        exit::STARTUP_FAILURE
    })
}

fn on_disk(loaded: CounterLoaded, stretch: Duration) -> Result<u8, String> {
    let disk = Disk::open_exclusive(&loaded.file.data).map_err(|e| e.to_string())?.with_sync_delay(stretch);
    start(loaded, disk, false)
}

fn start<S: Storage + 'static>(loaded: CounterLoaded, storage: S, no_log: bool) -> Result<u8, String> {
    let mut heeded =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let (file, limits) = (&loaded.file, &loaded.file.limits);
    let bind = |what: &str, a| listen(a).map_err(|e| format!("{what} {a}: {e}"));
    let (gateways, staff) = (bind("listen", file.listen)?, bind("admin", file.admin)?);
    // With port 0 in the settings the system has chosen.
    let bound = |socket: &async_io::Async<std::net::TcpListener>| {
        socket.get_ref().local_addr().map_err(|e| format!("address of a socket: {e}"))
    };
    let (bound_address, bound_admin) = (bound(&gateways)?, bound(&staff)?);
    let config = Config {
        max_segment_bytes: limits.segment_bytes,
        max_counters: limits.names,
        keep_old_segments: limits.keep_log,
    };
    let place = storage.location();
    let began = Instant::now();
    let (wal, found) =
        WriteAheadLog::open(storage, config).map_err(|refused| format!("{place}: {refused}"))?;
    tracing::info!(
        records = found.replayed_records,
        snapshot = found.snapshot_index,
        index = wal.machine().index(),
        names = wal.machine().len(),
        took_ms = began.elapsed().as_millis() as u64,
        "recovered"
    );
    if let Some((name, at, bytes)) = &found.torn_tail {
        tracing::warn!(file = name, at, bytes, "a tail that never became durable was cut off");
    }
    for name in &found.damaged_snapshots {
        tracing::error!(file = name, "a damaged snapshot was put aside; an older one and the log serve");
    }
    let derive = |s: &frostgauge_settings::Secret| Key::derive(s.expose());
    let keys = loaded.keys.iter().map(|(g, secrets)| (*g, secrets.iter().map(derive).collect()));
    let (ended, committed) = async_channel::bounded::<()>(1);
    let shared =
        Arc::new(Shared::new(limits.clone(), keys.collect(), wal.machine().time_ms(), committed.clone()));
    let recorder = PrometheusBuilder::new().install_recorder().map_err(|e| e.to_string())?;
    let executor = Arc::new(Executor::new());
    let threads =
        (std::thread::available_parallelism().map_or(1, usize::from) / 2).clamp(THREADS.0, THREADS.1);
    let (stop_threads, stopped) = async_channel::bounded::<()>(1);
    let thread = |name: String, work: Box<dyn FnOnce() + Send>| {
        std::thread::Builder::new().name(name).spawn(work).map_err(|e| format!("cannot start a thread: {e}"))
    };
    let mut workers = vec![];
    for k in 0..threads {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        let work = move || {
            let _ = future::block_on(executor.run(stopped.recv()));
        };
        workers.push(thread(format!("sockets-{k}"), Box::new(work))?);
    }
    let folder = (!no_log).then(|| file.data.clone());
    let committing = {
        let shared = shared.clone();
        let work = move || group_commit::run(&shared, wal, folder, ended);
        thread("commit".into(), Box::new(work))?
    };
    let (close, closing) = Closing::new();
    let (stop_staff, staff_closing) = Closing::new();
    let pages_of = shared.clone();
    let page = move |q: frostgauge_net::Question| {
        let (shared, recorder) = (pages_of.clone(), recorder.clone());
        async move {
            match (q.method.as_str(), q.target.as_str()) {
                ("GET", "/metrics") => {
                    shared.publish();
                    Page::text(200, recorder.render())
                }
                ("GET", "/status") => Page::json(format!("{:#}\n", shared.status())),
                ("GET", "/health") => Page::text(200, "ok\n"),
                _ => Page::text(404, "GET /metrics, /status or /health\n"),
            }
        }
    };
    executor.spawn(pages(staff, staff_closing, executor.clone(), page)).detach();
    let places = Places::new(limits.connections);
    let front = {
        let (shared, closing, tasks, places) =
            (shared.clone(), closing.clone(), executor.clone(), places.clone());
        executor.spawn(async move {
            accept(&gateways, &places, &closing, |stream, from, place| {
                tasks.spawn(sessions::serve(stream, from, place, shared.clone(), closing.clone())).detach();
            })
            .await;
        })
    };
    tracing::info!(listen = %bound_address, admin = %bound_admin, "ready");
    let drain = Duration::from_millis(limits.drain_ms);
    let code = future::block_on(async {
        let told = async {
            // There is nothing to reload: a hang-up is no reason to end.
            while let Some(signal) = heeded.next().await {
                if !matches!(signal, Ok(Signal::Hup)) {
                    break;
                }
            }
        };
        future::or(told, async {
            let _ = committed.recv().await;
        })
        .await;
        drop(close);
        front.await;
        shared.close();
        let end = Instant::now() + drain;
        // What waits is answered, and the answers are written.
        while Instant::now() < end && !(committed.is_closed() && places.taken() == 0) {
            Timer::after(LOOK).await;
        }
        if shared.failed().is_some() {
            exit::RUNTIME_FAILURE
        } else {
            exit::SUCCESS
        }
    });
    drop((stop_staff, stop_threads));
    let _ = committing.join();
    for worker in workers {
        let _ = worker.join();
    }
    tracing::info!(code, "ended");
    Ok(code)
}
