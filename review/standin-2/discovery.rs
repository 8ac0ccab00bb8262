//! Discovery's agent: the whole list, and watches that wait for changes.

use crate::record::Record;
use crate::server::Server;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Entry {
    id: String,
    address: SocketAddr,
    lifecycle: &'static str,
    zone: &'static str,
    started_ms: u64,
    /// Version in which it last changed.
    changed: u64,
}

struct State {
    version: u64,
    entries: Vec<Entry>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Each answer is written so many ms after it is due.
    slow_ms: Arc<AtomicU64>,
    /// It is down: calls are taken and dropped.
    down: Arc<AtomicBool>,
    /// Calls taken while it was down.
    dropped: Arc<AtomicU64>,
    record: Record,
}

impl Discovery {
    pub fn start(servers: &[Server], record: &Record) -> Discovery {
        Discovery::start_in(servers, &["building-a", "building-b", "building-c"], record)
    }

    /// The same; the servers stand in these zones in turn.
    pub fn start_in(servers: &[Server], zones: &[&'static str], record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery's address");
        let address = listener.local_addr().expect("discovery's address");
        let entry = |(k, s): (usize, &Server)| Entry {
            id: s.id.clone(),
            address: s.address,
            lifecycle: "up",
            zone: zones[k % zones.len()],
            started_ms: 0,
            changed: 41,
        };
        let state = State { version: 41, entries: servers.iter().enumerate().map(entry).collect() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let discovery = Discovery {
            address,
            state,
            slow_ms: Arc::default(),
            down: Arc::default(),
            dropped: Arc::default(),
            record: record.clone(),
        };
        let agent = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        discovery
    }

    /// The list as a gateway may have held it.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().expect("the list");
        list(&state, None)
    }

    /// Changes a server's state; watches that wait are answered at once. Returns when, ms.
    pub fn set(&self, id: &str, lifecycle: &'static str) -> f64 {
        let mut state = self.state.0.lock().expect("the list");
        state.version += 1;
        let version = state.version;
        for entry in state.entries.iter_mut().filter(|e| e.id == id) {
            entry.lifecycle = lifecycle;
            entry.changed = version;
        }
        let at = self.record.now();
        self.record.note_at(at, &format!("discovery has version {version}: {id} is {lifecycle}"));
        self.state.1.notify_all();
        at
    }

    /// Lets each answer be late by so many ms.
    pub fn be_slow(&self, ms: u64) {
        self.slow_ms.store(ms, Ordering::SeqCst);
        self.record.note(&format!("discovery answers {ms} ms late from now on"));
    }

    /// Takes it down, or brings it back.
    pub fn be_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.record.note(if down { "discovery is down" } else { "discovery is back" });
    }

    /// Calls taken while it was down.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf: Vec<u8> = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                    break end + 4;
                }
                let mut piece = [0; 4096];
                match stream.read(&mut piece) {
                    Ok(n) if n > 0 => buf.extend_from_slice(&piece[..n]),
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end);
            let number = |name: &str| {
                let rest = head.split_once(name)?.1;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            if self.drops("as it came") {
                continue;
            }
            let from = number("from=");
            self.wait(from, number("hold_ms=").unwrap_or(0));
            if self.drops("as it waited") {
                continue;
            }
            thread::sleep(Duration::from_millis(self.slow_ms.load(Ordering::SeqCst)));
            if self.drops("as its answer was under way") {
                continue;
            }
            let (body, version) = self.wait(from, 0);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            self.record.note(&format!("discovery wrote version {version} to the gateway"));
        }
    }

    /// Whether a call gets no answer, since discovery is down.
    fn drops(&self, when: &str) -> bool {
        let down = self.down.load(Ordering::SeqCst);
        if down {
            self.dropped.fetch_add(1, Ordering::SeqCst);
            self.record.note(&format!("discovery is down and drops a call {when}"));
        }
        down
    }

    fn wait(&self, from: Option<u64>, hold_ms: u64) -> (String, u64) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list");
        let end = Instant::now() + Duration::from_millis(hold_ms.min(60_000));
        while let Some(from) = from {
            let left = end.saturating_duration_since(Instant::now());
            if state.version > from || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).expect("the list").0;
        }
        (list(&state, from), state.version)
    }
}

fn list(state: &State, from: Option<u64>) -> String {
    let named = |e: &&Entry| from.map_or(e.lifecycle != "removed", |from| e.changed > from);
    let entry = |e: &Entry| {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"node-3c\",\"cell\":0,\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            e.id, e.address, e.zone, e.lifecycle, e.started_ms
        )
    };
    let entries: Vec<String> = state.entries.iter().filter(named).map(entry).collect();
    format!(
        "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
        state.version,
        from.is_none(),
        entries.join(",")
    )
}
