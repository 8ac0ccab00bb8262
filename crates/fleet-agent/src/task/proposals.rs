//! Proposals that are sent to the replicas repeatedly until their outcome is known.

use crate::process::ProposalOutcome;
use async_channel::Sender;
use frostgauge_consensus::{Message, Micros, Outcome, Proposal};
use std::collections::BTreeMap;

/// Maximum number of proposals whose outcome is not known yet.
const MAX_PENDING_PROPOSALS: usize = 32;
/// A proposal whose outcome is not known is sent again after this time.
const RESEND_INTERVAL: Micros = 500_000;
/// A proposal whose outcome is not known is given up after this time.
const GIVE_UP_AFTER: Micros = 15_000_000;

struct PendingProposal {
    proposal: Box<Proposal>,
    reply: Sender<Option<Outcome>>,
    send_at: Micros,
    give_up_at: Micros,
}

/// Proposals whose outcome is not known yet, by id.
#[derive(Default)]
pub(super) struct PendingProposals(BTreeMap<u64, PendingProposal>);

impl PendingProposals {
    /// Adds a proposal that is to be sent at once. If there are too many pending proposals, it is not sent, and the reply
    /// is none.
    pub(super) fn add(&mut self, now: Micros, proposal: Box<Proposal>, reply: Sender<Option<Outcome>>) {
        if self.0.len() >= MAX_PENDING_PROPOSALS {
            let _ = reply.try_send(None);
            return;
        }
        let give_up_at = now + GIVE_UP_AFTER;
        self.0.insert(proposal.id, PendingProposal { proposal, reply, send_at: now, give_up_at });
    }

    /// When the next proposal is to be sent; none: no proposals are pending.
    pub(super) fn next_send(&self) -> Option<Micros> {
        self.0.values().map(|pending| pending.send_at).min()
    }

    /// Messages with the proposals that are to be sent now; each is scheduled to be sent again.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<Message> {
        let due = self.0.values_mut().filter(|pending| now >= pending.send_at);
        due.map(|pending| {
            pending.send_at = now + RESEND_INTERVAL;
            Message::Propose(pending.proposal.clone())
        })
        .collect()
    }

    /// Replies with the outcome of a proposal and removes it; ignored if the proposal is not pending.
    pub(super) fn resolve(&mut self, outcome: ProposalOutcome) {
        if let Some(pending) = self.0.remove(&outcome.proposal_id) {
            let _ = pending.reply.try_send(Some(outcome.outcome));
        }
    }

    /// Drops the proposals that are to be given up now, and those whose reply has no receiver any more.
    pub(super) fn drop_expired(&mut self, now: Micros) {
        self.0.retain(|_, pending| {
            let keep = now < pending.give_up_at && !pending.reply.is_closed();
            if !keep {
                let _ = pending.reply.try_send(None);
            }
            keep
        });
    }
}
