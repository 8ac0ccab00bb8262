//! The health of one zone as this gateway sees it: from the endpoint list, outcomes of attempts and health checks.

use crate::{AttemptOutcome, Config, Micros, Node};
use std::collections::{BTreeMap, BTreeSet};

/// Time constant with which the usual size of a zone decays after the zone shrank, microseconds. After a permanent
/// reduction the smaller size thus becomes the usual one.
const USUAL_SIZE_DECAY_US: f64 = 60e6;
/// A zone that is dark for this long while the list has ready nodes of it is reported as a possibly cut path. The time
/// is longer than any lag of the list seen, so that the fault is on the path from here, or in a service that the
/// nodes depend on.
const PATH_REPORT_AFTER: Micros = 10_000_000;
/// Number of nodes of a zone checked at a time.
const NODES_PER_CHECK: usize = 3;
/// Upper limit of the flap count, which keeps the shift that doubles the hold in range.
const MAX_FLAPS: u32 = 16;

/// Phase of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In normal use.
    Home,
    /// Unavailable: it gets health checks only.
    Dark,
    /// It answers health checks, but still gets no requests until the hold ends.
    Held,
    /// It gets a growing share of its requests.
    Ramp,
}

/// Health of a zone.
#[derive(Clone, Debug)]
pub struct Health {
    phase: Phase,
    /// See [`Config::failures_to_dark`].
    failures_to_dark: u32,
    /// Start of the phase; in [`Phase::Home`] also the time of the last decrease of `flaps`.
    since: Micros,
    /// Failures during a hold or a ramp, less one for each [`Config::flap_decay`] in [`Phase::Home`].
    flaps: u32,
    /// Nodes that the list calls ready, with their start times.
    ready: BTreeMap<u64, Micros>,
    /// Ready nodes with [`AttemptOutcome::Failed`] as their last conclusive outcome.
    failed: BTreeSet<u64>,
    /// Failures in a row that were counted.
    failure_streak: u32,
    /// Nodes of the failures in the streak.
    streak_nodes: BTreeSet<u64>,
    /// Time of the last counted failure.
    last_failure_at: Micros,
    /// Answers in a row, since the start of the phase.
    answer_streak: u32,
    /// A node has answered an attempt or a check.
    has_answered: bool,
    /// Usual number of ready nodes: grows at once, shrinks slowly.
    usual_nodes: f64,
    usual_nodes_at: Micros,
    last_check_at: Micros,
    /// Index of the first ready node to check next, before the modulo.
    next_to_check: usize,
    ever_listed: bool,
    drained: bool,
    /// In this dark phase, the possibly cut path was already reported.
    path_reported: bool,
}

/// Phase and reason to report, if there is something to report.
type Report = Option<(Phase, &'static str)>;

impl Health {
    /// A zone in normal use that has not been listed yet.
    pub(crate) fn new(now: Micros, failures_to_dark: u32) -> Health {
        Health {
            phase: Phase::Home,
            failures_to_dark,
            since: now,
            flaps: 0,
            ready: BTreeMap::new(),
            failed: BTreeSet::new(),
            failure_streak: 0,
            streak_nodes: BTreeSet::new(),
            last_failure_at: 0,
            answer_streak: 0,
            has_answered: false,
            usual_nodes: 0.0,
            usual_nodes_at: now,
            last_check_at: 0,
            next_to_check: 0,
            ever_listed: false,
            drained: false,
            path_reported: false,
        }
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Start of the phase; in [`Phase::Home`], the last decrease of the flap count if that is later.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Whether the list has ever had ready nodes of the zone.
    pub fn ever_listed(&self) -> bool {
        self.ever_listed
    }

    /// Whether the list has no ready node of the zone now.
    pub fn has_no_ready_nodes(&self) -> bool {
        self.ready.is_empty()
    }

    /// Whether the failures in a row reach the threshold, or each ready node failed last. Also true once a listed zone
    /// that is not drained has lost its last ready node.
    pub fn looks_unreachable(&self) -> bool {
        let all_failed = !self.ready.is_empty() && self.failed.len() == self.ready.len();
        self.failure_streak >= self.failures_to_dark || all_failed
    }

    /// Number of nodes that the list calls ready.
    pub fn ready_nodes(&self) -> usize {
        self.ready.len()
    }

    /// Usual number of ready nodes: it grows with the list at once and shrinks slowly.
    pub fn usual_nodes(&self) -> f64 {
        self.usual_nodes
    }

    /// Capacity of the ready nodes that did not fail last, in warm nodes, divided by the usual number of nodes. A node
    /// in its slow start counts for part of a node; see [`Config::slow_start`].
    pub fn healthy_share(&self, now: Micros, slow_start: (Micros, f64)) -> f64 {
        let (warm_up, initial_share) = slow_start;
        let node_capacity = |started: Micros| {
            if started == 0 || warm_up == 0 {
                return 1.0;
            }
            let progress = now.saturating_sub(started) as f64 / warm_up as f64;
            (initial_share + (1.0 - initial_share) * progress).min(1.0)
        };
        let healthy = self.ready.iter().filter(|(id, _)| !self.failed.contains(id));
        let capacity = healthy.map(|(_, started)| node_capacity(*started));
        if self.usual_nodes > 0.0 {
            capacity.sum::<f64>() / self.usual_nodes
        } else {
            0.0
        }
    }

    fn enter_phase(&mut self, now: Micros, phase: Phase, reason: &'static str) -> Report {
        if self.phase == phase {
            return None;
        }
        self.phase = phase;
        self.since = now;
        self.path_reported = false;
        self.answer_streak = 0;
        Some((phase, reason))
    }

    /// Makes the zone dark; during a hold or a ramp this counts as a flap.
    fn become_dark(&mut self, now: Micros, reason: &'static str) -> Report {
        if matches!(self.phase, Phase::Ramp | Phase::Held) {
            self.flaps = (self.flaps + 1).min(MAX_FLAPS);
        }
        self.enter_phase(now, Phase::Dark, reason)
    }

    /// Takes the nodes of this zone from a new list.
    pub(crate) fn set_nodes<'a>(&mut self, now: Micros, nodes: impl Iterator<Item = &'a Node>) -> Report {
        let before = std::mem::take(&mut self.ready);
        self.ready = nodes.filter(|n| n.ready).map(|n| (n.id, n.started)).collect();
        // Failures from before a restart of a node do not count against it.
        self.failed.retain(|id| self.ready.get(id).is_some_and(|started| before.get(id) == Some(started)));
        let decay = (-(now.saturating_sub(self.usual_nodes_at) as f64) / USUAL_SIZE_DECAY_US).exp();
        let size = self.ready.len() as f64;
        self.usual_nodes =
            if size >= self.usual_nodes { size } else { size + (self.usual_nodes - size) * decay };
        self.usual_nodes_at = now;
        self.ever_listed |= !self.ready.is_empty();
        if self.drained || !self.ever_listed {
            return None;
        }
        if self.ready.is_empty() {
            self.failure_streak = self.failures_to_dark;
            return self.become_dark(now, "the endpoint list has no ready node of the zone");
        }
        // Nodes are listed again after there were none: the failures of the earlier nodes do not apply to them.
        if before.is_empty() && self.phase == Phase::Dark {
            self.failure_streak = 0;
        }
        None
    }

    /// Starts or ends a drain by an operator; after a drain the zone is ramped up without a hold.
    pub(crate) fn set_drained(&mut self, now: Micros, drained: bool) -> Report {
        self.drained = drained;
        if drained {
            return self.enter_phase(now, Phase::Dark, "an operator drained the zone");
        }
        self.enter_phase(now, Phase::Ramp, "an operator ended the drain")
    }

    /// Counts the outcome of an attempt or a check that was sent at `sent_at`; nodes that are not ready are ignored.
    pub(crate) fn record_outcome(
        &mut self,
        now: Micros,
        node: u64,
        sent_at: Micros,
        outcome: AttemptOutcome,
        config: &Config,
    ) -> Report {
        if !self.ready.contains_key(&node) {
            return None;
        }
        match outcome {
            AttemptOutcome::Inconclusive => return None,
            AttemptOutcome::Answered => {
                self.failed.remove(&node);
                self.failure_streak = 0;
                self.streak_nodes.clear();
                self.has_answered = true;
                self.answer_streak += 1;
                let enough = self.answer_streak >= config.checks_to_leave_dark;
                if self.phase == Phase::Dark && !self.drained && enough {
                    return self.enter_phase(now, Phase::Held, "nodes of the zone answer health checks");
                }
            }
            AttemptOutcome::Failed => {
                self.answer_streak = 0;
                self.failed.insert(node);
                // It was sent before the last counted failure was known, so it may have the same cause.
                if self.failure_streak > 0 && sent_at < self.last_failure_at {
                    return None;
                }
                self.failure_streak += 1;
                self.last_failure_at = now;
                self.streak_nodes.insert(node);
                let several_nodes = self.streak_nodes.len() >= 2.min(self.ready.len());
                let all_failed = self.failed.len() == self.ready.len();
                let streak_enough = self.failure_streak >= self.failures_to_dark
                    || all_failed && self.failure_streak >= 2.min(self.failures_to_dark);
                // During a hold or a ramp two failures are enough, at one node too: the nodes are cold, and there are
                // few requests in flight to learn from.
                let recovering = matches!(self.phase, Phase::Ramp | Phase::Held) && self.failure_streak >= 2;
                if several_nodes && streak_enough || recovering {
                    return self.become_dark(now, "attempts or health checks to the zone keep failing");
                }
            }
        }
        None
    }

    /// The nodes to check now: none unless the zone is dark or held and `interval` has passed since the last check.
    pub(crate) fn due_checks(&mut self, now: Micros, interval: Micros) -> Vec<u64> {
        if !matches!(self.phase, Phase::Dark | Phase::Held) || now < self.last_check_at + interval {
            return vec![];
        }
        self.last_check_at = now;
        let count = self.ready.len();
        let nodes = (0..NODES_PER_CHECK.min(count))
            .filter_map(|k| self.ready.keys().nth((self.next_to_check + k) % count).copied())
            .collect();
        self.next_to_check = self.next_to_check.wrapping_add(NODES_PER_CHECK);
        nodes
    }

    /// Length of the hold, doubled for each flap up to [`Config::max_hold`].
    fn hold(&self, config: &Config) -> Micros {
        (config.hold << self.flaps.min(MAX_FLAPS)).min(config.max_hold)
    }

    /// Makes the changes that are due by time alone.
    pub(crate) fn advance(&mut self, now: Micros, config: &Config) -> Report {
        let elapsed = now.saturating_sub(self.since);
        let listed = !self.drained && !self.has_no_ready_nodes();
        match self.phase {
            Phase::Dark if elapsed >= PATH_REPORT_AFTER && !self.path_reported && listed => {
                self.path_reported = true;
                Some((Phase::Dark, "the endpoint list still has ready nodes: the path from here may be cut"))
            }
            Phase::Held if elapsed >= self.hold(config) => {
                self.enter_phase(now, Phase::Ramp, "the hold has ended")
            }
            Phase::Ramp if elapsed >= config.ramp => {
                self.enter_phase(now, Phase::Home, "the recovery ramp has ended")
            }
            Phase::Home if self.flaps > 0 && elapsed >= config.flap_decay => {
                self.flaps -= 1;
                self.since = now;
                None
            }
            _ => None,
        }
    }
}
