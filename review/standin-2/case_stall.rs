//! A gateway that stands still while requests come in and a server begins to drain.

use crate::client::{read_answer, Ask};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Settings, SIGCONT, SIGSTOP};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Requests that come in while the gateway stands still, each from a client of its own.
const REQUESTS: usize = 24;
/// How long it stands still, ms.
const STALL_MS: u64 = 1_200;
/// When in that time the requests come, and when discovery has the drain, ms.
const REQUESTS_AT_MS: u64 = 150;
const DRAIN_AT_MS: u64 = 400;
/// The grace, and 50 ms on sockets.
const GRACE_MS: f64 = 550.0;
/// Times that this happens; each time another server drains.
const ROUNDS: usize = 3;
const SERVERS: usize = 8;

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Record::create(path);
    let arrivals = Arrivals::default();
    let start = |k: usize| Server::start(&format!("s-{k}"), Duration::from_millis(80), &arrivals, &record);
    let servers: Vec<Server> = (0..SERVERS).map(start).collect();
    let discovery = Discovery::start(&servers, &record);
    let settings = Settings { base: (60.0, 200.0), ..Settings::default() };
    let mut tier = start_tier(&settings, &discovery, 1_024, &record);
    let gateway = &mut tier[0];
    let mut streams: Vec<TcpStream> =
        (0..REQUESTS).map(|_| TcpStream::connect(gateway.address).expect("the gateway")).collect();
    let mut told: Vec<(String, f64)> = Vec::new();
    // Each client's connection is in use before it counts.
    ask_all(&mut streams, "w", &record);
    read_all(&mut streams, "w", &record);
    thread::sleep(Duration::from_millis(1_500));
    for round in 0..ROUNDS {
        let name = format!("r{round}");
        if trouble {
            record.note("the gateway stands still");
            gateway.signal(SIGSTOP);
        }
        thread::sleep(Duration::from_millis(REQUESTS_AT_MS));
        ask_all(&mut streams, &name, &record);
        thread::sleep(Duration::from_millis(DRAIN_AT_MS - REQUESTS_AT_MS));
        let drains = format!("s-{}", SERVERS - 1 - round);
        told.push((drains.clone(), discovery.set(&drains, "draining")));
        thread::sleep(Duration::from_millis(STALL_MS - DRAIN_AT_MS));
        if trouble {
            record.note("the gateway goes on");
            gateway.signal(SIGCONT);
        }
        read_all(&mut streams, &name, &record);
        thread::sleep(Duration::from_millis(1_500));
    }
    if let Some(end) = gateway.ended() {
        return Verdict::Broken(format!("the gateway ended: {end}"));
    }
    let arrivals = arrivals.lock().expect("arrivals");
    let mut worst: f64 = 0.0;
    let mut late = 0;
    for arrival in arrivals.iter() {
        let Some((_, at)) = told.iter().find(|(id, _)| *id == arrival.server) else { continue };
        if arrival.first > at + GRACE_MS {
            late += 1;
            worst = worst.max(arrival.first - at);
            record.note_at(
                arrival.first,
                &format!(
                    "{} begins at {} {:.0} ms after its drain was told",
                    arrival.id,
                    arrival.server,
                    arrival.first - at
                ),
            );
        }
    }
    let text = format!("{late} requests sent to servers that drain, the latest {worst:.0} ms after it was told (grace 500 ms + 50 ms)");
    record.note(&text);
    if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}

fn ask_all(streams: &mut [TcpStream], name: &str, record: &Record) {
    for (k, stream) in streams.iter_mut().enumerate() {
        let ask = Ask::read(format!("{name}-{k}"), 100 + k as u64 % 4, 2_500);
        let _ = stream.write_all(&ask.bytes());
        record.note(&format!("client {k} sends {}", ask.id));
    }
}

fn read_all(streams: &mut [TcpStream], name: &str, record: &Record) {
    let until = Instant::now() + Duration::from_millis(3_000);
    for (k, stream) in streams.iter_mut().enumerate() {
        match read_answer(stream, &mut Vec::new(), until) {
            Ok(answer) => record.note(&format!("client {k} gets {} for {name}-{k}", answer.status)),
            Err(end) => record.note(&format!("client {k} gets nothing for {name}-{k}: {end:?}")),
        }
    }
}
