//! State kept for each customer.

use crate::api::{CustomerId, Micros, Plan};
use crate::gossip::PeerUsage;
use crate::pacing::Pacer;
use crate::quota::Quota;
use crate::shared_counter::CustomerCount;
use std::collections::BTreeMap;

/// State of one customer at this gateway.
pub(crate) struct Customer {
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the first gateway of the customer's subset.
    pub subset_start: usize,
    /// Number of the customer's requests at this gateway that are held or in flight.
    pub in_flight: u32,
    /// Number of the customer's finished requests with an attempt in flight, such as those whose clients have
    /// left; counted only if the plan limits the requests in flight.
    finished_in_flight: u32,
    pub quota: Quota,
    pub pacer: Pacer,
    pub peer_usage: PeerUsage,
    pub count: CustomerCount,
}

impl Customer {
    /// Number of the customer's requests that count against the limit of its plan.
    pub fn counted_in_flight(&self) -> u32 {
        self.in_flight + self.finished_in_flight
    }

    /// Whether it has requests or counter calls in flight.
    fn is_active(&self) -> bool {
        self.counted_in_flight() > 0 || self.count.call_in_flight()
    }

    /// Records that a request is finished, or, if it was before, that one of its attempts ended.
    pub fn record_finished(&mut self, was_finished: bool, has_attempt_in_flight: bool) {
        if !was_finished {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        let is_limited = self.quota.plan.max_in_flight > 0;
        match (was_finished, has_attempt_in_flight) {
            (false, true) if is_limited => self.finished_in_flight += 1,
            (true, false) => self.finished_in_flight = self.finished_in_flight.saturating_sub(1),
            _ => {}
        }
    }
}

/// Customers compared when one has to be dropped for another.
const EVICTION_CANDIDATES: usize = 8;

/// All customers with recent requests at this gateway or recent updates from peers.
pub(crate) struct Customers {
    /// Since when the use of ceilings is known, µs: since the start of the process, or since a dropped
    /// customer's ceiling would have been empty. New customers' ceilings have refilled since then.
    ceilings_known_since: Micros,
    max: usize,
    by_id: BTreeMap<CustomerId, Customer>,
    /// Candidates for eviction are looked for from here on.
    next_candidate: CustomerId,
}

impl Customers {
    pub fn new(now: Micros) -> Customers {
        Customers {
            ceilings_known_since: now,
            max: usize::MAX,
            by_id: BTreeMap::new(),
            next_candidate: CustomerId::default(),
        }
    }

    /// Limits the number of customers from now on.
    pub fn limit(&mut self, max: usize) {
        self.max = max.max(1);
    }

    pub fn get(&self, id: CustomerId) -> Option<&Customer> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        self.by_id.get_mut(&id)
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Adds a customer with a full quota bucket and no pacing delay, or updates the subset of a known one. At
    /// the limit, a customer whose buckets are full again soonest is dropped for it, by a sample; if all have
    /// requests in flight, it is not added.
    pub fn upsert(
        &mut self,
        now: Micros,
        id: CustomerId,
        plan: usize,
        plan_settings: &Plan,
        subset_size: usize,
        subset_start: usize,
    ) {
        if let Some(known) = self.by_id.get_mut(&id) {
            known.quota.subset_size = known.quota.subset_size.max(subset_size);
            known.subset_start = subset_start;
            return;
        }
        if self.by_id.len() >= self.max && !self.evict(now) {
            return;
        }
        let customer = Customer {
            plan,
            subset_start,
            in_flight: 0,
            finished_in_flight: 0,
            quota: Quota::new(
                plan_settings.clone(),
                subset_size,
                now,
                now.saturating_sub(self.ceilings_known_since),
            ),
            pacer: Pacer::new(now),
            peer_usage: PeerUsage::default(),
            count: CustomerCount::default(),
        };
        self.by_id.insert(id, customer);
    }

    /// Drops one customer; whether there was one that may be dropped.
    fn evict(&mut self, now: Micros) -> bool {
        let from = self.next_candidate;
        let all = self.by_id.range(from..).chain(self.by_id.range(..from));
        let candidates = all.filter(|(_, customer)| !customer.is_active()).take(EVICTION_CANDIDATES);
        // Ceilings are hard limits: one that comes again must not find more than it left. Those that would
        // leave the least to new customers go last.
        let keys = candidates.map(|(id, customer)| {
            let empty_since = customer.quota.ceiling_empty_since().max(self.ceilings_known_since);
            (empty_since, customer.quota.expires_at(), *id)
        });
        let Some((empty_since, expires_at, id)) = keys.min() else { return false };
        self.next_candidate = CustomerId(id.0.wrapping_add(1));
        self.by_id.remove(&id);
        if now < expires_at {
            self.ceilings_known_since = empty_since;
        }
        true
    }

    /// Drops customers without requests or counter calls in flight whose buckets are full again by now.
    pub fn expire(&mut self, now: Micros) {
        self.by_id.retain(|_, customer| customer.is_active() || now < customer.quota.expires_at());
    }
}
