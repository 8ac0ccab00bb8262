//! Load balancing: the choice of a server by expected wait, success rate and zone.

use crate::api::{Effect, DedupScope, Load, Micros, RejectReason, BackendLimits, ServerId, Status};
use crate::decay::decay;
use crate::outlier_detection::{Health, OutlierDetector};
use crate::probing::requests_of_others;
use crate::random::Random;
use crate::request::Request;
use crate::servers::{Server, Servers};
use std::collections::{BTreeMap, VecDeque};

/// Servers compared where many gateways share the fleet: with the same late reports they would else choose
/// alike.
const MIN_CANDIDATES: usize = 3;
/// Random draws per server to be compared, since some will not be eligible.
const DRAWS_PER_CANDIDATE: usize = 4;
/// Service time per request in flight assumed before any answer, µs.
const INITIAL_SERVICE_TIME_US: f64 = 40_000.0;
/// Weight of one answer in the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Time constant by which a load report is forgotten, s.
pub(crate) const LOAD_REPORT_HORIZON_S: f64 = 1.0;
/// A server that rejected a request is avoided for this long by requests of that class and plan, µs.
pub(crate) const REJECTION_BACKOFF: Micros = 100_000;
/// Maximum number of times that this time doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Factor on the score of a server in another zone; lower scores win.
const OTHER_ZONE_PENALTY: f64 = 1.1;
/// Factor on the score of a server that rejected such a request or was tried for this one.
const LAST_RESORT_PENALTY: f64 = 10.0;

/// Class and plan of a request: what a full server may still accept depends on both.
pub(crate) type RequestKind = (usize, usize);

/// Load of one server, as far as it is known here.
#[derive(Default)]
pub(crate) struct ServerLoad {
    in_flight: u32,
    /// Service time per request in flight there, of our own answers, µs; 0 before any.
    service_time_us: f64,
    /// Requests of other gateways, as last reported.
    others: f64,
    reported_at: Micros,
    /// Until when each kind of request avoids the server, and the number of rejections in a row.
    rejections: BTreeMap<RequestKind, (Micros, u32)>,
}

impl ServerLoad {
    /// Load of a server that is listed anew, with the requests of ours that it still holds.
    pub fn new(in_flight: u32) -> ServerLoad {
        ServerLoad { in_flight, ..ServerLoad::default() }
    }

    /// Requests of ours in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// A request is sent there.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
    }

    /// All requests expected there: our own, and others' fading as their report ages.
    pub fn expected(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        f64::from(self.in_flight) + self.others * decay(age, LOAD_REPORT_HORIZON_S)
    }

    /// Service time per request in flight, returning to the usual one as the last answer ages.
    pub fn service_time(&self, now: Micros, health: &Health, usual_us: f64) -> f64 {
        let weight = if self.service_time_us > 0.0 { health.weight_of_past(now) } else { 0.0 };
        usual_us + (self.service_time_us - usual_us) * weight
    }

    fn avoids(&self, now: Micros, kind: RequestKind) -> bool {
        self.rejections.get(&kind).is_some_and(|(until, _)| *until > now)
    }

    fn record_rejection(&mut self, now: Micros, kind: RequestKind, unobserved_for: Micros) {
        let gap = unobserved_for.min(REJECTION_BACKOFF << MAX_BACKOFF_DOUBLINGS);
        let (until, count) = self.rejections.entry(kind).or_default();
        let backoff = REJECTION_BACKOFF << (*count).min(MAX_BACKOFF_DOUBLINGS);
        *until = now + backoff.max(gap / 2);
        *count += 1;
    }
}

/// A chosen server.
pub(crate) struct Choice {
    pub server: ServerId,
    /// Expected time to answer, µs.
    pub wait: f64,
}

/// What a server is chosen for.
pub(crate) struct Criteria<'a> {
    pub request: &'a Request,
    pub effect: Effect,
    /// Zones that may be sent to, one bit each.
    pub open_zones: u64,
    pub is_retry: bool,
    /// Highest service time assumed of a server without recent answers, µs.
    pub max_usual_us: f64,
}

/// What holds for one choice among all candidates.
struct Comparison<'a> {
    now: Micros,
    criteria: &'a Criteria<'a>,
    outliers: &'a OutlierDetector,
    ejections_trusted: bool,
    /// Zone and cell of the server that may run the request.
    home: Option<(u32, u32)>,
    usual_us: f64,
    /// Only some of the servers are compared.
    is_sample: bool,
}

/// Chooses servers.
pub(crate) struct LoadBalancer {
    zone: u32,
    gateways: usize,
    backend_limits: BackendLimits,
    /// Service time per request in flight, of all answers, µs.
    service_time_us: Option<f64>,
    /// The servers last heard of: their connections are established.
    recent: VecDeque<ServerId>,
}

impl LoadBalancer {
    pub fn new(zone: u32, gateways: usize, backend_limits: BackendLimits) -> LoadBalancer {
        LoadBalancer { zone, gateways, backend_limits, service_time_us: None, recent: VecDeque::new() }
    }

    /// Usual service time per request in flight, µs.
    pub fn usual_service_time(&self) -> f64 {
        self.service_time_us.unwrap_or(INITIAL_SERVICE_TIME_US)
    }

    /// Chooses the best server for the next attempt of a request.
    ///
    /// # Errors
    /// [`RejectReason::ZoneClosed`] if a closed zone was passed over, else [`RejectReason::NoServer`], where none
    /// may be sent the request.
    pub fn choose(
        &self,
        now: Micros,
        criteria: &Criteria,
        servers: &mut Servers,
        outliers: &OutlierDetector,
        random: &mut Random,
    ) -> Result<Choice, RejectReason> {
        let (candidates, max_seen, is_sample) = self.candidates(now, servers, random);
        let ran = criteria.request.first_that_may_run().and_then(|attempt| servers.get(attempt.server));
        let comparison = Comparison {
            now,
            criteria,
            outliers,
            ejections_trusted: outliers.is_trusted(now, servers),
            home: ran.map(|server| (server.entry.zone, server.entry.cell)),
            usual_us: self.usual_service_time().min(criteria.max_usual_us),
            is_sample,
        };
        let ready = servers.ready();
        let (mut best, mut best_score, mut seen) = (None, f64::INFINITY, 0);
        let mut none = RejectReason::NoServer;
        for index in candidates.into_iter().chain(0..ready.len()) {
            let server = servers.ready_server(ready[index]);
            if !comparison.is_zone_open(server) {
                none = RejectReason::ZoneClosed;
                continue;
            }
            if !comparison.is_eligible(server, &self.backend_limits) {
                continue;
            }
            let (wait, score, is_last_resort) = self.score(&comparison, server);
            if best.is_none() || score < best_score {
                best = Some(Choice { server: ready[index], wait });
                best_score = score;
            }
            seen += usize::from(!is_last_resort);
            if seen >= max_seen {
                break;
            }
        }
        best.ok_or(none)
    }

    /// Indices of ready servers to be compared first, how many to compare, and whether that leaves servers
    /// out. Where it does, some are drawn at random; those last heard of, and those warming up with a credit,
    /// come along.
    fn candidates(
        &self,
        now: Micros,
        servers: &mut Servers,
        random: &mut Random,
    ) -> (Vec<usize>, usize, bool) {
        let ready_count = servers.ready().len();
        let count = (ready_count * MIN_CANDIDATES).div_ceil(self.gateways).max(MIN_CANDIDATES);
        if count >= ready_count {
            return (Vec::new(), count, false);
        }
        let draws = DRAWS_PER_CANDIDATE * count;
        let draw = |_| (random.next() * ready_count as f64) as usize;
        let mut indices: Vec<usize> = (0..draws).map(draw).collect();
        let is_warming_up = |server: &Server| server.slow_start.capacity(now, &self.backend_limits) < 1.0;
        servers.retain_warming_up(is_warming_up);
        let has_credit = |id: &&ServerId| servers.ready_server(**id).slow_start.has_credit();
        let with_credit = servers.maybe_warming_up().iter().filter(has_credit);
        let index_of = |id: &ServerId| servers.ready().binary_search(id).ok();
        indices.splice(count..count, self.recent.iter().chain(with_credit).filter_map(index_of));
        let max_seen = count + indices.len() - draws;
        (indices, max_seen, true)
    }

    /// Expected wait at a server, its score, and whether it is a last resort.
    fn score(&self, comparison: &Comparison, server: &Server) -> (f64, f64, bool) {
        let (now, criteria) = (comparison.now, comparison.criteria);
        let capacity = server.slow_start.capacity(now, &self.backend_limits);
        // In a sample, a credit that is due goes first: warm servers whose queues are not known always look
        // faster.
        let is_due = comparison.is_sample && capacity < 1.0;
        let service_time = server.load.service_time(now, &server.health, comparison.usual_us);
        let wait = (server.load.expected(now) + 1.0) * service_time / if is_due { 1.0 } else { capacity };
        let success = comparison.outliers.expected_success(now, server);
        let mut score = wait / (success * success).max(1e-3) / if is_due { LAST_RESORT_PENALTY } else { 1.0 };
        if server.entry.zone != self.zone {
            score *= OTHER_ZONE_PENALTY;
        }
        let request = criteria.request;
        let tried = || request.attempts.iter().any(|attempt| attempt.server == server.entry.server);
        let is_last_resort =
            server.load.avoids(now, (request.class, request.plan)) || criteria.is_retry && tried();
        if is_last_resort {
            score *= LAST_RESORT_PENALTY;
        }
        (wait, score, is_last_resort)
    }

    /// Books the end of an attempt with its server's load.
    pub fn record_end(
        &mut self,
        now: Micros,
        server: &mut Server,
        kind: RequestKind,
        status: Status,
        service_time_us: f64,
    ) {
        let load = &mut server.load;
        load.in_flight = load.in_flight.saturating_sub(1);
        match status {
            Status::Ok => {
                let usual = self.service_time_us.unwrap_or(service_time_us);
                let known = load.service_time(now, &server.health, usual);
                load.service_time_us = known + SERVICE_TIME_WEIGHT * (service_time_us - known);
                self.service_time_us = Some(usual + SERVICE_TIME_WEIGHT * (service_time_us - usual));
                load.rejections.remove(&kind);
            }
            Status::Rejected => load.record_rejection(now, kind, server.health.unobserved_for(now)),
            _ => {}
        }
    }

    /// Takes a server's load report.
    pub fn record_report(&mut self, now: Micros, id: ServerId, server: &mut Server, report: &Load) {
        let Some(others) = requests_of_others(report, server.load.in_flight, self.gateways) else { return };
        server.load.others = others;
        server.load.reported_at = now;
        self.record_contact(id);
    }

    /// Notes that a server was heard of.
    pub fn record_contact(&mut self, id: ServerId) {
        self.recent.retain(|known| *known != id);
        self.recent.push_front(id);
        self.recent.truncate(MIN_CANDIDATES);
    }
}

impl Comparison<'_> {
    fn is_zone_open(&self, server: &Server) -> bool {
        self.criteria.open_zones.checked_shr(server.entry.zone).is_none_or(|bits| bits & 1 == 1)
    }

    /// Whether the server may be sent the request at all.
    fn is_eligible(&self, server: &Server, limits: &BackendLimits) -> bool {
        let shares_keys = self.home.is_none_or(|(zone, cell)| match self.criteria.effect {
            Effect::Deduplicated { scope: DedupScope::Zone, .. } => server.entry.zone == zone,
            Effect::Deduplicated { scope: DedupScope::Cell, .. } => server.entry.cell == cell,
            _ => true,
        });
        let slow_start = &server.slow_start;
        let has_capacity = slow_start.capacity(self.now, limits) >= 1.0 || slow_start.has_credit();
        let is_avoided = self.ejections_trusted && server.health.is_ejected(self.now);
        shares_keys && has_capacity && !is_avoided
    }
}
