//! Sequence numbers of messages between voters. The consensus library requires channels that neither duplicate nor
//! reorder messages.

use crate::ruleset::GatewayId;
use std::collections::BTreeMap;

/// The position of a message among all that its sender has sent: how many times the sender's storage was opened, and
/// the number of messages sent since. Later messages compare greater lexicographically.
pub(crate) type MessageSequence = (u64, u64);

/// Sequence numbers of the messages received from and sent to other voters.
#[derive(Debug, Default)]
pub(crate) struct PeerSequences {
    /// The sequence number of the last message from each peer.
    last_received: BTreeMap<GatewayId, MessageSequence>,
    /// The tick of the last message from each peer.
    received_at_tick: BTreeMap<GatewayId, u64>,
    /// Messages sent by this process.
    sent_count: u64,
}

impl PeerSequences {
    /// Records a received message. Returns false if this message, or one sent after it, was received before; it must
    /// then be dropped.
    ///
    /// The library tolerates lost messages, but not delayed ones: an old response to a promise, if handled in the next
    /// round of the same ballot, would truncate decided entries from the log.
    pub(crate) fn accept(&mut self, from: GatewayId, sequence: MessageSequence, tick: u64) -> bool {
        if self.last_received.get(&from).is_some_and(|last| *last >= sequence) {
            return false;
        }
        self.last_received.insert(from, sequence);
        self.received_at_tick.insert(from, tick);
        true
    }

    /// The sequence number of the next message to send, for a process whose storage was opened `start_count` times.
    pub(crate) fn next_sent(&mut self, start_count: u64) -> MessageSequence {
        self.sent_count += 1;
        (start_count, self.sent_count)
    }

    /// The number of peers that sent a message within the last `ticks` ticks.
    pub(crate) fn active_peer_count(&self, ticks: u64, now_tick: u64) -> usize {
        self.received_at_tick.values().filter(|at| now_tick < **at + ticks).count()
    }

    /// Clears the received sequence numbers when a configuration is entered: a voter readmitted with empty storage
    /// counts its starts from 1 again.
    pub(crate) fn clear_received(&mut self) {
        self.last_received.clear();
        self.received_at_tick.clear();
    }
}
