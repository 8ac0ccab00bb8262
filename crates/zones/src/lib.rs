//! Decisions about zones, free of I/O: which zones a request may go to now, so that the loss of one does not
//! topple the others and its return does not knock over its nodes.
//!
//! The host feeds in the list of nodes, sends, outcomes and checks with the time; before each attempt it asks
//! [`Zones::open_zones`] for the zones that may be sent to. Rules, each with the setting that bounds it:
//!
//! - **Preference.** Zones stand in tiers. The first tier has all requests while its health, times
//!   [`Config::overprovision`], covers them; what it does not cover goes to the next.
//! - **Spill** is every attempt outside the first tier. All gateways together send a zone no more of it in
//!   any second than [`SpillLimit::rate`]: see [`Spill`]. When it is short, the dearest requests have it.
//! - **Loss.** A zone is dark when what was sent there after the first failure keeps failing at several
//!   nodes, or when the list has none of its nodes. When every zone looks so, it is this gateway that is cut
//!   off, and no verdict is trusted.
//! - **Return.** A dark zone gets checks, no requests. Once they succeed it is held down, longer after
//!   each flap, and then ramped up; at first with requests that are safe to repeat alone.

mod health;
mod spill;

pub use health::{Health, Phase};
pub use spill::Spill;

use std::collections::BTreeMap;

/// A time or a span in microseconds.
pub type Micros = u64;

/// Share of a ramp during which only requests go that are safe to repeat.
const SAFE_FIRST: f64 = 0.3;
/// Share of its requests with which a ramp begins: enough to see how it goes.
const RAMP_FROM: f64 = 0.05;
/// Weight of one report in what is learnt of a node's capacity.
const LEARN: f64 = 0.05;
/// A node less busy than this tells nothing of what it could do.
const BUSY: f64 = 0.1;
/// Time over which the demand for spill is measured, seconds.
const DEMAND_S: f64 = 2.0;
/// Most zones that can be told apart.
pub const MAX_ZONES: usize = 64;

/// A bound on what a zone takes from gateways of others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillLimit {
    /// Attempts in any one second, from all gateways together.
    pub rate: f64,
    /// Share of the zone's capacity, as far as it can be learnt; the lesser of the two holds.
    pub share: f64,
}

/// What the settings say.
#[derive(Clone, Debug)]
pub struct Config {
    /// This gateway's number.
    pub gateway_index: usize,
    /// How many gateways there are.
    pub gateways: usize,
    /// How many zones there are.
    pub zones: usize,
    /// This gateway's tiers: its preferred zones first.
    pub tiers: Vec<Vec<u32>>,
    /// What each zone takes from gateways of others; none: no bound.
    pub limits: Vec<Option<SpillLimit>>,
    /// A tier serves all while its healthy share times this is at least 1.
    pub overprovision: f64,
    /// A dark zone that answers checks is held down for this long, doubled with each flap...
    pub hold: Micros,
    /// ...up to this.
    pub max_hold: Micros,
    /// A flap is forgotten after this long at home.
    pub flap_decay: Micros,
    /// Time of a ramp.
    pub ramp: Micros,
    /// Between two checks of a dark zone.
    pub check_every: Micros,
    /// Dead ends in a row, each sent after the one before was known, that make a zone dark; they must be at
    /// two nodes at least, where there are so many. What was out when nodes died comes back all at once and
    /// counts as one: half of a zone gone is not a zone gone, since what is sent next finds the other half.
    pub failures_to_dark: u32,
    /// Good checks in a row that end the dark: one may be luck on a path that flaps.
    pub checks_to_leave_dark: u32,
    /// Time a cold node takes to be warm, and its share at the start.
    pub slow_start: (Micros, f64),
}

/// What is asked about before an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptInfo {
    /// It may run twice without harm.
    pub idempotent: bool,
    /// What it earns, to choose by when spill is short.
    pub priority_weight: f64,
}

/// How an attempt or a check ended, as far as zones are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node answered, whatever it said.
    Answered,
    /// No connection, a broken one, or silence: signs of a zone that is gone.
    Failed,
    /// It says nothing of the node.
    Inconclusive,
}

/// A node, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its number.
    pub id: u64,
    /// Its zone.
    pub zone: u32,
    /// It takes requests.
    pub ready: bool,
    /// Its start; 0: long ago.
    pub started: Micros,
}

/// A change worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: u32,
    /// What it is now.
    pub phase: Phase,
    /// Why.
    pub reason: &'static str,
}

/// How a zone stands, for the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneStatus {
    /// What it is.
    pub phase: Phase,
    /// Since when.
    pub since: Micros,
    /// Share of its requests that it is open to.
    pub open_share: f64,
    /// Healthy share of its nodes.
    pub healthy_share: f64,
    /// Tier here, from 0.
    pub tier: Option<usize>,
    /// Spill allowed to this gateway, a second; none: no bound.
    pub spill_per_s: Option<f64>,
    /// Spill sent from here so far.
    pub spilled: u64,
    /// Requests that found no zone open because of this one's limit.
    pub limited: u64,
}

/// The decisions about zones at one gateway.
#[derive(Debug)]
pub struct Zones {
    config: Config,
    health: Vec<Health>,
    spill: Vec<Option<Spill>>,
    /// Shares owed to each zone, so that a part of the requests is a part also of a few.
    credit: Vec<f64>,
    home_credit: f64,
    wanted: BTreeMap<u64, (f64, Micros)>,
    short: Vec<u64>,
    drained: Vec<bool>,
    /// Requests a second that a node of each zone can do, as learnt from reports; 0: nothing learnt.
    capacity: Vec<f64>,
    changes: Vec<ZoneChange>,
}

impl Zones {
    /// All zones at home.
    pub fn new(config: Config, now: Micros) -> Zones {
        let n = config.zones;
        let limits = config.limits.iter().chain(std::iter::repeat(&None)).take(n);
        let spill = limits.map(|l| l.map(|l| Spill::new(l.rate, config.gateway_index, config.gateways, now)));
        Zones {
            health: (0..n).map(|_| Health::new(now, config.failures_to_dark)).collect(),
            spill: spill.collect(),
            credit: vec![0.0; n],
            home_credit: 1.0,
            wanted: BTreeMap::new(),
            short: vec![0; n],
            drained: vec![false; n],
            capacity: vec![0.0; n],
            changes: vec![],
            config,
        }
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes the whole list of nodes.
    pub fn set_nodes(&mut self, now: Micros, nodes: &[Node]) {
        for zone in 0..self.config.zones {
            let mine = nodes.iter().filter(|n| n.zone as usize == zone);
            let change = self.health[zone].set_nodes(now, mine);
            self.note(zone, change);
        }
    }

    /// Staff take a zone out of use, or give it back: through the same ramp as after a loss.
    pub fn drain(&mut self, now: Micros, zone: u32, drained: bool) {
        let Some(place) = self.drained.get_mut(zone as usize) else { return };
        if std::mem::replace(place, drained) != drained {
            let change = self.health[zone as usize].set_drained(now, drained);
            self.note(zone as usize, change);
        }
    }

    /// An attempt or a check ended; `sent` is when it went out.
    pub fn record_outcome(&mut self, now: Micros, zone: u32, node: u64, sent: Micros, end: AttemptOutcome) {
        let Some(health) = self.health.get_mut(zone as usize) else { return };
        let change = health.record_outcome(now, node, sent, end, &self.config);
        self.note(zone as usize, change);
    }

    /// A node reported its load with an answer: what it holds, its busy share, and the time of the answer, seconds.
    /// By Little's law it does held / time requests a second, and could do so many over its busy share.
    pub fn record_load_report(&mut self, zone: u32, held: f64, busy: f64, took: f64) {
        let z = zone as usize;
        let sound = held > 0.0 && took > 0.0 && (BUSY..=1.5).contains(&busy);
        if !sound || z >= self.capacity.len() {
            return;
        }
        let now = held / took / busy.min(1.0);
        let known = &mut self.capacity[z];
        *known = if *known == 0.0 { now } else { *known + LEARN * (now - *known) };
        if let (Some(Some(limit)), Some(Some(spill))) = (self.config.limits.get(z), self.spill.get_mut(z)) {
            let whole = *known * self.health[z].ready_nodes() as f64;
            spill.reduce_rate((limit.share * whole).min(limit.rate), limit.rate);
        }
    }

    /// Nodes of dark and held-down zones to be checked now: call it often.
    pub fn due_checks(&mut self, now: Micros) -> Vec<u64> {
        let every = self.config.check_every;
        (0..self.config.zones)
            .filter(|z| !self.drained[*z])
            .flat_map(|z| self.health[z].due_checks(now, every))
            .collect()
    }

    /// Lets time pass: holds end, ramps go on.
    pub fn advance(&mut self, now: Micros) {
        for zone in 0..self.config.zones {
            let change = self.health[zone].advance(now, &self.config);
            self.note(zone, change);
        }
    }

    fn note(&mut self, zone: usize, change: Option<(Phase, &'static str)>) {
        if let Some((phase, reason)) = change {
            self.changes.push(ZoneChange { zone: zone as u32, phase, reason });
        }
    }

    /// Every zone looks dark by what was tried: then it is this gateway that is cut off.
    fn alone(&self) -> bool {
        self.health.iter().filter(|h| h.ever_listed()).all(|h| h.looks_unreachable())
            && self.health.iter().any(Health::ever_listed)
    }

    /// Share of a zone's requests that it is open to now.
    fn share(&self, now: Micros, zone: usize, safe: bool, alone: bool) -> f64 {
        let health = &self.health[zone];
        if self.drained[zone] || health.has_no_ready_nodes() {
            return 0.0;
        }
        if alone {
            return 1.0;
        }
        match health.phase() {
            Phase::Home => 1.0,
            Phase::Dark | Phase::Held => 0.0,
            Phase::Ramp => {
                let gone = now.saturating_sub(health.since()) as f64 / self.config.ramp.max(1) as f64;
                if gone < SAFE_FIRST && !safe {
                    return 0.0;
                }
                (RAMP_FROM + (1.0 - RAMP_FROM) * gone).min(1.0)
            }
        }
    }

    /// The zones that an attempt may go to now, a bit each. None: it is to be refused.
    pub fn open_zones(&mut self, now: Micros, attempt: AttemptInfo) -> u64 {
        let alone = self.alone();
        let (mut home, mut covered, mut size) = (0, 0.0, 0.0);
        for k in 0..self.config.tiers.first().map_or(0, Vec::len) {
            let zone = self.config.tiers[0][k] as usize;
            let share = self.share(now, zone, attempt.idempotent, alone);
            let usual = self.health[zone].usual_nodes();
            let there = if alone {
                1.0
            } else {
                self.health[zone].healthy_share(now, self.config.slow_start).min(1.0)
            };
            size += usual;
            covered += usual * share * there;
            if self.owes(zone, share) {
                home |= 1 << zone;
            }
        }
        // The part of the requests that the first tier covers goes there, and no other.
        let ratio = if size > 0.0 { (self.config.overprovision * covered / size).min(1.0) } else { 0.0 };
        self.home_credit = (self.home_credit + ratio).min(2.0);
        if home != 0 && (ratio >= 1.0 || self.home_credit >= 1.0) {
            self.home_credit = (self.home_credit - 1.0).max(0.0);
            return home;
        }
        self.want(now, attempt.priority_weight);
        // With nowhere to spill to, a tier that is only partly well still serves what it can.
        match self.spill_bits(now, attempt, alone) {
            0 => home,
            spilled => spilled,
        }
    }

    /// Adds a request's share to what a zone is owed; whether it is owed a whole one. So a share of the requests is
    /// that also where they are few.
    fn owes(&mut self, zone: usize, share: f64) -> bool {
        self.credit[zone] = (self.credit[zone] + share).min(2.0);
        share > 0.0 && self.credit[zone] >= 1.0
    }

    /// The first further tier with a zone that takes this request as spill.
    fn spill_bits(&mut self, now: Micros, attempt: AttemptInfo, alone: bool) -> u64 {
        for tier in 1..self.config.tiers.len() {
            let mut bits = 0;
            for k in 0..self.config.tiers[tier].len() {
                let zone = self.config.tiers[tier][k] as usize;
                let share = self.share(now, zone, attempt.idempotent, alone);
                if share <= 0.0 {
                    continue;
                }
                // A share of the requests here as well: a zone on its way back is ramped for all who come.
                let owed = self.owes(zone, share);
                let cutoff = self.cutoff(now, zone);
                let room = match &mut self.spill[zone] {
                    Some(spill) => spill.available(now) >= 1 && attempt.priority_weight >= cutoff,
                    None => true,
                };
                if owed && room {
                    bits |= 1 << zone;
                } else if !room {
                    self.short[zone] += 1;
                }
            }
            if bits != 0 {
                return bits;
            }
        }
        0
    }

    /// Books the demand for spill by worth.
    fn want(&mut self, now: Micros, worth: f64) {
        let (value, at) = self.wanted.entry(worth.max(0.0).to_bits()).or_insert((0.0, now));
        *value = *value * (-(now.saturating_sub(*at) as f64) / 1e6 / DEMAND_S).exp() + 1.0 / DEMAND_S;
        *at = now;
    }

    /// The worth below which requests find no spill, because the dearer ones use all that this gateway has:
    /// the design's order of shedding.
    fn cutoff(&self, now: Micros, zone: usize) -> f64 {
        let Some(spill) = &self.spill[zone] else { return 0.0 };
        let supply = spill.per_s();
        let mut above = 0.0;
        // Bits of non-negative numbers sort as the numbers do.
        for (worth, (value, at)) in self.wanted.iter().rev() {
            above += value * (-(now.saturating_sub(*at) as f64) / 1e6 / DEMAND_S).exp();
            if above >= supply {
                return f64::from_bits(*worth);
            }
        }
        0.0
    }

    /// An attempt goes out to this zone, as [`Zones::open_zones`] allowed.
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

    /// How long a request without a zone should stay away; `roll` from 0 up to 1 spreads those refused together,
    /// so that their clients do not return as one.
    pub fn retry_after(&self, roll: f64) -> Micros {
        (self.config.hold as f64 * (0.5 + roll)) as Micros
    }

    /// How a zone stands.
    pub fn status(&self, now: Micros, zone: u32) -> Option<ZoneStatus> {
        let z = zone as usize;
        let health = self.health.get(z)?;
        Some(ZoneStatus {
            phase: health.phase(),
            since: health.since(),
            open_share: self.share(now, z, true, self.alone()),
            healthy_share: health.healthy_share(now, self.config.slow_start),
            tier: self.tier(z),
            spill_per_s: self.spill[z].as_ref().map(Spill::per_s),
            spilled: self.spill[z].as_ref().map_or(0, Spill::used_count),
            limited: self.short[z],
        })
    }
}
