//! Start, signals and shutdown of a gateway on the platform; all of it on one thread.

use crate::accept::Acceptor;
use crate::discovery;
use crate::host::{self, Handle, HostEvent};
use crate::peers::Peers;
use async_executor::{Executor, Task};
use async_io::Timer;
use async_signal::{Signal, Signals};
use frostgauge::{ListKind, SettingsError};
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::daemon::exit;
use frostgauge_gateway::engine::Message;
use frostgauge_net::{listen, until, Closing};
use frostgauge_platform_protocol::config::{Config, ConfigError, MAX_BYTES};
use frostgauge_resource_policy::shares::Shares;
use frostgauge_resource_policy::timeouts::{SHUTDOWN_ACCEPT_TIME, SHUTDOWN_SLACK};
use futures_lite::StreamExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often shutdown checks whether it is done.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An environment variable is missing.
    #[error("{0}: is not set")]
    Unset(&'static str),
    /// An environment variable is no socket address.
    #[error("{0}: is not an address with a port")]
    Address(&'static str),
    /// The name in the environment differs from the file's.
    #[error("NODE_NAME: {variable} is not {file} of {}", path.display())]
    Name {
        /// The name in the environment.
        variable: String,
        /// The name in the file.
        file: String,
        /// The file.
        path: PathBuf,
    },
    /// The configuration file cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The configuration file is too long.
    #[error("{}: is over {MAX_BYTES} bytes", .0.display())]
    TooLong(PathBuf),
    /// The configuration file is not valid.
    #[error("{}: {error}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: ConfigError,
    },
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The clients' address cannot be listened on.
    #[error("listen {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The datagrams' address cannot be listened on.
    #[error("peer_listen {address}: {error}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The decision library does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Reads the configuration that environment variables name, through `variable`.
///
/// # Errors
/// Which variable or part of the file is missing or wrong.
pub fn configure(variable: &dyn Fn(&str) -> Option<String>) -> Result<(PathBuf, Config), StartError> {
    let get = |name: &'static str| variable(name).ok_or(StartError::Unset(name));
    let path = PathBuf::from(get("NODE_CONFIG")?);
    let config = read(&path)?;
    let name = get("NODE_NAME")?;
    if name != config.name {
        return Err(StartError::Name { variable: name, file: config.name, path });
    }
    let address = |name| get(name)?.parse::<SocketAddr>().map_err(|_| StartError::Address(name));
    let (listen, discovery) = (address("NODE_LISTEN")?, address("NODE_DISCOVERY")?);
    Ok((path, Config { listen, discovery, ..config }))
}

fn read(path: &Path) -> Result<Config, StartError> {
    let unreadable = |error| StartError::Read { path: path.to_owned(), error };
    let mut text = Vec::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(MAX_BYTES + 1).read_to_end(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MAX_BYTES {
        return Err(StartError::TooLong(path.to_owned()));
    }
    Config::read(&text).map_err(|error| StartError::Config { path: path.to_owned(), error })
}

/// Runs a gateway until SIGTERM or SIGINT and returns the exit code; errors go to standard error.
pub fn run(variable: impl Fn(&str) -> Option<String>) -> u8 {
    match configure(&variable).and_then(|(path, config)| start(config, &path)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("frostgauged: {error}");
            exit::START_FAILED
        }
    }
}

/// Starts the gateway and runs it until it is stopped.
fn start(mut config: Config, path: &Path) -> Result<u8, StartError> {
    let clock = Clock::default();
    // Before anything listens, since a signal that is not handled yet kills the process.
    let mut handled = Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    let listener =
        listen(config.listen).map_err(|error| StartError::Listen { address: config.listen, error })?;
    let open_peers = |address| {
        let opened = Peers::open(address, config.peers.clone());
        opened.map_err(|error| StartError::PeerListen { address, error })
    };
    let peers = config.peer_listen.map(open_peers).transpose()?;
    let executor = Arc::new(Executor::new());
    let datagrams = peers.as_ref().map(|p| p.listener(config.platform_settings.settings.gateway_id));
    let (engine, handle) = host::engine(&config, clock, executor.clone(), peers)?;
    executor.spawn(engine.run()).detach();
    executor.spawn(handle.shared.memory.clone().relieve(clock)).detach();
    if let Some(datagrams) = datagrams {
        executor.spawn(datagrams.run(handle.inbox())).detach();
    }
    let (moves, moved) = async_channel::bounded(1);
    let mut random = ChaCha8Rng::seed_from_u64(config.seed);
    let roll = move || random.random::<f64>();
    let shares = Shares::divide(config.limits.sockets, config.limits.memory_mb);
    // A list without a stated length is read into twice its size at most.
    let list_bytes = 2 * shares.list_bytes;
    executor.spawn(discovery::follow(config.discovery, moved, handle.inbox(), list_bytes, roll)).detach();
    let (close, closing) = Closing::new();
    let (stop, stopped) = Closing::new();
    let acceptor =
        Acceptor::new(listener, handle.clone(), closing, executor.clone(), shares.refused_connections);
    let acceptor = executor.spawn(acceptor.run(stopped));
    tracing::info!(name = config.name, listen = %config.listen, discovery = %config.discovery, limits = ?config.limits, "started");
    let runner = executor.clone();
    let known = config.known.take();
    let longest_deadline =
        config.platform_settings.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let code = async_io::block_on(runner.run(async move {
        if let Some(list) = known.filter(|l| !l.instances.is_empty()) {
            handle.send(Message::Host(HostEvent::Listed(ListKind::Cached, list.instances))).await;
        }
        signals(&mut handled, &config, path, &moves).await;
        tracing::info!("closing: taken requests are answered");
        drop(close);
        Timer::after(SHUTDOWN_ACCEPT_TIME).await;
        drop(stop);
        finish(&handle, acceptor, Duration::from_micros(longest_deadline)).await
    }));
    Ok(code)
}

/// Waits until requests are answered, no longer than the longest deadline allows; returns the exit code.
async fn finish(handle: &Handle, acceptor: Task<()>, longest_deadline: Duration) -> u8 {
    let end = Instant::now() + longest_deadline + SHUTDOWN_SLACK;
    let _ = until(end, acceptor).await;
    while handle.shared.permits.taken() > 0 && Instant::now() < end {
        Timer::after(POLL_INTERVAL).await;
    }
    let open = handle.shared.permits.taken();
    tracing::info!(open, "closed");
    if open == 0 {
        exit::DONE
    } else {
        exit::DRAIN_TIMEOUT
    }
}

/// Reads the file again at each SIGHUP; returns at SIGTERM or SIGINT.
async fn signals(
    signals: &mut Signals,
    config: &Config,
    path: &Path,
    moves: &async_channel::Sender<SocketAddr>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match read(path) {
                Ok(new) => {
                    if new.listen != config.listen || new.name != config.name {
                        tracing::error!("name and listen cannot change while it runs; the running ones stay");
                    }
                    tracing::info!(discovery = %new.discovery, "configuration read anew");
                    // The newest address counts: one not yet taken is replaced.
                    let _ = moves.force_send(new.discovery);
                }
                Err(error) => {
                    tracing::error!(reason = %error, "configuration not usable, the running set stays");
                }
            },
            Ok(_) => return,
            Err(error) => tracing::error!(%error, "signals"),
        }
    }
}
