//! Attempts at servers and probes of them, and what their ends prove.

use crate::links::{Link, Links};
use async_io::Timer;
use frostgauge::{Load, ServerId, Status};
use frostgauge_gateway::upstream::Ended;
use frostgauge_hosting::times;
use frostgauge_net::{exhausted, receive, until, Response, Timed};
use frostgauge_platform::{answer, request, settings::Site};
use frostgauge_proto::http::{write_request, Body, Head, Limits};
use futures_lite::AsyncWriteExt;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bounds on an answer: content as the protocol has it, heads with room to spare.
pub const ANSWER: Limits = Limits { line: 8 << 10, fields: 64, head: 16 << 10, body: 64 << 10 };

/// A client's request, as it is passed on.
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
        let set: [(&str, &[u8]); 2] = [("host", &host[..length]), (request::LEFT, left.as_bytes())];
        // Whatever is not for this hop goes on. Guards against a keyed request that loses its idempotency key on
        // the way, which its server cannot take for the client's.
        let here = |name: &str| request::ENDS_HERE.contains(&name) || self.head.hop_by_hop(name);
        let passed = self.head.fields().filter(|(name, _)| !here(name));
        let mut out = Vec::with_capacity(256 + self.body.len());
        let none = self.body.is_empty() && self.head.method() == "GET";
        let body = if none { Body::None } else { Body::Whole(&self.body) };
        write_request(&mut out, self.head.method(), self.head.target(), set.into_iter().chain(passed), body);
        out
    }
}

/// Times of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// A new connection must stand by then.
    pub connect: Duration,
    /// The first byte goes out by then or not at all: guards against an attempt that is decided, waits for its
    /// connection, and reaches a server that was told to drain meanwhile.
    pub first_byte: Instant,
    /// It is given up then.
    pub deadline: Instant,
    /// Least and longest time between a request's other bytes and its last one.
    pub pause: (Duration, Duration),
    /// From an answer's first byte to its last, at most: guards against answers that stop short on a connection that
    /// stays open, for which a request that may be repeated would wait until its time is over.
    pub whole: Duration,
}

fn bare(status: Status) -> Ended {
    Ended { status, response: None, used: None, load: None }
}

/// Makes an attempt. Where its connection ends before the last byte is written it has never run; after that it may
/// have. An answer that makes no sense is none: the connection is closed and nothing of it is passed on.
pub async fn attempt(
    links: &Links,
    site: &Site,
    (server, to): (ServerId, SocketAddr),
    request: &[u8],
    times: Times,
) -> Ended {
    match exchange(links, (server, to), request, times).await {
        Ok((response, link)) => {
            if let Some(link) = link {
                links.put(server, link);
            }
            ended(site, response)
        }
        Err(status) => bare(status),
    }
}

fn ended(site: &Site, response: Response) -> Ended {
    let head = &response.head;
    let (status, used, load) = (answer::status(head), answer::used(head), answer::report(site, head));
    Ended { status, response: Some(Box::new(response)), used, load }
}

/// A response, and the connection it came on where that may go on.
type Answered = (Response, Option<Link>);

async fn exchange(
    links: &Links,
    (server, to): (ServerId, SocketAddr),
    request: &[u8],
    times: Times,
) -> Result<Answered, Status> {
    let Times { connect, first_byte, deadline, pause, whole } = times;
    // A process that got no time for so long may have missed that the server was told to drain.
    if Instant::now() > first_byte {
        return Err(Status::Moot);
    }
    if let Some(link) = links.take(server) {
        match converse(link, request, deadline, (pause, whole)).await {
            // A kept connection that its server had dropped, or that brought something unasked for: not a whole
            // request went out, so no attempt was made.
            Err(Status::Broken) => {}
            end => return end,
        }
    }
    let place = links.place().ok_or(Status::Moot)?;
    let began = Instant::now();
    let limit = deadline.min(first_byte).min(began + connect);
    let stream = match until(limit, async_io::Async::<TcpStream>::connect(to)).await {
        Timed::Done(Ok(stream)) => stream,
        Timed::Done(Err(e)) if exhausted(&e) => return Err(Status::Moot),
        Timed::Done(Err(_)) => return Err(Status::ConnectFailed),
        // The client's time ran out first: that says nothing of the server.
        Timed::Late if limit == deadline => return Err(Status::Moot),
        Timed::Late => return Err(Status::ConnectFailed),
    };
    if Instant::now() > first_byte {
        return Err(Status::Moot);
    }
    let _ = stream.get_ref().set_nodelay(true);
    converse(Links::link(stream, place, began.elapsed()), request, deadline, (pause, whole)).await
}

/// Writes a request on a connection and reads its answer.
///
/// The last byte goes out a round trip after the others. A server begins a request once that byte has arrived, and
/// one that has dropped the connection resets it at the first. Guards against an unsafe request that is lost to a
/// connection closed without a word, or reset as the request comes: its end then proves that it has not run. Whatever
/// has come by then is no answer to this request: guards against a second copy of the one before, still on its way
/// when the connection was looked at, that would be served as this one's.
async fn converse(
    link: Link,
    request: &[u8],
    deadline: Instant,
    (pause, whole): ((Duration, Duration), Duration),
) -> Result<Answered, Status> {
    let (most, last) = request.split_at(request.len().saturating_sub(1));
    let mut written = 0;
    let talked = until(deadline, async {
        let mut stream = &link.stream;
        stream.write_all(most).await?;
        Timer::after(times::last_byte(link.trip, pause)).await;
        if !link.quiet() {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        stream.write_all(last).await?;
        written = last.len();
        receive(&link.stream, false, &ANSWER, Some(whole)).await
    });
    match talked.await {
        Timed::Done(Ok((response, keep))) => Ok((response, keep.then_some(link))),
        end => Err(match (written == 0, matches!(end, Timed::Late)) {
            (true, false) => Status::Broken,
            (true, true) => Status::Moot,
            (false, false) => Status::Reset,
            (false, true) => Status::Timeout,
        }),
    }
}

/// Probes a server: its load where there are reports, else its health.
pub async fn probe(links: &Links, site: &Site, (server, to): (ServerId, SocketAddr), times: Times) -> Ended {
    let reports = !site.columns.is_empty();
    let path = if reports { "/-/load" } else { "/-/healthy" };
    let mut request = Vec::new();
    let host = to.to_string();
    write_request(&mut request, "GET", path, [("host", host.as_bytes())].into_iter(), Body::None);
    let (response, link) = match exchange(links, (server, to), &request, times).await {
        Ok(answered) => answered,
        Err(status) => return bare(status),
    };
    let told: Option<Load> = answer::load(site, &response.body);
    // Guards against a second copy of a request's answer that was taken for this one's: the answer to the probe would
    // be served to the next request on the connection.
    if let Some(link) = link.filter(|_| told.is_some() || !reports || response.head.status() != 200) {
        links.put(server, link);
    }
    let mut ended = ended(site, response);
    ended.load = told.or(ended.load);
    ended.response = None;
    ended
}
