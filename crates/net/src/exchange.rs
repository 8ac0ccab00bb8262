//! One request and its response, and what is proven when there is none.

use crate::memory::{reserve_capacity, InputBuffer, MemoryBudget, OutOfMemory, Reservation};
use crate::Pool;
use crate::{exhausted, read_into, until, Timed};
use async_io::{Async, Timer};
use frostgauge_proto::http::{BodyReader, Framing, Head, HeadReader, HttpError, Limits};
use futures_lite::AsyncWriteExt;
use std::borrow::Cow;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Pause before memory is asked for again where there was too little.
const MEMORY_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Steps in which the room for a response's head grows, and in which its content is read, bytes.
const READ_STEP: usize = 4 << 10;

/// A whole response.
#[derive(Debug)]
pub struct Response {
    /// Its head.
    pub head: Head,
    /// Its content.
    pub body: Vec<u8>,
    /// The memory of head and content.
    pub memory: Reservation,
}

/// The memory that receiving a response may take.
#[derive(Debug)]
pub struct ResponseMemory {
    /// For what is still to be parsed.
    pub input: Reservation,
    /// For its head and content.
    pub response: Reservation,
}

impl ResponseMemory {
    /// Memory that nothing bounds.
    pub fn unbounded() -> ResponseMemory {
        ResponseMemory { input: Reservation::unbounded(), response: Reservation::unbounded() }
    }

    /// Memory out of a budget, beyond so many bytes for each of the two parts.
    pub fn of(budget: &MemoryBudget, allowance: usize) -> ResponseMemory {
        ResponseMemory { input: budget.reservation(allowance), response: budget.reservation(allowance) }
    }
}

/// How an exchange ended.
#[derive(Debug)]
pub enum End {
    /// With a response.
    Answered(Box<Response>),
    /// No connection stood in time, or it was refused: not a byte was written.
    NotConnected,
    /// Nothing was written, for want of time or of this machine's own means.
    NotTried,
    /// It broke after a byte was written, or brought what is no response: it may have run.
    Broken,
    /// No whole response in time, with a byte written: it may have run.
    TimedOut,
}

/// Why there is no new connection.
#[derive(Debug)]
pub enum NoLink {
    /// The system, or the other side, says no.
    Io(io::Error),
    /// It did not stand in time.
    Late,
    /// None may be opened from here now: nothing was tried.
    NoPlace,
}

/// Where connections to one address come from, and go back to. One that is dropped is closed.
pub trait Way {
    /// A connection.
    type Link: AsRef<Async<TcpStream>>;
    /// One that rests.
    fn resting(&self) -> Option<Self::Link>;
    /// A new one that stands by then.
    fn open(&self, limit: Instant) -> impl std::future::Future<Output = Result<Self::Link, NoLink>> + Send;
    /// Takes one back.
    fn back(&self, link: Self::Link);
}

/// By a pool.
#[derive(Clone, Copy, Debug)]
pub struct Pooled<'a>(pub &'a Pool, pub SocketAddr);

/// A pool's connection.
#[derive(Debug)]
pub struct Plain(Async<TcpStream>);

impl AsRef<Async<TcpStream>> for Plain {
    fn as_ref(&self) -> &Async<TcpStream> {
        &self.0
    }
}

impl Way for Pooled<'_> {
    type Link = Plain;

    fn resting(&self) -> Option<Plain> {
        self.0.take(self.1).map(Plain)
    }

    async fn open(&self, limit: Instant) -> Result<Plain, NoLink> {
        match until(limit, self.0.connect(self.1)).await {
            Timed::Done(Ok(stream)) => Ok(Plain(stream)),
            Timed::Done(Err(e)) => Err(NoLink::Io(e)),
            Timed::Late => Err(NoLink::Late),
        }
    }

    fn back(&self, link: Plain) {
        self.0.put(self.1, link.0);
    }
}

/// Sends a request and reads its response, on an idle connection or a new one.
pub async fn exchange(
    pool: &Pool,
    to: SocketAddr,
    request: &[u8],
    to_head: bool,
    limits: &Limits,
    connect: Duration,
    deadline: Instant,
) -> End {
    let always = || Some(Cow::Borrowed(request));
    exchange_by(&Pooled(pool, to), always, to_head, limits, connect, deadline).await
}

/// The same by another way, with a last look: `look` gives the bytes once the connection stands, right before the first
/// of them goes out, or none if nothing may go any more ([`End::NotTried`]). It may be asked once more if an idle
/// connection turns out to be closed.
pub async fn exchange_by<'a, W: Way>(
    way: &W,
    mut look: impl FnMut() -> Option<Cow<'a, [u8]>>,
    to_head: bool,
    limits: &Limits,
    connect: Duration,
    deadline: Instant,
) -> End {
    if let Some(link) = way.resting() {
        let Some(request) = look() else {
            way.back(link);
            return End::NotTried;
        };
        let mut written = 0;
        match until(deadline, talk(link.as_ref(), &request, to_head, limits, &mut written)).await {
            Timed::Done(Ok((response, keep))) => {
                if keep {
                    way.back(link);
                }
                return End::Answered(Box::new(response));
            }
            Timed::Done(Err(_)) if written > 0 => return End::Broken,
            Timed::Late if written > 0 => return End::TimedOut,
            Timed::Late => return End::NotTried,
            // It was closed before a byte of this went out: nothing ran, a new connection may carry it.
            Timed::Done(Err(_)) => {}
        }
    }
    let limit = deadline.min(Instant::now() + connect);
    let link = match way.open(limit).await {
        Ok(link) => link,
        Err(NoLink::NoPlace) => return End::NotTried,
        Err(NoLink::Io(e)) if exhausted(&e) => return End::NotTried,
        Err(NoLink::Io(_)) => return End::NotConnected,
        // The client's time ran out first: that says nothing of the node.
        Err(NoLink::Late) if limit == deadline => return End::NotTried,
        Err(NoLink::Late) => return End::NotConnected,
    };
    let _ = link.as_ref().get_ref().set_nodelay(true);
    let Some(request) = look() else {
        way.back(link);
        return End::NotTried;
    };
    let mut written = 0;
    match until(deadline, talk(link.as_ref(), &request, to_head, limits, &mut written)).await {
        Timed::Done(Ok((response, keep))) => {
            if keep {
                way.back(link);
            }
            End::Answered(Box::new(response))
        }
        Timed::Done(Err(_)) if written == 0 => End::NotConnected,
        Timed::Done(Err(_)) => End::Broken,
        Timed::Late if written == 0 => End::NotTried,
        Timed::Late => End::TimedOut,
    }
}

/// Writes a request on a connection, counting bytes, and reads its response; and whether the connection may go on.
///
/// # Errors
/// Those of the stream, and bytes that are no response.
pub async fn talk(
    stream: &Async<TcpStream>,
    request: &[u8],
    to_head: bool,
    limits: &Limits,
    written: &mut usize,
) -> io::Result<(Response, bool)> {
    send(stream, request, written).await?;
    receive(stream, to_head, limits, None).await
}

/// Writes a request on a connection, counting bytes.
///
/// # Errors
/// Those of the stream.
pub async fn send(mut stream: &Async<TcpStream>, request: &[u8], written: &mut usize) -> io::Result<()> {
    while *written < request.len() {
        match stream.write(&request[*written..]).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => *written += n,
        }
    }
    Ok(())
}

/// Reads a response, and whether the connection may go on. `progress`: how long a head may take from its first byte to
/// its last, each interim one by itself, and how long content may pause. A slow response that goes on is not cut off.
///
/// # Errors
/// Those of the stream, bytes that are no response, and one that stops short (`TimedOut`).
pub async fn receive(
    stream: &Async<TcpStream>,
    to_head: bool,
    limits: &Limits,
    progress: Option<Duration>,
) -> io::Result<(Response, bool)> {
    receive_within(stream, to_head, limits, progress, ResponseMemory::unbounded()).await
}

/// The same within this memory. Where too little is left, it is waited for as long as content may pause.
///
/// # Errors
/// As [`receive`], and `OutOfMemory` where too little memory is left for too long.
pub async fn receive_within(
    stream: &Async<TcpStream>,
    to_head: bool,
    limits: &Limits,
    progress: Option<Duration>,
    memory: ResponseMemory,
) -> io::Result<(Response, bool)> {
    let ResponseMemory { input, response: mut memory } = memory;
    let mut buf = InputBuffer::new(input);
    let head = final_head(stream, limits, progress, &mut buf, &mut memory).await?;
    let framing = head.response_framing(to_head).map_err(bad)?;
    let mut reader = BodyReader::new(framing, limits).map_err(bad)?;
    let head_bytes = head.allocated_bytes();
    // Of a stated length all is reserved at once, so that no response waits for memory while it holds some.
    let stated =
        if let Framing::Length(length) = framing { usize::try_from(length).unwrap_or(usize::MAX) } else { 0 };
    reserve_by(progress, || memory.resize(head_bytes + stated)).await?;
    let mut body = Vec::new();
    let mut rest = buf.len();
    loop {
        // Content is at most as long as what it is parsed from.
        let needed = (body.len() + buf.len()).max(stated);
        if head_bytes + needed > memory.bytes() {
            let reserved = head_bytes + needed.next_power_of_two();
            reserve_by(progress, || memory.resize(reserved)).await?;
        }
        let more = buf.len().min(needed - body.len());
        reserve_capacity(&mut body, more, memory.bytes() - head_bytes);
        let taken = reader.push(buf.bytes(), &mut body).map_err(bad)?;
        rest -= taken;
        if reader.done() {
            break;
        }
        buf.clear();
        let limit = progress.map(|time| Instant::now() + time);
        if piece(stream, &mut buf, limit).await? == 0 {
            if reader.ends_with_close() {
                break;
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest = buf.len();
    }
    let keep = head.persists() && framing != Framing::UntilClose && rest == 0;
    // Less than before is always to be had.
    let _ = memory.resize(head_bytes + body.capacity());
    Ok((Response { head, body, memory }, keep))
}

fn bad(error: HttpError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Reserves memory, and tries again for this time where too little is left.
async fn reserve_by(
    time: Option<Duration>,
    mut reserve: impl FnMut() -> Result<(), OutOfMemory>,
) -> io::Result<()> {
    let end = Instant::now() + time.unwrap_or_default();
    while reserve().is_err() {
        if Instant::now() >= end {
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, OutOfMemory));
        }
        Timer::after(MEMORY_RETRY_PAUSE).await;
    }
    Ok(())
}

/// Reads heads up to the final one. Interim responses come before it (RFC 9110 section 15.2) in any number; together
/// they may be as long as one head.
async fn final_head(
    stream: &Async<TcpStream>,
    limits: &Limits,
    progress: Option<Duration>,
    buf: &mut InputBuffer,
    memory: &mut Reservation,
) -> io::Result<Head> {
    let mut interim_bytes = 0;
    // When the head being read began.
    let mut begun: Option<Instant> = None;
    loop {
        let mut reader = HeadReader::default();
        let end = loop {
            if let Some(end) = reader.push(buf.bytes(), limits).map_err(bad)? {
                break end;
            }
            if buf.room_left() == 0 {
                let room = buf.room() + READ_STEP;
                reserve_by(progress, || buf.grow(room)).await?;
            }
            let limit = begun.zip(progress).map(|(at, time)| at + time);
            if piece(stream, buf, limit).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            begun.get_or_insert_with(Instant::now);
        };
        reserve_by(progress, || memory.resize(reader.parsed_bytes())).await?;
        let head = Head::response(&buf.bytes()[..end]).map_err(bad)?;
        buf.consume(end);
        // 101 is never asked for.
        if head.status() >= 200 {
            return Ok(head);
        }
        interim_bytes += end;
        if interim_bytes > limits.head {
            return Err(bad(HttpError::HeadTooLarge));
        }
        begun = (!buf.is_empty()).then(Instant::now);
    }
}

/// Reads once, up to this moment.
async fn piece(
    mut stream: &Async<TcpStream>,
    buf: &mut InputBuffer,
    limit: Option<Instant>,
) -> io::Result<usize> {
    let read = read_into(&mut stream, buf);
    let Some(limit) = limit else { return read.await };
    // What is here already is taken however late this process looks.
    match until(limit, read).await {
        Timed::Done(n) => n,
        Timed::Late => Err(io::ErrorKind::TimedOut.into()),
    }
}
