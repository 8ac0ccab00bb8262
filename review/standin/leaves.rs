//! A client that sends much at once and goes, and a spoilt answer for its first request.

use crate::kit::*;
use crate::settings;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const SERVERS: usize = 12;
/// Clients that go, and the time between two.
const GO: usize = 12;
const EVERY_MS: u64 = 2_500;
/// Requests that such a client sends at once.
const AT_ONCE: usize = 700;
/// The spoilt answer comes so long after the request.
const SPOILT_MS: u64 = 300;
/// An attempt that begins later than this after the close is a break; the slack of time limits.
const LATE_MS: u64 = 100 + 50;

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    // When each request's attempts began, and when clients closed.
    let begun: Arc<Mutex<BTreeMap<String, Vec<Instant>>>> = Arc::default();
    let handler: Handler = {
        let (begun, record) = (begun.clone(), record.clone());
        Arc::new(move |server, request| {
            let id = request.field("x-txn").to_owned();
            record.line(format!("server {} got {id} {}", server.id, request.class()));
            let number = {
                let mut all = lock(&begun);
                let list = all.entry(id.clone()).or_default();
                list.push(request.first);
                list.len()
            };
            if id.starts_with("go") && number == 1 {
                sleep_ms(SPOILT_MS);
                record.line(format!("server {} spoils its answer to {id}", server.id));
                return Act::Spoilt(b"\x00\x01 noise \r\n\r\n".to_vec());
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
    let ask = |id: String, customer: u64| Ask {
        id,
        class: "claim-read".to_owned(),
        post: false,
        customer,
        plan: "alargado".to_owned(),
        spread: GATEWAYS,
        first: 0,
        wait_ms: 2_500,
        more: String::new(),
    };
    let addresses: Vec<_> = gateways.iter().map(|g| g.listen).collect();
    let clients = customers(
        12,
        300,
        addresses.clone(),
        &record,
        &stop,
        move |_, id, customer| ask(id, customer),
        |_, _, _| {},
    );
    sleep_ms(4_000);
    let mut closed = BTreeMap::new();
    for k in 0..GO {
        let mut bytes = Vec::new();
        for n in 0..if trouble { AT_ONCE } else { 1 } {
            bytes.extend(ask(format!("go{k}-{n}"), 0x7000 + k as u64).bytes());
        }
        if let Ok(mut connection) = Connection::to(addresses[k % GATEWAYS]) {
            let _ = connection.stream.set_write_timeout(Some(Duration::from_secs(1)));
            let sent = connection.write(&bytes).is_ok();
            sleep_ms(20);
            drop(connection);
            closed.insert(format!("go{k}"), Instant::now());
            record.line(format!("client go{k} sent {} bytes at once ({sent}) and closed", bytes.len()));
        }
        sleep_ms(EVERY_MS);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut broken = Vec::new();
    for (id, list) in lock(&begun).iter() {
        let Some(at) = closed.get(id.split('-').next().unwrap_or("")) else { continue };
        for (k, first) in list.iter().enumerate() {
            let after = first.saturating_duration_since(*at).as_millis() as u64;
            if after > LATE_MS {
                broken
                    .push(format!("lost: attempt {k} of {id} began {after} ms after its client had closed"));
            }
        }
    }
    finish(&record, gateways, &temporary, &broken)
}
