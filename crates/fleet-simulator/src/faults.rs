//! What may be done to a fleet in memory.

use crate::connections::ConnectionEvent;
use crate::event_queue::Event;
use crate::injected_bug::InjectedBug;
use crate::network::LinkConditions;
use crate::simulation::{SimulatedServer, Simulation};
use frostgauge_consensus::{GatewayId, Micros, VersionNumber};
use frostgauge_fleet_agent::{Process, ProcessConfig};
use frostgauge_storage::sim::{FaultPlan, SimDisk};
use rand::RngExt;
use std::collections::BTreeSet;

impl Simulation {
    /// Starts a process that is down, with the disks that it has.
    pub fn start(&mut self, gateway: GatewayId) {
        let random_seed = self.rng.random();
        let replicas: BTreeSet<GatewayId> = (1..=self.config.voters).collect();
        let Some(host) = self.hosts.get_mut(&gateway).filter(|host| host.process.is_none()) else { return };
        host.incarnation += 1;
        let now = host.local_time(self.now);
        let timing = self.timing;
        let config = ProcessConfig { self_id: gateway, replicas, timing, random_seed, exclusive: true };
        let fallback_storage = host.fallback_storage.take().unwrap_or_else(|| SimDisk::new(random_seed));
        match Process::start(now, config, host.replica_storage.take(), fallback_storage) {
            Ok(process) => host.process = Some(process),
            Err(error) => {
                let violation = format!("gateway {gateway} does not start: {error}");
                self.invariants.record_violation(violation);
            }
        }
        host.wake_scheduled_at = Micros::MAX;
        host.credit.clear();
        self.flush_process(gateway);
    }

    /// Kills a process; with `power`, what its disks had not synced is lost.
    pub fn kill(&mut self, gateway: GatewayId, power: bool) {
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        let Some(process) = host.process.take() else { return };
        (host.paused, host.fails_under_version) = (false, None);
        // Its work goes on with the next process; what waited in its sockets does not.
        let beats =
            host.queued_events.drain(..).filter(|e| matches!(e, Event::GenerateRequests { .. })).count();
        host.incarnation += 1;
        let (replica_storage, store) = process.into_storage();
        let lies = self.config.injected_bug == Some(InjectedBug::IgnoredSyncs);
        let settle = |mut disk: SimDisk, lies: bool| {
            if power {
                disk.restart();
            } else {
                disk.reopen();
            }
            disk.set_fault_plan(FaultPlan { ignore_syncs: lies, ..FaultPlan::default() });
            disk
        };
        let incarnation = host.incarnation - 1;
        host.replica_storage = replica_storage.map(|d| settle(d, lies));
        host.fallback_storage = store.map(|d| settle(d, false));
        (0..beats).for_each(|_| self.events.schedule(self.now, Event::GenerateRequests { gateway }));
        for id in self.connections.of(gateway, incarnation) {
            // Its system closes what it had open; the server hears of that, or not, and closes by its own limit.
            if !power && self.rng.random_range(0..10) < 7 {
                let at = self.now + self.rng.random_range(0..10_000);
                self.events.schedule(at, Event::Connection { id, what: ConnectionEvent::Closed });
            }
        }
    }

    /// A replica that is down has its disk emptied.
    pub fn lose_disk(&mut self, gateway: GatewayId) {
        let founded = (self.config.injected_bug == Some(InjectedBug::BootstrappedAgain))
            .then(|| self.bootstrapped_disk());
        let draw = self.rng.random();
        if let Some(host) = self.hosts.get_mut(&gateway).filter(|host| host.process.is_none()) {
            host.replica_storage = Some(founded.unwrap_or_else(|| SimDisk::new(draw)));
            host.fallback_storage = None;
        }
    }

    /// Something goes wrong with the disk of a replica that is down, counted from its next start.
    pub fn inject_disk_faults(&mut self, gateway: GatewayId, plan: FaultPlan) {
        let disk = self.hosts.get_mut(&gateway).and_then(|host| host.replica_storage.as_mut());
        disk.into_iter().for_each(|d| d.set_fault_plan(plan));
    }

    /// A machine that is down comes back with a clock that shows something else.
    pub fn set_clock(&mut self, gateway: GatewayId, shows: Micros) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&gateway).filter(|host| host.process.is_none()) {
            (host.clock.true_origin, host.clock.local_origin) = (now, shows);
        }
    }

    /// Bytes come to a process under somebody's name, as from a link that was shown to be theirs.
    pub fn inject_message(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        self.events.schedule(self.now + 1, Event::Message { from, to, bytes });
    }

    /// A gateway that is down gets a folder to be a replica with.
    pub fn add_replica_disk(&mut self, gateway: GatewayId) {
        let draw = self.rng.random();
        if let Some(host) = self.hosts.get_mut(&gateway).filter(|host| host.process.is_none()) {
            host.replica_storage.get_or_insert_with(|| SimDisk::new(draw));
        }
    }

    /// Stops a process as SIGSTOP does: its clock goes on, its sockets fill.
    pub fn pause(&mut self, gateway: GatewayId) {
        if let Some(host) = self.hosts.get_mut(&gateway) {
            host.paused = true;
        }
    }

    /// It goes on where it was, and sees what waits.
    pub fn resume(&mut self, gateway: GatewayId) {
        let Some(host) = self.hosts.get_mut(&gateway).filter(|host| host.paused) else { return };
        host.paused = false;
        host.requests_generated_at = self.now;
        for event in std::mem::take(&mut host.queued_events) {
            self.events.schedule(self.now, event);
        }
    }

    /// Requests of this gateway take so long from the look to the send.
    pub fn set_send_delay(&mut self, gateway: GatewayId, time: Micros) {
        if let Some(host) = self.hosts.get_mut(&gateway) {
            host.send_delay = time;
        }
    }

    /// The gateway fails under a version, and says so where it is asked.
    pub fn fail_under(&mut self, gateway: GatewayId, version: VersionNumber) {
        if let Some(host) = self.hosts.get_mut(&gateway) {
            host.fails_under_version = Some(version);
        }
    }

    /// Zones that some gateways see dark from now on.
    pub fn set_unavailable_zones(&mut self, some: &[GatewayId], zones: &[&str]) {
        let zones: BTreeSet<String> = zones.iter().map(|z| (*z).to_owned()).collect();
        for gateway in some {
            self.guard_of(*gateway).into_iter().for_each(|g| g.set_unavailable_zones(zones.clone()));
        }
    }

    /// A process is told to end, as by SIGTERM: it closes what it has, and says so. It is killed apart.
    pub fn start_leaving(&mut self, gateway: GatewayId) {
        if let Some(guard) = self.guard_of(gateway) {
            guard.begin_drain();
        }
    }

    /// Only these tenants' requests come to a gateway from now on.
    pub fn restrict_tenants(&mut self, gateway: GatewayId, tenants: &[&str]) {
        if let Some(host) = self.hosts.get_mut(&gateway) {
            host.only_tenants = Some(tenants.iter().map(|t| (*t).to_owned()).collect());
        }
    }

    /// Nothing comes from one to the other.
    pub fn cut_link(&mut self, from: GatewayId, to: GatewayId) {
        self.network.cut_links.insert((from, to));
    }

    /// It comes again.
    pub fn restore_link(&mut self, from: GatewayId, to: GatewayId) {
        self.network.cut_links.remove(&(from, to));
    }

    /// No cut is left.
    pub fn restore_all_links(&mut self) {
        self.network.cut_links.clear();
    }

    /// Messages to a gateway take so much longer from now on.
    pub fn set_extra_delay(&mut self, gateway: GatewayId, by: Micros) {
        self.network.extra_delay.insert(gateway, by);
    }

    /// What links do.
    pub fn set_link_conditions(&mut self, conditions: LinkConditions) {
        self.network.conditions = conditions;
    }

    /// A server is told to drain, and says so from now on; or to take work again.
    pub fn drain(&mut self, server: &str, drains: bool) {
        if let Some(real) = self.servers.get_mut(server) {
            real.ready = !drains;
            self.invariants.server_drains(server, drains);
        }
    }

    /// A server appears, ready; or dies.
    pub fn set_server_up(&mut self, server: &str, up: bool) {
        self.servers.entry(server.to_owned()).or_insert(SimulatedServer { up, ready: true }).up = up;
    }
}
