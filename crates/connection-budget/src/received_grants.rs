//! What the replicas have granted a gateway: the latest grant of each.

use crate::scope::{BudgetScope, Epoch, GatewayId, PermitCounts, PermitList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What one replica grants a gateway. Sent by position: variants must not move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitGrant {
    /// The permits that the gateway knows by this epoch.
    Unchanged(Epoch),
    /// These permits.
    Current(Epoch, PermitList),
}

/// The latest grant of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LatestGrant {
    config: u32,
    epoch: Epoch,
    /// When it expires, microseconds.
    until: u64,
}

type PermitsByScope = BTreeMap<BudgetScope, PermitCounts>;

/// The voters of a configuration, and how many of them are a quorum.
type Quorum = (BTreeSet<GatewayId>, usize);

/// What the replicas have granted.
///
/// A replica may lag, and a majority may have granted others what this gateway holds: so at each scope the most that a
/// majority's grants allow counts, and no more than the newest grant does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedGrants {
    /// By number of the configuration.
    quorums: BTreeMap<u32, Quorum>,
    permits: BTreeMap<Epoch, Arc<PermitsByScope>>,
    latest: BTreeMap<GatewayId, LatestGrant>,
    newest_epoch: Epoch,
}

impl ReceivedGrants {
    /// Sets whose grants count, by configuration: the voters, and how many of them are a quorum.
    pub fn set_quorums(&mut self, quorums: BTreeMap<u32, (BTreeSet<GatewayId>, usize)>) {
        self.quorums = quorums;
    }

    /// Takes a replica's grant, which expires at a time in microseconds.
    pub fn receive(&mut self, replica: GatewayId, config: u32, grant: PermitGrant, until: u64) {
        let epoch = match grant {
            PermitGrant::Unchanged(epoch) if self.permits.contains_key(&epoch) => epoch,
            PermitGrant::Unchanged(_) => return,
            PermitGrant::Current(epoch, permits) => {
                self.permits.entry(epoch).or_insert_with(|| Arc::new(permits.into_iter().collect()));
                epoch
            }
        };
        self.latest.insert(replica, LatestGrant { config, epoch, until });
        self.newest_epoch = self.newest_epoch.max(epoch);
        let used: BTreeSet<Epoch> = self.latest.values().map(|grant| grant.epoch).collect();
        let newest = self.newest_epoch;
        self.permits.retain(|epoch, _| *epoch == newest || used.contains(epoch));
    }

    fn permits(&self, epoch: Epoch, scope: &BudgetScope) -> PermitCounts {
        self.permits.get(&epoch).and_then(|permits| permits.get(scope)).copied().unwrap_or_default()
    }

    /// Grants of a configuration's voters that have not expired.
    fn unexpired<'a>(
        &'a self,
        now: u64,
        config: u32,
        voters: &'a BTreeSet<GatewayId>,
    ) -> impl Iterator<Item = &'a LatestGrant> {
        let counts = move |replica: &GatewayId, grant: &LatestGrant| {
            voters.contains(replica) && grant.config == config && now < grant.until
        };
        self.latest.iter().filter(move |(replica, grant)| counts(replica, grant)).map(|(_, grant)| grant)
    }

    /// The newest epoch of all grants.
    pub fn newest_epoch(&self) -> Epoch {
        self.newest_epoch
    }

    /// How many connections may be open at a scope now.
    pub fn allowed(&self, now: u64, scope: &BudgetScope) -> u32 {
        let newest = self.permits(self.newest_epoch, scope);
        let without_lease = newest.fallback.min(newest.target);
        let by_lease = self.quorums.iter().filter_map(|(config, (voters, enough))| {
            let grants = self.unexpired(now, *config, voters);
            let mut targets: Vec<u32> = grants.map(|grant| self.permits(grant.epoch, scope).target).collect();
            targets.sort_unstable_by(|a, b| b.cmp(a));
            targets.get(enough.checked_sub(1)?).copied()
        });
        by_lease.max().unwrap_or(0).min(newest.target).max(without_lease)
    }

    /// Whether a majority's grants are unexpired: without, only fallback permits count.
    pub fn has_lease(&self, now: u64) -> bool {
        let mut quorums = self.quorums.iter();
        quorums.any(|(config, (voters, enough))| self.unexpired(now, *config, voters).count() >= *enough)
    }

    /// Tells one state of the grants from another, whatever their times.
    pub fn state_key(&self) -> (Epoch, Vec<Epoch>) {
        (self.newest_epoch, self.latest.values().map(|grant| grant.epoch).collect())
    }

    /// The permits of the newest grant.
    pub fn newest_permits(&self) -> impl Iterator<Item = (&BudgetScope, &PermitCounts)> {
        self.permits.get(&self.newest_epoch).into_iter().flat_map(|permits| permits.iter())
    }
}
