//! A server whose answer to one request never ends: interim answers, one behind the other.

use crate::kit::*;
use crate::settings;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const GATEWAYS: usize = 3;
const SERVERS: usize = 12;
/// When the one answer is spoilt, and when the run ends, ms after clients came.
const SPOILT_AT_MS: u64 = 5_000;
const END_MS: u64 = 30_000;
/// A request has its answer at the latest so long after its time, or it is lost; the slack of time limits.
const LOST_MS: u64 = 500 + 50;

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    // The next request that reaches a server gets the spoilt answer.
    let spoil = Arc::new(AtomicBool::new(false));
    let handler: Handler = {
        let (spoil, record) = (spoil.clone(), record.clone());
        Arc::new(move |server, request| {
            let id = request.field("x-txn").to_owned();
            record.line(format!("server {} got {id} {}", server.id, request.class()));
            if spoil.swap(false, Ordering::SeqCst) {
                record.say(format!("server {} answers {id} with interim answers that never end", server.id));
                return Act::Endless(b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000), 3 << 30);
            }
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
    let limits = Limits { memory_mb: 64, sockets: 512 };
    let gateways =
        start_gateways(root, &temporary, &discovery, GATEWAYS, &limits, |me| settings::campus(me, GATEWAYS));
    let stop = Arc::new(AtomicBool::new(false));
    let make = |random: &mut Random, id: String, customer: u64| {
        let report = random.next() < 0.44;
        Ask {
            id,
            class: if report { "loss-report" } else { "claim-read" }.to_owned(),
            post: report,
            customer,
            plan: "alargado".to_owned(),
            spread: GATEWAYS,
            first: 0,
            wait_ms: if report { 1_500 } else { 2_500 },
            more: String::new(),
        }
    };
    let addresses: Vec<_> = gateways.iter().map(|g| g.listen).collect();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let done = {
        let broken = broken.clone();
        move |ask: &Ask, ended: &Ended, began: Instant| {
            let after = began.elapsed().as_millis() as u64;
            if !matches!(ended, Ended::Answer(..)) || after > ask.wait_ms + LOST_MS {
                lock(&broken)
                    .push(format!("lost: {} waits {} ms, {ended:?} after {after} ms", ask.id, ask.wait_ms));
            }
        }
    };
    let checks = {
        let (addresses, record, stop): (Vec<_>, _, _) =
            (Vec::clone(&addresses), record.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let answers: Vec<bool> = addresses.iter().map(|to| Gateway::answers(*to)).collect();
                record.line(format!("checks of readiness answered: {answers:?}"));
                sleep_ms(1_000);
            }
        })
    };
    let clients = customers(12, 200, addresses, &record, &stop, make, done);
    sleep_ms(SPOILT_AT_MS);
    spoil.store(trouble, Ordering::SeqCst);
    sleep_ms(END_MS - SPOILT_AT_MS);
    stop.store(true, Ordering::Relaxed);
    for client in clients.into_iter().chain([checks]) {
        let _ = client.join();
    }
    let broken = lock(&broken).clone();
    finish(&record, gateways, &temporary, &broken)
}
