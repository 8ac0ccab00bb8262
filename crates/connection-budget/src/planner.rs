//! Plans the changes of the ledger that bring gateways to the permits that they should hold.
//!
//! Permits are recalled only as far as other gateways lack more than is available. So once every gateway has what it
//! should, nothing changes, however the permits are distributed over the scopes.

use crate::ledger::{LedgerError, PermitLedger};
use crate::scope::{BudgetScope, GatewayId};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A change of the ledger. Stored by position: variants and fields must not move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerChange {
    /// Sets the capacity of a scope.
    SetCapacity {
        /// The scope whose capacity is set.
        scope: BudgetScope,
        /// Connections; 0 closes the scope: all its permits are recalled, and it is removed once none are held.
        capacity: u32,
    },
    /// Grants available permits to a gateway.
    Grant {
        /// The scope of the permits.
        scope: BudgetScope,
        /// The gateway that receives them.
        gateway: GatewayId,
        /// Number of permits.
        count: u32,
        /// Number of them that the gateway may use without a lease too.
        fallback: u32,
    },
    /// Recalls permits from a gateway.
    Recall {
        /// The scope of the permits.
        scope: BudgetScope,
        /// The gateway that has to give up permits.
        gateway: GatewayId,
        /// Number of permits to which the gateway has to reduce its open connections.
        target: u32,
    },
}

impl LedgerChange {
    /// Applies the change to a ledger.
    ///
    /// # Errors
    /// The ledger rejects a grant and is unchanged; see [`PermitLedger::grant`].
    pub fn apply(&self, ledger: &mut PermitLedger) -> Result<(), LedgerError> {
        match self {
            LedgerChange::SetCapacity { scope, capacity: 0 } => ledger.close(scope),
            LedgerChange::SetCapacity { scope, capacity } => ledger.set_capacity(scope, *capacity),
            LedgerChange::Grant { scope, gateway, count, fallback } => {
                return ledger.grant(scope, *gateway, *count, *fallback)
            }
            LedgerChange::Recall { scope, gateway, target } => ledger.recall(scope, *gateway, *target),
        }
        Ok(())
    }
}

/// The permits that a gateway should hold over a set of scopes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitTarget {
    /// Number of permits.
    pub count: u32,
    /// Number of them that the gateway may use without a lease too.
    pub fallback: u32,
    /// Whether a tenant class with demand at the gateway holds less than its floor; such a gateway is served first.
    pub below_floor: bool,
    /// Time or round at which the gateway's turn ends; 0 if it has none. Of gateways with equally many permits, the one
    /// whose turn ends earliest is served first. If gateway numbers alone decided, a gateway that had to wait a round
    /// for a recall would lose its turn to one that begins later, and some gateways would never be served.
    pub turn_end: u64,
}

/// Plans at most `max_changes` changes that bring the permits over all `scopes` together closer to `wanted`; none if no
/// gateway lacks permits and no scope is over its capacity.
pub fn plan(
    ledger: &PermitLedger,
    scopes: &[BudgetScope],
    wanted: &BTreeMap<GatewayId, PermitTarget>,
    max_changes: usize,
) -> Vec<LedgerChange> {
    plan_changes(ledger, scopes, wanted, max_changes, false)
}

/// Like [`plan`], but recalls all permits beyond the wanted counts, even if no gateway lacks permits at these scopes,
/// because they are lacked elsewhere.
pub(crate) fn plan_recalling(
    ledger: &PermitLedger,
    scopes: &[BudgetScope],
    wanted: &BTreeMap<GatewayId, PermitTarget>,
    max_changes: usize,
) -> Vec<LedgerChange> {
    plan_changes(ledger, scopes, wanted, max_changes, true)
}

fn plan_changes(
    ledger: &PermitLedger,
    scopes: &[BudgetScope],
    wanted: &BTreeMap<GatewayId, PermitTarget>,
    max_changes: usize,
    recall_all_excess: bool,
) -> Vec<LedgerChange> {
    let comparison = Comparison::new(ledger, scopes, wanted);
    let mut to_recall = comparison.to_recall();
    if recall_all_excess {
        to_recall = to_recall.max(comparison.excess());
    }
    let over_capacity: Vec<u64> = scopes.iter().map(|scope| over_capacity(ledger, scope)).collect();
    if to_recall == 0 && comparison.lacking.is_empty() && over_capacity.iter().all(|over| *over == 0) {
        return vec![];
    }
    let Comparison { targets, lacking, .. } = comparison;
    let after = ledger.subset(scopes);
    let mut plan = Plan { after, scopes, wanted, targets, changes: vec![], max_changes };
    // Permits beyond a capacity that was lowered are recalled whether or not any gateway lacks permits.
    for (scope, over) in scopes.iter().zip(over_capacity) {
        let recalled = plan.recall_excess(scope, over);
        plan.recall_from_largest(scope, over - recalled);
    }
    for scope in scopes {
        to_recall = to_recall.saturating_sub(plan.recall_excess(scope, to_recall));
    }
    for (gateway, count) in lacking {
        plan.grant(gateway, count);
    }
    plan.changes
}

/// Number of permits by which the targets at a scope exceed its capacity.
fn over_capacity(ledger: &PermitLedger, scope: &BudgetScope) -> u64 {
    let targets: u64 = ledger.permits_at(scope).map(|(_, permits)| u64::from(permits.target)).sum();
    targets.saturating_sub(ledger.capacity(scope))
}

/// The permits that gateways have over some scopes together, compared with those that they should have.
struct Comparison<'a> {
    wanted: &'a BTreeMap<GatewayId, PermitTarget>,
    /// Sum of each gateway's targets in the ledger over the scopes.
    targets: BTreeMap<GatewayId, u32>,
    /// Permits that are available or already being recalled.
    available: u64,
    /// Permits that gateways lack, in the order in which the gateways are served.
    lacking: Vec<(GatewayId, u32)>,
}

impl<'a> Comparison<'a> {
    fn new(
        ledger: &PermitLedger,
        scopes: &[BudgetScope],
        wanted: &'a BTreeMap<GatewayId, PermitTarget>,
    ) -> Comparison<'a> {
        let mut targets: BTreeMap<GatewayId, u32> = BTreeMap::new();
        let mut available: u64 = scopes.iter().map(|scope| u64::from(ledger.available(scope))).sum();
        for (gateway, permits) in scopes.iter().flat_map(|scope| ledger.permits_at(scope)) {
            *targets.entry(gateway).or_default() += permits.target;
            available += u64::from(permits.held - permits.target);
        }
        let has = |gateway: &GatewayId| targets.get(gateway).copied().unwrap_or(0);
        let mut lacking: Vec<(GatewayId, u32)> = (wanted.iter())
            .map(|(gateway, target)| (*gateway, target.count.saturating_sub(has(gateway))))
            .filter(|(_, lacks)| *lacks > 0)
            .collect();
        // Order of service: gateways below a floor, then those that have fewest, then those whose turn ends earliest,
        // then those that lack most; the gateway's number decides between equals.
        lacking.sort_by_key(|(gateway, lacks)| {
            let target = wanted.get(gateway).copied().unwrap_or_default();
            (!target.below_floor, has(gateway), target.turn_end, Reverse(*lacks), *gateway)
        });
        Comparison { wanted, targets, available, lacking }
    }

    /// Number of permits that have to be recalled, beyond those available, for the gateways that lack some.
    fn to_recall(&self) -> u64 {
        let lacking: u64 = self.lacking.iter().map(|(_, lacks)| u64::from(*lacks)).sum();
        lacking.saturating_sub(self.available)
    }

    /// Number of permits that gateways have beyond those that they should have.
    fn excess(&self) -> u64 {
        let wanted = |gateway: &GatewayId| self.wanted.get(gateway).map_or(0, |target| target.count);
        self.targets.iter().map(|(gateway, has)| u64::from(has.saturating_sub(wanted(gateway)))).sum()
    }
}

/// The changes planned so far, applied to a copy of the ledger, so that each change sees the ones before it.
struct Plan<'a> {
    /// The scopes of the ledger after the planned changes.
    after: PermitLedger,
    scopes: &'a [BudgetScope],
    wanted: &'a BTreeMap<GatewayId, PermitTarget>,
    /// Sum of each gateway's targets over the scopes, less the recalls planned so far.
    targets: BTreeMap<GatewayId, u32>,
    changes: Vec<LedgerChange>,
    max_changes: usize,
}

impl Plan<'_> {
    /// Adds a change to the plan; false if the plan already has `max_changes`, or the ledger rejects the change.
    fn push(&mut self, change: LedgerChange) -> bool {
        let merged = self.merge(&change);
        if !merged && self.changes.len() >= self.max_changes {
            return false;
        }
        if change.apply(&mut self.after).is_err() {
            if merged {
                self.unmerge();
            }
            return false;
        }
        if !merged {
            self.changes.push(change);
        }
        true
    }

    /// Adds a grant to the last planned change, if that is a grant of the same scope to the same gateway; returns
    /// whether it was.
    fn merge(&mut self, change: &LedgerChange) -> bool {
        let (
            Some(LedgerChange::Grant { scope, gateway, count, fallback }),
            LedgerChange::Grant {
                scope: new_scope,
                gateway: new_gateway,
                count: new_count,
                fallback: new_fallback,
            },
        ) = (self.changes.last_mut(), change)
        else {
            return false;
        };
        let same_holder = scope == new_scope && gateway == new_gateway;
        if same_holder {
            (*count, *fallback) = (*count + new_count, *fallback + new_fallback);
        }
        same_holder
    }

    /// Undoes the merge of a grant of one permit.
    fn unmerge(&mut self) {
        if let Some(LedgerChange::Grant { count, fallback, .. }) = self.changes.last_mut() {
            (*count, *fallback) = (count.saturating_sub(1), fallback.saturating_sub(1));
        }
    }

    /// Recalls up to `count` permits of a scope from gateways that have more than they should, first from those with
    /// the largest excess; returns how many.
    fn recall_excess(&mut self, scope: &BudgetScope, count: u64) -> u64 {
        let excess = |gateway: GatewayId| {
            let wanted = self.wanted.get(&gateway).map_or(0, |target| target.count);
            self.targets.get(&gateway).copied().unwrap_or(0).saturating_sub(wanted)
        };
        let mut gateways: Vec<(u32, GatewayId, u32)> = (self.after.permits_at(scope))
            .map(|(gateway, permits)| (excess(gateway), gateway, permits.target))
            .filter(|(excess, _, target)| excess.min(target) > &0)
            .collect();
        gateways.sort_by_key(|(excess, gateway, target)| (Reverse(*excess), Reverse(*target), *gateway));
        let mut recalled = 0;
        for (excess, gateway, target) in gateways {
            let reduction = u64::from(excess.min(target)).min(count - recalled);
            let reduction = u32::try_from(reduction).unwrap_or(u32::MAX);
            if reduction == 0 || !self.recall(scope, gateway, target - reduction) {
                break;
            }
            recalled += u64::from(reduction);
        }
        recalled
    }

    /// Recalls `count` permits of a scope even from gateways that have no excess: each one from the gateway that has
    /// most at the scope at that point.
    fn recall_from_largest(&mut self, scope: &BudgetScope, count: u64) {
        if count == 0 {
            return;
        }
        let mut targets: BTreeMap<GatewayId, u32> =
            self.after.permits_at(scope).map(|(gateway, permits)| (gateway, permits.target)).collect();
        for _ in 0..count {
            let largest = targets.iter_mut().max_by_key(|(gateway, target)| (**target, Reverse(**gateway)));
            let Some((_, target)) = largest.filter(|(_, target)| **target > 0) else { break };
            *target -= 1;
        }
        for (gateway, target) in targets {
            if target < self.after.permits(scope, gateway).target && !self.recall(scope, gateway, target) {
                return;
            }
        }
    }

    /// Plans a recall from a gateway; false if the plan already has `max_changes`.
    fn recall(&mut self, scope: &BudgetScope, gateway: GatewayId, target: u32) -> bool {
        let before = self.after.permits(scope, gateway).target;
        let planned = self.push(LedgerChange::Recall { scope: scope.clone(), gateway, target });
        if let Some(sum) = self.targets.get_mut(&gateway).filter(|_| planned) {
            *sum = sum.saturating_sub(before - target);
        }
        planned
    }

    /// Grants a gateway up to `count` available permits, each at the scope where it has fewest; of several such scopes,
    /// where most are available.
    fn grant(&mut self, gateway: GatewayId, count: u32) {
        let wanted = self.wanted.get(&gateway).copied().unwrap_or_default();
        let fallback = |scope| self.after.permits(scope, gateway).fallback;
        let mut has_fallback: u32 = self.scopes.iter().map(fallback).sum();
        for _ in 0..count {
            let candidates = self.scopes.iter().filter(|scope| self.after.available(scope) > 0);
            let best = candidates.min_by_key(|scope| {
                let has = self.after.permits(scope, gateway).target;
                (has, Reverse(self.after.available(scope)), (*scope).clone())
            });
            let Some(scope) = best.cloned() else { return };
            let fallback = u32::from(has_fallback < wanted.fallback);
            if !self.push(LedgerChange::Grant { scope, gateway, count: 1, fallback }) {
                return;
            }
            has_fallback += fallback;
        }
    }
}
