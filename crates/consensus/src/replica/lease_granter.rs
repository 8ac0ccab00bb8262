//! Grants leases, and attests that none of them conflicts with the version next to come into force.

use super::leases::Leases;
use crate::message::LeaseRequest;
use crate::ruleset::GatewayId;
use crate::state_machine::StateMachine;
use crate::timing::{Micros, Timing, REPROPOSE_TICKS};
use crate::version::VersionNumber;
use std::collections::{BTreeMap, BTreeSet};

/// The versions that leases are granted on, for canaries of the version in force and for the other gateways.
#[derive(Clone, Debug)]
struct BindingVersions {
    canaries: BTreeSet<VersionNumber>,
    non_canaries: BTreeSet<VersionNumber>,
}

/// Grants leases on behalf of one voter.
#[derive(Debug)]
pub(crate) struct LeaseGranter {
    leases: Leases,
    /// The end of the quarantine: until then, leases granted by an earlier process, or by voters of an earlier
    /// configuration, may be unexpired without being known here.
    attests_from: Micros,
    /// The version attested last, and when.
    last_attested: Option<(VersionNumber, Micros)>,
    /// Computed from the record on demand; none after a change of the record.
    binding: Option<BindingVersions>,
}

impl LeaseGranter {
    pub(crate) fn new(attests_from: Micros) -> LeaseGranter {
        LeaseGranter { leases: Leases::default(), attests_from, last_attested: None, binding: None }
    }

    /// The time from which this voter attests: by then all leases that it does not know of have expired.
    pub(crate) fn attests_from(&self) -> Micros {
        self.attests_from
    }

    /// Extends the quarantine to a time, unless it lasts longer already.
    pub(crate) fn quarantine_until(&mut self, time: Micros) {
        self.attests_from = self.attests_from.max(time);
    }

    /// Discards what was derived from the record, when a configuration is entered with its snapshot.
    pub(crate) fn enter_configuration(&mut self) {
        self.last_attested = None;
        self.binding = None;
    }

    /// Discards the binding versions derived from the record before it changed.
    pub(crate) fn record_changed(&mut self) {
        self.binding = None;
    }

    /// Records a request. Returns false if a later one was received before, so that this one gets no response.
    pub(crate) fn record_request(&mut self, now: Micros, from: GatewayId, request: &LeaseRequest) -> bool {
        self.leases.record_request(now, from, request)
    }

    /// The versions that a lease for a follower has to name now.
    pub(crate) fn binding_versions(
        &mut self,
        follower: GatewayId,
        machine: &StateMachine,
    ) -> BTreeSet<VersionNumber> {
        let binding = self.binding.get_or_insert_with(|| BindingVersions {
            canaries: machine.binding_versions_of_canaries(),
            non_canaries: machine.binding_versions_of_non_canaries(),
        });
        if machine.is_fully_rolled_out() || machine.is_canary(machine.in_force(), follower) {
            binding.canaries.clone()
        } else {
            binding.non_canaries.clone()
        }
    }

    /// Grants a lease. Returns false if the follower has too many different leases.
    pub(crate) fn grant(
        &mut self,
        to: GatewayId,
        versions: &BTreeSet<VersionNumber>,
        expires_at: Micros,
    ) -> bool {
        self.leases.grant(to, versions, expires_at)
    }

    /// Returns the version next to come into force, to be attested, once the quarantine has ended and no unexpired
    /// lease granted here conflicts with it. It is returned again after a few ticks until it has come into force, since
    /// the proposed entry may be lost. Returns none if `may_attest` is false, that is, if this replica does not vote.
    pub(crate) fn attest_cleared(
        &mut self,
        now: Micros,
        machine: &StateMachine,
        timing: &Timing,
        may_attest: bool,
    ) -> Option<VersionNumber> {
        let Some(next) = machine.next_version() else {
            self.last_attested = None;
            return None;
        };
        let attest_again_after = timing.tick * REPROPOSE_TICKS;
        let is_recent =
            |(version, at): (VersionNumber, Micros)| version == next && now < at + attest_again_after;
        if !may_attest || now < self.attests_from || self.last_attested.is_some_and(is_recent) {
            return None;
        }
        if self.has_conflicting_lease(now, machine, next) {
            return None;
        }
        self.last_attested = Some((next, now));
        Some(next)
    }

    fn has_conflicting_lease(&self, now: Micros, machine: &StateMachine, next: VersionNumber) -> bool {
        // Few different sets of versions are leased at a time. Each is compared once for the gateways that the next
        // version lists, and once for the others.
        let mut compared: BTreeMap<(&BTreeSet<VersionNumber>, bool), bool> = BTreeMap::new();
        let next_fleet = machine.version(next).map(|version| &version.rules.gateways);
        self.leases.unexpired(now).any(|(follower, versions)| {
            let is_in_next_fleet = next_fleet.is_some_and(|fleet| fleet.contains(&follower));
            *compared
                .entry((versions, is_in_next_fleet))
                .or_insert_with(|| machine.lease_conflicts(follower, versions, next))
        })
    }

    /// Followers whose last recorded request came at or after a time.
    pub(crate) fn followers_active_since(&self, since: Micros) -> impl Iterator<Item = GatewayId> + '_ {
        self.leases.followers_active_since(since)
    }

    /// Drops followers that sent no request since `since` and hold no lease at `now`.
    pub(crate) fn remove_stale(&mut self, now: Micros, since: Micros) {
        self.leases.remove_stale(now, since);
    }
}
