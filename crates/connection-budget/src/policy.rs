//! The policy as typed data. Names in the settings that differ are mapped here.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Conditions at most: each combination of them is checked.
pub const MAX_CONDITIONS: usize = 8;
/// Rules at most.
pub const MAX_RULES: usize = 256;

/// Minutes of a day.
pub(crate) const MINUTES_PER_DAY: u16 = 24 * 60;

/// Whether a minute of the day lies in a range from a minute on and before another, which may lie on the next day.
pub(crate) fn minute_in_range(minute: u16, from: u16, to: u16) -> bool {
    if from <= to {
        (from..to).contains(&minute)
    } else {
        minute >= from || minute < to
    }
}

/// Connections at a group of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The group's zone; none: all servers that no other group has.
    pub zone: Option<String>,
    /// Connections that each of its servers holds from the whole fleet.
    pub connections: u32,
    /// A server closes a connection that has been idle for so long, milliseconds: what a stopped gateway held is free
    /// only after it.
    pub idle_ms: u64,
    /// A request may take so long at most, milliseconds: gateways close its connection then.
    #[serde(default = "default_attempt_ms")]
    pub attempt_ms: u64,
    /// Interval of allocation rounds, milliseconds.
    #[serde(rename = "turn_ms", default = "default_rotation_ms")]
    pub rotation_ms: u64,
}

impl Budget {
    /// How long a gateway keeps an idle connection at most, milliseconds: less than the server does, so that none goes
    /// out just as the server closes it.
    pub fn gateway_idle_limit_ms(&self) -> u64 {
        self.idle_ms - self.idle_ms / 4
    }
}

fn default_attempt_ms() -> u64 {
    30_000
}

fn default_rotation_ms() -> u64 {
    1_000
}

/// Whom a rule is for: all that it names must fit, an empty list fits all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Tenants by name.
    pub tenants: BTreeSet<String>,
    /// Tenants by plan.
    pub plans: BTreeSet<String>,
    /// Classes; a class that any rule names has shares of its own.
    pub classes: BTreeSet<String>,
    /// Zones of groups.
    pub zones: BTreeSet<String>,
}

/// What may be lent of a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loan {
    /// Connections at most.
    #[serde(rename = "up_to")]
    pub max_connections: u32,
    /// Recalled, they are back within this, milliseconds.
    #[serde(rename = "back_ms")]
    pub recall_ms: u64,
}

/// What a rule sets; a later rule overrides an earlier one, field by field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TermOverrides {
    /// Connections at the group that are this tenant's whenever it wants them.
    pub floor: Option<u32>,
    /// Its weight in what is over floors; 0: nothing of that.
    pub weight: Option<u32>,
    /// Connections at most.
    pub ceiling: Option<u32>,
    /// When servers are fewer than the floors need, higher numbers lose theirs first.
    #[serde(rename = "give_up")]
    pub shed_order: Option<u8>,
    /// What may be lent of the floor while it is not wanted.
    #[serde(rename = "lend")]
    pub loan: Option<Loan>,
    /// Of the floor, connections that gateways may open without a lease: spread evenly
    /// over all of them, the rest by hash. Never lent, and never moved while a gateway could still be using them.
    #[serde(rename = "ground")]
    pub fallback: Option<u32>,
}

/// A rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name: terms tell which rules set them.
    pub name: String,
    /// Whom it is for.
    #[serde(default)]
    pub select: Selector,
    /// Conditions that must all be active; `!name`: must not be.
    #[serde(default)]
    pub when: BTreeSet<String>,
    /// What it sets.
    #[serde(rename = "set")]
    pub overrides: TermOverrides,
}

/// A condition. It becomes active, and ends, only after what is observed has lasted for a time, so that it cannot flap
/// faster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Condition {
    /// A zone is unavailable.
    #[serde(rename = "zone_dark")]
    ZoneUnavailable {
        /// Which.
        zone: String,
        /// It must be so for this long, milliseconds.
        #[serde(rename = "for_ms")]
        begin_after_ms: u64,
        /// It must be over for this long, milliseconds.
        #[serde(rename = "over_ms")]
        end_after_ms: u64,
    },
    /// No quorum of the replicas can be reached.
    #[serde(rename = "keepers_unreachable")]
    QuorumUnreachable {
        /// It must be so for this long, milliseconds.
        #[serde(rename = "for_ms")]
        begin_after_ms: u64,
        /// It must be over for this long, milliseconds.
        #[serde(rename = "over_ms")]
        end_after_ms: u64,
    },
    /// More of a budget is in use than a percentage.
    #[serde(rename = "use_over")]
    UsageAbove {
        /// Which budget.
        budget: String,
        /// It begins above this percentage...
        percent: u8,
        /// ...for this long, milliseconds.
        #[serde(rename = "for_ms")]
        begin_after_ms: u64,
        /// It ends below this percentage...
        #[serde(rename = "under_percent")]
        end_below_percent: u8,
        /// ...for this long, milliseconds.
        #[serde(rename = "over_ms")]
        end_after_ms: u64,
    },
    /// The time of day, UTC, from a minute on and before another; the second may lie on the next day.
    #[serde(rename = "hours")]
    TimeOfDay {
        /// Minutes from midnight.
        #[serde(rename = "from_min")]
        from_minute: u16,
        /// Minutes from midnight.
        #[serde(rename = "to_min")]
        to_minute: u16,
    },
}

/// A policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Budgets by name.
    pub budgets: BTreeMap<String, Budget>,
    /// Conditions by name.
    pub conditions: BTreeMap<String, Condition>,
    /// Rules, in order.
    pub rules: Vec<Rule>,
}

impl Policy {
    /// The budget of a server in a zone.
    pub fn budget_for_zone(&self, zone: &str) -> Option<(&str, &Budget)> {
        let with = |z: Option<&str>| self.budgets.iter().find(|(_, b)| b.zone.as_deref() == z);
        with(Some(zone)).or_else(|| with(None)).map(|(name, b)| (name.as_str(), b))
    }
}
