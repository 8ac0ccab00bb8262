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

/// All customers with recent requests at this gateway or recent updates from peers.
pub(crate) struct Customers {
    /// When this process started, µs.
    started_at: Micros,
    by_id: BTreeMap<CustomerId, Customer>,
}

impl Customers {
    pub fn new(now: Micros) -> Customers {
        Customers { started_at: now, by_id: BTreeMap::new() }
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

    /// Adds a customer with a full quota bucket and no pacing delay, or updates the subset of a known one.
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
        let customer = Customer {
            plan,
            subset_start,
            in_flight: 0,
            finished_in_flight: 0,
            quota: Quota::new(plan_settings.clone(), subset_size, now, now - self.started_at),
            pacer: Pacer::new(now),
            peer_usage: PeerUsage::default(),
            count: CustomerCount::default(),
        };
        self.by_id.insert(id, customer);
    }

    /// Drops customers without requests or counter calls in flight whose buckets are full again by now.
    pub fn expire(&mut self, now: Micros) {
        self.by_id.retain(|_, customer| {
            customer.counted_in_flight() > 0
                || customer.count.call_in_flight()
                || now < customer.quota.expires_at()
        });
    }
}
