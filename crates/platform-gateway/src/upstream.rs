//! Attempts at servers and probes of them, and what their ends prove.

use crate::pool::{ConnectionPool, PooledConnection};
use crate::server_table::Destination;
use async_io::Timer;
use frostgauge::{Load, Status};
use frostgauge_gateway::upstream::AttemptOutcome;
use frostgauge_net::{exhausted, receive_within, until, MemoryBudget, Response, ResponseMemory, Timed};
use frostgauge_platform_protocol::{answer, request, settings::PlatformSettings};
use frostgauge_proto::http::{write_request, Body, Head, Limits};
use frostgauge_resource_policy::shares::ATTEMPT_ALLOWANCE;
use frostgauge_resource_policy::timeouts;
use futures_lite::future::or;
use futures_lite::AsyncWriteExt;
use std::future::{pending, Future};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bounds of an answer: content as the protocol allows it, heads beyond what it needs.
pub const ANSWER_LIMITS: Limits = Limits { line: 8 << 10, fields: 64, head: 16 << 10, body: 64 << 10 };

/// Bytes of the start line and the fields that the gateway writes itself, beyond those of the client's head.
const SET_BYTES: usize = 256;

/// A client's request to be forwarded.
#[derive(Debug)]
pub struct Forward {
    /// Its head.
    pub head: Head,
    /// Its content.
    pub body: Vec<u8>,
}

impl Forward {
    /// The request's bytes for a server that has this long.
    pub fn bytes(&self, to: SocketAddr, left: Duration) -> Vec<u8> {
        let mut host = [0u8; 64];
        let mut rest = &mut host[..];
        // 64 bytes hold any socket address.
        let _ = write!(rest, "{to}");
        let length = 64 - rest.len();
        let left = left.as_millis().to_string();
        let set: [(&str, &[u8]); 2] = [("host", &host[..length]), (request::TIMEOUT_FIELD, left.as_bytes())];
        // All fields that are not for this hop are forwarded, such as idempotency keys.
        let here = |name: &str| request::NOT_FORWARDED.contains(&name) || self.head.hop_by_hop(name);
        let passed = self.head.fields().filter(|(name, _)| !here(name));
        let mut out = Vec::with_capacity(SET_BYTES + self.head.allocated_bytes() + self.body.len());
        let none = self.body.is_empty() && self.head.method() == "GET";
        let body = if none { Body::None } else { Body::Whole(&self.body) };
        write_request(&mut out, self.head.method(), self.head.target(), set.into_iter().chain(passed), body);
        out
    }
}

/// Timeouts of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// A new connection is established within this, or the attempt fails.
    pub connect: Duration,
    /// The first byte is sent by then or not at all: the server may drain by then.
    pub first_byte: Instant,
    /// The same for a request that may have run before: its server deduplicates it until then.
    pub repeat_by: Option<Instant>,
    /// The attempt is abandoned then.
    pub deadline: Instant,
    /// Shortest and longest time between a request's other bytes and its last one.
    pub pause: (Duration, Duration),
    /// Maximum time from the first byte of an answer's head to its last, and between pieces of its content: an answer that
    /// stops short is a failure early enough for a retry.
    pub progress: Duration,
}

impl Times {
    /// The first byte is sent by then or not at all.
    fn begin_by(&self) -> Instant {
        self.repeat_by.map_or(self.first_byte, |by| by.min(self.first_byte))
    }

    /// Whether it is too late to begin.
    fn is_late(&self) -> bool {
        Instant::now() > self.begin_by()
    }
}

fn bare(status: Status) -> AttemptOutcome {
    AttemptOutcome { status, response: None, quota_use: None, load: None }
}

/// Makes an attempt. If its connection ends before the last byte is written it has not run; after that it may have. The
/// connection of an unreadable answer is closed, and nothing of the answer is forwarded. `request` encodes the request
/// for the time that is left; `gone` completes once the client has disconnected. Nothing is sent once the client has
/// disconnected or the run of the server has ended: another process may have its address.
pub async fn attempt(
    pool: &ConnectionPool,
    site: &PlatformSettings,
    destination: impl Into<Destination>,
    request: impl Fn(Duration) -> Vec<u8>,
    times: Times,
    gone: impl Future<Output = ()>,
) -> AttemptOutcome {
    let destination = destination.into();
    match exchange(pool, &destination, request, times, gone).await {
        Ok((response, connection)) => {
            if let Some(connection) = connection {
                pool.put(&destination, connection);
            }
            ended(site, response)
        }
        Err(status) => bare(status),
    }
}

fn ended(site: &PlatformSettings, response: Response) -> AttemptOutcome {
    let head = &response.head;
    let (status, used, load) = (answer::status(head), answer::usage(head), answer::load_report(site, head));
    AttemptOutcome { status, response: Some(Box::new(response)), quota_use: used, load }
}

/// A response, and the connection it came on where that may go on.
type Answered = (Response, Option<PooledConnection>);

async fn exchange(
    pool: &ConnectionPool,
    destination: &Destination,
    request: impl Fn(Duration) -> Vec<u8>,
    times: Times,
    gone: impl Future<Output = ()>,
) -> Result<Answered, Status> {
    // A request that is written by then ends as any attempt does.
    let called_off = async {
        or(gone, destination.ended()).await;
        Err(Status::NotSent)
    };
    let connection = or(called_off, send(pool, destination, request, times)).await?;
    answered(pool.memory(), connection, times).await
}

/// Writes a whole request on a kept connection or a new one, and returns the connection.
async fn send(
    pool: &ConnectionPool,
    destination: &Destination,
    request: impl Fn(Duration) -> Vec<u8>,
    times: Times,
) -> Result<PooledConnection, Status> {
    // A process that was not scheduled for so long may have missed that the server drains.
    if times.is_late() {
        return Err(Status::NotSent);
    }
    if let Some(connection) = pool.take(destination) {
        match write(pool.memory(), &connection, &request, times).await {
            // The server had closed the kept connection, or something was received on it. The request has not run.
            Err(Status::WriteFailed) => {}
            end => return end.map(|()| connection),
        }
    }
    let connection = connect(pool, destination.address, times).await?;
    write(pool.memory(), &connection, &request, times).await.map(|()| connection)
}

/// A new connection.
async fn connect(pool: &ConnectionPool, to: SocketAddr, times: Times) -> Result<PooledConnection, Status> {
    let permit = pool.permit().ok_or(Status::NotSent)?;
    let began = Instant::now();
    let limit = times.begin_by().min(times.deadline).min(began + times.connect);
    let stream = match until(limit, async_io::Async::<TcpStream>::connect(to)).await {
        Timed::Done(Ok(stream)) => stream,
        Timed::Done(Err(e)) if exhausted(&e) => return Err(Status::NotSent),
        Timed::Done(Err(_)) => return Err(Status::ConnectFailed),
        // The request's own deadline came first, which says nothing about the server.
        Timed::Late if limit == times.deadline || Some(limit) == times.repeat_by => {
            return Err(Status::NotSent)
        }
        Timed::Late => return Err(Status::ConnectFailed),
    };
    if times.is_late() {
        return Err(Status::NotSent);
    }
    let _ = stream.get_ref().set_nodelay(true);
    Ok(ConnectionPool::connection(stream, permit, began.elapsed()))
}

/// Writes a request on a connection.
///
/// The last byte is sent a round trip after the others. A server begins a request once that byte has arrived, and one
/// that has closed the connection resets it at the first byte: a reset by then proves that the request has not run.
/// Whatever is received by then is no answer to this request, perhaps a second copy of the one before.
async fn write(
    memory: &MemoryBudget,
    connection: &PooledConnection,
    request: &impl Fn(Duration) -> Vec<u8>,
    times: Times,
) -> Result<(), Status> {
    // The time left is that after connecting.
    let request = request(times.deadline.saturating_duration_since(Instant::now()));
    let mut copy = memory.reservation(ATTEMPT_ALLOWANCE);
    if copy.resize(request.capacity()).is_err() {
        tracing::debug!(bytes = request.capacity(), "no memory for the copy of a request");
        return Err(Status::NotSent);
    }
    let (others, last) = request.split_at(request.len().saturating_sub(1));
    let written = until(times.deadline, async {
        let mut stream = &connection.stream;
        stream.write_all(others).await?;
        Timer::after(timeouts::last_byte_pause(connection.trip, times.pause)).await;
        if !connection.quiet() {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        stream.write_all(last).await
    });
    match written.await {
        Timed::Done(Ok(())) => Ok(()),
        Timed::Done(Err(_)) => Err(Status::WriteFailed),
        Timed::Late => Err(Status::NotSent),
    }
}

/// Reads the answer to a request that is written.
async fn answered(
    memory: &MemoryBudget,
    connection: PooledConnection,
    times: Times,
) -> Result<Answered, Status> {
    let memory = ResponseMemory::of(memory, ATTEMPT_ALLOWANCE);
    let answer = receive_within(&connection.stream, false, &ANSWER_LIMITS, Some(times.progress), memory);
    match until(times.deadline, answer).await {
        Timed::Done(Ok((response, keep))) => Ok((response, keep.then_some(connection))),
        Timed::Done(Err(_)) => Err(Status::Reset),
        Timed::Late => Err(Status::Timeout),
    }
}

/// Probes a server: its load where there are reports, else its health.
pub async fn probe(
    pool: &ConnectionPool,
    site: &PlatformSettings,
    destination: impl Into<Destination>,
    times: Times,
) -> AttemptOutcome {
    let destination = destination.into();
    let reports = !site.columns.is_empty();
    let path = if reports { "/-/load" } else { "/-/healthy" };
    let mut request = Vec::new();
    let host = destination.address.to_string();
    write_request(&mut request, "GET", path, [("host", host.as_bytes())].into_iter(), Body::None);
    let (response, connection) =
        match exchange(pool, &destination, |_| request.clone(), times, pending()).await {
            Ok(answered) => answered,
            Err(status) => return bare(status),
        };
    let report: Option<Load> = answer::load(site, &response.body);
    // An answer without the report may be a second copy of an earlier one; the probe's own would then be taken for that
    // to the next request on the connection.
    if let Some(connection) =
        connection.filter(|_| report.is_some() || !reports || response.head.status() != 200)
    {
        pool.put(&destination, connection);
    }
    let mut ended = ended(site, response);
    ended.load = report.or(ended.load);
    ended.response = None;
    ended
}
