//! A voter's part in issuing connection permits: what it grants each gateway, what it attests to have expired, and,
//! while it leads, what it allocates.
//!
//! What it granted by lease lasts as long as the lease, the longest attempt and the server's own idle limit together,
//! since a stopped process keeps its sockets open. Only then it attests that a gateway's leases have expired, and from
//! then on it grants that gateway nothing before the record has discarded the attestation or acted on it.

mod allocation;

use crate::permit_state::{Attestation, PermitChange};
use crate::ruleset::GatewayId;
use crate::state_machine::StateMachine;
use crate::timing::{Micros, Timing, REPROPOSE_TICKS, STALE_LEASE_TERMS};
use allocation::Allocation;
use frostgauge_connection_budget::{GatewayReport, PermitGrant, PermitLedger};
use std::collections::BTreeMap;

/// Changes in one entry.
const MAX_CHANGES_PER_ENTRY: usize = 512;

/// What was granted to a gateway.
struct Issued {
    incarnation: u64,
    /// When the last lease with permits expires, of this incarnation and of earlier ones.
    expires_at: Micros,
    earlier_expire_at: Micros,
    /// The epoch that was granted last, and the one that it was last notified of.
    epoch: u64,
    notified_epoch: u64,
}

/// The last report of a gateway.
pub(crate) struct LastReport {
    incarnation: u64,
    received_at: Micros,
    report: GatewayReport,
    /// Since when it is known that no earlier process runs.
    sole_process_since: Option<Micros>,
}

/// A change that was proposed, so that it is not proposed again before it can have been decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proposed {
    VoterStarted,
    Attested(GatewayId, u64, Attestation),
    HeardAgain(GatewayId, u64),
    GatewayStarted(GatewayId, u64),
    GatewayLeft(GatewayId, u64),
    Returned(GatewayId, u64),
    Allocated(u64),
}

/// Changes that are proposed now, each once in a while.
struct ChangeBatch<'a> {
    now: Micros,
    proposed_at: &'a mut BTreeMap<Proposed, Micros>,
    changes: Vec<PermitChange>,
}

impl ChangeBatch<'_> {
    fn push(&mut self, proposed: Proposed, change: PermitChange) {
        if self.changes.len() < MAX_CHANGES_PER_ENTRY && !self.proposed_at.contains_key(&proposed) {
            self.proposed_at.insert(proposed, self.now);
            self.changes.push(change);
        }
    }
}

/// Issues permits on behalf of one voter. It is forgotten with its process, like leases.
pub(crate) struct PermitIssuer {
    self_id: GatewayId,
    nonce: u64,
    timing: Timing,
    issued: BTreeMap<GatewayId, Issued>,
    reports: BTreeMap<GatewayId, LastReport>,
    /// The round in which it attested that a gateway's leases have expired.
    expired_in_round: BTreeMap<GatewayId, u64>,
    proposed_at: BTreeMap<Proposed, Micros>,
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

    /// Sets the time of day, minutes from midnight UTC.
    pub(crate) fn set_minute_of_day(&mut self, minute: u16) {
        self.allocation.minute_of_day = minute;
    }

    /// How long what was begun under a lease may last after it, on this clock.
    fn linger(&self, machine: &StateMachine) -> Micros {
        if self.timing.bug_no_idle_wait {
            return 0;
        }
        self.timing.with_clock_drift(machine.connection_linger_ms() * 1_000)
    }

    /// Records a gateway's report; false if it is out of bounds.
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
        let earlier = self.reports.get(&from).filter(|last| last.incarnation == incarnation);
        let known_since = earlier.and_then(|last| last.sole_process_since);
        let sole_process_since = report.sole_process.then(|| known_since.unwrap_or(now));
        let report = report.clone();
        self.reports.insert(from, LastReport { incarnation, received_at: now, report, sole_process_since });
        true
    }

    /// The permits of a gateway, under a lease that expires on this clock by `expires_at`.
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
        self.issued.entry(to).or_insert_with(|| Issued::new(incarnation)).renew(
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

    /// Gateways that were granted something older than what holds now, each once.
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

    /// What this voter attests. It may have forgotten what was granted before `known_from`.
    pub(crate) fn attest(
        &mut self,
        now: Micros,
        known_from: Micros,
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
            return self.batch(now, [(Proposed::VoterStarted, start)]);
        }
        self.expired_in_round.retain(|gateway, round| permits.attestation_round(*gateway).0 == *round);
        let mut changes = vec![];
        for gateway in permits.ledger().leaseholders() {
            let (round, _) = permits.attestation_round(gateway);
            for attestation in self.attestations_on(now, known_from, gateway, machine) {
                if attestation == Attestation::LeasesExpired {
                    self.expired_in_round.insert(gateway, round);
                }
                let (voter, nonce) = (self.self_id, self.nonce);
                let change = PermitChange::Attested { voter, nonce, gateway, round, attestation };
                changes.push((Proposed::Attested(gateway, round, attestation), change));
            }
        }
        changes.extend(self.heard_again(now, permits.ledger()));
        self.batch(now, changes)
    }

    fn attestations_on(
        &self,
        now: Micros,
        known_from: Micros,
        gateway: GatewayId,
        machine: &StateMachine,
    ) -> Vec<Attestation> {
        let ledger = machine.permits().ledger();
        let linger = self.linger(machine);
        let incarnation = ledger.incarnation(gateway);
        let issued = self.issued.get(&gateway);
        let all_expire_at = issued.map_or(0, Issued::all_expire_at);
        let earlier_expire_at = issued.map_or(0, |issued| issued.expire_before(incarnation));
        let has_expired = |expires_at: Micros| now > expires_at.max(known_from) + linger;
        let (earlier_leased, earlier_any) = ledger.earlier_incarnations_hold(gateway);
        let mut attestations = vec![];
        if has_expired(all_expire_at) {
            attestations.push(Attestation::LeasesExpired);
        } else if earlier_leased && has_expired(earlier_expire_at) {
            attestations.push(Attestation::EarlierLeasesExpired);
        }
        let report = self.reports.get(&gateway).filter(|last| Some(last.incarnation) == incarnation);
        let sole_since = report.and_then(|last| last.sole_process_since);
        let earlier_ended = sole_since.is_some_and(|since| now > since + linger);
        if earlier_ended && (earlier_leased || earlier_any) {
            attestations.push(Attestation::EarlierProcessesEnded);
        }
        attestations
    }

    /// Gateways whose leases were attested to have expired, and that are heard.
    fn heard_again(&self, now: Micros, ledger: &PermitLedger) -> Vec<(Proposed, PermitChange)> {
        let recently = now.saturating_sub(self.timing.lease);
        let is_heard = |gateway: GatewayId| {
            self.reports.get(&gateway).is_some_and(|last| last.is_current(gateway, recently, ledger))
        };
        let heard = self.expired_in_round.iter().filter(|(gateway, _)| is_heard(**gateway));
        heard
            .map(|(gateway, round)| {
                let (gateway, round) = (*gateway, *round);
                let change = PermitChange::GatewayActiveAgain { gateway, round };
                (Proposed::HeardAgain(gateway, round), change)
            })
            .collect()
    }

    fn batch(
        &mut self,
        now: Micros,
        candidates: impl IntoIterator<Item = (Proposed, PermitChange)>,
    ) -> Vec<PermitChange> {
        let mut batch = ChangeBatch { now, proposed_at: &mut self.proposed_at, changes: vec![] };
        for (proposed, change) in candidates {
            batch.push(proposed, change);
        }
        batch.changes
    }

    /// What the leader proposes for all voters.
    pub(crate) fn propose_as_leader(&mut self, now: Micros, machine: &StateMachine) -> Vec<PermitChange> {
        if !machine.has_budgets() {
            self.allocation.reset_policy();
            return vec![];
        }
        let recently = now.saturating_sub(self.timing.lease);
        let candidates = self.reported_changes(recently, machine.permits().ledger());
        let mut changes = self.batch(now, candidates);
        let round = Proposed::Allocated(machine.permits().allocation_rounds());
        if !self.proposed_at.contains_key(&round) {
            let reports = &self.reports;
            if let Some(change) = self.allocation.allocate(now, recently, reports, machine) {
                self.proposed_at.insert(round, now);
                changes.push(change);
            }
        }
        changes
    }

    /// What the reports of gateways change: processes that started or left, and permits that were returned.
    fn reported_changes(&self, recently: Micros, ledger: &PermitLedger) -> Vec<(Proposed, PermitChange)> {
        let (mut started, mut left, mut returned) = (vec![], vec![], vec![]);
        for (gateway, last) in self.reports.iter().filter(|(_, last)| last.received_at >= recently) {
            let (gateway, incarnation) = (*gateway, last.incarnation);
            if ledger.incarnation(gateway) != Some(incarnation) {
                if !ledger.is_superseded(gateway, incarnation) {
                    let change = PermitChange::GatewayStarted { gateway, incarnation };
                    started.push((Proposed::GatewayStarted(gateway, incarnation), change));
                }
            } else if last.report.drained {
                let change = PermitChange::GatewayLeft { gateway, incarnation };
                left.push((Proposed::GatewayLeft(gateway, incarnation), change));
            } else if last.returns_permits(gateway, ledger) {
                let (seen_epoch, open) = (last.report.seen_epoch, last.report.open_counts.clone());
                let change = PermitChange::PermitsReturned { gateway, incarnation, seen_epoch, open };
                returned.push((Proposed::Returned(gateway, seen_epoch), change));
            }
        }
        started.into_iter().chain(left).chain(returned).collect()
    }

    /// Another voter leads, and allocates.
    pub(crate) fn stop_leading(&mut self) {
        self.allocation.stop_leading();
    }

    /// Drops gateways that are not heard of and hold no permits.
    pub(crate) fn remove_stale(&mut self, now: Micros, machine: &StateMachine) {
        let since = now.saturating_sub(STALE_LEASE_TERMS * self.timing.lease_wait);
        let holders = machine.permits().ledger().leaseholders();
        self.reports.retain(|gateway, last| last.received_at >= since || holders.contains(gateway));
        let linger = self.linger(machine);
        self.issued
            .retain(|gateway, issued| holders.contains(gateway) || now <= issued.all_expire_at() + linger);
    }
}

impl Issued {
    fn new(incarnation: u64) -> Issued {
        Issued { incarnation, expires_at: 0, earlier_expire_at: 0, epoch: 0, notified_epoch: 0 }
    }

    fn renew(&mut self, incarnation: u64, epoch: u64, expires_at: Micros) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.earlier_expire_at = self.earlier_expire_at.max(self.expires_at);
        }
        self.expires_at = self.expires_at.max(expires_at);
        self.epoch = epoch;
    }

    /// When all leases have expired, of any incarnation.
    fn all_expire_at(&self) -> Micros {
        self.expires_at.max(self.earlier_expire_at)
    }

    /// When the leases of incarnations before this one have expired.
    fn expire_before(&self, incarnation: Option<u64>) -> Micros {
        if Some(self.incarnation) == incarnation {
            self.earlier_expire_at
        } else {
            self.all_expire_at()
        }
    }
}

impl LastReport {
    /// Whether it came since a time from the process that the ledger knows.
    fn is_current(&self, gateway: GatewayId, since: Micros, ledger: &PermitLedger) -> bool {
        self.received_at >= since && ledger.incarnation(gateway) == Some(self.incarnation)
    }

    /// Whether it shows permits of the current epoch that are held and not used any more.
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
