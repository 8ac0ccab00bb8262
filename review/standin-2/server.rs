//! A server: takes a request on a connection once its last byte has arrived, runs it, answers, and reads the next.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that reached a server whole.
#[derive(Clone)]
pub struct Arrival {
    pub server: String,
    pub id: String,
    /// When its first and its last byte arrived, ms.
    pub first: f64,
    pub last: f64,
    /// The time that the gateway states, ms.
    pub told_ms: Option<i64>,
}

/// All requests that reached any server.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    descriptor: i32,
    /// Cut off: nothing is accepted.
    cut: Arc<AtomicBool>,
    /// Connections that fill the queue while it is cut off.
    fill: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server whose requests take this long each.
    pub fn start(id: &str, work: Duration, arrivals: &Arrivals, record: &Record) -> Server {
        Server::start_with(id, work, false, arrivals, record)
    }

    /// The same; `once`: each connection is closed after one answer, which says so.
    pub fn start_with(id: &str, work: Duration, once: bool, arrivals: &Arrivals, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a server's address");
        let address = listener.local_addr().expect("a server's address");
        let (name, arrivals, record) = (id.to_owned(), arrivals.clone(), record.clone());
        let in_hand = Arc::new(AtomicUsize::new(0));
        let descriptor = listener.as_raw_fd();
        let cut = Arc::new(AtomicBool::new(false));
        let cut_off = cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                while cut_off.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                }
                let (name, arrivals, record) = (name.clone(), arrivals.clone(), record.clone());
                let in_hand = in_hand.clone();
                thread::spawn(move || serve(stream, &name, (work, once), &in_hand, &arrivals, &record));
            }
        });
        Server { id: id.to_owned(), address, descriptor, cut, fill: Mutex::default() }
    }

    /// Cuts the server off from new connections: they neither stand nor are refused. The queue of its listener is made
    /// short and filled, so that the kernel drops what asks for a connection.
    pub fn cut_off(&self) {
        self.cut.store(true, Ordering::SeqCst);
        // SAFETY: the listener lives as long as the process.
        unsafe { listen(self.descriptor, 0) };
        let mut fill = self.fill.lock().expect("the queue");
        for _ in 0..3 {
            if let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(60)) {
                fill.push(stream);
            }
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.fill.lock().expect("the queue").clear();
        // SAFETY: as above.
        unsafe { listen(self.descriptor, 1_024) };
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    (work, once): (Duration, bool),
    in_hand: &AtomicUsize,
    arrivals: &Arrivals,
    record: &Record,
) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    let mut first = 0.0;
    loop {
        let mut piece = [0; 16 << 10];
        let whole = loop {
            if let Some(whole) = whole(&buf) {
                break whole;
            }
            let began = buf.is_empty();
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => {
                    if began {
                        first = record.now();
                    }
                    buf.extend_from_slice(&piece[..n]);
                }
                _ => return,
            }
        };
        let last = record.now();
        let head = String::from_utf8_lossy(&buf[..whole.0]).into_owned();
        buf.drain(..whole.1);
        let field = |name: &str| {
            let named = |l: &str| {
                l.split_once(':')
                    .filter(|(n, _)| n.eq_ignore_ascii_case(name))
                    .map(|(_, v)| v.trim().to_owned())
            };
            head.lines().find_map(named)
        };
        if head.starts_with("GET /-/") {
            let report = format!(
                "{{\"inflight\":{},\"latency_ms\":{}}}",
                in_hand.load(Ordering::SeqCst),
                work.as_millis()
            );
            if answer(&mut stream, 200, once, &report).is_err() || once {
                return;
            }
            continue;
        }
        let Some(id) = field("x-txn") else {
            let _ = answer(&mut stream, 404, false, "");
            continue;
        };
        let told_ms = field("x-remaining-ms").and_then(|v| v.parse().ok());
        record.note_at(last, &format!("server {name} runs {id} first byte {first:.1} told {told_ms:?} ms"));
        arrivals.lock().expect("arrivals").push(Arrival {
            server: name.to_owned(),
            id: id.clone(),
            first,
            last,
            told_ms,
        });
        in_hand.fetch_add(1, Ordering::SeqCst);
        thread::sleep(work);
        in_hand.fetch_sub(1, Ordering::SeqCst);
        let written = answer(&mut stream, 200, once, &format!("{id} by {name}"));
        let how = if written.is_ok() { "answers" } else { "cannot answer" };
        record.note(&format!("server {name} {how} {id}"));
        if written.is_err() || once {
            return;
        }
    }
}

/// Lengths of a whole request's head and of all of it.
fn whole(buf: &[u8]) -> Option<(usize, usize)> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
    let length: usize = length.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
    (buf.len() >= end + length).then_some((end, end + length))
}

fn answer(stream: &mut TcpStream, status: u16, last: bool, body: &str) -> std::io::Result<()> {
    let end = if last { "Connection: close\r\n" } else { "" };
    let text = format!("HTTP/1.1 {status} x\r\n{end}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}
