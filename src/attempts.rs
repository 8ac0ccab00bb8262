//! Attempts and answers: the only places that send a request and that answer its client.

use crate::admission::TARGET_LATENCY;
use crate::api::{
    Action, Effect, Gate, DedupScope, Micros, PendingAttempt, RejectReason, RequestId, ServerId, Status,
};
use crate::gateway::Gateway;
use crate::load_balancing::{Choice, Criteria, REJECTION_BACKOFF};
use crate::outlier_detection::AttemptResult;
use crate::request::Attempt;

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub status: Status,
    pub elapsed: Micros,
    /// The request is finished with it.
    pub request_finished: bool,
}

impl AttemptEnd {
    /// What the end shows of the server's health; `None` if nothing.
    fn result(&self, latency_objective: Micros) -> Option<AttemptResult> {
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
    /// Sends the next attempt of a request.
    ///
    /// # Errors
    /// Why no attempt may be sent now.
    pub(crate) fn attempt(
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
        let in_time = (request.arrived_at + class.latency_objective).saturating_sub(elapsed) as f64;
        let max_wait = if is_first { class.latency_objective as f64 } else { in_time };
        let share = if request.within_quota { 1.0 } else { plan.over_quota_weight_share };
        let weight = class.priority_weight * plan.weight_factor * share;
        let late_weight = weight * class.late_weight_share;
        let Choice { server, wait } = self.choose_server(now, id)?;
        let weight = if in_time < wait { late_weight } else { weight };
        if wait > max_wait || self.admission.is_overloaded(now, weight, self.servers.ready().len()) {
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

    /// Takes a request's units from the ceiling, and from the quota if it is within that.
    fn take_units(&mut self, now: Micros, id: RequestId) -> Result<(), RejectReason> {
        let request = self.requests.get(&id).ok_or(RejectReason::InvalidRequest)?;
        let customer = self.customers.get_mut(request.customer).ok_or(RejectReason::InvalidRequest)?;
        if !customer.quota.take_from_ceiling(request.units) {
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
        let server_load = server.load.expected(now);
        server.load.record_send();
        server.slow_start.spend();
        self.gate.record_send(now, id, server.entry.zone);
        self.admission.record_send(now, id, request.attempts.len() as u32);
        let attempt = Attempt { server: to, sent_at: now, in_flight: true, may_have_run: false, server_load };
        request.attempts.push(attempt);
        out.push(Action::Send { id, server: to, timeout: request.deadline - now });
    }

    /// Gives the final answer: a rejection where a retry does no harm, else a failure.
    pub(crate) fn answer(
        &mut self,
        id: RequestId,
        retry_after: Micros,
        reason: RejectReason,
        out: &mut Vec<Action>,
    ) {
        let capabilities = &self.settings.capabilities;
        let is_open = |request: &&mut crate::request::Request| !request.finished && !request.started;
        let Some(request) = self.requests.get_mut(&id).filter(is_open) else { return };
        let is_harmless = match self.settings.classes[request.class].effect {
            Effect::Idempotent | Effect::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => request.first_that_may_run().is_none(),
        };
        out.push(if is_harmless {
            let advice =
                if capabilities.retry_after { retry_after.min(capabilities.max_retry_after) } else { 0 };
            Action::Reject { id, retry_after: advice, reason }
        } else {
            Action::Fail { id }
        });
        let attempts = request.attempts.iter().enumerate();
        for (number, _) in attempts.filter(|(_, attempt)| attempt.in_flight && capabilities.cancel) {
            out.push(Action::Cancel { id, attempt: number as u32 });
        }
        self.close(id);
    }

    /// Finishes a request; it stays known while an attempt is in flight.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.finished, true) {
            if let Some(customer) = self.customers.get_mut(request.customer) {
                customer.in_flight = customer.in_flight.saturating_sub(1);
            }
        }
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }

    /// Takes the end of an attempt, and retries or answers the request if that did not serve it.
    pub(crate) fn end_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u32,
        end: &AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(number as usize).filter(|attempt| attempt.in_flight);
        let Some(attempt) = attempt else { return };
        attempt.in_flight = false;
        attempt.may_have_run = end.status.may_have_run();
        let (id_of_server, finished) = (attempt.server, request.finished);
        let service_time_us = end.elapsed as f64 / (attempt.server_load + 1.0);
        let objective = self.settings.classes[request.class].latency_objective;
        let key = (attempt.sent_at, id, number);
        self.admission.record_end(now, key, end.status, end.elapsed, objective);
        if let Some(server) = self.servers.get_mut(id_of_server) {
            let kind = (request.class, request.plan);
            self.balancer.record_end(now, server, kind, end.status, service_time_us);
        }
        if let Some(result) = end.result(objective) {
            self.outliers.record(now, id_of_server, &mut self.servers, result);
        }
        if end.status == Status::Ok {
            self.balancer.record_contact(id_of_server);
        }
        if end.request_finished || finished {
            return self.close(id);
        }
        if let Err(reason) = self.attempt(now, id, out) {
            self.answer(id, REJECTION_BACKOFF, reason, out);
        }
    }

    /// Books attempts that became lost as failures of their servers, before their requests' time is over.
    pub(crate) fn record_lost_attempts(&mut self, now: Micros) {
        let requests = &self.requests;
        let server_of =
            |(id, number): (RequestId, u32)| Some(requests.get(&id)?.attempts.get(number as usize)?.server);
        let lost: Vec<ServerId> = self.admission.newly_lost(now).filter_map(server_of).collect();
        for server in lost {
            self.outliers.record(now, server, &mut self.servers, AttemptResult::Failure);
        }
    }
}
