//! Clients: one request at a time on a connection, answered before the next is read.

use crate::outside::{Call, Front, Handle};
use crate::seats::Seat;
use crate::stock::Taken;
use crate::upstream::Forward;
use async_io::Async;
use frostgauge_gateway::engine::{Message, Reply};
use frostgauge_gateway::reply::Final;
use frostgauge_hosting::times::{ACCEPT, CLOSING, FIRST, IDLE, LINGER, WHOLE, WRITE};
use frostgauge_net::{or_closing, read_some, until, Closing, Timed};
use frostgauge_platform::request::{self, Bad};
use frostgauge_proto::http::{
    write_response, Body, BodyReader, Framing, Head, HeadReader, HttpError, Limits,
};
use futures_lite::future::or;
use futures_lite::AsyncWriteExt;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Bounds on a request: content as the protocol has it, heads with room to spare.
const REQUEST: Limits = Limits { line: 8 << 10, fields: 64, head: 16 << 10, body: 64 << 10 };
/// Bytes read ahead while an answer is awaited, and how many such pieces more where there is room: as much as the
/// largest request.
const AHEAD: (usize, usize) = (4 << 10, 20);

/// Why a connection ends.
enum End {
    /// The client left, or there is nothing to say.
    Close,
    /// What it sent is turned away, and nothing further is read.
    Say(Bad),
}

impl From<HttpError> for End {
    fn from(error: HttpError) -> End {
        End::Say(Bad { status: error.status(), reason: "the request cannot be read" })
    }
}

struct Connection {
    stream: Async<TcpStream>,
    seat: Seat,
    handle: Handle,
    closing: Closing,
    buf: Vec<u8>,
    /// What was read ahead beyond the first piece, of the bytes that may be held for all clients.
    ahead: Vec<Taken>,
    used: bool,
    opened: Instant,
}

/// Serves a connection to its end.
pub async fn serve(stream: Async<TcpStream>, seat: Seat, handle: Handle, closing: Closing) {
    let mut connection = Connection {
        stream,
        seat,
        handle,
        closing,
        buf: Vec::new(),
        ahead: Vec::new(),
        used: false,
        opened: Instant::now(),
    };
    loop {
        match connection.one().await {
            Ok(true) => {}
            Ok(false) => return connection.part().await,
            Err(End::Close) => return,
            Err(End::Say(bad)) => {
                tracing::debug!(status = bad.status, reason = bad.reason, "turned away");
                let mut out = Vec::new();
                own(&mut out, bad.status, None, true, bad.reason);
                if connection.write(&out).await.is_ok() {
                    connection.linger().await;
                }
                return;
            }
        }
    }
}

/// An answer of the gateway's own.
fn own(out: &mut Vec<u8>, status: u16, retry_after_us: Option<u64>, close: bool, text: &str) {
    let wait = retry_after_us.filter(|w| *w > 0).map(|w| format!("{:.3}", w as f64 / 1e6));
    let wait = wait.as_ref().map(|w| ("retry-after", w.as_bytes()));
    let end = close.then_some(("connection", &b"close"[..]));
    write_response(out, status, wait.into_iter().chain(end), Body::Whole(text.as_bytes()));
}

/// The library's final answer in the platform's words: 429 and 503 say that nothing has run or that trying again
/// does no harm, anything else promises nothing.
fn word(answer: &Final) -> (u16, Option<u64>) {
    match answer {
        Final::Refused { why: frostgauge::Why::Unsound, .. } => (400, None),
        Final::Refused { why: frostgauge::Why::Quota | frostgauge::Why::Ceiling, retry_after } => {
            (429, Some(*retry_after))
        }
        Final::Refused { retry_after, .. } => (503, Some(*retry_after)),
        _ => (502, None),
    }
}

impl Connection {
    /// One request and its answer; whether another may follow.
    async fn one(&mut self) -> Result<bool, End> {
        let head = self.head().await?;
        let framing = head.request_framing()?;
        if head.method() == "GET" && head.target() == "/-/ready" {
            let ready = self.handle.shared.ready.load(Ordering::Relaxed) && !self.closing.begun();
            let mut out = Vec::new();
            let close = self.closing.begun() || !head.persists() || framing != Framing::Length(0);
            own(&mut out, if ready { 200 } else { 503 }, None, close, "");
            self.write(&out).await?;
            return Ok(!close);
        }
        let mut reader = BodyReader::new(framing, &REQUEST)?;
        let front: Arc<Front> = self.handle.shared.clone();
        let asked = request::read(&front.site, &head, framing != Framing::Length(0)).map_err(End::Say)?;
        let (body, held) = self.body(&mut reader, framing).await?;
        if self.closing.since().is_some_and(|since| Instant::now() > since + ACCEPT) {
            return self.turn_away_late().await;
        }
        let arrived = self.handle.clock.now();
        let Some(open) = front.open(asked.id.clone()) else {
            return Err(End::Say(Bad { status: 409, reason: "a request with this id is open" }));
        };
        self.used = true;
        let persists = head.persists();
        let (reply, answer) = async_channel::bounded(1);
        let call = Call {
            ticket: self.handle.ticket(),
            arrived,
            patience: asked.patience,
            repeat: asked.repeat,
            caller: asked,
            forward: Arc::new(Forward { head, body }),
            reply,
        };
        let ticket = call.ticket;
        if !self.handle.send(Message::Call(Box::new(call))).await {
            return Err(End::Close);
        }
        let left = async {
            self.left().await;
            None
        };
        let got = or(async { answer.recv().await.ok() }, left).await;
        drop(held);
        let Some(reply) = got else {
            // Before the engine hears of it: attempts that have not begun end by this.
            drop(answer);
            self.handle.send(Message::Left(ticket)).await;
            return Err(End::Close);
        };
        // What was read ahead is owed its answer too.
        let close = !persists || self.closing.begun() && self.buf.is_empty();
        let mut out = Vec::new();
        let mut room = None;
        match reply {
            Reply::Node(node) => {
                room = front.bytes.take(node.body.len());
                if room.is_some() {
                    let kind = node.head.one("content-type").map(|k| ("content-type", k.as_bytes()));
                    let end = close.then_some(("connection", &b"close"[..]));
                    out.reserve(node.body.len() + 160);
                    write_response(&mut out, 200, kind.into_iter().chain(end), Body::Whole(&node.body));
                } else {
                    // Guards against answers that hundreds of clients do not read: memory ends before the seats do.
                    own(&mut out, 502, None, close, "no room for the answer");
                }
            }
            Reply::Own(answer) => {
                let (status, wait) = word(&answer);
                own(&mut out, status, wait, close, answer.reason());
            }
        }
        let written = self.write(&out).await;
        // The id is free once the answer is out, not before.
        drop((open, room));
        written?;
        Ok(!close)
    }

    /// Refuses a request that was read ahead and whose turn comes when it could not be answered before the end.
    async fn turn_away_late(&mut self) -> Result<bool, End> {
        self.used = true;
        let close = self.buf.is_empty();
        let mut out = Vec::new();
        own(&mut out, 503, None, close, "the process closes");
        self.write(&out).await?;
        Ok(!close)
    }

    /// Waits until the client leaves: while an answer is awaited, the connection is read on.
    async fn left(&mut self) {
        self.ahead.truncate(self.buf.len() / AHEAD.0);
        loop {
            while self.buf.len() >= AHEAD.0 * (1 + self.ahead.len()) {
                let more = self.handle.shared.bytes.take(AHEAD.0).filter(|_| self.ahead.len() < AHEAD.1);
                match more {
                    Some(more) => self.ahead.push(more),
                    None => std::future::pending().await,
                }
            }
            match read_some(&mut &self.stream, &mut self.buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// How long a request that has begun may take to come whole, as of now.
    fn whole(&self) -> Instant {
        if self.used {
            Instant::now() + WHOLE
        } else {
            self.opened + FIRST
        }
    }

    /// A limit for a request that has begun, once the process closes. Guards against one that comes whole so late that
    /// its answer would be due when the process has ended.
    fn before_end(&self, limit: Instant) -> Instant {
        self.closing.since().map_or(limit, |since| limit.min(since + ACCEPT))
    }

    /// What a client is told whose request did not come whole in time.
    fn late(&self) -> End {
        End::Say(if self.closing.begun() {
            Bad { status: 503, reason: "the process closes" }
        } else {
            Bad { status: 408, reason: "the request did not come whole in time" }
        })
    }

    /// The next head.
    async fn head(&mut self) -> Result<Head, End> {
        let mut reader = HeadReader::default();
        let mut begun = !self.buf.is_empty();
        let mut deadline = match (self.used, begun) {
            (false, _) | (true, true) => self.whole(),
            (true, false) => Instant::now() + IDLE,
        };
        let mut closing = self.closing.begun();
        if closing && !begun {
            deadline = Instant::now() + CLOSING;
        }
        loop {
            if let Some(end) = reader.push(&self.buf, &REQUEST)? {
                let head = Head::request(&self.buf[..end])?;
                self.buf.drain(..end);
                return Ok(head);
            }
            if !begun && !self.buf.is_empty() {
                begun = true;
                deadline = self.whole();
            }
            let limit = if begun { self.before_end(deadline) } else { deadline };
            let idle = self.seat.idle(self.used);
            let (stream, buf) = (&self.stream, &mut self.buf);
            let read = async { Some(until(limit, read_some(&mut &*stream, buf)).await) };
            let asked = async {
                idle.asked().await;
                Some(Timed::Late)
            };
            let wait = or(read, asked);
            let got = if closing { wait.await } else { or_closing(&self.closing, wait).await };
            drop(idle);
            match got {
                // The process closes: it goes on reading for a while, since a request may be on its way.
                None => {
                    closing = true;
                    if !begun {
                        deadline = Instant::now() + CLOSING;
                    }
                }
                Some(Timed::Done(Ok(0) | Err(_))) => return Err(End::Close),
                Some(Timed::Done(Ok(_))) => {}
                Some(Timed::Late) if begun => return Err(self.late()),
                Some(Timed::Late) => return Err(End::Close),
            }
        }
    }

    /// The content, and what it takes of the bytes that may be held for all clients.
    async fn body(
        &mut self,
        reader: &mut BodyReader,
        framing: Framing,
    ) -> Result<(Vec<u8>, Option<Taken>), End> {
        let bytes = match framing {
            Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
            _ => REQUEST.body as usize,
        };
        if bytes == 0 {
            return Ok((Vec::new(), None));
        }
        let held = self.handle.shared.bytes.take(bytes);
        if held.is_none() {
            return Err(End::Say(Bad { status: 503, reason: "no room for the content" }));
        }
        let deadline = self.whole();
        let mut body = Vec::new();
        loop {
            let taken = reader.push(&self.buf, &mut body)?;
            self.buf.drain(..taken);
            if reader.done() {
                return Ok((body, held));
            }
            let (limit, closing) = (self.before_end(deadline), self.closing.begun());
            let (stream, buf) = (&self.stream, &mut self.buf);
            let read = async { Some(until(limit, read_some(&mut &*stream, buf)).await) };
            match if closing { read.await } else { or_closing(&self.closing, read).await } {
                // The process closes: there is another limit now.
                None => {}
                Some(Timed::Done(Ok(0) | Err(_))) => return Err(End::Close),
                Some(Timed::Done(Ok(_))) => {}
                Some(Timed::Late) => return Err(self.late()),
            }
        }
    }

    async fn write(&self, out: &[u8]) -> Result<(), End> {
        match until(Instant::now() + WRITE, (&mut &self.stream).write_all(out)).await {
            Timed::Done(Ok(())) => Ok(()),
            _ => Err(End::Close),
        }
    }

    /// Closes after an answer that said so, once the client has closed or after a while. What it sends all the same
    /// stays unread, which it is told by a reset: guards against a request that is read and thrown away, which its
    /// client would take for one that may have run.
    async fn part(self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let _ = until(Instant::now() + LINGER.0, self.stream.readable()).await;
    }

    /// Closes the sending side, and reads a little of what still comes.
    async fn linger(self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let drain = async {
            let (mut seen, mut all) = (Vec::new(), 0);
            while all < LINGER.1 {
                seen.clear();
                match read_some(&mut &self.stream, &mut seen).await {
                    Ok(n) if n > 0 => all += n,
                    _ => return,
                }
            }
        };
        let _ = until(Instant::now() + LINGER.0, drain).await;
    }
}
