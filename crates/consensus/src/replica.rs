//! A replica: replicates the record together with the other voters, and grants leases on versions of the rules.
//!
//! A follower needs grants from a majority of voters to hold a lease, and a version comes into force once a majority of
//! voters have attested that none of the leases they granted conflicts with it. Any two majorities intersect, so safety
//! depends on neither the memory nor the clock of the leader: grants of a leader that resumes after a pause, however
//! long, are no lease without those of a majority.

mod configuration;
mod lease_granter;
mod leases;
mod membership;
mod peer_sequence;
mod pending_proposals;
mod requests;
mod version_activation;
mod voter;

use crate::log_storage::{LogStorage, LogStorageError};
use crate::message::{Configuration, Message};
use crate::permit_issuer::PermitIssuer;
use crate::ruleset::{FieldErrors, GatewayId, Rules};
use crate::state_machine::{Entry, Outcome, SnapshotError, StateMachine};
use crate::timing::{Micros, Timing, STALE_LEASE_TERMS};
use frostgauge_storage::Storage;
use lease_granter::LeaseGranter;
use membership::{is_valid_voter_count, Membership, Readmitted};
use omnipaxos::messages::Message as PaxosMessage;
use peer_sequence::PeerSequences;
use pending_proposals::PendingProposals;
use std::collections::BTreeSet;
use version_activation::VersionActivation;
use voter::{LogPosition, Voter};

/// Why a replica cannot start, or must be stopped and opened again from its storage.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The log cannot be opened, or cannot be made durable.
    #[error(transparent)]
    Storage(#[from] LogStorageError),
    /// The snapshot of the record that the configuration began with cannot be decoded.
    #[error("the snapshot of the record is rejected: {0}")]
    Snapshot(#[from] SnapshotError),
    /// The consensus library rejects the configuration of voters.
    #[error("accord.keepers: the consensus library rejects the configuration of voters: {0}")]
    InvalidClusterConfig(String),
    /// The consensus library panicked on a message: its state violates one of its invariants.
    #[error("the consensus library panicked on an inconsistency of its own state")]
    ConsensusPanicked,
    /// The first configuration has a number of voters that is not allowed.
    #[error("accord.keepers: names {0} voters, must name 3, 5 or 7")]
    InvalidVoterCount(usize),
    /// The rules of the first version are invalid.
    #[error(transparent)]
    InvalidRules(#[from] FieldErrors),
    /// The storage to bootstrap holds a configuration already.
    #[error("the folder holds a record already: a fleet is bootstrapped only once")]
    AlreadyBootstrapped,
}

/// Counters of a replica since it was opened, for status pages and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStats {
    /// Lease requests answered with a lease.
    pub leases_granted: u64,
    /// Lease requests answered without a lease.
    pub leases_withheld: u64,
    /// Messages that were ignored: of a kind that replicas do not handle, with invalid content, consensus messages of
    /// gateways that do not vote, and proposals beyond the limit of pending ones. Ignored permit reports in lease
    /// requests count too.
    pub ignored_messages: u64,
    /// Syncs of the storage to disk.
    pub syncs: u64,
}

/// Which parts of the record a batch of decided entries changed.
#[derive(Default)]
struct AppliedChanges {
    /// Whether anything other than connection permits changed.
    rules_changed: bool,
    permits_changed: bool,
    /// The voters of the next configuration, if the batch ends the current one.
    next_configuration: Option<(BTreeSet<GatewayId>, Readmitted)>,
}

/// A replica of the record on one gateway. It votes if the current configuration names the gateway.
pub struct Replica<S> {
    self_id: GatewayId,
    timing: Timing,
    storage: LogStorage<S>,
    membership: Membership,
    /// None while the storage is empty, or if the configuration does not name this gateway.
    voter: Option<Voter>,
    sequences: PeerSequences,
    /// None while the storage is empty.
    state_machine: Option<StateMachine>,
    lease_granter: LeaseGranter,
    activation: VersionActivation,
    permit_issuer: PermitIssuer,
    pending_proposals: PendingProposals,
    next_tick: Micros,
    /// Ticks since the replica was opened.
    ticks: u64,
    /// Messages to send once the log is durable, with their receivers.
    outbox: Vec<(GatewayId, Message)>,
    stats: ReplicaStats,
}

impl<S: Storage> Replica<S> {
    /// Writes the first configuration to empty storage. This is done once in a fleet's lifetime, with the same
    /// arguments at each voter. A voter that lost its storage must not be bootstrapped again: it has lost its promises
    /// to the other voters, and could contradict them.
    ///
    /// # Errors
    /// The storage holds a configuration already or cannot be written, or the rules or the number of voters are
    /// invalid.
    pub fn bootstrap(
        storage: S,
        voters: &BTreeSet<GatewayId>,
        rules: Rules,
        canary_percent: u8,
        seed: u64,
    ) -> Result<S, ReplicaError> {
        if !is_valid_voter_count(voters.len()) {
            return Err(ReplicaError::InvalidVoterCount(voters.len()));
        }
        let machine = StateMachine::bootstrap(voters.clone(), rules, canary_percent, seed)?;
        let mut storage = LogStorage::open(storage)?;
        if storage.configuration().is_some() {
            return Err(ReplicaError::AlreadyBootstrapped);
        }
        storage.begin(Configuration {
            number: 1,
            voters: voters.clone(),
            readmitted: Readmitted::new(),
            snapshot: machine.to_bytes(),
        })?;
        Ok(storage.into_storage())
    }

    /// Opens a replica on its storage. Empty storage is new or was lost: the replica then votes only after the other
    /// voters have readmitted it by a new configuration. `voters` are those that the settings name, and `nonce` is
    /// drawn at random for each start.
    ///
    /// # Errors
    /// The storage cannot be read or written, or is damaged; the error says where.
    pub fn open(
        now: Micros,
        self_id: GatewayId,
        storage: S,
        voters: &BTreeSet<GatewayId>,
        nonce: u64,
        timing: Timing,
    ) -> Result<Replica<S>, ReplicaError> {
        let mut replica = Replica {
            self_id,
            timing,
            storage: LogStorage::open(storage)?,
            membership: Membership::new(voters.clone(), nonce),
            voter: None,
            sequences: PeerSequences::default(),
            state_machine: None,
            lease_granter: LeaseGranter::new(now + timing.quarantine),
            activation: VersionActivation::default(),
            permit_issuer: PermitIssuer::new(self_id, nonce, timing),
            pending_proposals: PendingProposals::default(),
            next_tick: now,
            ticks: 0,
            outbox: vec![],
            stats: ReplicaStats::default(),
        };
        if let Some(configuration) = replica.storage.configuration().cloned() {
            replica.enter_configuration(&configuration)?;
            replica.apply_and_notify(now)?;
        }
        Ok(replica)
    }

    /// The record with all entries that this replica knows to be decided; none while its storage is empty.
    pub fn state_machine(&self) -> Option<&StateMachine> {
        self.state_machine.as_ref()
    }

    /// The number of the configuration that this replica is in, from 1; 0 if its storage holds none.
    pub fn configuration_number(&self) -> u32 {
        self.membership.configuration_number
    }

    /// Sets the time of day, in minutes since midnight UTC, for conditions of connection budgets that depend on it.
    pub fn set_minute_of_day(&mut self, minute: u16) {
        self.permit_issuer.set_minute_of_day(minute);
    }

    /// Whether this replica votes in the current configuration.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Counters since the replica was opened.
    pub fn stats(&self) -> ReplicaStats {
        ReplicaStats { syncs: self.storage.sync_count(), ..self.stats }
    }

    /// Whether this replica is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Ends the replica and returns its storage, from which it can be opened again.
    pub fn into_storage(self) -> S {
        self.storage.into_storage()
    }

    /// The time at which [`Replica::advance`] is to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_tick
    }

    /// Handles a message from a gateway whose identity the peer connection has authenticated.
    ///
    /// # Errors
    /// The replica must be dropped and opened again from its storage.
    pub fn handle(&mut self, now: Micros, from: GatewayId, message: Message) -> Result<(), ReplicaError> {
        match message {
            Message::LeaseRequest(request) => self.handle_lease_request(now, from, &request),
            Message::Paxos { configuration, sequence, log_position, message } => {
                let position = LogPosition::from_wire(log_position);
                self.handle_paxos(from, configuration, sequence, position, *message)?;
            }
            Message::OutdatedConfiguration { configuration }
                if configuration < self.membership.configuration_number =>
            {
                self.send_configuration(from);
            }
            Message::Install(configuration) => return self.install_configuration(now, *configuration),
            Message::StorageLost { nonce } => self.handle_storage_lost(from, nonce),
            Message::Propose(proposal) => self.handle_proposal(now, from, *proposal),
            Message::Withdraw { version, reason } => self.append(Entry::Withdraw { version, reason }),
            Message::Retire { gateway } => self.append(Entry::Retire { gateway }),
            Message::ChangeVoters { voters } if is_valid_voter_count(voters.len()) => {
                self.membership.request_voters(voters);
            }
            _ => self.stats.ignored_messages += 1,
        }
        self.apply_and_notify(now)
    }

    /// Runs one tick if it is due: elections, retransmission, expiry, and proposals of its own.
    ///
    /// # Errors
    /// The replica must be dropped and opened again from its storage.
    pub fn advance(&mut self, now: Micros) -> Result<(), ReplicaError> {
        if now < self.next_tick {
            return Ok(());
        }
        // After a pause only one tick runs, not all that were missed: those would count as silence of the other voters,
        // although it was this process that did not run.
        self.next_tick = now + self.timing.tick;
        self.ticks += 1;
        if let Some(voter) = &mut self.voter {
            voter.tick(&self.sequences, self.ticks);
        } else if self.membership.reports_lost_storage_at(self.ticks) {
            self.report_lost_storage();
        }
        let stale_after = STALE_LEASE_TERMS * self.timing.lease_wait;
        self.lease_granter.remove_stale(now, now.saturating_sub(stale_after));
        self.pending_proposals.remove_expired(now, stale_after);
        self.apply_and_notify(now)?;
        self.propose_as_leader(now);
        self.propose_permit_changes(now);
        self.apply_and_notify(now)
    }

    /// Makes all changes of the log durable, and returns the messages that may then be sent, with their receivers.
    ///
    /// # Errors
    /// The log could not be written. The replica must be dropped and opened again from its storage, and none of its
    /// pending messages may be sent.
    pub fn flush(&mut self) -> Result<Vec<(GatewayId, Message)>, ReplicaError> {
        self.storage.flush(self.timing.max_journal_bytes)?;
        Ok(std::mem::take(&mut self.outbox))
    }

    /// Proposes an entry for the log, if this replica votes.
    fn append(&mut self, entry: Entry) {
        if let Some(voter) = &mut self.voter {
            voter.append(entry);
        }
    }

    fn handle_paxos(
        &mut self,
        from: GatewayId,
        configuration: u32,
        sequence: (u64, u64),
        sender_position: LogPosition,
        message: PaxosMessage<Entry>,
    ) -> Result<(), ReplicaError> {
        if configuration < self.membership.configuration_number {
            // Sent to former voters as well: one that was down when its configuration ended is still in it.
            self.send_configuration(from);
            return Ok(());
        }
        if self.membership.is_non_voter(from) {
            self.stats.ignored_messages += 1;
            return Ok(());
        }
        if !self.sequences.accept(from, sequence, self.ticks) {
            return Ok(());
        }
        if configuration > self.membership.configuration_number {
            let outdated =
                Message::OutdatedConfiguration { configuration: self.membership.configuration_number };
            self.outbox.push((from, outdated));
            return Ok(());
        }
        let Some(voter) = &mut self.voter else { return Ok(()) };
        if !voter.receive(from, sender_position, message, self.ticks)? {
            self.stats.ignored_messages += 1;
        }
        Ok(())
    }

    /// Applies the decided entries and queues the messages that result. If an entry ends the configuration, begins the
    /// next one and goes on with that. Finally attests the next version if that is possible now.
    fn apply_and_notify(&mut self, now: Micros) -> Result<(), ReplicaError> {
        while self.voter.is_some() {
            let applied = self.apply_decided();
            self.send_paxos_messages();
            if applied.rules_changed {
                self.record_changed(now);
            } else if applied.permits_changed {
                self.notify_permit_holders();
            }
            match applied.next_configuration {
                Some((voters, readmitted)) => self.begin_next_configuration(now, voters, readmitted)?,
                None => break,
            }
        }
        self.attest_cleared_leases(now);
        Ok(())
    }

    /// Applies the entries decided since the last call, and notifies the clients whose proposals are among them.
    fn apply_decided(&mut self) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        let entries = self.voter.as_mut().map(Voter::take_decided).unwrap_or_default();
        for entry in entries {
            match &entry {
                Entry::Permits(_) => applied.permits_changed = true,
                Entry::ChangeConfiguration { voters, readmitted } => {
                    applied.rules_changed = true;
                    applied.next_configuration = Some((voters.clone(), readmitted.clone()));
                }
                _ => applied.rules_changed = true,
            }
            let decided_proposal = self.state_machine.as_mut().and_then(|machine| machine.apply(entry));
            if let Some((id, outcome)) = decided_proposal {
                self.notify_proposer(id, outcome);
            }
        }
        applied
    }

    fn notify_proposer(&mut self, id: u64, outcome: Outcome) {
        if let Some(client) = self.pending_proposals.complete(id) {
            self.outbox.push((client, Message::ProposalOutcome { id, outcome }));
        }
    }

    fn send_paxos_messages(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let log_position = voter.log_position().to_wire();
        let configuration = self.membership.configuration_number;
        for (to, message) in voter.take_outgoing() {
            let sequence = self.sequences.next_sent(self.storage.start_count());
            let message = Box::new(message);
            self.outbox.push((to, Message::Paxos { configuration, sequence, log_position, message }));
        }
    }

    /// After a change of rules, membership or rollout: notifies the followers that sent a request within the last lease
    /// term, so that they request a lease again.
    fn record_changed(&mut self, now: Micros) {
        self.lease_granter.record_changed();
        let Some(machine) = &self.state_machine else { return };
        self.activation.record_changed(now, machine);
        let since = now.saturating_sub(self.timing.lease);
        let followers = self.lease_granter.followers_active_since(since);
        self.outbox.extend(followers.map(|follower| (follower, Message::RecordChanged)));
    }

    /// After a change of permits alone: notifies only the gateways whose permits changed, so that they request again.
    fn notify_permit_holders(&mut self) {
        let Some(machine) = &self.state_machine else { return };
        let gateways = self.permit_issuer.gateways_to_notify(machine);
        self.outbox.extend(gateways.into_iter().map(|gateway| (gateway, Message::RecordChanged)));
    }

    /// Attests that no unexpired lease granted by this voter conflicts with the version next to come into force, once
    /// that is the case.
    fn attest_cleared_leases(&mut self, now: Micros) {
        let Some(machine) = &self.state_machine else { return };
        let may_attest = self.voter.is_some();
        let cleared = self.lease_granter.attest_cleared(now, machine, &self.timing, may_attest);
        if let Some(version) = cleared {
            self.append(Entry::LeasesCleared { voter: self.self_id, version });
        }
    }
}
