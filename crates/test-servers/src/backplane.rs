//! What the claims nodes share behind the gateways' backs: the store of keys already seen, and the meter
//! that adds up each insurer's use over all nodes and tells it late.

use crate::now;
use crate::serve::{serve, Act, Request};
use async_executor::Executor;
use async_io::{Async, Timer};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A node's report or question.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Word {
    /// Units that insurers used at this node since its last report; the answer is the meter's newest tell.
    Used(BTreeMap<String, f64>),
    /// May this keyed request run, here where this group shares its keys?
    Key {
        /// The group.
        group: String,
        /// The key.
        key: String,
        /// How long keys are remembered, microseconds.
        window: u64,
    },
}

/// The meter and the store.
#[derive(Debug)]
pub struct Backplane {
    period: Duration,
    late: Duration,
    rates: BTreeMap<String, f64>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    adding: BTreeMap<String, f64>,
    due: VecDeque<(u64, BTreeMap<String, f64>)>,
    told: BTreeMap<String, f64>,
    keys: BTreeMap<(String, String), u64>,
}

impl Backplane {
    /// A meter of this period whose figures come so late; `rates` are the insurers' quotas.
    pub fn new(period: Duration, late: Duration, rates: BTreeMap<String, f64>) -> Backplane {
        Backplane { period, late, rates, state: Mutex::default() }
    }

    /// Serves until the executor ends.
    pub async fn run(self, listener: Async<TcpListener>, executor: Arc<Executor<'static>>) {
        let plane = Arc::new(self);
        let ticking = plane.clone();
        executor
            .spawn(async move {
                loop {
                    Timer::after(ticking.period).await;
                    ticking.tick();
                }
            })
            .detach();
        serve(listener, executor, move |request| {
            let plane = plane.clone();
            async move { plane.answer(&request) }
        })
        .await;
    }

    fn tick(&self) {
        let Ok(mut s) = self.state.lock() else { return };
        let seconds = self.period.as_secs_f64();
        let sums = std::mem::take(&mut s.adding);
        let shares = sums.into_iter().filter_map(|(name, units)| {
            let rate = self.rates.get(&name).filter(|r| **r > 0.0)?;
            Some((name, units / (rate * seconds)))
        });
        let shares = shares.collect();
        let at = now();
        s.due.push_back((at + self.late.as_micros() as u64, shares));
        while s.due.front().is_some_and(|d| d.0 <= at) {
            s.told = s.due.pop_front().map(|d| d.1).unwrap_or_default();
        }
    }

    fn answer(&self, request: &Request) -> Act {
        let (Ok(mut s), Ok(word)) = (self.state.lock(), serde_json::from_slice::<Word>(&request.body)) else {
            return Act::json(400, &json!({ "error": "not a word" }));
        };
        match word {
            Word::Used(used) => {
                for (name, units) in used {
                    *s.adding.entry(name).or_default() += units;
                }
                Act::json(200, &json!(s.told))
            }
            Word::Key { group, key, window } => {
                let at = now();
                let seen = s.keys.get(&(group.clone(), key.clone())).is_some_and(|t| at < t + window);
                if !seen {
                    s.keys.insert((group, key), at);
                }
                Act::json(200, &json!({ "first": !seen }))
            }
        }
    }
}
