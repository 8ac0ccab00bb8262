//! What a gateway has use for, measured by tenant over the last one or two windows: the peak, so that what comes and goes
//! within it moves nothing, and the average, which tells whether there is too little for all.

use crate::report::{Demand, TenantDemand, MAX_REPORT_ENTRIES};
use crate::tenant_class::TenantClass;
use std::collections::BTreeMap;

/// A request that found no connection counts as one that holds a connection for the window divided by this.
const MISSED_WINDOW_DIVISOR: u64 = 20;

/// One series: connections in use or waited for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    current: u32,
    peak: u32,
    /// Connections times microseconds since the window began.
    area: u64,
    /// Time up to which the area is counted, microseconds.
    counted_to: u64,
    previous_window: Demand,
}

impl Usage {
    fn set(&mut self, now: u64, connections: u32) {
        self.area += u64::from(self.current) * now.saturating_sub(self.counted_to);
        self.counted_to = now.max(self.counted_to);
        self.current = connections;
        self.peak = self.peak.max(connections);
    }

    /// Ends the window that began at a time; one that is not recent counts for nothing.
    fn end_window(&mut self, began: u64, now: u64, recent: bool) {
        self.set(now, self.current);
        let mean_milli = (self.area * 1_000).checked_div(now - began).unwrap_or(0);
        self.previous_window =
            if recent { Demand { peak: self.peak, mean_milli } } else { Demand::default() };
        (self.peak, self.area) = (self.current, 0);
    }

    fn demand(&self, window: u64) -> Demand {
        // A window that has only begun counts what it has seen over its whole length.
        let mean_milli = (self.area * 1_000 / window).max(self.previous_window.mean_milli);
        Demand { peak: self.peak.max(self.previous_window.peak), mean_milli }
    }

    fn is_idle(&self) -> bool {
        self.peak == 0 && self.previous_window == Demand::default()
    }
}

/// Measures what a gateway has use for, by group and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandMeter {
    window: u64,
    began: u64,
    by_tenant: BTreeMap<(String, TenantClass), Usage>,
    by_group: BTreeMap<String, Usage>,
}

impl DemandMeter {
    /// Looks back over one to two windows of this length, microseconds.
    pub fn new(window: u64) -> DemandMeter {
        DemandMeter { window: window.max(1), ..DemandMeter::default() }
    }

    /// A connection is in use, or waited for, from now on.
    pub fn begin(&mut self, now: u64, group: &str, tenant_class: &TenantClass) {
        self.change(now, group, tenant_class, |connections| connections + 1);
    }

    /// It is so no more.
    pub fn end(&mut self, now: u64, group: &str, tenant_class: &TenantClass) {
        self.change(now, group, tenant_class, |connections| connections.saturating_sub(1));
    }

    /// A request found no connection, and did not wait: it counts as one that holds a connection for a part of the window
    /// (how long it would have held it is not known).
    pub fn record_unserved_request(&mut self, now: u64, group: &str, tenant_class: &TenantClass) {
        self.begin(now, group, tenant_class);
        self.end(now, group, tenant_class);
        if let Some(usage) = self.by_tenant.get_mut(&(group.to_owned(), tenant_class.clone())) {
            usage.area += self.window / MISSED_WINDOW_DIVISOR;
        }
    }

    /// Demand by group and tenant, and the peak of each group; at most [`MAX_REPORT_ENTRIES`] of each.
    pub fn snapshot(&mut self, now: u64) -> (Vec<TenantDemand>, Vec<(String, u32)>) {
        self.roll_window(now);
        let window = self.window;
        let by_tenant = self.by_tenant.iter_mut().map(|((group, tenant_class), usage)| {
            usage.set(now, usage.current);
            (group.clone(), tenant_class.clone(), usage.demand(window))
        });
        let by_tenant = by_tenant.filter(|(_, _, demand)| demand.peak > 0);
        let by_tenant = by_tenant.take(MAX_REPORT_ENTRIES).collect();
        let by_group = self.by_group.iter().map(|(group, usage)| (group.clone(), usage.demand(window).peak));
        (by_tenant, by_group.filter(|(_, peak)| *peak > 0).take(MAX_REPORT_ENTRIES).collect())
    }

    fn change(&mut self, now: u64, group: &str, tenant_class: &TenantClass, to: impl Fn(u32) -> u32) {
        self.roll_window(now);
        let new = Usage { counted_to: self.began, ..Usage::default() };
        let usage = self.by_tenant.entry((group.to_owned(), tenant_class.clone())).or_insert(new);
        usage.set(now, to(usage.current));
        let usage = self.by_group.entry(group.to_owned()).or_insert(new);
        usage.set(now, to(usage.current));
    }

    fn roll_window(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.began);
        if elapsed < self.window {
            return;
        }
        let (began, recent) = (self.began, elapsed < 2 * self.window);
        self.began = now;
        let usages = self.by_tenant.values_mut().chain(self.by_group.values_mut());
        usages.for_each(|usage| usage.end_window(began, now, recent));
        self.by_tenant.retain(|_, usage| !usage.is_idle());
        self.by_group.retain(|_, usage| !usage.is_idle());
    }
}
