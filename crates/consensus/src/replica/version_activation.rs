//! Entries that the leader proposes while versions are rolled out: reports that gateways have stored a fallback
//! version, canary reports, and the withdrawal of a version that its canaries did not report healthy in time.

use crate::message::LeaseRequest;
use crate::ruleset::GatewayId;
use crate::state_machine::{Entry, StateMachine};
use crate::timing::{Micros, Timing, REPROPOSE_TICKS};
use crate::version::VersionNumber;
use std::collections::BTreeMap;

/// Largest number of gateways that one entry names.
const MAX_GATEWAYS_PER_ENTRY: usize = 512;
/// The reason, stored in the log, of a withdrawal because the canaries did not confirm the version in time.
const CANARY_TIMEOUT_REASON: &str = "the canary part did not confirm it in time";

/// Identifies a proposed entry, so that it is not proposed again before it can have been decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proposed {
    FallbackStored(VersionNumber, GatewayId),
    CanaryReport(VersionNumber, GatewayId),
    Withdraw(VersionNumber),
}

/// Reports of followers that are not in the record yet, and the entries proposed for them.
#[derive(Debug, Default)]
pub(crate) struct VersionActivation {
    /// The fallback version that each gateway reports as stored.
    stored_fallbacks: BTreeMap<GatewayId, VersionNumber>,
    /// Whether each canary reports that it is healthy under a version.
    canary_reports: BTreeMap<(VersionNumber, GatewayId), bool>,
    proposed_at: BTreeMap<Proposed, Micros>,
    /// The version that canaries try now, and when this replica saw it come into force for them.
    canary_trial: Option<(VersionNumber, Micros)>,
}

impl VersionActivation {
    /// Clears the proposals made in the last configuration, which may be lost, and the canary trial, which
    /// [`VersionActivation::record_changed`] restarts.
    pub(crate) fn enter_configuration(&mut self) {
        self.canary_trial = None;
        self.proposed_at.clear();
    }

    /// Records the stored fallback version and the canary report in a follower's lease request.
    pub(crate) fn record_request(&mut self, from: GatewayId, request: &LeaseRequest, machine: &StateMachine) {
        if request.fallback_version > machine.fallback_of(from).unwrap_or(0) {
            self.stored_fallbacks.insert(from, request.fallback_version);
        }
        if let Some((version, healthy)) = request.canary_report.filter(|(v, _)| *v == machine.in_force()) {
            self.canary_reports.insert((version, from), healthy);
        }
    }

    /// Updates the canary trial after a change of the record, and drops reports on versions before the one in force.
    pub(crate) fn record_changed(&mut self, now: Micros, machine: &StateMachine) {
        let in_force = machine.in_force();
        let is_on_trial = !machine.is_fully_rolled_out() && !machine.is_withdrawn(in_force);
        let trial_version = is_on_trial.then_some(in_force);
        if self.canary_trial.map(|(version, _)| version) != trial_version {
            self.canary_trial = trial_version.map(|version| (version, now));
        }
        self.canary_reports.retain(|(version, _), _| *version >= in_force);
    }

    /// The entries that the leader is to propose now.
    pub(crate) fn propose(&mut self, now: Micros, machine: &StateMachine, timing: &Timing) -> Vec<Entry> {
        let repropose_before = now.saturating_sub(timing.tick * REPROPOSE_TICKS);
        self.proposed_at.retain(|_, at| *at > repropose_before);
        let mut entries = self.propose_stored_fallbacks(now, machine);
        entries.extend(self.propose_canary_reports(now, machine));
        entries.extend(self.propose_withdrawal(now, timing));
        entries
    }

    fn propose_stored_fallbacks(&mut self, now: Micros, machine: &StateMachine) -> Vec<Entry> {
        let is_recorded = |gateway: &GatewayId, version: &VersionNumber| {
            machine.fallback_of(*gateway).is_some_and(|recorded| recorded >= *version)
        };
        self.stored_fallbacks.retain(|gateway, version| !is_recorded(gateway, version));
        let mut by_version: BTreeMap<VersionNumber, Vec<GatewayId>> = BTreeMap::new();
        for (gateway, version) in &self.stored_fallbacks {
            if !self.proposed_at.contains_key(&Proposed::FallbackStored(*version, *gateway)) {
                by_version.entry(*version).or_default().push(*gateway);
            }
        }
        let mut entries = vec![];
        for (version, mut gateways) in by_version {
            gateways.truncate(MAX_GATEWAYS_PER_ENTRY);
            let proposed = gateways.iter().map(|gateway| Proposed::FallbackStored(version, *gateway));
            self.proposed_at.extend(proposed.map(|proposed| (proposed, now)));
            entries.push(Entry::FallbackStored { version, gateways });
        }
        entries
    }

    fn propose_canary_reports(&mut self, now: Micros, machine: &StateMachine) -> Vec<Entry> {
        let mut entries = vec![];
        for ((version, gateway), healthy) in &self.canary_reports {
            let (version, gateway, healthy) = (*version, *gateway, *healthy);
            let proposed = Proposed::CanaryReport(version, gateway);
            let is_new = machine.is_new_canary_report(version, gateway, healthy);
            if is_new && !self.proposed_at.contains_key(&proposed) {
                self.proposed_at.insert(proposed, now);
                entries.push(Entry::CanaryReport { version, gateway, healthy });
            }
        }
        entries
    }

    fn propose_withdrawal(&mut self, now: Micros, timing: &Timing) -> Option<Entry> {
        let (version, _) = self.canary_trial.filter(|(_, start)| now >= start + timing.canary_timeout)?;
        let is_first = self.proposed_at.insert(Proposed::Withdraw(version), now).is_none();
        is_first.then(|| Entry::Withdraw { version, reason: CANARY_TIMEOUT_REASON.to_owned() })
    }
}
