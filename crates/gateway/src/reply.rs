//! Final answers of the gateway's own, as HTTP has them; other fronts word the same reasons their way.

use crate::clock::Micros;
use frostgauge::Why;
use frostgauge_proto::bearer::Denied;
use frostgauge_proto::problem::{problem, MEDIA_TYPE};

/// Why a request failed after an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failed {
    /// The node answered with an error.
    Node,
    /// The connection to the node broke.
    Broken,
    /// No answer before the client's time was over.
    Timeout,
}

/// A final answer that is not a node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The token is missing, bad or lacks a scope.
    Denied(Denied),
    /// The token is good, but names no insurer of the settings.
    UnknownInsurer,
    /// The fleet's agreed rules do not let this insurer ask for that.
    NotAllowed,
    /// The fleet's agreed rules cannot be confirmed now: only floors are served, and this is not on them.
    OnGround {
        /// When to come back.
        retry_after: Micros,
    },
    /// There is no verdict on the token.
    NoVerdict {
        /// When to come back.
        retry_after: Micros,
    },
    /// Refused: nothing has run, trying again does no harm.
    Refused {
        /// Why.
        why: Why,
        /// When to come back; 0: no advice.
        retry_after: Micros,
    },
    /// Failed: it may have run.
    Failed(Failed),
}

/// What goes out in place of a node's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Own {
    /// The status.
    pub status: u16,
    /// Fields, names in lower case.
    pub fields: Vec<(&'static str, String)>,
    /// The content.
    pub body: Vec<u8>,
}

impl Own {
    /// An answer with a problem body (RFC 9457).
    pub fn problem(status: u16, kind: &str, title: &str, detail: &str) -> Own {
        Own {
            status,
            fields: vec![("content-type", MEDIA_TYPE.to_owned())],
            body: problem(status, kind, title, detail),
        }
    }
}

/// The stable word for a refusal's reason, its status, and what people read.
pub fn refusal(why: Why) -> (&'static str, u16, &'static str) {
    match why {
        Why::Quota => ("quota", 429, "The insurer's quota is used up"),
        Why::Ceiling => ("ceiling", 429, "The insurer's hard ceiling is reached"),
        Why::Pressed => ("pressed", 503, "The claims nodes have no room for this request now"),
        Why::NoServer => ("no-node", 503, "No claims node can take this request now"),
        Why::Zone => ("zone", 503, "The zones that could take this request are closed to it now"),
        Why::Tried => {
            ("not-served", 503, "Attempts did not serve this request, and none of them took effect")
        }
        Why::Late => ("late", 503, "The time that the client gave is over"),
        Why::Unsound => ("unsound", 400, "The request names nothing that is known"),
    }
}

impl Final {
    /// The stable word for the reason, also a label of metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Final::Denied(Denied::Missing) => "token-missing",
            Final::Denied(Denied::Malformed) => "token-malformed",
            Final::Denied(Denied::Invalid) => "token-invalid",
            Final::Denied(Denied::Scope) => "token-scope",
            Final::UnknownInsurer => "unknown-insurer",
            Final::NotAllowed => "not-allowed",
            Final::OnGround { .. } => "on-ground",
            Final::NoVerdict { .. } => "no-verdict",
            Final::Refused { why, .. } => refusal(*why).0,
            Final::Failed(Failed::Node) => "node-error",
            Final::Failed(Failed::Broken) => "node-broke",
            Final::Failed(Failed::Timeout) => "timeout",
        }
    }

    /// How long the client should stay away; 0: no advice.
    pub fn retry_after(&self) -> Micros {
        match self {
            Final::NoVerdict { retry_after }
            | Final::OnGround { retry_after }
            | Final::Refused { retry_after, .. } => *retry_after,
            _ => 0,
        }
    }

    /// The answer in HTTP's words; `realm` and `scope` for challenges.
    pub fn http(&self, realm: &str, scope: &str) -> Own {
        let kind = self.reason();
        let mut own = match self {
            Final::Denied(denied) => {
                let (status, challenge) = denied.challenge(realm, scope);
                let mut own = Own::problem(status, kind, "The request's token does not let it in", "");
                own.fields.push(("www-authenticate", challenge));
                own
            }
            Final::UnknownInsurer => Own::problem(403, kind, "The token's holder is not an insurer here", ""),
            Final::NotAllowed => {
                Own::problem(403, kind, "The fleet's rules do not let this insurer ask for that", "")
            }
            Final::OnGround { .. } => Own::problem(
                503,
                kind,
                "The fleet's rules cannot be confirmed now, and this is not served without",
                "Nothing was done; trying again does no harm.",
            ),
            Final::NoVerdict { .. } => {
                Own::problem(503, kind, "The token cannot be checked now", "Nothing was done; try again.")
            }
            Final::Refused { why, .. } => {
                let (_, status, title) = refusal(*why);
                Own::problem(status, kind, title, "Nothing was done; trying again does no harm.")
            }
            Final::Failed(failed) => {
                let status = if *failed == Failed::Timeout { 504 } else { 502 };
                let title = "No answer came that settles this request";
                Own::problem(status, kind, title, "It may have been carried out.")
            }
        };
        let wait = self.retry_after();
        if wait > 0 {
            // Whole seconds are all that the field has (RFC 9110 section 10.2.3); a client that knows the
            // finer one goes by it.
            own.fields.push(("retry-after", wait.div_ceil(1_000_000).to_string()));
            own.fields.push(("retry-after-ms", wait.div_ceil(1_000).to_string()));
        }
        if let Final::Refused { why: Why::Quota | Why::Ceiling, .. } = self {
            own.fields.push(("ratelimit", format!("\"{kind}\";r=0;t={}", wait.div_ceil(1_000_000).max(1))));
        }
        own
    }
}
