//! The policy as typed data. Where a key of the written policy differs from the field's name, an attribute maps it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of conditions in a policy; bounded because every combination of them is verified.
pub const MAX_CONDITIONS: usize = 8;
/// Maximum number of rules in a policy.
pub const MAX_RULES: usize = 256;

pub(crate) const MINUTES_PER_DAY: u16 = 24 * 60;

/// Whether a minute of the day lies in a range that includes `from` and excludes `to`. If `from` is greater than `to`,
/// the range spans midnight.
pub(crate) fn minute_in_range(minute: u16, from: u16, to: u16) -> bool {
    if from <= to {
        (from..to).contains(&minute)
    } else {
        minute >= from || minute < to
    }
}

/// The connections available at a group of servers, and the timing of their allocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The zone whose servers form the group; none: the servers of all zones that have no budget of their own.
    pub zone: Option<String>,
    /// Connections that each server of the group accepts from all gateways together.
    pub connections: u32,
    /// The servers' own limit: a server closes a connection that has been idle for this long, milliseconds. Connections
    /// of a stopped gateway are known to be closed only after this time.
    pub idle_ms: u64,
    /// Longest duration of a request, milliseconds; when it has passed, the gateway closes the request's connection.
    #[serde(default = "default_attempt_ms")]
    pub attempt_ms: u64,
    /// Interval of allocation rounds, milliseconds.
    #[serde(rename = "turn_ms", default = "default_rotation_ms")]
    pub rotation_ms: u64,
}

impl Budget {
    /// How long a gateway keeps an idle connection at most, milliseconds. It is shorter than the server's limit, so
    /// that no request is sent on a connection that the server is just closing.
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

/// Selects the tenant classes and groups that a rule applies to: every list must match. An empty list of tenants or
/// plans matches all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Names of tenants.
    pub tenants: BTreeSet<String>,
    /// Plans of tenants.
    pub plans: BTreeSet<String>,
    /// Classes of requests. A class that any rule names gets a share of its own; a rule with an empty list applies to
    /// the share that the tenant's other classes have together.
    pub classes: BTreeSet<String>,
    /// Zones of groups. An empty list matches every group; a group without a zone is matched by an empty list only.
    pub zones: BTreeSet<String>,
}

/// The part of a floor that others may use while its tenant class has no demand for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loan {
    /// Maximum number of connections that may be lent.
    #[serde(rename = "up_to")]
    pub max_connections: u32,
    /// Time within which recalled connections are available to the lender again, milliseconds.
    #[serde(rename = "back_ms")]
    pub recall_ms: u64,
}

/// The terms that a rule sets; a later rule overrides an earlier one, field by field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TermOverrides {
    /// Connections at the group that the tenant class gets whenever it has demand for them.
    pub floor: Option<u32>,
    /// Weight by which the connections beyond the floors are divided; 0: the tenant class gets its floor only.
    pub weight: Option<u32>,
    /// Maximum number of connections.
    pub ceiling: Option<u32>,
    /// When the servers have fewer connections than the sum of all floors, the floors with the highest number here are
    /// reduced first.
    #[serde(rename = "give_up")]
    pub shed_order: Option<u8>,
    /// The part of the floor that may be lent while the tenant class has no demand for it.
    #[serde(rename = "lend")]
    pub loan: Option<Loan>,
    /// The part of the floor, in connections, that gateways may open without a lease. They are spread evenly over all
    /// gateways, and a remainder goes to gateways chosen by hash. They are never lent, and never granted to another
    /// gateway while the first could still be using them.
    #[serde(rename = "ground")]
    pub fallback: Option<u32>,
}

/// Sets terms for the tenant classes and groups that it selects, while its conditions are met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, by which messages refer to the rule.
    pub name: String,
    /// The tenant classes and groups that the rule applies to.
    #[serde(default)]
    pub select: Selector,
    /// Conditions that must all be active; `!name` requires that the condition `name` is not active.
    #[serde(default)]
    pub when: BTreeSet<String>,
    /// The terms that the rule sets.
    #[serde(rename = "set")]
    pub overrides: TermOverrides,
}

/// A condition of the fleet. It becomes active, or ends, only after the observations have called for that for a minimum
/// time, which limits how fast it can flap; the time of day takes effect at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Condition {
    /// A zone is unavailable.
    #[serde(rename = "zone_dark")]
    ZoneUnavailable {
        /// Name of the zone.
        zone: String,
        /// How long the zone must be unavailable before the condition becomes active, milliseconds.
        #[serde(rename = "for_ms")]
        begin_after_ms: u64,
        /// How long the zone must be available again before the condition ends, milliseconds.
        #[serde(rename = "over_ms")]
        end_after_ms: u64,
    },
    /// No quorum of the replicas can be reached.
    #[serde(rename = "keepers_unreachable")]
    QuorumUnreachable {
        /// How long no quorum must be reachable before the condition becomes active, milliseconds.
        #[serde(rename = "for_ms")]
        begin_after_ms: u64,
        /// How long a quorum must be reachable again before the condition ends, milliseconds.
        #[serde(rename = "over_ms")]
        end_after_ms: u64,
    },
    /// The share of a budget's connections that is in use is above a percentage.
    #[serde(rename = "use_over")]
    UsageAbove {
        /// Name of the budget.
        budget: String,
        /// The condition becomes active when usage is above this percentage for `begin_after_ms`.
        percent: u8,
        /// How long usage must be above `percent`, milliseconds.
        #[serde(rename = "for_ms")]
        begin_after_ms: u64,
        /// The condition ends when usage is below this percentage for `end_after_ms`.
        #[serde(rename = "under_percent")]
        end_below_percent: u8,
        /// How long usage must be below `end_below_percent`, milliseconds.
        #[serde(rename = "over_ms")]
        end_after_ms: u64,
    },
    /// The time of day in UTC is within a range, which may span midnight.
    #[serde(rename = "hours")]
    TimeOfDay {
        /// First minute of the range, counted from midnight.
        #[serde(rename = "from_min")]
        from_minute: u16,
        /// First minute after the range, counted from midnight.
        #[serde(rename = "to_min")]
        to_minute: u16,
    },
}

/// The policy of connection budgets: how the connections of each group are divided among tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Budgets by name.
    pub budgets: BTreeMap<String, Budget>,
    /// Conditions by name.
    pub conditions: BTreeMap<String, Condition>,
    /// Rules in the order in which they are applied: a later one overrides an earlier one.
    pub rules: Vec<Rule>,
}

impl Policy {
    /// Name and budget of the group that the servers of a zone belong to; none if the zone's servers have no budget.
    pub fn budget_for_zone(&self, zone: &str) -> Option<(&str, &Budget)> {
        let find =
            |zone: Option<&str>| self.budgets.iter().find(|(_, budget)| budget.zone.as_deref() == zone);
        find(Some(zone)).or_else(|| find(None)).map(|(name, budget)| (name.as_str(), budget))
    }
}
