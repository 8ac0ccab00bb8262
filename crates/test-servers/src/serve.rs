//! A small HTTP server for stand-ins.

use async_executor::Executor;
use async_io::Async;
use frostgauge_net::{read_some, until, Closing, Places, Timed};
use frostgauge_proto::http::{write_response, Body, BodyReader, Head, HeadReader, Limits};
use futures_lite::AsyncWriteExt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Connections that a stand-in takes at once.
const MOST: usize = 20_000;

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: Head,
    /// Its content.
    pub body: Vec<u8>,
    /// Where it came from.
    pub from: SocketAddr,
}

/// What to do about it.
#[derive(Debug)]
pub enum Act {
    /// Answer.
    Answer {
        /// The status.
        status: u16,
        /// Fields.
        fields: Vec<(&'static str, String)>,
        /// Content.
        body: Vec<u8>,
        /// In chunks.
        chunked: bool,
    },
    /// Close the connection without a word.
    Close,
    /// Send half of such an answer, then close.
    Half(Vec<u8>),
}

impl Act {
    /// A JSON answer.
    pub fn json(status: u16, value: &serde_json::Value) -> Act {
        let fields = vec![("content-type", "application/json".to_owned())];
        Act::Answer { status, fields, body: value.to_string().into_bytes(), chunked: false }
    }
}

/// What a server does with connections beside serving them.
#[derive(Clone, Default)]
pub struct Watch {
    /// One on which nothing comes for so long is closed.
    pub idle: Option<Duration>,
    /// Told of each that is taken, and, before the other side can know, that it is closed.
    pub seen: Option<Arc<dyn Fn(SocketAddr, bool) + Send + Sync>>,
}

impl std::fmt::Debug for Watch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Watch").field("idle", &self.idle).finish_non_exhaustive()
    }
}

impl Watch {
    fn see(&self, from: SocketAddr, open: bool) {
        if let Some(seen) = &self.seen {
            seen(from, open);
        }
    }
}

/// Serves until the executor ends.
pub async fn serve<F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    handler: impl Fn(Request) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Act> + Send + 'static,
{
    serve_watched(listener, executor, Watch::default(), handler).await;
}

/// Serves until the executor ends, with an eye on connections.
pub async fn serve_watched<F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    watch: Watch,
    handler: impl Fn(Request) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Act> + Send + 'static,
{
    let (_open, closing) = Closing::new();
    let places = Places::new(MOST);
    frostgauge_net::accept(&listener, &places, &closing, |stream, from, place| {
        let (handler, watch) = (handler.clone(), watch.clone());
        watch.see(from, true);
        executor
            .spawn(async move {
                let _place = place;
                let _ = connection(&stream, from, watch.idle, handler).await;
                watch.see(from, false);
                drop(stream);
            })
            .detach();
    })
    .await;
}

async fn connection<F>(
    mut stream: &Async<TcpStream>,
    from: SocketAddr,
    idle: Option<Duration>,
    handler: impl Fn(Request) -> F,
) -> std::io::Result<()>
where
    F: Future<Output = Act>,
{
    let (mut buf, limits) = (Vec::new(), Limits { body: 16 << 20, ..Limits::default() });
    let bad = |e| std::io::Error::new(std::io::ErrorKind::InvalidData, e);
    loop {
        let mut reader = HeadReader::default();
        let end = loop {
            if let Some(end) = reader.push(&buf, &limits).map_err(bad)? {
                break end;
            }
            let read = read_some(&mut stream, &mut buf);
            let n = match idle {
                None => read.await?,
                Some(idle) => match until(Instant::now() + idle, read).await {
                    Timed::Done(n) => n?,
                    Timed::Late => return Ok(()),
                },
            };
            if n == 0 {
                return Ok(());
            }
        };
        let head = Head::request(&buf[..end]).map_err(bad)?;
        buf.drain(..end);
        let mut content = BodyReader::new(head.request_framing().map_err(bad)?, &limits).map_err(bad)?;
        let mut body = Vec::new();
        loop {
            let taken = content.push(&buf, &mut body).map_err(bad)?;
            buf.drain(..taken);
            if content.done() {
                break;
            }
            if read_some(&mut stream, &mut buf).await? == 0 {
                return Ok(());
            }
        }
        let (keep, mut out) = (head.persists(), Vec::new());
        match handler(Request { head, body, from }).await {
            Act::Answer { status, fields, body, chunked } => {
                let fields = fields.iter().map(|(n, v)| (*n, v.as_bytes()));
                let body = if chunked { Body::Chunked(&body) } else { Body::Whole(&body) };
                write_response(&mut out, status, fields, body);
                stream.write_all(&out).await?;
            }
            Act::Close => return Ok(()),
            Act::Half(body) => {
                write_response(&mut out, 200, std::iter::empty(), Body::Whole(&body));
                out.truncate(out.len() - body.len().div_ceil(2));
                return stream.write_all(&out).await;
            }
        }
        if !keep {
            return Ok(());
        }
    }
}
