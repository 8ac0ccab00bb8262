//! The gateway's own requests to servers: probes, and health checks of servers in unavailable zones.

use super::{response_limits, HostEvent, Message, OAuthHost, MAX_SMALL_RESPONSE_BYTES};
use crate::upstream::{self, AttemptOutcome, BudgetedPath, BudgetedPool};
use frostgauge::ServerId;
use frostgauge_net::{Pool, Pooled};
use frostgauge_proto::http::Limits;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl OAuthHost {
    /// Starts a probe of a server; the task sends [`Message::Probed`] when it has ended.
    pub(super) fn probe(&mut self, server: ServerId) {
        let (loaded, inbox) = (self.handle.loaded(), self.handle.inbox());
        let (pool, budgeted_pool) = (self.pool.clone(), self.budgeted_pool.clone());
        let Some(to) = self.addresses.get(&server).copied() else { return };
        self.executor
            .spawn(async move {
                let l = &loaded.file.limits;
                let limits = response_limits(l, MAX_SMALL_RESPONSE_BYTES);
                let timeout = Duration::from_millis(l.connect_ms);
                let path = l.probe_path.as_deref().unwrap_or("/");
                let ended = get_from_server(budgeted_pool, &pool, to, path, &limits, timeout).await;
                let _ = inbox.send(Message::Probed { server, ended }).await;
            })
            .detach();
    }

    /// Starts a health check of a server in an unavailable zone; the task sends [`HostEvent::Checked`] when it has ended.
    pub(super) fn check(&mut self, server: ServerId) {
        let (loaded, inbox) = (self.handle.loaded(), self.handle.inbox());
        let (pool, budgeted_pool) = (self.pool.clone(), self.budgeted_pool.clone());
        let Some(to) = self.addresses.get(&server).copied() else { return };
        let Some(path) = loaded.file.zone_policy.as_ref().map(|p| p.check_path.clone()) else { return };
        self.executor
            .spawn(async move {
                let l = &loaded.file.limits;
                let limits = response_limits(l, MAX_SMALL_RESPONSE_BYTES);
                let started_at = Instant::now();
                let timeout = Duration::from_millis(l.connect_ms);
                let status = get_from_server(budgeted_pool, &pool, to, &path, &limits, timeout).await.status;
                let elapsed = crate::clock::micros(started_at.elapsed());
                let _ = inbox.send(Message::Host(HostEvent::Checked { server, status, elapsed })).await;
            })
            .detach();
    }
}

/// Sends a GET to a server, on a connection of the budgeted pool if there is one and of the plain pool otherwise.
async fn get_from_server(
    budgeted_pool: Option<Arc<BudgetedPool>>,
    pool: &Pool,
    to: SocketAddr,
    path: &str,
    limits: &Limits,
    timeout: Duration,
) -> AttemptOutcome {
    match budgeted_pool {
        Some(budgeted) => {
            upstream::probe(&BudgetedPath::probe(&budgeted, to), to, path, limits, timeout).await
        }
        None => upstream::probe(&Pooled(pool, to), to, path, limits, timeout).await,
    }
}
