//! The life cycle of versions: numbering, coming into force, rollout, withdrawal and dropping.

use super::{Outcome, Proposal, StateMachine, MAX_VERSIONS};
use crate::effective_rules::fallback_violations;
use crate::ruleset::{changed_paths, FieldError, GatewayId, Rules};
use crate::version::{Version, VersionHash, VersionNumber};

/// Author of versions that restore the rules of an earlier one. It is part of their hash, so all replicas must write
/// the same.
const RESTORING_AUTHOR: &str = "keepers";
/// The only changed path of a proposal whose base version was dropped, so that the rules cannot be compared. It is part
/// of the stored outcome, so all replicas must write the same.
const BASE_NOT_KEPT: &str = "everything: the version it was made from is no more kept";

impl StateMachine {
    fn hash(&self, number: VersionNumber) -> VersionHash {
        self.versions.get(&number).map_or([0; 32], Version::hash)
    }

    /// Adds a version with the next number, linked to the latest one by its hash.
    fn append_version(
        &mut self,
        author: String,
        reason: String,
        time_ms: u64,
        rules: Rules,
    ) -> VersionNumber {
        let latest = self.latest();
        let number = latest + 1;
        let previous_hash = self.hash(latest);
        self.versions.insert(number, Version { number, previous_hash, author, reason, time_ms, rules });
        number
    }

    /// Numbers a proposal as the next version, or returns why it is rejected.
    pub(super) fn number_or_reject(&mut self, proposal: Proposal) -> Outcome {
        let latest = self.latest();
        let errors = proposal.rules.validate();
        if !errors.is_empty() {
            return Outcome::Invalid(errors);
        }
        if proposal.base_version != latest {
            let changed_paths = self.changed_since(proposal.base_version);
            return Outcome::Overtaken { latest, changed_paths };
        }
        if self.versions.len() >= MAX_VERSIONS {
            return Outcome::TooManyVersions(self.versions.len());
        }
        // Every new version must allow what some gateway may still do under fallback rules.
        if let Some((version, conflicts)) = self.find_broken_fallback(&proposal.rules) {
            let held_by = self.gateways_with_fallback_before(version + 1);
            return Outcome::BreaksFallback { version, held_by, conflicts };
        }
        let Proposal { author, reason, time_ms, rules, .. } = proposal;
        Outcome::Numbered(self.append_version(author, reason, time_ms, rules))
    }

    /// The paths at which the latest rules differ from those of version `base`.
    fn changed_since(&self, base: VersionNumber) -> Vec<String> {
        match (self.versions.get(&base), self.versions.get(&self.latest())) {
            (Some(base), Some(latest)) => changed_paths(&base.rules, &latest.rules),
            _ => vec![BASE_NOT_KEPT.to_owned()],
        }
    }

    /// Brings a version into force: for its canaries only if it has any and restores no other, else for all gateways.
    pub(super) fn bring_into_force(&mut self, next: VersionNumber) {
        let previous = if self.withdrawn.contains(&self.in_force) { self.rolled_out } else { self.in_force };
        self.cleared_voters.clear();
        self.healthy_canaries.clear();
        self.rolled_out = previous;
        self.in_force = next;
        self.update_budgets();
        if self.restores.contains(&next) || self.canaries(next).is_empty() {
            self.roll_out();
        }
    }

    /// Extends the version in force from its canaries to all gateways.
    pub(super) fn roll_out(&mut self) {
        self.rolled_out = self.in_force;
        self.healthy_canaries.clear();
        self.update_budgets();
        let version = self.versions.get(&self.in_force);
        let gateways = version.map(|version| version.rules.gateways.clone()).unwrap_or_default();
        for gateway in gateways {
            // A gateway that joins the fleet by this version has no older fallback.
            self.retired.remove(&gateway);
            self.fallbacks.entry(gateway).or_insert(self.in_force);
        }
        self.drop_unused_versions();
    }

    /// Records that gateways have stored a version as their fallback; reports by retired gateways are ignored.
    pub(super) fn record_fallbacks(&mut self, version: VersionNumber, gateways: Vec<GatewayId>) {
        // Only versions that are rolled out serve as a fallback: one on canary trial may still be withdrawn.
        let version = version.min(self.rolled_out);
        for gateway in gateways {
            if !self.retired.contains(&gateway) {
                let fallback = self.fallbacks.entry(gateway).or_insert(version);
                *fallback = version.max(*fallback);
            }
        }
        self.drop_unused_versions();
    }

    /// Records a canary's report: an unhealthy one withdraws the version, and healthy ones by more than half of the
    /// canaries roll it out.
    pub(super) fn record_canary_report(&mut self, version: VersionNumber, gateway: GatewayId, healthy: bool) {
        if !self.is_new_canary_report(version, gateway, healthy) {
            return;
        }
        if !healthy {
            // The reason becomes part of the restoring version's hash, so all replicas must write the same.
            return self.withdraw(version, &format!("gateway {gateway} fails under it"));
        }
        self.healthy_canaries.insert(gateway);
        // More than half is enough, so that a canary that has crashed or is disconnected does not block the rollout.
        if self.healthy_canaries.len() * 2 > self.canaries(version).len() {
            self.roll_out();
        }
    }

    /// The newest version before `version` that is not withdrawn.
    fn last_unwithdrawn_before(&self, version: VersionNumber) -> Option<VersionNumber> {
        let earlier = self.versions.range(..version).map(|(number, _)| *number);
        earlier.filter(|number| !self.withdrawn.contains(number)).max()
    }

    /// The oldest version whose fallback rules any gateway may still use.
    fn oldest_fallback(&self) -> VersionNumber {
        self.fallbacks.values().min().copied().unwrap_or(self.in_force)
    }

    /// The first version, from the oldest fallback on, whose fallback rules allow what `rules` forbid, with the
    /// violations. That a retired gateway is missing is not a violation.
    fn find_broken_fallback(&self, rules: &Rules) -> Option<(VersionNumber, Vec<FieldError>)> {
        let is_retired =
            |path: &str| self.retired.iter().any(|gateway| path == format!("gateways.{gateway}"));
        self.versions.range(self.oldest_fallback()..).find_map(|(number, version)| {
            let mut violations = fallback_violations(&version.rules, rules);
            violations.retain(|violation| !is_retired(&violation.path));
            (!violations.is_empty()).then_some((*number, violations))
        })
    }

    /// Withdraws a version that is in force or yet to come into force, and all numbered after it: they were made from
    /// it, and would never pass their trial if its canaries fail. A new version restores the rules that were in force
    /// before.
    ///
    /// Has no effect if the version is the first, is older than the one in force, or is withdrawn already, or if its
    /// rules may be some gateway's fallback and the restored rules would forbid what that allows.
    pub(super) fn withdraw(&mut self, version: VersionNumber, reason: &str) {
        let latest = self.latest();
        let is_in_force_or_later = version >= self.in_force && version <= latest;
        if !is_in_force_or_later || version == 1 || self.withdrawn.contains(&version) {
            return;
        }
        let restored = self.version_to_restore(version).and_then(|number| self.versions.get(&number));
        let Some((restored, rules)) = restored.map(|version| (version.number, version.rules.clone())) else {
            return;
        };
        // Once rolled out, the version may be some gateway's fallback, and the restored rules must allow what it
        // allows, as those of any new version. Before that it is no gateway's fallback, see `record_fallbacks`.
        let may_be_fallback = version == self.in_force && self.is_fully_rolled_out();
        if may_be_fallback && self.find_broken_fallback(&rules).is_some() {
            return;
        }
        self.withdrawn.extend(version..=latest);
        self.cleared_voters.clear();
        let reason = format!("version {version} is withdrawn, version {restored} restored: {reason}");
        let number = self.append_version(RESTORING_AUTHOR.to_owned(), reason, 0, rules);
        self.restores.insert(number);
    }

    /// The version whose rules are restored when `withdrawn` is withdrawn.
    fn version_to_restore(&self, withdrawn: VersionNumber) -> Option<VersionNumber> {
        match (withdrawn == self.in_force, self.is_fully_rolled_out()) {
            (true, false) => Some(self.rolled_out),
            (true, true) => self.last_unwithdrawn_before(withdrawn),
            _ => Some(self.in_force),
        }
    }

    /// Drops versions that are older than those in force, than any gateway's fallback, and than the one to restore.
    pub(super) fn drop_unused_versions(&mut self) {
        // The last version before the one in force that is not withdrawn is kept too, so that it can be restored.
        let restorable = self.last_unwithdrawn_before(self.in_force).unwrap_or(self.in_force);
        let first_kept = self.oldest_fallback().min(self.rolled_out).min(restorable);
        self.versions.retain(|number, _| *number >= first_kept);
        self.withdrawn.retain(|number| *number >= first_kept);
        self.restores.retain(|number| *number >= first_kept);
    }
}
