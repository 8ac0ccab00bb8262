//! Editors and operators: they publish rules, and learn what became of them.

use crate::simulation::Simulation;
use frostgauge_consensus::{GatewayId, Message, Outcome, Proposal, Rules, StateMachine, VersionNumber};
use std::collections::BTreeSet;
use thiserror::Error;

/// Why a fleet has not converged on the latest version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotConverged {
    /// A voter of the beginning runs no replica.
    #[error("replica {0} is down")]
    ReplicaDown(GatewayId),
    /// A replica knows an older version.
    #[error("replica {replica} is at version {version}, the latest is {latest}")]
    ReplicaBehind {
        /// The replica.
        replica: GatewayId,
        /// The latest that it knows.
        version: VersionNumber,
        /// The latest that any knows.
        latest: VersionNumber,
    },
    /// A gateway is down.
    #[error("gateway {0} is down")]
    GatewayDown(GatewayId),
    /// A gateway acts under other versions too.
    #[error("gateway {gateway} acts under versions {versions:?}, the latest is {latest}")]
    GatewayBehind {
        /// The gateway.
        gateway: GatewayId,
        /// What it acts under.
        versions: BTreeSet<VersionNumber>,
        /// The latest that any replica knows.
        latest: VersionNumber,
    },
}

impl Simulation {
    /// An editor at gateway `by` proposes rules made from version `base`; the id of the proposal.
    pub fn publish(&mut self, by: GatewayId, base: VersionNumber, rules: Rules) -> u64 {
        let id = self.next_proposal_id;
        self.next_proposal_id += 1;
        let (author, reason) = (format!("editor at {by}"), format!("proposal {id}"));
        let proposal = Proposal { id, base_version: base, author, reason, time_ms: self.now / 1_000, rules };
        self.proposals.insert(id, proposal);
        self.resend(by, id);
        id
    }

    /// Sends a proposal once more, to every voter of the beginning.
    pub fn resend(&mut self, by: GatewayId, id: u64) {
        let Some(proposal) = self.proposals.get(&id).cloned() else { return };
        for replica in self.initial_voters() {
            self.send_to_replica(by, replica, Message::Propose(Box::new(proposal.clone())));
        }
    }

    /// Sends an operator's message to every voter of the beginning.
    pub fn broadcast(&mut self, by: GatewayId, message: Message) {
        for replica in self.initial_voters() {
            self.send_to_replica(by, replica, message.clone());
        }
    }

    /// What an editor was told of a proposal.
    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.invariants.outcome(id)
    }

    /// The latest version that any replica knows, and its rules: what an editor begins from.
    pub fn latest(&self) -> (VersionNumber, Rules) {
        let machines =
            self.hosts.values().filter_map(|host| host.process.as_ref()?.replica()?.state_machine());
        let newest = machines.max_by_key(|machine| machine.latest());
        let version = newest.and_then(|machine| machine.version(machine.latest()));
        version.map_or_else(|| (0, self.config.rules()), |version| (version.number, version.rules.clone()))
    }

    /// The rules that the fleet began with.
    pub fn initial_rules(&self) -> Rules {
        self.config.rules()
    }

    /// Voters of the beginning.
    pub fn initial_voters(&self) -> Vec<GatewayId> {
        (1..=self.config.voters).collect()
    }

    /// The latest version, once all gateways act under it alone and all replicas know it.
    ///
    /// # Errors
    /// The first replica or gateway of which that is not so.
    pub fn converged(&mut self) -> Result<VersionNumber, NotConverged> {
        let (latest, _) = self.latest();
        for (&gateway, host) in &self.hosts {
            let replica = host.process.as_ref().and_then(|process| process.replica());
            let was_voter = gateway <= self.config.voters;
            let Some(replica) = replica else {
                if was_voter {
                    return Err(NotConverged::ReplicaDown(gateway));
                }
                continue;
            };
            let version = replica.state_machine().map_or(0, StateMachine::latest);
            if version != latest && (replica.is_voter() || was_voter) {
                return Err(NotConverged::ReplicaBehind { replica: gateway, version, latest });
            }
        }
        for gateway in self.gateways().collect::<Vec<_>>() {
            let source = self.rule_source(gateway).ok_or(NotConverged::GatewayDown(gateway))?;
            let versions = source.versions();
            if versions != BTreeSet::from([latest]) {
                return Err(NotConverged::GatewayBehind { gateway, versions, latest });
            }
        }
        Ok(latest)
    }
}
