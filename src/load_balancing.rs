//! Load balancing: a server is chosen by its expected time to answer, success rate and zone.

use crate::api::{BackendLimits, DedupScope, Effect, Load, Micros, RejectReason, ServerId, Status};
use crate::decay::decay;
use crate::outlier_detection::{Health, OutlierDetector};
use crate::probing::requests_of_others;
use crate::random::Random;
use crate::request::{Location, Request};
use crate::servers::{Server, Servers};
use std::collections::{BTreeMap, VecDeque};

/// Minimum number of servers compared for a choice. Where many gateways share the servers, each compares only
/// a few: all would otherwise choose the same servers by the same outdated reports.
const MIN_CANDIDATES: usize = 3;
/// Random draws per server to be compared, since some of those drawn are not eligible.
const DRAWS_PER_CANDIDATE: usize = 4;
/// Service time per request in flight assumed before any answer, µs.
const INITIAL_SERVICE_TIME_US: f64 = 40_000.0;
/// Weight of one answer in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Time constant by which the figures of a load report decay, s.
pub(crate) const LOAD_REPORT_HORIZON_S: f64 = 1.0;
/// A server that rejected a request is avoided for this long by requests of that class and plan, µs.
pub(crate) const REJECTION_BACKOFF: Micros = 100_000;
/// Maximum number of times that [`REJECTION_BACKOFF`] doubles as a server rejects such requests repeatedly.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Factor on the score of a server in another zone; lower scores win.
const OTHER_ZONE_PENALTY: f64 = 1.1;
/// Factor on the score of a server that lately rejected a request of the same class and plan, or was sent an
/// earlier attempt of this one.
const LAST_RESORT_PENALTY: f64 = 10.0;

/// Indices of the class and plan of a request: a server that is full for one kind may still accept another.
pub(crate) type RequestKind = (usize, usize);

/// Load of one server, as known to this gateway.
#[derive(Default)]
pub(crate) struct ServerLoad {
    /// This gateway's attempts in flight at the server.
    in_flight: u32,
    /// Mean service time per request in flight at the server, by the answers to this gateway, µs; 0 before
    /// any.
    service_time_us: f64,
    /// Other gateways' requests at the server, as last reported.
    others_in_flight: f64,
    reported_at: Micros,
    /// For each kind of request: until when the server is avoided, and the number of rejections in a row.
    rejections: BTreeMap<RequestKind, (Micros, u32)>,
}

impl ServerLoad {
    /// Creates the load of a server that became ready, with this gateway's attempts still in flight there.
    pub fn new(in_flight: u32) -> ServerLoad {
        ServerLoad { in_flight, ..ServerLoad::default() }
    }

    /// Number of this gateway's attempts in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts an attempt that is sent to the server.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
    }

    /// Expected number of requests at the server: this gateway's, and the reported ones of others, which
    /// decay as the report ages.
    pub fn expected_requests(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        f64::from(self.in_flight) + self.others_in_flight * decay(age, LOAD_REPORT_HORIZON_S)
    }

    /// Service time per request in flight, µs; approaches `usual_us` as the last answer ages.
    pub fn service_time_us(&self, now: Micros, health: &Health, usual_us: f64) -> f64 {
        let weight = if self.service_time_us > 0.0 { health.weight_of_past(now) } else { 0.0 };
        usual_us + (self.service_time_us - usual_us) * weight
    }

    /// Whether requests of this kind avoid the server because it rejected one lately.
    fn is_avoided_by(&self, now: Micros, kind: RequestKind) -> bool {
        self.rejections.get(&kind).is_some_and(|(until, _)| *until > now)
    }

    /// Sets how long requests of this kind avoid the server, twice as long for each rejection in a row. After
    /// a time without results from the server (`unobserved_for`), it is at least half of that time, within
    /// the same maximum.
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
    pub wait_us: f64,
}

/// The attempt that a server is chosen for.
pub(crate) struct Criteria<'a> {
    pub request: &'a Request,
    pub effect: Effect,
    /// Zones that the attempt may go to, as a bit set by zone index.
    pub open_zones: u64,
    /// Whether the request has been attempted before.
    pub is_retry: bool,
    /// Maximum service time assumed of a server without recent answers, µs.
    pub max_usual_us: f64,
}

/// What is the same for all candidates of one choice.
struct Comparison<'a> {
    now: Micros,
    criteria: &'a Criteria<'a>,
    outliers: &'a OutlierDetector,
    /// Whether ejected servers are avoided.
    avoids_ejected: bool,
    /// Where the first attempt was sent that may run or may have run.
    first_run_location: Option<Location>,
    /// Service time assumed of a server without recent answers, µs.
    usual_us: f64,
    /// Whether only some of the ready servers are compared.
    is_sample: bool,
}

/// Chooses the server for each attempt.
pub(crate) struct LoadBalancer {
    zone: u32,
    gateways: usize,
    backend_limits: BackendLimits,
    /// Mean service time per request in flight, by the answers of all servers, µs.
    service_time_us: Option<f64>,
    /// The servers with the latest answers or load reports; connections to them are established.
    recent: VecDeque<ServerId>,
}

impl LoadBalancer {
    pub fn new(zone: u32, gateways: usize, backend_limits: BackendLimits) -> LoadBalancer {
        LoadBalancer { zone, gateways, backend_limits, service_time_us: None, recent: VecDeque::new() }
    }

    /// Mean service time per request in flight over all servers, µs.
    pub fn usual_service_time_us(&self) -> f64 {
        self.service_time_us.unwrap_or(INITIAL_SERVICE_TIME_US)
    }

    /// Chooses the server with the lowest score for the next attempt of a request.
    ///
    /// # Errors
    /// If no server is eligible: [`RejectReason::ZoneClosed`] if servers in closed zones were skipped, else
    /// [`RejectReason::NoServer`].
    pub fn choose(
        &self,
        now: Micros,
        criteria: &Criteria,
        servers: &mut Servers,
        outliers: &OutlierDetector,
        random: &mut Random,
    ) -> Result<Choice, RejectReason> {
        let (candidates, max_compared, is_sample) = self.candidates(now, servers, random);
        let comparison = Comparison {
            now,
            criteria,
            outliers,
            avoids_ejected: outliers.should_avoid_ejected(now, servers),
            first_run_location: criteria.request.first_that_may_run().map(|attempt| attempt.location),
            usual_us: self.usual_service_time_us().min(criteria.max_usual_us),
            is_sample,
        };
        let ready = servers.ready();
        let (mut best, mut best_score, mut compared) = (None, f64::INFINITY, 0);
        let mut reject_reason = RejectReason::NoServer;
        for index in candidates.into_iter().chain(0..ready.len()) {
            let server = servers.ready_server(ready[index]);
            if !comparison.is_zone_open(server) {
                reject_reason = RejectReason::ZoneClosed;
                continue;
            }
            if !comparison.is_eligible(server, &self.backend_limits) {
                continue;
            }
            let (wait_us, score, is_last_resort) = self.score(&comparison, server);
            if best.is_none() || score < best_score {
                best = Some(Choice { server: ready[index], wait_us });
                best_score = score;
            }
            compared += usize::from(!is_last_resort);
            if compared >= max_compared {
                break;
            }
        }
        best.ok_or(reject_reason)
    }

    /// The candidates of a choice: indices of ready servers to be compared first, the number to compare, and
    /// whether that is only a sample of the servers. A sample is drawn at random; servers with recent answers
    /// or reports, and those that are warming up and have credit, are added to it.
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
        let is_warming_up =
            |server: &Server| server.slow_start.capacity_share(now, &self.backend_limits) < 1.0;
        servers.retain_warming_up(is_warming_up);
        let has_credit = |id: &&ServerId| servers.ready_server(**id).slow_start.has_credit();
        let with_credit = servers.maybe_warming_up().iter().filter(has_credit);
        let index_of = |id: &ServerId| servers.ready().binary_search(id).ok();
        indices.splice(count..count, self.recent.iter().chain(with_credit).filter_map(index_of));
        let max_compared = count + indices.len() - draws;
        (indices, max_compared, true)
    }

    /// The expected time to answer of a server, µs, its score, and whether it is a last resort. Lower scores
    /// are better.
    fn score(&self, comparison: &Comparison, server: &Server) -> (f64, f64, bool) {
        let (now, criteria) = (comparison.now, comparison.criteria);
        let capacity = server.slow_start.capacity_share(now, &self.backend_limits);
        // In a sample, a server that is warming up and has credit takes precedence: warm servers, whose
        // queues are not known, would always seem faster.
        let is_preferred = comparison.is_sample && capacity < 1.0;
        let service_time_us = server.load.service_time_us(now, &server.health, comparison.usual_us);
        let wait_us = (server.load.expected_requests(now) + 1.0) * service_time_us
            / if is_preferred { 1.0 } else { capacity };
        let success = comparison.outliers.expected_success(now, server);
        let mut score =
            wait_us / (success * success).max(1e-3) / if is_preferred { LAST_RESORT_PENALTY } else { 1.0 };
        if server.entry.zone != self.zone {
            score *= OTHER_ZONE_PENALTY;
        }
        let request = criteria.request;
        let was_tried = || request.attempts.iter().any(|attempt| attempt.server == server.entry.server);
        let is_last_resort =
            server.load.is_avoided_by(now, (request.class, request.plan)) || criteria.is_retry && was_tried();
        if is_last_resort {
            score *= LAST_RESORT_PENALTY;
        }
        (wait_us, score, is_last_resort)
    }

    /// Updates a server's load, and the mean service time, for an attempt that ended.
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
                let usual_us = self.service_time_us.unwrap_or(service_time_us);
                let known_us = load.service_time_us(now, &server.health, usual_us);
                load.service_time_us = known_us + SERVICE_TIME_WEIGHT * (service_time_us - known_us);
                self.service_time_us = Some(usual_us + SERVICE_TIME_WEIGHT * (service_time_us - usual_us));
                load.rejections.remove(&kind);
            }
            Status::Rejected => load.record_rejection(now, kind, server.health.unobserved_for(now)),
            _ => {}
        }
    }

    /// Applies a server's load report; ignores one without a figure for other gateways' requests.
    pub fn record_report(&mut self, now: Micros, id: ServerId, server: &mut Server, report: &Load) {
        let Some(others_in_flight) = requests_of_others(report, server.load.in_flight, self.gateways) else {
            return;
        };
        server.load.others_in_flight = others_in_flight;
        server.load.reported_at = now;
        self.record_contact(id);
    }

    /// Makes a server the first of the recent ones: it has just answered or reported its load.
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

    /// Whether the server may be sent the attempt at all.
    fn is_eligible(&self, server: &Server, limits: &BackendLimits) -> bool {
        let shares_keys = self.first_run_location.is_none_or(|first_run| match self.criteria.effect {
            Effect::Deduplicated { scope: DedupScope::Zone, .. } => server.entry.zone == first_run.zone,
            Effect::Deduplicated { scope: DedupScope::Cell, .. } => server.entry.cell == first_run.cell,
            _ => true,
        });
        let slow_start = &server.slow_start;
        let has_capacity = slow_start.capacity_share(self.now, limits) >= 1.0 || slow_start.has_credit();
        let is_avoided = self.avoids_ejected && server.health.is_ejected(self.now);
        shares_keys && has_capacity && !is_avoided
    }
}
