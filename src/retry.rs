//! Retries: whether a request may be attempted again, and which requests are retries of a client.

use crate::api::{Class, Effect, Micros, RejectReason};
use crate::request::Request;

/// Retries that each first attempt allows.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum number of retries saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Cost of a retry after a rejection by the server, which cost it no work.
const RETRY_COST_IF_NOT_RUN: f64 = 0.25;
/// Quantile of the clients' timeouts that counts as usual: most requests are no retries.
const USUAL_TIMEOUT_QUANTILE: f64 = 0.7;
/// Step of that quantile per request, as a share of the class's deadline.
const QUANTILE_STEP: f64 = 0.02;
/// A timeout under this share of the usual one shows a retry of the client.
const SHORT_TIMEOUT: f64 = 0.92;

/// Limits retries to a share of first attempts.
pub(crate) struct RetryBudget {
    saved: f64,
    max_attempts: usize,
}

impl RetryBudget {
    pub fn new(max_attempts: u32) -> RetryBudget {
        RetryBudget { saved: MAX_SAVED_RETRIES / 2.0, max_attempts: max_attempts as usize }
    }

    /// Whether a request may be attempted now, whatever the servers' state.
    ///
    /// # Errors
    /// [`RejectReason::DeadlineExceeded`] or [`RejectReason::NotServed`] if it may not.
    pub fn check(&self, now: Micros, request: &Request, class: &Class) -> Result<(), RejectReason> {
        if now >= request.deadline {
            return Err(RejectReason::DeadlineExceeded);
        }
        let is_over = request.finished || request.started || request.has_attempt_in_flight();
        let is_retry = !request.attempts.is_empty();
        let has_budget = !is_retry || self.saved >= retry_cost(request);
        if is_over || !may_run_again(now, request, class) {
            return Err(RejectReason::NotServed);
        }
        if request.attempts.len() >= self.max_attempts || !has_budget {
            return Err(RejectReason::NotServed);
        }
        Ok(())
    }

    /// Books an attempt that is about to be sent.
    pub fn record_attempt(&mut self, request: &Request) {
        if request.attempts.is_empty() {
            self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        } else {
            self.saved -= retry_cost(request);
        }
    }
}

fn retry_cost(request: &Request) -> f64 {
    if request.first_that_may_have_run().is_some() {
        1.0
    } else {
        RETRY_COST_IF_NOT_RUN
    }
}

/// Whether the request's effect allows an attempt after those that may have run.
fn may_run_again(now: Micros, request: &Request, class: &Class) -> bool {
    let ran = request.first_that_may_have_run();
    match class.effect {
        Effect::Idempotent => true,
        Effect::Deduplicated { window, .. } => ran.is_none_or(|attempt| now < attempt.sent_at + window),
        Effect::NonIdempotent => ran.is_none(),
    }
}

/// Recognizes requests by which a client retries an earlier one: by their mark, else by a short timeout.
pub(crate) struct ClientRetries {
    clients_mark_retries: bool,
    /// Usual timeout in each class, a running quantile, µs.
    usual_timeouts: Vec<f64>,
}

impl ClientRetries {
    pub fn new(clients_mark_retries: bool, classes: &[Class]) -> ClientRetries {
        let usual_timeouts = classes.iter().map(|class| class.deadline as f64).collect();
        ClientRetries { clients_mark_retries, usual_timeouts }
    }

    /// How long the client has waited before this request, µs.
    pub fn time_waited(&mut self, index: usize, class: &Class, timeout: Micros, is_marked: bool) -> Micros {
        let usual = &mut self.usual_timeouts[index];
        let is_longer = timeout as f64 > *usual;
        let direction = if is_longer { USUAL_TIMEOUT_QUANTILE } else { USUAL_TIMEOUT_QUANTILE - 1.0 };
        *usual += direction * QUANTILE_STEP * class.deadline as f64;
        let is_short = (timeout as f64) < SHORT_TIMEOUT * *usual;
        let is_retry = if self.clients_mark_retries { is_marked } else { is_short };
        if is_retry {
            class.deadline.saturating_sub(timeout)
        } else {
            0
        }
    }
}
