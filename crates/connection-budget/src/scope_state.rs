//! The permits of one scope, by the gateways that hold them.

use crate::scope::{GatewayId, PermitCounts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Permits that earlier processes of a gateway may still be using. Stored by position: fields must not move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EarlierPermits {
    /// Permits that are valid only under a lease.
    pub leased: u32,
    /// Permits that are valid without a lease too: a paused process goes on using them when it is resumed.
    pub fallback: u32,
}

/// The permits of one scope. Stored by position: fields must not move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ScopeState {
    /// Maximum number of connections at the scope; 0: the scope is being closed.
    pub capacity: u32,
    /// Permits of each gateway's current process.
    pub permits: BTreeMap<GatewayId, PermitCounts>,
    /// Permits of each gateway's earlier processes.
    pub earlier: BTreeMap<GatewayId, EarlierPermits>,
}

impl ScopeState {
    /// Number of permits that any process of any gateway may still be using.
    pub(crate) fn held(&self) -> u64 {
        let of_earlier = |permits: &EarlierPermits| u64::from(permits.leased) + u64::from(permits.fallback);
        let earlier = self.earlier.values().map(of_earlier).sum::<u64>();
        self.permits.values().map(|permits| u64::from(permits.held)).sum::<u64>() + earlier
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.permits.is_empty() && self.earlier.is_empty()
    }

    /// Whether the scope has no capacity and no permits are held, so that the ledger need not keep it.
    pub(crate) fn is_closed(&self) -> bool {
        self.capacity == 0 && self.is_empty()
    }

    /// Counts the permits of a gateway's current process as those of an earlier one, since a new process has begun.
    pub(crate) fn supersede(&mut self, gateway: GatewayId) {
        if let Some(permits) = self.permits.remove(&gateway) {
            let earlier = self.earlier.entry(gateway).or_default();
            earlier.leased += permits.held - permits.fallback;
            earlier.fallback += permits.fallback;
        }
    }

    /// Frees the permits that a gateway's current process holds only under its lease; true if there were any.
    pub(crate) fn expire_lease(&mut self, gateway: GatewayId) -> bool {
        let Some(permits) = self.permits.get_mut(&gateway) else { return false };
        let changed = permits.held != permits.fallback;
        (permits.held, permits.target) = (permits.fallback, permits.target.min(permits.fallback));
        if permits.held == 0 {
            self.permits.remove(&gateway);
        }
        changed
    }

    /// Frees the permits that earlier processes of a gateway hold only under their leases.
    pub(crate) fn expire_earlier_leases(&mut self, gateway: GatewayId) {
        if let Some(earlier) = self.earlier.get_mut(&gateway) {
            earlier.leased = 0;
            if earlier.fallback == 0 {
                self.earlier.remove(&gateway);
            }
        }
    }

    /// Frees recalled permits after a gateway's acknowledgement that it has at most `open` connections open and keeps
    /// to its targets; false if that changes nothing.
    pub(crate) fn acknowledge(&mut self, gateway: GatewayId, open: u32) -> bool {
        let Some(permits) = self.permits.get_mut(&gateway) else { return false };
        let held = open.max(permits.target).min(permits.held);
        if held == permits.held && permits.fallback <= permits.target {
            return false;
        }
        permits.held = held;
        // The gateway knows the target, so it uses no fallback permits beyond it, with or without a lease.
        permits.fallback = permits.fallback.min(permits.target);
        if permits.held == 0 {
            self.permits.remove(&gateway);
        }
        true
    }

    /// Whether the sum of the targets is within the capacity, so that permits held beyond it are being recalled. While
    /// the targets exceed a capacity that was lowered, whether no more permits are held than the targets allow.
    pub(crate) fn is_consistent(&self) -> bool {
        let targets: u64 = self.permits.values().map(|permits| u64::from(permits.target)).sum();
        self.held() <= u64::from(self.capacity).max(targets) || targets <= u64::from(self.capacity)
    }
}
