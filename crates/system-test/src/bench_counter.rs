//! The counter measured against a bare loop of append and sync with the same groups, and against itself
//! without a log, in turns in one run.

use crate::generated_config::write_whole;
use crate::ports::some_ports;
use crate::process::Process;
use crate::run::Folder;
use async_executor::Executor;
use frostgauge_counter_core::{ClientCallsConfig, Operation};
use frostgauge_counter_service::client::{connect, Config};
use frostgauge_counter_service::write_ahead_log::{self, CommitOutcome, WriteAheadLog};
use frostgauge_net::{Closing, Pool};
use frostgauge_proto::counter::{Frame, Key};
use frostgauge_storage::{read, Disk, Storage};
use futures_lite::future;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections of the three sizes, each with one call out.
const SIZES: [usize; 3] = [1, 16, 400];
/// Threads of the callers.
const THREADS: usize = 2;
/// A sync that takes so much longer: this machine's disk may be far faster than those in use.
const STRETCH: Duration = Duration::from_millis(1);
/// Adds of the logs whose recovery is timed, and how many make a group.
const LOGS: [u64; 3] = [10_000, 100_000, 1_000_000];
const GROUP: u64 = 200;
const SECRET: &str = "bench";

struct Service {
    _process: Process,
    address: SocketAddr,
    admin: SocketAddr,
}

fn start(program: &Path, folder: &Path, name: &str, more: &[&str]) -> Result<Service, String> {
    let ([address, admin], _held) = some_ports()?;
    let config = folder.join(format!("{name}.jsonnet"));
    // No snapshots: the log alone is measured.
    let settings = json!({
        "listen": address.to_string(), "admin": admin.to_string(), "data": name, "keys": "keys",
        "limits": { "snapshot_bytes": 1u64 << 40, "target_ms": 1000 },
    });
    write_whole(&config, &settings.to_string(), false)?;
    let path = config.display().to_string();
    let mut args = vec!["counter-daemon", "--config", &path];
    args.extend(more);
    let process = Process::start(program, name, &args, &folder.join("log"))?;
    let end = Instant::now() + Duration::from_secs(10);
    while std::net::TcpStream::connect(address).is_err() {
        if Instant::now() > end {
            return Err(std::fs::read_to_string(folder.join("log")).unwrap_or_default());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(Service { _process: process, address, admin })
}

fn status(service: &Service) -> Result<Value, String> {
    let page = frostgauge_net::ask(service.admin, "GET", "/status", Duration::from_secs(5));
    serde_json::from_str(&future::block_on(page)?).map_err(|e| e.to_string())
}

fn miss(failed: &Mutex<u64>) {
    if let Ok(mut n) = failed.lock() {
        *n += 1;
    }
}

/// Adds a second and their latencies, microseconds, of so many callers; and adds and commits meanwhile.
fn load(
    executor: &Arc<Executor<'static>>,
    service: &Service,
    callers: usize,
    span: Duration,
) -> Result<(f64, Histogram<u64>, f64), String> {
    let before = status(service)?;
    let all =
        Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?));
    let failed = Arc::new(Mutex::new(0u64));
    let (ready, told) = async_channel::bounded::<()>(callers);
    let (go, started) = Closing::new();
    let tasks: Vec<_> = (0..callers)
        .map(|k| {
            let (all, failed, ready, started) = (all.clone(), failed.clone(), ready.clone(), started.clone());
            let calls = ClientCallsConfig { timeout: 0, retry_after: 0 };
            let key = Key::derive(SECRET.as_bytes());
            let config = Config { address: service.address, key, gateway: k as u16, source: None, calls };
            executor.spawn(async move {
                let pool = Pool::new(1, Duration::from_secs(1));
                let session = connect(pool, config, rand::random()).await;
                let _ = ready.send(()).await;
                started.wait().await;
                let Ok(mut session) = session else {
                    return miss(&failed);
                };
                let (began, mut seq, mut mine) = (Instant::now(), 0, vec![]);
                while began.elapsed() < span {
                    seq += 1;
                    let name = format!("{:016x}", seq * 7 % 1_000).into_bytes();
                    let add = Frame::Add { seq, amount: 1, ttl_ms: 60_000, timeout_us: 10_000_000, name };
                    let sent = Instant::now();
                    match session.request(&add).await {
                        Ok(Frame::Total { .. }) => mine.push(sent.elapsed().as_micros() as u64),
                        _ => miss(&failed),
                    }
                }
                if let Ok(mut all) = all.lock() {
                    mine.into_iter().for_each(|us| all.saturating_record(us.max(1)));
                }
            })
        })
        .collect();
    future::block_on(async {
        for _ in 0..callers {
            let _ = told.recv().await;
        }
    });
    let began = Instant::now();
    drop(go);
    future::block_on(async {
        for task in tasks {
            task.await;
        }
    });
    let took = began.elapsed().as_secs_f64();
    let (after, all) = (status(service)?, all.lock().map_err(|e| e.to_string())?.clone());
    let failed = failed.lock().map_or(0, |n| *n);
    if failed > 0 {
        return Err(format!("{failed} calls were not answered with a total"));
    }
    let grown = |what: &str| after[what].as_f64().unwrap_or(0.0) - before[what].as_f64().unwrap_or(0.0);
    Ok((all.len() as f64 / took, all, grown("adds") / grown("commits").max(1.0)))
}

/// Groups a second of a bare loop: so many bytes appended, then `fdatasync`.
fn bare(folder: &Path, bytes: usize, span: Duration, stretch: Duration) -> Result<f64, String> {
    let path = folder.join("bare");
    let work = || -> std::io::Result<f64> {
        let file = std::fs::File::create(&path)?;
        let (group, began, mut n) = (vec![7; bytes], Instant::now(), 0u64);
        while began.elapsed() < span {
            file.write_all_at(&group, n * bytes as u64)?;
            file.sync_data()?;
            if !stretch.is_zero() {
                std::thread::sleep(stretch);
            }
            n += 1;
        }
        Ok(n as f64 / began.elapsed().as_secs_f64())
    };
    let rate = work().map_err(|e| format!("{}: {e}", path.display()));
    let _ = std::fs::remove_file(&path);
    rate
}

fn add(gateway: u16, seq: u64) -> Operation {
    let name = format!("{:016x}", seq % 1_000).into_bytes();
    Operation::Add { gateway, epoch: 1, seq, amount: 1, ttl_ms: 86_400_000, name }
}

/// Time to open a log of so many adds, and bytes of each.
fn recovery(folder: &Path, adds: u64) -> Result<(f64, f64), String> {
    let data = folder.join(format!("recovery-{adds}"));
    let config = write_ahead_log::Config {
        max_segment_bytes: 8 << 20,
        max_counters: 1 << 20,
        keep_old_segments: false,
    };
    let (mut store, _) = WriteAheadLog::open(Disk::open_exclusive(&data).map_err(|e| e.to_string())?, config)
        .map_err(|r| r.to_string())?;
    store.commit(1, vec![Operation::Open { gateway: 0, incarnation: [1; 16] }]).map_err(|s| s.0)?;
    let mut seq = 0;
    while seq < adds {
        let group = (1..=GROUP).map(|k| add(0, seq + k)).collect();
        let given = store.commit(1, group).map_err(|s| s.0)?;
        if !given.iter().all(|g| matches!(g, CommitOutcome::Applied(_))) {
            return Err("an add was not taken".into());
        }
        seq += GROUP;
    }
    let bytes = store.bytes_written();
    drop(store);
    let began = Instant::now();
    let (store, found) = WriteAheadLog::open(Disk::open_exclusive(&data).map_err(|e| e.to_string())?, config)
        .map_err(|r| r.to_string())?;
    let took = began.elapsed().as_secs_f64();
    if found.replayed_records != adds + 1 {
        return Err(format!("{} records in place of {}", found.replayed_records, adds + 1));
    }
    let names = store.storage().list().map_err(|e| e.to_string())?;
    names.iter().try_for_each(|n| read(store.storage(), n).map(drop)).map_err(|e| e.to_string())?;
    let _ = std::fs::remove_dir_all(&data);
    Ok((took, bytes as f64 / adds as f64))
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Bytes of a group of so many adds.
fn group_bytes(adds: f64) -> usize {
    let records: Vec<_> = (1..=(adds.round() as u64).max(1))
        .map(|seq| frostgauge_counter_core::Record {
            index: seq,
            time_ms: 1,
            operation: add(0, seq),
            result: 1,
        })
        .collect();
    let mut out = vec![];
    write_ahead_log::format::encode_group(&records, &mut out);
    out.len()
}

/// Measures; prints a table and gives the figures as JSON. The files lie in `at`, or in a temporary folder.
///
/// # Errors
/// A process that does not start, a disk that does not do.
pub fn run(program: &Path, seconds: f64, rounds: usize) -> Result<Value, String> {
    let folder = Folder::new(None)?;
    let keys = folder.path().join("keys");
    std::fs::create_dir_all(&keys).map_err(|e| e.to_string())?;
    for k in 0..SIZES[SIZES.len() - 1] {
        write_whole(&keys.join(format!("{k}.key")), SECRET, true)?;
    }
    let executor = Arc::new(Executor::new());
    let (_stop, stopped) = Closing::new();
    for _ in 0..THREADS {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        std::thread::spawn(move || future::block_on(executor.run(stopped.wait())));
    }
    let on_disk = start(program, folder.path(), "disk", &[])?;
    let no_log = start(program, folder.path(), "memory", &["--no-log"])?;
    let stretch = STRETCH.as_micros().to_string();
    let slow = start(program, folder.path(), "slow", &["--stretch-us", &stretch])?;
    let span = Duration::from_secs_f64(seconds);
    let (mut rows, mut ratios) = (vec![], vec![]);
    println!(
        "{:>6}{:>12}{:>12}{:>12}{:>10}{:>10}{:>10}{:>14}{:>8}",
        "conns", "adds/s", "no log", "bare loop", "batch", "p50 us", "p99 us", "p99 no log", "ratio"
    );
    for callers in SIZES {
        let (mut disk, mut memory, mut loops, mut batches, mut share) =
            (vec![], vec![], vec![], vec![], vec![]);
        let (mut p50, mut p99, mut p99_memory) = (vec![], vec![], vec![]);
        for _ in 0..rounds {
            let (rate, h, batch) = load(&executor, &on_disk, callers, span)?;
            // The loop writes groups as large as the service's were in this very round.
            let groups = bare(folder.path(), group_bytes(batch), span, Duration::ZERO)?;
            let (rate_memory, h_memory, _) = load(&executor, &no_log, callers, span)?;
            disk.push(rate);
            loops.push(groups * batch);
            share.push(rate / (groups * batch));
            batches.push(batch);
            memory.push(rate_memory);
            p50.push(h.value_at_quantile(0.5) as f64);
            p99.push(h.value_at_quantile(0.99) as f64);
            p99_memory.push(h_memory.value_at_quantile(0.99) as f64);
        }
        let [disk, memory, loops, batch, p50, p99, p99_memory, ratio] =
            [disk, memory, loops, batches, p50, p99, p99_memory, share].map(median);
        println!(
            "{callers:>6}{disk:>12.0}{memory:>12.0}{loops:>12.0}{batch:>10.1}{p50:>10.0}{p99:>10.0}{p99_memory:>14.0}{ratio:>8.2}"
        );
        ratios.push(ratio);
        rows.push(json!({
            "connections": callers, "adds_per_s": disk, "without_log_per_s": memory, "bare_loop_per_s": loops,
            "batch": batch, "p50_us": p50, "p99_us": p99, "p99_without_log_us": p99_memory, "ratio": ratio,
        }));
    }
    let single: Vec<f64> = (0..rounds)
        .map(|_| bare(folder.path(), group_bytes(1.0), span, Duration::ZERO))
        .collect::<Result<_, _>>()?;
    let single = median(single);
    let most = rows.last().and_then(|r| r["adds_per_s"].as_f64()).unwrap_or(0.0);
    println!(
        "one sync an add: {single:.0} adds/s; with {} connections {:.1} times that",
        SIZES[SIZES.len() - 1],
        most / single
    );
    let mut slow_rows = vec![];
    let single_slow = bare(folder.path(), group_bytes(1.0), span, STRETCH)?;
    println!("each sync {} us longer; one sync an add: {single_slow:.0} adds/s", STRETCH.as_micros());
    for callers in SIZES {
        let (rate, h, batch) = load(&executor, &slow, callers, span)?;
        let loops = bare(folder.path(), group_bytes(batch), span, STRETCH)? * batch;
        let (p99, ratio, times) = (h.value_at_quantile(0.99), rate / loops, rate / single_slow);
        println!(
            "{callers:>6}{rate:>12.0} adds/s, bare loop {loops:.0}, batch {batch:.1}, p99 {p99} us, ratio {ratio:.2}, {times:.1} times one sync an add"
        );
        slow_rows.push(json!({
            "connections": callers, "adds_per_s": rate, "bare_loop_per_s": loops, "batch": batch,
            "p99_us": p99, "ratio": ratio, "times_one_sync_an_add": times,
        }));
    }
    let mut logs = vec![];
    for adds in LOGS {
        let (took, bytes) = recovery(folder.path(), adds)?;
        println!("a log of {adds} adds: {bytes:.0} bytes an add, opened in {:.0} ms", took * 1e3);
        logs.push(json!({ "adds": adds, "bytes_an_add": bytes, "opened_ms": took * 1e3 }));
    }
    drop((on_disk, no_log, slow));
    Ok(json!({
        "rows": rows, "of_bare_loop": ratios, "one_sync_an_add_per_s": single,
        "times_one_sync_an_add": most / single, "logs": logs, "slow": slow_rows,
    }))
}
