//! Attempts and final answers: all attempts are sent here, and all final answers are given here except the
//! rejection of invalid requests.

use crate::admission::TARGET_LATENCY;
use crate::api::{
    Action, DedupScope, Effect, Gate, Micros, PendingAttempt, RejectReason, RequestId, ServerId, Status,
};
use crate::gateway::Gateway;
use crate::load_balancing::{Choice, Criteria, REJECTION_BACKOFF};
use crate::outlier_detection::AttemptResult;
use crate::request::Attempt;

/// The end of an attempt; its fields are those of [`crate::Event::AttemptEnded`].
pub(crate) struct AttemptEnd {
    pub status: Status,
    pub elapsed: Micros,
    /// The request is finished: it is neither retried nor answered.
    pub request_finished: bool,
}

impl AttemptEnd {
    /// The result for the server's health; `None` if the end says nothing about it.
    fn health_result(&self, latency_objective: Micros) -> Option<AttemptResult> {
        match self.status {
            Status::Ok => Some(AttemptResult::Success),
            Status::Error | Status::Reset | Status::WriteFailed => Some(AttemptResult::Failure),
            Status::ConnectFailed => Some(AttemptResult::Unreachable),
            Status::Timeout | Status::Cancelled if self.elapsed >= latency_objective => {
                Some(AttemptResult::Failure)
            }
            _ => None,
        }
    }
}

impl<G: Gate> Gateway<G> {
    /// Chooses a server for the next attempt of a request and sends it.
    ///
    /// # Errors
    /// The reason why no attempt may be sent now.
    pub(crate) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> Result<(), RejectReason> {
        let Some(request) = self.requests.get(&id) else { return Err(RejectReason::InvalidRequest) };
        let (class, plan) = (&self.settings.classes[request.class], &self.settings.plans[request.plan]);
        self.retry_budget.check(now, request, class)?;
        let is_first = request.attempts.is_empty();
        let elapsed = now + request.waited;
        let until_objective = (request.arrived_at + class.latency_objective).saturating_sub(elapsed) as f64;
        let max_wait_us = if is_first { class.latency_objective as f64 } else { until_objective };
        let share = if request.within_quota { 1.0 } else { plan.over_quota_weight_share };
        let weight = class.priority_weight * plan.weight_factor * share;
        let late_weight = weight * class.late_weight_share;
        let Choice { server, wait_us } = self.choose_server(now, id)?;
        let weight = if until_objective < wait_us { late_weight } else { weight };
        if wait_us > max_wait_us || self.admission.is_overloaded(now, weight, self.servers.ready().len()) {
            return Err(RejectReason::Overloaded);
        }
        if is_first {
            self.take_units(now, id)?;
        }
        self.send(now, id, server, out);
        Ok(())
    }

    fn choose_server(&mut self, now: Micros, id: RequestId) -> Result<Choice, RejectReason> {
        let request = self.requests.get(&id).ok_or(RejectReason::InvalidRequest)?;
        let class = &self.settings.classes[request.class];
        let pending = PendingAttempt {
            id,
            idempotent: class.effect == Effect::Idempotent,
            priority_weight: class.priority_weight * self.settings.plans[request.plan].weight_factor,
        };
        let criteria = Criteria {
            request,
            effect: class.effect,
            open_zones: self.gate.open_zones(now, &pending),
            is_retry: !request.attempts.is_empty(),
            max_usual_us: TARGET_LATENCY * class.latency_objective as f64,
        };
        self.balancer.choose(now, &criteria, &mut self.servers, &self.outliers, &mut self.random)
    }

    /// Takes a request's units from the customer's ceiling, and from its quota if the request is within it.
    ///
    /// # Errors
    /// [`RejectReason::Ceiling`] if this gateway's share of the ceiling is used up.
    fn take_units(&mut self, now: Micros, id: RequestId) -> Result<(), RejectReason> {
        let request = self.requests.get(&id).ok_or(RejectReason::InvalidRequest)?;
        let customer = self.customers.get_mut(request.customer).ok_or(RejectReason::InvalidRequest)?;
        if !customer.quota.try_take_from_ceiling(request.units) {
            return Err(RejectReason::Ceiling);
        }
        if request.within_quota {
            customer.quota.take(request.units);
            customer.peer_usage.record(request.units);
            customer.count.record(now, request.units);
            self.changed_customers.insert(request.customer);
        }
        Ok(())
    }

    fn send(&mut self, now: Micros, id: RequestId, to: ServerId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.retry_budget.record_attempt(request);
        self.send_rate.add(now, 1.0);
        self.admission.prepare_send(now);
        let Some(server) = self.servers.get_mut(to) else { return };
        let server_load = server.load.expected_requests(now);
        server.load.record_send();
        server.slow_start.spend();
        self.gate.record_send(now, id, server.entry.zone);
        self.admission.record_send(now, id, request.attempts.len() as u32);
        request.attempts.push(Attempt {
            server: to,
            location: server.location(),
            sent_at: now,
            in_flight: true,
            may_have_run: false,
            server_load,
        });
        out.push(Action::Send { id, server: to, timeout: request.deadline - now });
    }

    /// Gives the final answer unless the request has one or its streamed answer has begun: a rejection if a
    /// retry by the client does no harm, else a failure. Cancels the attempts in flight.
    pub(crate) fn send_final_answer(
        &mut self,
        id: RequestId,
        retry_after: Micros,
        reason: RejectReason,
        out: &mut Vec<Action>,
    ) {
        let capabilities = &self.settings.capabilities;
        let is_unanswered = |request: &&mut crate::request::Request| !request.finished && !request.started;
        let Some(request) = self.requests.get_mut(&id).filter(is_unanswered) else { return };
        let is_retry_harmless = match self.settings.classes[request.class].effect {
            Effect::Idempotent | Effect::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => request.first_that_may_run().is_none(),
        };
        out.push(if is_retry_harmless {
            let advised_wait =
                if capabilities.retry_after { retry_after.min(capabilities.max_retry_after) } else { 0 };
            Action::Reject { id, retry_after: advised_wait, reason }
        } else {
            Action::Fail { id }
        });
        let attempts = request.attempts.iter().enumerate();
        for (attempt_index, _) in attempts.filter(|(_, attempt)| attempt.in_flight && capabilities.cancel) {
            out.push(Action::Cancel { id, attempt: attempt_index as u32 });
        }
        self.close(id);
    }

    /// Finishes a request; its state is kept while an attempt is in flight.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_finished = std::mem::replace(&mut request.finished, true);
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if let Some(customer) = self.customers.get_mut(request.customer) {
            customer.record_finished(was_finished, has_attempt_in_flight);
        }
        if !has_attempt_in_flight {
            self.requests.remove(&id);
        }
    }

    /// Handles the end of an attempt, and retries or answers the request unless the request is finished.
    pub(crate) fn end_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt_index: u32,
        end: &AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(attempt_index as usize).filter(|attempt| attempt.in_flight);
        let Some(attempt) = attempt else { return };
        attempt.in_flight = false;
        attempt.may_have_run = end.status.may_have_run();
        let (server_id, finished) = (attempt.server, request.finished);
        let service_time_us = end.elapsed as f64 / (attempt.server_load + 1.0);
        let objective = self.settings.classes[request.class].latency_objective;
        let key = (attempt.sent_at, id, attempt_index);
        self.admission.record_end(now, key, end.status, end.elapsed, objective);
        if let Some(server) = self.servers.get_mut(server_id) {
            let kind = (request.class, request.plan);
            self.balancer.record_end(now, server, kind, end.status, service_time_us);
        }
        if let Some(result) = end.health_result(objective) {
            self.outliers.record(now, server_id, &mut self.servers, result);
        }
        if end.status == Status::Ok {
            self.balancer.record_contact(server_id);
        }
        if end.request_finished || finished {
            return self.close(id);
        }
        if let Err(reason) = self.start_attempt(now, id, out) {
            self.send_final_answer(id, REJECTION_BACKOFF, reason, out);
        }
    }

    /// Records newly lost attempts as failures of their servers, without waiting for the attempts to time
    /// out.
    pub(crate) fn record_lost_attempts(&mut self, now: Micros) {
        let requests = &self.requests;
        let server_of = |(id, attempt_index): (RequestId, u32)| {
            Some(requests.get(&id)?.attempts.get(attempt_index as usize)?.server)
        };
        let lost: Vec<ServerId> = self.admission.newly_lost(now).filter_map(server_of).collect();
        for server in lost {
            self.outliers.record(now, server, &mut self.servers, AttemptResult::Failure);
        }
    }
}
