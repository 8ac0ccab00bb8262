//! Clients that stop in the middle of a request and stay, as many as the gateway has permits for.

use crate::client::{read_answer, Ask, Ended};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Settings};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Clients that stop in the middle of a request.
const STOPPED: usize = 200;
/// Limit of the gateway's descriptors.
const SOCKETS: usize = 256;
/// Usual clients, one after another, each on a new connection.
const USUAL: usize = 20;
const EVERY_MS: u64 = 60;
/// How long each waits, ms.
const LEFT_MS: u64 = 1_250;
/// Half a second after its time, and 50 ms on sockets.
const LATE_MS: u64 = 550;

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Record::create(path);
    let arrivals = Arrivals::default();
    let start = |k: usize| Server::start(&format!("s-{k}"), Duration::from_millis(80), &arrivals, &record);
    let servers: Vec<Server> = (0..4).map(start).collect();
    let discovery = Discovery::start(&servers, &record);
    let settings = Settings { base: (60.0, 200.0), ..Settings::default() };
    let mut tier = start_tier(&settings, &discovery, SOCKETS, &record);
    let gateway = &mut tier[0];
    let address = gateway.address;
    thread::sleep(Duration::from_millis(1_000));
    let mut bad = Vec::new();
    if trouble {
        for k in 0..STOPPED {
            let mut stream = TcpStream::connect(address).expect("the gateway");
            let ask = Ask { class: "loss-report", content: 200, ..Ask::read(format!("bad-{k}"), 900, 1_500) };
            let bytes = ask.bytes();
            let _ = stream.write_all(&bytes[..bytes.len() - 100]);
            let record = record.clone();
            let opened = record.now();
            bad.push(thread::spawn(move || {
                let mut seen = Vec::new();
                let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
                let _ = stream.read_to_end(&mut seen);
                let text = String::from_utf8_lossy(&seen);
                record
                    .note(&format!("bad client {k} opened {opened:.1} ended with {:?}", text.lines().next()));
            }));
        }
        record.note(&format!("{STOPPED} clients have sent half a request each"));
    }
    let clients: Vec<_> = (0..USUAL)
        .map(|k| {
            thread::sleep(Duration::from_millis(EVERY_MS));
            let record = record.clone();
            thread::spawn(move || usual(k, address, &record))
        })
        .collect();
    let lost = clients.into_iter().map(|c| c.join().expect("a client")).filter(|kept| !kept).count();
    for client in bad {
        let _ = client.join();
    }
    if let Some(end) = gateway.ended() {
        return Verdict::Broken(format!("the gateway ended: {end}"));
    }
    let text = format!(
        "{lost} of {USUAL} requests of usual clients without a final answer half a second after their time"
    );
    record.note(&text);
    if lost > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}

/// Whether a usual client's request got its final answer, or was closed unread.
fn usual(k: usize, address: std::net::SocketAddr, record: &Record) -> bool {
    let mut stream = TcpStream::connect(address).expect("the gateway");
    let ask = Ask::read(format!("u-{k}"), 100 + k as u64 % 4, LEFT_MS);
    stream.write_all(&ask.bytes()).expect("the gateway");
    let sent = record.now();
    record.note_at(sent, &format!("usual client {k} sends {} on a new connection", ask.id));
    let until = Instant::now() + Duration::from_millis(LEFT_MS + LATE_MS);
    match read_answer(&mut stream, &mut Vec::new(), until) {
        Ok(answer) => {
            record.note(&format!(
                "usual client {k} gets {} for {} after {:.0} ms",
                answer.status,
                ask.id,
                record.now() - sent
            ));
            true
        }
        Err(Ended::Closed) => {
            record.note(&format!("usual client {k}: the connection is closed"));
            true
        }
        Err(Ended::Late) => {
            record.note(&format!(
                "usual client {k} has no answer for {} {} ms after it was sent",
                ask.id,
                LEFT_MS + LATE_MS
            ));
            false
        }
    }
}
