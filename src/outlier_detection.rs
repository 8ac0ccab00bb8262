//! Outlier detection: servers that fail more than is usual are ejected for a while.

use crate::api::{Micros, ServerId, State};
use crate::decay::decay;
use crate::servers::{Server, Servers};
use std::collections::{BTreeMap, BTreeSet};

/// Weight of one result in a server's success rate.
const RESULT_WEIGHT: f64 = 0.1;
/// Share of the usual success rate, squared, below which a server is ejected.
const MIN_SUCCESS: f64 = 0.8;
/// Share of the usual success rate above which past ejections are forgotten.
const RECOVERED_SUCCESS: f64 = 0.9;
/// Time constant by which results are forgotten, s: so an unused server is tried again.
const RESULT_HORIZON_S: f64 = 5.0;
/// Duration of a first ejection, µs.
const EJECTION: Micros = 1_000_000;
/// Maximum number of times that the duration of an ejection doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// With more than this share of servers ejected, ejections are ignored.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Result of an attempt as far as it concerns the health of a server.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptResult {
    Success,
    Failure,
    /// No connection: one such result ejects the server.
    Unreachable,
}

/// Health of a server or a zone by the results of attempts.
#[derive(Default)]
pub(crate) struct Health {
    success: f64,
    observed_at: Micros,
    ejected_until: Micros,
    /// Ejections in a row.
    ejections: u32,
}

impl Health {
    /// Health before any result.
    pub fn new(now: Micros) -> Health {
        Health { success: 1.0, observed_at: now, ..Health::default() }
    }

    /// Share of successful attempts, returning to 1 as the results age.
    pub fn success_rate(&self, now: Micros) -> f64 {
        1.0 - (1.0 - self.success) * self.weight_of_past(now)
    }

    /// Weight of past results, from 1 falling to 0 as they age.
    pub fn weight_of_past(&self, now: Micros) -> f64 {
        decay(self.unobserved_for(now), RESULT_HORIZON_S)
    }

    /// Time since the last result.
    pub fn unobserved_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.observed_at)
    }

    /// Whether it is ejected.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Records a result, compared with the success rate that is usual: where errors come alike at all
    /// servers, one says little of its server. A server that is seen seldom is judged by the little that is
    /// seen.
    pub fn record(&mut self, now: Micros, result: AttemptResult, usual_success: f64) {
        self.success = self.success_rate(now);
        let gap = self.unobserved_for(now);
        let weight = RESULT_WEIGHT.max(1.0 - decay(gap, RESULT_HORIZON_S));
        let succeeded = result == AttemptResult::Success;
        self.success += weight * (f64::from(u8::from(succeeded)) - self.success);
        self.observed_at = now;
        if succeeded && self.success > RECOVERED_SUCCESS * usual_success {
            self.ejections = 0;
        }
        let min_success = MIN_SUCCESS * usual_success * usual_success;
        let failing = result == AttemptResult::Unreachable || self.success < min_success;
        if failing && !self.is_ejected(now) {
            self.eject(now, gap);
            self.success = min_success;
        }
    }

    fn eject(&mut self, now: Micros, gap: Micros) {
        let max_duration = EJECTION << MAX_EJECTION_DOUBLINGS;
        let duration = EJECTION << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + duration.max(gap.min(max_duration));
        self.ejections += 1;
    }
}

/// Health of all servers and zones.
pub(crate) struct OutlierDetector {
    /// Success rate that half of the ready servers reach, as of the last update.
    usual_success: f64,
    ejected: BTreeSet<ServerId>,
    zones: BTreeMap<u32, Health>,
}

impl OutlierDetector {
    pub fn new() -> OutlierDetector {
        OutlierDetector { usual_success: 1.0, ejected: BTreeSet::new(), zones: BTreeMap::new() }
    }

    /// Records a result with its server, and with its zone, so that a lost zone is noticed before each of its
    /// servers has failed.
    pub fn record(&mut self, now: Micros, id: ServerId, servers: &mut Servers, result: AttemptResult) {
        let Some(server) = servers.get_mut(id) else { return };
        server.health.record(now, result, self.usual_success);
        if server.health.is_ejected(now) {
            self.ejected.insert(id);
        }
        let zone = self.zones.entry(server.entry.zone).or_insert_with(|| Health::new(now));
        let result = if result == AttemptResult::Success { result } else { AttemptResult::Failure };
        zone.record(now, result, self.usual_success);
    }

    /// Success rate to be expected of a server, by its own results and its zone's.
    pub fn expected_success(&self, now: Micros, server: &Server) -> f64 {
        let zone = self.zones.get(&server.entry.zone);
        server.health.success_rate(now) * zone.map_or(1.0, |zone| zone.success_rate(now))
    }

    /// Whether ejected servers are to be avoided.
    pub fn is_trusted(&self, now: Micros, servers: &Servers) -> bool {
        let known = self.ejected.iter().filter_map(|id| servers.get(*id));
        let is_out = |server: &&Server| server.health.is_ejected(now) && server.entry.state == ServerState::Ready;
        let ejected = known.filter(is_out).count() as f64;
        ejected <= MAX_EJECTED_SHARE * servers.ready().len() as f64
    }

    /// Updates what depends on all servers.
    pub fn update(&mut self, now: Micros, servers: &Servers) {
        let known = servers.ready().iter().filter_map(|id| servers.get(*id));
        let mut rates: Vec<f64> = known.map(|server| server.health.success_rate(now)).collect();
        rates.sort_unstable_by(f64::total_cmp);
        self.usual_success = rates.get(rates.len() / 2).copied().unwrap_or(1.0);
        self.ejected.retain(|id| servers.get(*id).is_some_and(|server| server.health.is_ejected(now)));
    }
}
