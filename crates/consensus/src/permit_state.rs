//! The part of the record that changes most often: which gateway holds how many connection permits for which server.
//!
//! It is a state machine over the same log as the versions. Permits are freed by the gateway's own report, or when a
//! majority of voters attest that the leases with permits that they granted to the gateway have expired.
//!
//! Attestations on a gateway are collected in numbered rounds. A round ends when a majority has attested that the
//! leases have expired, when the gateway is active again ([`PermitChange::GatewayActiveAgain`]), when its process
//! starts, leaves or is retired, and when the voters change; attestations of a round that has ended have no effect. A
//! voter that has attested that its leases have expired grants the gateway no permits until that round has ended.

use crate::ruleset::{GatewayId, ServerState};
use crate::version::Version;
use frostgauge_connection_budget::{BudgetScope, Epoch, LedgerChange, PermitLedger};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a voter attests about a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Attestation {
    /// All leases with permits that the voter granted to any process of the gateway have expired, and so have the
    /// attempts begun under them and the connections used for these.
    LeasesExpired,
    /// The same for the leases of the gateway's earlier processes only.
    EarlierLeasesExpired,
    /// The gateway's earlier processes have ended, and their connections are closed.
    EarlierProcessesEnded,
}

/// A change of permits. It is encoded by position: the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitChange {
    /// A voter's process has started: its earlier attestations are discarded.
    VoterStarted {
        /// The voter.
        voter: GatewayId,
        /// A random number that identifies the voter's process.
        nonce: u64,
    },
    /// The first request of a gateway's process has arrived.
    GatewayStarted {
        /// The gateway.
        gateway: GatewayId,
        /// A random number that identifies the gateway's process.
        incarnation: u64,
    },
    /// A gateway reports how many connections it still has open, and so returns permits that are being recalled.
    PermitsReturned {
        /// The gateway.
        gateway: GatewayId,
        /// The gateway's process.
        incarnation: u64,
        /// The epoch of the permits that the gateway knew when it reported.
        seen_epoch: Epoch,
        /// The number of open connections, by scope.
        open: Vec<(BudgetScope, u32)>,
    },
    /// A gateway's process has closed all its connections, and will open no more.
    GatewayLeft {
        /// The gateway.
        gateway: GatewayId,
        /// The gateway's process.
        incarnation: u64,
    },
    /// A voter attests something about a gateway.
    Attested {
        /// The voter.
        voter: GatewayId,
        /// The voter's process.
        nonce: u64,
        /// The gateway.
        gateway: GatewayId,
        /// The round of attestations on the gateway; without effect if that has ended.
        round: u64,
        /// What the voter attests.
        attestation: Attestation,
    },
    /// The gateway sends requests again, after a voter attested that its leases had expired: the round ends.
    GatewayActiveAgain {
        /// The gateway.
        gateway: GatewayId,
        /// The round that ends.
        round: u64,
    },
    /// The result of a round of allocation.
    Allocated {
        /// The names of the conditions that are active.
        active_conditions: BTreeSet<String>,
        /// Grants and recalls of permits.
        moves: Vec<LedgerChange>,
    },
}

/// The current round of attestations on one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct AttestationRound {
    number: u64,
    attested_by: BTreeMap<Attestation, BTreeSet<GatewayId>>,
}

impl AttestationRound {
    /// Ends the round, and begins the next without attestations.
    fn end(&mut self) {
        self.number += 1;
        self.attested_by.clear();
    }
}

/// Which gateway holds which permits. It is encoded by position: the order of its fields is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitState {
    ledger: PermitLedger,
    rounds: BTreeMap<GatewayId, AttestationRound>,
    /// The nonce of each voter's current process.
    voter_nonces: BTreeMap<GatewayId, u64>,
    active_conditions: BTreeSet<String>,
    allocation_rounds: u64,
}

impl PermitState {
    /// The ledger of the permits that each gateway holds, by scope.
    pub fn ledger(&self) -> &PermitLedger {
        &self.ledger
    }

    /// The names of the conditions that were active in the last round of allocation.
    pub fn active_conditions(&self) -> &BTreeSet<String> {
        &self.active_conditions
    }

    /// The number of rounds of allocation so far.
    pub fn allocation_rounds(&self) -> u64 {
        self.allocation_rounds
    }

    /// The number of the current round of attestations on a gateway, and whether any voter has attested in it that all
    /// leases of the gateway have expired.
    pub fn attestation_round(&self, gateway: GatewayId) -> (u64, bool) {
        let round = self.rounds.get(&gateway);
        round.map_or((0, false), |round| {
            (round.number, round.attested_by.contains_key(&Attestation::LeasesExpired))
        })
    }

    /// Whether the start of the voter's process with this nonce is recorded: until then it grants no permits, and its
    /// attestations have no effect.
    pub fn is_voter_start_recorded(&self, voter: GatewayId, nonce: u64) -> bool {
        self.voter_nonces.get(&voter) == Some(&nonce)
    }

    /// Applies a change. An attestation takes effect once a majority of `voters` has made it.
    pub fn apply(&mut self, change: PermitChange, voters: &BTreeSet<GatewayId>) {
        match change {
            PermitChange::VoterStarted { voter, nonce } => self.record_voter_start(voter, nonce),
            PermitChange::GatewayStarted { gateway, incarnation } => {
                self.record_gateway_start(gateway, incarnation);
            }
            PermitChange::PermitsReturned { gateway, incarnation, seen_epoch, open } => {
                self.record_returned(gateway, incarnation, seen_epoch, &open);
            }
            PermitChange::GatewayLeft { gateway, incarnation } => {
                if self.ledger.incarnation(gateway) == Some(incarnation) {
                    self.end_round(gateway);
                    self.ledger.process_drained(gateway);
                }
            }
            PermitChange::Attested { voter, nonce, gateway, round, attestation } => {
                if voters.contains(&voter) && self.is_voter_start_recorded(voter, nonce) {
                    self.attest(voter, gateway, round, attestation, voters.len());
                }
            }
            PermitChange::GatewayActiveAgain { gateway, round } => {
                if let Some(current) = self.rounds.get_mut(&gateway).filter(|r| r.number == round) {
                    current.end();
                }
            }
            PermitChange::Allocated { active_conditions, moves } => {
                self.allocate(active_conditions, moves);
            }
        }
    }

    fn end_round(&mut self, gateway: GatewayId) {
        self.rounds.entry(gateway).or_default().end();
    }

    /// Discards the attestations of a voter that has started: it does not remember them, and may grant permits again.
    ///
    /// If they were kept, such an attestation and one of another voter could free permits that the restarted voter has
    /// just granted. `tests/permits.rs` tests that order of events.
    fn record_voter_start(&mut self, voter: GatewayId, nonce: u64) {
        self.voter_nonces.insert(voter, nonce);
        for attested_by in self.rounds.values_mut().flat_map(|round| round.attested_by.values_mut()) {
            attested_by.remove(&voter);
        }
    }

    fn record_gateway_start(&mut self, gateway: GatewayId, incarnation: u64) {
        let is_current = self.ledger.incarnation(gateway) == Some(incarnation);
        if !is_current && !self.ledger.is_superseded(gateway, incarnation) {
            self.ledger.begin_incarnation(gateway, incarnation);
            // Attestations of this round on earlier processes do not cover the process that has just been superseded.
            self.end_round(gateway);
        }
    }

    fn record_returned(
        &mut self,
        gateway: GatewayId,
        incarnation: u64,
        seen_epoch: Epoch,
        open: &[(BudgetScope, u32)],
    ) {
        // The epoch is compared once for all scopes: each acknowledgement advances it, so that the next one would be
        // rejected as outdated. `Epoch::MAX` passes the ledger's own comparison.
        if seen_epoch >= self.ledger.epoch(gateway) {
            for (scope, open) in open {
                self.ledger.acknowledge(gateway, incarnation, Epoch::MAX, scope, *open);
            }
        }
    }

    fn attest(
        &mut self,
        voter: GatewayId,
        gateway: GatewayId,
        round: u64,
        attestation: Attestation,
        voters: usize,
    ) {
        let current = self.rounds.entry(gateway).or_default();
        if current.number != round {
            return;
        }
        let attested_by = current.attested_by.entry(attestation).or_default();
        attested_by.insert(voter);
        if attested_by.len() <= voters / 2 {
            return;
        }
        match attestation {
            Attestation::LeasesExpired => {
                current.end();
                self.ledger.expire_lease(gateway);
            }
            Attestation::EarlierLeasesExpired => {
                current.attested_by.remove(&attestation);
                self.ledger.expire_earlier_leases(gateway);
            }
            Attestation::EarlierProcessesEnded => {
                current.attested_by.remove(&attestation);
                self.ledger.earlier_processes_ended(gateway);
            }
        }
    }

    fn allocate(&mut self, active_conditions: BTreeSet<String>, moves: Vec<LedgerChange>) {
        self.active_conditions = active_conditions;
        self.allocation_rounds += 1;
        for change in moves {
            // A grant fails if its permits have been taken since it was proposed; the next round accounts for that.
            let _ = change.apply(&mut self.ledger);
        }
    }

    /// Ends all rounds when the voters change: attestations of the earlier voters do not cover leases of the new ones.
    pub(crate) fn discard_attestations(&mut self) {
        self.rounds.values_mut().for_each(AttestationRound::end);
    }

    /// Frees all permits of a gateway whose process has ended for good, and its connections with it.
    pub(crate) fn retire(&mut self, gateway: GatewayId) {
        self.end_round(gateway);
        self.ledger.retire(gateway);
    }

    /// Sets each server's capacity to the lowest that one of the versions in force gives it.
    pub(crate) fn update_budgets(&mut self, versions: &[&Version]) {
        let capacities = lowest_capacities(versions);
        let known: Vec<BudgetScope> = self.ledger.scopes().map(|(scope, _)| scope.clone()).collect();
        for scope in known {
            let BudgetScope::Server(name) = &scope else { continue };
            match capacities.get(name.as_str()) {
                // The server has no budget any more, so gateways connect without permits. If it is to have one again, a
                // version with a budget of `MAX_CONNECTIONS_PER_SERVER` must come first, as for any server without one.
                Some(None) => self.ledger.remove(&scope),
                Some(Some(0)) | None => self.ledger.close(&scope),
                Some(Some(_)) => {}
            }
        }
        for (name, capacity) in capacities {
            let scope = BudgetScope::server(name);
            let Some(capacity) = capacity.filter(|capacity| *capacity > 0) else { continue };
            if self.ledger.capacity(&scope) != u64::from(capacity) {
                self.ledger.set_capacity(&scope, capacity);
            }
        }
    }
}

/// The lowest capacity of each server in any of the versions, in connections; none if it has no budget in any version.
/// A draining server with a budget counts as one without connections.
fn lowest_capacities<'a>(versions: &[&'a Version]) -> BTreeMap<&'a str, Option<u32>> {
    let mut lowest: BTreeMap<&str, Option<u32>> = BTreeMap::new();
    for rules in versions.iter().map(|version| &version.rules) {
        for (name, server) in &rules.servers {
            let is_ready = server.state == ServerState::Ready;
            let capacity = rules.connection_budget(name).map(|budget| if is_ready { budget } else { 0 });
            let known = lowest.entry(name.as_str()).or_insert(capacity);
            *known = match (*known, capacity) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
    }
    lowest
}
