//! The problems that the verification can find. Their texts are sent to the people who edit a policy.

use std::cmp::Ordering;
use std::fmt;

/// A problem of a policy, with the path of the setting that causes it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct PolicyError {
    /// Path of the setting, such as `rules[3].set.floor`.
    pub path: String,
    /// The problem that the setting causes.
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

/// The kind of thing that a name in a policy refers to.
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

/// A problem of a setting in a policy. Where a variant has the field `when`, it describes the combination of conditions
/// under which the problem arises, such as `when no condition is active`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyProblem {
    /// A list has more entries than allowed.
    #[error("are {count}, but at most {max} are allowed")]
    TooMany {
        /// Number of entries.
        count: usize,
        /// Largest allowed number of entries.
        max: usize,
    },
    /// A budget has no connections, or too many.
    #[error("is {connections}, but must be from 1 to {max}")]
    ConnectionsOutOfRange {
        /// Connections of each server of the budget.
        connections: u32,
        /// Largest allowed number of connections.
        max: u32,
    },
    /// A figure is too large.
    #[error("is {value}, but must be at most {max}")]
    AboveMaximum {
        /// The figure, in the unit of the setting.
        value: u64,
        /// The largest allowed figure.
        max: u64,
    },
    /// The longest duration of a request or the interval of allocation rounds is zero.
    #[error("is 0, but must be greater than 0")]
    ZeroDuration,
    /// The servers' idle limit is zero.
    #[error(
        "is 0, but must be greater than 0: without an idle limit of the servers, connections of a stopped gateway would \
         never become free"
    )]
    ZeroIdleLimit,
    /// The name of a condition is empty, or begins as a negation does.
    #[error(
        "the name of a condition must not be empty and must not begin with '!', which negates a condition"
    )]
    InvalidConditionName,
    /// A usage condition does not end at a lower percentage than it begins.
    #[error("must be less than percent, or the condition would flap")]
    NoHysteresis,
    /// A time of day is not a minute of the day.
    #[error("from_min must be at most 1439 and to_min at most 1440, in minutes from midnight")]
    MinuteOutOfRange,
    /// A time of day begins and ends in the same minute, so it is never active.
    #[error("from_min and to_min are the same minute, so the condition would never be active")]
    EmptyTimeOfDay,
    /// Two rules have the same name.
    #[error("'{name}' is already the name of rules[{previous}]")]
    DuplicateRuleName {
        /// The name of both rules.
        name: String,
        /// Index of the previous rule of that name.
        previous: usize,
    },
    /// A rule sets no term.
    #[error("is empty, but a rule must set at least one term")]
    NoOverrides,
    /// A loan allows connections to be lent, but no time to recall them.
    #[error("is 0, but must be greater than 0: {connections} connections may be lent and cannot be recalled at once")]
    ZeroRecallTime {
        /// Connections that may be lent.
        connections: u32,
    },
    /// A name refers to nothing that exists.
    #[error("there is no {kind} '{name}'")]
    UnknownName {
        /// The kind of thing that the name should refer to.
        kind: NameKind,
        /// The unknown name.
        name: String,
    },
    /// Two budgets are for the same zone, or both have none.
    #[error("is the same as that of budget '{other}', but each server must have only one budget")]
    DuplicateZone {
        /// Name of the other budget.
        other: String,
    },
    /// No server that accepts requests belongs to a budget.
    #[error("the budget has no servers")]
    NoServers,
    /// The selector of a rule matches no tenant class at any group.
    #[error("'{rule}' selects nothing: no tenant, class and group match its selector")]
    UnmatchedRule {
        /// Name of the rule.
        rule: String,
    },
    /// The conditions of a rule are never met together.
    #[error("'{rule}' never applies: its conditions exclude each other")]
    ContradictoryRule {
        /// Name of the rule.
        rule: String,
    },
    /// Later rules override all that a rule sets.
    #[error("'{rule}' has no effect: whenever it applies, later rules override all that it sets")]
    OverriddenRule {
        /// Name of the rule.
        rule: String,
    },
    /// Fallback permits and loan together exceed the floor.
    #[error(
        "ground {fallback} and lend.up_to {lent} of tenant '{tenant}' at budget '{budget}' together exceed its floor \
         {floor}, {when}: {floor_rule} sets the floor, {rule} sets ground or lend"
    )]
    ReservedAboveFloor {
        /// Fallback permits of the tenant class.
        fallback: u32,
        /// Connections that may be lent.
        lent: u32,
        /// Name of the tenant.
        tenant: String,
        /// Name of the budget.
        budget: String,
        /// Floor of the tenant class, connections.
        floor: u32,
        /// The rule that sets the floor, by index and name, or `no rule`.
        floor_rule: String,
        /// The rule that sets the fallback permits or, if none does, the loan; by index and name.
        rule: String,
        /// The combination of conditions.
        when: String,
    },
    /// A loan cannot be recalled in the time that its rule allows.
    #[error(
        "is {recall_ms}, but must be at least {soonest_ms}: at budget '{budget}' a recall can take turn_ms and \
         attempt_ms together"
    )]
    RecallTooFast {
        /// The time that the rule allows, milliseconds.
        recall_ms: u64,
        /// Name of the budget.
        budget: String,
        /// The shortest time that can be kept, milliseconds.
        soonest_ms: u64,
    },
    /// A ceiling is below the floor.
    #[error(
        "{ceiling} is below the floor {floor} of tenant '{tenant}' at budget '{budget}', {when}: {floor_rule} sets the \
         floor, {ceiling_rule} sets the ceiling"
    )]
    CeilingBelowFloor {
        /// Ceiling of the tenant class, connections.
        ceiling: u32,
        /// Floor of the tenant class, connections.
        floor: u32,
        /// Name of the tenant.
        tenant: String,
        /// Name of the budget.
        budget: String,
        /// The rule that sets the floor, by index and name, or `no rule`.
        floor_rule: String,
        /// The rule that sets the ceiling, by index and name.
        ceiling_rule: String,
        /// The combination of conditions.
        when: String,
    },
    /// The sum of the floors exceeds the connections of a budget.
    #[error(
        "floors at budget '{budget}' add up to {sum}, but its servers have {connections} connections, {when}; the \
         largest sums are set by {largest}"
    )]
    FloorsAboveBudget {
        /// Name of the budget.
        budget: String,
        /// Sum of the floors, connections.
        sum: u64,
        /// Connections of all servers of the budget.
        connections: u64,
        /// The combination of conditions.
        when: String,
        /// The rules that set the largest sums of floors, each by index and name, with its sum.
        largest: String,
    },
}
