//! Final answers that the gateway gives itself, and their form in HTTP; other fronts map the same reasons to theirs.

use crate::clock::Micros;
use frostgauge::RejectReason;
use frostgauge_proto::bearer::Denied;
use frostgauge_proto::problem::{problem, MEDIA_TYPE};

/// Why a request failed after an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// The node answered with an error.
    ServerError,
    /// The connection to the node broke.
    ConnectionBroken,
    /// No answer before the client's time was over.
    Timeout,
}

/// A final answer that is not a node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayAnswer {
    /// The token is missing, bad or lacks a scope.
    Denied(Denied),
    /// The token is good, but names no insurer of the settings.
    UnknownTenant,
    /// The fleet's agreed rules do not let this insurer ask for that.
    NotAllowed,
    /// The fleet's agreed rules cannot be confirmed now: only floors are served, and this is not on them.
    FallbackRulesOnly {
        /// When to come back.
        retry_after: Micros,
    },
    /// There is no verdict on the token.
    TokenUnverified {
        /// When to come back.
        retry_after: Micros,
    },
    /// Refused: nothing has run, trying again does no harm.
    Rejected {
        /// Why.
        why: RejectReason,
        /// When to come back; 0: no advice.
        retry_after: Micros,
    },
    /// Failed: it may have run.
    Failed(FailureReason),
}

/// What goes out in place of a node's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// Fields, names in lower case.
    pub fields: Vec<(&'static str, String)>,
    /// The content.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// An answer with a problem body (RFC 9457).
    pub fn problem(status: u16, kind: &str, title: &str, detail: &str) -> HttpAnswer {
        HttpAnswer {
            status,
            fields: vec![("content-type", MEDIA_TYPE.to_owned())],
            body: problem(status, kind, title, detail),
        }
    }
}

/// The stable word for a refusal's reason, its status, and what people read.
pub fn rejection_form(why: RejectReason) -> (&'static str, u16, &'static str) {
    match why {
        RejectReason::Quota => ("quota", 429, "The insurer's quota is used up"),
        RejectReason::Ceiling => ("ceiling", 429, "The insurer's hard ceiling is reached"),
        RejectReason::Overloaded => ("pressed", 503, "The claims nodes have no room for this request now"),
        RejectReason::NoServer => ("no-node", 503, "No claims node can take this request now"),
        RejectReason::ZoneClosed => {
            ("zone", 503, "The zones that could take this request are closed to it now")
        }
        RejectReason::NotServed => {
            ("not-served", 503, "Attempts did not serve this request, and none of them took effect")
        }
        RejectReason::DeadlineExceeded => ("late", 503, "The time that the client gave is over"),
        RejectReason::InvalidRequest => ("unsound", 400, "The request names nothing that is known"),
    }
}

impl GatewayAnswer {
    /// The stable word for the reason, also a label of metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            GatewayAnswer::Denied(Denied::Missing) => "token-missing",
            GatewayAnswer::Denied(Denied::Malformed) => "token-malformed",
            GatewayAnswer::Denied(Denied::Invalid) => "token-invalid",
            GatewayAnswer::Denied(Denied::Scope) => "token-scope",
            GatewayAnswer::UnknownTenant => "unknown-insurer",
            GatewayAnswer::NotAllowed => "not-allowed",
            GatewayAnswer::FallbackRulesOnly { .. } => "on-ground",
            GatewayAnswer::TokenUnverified { .. } => "no-verdict",
            GatewayAnswer::Rejected { why, .. } => rejection_form(*why).0,
            GatewayAnswer::Failed(FailureReason::ServerError) => "node-error",
            GatewayAnswer::Failed(FailureReason::ConnectionBroken) => "node-broke",
            GatewayAnswer::Failed(FailureReason::Timeout) => "timeout",
        }
    }

    /// How long the client should stay away; 0: no advice.
    pub fn retry_after(&self) -> Micros {
        match self {
            GatewayAnswer::TokenUnverified { retry_after }
            | GatewayAnswer::FallbackRulesOnly { retry_after }
            | GatewayAnswer::Rejected { retry_after, .. } => *retry_after,
            _ => 0,
        }
    }

    /// The answer in HTTP's words; `realm` and `scope` for challenges.
    pub fn http(&self, realm: &str, scope: &str) -> HttpAnswer {
        let kind = self.reason();
        let mut answer = match self {
            GatewayAnswer::Denied(denied) => {
                let (status, challenge) = denied.challenge(realm, scope);
                let mut answer =
                    HttpAnswer::problem(status, kind, "The request's token does not let it in", "");
                answer.fields.push(("www-authenticate", challenge));
                answer
            }
            GatewayAnswer::UnknownTenant => {
                HttpAnswer::problem(403, kind, "The token's holder is not an insurer here", "")
            }
            GatewayAnswer::NotAllowed => {
                HttpAnswer::problem(403, kind, "The fleet's rules do not let this insurer ask for that", "")
            }
            GatewayAnswer::FallbackRulesOnly { .. } => HttpAnswer::problem(
                503,
                kind,
                "The fleet's rules cannot be confirmed now, and this is not served without",
                "Nothing was done; trying again does no harm.",
            ),
            GatewayAnswer::TokenUnverified { .. } => HttpAnswer::problem(
                503,
                kind,
                "The token cannot be checked now",
                "Nothing was done; try again.",
            ),
            GatewayAnswer::Rejected { why, .. } => {
                let (_, status, title) = rejection_form(*why);
                HttpAnswer::problem(status, kind, title, "Nothing was done; trying again does no harm.")
            }
            GatewayAnswer::Failed(failed) => {
                let status = if *failed == FailureReason::Timeout { 504 } else { 502 };
                let title = "No answer came that settles this request";
                HttpAnswer::problem(status, kind, title, "It may have been carried out.")
            }
        };
        let wait = self.retry_after();
        if wait > 0 {
            // Whole seconds are all that the field has (RFC 9110 section 10.2.3); a client that knows the
            // finer one goes by it.
            answer.fields.push(("retry-after", wait.div_ceil(1_000_000).to_string()));
            answer.fields.push(("retry-after-ms", wait.div_ceil(1_000).to_string()));
        }
        if let GatewayAnswer::Rejected { why: RejectReason::Quota | RejectReason::Ceiling, .. } = self {
            answer
                .fields
                .push(("ratelimit", format!("\"{kind}\";r=0;t={}", wait.div_ceil(1_000_000).max(1))));
        }
        answer
    }
}
