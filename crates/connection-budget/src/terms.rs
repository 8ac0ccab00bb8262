//! The terms (floor, weight, ceiling and others) that a policy's rules set for a tenant class at a group of servers.

use crate::policy::{Loan, TermOverrides};

/// Index of the rule that set each term; none: no rule set it, and the term has its default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermSources {
    /// Rule of the floor.
    pub floor: Option<usize>,
    /// Rule of the weight.
    pub weight: Option<usize>,
    /// Rule of the ceiling.
    pub ceiling: Option<usize>,
    /// Rule of the shed order.
    pub shed_order: Option<usize>,
    /// Rule of the loan.
    pub loan: Option<usize>,
    /// Rule of the fallback permits.
    pub fallback: Option<usize>,
}

impl TermSources {
    /// Indices of the rules that set at least one term; an index is repeated for each term that its rule sets.
    pub(crate) fn rules(&self) -> impl Iterator<Item = usize> {
        [self.floor, self.weight, self.ceiling, self.shed_order, self.loan, self.fallback]
            .into_iter()
            .flatten()
    }
}

/// The terms of a tenant class at a group of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Connections that the tenant class gets whenever it has demand for them, whatever the others demand.
    pub floor: u32,
    /// Weight by which the connections beyond the floors are divided; with 0 it gets its floor only.
    pub weight: u32,
    /// Maximum number of connections; none: limited by the budget only.
    pub ceiling: Option<u32>,
    /// When the servers have fewer connections than the sum of all floors, the floors with the highest number here are
    /// reduced first.
    pub shed_order: u8,
    /// The part of the floor that may be lent while the tenant class has no demand for it; none: nothing is lent.
    pub loan: Option<Loan>,
    /// The part of the floor, in connections, that gateways may use without a lease.
    pub fallback: u32,
    /// The rules that set these terms.
    pub sources: TermSources,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            floor: 0,
            weight: 1,
            ceiling: None,
            shed_order: 0,
            loan: None,
            fallback: 0,
            sources: TermSources::default(),
        }
    }
}

impl Terms {
    /// Overrides the terms that the rule with this index sets, and records the index as their source.
    pub(crate) fn apply(&mut self, rule: usize, overrides: &TermOverrides) {
        if let Some(floor) = overrides.floor {
            (self.floor, self.sources.floor) = (floor, Some(rule));
        }
        if let Some(weight) = overrides.weight {
            (self.weight, self.sources.weight) = (weight, Some(rule));
        }
        if let Some(ceiling) = overrides.ceiling {
            (self.ceiling, self.sources.ceiling) = (Some(ceiling), Some(rule));
        }
        if let Some(shed_order) = overrides.shed_order {
            (self.shed_order, self.sources.shed_order) = (shed_order, Some(rule));
        }
        if let Some(loan) = overrides.loan {
            (self.loan, self.sources.loan) = (Some(loan), Some(rule));
        }
        if let Some(fallback) = overrides.fallback {
            (self.fallback, self.sources.fallback) = (fallback, Some(rule));
        }
    }
}
