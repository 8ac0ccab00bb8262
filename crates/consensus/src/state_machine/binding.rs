//! Which versions bind a gateway while several may be in force, and which leases conflict with the next version.

use super::StateMachine;
use crate::effective_rules::{find_conflicts, intersect_all, EffectiveRules};
use crate::ruleset::GatewayId;
use crate::version::{Version, VersionNumber};
use std::collections::BTreeSet;

impl StateMachine {
    /// The versions that bind a gateway under `own`: that one, and those that others may act under, now or next, and
    /// that conflict with it. Under one, or under what all of them allow, it conflicts with nobody.
    fn binding_versions(&self, own: VersionNumber) -> BTreeSet<VersionNumber> {
        let mut binding = BTreeSet::from([own]);
        // Not the version before: once a later one is in force, nobody has a lease on that alone that conflicts with it.
        for other in [Some(self.in_force), self.next_version()].into_iter().flatten() {
            if let (Some(a), Some(b)) = (self.versions.get(&own), self.versions.get(&other)) {
                if own != other && !find_conflicts(&a.rules, &b.rules).is_empty() {
                    binding.insert(other);
                }
            }
        }
        binding
    }

    /// The versions that bind the canaries, and all gateways once a version is fully rolled out.
    pub fn binding_versions_of_canaries(&self) -> BTreeSet<VersionNumber> {
        self.binding_versions(self.in_force)
    }

    /// The versions that bind the gateways that are no canaries.
    pub fn binding_versions_of_non_canaries(&self) -> BTreeSet<VersionNumber> {
        self.binding_versions(self.rolled_out)
    }

    /// What a gateway may do while all of these versions may be in force; nothing if one of them is not kept.
    pub fn effective_rules(&self, gateway: GatewayId, versions: &BTreeSet<VersionNumber>) -> EffectiveRules {
        if versions.iter().any(|number| !self.versions.contains_key(number)) {
            return EffectiveRules::default();
        }
        intersect_all(gateway, versions.iter().filter_map(|number| self.versions.get(number)))
    }

    /// Whether acting under a lease on these versions would conflict with a version that comes into force.
    pub fn lease_conflicts(
        &self,
        gateway: GatewayId,
        versions: &BTreeSet<VersionNumber>,
        next: VersionNumber,
    ) -> bool {
        let Some(law) = self.versions.get(&next) else { return true };
        // One of several that is not kept any more only narrows what all allow: those that are kept decide.
        let kept: Vec<&Version> = versions.iter().filter_map(|number| self.versions.get(number)).collect();
        match &kept[..] {
            [] => true,
            // Under a single version, what that forbids and the new one allows is a conflict as well.
            [only] if versions.len() == 1 => {
                only.number != next && !find_conflicts(&only.rules, &law.rules).is_empty()
            }
            all => intersection_conflicts(gateway, all, law),
        }
    }
}

/// Whether what all of these versions allow a gateway exceeds what `law` allows it.
fn intersection_conflicts(gateway: GatewayId, versions: &[&Version], law: &Version) -> bool {
    if !versions.iter().all(|version| version.rules.gateways.contains(&gateway)) {
        return false;
    }
    if !law.rules.gateways.contains(&gateway) {
        return true;
    }
    let allowed = intersect_all(gateway, versions.iter().copied());
    !allowed.violations_of(&law.rules.effective_rules(gateway)).is_empty()
}
