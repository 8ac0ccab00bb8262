//! Callers of the counter that keep a tally of their own: each repeats a call until it is sure of it.

use crate::dice;
use async_executor::Executor;
use async_io::Timer;
use frostgauge_counter_core::ClientCallsConfig;
use frostgauge_counter_service::client::{CallResult, Client, Config};
use frostgauge_proto::counter::Key;
use rand::RngExt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Their gateway numbers begin here, far from those of gateways.
pub const FIRST: u16 = 50_000;
/// Names that they add to.
const NAMES: u64 = 40;
/// A day: no name of theirs ends.
const LIFE_US: u64 = 86_400_000_000;
/// They wait for an answer through any outage of a script.
const CALLS: ClientCallsConfig = ClientCallsConfig { timeout: 120_000_000, retry_after: 150_000 };

/// What they were told.
#[derive(Debug, Default)]
pub struct Adders {
    told: Mutex<Vec<(u16, CallResult)>>,
    made: AtomicU64,
}

impl Adders {
    /// Starts so many, each making so many calls a second until a moment; each has its own key.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        keys: Vec<Key>,
        per_s: f64,
        until: Instant,
        seed: u64,
    ) -> Arc<Adders> {
        let adders = Arc::new(Adders::default());
        for (k, key) in keys.into_iter().enumerate() {
            let gateway = FIRST + k as u16;
            let (told, all) = (adders.clone(), adders.clone());
            let deliver = move |answered: CallResult| -> Pin<Box<dyn Future<Output = bool> + Send>> {
                told.told.lock().unwrap_or_else(PoisonError::into_inner).push((gateway, answered));
                Box::pin(std::future::ready(true))
            };
            let config = Config { address, key, gateway, source: None, calls: CALLS };
            let client = Client::start(executor, config, Box::new(deliver));
            let mut rng = dice(seed, &format!("adder-{k}"));
            executor
                .spawn(async move {
                    while Instant::now() < until {
                        let gap = -(1.0 - rng.random::<f64>()).ln() / per_s;
                        Timer::after(Duration::from_secs_f64(gap.min(5.0))).await;
                        let (name, units) = (rng.random_range(0..NAMES), rng.random_range(-3.0..9.0));
                        // Counted only if taken: a call that is not taken has no answer.
                        if client.call(name, units, LIFE_US) {
                            all.made.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    // The client's task ends with its last handle; answers are still out.
                    std::future::pending::<()>().await;
                })
                .detach();
        }
        adders
    }

    /// Calls not yet answered.
    pub fn open(&self) -> u64 {
        self.made.load(Ordering::Relaxed).saturating_sub(self.told().len() as u64)
    }

    /// All that they were told, with their numbers.
    pub fn told(&self) -> Vec<(u16, CallResult)> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
