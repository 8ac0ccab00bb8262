//! The ledger of permits: how many connections each gateway may have open at each scope, such that their sum never
//! exceeds the scope's capacity.
//!
//! Only a free permit is granted. A permit becomes free when its gateway has acknowledged its recall, or when the
//! gateway can no longer have a connection open under it. The caller decides when that is so: after a lease, the
//! longest attempt and the server's idle limit have passed and, for the fallback permits of a process, once the process
//! has ended. It then calls [`PermitLedger::expire_lease`], [`PermitLedger::expire_earlier_leases`] or
//! [`PermitLedger::earlier_processes_ended`].
//!
//! All operations are deterministic, so the ledger can be computed from a replicated log.

use crate::incarnations::Incarnations;
use crate::scope::{BudgetScope, Epoch, GatewayId, PermitCounts, PermitList};
use crate::scope_state::ScopeState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The reason why the ledger rejects a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum LedgerError {
    /// The ledger has no such scope.
    #[error("the ledger has no such scope")]
    UnknownScope,
    /// Fewer permits are available at the scope than the grant needs.
    #[error("not enough permits are available at the scope")]
    Exhausted,
    /// The gateway has no current process that permits could be granted to.
    #[error("the gateway has no current process")]
    NoProcess,
}

/// The capacity of each scope and the permits held there. Stored by position: fields must not move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitLedger {
    scopes: BTreeMap<BudgetScope, ScopeState>,
    /// Epoch of the last change of each gateway's permits.
    changed_at: BTreeMap<GatewayId, Epoch>,
    /// Epoch of the last change of any gateway's permits.
    epoch: Epoch,
    incarnations: BTreeMap<GatewayId, Incarnations>,
}

/// Scopes, their capacities and the permits held there.
impl PermitLedger {
    /// Sets the capacity of a scope, which is added if the ledger has no such scope. After the capacity was lowered,
    /// nothing is granted until fewer permits than the new capacity are held.
    pub fn set_capacity(&mut self, scope: &BudgetScope, capacity: u32) {
        self.scopes.entry(scope.clone()).or_default().capacity = capacity;
    }

    /// Closes a scope: sets its capacity to 0 and recalls all its permits. The scope is removed once none are held.
    pub fn close(&mut self, scope: &BudgetScope) {
        let Some(state) = self.scopes.get_mut(scope) else { return };
        state.capacity = 0;
        let holders: Vec<GatewayId> = state.permits.keys().copied().collect();
        if state.is_empty() {
            self.scopes.remove(scope);
            return;
        }
        for gateway in holders {
            self.recall(scope, gateway, 0);
        }
    }

    /// Removes a scope whose connections are no longer limited, together with its permits.
    pub fn remove(&mut self, scope: &BudgetScope) {
        let Some(state) = self.scopes.remove(scope) else { return };
        state.permits.keys().for_each(|gateway| self.advance_epoch(*gateway));
    }

    /// A ledger with only some of the scopes, on which changes can be planned. It has no epochs of gateways.
    pub(crate) fn subset(&self, scopes: &[BudgetScope]) -> PermitLedger {
        let states = scopes.iter().filter_map(|scope| Some((scope.clone(), self.scopes.get(scope)?.clone())));
        PermitLedger {
            scopes: states.collect(),
            changed_at: BTreeMap::new(),
            epoch: self.epoch,
            incarnations: self.incarnations.clone(),
        }
    }

    /// Scopes with their capacities.
    pub fn scopes(&self) -> impl Iterator<Item = (&BudgetScope, u32)> {
        self.scopes.iter().map(|(scope, state)| (scope, state.capacity))
    }

    /// Maximum number of connections at a scope; 0 for an unknown scope.
    pub fn capacity(&self, scope: &BudgetScope) -> u64 {
        self.scopes.get(scope).map_or(0, |state| u64::from(state.capacity))
    }

    /// Number of permits of a scope that no gateway holds, so that they can be granted.
    pub fn available(&self, scope: &BudgetScope) -> u32 {
        let Some(state) = self.scopes.get(scope) else { return 0 };
        u32::try_from(u64::from(state.capacity).saturating_sub(state.held())).unwrap_or(0)
    }

    /// Number of permits of a scope that any process of any gateway may still be using.
    pub fn held(&self, scope: &BudgetScope) -> u64 {
        self.scopes.get(scope).map_or(0, ScopeState::held)
    }

    /// Permits of a gateway's current process at a scope.
    pub fn permits(&self, scope: &BudgetScope, gateway: GatewayId) -> PermitCounts {
        let state = self.scopes.get(scope);
        state.and_then(|state| state.permits.get(&gateway)).copied().unwrap_or_default()
    }

    /// Permits of a scope by gateway, without those of earlier processes.
    pub fn permits_at(&self, scope: &BudgetScope) -> impl Iterator<Item = (GatewayId, &PermitCounts)> {
        let state = self.scopes.get(scope).into_iter();
        state.flat_map(|state| state.permits.iter().map(|(gateway, permits)| (*gateway, permits)))
    }

    /// Gateways that hold permits valid only under a lease, or of which an earlier process may hold permits of any
    /// kind.
    pub fn leaseholders(&self) -> BTreeSet<GatewayId> {
        let mut gateways = BTreeSet::new();
        for state in self.scopes.values() {
            let leased = state.permits.iter().filter(|(_, permits)| permits.held > permits.fallback);
            gateways.extend(leased.map(|(gateway, _)| *gateway));
            gateways.extend(state.earlier.keys());
        }
        gateways
    }

    /// Epoch of the last change of a gateway's permits; 0 if they never changed.
    pub fn epoch(&self, gateway: GatewayId) -> Epoch {
        self.changed_at.get(&gateway).copied().unwrap_or(0)
    }

    /// Epoch and permits of a gateway's current process.
    pub fn permits_of(&self, gateway: GatewayId) -> (Epoch, PermitList) {
        let permits = |(scope, state): (&BudgetScope, &ScopeState)| {
            Some((scope.clone(), *state.permits.get(&gateway)?))
        };
        (self.epoch(gateway), self.scopes.iter().filter_map(permits).collect())
    }

    /// Whether at each scope the sum of the targets is within the capacity, so that permits held beyond it are being
    /// recalled. While the targets exceed a capacity that was lowered, whether no more permits are held than the
    /// targets allow.
    pub fn is_consistent(&self) -> bool {
        self.scopes.values().all(ScopeState::is_consistent)
    }

    /// Begins a new epoch, in which a gateway's permits have changed.
    fn advance_epoch(&mut self, gateway: GatewayId) {
        self.epoch += 1;
        self.changed_at.insert(gateway, self.epoch);
    }

    fn remove_closed_scopes(&mut self) {
        self.scopes.retain(|_, state| !state.is_closed());
    }
}

/// Grants, recalls and acknowledgements.
impl PermitLedger {
    /// Grants `count` available permits to a gateway, which may use `fallback` of them without a lease too.
    ///
    /// # Errors
    /// The gateway has no current process, the ledger has no such scope, or fewer permits are available. The ledger is
    /// unchanged then.
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
        // A recall in progress stays: only the gateway's acknowledgement, which may be in flight, frees those permits.
        permits.held += count;
        permits.target += count;
        permits.fallback = (permits.fallback + fallback.min(count)).min(permits.held);
        self.advance_epoch(gateway);
        Ok(())
    }

    /// Recalls permits of a gateway's current process: it has to reduce its open connections to `target`. Does nothing
    /// if the gateway's target is not higher.
    pub fn recall(&mut self, scope: &BudgetScope, gateway: GatewayId, target: u32) {
        let permits = self.scopes.get_mut(scope).and_then(|state| state.permits.get_mut(&gateway));
        let Some(permits) = permits.filter(|permits| target < permits.target) else { return };
        permits.target = target;
        self.advance_epoch(gateway);
    }

    /// Applies a gateway's acknowledgement: having seen the epoch `seen_epoch`, it has at most `open` connections open
    /// or being opened at a scope, and opens none beyond the targets of that epoch. An acknowledgement of an older
    /// epoch than the gateway's newest, or of another process, changes nothing: permits granted since must not be freed
    /// by it.
    pub fn acknowledge(
        &mut self,
        gateway: GatewayId,
        incarnation: u64,
        seen_epoch: Epoch,
        scope: &BudgetScope,
        open: u32,
    ) {
        if self.incarnation(gateway) != Some(incarnation) || seen_epoch < self.epoch(gateway) {
            return;
        }
        let Some(state) = self.scopes.get_mut(scope) else { return };
        if !state.acknowledge(gateway, open) {
            return;
        }
        if state.is_closed() {
            self.scopes.remove(scope);
        }
        self.advance_epoch(gateway);
    }

    /// Frees the permits that all processes of a gateway held only under a lease. To be called once none of their
    /// connections can be open any more. Fallback permits stay held, since a gateway that is cut off goes on using
    /// them.
    pub fn expire_lease(&mut self, gateway: GatewayId) {
        let mut changed = false;
        for state in self.scopes.values_mut() {
            changed |= state.expire_lease(gateway);
        }
        self.expire_earlier_leases(gateway);
        if changed {
            self.advance_epoch(gateway);
        }
    }
}

/// Processes of gateways.
impl PermitLedger {
    /// Makes a new process of a gateway its current one. The permits of the earlier process stay held until they are
    /// known to be unused; the new process is granted free ones. Does nothing if the process is already current or was
    /// superseded, so a late message of a superseded process has no effect.
    pub fn begin_incarnation(&mut self, gateway: GatewayId, incarnation: u64) {
        if !self.incarnations.entry(gateway).or_default().begin(incarnation) {
            return;
        }
        self.scopes.values_mut().for_each(|state| state.supersede(gateway));
        self.advance_epoch(gateway);
    }

    /// Incarnation of a gateway's current process, which its permits are for; none if it has no current process.
    pub fn incarnation(&self, gateway: GatewayId) -> Option<u64> {
        self.incarnations.get(&gateway).and_then(Incarnations::current)
    }

    /// Whether a process of a gateway has ended or was superseded by another; only the last few are remembered.
    pub fn is_superseded(&self, gateway: GatewayId, incarnation: u64) -> bool {
        self.incarnations.get(&gateway).is_some_and(|known| known.is_superseded(incarnation))
    }

    /// Epoch and permits of a gateway, if `incarnation` is its current process; none otherwise.
    pub fn granted(&self, gateway: GatewayId, incarnation: u64) -> Option<(Epoch, PermitList)> {
        (self.incarnation(gateway) == Some(incarnation)).then(|| self.permits_of(gateway))
    }

    /// Whether earlier processes of a gateway may still hold permits: first those valid only under a lease, second
    /// fallback permits.
    pub fn earlier_incarnations_hold(&self, gateway: GatewayId) -> (bool, bool) {
        let earlier = || self.scopes.values().filter_map(|state| state.earlier.get(&gateway));
        (earlier().any(|permits| permits.leased > 0), earlier().any(|permits| permits.fallback > 0))
    }

    /// Frees the permits that earlier processes of a gateway held only under a lease. To be called once none of their
    /// connections can be open any more.
    pub fn expire_earlier_leases(&mut self, gateway: GatewayId) {
        self.scopes.values_mut().for_each(|state| state.expire_earlier_leases(gateway));
        self.remove_closed_scopes();
    }

    /// Frees all permits of earlier processes of a gateway, which have ended, as have their connections. Until then
    /// their fallback permits stay held, since a paused process goes on using them when it is resumed.
    pub fn earlier_processes_ended(&mut self, gateway: GatewayId) {
        self.scopes.values_mut().for_each(|state| {
            state.earlier.remove(&gateway);
        });
        self.remove_closed_scopes();
    }

    /// Frees all permits of a gateway that has been removed for good, when all its connections are closed.
    pub fn retire(&mut self, gateway: GatewayId) {
        self.process_drained(gateway);
        self.earlier_processes_ended(gateway);
    }

    /// Frees the permits of a gateway's current process, which has closed all its connections and opens no more. The
    /// gateway is granted nothing until another process of it has begun.
    pub fn process_drained(&mut self, gateway: GatewayId) {
        self.scopes.values_mut().for_each(|state| {
            state.permits.remove(&gateway);
        });
        if let Some(incarnations) = self.incarnations.get_mut(&gateway) {
            incarnations.end();
        }
        self.remove_closed_scopes();
        self.advance_epoch(gateway);
    }
}
