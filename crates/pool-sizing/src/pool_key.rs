//! Shapes of requests: which lane a request belongs to, by settings alone.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Connection pools of all groups at most: a report has no more.
pub const MAX_POOLS: usize = 256;

/// A lane: what its requests have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolKey {
    /// The group of servers.
    pub group: String,
    /// The class.
    pub class: String,
    /// The bracket of cost, from 0.
    pub bracket: u8,
    /// With photos.
    pub photos: bool,
}

/// The keys by which requests are told apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestClassKeys {
    /// Classes that have lanes of their own; the others share one, named `*`.
    pub classes: BTreeSet<String>,
    /// Upper bounds of brackets of cost, thousandths of a unit, growing; above the last is one more bracket.
    pub brackets_milli: Vec<u64>,
    /// Requests with photos go by themselves.
    pub photos: bool,
}

/// What is wrong with keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClassKeyError {
    /// As `brackets_milli[1]`.
    pub path: String,
    /// For people.
    pub reason: String,
}

impl fmt::Display for RequestClassKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl RequestClassKeys {
    /// Lanes that these keys can make at one group.
    pub fn lanes(&self) -> usize {
        (self.classes.len() + 1) * (self.brackets_milli.len() + 1) * (1 + usize::from(self.photos))
    }

    /// All that is wrong with them, for so many groups of servers.
    pub fn check(&self, groups: usize) -> Vec<RequestClassKeyError> {
        let mut all = vec![];
        let mut say = |path: String, reason: String| all.push(RequestClassKeyError { path, reason });
        for (k, pair) in self.brackets_milli.windows(2).enumerate() {
            if pair[1] <= pair[0] {
                say(format!("brackets_milli[{}]", k + 1), format!("{} is not over {}", pair[1], pair[0]));
            }
        }
        let lanes = self.lanes().saturating_mul(groups.max(1));
        if lanes > MAX_POOLS || self.brackets_milli.len() >= usize::from(u8::MAX) {
            say(String::new(), format!("make {lanes} lanes, {MAX_POOLS} at most"));
        }
        all
    }

    /// The lane of a request.
    pub fn lane(&self, group: &str, class: &str, cost_milli: u64, photos: bool) -> PoolKey {
        let class = if self.classes.contains(class) { class } else { "*" };
        let bracket = self.brackets_milli.iter().take_while(|b| cost_milli > **b).count();
        PoolKey {
            group: group.to_owned(),
            class: class.to_owned(),
            bracket: u8::try_from(bracket).unwrap_or(u8::MAX),
            photos: photos && self.photos,
        }
    }
}
