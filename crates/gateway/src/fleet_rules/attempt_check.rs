//! The check right before an attempt is written to its connection, and the request field that names the rules in effect.

use super::FleetRules;
use crate::clock::Micros;
use crate::upstream::{AttemptOutcome, NOT_RUN_FIELD};
use frostgauge::Status;
use frostgauge_consensus::RuleSource;
use std::borrow::Cow;
use std::net::SocketAddr;

/// Request field by which a server learns the rules that a request was authorized by: `lease` with the version numbers
/// of the lease (`lease 4`, `lease 4 5`), or `ground` with the version of the fallback rules (`ground 3`).
pub const RULES_FIELD: &str = "frostgauge-rules";

/// The check of one attempt.
#[derive(Debug)]
pub struct AttemptCheck {
    rules: FleetRules,
    tenant: String,
    class: String,
    server: SocketAddr,
    /// When the attempt was last authorized, µs. It is charged to the quota only once, even if its first connection turns
    /// out to be closed and it is written to another one.
    authorized_at: Option<Micros>,
}

impl AttemptCheck {
    pub(super) fn new(rules: FleetRules, tenant: &str, class: &str, server: SocketAddr) -> AttemptCheck {
        let (tenant, class) = (tenant.to_owned(), class.to_owned());
        AttemptCheck { rules, tenant, class, server, authorized_at: None }
    }

    /// Authorizes the attempt and returns its request with [`RULES_FIELD`] added. `None`: it must not be sent, and has
    /// not run.
    pub fn stamp<'a>(&mut self, request: &[u8]) -> Option<Cow<'a, [u8]>> {
        let now = self.rules.clock.now();
        let mut guard = self.rules.task.guard();
        let checked = match self.authorized_at {
            None => guard.authorize(now, &self.tenant, &self.class, self.server),
            Some(_) => guard.reauthorize(now, &self.tenant, &self.class, self.server),
        };
        drop(guard);
        let source = match checked {
            Ok(source) => source,
            Err(reason) => {
                metrics::counter!("frostgauge_rules_turned_back", "why" => reason.label()).increment(1);
                return None;
            }
        };
        self.authorized_at = Some(now);
        let line = format!("{RULES_FIELD}: {}\r\n", rules_field_value(&source));
        // The field is inserted right after the request line.
        let insert_at = request.windows(2).position(|w| w == b"\r\n")? + 2;
        Some(Cow::Owned([&request[..insert_at], line.as_bytes(), &request[insert_at..]].concat()))
    }

    /// Records the end of the attempt: the server's report of whether it takes new work, and the outcome for the canary.
    /// Does nothing for an attempt that was never authorized.
    pub fn record_end(&self, ended: &AttemptOutcome) {
        let Some(requested_at) = self.authorized_at else { return };
        if let Some(response) = &ended.response {
            let ready = response.head.one(NOT_RUN_FIELD) != Some("draining");
            self.rules.task.guard().record_report(&self.server.to_string(), requested_at, ready);
        }
        let failed = matches!(ended.status, Status::Error | Status::Reset | Status::Timeout);
        if failed || ended.status == Status::Ok {
            self.rules.with_canary(|canary| canary.record_attempt(failed));
        }
    }
}

/// Returns the value of [`RULES_FIELD`]; `ground 0` if the gateway has never received rules.
pub fn rules_field_value(source: &RuleSource) -> String {
    match source {
        RuleSource::Lease(versions, _) => {
            let numbers: Vec<String> = versions.iter().map(ToString::to_string).collect();
            format!("lease {}", numbers.join(" "))
        }
        RuleSource::Fallback(number) => format!("ground {}", number.unwrap_or(0)),
    }
}
