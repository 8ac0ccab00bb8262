//! The fleet rules in this gateway: admission of requests, the servers that the decision library may use, and the check
//! right before an attempt is sent. The rules come from `frostgauge-fleet-agent`, whose task runs beside the engine.

mod admission;
mod attempt_check;
mod maintenance;
mod runtime;

pub use admission::RulesAdmission;
pub use attempt_check::{rules_field_value, AttemptCheck, RULES_FIELD};
pub use runtime::{start, FleetRulesError, RunningFleetRules};

use crate::clock::{Clock, Micros};
use crate::upstream::RulesAccess;
use frostgauge::{ServerEntry, ServerState};
use frostgauge_consensus::Timing;
use frostgauge_fleet_agent::task::TaskHandle;
use frostgauge_fleet_agent::{AttemptGuard, CanaryObserver};
use frostgauge_settings::{server_id, Loaded};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Access to the fleet rules for the other parts of this gateway.
#[derive(Clone, Debug)]
pub struct FleetRules {
    task: TaskHandle,
    canary: Arc<Mutex<CanaryObserver>>,
    clock: Clock,
    self_id: u16,
    timing: Timing,
}

impl FleetRules {
    /// Handle of the fleet agent's task.
    pub fn task(&self) -> &TaskHandle {
        &self.task
    }

    /// The list of servers for the decision library. Servers that may get new work are ready: the rules allow it and,
    /// without a lease, their own reports confirm it. All other servers of the settings are draining.
    pub fn server_entries(&self, loaded: &Loaded) -> Vec<(SocketAddr, ServerEntry)> {
        let (eligible, zones) = self.eligible_servers();
        let mut entries: Vec<(SocketAddr, ServerEntry)> = vec![];
        for node in &loaded.nodes {
            let mut entry = node.entry.clone();
            if !eligible.contains(&node.address) {
                entry.state = ServerState::Draining;
            }
            entries.push((node.address, entry));
        }
        let configured: BTreeSet<SocketAddr> = loaded.nodes.iter().map(|node| node.address).collect();
        for address in eligible.difference(&configured) {
            let zone =
                zones.get(address).and_then(|zone| loaded.file.zones.iter().position(|name| name == zone));
            let entry = ServerEntry {
                server: server_id(*address),
                state: ServerState::Ready,
                ready_at: 0,
                size: 1.0,
                zone: zone.unwrap_or(0) as u32,
                cell: 0,
            };
            entries.push((*address, entry));
        }
        entries
    }

    /// Addresses of the servers that may get new work now, and their zones according to the rules.
    fn eligible_servers(&self) -> (BTreeSet<SocketAddr>, BTreeMap<SocketAddr, String>) {
        let now = self.clock.now();
        let guard = self.task.guard();
        let zones = &guard.view().at(now).1.server_zones;
        let eligible: Vec<(&str, SocketAddr)> = guard
            .eligible_servers(now)
            .filter_map(|(name, address)| Some((name, address.parse().ok()?)))
            .collect();
        let zone = |name: &str| zones.get(name).cloned().unwrap_or_default();
        (
            eligible.iter().map(|(_, address)| *address).collect(),
            eligible.iter().map(|(name, address)| (*address, zone(name))).collect(),
        )
    }

    /// Creates the check of an attempt at a server.
    pub fn attempt_check(&self, tenant: &str, class: &str, server: SocketAddr) -> AttemptCheck {
        AttemptCheck::new(self.clone(), tenant, class, server)
    }

    fn with_canary(&self, run: impl FnOnce(&mut CanaryObserver)) {
        run(&mut self.canary.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl RulesAccess for FleetRules {
    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn guard(&self) -> MutexGuard<'_, AttemptGuard> {
        self.task.guard()
    }
}
