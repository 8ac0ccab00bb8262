//! Who may have how many connections open where: kept so that the sum at each scope fits at every instant.
//!
//! A permit is granted only while it is free, and is free only when its gateway has given it back, or everything that the
//! gateway could still do with it is surely over. That is decided outside (a lease, the longest attempt and the server's
//! own idle limit; for fallback permits of a process, also that it has ended): here it comes in as
//! [`PermitLedger::expire_lease`], [`PermitLedger::expire_earlier_leases`] and [`PermitLedger::earlier_processes_ended`].
//!
//! All operations are deterministic: the ledger may be a fold over a replicated log.

use crate::incarnations::Incarnations;
use crate::scope::{BudgetScope, Epoch, GatewayId, PermitCounts, PermitList};
use crate::scope_state::ScopeState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Why a grant is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum LedgerError {
    /// The ledger has no such scope.
    #[error("no such scope")]
    UnknownScope,
    /// Not so many permits are available.
    #[error("not enough permits are available")]
    Exhausted,
    /// No process of the gateway is known.
    #[error("no process of the gateway is known")]
    NoProcess,
}

/// The ledger. Stored by position: fields must not move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitLedger {
    scopes: BTreeMap<BudgetScope, ScopeState>,
    /// The last change of each gateway's permits.
    changed: BTreeMap<GatewayId, Epoch>,
    epoch: Epoch,
    incarnations: BTreeMap<GatewayId, Incarnations>,
}

/// Scopes and what is held there.
impl PermitLedger {
    /// Sets how many connections a scope has. If they are less than before, nothing is granted until what is held beyond
    /// them is back.
    pub fn set_capacity(&mut self, scope: &BudgetScope, capacity: u32) {
        self.scopes.entry(scope.clone()).or_default().capacity = capacity;
    }

    /// Grants nothing more at a scope, recalls what is held there, and forgets it once all is back.
    pub fn close(&mut self, scope: &BudgetScope) {
        let Some(state) = self.scopes.get_mut(scope) else { return };
        state.capacity = 0;
        let gateways: Vec<GatewayId> = state.permits.keys().copied().collect();
        if state.is_empty() {
            self.scopes.remove(scope);
            return;
        }
        for gateway in gateways {
            self.recall(scope, gateway, 0);
        }
    }

    /// Forgets a scope that has no bound any more.
    pub fn remove(&mut self, scope: &BudgetScope) {
        let Some(state) = self.scopes.remove(scope) else { return };
        state.permits.keys().for_each(|gateway| self.touch(*gateway));
    }

    /// Some scopes of it, to plan on.
    pub(crate) fn subset(&self, scopes: &[BudgetScope]) -> PermitLedger {
        let states = scopes.iter().filter_map(|scope| Some((scope.clone(), self.scopes.get(scope)?.clone())));
        PermitLedger {
            scopes: states.collect(),
            changed: BTreeMap::new(),
            epoch: self.epoch,
            incarnations: self.incarnations.clone(),
        }
    }

    /// Scopes with their capacities.
    pub fn scopes(&self) -> impl Iterator<Item = (&BudgetScope, u32)> {
        self.scopes.iter().map(|(scope, state)| (scope, state.capacity))
    }

    /// Connections that a scope has.
    pub fn capacity(&self, scope: &BudgetScope) -> u64 {
        self.scopes.get(scope).map_or(0, |state| u64::from(state.capacity))
    }

    /// Permits of a scope that nobody may use.
    pub fn available(&self, scope: &BudgetScope) -> u32 {
        let Some(state) = self.scopes.get(scope) else { return 0 };
        u32::try_from(u64::from(state.capacity).saturating_sub(state.held())).unwrap_or(0)
    }

    /// Permits of a scope that somebody may use.
    pub fn held(&self, scope: &BudgetScope) -> u64 {
        self.scopes.get(scope).map_or(0, ScopeState::held)
    }

    /// A gateway's permits at a scope.
    pub fn permits(&self, scope: &BudgetScope, gateway: GatewayId) -> PermitCounts {
        let state = self.scopes.get(scope);
        state.and_then(|state| state.permits.get(&gateway)).copied().unwrap_or_default()
    }

    /// All permits of a scope, by gateway.
    pub fn permits_at(&self, scope: &BudgetScope) -> impl Iterator<Item = (GatewayId, &PermitCounts)> {
        let state = self.scopes.get(scope).into_iter();
        state.flat_map(|state| state.permits.iter().map(|(gateway, permits)| (*gateway, permits)))
    }

    /// Gateways that hold something by lease, or of which an earlier process may hold something.
    pub fn leaseholders(&self) -> BTreeSet<GatewayId> {
        let mut gateways = BTreeSet::new();
        for state in self.scopes.values() {
            let leased = state.permits.iter().filter(|(_, permits)| permits.held > permits.fallback);
            gateways.extend(leased.map(|(gateway, _)| *gateway));
            gateways.extend(state.earlier.keys());
        }
        gateways
    }

    /// When a gateway's permits last changed.
    pub fn epoch(&self, gateway: GatewayId) -> Epoch {
        self.changed.get(&gateway).copied().unwrap_or(0)
    }

    /// What a gateway holds, and the epoch at which that last changed.
    pub fn permits_of(&self, gateway: GatewayId) -> (Epoch, PermitList) {
        let permits = |(scope, state): (&BudgetScope, &ScopeState)| {
            Some((scope.clone(), *state.permits.get(&gateway)?))
        };
        (self.epoch(gateway), self.scopes.iter().filter_map(permits).collect())
    }

    /// Whether the sum fits at each scope; where the capacity was lowered, whether the rest is being recalled.
    pub fn is_consistent(&self) -> bool {
        self.scopes.values().all(ScopeState::is_consistent)
    }

    fn touch(&mut self, gateway: GatewayId) {
        self.epoch += 1;
        self.changed.insert(gateway, self.epoch);
    }

    fn remove_closed_scopes(&mut self) {
        self.scopes.retain(|_, state| !state.is_closed());
    }
}

/// Grants, recalls and acknowledgements.
impl PermitLedger {
    /// Grants available permits; `fallback` of them are the gateway's also without a lease.
    ///
    /// # Errors
    /// They are not available, there is no such scope, or no process of the gateway is known: nothing has changed.
    pub fn grant(
        &mut self,
        scope: &BudgetScope,
        gateway: GatewayId,
        count: u32,
        fallback: u32,
    ) -> Result<(), LedgerError> {
        if self.incarnation(gateway).is_none() {
            return Err(LedgerError::NoProcess);
        }
        let state = self.scopes.get_mut(scope).ok_or(LedgerError::UnknownScope)?;
        if state.held() + u64::from(count) > u64::from(state.capacity) {
            return Err(LedgerError::Exhausted);
        }
        let permits = state.permits.entry(gateway).or_default();
        // What is being recalled stays so: only an acknowledgement frees it, and that may be on its way.
        permits.held += count;
        permits.target += count;
        permits.fallback = (permits.fallback + fallback.min(count)).min(permits.held);
        self.touch(gateway);
        Ok(())
    }

    /// Recalls permits: the gateway has to come down to so many.
    pub fn recall(&mut self, scope: &BudgetScope, gateway: GatewayId, target: u32) {
        let permits = self.scopes.get_mut(scope).and_then(|state| state.permits.get_mut(&gateway));
        let Some(permits) = permits.filter(|permits| target < permits.target) else { return };
        permits.target = target;
        self.touch(gateway);
    }

    /// Takes a gateway's acknowledgement, given under an epoch that it had seen: it has no more than so many connections
    /// open or being opened at a scope, and opens none beyond what that epoch allows. An earlier one changes nothing:
    /// permits granted since are not freed by an acknowledgement that does not know of them.
    pub fn acknowledge(
        &mut self,
        gateway: GatewayId,
        incarnation: u64,
        seen: Epoch,
        scope: &BudgetScope,
        open: u32,
    ) {
        if self.incarnation(gateway) != Some(incarnation) || seen < self.epoch(gateway) {
            return;
        }
        let Some(state) = self.scopes.get_mut(scope) else { return };
        if !state.acknowledge(gateway, open) {
            return;
        }
        if state.is_closed() {
            self.scopes.remove(scope);
        }
        self.touch(gateway);
    }

    /// All that a gateway's process could still do by lease is surely over: those permits are free. Fallback permits stay:
    /// a gateway that is cut off does not learn that its lease has expired.
    pub fn expire_lease(&mut self, gateway: GatewayId) {
        let mut changed = false;
        for state in self.scopes.values_mut() {
            changed |= state.expire_lease(gateway);
        }
        self.expire_earlier_leases(gateway);
        if changed {
            self.touch(gateway);
        }
    }
}

/// Processes of gateways.
impl PermitLedger {
    /// A new process of a gateway has begun. What an earlier one holds stays held until that is surely over; the new one
    /// is granted what is free. A process that was superseded does not come back: a late message of it changes nothing.
    pub fn begin_incarnation(&mut self, gateway: GatewayId, incarnation: u64) {
        if !self.incarnations.entry(gateway).or_default().begin(incarnation) {
            return;
        }
        self.scopes.values_mut().for_each(|state| state.supersede(gateway));
        self.touch(gateway);
    }

    /// The process that a gateway's permits are for.
    pub fn incarnation(&self, gateway: GatewayId) -> Option<u64> {
        self.incarnations.get(&gateway).and_then(Incarnations::current)
    }

    /// Whether a process of a gateway was superseded by another.
    pub fn is_superseded(&self, gateway: GatewayId, incarnation: u64) -> bool {
        self.incarnations.get(&gateway).is_some_and(|known| known.is_superseded(incarnation))
    }

    /// What a process of a gateway is granted; none: the permits are for another process.
    pub fn granted(&self, gateway: GatewayId, incarnation: u64) -> Option<(Epoch, PermitList)> {
        (self.incarnation(gateway) == Some(incarnation)).then(|| self.permits_of(gateway))
    }

    /// Whether earlier processes of a gateway may still hold permits: by lease, and as fallback.
    pub fn earlier_incarnations_hold(&self, gateway: GatewayId) -> (bool, bool) {
        let earlier = || self.scopes.values().filter_map(|state| state.earlier.get(&gateway));
        (earlier().any(|e| e.leased > 0), earlier().any(|e| e.fallback > 0))
    }

    /// All that earlier processes of a gateway could still do by lease is over.
    pub fn expire_earlier_leases(&mut self, gateway: GatewayId) {
        self.scopes.values_mut().for_each(|state| state.expire_earlier_leases(gateway));
        self.remove_closed_scopes();
    }

    /// Earlier processes of a gateway have ended, and so have their connections: they hold nothing. (Their fallback
    /// permits stay held until then, since a paused process goes on with them when it is resumed.)
    pub fn earlier_processes_ended(&mut self, gateway: GatewayId) {
        self.scopes.values_mut().for_each(|state| {
            state.earlier.remove(&gateway);
        });
        self.remove_closed_scopes();
    }

    /// A gateway has gone for good, and its connections with it.
    pub fn retire(&mut self, gateway: GatewayId) {
        self.process_drained(gateway);
        self.earlier_processes_ended(gateway);
    }

    /// A gateway's process has closed all its connections, and opens none any more. The gateway is granted nothing before
    /// another process of it has begun.
    pub fn process_drained(&mut self, gateway: GatewayId) {
        self.scopes.values_mut().for_each(|state| {
            state.permits.remove(&gateway);
        });
        if let Some(incarnations) = self.incarnations.get_mut(&gateway) {
            incarnations.end();
        }
        self.remove_closed_scopes();
        self.touch(gateway);
    }
}
