//! A stand-in claims node: cores, a queue, a cold start that can be pushed over, troubles on demand, a ledger
//! of every effect, load reports in its answers.

use crate::backplane::Word;
use crate::ledger::{Ledger, Line, What};
use crate::serve::{serve_watched, Act, Request, Watch};
use crate::{dice, now};
use async_executor::Executor;
use async_io::{Async, Timer};
use frostgauge_net::{exchange, End, Pool};
use frostgauge_proto::http::{write_request, Body, Limits};
use frostgauge_proto::orca;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit code of a node that fell over.
pub const FELL: i32 = 13;
/// How often a node talks with the others, and renews what it reports.
const REPORT: Duration = Duration::from_millis(100);
/// Requests' worth of slack in the cold budget, for chance.
const SLACK: f64 = 3.0;

/// A class, as a node serves it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The method by which it is told.
    pub method: String,
    /// Mean work of a request, core-milliseconds.
    pub work_ms: f64,
    /// Units that it draws, for the meter.
    pub units: f64,
    /// Repeats of a key are dropped for this long, microseconds; 0: it has none.
    #[serde(default)]
    pub window: u64,
}

/// How a node is made.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// Its address; a port of 0 lets the system choose.
    pub listen: SocketAddr,
    /// Its ledger.
    pub ledger: PathBuf,
    /// The backplane.
    pub backplane: SocketAddr,
    /// The group with which it shares keys.
    pub group: String,
    /// Cores.
    pub cores: usize,
    /// Their speed.
    pub speed: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// It starts cold.
    pub cold: bool,
    /// Share of its capacity at which it starts.
    pub cold_from: f64,
    /// It is warm after this, milliseconds.
    pub cold_ms: u64,
    /// A cold one falls over above this multiple of its capacity...
    pub fall_multiple: f64,
    /// ...over this time, milliseconds.
    pub fall_ms: u64,
    /// Classes.
    pub classes: Vec<Class>,
    /// Seed of its draws.
    pub seed: u64,
    /// An idle connection is closed after this, milliseconds; 0: never.
    #[serde(default)]
    pub idle_ms: u64,
}

/// A change of behaviour, as the script sends it to `/_control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Control {
    /// Share of requests answered 500, half of them after their effect.
    pub error_rate: Option<f64>,
    /// Share of requests that run and then get no answer but a closed connection.
    pub close_rate: Option<f64>,
    /// Share of requests turned away as full, with the proof, and as many without it.
    pub full_rate: Option<f64>,
    /// Stand still for this long, milliseconds.
    pub pause_ms: Option<u64>,
    /// Work takes this many times as long.
    pub slow: Option<f64>,
    /// Turn new requests away, with the proof.
    pub draining: Option<bool>,
    /// Addresses whose gateways get no word from here: the path is cut.
    pub cut: Option<Vec<IpAddr>>,
    /// Tell the meter's figures no more, or again.
    pub meter: Option<bool>,
}

#[derive(Debug)]
struct State {
    running: usize,
    waiting: VecDeque<async_channel::Sender<()>>,
    paused: Option<Instant>,
    trouble: Control,
    window: VecDeque<(u64, f64)>,
    used: BTreeMap<String, f64>,
    told: BTreeMap<String, f64>,
    report: orca::Report,
    rng: rand_chacha::ChaCha8Rng,
}

struct Node {
    config: Config,
    started: u64,
    ledger: Ledger,
    pool: Pool,
    state: Mutex<State>,
}

/// What a request is to the node.
struct Job<'a> {
    line: Line,
    class: &'a Class,
    key: Option<String>,
}

/// Serves until the executor ends, or the node falls over.
///
/// # Errors
/// The ledger cannot be opened.
pub async fn run(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    config: Config,
) -> std::io::Result<()> {
    let ledger = Ledger::open(&config.ledger)?;
    let rng = dice(config.seed, &format!("node {}", config.listen));
    let state = State {
        running: 0,
        waiting: VecDeque::new(),
        paused: None,
        trouble: Control::default(),
        window: VecDeque::new(),
        used: BTreeMap::new(),
        told: BTreeMap::new(),
        report: orca::Report::default(),
        rng,
    };
    let pool = Pool::new(16, Duration::from_secs(5));
    let node = Arc::new(Node { started: now(), ledger, pool, state: Mutex::new(state), config });
    node.ledger.note(&node.line(What::Start));
    let reporting = node.clone();
    executor
        .spawn(async move {
            loop {
                Timer::after(REPORT).await;
                reporting.report().await;
            }
        })
        .detach();
    let idle = (node.config.idle_ms > 0).then(|| Duration::from_millis(node.config.idle_ms));
    let noting = node.clone();
    let seen = move |from: SocketAddr, open: bool| {
        let line = noting.line(if open { What::Open } else { What::Shut });
        noting.ledger.note(&Line { request: from.to_string(), ..line });
    };
    let watch = Watch { idle, seen: Some(Arc::new(seen)) };
    serve_watched(listener, executor, watch, move |request| {
        let node = node.clone();
        async move { node.answer(request).await }
    })
    .await;
    Ok(())
}

impl Node {
    fn line(&self, what: What) -> Line {
        let (request, insurer, class, op, rules) = Default::default();
        Line { t: now(), what, request, attempt: 0, insurer, class, op, units: 0.0, rules }
    }

    fn note(&self, job: &Job<'_>, what: What) {
        self.ledger.note(&Line { t: now(), what, ..job.line.clone() });
    }

    /// Share of its capacity that is there now.
    fn ramp(&self, at: u64) -> f64 {
        if !self.config.cold {
            return 1.0;
        }
        let up = (at - self.started) as f64 / (self.config.cold_ms as f64 * 1e3).max(1.0);
        (self.config.cold_from + (1.0 - self.config.cold_from) * up).min(1.0)
    }

    fn job(&self, request: &Request) -> Option<Job<'_>> {
        let text = |name: &str| request.head.one(name).unwrap_or("").to_owned();
        let class = self.config.classes.iter().find(|c| c.method == request.head.method())?;
        let line = Line {
            request: text("frostgauge-request"),
            attempt: text("frostgauge-attempt").parse().unwrap_or(0),
            insurer: text("frostgauge-insurer"),
            class: class.name.clone(),
            op: text("operation"),
            units: class.units,
            rules: text("frostgauge-rules"),
            ..self.line(What::Recv)
        };
        let key = Some(text("idempotency-key")).filter(|_| class.window > 0);
        Some(Job { line, class, key })
    }

    async fn answer(&self, request: Request) -> Act {
        if request.head.target() == "/_control" {
            self.ledger.note(&Line { request: request.from.to_string(), ..self.line(What::Control) });
            return self.control(&request.body);
        }
        let cut = self.state.lock().ok().and_then(|s| s.trouble.cut.clone()).unwrap_or_default();
        if cut.contains(&request.from.ip()) {
            return std::future::pending().await;
        }
        if request.head.target() == "/health" {
            return self.health().await;
        }
        let Some(job) = self.job(&request) else {
            return Act::json(404, &json!({ "error": "no such thing" }));
        };
        self.note(&job, What::Recv);
        let Some((work, roll, wait)) = self.admit(&job) else { return self.turned_away(&job, "full") };
        let Ok(wait) = wait else { return self.turned_away(&job, "draining") };
        if let Some(turn) = wait {
            let _ = turn.recv().await;
        }
        let act = self.work(&job, work, roll).await;
        self.leave();
        act
    }

    /// Books a request against the cold budget, and lets it in, to wait or to run; `None` when full.
    #[allow(clippy::type_complexity, reason = "one place, one use")]
    fn admit(&self, job: &Job<'_>) -> Option<(f64, f64, Result<Option<async_channel::Receiver<()>>, ()>)> {
        let mut s = self.state.lock().ok()?;
        let (spread, roll): (f64, f64) = (s.rng.random(), s.rng.random());
        // Exponential work, cut at five times the mean.
        let work = job.class.work_ms * (-(1.0 - spread).max(1e-9).ln()).min(5.0);
        let at = now();
        let ramp = self.ramp(at);
        if ramp < 1.0 {
            let span = self.config.fall_ms * 1_000;
            s.window.push_back((at, job.class.work_ms));
            while s.window.front().is_some_and(|w| w.0 + span < at) {
                s.window.pop_front();
            }
            let sent: f64 = s.window.iter().map(|w| w.1).sum();
            let budget = self.config.cores as f64 * self.config.speed * ramp * self.config.fall_ms as f64;
            if sent > self.config.fall_multiple * budget + SLACK * job.class.work_ms {
                self.ledger.note(&self.line(What::Fell));
                // It stays down, as a process that was pushed over does.
                std::process::exit(FELL);
            }
        }
        if s.trouble.draining == Some(true) {
            return Some((work, roll, Err(())));
        }
        let full = s.trouble.full_rate.unwrap_or(0.0);
        if roll < full || s.waiting.len() >= self.config.queue {
            return None;
        }
        let turn = if s.running < self.config.cores {
            s.running += 1;
            None
        } else {
            let (go, turn) = async_channel::bounded(1);
            s.waiting.push_back(go);
            Some(turn)
        };
        Some((work, roll, Ok(turn)))
    }

    /// A core is free: the next in the queue has it.
    fn leave(&self) {
        if let Ok(mut s) = self.state.lock() {
            while let Some(next) = s.waiting.pop_front() {
                if next.try_send(()).is_ok() {
                    return;
                }
            }
            s.running -= 1;
        }
    }

    async fn work(&self, job: &Job<'_>, work: f64, roll: f64) -> Act {
        self.awake().await;
        let trouble = self.state.lock().map(|s| s.trouble.clone()).unwrap_or_default();
        let (full, errs) = (trouble.full_rate.unwrap_or(0.0), trouble.error_rate.unwrap_or(0.0));
        // Without the proof: it did not run, but nobody can know.
        if (full..2.0 * full).contains(&roll) {
            return Act::json(503, &json!({ "error": "busy" }));
        }
        let roll = (roll - 2.0 * full).max(0.0) / (1.0 - 2.0 * full).max(1e-9);
        let errs_at = roll < errs;
        if errs_at && roll < errs / 2.0 {
            return Act::json(500, &json!({ "error": "failed early" }));
        }
        if let Some(key) = &job.key {
            match self.first(key, job.class.window).await {
                Some(true) => {}
                Some(false) => {
                    self.note(job, What::Repeat);
                    return self.served(job);
                }
                None => return Act::json(500, &json!({ "error": "no store" })),
            }
        }
        self.note(job, What::Ran);
        let ramp = self.ramp(now());
        let span = work * trouble.slow.unwrap_or(1.0) / (self.config.speed * ramp);
        Timer::after(Duration::from_micros((span * 1e3) as u64)).await;
        let roll = (roll - errs).max(0.0) / (1.0 - errs).max(1e-9);
        if errs_at {
            return Act::json(500, &json!({ "error": "failed late" }));
        }
        if roll < trouble.close_rate.unwrap_or(0.0) {
            return Act::Close;
        }
        if let Ok(mut s) = self.state.lock() {
            if job.line.attempt == 0 {
                *s.used.entry(job.line.insurer.clone()).or_default() += job.line.units;
            }
        }
        self.served(job)
    }

    /// Whether it is alive: a paused one does not answer, one that drains says so.
    async fn health(&self) -> Act {
        self.awake().await;
        let (report, draining) =
            (self.state.lock()).map(|s| (s.report, s.trouble.draining == Some(true))).unwrap_or_default();
        let mut fields = vec![(orca::FIELD, report.write())];
        if draining {
            fields.push(("frostgauge-not-run", "draining".to_owned()));
            return Act::Answer { status: 503, fields, body: b"{}".to_vec(), chunked: false };
        }
        Act::Answer { status: 200, fields, body: b"{}".to_vec(), chunked: false }
    }

    async fn awake(&self) {
        loop {
            let paused = self.state.lock().ok().and_then(|s| s.paused.filter(|end| *end > Instant::now()));
            match paused {
                Some(end) => drop(Timer::at(end).await),
                None => break,
            }
        }
    }

    fn fields(&self, job: &Job<'_>) -> Vec<(&'static str, String)> {
        let report = self.state.lock().map(|s| orca::Report {
            quota_use: s.told.get(&job.line.insurer).copied().filter(|_| s.trouble.meter != Some(false)),
            ..s.report
        });
        let mut fields = vec![("content-type", "application/json".to_owned())];
        fields.extend(report.ok().map(|r| (orca::FIELD, r.write())));
        fields
    }

    fn served(&self, job: &Job<'_>) -> Act {
        let body = json!({ "operation": job.line.op, "class": job.line.class }).to_string().into_bytes();
        // Some in chunks, so that both framings are on the wire.
        let chunked = job.line.op.len().is_multiple_of(2);
        Act::Answer { status: 200, fields: self.fields(job), body, chunked }
    }

    fn turned_away(&self, job: &Job<'_>, proof: &str) -> Act {
        let mut fields = self.fields(job);
        fields.push(("frostgauge-not-run", proof.to_owned()));
        Act::Answer { status: 503, fields, body: b"{}".to_vec(), chunked: false }
    }

    fn control(&self, body: &[u8]) -> Act {
        let (Ok(mut s), Ok(c)) = (self.state.lock(), serde_json::from_slice::<Control>(body)) else {
            return Act::json(400, &json!({ "error": "not a control" }));
        };
        if let Some(ms) = c.pause_ms {
            s.paused = Some(Instant::now() + Duration::from_millis(ms));
        }
        let t = &mut s.trouble;
        t.error_rate = c.error_rate.or(t.error_rate);
        t.close_rate = c.close_rate.or(t.close_rate);
        t.full_rate = c.full_rate.or(t.full_rate);
        t.slow = c.slow.or(t.slow);
        t.draining = c.draining.or(t.draining);
        t.cut = c.cut.or(t.cut.take());
        t.meter = c.meter.or(t.meter);
        Act::json(200, &json!({ "running": s.running, "waiting": s.waiting.len() }))
    }

    async fn first(&self, key: &str, window: u64) -> Option<bool> {
        let word = Word::Key { group: self.config.group.clone(), key: key.to_owned(), window };
        self.ask(&word).await?.get("first")?.as_bool()
    }

    /// Tells the meter what was used, hears what it tells, and renews the load that answers report.
    async fn report(&self) {
        let used = match self.state.lock() {
            Ok(mut s) => {
                let (running, queue) = (s.running as f64, s.waiting.len() as f64);
                s.report = orca::Report {
                    utilization: Some(running / self.config.cores as f64),
                    inflight: Some(running + queue),
                    queue: Some(queue),
                    ..orca::Report::default()
                };
                std::mem::take(&mut s.used)
            }
            Err(_) => return,
        };
        let told = self.ask(&Word::Used(used)).await.and_then(|v| serde_json::from_value(v).ok());
        if let (Some(told), Ok(mut s)) = (told, self.state.lock()) {
            s.told = told;
        }
    }

    async fn ask(&self, word: &Word) -> Option<Value> {
        let (mut request, body) = (Vec::new(), serde_json::to_vec(word).ok()?);
        let host = [("host", &b"backplane"[..])];
        write_request(&mut request, "POST", "/", host.into_iter(), Body::Whole(&body));
        let (limits, second) = (Limits { body: 16 << 20, ..Limits::default() }, Duration::from_secs(1));
        let to = self.config.backplane;
        match exchange(&self.pool, to, &request, false, &limits, second, Instant::now() + second).await {
            End::Answered(response) => serde_json::from_slice(&response.body).ok(),
            _ => None,
        }
    }
}
