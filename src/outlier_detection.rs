//! Outlier detection: servers that fail more often than usual are ejected for a while, which means avoided.

use crate::api::{Micros, ServerId, ServerState};
use crate::decay::decay;
use crate::servers::{Server, Servers};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum weight of one result in the success rate of a server or zone.
const RESULT_WEIGHT: f64 = 0.1;
/// A server is ejected below this share of the square of the usual success rate.
const MIN_SUCCESS_SHARE: f64 = 0.8;
/// Above this share of the usual success rate, the next ejection is as short as the first.
const RECOVERED_SUCCESS_SHARE: f64 = 0.9;
/// Time constant by which the weight of past results decays, s, so that an avoided server is tried again.
const RESULT_HORIZON_S: f64 = 5.0;
/// Duration of a first ejection, µs; each further ejection in a row doubles it.
const FIRST_EJECTION: Micros = 1_000_000;
/// Maximum number of times that [`FIRST_EJECTION`] doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// If more than this share of the ready servers is ejected, ejections are ignored.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Result of an attempt for the health of its server.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptResult {
    Success,
    Failure,
    /// No connection was established; a single such result ejects the server.
    Unreachable,
}

/// Health of a server or a zone, from the results of attempts.
#[derive(Default)]
pub(crate) struct Health {
    /// Mean of the results as of `observed_at`, from 0 (all failed) to 1.
    success: f64,
    observed_at: Micros,
    ejected_until: Micros,
    /// Number of ejections since the last recovery.
    ejections: u32,
}

impl Health {
    /// Creates the health before any result, which is full.
    pub fn new(now: Micros) -> Health {
        Health { success: 1.0, observed_at: now, ..Health::default() }
    }

    /// Share of successful attempts; approaches 1 as the results age.
    pub fn success_rate(&self, now: Micros) -> f64 {
        1.0 - (1.0 - self.success) * self.weight_of_past(now)
    }

    /// Weight of past results, which falls from 1 to 0 as they age.
    pub fn weight_of_past(&self, now: Micros) -> f64 {
        decay(self.unobserved_for(now), RESULT_HORIZON_S)
    }

    /// Time since the last result, µs.
    pub fn unobserved_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.observed_at)
    }

    /// Whether the server or zone is ejected at `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Records a result, and ejects a server whose success rate is too far below `usual_success`: where all
    /// servers fail alike, a failure says little about one of them. The longer ago the last result, the more
    /// the new one weighs, so that a server with few requests is judged too.
    pub fn record(&mut self, now: Micros, result: AttemptResult, usual_success: f64) {
        self.success = self.success_rate(now);
        let gap = self.unobserved_for(now);
        let weight = RESULT_WEIGHT.max(1.0 - decay(gap, RESULT_HORIZON_S));
        let succeeded = result == AttemptResult::Success;
        self.success += weight * (f64::from(u8::from(succeeded)) - self.success);
        self.observed_at = now;
        if succeeded && self.success > RECOVERED_SUCCESS_SHARE * usual_success {
            self.ejections = 0;
        }
        let min_success = MIN_SUCCESS_SHARE * usual_success * usual_success;
        let should_eject = result == AttemptResult::Unreachable || self.success < min_success;
        if should_eject && !self.is_ejected(now) {
            self.eject(now, gap);
            self.success = min_success;
        }
    }

    /// Ejects the server for at least as long as it had no results before (`gap`), up to the maximum
    /// duration.
    fn eject(&mut self, now: Micros, gap: Micros) {
        let max_duration = FIRST_EJECTION << MAX_EJECTION_DOUBLINGS;
        let duration = FIRST_EJECTION << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + duration.max(gap.min(max_duration));
        self.ejections += 1;
    }
}

/// Health of all servers and zones.
pub(crate) struct OutlierDetector {
    /// Median success rate of the ready servers, as of the last update.
    usual_success: f64,
    /// Servers that are ejected, or were since the last update.
    ejected: BTreeSet<ServerId>,
    /// Health of each zone, by zone index.
    zones: BTreeMap<u32, Health>,
}

impl OutlierDetector {
    pub fn new() -> OutlierDetector {
        OutlierDetector { usual_success: 1.0, ejected: BTreeSet::new(), zones: BTreeMap::new() }
    }

    /// Records a result for its server and for the server's zone, so that the failure of a zone is detected
    /// before each of its servers has failed.
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

    /// Expected success rate of a server: its own times its zone's.
    pub fn expected_success(&self, now: Micros, server: &Server) -> f64 {
        let zone = self.zones.get(&server.entry.zone);
        server.health.success_rate(now) * zone.map_or(1.0, |zone| zone.success_rate(now))
    }

    /// Whether ejected servers are to be avoided: not if more than [`MAX_EJECTED_SHARE`] of the ready ones
    /// are.
    pub fn should_avoid_ejected(&self, now: Micros, servers: &Servers) -> bool {
        let known = self.ejected.iter().filter_map(|id| servers.get(*id));
        let is_ejected =
            |server: &&Server| server.health.is_ejected(now) && server.entry.state == ServerState::Ready;
        let ejected = known.filter(is_ejected).count() as f64;
        ejected <= MAX_EJECTED_SHARE * servers.ready().len() as f64
    }

    /// Updates the usual success rate and the set of ejected servers.
    pub fn update(&mut self, now: Micros, servers: &Servers) {
        let known = servers.ready().iter().filter_map(|id| servers.get(*id));
        let mut rates: Vec<f64> = known.map(|server| server.health.success_rate(now)).collect();
        rates.sort_unstable_by(f64::total_cmp);
        self.usual_success = rates.get(rates.len() / 2).copied().unwrap_or(1.0);
        self.ejected.retain(|id| servers.get(*id).is_some_and(|server| server.health.is_ejected(now)));
    }
}
