//! A fleet in memory and in virtual time: processes of the agent, links that cut, lose, duplicate and reorder, clocks
//! that run fast or slow, disks that are lost, and servers that record what they were sent.
//!
//! Everything is drawn from a seed, and the same seed gives the same run. What is judged (see [`InvariantChecker`]) is
//! what the servers received and what the editors were told.

use crate::config::SimulationConfig;
use crate::connections::ServerConnections;
use crate::event_queue::{Event, EventQueue};
use crate::host::{Clock, Host};
use crate::injected_bug::InjectedBug;
use crate::invariants::InvariantChecker;
use crate::network::Network;
use frostgauge_consensus::{GatewayId, Micros, Proposal, Replica, RuleSource, Timing};
use frostgauge_fleet_agent::Process;
use frostgauge_storage::sim::{FaultPlan, SimDisk};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Clients send requests this often.
pub(crate) const WORKLOAD_INTERVAL: Micros = 50_000;

/// A server as it is, whatever the rules say.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulatedServer {
    pub(crate) up: bool,
    pub(crate) ready: bool,
}

/// The fleet.
pub struct Simulation {
    pub(crate) config: SimulationConfig,
    pub(crate) timing: Timing,
    /// True time.
    pub(crate) now: Micros,
    pub(crate) events: EventQueue,
    pub(crate) hosts: BTreeMap<GatewayId, Host>,
    pub(crate) network: Network,
    pub(crate) connections: ServerConnections,
    pub(crate) servers: BTreeMap<String, SimulatedServer>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) invariants: InvariantChecker,
    pub(crate) next_proposal_id: u64,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
}

impl Simulation {
    /// Builds and starts the fleet: its first version is in force from the beginning.
    ///
    /// # Panics
    /// The settings or the rules of the configuration have faults.
    pub fn new(config: SimulationConfig) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let network = Network::new(rng.random());
        let rules = config.rules();
        let server = SimulatedServer { up: true, ready: true };
        let mut simulation = Simulation {
            timing: timing_with_bug(&config),
            now: SECOND,
            events: EventQueue::default(),
            hosts: BTreeMap::new(),
            network,
            connections: ServerConnections::default(),
            servers: rules.servers.keys().map(|name| (name.clone(), server)).collect(),
            invariants: InvariantChecker::new(config.settings.within_ms * 1_000, rules),
            rng,
            next_proposal_id: 1,
            proposals: BTreeMap::new(),
            config,
        };
        for gateway in 1..=simulation.config.gateways {
            simulation.add_host(gateway);
        }
        simulation
    }

    fn add_host(&mut self, gateway: GatewayId) {
        let is_voter = gateway <= self.config.voters;
        let replica_storage = is_voter.then(|| self.bootstrapped_disk());
        let max_drift = self.config.settings.drift_ppm as i64;
        let drift_ppm = self.rng.random_range(-max_drift..=max_drift);
        let fallback_storage = SimDisk::new(self.rng.random());
        let local_origin = self.rng.random_range(SECOND..1_000 * SECOND);
        let clock = Clock { true_origin: self.now, local_origin, drift_ppm };
        let host = Host::new(self.now, clock, replica_storage, fallback_storage, self.rng.random());
        self.hosts.insert(gateway, host);
        self.start(gateway);
        if self.config.traffic {
            let at = self.now + self.rng.random_range(0..WORKLOAD_INTERVAL);
            self.events.schedule(at, Event::GenerateRequests { gateway });
        }
    }

    /// A replica's disk with the first version.
    pub(crate) fn bootstrapped_disk(&mut self) -> SimDisk {
        let voters = (1..=self.config.voters).collect();
        let percent = self.config.settings.canary_percent;
        let disk = SimDisk::new(self.rng.random());
        let written = Replica::bootstrap(disk, &voters, self.config.rules(), percent, self.config.seed);
        let mut disk = written.unwrap_or_else(|error| panic!("bootstrap: {error}"));
        if self.config.injected_bug == Some(InjectedBug::IgnoredSyncs) {
            disk.set_fault_plan(FaultPlan { ignore_syncs: true, ..FaultPlan::default() });
        }
        disk
    }

    /// True time, microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What was observed, and judged.
    pub fn invariants(&self) -> &InvariantChecker {
        &self.invariants
    }

    /// Timeouts and intervals of the processes.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// A process, unless it is down.
    pub fn process(&self, gateway: GatewayId) -> Option<&Process<SimDisk>> {
        self.hosts.get(&gateway).and_then(|host| host.process.as_ref())
    }

    /// All gateways.
    pub fn gateways(&self) -> impl Iterator<Item = GatewayId> + '_ {
        self.hosts.keys().copied()
    }

    /// Messages and bytes sent between processes so far.
    pub fn traffic_sent(&self) -> (u64, u64) {
        (self.network.messages_sent, self.network.bytes_sent)
    }

    /// What a gateway acts under now, by its own clock.
    pub fn rule_source(&mut self, gateway: GatewayId) -> Option<RuleSource> {
        let host = self.hosts.get_mut(&gateway)?;
        let local_now = host.local_time(self.now);
        host.process.as_mut().map(|process| process.refresh_guard(local_now).0)
    }
}

fn timing_with_bug(config: &SimulationConfig) -> Timing {
    let mut timing = config.settings.timing().unwrap_or_else(|error| panic!("settings: {error:?}"));
    match config.injected_bug {
        Some(InjectedBug::LeaseFromResponse) => timing.bug_lease_from_response = true,
        Some(InjectedBug::SingleVoterQuorum) => timing.bug_single_voter_quorum = true,
        Some(InjectedBug::NoQuarantine) => timing.quarantine = 0,
        Some(InjectedBug::NoLeaseWait) => timing.lease_wait = 1,
        Some(InjectedBug::NoIdleWait) => timing.bug_no_idle_wait = true,
        _ => {}
    }
    timing
}
