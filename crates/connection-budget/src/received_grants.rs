//! The permits that the replicas have granted a gateway: the latest grant of each replica, and what they allow
//! together.

use crate::scope::{BudgetScope, Epoch, GatewayId, PermitCounts, PermitList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The permits that one replica grants a gateway. Sent by position: variants must not move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitGrant {
    /// The permits of this epoch, which the gateway has received before.
    Unchanged(Epoch),
    /// The permits of this epoch in full.
    Current(Epoch, PermitList),
}

/// The latest grant of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LatestGrant {
    /// Number of the replica's configuration, by which its voters and quorum are known.
    config: u32,
    epoch: Epoch,
    /// Time at which the grant expires, microseconds.
    expires_at: u64,
}

type PermitsByScope = BTreeMap<BudgetScope, PermitCounts>;

/// The voters of a configuration, and how many of them are a quorum.
type Quorum = (BTreeSet<GatewayId>, usize);

/// The permits that the replicas have granted a gateway.
///
/// A replica may lag behind, and permits that its grant still contains may have been granted to another gateway by a
/// majority. So at each scope a gateway may use the largest count that the unexpired grants of a quorum all allow, and
/// no more than the newest grant allows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedGrants {
    /// By number of the configuration.
    quorums: BTreeMap<u32, Quorum>,
    /// Permits of the newest epoch and of each epoch that a latest grant refers to.
    permits: BTreeMap<Epoch, Arc<PermitsByScope>>,
    /// By number of the replica.
    latest: BTreeMap<GatewayId, LatestGrant>,
    newest_epoch: Epoch,
}

impl ReceivedGrants {
    /// Sets which replicas' grants count: the voters of each configuration, by its number, and the size of a quorum.
    pub fn set_quorums(&mut self, quorums: BTreeMap<u32, (BTreeSet<GatewayId>, usize)>) {
        self.quorums = quorums;
    }

    /// Records a replica's grant in place of its earlier one; `expires_at` is in microseconds. A grant that refers to
    /// an epoch whose permits are not known here is ignored.
    pub fn receive(&mut self, replica: GatewayId, config: u32, grant: PermitGrant, expires_at: u64) {
        let epoch = match grant {
            PermitGrant::Unchanged(epoch) if self.permits.contains_key(&epoch) => epoch,
            PermitGrant::Unchanged(_) => return,
            PermitGrant::Current(epoch, permits) => {
                self.permits.entry(epoch).or_insert_with(|| Arc::new(permits.into_iter().collect()));
                epoch
            }
        };
        self.latest.insert(replica, LatestGrant { config, epoch, expires_at });
        self.newest_epoch = self.newest_epoch.max(epoch);
        let referenced: BTreeSet<Epoch> = self.latest.values().map(|grant| grant.epoch).collect();
        let newest = self.newest_epoch;
        self.permits.retain(|epoch, _| *epoch == newest || referenced.contains(epoch));
    }

    fn permits(&self, epoch: Epoch, scope: &BudgetScope) -> PermitCounts {
        self.permits.get(&epoch).and_then(|permits| permits.get(scope)).copied().unwrap_or_default()
    }

    /// The unexpired grants that the voters of a configuration gave under that configuration.
    fn unexpired<'a>(
        &'a self,
        now: u64,
        config: u32,
        voters: &'a BTreeSet<GatewayId>,
    ) -> impl Iterator<Item = &'a LatestGrant> {
        let is_valid = move |replica: &GatewayId, grant: &LatestGrant| {
            voters.contains(replica) && grant.config == config && now < grant.expires_at
        };
        self.latest.iter().filter(move |(replica, grant)| is_valid(replica, grant)).map(|(_, grant)| grant)
    }

    /// The highest epoch of all grants received so far.
    pub fn newest_epoch(&self) -> Epoch {
        self.newest_epoch
    }

    /// How many connections may be open at a scope at the time `now`, microseconds.
    pub fn allowed(&self, now: u64, scope: &BudgetScope) -> u32 {
        let newest = self.permits(self.newest_epoch, scope);
        let without_lease = newest.fallback.min(newest.target);
        let by_lease = self.quorums.iter().filter_map(|(config, (voters, quorum))| {
            let grants = self.unexpired(now, *config, voters);
            let mut targets: Vec<u32> = grants.map(|grant| self.permits(grant.epoch, scope).target).collect();
            targets.sort_unstable_by(|a, b| b.cmp(a));
            targets.get(quorum.checked_sub(1)?).copied()
        });
        by_lease.max().unwrap_or(0).min(newest.target).max(without_lease)
    }

    /// Whether the grants of a quorum are unexpired at the time `now`, microseconds; if not, only fallback permits may
    /// be used.
    pub fn has_lease(&self, now: u64) -> bool {
        let mut quorums = self.quorums.iter();
        quorums.any(|(config, (voters, quorum))| self.unexpired(now, *config, voters).count() >= *quorum)
    }

    /// A value that changes whenever the permits of the newest epoch or the epoch of a replica's latest grant change,
    /// and not when only an expiry time changes.
    pub fn state_key(&self) -> (Epoch, Vec<Epoch>) {
        (self.newest_epoch, self.latest.values().map(|grant| grant.epoch).collect())
    }

    /// The permits of the newest epoch, by scope.
    pub fn newest_permits(&self) -> impl Iterator<Item = (&BudgetScope, &PermitCounts)> {
        self.permits.get(&self.newest_epoch).into_iter().flat_map(|permits| permits.iter())
    }
}
