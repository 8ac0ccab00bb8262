//! Transitions between configurations of voters: entering one, beginning the next, and sending it to peers.

use super::membership::Readmitted;
use super::voter::Voter;
use super::{Replica, ReplicaError};
use crate::message::{Configuration, Message};
use crate::ruleset::GatewayId;
use crate::state_machine::StateMachine;
use crate::timing::Micros;
use frostgauge_storage::Storage;
use std::collections::BTreeSet;

impl<S: Storage> Replica<S> {
    /// Enters a configuration whose beginning is in storage: loads its snapshot of the record, and votes in it if it
    /// names this gateway.
    pub(super) fn enter_configuration(&mut self, configuration: &Configuration) -> Result<(), ReplicaError> {
        self.membership.enter(configuration);
        self.state_machine = Some(StateMachine::from_bytes(&configuration.snapshot)?);
        self.lease_granter.enter_configuration();
        self.activation.enter_configuration();
        self.sequences.clear_received();
        self.voter = None;
        self.voter = Voter::join(self.self_id, configuration, self.storage.log())?;
        Ok(())
    }

    /// Stores the beginning of a configuration with an empty log, and enters it.
    fn begin_configuration(&mut self, now: Micros, configuration: Configuration) -> Result<(), ReplicaError> {
        if self.membership.majorities_change(&configuration) {
            // Majorities of the old and the new voters need not intersect, and this replica does not know the leases
            // that other voters granted before.
            self.lease_granter.quarantine_until(now + self.timing.quarantine);
        }
        self.storage.begin(configuration.clone())?;
        self.enter_configuration(&configuration)
    }

    /// Handles the beginning of a configuration that a peer sent: enters it if it is a later one that it may enter.
    pub(super) fn install_configuration(
        &mut self,
        now: Micros,
        configuration: Configuration,
    ) -> Result<(), ReplicaError> {
        if !self.membership.may_enter(self.self_id, &configuration) {
            return Ok(());
        }
        self.begin_configuration(now, configuration)
    }

    /// Begins the next configuration after the current one has ended. Its snapshot is the record as applied so far, and
    /// it is sent at once to all voters of both configurations.
    pub(super) fn begin_next_configuration(
        &mut self,
        now: Micros,
        voters: BTreeSet<GatewayId>,
        newly_readmitted: Readmitted,
    ) -> Result<(), ReplicaError> {
        let Some(machine) = &self.state_machine else { return Ok(()) };
        // The nonce by which each voter was last readmitted is kept, so that a delayed message about that loss of
        // storage does not readmit the voter again.
        let mut readmitted = self.storage.configuration().map(|c| c.readmitted.clone()).unwrap_or_default();
        readmitted.extend(newly_readmitted);
        readmitted.retain(|voter, _| voters.contains(voter));
        let number = self.membership.configuration_number + 1;
        let configuration = Configuration { number, voters, readmitted, snapshot: machine.to_bytes() };
        let mut peers: BTreeSet<GatewayId> = &configuration.voters | &self.membership.voters;
        peers.remove(&self.self_id);
        self.begin_configuration(now, configuration)?;
        for peer in peers {
            self.membership.clear_resend_delay(peer);
            self.send_configuration(peer);
        }
        Ok(())
    }

    /// Sends the beginning of the current configuration, with its snapshot, unless it was sent to this peer a short
    /// while ago.
    pub(super) fn send_configuration(&mut self, to: GatewayId) {
        let Some(configuration) = self.storage.configuration() else { return };
        if self.membership.mark_sent_if_due(to, self.ticks) {
            self.outbox.push((to, Message::Install(Box::new(configuration.clone()))));
        }
    }

    /// Asks the other voters to readmit this replica, whose storage is empty.
    pub(super) fn report_lost_storage(&mut self) {
        let nonce = self.membership.nonce;
        for peer in self.membership.voters.iter().filter(|voter| **voter != self.self_id) {
            self.outbox.push((*peer, Message::StorageLost { nonce }));
        }
    }

    /// Handles a gateway's report that its storage is empty: it is recorded, so that the leader proposes a
    /// configuration that readmits the gateway. If the current configuration did so already, it is sent to the gateway.
    pub(super) fn handle_storage_lost(&mut self, from: GatewayId, nonce: u64) {
        if !self.membership.has_configuration() {
            return;
        }
        self.membership.record_storage_lost(from, nonce);
        let configuration = self.storage.configuration();
        if configuration.is_some_and(|c| c.readmitted.get(&from) == Some(&nonce)) {
            self.send_configuration(from);
        }
    }

    /// Proposes the end of this configuration if that is due and no such entry is in the log yet.
    pub(super) fn propose_next_configuration(&mut self) {
        let log = self.storage.log();
        let Some(current) = self.storage.configuration().filter(|_| !log.ends_configuration()) else {
            return;
        };
        let log_is_long = log.entry_count() > self.timing.max_log_entries;
        if let Some(entry) = self.membership.next_configuration(current, log_is_long) {
            self.append(entry);
        }
    }
}
