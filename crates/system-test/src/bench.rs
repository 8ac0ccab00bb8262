//! The gateway measured against a plain relay and against the servers themselves, in turns in one run.

use crate::process::Process;
use crate::run::Folder;
use async_executor::Executor;
use async_io::Timer;
use frostgauge_net::{exchange, Closing, End, Pool};
use frostgauge_proto::http::Limits;
use frostgauge_proto::introspection::client_basic;
use futures_lite::future;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Servers behind relay and gateway.
const SERVERS: usize = 16;
/// Connections of the three sizes.
const SIZES: [usize; 3] = [1, 64, 512];
/// Threads of the clients.
const THREADS: usize = 2;
/// One clock tick of /proc, microseconds.
const TICK: f64 = 10_000.0;

struct Target {
    name: &'static str,
    address: SocketAddr,
    process: Option<u32>,
}

/// What a round of one target came to.
struct Round {
    per_s: f64,
    p50: f64,
    p99: f64,
    other: u64,
    cpu_us: f64,
    memory: f64,
}

/// Microseconds of processor time that a process has used.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    // User and system time are the 14th and 15th field of the line, the 12th and 13th after the name.
    fields.get(11).zip(fields.get(12)).map_or(0.0, |(user, system)| (user + system) * TICK)
}

/// Resident kibibytes of a process.
fn memory(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0.0)
}

fn request(token: usize) -> Vec<u8> {
    let text = "GET /claims/1 HTTP/1.1\r\nHost: claims\r\nRequest-Timeout-Ms: 5000\r\n";
    format!("{text}Authorization: Bearer t.bench-{}.{token}\r\n\r\n", token % 8).into_bytes()
}

struct Load {
    executor: Arc<Executor<'static>>,
    _stop: frostgauge_net::Hold,
}

impl Load {
    fn new() -> Load {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = Closing::new();
        for _ in 0..THREADS {
            let (executor, stopped) = (executor.clone(), stopped.clone());
            std::thread::spawn(move || future::block_on(executor.run(stopped.wait())));
        }
        Load { executor, _stop: stop }
    }

    /// Some connections, each asking again as soon as it is answered, or at a pace; latencies in
    /// microseconds (at a pace, from when it was due) and how many were not served.
    fn run(
        &self,
        to: SocketAddr,
        connections: usize,
        span: Duration,
        per_s: Option<f64>,
    ) -> (Histogram<u64>, u64) {
        let new = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds");
        let all = Arc::new(Mutex::new((new(), 0)));
        let began = Instant::now();
        let tasks: Vec<_> = (0..connections)
            .map(|k| {
                let all = all.clone();
                self.executor.spawn(async move {
                    let (pool, bytes, limits) = (Pool::new(1, span * 4), request(k), Limits::default());
                    let (mut mine, mut other, mut n) = (Vec::new(), 0, 0u32);
                    let gap = per_s.map(|r| Duration::from_secs_f64(connections as f64 / r));
                    let offset = gap.map_or(Duration::ZERO, |g| g.mul_f64(k as f64 / connections as f64));
                    while began.elapsed() < span {
                        let due = match gap {
                            Some(gap) => {
                                let due = began + offset + gap * n;
                                Timer::at(due).await;
                                due
                            }
                            None => Instant::now(),
                        };
                        n += 1;
                        let deadline = Instant::now() + Duration::from_secs(10);
                        let second = Duration::from_secs(1);
                        match exchange(&pool, to, &bytes, false, &limits, second, deadline).await {
                            End::Answered(r) if r.head.status() == 200 => {
                                mine.push(due.elapsed().as_micros() as u64);
                            }
                            _ => other += 1,
                        }
                    }
                    if let Ok(mut all) = all.lock() {
                        mine.into_iter().for_each(|us| all.0.saturating_record(us.max(1)));
                        all.1 += other;
                    }
                })
            })
            .collect();
        future::block_on(async {
            for task in tasks {
                task.await;
            }
        });
        let all = all.lock().map(|a| a.clone());
        all.unwrap_or_else(|_| (new(), 0))
    }
}

fn round(load: &Load, target: &Target, connections: usize, span: Duration) -> Round {
    let id = target.process;
    let (cpu_before, before) = (id.map_or(0.0, cpu), Instant::now());
    let idle = id.map_or(0.0, memory);
    let held: Vec<TcpStream> =
        (0..connections).filter_map(|_| TcpStream::connect(target.address).ok()).collect();
    let (h, other) = load.run(target.address, connections, span, None);
    let busy = id.map_or(0.0, memory);
    drop(held);
    let used = id.map_or(0.0, cpu) - cpu_before;
    let n = h.len().max(1) as f64;
    Round {
        per_s: h.len() as f64 / before.elapsed().as_secs_f64(),
        p50: h.value_at_quantile(0.5) as f64,
        p99: h.value_at_quantile(0.99) as f64,
        other,
        cpu_us: used / n,
        // Twice the connections stand: those held idle and those of the load.
        memory: (busy - idle) / (2 * connections) as f64,
    }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Measures; prints a table and gives the figures as JSON.
///
/// # Errors
/// A process that does not start.
pub fn run(program: &Path, seconds: f64, rounds: usize) -> Result<Value, String> {
    let folder = Folder::new(None)?;
    let log = folder.path().join("log");
    let mut servers = Process::start(program, "echo", &["echo", "--ports", &SERVERS.to_string()], &log)?;
    let addresses = servers.addresses(SERVERS)?;
    let list: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let mut relay = Process::start(program, "relay", &["relay", "--to", &list.join(",")], &log)?;
    let relay_address = relay.address()?;
    let authorization = client_basic("gw", "sesame");
    let args =
        ["introspection", "--listen", "127.0.0.1:0", "--authorization", &authorization, "--delay-ms", "0"];
    let mut tokens = Process::start(program, "introspection", &args, &log)?;
    let introspection = tokens.address()?;
    let ([door, admin], _held) = crate::ports::some_ports()?;
    let insurers: serde_json::Map<_, _> =
        (0..8).map(|k| (format!("bench-{k}"), json!({ "plan": "wide" }))).collect();
    let settings = json!({
        "gateway": { "number": 0, "zone": "a", "listen": door.to_string(), "admin": admin.to_string() },
        "fleet": { "gateways": 1 },
        "introspection": {
            "address": introspection.to_string(), "client_id": "gw", "client_secret_file": "secret",
        },
        "classes": { "read": {
            "aim_ms": 1000, "patience_ms": 5000, "worth": 1, "effect": { "kind": "safe" },
        } },
        "plans": { "wide": { "rate": 1e6, "burst": 1e6, "price": 1 } },
        "insurers": insurers,
        "routes": [{ "method": "GET", "path": "/claims/*", "class": "read", "scope": "claims" }],
        "zones": ["a"],
        "nodes": list.iter().map(|a| json!({ "address": a, "zone": "a" })).collect::<Vec<_>>(),
    });
    crate::generated_config::write_whole(&folder.path().join("secret"), "sesame", true)?;
    let config = folder.path().join("gateway.jsonnet");
    crate::generated_config::write_whole(&config, &settings.to_string(), false)?;
    let gateway =
        Process::start(program, "gateway", &["daemon", "--config", &config.display().to_string()], &log)?;
    let end = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(door).is_err() {
        if Instant::now() > end {
            return Err(std::fs::read_to_string(&log).unwrap_or_default());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let targets = [
        Target { name: "direct", address: addresses[0], process: None },
        Target { name: "relay", address: relay_address, process: Some(relay.id()) },
        Target { name: "gateway", address: door, process: Some(gateway.id()) },
    ];
    let (load, span) = (Load::new(), Duration::from_secs_f64(seconds));
    targets.iter().for_each(|t| drop(load.run(t.address, 64, span / 2, None)));
    let mut rows = vec![];
    println!(
        "{:>6} {:<8}{:>10}{:>10}{:>10}{:>12}{:>12}{:>10}",
        "conns", "target", "req/s", "p50 us", "p99 us", "cpu us/req", "KiB/conn", "not 200"
    );
    for connections in SIZES {
        let mut all: Vec<Vec<Round>> = targets.iter().map(|_| vec![]).collect();
        for _ in 0..rounds {
            for (k, target) in targets.iter().enumerate() {
                all[k].push(round(&load, target, connections, span));
            }
        }
        for (target, all) in targets.iter().zip(&all) {
            let of = |f: fn(&Round) -> f64| median(all.iter().map(f).collect());
            let (per_s, p50, p99) = (of(|r| r.per_s), of(|r| r.p50), of(|r| r.p99));
            let (cpu_us, memory) = (of(|r| r.cpu_us), all.first().map_or(0.0, |r| r.memory));
            let other: u64 = all.iter().map(|r| r.other).sum();
            println!(
                "{connections:>6} {:<8}{per_s:>10.0}{p50:>10.0}{p99:>10.0}{cpu_us:>12.1}{memory:>12.1}{other:>10}",
                target.name
            );
            rows.push(json!({
                "connections": connections, "target": target.name, "per_s": per_s, "p50_us": p50,
                "p99_us": p99, "cpu_us": cpu_us, "kib_per_connection": memory, "not_served": other,
            }));
        }
    }
    let figure = |connections: usize, name: &str, what: &str| {
        let row = rows.iter().find(|r| r["connections"] == connections && r["target"] == name);
        row.and_then(|r| r[what].as_f64()).unwrap_or(f64::NAN)
    };
    let half = figure(64, "gateway", "per_s") / 2.0;
    let mut paced: Vec<Vec<f64>> = vec![vec![]; targets.len()];
    for _ in 0..rounds {
        for (k, target) in targets.iter().enumerate() {
            let (h, _) = load.run(target.address, 64, span, Some(half));
            paced[k].push(h.value_at_quantile(0.99) as f64);
        }
    }
    let status =
        future::block_on(frostgauge_gateway::admin::fetch(admin, "/status", Duration::from_secs(5)))?;
    let status: Value = serde_json::from_str(&status).map_err(|e| e.to_string())?;
    println!("longest batch of the deciding thread: {} ms", status["longest_batch_ms"]);
    let paced: Vec<f64> = paced.into_iter().map(median).collect();
    println!("p99 at {half:.0} requests a second over 64 connections, us: direct {:.0}, relay {:.0}, gateway {:.0}", paced[0], paced[1], paced[2]);
    let ratios: Vec<f64> =
        SIZES.iter().map(|c| figure(*c, "gateway", "per_s") / figure(*c, "relay", "per_s")).collect();
    println!(
        "gateway against relay: throughput {:.2} (1), {:.2} (64), {:.2} (512); p99 at half load {:.2}",
        ratios[0],
        ratios[1],
        ratios[2],
        paced[2] / paced[1]
    );
    drop((gateway, relay, servers, tokens));
    Ok(json!({
        "rows": rows, "throughput_of_relay": ratios, "half_load_per_s": half,
        "p99_at_half_us": { "direct": paced[0], "relay": paced[1], "gateway": paced[2] },
    }))
}
