//! Discovery that has been slow goes down, drops the calls of the outage, and comes back with a server that drains.

use crate::client::{read_answer, Ask};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Gateway, Settings};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How late discovery's answers are, and for how long, ms.
const SLOW_MS: u64 = 500;
const SLOW_FOR_MS: u64 = 5_000;
/// How long it is down, ms, at least; it is back shortly after the next call that it drops.
const DOWN_MS: u64 = 6_000;
const SHORTLY_MS: u64 = 30;
/// The grace, and 50 ms on sockets.
const GRACE_MS: f64 = 550.0;
/// Times that this happens; each time another server drains.
const ROUNDS: usize = 2;
const SERVERS: usize = 8;
/// Clients at each gateway.
const CLIENTS: usize = 6;

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Record::create(path);
    let arrivals = Arrivals::default();
    let start = |k: usize| Server::start(&format!("s-{k}"), Duration::from_millis(40), &arrivals, &record);
    let servers: Vec<Server> = (0..SERVERS).map(start).collect();
    let discovery = Discovery::start(&servers, &record);
    let settings = Settings { base: (60.0, 200.0), ..Settings::default() };
    let mut tier = start_tier(&settings, &discovery, 1_024, &record);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = tier.iter().map(|g| g.address).collect();
    let clients: Vec<_> = (0..CLIENTS * tier.len())
        .map(|k| {
            let (address, stop, record) = (addresses[k % addresses.len()], stop.clone(), record.clone());
            thread::spawn(move || client(k, address, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let mut told: Vec<(String, f64)> = Vec::new();
    for round in 0..ROUNDS {
        if trouble {
            discovery.be_slow(SLOW_MS);
        }
        thread::sleep(Duration::from_millis(SLOW_FOR_MS));
        if trouble {
            discovery.be_down(true);
        }
        thread::sleep(Duration::from_millis(DOWN_MS));
        let (dropped, begun) = (discovery.dropped(), Instant::now());
        while trouble && discovery.dropped() == dropped && begun.elapsed() < Duration::from_millis(2_000) {
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(SHORTLY_MS));
        if trouble {
            discovery.be_slow(0);
            discovery.be_down(false);
        }
        let drains = format!("s-{}", SERVERS - 1 - round);
        told.push((drains.clone(), discovery.set(&drains, "draining")));
        thread::sleep(Duration::from_millis(3_000));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if let Some(end) = tier.iter_mut().find_map(Gateway::ended) {
        return Verdict::Broken(format!("a gateway ended: {end}"));
    }
    let (mut late, mut worst) = (0, 0.0f64);
    for arrival in arrivals.lock().expect("arrivals").iter() {
        let Some((_, at)) = told.iter().find(|(id, _)| *id == arrival.server) else { continue };
        if arrival.first > at + GRACE_MS {
            late += 1;
            worst = worst.max(arrival.first - at);
            let text = format!(
                "{} begins at {} {:.0} ms after its drain was told",
                arrival.id,
                arrival.server,
                arrival.first - at
            );
            record.note_at(arrival.first, &text);
        }
    }
    let text = format!(
        "{late} requests sent to servers that drain, the latest {worst:.0} ms after it was told (grace 500 ms + 50 ms)"
    );
    record.note(&text);
    if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}

/// Sends one request after another until told to stop.
fn client(k: usize, address: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut n = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let mut buf = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            n += 1;
            let ask = Ask::read(format!("o{k}-{n}"), 100 + k as u64, 1_500);
            if stream.write_all(&ask.bytes()).is_err() {
                break;
            }
            record.note(&format!("client {k} sends {}", ask.id));
            let until = Instant::now() + Duration::from_millis(2_500);
            match read_answer(&mut stream, &mut buf, until) {
                Ok(answer) => record.note(&format!("client {k} gets {} for {}", answer.status, ask.id)),
                Err(end) => {
                    record.note(&format!("client {k} gets nothing for {}: {end:?}", ask.id));
                    break;
                }
            }
            thread::sleep(Duration::from_millis(120));
        }
    }
}
