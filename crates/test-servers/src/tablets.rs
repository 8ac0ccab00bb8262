//! Tablets and insurers' systems: an open loop of requests, patience, retries where they do no harm, some
//! that leave early, through several gateways unevenly. Every try is noted with what came back.

use crate::ledger::Ledger;
use crate::{dice, now};
use async_executor::Executor;
use async_io::Timer;
use frostgauge_net::{exchange, until, End, Pool, Timed};
use frostgauge_proto::http::{write_request, Body, Limits};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for the next arrival before the rate is looked at again.
const LOOK: f64 = 0.25;
/// A connection to a gateway that does not stand by then counts as unreachable.
const CONNECT: Duration = Duration::from_millis(500);

/// What repeating a class may do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// No harm.
    Safe,
    /// No harm while the nodes remember its key.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// A class, as clients use it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its method.
    pub method: String,
    /// Its path; `*` stands for a number.
    pub path: String,
    /// Its share of the requests.
    pub share: f64,
    /// A client's whole patience, milliseconds.
    pub patience_ms: u64,
    /// What repeating it may do.
    pub effect: Effect,
    /// Units it draws.
    pub units: f64,
}

/// An insurer.
#[derive(Clone, Debug)]
pub struct Insurer {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub rate: f64,
    /// The gateways it comes through.
    pub doors: Vec<usize>,
    /// Tokens it uses.
    pub tokens: usize,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Habits {
    /// Further tries.
    pub retries: u32,
    /// Wait before a further try without advice, milliseconds.
    pub backoff_ms: u64,
    /// Share that goes by a `Retry-After`.
    pub honour: f64,
    /// Share that leaves before its answer.
    pub leave: f64,
    /// How uneven an insurer's gateways are used.
    pub skew: f64,
    /// How often that changes, seconds.
    pub shift_s: f64,
    /// Time past its patience that a client still listens, to note late answers, milliseconds.
    pub listen_ms: u64,
}

impl Default for Habits {
    fn default() -> Self {
        let (retries, backoff_ms, honour, leave) = (2, 50, 0.7, 0.01);
        Habits { retries, backoff_ms, honour, leave, skew: 0.8, shift_s: 10.0, listen_ms: 1_000 }
    }
}

/// What the script turns while clients run.
#[derive(Clone, Debug, Default)]
pub struct Knobs {
    /// Insurers by index that ask so many times their usual rate.
    pub hot: Vec<(usize, f64)>,
    /// Clients try again at once and many times.
    pub abuse: bool,
    /// Share of requests that go to each insurer's busiest gateway on top.
    pub busiest: f64,
    /// One-off insurers a second, and how many names there are for them.
    pub scan: (f64, usize),
    /// Raised to draw everyone's weights anew.
    pub shifts: u64,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// An answer of a node.
    Served,
    /// Refused: 429 or 503.
    Refused,
    /// Failed: 502 or 504.
    Failed,
    /// 401 or 403.
    Denied,
    /// Any other status: none of these should come.
    Odd,
    /// The gateway took no connection.
    Unreachable,
    /// The connection broke with the request out.
    Broken,
    /// No answer at all while the client listened.
    Silent,
    /// The client left.
    Left,
}

/// A try, as noted.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Try {
    /// What is wanted; the same in all tries.
    pub op: String,
    /// Which try.
    pub attempt: u32,
    /// The class.
    pub class: String,
    /// The insurer.
    pub insurer: String,
    /// Its token.
    pub token: String,
    /// The gateway.
    pub gateway: usize,
    /// When it was sent, microseconds since 1970.
    pub sent: u64,
    /// When its end was known.
    pub ended: u64,
    /// How long the client waited, microseconds.
    pub patience: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The status, or 0.
    pub status: u16,
    /// The reason, as the answer's body names it.
    pub reason: String,
}

/// The clients of a run.
pub struct Tablets {
    classes: Vec<Class>,
    insurers: Vec<Insurer>,
    habits: Habits,
    doors: Vec<SocketAddr>,
    pool: Pool,
    ledger: Ledger,
    knobs: Mutex<Knobs>,
    ops: AtomicU64,
    open: AtomicUsize,
    seed: u64,
}

impl Tablets {
    /// Clients that note their tries in a ledger.
    ///
    /// # Errors
    /// The ledger cannot be opened.
    pub fn new(
        classes: Vec<Class>,
        insurers: Vec<Insurer>,
        habits: Habits,
        doors: Vec<SocketAddr>,
        ledger: &Path,
        seed: u64,
    ) -> std::io::Result<Arc<Tablets>> {
        Ok(Arc::new(Tablets {
            classes,
            insurers,
            habits,
            doors,
            pool: Pool::new(256, Duration::from_secs(30)),
            ledger: Ledger::open(ledger)?,
            knobs: Mutex::default(),
            ops: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            seed,
        }))
    }

    /// Turns the script's knobs.
    pub fn turn(&self, turn: impl FnOnce(&mut Knobs)) {
        if let Ok(mut knobs) = self.knobs.lock() {
            turn(&mut knobs);
        }
    }

    fn knobs(&self) -> Knobs {
        self.knobs.lock().map(|k| k.clone()).unwrap_or_default()
    }

    /// Operations begun.
    pub fn begun(&self) -> u64 {
        self.ops.load(Ordering::Relaxed)
    }

    /// Operations not yet ended.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Answers that came on a connection without a request.
    pub fn strays(&self) -> u64 {
        self.pool.strays()
    }

    /// Lets every insurer's clients arrive until `end`.
    pub fn start(self: &Arc<Self>, executor: &Arc<Executor<'static>>, end: Instant) {
        for index in 0..self.insurers.len() {
            executor.spawn(self.clone().arrivals(executor.clone(), index, end)).detach();
        }
        executor.spawn(self.clone().one_offs(executor.clone(), end)).detach();
    }

    async fn arrivals(self: Arc<Self>, executor: Arc<Executor<'static>>, index: usize, end: Instant) {
        let insurer = &self.insurers[index];
        let mut rng = dice(self.seed, &format!("insurer {}", insurer.name));
        let mut weights = self.weights(insurer, &mut rng);
        let (mut shifts, mut shift_at) = (0, Instant::now() + self.shift(&mut rng));
        loop {
            let knobs = self.knobs();
            let times = knobs.hot.iter().find(|h| h.0 == index).map_or(1.0, |h| h.1);
            let gap = -(1.0 - rng.random::<f64>()).max(1e-12).ln() / (insurer.rate * times).max(1e-9);
            Timer::after(Duration::from_secs_f64(gap.min(LOOK))).await;
            if Instant::now() >= end {
                return;
            }
            if Instant::now() >= shift_at || shifts != knobs.shifts {
                weights = self.weights(insurer, &mut rng);
                (shifts, shift_at) = (knobs.shifts, Instant::now() + self.shift(&mut rng));
            }
            // Memoryless: a wait cut short is simply drawn anew.
            if gap > LOOK {
                continue;
            }
            let pull = knobs.busiest > 0.0 && rng.random::<f64>() < knobs.busiest;
            let door = if pull { busiest(&weights) } else { draw(&weights, &mut rng) };
            let token = format!("t.{}.{}", insurer.name, rng.random_range(0..insurer.tokens.max(1)));
            let op_rng = rng.next_u64();
            let work =
                self.clone().operation(insurer.name.clone(), token, insurer.doors.clone(), door, op_rng);
            executor.spawn(work).detach();
        }
    }

    fn shift(&self, rng: &mut ChaCha8Rng) -> Duration {
        Duration::from_secs_f64(self.habits.shift_s * (0.5 + rng.random::<f64>()))
    }

    fn weights(&self, insurer: &Insurer, rng: &mut ChaCha8Rng) -> Vec<f64> {
        insurer.doors.iter().map(|_| (self.habits.skew * 3.0 * (rng.random::<f64>() - 0.5)).exp()).collect()
    }

    /// Insurers seen once, each with one request, while the script asks for them.
    async fn one_offs(self: Arc<Self>, executor: Arc<Executor<'static>>, end: Instant) {
        let mut rng = dice(self.seed, "one-offs");
        let mut next = 0;
        loop {
            let (per_s, names) = self.knobs().scan;
            let gap = if per_s > 0.0 { (1.0 / per_s).min(LOOK) } else { LOOK };
            Timer::after(Duration::from_secs_f64(gap)).await;
            if Instant::now() >= end {
                return;
            }
            if per_s > 0.0 && next < names {
                let name = format!("scan-{next}");
                next += 1;
                let doors: Vec<usize> = (0..self.doors.len()).collect();
                let door = rng.random_range(0..doors.len());
                let token = format!("t.{name}.0");
                executor.spawn(self.clone().operation(name, token, doors, door, rng.next_u64())).detach();
            }
        }
    }

    /// All tries of one operation.
    async fn operation(
        self: Arc<Self>,
        insurer: String,
        token: String,
        doors: Vec<usize>,
        door: usize,
        seed: u64,
    ) {
        let mut rng = dice(seed, "operation");
        let number = self.ops.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        let shares: Vec<f64> = self.classes.iter().map(|c| c.share).collect();
        let class = &self.classes[draw(&shares, &mut rng)];
        let begun = Instant::now();
        let whole = Duration::from_millis(class.patience_ms);
        let mut door = door;
        for attempt in 0u32.. {
            let left = whole.saturating_sub(begun.elapsed());
            if left < Duration::from_millis(20) {
                break;
            }
            let patience = left.mul_f64(0.5 + 0.5 * rng.random::<f64>());
            let leaves = rng.random::<f64>() < self.habits.leave;
            let stay = if leaves { patience.mul_f64(0.3 * rng.random::<f64>()) } else { patience };
            let (request, op) =
                (self.request(class, number, &token, attempt, patience, &mut rng), format!("op-{number}"));
            let sent = now();
            let end = self.exchange(self.doors[doors[door]], &request, stay, leaves).await;
            let (outcome, status, reason, advice) = read(end, leaves);
            let line = Try {
                op,
                attempt,
                class: class.name.clone(),
                insurer: insurer.clone(),
                token: token.clone(),
                gateway: doors[door],
                sent,
                ended: now(),
                patience: patience.as_micros() as u64,
                outcome,
                status,
                reason,
            };
            self.ledger.note(&line);
            // What may have run is asked for again only where that does no harm.
            let again = match outcome {
                Outcome::Refused | Outcome::Unreachable => true,
                Outcome::Failed | Outcome::Broken | Outcome::Silent => class.effect == Effect::Safe,
                _ => false,
            };
            let abuse = self.knobs().abuse;
            if !again || attempt >= if abuse { 8 } else { self.habits.retries } {
                break;
            }
            let heeds = !abuse && rng.random::<f64>() < self.habits.honour;
            let backoff = Duration::from_millis(if abuse { 1 } else { self.habits.backoff_ms });
            Timer::after(advice.filter(|_| heeds).unwrap_or(backoff)).await;
            door = rng.random_range(0..doors.len());
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn request(
        &self,
        class: &Class,
        number: u64,
        token: &str,
        attempt: u32,
        patience: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<u8> {
        let (bearer, op) = (format!("Bearer {token}"), format!("op-{number}"));
        let wait = patience.as_millis().to_string();
        let mut fields: Vec<(&str, &[u8])> = vec![
            ("Host", b"claims"),
            ("Authorization", bearer.as_bytes()),
            ("Operation", op.as_bytes()),
            ("Request-Timeout-Ms", wait.as_bytes()),
        ];
        if attempt > 0 {
            fields.push(("Frostgauge-Repeat", b"1"));
        }
        if class.effect == Effect::Keyed {
            fields.push(("Idempotency-Key", op.as_bytes()));
        }
        let body = match class.method.as_str() {
            "GET" => vec![],
            _ => vec![b'x'; rng.random_range(20..2_000)],
        };
        if !body.is_empty() && rng.random::<f64>() < 0.05 {
            fields.push(("Expect", b"100-continue"));
        }
        let content = match (body.is_empty(), rng.random::<f64>() < 0.2) {
            (true, _) => Body::None,
            (_, true) => Body::Chunked(&body),
            _ => Body::Whole(&body),
        };
        let mut out = Vec::new();
        let target = class.path.replace('*', &number.to_string());
        write_request(&mut out, &class.method, &target, fields.into_iter(), content);
        out
    }

    async fn exchange(&self, to: SocketAddr, request: &[u8], stay: Duration, leaves: bool) -> End {
        let begun = Instant::now();
        let listen = if leaves { Duration::ZERO } else { Duration::from_millis(self.habits.listen_ms) };
        let deadline = begun + stay + listen;
        let limits = Limits::default();
        let work = exchange(&self.pool, to, request, false, &limits, CONNECT, deadline);
        match until(deadline, work).await {
            Timed::Done(end) => end,
            Timed::Late => End::TimedOut,
        }
    }
}

fn read(end: End, leaves: bool) -> (Outcome, u16, String, Option<Duration>) {
    let bare = |outcome| (outcome, 0, String::new(), None);
    let response = match end {
        End::Answered(response) => response,
        End::NotConnected => return bare(Outcome::Unreachable),
        _ if leaves => return bare(Outcome::Left),
        End::NotTried => return bare(Outcome::Unreachable),
        End::Broken => return bare(Outcome::Broken),
        End::TimedOut => return bare(Outcome::Silent),
    };
    let status = response.head.status();
    let reason = serde_json::from_slice::<serde_json::Value>(&response.body).ok();
    let reason = reason.and_then(|v| Some(v.get("reason")?.as_str()?.to_owned())).unwrap_or_default();
    let outcome = match status {
        200..=299 => Outcome::Served,
        429 | 503 => Outcome::Refused,
        502 | 504 => Outcome::Failed,
        401 | 403 => Outcome::Denied,
        _ => Outcome::Odd,
    };
    let advice = response.head.one("retry-after-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
    (outcome, status, reason, advice)
}

fn draw(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut at = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (k, weight) in weights.iter().enumerate() {
        at -= weight;
        if at <= 0.0 {
            return k;
        }
    }
    weights.len().saturating_sub(1)
}

fn busiest(weights: &[f64]) -> usize {
    let most = weights.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
    most.map_or(0, |(k, _)| k)
}
