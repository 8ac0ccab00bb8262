//! Findings of the verification. Their texts are sent to editors: they are part of the wire format.

use std::cmp::Ordering;
use std::fmt;

/// A place in the policy, and what is wrong there.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct PolicyError {
    /// Path of the setting, as `rules[3].set.floor`.
    pub path: String,
    /// What is wrong.
    pub reason: PolicyProblem,
}

impl PolicyError {
    pub(crate) fn new(path: impl Into<String>, reason: PolicyProblem) -> PolicyError {
        PolicyError { path: path.into(), reason }
    }
}

impl Ord for PolicyError {
    fn cmp(&self, other: &PolicyError) -> Ordering {
        (&self.path, self.reason.to_string()).cmp(&(&other.path, other.reason.to_string()))
    }
}

impl PartialOrd for PolicyError {
    fn partial_cmp(&self, other: &PolicyError) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What a name in a policy stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    /// A tenant.
    Tenant,
    /// A plan.
    Plan,
    /// A class.
    Class,
    /// A zone.
    Zone,
    /// A condition of the policy.
    Condition,
    /// A budget of the policy.
    Budget,
}

impl fmt::Display for NameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NameKind::Tenant => "tenant",
            NameKind::Plan => "plan",
            NameKind::Class => "class",
            NameKind::Zone => "zone",
            NameKind::Condition => "condition",
            NameKind::Budget => "budget",
        })
    }
}

/// What is wrong with a setting of a policy. `when` names the combination of conditions under which it is so; rules are
/// described by index and name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyProblem {
    /// A list has more entries than allowed.
    #[error("are {count}, {max} at most")]
    TooMany {
        /// Entries.
        count: usize,
        /// Entries allowed.
        max: usize,
    },
    /// A budget has no connections, or too many.
    #[error("is {connections}, 1 to {max} may be")]
    ConnectionsOutOfRange {
        /// Connections of one server.
        connections: u32,
        /// Connections allowed.
        max: u32,
    },
    /// A figure is too large.
    #[error("is {value}, {max} at most")]
    AboveMaximum {
        /// The figure.
        value: u64,
        /// The largest allowed.
        max: u64,
    },
    /// A duration is zero.
    #[error("is zero")]
    ZeroDuration,
    /// The idle limit is zero.
    #[error("is zero: what a stopped gateway held would never be free")]
    ZeroIdleLimit,
    /// A condition has no name, or one that reads as a negation.
    #[error("a name is not empty and does not begin with !")]
    InvalidConditionName,
    /// A usage condition ends at or above the mark where it begins.
    #[error("is not under percent: it would flap")]
    NoHysteresis,
    /// A time of day is past midnight.
    #[error("minutes from midnight are under 1440")]
    MinuteOutOfRange,
    /// A time of day never begins.
    #[error("begin and end in the same minute")]
    EmptyTimeOfDay,
    /// Two rules have the same name.
    #[error("'{name}' is that of rules[{first}] too")]
    DuplicateRuleName {
        /// The name.
        name: String,
        /// Index of the first rule of that name.
        first: usize,
    },
    /// A rule sets nothing.
    #[error("is empty")]
    NoOverrides,
    /// A loan has to be recalled in no time.
    #[error("is zero: {connections} connections cannot be back at once")]
    ZeroRecallTime {
        /// Connections that may be lent.
        connections: u32,
    },
    /// Nothing has this name.
    #[error("there is no {kind} '{name}'")]
    UnknownName {
        /// What it should name.
        kind: NameKind,
        /// The name.
        name: String,
    },
    /// Two budgets are for the same zone.
    #[error("is that of '{other}' too: a server has one budget")]
    DuplicateZone {
        /// The other budget.
        other: String,
    },
    /// A budget is for no server.
    #[error("has no servers")]
    NoServers,
    /// A rule applies to nobody.
    #[error("'{rule}' is for nobody: no tenant, class and group fit it")]
    UnmatchedRule {
        /// Its name.
        rule: String,
    },
    /// The conditions of a rule never hold together.
    #[error("'{rule}' never holds: its conditions exclude each other")]
    ContradictoryRule {
        /// Its name.
        rule: String,
    },
    /// Later rules override all that a rule sets.
    #[error("'{rule}' changes nothing: later rules set all that it sets, whenever it holds")]
    OverriddenRule {
        /// Its name.
        rule: String,
    },
    /// Fallback permits and loan together exceed the floor.
    #[error(
        "ground {fallback} and lend {lent} of {tenant} at '{budget}' are over its floor {floor}, by {floor_rule} and \
         {rule}, {when}"
    )]
    ReservedAboveFloor {
        /// Fallback permits.
        fallback: u32,
        /// Connections that may be lent.
        lent: u32,
        /// Whose.
        tenant: String,
        /// At which budget.
        budget: String,
        /// Its floor.
        floor: u32,
        /// The rule of the floor.
        floor_rule: String,
        /// The rule of the fallback permits, or else of the loan.
        rule: String,
        /// Under which conditions.
        when: String,
    },
    /// A loan cannot be recalled so fast.
    #[error("is {recall_ms}, at '{budget}' a turn and an attempt take {soonest_ms}: it could not be kept")]
    RecallTooFast {
        /// The time that the rule sets, milliseconds.
        recall_ms: u64,
        /// At which budget.
        budget: String,
        /// The shortest possible time, milliseconds.
        soonest_ms: u64,
    },
    /// A ceiling is under the floor.
    #[error("{ceiling} is under the floor {floor} of {tenant} at '{budget}', by {floor_rule} and {ceiling_rule}, {when}")]
    CeilingBelowFloor {
        /// The ceiling.
        ceiling: u32,
        /// The floor.
        floor: u32,
        /// Whose.
        tenant: String,
        /// At which budget.
        budget: String,
        /// The rule of the floor.
        floor_rule: String,
        /// The rule of the ceiling.
        ceiling_rule: String,
        /// Under which conditions.
        when: String,
    },
    /// The floors exceed the budget.
    #[error("floors at '{budget}' add up to {sum}, it has {connections}, {when}: {largest}")]
    FloorsAboveBudget {
        /// Which budget.
        budget: String,
        /// Sum of the floors.
        sum: u64,
        /// What the budget has.
        connections: u64,
        /// Under which conditions.
        when: String,
        /// The rules that add most, with what they add.
        largest: String,
    },
}
