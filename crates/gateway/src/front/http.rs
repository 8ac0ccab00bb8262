//! The HTTP/1.1 front. Each connection has one task, in which a reader accepts requests and a writer sends the responses in
//! the order of the requests (RFC 9112 section 9.3.2); a bounded queue joins them.
//!
//! The end of the client's stream counts as a disconnect, even if the client closed only its sending side: its unanswered
//! requests are reported as abandoned. To notice this at once, the reader goes on reading while responses are outstanding.

use super::input::Input;
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
use frostgauge_proto::http::{BodyReader, Head, HeadReader, HttpError, Limits, SkipEnd, SkippedRequest};
use frostgauge_settings::Loaded;
use futures_lite::future::or;
use futures_lite::AsyncWriteExt;
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a connection is still read after its sending side was closed: with unread bytes the kernel would reset the
/// connection, and the client might lose a response that is still in transit.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Largest number of bytes that are read and discarded on a connection that accepts no further request.
const MAX_LINGER_BYTES: usize = 64 << 10;

/// How long an idle connection is still read during a shutdown; it exceeds the round-trip time of any client, so that a
/// request already in transit arrives.
const SHUTDOWN_READ_TIME: Duration = Duration::from_millis(300);

/// An entry of the queue from the reader to the writer.
enum Outgoing {
    /// The interim response 100 (Continue).
    Continue,
    /// An answer that needs no call, such as a rejection of a malformed request.
    Answer { answer: HttpAnswer, to_head: bool, close: bool },
    /// The reply to a call, awaited by the writer.
    Reply { call_id: CallId, reply: Receiver<Reply>, scope: String, to_head: bool, close: bool },
}

/// Why the reader ended.
enum ReaderEnd {
    /// The client has disconnected.
    ClientGone,
    /// No further request is read; the connection closes once the outstanding calls are answered.
    LastRequest,
}

/// The result of waiting for a request's head.
enum NextHead {
    /// The head of the next request.
    Head(Head),
    /// No request within the time allowed, or a shutdown: the connection closes.
    Close,
    /// The client has disconnected.
    ClientGone,
}

/// A client's connection; its reader and its writer share it.
struct Connection {
    stream: Async<TcpStream>,
    from: SocketAddr,
    handle: Handle,
    closing: Closing,
    /// Calls that are not yet answered, oldest first.
    outstanding: Mutex<VecDeque<CallId>>,
}

/// Serves a client's connection until it is closed; `place` is released then.
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
            ReaderEnd::ClientGone => {}
            ReaderEnd::LastRequest => connection.watch_for_close().await,
        }
        false
    };
    let finished = or(connection.write(outgoing), reader).await;
    // The connection has ended, so that the replies to outstanding calls can no longer be delivered.
    let abandoned: Vec<CallId> =
        connection.outstanding.lock().map(|mut calls| calls.drain(..).collect()).unwrap_or_default();
    for call_id in abandoned {
        connection.handle.send(Message::ClientDisconnected(call_id)).await;
    }
    if finished {
        connection.linger().await;
    }
}

/// Limits for a client's request.
fn request_limits(loaded: &Loaded) -> Limits {
    let limits = &loaded.file.limits;
    Limits {
        line: limits.line_bytes,
        fields: limits.fields,
        head: limits.head_bytes,
        body: limits.body_bytes,
    }
}

/// The answer to a request that cannot be parsed or is over the limits.
fn malformed_answer(error: HttpError) -> HttpAnswer {
    HttpAnswer::problem(error.status(), "request", "The request cannot be read", &error.to_string())
}

/// The answer to a request that did not arrive completely within `limits.request_ms`.
fn timeout_answer() -> HttpAnswer {
    HttpAnswer::problem(408, "slow", "The request did not come whole in time", "")
}

/// The refusal of a request that was skipped.
fn too_much_ahead_answer() -> HttpAnswer {
    HttpAnswer::problem(503, "ahead", "Too much was sent ahead of an answer", "")
}

impl Connection {
    /// Accepts requests until the client disconnects, sends a malformed request, or asks for the connection to close.
    async fn read(&self, queue: Sender<Outgoing>) -> ReaderEnd {
        let mut input = Input::default();
        loop {
            if let Some(end) = self.refuse_skipped(&queue, &mut input).await {
                return end;
            }
            let loaded = settings(&self.handle);
            let head = match self.next_head(&mut input.buf, &loaded).await {
                Ok(NextHead::Head(head)) => head,
                Ok(NextHead::Close) => return ReaderEnd::LastRequest,
                Ok(NextHead::ClientGone) => return ReaderEnd::ClientGone,
                Err(answer) => return self.reject(&queue, answer, false).await,
            };
            let (to_head, close) = (head.method() == "HEAD", !head.persists());
            let framing =
                match head.request_framing().and_then(|f| BodyReader::new(f, &request_limits(&loaded))) {
                    Ok(framing) => framing,
                    Err(error) => return self.reject(&queue, malformed_answer(error), to_head).await,
                };
            let parsed = parse(&loaded, &head);
            // 100 (Continue) is sent only if the head is acceptable (RFC 9110 section 10.1.1).
            if head.expects_continue() && !framing.done() {
                match &parsed {
                    // Nothing is skipped meanwhile: what comes next is this request's content.
                    Ok(_) => drop(queue.send(Outgoing::Continue).await),
                    Err(answer) => return self.reject(&queue, answer.clone(), to_head).await,
                }
            }
            let body = match self.body(&mut input.buf, framing, &loaded).await {
                Ok(Some(body)) => body,
                Ok(None) => return ReaderEnd::ClientGone,
                Err(answer) => return self.reject(&queue, answer, to_head).await,
            };
            let close = close || self.closing.begun();
            let next = match parsed {
                Ok(parsed) => self.call(&loaded, head, parsed, body, close).await,
                Err(answer) => Some(Outgoing::Answer { answer, to_head, close }),
            };
            let Some(next) = next else { return ReaderEnd::ClientGone };
            if !self.enqueue(&queue, next, &mut input).await {
                return ReaderEnd::ClientGone;
            }
            if close {
                return ReaderEnd::LastRequest;
            }
        }
    }

    /// Queues an entry for the writer, and reads on as long as the queue is full; false once the client has disconnected.
    async fn enqueue(&self, queue: &Sender<Outgoing>, next: Outgoing, input: &mut Input) -> bool {
        let limits = request_limits(&settings(&self.handle));
        let queued = async { queue.send(next).await.is_ok() };
        let disconnected = async {
            input.read_until_close(&self.stream, &limits).await;
            false
        };
        or(queued, disconnected).await
    }

    /// Queues the refusals of skipped requests. `None`: what is in the buffer follows them and can be served.
    async fn refuse_skipped(&self, queue: &Sender<Outgoing>, input: &mut Input) -> Option<ReaderEnd> {
        while let Some(SkippedRequest { to_head }) = input.skipper.take_unanswered() {
            let is_last = !input.skipper.has_unanswered();
            let close = is_last && input.skipper.end() == Some(SkipEnd::ConnectionClose);
            metrics::counter!("frostgauge_turned_away", "status" => "503").increment(1);
            let refusal = Outgoing::Answer { answer: too_much_ahead_answer(), to_head, close };
            if !self.enqueue(queue, refusal, input).await {
                return Some(ReaderEnd::ClientGone);
            }
            if close {
                return Some(ReaderEnd::LastRequest);
            }
        }
        let answer = match input.skipper.end()? {
            SkipEnd::ConnectionClose => return Some(ReaderEnd::LastRequest),
            SkipEnd::Malformed(error) => malformed_answer(error),
            SkipEnd::Incomplete | SkipEnd::TooMany => too_much_ahead_answer(),
        };
        Some(self.reject(queue, answer, false).await)
    }

    /// Queues an answer that rejects a request; the connection closes after it.
    async fn reject(&self, queue: &Sender<Outgoing>, answer: HttpAnswer, to_head: bool) -> ReaderEnd {
        metrics::counter!("frostgauge_turned_away", "status" => answer.status.to_string()).increment(1);
        let queued = async {
            let _ = queue.send(Outgoing::Answer { answer, to_head, close: true }).await;
            ReaderEnd::LastRequest
        };
        let disconnected = async {
            self.watch_for_close().await;
            ReaderEnd::ClientGone
        };
        or(queued, disconnected).await
    }

    /// Waits for the head of the next request.
    ///
    /// # Errors
    /// The head is malformed, over the limits or late; the error is the answer to it.
    async fn next_head(&self, buf: &mut Vec<u8>, loaded: &Loaded) -> Result<NextHead, HttpAnswer> {
        let (limits, l) = (request_limits(loaded), &loaded.file.limits);
        let mut reader = HeadReader::default();
        let mut deadline = Instant::now() + Duration::from_millis(l.idle_ms);
        let mut begun = false;
        loop {
            if let Some(end) = reader.push(buf, &limits).map_err(malformed_answer)? {
                let head = Head::request(&buf[..end]).map_err(malformed_answer)?;
                buf.drain(..end);
                return Ok(NextHead::Head(head));
            }
            if !begun && !buf.is_empty() {
                begun = true;
                deadline = Instant::now() + Duration::from_millis(l.request_ms);
            }
            let read = async { Some(until(deadline, read_some(&mut &self.stream, buf)).await) };
            // A request whose first bytes have arrived is accepted also during a shutdown. An idle connection is closed
            // after a short time only: a request already in transit would otherwise get no answer.
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
                Some(Timed::Late) if begun => return Err(timeout_answer()),
                // An idle connection is closed without an answer, unless calls are still outstanding on it.
                Some(Timed::Late) => {
                    if self.closing.begun() {
                        return Ok(NextHead::Close);
                    }
                    if self.outstanding.lock().is_ok_and(|calls| calls.is_empty()) {
                        return Ok(NextHead::Close);
                    }
                    deadline = Instant::now() + Duration::from_millis(l.idle_ms);
                }
            }
        }
    }

    /// Reads a request's content; `Ok(None)` if the client has disconnected.
    ///
    /// # Errors
    /// The content is malformed, over the limits or late; the error is the answer to it.
    async fn body(
        &self,
        buf: &mut Vec<u8>,
        mut reader: BodyReader,
        loaded: &Loaded,
    ) -> Result<Option<Vec<u8>>, HttpAnswer> {
        let deadline = Instant::now() + Duration::from_millis(loaded.file.limits.request_ms);
        let mut body = Vec::new();
        loop {
            let consumed = reader.push(buf, &mut body).map_err(malformed_answer)?;
            buf.drain(..consumed);
            if reader.done() {
                return Ok(Some(body));
            }
            match until(deadline, read_some(&mut &self.stream, buf)).await {
                Timed::Done(Ok(0) | Err(_)) => return Ok(None),
                Timed::Done(Ok(_)) => {}
                Timed::Late => return Err(timeout_answer()),
            }
        }
    }

    /// Submits a request to the engine; `None` once the engine has ended.
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

    /// Reads and discards after the last request, until the client disconnects while calls are outstanding.
    async fn watch_for_close(&self) {
        let mut discarded = Vec::new();
        while !matches!(read_some(&mut &self.stream, &mut discarded).await, Ok(0) | Err(_)) {
            discarded.clear();
        }
        if self.outstanding.lock().is_ok_and(|calls| calls.is_empty()) {
            // The writer ends by itself; what it still writes is the answer to a request that began no call.
            std::future::pending().await
        }
    }

    /// Sends the responses in order; true once all are sent and the connection can be closed normally, false if it broke.
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
                    // The engine dropped the call without a reply.
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
            let write_timeout = Duration::from_millis(settings(&self.handle).file.limits.request_ms);
            let written = until(Instant::now() + write_timeout, (&mut &self.stream).write_all(&out)).await;
            if let (Some(call_id), Ok(mut outstanding)) = (answered, self.outstanding.lock()) {
                outstanding.retain(|id| *id != call_id);
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

    /// Closes the sending side, then reads and discards for a bounded time; see [`LINGER_TIME`].
    async fn linger(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let drain = async {
            let mut discarded = Vec::new();
            while discarded.len() < MAX_LINGER_BYTES {
                if !matches!(read_some(&mut &self.stream, &mut discarded).await, Ok(n) if n > 0) {
                    return;
                }
            }
        };
        let _ = until(Instant::now() + LINGER_TIME, drain).await;
    }
}
