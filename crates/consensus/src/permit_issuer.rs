//! Issues connection permits on behalf of one voter: grants each gateway the permits that the record has for it,
//! attests which leases have expired, and, while the voter leads, proposes allocations.
//!
//! A connection may outlive the lease of its permit by the longest attempt and the server's own idle limit together,
//! since a stopped process keeps its sockets open. Only after that the voter attests that a gateway's leases have
//! expired, and from then on it grants that gateway no permits until the round of attestations has ended.

mod allocation;

use crate::permit_state::{Attestation, PermitChange};
use crate::ruleset::GatewayId;
use crate::state_machine::StateMachine;
use crate::timing::{Micros, Timing, REPROPOSE_TICKS, STALE_LEASE_TERMS};
use allocation::Allocation;
use frostgauge_connection_budget::{GatewayReport, PermitGrant, PermitLedger};
use std::collections::BTreeMap;

/// Largest number of changes in one log entry.
const MAX_CHANGES_PER_ENTRY: usize = 512;

/// The leases with permits that this voter granted to a gateway.
struct IssuedLeases {
    /// The process that the last lease was granted to.
    incarnation: u64,
    /// When the last lease expires, of this incarnation or an earlier one.
    expires_at: Micros,
    /// When the last lease of earlier incarnations expires.
    earlier_expire_at: Micros,
    /// The epoch of the permits that were granted last.
    epoch: u64,
    /// The last epoch that the gateway was notified of.
    notified_epoch: u64,
}

/// The last report of a gateway.
pub(crate) struct LastReport {
    incarnation: u64,
    received_at: Micros,
    report: GatewayReport,
    /// When this voter learned that no earlier process of the gateway runs; none: one may still run.
    sole_process_since: Option<Micros>,
}

/// Identifies a proposed change, so that it is not proposed again before it can have been decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ProposalKey {
    VoterStarted,
    /// The gateway, the round and the attestation.
    Attested(GatewayId, u64, Attestation),
    /// The gateway and the round.
    ActiveAgain(GatewayId, u64),
    /// The gateway and its incarnation.
    GatewayStarted(GatewayId, u64),
    /// The gateway and its incarnation.
    GatewayLeft(GatewayId, u64),
    /// The gateway and the epoch that it knew.
    PermitsReturned(GatewayId, u64),
    /// The number of earlier rounds of allocation.
    Allocated(u64),
}

/// Changes to be proposed in one entry: those that have not been proposed recently.
struct ChangeBatch<'a> {
    now: Micros,
    proposed_at: &'a mut BTreeMap<ProposalKey, Micros>,
    changes: Vec<PermitChange>,
}

impl ChangeBatch<'_> {
    fn push(&mut self, key: ProposalKey, change: PermitChange) {
        if self.changes.len() < MAX_CHANGES_PER_ENTRY && !self.proposed_at.contains_key(&key) {
            self.proposed_at.insert(key, self.now);
            self.changes.push(change);
        }
    }
}

/// Issues permits on behalf of one voter. Its state is not stored: it is lost when the process ends, as leases are.
pub(crate) struct PermitIssuer {
    self_id: GatewayId,
    /// Identifies this voter's process, see [`PermitChange::VoterStarted`].
    nonce: u64,
    timing: Timing,
    issued: BTreeMap<GatewayId, IssuedLeases>,
    reports: BTreeMap<GatewayId, LastReport>,
    /// By gateway, the round in which this voter attested that all its leases have expired.
    expired_in_round: BTreeMap<GatewayId, u64>,
    /// When changes were proposed; entries are kept while the change may still be decided.
    proposed_at: BTreeMap<ProposalKey, Micros>,
    allocation: Allocation,
}

impl PermitIssuer {
    pub(crate) fn new(self_id: GatewayId, nonce: u64, timing: Timing) -> PermitIssuer {
        PermitIssuer {
            self_id,
            nonce,
            timing,
            issued: BTreeMap::new(),
            reports: BTreeMap::new(),
            expired_in_round: BTreeMap::new(),
            proposed_at: BTreeMap::new(),
            allocation: Allocation::default(),
        }
    }

    /// Sets the time of day, in minutes since midnight UTC, for conditions that depend on it.
    pub(crate) fn set_minute_of_day(&mut self, minute: u16) {
        self.allocation.minute_of_day = minute;
    }

    /// How long a connection may outlive the lease under which it was used, in microseconds on this voter's clock.
    fn connection_linger(&self, machine: &StateMachine) -> Micros {
        if self.timing.bug_no_idle_wait {
            return 0;
        }
        self.timing.with_clock_drift(machine.connection_linger_ms() * 1_000)
    }

    /// Records a gateway's report; returns false, and ignores it, if it has too many entries.
    pub(crate) fn record_report(
        &mut self,
        now: Micros,
        from: GatewayId,
        incarnation: u64,
        report: &GatewayReport,
    ) -> bool {
        if !report.is_within_bounds() {
            return false;
        }
        let previous = self.reports.get(&from).filter(|last| last.incarnation == incarnation);
        let known_since = previous.and_then(|last| last.sole_process_since);
        let sole_process_since = report.sole_process.then(|| known_since.unwrap_or(now));
        let report = report.clone();
        self.reports.insert(from, LastReport { incarnation, received_at: now, report, sole_process_since });
        true
    }

    /// Grants a gateway's process its permits, under a lease that has expired on this voter's clock by `expires_at`.
    /// `seen_epoch` is the epoch of the permits that the gateway knows.
    ///
    /// None is granted if no server has a budget, if the start of this voter's process is not recorded yet, if the
    /// voter has attested in the current round that the gateway's leases have expired, or if the record has the
    /// gateway's permits for another process.
    pub(crate) fn grant(
        &mut self,
        to: GatewayId,
        incarnation: u64,
        seen_epoch: u64,
        expires_at: Micros,
        machine: &StateMachine,
    ) -> Option<PermitGrant> {
        let permits = machine.permits();
        if !machine.has_budgets() || !permits.is_voter_start_recorded(self.self_id, self.nonce) {
            return None;
        }
        if self.expired_in_round.get(&to) == Some(&permits.attestation_round(to).0) {
            return None;
        }
        let (epoch, granted) = permits.ledger().granted(to, incarnation)?;
        self.issued.entry(to).or_insert_with(|| IssuedLeases::new(incarnation)).renew(
            incarnation,
            epoch,
            expires_at,
        );
        Some(if epoch == seen_epoch {
            PermitGrant::Unchanged(epoch)
        } else {
            PermitGrant::Current(epoch, granted)
        })
    }

    /// Gateways that were granted permits of an earlier epoch than the current one. Each is returned once per epoch.
    pub(crate) fn gateways_to_notify(&mut self, machine: &StateMachine) -> Vec<GatewayId> {
        let ledger = machine.permits().ledger();
        let mut gateways = vec![];
        for (gateway, issued) in &mut self.issued {
            let epoch = ledger.epoch(*gateway);
            if epoch != issued.epoch && epoch != issued.notified_epoch {
                issued.notified_epoch = epoch;
                gateways.push(*gateway);
            }
        }
        gateways
    }

    /// The changes that this voter proposes for itself: its start until that is recorded, then its attestations.
    ///
    /// An earlier process, or voters of an earlier configuration, may have granted leases that are unknown here; all of
    /// them have expired at `unknown_expire_at`.
    pub(crate) fn attest(
        &mut self,
        now: Micros,
        unknown_expire_at: Micros,
        machine: &StateMachine,
    ) -> Vec<PermitChange> {
        let repropose_before = now.saturating_sub(self.timing.tick * REPROPOSE_TICKS);
        self.proposed_at.retain(|_, at| *at > repropose_before);
        if !machine.has_budgets() {
            return vec![];
        }
        let permits = machine.permits();
        if !permits.is_voter_start_recorded(self.self_id, self.nonce) {
            let start = PermitChange::VoterStarted { voter: self.self_id, nonce: self.nonce };
            return self.batch(now, [(ProposalKey::VoterStarted, start)]);
        }
        self.expired_in_round.retain(|gateway, round| permits.attestation_round(*gateway).0 == *round);
        let mut changes = vec![];
        for gateway in permits.ledger().leaseholders() {
            let (round, _) = permits.attestation_round(gateway);
            for attestation in self.attestations_about(now, unknown_expire_at, gateway, machine) {
                if attestation == Attestation::LeasesExpired {
                    self.expired_in_round.insert(gateway, round);
                }
                let (voter, nonce) = (self.self_id, self.nonce);
                let change = PermitChange::Attested { voter, nonce, gateway, round, attestation };
                changes.push((ProposalKey::Attested(gateway, round, attestation), change));
            }
        }
        changes.extend(self.active_again(now, permits.ledger()));
        self.batch(now, changes)
    }

    /// What this voter can attest about a gateway now.
    fn attestations_about(
        &self,
        now: Micros,
        unknown_expire_at: Micros,
        gateway: GatewayId,
        machine: &StateMachine,
    ) -> Vec<Attestation> {
        let ledger = machine.permits().ledger();
        let linger = self.connection_linger(machine);
        let incarnation = ledger.incarnation(gateway);
        let issued = self.issued.get(&gateway);
        let all_expire_at = issued.map_or(0, IssuedLeases::all_expire_at);
        let earlier_expire_at = issued.map_or(0, |issued| issued.expire_before(incarnation));
        let has_expired = |expires_at: Micros| now > expires_at.max(unknown_expire_at) + linger;
        let (earlier_leased, earlier_fallback) = ledger.earlier_incarnations_hold(gateway);
        let mut attestations = vec![];
        if has_expired(all_expire_at) {
            attestations.push(Attestation::LeasesExpired);
        } else if earlier_leased && has_expired(earlier_expire_at) {
            attestations.push(Attestation::EarlierLeasesExpired);
        }
        let report = self.reports.get(&gateway).filter(|last| Some(last.incarnation) == incarnation);
        let sole_since = report.and_then(|last| last.sole_process_since);
        let earlier_ended = sole_since.is_some_and(|since| now > since + linger);
        if earlier_ended && (earlier_leased || earlier_fallback) {
            attestations.push(Attestation::EarlierProcessesEnded);
        }
        attestations
    }

    /// Changes that end the rounds of gateways that reported within the last lease term, although this voter attested
    /// that their leases had expired.
    fn active_again(&self, now: Micros, ledger: &PermitLedger) -> Vec<(ProposalKey, PermitChange)> {
        let active_since = now.saturating_sub(self.timing.lease);
        let is_active = |gateway: GatewayId| {
            self.reports.get(&gateway).is_some_and(|last| last.is_current(gateway, active_since, ledger))
        };
        let active = self.expired_in_round.iter().filter(|(gateway, _)| is_active(**gateway));
        active
            .map(|(gateway, round)| {
                let (gateway, round) = (*gateway, *round);
                let change = PermitChange::GatewayActiveAgain { gateway, round };
                (ProposalKey::ActiveAgain(gateway, round), change)
            })
            .collect()
    }

    /// The candidates that have not been proposed recently, at most [`MAX_CHANGES_PER_ENTRY`]; marks them as proposed.
    fn batch(
        &mut self,
        now: Micros,
        candidates: impl IntoIterator<Item = (ProposalKey, PermitChange)>,
    ) -> Vec<PermitChange> {
        let mut batch = ChangeBatch { now, proposed_at: &mut self.proposed_at, changes: vec![] };
        for (key, change) in candidates {
            batch.push(key, change);
        }
        batch.changes
    }

    /// The changes that only the leader proposes: those that gateways report, and the next round of allocation.
    pub(crate) fn propose_as_leader(&mut self, now: Micros, machine: &StateMachine) -> Vec<PermitChange> {
        if !machine.has_budgets() {
            self.allocation.reset_policy();
            return vec![];
        }
        let reported_since = now.saturating_sub(self.timing.lease);
        let candidates = self.reported_changes(reported_since, machine.permits().ledger());
        let mut changes = self.batch(now, candidates);
        let round_key = ProposalKey::Allocated(machine.permits().allocation_rounds());
        if !self.proposed_at.contains_key(&round_key) {
            let reports = &self.reports;
            if let Some(change) = self.allocation.allocate(now, reported_since, reports, machine) {
                self.proposed_at.insert(round_key, now);
                changes.push(change);
            }
        }
        changes
    }

    /// Changes that follow from reports received since a time: processes that started, processes that left, and permits
    /// that were returned, in this order.
    fn reported_changes(&self, since: Micros, ledger: &PermitLedger) -> Vec<(ProposalKey, PermitChange)> {
        let (mut started, mut left, mut returned) = (vec![], vec![], vec![]);
        for (gateway, last) in self.reports.iter().filter(|(_, last)| last.received_at >= since) {
            let (gateway, incarnation) = (*gateway, last.incarnation);
            if ledger.incarnation(gateway) != Some(incarnation) {
                if !ledger.is_superseded(gateway, incarnation) {
                    let change = PermitChange::GatewayStarted { gateway, incarnation };
                    started.push((ProposalKey::GatewayStarted(gateway, incarnation), change));
                }
            } else if last.report.drained {
                let change = PermitChange::GatewayLeft { gateway, incarnation };
                left.push((ProposalKey::GatewayLeft(gateway, incarnation), change));
            } else if last.returns_permits(gateway, ledger) {
                let (seen_epoch, open) = (last.report.seen_epoch, last.report.open_counts.clone());
                let change = PermitChange::PermitsReturned { gateway, incarnation, seen_epoch, open };
                returned.push((ProposalKey::PermitsReturned(gateway, seen_epoch), change));
            }
        }
        started.into_iter().chain(left).chain(returned).collect()
    }

    /// Resets the allocation's state when another voter becomes the leader.
    pub(crate) fn stop_leading(&mut self) {
        self.allocation.stop_leading();
    }

    /// Drops the state of gateways that hold no permits by lease: reports that are older than [`STALE_LEASE_TERMS`],
    /// and leases that have expired with their connections.
    pub(crate) fn remove_stale(&mut self, now: Micros, machine: &StateMachine) {
        let since = now.saturating_sub(STALE_LEASE_TERMS * self.timing.lease_wait);
        let holders = machine.permits().ledger().leaseholders();
        self.reports.retain(|gateway, last| last.received_at >= since || holders.contains(gateway));
        let linger = self.connection_linger(machine);
        self.issued
            .retain(|gateway, issued| holders.contains(gateway) || now <= issued.all_expire_at() + linger);
    }
}

impl IssuedLeases {
    fn new(incarnation: u64) -> IssuedLeases {
        IssuedLeases { incarnation, expires_at: 0, earlier_expire_at: 0, epoch: 0, notified_epoch: 0 }
    }

    fn renew(&mut self, incarnation: u64, epoch: u64, expires_at: Micros) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.earlier_expire_at = self.earlier_expire_at.max(self.expires_at);
        }
        self.expires_at = self.expires_at.max(expires_at);
        self.epoch = epoch;
    }

    /// When the last lease of any incarnation expires.
    fn all_expire_at(&self) -> Micros {
        self.expires_at.max(self.earlier_expire_at)
    }

    /// When the last lease of incarnations before this one expires.
    fn expire_before(&self, incarnation: Option<u64>) -> Micros {
        if Some(self.incarnation) == incarnation {
            self.earlier_expire_at
        } else {
            self.all_expire_at()
        }
    }
}

impl LastReport {
    /// Whether the report was received since a time, from the process that the ledger has as the gateway's current one.
    fn is_current(&self, gateway: GatewayId, since: Micros, ledger: &PermitLedger) -> bool {
        self.received_at >= since && ledger.incarnation(gateway) == Some(self.incarnation)
    }

    /// Whether the report, made under the gateway's current epoch, shows that permits being recalled can be freed.
    fn returns_permits(&self, gateway: GatewayId, ledger: &PermitLedger) -> bool {
        if self.report.seen_epoch < ledger.epoch(gateway) {
            return false;
        }
        self.report.open_counts.iter().any(|(scope, open)| {
            let permits = ledger.permits(scope, gateway);
            (*open).max(permits.target) < permits.held || permits.fallback > permits.target
        })
    }
}
