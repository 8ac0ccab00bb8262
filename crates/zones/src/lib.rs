//! Decisions about zones, free of I/O: which zones a request may go to now, so that the loss of one zone does not
//! overload the others, and its return does not overload its own nodes.
//!
//! The caller passes in the list of nodes, sends, outcomes and checks with the time; before each attempt it calls
//! [`Zones::open_zones`] for the zones that may be sent to. The rules, with the settings that bound them:
//!
//! - **Preference.** Zones are ordered in tiers. The first tier gets all requests while its health, times
//!   [`Config::overprovision`], covers them; the share that it does not cover goes to the next tiers.
//! - **Spill** is every attempt outside the first tier. All gateways that share a limit together send a zone at
//!   most [`SpillLimit::rate`] of these in any second: see [`Spill`]. When spill is short, the requests with the
//!   highest priority weight get it.
//! - **Loss.** A zone becomes dark when attempts sent after the first failure keep failing at several nodes, or
//!   when the list has none of its nodes. When every zone looks unreachable, this gateway itself is probably cut
//!   off, and it ignores the phases of the zones.
//! - **Recovery.** A dark zone gets health checks and no requests. Once they succeed it is held, longer after each
//!   flap, and then ramped up, at the start only with requests that are safe to repeat.

mod health;
mod spill;

pub use health::{Health, Phase};
pub use spill::Spill;

use std::collections::BTreeMap;

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Initial part of a ramp, as a share of its duration, that is for idempotent requests only.
const IDEMPOTENT_ONLY_SHARE: f64 = 0.3;
/// Share of its requests that a zone gets when a ramp begins: enough to see whether its nodes answer.
const RAMP_INITIAL_SHARE: f64 = 0.05;
/// Weight of one load report in the moving average of a node's capacity.
const CAPACITY_REPORT_WEIGHT: f64 = 0.05;
/// Reports with a lower utilization are ignored: the capacity cannot be estimated from them.
const MIN_UTILIZATION: f64 = 0.1;
/// Time constant of the demand for spill, seconds.
const DEMAND_DECAY_S: f64 = 2.0;
/// Greatest number of zones: [`Zones::open_zones`] returns one bit for each.
pub const MAX_ZONES: usize = 64;

/// Limit on the spill to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillLimit {
    /// Attempts in any one second, from all gateways that share the limit together.
    pub rate: f64,
    /// Share of the zone's capacity as estimated from load reports; the lower of the two bounds applies.
    pub share: f64,
}

/// Settings of [`Zones`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Index of this gateway among those that share the limits, from 0.
    pub gateway_index: usize,
    /// Number of gateways that share the limits.
    pub gateways: usize,
    /// Number of zones, at most [`MAX_ZONES`]; they are numbered from 0.
    pub zones: usize,
    /// This gateway's tiers, the preferred one first.
    pub tiers: Vec<Vec<u32>>,
    /// Limit on the spill to each zone, by its number; `None`: no limit.
    pub limits: Vec<Option<SpillLimit>>,
    /// The first tier gets all requests while its healthy share times this is at least 1.
    pub overprovision: f64,
    /// How long a dark zone that answers checks is held before its ramp; doubled for each flap, up to `max_hold`.
    pub hold: Micros,
    /// Longest hold.
    pub max_hold: Micros,
    /// Time in [`Phase::Home`] after which the flap count decreases by one.
    pub flap_decay: Micros,
    /// Duration of a recovery ramp.
    pub ramp: Micros,
    /// Interval between two checks of a dark or held zone.
    pub check_every: Micros,
    /// Failures in a row that make a zone dark, each of an attempt sent after the failure before it was known, and
    /// at two nodes at least if the zone has as many. Attempts in flight when nodes die fail together and count as
    /// one failure: if half of a zone is lost, the next attempts reach the other half, and the zone stays in use.
    pub failures_to_dark: u32,
    /// Answers in a row that end the dark phase: a single one may be chance on a path that flaps.
    pub checks_to_leave_dark: u32,
    /// Time until a started node has its full capacity, and the share of the capacity that it starts with.
    pub slow_start: (Micros, f64),
}

/// Properties of an attempt that decide which zones are open to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptInfo {
    /// The request may run twice without harm.
    pub idempotent: bool,
    /// When spill is short, requests with a higher weight get it first.
    pub priority_weight: f64,
}

/// Outcome of an attempt or a check, as evidence about the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node answered, with a success or an error.
    Answered,
    /// The connection failed or broke, or no answer came in time: signs of a lost zone.
    Failed,
    /// No evidence about the node, for example a cancelled attempt.
    Inconclusive,
}

/// A node from the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node {
    /// Identity of the node, unique across zones.
    pub id: u64,
    /// Number of its zone.
    pub zone: u32,
    /// It accepts requests.
    pub ready: bool,
    /// When it started; 0: long ago, so that it has its full capacity.
    pub started: Micros,
}

/// An event of a zone to be logged: a new phase, or a dark zone with a possibly cut path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// Number of the zone.
    pub zone: u32,
    /// Its phase from now on.
    pub phase: Phase,
    /// Reason for the log.
    pub reason: &'static str,
}

/// State of a zone for status pages and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneStatus {
    /// Its phase.
    pub phase: Phase,
    /// See [`Health::since`].
    pub since: Micros,
    /// Share of its idempotent requests that the zone may get now, from 0 to 1.
    pub open_share: f64,
    /// See [`Health::healthy_share`].
    pub healthy_share: f64,
    /// Its tier at this gateway, from 0; `None`: in no tier.
    pub tier: Option<usize>,
    /// Attempts a second that this gateway may spill to the zone; `None`: no limit.
    pub spill_per_s: Option<f64>,
    /// Attempts spilled from this gateway so far; counted only for zones with a limit.
    pub spilled: u64,
    /// How often the zone was not open to an attempt because spill to it was short.
    pub limited: u64,
}

/// Chooses the zones that one gateway may send to.
#[derive(Debug)]
pub struct Zones {
    config: Config,
    health: Vec<Health>,
    spill: Vec<Option<Spill>>,
    /// Sum of the shares of requests for each zone, less those sent: a zone is open at 1 or more. It makes the shares
    /// exact for small numbers of requests too.
    credit: Vec<f64>,
    /// The same for the share of requests that the first tier covers.
    first_tier_credit: f64,
    /// Demand for spill by the bits of the priority weight: requests a second, and when it was last updated.
    spill_demand: BTreeMap<u64, (f64, Micros)>,
    /// See [`ZoneStatus::limited`].
    limited: Vec<u64>,
    drained: Vec<bool>,
    /// Requests a second that one node of each zone can serve, estimated from load reports; 0: no report yet.
    node_capacity: Vec<f64>,
    changes: Vec<ZoneChange>,
}

impl Zones {
    /// Starts with all zones in [`Phase::Home`] and no nodes; see [`Zones::set_nodes`].
    pub fn new(config: Config, now: Micros) -> Zones {
        let n = config.zones;
        let limits = config.limits.iter().chain(std::iter::repeat(&None)).take(n);
        let spill = limits.map(|l| l.map(|l| Spill::new(l.rate, config.gateway_index, config.gateways, now)));
        Zones {
            health: (0..n).map(|_| Health::new(now, config.failures_to_dark)).collect(),
            spill: spill.collect(),
            credit: vec![0.0; n],
            first_tier_credit: 1.0,
            spill_demand: BTreeMap::new(),
            limited: vec![0; n],
            drained: vec![false; n],
            node_capacity: vec![0.0; n],
            changes: vec![],
            config,
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.changes)
    }

    /// Replaces the list of nodes by a new, complete one.
    pub fn set_nodes(&mut self, now: Micros, nodes: &[Node]) {
        for zone in 0..self.config.zones {
            let zone_nodes = nodes.iter().filter(|n| n.zone as usize == zone);
            let change = self.health[zone].set_nodes(now, zone_nodes);
            self.push_change(zone, change);
        }
    }

    /// Starts or ends the drain of a zone by an operator; after a drain the zone is ramped up as after a loss.
    pub fn drain(&mut self, now: Micros, zone: u32, drained: bool) {
        let Some(current) = self.drained.get_mut(zone as usize) else { return };
        if std::mem::replace(current, drained) != drained {
            let change = self.health[zone as usize].set_drained(now, drained);
            self.push_change(zone as usize, change);
        }
    }

    /// Records the outcome of an attempt or a check that was sent at `sent_at`.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        zone: u32,
        node: u64,
        sent_at: Micros,
        outcome: AttemptOutcome,
    ) {
        let Some(health) = self.health.get_mut(zone as usize) else { return };
        let change = health.record_outcome(now, node, sent_at, outcome, &self.config);
        self.push_change(zone as usize, change);
    }

    /// Updates the capacity estimate of a zone from the load that a node reported with an answer: its requests in
    /// flight, its utilization, and the time until the answer, seconds. By Little's law the node serves
    /// `in_flight / duration_s` requests a second; divided by the utilization this is its capacity.
    pub fn record_load_report(&mut self, zone: u32, in_flight: f64, utilization: f64, duration_s: f64) {
        let z = zone as usize;
        let usable = in_flight > 0.0 && duration_s > 0.0 && (MIN_UTILIZATION..=1.5).contains(&utilization);
        if !usable || z >= self.node_capacity.len() {
            return;
        }
        let reported = in_flight / duration_s / utilization.min(1.0);
        let estimate = &mut self.node_capacity[z];
        *estimate = if *estimate == 0.0 {
            reported
        } else {
            *estimate + CAPACITY_REPORT_WEIGHT * (reported - *estimate)
        };
        if let (Some(Some(limit)), Some(Some(spill))) = (self.config.limits.get(z), self.spill.get_mut(z)) {
            let zone_capacity = *estimate * self.health[z].ready_nodes() as f64;
            spill.reduce_rate((limit.share * zone_capacity).min(limit.rate), limit.rate);
        }
    }

    /// Nodes of dark and held zones to be checked now. Call it more often than [`Config::check_every`].
    pub fn due_checks(&mut self, now: Micros) -> Vec<u64> {
        let interval = self.config.check_every;
        (0..self.config.zones)
            .filter(|z| !self.drained[*z])
            .flat_map(|z| self.health[z].due_checks(now, interval))
            .collect()
    }

    /// Makes the changes that are due by time alone: ends holds and ramps, and lowers flap counts.
    pub fn advance(&mut self, now: Micros) {
        for zone in 0..self.config.zones {
            let change = self.health[zone].advance(now, &self.config);
            self.push_change(zone, change);
        }
    }

    fn push_change(&mut self, zone: usize, change: Option<(Phase, &'static str)>) {
        if let Some((phase, reason)) = change {
            self.changes.push(ZoneChange { zone: zone as u32, phase, reason });
        }
    }

    /// Whether every zone that was ever listed looks unreachable: then this gateway itself is probably cut off.
    fn seems_cut_off(&self) -> bool {
        self.health.iter().filter(|h| h.ever_listed()).all(|h| h.looks_unreachable())
            && self.health.iter().any(Health::ever_listed)
    }

    /// Share of a zone's requests that it may get now, from 0 to 1.
    fn open_share(&self, now: Micros, zone: usize, idempotent: bool, cut_off: bool) -> f64 {
        let health = &self.health[zone];
        if self.drained[zone] || health.has_no_ready_nodes() {
            return 0.0;
        }
        if cut_off {
            return 1.0;
        }
        match health.phase() {
            Phase::Home => 1.0,
            Phase::Dark | Phase::Held => 0.0,
            Phase::Ramp => {
                let progress = now.saturating_sub(health.since()) as f64 / self.config.ramp.max(1) as f64;
                if progress < IDEMPOTENT_ONLY_SHARE && !idempotent {
                    return 0.0;
                }
                (RAMP_INITIAL_SHARE + (1.0 - RAMP_INITIAL_SHARE) * progress).min(1.0)
            }
        }
    }

    /// Returns the zones that an attempt may go to now, as one bit for each; with 0 the attempt is to be refused. Each
    /// call counts as one request in the shares; call [`Zones::record_send`] for the zone that the attempt goes to.
    pub fn open_zones(&mut self, now: Micros, attempt: AttemptInfo) -> u64 {
        let cut_off = self.seems_cut_off();
        let (mut first_tier, mut covered, mut size) = (0, 0.0, 0.0);
        for k in 0..self.config.tiers.first().map_or(0, Vec::len) {
            let zone = self.config.tiers[0][k] as usize;
            let share = self.open_share(now, zone, attempt.idempotent, cut_off);
            let usual_nodes = self.health[zone].usual_nodes();
            let healthy = if cut_off {
                1.0
            } else {
                self.health[zone].healthy_share(now, self.config.slow_start).min(1.0)
            };
            size += usual_nodes;
            covered += usual_nodes * share * healthy;
            if self.add_credit(zone, share) {
                first_tier |= 1 << zone;
            }
        }
        // The first tier gets the share of the requests that it covers, and no more.
        let ratio = if size > 0.0 { (self.config.overprovision * covered / size).min(1.0) } else { 0.0 };
        self.first_tier_credit = (self.first_tier_credit + ratio).min(2.0);
        if first_tier != 0 && (ratio >= 1.0 || self.first_tier_credit >= 1.0) {
            self.first_tier_credit = (self.first_tier_credit - 1.0).max(0.0);
            return first_tier;
        }
        self.record_demand(now, attempt.priority_weight);
        // If no zone takes the spill, a partly healthy first tier still gets the request.
        match self.spill_zones(now, attempt, cut_off) {
            0 => first_tier,
            spill => spill,
        }
    }

    /// Adds one request's share to the credit of a zone, up to 2, and returns whether the zone is open to it: with a
    /// share above 0 and a credit of at least 1.
    fn add_credit(&mut self, zone: usize, share: f64) -> bool {
        self.credit[zone] = (self.credit[zone] + share).min(2.0);
        share > 0.0 && self.credit[zone] >= 1.0
    }

    /// Goes through the tiers after the first and returns the zones that take this request as spill, from the first tier
    /// that has any; 0: none.
    fn spill_zones(&mut self, now: Micros, attempt: AttemptInfo, cut_off: bool) -> u64 {
        for tier in 1..self.config.tiers.len() {
            let mut bits = 0;
            for k in 0..self.config.tiers[tier].len() {
                let zone = self.config.tiers[tier][k] as usize;
                let share = self.open_share(now, zone, attempt.idempotent, cut_off);
                if share <= 0.0 {
                    continue;
                }
                // A zone in its recovery ramp gets only its share of the spill too.
                let has_credit = self.add_credit(zone, share);
                let min_weight = self.min_spill_weight(now, zone);
                let has_room = match &mut self.spill[zone] {
                    Some(spill) => spill.available(now) >= 1 && attempt.priority_weight >= min_weight,
                    None => true,
                };
                if has_credit && has_room {
                    bits |= 1 << zone;
                } else if !has_room {
                    self.limited[zone] += 1;
                }
            }
            if bits != 0 {
                return bits;
            }
        }
        0
    }

    /// Counts a request in the demand for spill at its priority weight.
    fn record_demand(&mut self, now: Micros, priority_weight: f64) {
        let (per_s, at) = self.spill_demand.entry(priority_weight.max(0.0).to_bits()).or_insert((0.0, now));
        *per_s =
            *per_s * (-(now.saturating_sub(*at) as f64) / 1e6 / DEMAND_DECAY_S).exp() + 1.0 / DEMAND_DECAY_S;
        *at = now;
    }

    /// Priority weight below which requests get no spill to the zone, because the demand at this weight and above uses
    /// all the spill that this gateway may send there; 0: none is excluded. When load is shed, requests with the
    /// lowest priority weight are thus refused first.
    fn min_spill_weight(&self, now: Micros, zone: usize) -> f64 {
        let Some(spill) = &self.spill[zone] else { return 0.0 };
        let supply = spill.per_s();
        let mut demand = 0.0;
        // The bits of non-negative numbers sort in the order of the numbers.
        for (weight, (per_s, at)) in self.spill_demand.iter().rev() {
            demand += per_s * (-(now.saturating_sub(*at) as f64) / 1e6 / DEMAND_DECAY_S).exp();
            if demand >= supply {
                return f64::from_bits(*weight);
            }
        }
        0.0
    }

    /// Records that an attempt is sent to a zone that [`Zones::open_zones`] returned for it.
    pub fn record_send(&mut self, now: Micros, zone: u32) {
        let zone = zone as usize;
        if let Some(credit) = self.credit.get_mut(zone) {
            *credit = (*credit - 1.0).max(0.0);
        }
        if self.tier(zone) != Some(0) {
            if let Some(Some(spill)) = self.spill.get_mut(zone) {
                spill.use_turn(now);
            }
        }
    }

    fn tier(&self, zone: usize) -> Option<usize> {
        self.config.tiers.iter().position(|t| t.contains(&(zone as u32)))
    }

    /// Time after which a client should retry a request that no zone was open to: half a hold plus up to one hold by
    /// `jitter`, from 0 up to 1, so that clients refused together do not return together.
    pub fn retry_after(&self, jitter: f64) -> Micros {
        (self.config.hold as f64 * (0.5 + jitter)) as Micros
    }

    /// State of a zone; `None` if there is no zone with this number.
    pub fn status(&self, now: Micros, zone: u32) -> Option<ZoneStatus> {
        let z = zone as usize;
        let health = self.health.get(z)?;
        Some(ZoneStatus {
            phase: health.phase(),
            since: health.since(),
            open_share: self.open_share(now, z, true, self.seems_cut_off()),
            healthy_share: health.healthy_share(now, self.config.slow_start),
            tier: self.tier(z),
            spill_per_s: self.spill[z].as_ref().map(Spill::per_s),
            spilled: self.spill[z].as_ref().map_or(0, Spill::used_count),
            limited: self.limited[z],
        })
    }
}
