//! Quota: a customer's token bucket, this gateway's share of it, and its share of the hard ceiling.

use crate::api::{Micros, Plan};
use crate::decay::{decay, seconds, DecayingRate, RATE_HORIZON_S};

/// Without a usage report for longer than this, each gateway uses no more than its even share, µs.
const MAX_USAGE_REPORT_AGE: Micros = 4_000_000;
/// Maximum share of one gateway while the customer's usage is within the quota, as a multiple of the even
/// share.
const MAX_EVEN_SHARES: f64 = 4.0;
/// Minimum capacity of a gateway's credit, requests.
const MIN_CREDIT_REQUESTS: f64 = 2.0;
/// Time until usage reports show the effect of a change of share, µs.
const USAGE_REPORT_LAG: Micros = 2_000_000;
/// Time constant by which a demand decays that is not reported again, s.
const DEMAND_HORIZON_S: f64 = 5.0;
/// Weight of the demand known before a usage report, as the number of requests that would weigh as much.
const DEMAND_PRIOR_REQUESTS: f64 = 1.0;
/// Upper bound of the demand, as a multiple of the quota.
pub(crate) const MAX_DEMAND: f64 = 10.0;
/// Demand assumed of a customer whose bucket at the shared counter is empty, as a multiple of the quota.
const EMPTY_BUCKET_DEMAND: f64 = 2.0;
/// Maximum overdraft of the bucket by usage at other gateways, as a multiple of the burst.
const MAX_OVERDRAFT_BURSTS: f64 = 0.5;

/// How precisely a customer's usage at other gateways is known.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum UsageSource {
    /// Every unit is known, from the shared counter or from all peers.
    Exact,
    /// The total demand is known, from usage reports read here or at a peer.
    Metered,
    /// Nothing is known.
    Unknown,
}

/// When usage reports, which come with answers, were last received.
pub(crate) struct UsageReports {
    period: Micros,
    received_at: Micros,
}

impl UsageReports {
    /// Creates the state at start, which counts as a report received.
    pub fn new(period: Micros, now: Micros) -> UsageReports {
        UsageReports { period, received_at: now }
    }

    /// Records that a report on any customer was received.
    pub fn record_received(&mut self, now: Micros) {
        self.received_at = now;
    }

    /// Whether usage is reported at all and was within [`MAX_USAGE_REPORT_AGE`].
    pub fn are_fresh(&self, now: Micros) -> bool {
        self.period > 0 && now <= self.received_at + MAX_USAGE_REPORT_AGE
    }

    /// Period that one report covers, s.
    pub fn period_s(&self) -> f64 {
        seconds(self.period)
    }
}

/// Demand of a customer at all gateways, as a multiple of its quota.
#[derive(Default)]
struct Demand {
    /// The demand as of `observed_at`; 1 equals the quota.
    quotas: f64,
    observed_at: Micros,
}

/// The quota of one customer as seen by this gateway.
pub(crate) struct Quota {
    /// The customer's plan.
    pub plan: Plan,
    /// Number of gateways in the customer's subset.
    pub subset_size: usize,
    /// Units in the token bucket; negative if it is overdrawn.
    level: f64,
    /// Units that this gateway may use by itself while the usage at others is not known exactly.
    credit: f64,
    /// Whether the credit was cut because the demand rose beyond the quota.
    credit_cut: bool,
    /// Units in this gateway's share of the ceiling's token bucket.
    ceiling_level: f64,
    /// When the buckets and the credit were last refilled.
    refilled_at: Micros,
    /// Rate of the customer's arrivals at this gateway, units/s.
    arrival_rate: DecayingRate,
    demand: Demand,
}

impl Quota {
    /// Creates a quota with a full bucket. The ceiling's bucket is empty when the process starts, since an
    /// earlier incarnation may have used its units, and has been refilled for `uptime` since.
    pub fn new(plan: Plan, subset_size: usize, now: Micros, uptime: Micros) -> Quota {
        let even_share = 1.0 / subset_size as f64;
        Quota {
            subset_size,
            level: plan.burst,
            credit: plan.burst,
            credit_cut: false,
            ceiling_level: seconds(uptime) * plan.ceiling_rate * even_share,
            refilled_at: now,
            arrival_rate: DecayingRate::default(),
            demand: Demand::default(),
            plan,
        }
    }

    /// The share of each gateway if all of the subset have equal shares.
    fn even_share(&self) -> f64 {
        1.0 / self.subset_size as f64
    }

    /// Demand at all gateways as far as it is known, as a multiple of the quota.
    pub fn demand(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.demand.observed_at.saturating_add(USAGE_REPORT_LAG));
        self.demand.quotas * decay(age, DEMAND_HORIZON_S)
    }

    /// Demand as last observed, without decay, as a multiple of the quota; this is sent to peers.
    pub fn observed_demand(&self) -> f64 {
        self.demand.quotas
    }

    /// This gateway's share of the quota: 1 if every unit is known, the even share if nothing is known, else
    /// the part that arrives here of the total demand, but no less than the even share.
    pub fn share(&self, now: Micros, source: UsageSource) -> f64 {
        let (even_share, total_rate) = (self.even_share(), self.demand(now) * self.plan.rate);
        match source {
            UsageSource::Exact => 1.0,
            UsageSource::Unknown => even_share,
            UsageSource::Metered => {
                (self.arrival_rate.get(now) / total_rate.max(1e-9)).clamp(even_share, 1.0)
            }
        }
    }

    /// Refills the bucket, the credit and the share of the ceiling. The credit's capacity is enough for at
    /// least [`MIN_CREDIT_REQUESTS`] of `units`.
    pub fn refill(&mut self, now: Micros, units: f64, source: UsageSource) {
        let (plan, even_share) = (&self.plan, self.even_share());
        let elapsed = seconds(now.saturating_sub(self.refilled_at));
        self.level = (self.level + elapsed * plan.rate).min(plan.burst);
        // Beyond the quota, requests earn the credit in `earn_credit`, but only while the demand is metered.
        if self.demand(now) <= 1.0 || source == UsageSource::Unknown {
            let share = if source == UsageSource::Unknown {
                even_share
            } else {
                (MAX_EVEN_SHARES * even_share).min(1.0)
            };
            // The demand is back within the quota: restore the credit that was cut when it rose.
            let credit = if std::mem::take(&mut self.credit_cut) { plan.burst } else { self.credit };
            let max_credit = (plan.burst * share).max(MIN_CREDIT_REQUESTS * units);
            self.credit = (credit + elapsed * plan.rate * share).min(max_credit);
        }
        let max_ceiling = (plan.ceiling_burst + plan.ceiling_slack) * even_share;
        self.ceiling_level = (self.ceiling_level + elapsed * plan.ceiling_rate * even_share).min(max_ceiling);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Units that requests may use now.
    fn available(&self, source: UsageSource) -> f64 {
        if source == UsageSource::Exact {
            self.level
        } else {
            self.level.min(self.credit)
        }
    }

    /// Whether the bucket has these units, without regard to this gateway's share of it.
    pub fn bucket_has(&self, units: f64) -> bool {
        self.level >= units
    }

    /// Whether a request is within the quota, in units and in requests in flight; `in_flight` includes the
    /// request itself.
    pub fn covers(&self, now: Micros, units: f64, source: UsageSource, in_flight: u32) -> bool {
        let max_in_flight = (f64::from(self.plan.max_in_flight) * self.share(now, source)).round().max(1.0);
        (self.plan.rate == 0.0 || self.available(source) >= units)
            && (self.plan.max_in_flight == 0 || f64::from(in_flight) <= max_in_flight)
    }

    /// Time until this gateway's share of the quota has refilled the missing part of `units`, µs.
    pub fn time_until(&self, now: Micros, units: f64, source: UsageSource) -> Micros {
        let missing = units - self.available(source);
        if self.plan.rate <= 0.0 {
            return 0;
        }
        (missing.max(0.0) / (self.plan.rate * self.share(now, source)) * 1e6) as Micros
    }

    /// Counts the units of a request that arrives at this gateway.
    pub fn record_arrival(&mut self, now: Micros, units: f64) {
        self.arrival_rate.add(now, units);
    }

    /// Adds to the credit for a request while the demand is metered and beyond the quota: the part of its
    /// units that the quota is of the demand.
    pub fn earn_credit(&mut self, now: Micros, units: f64, source: UsageSource) {
        let demand = self.demand(now);
        if source == UsageSource::Metered && demand > 1.0 {
            self.credit = (self.credit + units / demand).min(2.0 * units);
        }
    }

    /// Takes the units of a request within the quota from the bucket and the credit.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
        self.credit = (self.credit - units).max(0.0);
    }

    /// Takes units from this gateway's share of the ceiling; returns false and takes none if it has too few.
    pub fn try_take_from_ceiling(&mut self, units: f64) -> bool {
        if self.plan.ceiling_rate > 0.0 && self.ceiling_level < units {
            return false;
        }
        self.ceiling_level -= units;
        true
    }

    /// Since when this gateway's share of the ceiling would have refilled from empty to its present level,
    /// µs; 0 without a ceiling.
    pub fn ceiling_empty_since(&self) -> Micros {
        let rate = self.plan.ceiling_rate * self.even_share();
        if rate <= 0.0 {
            return 0;
        }
        (self.refilled_at as f64 - self.ceiling_level / rate * 1e6).max(0.0) as Micros
    }

    /// Corrects the bucket by the units that a request used beyond its estimate, negative if it used fewer.
    pub fn settle(&mut self, extra_units: f64) {
        self.level = (self.level - extra_units).min(self.plan.burst);
    }

    /// Takes units that were used at another gateway. If both used the same units at once, the bucket is
    /// overdrawn, by [`MAX_OVERDRAFT_BURSTS`] at most. A figure above the burst is ignored.
    pub fn take_peer_usage(&mut self, units: f64) {
        let units = if units <= self.plan.burst { units } else { 0.0 };
        let min_level = -self.plan.burst * MAX_OVERDRAFT_BURSTS;
        self.level = (self.level - units).max(min_level.min(self.level));
    }

    /// Sets the bucket to the level at the shared counter, in units. If that is below 1, the demand is taken
    /// to be at least [`EMPTY_BUCKET_DEMAND`].
    pub fn set_level(&mut self, now: Micros, level: f64) {
        self.level = level;
        if level < 1.0 && self.demand(now) < EMPTY_BUCKET_DEMAND {
            self.observe_demand(now, EMPTY_BUCKET_DEMAND, 0.0);
        }
    }

    /// Sets the demand to a new figure. When it rises beyond the quota, the credit is cut to `onset_credit`.
    /// For a reported demand each gateway draws that at random, so that they do not all send their first
    /// request at the same time.
    pub fn observe_demand(&mut self, now: Micros, demand: f64, onset_credit: f64) {
        if self.demand(now) <= 1.0 && demand > 1.0 {
            self.credit = self.credit.min(onset_credit);
            self.credit_cut = true;
        }
        self.demand = Demand { quotas: demand, observed_at: now };
    }

    /// Applies a usage report that came with the answer to a request of `units`; returns whether the demand,
    /// before or after it, is beyond the quota, so that peers need it. `usage` is a multiple of the quota,
    /// and `credit_factor` a random number from 0 to 1 that sets the credit when the demand rises beyond the
    /// quota.
    pub fn apply_usage_report(
        &mut self,
        now: Micros,
        usage: f64,
        period_s: f64,
        units: f64,
        credit_factor: f64,
    ) -> bool {
        let previous = self.demand(now);
        // Beyond the quota a report shows usage as limited by the gateways' shares some time ago. It can only
        // be compared with the present demand if that has not changed since.
        if previous > 1.0 && now < self.demand.observed_at + USAGE_REPORT_LAG {
            return false;
        }
        let requests = usage * self.plan.rate * period_s / units.max(1e-9);
        let novelty = 1.0 - decay(now.saturating_sub(self.demand.observed_at), RATE_HORIZON_S);
        let weight = novelty * requests / (requests + DEMAND_PRIOR_REQUESTS);
        let demand = (previous + weight * (usage * previous.max(1.0) - previous)).min(MAX_DEMAND);
        self.observe_demand(now, demand, credit_factor * units);
        demand.max(previous) > 1.0
    }

    /// When the state of a customer without further requests may be dropped: its buckets are full by then.
    pub fn expires_at(&self) -> Micros {
        let plan = &self.plan;
        let fill_time_s = |capacity: f64, rate: f64| if rate > 0.0 { capacity / rate } else { 0.0 };
        let quota_s =
            fill_time_s(plan.burst * (1.0 + MAX_OVERDRAFT_BURSTS), plan.rate) * self.subset_size as f64;
        let ceiling_s = fill_time_s(plan.ceiling_burst + plan.ceiling_slack, plan.ceiling_rate);
        self.refilled_at + ((quota_s.max(ceiling_s) + 1.0) * 1e6) as Micros
    }
}
