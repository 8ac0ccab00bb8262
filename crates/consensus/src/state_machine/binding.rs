//! The versions that a lease names while gateways may act under different ones, and conflicts of leases with the next
//! version.

use super::StateMachine;
use crate::effective_rules::{find_conflicts, intersect_all, EffectiveRules};
use crate::ruleset::GatewayId;
use crate::version::{Version, VersionNumber};
use std::collections::BTreeSet;

impl StateMachine {
    /// The versions that bind a gateway whose own version is `own`: that one, and of the versions that other gateways
    /// may act under now or next, those that conflict with it. A gateway that does only what all of them allow
    /// conflicts with no other gateway.
    fn binding_versions(&self, own: VersionNumber) -> BTreeSet<VersionNumber> {
        let mut binding = BTreeSet::from([own]);
        // Earlier versions need not be considered: once a later version is in force, no gateway holds a lease on an
        // earlier one alone that conflicts with it.
        for other in [Some(self.in_force), self.next_version()].into_iter().flatten() {
            if let (Some(a), Some(b)) = (self.versions.get(&own), self.versions.get(&other)) {
                if own != other && !find_conflicts(&a.rules, &b.rules).is_empty() {
                    binding.insert(other);
                }
            }
        }
        binding
    }

    /// The versions that bind the canaries of the version in force, or all gateways if that is fully rolled out.
    pub fn binding_versions_of_canaries(&self) -> BTreeSet<VersionNumber> {
        self.binding_versions(self.in_force)
    }

    /// The versions that bind the gateways that are not canaries of the version in force.
    pub fn binding_versions_of_non_canaries(&self) -> BTreeSet<VersionNumber> {
        self.binding_versions(self.rolled_out)
    }

    /// What a gateway may do under a lease on these versions: what all of them allow. Nothing if one was dropped.
    pub fn effective_rules(&self, gateway: GatewayId, versions: &BTreeSet<VersionNumber>) -> EffectiveRules {
        if versions.iter().any(|number| !self.versions.contains_key(number)) {
            return EffectiveRules::default();
        }
        intersect_all(gateway, versions.iter().filter_map(|number| self.versions.get(number)))
    }

    /// Whether a gateway that acts under a lease on `versions` would conflict with the version `next`, if that came
    /// into force. True if `next` or all of `versions` were dropped, since they cannot be compared.
    pub fn lease_conflicts(
        &self,
        gateway: GatewayId,
        versions: &BTreeSet<VersionNumber>,
        next: VersionNumber,
    ) -> bool {
        let Some(next_version) = self.versions.get(&next) else { return true };
        // Of several versions, one that was dropped could only narrow what they allow together: the others decide.
        let kept: Vec<&Version> = versions.iter().filter_map(|number| self.versions.get(number)).collect();
        match &kept[..] {
            [] => true,
            // Under a lease on a single version, it is a conflict too if the next version allows what that forbids.
            [only] if versions.len() == 1 => {
                only.number != next && !find_conflicts(&only.rules, &next_version.rules).is_empty()
            }
            several => intersection_conflicts(gateway, several, next_version),
        }
    }
}

/// Whether what all of `versions` together allow a gateway exceeds what `next` allows it.
fn intersection_conflicts(gateway: GatewayId, versions: &[&Version], next: &Version) -> bool {
    if !versions.iter().all(|version| version.rules.gateways.contains(&gateway)) {
        return false;
    }
    if !next.rules.gateways.contains(&gateway) {
        return true;
    }
    let allowed = intersect_all(gateway, versions.iter().copied());
    !allowed.violations_of(&next.rules.effective_rules(gateway)).is_empty()
}
