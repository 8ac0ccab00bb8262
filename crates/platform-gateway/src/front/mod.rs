//! Connections of clients: one request at a time, answered before the next is read.

mod answer;
mod close;
mod read;
mod read_ahead;
mod turn;

use self::answer::Answer;
pub use self::close::{refuse, refuse_at_once, RefusalReason};
use self::close::{CloseReason, End};
use self::read_ahead::{GivenUp, TOO_MUCH_AHEAD};
use self::turn::Turn;
use crate::host::{Call, Front, Handle};
use crate::open_requests::{OpenId, OpenRequest};
use crate::permits::ConnectionPermit;
use crate::upstream::Forward;
use async_io::Async;
use frostgauge_gateway::clock::Micros;
use frostgauge_gateway::engine::{Message, Reply};
use frostgauge_net::{until, Closing, InputBuffer, Timed};
use frostgauge_platform_protocol::request::{self, Rejection, Request};
use frostgauge_proto::http::{BodyReader, Framing, Head, Limits, RequestSkipper};
use frostgauge_resource_policy::processor_shares::{
    ClientWork, ANSWER_KIB_COST, FORWARDED_REQUEST_COST, OWN_ANSWER_COST,
};
use frostgauge_resource_policy::shares::CLIENT_INPUT_ALLOWANCE;
use frostgauge_resource_policy::timeouts::{SHUTDOWN_ACCEPT_TIME, WRITE_TIMEOUT};
use futures_lite::future::or;
use futures_lite::AsyncWriteExt;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Bounds of a request: content as the protocol allows it, heads beyond what it needs.
const REQUEST: Limits = Limits { line: 8 << 10, fields: 64, head: 16 << 10, body: 64 << 10 };

/// How a call ended.
enum Outcome {
    /// With the engine's reply.
    Reply(Reply),
    /// The client has sent too much behind the request, which is answered with this status.
    GivenUp { status: u16 },
}

struct Connection {
    stream: Async<TcpStream>,
    permit: ConnectionPermit,
    handle: Handle,
    closing: Closing,
    buf: InputBuffer,
    skipper: RequestSkipper,
    /// Bytes of requests skipped since the last pause.
    skipped_since_pause: usize,
    /// The work that it has caused.
    work: ClientWork,
    used: bool,
    /// The last read was small: what is sent comes in pieces.
    in_pieces: bool,
    opened: Instant,
}

/// Serves a connection to its end.
pub async fn serve(stream: Async<TcpStream>, permit: ConnectionPermit, handle: Handle, closing: Closing) {
    let input = handle.shared.memory.budget().reservation(CLIENT_INPUT_ALLOWANCE);
    let work = handle.shared.client_work();
    let mut connection = Connection {
        stream,
        permit,
        handle,
        closing,
        buf: InputBuffer::new(input),
        skipper: RequestSkipper::default(),
        skipped_since_pause: 0,
        work,
        used: false,
        in_pieces: false,
        opened: Instant::now(),
    };
    loop {
        match connection.next_request().await {
            Ok(true) => {
                if connection.wait_for_turn().await == Turn::Evicted {
                    return connection.log_close(CloseReason::Evicted);
                }
            }
            Ok(false) => {
                connection.log_close(CloseReason::Announced);
                return connection.close_unread().await;
            }
            Err(End::Close(reason)) => return connection.log_close(reason),
            Err(End::Reject(bad)) => return connection.reject(bad).await,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.settle();
    }
}

impl Connection {
    /// Reads a request and answers it; whether another may follow.
    async fn next_request(&mut self) -> Result<bool, End> {
        if let Some(goes_on) = self.refuse_skipped().await? {
            return Ok(goes_on);
        }
        let (head, memory) = self.head().await?;
        let framing = head.request_framing()?;
        if head.method() == "GET" && head.target() == "/-/ready" {
            return self.answer_readiness(&head, framing).await;
        }
        let mut reader = BodyReader::new(framing, &REQUEST)?;
        let front: Arc<Front> = self.handle.shared.clone();
        let request =
            request::read(&front.site, &head, framing != Framing::Length(0)).map_err(End::Reject)?;
        let (body, memory) = self.body(&mut reader, framing, memory).await?;
        if !self.used {
            // At once, not at its end: new connections are admitted by what others have caused.
            self.settle();
        }
        if self.closing.since().is_some_and(|since| Instant::now() > since + SHUTDOWN_ACCEPT_TIME) {
            return self.reject_late().await;
        }
        let arrived = self.handle.clock.now();
        let Some(id) = front.open_ids.claim(request.id.clone()) else {
            return Err(End::Reject(Rejection { status: 409, reason: "a request with this id is open" }));
        };
        self.used = true;
        let persists = head.persists();
        let open_request = OpenRequest { forward: Forward { head, body }, id: id.clone(), memory };
        let outcome = self.call(request, arrived, open_request).await?;
        self.answer(outcome, persists, id).await
    }

    /// Accounts for the work that the connection has caused, without a wait for its turn.
    fn settle(&mut self) {
        self.handle.shared.settle(Instant::now(), &mut self.work);
    }

    /// Answers a request; whether another may follow. The id is not free before the answer is out, and not while an
    /// attempt is.
    async fn answer(&mut self, outcome: Outcome, persists: bool, _id: Arc<OpenId>) -> Result<bool, End> {
        // What was read ahead is answered too.
        let close = !persists || self.closing.begun() && !self.has_more();
        match &outcome {
            Outcome::Reply(Reply::Server(response)) => {
                self.work.add(FORWARDED_REQUEST_COST);
                self.work.add_bytes(response.body.len(), ANSWER_KIB_COST);
            }
            _ => self.work.add(OWN_ANSWER_COST),
        }
        let answer = match outcome {
            Outcome::Reply(reply) => answer::reply(reply, close),
            Outcome::GivenUp { status } => answer::own(status, None, close, TOO_MUCH_AHEAD),
        };
        self.write(&answer).await?;
        Ok(!close)
    }

    /// Passes a request to the engine and returns its reply, unless the client disconnects or sends too much before.
    async fn call(
        &mut self,
        caller: Request,
        arrived: Micros,
        open_request: OpenRequest,
    ) -> Result<Outcome, End> {
        match self.catch_up().await {
            None => {}
            Some(GivenUp::Disconnected) => return Err(End::Close(CloseReason::ClientDisconnected)),
            // A retry does no harm: nothing has run.
            Some(GivenUp::TooFarAhead) => return Ok(Outcome::GivenUp { status: 503 }),
        }
        let (reply, answer) = async_channel::bounded(1);
        let call_id = self.handle.next_call_id();
        tracing::debug!(request = call_id, id = %caller.id, "request read");
        let call = Call {
            call_id,
            arrived,
            timeout: caller.timeout,
            is_retry: caller.is_retry,
            caller,
            forward: Arc::new(open_request),
            reply,
        };
        if !self.handle.send(Message::Call(Box::new(call))).await {
            return Err(End::Close(CloseReason::EngineEnded));
        }
        // The engine answers every call; without an engine there is nobody to answer.
        let reply = async { answer.recv().await.map_err(|_| GivenUp::Disconnected) };
        let given_up = async { Err(self.given_up().await) };
        let given_up = match or(reply, given_up).await {
            Ok(reply) => return Ok(Outcome::Reply(reply)),
            Err(given_up) => given_up,
        };
        self.work.add(FORWARDED_REQUEST_COST);
        // Attempts that have not begun end by this, before the engine receives the message.
        drop(answer);
        self.handle.send(Message::ClientDisconnected(call_id)).await;
        match given_up {
            GivenUp::Disconnected => Err(End::Close(CloseReason::ClientDisconnected)),
            // It may have run.
            GivenUp::TooFarAhead => Ok(Outcome::GivenUp { status: 502 }),
        }
    }

    /// Answers a readiness check.
    async fn answer_readiness(&mut self, head: &Head, framing: Framing) -> Result<bool, End> {
        let ready = self.handle.shared.ready.load(Ordering::Relaxed) && !self.closing.begun();
        let close = self.closing.begun() || !head.persists() || framing != Framing::Length(0);
        self.work.add(OWN_ANSWER_COST);
        self.write(&answer::own(if ready { 200 } else { 503 }, None, close, "")).await?;
        Ok(!close)
    }

    /// Rejects a request that was read ahead and could not be answered before shutdown ends.
    async fn reject_late(&mut self) -> Result<bool, End> {
        self.used = true;
        let close = !self.has_more();
        self.write(&answer::own(503, None, close, "the process closes")).await?;
        Ok(!close)
    }

    async fn write(&self, answer: &Answer) -> Result<(), End> {
        let mut stream = &self.stream;
        let write = async {
            stream.write_all(&answer.head).await?;
            stream.write_all(&answer.content).await
        };
        match until(Instant::now() + WRITE_TIMEOUT, write).await {
            Timed::Done(Ok(())) => Ok(()),
            _ => Err(End::Close(CloseReason::WriteFailed)),
        }
    }
}
