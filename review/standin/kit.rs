//! Stand-ins on loopback addresses: servers, discovery, clients, and the gateways' processes. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1i32, 0];
    // SOL_SOCKET and SO_LINGER of Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// What was sent, answered and run, one line each, with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(lock(&self.file), "{:>7} {}", self.ms(), text.as_ref());
    }
    /// To the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + (self.next() * (high - low + 1) as f64) as u64
    }
}

/// A message: its start line, fields (names in lower case) and content.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub first: Instant,
    pub whole: Instant,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |v| v)
    }
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
    /// The class, which is the first part of the path.
    pub fn class(&self) -> &str {
        self.path().trim_start_matches('/').split(['/', '?']).next().unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buf: Vec::new() }
    }
    pub fn to(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }
    fn more(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 << 10];
        let n = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..n]);
        Ok(n > 0)
    }
    /// The next message, or nothing at the end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let mut first = (!self.buf.is_empty()).then(Instant::now);
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.more()? {
                return Ok(None);
            }
            first.get_or_insert_with(Instant::now);
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|l| l.split_once(':'));
        let fields: BTreeMap<String, String> =
            pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
        let length = fields.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buf.len() < length {
            if !self.more()? {
                return Ok(None);
            }
        }
        let body = self.buf.drain(..length).collect();
        let whole = Instant::now();
        Ok(Some(Message { start, fields, body, first: first.unwrap_or(whole), whole }))
    }
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
    pub fn answer(&mut self, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
        let mut out =
            format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        out.extend_from_slice(body);
        self.write(&out)
    }
}

/// What a server does with a request.
pub enum Act {
    Answer(u16, String, Vec<u8>),
    /// The connection is reset.
    Reset,
    /// The connection is of no further use but stays open: these bytes go out and nothing more.
    Spoilt(Vec<u8>),
    /// These bytes go out again and again, until the connection ends or so many are written.
    Endless(Vec<u8>, u64),
}

pub struct Server {
    pub id: String,
    pub zone: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub started_ms: u64,
    record: Arc<Record>,
}

pub type Handler = Arc<dyn Fn(&Arc<Server>, &Message) -> Act + Send + Sync>;

impl Server {
    /// Starts a server on a free port.
    pub fn start(
        id: &str,
        zone: &str,
        cell: u32,
        started_ms: u64,
        record: &Arc<Record>,
        handler: Handler,
    ) -> Arc<Server> {
        let listener = TcpListener::bind((host(), 0)).expect("a server's port");
        let address = listener.local_addr().expect("address");
        let server = Arc::new(Server {
            id: id.to_owned(),
            zone: zone.to_owned(),
            cell,
            address,
            started_ms,
            record: record.clone(),
        });
        let this = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, handler) = (this.clone(), handler.clone());
                thread::spawn(move || this.connection(Connection::new(stream), &handler));
            }
        });
        server
    }

    fn connection(self: Arc<Self>, mut connection: Connection, handler: &Handler) {
        while let Ok(Some(request)) = connection.message() {
            if request.path().starts_with("/-/") {
                if connection.answer(200, "", b"{\"inflight\":1,\"queue\":0,\"latency_ms\":40}").is_err() {
                    return;
                }
                continue;
            }
            match handler(&self, &request) {
                Act::Answer(status, fields, body) => {
                    if connection.answer(status, &fields, &body).is_err() {
                        return;
                    }
                }
                Act::Reset => return reset_on_close(&connection.stream),
                Act::Endless(bytes, most) => {
                    let (began, mut written) = (Instant::now(), 0);
                    while written < most && connection.write(&bytes).is_ok() {
                        written += bytes.len() as u64;
                    }
                    let text = format!(
                        "server {} wrote {} MB of an endless answer in {} ms",
                        self.id,
                        written >> 20,
                        began.elapsed().as_millis()
                    );
                    return self.record.line(text);
                }
                Act::Spoilt(bytes) => {
                    let _ = connection.write(&bytes);
                    while matches!(connection.more(), Ok(true)) {}
                    return;
                }
            }
        }
    }

    pub fn entry(&self, lifecycle: &str) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m\",\"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.zone, self.cell, lifecycle, self.started_ms
        )
    }
}

/// Discovery: one list, its version, and how long each answer takes.
pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<(u64, Vec<String>)>,
    changed: Condvar,
    pub delay_ms: AtomicU64,
    /// Calls, and answers whose bytes were taken by a connection that was still open.
    pub calls: AtomicU64,
    pub record: Arc<Record>,
}

impl Discovery {
    pub fn start(entries: Vec<String>, record: Arc<Record>) -> Arc<Discovery> {
        let listener = TcpListener::bind((host(), 0)).expect("discovery's port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("address"),
            list: Mutex::new((41, entries)),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            record,
        });
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.connection(Connection::new(stream)));
            }
        });
        discovery
    }

    /// A new list.
    pub fn set(&self, entries: Vec<String>) {
        let mut list = lock(&self.list);
        *list = (list.0 + 1, entries);
        self.changed.notify_all();
    }

    pub fn whole(&self) -> String {
        let list = lock(&self.list);
        format!("{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}", list.0, list.1.join(","))
    }

    fn connection(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.message() {
            let call = self.calls.fetch_add(1, Ordering::Relaxed);
            let number = |name: &str| -> Option<u64> {
                let query = request.path().split_once('?')?.1;
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
            };
            if let Some(from) = number("from") {
                let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0));
                let mut list = lock(&self.list);
                while list.0 <= from && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    list = self.changed.wait_timeout(list, left).map_or_else(|e| e.into_inner().0, |r| r.0);
                }
            }
            sleep_ms(self.delay_ms.load(Ordering::Relaxed));
            let generation = lock(&self.list).0;
            let body = match number("from") {
                Some(from) if from >= generation => {
                    format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[]}}")
                }
                _ => self.whole(),
            };
            let written = connection.answer(200, "", body.as_bytes()).is_ok();
            self.record.line(format!(
                "discovery call {call} {} version {generation} written {written}",
                request.path()
            ));
            if !written {
                return;
            }
        }
    }
}

/// A gateway's process, started by the deploy file's command.
pub struct Gateway {
    child: Child,
    pub pid: i32,
    pub listen: SocketAddr,
}

pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills what was started, and ends: the case could not run.
pub fn abort(why: &str) -> ! {
    println!("the case could not run: {why}");
    for pid in lock(&PIDS).iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    std::process::exit(2);
}

/// Ends the case if it takes too long, or if a thread fails.
pub fn watch_over(seconds: u64) {
    std::panic::set_hook(Box::new(|info| abort(&info.to_string())));
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        abort("it took too long");
    });
}

/// A loopback address of this process's own, so that cases that run beside each other share no port.
pub fn host() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + a % 64, b, 1 + c % 254)
}

pub fn free_tcp() -> SocketAddr {
    TcpListener::bind((host(), 0)).and_then(|l| l.local_addr()).expect("a free port")
}

pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("run = ")).unwrap_or("");
    line.trim_start_matches("run = ").trim_matches('"').to_owned()
}

/// Starts a tier of gateways; `settings` gives the settings object of each number.
pub fn start_gateways(
    root: &Path,
    folder: &Path,
    discovery: &Discovery,
    count: usize,
    limits: &Limits,
    settings: impl Fn(usize) -> String,
) -> Vec<Gateway> {
    let udp: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((host(), 0)).expect("a free port")).collect();
    let peers: Vec<String> =
        udp.iter().map(|s| format!("\"{}\"", s.local_addr().expect("address"))).collect();
    drop(udp);
    let mut gateways = Vec::new();
    for k in 0..count {
        let (listen, name) = (free_tcp(), format!("n{k}"));
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"{:x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"peer_listen\":{},\"peers\":[{}],\"peers_all\":\"127.0.0.1:9\",\"known\":{},\"settings\":{}}}",
            discovery.address,
            unix_ms() + k as u64,
            limits.memory_mb,
            limits.sockets,
            peers[k],
            peers.join(","),
            discovery.whole(),
            settings(k)
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log");
        let mut command = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG of Linux: the process ends with the stand-ins, however they end.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", discovery.address.to_string())
            .env("NODE_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| abort(&e.to_string()));
        let pid = child.id() as i32;
        lock(&PIDS).push(pid);
        gateways.push(Gateway { child, pid, listen });
    }
    for gateway in &mut gateways {
        gateway.wait_ready();
    }
    gateways
}

impl Gateway {
    fn wait_ready(&mut self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Ok(mut connection) = Connection::to(self.listen) {
                let _ = connection.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
                if matches!(connection.message(), Ok(Some(m)) if m.status() == 200) {
                    return;
                }
            }
            sleep_ms(20);
        }
        abort("a gateway is not ready");
    }
    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
    /// Whether a check of its readiness is answered within a second.
    pub fn answers(to: SocketAddr) -> bool {
        let Ok(mut connection) = Connection::to(to) else { return false };
        let _ = connection.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
        matches!(connection.message(), Ok(Some(_)))
    }
    /// Ends the process and waits for it; whether it ended by itself after SIGTERM.
    pub fn end(&mut self) -> bool {
        unsafe { kill(self.pid, SIGTERM) };
        let end = Instant::now() + Duration::from_secs(6);
        while self.running() && Instant::now() < end {
            sleep_ms(20);
        }
        let ended = !self.running();
        let _ = self.child.kill();
        let _ = self.child.wait();
        ended
    }
}

/// A folder for configurations and logs.
pub fn temporary() -> PathBuf {
    let path = std::env::temp_dir().join(format!("frostgauge-review-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}

/// A client's request.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: String,
    pub post: bool,
    pub customer: u64,
    pub plan: String,
    pub spread: usize,
    pub first: usize,
    pub wait_ms: u64,
    pub more: String,
}

impl Ask {
    pub fn bytes(&self) -> Vec<u8> {
        let (method, body) = if self.post { ("POST", "{\"parcel\":7}") } else { ("GET", "") };
        let length = if self.post { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        format!(
            "{method} /{} HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {}\r\nX-Tariff: {}\r\nCookie: key={:016x}\r\nX-Remaining-Ms: {}\r\nX-Weight: units=1,spread={},first={}\r\n{length}{}\r\n{body}",
            self.class, self.id, self.plan, self.customer, self.wait_ms, self.spread, self.first, self.more
        )
        .into_bytes()
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    Answer(u16, Vec<u8>),
    /// The connection ended first.
    Broken,
    /// Nothing came by then.
    Nothing,
}

/// A client that keeps one connection to each gateway.
#[derive(Default)]
pub struct Client {
    kept: BTreeMap<SocketAddr, Connection>,
}

impl Client {
    /// Asks and waits up to half a second beyond the request's time. A kept connection that ends without a byte
    /// of the answer has the request sent once more on a new one.
    pub fn ask(&mut self, to: SocketAddr, ask: &Ask, record: &Record) -> Ended {
        record
            .line(format!("client sent {} {} {} to {to} waits {}", ask.id, ask.class, ask.plan, ask.wait_ms));
        let began = Instant::now();
        let ended = match self.kept.remove(&to) {
            Some(connection) => match self.on(connection, to, ask) {
                Ended::Broken => self.anew(to, ask),
                ended => ended,
            },
            None => self.anew(to, ask),
        };
        let told = match &ended {
            Ended::Answer(status, _) => status.to_string(),
            Ended::Broken => "broken".to_owned(),
            Ended::Nothing => "nothing".to_owned(),
        };
        record.line(format!("client got {} {told} after {} ms", ask.id, began.elapsed().as_millis()));
        ended
    }
    fn anew(&mut self, to: SocketAddr, ask: &Ask) -> Ended {
        match Connection::to(to) {
            Ok(connection) => self.on(connection, to, ask),
            Err(_) => Ended::Broken,
        }
    }
    fn on(&mut self, mut connection: Connection, to: SocketAddr, ask: &Ask) -> Ended {
        let wait = Duration::from_millis(ask.wait_ms + 600);
        let _ = connection.stream.set_read_timeout(Some(wait));
        if connection.write(&ask.bytes()).is_err() {
            return Ended::Broken;
        }
        match connection.message() {
            Ok(Some(answer)) => {
                if !answer.field("connection").eq_ignore_ascii_case("close") {
                    self.kept.insert(to, connection);
                }
                Ended::Answer(answer.status(), answer.body)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ended::Nothing,
            _ => Ended::Broken,
        }
    }
}

/// Ordinary customers: each of `count` clients sends a request each `every_ms`, to one of the gateways in turn.
pub fn customers(
    count: usize,
    every_ms: u64,
    gateways: Vec<SocketAddr>,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
    make: impl Fn(&mut Random, String, u64) -> Ask + Send + Sync + 'static,
    done: impl Fn(&Ask, &Ended, Instant) + Send + Sync + 'static,
) -> Vec<thread::JoinHandle<()>> {
    let (make, done) = (Arc::new(make), Arc::new(done));
    (0..count)
        .map(|k| {
            let (gateways, record, stop) = (gateways.clone(), record.clone(), stop.clone());
            let (make, done) = (make.clone(), done.clone());
            thread::spawn(move || {
                let (mut random, mut client) = (Random(k as u64 + 1), Client::default());
                sleep_ms(random.between(0, every_ms));
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let due = Instant::now()
                        + Duration::from_millis(random.between(every_ms / 2, every_ms * 3 / 2));
                    let ask = make(&mut random, format!("c{k}-{n}"), 0x1000 + k as u64);
                    let began = Instant::now();
                    let ended = client.ask(gateways[(k + n) % gateways.len()], &ask, &record);
                    done(&ask, &ended, began);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect()
}

/// Ends gateways and reports the verdict.
pub fn finish(record: &Record, mut gateways: Vec<Gateway>, folder: &Path, broken: &[String]) -> i32 {
    let mut crashed = 0;
    for (k, gateway) in gateways.iter_mut().enumerate() {
        if let Ok(Some(status)) = gateway.child.try_wait() {
            crashed += 1;
            let log = std::fs::read_to_string(folder.join(format!("n{k}.log"))).unwrap_or_default();
            let from = log.lines().count().saturating_sub(5);
            let last: Vec<&str> = log.lines().skip(from).collect();
            record.say(format!("gateway {k} ended by itself, {status}; its last lines: {last:#?}"));
        }
        let ended = gateway.end();
        record.line(format!("gateway {k} ended within 6 s of SIGTERM: {ended}"));
    }
    let _ = std::fs::remove_dir_all(folder);
    for text in broken.iter().take(10) {
        record.say(format!("BROKEN {text}"));
    }
    record.say(format!("broken: {}, gateways that ended by themselves: {crashed}", broken.len()));
    i32::from(!broken.is_empty() || crashed > 0)
}
