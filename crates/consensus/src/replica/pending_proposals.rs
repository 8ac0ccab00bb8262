//! Proposals that are not decided yet, with the clients that await their outcome.

use crate::ruleset::GatewayId;
use crate::timing::Micros;
use std::collections::BTreeMap;

/// Largest number of proposals pending at a replica; further ones are ignored.
const MAX_PENDING_PROPOSALS: usize = 256;

/// Pending proposals by identifier: the client that sent each last, and when it was received.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals(BTreeMap<u64, (GatewayId, Micros)>);

impl PendingProposals {
    /// Whether a proposal with this identifier can be added, or is pending already.
    pub(crate) fn has_capacity_for(&self, id: u64) -> bool {
        self.0.len() < MAX_PENDING_PROPOSALS || self.0.contains_key(&id)
    }

    /// Records the client that awaits a proposal. Returns whether the proposal is to be appended to the log: not if it
    /// was received within `repropose_after` before, since the earlier one may still be decided.
    pub(crate) fn insert(
        &mut self,
        now: Micros,
        id: u64,
        client: GatewayId,
        repropose_after: Micros,
    ) -> bool {
        let earlier = self.0.insert(id, (client, now));
        earlier.is_none_or(|(_, received_at)| now >= received_at + repropose_after)
    }

    /// Removes a proposal that is decided, and returns the client that awaits its outcome.
    pub(crate) fn complete(&mut self, id: u64) -> Option<GatewayId> {
        self.0.remove(&id).map(|(client, _)| client)
    }

    /// Drops proposals last received `max_age` ago or longer.
    pub(crate) fn remove_expired(&mut self, now: Micros, max_age: Micros) {
        self.0.retain(|_, (_, received_at)| now < *received_at + max_age);
    }
}
