//! The unit to which a policy assigns a share of connections.

use serde::{Deserialize, Serialize};

/// A tenant's requests of one class, if some rule of the policy names that class, or of all the other classes together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TenantClass {
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the class; none: all classes without a share of their own.
    pub class: Option<String>,
}
