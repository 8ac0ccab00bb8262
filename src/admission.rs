//! Admission: while the back end is overloaded, requests are rejected, those of low priority weight first.

use crate::api::{Micros, RequestId, Settings, Status};
use crate::decay::{decay, seconds, DecayingRate, RATE_HORIZON_S};
use std::collections::BTreeSet;

/// Target of the mean time to answer under load, as a share of the latency objective. At a higher mean, too
/// many answers would miss the objective.
pub(crate) const TARGET_LATENCY: f64 = 0.22;
/// Factor on the attempts in flight that the present rate of answers accounts for, so that the rate can grow.
const GROWTH_FACTOR: f64 = 1.15;
/// Attempts in flight that each server is allowed, over all gateways, even if there are few answers.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 5.0;
/// A limit below this many attempts applies to the mean of the attempts in flight; their number is then
/// limited by this.
const SMALL_LIMIT: f64 = 5.0;
/// Weight of one attempt in the mean latency.
const LATENCY_WEIGHT: f64 = 0.05;
/// Attempts in flight for longer than this many mean latencies count as lost.
const LOST_AFTER_LATENCIES: f64 = 4.0;
/// Share of the limit that requests of weight 0 may use; those of the highest weight may use all of it.
const MIN_LIMIT_SHARE: f64 = 0.5;

/// Identifies an attempt in flight by its time of sending, its request and its index; sorts by time of
/// sending.
type AttemptKey = (Micros, RequestId, u32);

/// Limits the attempts in flight from this gateway.
pub(crate) struct Admission {
    /// Number of gateways.
    gateways: f64,
    /// Highest priority weight of any class and plan.
    max_weight: f64,
    /// Longest latency objective of any class, µs.
    max_objective: f64,
    /// Mean time to answer as a share of the latency objective.
    latency: f64,
    /// Number of attempts that would be in flight at the present rate of answers if each took the target
    /// latency.
    target_in_flight: DecayingRate,
    in_flight: BTreeSet<AttemptKey>,
    mean_in_flight: f64,
    mean_updated_at: Micros,
    /// Attempts in flight that were sent before this have been reported as lost.
    lost_reported_until: Micros,
}

impl Admission {
    pub fn new(settings: &Settings) -> Admission {
        let weights = settings.classes.iter().map(|class| class.priority_weight);
        let factors = settings.plans.iter().map(|plan| plan.weight_factor);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        Admission {
            gateways: settings.gateways as f64,
            max_weight: weights.fold(0.0, f64::max) * factors.fold(0.0, f64::max),
            max_objective: objectives.max().unwrap_or(0) as f64,
            latency: 0.0,
            target_in_flight: DecayingRate::default(),
            in_flight: BTreeSet::new(),
            mean_in_flight: 0.0,
            mean_updated_at: 0,
            lost_reported_until: 0,
        }
    }

    /// Whether the mean latency is below the target, so that requests beyond the quota may be served.
    pub fn has_spare_capacity(&self) -> bool {
        self.latency < TARGET_LATENCY
    }

    /// Whether the back end has no capacity for a request of this priority weight: more attempts are in
    /// flight than the rate of answers accounts for at the target latency (Little's law).
    pub fn is_overloaded(&mut self, now: Micros, weight: f64, ready_servers: usize) -> bool {
        self.update_mean(now);
        let share = MIN_LIMIT_SHARE + (1.0 - MIN_LIMIT_SHARE) * weight / self.max_weight.max(1e-9);
        let slowdown = (TARGET_LATENCY / self.latency.max(1e-9)).min(1.0);
        let min_limit = MIN_IN_FLIGHT_PER_SERVER * ready_servers as f64 / self.gateways;
        let limit = (slowdown * min_limit).max(GROWTH_FACTOR * self.target_in_flight.get(now));
        let in_flight = self.count_in_flight(now);
        // A limit of a few attempts, as where many gateways share the servers, applies to the mean. Where
        // only slow answers lower it that far, it applies to the number: the mean would still include an
        // overload that ended.
        if limit < SMALL_LIMIT && min_limit < SMALL_LIMIT {
            return self.mean_in_flight >= share * limit || in_flight >= SMALL_LIMIT;
        }
        in_flight >= share * limit + limit.sqrt()
    }

    /// Number of attempts in flight without the lost ones, which occupy no server.
    fn count_in_flight(&self, now: Micros) -> f64 {
        let lost_before = now.saturating_sub(self.lost_after());
        let lost = self.in_flight.range(..(lost_before, RequestId(0), 0)).count();
        (self.in_flight.len() - lost) as f64
    }

    /// How long an attempt is in flight until it counts as lost rather than slow, µs.
    fn lost_after(&self) -> Micros {
        (LOST_AFTER_LATENCIES * self.max_objective * self.latency.max(TARGET_LATENCY)) as Micros
    }

    /// Attempts that became lost since the last call, each as its request and its index.
    pub fn newly_lost(&mut self, now: Micros) -> impl Iterator<Item = (RequestId, u32)> + '_ {
        let lost_before = now.saturating_sub(self.lost_after());
        let reported_until = self.lost_reported_until.min(lost_before);
        self.lost_reported_until = self.lost_reported_until.max(lost_before);
        let lost = self.in_flight.range((reported_until, RequestId(0), 0)..(lost_before, RequestId(0), 0));
        lost.map(|(_, id, attempt)| (*id, *attempt))
    }

    /// Updates the mean of the attempts in flight to `now`; must be called before their number changes.
    fn update_mean(&mut self, now: Micros) {
        let old_weight = decay(now.saturating_sub(self.mean_updated_at), RATE_HORIZON_S);
        self.mean_in_flight =
            self.mean_in_flight * old_weight + self.count_in_flight(now) * (1.0 - old_weight);
        self.mean_updated_at = now;
    }

    /// Updates the mean before [`Admission::record_send`].
    pub fn prepare_send(&mut self, now: Micros) {
        self.update_mean(now);
    }

    /// Adds an attempt that is sent now.
    pub fn record_send(&mut self, now: Micros, id: RequestId, attempt: u32) {
        self.in_flight.insert((now, id, attempt));
    }

    /// Removes an attempt that ended, and updates the mean latency and the rate of answers.
    pub fn record_end(
        &mut self,
        now: Micros,
        key: AttemptKey,
        status: Status,
        elapsed: Micros,
        objective: Micros,
    ) {
        self.update_mean(now);
        self.in_flight.remove(&key);
        let objective_s = seconds(objective);
        let latency = seconds(elapsed) / objective_s;
        // The latency of an attempt without an answer is unknown, so it counts as the objective at most; a
        // lost one is no measure of latency at all.
        let unanswered = matches!(status, Status::Timeout | Status::Cancelled);
        let is_slow = elapsed < self.lost_after() && unanswered;
        let latency = if status == Status::Ok { latency } else { latency.min(1.0) };
        if status == Status::Ok || is_slow {
            self.latency += LATENCY_WEIGHT * (latency - self.latency);
        }
        if status == Status::Ok {
            self.target_in_flight.add(now, TARGET_LATENCY * objective_s);
        }
    }
}
