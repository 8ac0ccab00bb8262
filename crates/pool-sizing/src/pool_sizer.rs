//! Sizes of lanes: first from arrivals and times held, then by small changes that are undone where they do not help.
//!
//! What is over the mean use of all lanes is shared by the square root of each one's use (Kleinrock's capacity
//! assignment, Communication Nets, 1964): the least mean wait for a given sum. Then one connection at a time goes from
//! a lane to another, where a model of the queues, corrected by the waits that were seen, says that it should help, and stays there only if the mean wait of both lanes' requests fell against the lanes left alone.

use crate::aggregation::PoolTotals;
use crate::pool_key::PoolKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// New figures weigh a quarter.
const SMOOTHING: u64 = 4;
/// A lane whose use is off what is known by more than half, twice in a row, is taken at its new word.
const SHIFTED_WINDOWS: u8 = 2;
/// A lane is resized when it is off by more than one connection, and by more than this part.
const RESIZE_DIVISOR: u32 = 8;
/// Servers are slow where most lanes hold for half as long again as they did.
const SLOWDOWN_PERCENT: u64 = 150;
/// Repeats over this part of a thousand are a storm.
const RETRY_STORM_PER_MILLE: u32 = 250;
/// Windows that a try lasts before it is judged.
const TRIAL_WINDOWS: u32 = 12;
/// Windows that are left in peace after sizes changed by use; after a try that did not help twice as many as before it.
const PAUSE_WINDOWS: u32 = 6;
const MAX_PAUSE_WINDOWS: u32 = 192;
/// A try must lower the wait by this part of a hundred, against lanes left alone.
const MIN_IMPROVEMENT_PERCENT: u64 = 15;
/// A lane gives a connection away only if it stays under this part of a hundred in use: beyond it waits grow without
/// bound, and a try would be an outage.
const MAX_UTILIZATION_PERCENT: u64 = 75;
/// A try is undone at once where waits are so many times what they were.
const ABORT_FACTOR: u64 = 2;

/// Why sizes were changed, or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SizingOutcome {
    /// By arrivals and times held.
    Use,
    /// A try began.
    Try,
    /// It did not help: undone.
    Undone,
    /// It helped: kept.
    Kept,
    /// All is well enough.
    Rest,
    /// Servers are slow: more connections do not cure that.
    Slow,
    /// Repeats: that is no demand.
    Storm,
    /// Too few reports.
    Unheard,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Known {
    size: u32,
    /// Mean use, thousandths.
    use_milli: u64,
    /// Time held while nothing was wrong, microseconds.
    hold: u64,
    /// Mean wait, microseconds.
    wait: u64,
    /// Requests in a window.
    requests: u64,
    off: u8,
    /// The size that use wanted when sizes were last made by it.
    base: u32,
}

impl Known {
    /// The mean wait that so many connections should have, microseconds: Sakasegawa's approximation for several servers
    /// (1977), by as much off as it is at the present size.
    fn expected(&self, size: u32) -> f64 {
        let model = |size: u32| {
            let (c, load) = (f64::from(size.max(1)), self.use_milli as f64 / 1e3);
            let busy = (load / c).min(0.98);
            self.hold as f64 * busy.powf((2.0 * (c + 1.0)).sqrt() - 1.0) / (c * (1.0 - busy))
        };
        let off = (self.wait as f64 / model(self.size).max(1.0)).clamp(0.25, 4.0);
        model(size) * off
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Try {
    from: PoolKey,
    to: PoolKey,
    windows: u32,
    /// Mean waits before: of the two lanes' requests, and of the others'.
    before: (u64, u64),
    /// Sums over its windows.
    during: (u64, u64),
    failed: u32,
}

/// The learner of one group of servers. Its state is data: it goes on where another left off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSizer {
    lanes: BTreeMap<PoolKey, Known>,
    tried: Option<Try>,
    peace: u32,
    /// How long it is after the next try that does not help.
    patience: u32,
}

impl PoolSizer {
    /// Sizes as they are.
    pub fn sizes(&self) -> BTreeMap<PoolKey, u32> {
        self.lanes.iter().map(|(lane, k)| (lane.clone(), k.size)).collect()
    }

    /// A window of the whole fleet, or none where too few were heard; `connections`: what there is for all lanes. Sizes
    /// are in [`PoolSizer::sizes`]; they add up to no more.
    pub fn window(
        &mut self,
        totals: Option<&BTreeMap<PoolKey, PoolTotals>>,
        connections: u32,
    ) -> SizingOutcome {
        let Some(totals) = totals else {
            // A try that cannot be judged is none.
            return if self.undo() { SizingOutcome::Undone } else { SizingOutcome::Unheard };
        };
        let fresh = totals.keys().any(|l| !self.lanes.contains_key(l));
        for lane in totals.keys() {
            self.lanes.entry(lane.clone()).or_default();
        }
        let held: Vec<(u64, u64)> = (self.lanes.iter())
            .filter_map(|(l, k)| Some((totals.get(l)?.hold, k.hold)))
            .filter(|(now, before)| *now > 0 && *before > 0)
            .collect();
        let slower = held.iter().filter(|(now, before)| now * 100 > before * SLOWDOWN_PERCENT).count();
        // One lane alone may have other work than before; where most of two and more are slower, it is the servers.
        let slow = held.len() >= 2 && slower * 2 > held.len();
        let came: Vec<&PoolTotals> = totals.values().filter(|t| t.demand_milli > 0).collect();
        let storm =
            came.iter().filter(|t| t.repeats_of_thousand > RETRY_STORM_PER_MILLE).count() * 2 > came.len();
        let over = self.sum() > connections;
        if (slow || storm) && !fresh && !over {
            self.undo();
            // Holds are learnt anew in the end, if they stay so: very slowly.
            for (lane, k) in &mut self.lanes {
                if let Some(t) = totals.get(lane).filter(|t| t.hold > 0) {
                    k.hold = (k.hold * 63 + t.hold) / 64;
                }
            }
            return if slow { SizingOutcome::Slow } else { SizingOutcome::Storm };
        }
        self.learn(totals);
        if self.resize(connections, fresh || over) {
            self.tried = None;
            (self.peace, self.patience) = (PAUSE_WINDOWS, PAUSE_WINDOWS);
            return SizingOutcome::Use;
        }
        if self.tried.is_some() {
            return self.judge(totals);
        }
        if self.peace > 0 {
            self.peace -= 1;
            return SizingOutcome::Rest;
        }
        self.begin()
    }

    fn sum(&self) -> u32 {
        self.lanes.values().map(|k| k.size).sum()
    }

    fn learn(&mut self, totals: &BTreeMap<PoolKey, PoolTotals>) {
        for (lane, k) in &mut self.lanes {
            let t = totals.get(lane).copied().unwrap_or_default();
            let (now, known) = (t.demand_milli, k.use_milli);
            // A connection's worth is noise, and so is thrice what so many requests vary by (sums of n random times, by
            // one over the root of n).
            let varies = 3 * known / k.requests.isqrt().max(1);
            let off = now.abs_diff(known) > (known / 2).max(1_000).max(varies);
            k.off = if off { k.off.saturating_add(1) } else { 0 };
            if k.size == 0 || k.off >= SHIFTED_WINDOWS {
                (k.use_milli, k.off) = (now, 0);
            } else if !off {
                k.use_milli = (known * (SMOOTHING - 1) + now) / SMOOTHING;
            }
            let blend =
                |old: u64, new: u64| if old == 0 { new } else { (old * (SMOOTHING - 1) + new) / SMOOTHING };
            if t.hold > 0 {
                k.hold = blend(k.hold, t.hold);
            }
            k.wait = blend(k.wait, t.wait);
            k.requests = blend(k.requests, t.requests);
        }
    }

    /// What each lane should have by use: its own, and of the rest by square roots; whole ones, the largest rests first.
    fn target(&self, connections: u32) -> BTreeMap<PoolKey, u32> {
        let there = u64::from(connections) * 1_000;
        let uses: u64 = self.lanes.values().map(|k| k.use_milli).sum();
        let roots: u64 = self.lanes.values().map(|k| (k.use_milli * 1_000).isqrt()).sum();
        let part = |k: &Known| {
            if uses >= there {
                return u64::try_from(u128::from(there) * u128::from(k.use_milli) / u128::from(uses.max(1)))
                    .unwrap_or(there);
            }
            k.use_milli + (there - uses) * (k.use_milli * 1_000).isqrt() / roots.max(1)
        };
        let mut parts: Vec<(&PoolKey, u64)> = self.lanes.iter().map(|(l, k)| (l, part(k))).collect();
        let mut sizes: BTreeMap<PoolKey, u32> = (parts.iter())
            .map(|(l, p)| ((*l).clone(), u32::try_from(p / 1_000).unwrap_or(u32::MAX)))
            .collect();
        // None that is used has nothing, while there is enough for one each.
        let used = |l: &PoolKey| self.lanes.get(l).is_some_and(|k| k.use_milli > 0);
        for (lane, size) in &mut sizes {
            *size = (*size).max(u32::from(used(lane)));
        }
        parts.sort_by(|a, b| (b.1 % 1_000, a.0).cmp(&(a.1 % 1_000, b.0)));
        let mut left = i64::from(connections) - sizes.values().map(|n| i64::from(*n)).sum::<i64>();
        for (lane, _) in parts.iter().filter(|(l, _)| used(l)) {
            if left > 0 {
                *sizes.entry((*lane).clone()).or_default() += 1;
                left -= 1;
            }
        }
        while left < 0 {
            let Some(largest) = sizes.iter_mut().max_by_key(|(l, n)| (**n, std::cmp::Reverse((*l).clone())))
            else {
                break;
            };
            *largest.1 = largest.1.saturating_sub(1);
            left += 1;
        }
        sizes
    }

    /// Brings sizes to what use wants, where they are off by more than is worth a change.
    fn resize(&mut self, connections: u32, must: bool) -> bool {
        let target = self.target(connections);
        let off = |l: &PoolKey, k: &Known| {
            let to = target.get(l).copied().unwrap_or(0);
            // Not against the size that it has: what a try has shown to be better stays while use stays.
            let apart = to.abs_diff(k.base);
            apart > 1 && apart > k.base.max(to) / RESIZE_DIVISOR
        };
        if !must && !self.lanes.iter().any(|(l, k)| off(l, k)) {
            return false;
        }
        let mut any = false;
        for (lane, k) in &mut self.lanes {
            let to = target.get(lane).copied().unwrap_or(0);
            any |= k.size != to;
            (k.size, k.base) = (to, to);
        }
        any
    }

    /// Mean waits of some lanes' requests.
    fn waits(totals: &BTreeMap<PoolKey, PoolTotals>, of: impl Fn(&PoolKey) -> bool) -> u64 {
        let some = || totals.iter().filter(|(l, _)| of(l));
        let sum: u64 = some().map(|(_, t)| t.requests.max(1)).sum();
        let waits: u128 = some().map(|(_, t)| u128::from(t.wait) * u128::from(t.requests.max(1))).sum();
        u64::try_from(waits / u128::from(sum.max(1))).unwrap_or(u64::MAX)
    }

    /// Tries one connection elsewhere: where the mean wait of all requests should fall most, if it should at all.
    fn begin(&mut self) -> SizingOutcome {
        let used: Vec<(&PoolKey, &Known)> = self.lanes.iter().filter(|(_, k)| k.use_milli > 0).collect();
        // Two to change, and one at least to be left alone.
        if used.len() < 3 {
            return SizingOutcome::Rest;
        }
        let can_give = |k: &Known| {
            k.size > 1 && u64::from(k.size - 1) * 1_000 * MAX_UTILIZATION_PERCENT / 100 >= k.use_milli
        };
        let all: f64 = used.iter().map(|(_, k)| k.requests as f64 * k.wait as f64).sum();
        let gain = |from: &Known, to: &Known| {
            let change = |k: &Known, size: u32| (k.expected(size) - k.expected(k.size)) * k.requests as f64;
            -(change(from, from.size.saturating_sub(1)) + change(to, to.size + 1))
        };
        let pairs = used.iter().flat_map(|f| used.iter().map(move |t| (f, t)));
        let best = pairs
            .filter(|(f, t)| f.0 != t.0 && can_give(f.1))
            .map(|(f, t)| (gain(f.1, t.1), f.0, t.0))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let worth = all * MIN_IMPROVEMENT_PERCENT as f64 / 100.0;
        let Some((_, from, to)) = best.filter(|(gain, _, _)| *gain > worth) else {
            self.peace = PAUSE_WINDOWS;
            return SizingOutcome::Rest;
        };
        let (from, to) = (from.clone(), to.clone());
        let known = |of: &dyn Fn(&PoolKey) -> bool| {
            let some: BTreeMap<PoolKey, PoolTotals> = (self.lanes.iter().filter(|(l, _)| of(l)))
                .map(|(l, k)| {
                    (l.clone(), PoolTotals { requests: k.requests, wait: k.wait, ..PoolTotals::default() })
                })
                .collect();
            PoolSizer::waits(&some, |_| true)
        };
        let before = (known(&|l| *l == from || *l == to), known(&|l| *l != from && *l != to));
        if let Some(k) = self.lanes.get_mut(&from) {
            k.size -= 1;
        }
        if let Some(k) = self.lanes.get_mut(&to) {
            k.size += 1;
        }
        self.tried = Some(Try { from, to, windows: 0, before, during: (0, 0), failed: 0 });
        SizingOutcome::Try
    }

    fn judge(&mut self, totals: &BTreeMap<PoolKey, PoolTotals>) -> SizingOutcome {
        let Some(t) = &mut self.tried else { return SizingOutcome::Rest };
        let (from, to) = (t.from.clone(), t.to.clone());
        t.windows += 1;
        let now = PoolSizer::waits(totals, |l| *l == from || *l == to);
        t.during.0 += now;
        t.during.1 += PoolSizer::waits(totals, |l| *l != from && *l != to);
        t.failed += u32::from(totals.get(&to).is_some_and(|x| x.failed_of_thousand > 100));
        let n = u64::from(t.windows);
        let (before, during) = (t.before, (t.during.0 / n, t.during.1 / n));
        // As the lanes left alone went, these would have gone: no more than by half or double.
        let drift = (during.1.max(100) * 100 / before.1.max(100)).clamp(50, 200);
        let expected = before.0 * drift / 100;
        let worse = now > ABORT_FACTOR * expected.max(500);
        if t.windows < TRIAL_WINDOWS && !worse {
            return SizingOutcome::Rest;
        }
        let better =
            during.0 * 100 < expected * (100 - MIN_IMPROVEMENT_PERCENT) && t.failed * 2 < TRIAL_WINDOWS;
        if better && !worse {
            self.tried = None;
            (self.peace, self.patience) = (PAUSE_WINDOWS, PAUSE_WINDOWS);
            return SizingOutcome::Kept;
        }
        self.undo();
        self.patience = (self.patience.max(PAUSE_WINDOWS) * 2).min(MAX_PAUSE_WINDOWS);
        self.peace = self.patience;
        SizingOutcome::Undone
    }

    fn undo(&mut self) -> bool {
        let Some(t) = self.tried.take() else { return false };
        if let Some(k) = self.lanes.get_mut(&t.to) {
            k.size = k.size.saturating_sub(1);
        }
        if let Some(k) = self.lanes.get_mut(&t.from) {
            k.size += 1;
        }
        true
    }
}
