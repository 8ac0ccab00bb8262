//! The fleet's agreed rules in this gateway: who may come in, which servers the decisions see, and the check right before
//! an attempt's bytes go. The rules come from `frostgauge-fleet-agent`, whose task runs beside the engine.

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

/// The fleet's rules, for the other parts of this gateway.
#[derive(Clone, Debug)]
pub struct FleetRules {
    task: TaskHandle,
    canary: Arc<Mutex<CanaryObserver>>,
    clock: Clock,
    self_id: u16,
    timing: Timing,
}

impl FleetRules {
    /// The task of the fleet agent.
    pub fn task(&self) -> &TaskHandle {
        &self.task
    }

    /// The servers as the decisions are to see them: those that the rules and, without a lease, their own reports allow
    /// new work are ready; others of the settings get nothing new.
    pub fn server_entries(&self, loaded: &Loaded) -> Vec<(SocketAddr, ServerEntry)> {
        let (open, zones) = self.eligible_nodes();
        let mut entries: Vec<(SocketAddr, ServerEntry)> = vec![];
        for node in &loaded.nodes {
            let mut entry = node.entry.clone();
            if !open.contains(&node.address) {
                entry.state = ServerState::Draining;
            }
            entries.push((node.address, entry));
        }
        let named: BTreeSet<SocketAddr> = loaded.nodes.iter().map(|n| n.address).collect();
        for address in open.difference(&named) {
            let zone = zones.get(address).and_then(|z| loaded.file.zones.iter().position(|k| k == z));
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

    /// Servers that may get new work now, and their zones by the rules.
    fn eligible_nodes(&self) -> (BTreeSet<SocketAddr>, BTreeMap<SocketAddr, String>) {
        let now = self.clock.now();
        let guard = self.task.guard();
        let zones = &guard.view().at(now).1.zones;
        let open: Vec<(&str, SocketAddr)> =
            guard.eligible_servers(now).filter_map(|(name, a)| Some((name, a.parse().ok()?))).collect();
        let zone = |name: &str| zones.get(name).cloned().unwrap_or_default();
        (open.iter().map(|(_, a)| *a).collect(), open.iter().map(|(n, a)| (*a, zone(n))).collect())
    }

    /// The check before an attempt's bytes go to a server.
    pub fn attempt_check(&self, tenant: &str, class: &str, node: SocketAddr) -> AttemptCheck {
        AttemptCheck::new(self.clone(), tenant, class, node)
    }

    fn canary(&self, run: impl FnOnce(&mut CanaryObserver)) {
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
