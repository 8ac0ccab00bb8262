//! A replica's voter state in one configuration: election, replication and the entries it has applied.

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

/// Ticks without a heartbeat from the leader before another may be elected.
const ELECTION_TICKS: u64 = 4;
/// A voter that hears a majority, and yet follows no leader's log for so many ticks, stands for leader itself.
const ISOLATED_TICKS: u64 = 3 * REPROPOSE_TICKS;
/// Additional ticks per process identifier, so that isolated voters do not outbid each other.
const STAGGER_TICKS: u64 = 4;

/// How far a voter's log goes: entries accepted, and how many of them it knows to be decided.
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

/// Since when this voter and its leader have differed, and what was decided then.
#[derive(Clone, Copy, Debug)]
struct Stall {
    since_tick: u64,
    decided: u64,
}

/// A voter of one configuration.
pub(crate) struct Voter {
    paxos: OmniPaxos<Entry, ConsensusLog>,
    applied: usize,
    voters: Vec<GatewayId>,
    stall: Option<Stall>,
    isolated_since_tick: Option<u64>,
}

impl Voter {
    /// Joins a configuration on its log; none if it does not name this gateway.
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

    /// Whether it is the current leader, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.paxos.get_current_leader().is_some_and(|(leader, _)| leader == self.paxos.get_pid())
    }

    pub(crate) fn log_position(&self) -> LogPosition {
        LogPosition {
            accepted: self.paxos.get_accepted_idx() as u64,
            decided: self.paxos.get_decided_idx() as u64,
        }
    }

    /// Proposes an entry. It is rejected only while a new configuration is being agreed on: who waits asks again.
    pub(crate) fn append(&mut self, entry: Entry) {
        let _ = self.paxos.append(entry);
    }

    /// Lets a tick of time pass.
    pub(crate) fn tick(&mut self, sequences: &PeerSequences, now_tick: u64) {
        self.paxos.tick();
        self.stand_for_leader_if_isolated(sequences, now_tick);
    }

    /// A voter that promised itself, or another, to a round that nobody else heard of (all were killed just then) is
    /// not taken into a lower round, and the others, content with their leader, hold no election: the library leaves
    /// it out for ever. It stands for leader, in a round above its promise.
    fn stand_for_leader_if_isolated(&mut self, sequences: &PeerSequences, now_tick: u64) {
        let follows_a_log = self.paxos.get_current_leader().is_some_and(|(_, accepts)| accepts);
        let heard = sequences.peers_heard_within(REPROPOSE_TICKS, now_tick);
        if follows_a_log || (heard + 1) * 2 <= self.voters.len() {
            self.isolated_since_tick = None;
            return;
        }
        let timeout = ISOLATED_TICKS + STAGGER_TICKS * self.paxos.get_pid();
        if now_tick >= *self.isolated_since_tick.get_or_insert(now_tick) + timeout {
            self.isolated_since_tick = None;
            self.paxos.try_become_leader();
        }
    }

    /// Takes a message of the consensus library; false if it is not addressed from that voter to this one.
    ///
    /// # Errors
    /// The library found its own state impossible: nothing of this batch may be made durable.
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
        // The library indexes by these: a wrong identifier would make it panic.
        let expected = self.voters.iter().position(|voter| *voter == from).map(|index| index as u64 + 1);
        if expected != Some(sender) || receiver != self.paxos.get_pid() || sender == receiver {
            return Ok(false);
        }
        // Where the library finds its own state impossible it panics, also in a release (see the workspace's profile).
        let paxos = &mut self.paxos;
        std::panic::catch_unwind(AssertUnwindSafe(|| paxos.handle_incoming(message)))
            .map_err(|_| ReplicaError::ConsensusPanicked)?;
        self.resynchronize_if_stalled(sender, sender_position, now_tick);
        Ok(true)
    }

    /// Asks the leader again for what a lost message brought or decided: no later message tells it while nothing new
    /// is proposed, a voter that was cut off would go on granting leases by an old record, and an entry that too few
    /// have would wait for ever. The library does so when a connection is opened anew; here connections do not say
    /// so, but each message carries its sender's log position.
    fn resynchronize_if_stalled(&mut self, sender: u64, sender_position: LogPosition, now_tick: u64) {
        let leader = self.paxos.get_current_leader().map(|(leader, _)| leader);
        let own = self.log_position();
        // A lost acknowledgement leaves both at the same entry, which is then never decided.
        let is_settled = sender_position == own && own.accepted == own.decided;
        let stall = *self.stall.get_or_insert(Stall { since_tick: now_tick, decided: own.decided });
        if leader != Some(sender) {
            return;
        }
        if is_settled || stall.decided != own.decided {
            self.stall = None;
        } else if now_tick >= stall.since_tick + REPROPOSE_TICKS {
            self.stall = None;
            self.paxos.reconnected(sender);
        }
    }

    /// Entries decided since the last call, up to the one that ends this configuration.
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

    /// Messages that the library wants to send, with their receivers.
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
