//! Lease requests, proposals, and what a replica proposes itself.

use super::Replica;
use crate::message::{LeaseRequest, LeaseResponse, Message};
use crate::ruleset::{FieldError, GatewayId};
use crate::state_machine::{Entry, Outcome, Proposal};
use crate::timing::{Micros, REPROPOSE_TICKS};
use crate::version::{VersionNumber, MAX_VERSION_BYTES};
use frostgauge_connection_budget::PermitGrant;
use frostgauge_storage::Storage;
use std::collections::BTreeSet;

impl<S: Storage> Replica<S> {
    pub(super) fn handle_lease_request(&mut self, now: Micros, from: GatewayId, request: &LeaseRequest) {
        if !self.lease_granter.record_request(now, from, request) {
            return;
        }
        let Some(machine) = &self.state_machine else { return };
        self.activation.record_request(from, request, machine);
        let versions = self.lease_granter.binding_versions(from, machine);
        let expires_at = now + self.timing.lease_wait;
        // Once the end of this configuration is accepted here, a majority of the next may count without this voter.
        // One that does not vote any more tells who does, and grants none.
        let may_grant = self.voter.is_some() && !self.storage.log().ends_configuration();
        let is_granted = may_grant && self.lease_granter.grant(from, &versions, expires_at);
        let permits = self.permits_for(now, from, request, is_granted.then_some(expires_at));
        self.respond(from, request, versions, is_granted, permits);
    }

    /// Records a follower's permit report, and returns its permits if it is granted a lease until `lease_expires_at`.
    fn permits_for(
        &mut self,
        now: Micros,
        follower: GatewayId,
        request: &LeaseRequest,
        lease_expires_at: Option<Micros>,
    ) -> Option<PermitGrant> {
        let machine = self.state_machine.as_ref()?;
        let report = request.permits.as_ref()?;
        if !self.permit_issuer.record_report(now, follower, request.incarnation, report) {
            self.stats.ignored_messages += 1;
        }
        let expires_at = lease_expires_at?;
        self.permit_issuer.grant(follower, request.incarnation, report.seen_epoch, expires_at, machine)
    }

    fn respond(
        &mut self,
        follower: GatewayId,
        request: &LeaseRequest,
        versions: BTreeSet<VersionNumber>,
        is_granted: bool,
        permits: Option<PermitGrant>,
    ) {
        let Some(machine) = &self.state_machine else { return };
        let fallback_version = machine.fallback_version();
        let mut missing = versions.clone();
        missing.insert(fallback_version);
        missing.retain(|number| !request.known_versions.contains(number));
        let missing = missing.iter().filter_map(|number| machine.version(*number));
        let counter =
            if is_granted { &mut self.stats.leases_granted } else { &mut self.stats.leases_withheld };
        *counter += 1;
        let response = LeaseResponse {
            incarnation: request.incarnation,
            sequence: request.sequence,
            configuration: self.membership.configuration,
            voters: machine.voters().clone(),
            lease: is_granted.then_some(versions),
            fallback_version,
            missing_versions: missing.map(|version| version.to_bytes()).collect(),
            permits,
        };
        self.outbox.push((follower, Message::LeaseResponse(Box::new(response))));
    }

    pub(super) fn handle_proposal(&mut self, now: Micros, from: GatewayId, proposal: Proposal) {
        let id = proposal.id;
        let Some(machine) = &self.state_machine else { return };
        if let Some(outcome) = machine.outcome(id).cloned() {
            return self.outbox.push((from, Message::ProposalOutcome { id, outcome }));
        }
        let errors = validate_proposal(&proposal);
        if !errors.is_empty() {
            let outcome = Outcome::Invalid(errors);
            return self.outbox.push((from, Message::ProposalOutcome { id, outcome }));
        }
        if !self.pending_proposals.has_capacity_for(id) {
            self.stats.ignored_messages += 1;
            return;
        }
        let repropose_after = self.timing.tick * REPROPOSE_TICKS;
        if self.pending_proposals.insert(now, id, from, repropose_after) {
            self.append(Entry::Publish(Box::new(proposal)));
        }
    }

    pub(super) fn propose_as_leader(&mut self, now: Micros) {
        if !self.is_leader() {
            return;
        }
        let Some(machine) = &self.state_machine else { return };
        let entries = self.activation.propose(now, machine, &self.timing);
        entries.into_iter().for_each(|entry| self.append(entry));
        self.propose_next_configuration();
    }

    /// What it attests, and while it leads proposes, about connection permits.
    pub(super) fn propose_permit_changes(&mut self, now: Micros) {
        let is_leader = self.is_leader();
        let Some(machine) = self.state_machine.as_ref().filter(|_| self.voter.is_some()) else { return };
        let attests_from = self.lease_granter.attests_from();
        let mut changes = self.permit_issuer.attest(now, attests_from, machine);
        if is_leader {
            changes.extend(self.permit_issuer.propose_as_leader(now, machine));
        } else {
            self.permit_issuer.stop_leading();
        }
        self.permit_issuer.remove_stale(now, machine);
        if !changes.is_empty() {
            self.append(Entry::Permits(changes));
        }
    }
}

/// What is wrong with a proposal, apart from the record.
fn validate_proposal(proposal: &Proposal) -> Vec<FieldError> {
    let mut errors = proposal.rules.validate();
    let bytes = postcard::to_stdvec(proposal).map_or(usize::MAX, |bytes| bytes.len());
    if bytes > MAX_VERSION_BYTES {
        errors.push(FieldError::new("", format!("{bytes} bytes, {MAX_VERSION_BYTES} at most")));
    }
    errors
}
