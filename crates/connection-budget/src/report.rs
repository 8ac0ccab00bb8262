//! The report that a gateway sends to the replicas.

use crate::scope::{BudgetScope, Epoch};
use crate::tenant_class::TenantClass;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of entries in each list of a [`GatewayReport`].
pub const MAX_REPORT_ENTRIES: usize = 4_096;

/// A gateway's demand for connections: those in use and those that requests wait for. Sent by position: fields must not
/// move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Largest number of connections at the same time.
    pub peak: u32,
    /// Average number of connections, thousandths.
    pub mean_milli: u64,
}

/// Name of a group's budget, a tenant class, and the gateway's demand for its connections at that group.
pub(crate) type TenantDemand = (String, TenantClass, Demand);

/// A gateway's report to the replicas. Sent by position: fields must not move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Epoch of the newest grant that the gateway has received and keeps to.
    pub seen_epoch: Epoch,
    /// Number of open connections at each scope where permits are being recalled.
    pub open_counts: Vec<(BudgetScope, u32)>,
    /// Demand by group and tenant class.
    pub demand: Vec<TenantDemand>,
    /// By name of the group's budget: largest number of connections that all tenants together demanded at the same
    /// time.
    pub group_peaks: Vec<(String, u32)>,
    /// Zones that the gateway cannot reach.
    pub unavailable_zones: BTreeSet<String>,
    /// Whether no earlier process of the gateway is running any more.
    pub sole_process: bool,
    /// Whether the gateway's process has no connection open and will open none, because it is about to end.
    pub drained: bool,
}

impl GatewayReport {
    /// Whether no list is longer than [`MAX_REPORT_ENTRIES`].
    pub fn is_within_bounds(&self) -> bool {
        let lengths =
            [self.open_counts.len(), self.demand.len(), self.group_peaks.len(), self.unavailable_zones.len()];
        lengths.into_iter().all(|length| length <= MAX_REPORT_ENTRIES)
    }
}
