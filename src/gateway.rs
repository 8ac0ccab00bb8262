//! The gateway: passes each event to the modules that decide on it.

use crate::admission::Admission;
use crate::api::{
    Action, CustomerId, Event, Gate, ListKind, Load, Micros, OpenGate, RejectReason, RequestId, ServerId,
    Settings, SettingsError, TimerId,
};
use crate::attempts::AttemptEnd;
use crate::customer::Customers;
use crate::decay::DecayingRate;
use crate::gossip::Gossip;
use crate::holding::request_of_timer;
use crate::load_balancing::LoadBalancer;
use crate::outlier_detection::OutlierDetector;
use crate::probing::Prober;
use crate::quota::UsageReports;
use crate::random::Random;
use crate::request::{Arrival, Request};
use crate::retry::{ClientRetries, RetryBudget};
use crate::servers::Servers;
use crate::shared_counter::{CounterReply, SharedCounter};
use std::collections::{BTreeMap, BTreeSet};

/// Timer of the next round of housekeeping.
const HOUSEKEEPING_TIMER: TimerId = TimerId(u64::MAX);
/// Time between two rounds of housekeeping, in which usage is exchanged too, µs.
const HOUSEKEEPING_INTERVAL: Micros = 100_000;
/// A final answer is due this many ticks before the client's timeout.
const DEADLINE_MARGIN_TICKS: Micros = 2;
/// Upper bound, exclusive, of a request's units.
const MAX_UNITS: f64 = 1e9;

/// Makes the decisions of one gateway, with all state that they depend on.
pub struct Gateway<G = OpenGate> {
    /// Restricts the zones that attempts may go to.
    pub gate: G,
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// Whether the first event was handled: it starts housekeeping and the server list subscription.
    started: bool,
    pub(crate) customers: Customers,
    /// Customers whose usage is to be sent to peers or added at the shared counter.
    pub(crate) changed_customers: BTreeSet<CustomerId>,
    /// Freshness of the usage reports that come with answers.
    pub(crate) usage_reports: UsageReports,
    pub(crate) gossip: Gossip,
    pub(crate) shared_counter: SharedCounter,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) retry_budget: RetryBudget,
    client_retries: ClientRetries,
    pub(crate) admission: Admission,
    pub(crate) servers: Servers,
    pub(crate) outliers: OutlierDetector,
    pub(crate) balancer: LoadBalancer,
    prober: Prober,
    /// Rate of the attempts sent, per second.
    pub(crate) send_rate: DecayingRate,
}

impl Gateway {
    /// Creates a gateway that starts now and may send to all zones; `seed` seeds its random numbers.
    ///
    /// # Errors
    /// [`SettingsError`] for the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        Gateway::with_gate(settings, seed, now, OpenGate)
    }
}

impl<G: Gate> Gateway<G> {
    /// Creates a gateway that starts now and sends only to the zones that `gate` leaves open.
    ///
    /// # Errors
    /// [`SettingsError`] for the first setting that is out of range.
    pub fn with_gate(settings: Settings, seed: u64, now: Micros, gate: G) -> Result<Self, SettingsError> {
        crate::check::check_settings(&settings)?;
        let capabilities = &settings.capabilities;
        Ok(Gateway {
            gate,
            random: Random(seed),
            started: false,
            customers: Customers::new(now),
            changed_customers: BTreeSet::new(),
            usage_reports: UsageReports::new(capabilities.usage_period, now),
            gossip: Gossip::new(&settings, seed),
            shared_counter: SharedCounter::new(capabilities, now),
            requests: BTreeMap::new(),
            retry_budget: RetryBudget::new(capabilities.max_attempts),
            client_retries: ClientRetries::new(capabilities.clients_mark_retries, &settings.classes),
            admission: Admission::new(&settings),
            servers: Servers::default(),
            outliers: OutlierDetector::new(),
            balancer: LoadBalancer::new(settings.zone, settings.gateways, settings.backend_limits.clone()),
            prober: Prober::new(capabilities),
            send_rate: DecayingRate::default(),
            settings,
        })
    }

    /// Number of customers whose state is kept.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Limits the number of customers whose state is kept. Beyond it, a customer that has no request in
    /// flight is dropped for a new one, and its quota begins anew when it comes again; if there is none, the
    /// new one's request is rejected.
    pub fn limit_customers(&mut self, max: usize) {
        self.customers.limit(max);
    }

    /// Handles an event that happens at `now` and appends the resulting actions to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            if self.settings.capabilities.must_subscribe {
                out.push(Action::SubscribeToServers);
            }
            self.run_housekeeping(now, out);
        }
        match event {
            Event::Servers { kind: ListKind::Failed, .. } => out.push(Action::SubscribeToServers),
            Event::Servers { kind, entries } => self.servers.update(now, kind, entries, &mut self.random),
            Event::Request {
                id,
                class,
                plan,
                customer,
                timeout,
                units,
                subset_size,
                subset_start,
                is_retry,
            } => {
                let arrival =
                    Arrival { class, plan, customer, timeout, units, subset_size, subset_start, is_retry };
                self.handle_request(now, id, &arrival, out);
            }
            Event::AnswerStarted { id } => {
                self.requests.entry(id).and_modify(|request| request.started = true);
            }
            Event::AttemptEnded {
                id,
                attempt,
                server,
                status,
                elapsed,
                request_finished,
                usage,
                settled_units,
                load,
            } => {
                self.handle_load(now, server, load);
                self.handle_usage(now, id, usage, settled_units);
                self.end_attempt(now, id, attempt, &AttemptEnd { status, elapsed, request_finished }, out);
            }
            Event::ClientDisconnected { id } => self.close(id),
            Event::Timer { timer: HOUSEKEEPING_TIMER } => self.run_housekeeping(now, out),
            Event::Timer { timer } => self.handle_timer(now, timer, out),
            Event::ProbeResult { server, load, .. } => self.handle_load(now, server, load),
            Event::PeerMessage { from, data } => self.receive_peer_message(now, from, &data),
            Event::CounterReply { counter, total, may_have_added, elapsed } => {
                self.handle_counter_reply(
                    now,
                    CustomerId(counter.0),
                    &CounterReply { total, may_have_added, elapsed },
                    out,
                );
            }
        }
    }

    fn handle_request(&mut self, now: Micros, id: RequestId, arrival: &Arrival, out: &mut Vec<Action>) {
        if self.requests.contains_key(&id) {
            return;
        }
        let Arrival { class, plan, customer, timeout, units, .. } = *arrival;
        let settings = &self.settings;
        let margin = DEADLINE_MARGIN_TICKS * settings.tick;
        let is_known = class < settings.classes.len() && plan < settings.plans.len();
        let is_valid = is_known && (0.0..MAX_UNITS).contains(&units);
        if !is_valid || timeout <= margin {
            let reason = if is_valid { RejectReason::DeadlineExceeded } else { RejectReason::InvalidRequest };
            return out.push(Action::Reject { id, retry_after: 0, reason });
        }
        let class_settings = &settings.classes[class];
        let waited = self.client_retries.time_waited(class, class_settings, timeout, arrival.is_retry);
        self.upsert_customer(now, customer, plan, arrival.subset_size, arrival.subset_start);
        if self.customers.get(customer).is_none() {
            let retry_after = self.settings.classes[class].latency_objective / 2;
            let reason = RejectReason::Overloaded;
            return out.push(Action::Reject { id, retry_after, reason });
        }
        let deadline = now.saturating_add(timeout - margin);
        let request = Request { class, plan, customer, units, arrived_at: now, ..Request::default() };
        self.handle_arrival(now, id, Request { waited, deadline, ..request }, out);
    }

    fn handle_timer(&mut self, now: Micros, timer: TimerId, out: &mut Vec<Action>) {
        let (id, is_deadline) = request_of_timer(timer);
        match self.requests.get(&id) {
            Some(_) if is_deadline => self.send_final_answer(id, 0, RejectReason::DeadlineExceeded, out),
            Some(request) if request.held => self.release(now, id, out),
            _ => {}
        }
    }

    fn handle_load(&mut self, now: Micros, id: ServerId, load: Option<Load>) {
        let (Some(server), Some(load)) = (self.servers.get_mut(id), load) else { return };
        self.balancer.record_report(now, id, server, &load);
    }

    /// Applies the customer's usage and the settled units that an answer reports.
    fn handle_usage(&mut self, now: Micros, id: RequestId, usage: Option<f64>, settled_units: Option<f64>) {
        let credit_factor = self.random.next();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(request.customer) else { return };
        let may_settle = request.within_quota && !request.finished;
        if let Some(units) = settled_units.filter(|units| units.is_finite() && may_settle) {
            customer.quota.settle(units - request.units);
        }
        let has_quota = customer.quota.plan.rate > 0.0;
        let is_valid = |usage: &f64| usage.is_finite() && *usage >= 0.0 && has_quota;
        let Some(usage) = usage.filter(is_valid) else { return };
        self.usage_reports.record_received(now);
        let period_s = self.usage_reports.period_s();
        let should_publish =
            customer.quota.apply_usage_report(now, usage, period_s, request.units, credit_factor);
        if should_publish && !self.gossip.sends_every_unit() {
            self.gossip.publish(request.customer, customer);
        }
    }

    fn handle_counter_reply(
        &mut self,
        now: Micros,
        id: CustomerId,
        reply: &CounterReply,
        out: &mut Vec<Action>,
    ) {
        let delay_factor = self.random.next();
        self.shared_counter.adapt_call_rate(reply);
        let Some(customer) = self.customers.get_mut(id) else { return };
        self.shared_counter.receive(now, id, customer, reply, delay_factor, out);
        let waiting = customer.count.take_waiting();
        self.changed_customers.insert(id);
        for request in waiting {
            if self.requests.get(&request).is_some_and(|request| request.held) {
                self.release(now, request, out);
            }
        }
    }

    /// Does the periodic work, and sets the timer for the next round.
    fn run_housekeeping(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.share_usage(now, out);
        self.gossip.send(now, &self.customers, out);
        self.record_lost_attempts(now);
        self.outliers.update(now, &self.servers);
        self.earn_slow_start_credit(now);
        let ready = self.servers.ready();
        if self.prober.is_due(now, ready.len().max(1) as f64, self.send_rate.get(now)) {
            out.extend(ready.iter().map(|id| Action::Probe { server: *id }));
        }
        self.customers.expire(now);
        out.push(Action::Timer { at: now + HOUSEKEEPING_INTERVAL, timer: HOUSEKEEPING_TIMER });
    }

    /// Queues new usage for peers and adds it at the shared counter. A customer with usage that may not be
    /// added yet stays in `changed_customers`.
    fn share_usage(&mut self, now: Micros, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.changed_customers) {
            let Some(customer) = self.customers.get_mut(id) else { continue };
            if self.gossip.sends_every_unit() && customer.peer_usage.is_significant() {
                self.gossip.publish(id, customer);
            }
            let needs_call = self.shared_counter.is_enabled() && customer.count.needs_call();
            if needs_call
                && (!self.shared_counter.call(now, id, customer, 0.0, out)
                    || self.shared_counter.is_exhausted())
            {
                self.changed_customers.insert(id);
            }
        }
    }

    /// Adds to the slow start credit of each server, in proportion to the mean rate at which this gateway
    /// sends to a ready server. While no server is warm, that rate says little about a warm server's
    /// capacity: it is then at least this gateway's share of the rate that the server's service time allows.
    fn earn_slow_start_credit(&mut self, now: Micros) {
        let limits = &self.settings.backend_limits;
        let ready = self.servers.ready();
        let send_rate = self.send_rate.get(now) / ready.len().max(1) as f64;
        let is_warming_up =
            |id: &ServerId| self.servers.ready_server(*id).slow_start.capacity_share(now, limits) < 1.0;
        let all_warming_up = ready.iter().all(is_warming_up);
        let usual_us = self.balancer.usual_service_time_us();
        let gateways = self.settings.gateways as f64;
        for server in self.servers.iter_mut() {
            let served_rate = if all_warming_up {
                1e6 / server.load.service_time_us(now, &server.health, usual_us).max(1.0) / gateways
            } else {
                0.0
            };
            server.slow_start.earn_credit(now, HOUSEKEEPING_INTERVAL, send_rate.max(served_rate), limits);
        }
    }
}
