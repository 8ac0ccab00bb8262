//! The part of the record that changes all the time: which gateway may hold how many connections to which server.
//!
//! It is a state machine over the same log as the versions. Permits are freed by the gateway's own report, or when a
//! majority of voters attest that all they granted it has expired. A voter that has attested that grants the gateway
//! no permits before the log has discarded the attestation, or acted on it ([`PermitChange::GatewayActiveAgain`], and
//! the round that each attestation belongs to).

use crate::ruleset::{GatewayId, ServerState};
use crate::version::Version;
use frostgauge_connection_budget::{BudgetScope, Epoch, LedgerChange, PermitLedger};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a voter attests of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Attestation {
    /// All permits that it granted the gateway's process by lease have expired, with the attempts begun under them.
    LeasesExpired,
    /// The same for the gateway's earlier processes.
    EarlierLeasesExpired,
    /// Those processes themselves have ended, and their connections.
    EarlierProcessesEnded,
}

/// A change of permits. Changes are stored by position: their order and fields are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitChange {
    /// A voter's process has started: what it attested before counts no more.
    VoterStarted {
        /// The voter.
        voter: GatewayId,
        /// Drawn at its start.
        nonce: u64,
    },
    /// A gateway's process is heard for the first time.
    GatewayStarted {
        /// The gateway.
        gateway: GatewayId,
        /// Drawn at the process's start.
        incarnation: u64,
    },
    /// A gateway reports what it has open.
    PermitsReturned {
        /// The gateway.
        gateway: GatewayId,
        /// Of its process.
        incarnation: u64,
        /// The epoch of permits that it knew.
        seen_epoch: Epoch,
        /// The number of open connections, by scope.
        open: Vec<(BudgetScope, u32)>,
    },
    /// A gateway's process has closed all its connections, and opens none any more.
    GatewayLeft {
        /// The gateway.
        gateway: GatewayId,
        /// Of its process.
        incarnation: u64,
    },
    /// A voter's attestation.
    Attested {
        /// The voter.
        voter: GatewayId,
        /// Of its process.
        nonce: u64,
        /// The gateway.
        gateway: GatewayId,
        /// The round of attestations that it counts in.
        round: u64,
        /// What it attests.
        attestation: Attestation,
    },
    /// The gateway is heard again: attestations of this round count no more.
    GatewayActiveAgain {
        /// The gateway.
        gateway: GatewayId,
        /// The round that ends.
        round: u64,
    },
    /// A round of allocation.
    Allocated {
        /// The conditions that are active.
        active_conditions: BTreeSet<String>,
        /// What is granted and called back.
        moves: Vec<LedgerChange>,
    },
}

/// A round of attestations on one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct AttestationRound {
    number: u64,
    attested_by: BTreeMap<Attestation, BTreeSet<GatewayId>>,
}

impl AttestationRound {
    fn end(&mut self) {
        self.number += 1;
        self.attested_by.clear();
    }
}

/// Which gateway holds which permits. It is stored by position: the order of its fields is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitState {
    ledger: PermitLedger,
    rounds: BTreeMap<GatewayId, AttestationRound>,
    /// The nonce of each voter's present process.
    voter_nonces: BTreeMap<GatewayId, u64>,
    active_conditions: BTreeSet<String>,
    allocation_rounds: u64,
}

impl PermitState {
    /// The ledger of permits.
    pub fn ledger(&self) -> &PermitLedger {
        &self.ledger
    }

    /// The conditions that are active.
    pub fn active_conditions(&self) -> &BTreeSet<String> {
        &self.active_conditions
    }

    /// Rounds of allocation so far.
    pub fn allocation_rounds(&self) -> u64 {
        self.allocation_rounds
    }

    /// The round of attestations on a gateway, and whether any voter attested in it that its leases have expired.
    pub fn attestation_round(&self, gateway: GatewayId) -> (u64, bool) {
        let round = self.rounds.get(&gateway);
        round.map_or((0, false), |round| {
            (round.number, round.attested_by.contains_key(&Attestation::LeasesExpired))
        })
    }

    /// Whether the start of a voter's process is recorded: before that it grants no permits.
    pub fn is_voter_start_recorded(&self, voter: GatewayId, nonce: u64) -> bool {
        self.voter_nonces.get(&voter) == Some(&nonce)
    }

    /// Applies a change; `voters`: those of whom a majority must attest.
    pub fn apply(&mut self, change: PermitChange, voters: &BTreeSet<GatewayId>) {
        match change {
            PermitChange::VoterStarted { voter, nonce } => self.record_voter_start(voter, nonce),
            PermitChange::GatewayStarted { gateway, incarnation } => {
                self.record_gateway_start(gateway, incarnation);
            }
            PermitChange::PermitsReturned { gateway, incarnation, seen_epoch, open } => {
                self.record_open(gateway, incarnation, seen_epoch, &open);
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

    /// A voter that has started has forgotten what it attested, and will grant permits again. (Left standing, such an
    /// attestation and another voter's freed what it had just granted: found by `tests/permits.rs`.)
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
            // What was attested of earlier processes did not mean the one that has become one just now.
            self.end_round(gateway);
        }
    }

    fn record_open(
        &mut self,
        gateway: GatewayId,
        incarnation: u64,
        seen_epoch: Epoch,
        open: &[(BudgetScope, u32)],
    ) {
        // One comparison for all: each changes the epoch, under which the next would come late.
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
            // What is not free any more is not granted; the next round takes that into account.
            let _ = change.apply(&mut self.ledger);
        }
    }

    /// Other voters take over: what the earlier ones attested says nothing of their leases.
    pub(crate) fn discard_attestations(&mut self) {
        self.rounds.values_mut().for_each(AttestationRound::end);
    }

    /// A gateway's process has ended for good, and its connections with it.
    pub(crate) fn retire(&mut self, gateway: GatewayId) {
        self.end_round(gateway);
        self.ledger.retire(gateway);
    }

    /// Sets the servers' capacities as the versions in force have them: the lowest that one of them has.
    pub(crate) fn update_budgets(&mut self, versions: &[&Version]) {
        let capacities = lowest_capacities(versions);
        let known: Vec<BudgetScope> = self.ledger.scopes().map(|(scope, _)| scope.clone()).collect();
        for scope in known {
            let BudgetScope::Server(name) = &scope else { continue };
            match capacities.get(name.as_str()) {
                // Nobody asks for permits there any more. (A budget that comes back has to be made known first, as at
                // its first time.)
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

/// The lowest capacity of each server in any of the versions, connections; none if it has no budget in any.
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
