//! One zone's health, from what this gateway sees: the list, outcomes, checks.

use crate::{AttemptOutcome, Config, Micros, Node};
use std::collections::{BTreeMap, BTreeSet};

/// Memory of a zone's usual size, microseconds: a fleet made smaller for good is the usual after this.
const USUAL: f64 = 60e6;
/// A zone dark for this long though the list has its nodes, microseconds: over any lag of the list seen, so that
/// it is the path from here, or a service behind the nodes' backs, that fails.
const LISTED_ALL_THE_WHILE: Micros = 10_000_000;
/// Nodes checked at a time.
const CHECKED: usize = 3;

/// What a zone is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In use.
    Home,
    /// Nothing goes there but checks.
    Dark,
    /// It answers checks, and is not trusted yet.
    Held,
    /// On its way back.
    Ramp,
}

/// A zone's health.
#[derive(Clone, Debug)]
pub struct Health {
    phase: Phase,
    /// Dead ends in a row that make it dark; see [`Config::failures_to_dark`].
    failures_to_dark: u32,
    since: Micros,
    flaps: u32,
    /// Nodes that the list calls ready, with their starts.
    ready: BTreeMap<u64, Micros>,
    /// Of these, the ones whose last word was a dead end.
    dead: BTreeSet<u64>,
    row: u32,
    row_nodes: BTreeSet<u64>,
    row_at: Micros,
    good: u32,
    tried: bool,
    usual: f64,
    usual_at: Micros,
    checked: Micros,
    next: usize,
    listed: bool,
    drained: bool,
    told: bool,
}

type Changed = Option<(Phase, &'static str)>;

impl Health {
    /// At home.
    pub(crate) fn new(now: Micros, failures_to_dark: u32) -> Health {
        Health {
            phase: Phase::Home,
            failures_to_dark,
            since: now,
            flaps: 0,
            ready: BTreeMap::new(),
            dead: BTreeSet::new(),
            row: 0,
            row_nodes: BTreeSet::new(),
            row_at: 0,
            good: 0,
            tried: false,
            usual: 0.0,
            usual_at: now,
            checked: 0,
            next: 0,
            listed: false,
            drained: false,
            told: false,
        }
    }

    /// What it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Since when.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// The list has ever had nodes of it.
    pub fn ever_listed(&self) -> bool {
        self.listed
    }

    /// The list has none of its nodes.
    pub fn has_no_ready_nodes(&self) -> bool {
        self.ready.is_empty()
    }

    /// What was tried there of late kept failing, though the list has nodes of it.
    pub fn looks_unreachable(&self) -> bool {
        self.row >= self.failures_to_dark || !self.ready.is_empty() && self.dead.len() == self.ready.len()
    }

    /// Nodes that the list calls ready.
    pub fn ready_nodes(&self) -> usize {
        self.ready.len()
    }

    /// Its usual number of nodes.
    pub fn usual_nodes(&self) -> f64 {
        self.usual
    }

    /// Capacity there, in warm nodes over the usual number.
    pub fn healthy_share(&self, now: Micros, slow_start: (Micros, f64)) -> f64 {
        let ramp = |started: Micros| {
            if started == 0 || slow_start.0 == 0 {
                return 1.0;
            }
            let up = now.saturating_sub(started) as f64 / slow_start.0 as f64;
            (slow_start.1 + (1.0 - slow_start.1) * up).min(1.0)
        };
        let there = self.ready.iter().filter(|(id, _)| !self.dead.contains(id)).map(|(_, s)| ramp(*s));
        if self.usual > 0.0 {
            there.sum::<f64>() / self.usual
        } else {
            0.0
        }
    }

    fn turn(&mut self, now: Micros, phase: Phase, reason: &'static str) -> Changed {
        if self.phase == phase {
            return None;
        }
        self.phase = phase;
        self.since = now;
        self.told = false;
        self.good = 0;
        Some((phase, reason))
    }

    /// Goes dark; a zone that had come back, or was coming, flaps.
    fn lose(&mut self, now: Micros, reason: &'static str) -> Changed {
        if matches!(self.phase, Phase::Ramp | Phase::Held) {
            self.flaps = (self.flaps + 1).min(16);
        }
        self.turn(now, Phase::Dark, reason)
    }

    pub(crate) fn set_nodes<'a>(&mut self, now: Micros, nodes: impl Iterator<Item = &'a Node>) -> Changed {
        let before = std::mem::take(&mut self.ready);
        self.ready = nodes.filter(|n| n.ready).map(|n| (n.id, n.started)).collect();
        // A node that started anew is not judged by its earlier life.
        self.dead.retain(|id| self.ready.get(id).is_some_and(|s| before.get(id) == Some(s)));
        let fade = (-(now.saturating_sub(self.usual_at) as f64) / USUAL).exp();
        let size = self.ready.len() as f64;
        self.usual = if size >= self.usual { size } else { size + (self.usual - size) * fade };
        self.usual_at = now;
        self.listed |= !self.ready.is_empty();
        if self.drained || !self.listed {
            return None;
        }
        if self.ready.is_empty() {
            self.row = self.failures_to_dark;
            return self.lose(now, "the list has none of its nodes");
        }
        // New nodes in place of dead ones: what is known of the old says nothing of them.
        if before.is_empty() && self.phase == Phase::Dark {
            self.row = 0;
        }
        None
    }

    pub(crate) fn drained(&mut self, now: Micros, drained: bool) -> Changed {
        self.drained = drained;
        if drained {
            return self.turn(now, Phase::Dark, "staff took it out of use");
        }
        self.turn(now, Phase::Ramp, "staff gave it back")
    }

    pub(crate) fn record_outcome(
        &mut self,
        now: Micros,
        node: u64,
        sent: Micros,
        end: AttemptOutcome,
        config: &Config,
    ) -> Changed {
        if !self.ready.contains_key(&node) {
            return None;
        }
        match end {
            AttemptOutcome::Inconclusive => return None,
            AttemptOutcome::Answered => {
                self.dead.remove(&node);
                self.row = 0;
                self.row_nodes.clear();
                self.tried = true;
                self.good += 1;
                if self.phase == Phase::Dark && !self.drained && self.good >= config.checks_to_leave_dark {
                    return self.turn(now, Phase::Held, "its nodes answer checks");
                }
            }
            AttemptOutcome::Failed => {
                self.good = 0;
                self.dead.insert(node);
                // Sent before the last dead end was known: no new sign.
                if self.row > 0 && sent < self.row_at {
                    return None;
                }
                self.row += 1;
                self.row_at = now;
                self.row_nodes.insert(node);
                let several = self.row_nodes.len() >= 2.min(self.ready.len());
                let all = self.dead.len() == self.ready.len();
                // A zone that is coming back goes at the first sign: its nodes are cold, and few requests out.
                let fragile = matches!(self.phase, Phase::Ramp | Phase::Held) && self.row >= 2;
                if several
                    && (self.row >= self.failures_to_dark || all && self.row >= 2.min(self.failures_to_dark))
                    || fragile
                {
                    return self.lose(now, "what is sent there keeps failing");
                }
            }
        }
        None
    }

    pub(crate) fn due_checks(&mut self, now: Micros, every: Micros) -> Vec<u64> {
        if !matches!(self.phase, Phase::Dark | Phase::Held) || now < self.checked + every {
            return vec![];
        }
        self.checked = now;
        let n = self.ready.len();
        let some = (0..CHECKED.min(n)).filter_map(|k| self.ready.keys().nth((self.next + k) % n).copied());
        let some = some.collect();
        self.next = self.next.wrapping_add(CHECKED);
        some
    }

    /// The hold after so many flaps.
    fn hold(&self, config: &Config) -> Micros {
        (config.hold << self.flaps.min(16)).min(config.max_hold)
    }

    pub(crate) fn advance(&mut self, now: Micros, config: &Config) -> Changed {
        let age = now.saturating_sub(self.since);
        match self.phase {
            Phase::Dark
                if age >= LISTED_ALL_THE_WHILE
                    && !self.told
                    && !self.drained
                    && !self.has_no_ready_nodes() =>
            {
                self.told = true;
                Some((Phase::Dark, "the list has its nodes all the while: the path from here may be cut"))
            }
            Phase::Held if age >= self.hold(config) => self.turn(now, Phase::Ramp, "the hold is over"),
            Phase::Ramp if age >= config.ramp => self.turn(now, Phase::Home, "the ramp is done"),
            Phase::Home if self.flaps > 0 && age >= config.flap_decay => {
                self.flaps -= 1;
                self.since = now;
                None
            }
            _ => None,
        }
    }
}
