//! The record, as a state machine over the replicated log: the numbered versions, which of them are in force, the
//! oldest version whose fallback rules each gateway may still use, and connection permits.
//!
//! Every replica applies the same entries in the same order, and the effect of an entry depends on no clock. A voter's
//! attestation of its own leases ([`Entry::LeasesCleared`]) counts once it is applied, and the attestation that
//! completes a majority brings the version into force.

mod binding;
mod entry;
mod publication;

pub use entry::{Entry, Outcome, Proposal};

use crate::permit_state::PermitState;
use crate::ruleset::{FieldErrors, GatewayId, Rules};
use crate::version::{Version, VersionError, VersionNumber};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of versions that are kept: those that may be in force, be some gateway's fallback, or be restored.
/// While so many are kept, further proposals are rejected.
pub const MAX_VERSIONS: usize = 32;
/// Number of proposals whose outcomes are remembered, so that a proposal sent twice is numbered only once.
const MAX_OUTCOMES: usize = 256;
/// Author and reason of the first version. They are part of its hash, so all replicas must write the same.
const BOOTSTRAP_AUTHOR: &str = "founding";
const BOOTSTRAP_REASON: &str = "the fleet's first rules";

/// Why a snapshot of the record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] postcard::Error),
    /// The number or hash of a version does not follow the version before.
    #[error(transparent)]
    Version(#[from] VersionError),
}

/// The record. It is encoded by position: the order of its fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    versions: BTreeMap<VersionNumber, Version>,
    /// The newest version in force, for all gateways or for its canaries only.
    in_force: VersionNumber,
    /// The newest version that was brought to all gateways; equal to `in_force` once its canary trial has succeeded.
    rolled_out: VersionNumber,
    /// Voters that attested that none of their leases conflicts with the next version.
    cleared_voters: BTreeSet<GatewayId>,
    withdrawn: BTreeSet<VersionNumber>,
    /// Versions that restore the rules of an earlier one; they need no canary trial.
    restores: BTreeSet<VersionNumber>,
    /// Canaries that reported that they are healthy under the version in force.
    healthy_canaries: BTreeSet<GatewayId>,
    /// For each gateway, the oldest version whose fallback rules it may still use.
    fallbacks: BTreeMap<GatewayId, VersionNumber>,
    /// Gateways whose processes have ended for good, as stated by an operator.
    retired: BTreeSet<GatewayId>,
    /// Outcomes of the last [`MAX_OUTCOMES`] proposals, by the identifier of the proposal.
    outcomes: BTreeMap<u64, Outcome>,
    /// The identifiers of these proposals, oldest first.
    outcome_order: Vec<u64>,
    /// Percentage of gateways that try a version before the others.
    canary_percent: u8,
    voters: BTreeSet<GatewayId>,
    /// Seed of the hash that selects canaries.
    seed: u64,
    permits: PermitState,
}

impl StateMachine {
    /// Creates a record whose first version is in force and is the fallback of every gateway.
    ///
    /// # Errors
    /// The rules are invalid.
    pub fn bootstrap(
        voters: BTreeSet<GatewayId>,
        rules: Rules,
        canary_percent: u8,
        seed: u64,
    ) -> Result<StateMachine, FieldErrors> {
        let errors = rules.validate();
        if !errors.is_empty() {
            return Err(FieldErrors(errors));
        }
        let fallbacks = rules.gateways.iter().map(|gateway| (*gateway, 1)).collect();
        let first = Version {
            number: 1,
            previous_hash: [0; 32],
            author: BOOTSTRAP_AUTHOR.to_owned(),
            reason: BOOTSTRAP_REASON.to_owned(),
            time_ms: 0,
            rules,
        };
        let mut machine = StateMachine {
            versions: BTreeMap::from([(1, first)]),
            in_force: 1,
            rolled_out: 1,
            cleared_voters: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            restores: BTreeSet::new(),
            healthy_canaries: BTreeSet::new(),
            fallbacks,
            retired: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            outcome_order: vec![],
            canary_percent: canary_percent.min(100),
            voters,
            seed,
            permits: PermitState::default(),
        };
        machine.update_budgets();
        Ok(machine)
    }

    /// Encodes the record as a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes what [`StateMachine::to_bytes`] encoded.
    ///
    /// # Errors
    /// The bytes cannot be decoded, or a version does not follow the one before by number and hash.
    pub fn from_bytes(bytes: &[u8]) -> Result<StateMachine, SnapshotError> {
        let machine: StateMachine = postcard::from_bytes(bytes)?;
        for (number, version) in &machine.versions {
            if let Some(previous) = number.checked_sub(1).and_then(|n| machine.versions.get(&n)) {
                version.follows(previous)?;
            }
        }
        Ok(machine)
    }

    /// The connection permits of all gateways.
    pub fn permits(&self) -> &PermitState {
        &self.permits
    }

    /// The longest time, in milliseconds, that a connection may stay open after the end of the lease under which a
    /// request was sent on it: the longest attempt plus the server's idle limit, over all versions that some gateway
    /// may act under.
    pub fn connection_linger_ms(&self) -> u64 {
        let budgets = self.versions.values().flat_map(|version| version.rules.budgets.budgets.values());
        budgets.map(|budget| budget.attempt_ms + budget.idle_ms).max().unwrap_or(0)
    }

    /// Whether any server has a connection budget, or had one and connections to it may still be open.
    pub fn has_budgets(&self) -> bool {
        self.permits.ledger().scopes().next().is_some()
    }

    /// Sets the capacities of the permit ledger to those of the versions in force.
    fn update_budgets(&mut self) {
        let numbers = [self.rolled_out, self.in_force];
        let versions: Vec<&Version> = numbers.iter().filter_map(|n| self.versions.get(n)).collect();
        self.permits.update_budgets(&versions);
    }

    /// The newest version in force, for all gateways or for its canaries only.
    pub fn in_force(&self) -> VersionNumber {
        self.in_force
    }

    /// The newest numbered version; it may not be in force yet, or may be withdrawn.
    pub fn latest(&self) -> VersionNumber {
        self.versions.keys().next_back().copied().unwrap_or(self.in_force)
    }

    /// Whether the newest version in force applies to all gateways, not only to its canaries.
    pub fn is_fully_rolled_out(&self) -> bool {
        self.rolled_out == self.in_force
    }

    /// The newest version in force for all gateways, which they are to store as their fallback.
    pub fn fallback_version(&self) -> VersionNumber {
        self.rolled_out
    }

    /// A version by its number; none if it is not numbered yet or was dropped.
    pub fn version(&self, number: VersionNumber) -> Option<&Version> {
        self.versions.get(&number)
    }

    /// All numbered versions that were not dropped.
    pub fn versions(&self) -> &BTreeMap<VersionNumber, Version> {
        &self.versions
    }

    /// Whether a version was withdrawn. False for versions that were dropped.
    pub fn is_withdrawn(&self, number: VersionNumber) -> bool {
        self.withdrawn.contains(&number)
    }

    /// The voters of the current configuration.
    pub fn voters(&self) -> &BTreeSet<GatewayId> {
        &self.voters
    }

    /// The gateways that may still use the fallback rules of a version before this one.
    pub fn gateways_with_fallback_before(&self, number: VersionNumber) -> Vec<GatewayId> {
        let earlier = self.fallbacks.iter().filter(|(_, fallback)| **fallback < number);
        earlier.map(|(gateway, _)| *gateway).collect()
    }

    /// The oldest version whose fallback rules a gateway may still use; none if the gateway is retired, or if none is
    /// recorded for it.
    pub fn fallback_of(&self, gateway: GatewayId) -> Option<VersionNumber> {
        self.fallbacks.get(&gateway).copied()
    }

    /// The outcome of a proposal; none if it is not decided, or was decided too long ago to be remembered.
    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.outcomes.get(&id)
    }

    /// The version next to come into force: the lowest numbered one after the version in force that is not withdrawn.
    /// None while the version in force is on canary trial.
    pub fn next_version(&self) -> Option<VersionNumber> {
        if !self.is_fully_rolled_out() && !self.withdrawn.contains(&self.in_force) {
            return None;
        }
        let later = self.versions.keys().copied().filter(|number| *number > self.in_force);
        later.filter(|number| !self.withdrawn.contains(number)).min()
    }

    /// Whether a gateway is a canary of a version. Canaries are selected by a hash of seed, version and gateway.
    pub fn is_canary(&self, version: VersionNumber, gateway: GatewayId) -> bool {
        let mut input = self.seed.to_be_bytes().to_vec();
        input.extend(version.to_be_bytes());
        input.extend(gateway.to_be_bytes());
        let hash = blake3::hash(&input);
        let draw = u16::from_be_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]);
        u32::from(draw) * 100 < u32::from(self.canary_percent) * 65_536
    }

    /// The canaries of a version, among the gateways that this version lists.
    pub fn canaries(&self, version: VersionNumber) -> BTreeSet<GatewayId> {
        let fleet = self.versions.get(&version).map(|version| &version.rules.gateways);
        let gateways = fleet.into_iter().flatten().copied();
        gateways.filter(|gateway| self.is_canary(version, *gateway)).collect()
    }

    /// Whether a report is by a canary of the version on trial, and was not recorded before.
    pub(crate) fn is_new_canary_report(
        &self,
        version: VersionNumber,
        gateway: GatewayId,
        healthy: bool,
    ) -> bool {
        version == self.in_force
            && !self.is_fully_rolled_out()
            && !self.withdrawn.contains(&version)
            && self.is_canary(version, gateway)
            && !(healthy && self.healthy_canaries.contains(&gateway))
    }

    /// Applies a decided entry. If it is a proposal, returns the proposal's identifier and outcome.
    pub fn apply(&mut self, entry: Entry) -> Option<(u64, Outcome)> {
        match entry {
            Entry::Publish(proposal) => return Some(self.publish(*proposal)),
            Entry::LeasesCleared { voter, version } => self.record_leases_cleared(voter, version),
            Entry::FallbackStored { version, gateways } => self.record_fallbacks(version, gateways),
            Entry::CanaryReport { version, gateway, healthy } => {
                self.record_canary_report(version, gateway, healthy);
            }
            Entry::Withdraw { version, reason } => self.withdraw(version, &reason),
            Entry::Retire { gateway } => self.retire(gateway),
            Entry::Permits(changes) => {
                changes.into_iter().for_each(|change| self.permits.apply(change, &self.voters));
            }
            Entry::ChangeConfiguration { voters, .. } => self.change_voters(voters),
        }
        None
    }

    /// Numbers a proposal or rejects it; one decided before keeps its outcome.
    fn publish(&mut self, proposal: Proposal) -> (u64, Outcome) {
        let id = proposal.id;
        if let Some(earlier) = self.outcomes.get(&id) {
            return (id, earlier.clone());
        }
        let outcome = self.number_or_reject(proposal);
        self.remember_outcome(id, outcome.clone());
        (id, outcome)
    }

    fn remember_outcome(&mut self, id: u64, outcome: Outcome) {
        self.outcomes.insert(id, outcome);
        self.outcome_order.push(id);
        if self.outcome_order.len() > MAX_OUTCOMES {
            let oldest = self.outcome_order.remove(0);
            self.outcomes.remove(&oldest);
        }
    }

    /// Counts a voter's attestation. With a majority of the voters, the version comes into force.
    fn record_leases_cleared(&mut self, voter: GatewayId, version: VersionNumber) {
        if self.next_version() == Some(version) && self.voters.contains(&voter) {
            self.cleared_voters.insert(voter);
            if self.cleared_voters.len() > self.voters.len() / 2 {
                self.bring_into_force(version);
            }
        }
    }

    /// Records that a gateway's process has ended for good: it uses no fallback rules and holds no permits any more.
    fn retire(&mut self, gateway: GatewayId) {
        self.fallbacks.remove(&gateway);
        self.retired.insert(gateway);
        self.permits.retire(gateway);
        self.drop_unused_versions();
    }

    /// Replaces the voters. Attestations of the earlier voters are discarded: they do not cover leases granted by the
    /// new ones.
    fn change_voters(&mut self, voters: BTreeSet<GatewayId>) {
        self.voters = voters;
        self.cleared_voters.clear();
        self.permits.discard_attestations();
    }
}
