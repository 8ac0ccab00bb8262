//! Final answers of the gateway's own, and their form in HTTP. Fronts of other protocols map the same reasons to theirs.

use crate::clock::Micros;
use frostgauge::RejectReason;
use frostgauge_proto::bearer::Denied;
use frostgauge_proto::problem::{problem, MEDIA_TYPE};

/// Why a request failed after an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// The server answered with an error.
    ServerError,
    /// The connection to the server broke.
    ConnectionBroken,
    /// The client's timeout passed before a response arrived.
    Timeout,
}

/// A final answer of the gateway's own, in place of a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayAnswer {
    /// The token is missing, malformed or invalid, or lacks the required scope.
    Denied(Denied),
    /// The token is valid, but its subject is not a known tenant.
    UnknownTenant,
    /// The fleet rules do not allow this tenant the class of the request.
    NotAllowed,
    /// The fleet rules allow no attempt of this request now; mostly because the gateway has no lease, and the fallback
    /// rules do not admit the request.
    FallbackRulesOnly {
        /// Time after which the client may retry, µs.
        retry_after: Micros,
    },
    /// The token could not be verified: there is no verdict on it.
    TokenUnverified {
        /// Time after which the client may retry, µs.
        retry_after: Micros,
    },
    /// The request was rejected: no attempt has run, so a retry is safe.
    Rejected {
        /// The reason.
        why: RejectReason,
        /// Time after which the client may retry, µs; 0 if there is no advice.
        retry_after: Micros,
    },
    /// The request failed: an attempt may have run.
    Failed(FailureReason),
}

/// The HTTP form of an answer of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields; the names are in lower case.
    pub fields: Vec<(&'static str, String)>,
    /// Content of the response.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Creates an answer with a problem body (RFC 9457).
    pub fn problem(status: u16, kind: &str, title: &str, detail: &str) -> HttpAnswer {
        HttpAnswer {
            status,
            fields: vec![("content-type", MEDIA_TYPE.to_owned())],
            body: problem(status, kind, title, detail),
        }
    }
}

/// Returns the stable identifier, the HTTP status and the title of a reject reason.
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
    /// Returns the stable identifier of the reason. It is the problem's type and a label of metrics.
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

    /// Time after which the client may retry, µs; 0 if there is no advice.
    pub fn retry_after(&self) -> Micros {
        match self {
            GatewayAnswer::TokenUnverified { retry_after }
            | GatewayAnswer::FallbackRulesOnly { retry_after }
            | GatewayAnswer::Rejected { retry_after, .. } => *retry_after,
            _ => 0,
        }
    }

    /// Converts the answer to HTTP; `realm` and `scope` go into the challenge of a denied token.
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
            GatewayAnswer::Failed(reason) => {
                let status = if *reason == FailureReason::Timeout { 504 } else { 502 };
                let title = "No answer came that settles this request";
                HttpAnswer::problem(status, kind, title, "It may have been carried out.")
            }
        };
        let retry_after = self.retry_after();
        if retry_after > 0 {
            // `retry-after` has whole seconds only (RFC 9110 section 10.2.3); clients that know
            // `retry-after-ms` use the more exact value.
            answer.fields.push(("retry-after", retry_after.div_ceil(1_000_000).to_string()));
            answer.fields.push(("retry-after-ms", retry_after.div_ceil(1_000).to_string()));
        }
        if let GatewayAnswer::Rejected { why: RejectReason::Quota | RejectReason::Ceiling, .. } = self {
            answer
                .fields
                .push(("ratelimit", format!("\"{kind}\";r=0;t={}", retry_after.div_ceil(1_000_000).max(1))));
        }
        answer
    }
}
