//! Token buckets that enforce this gateway's share of each tenant's quota.

use frostgauge_consensus::Micros;
use std::collections::BTreeMap;

/// A bucket holds at most what its rate yields in this many microseconds.
const MAX_SAVED_MICROS: u128 = 1_000_000;
/// Converts costs to the unit of levels. Levels are in thousandths of a unit times microseconds, so that adding a rate in
/// thousandths of a unit per second needs no division.
const MICROS_PER_SECOND: u128 = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// What requests may still cost now, in thousandths of a unit times microseconds.
    level: u128,
    refilled_at: Micros,
}

/// A request's cost and its tenant's rate at this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// Thousandths of a unit.
    pub(crate) cost_milli: u64,
    /// Thousandths of a unit per second.
    pub(crate) rate_milli: u64,
}

impl Charge {
    /// The cost in the unit of levels.
    fn cost(self) -> u128 {
        u128::from(self.cost_milli) * MICROS_PER_SECOND
    }

    /// The rate in the unit of levels per microsecond.
    fn rate(self) -> u128 {
        u128::from(self.rate_milli)
    }
}

/// The buckets, by tenant.
#[derive(Debug, Default)]
pub(crate) struct QuotaBuckets(BTreeMap<String, Bucket>);

impl QuotaBuckets {
    /// Drops the buckets of unknown tenants. If such a tenant is known again later, its new bucket starts with the cost of
    /// one request.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&String) -> bool) {
        self.0.retain(|tenant, _| is_known(tenant));
    }

    /// Checks whether a tenant's share covers a request, without charging it.
    ///
    /// # Errors
    /// Microseconds until the share covers it; 0 if the rate is 0, so that it never does.
    pub(crate) fn check(&mut self, now: Micros, tenant: &str, charge: Charge) -> Result<(), Micros> {
        let level = self.refill(now, tenant, charge).level;
        if level < charge.cost() {
            return Err(time_until(charge.cost() - level, charge.rate()));
        }
        Ok(())
    }

    /// Charges a request's cost to a tenant's share.
    ///
    /// # Errors
    /// As for [`QuotaBuckets::check`]; nothing is charged then.
    pub(crate) fn charge(&mut self, now: Micros, tenant: &str, charge: Charge) -> Result<(), Micros> {
        self.check(now, tenant, charge)?;
        if let Some(bucket) = self.0.get_mut(tenant) {
            bucket.level -= charge.cost();
        }
        Ok(())
    }

    fn refill(&mut self, now: Micros, tenant: &str, charge: Charge) -> Bucket {
        // A share of less than one request per second must accumulate up to a whole request's cost, or no request would
        // ever be admitted.
        let max_level = (charge.rate() * MAX_SAVED_MICROS).max(charge.cost());
        // A new bucket holds the cost of one request and not the yield of a second: a gateway that restarts repeatedly
        // would otherwise admit another second's share after each restart.
        let new_bucket = Bucket { level: charge.cost(), refilled_at: now };
        let bucket = self.0.entry(tenant.to_owned()).or_insert(new_bucket);
        let elapsed = u128::from(now.saturating_sub(bucket.refilled_at));
        bucket.level = (bucket.level + elapsed * charge.rate()).min(max_level);
        bucket.refilled_at = now.max(bucket.refilled_at);
        *bucket
    }
}

/// Microseconds in which `rate` yields `missing`, both in the unit of levels, rounded up; 0 if the rate is 0.
fn time_until(missing: u128, rate: u128) -> Micros {
    if rate == 0 {
        return 0;
    }
    Micros::try_from(missing.div_ceil(rate)).unwrap_or(Micros::MAX)
}
