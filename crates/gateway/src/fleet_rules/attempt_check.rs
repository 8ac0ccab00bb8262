//! The check right before an attempt's bytes go, and the field that names the rules it goes under.

use super::FleetRules;
use crate::clock::Micros;
use crate::upstream::{AttemptOutcome, NOT_RUN_FIELD};
use frostgauge::Status;
use frostgauge_consensus::RuleSource;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The request field that tells a server under which rules a request goes: `lease 4`, `lease 4 5`, `ground 3`.
pub const RULES_FIELD: &str = "frostgauge-rules";

/// The check before one attempt.
#[derive(Debug)]
pub struct AttemptCheck {
    rules: FleetRules,
    tenant: String,
    class: String,
    node: SocketAddr,
    /// When it was authorized: it is charged once, also if its first connection turns out to be closed.
    authorized_at: Option<Micros>,
}

impl AttemptCheck {
    pub(super) fn new(rules: FleetRules, tenant: &str, class: &str, node: SocketAddr) -> AttemptCheck {
        let (tenant, class) = (tenant.to_owned(), class.to_owned());
        AttemptCheck { rules, tenant, class, node, authorized_at: None }
    }

    /// The request with the field of its rules; none: it must not go, and has not run.
    pub fn stamp<'a>(&mut self, request: &[u8]) -> Option<Cow<'a, [u8]>> {
        let now = self.rules.clock.now();
        let mut guard = self.rules.task.guard();
        let checked = match self.authorized_at {
            None => guard.authorize(now, &self.tenant, &self.class, self.node),
            Some(_) => guard.reauthorize(now, &self.tenant, &self.class, self.node),
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
        let line = format!("{RULES_FIELD}: {}\r\n", stamp(&source));
        // Right after the request line.
        let at = request.windows(2).position(|w| w == b"\r\n")? + 2;
        Some(Cow::Owned([&request[..at], line.as_bytes(), &request[at..]].concat()))
    }

    /// Records how the attempt ended.
    pub fn record_end(&self, ended: &AttemptOutcome) {
        let Some(asked) = self.authorized_at else { return };
        if let Some(response) = &ended.response {
            let ready = response.head.one(NOT_RUN_FIELD) != Some("draining");
            self.rules.task.guard().record_report(&self.node.to_string(), asked, ready);
        }
        let failed = matches!(ended.status, Status::Error | Status::Reset | Status::Timeout);
        if failed || ended.status == Status::Ok {
            self.rules.canary(|t| t.record_attempt(failed));
        }
    }
}

/// The value of the field.
pub fn stamp(source: &RuleSource) -> String {
    match source {
        RuleSource::Lease(set, _) => {
            let numbers: Vec<String> = set.iter().map(ToString::to_string).collect();
            format!("lease {}", numbers.join(" "))
        }
        RuleSource::Fallback(number) => format!("ground {}", number.unwrap_or(0)),
    }
}
