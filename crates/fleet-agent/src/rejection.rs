//! Reasons for which the rules reject a request or an attempt.

use frostgauge_consensus::Micros;

/// Why a request is not admitted, or an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptRejection {
    /// The rules do not contain the tenant.
    UnknownTenant,
    /// The rules do not allow the tenant requests of this class.
    ClassNotAllowed,
    /// The gateway has no lease, and the fallback rules, which cover only the floors of tenants, do not allow the request.
    NoLease,
    /// This gateway's share of the tenant's quota is used up. Contains the microseconds until it covers the request.
    QuotaExhausted(Micros),
    /// The rules do not list the server as ready, or it has not confirmed that it takes new work.
    ServerUnavailable,
    /// The gateway has no unused connection permit for the tenant at the server.
    NoConnectionPermit,
}

impl AttemptRejection {
    /// The value of the `why` label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            AttemptRejection::UnknownTenant => "tenant",
            AttemptRejection::ClassNotAllowed => "class",
            AttemptRejection::NoLease => "ground",
            AttemptRejection::QuotaExhausted(_) => "part",
            AttemptRejection::ServerUnavailable => "server",
            AttemptRejection::NoConnectionPermit => "connection",
        }
    }
}
