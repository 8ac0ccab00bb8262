//! Attempts: each sends a request to a server once.

use super::{response_limits, Call, Message, OAuthHost};
use crate::engine::Attempt;
use crate::upstream::{self, AttemptOutcome, BudgetedPath, OutgoingRequest};
use async_executor::Task;
use frostgauge::Status;
use frostgauge_net::Pooled;
use std::time::{Duration, Instant};

impl OAuthHost {
    /// Starts an attempt, on a connection of the budgeted pool if there are fleet rules and of the plain pool otherwise. The
    /// task sends [`Message::Ended`] when the attempt has ended.
    pub(super) fn spawn_attempt(&mut self, attempt: Attempt, call: Option<&Call>) -> Task<()> {
        let Attempt { call_id, attempt, server, timeout, grant, .. } = attempt;
        let started_at = Instant::now();
        *self.in_flight.entry(server).or_default() += 1;
        let inbox = self.handle.inbox();
        let loaded = self.handle.loaded();
        let target = self.addresses.get(&server).copied().zip(call);
        let Some((to, call)) = target else {
            // The core sends only for open calls and known servers, so that neither should be missing; if one is, the
            // request was certainly not sent.
            let ended = never_sent();
            return self.executor.spawn(async move {
                let _ = inbox.send(Message::Ended { call_id, attempt, ended }).await;
            });
        };
        let request_number = format!("{}-{:x}-{call_id}", loaded.file.gateway.number, self.started);
        let bytes = call.forward.bytes(to, &grant.subject, &request_number, attempt, rand::random());
        let to_head = call.forward.head.method() == "HEAD";
        let (pool, budgeted_pool) = (self.pool.clone(), self.budgeted_pool.clone());
        let class = loaded.classes.get(call.caller.class);
        let final_check = self
            .fleet_rules
            .as_ref()
            .zip(class)
            .map(|(rules, class)| rules.attempt_check(&grant.subject, class, to));
        let request = OutgoingRequest { bytes, to_head, final_check, client: Some(call.client()) };
        let budgeted_path = budgeted_pool
            .zip(class)
            .map(|(pool, class)| BudgetedPath::request(&pool, to, &grant.subject, class));
        self.executor.spawn(async move {
            let l = &loaded.file.limits;
            let limits = response_limits(l, l.answer_bytes);
            let connect = Duration::from_millis(l.connect_ms);
            let deadline = started_at + Duration::from_micros(timeout);
            let ended = match budgeted_path {
                None => upstream::attempt(&Pooled(&pool, to), request, &limits, connect, deadline).await,
                // The rules no longer allow this request at this server: it was not sent.
                Some(None) => never_sent(),
                Some(Some(path)) => {
                    let budget_deadline = path.max_attempt_time().map_or(deadline, |max| started_at + max);
                    upstream::attempt(&path, request, &limits, connect, deadline.min(budget_deadline)).await
                }
            };
            let _ = inbox.send(Message::Ended { call_id, attempt, ended }).await;
        })
    }
}

/// The outcome of an attempt of which no byte was sent.
fn never_sent() -> AttemptOutcome {
    AttemptOutcome { status: Status::NotSent, response: None, quota_use: None, load: None }
}
