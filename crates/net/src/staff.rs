//! Pages for staff: a few connections, one request each; and the asking side, for the command line.

use crate::{accept, exchange, read_some, until, Closing, End, Places, Pool, Timed};
use async_executor::Executor;
use async_io::Async;
use frostgauge_proto::http::{write_request, write_response, Body, BodyReader, Head, HeadReader, Limits};
use futures_lite::AsyncWriteExt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Staff connections at once, and the time for one.
const MOST: usize = 32;
const PATIENCE: Duration = Duration::from_secs(5);

/// Bytes of a question's content at most: a whole set of rules.
const MOST_BODY: u64 = 8 << 20;

/// What staff ask.
#[derive(Clone, Debug)]
pub struct Question {
    /// Its method.
    pub method: String,
    /// Its target.
    pub target: String,
    /// Its content.
    pub body: Vec<u8>,
}

/// A page.
#[derive(Clone, Debug)]
pub struct Page {
    /// The status.
    pub status: u16,
    /// Its type of content.
    pub kind: &'static str,
    /// Its content.
    pub body: String,
}

impl Page {
    /// Plain text, in the form that metrics are read in.
    pub fn text(status: u16, body: impl Into<String>) -> Page {
        Page { status, kind: "text/plain; version=0.0.4", body: body.into() }
    }

    /// JSON.
    pub fn json(body: impl Into<String>) -> Page {
        Page { status: 200, kind: "application/json", body: body.into() }
    }
}

/// Serves pages until closing.
pub async fn pages<F>(
    listener: Async<TcpListener>,
    closing: Closing,
    executor: Arc<Executor<'static>>,
    answer: impl Fn(Question) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Page> + Send + 'static,
{
    let places = Places::new(MOST);
    accept(&listener, &places, &closing, |stream, _, place| {
        let answer = answer.clone();
        executor
            .spawn(async move {
                let _place = place;
                let _ = until(Instant::now() + PATIENCE, one(&stream, answer)).await;
            })
            .detach();
    })
    .await;
}

/// Answers one request and closes.
async fn one<F: Future<Output = Page>>(mut stream: &Async<TcpStream>, answer: impl Fn(Question) -> F) {
    let (mut buf, mut reader, limits) = (Vec::new(), HeadReader::default(), Limits::default());
    let head = loop {
        match reader.push(&buf, &limits) {
            Ok(Some(end)) => {
                let head = Head::request(&buf[..end]).ok();
                buf.drain(..end);
                break head;
            }
            Ok(None) => {}
            Err(_) => break None,
        }
        if !matches!(read_some(&mut stream, &mut buf).await, Ok(n) if n > 0) {
            return;
        }
    };
    let question = match head {
        Some(head) => content(stream, &head, buf).await.map(|body| Question {
            method: head.method().to_owned(),
            target: head.target().to_owned(),
            body,
        }),
        None => None,
    };
    let page = match question {
        Some(question) => answer(question).await,
        None => Page::text(400, "not a request\n"),
    };
    let mut out = Vec::new();
    let fields = [("content-type", page.kind.as_bytes()), ("connection", &b"close"[..])];
    write_response(&mut out, page.status, fields.into_iter(), Body::Whole(page.body.as_bytes()));
    let _ = stream.write_all(&out).await;
}

/// A question's content.
async fn content(mut stream: &Async<TcpStream>, head: &Head, mut buf: Vec<u8>) -> Option<Vec<u8>> {
    let limits = Limits { body: MOST_BODY, ..Limits::default() };
    let mut reader = BodyReader::new(head.request_framing().ok()?, &limits).ok()?;
    let mut body = Vec::new();
    loop {
        reader.push(&buf, &mut body).ok()?;
        if reader.done() {
            return Some(body);
        }
        buf.clear();
        if !matches!(read_some(&mut stream, &mut buf).await, Ok(n) if n > 0) {
            return None;
        }
    }
}

/// Asks a staff address.
///
/// # Errors
/// No connection, no answer within `patience`, or one that is not 200.
pub async fn ask(from: SocketAddr, method: &str, path: &str, patience: Duration) -> Result<String, String> {
    match ask_with(from, method, path, &[], patience).await? {
        (200, body) => Ok(body),
        (status, _) => Err(format!("{from}: status {status}")),
    }
}

/// Asks a staff address with some content; the status and content of its answer.
///
/// # Errors
/// No connection, or no answer within `patience`.
pub async fn ask_with(
    from: SocketAddr,
    method: &str,
    path: &str,
    content: &[u8],
    patience: Duration,
) -> Result<(u16, String), String> {
    let pool = Pool::new(1, Duration::from_secs(1));
    let (deadline, host) = (Instant::now() + patience, from.to_string());
    let mut request = Vec::new();
    let fields = [("host", host.as_bytes()), ("connection", &b"close"[..])];
    let body = if content.is_empty() { Body::None } else { Body::Whole(content) };
    write_request(&mut request, method, path, fields.into_iter(), body);
    let limits = Limits { body: 16 << 20, ..Limits::default() };
    let work = exchange(&pool, from, &request, false, &limits, patience, deadline);
    match until(deadline, work).await {
        Timed::Done(End::Answered(r)) => {
            let status = r.head.status();
            String::from_utf8(r.body).map(|body| (status, body)).map_err(|e| e.to_string())
        }
        Timed::Done(End::NotConnected) => Err(format!("{from}: no connection")),
        _ => Err(format!("{from}: no answer")),
    }
}
