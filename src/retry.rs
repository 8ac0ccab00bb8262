//! Retries: whether the gateway may attempt a request again, and which requests are retries by a client.

use crate::api::{Class, Effect, Micros, RejectReason};
use crate::request::Request;

/// Retries allowed per first attempt.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum number of allowed retries that are saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Cost of a retry if no earlier attempt may have run: a rejection costs its server little work. Other
/// retries cost 1.
const RETRY_COST_IF_NOT_RUN: f64 = 0.25;
/// Quantile of the requests' timeouts that is taken as the timeout of a first try; most requests are no
/// retries.
const USUAL_TIMEOUT_QUANTILE: f64 = 0.7;
/// Step by which a request moves the estimate of that quantile, as a share of the class's deadline.
const QUANTILE_STEP: f64 = 0.02;
/// A request whose timeout is below this share of the usual one is taken to be a retry by the client, which
/// has less time left.
const SHORT_TIMEOUT_SHARE: f64 = 0.92;

/// Limits the gateway's retries to a share of the first attempts.
pub(crate) struct RetryBudget {
    /// Retries allowed now.
    saved_retries: f64,
    max_attempts: usize,
}

impl RetryBudget {
    pub fn new(max_attempts: u32) -> RetryBudget {
        RetryBudget { saved_retries: MAX_SAVED_RETRIES / 2.0, max_attempts: max_attempts as usize }
    }

    /// Checks that a request may be attempted now, without regard to the servers' state.
    ///
    /// # Errors
    /// [`RejectReason::DeadlineExceeded`] after the deadline, [`RejectReason::NotServed`] if the request's
    /// state, its effect, the number of attempts or the retry budget does not allow another attempt.
    pub fn check(&self, now: Micros, request: &Request, class: &Class) -> Result<(), RejectReason> {
        if now >= request.deadline {
            return Err(RejectReason::DeadlineExceeded);
        }
        let is_over = request.finished || request.started || request.has_attempt_in_flight();
        let is_retry = !request.attempts.is_empty();
        let has_budget = !is_retry || self.saved_retries >= retry_cost(request);
        if is_over || !may_run_again(now, request, class) {
            return Err(RejectReason::NotServed);
        }
        if request.attempts.len() >= self.max_attempts || !has_budget {
            return Err(RejectReason::NotServed);
        }
        Ok(())
    }

    /// Updates the budget for an attempt that is about to be sent.
    pub fn record_attempt(&mut self, request: &Request) {
        if request.attempts.is_empty() {
            self.saved_retries = (self.saved_retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        } else {
            self.saved_retries -= retry_cost(request);
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

/// Whether the effect of the request's class allows another attempt after those that may have run.
fn may_run_again(now: Micros, request: &Request, class: &Class) -> bool {
    let first_run = request.first_that_may_have_run();
    match class.effect {
        Effect::Idempotent => true,
        Effect::Deduplicated { window, .. } => first_run.is_none_or(|attempt| now < attempt.sent_at + window),
        Effect::NonIdempotent => first_run.is_none(),
    }
}

/// Detects requests by which a client retries an earlier one: by their mark where clients set it, else by a
/// timeout shorter than usual.
pub(crate) struct ClientRetries {
    clients_mark_retries: bool,
    /// Usual timeout of each class, a running estimate of [`USUAL_TIMEOUT_QUANTILE`], µs.
    usual_timeouts: Vec<f64>,
}

impl ClientRetries {
    pub fn new(clients_mark_retries: bool, classes: &[Class]) -> ClientRetries {
        let usual_timeouts = classes.iter().map(|class| class.deadline as f64).collect();
        ClientRetries { clients_mark_retries, usual_timeouts }
    }

    /// How long the client had waited when it sent this request, µs; 0 unless it is a retry. `class_index` is
    /// the index of `class`, and `is_marked` says whether the client marked the request as a retry.
    pub fn time_waited(
        &mut self,
        class_index: usize,
        class: &Class,
        timeout: Micros,
        is_marked: bool,
    ) -> Micros {
        let usual = &mut self.usual_timeouts[class_index];
        let is_longer = timeout as f64 > *usual;
        let direction = if is_longer { USUAL_TIMEOUT_QUANTILE } else { USUAL_TIMEOUT_QUANTILE - 1.0 };
        *usual += direction * QUANTILE_STEP * class.deadline as f64;
        let is_short = (timeout as f64) < SHORT_TIMEOUT_SHARE * *usual;
        let is_retry = if self.clients_mark_retries { is_marked } else { is_short };
        if is_retry {
            class.deadline.saturating_sub(timeout)
        } else {
            0
        }
    }
}
