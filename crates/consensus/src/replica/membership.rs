//! The voters of the current configuration, and the reasons to replace it by the next one.

use crate::message::Configuration;
use crate::ruleset::GatewayId;
use crate::state_machine::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Least number of ticks between two sendings of the configuration to the same peer, and between two reports of lost
/// storage.
const CONFIGURATION_RESEND_TICKS: u64 = 5;

/// Voters that enter a configuration with empty storage, each with the nonce that its process drew at its start.
pub(crate) type Readmitted = BTreeMap<GatewayId, u64>;

/// Whether a configuration may have this number of voters.
pub(crate) fn is_valid_voter_count(voters: usize) -> bool {
    matches!(voters, 3 | 5 | 7)
}

/// The configuration that a replica is in, and the voters that are to enter the next one.
#[derive(Debug)]
pub(crate) struct Membership {
    /// The number of the configuration, from 1; 0 while the storage is empty.
    pub(crate) configuration_number: u32,
    /// Drawn at random when the replica is opened. If the storage is empty, the other voters readmit this replica by
    /// it.
    pub(crate) nonce: u64,
    /// The voters of the configuration; those that the settings name while the storage is empty.
    pub(crate) voters: BTreeSet<GatewayId>,
    /// Gateways that reported empty storage, with the nonce of the last report.
    storage_lost: BTreeMap<GatewayId, u64>,
    /// The voters that an operator requested last.
    requested_voters: Option<BTreeSet<GatewayId>>,
    /// The tick at which the configuration was last sent to each peer.
    configuration_sent_at_tick: BTreeMap<GatewayId, u64>,
}

impl Membership {
    pub(crate) fn new(voters: BTreeSet<GatewayId>, nonce: u64) -> Membership {
        Membership {
            configuration_number: 0,
            nonce,
            voters,
            storage_lost: BTreeMap::new(),
            requested_voters: None,
            configuration_sent_at_tick: BTreeMap::new(),
        }
    }

    /// Whether the replica has entered a configuration.
    pub(crate) fn has_configuration(&self) -> bool {
        self.configuration_number > 0
    }

    /// Whether a gateway is known not to vote in the current configuration, so that its consensus messages are ignored.
    pub(crate) fn is_non_voter(&self, gateway: GatewayId) -> bool {
        self.has_configuration() && !self.voters.contains(&gateway)
    }

    /// Records the number and the voters of a configuration that the replica enters.
    pub(crate) fn enter(&mut self, configuration: &Configuration) {
        self.configuration_number = configuration.number;
        self.voters = configuration.voters.clone();
    }

    /// Whether a configuration that a peer sent may be entered: it must be later than the current one. A replica with
    /// empty storage may also have voted in it before and lost its promises; it enters it as a voter only if the
    /// configuration readmitted it by its present nonce.
    pub(crate) fn may_enter(&self, self_id: GatewayId, configuration: &Configuration) -> bool {
        let is_readmitted = configuration.readmitted.get(&self_id) == Some(&self.nonce);
        let may_have_voted =
            !self.has_configuration() && !is_readmitted && configuration.voters.contains(&self_id);
        configuration.number > self.configuration_number && !may_have_voted
    }

    /// Whether a majority in `configuration` may share no voter with a majority in the current one.
    pub(crate) fn majorities_change(&self, configuration: &Configuration) -> bool {
        !self.has_configuration() || configuration.voters != self.voters
    }

    /// Records the voters that an operator requests for the next configuration.
    pub(crate) fn request_voters(&mut self, voters: BTreeSet<GatewayId>) {
        self.requested_voters = Some(voters);
    }

    /// Records a gateway's report that its storage is empty.
    pub(crate) fn record_storage_lost(&mut self, voter: GatewayId, nonce: u64) {
        self.storage_lost.insert(voter, nonce);
    }

    /// Returns whether the configuration may be sent to a peer at this tick, and if so, records it as sent.
    pub(crate) fn mark_sent_if_due(&mut self, peer: GatewayId, now_tick: u64) -> bool {
        let last_sent = self.configuration_sent_at_tick.get(&peer);
        let is_due = last_sent.is_none_or(|at| now_tick >= at + CONFIGURATION_RESEND_TICKS);
        if is_due {
            self.configuration_sent_at_tick.insert(peer, now_tick);
        }
        is_due
    }

    /// Lets the next configuration be sent to a peer without delay.
    pub(crate) fn clear_resend_delay(&mut self, peer: GatewayId) {
        self.configuration_sent_at_tick.remove(&peer);
    }

    /// Whether, at this tick, a replica with empty storage reports that to its peers.
    pub(crate) fn reports_lost_storage_at(&self, tick: u64) -> bool {
        !self.has_configuration() && tick % CONFIGURATION_RESEND_TICKS == 1
    }

    /// The entry that ends this configuration, if an operator requested other voters and those that enter are ready, if
    /// a voter has lost its storage, or if the log is long.
    ///
    /// An ordinary log entry is used, not the stop sign of the consensus library: a receiver that gets a stop sign
    /// twice counts it twice, and the stop sign is then never decided.
    pub(crate) fn next_configuration(&self, current: &Configuration, log_is_long: bool) -> Option<Entry> {
        let to_readmit = self.voters_to_readmit(current);
        let requested = self.requested_voters.as_ref().filter(|requested| **requested != current.voters);
        let voters = match requested {
            Some(requested) if self.all_entering_are_ready(requested, current) => requested.clone(),
            _ if !to_readmit.is_empty() || log_is_long => current.voters.clone(),
            _ => return None,
        };
        let nonce_of = |voter: &GatewayId| self.storage_lost.get(voter).map(|nonce| (*voter, *nonce));
        let mut readmitted: Readmitted = voters.difference(&current.voters).filter_map(nonce_of).collect();
        readmitted.extend(to_readmit.into_iter().filter(|(voter, _)| voters.contains(voter)));
        Some(Entry::ChangeConfiguration { voters, readmitted })
    }

    /// Whether each voter that is to enter is running: it has reported empty storage, with its nonce.
    fn all_entering_are_ready(&self, requested: &BTreeSet<GatewayId>, current: &Configuration) -> bool {
        requested.difference(&current.voters).all(|voter| self.storage_lost.contains_key(voter))
    }

    /// Current voters that reported empty storage and have not been readmitted since, with their nonces.
    fn voters_to_readmit(&self, current: &Configuration) -> Readmitted {
        let is_not_readmitted = |voter: &GatewayId, nonce: &u64| {
            current.voters.contains(voter) && current.readmitted.get(voter) != Some(nonce)
        };
        let lost = self.storage_lost.iter().filter(|(voter, nonce)| is_not_readmitted(voter, nonce));
        lost.map(|(voter, nonce)| (*voter, *nonce)).collect()
    }
}
