//! Tracks which conditions of a policy are active, from observations and with hysteresis.

use crate::policy::{minute_in_range, Condition, Policy};
use std::collections::{BTreeMap, BTreeSet};

const MICROS_PER_MILLI: u64 = 1_000;

/// The state of the fleet at one time, as far as conditions depend on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Zones that are unavailable.
    pub unavailable_zones: BTreeSet<String>,
    /// Whether a quorum of the replicas can be reached.
    pub quorum_reachable: bool,
    /// Percentage of each budget's connections that is in use. A budget whose usage is unknown is left out; conditions
    /// on it keep their state.
    pub usage_percent: BTreeMap<String, u8>,
    /// Minutes since midnight, UTC.
    pub minute_of_day: u16,
}

/// State of one condition.
#[derive(Clone, Copy, Debug, Default)]
struct Tracked {
    active: bool,
    /// Time since which all observations have contradicted `active`, microseconds; none: the last one agreed with it.
    contradicted_since: Option<u64>,
}

/// The state of a condition that follows from one observation.
struct Finding {
    active: bool,
    /// How long observations must lead to this finding before the condition's state changes, milliseconds.
    must_last_ms: u64,
}

/// The state of each condition of a policy, by name.
#[derive(Clone, Debug, Default)]
pub struct ConditionTracker(BTreeMap<String, Tracked>);

impl ConditionTracker {
    /// Updates the conditions by an observation; returns whether any of them became active or ended. `now` is in
    /// microseconds on any monotonic clock.
    pub fn observe(&mut self, now: u64, policy: &Policy, observation: &Observation) -> bool {
        self.0.retain(|name, _| policy.conditions.contains_key(name));
        let mut changed = false;
        for (name, condition) in &policy.conditions {
            let tracked = self.0.entry(name.clone()).or_default();
            let Some(finding) = evaluate(condition, observation, tracked.active) else { continue };
            if finding.active == tracked.active {
                tracked.contradicted_since = None;
                continue;
            }
            let since = *tracked.contradicted_since.get_or_insert(now);
            if now.saturating_sub(since) >= finding.must_last_ms.saturating_mul(MICROS_PER_MILLI) {
                *tracked = Tracked { active: finding.active, contradicted_since: None };
                changed = true;
            }
        }
        changed
    }

    /// A tracker in which these conditions are already active, for instance as another tracker has left them.
    pub fn with_active(active: &BTreeSet<String>) -> ConditionTracker {
        let tracked = Tracked { active: true, contradicted_since: None };
        ConditionTracker(active.iter().map(|name| (name.clone(), tracked)).collect())
    }

    /// Names of the active conditions.
    pub fn active(&self) -> BTreeSet<String> {
        self.0.iter().filter(|(_, tracked)| tracked.active).map(|(name, _)| name.clone()).collect()
    }
}

/// The state of a condition that follows from an observation; none if the observation has no value for it.
fn evaluate(condition: &Condition, observation: &Observation, active_now: bool) -> Option<Finding> {
    let (active, begin_after_ms, end_after_ms) = match condition {
        Condition::ZoneUnavailable { zone, begin_after_ms, end_after_ms } => {
            (observation.unavailable_zones.contains(zone), *begin_after_ms, *end_after_ms)
        }
        Condition::QuorumUnreachable { begin_after_ms, end_after_ms } => {
            (!observation.quorum_reachable, *begin_after_ms, *end_after_ms)
        }
        Condition::UsageAbove { budget, percent, begin_after_ms, end_below_percent, end_after_ms } => {
            let usage = *observation.usage_percent.get(budget)?;
            // While usage is between the two percentages, the condition keeps its state.
            let active = if active_now { usage >= *end_below_percent } else { usage > *percent };
            (active, *begin_after_ms, *end_after_ms)
        }
        Condition::TimeOfDay { from_minute, to_minute } => {
            (minute_in_range(observation.minute_of_day, *from_minute, *to_minute), 0, 0)
        }
    };
    Some(Finding { active, must_last_ms: if active { begin_after_ms } else { end_after_ms } })
}
