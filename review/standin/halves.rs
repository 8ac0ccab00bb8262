//! Bad clients that stop in the middle of a request and stay, beside usual clients that open a connection each.

use crate::kit::*;
use crate::settings;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const SERVERS: usize = 12;
/// Bad clients at the one gateway, when they come and when they have gone, ms after clients came.
const BAD: usize = 300;
const COME_MS: u64 = 4_000;
const GO_MS: u64 = 24_000;
const END_MS: u64 = 28_000;
/// A request has its answer at the latest so long after its time, or it is lost; the slack of time limits.
const LOST_MS: u64 = 500 + 50;

/// Sends half a request and waits for what it is owed, and does the same again, until told to stop.
fn bad_client(
    k: usize,
    to: std::net::SocketAddr,
    stop: &AtomicBool,
    answered: &AtomicUsize,
    record: &Record,
) {
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut connection) = Connection::to(to) else { continue };
        let ask = Ask {
            id: format!("half{k}-{n}"),
            class: "loss-report".to_owned(),
            post: true,
            customer: 0x9000 + k as u64,
            plan: "base".to_owned(),
            spread: GATEWAYS,
            first: 0,
            wait_ms: 1_500,
            more: String::new(),
        };
        let bytes = ask.bytes();
        let _ = connection.write(&bytes[..bytes.len() - 6]);
        let began = Instant::now();
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(8)));
        let got = connection.message().ok().flatten().map_or(0, |m| m.status());
        record.line(format!("bad client {} got {got} after {} ms", ask.id, began.elapsed().as_millis()));
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let handler: Handler = {
        let record = record.clone();
        Arc::new(move |server, request| {
            let id = request.field("x-txn").to_owned();
            record.line(format!("server {} got {id} {}", server.id, request.class()));
            sleep_ms(80);
            record.line(format!("server {} answers {id}", server.id));
            Act::Answer(200, "X-Allowance-Used: 20\r\n".to_owned(), id.into_bytes())
        })
    };
    let zones = ["building-a", "building-b", "building-c"];
    let start = |k: usize| {
        Server::start(&format!("s-{k}"), zones[k % 3], (k / 4) as u32, 0, &record, handler.clone())
    };
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(start).collect();
    let discovery = Discovery::start(servers.iter().map(|s| s.entry("up")).collect(), record.clone());
    let temporary = temporary();
    let limits = Limits { memory_mb: 64, sockets: 256 };
    let gateways =
        start_gateways(root, &temporary, &discovery, GATEWAYS, &limits, |me| settings::campus(me, GATEWAYS));
    let (stop, stop_bad) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let bad_answered = Arc::new(AtomicUsize::new(0));
    let to = gateways[0].listen;
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    // Usual clients: each opens a connection, asks once, and closes it.
    let mut clients = Vec::new();
    for k in 0..10u64 {
        let (stop, record, broken) = (stop.clone(), record.clone(), broken.clone());
        clients.push(thread::spawn(move || {
            for n in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let report = (k + n) % 2 == 0;
                let ask = Ask {
                    id: format!("c{k}-{n}"),
                    class: if report { "loss-report" } else { "claim-read" }.to_owned(),
                    post: report,
                    customer: 0x1000 + k,
                    plan: "alargado".to_owned(),
                    spread: GATEWAYS,
                    first: 0,
                    wait_ms: if report { 1_500 } else { 2_500 },
                    more: String::new(),
                };
                let began = Instant::now();
                let ended = Client::default().ask(to, &ask, &record);
                let after = began.elapsed().as_millis() as u64;
                if !matches!(ended, Ended::Answer(..)) || after > ask.wait_ms + LOST_MS {
                    let text =
                        format!("lost: {} waits {} ms, {ended:?} after {after} ms", ask.id, ask.wait_ms);
                    lock(&broken).push(text);
                }
                sleep_ms(300);
            }
        }));
    }
    sleep_ms(COME_MS);
    let mut bad = Vec::new();
    for k in 0..if trouble { BAD } else { 0 } {
        let (stop, answered, record) = (stop_bad.clone(), bad_answered.clone(), record.clone());
        bad.push(thread::spawn(move || bad_client(k, to, &stop, &answered, &record)));
    }
    sleep_ms(GO_MS - COME_MS);
    stop_bad.store(true, Ordering::Relaxed);
    sleep_ms(END_MS - GO_MS);
    stop.store(true, Ordering::Relaxed);
    for thread in clients.into_iter().chain(bad) {
        let _ = thread.join();
    }
    record.say(format!("halves of requests that were answered: {}", bad_answered.load(Ordering::Relaxed)));
    let broken = lock(&broken).clone();
    finish(&record, gateways, &temporary, &broken)
}
