//! One process of the fleet: its follower, its replica if it is a voter, and its checks of requests.
//!
//! The code is the same on sockets and in a simulation: received bytes are passed in with the authenticated id of their
//! sender, bytes to send are passed to a [`Transport`], and the time is a parameter. If the disk of the replica fails, the
//! replica is stopped and reopened later, while the follower keeps running.

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

/// Name of the journal with the fallback version; it is part of the stored data.
const FALLBACK_JOURNAL: &str = "stands";
/// Rounds of storing and sending after each step. Messages that a process sends to itself are handled at once and may
/// cause more messages, which are sent in the next round.
const MAX_SEND_ROUNDS: usize = 8;
/// Derives the seed of the follower's random generator from the seed that is its incarnation.
const FOLLOWER_SEED_MASK: u64 = 0x5eed;

/// Carries messages to other processes, each at most once. They may arrive in any order or be lost.
pub trait Transport {
    /// Sends a message to a gateway; it is lost if the transport's queue is full.
    fn send(&mut self, to: GatewayId, bytes: Vec<u8>);
}

/// Configuration of a process.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    /// Id of the process's gateway.
    pub self_id: GatewayId,
    /// The gateways that the settings name as voters.
    pub replicas: BTreeSet<GatewayId>,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Drawn anew at each start. It is the follower's incarnation; the replica's nonce and the seed of the follower's
    /// random generator are derived from it.
    pub random_seed: u64,
    /// Whether no other process of this gateway is running. A lock on its folder, which is released only when the process
    /// ends, shows that.
    pub exclusive: bool,
}

/// Permission to send a request, which must be checked again right before its bytes are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authorization {
    /// The source of the rules that allowed the request.
    pub source: RuleSource,
    /// Name of the request's tenant.
    pub tenant: String,
    /// Name of the request's class.
    pub class: String,
    /// Name of the server that the request is to be sent to.
    pub server: String,
}

/// The outcome of a proposal that this process sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposalOutcome {
    /// Id of the proposal.
    pub proposal_id: u64,
    /// The outcome that a replica reported.
    pub outcome: Outcome,
}

/// A process of a gateway: see the module's description.
pub struct Process<S> {
    config: ProcessConfig,
    follower: Follower,
    replica: ReplicaHost<S>,
    /// None after a write to it failed: the process then keeps running without storing fallback versions.
    fallback_journal: Option<Journal<S>>,
    guard: AttemptGuard,
    view_cache: ViewCache,
    /// Outcomes that [`Process::take_outcomes`] has not returned yet.
    outcomes: Vec<ProposalOutcome>,
    unreadable_messages: u64,
    /// The budgeted servers of the version to store, if no more connections are open at them than permitted.
    within_permits: BTreeMap<String, bool>,
}

impl<S: Storage> Process<S> {
    /// Starts a process. `replica_storage`: the folder of its replica, if it is a voter; `fallback_storage`: the folder in
    /// which the follower's fallback version is stored.
    ///
    /// # Errors
    /// A folder cannot be read or written, or is damaged; in the latter case the error says in which file and where.
    pub fn start(
        now: Micros,
        config: ProcessConfig,
        replica_storage: Option<S>,
        fallback_storage: S,
    ) -> Result<Process<S>, AgentError> {
        let opened = Journal::open(fallback_storage, FALLBACK_JOURNAL);
        let (journal, contents) = opened.map_err(|error| AgentError::FallbackStorage(error.to_string()))?;
        let stored = contents.frames.last().map(|bytes| Version::from_bytes(bytes)).transpose();
        let stored = stored.map_err(|error| {
            let reason = error.to_string();
            AgentError::FallbackVersion { journal: FALLBACK_JOURNAL, reason }
        })?;
        let ProcessConfig { self_id, timing, random_seed, .. } = config;
        let follower_seed = random_seed ^ FOLLOWER_SEED_MASK;
        let replicas = config.replicas.clone();
        let follower = Follower::new(now, self_id, random_seed, replicas, stored, timing, follower_seed);
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

    /// The follower of this process.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The replica of this process, if it has one and it is running.
    pub fn replica(&self) -> Option<&Replica<S>> {
        self.replica.running()
    }

    /// Number of received messages that could not be decoded.
    pub fn unreadable_messages(&self) -> u64 {
        self.unreadable_messages
    }

    /// Times that the replica was stopped because its disk failed.
    pub fn replica_stops(&self) -> u64 {
        self.replica.stops()
    }

    /// Why the replica's storage could not be reopened after it failed, if that has happened.
    pub fn replica_damage(&self) -> Option<&str> {
        self.replica.damage()
    }

    /// Returns the outcomes received since the last call, of proposals that this process sent.
    pub fn take_outcomes(&mut self) -> Vec<ProposalOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Ends the process and returns its storage: first that of the replica, if it has one that is not damaged, then that
    /// of the fallback version, unless it has failed.
    pub fn into_storage(self) -> (Option<S>, Option<S>) {
        (self.replica.into_storage(), self.fallback_journal.map(Journal::into_storage))
    }

    /// When [`Process::wake`] must next be called.
    pub fn next_wake(&self) -> Micros {
        self.replica.next_wake().min(self.follower.next_wake())
    }

    /// Handles a message from a gateway that the transport has authenticated.
    pub fn receive(&mut self, now: Micros, from: GatewayId, bytes: &[u8], transport: &mut impl Transport) {
        match decode(bytes) {
            Ok(message) => self.handle(now, from, message),
            Err(_) => self.unreadable_messages += 1,
        }
        self.store_and_send(now, transport);
    }

    /// Sends a message of an editor or operator to a replica.
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

    /// Sets the report on the gateway's connections and demand for the next lease request. It must have been made under
    /// the view that [`Process::view`] last returned. `within_permits`: the servers of [`Process::pending_budgets`] if no
    /// more connections are open at them than permitted, empty otherwise.
    pub fn set_connection_report(&mut self, report: GatewayReport, within_permits: BTreeMap<String, bool>) {
        let sole_process = report.sole_process && self.config.exclusive;
        self.follower.report_permits(GatewayReport { sole_process, ..report });
        self.within_permits = within_permits;
    }

    /// Whether [`Process::wake`] sends a lease request if it is called now.
    pub fn lease_request_due(&self, now: Micros) -> bool {
        now >= self.follower.next_wake()
    }

    /// Makes the next [`Process::wake`] send a lease request.
    pub fn request_lease_now(&mut self, now: Micros) {
        self.follower.request_now(now);
    }

    /// The budgeted servers of the version that is to be stored as the next fallback version. It is stored only once the
    /// gateway has closed all connections to them beyond its permits, because the replicas rely on a version that is
    /// reported as stored.
    pub fn pending_budgets(&self) -> BTreeMap<String, bool> {
        self.follower.version_to_store().map(|version| version.rules.budgeted_servers()).unwrap_or_default()
    }

    /// The guard of this process, for callers that have no guard of their own.
    pub fn guard(&mut self) -> &mut AttemptGuard {
        &mut self.guard
    }

    /// Sets the time of day for the replica, in minutes since midnight UTC.
    pub fn set_minute_of_day(&mut self, minute: u16) {
        if let Some(replica) = self.replica.running_mut() {
            replica.set_minute_of_day(minute);
        }
    }

    /// Does everything that is due: restarts a stopped replica, advances the replica and the follower, then stores and
    /// sends.
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

    /// Makes the state that messages depend on durable, then sends the messages.
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
        // The process keeps running even if the version could not be stored. Only a stored version is reported, so that
        // the replicas rely on no other.
        let stored = self.fallback_journal.as_mut().map(|journal| journal.replace(&[bytes]));
        if matches!(stored, Some(Ok(()))) {
            self.follower.mark_stored(number);
        } else {
            self.fallback_journal = None;
        }
    }

    /// Records whether the server with this name reported that it takes new work, in the response to a request sent at
    /// `requested_at`.
    pub fn record_report(&mut self, now: Micros, server: &str, requested_at: Micros, ready: bool) {
        self.refresh_guard(now);
        let view = self.guard.view().clone();
        // Reports of servers that the rules in effect do not list as ready are ignored.
        if let Some(address) = view.at(now).1.effective.servers.get(server) {
            self.guard.record_report(address, requested_at, ready);
        }
    }

    /// Sets the verdict on a version that the follower reports to the replicas.
    pub fn set_canary_verdict(&mut self, verdict: CanaryVerdict) {
        self.follower.report_canary(verdict.version, verdict.healthy);
    }

    /// The rules and permits in effect for this process, to be published to the guards that check attempts: see
    /// [`AttemptGuard::set_view`].
    pub fn view(&mut self, now: Micros) -> Arc<RulesView> {
        self.view_cache.view(now, &self.follower)
    }

    /// Publishes the current view to the guard of this process, and returns the rules in effect and their source.
    pub fn refresh_guard(&mut self, now: Micros) -> (RuleSource, Arc<IndexedRules>) {
        let view = self.view(now);
        self.guard.set_view(view.clone());
        let (source, rules) = view.at(now);
        (source, rules.clone())
    }

    /// Authorizes a request to one of the eligible servers, which `choice` selects modulo their number. None: the request
    /// must not be sent now.
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

    /// Checks an authorization again right before the request's bytes are sent, because the process may have been
    /// suspended until after the end of its lease. None: the request must not be sent.
    pub fn reauthorize(&mut self, now: Micros, earlier: &Authorization) -> Option<Authorization> {
        self.refresh_guard(now);
        let source = self.guard.rule_source_for(now, &earlier.tenant, &earlier.class, &earlier.server)?;
        Some(Authorization { source, ..earlier.clone() })
    }

    /// Hashes of the versions that the replica knows, by number; empty if there is no running replica.
    pub fn version_hashes(&self) -> BTreeMap<VersionNumber, VersionHash> {
        let machine = self.replica().and_then(Replica::state_machine);
        let versions = machine.into_iter().flat_map(|machine| machine.versions());
        versions.map(|(number, version)| (*number, version.hash())).collect()
    }
}
