//! A keyed request whose first server leaves the list while its repeat is out.

use crate::kit::*;
use crate::settings;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const ROOMS: [&str; 3] = ["room-a", "room-b", "room-c"];
/// Servers of a room at the start: nine in all.
const OF_A_ROOM: usize = 3;
/// Time between two drains, and how many there are.
const EVERY_MS: u64 = 6_000;
const DRAINS: usize = 6;
/// A drain is told so long after it began; the list then leaves the server out.
const NOTICE_MS: u64 = 900;
/// The connection under the request is reset so long after the drain began, at the server that drains and at the
/// server that gets the repeat.
const RESETS_MS: [u64; 2] = [500, 1_000];
/// The request reaches its first server so long after that server began to drain.
const INTO_DRAIN_MS: u64 = 200;

#[derive(Clone, Debug)]
struct Attempt {
    server: String,
    room: String,
    whole: Instant,
    reset: bool,
}

/// The request of a drain: its first server began to drain at `since`.
struct Trial {
    id: String,
    since: Instant,
}

struct World {
    record: Arc<Record>,
    servers: Mutex<BTreeMap<String, Arc<Server>>>,
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
    /// A drain is due: the next keyed request's first server is the one.
    due: AtomicBool,
    trial: Mutex<Option<Trial>>,
    drains: AtomicUsize,
    discovery: Mutex<Option<Arc<Discovery>>>,
}

impl World {
    fn entries(&self) -> Vec<String> {
        lock(&self.servers).values().map(|s| s.entry("up")).collect()
    }

    fn tell(&self) {
        if let Some(discovery) = &*lock(&self.discovery) {
            discovery.set(self.entries());
        }
    }

    fn add(self: &Arc<Self>, id: &str, room: usize, started_ms: u64) {
        let world = self.clone();
        let handler: Handler = Arc::new(move |server, request| world.handle(server, request));
        let server = Server::start(id, ROOMS[room], room as u32, started_ms, &self.record, handler);
        lock(&self.servers).insert(id.to_owned(), server);
    }

    fn handle(self: &Arc<Self>, server: &Arc<Server>, request: &Message) -> Act {
        let (id, keyed) = (request.field("x-txn").to_owned(), request.class() == "loss-notice");
        self.record.line(format!("server {} {} got {} {}", server.id, server.zone, id, request.class()));
        let number = {
            let mut all = lock(&self.attempts);
            let list = all.entry(id.clone()).or_default();
            list.push(Attempt {
                server: server.id.clone(),
                room: server.zone.clone(),
                whole: request.whole,
                reset: false,
            });
            list.len()
        };
        if keyed && number == 1 && self.due.swap(false, Ordering::SeqCst) {
            self.drain(server, &id);
        }
        let since = lock(&self.trial).as_ref().filter(|t| t.id == id).map(|t| t.since);
        if let Some((since, at)) = since.zip(RESETS_MS.get(number - 1)) {
            thread::sleep((since + Duration::from_millis(*at)).saturating_duration_since(Instant::now()));
            lock(&self.attempts).entry(id.clone()).and_modify(|list| list[number - 1].reset = true);
            self.record.line(format!("server {} resets the connection under {id}, which runs", server.id));
            return Act::Reset;
        }
        sleep_ms(if keyed { 60 } else { 30 });
        self.record.line(format!("server {} answers {id}", server.id));
        Act::Answer(
            200,
            "X-Pressure: {\"latency_ms\":50,\"queue\":0}\r\nX-Allowance-Used: 20\r\n".to_owned(),
            id.into_bytes(),
        )
    }

    /// The server has begun to drain; a successor comes, and both are told later.
    fn drain(self: &Arc<Self>, server: &Arc<Server>, id: &str) {
        let since = Instant::now() - Duration::from_millis(INTO_DRAIN_MS);
        *lock(&self.trial) = Some(Trial { id: id.to_owned(), since });
        self.record.line(format!("server {} began to drain {INTO_DRAIN_MS} ms ago", server.id));
        let (world, server) = (self.clone(), server.clone());
        thread::spawn(move || {
            sleep_ms(NOTICE_MS - INTO_DRAIN_MS);
            lock(&world.servers).remove(&server.id);
            world.record.line(format!("list without {}", server.id));
            world.tell();
            sleep_ms(1_500);
            let n = world.drains.fetch_add(1, Ordering::SeqCst);
            let room = ROOMS.iter().position(|r| *r == server.zone).unwrap_or(0);
            world.add(&format!("s-new{n}"), room, unix_ms());
            world.tell();
        });
    }

    /// Attempts at servers that do not share what their predecessors remember.
    fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (id, list) in lock(&self.attempts).iter() {
            for (k, attempt) in list.iter().enumerate() {
                let other = list[..k].iter().find(|before| before.reset && before.room != attempt.room);
                if let Some(before) = other {
                    let later = attempt.whole.saturating_duration_since(before.whole).as_millis();
                    broken.push(format!(
                        "duplicate: {id} may have run at {} in {} and was sent {later} ms later to {} in {}",
                        before.server, before.room, attempt.server, attempt.room
                    ));
                }
            }
        }
        broken
    }
}

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let world = Arc::new(World {
        record: record.clone(),
        servers: Mutex::default(),
        attempts: Mutex::default(),
        due: AtomicBool::new(false),
        trial: Mutex::default(),
        drains: AtomicUsize::new(0),
        discovery: Mutex::default(),
    });
    for k in 0..ROOMS.len() * OF_A_ROOM {
        world.add(&format!("s-{k}"), k % ROOMS.len(), 0);
    }
    let discovery = Discovery::start(world.entries(), record.clone());
    *lock(&world.discovery) = Some(discovery.clone());
    let temporary = temporary();
    let limits = Limits { memory_mb: 64, sockets: 512 };
    let gateways =
        start_gateways(root, &temporary, &discovery, GATEWAYS, &limits, |me| settings::douro(me, GATEWAYS));
    let stop = Arc::new(AtomicBool::new(false));
    let make = |random: &mut Random, id: String, customer: u64| {
        let keyed = random.next() < 0.36;
        Ask {
            more: if keyed { format!("Idempotency-Key: {id}\r\n") } else { String::new() },
            id,
            class: if keyed { "loss-notice" } else { "claim-status" }.to_owned(),
            post: keyed,
            customer,
            plan: "alargado".to_owned(),
            spread: GATEWAYS,
            first: 0,
            wait_ms: if keyed { 2_500 } else { 2_000 },
        }
    };
    let addresses = gateways.iter().map(|g| g.listen).collect();
    let clients = customers(12, 200, addresses, &record, &stop, make, |_, _, _| {});
    sleep_ms(5_000);
    for _ in 0..DRAINS {
        world.due.store(trouble, Ordering::SeqCst);
        sleep_ms(EVERY_MS);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    finish(&record, gateways, &temporary, &world.broken())
}
