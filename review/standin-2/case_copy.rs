//! A client gives up early while its request is out; a bad client sends the id of that request, again and again the
//! moment it is turned away.

use crate::client::{read_answer, Ask};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Settings};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Requests that a client gives up, one after another.
const ROUNDS: usize = 5;
/// Work of a request, and how long its client waits before it goes, ms.
const WORK_MS: u64 = 400;
const GOES_AT_MS: u64 = 150;
/// When the bad client stops, well before the work is done, ms.
const STOPS_AT_MS: u64 = 330;

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Record::create(path);
    let arrivals = Arrivals::default();
    let start =
        |k: usize| Server::start(&format!("s-{k}"), Duration::from_millis(WORK_MS), &arrivals, &record);
    let servers: Vec<Server> = (0..6).map(start).collect();
    let discovery = Discovery::start(&servers, &record);
    let settings = Settings { base: (60.0, 200.0), ..Settings::default() };
    let mut tier = start_tier(&settings, &discovery, 1_024, &record);
    let gateway = &mut tier[0];
    let address = gateway.address;
    thread::sleep(Duration::from_millis(500));
    let mut played = 0;
    for round in 0..ROUNDS {
        let ask = Ask {
            class: "loss-report",
            content: 120,
            ..Ask::read(format!("c{round:015x}"), 100 + round as u64, 1_500)
        };
        let begun = Instant::now();
        let usual = {
            let (ask, record) = (ask.clone(), record.clone());
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("the gateway");
                let _ = stream.write_all(&ask.bytes());
                record.note(&format!("a client sends {}", ask.id));
                let wait = Duration::from_millis(if trouble { GOES_AT_MS } else { 3_000 });
                match read_answer(&mut stream, &mut Vec::new(), begun + wait) {
                    Ok(answer) => record.note(&format!("the client gets {} for {}", answer.status, ask.id)),
                    Err(end) => record.note(&format!("the client gives up {} and closes: {end:?}", ask.id)),
                }
            })
        };
        // The request is at a server before it is copied; one that is refused counts for nothing.
        let reached = || arrivals.lock().expect("arrivals").iter().any(|a| a.id == ask.id);
        while !reached() && begun.elapsed() < Duration::from_millis(GOES_AT_MS / 2) {
            thread::sleep(Duration::from_millis(2));
        }
        if !reached() {
            let _ = usual.join();
            continue;
        }
        played += 1;
        let copy = Ask { customer: 900, ..ask.clone() };
        while begun.elapsed() < Duration::from_millis(STOPS_AT_MS) {
            let Ok(mut stream) = TcpStream::connect(address) else { break };
            let _ = stream.write_all(&copy.bytes());
            record.note(&format!("the bad client sends a copy of {}", copy.id));
            match read_answer(&mut stream, &mut Vec::new(), begun + Duration::from_millis(STOPS_AT_MS)) {
                Ok(answer) => record.note(&format!("the bad client gets {} for {}", answer.status, copy.id)),
                Err(end) => record.note(&format!("the bad client goes with {}: {end:?}", copy.id)),
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = usual.join();
        thread::sleep(Duration::from_millis(1_000));
    }
    if let Some(end) = gateway.ended() {
        return Verdict::Broken(format!("the gateway ended: {end}"));
    }
    if played == 0 {
        return Verdict::NotRun("no request reached a server".to_owned());
    }
    let arrivals = arrivals.lock().expect("arrivals");
    let twice = (0..ROUNDS)
        .filter(|round| arrivals.iter().filter(|a| a.id == format!("c{round:015x}")).count() > 1)
        .count();
    let text = format!("{twice} of {played} requests that may not be repeated reached servers whole a second time while the first was out");
    record.note(&text);
    if twice > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}
