//! Measures to hold a gateway against: a server that answers at once, and a relay that decides nothing.

use crate::serve::{serve, Act, Request};
use async_executor::Executor;
use async_io::Async;
use frostgauge_net::{exchange, End, Pool};
use frostgauge_proto::http::{write_request, Body, Limits};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers every request at once.
pub async fn echo(listener: Async<TcpListener>, executor: Arc<Executor<'static>>) {
    serve(listener, executor, |_| async { Act::json(200, &json!({ "ok": true })) }).await;
}

/// Passes every request on to the next of some servers and its answer back, over kept connections.
pub async fn relay(listener: Async<TcpListener>, executor: Arc<Executor<'static>>, to: Vec<SocketAddr>) {
    let pool = Arc::new(Pool::new(512, Duration::from_secs(15)));
    let next = Arc::new(AtomicUsize::new(0));
    let to: Arc<[SocketAddr]> = to.into();
    serve(listener, executor, move |request| {
        let (pool, to) = (pool.clone(), to[next.fetch_add(1, Ordering::Relaxed) % to.len()]);
        async move { pass(&pool, to, &request).await }
    })
    .await;
}

async fn pass(pool: &Pool, to: SocketAddr, request: &Request) -> Act {
    let (head, mut out) = (&request.head, Vec::new());
    let fields = head.fields().filter(|(name, _)| *name != "content-length" && !head.hop_by_hop(name));
    let body = if request.body.is_empty() { Body::None } else { Body::Whole(&request.body) };
    write_request(&mut out, head.method(), head.target(), fields, body);
    let (limits, second) = (Limits::default(), Duration::from_secs(1));
    let deadline = Instant::now() + Duration::from_secs(5);
    match exchange(pool, to, &out, head.method() == "HEAD", &limits, second, deadline).await {
        End::Answered(response) => {
            let kind = response.head.one("content-type").unwrap_or("text/plain").to_owned();
            let fields = vec![("content-type", kind)];
            Act::Answer { status: response.head.status(), fields, body: response.body, chunked: false }
        }
        _ => Act::json(502, &json!({ "error": "no answer" })),
    }
}
