//! Attempts: a request sent to a server once.

use super::{response_limits, Call, Message, OAuthHost};
use crate::engine::Attempt;
use crate::upstream::{self, AttemptOutcome, BudgetedPath, OutgoingRequest};
use async_executor::Task;
use frostgauge::Status;
use frostgauge_net::Pooled;
use std::time::{Duration, Instant};

impl OAuthHost {
    /// Starts an attempt on a connection of the pool, or of the fleet's budgets where there are such.
    pub(super) fn spawn_attempt(&mut self, attempt: Attempt, call: Option<&Call>) -> Task<()> {
        let Attempt { call_id, attempt, server, timeout, grant, .. } = attempt;
        let instant = Instant::now();
        *self.in_flight.entry(server).or_default() += 1;
        let inbox = self.handle.inbox();
        let loaded = self.handle.loaded();
        let target = self.addresses.get(&server).copied().zip(call);
        let Some((to, call)) = target else {
            // Neither can be missing while the core sends; if one were, nothing has run.
            let ended = never_sent();
            return self.executor.spawn(async move {
                let _ = inbox.send(Message::Ended { call_id, attempt, ended }).await;
            });
        };
        let number = format!("{}-{:x}-{call_id}", loaded.file.gateway.number, self.started);
        let bytes = call.forward.bytes(to, &grant.subject, &number, attempt, rand::random());
        let to_head = call.forward.head.method() == "HEAD";
        let (pool, held) = (self.pool.clone(), self.held.clone());
        let class = loaded.classes.get(call.caller.class);
        let final_check =
            self.agreed.as_ref().zip(class).map(|(a, class)| a.attempt_check(&grant.subject, class, to));
        let request = OutgoingRequest { bytes, to_head, final_check, client: Some(call.client()) };
        let paid =
            held.zip(class).map(|(held, class)| BudgetedPath::request(&held, to, &grant.subject, class));
        self.executor.spawn(async move {
            let l = &loaded.file.limits;
            let limits = response_limits(l, l.answer_bytes);
            let connect = Duration::from_millis(l.connect_ms);
            let deadline = instant + Duration::from_micros(timeout);
            let ended = match paid {
                None => upstream::attempt(&Pooled(&pool, to), request, &limits, connect, deadline).await,
                // The rules let nothing go there any more: nothing has run.
                Some(None) => never_sent(),
                Some(Some(way)) => {
                    let longest = way.max_attempt_time().map_or(deadline, |most| instant + most);
                    upstream::attempt(&way, request, &limits, connect, deadline.min(longest)).await
                }
            };
            let _ = inbox.send(Message::Ended { call_id, attempt, ended }).await;
        })
    }
}

/// The end of an attempt of which nothing was sent.
fn never_sent() -> AttemptOutcome {
    AttemptOutcome { status: Status::NotSent, response: None, quota_use: None, load: None }
}
