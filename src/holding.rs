//! Holding: a request within its quota is released at once, others are held until their release time.

use crate::api::{Action, CustomerId, Gate, Micros, RejectReason, RequestId, TimerId};
use crate::customer::Customer;
use crate::gateway::Gateway;
use crate::pacing::max_hold_us;
use crate::quota::UsageSource;
use crate::request::Request;

/// Timer that expires at a request's deadline. A request's two timers have twice its id, and that plus one.
fn deadline_timer(id: RequestId) -> TimerId {
    TimerId(id.0 << 1)
}

/// Timer that expires when a held request is to be released.
fn release_timer(id: RequestId) -> TimerId {
    TimerId(id.0 << 1 | 1)
}

/// The request that a timer belongs to, and whether it is the deadline timer.
pub(crate) fn request_of_timer(timer: TimerId) -> (RequestId, bool) {
    (RequestId(timer.0 >> 1), timer.0 & 1 == 0)
}

impl<G: Gate> Gateway<G> {
    /// Adds a customer or updates the subset of a known one; does nothing if the plan is unknown.
    pub(crate) fn upsert_customer(
        &mut self,
        now: Micros,
        id: CustomerId,
        plan: usize,
        subset_size: usize,
        subset_start: usize,
    ) {
        let Some(plan_settings) = self.settings.plans.get(plan) else { return };
        let subset_size = subset_size.clamp(1, self.settings.gateways);
        self.customers.upsert(now, id, plan, plan_settings, subset_size, subset_start);
    }

    /// How precisely the customer's usage at other gateways is known at present.
    fn usage_source(&self, now: Micros, customer: &Customer) -> UsageSource {
        let known_by_counter = self.shared_counter.knows_usage_of(now, &customer.count);
        if known_by_counter || self.gossip.knows_usage_of(now, customer) {
            UsageSource::Exact
        } else if self.usage_reports.are_fresh(now) {
            UsageSource::Metered
        } else {
            UsageSource::Unknown
        }
    }

    /// Handles a request's arrival. Where the shared counter is called for it, the request is held until the
    /// reply; else it is released at once if it is within the quota, or at its pacer's release time.
    pub(crate) fn handle_arrival(
        &mut self,
        now: Micros,
        id: RequestId,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let objective = self.settings.classes[request.class].latency_objective;
        let (units, deadline) = (request.units, request.deadline);
        let max_hold_us = max_hold_us(objective, deadline - now);
        let Some(source) = self.customers.get(request.customer).map(|known| self.usage_source(now, known))
        else {
            return;
        };
        self.gossip.record_request();
        self.shared_counter.record_request();
        let Some(customer) = self.customers.get_mut(request.customer) else { return };
        let quota = &mut customer.quota;
        quota.refill(now, units, source);
        let rate = quota.plan.rate * quota.share(now, source);
        customer.pacer.advance(now, rate, customer.in_flight, max_hold_us / 1e3);
        customer.pacer.record_arrival(units);
        quota.record_arrival(now, units);
        customer.in_flight += 1;
        let in_flight = customer.counted_in_flight();
        let quota = &mut customer.quota;
        let is_covered = quota.covers(now, units, source, in_flight);
        let should_call_counter =
            self.shared_counter.is_enabled() && source != UsageSource::Exact && quota.bucket_has(units);
        let reserved_units = if quota.demand(now) > 1.0 { 0.0 } else { units };
        let mut release_at = customer.pacer.release_time(now, max_hold_us);
        out.push(Action::Timer { at: deadline, timer: deadline_timer(id) });
        let waits_for_counter = should_call_counter
            && self.shared_counter.call(now, request.customer, customer, reserved_units, out);
        let held = waits_for_counter || !is_covered && release_at > now;
        if waits_for_counter {
            release_at = now + max_hold_us as Micros;
            customer.count.add_waiting(id);
        } else if held {
            customer.pacer.reserve(release_at);
        }
        self.requests.insert(id, Request { held, ..request });
        if held {
            out.push(Action::Timer { at: release_at.min(deadline), timer: release_timer(id) });
        } else {
            self.release(now, id, out);
        }
    }

    /// Releases a request. It is sent if it is within the quota, or if its plan makes usage beyond the quota
    /// worth its cost and the back end has spare capacity; else it is rejected.
    pub(crate) fn release(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.held = false;
        let (units, customer) = (request.units, request.customer);
        let objective = self.settings.classes[request.class].latency_objective;
        let Some(source) = self.customers.get(customer).map(|known| self.usage_source(now, known)) else {
            return;
        };
        let Some(customer) = self.customers.get_mut(customer) else { return };
        let in_flight = customer.counted_in_flight();
        let quota = &mut customer.quota;
        quota.refill(now, units, source);
        quota.earn_credit(now, units, source);
        let within_quota = quota.covers(now, units, source, in_flight);
        let is_worth_it = quota.plan.over_quota_weight_share > quota.plan.over_quota_cost_share;
        let may_exceed_quota = is_worth_it && self.admission.has_spare_capacity();
        if !within_quota && !may_exceed_quota {
            let retry_after = quota.time_until(now, units, source);
            return self.send_final_answer(id, retry_after, RejectReason::Quota, out);
        }
        self.requests.entry(id).and_modify(|request| request.within_quota = within_quota);
        if let Err(reason) = self.start_attempt(now, id, out) {
            self.send_final_answer(id, objective / 2, reason, out);
        }
    }
}
