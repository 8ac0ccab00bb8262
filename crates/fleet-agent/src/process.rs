//! One process of the fleet: its follower, its replica if it is a voter, and what it may send to a server now.
//!
//! The same on sockets and in memory: bytes come in with the authenticated id of their sender, bytes go out through a
//! [`Transport`], and time is passed in. When the disk of its replica fails, the replica is opened again from it; the
//! follower serves on.

use crate::attempt_guard::AttemptGuard;
use crate::canary::CanaryVerdict;
use crate::error::AgentError;
use crate::replica_host::ReplicaHost;
use crate::rules_view::{IndexedRules, RulesView};
use crate::view_cache::ViewCache;
use frostgauge_connection_budget::GatewayReport;
use frostgauge_consensus::{
    decode, encode, Follower, GatewayId, Message, Micros, Outcome, Replica, RuleSource, Timing, Version,
    VersionHash, VersionNumber,
};
use frostgauge_storage::{Journal, Storage};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Journal with the version that the fallback rules come from; the name is part of the stored data.
const FALLBACK_JOURNAL: &str = "stands";
/// Messages that a process sends itself may bring more messages, so many times over.
const MAX_SEND_ROUNDS: usize = 8;
/// Makes the follower's second seed another than its first.
const FOLLOWER_SEED_MASK: u64 = 0x5eed;

/// Carries bytes to other processes: at most once, in any order, or not at all.
pub trait Transport {
    /// Sends to a gateway; what does not fit is lost.
    fn send(&mut self, to: GatewayId, bytes: Vec<u8>);
}

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    /// Id of its gateway.
    pub self_id: GatewayId,
    /// The replicas that its settings name.
    pub replicas: BTreeSet<GatewayId>,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Drawn anew at each start.
    pub random_seed: u64,
    /// No earlier process of this gateway runs: shown by a lock that only an ended process leaves.
    pub exclusive: bool,
}

/// Leave to send a request, checked again right before the bytes go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authorization {
    /// What it was decided under.
    pub source: RuleSource,
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// The server.
    pub server: String,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposalOutcome {
    /// Id of the proposal.
    pub proposal_id: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// A process.
pub struct Process<S> {
    config: ProcessConfig,
    follower: Follower,
    replica: ReplicaHost<S>,
    /// None once it has failed: the process then acts on without storing.
    fallback_journal: Option<Journal<S>>,
    guard: AttemptGuard,
    view_cache: ViewCache,
    outcomes: Vec<ProposalOutcome>,
    unreadable_messages: u64,
    /// Budgeted servers at which no more connections are open than permitted.
    within_permits: BTreeMap<String, bool>,
}

impl<S: Storage> Process<S> {
    /// Starts. `replica_storage`: the folder of its replica, if it is a voter; `fallback_storage`: where the follower
    /// keeps the version that its fallback rules come from.
    ///
    /// # Errors
    /// A folder that is damaged, with file and place.
    pub fn start(
        now: Micros,
        config: ProcessConfig,
        replica_storage: Option<S>,
        fallback_storage: S,
    ) -> Result<Process<S>, AgentError> {
        let opened = Journal::open(fallback_storage, FALLBACK_JOURNAL);
        let (journal, found) = opened.map_err(|error| AgentError::FallbackStorage(error.to_string()))?;
        let stored = found.frames.last().map(|bytes| Version::from_bytes(bytes)).transpose();
        let stored = stored.map_err(|error| {
            let reason = error.to_string();
            AgentError::FallbackVersion { journal: FALLBACK_JOURNAL, reason }
        })?;
        let ProcessConfig { self_id, timing, random_seed, .. } = config;
        let second_seed = random_seed ^ FOLLOWER_SEED_MASK;
        let replicas = config.replicas.clone();
        let follower = Follower::new(now, self_id, random_seed, replicas, stored, timing, second_seed);
        let replica = ReplicaHost::open(now, &config, replica_storage).map_err(AgentError::Replica)?;
        Ok(Process {
            config,
            follower,
            replica,
            fallback_journal: Some(journal),
            guard: AttemptGuard::new(timing.confirmation_ttl),
            view_cache: ViewCache::default(),
            outcomes: vec![],
            unreadable_messages: 0,
            within_permits: BTreeMap::new(),
        })
    }

    /// Its follower.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Its replica, if it is a voter and the replica runs.
    pub fn replica(&self) -> Option<&Replica<S>> {
        self.replica.running()
    }

    /// Messages that could not be read.
    pub fn unreadable_messages(&self) -> u64 {
        self.unreadable_messages
    }

    /// Times that its replica stopped for its disk.
    pub fn replica_stops(&self) -> u64 {
        self.replica.stops()
    }

    /// What was found damaged in the replica's storage, if it could not be opened again.
    pub fn replica_damage(&self) -> Option<&str> {
        self.replica.damage()
    }

    /// Takes what became of proposals that this process sent.
    pub fn take_outcomes(&mut self) -> Vec<ProposalOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Ends it: storage of the replica, if it is a voter, and of the fallback version.
    pub fn into_storage(self) -> (Option<S>, Option<S>) {
        (self.replica.into_storage(), self.fallback_journal.map(Journal::into_storage))
    }

    /// When [`Process::wake`] is due.
    pub fn next_wake(&self) -> Micros {
        self.replica.next_wake().min(self.follower.next_wake())
    }

    /// Takes bytes whose sender the transport has authenticated.
    pub fn receive(&mut self, now: Micros, from: GatewayId, bytes: &[u8], transport: &mut impl Transport) {
        match decode(bytes) {
            Ok(message) => self.handle(now, from, message),
            Err(_) => self.unreadable_messages += 1,
        }
        self.store_and_send(now, transport);
    }

    /// Sends a message as an editor or operator would, to a replica.
    pub fn send_to_replica(
        &mut self,
        now: Micros,
        to: GatewayId,
        message: Message,
        transport: &mut impl Transport,
    ) {
        self.send(now, to, message, transport);
        self.store_and_send(now, transport);
    }

    fn handle(&mut self, now: Micros, from: GatewayId, message: Message) {
        match message {
            Message::LeaseResponse(_) | Message::RecordChanged => self.follower.handle(now, from, message),
            Message::ProposalOutcome { id, outcome } => {
                self.outcomes.push(ProposalOutcome { proposal_id: id, outcome });
            }
            other => {
                self.replica.run(now, |replica| replica.handle(now, from, other));
            }
        }
    }

    /// Sets what its gateway has open and has use for, counted under what [`Process::view`] last returned;
    /// `within_permits`: the servers of [`Process::pending_budgets`], if no more is open there than permitted.
    pub fn set_connection_report(&mut self, report: GatewayReport, within_permits: BTreeMap<String, bool>) {
        let alone = report.sole_process && self.config.exclusive;
        self.follower.report_permits(GatewayReport { sole_process: alone, ..report });
        self.within_permits = within_permits;
    }

    /// Whether a lease request goes out when it is woken now.
    pub fn lease_request_due(&self, now: Micros) -> bool {
        now >= self.follower.next_wake()
    }

    /// Requests a lease at the next wake.
    pub fn request_lease_now(&mut self, now: Micros) {
        self.follower.request_now(now);
    }

    /// Servers with a budget under the version that its fallback rules are to come from next: before it has closed what
    /// it has no permits for there, the replicas must not count on it.
    pub fn pending_budgets(&self) -> BTreeMap<String, bool> {
        self.follower.version_to_store().map(|version| version.rules.budgeted_servers()).unwrap_or_default()
    }

    /// The guard of this process, where nobody else keeps one.
    pub fn guard(&mut self) -> &mut AttemptGuard {
        &mut self.guard
    }

    /// Sets the time of day for its replica: minutes from midnight, UTC.
    pub fn set_minute_of_day(&mut self, minute: u16) {
        if let Some(replica) = self.replica.running_mut() {
            replica.set_minute_of_day(minute);
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, transport: &mut impl Transport) {
        self.replica.restart_if_due(now, &self.config);
        self.replica.run(now, |replica| replica.advance(now));
        self.follower.advance(now);
        self.store_and_send(now, transport);
    }

    fn send(&mut self, now: Micros, to: GatewayId, message: Message, transport: &mut impl Transport) {
        if to == self.config.self_id {
            self.handle(now, to, message);
        } else {
            transport.send(to, encode(&message));
        }
    }

    /// Makes durable what must be, then sends.
    fn store_and_send(&mut self, now: Micros, transport: &mut impl Transport) {
        for _ in 0..MAX_SEND_ROUNDS {
            self.store_fallback_version();
            let mut messages = self.follower.take_outgoing();
            messages.extend(self.replica.run(now, Replica::flush).unwrap_or_default());
            if messages.is_empty() {
                return;
            }
            for (to, message) in messages {
                self.send(now, to, message, transport);
            }
        }
    }

    fn store_fallback_version(&mut self) {
        let is_within_permits = |version: &&Version| version.rules.budgeted_servers() == self.within_permits;
        let Some(version) = self.follower.version_to_store().filter(is_within_permits) else { return };
        let (number, bytes) = (version.number, version.to_bytes());
        // Stored or not, it acts on; only what was stored is reported, and counted on by the replicas.
        let stored = self.fallback_journal.as_mut().map(|journal| journal.replace(&[bytes]));
        if matches!(stored, Some(Ok(()))) {
            self.follower.mark_stored(number);
        } else {
            self.fallback_journal = None;
        }
    }

    /// Records that a server, by name, reported whether it takes new work, in response to a request sent at
    /// `requested_at`.
    pub fn record_report(&mut self, now: Micros, server: &str, requested_at: Micros, ready: bool) {
        self.refresh_guard(now);
        let view = self.guard.view().clone();
        // One that no rules name any more may report what it likes.
        if let Some(address) = view.at(now).1.effective.servers.get(server) {
            self.guard.record_report(address, requested_at, ready);
        }
    }

    /// Sets the verdict on a version, to be reported to the replicas.
    pub fn set_canary_verdict(&mut self, verdict: CanaryVerdict) {
        self.follower.report_canary(verdict.version, verdict.healthy);
    }

    /// What it acts under, for those who check right before they send: see [`AttemptGuard::set_view`].
    pub fn view(&mut self, now: Micros) -> Arc<RulesView> {
        self.view_cache.view(now, &self.follower)
    }

    /// Publishes what it acts under to its own guard, and returns it.
    pub fn refresh_guard(&mut self, now: Micros) -> (RuleSource, Arc<IndexedRules>) {
        let view = self.view(now);
        self.guard.set_view(view.clone());
        let (source, rules) = view.at(now);
        (source, rules.clone())
    }

    /// Decides on a request; `choice` picks among the eligible servers. None: it must not be sent now, and has not run.
    pub fn authorize(
        &mut self,
        now: Micros,
        tenant: &str,
        class: &str,
        choice: usize,
    ) -> Option<Authorization> {
        let (source, _) = self.refresh_guard(now);
        let servers: Vec<&str> = self.guard.eligible_servers(now).map(|(name, _)| name).collect();
        if servers.is_empty() {
            self.guard.record_unserved_demand(now, tenant, class);
            return None;
        }
        let server = (*servers.get(choice.checked_rem(servers.len())?)?).to_owned();
        self.guard.rule_source_for(now, tenant, class, &server)?;
        Some(Authorization { source, tenant: tenant.to_owned(), class: class.to_owned(), server })
    }

    /// Checks an authorization again right before the bytes go: the process may have been stopped since, past the end of
    /// its lease.
    pub fn reauthorize(&mut self, now: Micros, earlier: &Authorization) -> Option<Authorization> {
        self.refresh_guard(now);
        let source = self.guard.rule_source_for(now, &earlier.tenant, &earlier.class, &earlier.server)?;
        Some(Authorization { source, ..earlier.clone() })
    }

    /// Versions that its replica knows, by number, with their hashes; empty if it has none.
    pub fn version_hashes(&self) -> BTreeMap<VersionNumber, VersionHash> {
        let machine = self.replica().and_then(Replica::state_machine);
        let versions = machine.into_iter().flat_map(|machine| machine.versions());
        versions.map(|(number, version)| (*number, version.hash())).collect()
    }
}
