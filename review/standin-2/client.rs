//! Clients: requests as the protocol has them, and reading of answers.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub plan: &'static str,
    pub customer: u64,
    /// How long the client waits, ms.
    pub left_ms: u64,
    /// Number of gateways in the customer's set, which begins with number 0.
    pub spread: usize,
    /// Length of the content.
    pub content: usize,
}

impl Ask {
    pub fn read(id: String, customer: u64, left_ms: u64) -> Ask {
        Ask { id, class: "claim-read", plan: "base", customer, left_ms, spread: 3, content: 0 }
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "claim-read" { "GET" } else { "POST" };
        let mut out = format!(
            "{method} /{class}/17 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {id}\r\nX-Tariff: {plan}\r\n\
             Cookie: key={customer:016x}\r\nX-Remaining-Ms: {left}\r\nX-Weight: units=1,spread={spread},first=0\r\n",
            class = self.class,
            id = self.id,
            plan = self.plan,
            customer = self.customer,
            left = self.left_ms,
            spread = self.spread,
        )
        .into_bytes();
        if method == "POST" {
            out.extend(format!("Content-Length: {}\r\n", self.content).bytes());
        }
        out.extend(b"\r\n");
        if method == "POST" {
            out.extend(std::iter::repeat_n(b'x', self.content));
        }
        out
    }
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Why no answer was read.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    /// The connection was closed or reset.
    Closed,
    /// The time was over.
    Late,
}

/// Reads an answer; `buf` keeps what belongs to the next.
pub fn read_answer(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Result<Answer, Ended> {
    loop {
        if let Some(answer) = take_answer(buf) {
            return Ok(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Ended::Late);
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut piece = [0; 16 << 10];
        match stream.read(&mut piece) {
            Ok(0) => return Err(Ended::Closed),
            Ok(n) => buf.extend_from_slice(&piece[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => return Err(Ended::Closed),
        }
    }
}

fn take_answer(buf: &mut Vec<u8>) -> Option<Answer> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
    let length: usize = length.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
    if buf.len() < end + length {
        return None;
    }
    let body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Some(Answer { status, body })
}
