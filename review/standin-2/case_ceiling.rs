//! Customers under a hard ceiling ask for much just as a cut between the gateways and the servers ends.

use crate::client::{read_answer, Ask};
use crate::discovery::Discovery;
use crate::gateway::{start_tier, Gateway, Settings};
use crate::record::{Record, Verdict};
use crate::server::{Arrivals, Server};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const SERVERS: usize = 18;
/// The plan `alargado`: 19 units a second, of which 1.1 s worth at once; the ceiling is 2.5 times that, its slack a tenth.
/// Beyond the quota a request earns something, as under the plan `full` of campus-vila-real.
const RATE: f64 = 19.0;
const BURST: f64 = 20.9;
const CEILING_RATE: f64 = 47.5;
const CEILING_BURST: f64 = 52.0;
const SLACK: f64 = 5.2;
/// The slack widens by what the ceiling's rate yields in this time, s.
const SLACK_TIME_S: f64 = 0.15;
/// How long the cut lasts, ms, and when the customer asks for much before its end.
const CUT_MS: u64 = 3_000;
const BEFORE_END_MS: u64 = 200;
/// Customers, one after another.
const ROUNDS: usize = 4;
/// Requests that a customer sends through each gateway, and again some time later; in the mean some 220 a second, as
/// customers far beyond their quotas do that add up to 55% to all traffic of 410 a second.
const FIRST: usize = 30;
const AGAIN: usize = 9;
const AGAIN_MS: u64 = 330;
/// Time between two requests, ms.
const PACE_MS: f64 = 2.5;

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Record::create(path);
    let arrivals = Arrivals::default();
    let start =
        |k: usize| Server::start_with(&format!("s-{k}"), Duration::from_millis(60), true, &arrivals, &record);
    let servers: Vec<Server> = (0..SERVERS).map(start).collect();
    // The gateways' own building, building-a, has no servers: a cut around it is one from all of them.
    let discovery = Discovery::start_in(&servers, &["building-b", "building-c"], &record);
    let settings = Settings {
        gateways: GATEWAYS,
        ceiling: (RATE, BURST, CEILING_RATE, CEILING_BURST, SLACK),
        beyond: (0.3, 0.0),
        ..Settings::default()
    };
    let mut gateways = start_tier(&settings, &discovery, 1_024, &record);
    let addresses: Vec<SocketAddr> = gateways.iter().map(|g| g.address).collect();
    // A gateway's part of a ceiling fills from its start on. Meanwhile there is some traffic of other customers, as
    // after each round.
    let others = |name: String| {
        for k in 0..60 {
            for address in &addresses {
                let id = format!("{name}-{k}-{}", address.port());
                let ask = Ask { spread: GATEWAYS, ..Ask::read(id, 100 + k % 20, 2_500) };
                let _ = client(ask, *address, &record);
            }
            thread::sleep(Duration::from_millis(50));
        }
    };
    others("w".to_owned());
    let mut customers: BTreeMap<String, u64> = BTreeMap::new();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for round in 0..ROUNDS as u64 {
        if trouble {
            record.note("the servers are cut off: connections neither stand nor are refused");
            let cuts: Vec<_> = servers.iter().collect();
            thread::scope(|scope| {
                for server in &cuts {
                    scope.spawn(|| server.cut_off());
                }
            });
        }
        thread::sleep(Duration::from_millis(CUT_MS - BEFORE_END_MS));
        let begun = Instant::now();
        let mut ask_all = |name: &str, count: usize| {
            let start = Instant::now();
            for k in 0..count {
                for (g, address) in addresses.iter().enumerate() {
                    let id = format!("{name}{round}-{g}-{k}");
                    let usual = Ask::read(id, 500 + round, 1_500);
                    let ask = Ask { class: "loss-report", plan: "alargado", spread: GATEWAYS, ..usual };
                    customers.insert(ask.id.clone(), ask.customer);
                    clients.push(client(ask, *address, &record));
                }
                let next = Duration::from_secs_f64(PACE_MS / 1e3 * (k + 1) as f64);
                thread::sleep(next.saturating_sub(start.elapsed()));
            }
        };
        ask_all("a", FIRST);
        thread::sleep(Duration::from_millis(BEFORE_END_MS).saturating_sub(begun.elapsed()));
        if trouble {
            servers.iter().for_each(Server::heal);
            record.note("the cut has ended");
        }
        thread::sleep(Duration::from_millis(AGAIN_MS).saturating_sub(begun.elapsed()));
        ask_all("b", AGAIN);
        thread::sleep(Duration::from_millis(500));
        others(format!("v{round}"));
        thread::sleep(Duration::from_millis(300));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(end) = gateways.iter_mut().find_map(Gateway::ended) {
        return Verdict::Broken(format!("a gateway ended: {end}"));
    }
    // The store of each customer: a try takes its unit once an attempt at it has reached a server whole.
    let mut reached: Vec<(f64, String, u64)> = Vec::new();
    for arrival in arrivals.lock().expect("arrivals").iter() {
        if let Some(customer) = customers.get(&arrival.id) {
            if !reached.iter().any(|(_, id, _)| *id == arrival.id) {
                reached.push((arrival.last, arrival.id.clone(), *customer));
            }
        }
    }
    reached.sort_by(|a, b| a.0.total_cmp(&b.0));
    let bound = -(SLACK + CEILING_RATE * SLACK_TIME_S);
    let mut lowest = f64::INFINITY;
    let mut broken = 0;
    for customer in 500..500 + ROUNDS as u64 {
        let (mut level, mut at, mut low) = (CEILING_BURST, 0.0, f64::INFINITY);
        for (time, _, _) in reached.iter().filter(|(_, _, c)| *c == customer) {
            level = (level + (time - at) / 1e3 * CEILING_RATE).min(CEILING_BURST) - 1.0;
            at = *time;
            low = f64::min(low, level);
        }
        record.note(&format!("customer {customer}: its store fell to {low:.1}, the bound is {bound:.1}"));
        broken += usize::from(low < bound);
        lowest = lowest.min(low);
    }
    let text = format!("{broken} of {ROUNDS} customers beyond their ceiling; the lowest store {lowest:.1}, the bound {bound:.1}");
    record.note(&text);
    if broken > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Kept(text)
    }
}

fn client(ask: Ask, address: SocketAddr, record: &Record) -> JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let _ = stream.write_all(&ask.bytes());
        record.note(&format!("client sends {}", ask.id));
        match read_answer(&mut stream, &mut Vec::new(), Instant::now() + Duration::from_secs(4)) {
            Ok(answer) => {
                let why =
                    if answer.status == 200 { "".into() } else { String::from_utf8_lossy(&answer.body) };
                record.note(&format!("client gets {} for {} {why}", answer.status, ask.id));
            }
            Err(end) => record.note(&format!("client gets nothing for {}: {end:?}", ask.id)),
        }
    })
}
