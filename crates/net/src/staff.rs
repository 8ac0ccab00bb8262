//! Pages for staff: a few connections, one request each; and the asking side, for the command line.

use crate::{accept, exchange, read_some, until, Closing, End, Places, Pool, Timed};
use async_executor::Executor;
use async_io::Async;
use frostgauge_proto::http::{write_request, write_response, Body, Head, HeadReader, Limits};
use futures_lite::AsyncWriteExt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Staff connections at once, and the time for one.
const MOST: usize = 32;
const PATIENCE: Duration = Duration::from_secs(5);

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

/// Serves pages until closing; `answer` gets method and target.
pub async fn pages<F>(
    listener: Async<TcpListener>,
    closing: Closing,
    executor: Arc<Executor<'static>>,
    answer: impl Fn(String, String) -> F + Clone + Send + 'static,
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
async fn one<F: Future<Output = Page>>(mut stream: &Async<TcpStream>, answer: impl Fn(String, String) -> F) {
    let (mut buf, mut reader, limits) = (Vec::new(), HeadReader::default(), Limits::default());
    let head = loop {
        match reader.push(&buf, &limits) {
            Ok(Some(end)) => break Head::request(&buf[..end]).ok(),
            Ok(None) => {}
            Err(_) => break None,
        }
        if !matches!(read_some(&mut stream, &mut buf).await, Ok(n) if n > 0) {
            return;
        }
    };
    let page = match head {
        Some(head) => answer(head.method().to_owned(), head.target().to_owned()).await,
        None => Page::text(400, "not a request\n"),
    };
    let mut out = Vec::new();
    let fields = [("content-type", page.kind.as_bytes()), ("connection", &b"close"[..])];
    write_response(&mut out, page.status, fields.into_iter(), Body::Whole(page.body.as_bytes()));
    let _ = stream.write_all(&out).await;
}

/// Asks a staff address.
///
/// # Errors
/// No connection, no answer within `patience`, or one that is not 200.
pub async fn ask(from: SocketAddr, method: &str, path: &str, patience: Duration) -> Result<String, String> {
    let pool = Pool::new(1, Duration::from_secs(1));
    let (deadline, host) = (Instant::now() + patience, from.to_string());
    let mut request = Vec::new();
    let fields = [("host", host.as_bytes()), ("connection", &b"close"[..])];
    write_request(&mut request, method, path, fields.into_iter(), Body::None);
    let limits = Limits { body: 16 << 20, ..Limits::default() };
    let work = exchange(&pool, from, &request, false, &limits, patience, deadline);
    match until(deadline, work).await {
        Timed::Done(End::Answered(r)) if r.head.status() == 200 => {
            String::from_utf8(r.body).map_err(|e| e.to_string())
        }
        Timed::Done(End::Answered(r)) => Err(format!("{from}: status {}", r.head.status())),
        Timed::Done(End::NotConnected) => Err(format!("{from}: no connection")),
        _ => Err(format!("{from}: no answer")),
    }
}
