//! Reports of a whole fleet, made one: no report counts twice, none that is missing counts as idle, and no gateway for
//! more than it can hold.

use crate::duration_histogram::DurationHistogram;
use crate::pool_key::{PoolKey, MAX_POOLS};
use crate::pool_meter::WindowReport;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway's number.
pub type GatewayId = u16;
/// A window is as long as this at most, microseconds.
const MAX_WINDOW_MICROS: u64 = 600_000_000;
/// Things that happen in a lane of one gateway in one window, most.
const MAX_EVENTS_PER_WINDOW: u64 = 10_000_000;

/// Why a report is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// Its gateway is not of the fleet.
    UnknownGateway,
    /// It, or a later one, was taken before; or a later process has reported.
    Outdated,
    /// It makes no sense.
    Invalid(String),
}

#[derive(Clone, Debug)]
struct Last {
    life: u64,
    window: u64,
    /// Lives before, of which nothing is taken any more.
    before: BTreeSet<u64>,
    /// The gathering in which it came.
    came: u64,
    span: u64,
    lanes: BTreeMap<PoolKey, Figures>,
}

#[derive(Clone, Debug)]
struct Figures {
    arrivals: u64,
    repeats: u64,
    failed: u64,
    served: u64,
    waits: DurationHistogram,
    holds: DurationHistogram,
}

/// A lane over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTotals {
    /// Connections in use on average, thousandths: arrivals times the time held (Little), each gateway's no more than it
    /// can hold.
    pub demand_milli: u64,
    /// Requests that came for the first time in a window, of each gateway no more than it can have held.
    pub requests: u64,
    /// Requests that came for the first time, and others, for each thousand of both.
    pub repeats_of_thousand: u32,
    /// Failures for each thousand ends.
    pub failed_of_thousand: u32,
    /// Mean wait, microseconds.
    pub wait: u64,
    /// Mean time held, microseconds.
    pub hold: u64,
}

/// Gathers.
#[derive(Clone, Debug, Default)]
pub struct ReportAggregator {
    last: BTreeMap<GatewayId, Last>,
    round: u64,
}

impl ReportAggregator {
    /// Takes a gateway's report.
    ///
    /// # Errors
    /// Why not: it changes nothing.
    pub fn take(
        &mut self,
        fleet: &BTreeSet<GatewayId>,
        from: GatewayId,
        report: &WindowReport,
    ) -> Result<(), ReportError> {
        if !fleet.contains(&from) {
            return Err(ReportError::UnknownGateway);
        }
        let known = self.last.get(&from);
        if known.is_some_and(|l| {
            l.before.contains(&report.life) || (l.life == report.life && report.window <= l.window)
        }) {
            return Err(ReportError::Outdated);
        }
        let odd = |why: String| Err(ReportError::Invalid(why));
        if report.span == 0 || report.span > MAX_WINDOW_MICROS {
            return odd(format!("a window of {} µs", report.span));
        }
        if report.lanes.len() > MAX_POOLS {
            return odd(format!("{} lanes, {MAX_POOLS} at most", report.lanes.len()));
        }
        let mut lanes = BTreeMap::new();
        for (lane, r) in &report.lanes {
            let read = |packed| {
                DurationHistogram::unpack(packed, MAX_EVENTS_PER_WINDOW).map_err(ReportError::Invalid)
            };
            let [arrivals, repeats, failed, served] =
                [r.arrivals, r.repeats, r.failed, r.served].map(u64::from);
            if arrivals + repeats > MAX_EVENTS_PER_WINDOW {
                return odd(format!("{} requests in a window", arrivals + repeats));
            }
            let (waits, holds) = (read(&r.waits)?, read(&r.holds)?);
            lanes.insert(lane.clone(), Figures { arrivals, repeats, failed, served, waits, holds });
        }
        let mut before = known.map(|l| l.before.clone()).unwrap_or_default();
        if let Some(l) = known.filter(|l| l.life != report.life) {
            before.insert(l.life);
            while before.len() > 8 {
                before.pop_first();
            }
        }
        let last = Last {
            life: report.life,
            window: report.window,
            before,
            came: self.round,
            span: report.span,
            lanes,
        };
        self.last.insert(from, last);
        Ok(())
    }

    /// A round is over: what the fleet's lanes were like, if enough of it was heard. `can_hold`: connections that each
    /// gateway has at a group, so that none counts for more; `enough_of_hundred`: gateways that must have reported in
    /// this round or the one before.
    ///
    /// What is missing is not guessed: with too few reports there are no totals at all, and sizes stay.
    pub fn turn(
        &mut self,
        fleet: &BTreeSet<GatewayId>,
        can_hold: impl Fn(GatewayId, &str) -> u32,
        enough_of_hundred: u32,
    ) -> Option<BTreeMap<PoolKey, PoolTotals>> {
        self.last.retain(|g, _| fleet.contains(g));
        let since = self.round.saturating_sub(1);
        self.round += 1;
        let fresh: Vec<(&GatewayId, &Last)> = self.last.iter().filter(|(_, l)| l.came >= since).collect();
        if fresh.len() as u64 * 100 < fleet.len() as u64 * u64::from(enough_of_hundred) || fresh.is_empty() {
            return None;
        }
        let mut all: BTreeMap<PoolKey, Sum> = BTreeMap::new();
        for (gateway, last) in &fresh {
            // What it could hold it shares among its own lanes at a group.
            let mut of_group: BTreeMap<&str, u64> = BTreeMap::new();
            let demand = |f: &Figures| {
                let micros = f.arrivals.saturating_mul(f.holds.mean());
                micros.saturating_mul(1_000) / last.span
            };
            for (lane, figures) in &last.lanes {
                *of_group.entry(&lane.group).or_default() += demand(figures);
            }
            for (lane, figures) in &last.lanes {
                let (own, sum) = (demand(figures), of_group.get(&*lane.group).copied().unwrap_or(0));
                let most = u64::from(can_hold(**gateway, &lane.group)) * 1_000;
                let counts = if sum > most {
                    u64::try_from(u128::from(own) * u128::from(most) / u128::from(sum.max(1))).unwrap_or(own)
                } else {
                    own
                };
                all.entry(lane.clone()).or_default().add(figures, own, counts);
            }
        }
        // Counted up to the whole fleet, where a few are missing: by their number, never by their last word.
        let (heard, there) = (fresh.len() as u64, fleet.len() as u64);
        let totals = all.into_iter().map(|(lane, mut sum)| {
            let narrow = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
            let totals = PoolTotals {
                demand_milli: sum.demand * there / heard.max(1),
                requests: sum.requests * there / heard.max(1),
                repeats_of_thousand: narrow(middle(&mut sum.repeats)),
                failed_of_thousand: narrow(middle(&mut sum.failed)),
                wait: middle(&mut sum.waits),
                hold: middle(&mut sum.holds),
            };
            (lane, totals)
        });
        Some(totals.collect())
    }
}

/// A lane's figures by gateway: what they add up to, and each one's word on what has no sum.
#[derive(Debug, Default)]
struct Sum {
    demand: u64,
    requests: u64,
    repeats: Vec<u64>,
    failed: Vec<u64>,
    waits: Vec<u64>,
    holds: Vec<u64>,
}

impl Sum {
    fn add(&mut self, f: &Figures, own: u64, counts: u64) {
        self.demand += counts;
        self.requests += u64::try_from(u128::from(f.arrivals) * u128::from(counts) / u128::from(own.max(1)))
            .unwrap_or(f.arrivals)
            .min(f.arrivals);
        let came = f.arrivals + f.repeats;
        self.repeats.extend((f.repeats * 1_000).checked_div(came));
        self.failed.extend((f.failed * 1_000).checked_div(f.failed + f.served));
        self.waits.extend(Some(f.waits.mean()).filter(|_| f.waits.count() > 0));
        self.holds.extend(Some(f.holds.mean()).filter(|_| f.holds.count() > 0));
    }
}

/// The mean of the middle half: one that lies, up or down, does not move it.
fn middle(all: &mut [u64]) -> u64 {
    if all.is_empty() {
        return 0;
    }
    all.sort_unstable();
    let cut = all.len() / 4;
    let some = &all[cut..all.len() - cut];
    some.iter().sum::<u64>() / some.len() as u64
}
