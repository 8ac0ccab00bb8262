//! The roles that this program plays for a run, each in a process of its own.

use async_executor::Executor;
use async_io::{Async, Timer};
use frostgauge_test_servers::{introspection, node, plain};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A role.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Role {
    /// Be a gateway, as `frostgauged` is.
    #[command(hide = true)]
    Daemon {
        /// The settings.
        #[arg(long)]
        config: PathBuf,
    },
    /// Write what a fleet begins with into a keeper's folder, as `frostgauged --found` does.
    #[command(hide = true)]
    Found {
        /// The settings.
        #[arg(long)]
        config: PathBuf,
        /// The rules.
        #[arg(long)]
        rules: PathBuf,
    },
    /// Be a counter, as `frostgauge-counter` is.
    #[command(hide = true)]
    CounterDaemon {
        /// The settings.
        #[arg(long)]
        config: PathBuf,
        /// Write nothing.
        #[arg(long)]
        no_log: bool,
        /// Each sync takes so many microseconds longer.
        #[arg(long, default_value_t = 0)]
        stretch_us: u64,
    },
    /// Be a stand-in claims node.
    #[command(hide = true)]
    Node {
        /// Its configuration, a JSON file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Be servers that answer at once.
    #[command(hide = true)]
    Echo {
        /// How many.
        #[arg(long)]
        ports: usize,
    },
    /// Be a relay that decides nothing.
    #[command(hide = true)]
    Relay {
        /// Where to.
        #[arg(long, value_delimiter = ',')]
        to: Vec<SocketAddr>,
    },
    /// Be the stand-in introspection server.
    #[command(hide = true)]
    Introspection {
        /// Where to listen.
        #[arg(long)]
        listen: SocketAddr,
        /// The `Authorization` that questions must carry.
        #[arg(long)]
        authorization: String,
        /// Time of an answer, milliseconds.
        #[arg(long)]
        delay_ms: u64,
    },
}

/// Binds a port that a process killed a moment ago may still hold.
fn bind(listen: SocketAddr) -> Result<Async<TcpListener>, String> {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        match frostgauge_net::listen(listen) {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() > end => return Err(format!("{listen}: {error}")),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

fn announce(listener: &Async<TcpListener>) -> Result<(), String> {
    let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
    println!("{address}");
    std::io::stdout().flush().map_err(|e| e.to_string())
}

/// Ends a stand-in whose rig is gone, so that none outlives a rig that was killed.
async fn orphaned() {
    let parent = rustix::process::getppid();
    while rustix::process::getppid() == parent {
        Timer::after(Duration::from_millis(500)).await;
    }
}

/// Tells this process to end once its rig is gone; the daemons themselves know nothing of a rig.
fn end_with_parent() {
    std::thread::spawn(|| {
        futures_lite::future::block_on(orphaned());
        let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::TERM);
    });
}

/// Plays a role to its end; the exit code.
pub fn play(role: &Role) -> u8 {
    let executor = Arc::new(Executor::new());
    let work = async {
        match role {
            Role::Daemon { .. } | Role::Found { .. } | Role::CounterDaemon { .. } => Ok(()),
            Role::Echo { ports } => {
                for _ in 0..*ports {
                    let listener = bind(([127, 0, 0, 1], 0).into())?;
                    announce(&listener)?;
                    executor.spawn(plain::echo(listener, executor.clone())).detach();
                }
                std::future::pending().await
            }
            Role::Relay { to } => {
                let listener = bind(([127, 0, 0, 1], 0).into())?;
                announce(&listener)?;
                plain::relay(listener, executor.clone(), to.clone()).await;
                Ok(())
            }
            Role::Node { config } => {
                let text = std::fs::read_to_string(config).map_err(|e| e.to_string())?;
                let config: node::Config = serde_json::from_str(&text).map_err(|e| e.to_string())?;
                let listener = bind(config.listen)?;
                announce(&listener)?;
                node::run(listener, executor.clone(), config).await.map_err(|e| e.to_string())
            }
            Role::Introspection { listen, authorization, delay_ms } => {
                let listener = bind(*listen)?;
                announce(&listener)?;
                introspection::run(listener, executor.clone(), authorization.clone(), *delay_ms).await;
                Ok::<(), String>(())
            }
        }
    };
    match role {
        Role::Daemon { config } => {
            frostgauge_gateway::log::init(true);
            end_with_parent();
            return frostgauge_gateway::daemon::run(config);
        }
        Role::Found { config, rules } => return frostgauge_gateway::daemon::bootstrap(config, rules),
        Role::CounterDaemon { config, no_log, stretch_us } => {
            frostgauge_counter_service::init_logging(true);
            end_with_parent();
            return frostgauge_counter_service::daemon::run(
                config,
                *no_log,
                Duration::from_micros(*stretch_us),
            );
        }
        _ => {}
    }
    // The measures run on as many threads as a gateway does.
    if let Role::Echo { .. } | Role::Relay { .. } = role {
        for _ in 1..std::thread::available_parallelism().map_or(1, usize::from) {
            let executor = executor.clone();
            std::thread::spawn(move || {
                futures_lite::future::block_on(executor.run(std::future::pending::<()>()))
            });
        }
    }
    let work = futures_lite::future::or(work, async {
        orphaned().await;
        Ok(())
    });
    match futures_lite::future::block_on(executor.run(work)) {
        Ok(()) => 0,
        Err(reason) => {
            eprintln!("{reason}");
            2
        }
    }
}
