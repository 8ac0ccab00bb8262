//! Discovery that takes half a second for each answer; then a server begins to drain.

use crate::kit::*;
use crate::settings;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const GATEWAYS: usize = 3;
const SERVERS: usize = 12;
/// How long each answer of discovery takes beyond the time that its call may wait.
const SLOW_MS: u64 = 500;
/// Discovery becomes slow, the server begins to drain, and the run ends, ms after clients came.
const SLOW_AT_MS: u64 = 5_000;
const DRAIN_AT_MS: u64 = 10_000;
const END_MS: u64 = 35_000;
/// A change counts as told at the latest so long after discovery had it; the grace of a drain, and the slack of time
/// limits on sockets.
const TOLD_MS: u64 = 6_000;
const GRACE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    // Every request that reached a server: when its first byte came, the server and the id.
    let got: Arc<Mutex<Vec<(Instant, String, String)>>> = Arc::default();
    let handler: Handler = {
        let (got, record) = (got.clone(), record.clone());
        Arc::new(move |server, request| {
            let id = request.field("x-txn").to_owned();
            record.line(format!("server {} got {id} {}", server.id, request.class()));
            lock(&got).push((request.first, server.id.clone(), id.clone()));
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
    let list = |drains: Option<usize>| -> Vec<String> {
        let state = |k: usize| if drains == Some(k) { "draining" } else { "up" };
        servers.iter().enumerate().map(|(k, s)| s.entry(state(k))).collect()
    };
    let discovery = Discovery::start(list(None), record.clone());
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
    let addresses = gateways.iter().map(|g| g.listen).collect();
    let clients = customers(12, 200, addresses, &record, &stop, make, |_, _, _| {});
    sleep_ms(SLOW_AT_MS);
    if trouble {
        record.line(format!("discovery takes {SLOW_MS} ms for each answer from now on"));
        discovery.delay_ms.store(SLOW_MS, Ordering::Relaxed);
    }
    sleep_ms(DRAIN_AT_MS - SLOW_AT_MS);
    let drains = Instant::now();
    record.line("server s-0 begins to drain, and discovery has it");
    discovery.set(list(Some(0)));
    sleep_ms(END_MS - DRAIN_AT_MS);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut broken = Vec::new();
    for (first, server, id) in lock(&got).iter().filter(|(_, server, _)| server == "s-0") {
        let after = first.saturating_duration_since(drains).as_millis() as u64;
        if after > TOLD_MS + GRACE_MS + SLACK_MS {
            broken.push(format!("drain: {id} was sent to {server} {after} ms after discovery had its drain"));
        }
    }
    finish(&record, gateways, &temporary, &broken)
}
