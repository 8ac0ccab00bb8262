//! Clients that send hundreds of requests at once and go.

use crate::client::{read_answer, Ask};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Settings};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
/// Requests that each sends at once.
const AT_ONCE: usize = 480;
const WORK_MS: u64 = 300;
/// An attempt that begins later than this after its client closed is a break, ms: 0.1 s, and 50 ms on sockets.
const GONE_MS: f64 = 150.0;
/// How long the run looks on after the clients have gone.
const LOOK_ON: Duration = Duration::from_secs(8);

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Record::create(path);
    let arrivals = Arrivals::default();
    let start =
        |k: usize| Server::start(&format!("s-{k}"), Duration::from_millis(WORK_MS), &arrivals, &record);
    let servers: Vec<Server> = (0..4).map(start).collect();
    let discovery = Discovery::start(&servers, &record);
    let settings = Settings { base: (60.0, 200.0), ..Settings::default() };
    let mut tier = start_tier(&settings, &discovery, 1_024, &record);
    let gateway = &mut tier[0];
    let address = gateway.address;
    thread::sleep(Duration::from_millis(1_000));
    let closed: Arc<Mutex<BTreeMap<usize, f64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|k| {
            let (record, closed) = (record.clone(), closed.clone());
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("the gateway");
                let _ = stream.set_nodelay(true);
                let ask = |n: usize| Ask {
                    class: "loss-report",
                    ..Ask::read(format!("g{k}-{n}"), 100 + k as u64, 1_500)
                };
                let bytes: Vec<u8> = (0..AT_ONCE).flat_map(|n| ask(n).bytes()).collect();
                if stream.write_all(&bytes).is_err() {
                    return;
                }
                record.note(&format!(
                    "client {k} has sent g{k}-0 to g{k}-{} at once, {} bytes",
                    AT_ONCE - 1,
                    bytes.len()
                ));
                if trouble {
                    drop(stream);
                    let at = record.now();
                    record.note_at(at, &format!("client {k} has closed its connection"));
                    closed.lock().expect("clients").insert(k, at);
                    return;
                }
                let until = Instant::now() + LOOK_ON;
                let mut buf = Vec::new();
                let mut n = 0;
                while let Ok(answer) = read_answer(&mut stream, &mut buf, until) {
                    record.note(&format!("client {k} gets {} for g{k}-{n}", answer.status));
                    n += 1;
                }
                // It stays to the end of the run.
                std::mem::forget(stream);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if trouble {
        thread::sleep(LOOK_ON);
    }
    if let Some(end) = gateway.ended() {
        return Verdict::Broken(format!("the gateway ended: {end}"));
    }
    let closed = closed.lock().expect("clients");
    let mut late = 0;
    let mut worst: f64 = 0.0;
    for arrival in arrivals.lock().expect("arrivals").iter() {
        let number = arrival.id[1..].split('-').next().and_then(|k| k.parse::<usize>().ok());
        let Some(at) = number.and_then(|k| closed.get(&k)) else { continue };
        if arrival.first > at + GONE_MS {
            late += 1;
            worst = worst.max(arrival.first - at);
            record.note_at(
                arrival.first,
                &format!("{} begins {:.0} ms after its client closed", arrival.id, arrival.first - at),
            );
        }
    }
    let text = format!(
        "{late} attempts began more than 100 ms + 50 ms after their client closed, the latest {worst:.0} ms"
    );
    record.note(&text);
    if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}
