//! A replica: holds the record with the other voters, and grants leases on it.
//!
//! A lease needs grants of a majority of voters, and a version comes into force by attestations of a majority that
//! none of their leases conflicts with it. The two majorities intersect, so no leader's memory, and no leader's clock,
//! is relied on: a leader that was paused for any time and resumes finds that its grants are worth nothing by
//! themselves.

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

/// Why a replica cannot start, or must stop and start again from its storage.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// Its log cannot be opened, or not be made durable.
    #[error(transparent)]
    Storage(#[from] LogStorageError),
    /// The snapshot that its configuration began with cannot be read.
    #[error("the record: {0}")]
    Snapshot(#[from] SnapshotError),
    /// The consensus library rejects the configuration.
    #[error("accord.keepers: {0}")]
    InvalidClusterConfig(String),
    /// The consensus library found its own state impossible.
    #[error("the consensus found its own state impossible")]
    ConsensusPanicked,
    /// A fleet is bootstrapped with a number of voters that is not allowed.
    #[error("accord.keepers: {0} are named, 3, 5 or 7 may be")]
    InvalidVoterCount(usize),
    /// A fleet is bootstrapped with invalid rules.
    #[error(transparent)]
    InvalidRules(#[from] FieldErrors),
    /// The folder holds a record already.
    #[error("there is a record already: a fleet is founded once")]
    AlreadyBootstrapped,
}

/// Counters of a replica, for operators and checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStats {
    /// Requests answered with a lease.
    pub leases_granted: u64,
    /// Requests answered without one.
    pub leases_withheld: u64,
    /// Messages that were ignored: of a kind that replicas don't handle, with an invalid content, from a sender that is
    /// not a voter, or proposals beyond the limit of pending ones. Ignored permit reports in lease requests count too.
    pub ignored_messages: u64,
    /// Syncs of the storage.
    pub syncs: u64,
}

/// What a run of decided entries changed.
#[derive(Default)]
struct Applied {
    rules_changed: bool,
    permits_changed: bool,
    next_configuration: Option<(BTreeSet<GatewayId>, Readmitted)>,
}

/// A replica of the record.
pub struct Replica<S> {
    self_id: GatewayId,
    timing: Timing,
    storage: LogStorage<S>,
    membership: Membership,
    /// None while its storage is empty, or if the configuration does not name it.
    voter: Option<Voter>,
    sequences: PeerSequences,
    state_machine: Option<StateMachine>,
    lease_granter: LeaseGranter,
    activation: VersionActivation,
    permit_issuer: PermitIssuer,
    pending_proposals: PendingProposals,
    next_tick: Micros,
    ticks: u64,
    outbox: Vec<(GatewayId, Message)>,
    stats: ReplicaStats,
}

impl<S: Storage> Replica<S> {
    /// Writes to an empty folder what the first configuration begins with: once in a fleet's lifetime, the same at
    /// each voter. A voter that lost its storage must not be bootstrapped again: it would have forgotten what it
    /// promised.
    ///
    /// # Errors
    /// The folder holds a record already or cannot be written, the rules are invalid, or the number of voters is.
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

    /// Starts from a folder. An empty one means that it was lost, or is new: the replica does not vote before the
    /// others have readmitted it in a new configuration. `voters`: those that the settings name; `nonce`: drawn anew
    /// at each start.
    ///
    /// # Errors
    /// The folder is damaged, with file and place.
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
            replica.settle(now)?;
        }
        Ok(replica)
    }

    /// The record as this replica knows it to be agreed on; none while its storage is empty.
    pub fn state_machine(&self) -> Option<&StateMachine> {
        self.state_machine.as_ref()
    }

    /// The number of the configuration that this replica is in, from 1; 0 if its storage holds none.
    pub fn configuration_number(&self) -> u32 {
        self.membership.configuration
    }

    /// Sets the time of day, minutes from midnight UTC: some conditions of budgets depend on it.
    pub fn set_minute_of_day(&mut self, minute: u16) {
        self.permit_issuer.set_minute_of_day(minute);
    }

    /// Whether it votes.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Its counters.
    pub fn stats(&self) -> ReplicaStats {
        ReplicaStats { syncs: self.storage.syncs(), ..self.stats }
    }

    /// Whether it is the current leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Gives the folder back.
    pub fn into_storage(self) -> S {
        self.storage.into_storage()
    }

    /// When [`Replica::advance`] is due.
    pub fn next_wake(&self) -> Micros {
        self.next_tick
    }

    /// Takes a message from a gateway whose identity the peer connection has authenticated.
    ///
    /// # Errors
    /// The replica must start again from its storage.
    pub fn handle(&mut self, now: Micros, from: GatewayId, message: Message) -> Result<(), ReplicaError> {
        match message {
            Message::LeaseRequest(request) => self.handle_lease_request(now, from, &request),
            Message::Paxos { configuration, sequence, log_position, message } => {
                let position = LogPosition::from_wire(log_position);
                self.handle_paxos(from, configuration, sequence, position, *message)?;
            }
            Message::OutdatedConfiguration { configuration }
                if configuration < self.membership.configuration =>
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
        self.settle(now)
    }

    /// Ticks, if it is time.
    ///
    /// # Errors
    /// The replica must start again from its storage.
    pub fn advance(&mut self, now: Micros) -> Result<(), ReplicaError> {
        if now < self.next_tick {
            return Ok(());
        }
        // After a pause one tick, not all that were missed: the others were not silent, this one was.
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
        self.settle(now)?;
        self.propose_as_leader(now);
        self.propose_permit_changes(now);
        self.settle(now)
    }

    /// Makes what was decided durable; only what it returns may be sent.
    ///
    /// # Errors
    /// The replica must start again from its storage, and nothing may be sent.
    pub fn flush(&mut self) -> Result<Vec<(GatewayId, Message)>, ReplicaError> {
        self.storage.flush(self.timing.max_journal_bytes)?;
        Ok(std::mem::take(&mut self.outbox))
    }

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
        if configuration < self.membership.configuration {
            // Also to one that was a voter, and was away when that ended.
            self.send_configuration(from);
            return Ok(());
        }
        if self.membership.is_stranger(from) {
            self.stats.ignored_messages += 1;
            return Ok(());
        }
        if !self.sequences.accept(from, sequence, self.ticks) {
            return Ok(());
        }
        if configuration > self.membership.configuration {
            let behind = Message::OutdatedConfiguration { configuration: self.membership.configuration };
            self.outbox.push((from, behind));
            return Ok(());
        }
        let Some(voter) = &mut self.voter else { return Ok(()) };
        if !voter.receive(from, sender_position, message, self.ticks)? {
            self.stats.ignored_messages += 1;
        }
        Ok(())
    }

    /// Applies what is decided, and takes what the consensus library wants to send.
    fn settle(&mut self, now: Micros) -> Result<(), ReplicaError> {
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

    fn apply_decided(&mut self) -> Applied {
        let mut applied = Applied::default();
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
        let configuration = self.membership.configuration;
        for (to, message) in voter.take_outgoing() {
            let sequence = self.sequences.next_sent(self.storage.starts());
            let message = Box::new(message);
            self.outbox.push((to, Message::Paxos { configuration, sequence, log_position, message }));
        }
    }

    /// Rules, membership or rollout have changed: followers that were heard lately are to request anew.
    fn record_changed(&mut self, now: Micros) {
        self.lease_granter.record_changed();
        let Some(machine) = &self.state_machine else { return };
        self.activation.record_changed(now, machine);
        let since = now.saturating_sub(self.timing.lease);
        let followers = self.lease_granter.followers_heard_since(since);
        self.outbox.extend(followers.map(|follower| (follower, Message::RecordChanged)));
    }

    /// Permits alone have changed: only those whose permits did are to request anew.
    fn notify_permit_holders(&mut self) {
        let Some(machine) = &self.state_machine else { return };
        let gateways = self.permit_issuer.gateways_to_notify(machine);
        self.outbox.extend(gateways.into_iter().map(|gateway| (gateway, Message::RecordChanged)));
    }

    /// Attests, once it is so, that no lease granted here conflicts with the version next to come into force.
    fn attest_cleared_leases(&mut self, now: Micros) {
        let Some(machine) = &self.state_machine else { return };
        let may_attest = self.voter.is_some();
        let cleared = self.lease_granter.attest_cleared(now, machine, &self.timing, may_attest);
        if let Some(version) = cleared {
            self.append(Entry::LeasesCleared { voter: self.self_id, version });
        }
    }
}
