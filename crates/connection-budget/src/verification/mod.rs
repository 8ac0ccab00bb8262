//! The verification of a policy: each problem found has the path of the setting and a typed reason.

mod error;
mod limits;
mod names;
mod reachability;
mod terms;

pub use error::{NameKind, PolicyError, PolicyProblem};
pub(crate) use limits::limit_errors;
pub use limits::MAX_CONNECTIONS_PER_SERVER;
pub(crate) use names::{group_errors, name_errors};
pub(crate) use reachability::unused_rule_errors;
pub(crate) use terms::term_errors;
