//! HTTP/1.1 for clients. One task a connection: a reader that accepts requests and a writer that answers
//! in their order (RFC 9112 section 9.3.2), joined by a bounded queue.
//!
//! The end of the client's stream means that the client has gone, also where it only closed its sending side:
//! its unanswered requests are reported as abandoned. The reader goes on reading while answers are
//! outstanding, to notice that at once.

use super::request::{parse, settings, Parsed};
use super::response;
use crate::core::CallId;
use crate::engine::Reply;
use crate::oauth::{Call, Caller, Handle, Message};
use crate::reply::HttpAnswer;
use crate::upstream::Forward;
use async_channel::{Receiver, Sender};
use async_io::Async;
use frostgauge_net::{or_closing, read_some, until, Closing, Place, Timed};
use frostgauge_proto::http::{BodyReader, Head, HeadReader, HttpError, Limits};
use frostgauge_settings::Loaded;
use futures_lite::AsyncWriteExt;
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long, and how many bytes, a closed connection is still read: unread bytes would make the kernel discard an
/// answer on its way.
const LINGER_TIME: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 64 << 10;

/// How long an idle connection is still read during a shutdown: over a round trip of any client.
const SHUTDOWN_READ_TIME: Duration = Duration::from_millis(300);

/// What the writer sends next.
enum Outgoing {
    /// 100 (Continue).
    Continue,
    /// An answer known at once.
    Answer { answer: HttpAnswer, to_head: bool, close: bool },
    /// The reply to a call.
    Reply { call_id: CallId, reply: Receiver<Reply>, scope: String, to_head: bool, close: bool },
}

/// Why the reader ended.
enum ReaderEnd {
    /// The client has gone.
    ClientGone,
    /// No further request is read; outstanding calls are answered first.
    LastRequest,
}

/// What a connection brings next.
enum NextHead {
    /// A request's head.
    Head(Head),
    /// Nothing: the connection may close.
    Close,
    /// Nothing: the client has gone.
    ClientGone,
}

struct Connection {
    stream: Async<TcpStream>,
    from: SocketAddr,
    handle: Handle,
    closing: Closing,
    /// Calls not yet answered, oldest first.
    outstanding: Mutex<VecDeque<CallId>>,
}

/// Serves a connection to its end.
pub async fn serve(
    stream: Async<TcpStream>,
    from: SocketAddr,
    place: Place,
    handle: Handle,
    closing: Closing,
) {
    let _place = place;
    let pipeline = handle.loaded().file.limits.pipeline;
    let connection = Connection { stream, from, handle, closing, outstanding: Mutex::default() };
    let (queue, outgoing) = async_channel::bounded(pipeline);
    let reader = async {
        match connection.read(queue).await {
            ReaderEnd::ClientGone => false,
            ReaderEnd::LastRequest => std::future::pending().await,
        }
    };
    let finished = futures_lite::future::or(connection.write(outgoing), reader).await;
    // Whatever ended it, nobody receives the answers that are still outstanding.
    let abandoned: Vec<CallId> =
        connection.outstanding.lock().map(|mut o| o.drain(..).collect()).unwrap_or_default();
    for call_id in abandoned {
        connection.handle.send(Message::ClientDisconnected(call_id)).await;
    }
    if finished {
        connection.linger().await;
    }
}

fn limits(loaded: &Loaded) -> Limits {
    let l = &loaded.file.limits;
    Limits { line: l.line_bytes, fields: l.fields, head: l.head_bytes, body: l.body_bytes }
}

fn unreadable(error: HttpError) -> HttpAnswer {
    HttpAnswer::problem(error.status(), "request", "The request cannot be read", &error.to_string())
}

fn request_timeout() -> HttpAnswer {
    HttpAnswer::problem(408, "slow", "The request did not come whole in time", "")
}

impl Connection {
    /// Accepts requests until the client goes, sends an unreadable one or says that it was the last.
    async fn read(&self, queue: Sender<Outgoing>) -> ReaderEnd {
        let mut buf = Vec::new();
        loop {
            let loaded = settings(&self.handle);
            let head = match self.next_head(&mut buf, &loaded).await {
                Ok(NextHead::Head(head)) => head,
                Ok(NextHead::Close) => return ReaderEnd::LastRequest,
                Ok(NextHead::ClientGone) => return ReaderEnd::ClientGone,
                Err(answer) => return self.reject(queue, answer, false).await,
            };
            let (to_head, close) = (head.method() == "HEAD", !head.persists());
            let framing = match head.request_framing().and_then(|f| BodyReader::new(f, &limits(&loaded))) {
                Ok(framing) => framing,
                Err(error) => return self.reject(queue, unreadable(error), to_head).await,
            };
            let parsed = parse(&loaded, &head);
            // Content is asked for only where the request may go on (RFC 9110 section 10.1.1).
            if head.expects_continue() && !framing.done() {
                match &parsed {
                    Ok(_) => drop(queue.send(Outgoing::Continue).await),
                    Err(answer) => return self.reject(queue, answer.clone(), to_head).await,
                }
            }
            let body = match self.body(&mut buf, framing, &loaded).await {
                Ok(Some(body)) => body,
                Ok(None) => return ReaderEnd::ClientGone,
                Err(answer) => return self.reject(queue, answer, to_head).await,
            };
            let close = close || self.closing.begun();
            let next = match parsed {
                Ok(parsed) => self.call(&loaded, head, parsed, body, close).await,
                Err(answer) => Some(Outgoing::Answer { answer, to_head, close }),
            };
            let Some(next) = next else { return ReaderEnd::ClientGone };
            if queue.send(next).await.is_err() {
                return ReaderEnd::ClientGone;
            }
            if close {
                drop(queue);
                return self.watch_for_close().await;
            }
        }
    }

    /// Rejects a request; the connection closes after the answer.
    async fn reject(&self, queue: Sender<Outgoing>, answer: HttpAnswer, to_head: bool) -> ReaderEnd {
        metrics::counter!("frostgauge_turned_away", "status" => answer.status.to_string()).increment(1);
        let _ = queue.send(Outgoing::Answer { answer, to_head, close: true }).await;
        ReaderEnd::LastRequest
    }

    /// Waits for the next head.
    ///
    /// # Errors
    /// The answer to a head that is malformed, over the limits or late.
    async fn next_head(&self, buf: &mut Vec<u8>, loaded: &Loaded) -> Result<NextHead, HttpAnswer> {
        let (limits, l) = (limits(loaded), &loaded.file.limits);
        let mut reader = HeadReader::default();
        let mut deadline = Instant::now() + Duration::from_millis(l.idle_ms);
        let mut begun = false;
        loop {
            if let Some(end) = reader.push(buf, &limits).map_err(unreadable)? {
                let head = Head::request(&buf[..end]).map_err(unreadable)?;
                buf.drain(..end);
                return Ok(NextHead::Head(head));
            }
            if !begun && !buf.is_empty() {
                begun = true;
                deadline = Instant::now() + Duration::from_millis(l.request_ms);
            }
            let read = async { Some(until(deadline, read_some(&mut &self.stream, buf)).await) };
            // A request that has begun is accepted also during a shutdown. An idle connection is closed, but not at
            // once: a request already on its way would be cut off without an answer.
            let read = if begun || self.closing.begun() {
                read.await
            } else {
                let read = or_closing(&self.closing, read).await;
                deadline = if read.is_none() { Instant::now() + SHUTDOWN_READ_TIME } else { deadline };
                if read.is_none() {
                    continue;
                }
                read
            };
            match read {
                None => return Ok(NextHead::Close),
                Some(Timed::Done(Ok(0) | Err(_))) => return Ok(NextHead::ClientGone),
                Some(Timed::Done(Ok(_))) => {}
                Some(Timed::Late) if begun => return Err(request_timeout()),
                // Idle: closed without an answer, unless calls are still outstanding on it.
                Some(Timed::Late) => {
                    if self.closing.begun() {
                        return Ok(NextHead::Close);
                    }
                    if self.outstanding.lock().is_ok_and(|o| o.is_empty()) {
                        return Ok(NextHead::Close);
                    }
                    deadline = Instant::now() + Duration::from_millis(l.idle_ms);
                }
            }
        }
    }

    /// Reads a request's content; `Ok(None)` when the client has gone.
    async fn body(
        &self,
        buf: &mut Vec<u8>,
        mut reader: BodyReader,
        loaded: &Loaded,
    ) -> Result<Option<Vec<u8>>, HttpAnswer> {
        let deadline = Instant::now() + Duration::from_millis(loaded.file.limits.request_ms);
        let mut body = Vec::new();
        loop {
            let taken = reader.push(buf, &mut body).map_err(unreadable)?;
            buf.drain(..taken);
            if reader.done() {
                return Ok(Some(body));
            }
            match until(deadline, read_some(&mut &self.stream, buf)).await {
                Timed::Done(Ok(0) | Err(_)) => return Ok(None),
                Timed::Done(Ok(_)) => {}
                Timed::Late => return Err(request_timeout()),
            }
        }
    }

    /// Submits a request to the engine.
    async fn call(
        &self,
        loaded: &Loaded,
        head: Head,
        parsed: Parsed,
        body: Vec<u8>,
        close: bool,
    ) -> Option<Outgoing> {
        let (call_id, to_head) = (self.handle.next_call_id(), head.method() == "HEAD");
        let route = &loaded.routes[parsed.route];
        let (class, units, scope) = (route.class, route.units, route.scope.clone());
        let (reply, answer) = async_channel::bounded(1);
        let call = Call {
            call_id,
            caller: Caller { token: parsed.token, class, units, scope: scope.as_str().into() },
            arrived: self.handle.clock.now(),
            timeout: parsed.timeout,
            is_retry: parsed.is_retry,
            forward: Forward { head, target: parsed.target, body, client: Some(self.from.ip()) },
            reply,
        };
        if let Ok(mut outstanding) = self.outstanding.lock() {
            outstanding.push_back(call_id);
        }
        let sent = self.handle.send(Message::Call(Box::new(call))).await;
        sent.then_some(Outgoing::Reply { call_id, reply: answer, scope, to_head, close })
    }

    /// Reads on after the last request, only to notice that the client goes.
    async fn watch_for_close(&self) -> ReaderEnd {
        let mut seen = Vec::new();
        while seen.len() < MAX_LINGER_BYTES {
            match read_some(&mut &self.stream, &mut seen).await {
                Ok(0) | Err(_) => return ReaderEnd::ClientGone,
                Ok(_) => {}
            }
        }
        ReaderEnd::LastRequest
    }

    /// Answers in order; true once all is answered and the connection may close in peace.
    async fn write(&self, outgoing: Receiver<Outgoing>) -> bool {
        let realm = settings(&self.handle).introspection().realm.clone();
        let mut out = Vec::new();
        while let Ok(next) = outgoing.recv().await {
            out.clear();
            let (mut last, mut answered) = (false, None);
            match next {
                Outgoing::Continue => out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"),
                Outgoing::Answer { answer, to_head, close } => {
                    last = close;
                    response::gateway(&mut out, &answer, to_head, close);
                }
                Outgoing::Reply { call_id, reply, scope, to_head, close } => {
                    let Ok(reply) = reply.recv().await else { return false };
                    last = close || self.closing.begun() && outgoing.is_empty();
                    match reply {
                        Reply::Server(answer) => response::server(&mut out, &answer, to_head, last),
                        Reply::Gateway(answer) => {
                            response::gateway(&mut out, &answer.http(&realm, &scope), to_head, last)
                        }
                    }
                    answered = Some(call_id);
                }
            }
            let patience = Duration::from_millis(settings(&self.handle).file.limits.request_ms);
            let written = until(Instant::now() + patience, (&mut &self.stream).write_all(&out)).await;
            if let (Some(call_id), Ok(mut outstanding)) = (answered, self.outstanding.lock()) {
                outstanding.retain(|t| *t != call_id);
            }
            if !matches!(written, Timed::Done(Ok(()))) {
                return false;
            }
            if last {
                return true;
            }
        }
        true
    }

    /// Closes the sending side, and reads a little of what still comes.
    async fn linger(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let drain = async {
            let mut seen = Vec::new();
            while seen.len() < MAX_LINGER_BYTES {
                if !matches!(read_some(&mut &self.stream, &mut seen).await, Ok(n) if n > 0) {
                    return;
                }
            }
        };
        let _ = until(Instant::now() + LINGER_TIME, drain).await;
    }
}
