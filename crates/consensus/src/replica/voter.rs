//! A voter in one configuration: an instance of the consensus library, with recovery from cases that the library leaves
//! without progress.

use super::peer_sequence::PeerSequences;
use super::ReplicaError;
use crate::log_storage::ConsensusLog;
use crate::message::Configuration;
use crate::ruleset::GatewayId;
use crate::state_machine::Entry;
use crate::timing::REPROPOSE_TICKS;
use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::panic::AssertUnwindSafe;

/// Ticks without a heartbeat from the leader after which another may be elected.
const ELECTION_TICKS: u64 = 4;
/// Ticks after which a voter that receives messages from a majority, and yet follows no leader's log, tries to become
/// the leader itself.
const ISOLATION_TICKS: u64 = 3 * REPROPOSE_TICKS;
/// Ticks added to [`ISOLATION_TICKS`] per process identifier, so that isolated voters do not supersede each other's
/// rounds.
const ISOLATION_STAGGER_TICKS: u64 = 4;

/// The length of a voter's log: the number of entries it has accepted, and of those that it knows to be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPosition {
    pub(crate) accepted: u64,
    pub(crate) decided: u64,
}

impl LogPosition {
    pub(crate) fn from_wire((accepted, decided): (u64, u64)) -> LogPosition {
        LogPosition { accepted, decided }
    }

    pub(crate) fn to_wire(self) -> (u64, u64) {
        (self.accepted, self.decided)
    }
}

/// A period in which this voter has not found its log equal to its leader's, and no entry was decided.
#[derive(Clone, Copy, Debug)]
struct Stall {
    since_tick: u64,
    /// The number of entries known to be decided when the period began.
    decided: u64,
}

/// This gateway as a voter of one configuration.
pub(crate) struct Voter {
    paxos: OmniPaxos<Entry, ConsensusLog>,
    /// Entries returned by [`Voter::take_decided`] so far.
    applied: usize,
    /// In ascending order; the consensus library's process identifier of a voter is its index here plus 1.
    voters: Vec<GatewayId>,
    stall: Option<Stall>,
    /// Since when this voter has received messages from a majority, and yet followed no leader's log.
    isolated_since_tick: Option<u64>,
}

impl Voter {
    /// Joins a configuration with its log. Returns none if the configuration does not name this gateway.
    pub(crate) fn join(
        self_id: GatewayId,
        configuration: &Configuration,
        log: ConsensusLog,
    ) -> Result<Option<Voter>, ReplicaError> {
        let voters: Vec<GatewayId> = configuration.voters.iter().copied().collect();
        let Some(index) = voters.iter().position(|voter| *voter == self_id) else { return Ok(None) };
        let config = OmniPaxosConfig {
            cluster_config: cluster_config(configuration.number, voters.len()),
            server_config: ServerConfig {
                pid: index as u64 + 1,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: REPROPOSE_TICKS,
                ..ServerConfig::default()
            },
        };
        let paxos = config.build(log).map_err(|e| ReplicaError::InvalidClusterConfig(e.to_string()))?;
        Ok(Some(Voter { paxos, applied: 0, voters, stall: None, isolated_since_tick: None }))
    }

    /// Whether this voter is the leader, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.paxos.get_current_leader().is_some_and(|(leader, _)| leader == self.paxos.get_pid())
    }

    pub(crate) fn log_position(&self) -> LogPosition {
        LogPosition {
            accepted: self.paxos.get_accepted_idx() as u64,
            decided: self.paxos.get_decided_idx() as u64,
        }
    }

    /// Proposes an entry.
    pub(crate) fn append(&mut self, entry: Entry) {
        // The library rejects entries only while a new configuration is being agreed on. What is rejected then is
        // proposed again, by this replica at a later tick or by the client or operator that sent it.
        let _ = self.paxos.append(entry);
    }

    /// Runs one tick of the consensus library and the check for isolation.
    pub(crate) fn tick(&mut self, sequences: &PeerSequences, now_tick: u64) {
        self.paxos.tick();
        self.try_to_lead_if_isolated(sequences, now_tick);
    }

    /// Tries to become the leader if this voter receives messages from a majority and yet follows no leader's log.
    ///
    /// This happens to a voter that promised a round, its own or another's, which no other voter learned of because all
    /// were killed at that moment. It does not join a lower round, and the others, which have a leader, hold no
    /// election, so the library would exclude it permanently. By trying to lead it starts a round above its promise.
    fn try_to_lead_if_isolated(&mut self, sequences: &PeerSequences, now_tick: u64) {
        let follows_a_leader = self.paxos.get_current_leader().is_some_and(|(_, accepts)| accepts);
        let active_peers = sequences.active_peer_count(REPROPOSE_TICKS, now_tick);
        if follows_a_leader || (active_peers + 1) * 2 <= self.voters.len() {
            self.isolated_since_tick = None;
            return;
        }
        let timeout = ISOLATION_TICKS + ISOLATION_STAGGER_TICKS * self.paxos.get_pid();
        if now_tick >= *self.isolated_since_tick.get_or_insert(now_tick) + timeout {
            self.isolated_since_tick = None;
            self.paxos.try_become_leader();
        }
    }

    /// Passes a message to the consensus library. Returns false, without doing so, unless the message is addressed from
    /// voter `from` to this one.
    ///
    /// # Errors
    /// The library panicked on an inconsistency of its state; operations not yet durable must not be made so.
    pub(crate) fn receive(
        &mut self,
        from: GatewayId,
        sender_position: LogPosition,
        message: PaxosMessage<Entry>,
        now_tick: u64,
    ) -> Result<bool, ReplicaError> {
        let (sender, receiver) = match &message {
            PaxosMessage::SequencePaxos(m) => (m.from, m.to),
            PaxosMessage::BLE(m) => (m.from, m.to),
        };
        // The library uses these identifiers as indices: a wrong one would make it panic.
        let expected = self.voters.iter().position(|voter| *voter == from).map(|index| index as u64 + 1);
        if expected != Some(sender) || receiver != self.paxos.get_pid() || sender == receiver {
            return Ok(false);
        }
        // The library panics where its state violates an invariant, in release builds too: the workspace's release
        // profile enables its assertions.
        let paxos = &mut self.paxos;
        std::panic::catch_unwind(AssertUnwindSafe(|| paxos.handle_incoming(message)))
            .map_err(|_| ReplicaError::ConsensusPanicked)?;
        self.resynchronize_if_stalled(sender, sender_position, now_tick);
        Ok(true)
    }

    /// Requests a synchronization from the leader if the two logs have differed for [`REPROPOSE_TICKS`] without
    /// progress, because a message with entries or a decision was lost.
    ///
    /// While nothing new is proposed, no later message would make up for it: a voter that was disconnected would go on
    /// granting leases by an outdated record, and an entry accepted by too few voters would never be decided. The
    /// library synchronizes when it is notified of a new connection. Here reconnections are not reported to it; each
    /// message carries its sender's log position instead.
    fn resynchronize_if_stalled(&mut self, sender: u64, sender_position: LogPosition, now_tick: u64) {
        let leader = self.paxos.get_current_leader().map(|(leader, _)| leader);
        let own = self.log_position();
        // Equal positions alone are not enough: if an acknowledgement is lost, both logs end with the same entry, which
        // is then never decided.
        let is_synchronized = sender_position == own && own.accepted == own.decided;
        let stall = *self.stall.get_or_insert(Stall { since_tick: now_tick, decided: own.decided });
        if leader != Some(sender) {
            return;
        }
        if is_synchronized || stall.decided != own.decided {
            self.stall = None;
        } else if now_tick >= stall.since_tick + REPROPOSE_TICKS {
            self.stall = None;
            self.paxos.reconnected(sender);
        }
    }

    /// Returns the entries decided since the last call, at most up to the one that ends this configuration.
    pub(crate) fn take_decided(&mut self) -> Vec<Entry> {
        if self.paxos.get_decided_idx() <= self.applied {
            return vec![];
        }
        let mut entries = vec![];
        for entry in self.paxos.read_decided_suffix(self.applied).unwrap_or_default() {
            let LogEntry::Decided(entry) = entry else { break };
            self.applied += 1;
            let ends_configuration = matches!(entry, Entry::ChangeConfiguration { .. });
            entries.push(entry);
            if ends_configuration {
                break;
            }
        }
        entries
    }

    /// Returns the messages that the library has queued, with their receivers.
    pub(crate) fn take_outgoing(&mut self) -> Vec<(GatewayId, PaxosMessage<Entry>)> {
        let mut messages = vec![];
        self.paxos.take_outgoing_messages(&mut messages);
        messages.into_iter().filter_map(|message| Some((self.receiver(&message)?, message))).collect()
    }

    fn receiver(&self, message: &PaxosMessage<Entry>) -> Option<GatewayId> {
        let pid = match message {
            PaxosMessage::SequencePaxos(m) => m.to,
            PaxosMessage::BLE(m) => m.to,
        };
        let index = (pid as usize).checked_sub(1)?;
        self.voters.get(index).copied()
    }
}

fn cluster_config(configuration: u32, voters: usize) -> ClusterConfig {
    ClusterConfig {
        configuration_id: configuration,
        nodes: (1..=voters as u64).collect(),
        flexible_quorum: None,
    }
}
