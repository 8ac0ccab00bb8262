//! The daemon: opens sockets, handles signals, and answers accepted requests before it exits.

mod bootstrap;
mod error;
mod signals;
mod threads;

pub use bootstrap::bootstrap;
pub use error::{BootstrapError, StartError};

use crate::admin;
use crate::clock::Clock;
use crate::fleet_rules;
use crate::front::http;
use crate::oauth::{self, Engine, Handle, Message};
use crate::peers::{PeerReceiver, PeerSender};
use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use frostgauge_net::{accept, listen, Closing, Places};
use frostgauge_settings::{load, Loaded};
use futures_lite::future;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use threads::SocketThreads;

/// Interval at which a shutdown checks whether all client connections have been closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Exit codes of the daemon.
pub mod exit {
    /// The daemon shut down on a signal and answered every accepted request, or a fleet was bootstrapped.
    pub const DONE: u8 = 0;
    /// The daemon failed while running.
    pub const FAILED: u8 = 1;
    /// The daemon could not start, for example because of faulty settings or a port in use.
    pub const START_FAILED: u8 = 2;
    /// The daemon shut down on a signal, and some requests were still unanswered after `limits.drain_ms`.
    pub const DRAIN_TIMEOUT: u8 = 3;
}

/// Runs a gateway until SIGTERM or SIGINT. Returns the exit code; errors are printed on standard error.
pub fn run(config: &Path) -> u8 {
    let loaded = match load(config) {
        Ok(loaded) => loaded,
        Err(faults) => {
            eprint!("{}: not usable:\n{faults}", config.display());
            return exit::START_FAILED;
        }
    };
    match start(loaded, config) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("frostgauged: {error}");
            exit::START_FAILED
        }
    }
}

/// The sockets that a gateway listens on.
struct Sockets {
    clients: Async<TcpListener>,
    admin: Async<TcpListener>,
    /// Both ends of the datagrams between gateways; `None` if the settings have no secret for them.
    peers: Option<(PeerSender, PeerReceiver)>,
}

impl Sockets {
    fn open(loaded: &Loaded, clock: Clock) -> Result<Sockets, StartError> {
        let gateway = &loaded.file.gateway;
        let clients = bind("gateway.listen", gateway.listen)?;
        let admin = bind("gateway.admin", gateway.admin)?;
        let peers = PeerSender::open(loaded, clock).map_err(|source| StartError::PeerSocket {
            gateway: gateway.number,
            address: loaded.file.fleet.peers[gateway.number],
            source,
        })?;
        Ok(Sockets { clients, admin, peers })
    }
}

fn bind(setting: &'static str, address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    listen(address).map_err(|source| StartError::Listen { setting, address, source })
}

/// Starts the thread that runs the engine.
fn start_engine_thread(engine: Engine) -> Result<JoinHandle<()>, StartError> {
    std::thread::Builder::new()
        .name("decisions".into())
        .spawn(move || future::block_on(engine.run()))
        .map_err(StartError::Thread)
}

/// Starts the task that accepts clients' connections until `closing` is triggered.
fn start_front(
    clients: Async<TcpListener>,
    places: &Places,
    handle: &Handle,
    closing: &Closing,
    executor: &Arc<Executor<'static>>,
) -> Task<()> {
    let (places, handle, closing, tasks) =
        (places.clone(), handle.clone(), closing.clone(), executor.clone());
    executor.spawn(async move {
        accept(&clients, &places, &closing, |stream, from, place| {
            tasks.spawn(http::serve(stream, from, place, handle.clone(), closing.clone())).detach();
        })
        .await;
    })
}

fn start(loaded: Loaded, config: &Path) -> Result<u8, StartError> {
    let clock = Clock::default();
    // Subscribed to before any socket listens: a signal for reload or shutdown during the start would kill a process
    // that does not handle it yet.
    let mut signals = Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    let gateway = loaded.file.gateway.clone();
    let sockets = Sockets::open(&loaded, clock)?;
    let metrics = admin::install_metrics().map_err(StartError::Metrics)?;
    let executor = Arc::new(Executor::new());
    let threads = SocketThreads::start(&executor)?;
    let (peers, peer_listener) = sockets.peers.unzip();
    let places = Places::new(loaded.file.limits.connections);
    let rules = fleet_rules::start(&loaded, clock, &executor)
        .map_err(|error| StartError::FleetRules(error.to_string()))?;
    let shared_rules = rules.as_ref().map(|rules| rules.rules.clone());
    let rules_and_pool = rules.as_ref().map(|rules| (rules.rules.clone(), rules.pool.clone()));
    let (engine, handle) =
        oauth::engine(loaded, rand::random(), clock, executor.clone(), peers, rules_and_pool)
            .map_err(StartError::Decisions)?;
    if let Some(rules) = &rules {
        rules.start_maintenance(&handle, &executor);
    }
    let engine_thread = start_engine_thread(engine)?;
    if let Some(listener) = peer_listener {
        executor.spawn(listener.run(handle.inbox())).detach();
    }
    let (close, closing) = Closing::new();
    let (stop_admin, admin_closing) = Closing::new();
    executor
        .spawn(admin::serve(
            sockets.admin,
            handle.clone(),
            shared_rules,
            metrics,
            admin_closing,
            executor.clone(),
        ))
        .detach();
    let front = start_front(sockets.clients, &places, &handle, &closing, &executor);
    tracing::info!(listen = %gateway.listen, admin = %gateway.admin, number = gateway.number, "ready");
    let code = future::block_on(async move {
        signals::until_shutdown(&mut signals, &handle, config).await;
        tracing::info!("closing: accepting no new connections, answering accepted requests");
        drop(close);
        front.await;
        let code = drain(&handle, &places).await;
        handle.send(Message::Stop).await;
        code
    });
    drop(stop_admin);
    let _ = engine_thread.join();
    if let Some(rules) = rules {
        future::block_on(rules.close_server_connections());
        rules.stop();
    }
    threads.stop();
    Ok(code)
}

/// Waits until all client connections are closed, at most for `limits.drain_ms`; returns the exit code.
async fn drain(handle: &Handle, places: &Places) -> u8 {
    let deadline = Instant::now() + Duration::from_millis(handle.loaded().file.limits.drain_ms);
    while Instant::now() < deadline {
        if places.taken() == 0 {
            tracing::info!("closed: every accepted request was answered");
            return exit::DONE;
        }
        Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
    let open = handle.status().await.map_or(0, |status| status["open"].as_u64().unwrap_or(0));
    tracing::warn!(open, "closed: connections are still open after limits.drain_ms; exiting");
    // Only unanswered requests make the shutdown incomplete; idle connections that are still open do not.
    if open == 0 {
        exit::DONE
    } else {
        exit::DRAIN_TIMEOUT
    }
}
