//! Granting leases, and attesting that none of them conflicts with the version next to come into force.

use super::leases::Leases;
use crate::message::LeaseRequest;
use crate::ruleset::GatewayId;
use crate::state_machine::StateMachine;
use crate::timing::{Micros, Timing, REPROPOSE_TICKS};
use crate::version::VersionNumber;
use std::collections::{BTreeMap, BTreeSet};

/// The versions that leases are granted on, by the follower's part in the canary rollout.
#[derive(Clone, Debug)]
struct BindingVersions {
    canaries: BTreeSet<VersionNumber>,
    others: BTreeSet<VersionNumber>,
}

/// Grants leases on behalf of one voter.
#[derive(Debug)]
pub(crate) struct LeaseGranter {
    leases: Leases,
    /// Before this time an earlier process, or voters of an earlier configuration, may have granted leases.
    attests_from: Micros,
    last_attested: Option<(VersionNumber, Micros)>,
    binding: Option<BindingVersions>,
}

impl LeaseGranter {
    pub(crate) fn new(attests_from: Micros) -> LeaseGranter {
        LeaseGranter { leases: Leases::default(), attests_from, last_attested: None, binding: None }
    }

    /// From when leases granted before are known to have expired.
    pub(crate) fn attests_from(&self) -> Micros {
        self.attests_from
    }

    /// Leases that are not known here may have been granted until now.
    pub(crate) fn quarantine_until(&mut self, time: Micros) {
        self.attests_from = self.attests_from.max(time);
    }

    /// A configuration is entered, with its snapshot of the record.
    pub(crate) fn enter_configuration(&mut self) {
        self.last_attested = None;
        self.binding = None;
    }

    /// The record has changed.
    pub(crate) fn record_changed(&mut self) {
        self.binding = None;
    }

    /// Records a request; false if it came late and gets no response.
    pub(crate) fn record_request(&mut self, now: Micros, from: GatewayId, request: &LeaseRequest) -> bool {
        self.leases.record_request(now, from, request)
    }

    /// The versions that bind a follower now.
    pub(crate) fn binding_versions(
        &mut self,
        follower: GatewayId,
        machine: &StateMachine,
    ) -> BTreeSet<VersionNumber> {
        let binding = self.binding.get_or_insert_with(|| BindingVersions {
            canaries: machine.binding_versions_of_canaries(),
            others: machine.binding_versions_of_non_canaries(),
        });
        if machine.is_fully_rolled_out() || machine.is_canary(machine.in_force(), follower) {
            binding.canaries.clone()
        } else {
            binding.others.clone()
        }
    }

    /// Grants a lease; false if the follower has too many different ones.
    pub(crate) fn grant(
        &mut self,
        to: GatewayId,
        versions: &BTreeSet<VersionNumber>,
        expires_at: Micros,
    ) -> bool {
        self.leases.grant(to, versions, expires_at)
    }

    /// The version next to come into force, once no lease granted here conflicts with it. It is returned again while
    /// it has not come into force. `may_attest`: whether this replica votes.
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
        let repeat_after = timing.tick * REPROPOSE_TICKS;
        let is_recent = |(version, at): (VersionNumber, Micros)| version == next && now < at + repeat_after;
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
        // Few sets of versions differ: each is compared once.
        let mut compared: BTreeMap<(&BTreeSet<VersionNumber>, bool), bool> = BTreeMap::new();
        let fleet = machine.version(next).map(|version| &version.rules.gateways);
        self.leases.unexpired(now).any(|(follower, versions)| {
            let is_in_fleet = fleet.is_some_and(|fleet| fleet.contains(&follower));
            *compared
                .entry((versions, is_in_fleet))
                .or_insert_with(|| machine.lease_conflicts(follower, versions, next))
        })
    }

    /// Followers that sent a request since a time.
    pub(crate) fn followers_heard_since(&self, since: Micros) -> impl Iterator<Item = GatewayId> + '_ {
        self.leases.followers_heard_since(since)
    }

    /// Drops followers not heard since a time that hold no lease.
    pub(crate) fn remove_stale(&mut self, now: Micros, since: Micros) {
        self.leases.remove_stale(now, since);
    }
}
