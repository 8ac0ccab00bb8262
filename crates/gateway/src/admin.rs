//! The admin pages, served on a local address: `/metrics`, `/status`, `/health`, `/zones`, `/accord`.

use crate::admin_rules;
use crate::fleet_rules::FleetRules;
use crate::oauth::{Handle, HostEvent, Message};
use async_executor::Executor;
use async_io::Async;
use frostgauge_net::{pages, Closing, Page, Question};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::TcpListener;
use std::sync::{Arc, OnceLock};

pub use frostgauge_net::ask;

/// Installs the Prometheus recorder of this process; further calls return the same handle.
///
/// # Errors
/// Another recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle, String> {
    static HANDLE: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();
    let install = || PrometheusBuilder::new().install_recorder().map_err(|e| e.to_string());
    HANDLE.get_or_init(install).clone()
}

/// Serves the admin pages until `closing` ends them.
pub async fn serve(
    listener: Async<TcpListener>,
    handle: Handle,
    fleet_rules: Option<FleetRules>,
    metrics: PrometheusHandle,
    closing: Closing,
    executor: Arc<Executor<'static>>,
) {
    pages(listener, closing, executor, move |question: Question| {
        let (handle, fleet_rules, metrics) = (handle.clone(), fleet_rules.clone(), metrics.clone());
        async move {
            match admin_rules::answer(fleet_rules.as_ref(), &question).await {
                Some(page) => page,
                None => page(&handle, &metrics, &question.method, &question.target).await,
            }
        }
    })
    .await;
}

async fn page(handle: &Handle, metrics: &PrometheusHandle, method: &str, target: &str) -> Page {
    match (method, target) {
        ("GET", "/metrics") => Page::text(200, metrics.render()),
        ("GET", "/status") => match handle.status().await {
            Some(status) => Page::json(format!("{status:#}\n")),
            None => Page::text(503, "the engine has ended\n"),
        },
        ("GET", "/health") => Page::text(200, "ok\n"),
        ("POST", target) if target.starts_with("/zones/") => {
            match drain_or_restore_zone(handle, target).await {
                Some(true) => Page::text(200, "ok\n"),
                _ => Page::text(
                    404,
                    "POST /zones/ZONE/drain or /zones/ZONE/restore, of a zone of zone_policy\n",
                ),
            }
        }
        _ => Page::text(404, "GET /metrics, /status or /health\n"),
    }
}

/// Handles `POST /zones/ZONE/drain` and `/zones/ZONE/restore`. `None`: the path has another form, or the engine has ended;
/// `Some(false)`: the zone is not known.
async fn drain_or_restore_zone(handle: &Handle, target: &str) -> Option<bool> {
    let (zone, operation) = target.strip_prefix("/zones/")?.split_once('/')?;
    let drained = match operation {
        "drain" => true,
        "restore" => false,
        _ => return None,
    };
    let (reply, answer) = async_channel::bounded(1);
    handle.send(Message::Host(HostEvent::Drain { zone: zone.to_owned(), drained, reply })).await;
    answer.recv().await.ok()
}

/// Fetches an admin page of a running gateway, for the command line.
///
/// # Errors
/// The connection fails, no response arrives within `timeout`, or its status is not 200.
pub async fn fetch(
    from: std::net::SocketAddr,
    path: &str,
    timeout: std::time::Duration,
) -> Result<String, String> {
    ask(from, "GET", path, timeout).await
}
