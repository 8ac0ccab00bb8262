//! Health confirmations: reports of servers on whether they take new work.
//!
//! A server that drains reports it in each of its responses, and that overrides the servers' states in the rules. While
//! the fallback rules are in effect, only servers that recently reported that they take new work are used. The age of a
//! report counts from when its request was sent, because the response may have been delayed and shows the server's state
//! at no later time for certain.

use frostgauge_consensus::Micros;
use std::collections::BTreeMap;

/// Maximum number of servers whose reports are kept; beyond it, the report whose request is the oldest is dropped.
pub const MAX_TRACKED_SERVERS: usize = 4_096;

/// A probed server is not yet considered unresponsive within the response window divided by this.
const PROBE_GRACE_DIVISOR: Micros = 8;

#[derive(Clone, Copy, Debug)]
struct Report {
    requested_at: Micros,
    ready: bool,
}

/// The latest report of each server and the time of its last probe, by address.
#[derive(Clone, Debug, Default)]
pub struct HealthConfirmations {
    reports: BTreeMap<String, Report>,
    probed_at: BTreeMap<String, Micros>,
}

impl HealthConfirmations {
    /// Records a server's report in the response to a request sent at `requested_at`. It is ignored if a report with a
    /// later request is known.
    pub fn record_report(&mut self, server: &str, requested_at: Micros, ready: bool) {
        if let Some(report) = self.reports.get_mut(server) {
            if report.requested_at <= requested_at {
                *report = Report { requested_at, ready };
            }
            return;
        }
        if self.reports.len() >= MAX_TRACKED_SERVERS {
            self.drop_oldest_report();
        }
        self.reports.insert(server.to_owned(), Report { requested_at, ready });
    }

    fn drop_oldest_report(&mut self) {
        let oldest = self.reports.iter().min_by_key(|(_, report)| report.requested_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.reports.remove(&server);
        }
    }

    /// Records that a probe is sent to a server.
    pub fn record_probe(&mut self, server: &str, now: Micros) {
        if self.probed_at.len() >= MAX_TRACKED_SERVERS && !self.probed_at.contains_key(server) {
            self.probed_at.clear();
        }
        self.probed_at.insert(server.to_owned(), now);
    }

    /// Whether the last probe of a server, and the request of its last report, are at least `interval` ago.
    pub fn probe_is_due(&self, server: &str, now: Micros, interval: Micros) -> bool {
        let reported = self.reports.get(server).map(|report| &report.requested_at);
        let latest = self.probed_at.get(server).max(reported);
        latest.is_none_or(|at| now >= at + interval)
    }

    /// Whether a server was probed within `window` and has not reported since that it takes new work. During the first
    /// part of the window it is not considered unresponsive, because its response may still arrive.
    pub fn is_unresponsive(&self, server: &str, now: Micros, window: Micros) -> bool {
        let Some(probed_at) = self.probed_at.get(server).filter(|at| now < **at + window) else {
            return false;
        };
        let may_still_respond = now < probed_at + window / PROBE_GRACE_DIVISOR;
        let is_ready_since_probe = |report: &Report| report.ready && report.requested_at >= *probed_at;
        !may_still_respond && !self.reports.get(server).is_some_and(is_ready_since_probe)
    }

    /// Whether a server may get new work: not if its latest report is that it drains. With `max_age`, its latest report
    /// must also be that it takes new work, and its request must have been sent at most so long ago.
    pub fn allow_new_work(&self, server: &str, now: Micros, max_age: Option<Micros>) -> bool {
        match (self.reports.get(server), max_age) {
            (Some(report), Some(max_age)) => report.ready && now <= report.requested_at + max_age,
            (Some(report), None) => report.ready,
            (None, max_age) => max_age.is_none(),
        }
    }
}
