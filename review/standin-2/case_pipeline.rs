//! Clients that send many requests at once on a connection.

use crate::client::{read_answer, Ask, Ended};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Settings};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Clients, each with a connection and a customer of its own.
const CLIENTS: usize = 4;
/// Requests that each sends at once.
const AT_ONCE: usize = 16;
/// How long each request's client waits, ms.
const LEFT_MS: u64 = 1_250;
/// Work of a request, ms.
const WORK_MS: u64 = 200;
/// A final answer later than this after the client's time is lost: half a second, and 50 ms on sockets.
const LATE_MS: f64 = 550.0;
/// The time that an attempt tells its server is at most what is left, with this slack, ms: 0.15 s, and 50 ms on sockets.
const TOLD_SLACK_MS: f64 = 200.0;

struct Outcome {
    id: String,
    sent: f64,
    /// When its final answer was read, and its status; none if the connection ended or it never came.
    answered: Option<(f64, u16)>,
}

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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|k| {
            let record = record.clone();
            thread::spawn(move || client(k, address, trouble, &record))
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    if let Some(end) = gateway.ended() {
        return Verdict::Broken(format!("the gateway ended: {end}"));
    }
    let sent: BTreeMap<&str, f64> = outcomes.iter().map(|o| (o.id.as_str(), o.sent)).collect();
    let due = |sent: f64| sent + LEFT_MS as f64;
    let late = outcomes.iter().filter(|o| o.answered.is_none_or(|(at, _)| at > due(o.sent) + LATE_MS));
    let lost = late.count();
    let arrivals = arrivals.lock().expect("arrivals");
    let after =
        arrivals.iter().filter(|a| sent.get(&*a.id).is_some_and(|sent| a.first > due(*sent) + 50.0)).count();
    let overstated = arrivals.iter().filter(|a| {
        let left = sent.get(&*a.id).map(|sent| due(*sent) - a.last);
        left.zip(a.told_ms).is_some_and(|(left, told)| told as f64 > left.max(0.0) + TOLD_SLACK_MS)
    });
    let overstated = overstated.count();
    let all = outcomes.len();
    let text = format!(
        "{all} requests; {lost} without a final answer half a second after their time; {after} sent to a server after \
         their client's time; {overstated} with more time told to the server than was left"
    );
    record.note(&text);
    if lost > 0 || overstated > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}

fn client(number: usize, address: std::net::SocketAddr, at_once: bool, record: &Record) -> Vec<Outcome> {
    let mut stream = TcpStream::connect(address).expect("the gateway");
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    let ask = |k: usize| {
        let read = Ask::read(format!("p{number}-{k}"), 100 + number as u64, LEFT_MS);
        if k % 2 == 0 {
            read
        } else {
            Ask { class: "loss-report", content: 40, ..read }
        }
    };
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut read = |stream: &mut TcpStream, outcome: &mut Outcome| -> Result<(), Ended> {
        // Read on well beyond its time, to see when its answer comes if it does.
        let answer = read_answer(stream, &mut buf, Instant::now() + Duration::from_secs(8))?;
        let at = record.now();
        record.note_at(
            at,
            &format!("client {number} gets {} for {} sent {:.1}", answer.status, outcome.id, outcome.sent),
        );
        if answer.status == 200 && !answer.body.starts_with(format!("{} ", outcome.id).as_bytes()) {
            record.note_at(at, "this is not the answer made for it");
        }
        outcome.answered = Some((at, answer.status));
        Ok(())
    };
    if at_once {
        let bytes: Vec<u8> = (0..AT_ONCE).flat_map(|k| ask(k).bytes()).collect();
        stream.write_all(&bytes).expect("the gateway");
        let sent = record.now();
        record.note_at(
            sent,
            &format!("client {number} has sent p{number}-0 to p{number}-{} at once", AT_ONCE - 1),
        );
        outcomes.extend((0..AT_ONCE).map(|k| Outcome { id: ask(k).id, sent, answered: None }));
        for outcome in &mut outcomes {
            if read(&mut stream, outcome).is_err() {
                break;
            }
        }
    } else {
        for k in 0..AT_ONCE {
            stream.write_all(&ask(k).bytes()).expect("the gateway");
            let mut outcome = Outcome { id: ask(k).id, sent: record.now(), answered: None };
            record.note_at(outcome.sent, &format!("client {number} sends {}", outcome.id));
            let ended = read(&mut stream, &mut outcome).is_err();
            outcomes.push(outcome);
            if ended {
                break;
            }
        }
    }
    outcomes
}
