//! Measures a gateway's demand for connections by tenant class, over the last one to two windows: the peak, so that
//! demand that fluctuates within a window moves no permits, and the average, which shows whether there are too few
//! connections for all.

use crate::report::{Demand, TenantDemand, MAX_REPORT_ENTRIES};
use crate::tenant_class::TenantClass;
use std::collections::BTreeMap;

/// A request that found no connection adds as much demand as one that holds a connection for the window's length
/// divided by this.
const MISSED_WINDOW_DIVISOR: u64 = 20;

/// Demand of one tenant class or one group: connections that are in use or that requests wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    current: u32,
    /// Maximum since the window began.
    peak: u32,
    /// Connections times microseconds since the window began.
    area: u64,
    /// Time up to which `area` is counted, microseconds.
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

    /// Ends the window that began at the time `began`. Its demand is kept as that of the previous window if it is
    /// recent, and dropped otherwise.
    fn end_window(&mut self, began: u64, now: u64, recent: bool) {
        self.set(now, self.current);
        let mean_milli = (self.area * 1_000).checked_div(now - began).unwrap_or(0);
        self.previous_window =
            if recent { Demand { peak: self.peak, mean_milli } } else { Demand::default() };
        (self.peak, self.area) = (self.current, 0);
    }

    fn demand(&self, window: u64) -> Demand {
        // The current window is averaged over its full length even if it is not over: a short one would overstate
        // demand.
        let mean_milli = (self.area * 1_000 / window).max(self.previous_window.mean_milli);
        Demand { peak: self.peak.max(self.previous_window.peak), mean_milli }
    }

    fn is_idle(&self) -> bool {
        self.peak == 0 && self.previous_window == Demand::default()
    }
}

/// Measures a gateway's demand by group and tenant class. All times are in microseconds on a monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandMeter {
    /// Length of a window, microseconds.
    window: u64,
    /// Time at which the current window began, microseconds.
    began: u64,
    by_tenant: BTreeMap<(String, TenantClass), Usage>,
    by_group: BTreeMap<String, Usage>,
}

impl DemandMeter {
    /// A meter of the demand over the current and the previous window, each of this length in microseconds.
    pub fn new(window: u64) -> DemandMeter {
        DemandMeter { window: window.max(1), ..DemandMeter::default() }
    }

    /// Adds one connection that is in use, or that a request waits for, from `now` on.
    pub fn begin(&mut self, now: u64, group: &str, tenant_class: &TenantClass) {
        self.change(now, group, tenant_class, |connections| connections + 1);
    }

    /// Ends what [`DemandMeter::begin`] has begun: one connection less is in use or waited for.
    pub fn end(&mut self, now: u64, group: &str, tenant_class: &TenantClass) {
        self.change(now, group, tenant_class, |connections| connections.saturating_sub(1));
    }

    /// Adds the demand of a request that found no connection and did not wait. How long it would have held a connection
    /// is unknown, so it counts as having held one for a fixed part of the window.
    pub fn record_unserved_request(&mut self, now: u64, group: &str, tenant_class: &TenantClass) {
        self.begin(now, group, tenant_class);
        self.end(now, group, tenant_class);
        if let Some(usage) = self.by_tenant.get_mut(&(group.to_owned(), tenant_class.clone())) {
            usage.area += self.window / MISSED_WINDOW_DIVISOR;
        }
    }

    /// Demand by group and tenant class, and the peak of each group, without entries of zero; at most
    /// [`MAX_REPORT_ENTRIES`] of each.
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

    /// Applies `update` to the current number of connections of a tenant class and of its group.
    fn change(&mut self, now: u64, group: &str, tenant_class: &TenantClass, update: impl Fn(u32) -> u32) {
        self.roll_window(now);
        let new = Usage { counted_to: self.began, ..Usage::default() };
        let usage = self.by_tenant.entry((group.to_owned(), tenant_class.clone())).or_insert(new);
        usage.set(now, update(usage.current));
        let usage = self.by_group.entry(group.to_owned()).or_insert(new);
        usage.set(now, update(usage.current));
    }

    /// Begins a new window if the current one is over, and removes entries without demand in either window.
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
