//! For staff, on a local address: `/metrics`, `/status`, `/health`.

use crate::engine::Handle;
use async_executor::Executor;
use async_io::Async;
use frostgauge_net::{accept, exchange, read_some, until, Closing, End, Places, Pool, Timed};
use frostgauge_proto::http::{write_response, Body, Head, HeadReader, Limits};
use futures_lite::AsyncWriteExt;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Staff connections at once, and the time for one.
const MOST: usize = 32;
const PATIENCE: Duration = Duration::from_secs(5);

/// Sets up metrics, once a process.
///
/// # Errors
/// Another recorder is installed.
pub fn metrics() -> Result<PrometheusHandle, String> {
    static HANDLE: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();
    let install = || PrometheusBuilder::new().install_recorder().map_err(|e| e.to_string());
    HANDLE.get_or_init(install).clone()
}

/// Serves staff until closing.
pub async fn serve(
    listener: Async<TcpListener>,
    handle: Handle,
    metrics: PrometheusHandle,
    closing: Closing,
    executor: Arc<Executor<'static>>,
) {
    let places = Places::new(MOST);
    accept(&listener, &places, &closing, |stream, _, place| {
        let (handle, metrics) = (handle.clone(), metrics.clone());
        executor
            .spawn(async move {
                let _place = place;
                let _ = until(Instant::now() + PATIENCE, one(&stream, &handle, &metrics)).await;
            })
            .detach();
    })
    .await;
}

/// Answers one request and closes.
async fn one(mut stream: &Async<TcpStream>, handle: &Handle, metrics: &PrometheusHandle) {
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
    let text = ("content-type", &b"text/plain; version=0.0.4"[..]);
    let json = ("content-type", &b"application/json"[..]);
    let (status, kind, body) = match head.as_ref().map(|h| (h.method(), h.target())) {
        Some(("GET", "/metrics")) => (200, text, metrics.render()),
        Some(("GET", "/status")) => match handle.status().await {
            Some(status) => (200, json, format!("{status:#}\n")),
            None => (503, text, "the engine has ended\n".to_owned()),
        },
        Some(("GET", "/health")) => (200, text, "ok\n".to_owned()),
        Some(("POST", target)) if target.starts_with("/zones/") => match zone(handle, target).await {
            Some(true) => (200, text, "ok\n".to_owned()),
            _ => (
                404,
                text,
                "POST /zones/ZONE/drain or /zones/ZONE/restore, of a zone of zone_policy\n".to_owned(),
            ),
        },
        Some(_) => (404, text, "GET /metrics, /status or /health\n".to_owned()),
        None => (400, text, "not a request\n".to_owned()),
    };
    let mut out = Vec::new();
    let fields = [kind, ("connection", &b"close"[..])];
    write_response(&mut out, status, fields.into_iter(), Body::Whole(body.as_bytes()));
    let _ = stream.write_all(&out).await;
}

/// Staff take a zone out of use, or give it back.
async fn zone(handle: &Handle, target: &str) -> Option<bool> {
    let (zone, word) = target.strip_prefix("/zones/")?.split_once('/')?;
    let drained = match word {
        "drain" => true,
        "restore" => false,
        _ => return None,
    };
    let (reply, answer) = async_channel::bounded(1);
    handle.send(crate::engine::Message::Drain { zone: zone.to_owned(), drained, reply }).await;
    answer.recv().await.ok()
}

/// Fetches a page of another gateway's staff address; for the command line.
///
/// # Errors
/// No connection, no answer within `patience`, or one that is not 200.
pub async fn fetch(from: std::net::SocketAddr, path: &str, patience: Duration) -> Result<String, String> {
    ask(from, "GET", path, patience).await
}

/// Asks another gateway's staff address; for the command line.
///
/// # Errors
/// No connection, no answer within `patience`, or one that is not 200.
pub async fn ask(
    from: std::net::SocketAddr,
    method: &str,
    path: &str,
    patience: Duration,
) -> Result<String, String> {
    let pool = Pool::new(1, Duration::from_secs(1));
    let (deadline, host) = (Instant::now() + patience, from.to_string());
    let mut request = Vec::new();
    let fields = [("host", host.as_bytes()), ("connection", &b"close"[..])];
    frostgauge_proto::http::write_request(&mut request, method, path, fields.into_iter(), Body::None);
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
