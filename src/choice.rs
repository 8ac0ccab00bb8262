//! Every decision of the gateway. The interface, types only, is `src/api.rs`.
//!
//! The ordinary path is the peak load control of Lee and Min (2007, Figure 10), one pacer a customer.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Pacing.
const INTERVAL: Micros = 500_000; // µs; the paper's interval: long enough for a few requests of a small plan
const DELTA_MS: f64 = 10.0; // ms; the paper's δ: a delay this short smooths nothing, so it may fall to none
const BETA: f64 = 0.5; // the paper's β: a cap-long delay is gone within some four quiet intervals
const HOLD_OF_AIM: f64 = 0.15; // most of the aim that a hold may use; the answer needs the rest
                               // Metered share.
const MEMORY_S: f64 = 1.5; // s; horizon of use rates: about the age of what the meter tells
const METER_STALE: Micros = 4_000_000; // µs; an older figure of use says nothing, the even slice serves
const DEBT_OF_BURST: f64 = 0.5; // most of a burst that others' use may put a bucket below nothing
const ROUND: Micros = 100_000; // µs; housekeeping, and how often use is told: well under any burst's length
const PEER_FRESH: Micros = 1_500_000; // µs; a peer not heard for this long may be down or cut off
const HEARTBEAT: Micros = 500_000; // µs; three lost in a row are rarer than a peer that is down
const MAIL_PART: f64 = 0.8; // part of a gateway's intake that its peers fill together
const COUNTER_TTL: Micros = 60_000_000; // µs; the longest life a counter's name may have
const COUNTER_TRIALS: usize = 1; // calls a round while the counter is silent, to see it return
                                 // Servers.
const START_ITEM_US: f64 = 40_000.0; // µs; time per request held before any was seen; soon replaced
const ITEM_GAIN: f64 = 0.1; // weight of one answer in a server's time per request held
const OK_GAIN: f64 = 0.1; // weight of one outcome in a server's success score
const OK_EJECT: f64 = 0.8; // score below which a server is ejected: three errors in quick succession
const OK_DOUBT: f64 = 0.9; // fragile requests avoid servers scored under this, others may try them
const OK_CLEAR: f64 = 0.97; // a score that clears the record of past ejections
const OK_TRIAL: f64 = 0.85; // score after an ejection: the next error ejects again
const HEAL_S: f64 = 5.0; // s; an old verdict fades in this time, so that an unused server is tried again
const EJECT: Micros = 1_000_000; // µs; first ejection; doubles each time
const EJECT_DOUBLINGS: u32 = 4; // so the longest is 16 s, under a usual outage
const EJECT_SHARE: f64 = 0.5; // when more than this share looks bad, no verdict is trusted
const FULL_PAUSE: Micros = 100_000; // µs; a full server is left alone this long
const REPORT_S: f64 = 1.0; // s; a report's weight falls by e in this time
const CROSS_ZONE: f64 = 1.1; // a server elsewhere must look this much better
const LAST_RESORT: f64 = 10.0; // a server that just turned this or any request away comes last
const DOUBTED: f64 = 3.0; // weight against a doubted server for what cannot be repeated
const PROBE_EVERY: Micros = 400_000; // µs; per server, where only probes bring reports
const COLD_SAFETY: f64 = 0.5; // part of the fall budget used: requests differ in size, rates in time
                              // Requests.
const PRESS_OF_AIM: f64 = 1.0; // no server expected to answer within this part of the aim: refuse at once
const ANSWER_OF_AIM: f64 = 0.22; // mean time to answer aimed at when short: longer queues end past the aim
const FLOW_ROOM: f64 = 1.15; // room over what the flow of answers holds, so that it can grow
const FLOOR_HELD: f64 = 5.0; // requests a server may hold from all gateways however few answers come
const USUAL_RANK: f64 = 0.7; // most tries are first ones, but on bad days only some four in ten
const USUAL_STEP: f64 = 0.02; // of the deadline; some fifty tries bring the usual patience home
const SHORT: f64 = 0.92; // a patience under this part of the usual shows a later try, not a slow network
const STRAIN_GAIN: f64 = 0.05; // weight of one answer in the mean time to answer: some twenty answers
const LEAST_ROOM: f64 = 0.5; // part of the room open to what earns nothing; the dearest has it all
const SPARE_OF_AIM: f64 = 0.25; // servers this far under the aim have room for use beyond quotas
const RETRY_SHARE: f64 = 0.15; // further attempts per first attempt
const RETRY_MOST: f64 = 10.0; // most further attempts saved up

/// A rate in units a second that fades over a horizon.
#[derive(Clone, Copy, Default)]
struct Rate {
    value: f64,
    at: Micros,
}

impl Rate {
    fn get(&self, now: Micros) -> f64 {
        self.value * (-seconds(now.saturating_sub(self.at)) / MEMORY_S).exp()
    }
    fn add(&mut self, now: Micros, units: f64) {
        *self = Rate { value: self.get(now) + units / MEMORY_S, at: now };
    }
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

// ---- Customers: bucket, metered share, pacer, ceiling ----

#[derive(Default)]
struct Customer {
    plan: usize,
    spread: usize,
    first: usize,
    seen: Micros,
    level: f64,
    filled: Micros,
    mine: Rate,
    others: Rate,
    metered: f64,
    metered_at: Micros,
    delay_ms: f64,
    interval_at: Micros,
    arrived: f64,
    next_leave: Micros,
    held_units: f64,
    open: u32,
    slice: f64,
    sliced: Micros,
    sent: f64,
    heard: Vec<(usize, u32, u32)>,
    total: f64,
    uncounted: f64,
    adding: f64,
    calling: bool,
}

impl Customer {
    /// This gateway's metered share of the quota, floored at the even slice.
    fn share(&self, now: Micros, told: bool) -> f64 {
        let mine = self.mine.get(now);
        let total = if told {
            mine + self.others.get(now)
        } else if self.metered_at > 0 && now - self.metered_at < METER_STALE {
            self.metered
        } else {
            f64::INFINITY
        };
        (mine / total.max(1e-9)).clamp(1.0 / self.spread as f64, 1.0)
    }

    /// Fills the bucket and the ceiling's slice up to now.
    ///
    /// Where others' use is told unit by unit it is drawn here, so the bucket fills at the whole quota.
    fn refill(&mut self, now: Micros, plan: &Plan, told: bool) {
        let share = if told { 1.0 } else { self.share(now, told) };
        let dt = seconds(now.saturating_sub(self.filled));
        self.level = (self.level + dt * plan.rate * share).min(plan.burst * share);
        self.filled = self.filled.max(now);
        let most = (plan.ceiling_burst + plan.ceiling_slack) / self.spread as f64;
        let dt = seconds(now.saturating_sub(self.sliced));
        self.slice = (self.slice + dt * plan.ceiling_rate / self.spread as f64).min(most);
        self.sliced = self.sliced.max(now);
    }

    /// Ends the pacer's intervals that are over: the paper's Figure 10.
    fn pace(&mut self, now: Micros, quota: f64, cap_ms: f64) {
        while now >= self.interval_at + INTERVAL {
            let over = self.arrived / seconds(INTERVAL) - quota;
            self.delay_ms = if over > 0.0 {
                let before = if self.delay_ms == 0.0 { 1.0 } else { self.delay_ms };
                (over / f64::from(self.open.max(1)) * before).min(cap_ms)
            } else if self.delay_ms > DELTA_MS {
                self.delay_ms * BETA
            } else {
                0.0
            };
            self.arrived = 0.0;
            self.interval_at += INTERVAL;
            if self.delay_ms == 0.0 {
                self.interval_at += (now - self.interval_at) / INTERVAL * INTERVAL;
            }
        }
    }

    /// Whether a try may go within the quota.
    fn covers(&self, units: f64, plan: &Plan, share: f64) -> bool {
        let most_open = (f64::from(plan.open) * share).round().max(1.0);
        (plan.rate == 0.0 || self.level >= units) && (plan.open == 0 || f64::from(self.open) <= most_open)
    }

    /// Whether this gateway's slice of the hard ceiling holds the units.
    fn ceiling_holds(&self, units: f64, plan: &Plan) -> bool {
        plan.ceiling_rate <= 0.0 || self.slice >= units
    }

    /// Draws what others are told to have used. Units that two gateways took at once leave a debt.
    fn draw_told(&mut self, now: Micros, units: f64, plan: &Plan) {
        self.level = (self.level - units).max((-plan.burst * DEBT_OF_BURST).min(self.level));
        self.others.add(now, units);
    }
}

// ---- Servers: health, load, cold ramp ----

#[derive(Default)]
struct Server {
    entry: Entry,
    open: u32,
    item_us: f64,
    others: f64,
    reported: Micros,
    ok: f64,
    judged: Micros,
    ejected: Micros,
    ejections: u32,
    shut: Micros,
    probed: Micros,
    sent: VecDeque<Micros>,
}

impl Server {
    /// Requests expected there: our own, always fresh, and others' as last reported, fading with age.
    fn holds(&self, now: Micros) -> f64 {
        let age = seconds(now.saturating_sub(self.reported));
        f64::from(self.open) + self.others * (-age / REPORT_S).exp()
    }

    /// Share of its capacity that is there at least.
    fn ramp(&self, now: Micros, rules: &Rules) -> f64 {
        if self.entry.ready_at == 0 || rules.cold == 0 {
            return 1.0;
        }
        let up = now.saturating_sub(self.entry.ready_at) as f64 / rules.cold as f64;
        (rules.cold_from + (1.0 - rules.cold_from) * up).clamp(0.01, 1.0)
    }

    fn heed(&mut self, now: Micros, load: &Load, gateways: usize) {
        if let Some(inflight) = load.inflight.filter(|l| l.is_finite()) {
            self.others = (inflight - f64::from(self.open)).max(0.0);
        } else if let Some(queue) = load.queue.filter(|l| l.is_finite()) {
            self.others = queue.max(0.0) * (1.0 - 1.0 / gateways as f64);
        } else {
            return;
        }
        self.reported = now;
    }

    /// Share of outcomes that were good, fading to all as the verdict ages.
    fn success(&self, now: Micros) -> f64 {
        1.0 - (1.0 - self.ok) * (-seconds(now.saturating_sub(self.judged)) / HEAL_S).exp()
    }

    /// Books one outcome; a server that keeps failing is ejected for a time that doubles.
    fn judge(&mut self, now: Micros, good: bool, dead: bool) {
        self.ok = self.success(now);
        self.ok += OK_GAIN * (f64::from(u8::from(good)) - self.ok);
        self.judged = now;
        if good && self.ok > OK_CLEAR {
            self.ejections = 0;
        }
        if (dead || self.ok < OK_EJECT) && now >= self.ejected {
            self.ejected = now + (EJECT << self.ejections.min(EJECT_DOUBLINGS));
            self.ejections += 1;
            self.ok = OK_TRIAL;
        }
    }
}

// ---- Requests ----

struct Attempt {
    server: ServerId,
    sent: Micros,
    open: bool,
    may_have_run: bool,
    held: f64,
}

#[derive(Default)]
struct Request {
    class: usize,
    plan: usize,
    customer: CustomerId,
    units: f64,
    arrived: Micros,
    waited: Micros,
    deadline: Micros,
    held: bool,
    inside: bool,
    started: bool,
    done: bool,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
enum Due {
    Round,
    Leave(RequestId),
    Deadline(RequestId),
}

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    launched: Micros,
    life: u32,
    servers: BTreeMap<ServerId, Server>,
    customers: BTreeMap<CustomerId, Customer>,
    idle: VecDeque<(Micros, CustomerId)>,
    requests: BTreeMap<RequestId, Request>,
    timers: BTreeMap<u64, Due>,
    next_timer: u64,
    sends: Rate,
    flow: Rate,
    strain: f64,
    dearest: f64,
    usual: Vec<f64>,
    out_now: u32,
    retries: f64,
    peers: Vec<Micros>,
    outbox: Vec<BTreeSet<CustomerId>>,
    told_peers: Vec<Micros>,
    counter_up: bool,
    to_count: BTreeSet<CustomerId>,
    begun: bool,
}

impl Gateway {
    /// A gateway that starts now, or the field of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        crate::check::check(&settings)?;
        let n = settings.gateways;
        let most = |worths: Vec<f64>| worths.into_iter().fold(0.0, f64::max);
        let dearest = most(settings.classes.iter().map(|c| c.worth).collect())
            * most(settings.plans.iter().map(|p| p.price).collect());
        Ok(Gateway {
            life: (seed ^ (seed >> 32)) as u32,
            launched: now,
            servers: BTreeMap::new(),
            customers: BTreeMap::new(),
            idle: VecDeque::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            sends: Rate::default(),
            flow: Rate::default(),
            strain: 0.0,
            dearest,
            usual: settings.classes.iter().map(|c| c.deadline as f64).collect(),
            out_now: 0,
            retries: RETRY_MOST / 2.0,
            peers: vec![0; n],
            outbox: vec![BTreeSet::new(); n],
            told_peers: vec![0; n],
            counter_up: false,
            to_count: BTreeSet::new(),
            begun: false,
            settings,
        })
    }

    fn timer(&mut self, at: Micros, due: Due, out: &mut Vec<Action>) {
        self.next_timer += 1;
        self.timers.insert(self.next_timer, due);
        out.push(Action::Timer { at, timer: TimerId(self.next_timer) });
    }

    /// Whether others' use of this customer's quota reaches us unit by unit.
    fn told(&self, now: Micros, c: &Customer) -> bool {
        let s = &self.settings;
        let fresh =
            |g: usize| g == s.me || now < self.peers[g].saturating_add(PEER_FRESH) && self.peers[g] > 0;
        s.allow.counter && self.counter_up
            || s.allow.peers && (0..c.spread).all(|k| fresh((c.first + k) % s.gateways))
    }

    /// The customer's state, made full and without delay when new; its ceiling's slice starts empty
    /// with this process, since an earlier life may have drawn it down.
    fn customer(&mut self, now: Micros, id: CustomerId, plan: usize, spread: usize, first: usize) {
        let p = &self.settings.plans[plan];
        let spread = spread.clamp(1, self.settings.gateways);
        if let Some(c) = self.customers.get_mut(&id) {
            c.spread = c.spread.max(spread);
            c.first = first;
            return;
        }
        let fresh = Customer { plan, spread, first, seen: now, level: p.burst, ..Customer::default() };
        let fresh = Customer { filled: now, interval_at: now, sliced: self.launched, ..fresh };
        let idle = self.idle_after(plan, spread);
        self.customers.insert(id, fresh);
        self.idle.push_back((now + idle, id));
    }

    /// How long until an unused customer is as good as new: its stores have filled again.
    fn idle_after(&self, plan: usize, spread: usize) -> Micros {
        let p = &self.settings.plans[plan];
        let fill = |most: f64, rate: f64| if rate > 0.0 { most / rate } else { 0.0 };
        let quota = fill(p.burst * (1.0 + DEBT_OF_BURST), p.rate) * spread as f64;
        let ceiling = fill(p.ceiling_burst + p.ceiling_slack, p.ceiling_rate);
        ((quota.max(ceiling) + 1.0).min(3_600.0) * 1e6) as Micros
    }

    /// The ordinary path: covered requests go at once, others wait their delay.
    fn arrive(&mut self, now: Micros, id: RequestId, r: Request, out: &mut Vec<Action>) {
        let cap = self.settings.classes[r.class].aim as f64 * HOLD_OF_AIM;
        let (Some(c), plan) = (self.customers.get(&r.customer), &self.settings.plans[r.plan]) else { return };
        let told = self.told(now, c);
        let Some(c) = self.customers.get_mut(&r.customer) else { return };
        let share = c.share(now, told);
        c.refill(now, plan, told);
        c.pace(now, plan.rate * share, cap / 1e3);
        c.seen = now;
        c.arrived += r.units;
        c.open += 1;
        let (units, deadline) = (r.units, r.deadline);
        let covered = c.covers(units + c.held_units, plan, share);
        let leave = c.next_leave.max(now) + (c.delay_ms * 1e3) as Micros;
        let leave = leave.min(now + cap as Micros);
        self.requests.insert(id, r);
        if covered || leave <= now {
            self.timer(deadline, Due::Deadline(id), out);
            return self.leave(now, id, out);
        }
        c.next_leave = leave;
        c.held_units += units;
        if let Some(r) = self.requests.get_mut(&id) {
            r.held = true;
        }
        self.timer(deadline, Due::Deadline(id), out);
        self.timer(leave.min(deadline), Due::Leave(id), out);
    }

    /// A request's hold is over: it goes if the bucket has its units, else it is refused.
    fn leave(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else { return };
        let was_held = std::mem::replace(&mut r.held, false);
        let (units, customer, plan, aim) = (r.units, r.customer, r.plan, self.settings.classes[r.class].aim);
        let Some(c) = self.customers.get(&customer) else { return };
        let told = self.told(now, c);
        let spare = self.pick(now, id, false).is_some_and(|(_, wait)| wait < SPARE_OF_AIM * aim as f64);
        let p = &self.settings.plans[plan];
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.refill(now, p, told);
        if was_held {
            c.held_units = (c.held_units - units).max(0.0);
        }
        let share = c.share(now, told);
        let inside = c.covers(units, p, share);
        let lack = if p.rate > 0.0 { (units - c.level).max(0.0) / (p.rate * share) } else { 0.0 };
        let pays = p.over_worth > p.over_cost && spare;
        if !inside && !pays {
            return self.answer(id, (lack * 1e6) as Micros, out);
        }
        if let Some(r) = self.requests.get_mut(&id) {
            r.inside = inside;
        }
        if !self.attempt(now, id, out) {
            self.answer(id, aim / 2, out);
        }
    }

    /// The best server for a request's next attempt, and how long it should take to answer.
    fn pick(&self, now: Micros, id: RequestId, again: bool) -> Option<(ServerId, f64)> {
        let s = &self.settings;
        let r = self.requests.get(&id)?;
        let effect = s.classes[r.class].effect;
        let ready = || self.servers.values().filter(|x| x.entry.state == State::Ready);
        let (all, out) = (ready().count(), ready().filter(|x| x.ejected > now).count());
        let trust = (out as f64) <= EJECT_SHARE * all as f64;
        let warm = ready().filter(|x| x.ramp(now, &s.rules) >= 1.0).count().max(1);
        let bears = self.sends.get(now) / warm as f64;
        let ran = r.attempts.iter().find(|a| a.may_have_run || a.open);
        let home = ran.and_then(|a| self.servers.get(&a.server)).map(|x| (x.entry.zone, x.entry.cell));
        let mut best: Option<(ServerId, f64, f64)> = None;
        for (server, x) in &self.servers {
            let ramp = x.ramp(now, &s.rules);
            let window = x.sent.iter().filter(|t| **t + s.rules.fall > now).count() as f64;
            let budget = COLD_SAFETY * s.rules.fall_multiple * ramp * bears * seconds(s.rules.fall);
            let same_group = home.is_none_or(|(zone, cell)| match effect {
                Effect::Keyed { group: Group::Zone, .. } => x.entry.zone == zone,
                Effect::Keyed { group: Group::Cell, .. } => x.entry.cell == cell,
                _ => true,
            });
            if x.entry.state != State::Ready || !same_group || ramp < 1.0 && window + 1.0 > budget.max(1.0) {
                continue;
            }
            let wait = (x.holds(now) + 1.0) * x.item_us / ramp;
            let good = x.success(now);
            let mut score = wait / (good * good).max(1e-3);
            if x.entry.zone != s.zone {
                score *= CROSS_ZONE;
            }
            if trust && x.ejected > now {
                continue;
            }
            if x.shut > now || again && r.attempts.iter().any(|a| a.server == *server) {
                score *= LAST_RESORT;
            }
            if trust && good < OK_DOUBT && effect == Effect::Fragile {
                score *= DOUBTED;
            }
            if best.is_none_or(|b| score < b.1) {
                best = Some((*server, score, wait));
            }
        }
        best.map(|(server, _, wait)| (server, wait))
    }

    /// Whether the back end takes no more from here: our attempts out exceed what the flow of answers
    /// would hold if each took the time aimed at (Little's law).
    ///
    /// Guards against queues grown past the aim, from overload, a shrunk fleet or slow servers alike.
    /// It could harm after a long lull, when the flow is small; the floor serves then, less of it the
    /// longer answers take, as slowed servers bear less.
    fn pressed(&self, now: Micros, worth: f64) -> bool {
        let room = LEAST_ROOM + (1.0 - LEAST_ROOM) * worth / self.dearest.max(1e-9);
        let ready = self.servers.values().filter(|x| x.entry.state == State::Ready).count() as f64;
        let slow = (ANSWER_OF_AIM / self.strain.max(1e-9)).min(1.0);
        let floor = slow * FLOOR_HELD * ready / self.settings.gateways as f64;
        let bound = floor.max(FLOW_ROOM * self.flow.get(now)).max(1.0);
        f64::from(self.out_now) >= room * bound + bound.sqrt()
    }

    /// The only place that sends. False if no attempt may go now.
    fn attempt(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let s = &self.settings;
        let (class, plan, first) = (&s.classes[r.class], &s.plans[r.plan], r.attempts.is_empty());
        let ran = r.attempts.iter().find(|a| a.may_have_run);
        let allowed = match class.effect {
            Effect::Safe => true,
            Effect::Keyed { window, .. } => ran.is_none_or(|a| now < a.sent + window),
            Effect::Fragile => ran.is_none(),
        };
        let out_now = r.attempts.iter().any(|a| a.open);
        if r.done || r.started || out_now || !allowed || now >= r.deadline {
            return false;
        }
        if r.attempts.len() >= s.allow.max_attempts as usize || !first && self.retries < 1.0 {
            return false;
        }
        let left = (r.arrived + class.aim).saturating_sub(now + r.waited) as f64;
        let Some((server, wait)) = self.pick(now, id, !first) else { return false };
        let earns = if left < wait { class.late_worth } else { 1.0 };
        let earns = if r.inside { earns } else { earns * plan.over_worth };
        if self.pressed(now, earns * class.worth * plan.price) {
            return false;
        }
        if wait > PRESS_OF_AIM * if first { class.aim as f64 } else { left } {
            return false;
        }
        if first {
            let units = r.units;
            let customer = r.customer;
            let Some(c) = self.customers.get_mut(&customer) else { return false };
            if !c.ceiling_holds(units, plan) {
                return false;
            }
            c.slice -= units;
            c.mine.add(now, units);
            if r.inside {
                c.level -= units;
                c.sent += units;
                c.uncounted += units;
            }
            if s.allow.counter && r.inside {
                self.to_count.insert(customer);
            }
            if s.allow.peers && r.inside && c.sent > units {
                for k in 0..c.spread {
                    self.outbox[(c.first + k) % s.gateways].insert(customer);
                }
            }
            self.retries = (self.retries + RETRY_SHARE).min(RETRY_MOST);
        } else {
            self.retries -= 1.0;
        }
        let timeout = r.deadline - now;
        self.sends.add(now, 1.0);
        self.out_now += 1;
        if let (Some(x), Some(r)) = (self.servers.get_mut(&server), self.requests.get_mut(&id)) {
            let held = x.holds(now);
            x.open += 1;
            if x.ramp(now, &s.rules) < 1.0 {
                x.sent.push_back(now);
                while x.sent.front().is_some_and(|t| *t + s.rules.fall <= now) {
                    x.sent.pop_front();
                }
            }
            r.attempts.push(Attempt { server, sent: now, open: true, may_have_run: false, held });
            out.push(Action::Send { id, server, timeout });
        }
        true
    }

    /// The only place that gives a final answer; a refusal only where trying again does no harm.
    fn answer(&mut self, id: RequestId, wait: Micros, out: &mut Vec<Action>) {
        let s = &self.settings;
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done && !r.started) else { return };
        let ran = r.attempts.iter().any(|a| a.may_have_run || a.open);
        let harmless = match s.classes[r.class].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            _ => !ran,
        };
        out.push(if harmless {
            let advice = if s.allow.retry_after { wait.min(s.allow.max_retry_after) } else { 0 };
            Action::Refuse { id, retry_after: advice }
        } else {
            Action::Fail { id }
        });
        for (k, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.open && s.allow.cancel) {
            out.push(Action::Cancel { id, attempt: k as u32 });
        }
        self.close(id);
    }

    /// The request is over; it stays known while an attempt is out.
    fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut r.done, true) {
            if let Some(c) = self.customers.get_mut(&r.customer) {
                c.open = c.open.saturating_sub(1);
                if std::mem::replace(&mut r.held, false) {
                    c.held_units = (c.held_units - r.units).max(0.0);
                }
            }
        }
        if r.attempts.iter().all(|a| !a.open) {
            self.requests.remove(&id);
        }
    }

    fn outcome(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        end: (Status, Micros, bool),
        out: &mut Vec<Action>,
    ) {
        let (status, took, closed) = end;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.open) else { return };
        a.open = false;
        let proven = matches!(status, Status::Full | Status::ConnectFailed | Status::Moot);
        a.may_have_run = !proven;
        let (server, held, late) = (a.server, a.held, took >= self.settings.classes[r.class].aim);
        let done = r.done;
        let aim = seconds(self.settings.classes[r.class].aim);
        self.out_now = self.out_now.saturating_sub(1);
        if matches!(status, Status::Ok | Status::Timeout | Status::Cancelled) {
            self.strain += STRAIN_GAIN * (seconds(took) / aim - self.strain);
        }
        if status == Status::Ok {
            self.flow.add(now, ANSWER_OF_AIM * aim);
        }
        if let Some(x) = self.servers.get_mut(&server) {
            x.open = x.open.saturating_sub(1);
            match status {
                Status::Ok => {
                    x.item_us += ITEM_GAIN * (took as f64 / (held + 1.0) - x.item_us);
                    x.judge(now, true, false);
                }
                Status::Full => x.shut = now + FULL_PAUSE,
                Status::Error | Status::Reset => x.judge(now, false, false),
                Status::ConnectFailed => x.judge(now, false, true),
                Status::Timeout | Status::Cancelled if late => x.judge(now, false, false),
                _ => {}
            }
        }
        if closed || done {
            return self.close(id);
        }
        if !self.attempt(now, id, out) {
            self.answer(id, FULL_PAUSE, out);
        }
    }

    /// What an answer says of the customer's use over all gateways, and of a guess's true units.
    fn meter(&mut self, now: Micros, id: RequestId, used: Option<f64>, settled: Option<f64>) {
        let Some(r) = self.requests.get(&id) else { return };
        let plan = &self.settings.plans[r.plan];
        let Some(c) = self.customers.get_mut(&r.customer) else { return };
        if let Some(used) = used.filter(|u| u.is_finite() && *u >= 0.0) {
            let total = used * if plan.rate > 0.0 { plan.rate } else { f64::from(plan.open) };
            let gap = seconds(now.saturating_sub(c.metered_at)) / MEMORY_S;
            let gain = if c.metered_at == 0 { 1.0 } else { 1.0 - (-gap).exp() };
            c.metered += gain * (total - c.metered);
            c.metered_at = now;
        }
        if let Some(units) = settled.filter(|u| u.is_finite() && r.inside && !r.done) {
            c.level = (c.level - (units - r.units)).min(plan.burst);
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            return out.push(Action::Watch);
        }
        if kind != ListKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (_, x) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                x.entry.state = State::Gone;
            }
        }
        let n = self.servers.len().max(1) as f64;
        let usual = self.servers.values().map(|x| x.item_us).sum::<f64>() / n;
        for entry in entries {
            let id = entry.server;
            let known = self.servers.get(&id).map(|x| (x.entry.ready_at, x.open));
            match known {
                Some((started, _)) if started == entry.ready_at => {
                    if let Some(x) = self.servers.get_mut(&id) {
                        x.entry = entry;
                    }
                }
                _ => {
                    let item_us = if usual > 0.0 { usual } else { START_ITEM_US };
                    let open = known.map_or(0, |k| k.1);
                    let fresh = Server { entry, open, item_us, ok: 1.0, ..Server::default() };
                    self.servers.insert(id, fresh);
                }
            }
        }
        self.servers.retain(|_, x| x.entry.state != State::Gone || x.open > 0);
    }

    /// Tells peers the use of customers that changed, each as a running total, so that a lost message
    /// only delays the news.
    fn tell(&mut self, now: Micros, out: &mut Vec<Action>) {
        let others = self.settings.gateways as f64 - 1.0;
        let gap = (others * 1e6 / (MAIL_PART * self.settings.allow.peer_in_per_s).max(0.1)) as Micros;
        for to in 0..self.settings.gateways {
            if to == self.settings.me {
                continue;
            }
            let since = now.saturating_sub(self.told_peers[to]);
            if since < gap || self.outbox[to].is_empty() && since < HEARTBEAT {
                continue;
            }
            let mut data = self.life.to_be_bytes().to_vec();
            while let Some(id) = self.outbox[to].first().copied().filter(|_| data.len() + 13 <= 256) {
                self.outbox[to].remove(&id);
                let Some(c) = self.customers.get(&id) else { continue };
                let total = (c.sent * 8.0) as u64 as u32 & 0xff_ffff;
                data.extend(id.0.to_be_bytes());
                data.extend([c.plan as u8, c.spread as u8]);
                data.extend(&total.to_be_bytes()[1..]);
            }
            self.told_peers[to] = now;
            out.push(Action::Tell { to, data });
        }
    }

    fn hear(&mut self, now: Micros, from: usize, data: &[u8]) {
        let Some((life, rows)) = data.split_first_chunk::<4>().filter(|_| from < self.peers.len()) else {
            return;
        };
        let life = u32::from_be_bytes(*life);
        self.peers[from] = now;
        for row in rows.chunks_exact(13) {
            let (Some(id), Some(total)) = (row.first_chunk::<8>(), row.last_chunk::<3>()) else { return };
            let id = CustomerId(u64::from_be_bytes(*id));
            let total = u32::from_be_bytes([0, total[0], total[1], total[2]]);
            let (plan, spread) = (usize::from(row[8]), usize::from(row[9]));
            let Some(p) = self.settings.plans.get(plan).cloned() else { continue };
            self.customer(now, id, plan, spread, self.customers.get(&id).map_or(from, |c| c.first));
            let Some(c) = self.customers.get_mut(&id) else { continue };
            c.seen = now;
            let known = c.heard.iter().position(|h| h.0 == from);
            let fresh = match known.map(|k| c.heard[k]) {
                Some((_, l, before)) if l == life => total.wrapping_sub(before) & 0xff_ffff,
                _ => total,
            };
            c.heard.retain(|h| h.0 != from);
            c.heard.push((from, life, total));
            let units = f64::from(fresh) / 8.0;
            c.refill(now, &p, true);
            c.draw_told(now, if units <= p.burst { units } else { 0.0 }, &p);
        }
    }

    /// Adds our use to the shared counter, a call a customer, and learns others' from the totals.
    fn count(&mut self, out: &mut Vec<Action>) {
        let most = if self.counter_up { usize::MAX } else { COUNTER_TRIALS };
        let ready: Vec<CustomerId> = self.to_count.iter().copied().take(most).collect();
        for id in ready {
            self.to_count.remove(&id);
            let Some(c) = self.customers.get_mut(&id).filter(|c| !c.calling) else { continue };
            c.calling = true;
            c.adding = std::mem::take(&mut c.uncounted);
            out.push(Action::Count { counter: CounterId(id.0), amount: c.adding, ttl: COUNTER_TTL });
        }
    }

    fn counted(&mut self, now: Micros, id: CustomerId, total: Option<f64>, unsure: bool) {
        self.counter_up = total.is_some();
        let Some(c) = self.customers.get_mut(&id) else { return };
        let plan = &self.settings.plans[c.plan];
        c.calling = false;
        let added = std::mem::take(&mut c.adding);
        match total.filter(|t| t.is_finite()) {
            Some(total) => {
                let mine_from = if total >= c.total + added { c.total } else { 0.0 };
                let others = (total - mine_from - added).max(0.0);
                let first = c.total == 0.0 && c.others.value == 0.0;
                c.total = total;
                c.refill(now, plan, true);
                c.draw_told(now, if first && others > plan.burst { 0.0 } else { others }, plan);
            }
            None if !unsure => c.uncounted += added,
            None => {}
        }
        if c.uncounted > 0.0 {
            self.to_count.insert(id);
        }
    }

    /// Housekeeping, once a round.
    fn round(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.settings.allow.peers {
            self.tell(now, out);
        }
        if self.settings.allow.counter {
            self.count(out);
        }
        if self.settings.allow.probes && self.settings.allow.reports == Reports::Probe {
            for (id, x) in &mut self.servers {
                if x.entry.state == State::Ready && now >= x.probed + PROBE_EVERY {
                    x.probed = now;
                    out.push(Action::Probe { server: *id });
                }
            }
        }
        while let Some((_, id)) = self.idle.front().copied().filter(|i| i.0 <= now) {
            self.idle.pop_front();
            let Some(c) = self.customers.get(&id) else { continue };
            let until = c.seen + self.idle_after(c.plan, c.spread);
            if until > now || c.open > 0 || c.calling {
                self.idle.push_back((until.max(now + ROUND), id));
            } else {
                self.customers.remove(&id);
            }
        }
        self.timer(now + ROUND, Due::Round, out);
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.begun {
            self.begun = true;
            if self.settings.allow.must_ask {
                out.push(Action::Watch);
            }
            self.round(now, out);
        }
        match event {
            Event::Servers { kind, entries } => self.list(kind, entries, out),
            Event::Request { id, class, plan, customer, patience, units, spread, first } => {
                let margin = 2 * self.settings.tick;
                let known = self.requests.contains_key(&id);
                let s = &self.settings;
                let sane =
                    class < s.classes.len() && plan < s.plans.len() && units.is_finite() && units >= 0.0;
                if known {
                    return;
                }
                if !sane || patience <= margin {
                    return out.push(Action::Refuse { id, retry_after: 0 });
                }
                self.customer(now, customer, plan, spread, first);
                let deadline = now.saturating_add(patience - margin);
                // A first try has the class's usual patience; a later one has less left, and what is
                // missing of the deadline has gone by. The usual is a running upper quantile.
                let (deadline_us, left) = (self.settings.classes[class].deadline, patience as f64);
                let up = if left > self.usual[class] { USUAL_RANK } else { USUAL_RANK - 1.0 };
                self.usual[class] += up * USUAL_STEP * deadline_us as f64;
                let short = left < SHORT * self.usual[class];
                let waited = if short { deadline_us.saturating_sub(patience) } else { 0 };
                let known = Request { class, plan, customer, units, ..Request::default() };
                let request = Request { arrived: now, waited, deadline, ..known };
                self.arrive(now, id, request, out);
            }
            Event::Started { id } => {
                if let Some(r) = self.requests.get_mut(&id) {
                    r.started = true;
                }
            }
            Event::Outcome { id, attempt, server, status, took, closed, used, settled, load } => {
                if let (Some(x), Some(load)) = (self.servers.get_mut(&server), load) {
                    x.heed(now, &load, self.settings.gateways);
                }
                self.meter(now, id, used, settled);
                self.outcome(now, id, attempt, (status, took, closed), out);
            }
            Event::Gone { id } => self.close(id),
            Event::Timer { timer } => match self.timers.remove(&timer.0) {
                Some(Due::Round) => self.round(now, out),
                Some(Due::Leave(id)) if self.requests.get(&id).is_some_and(|r| r.held) => {
                    self.leave(now, id, out);
                }
                Some(Due::Deadline(id)) => self.answer(id, 0, out),
                _ => {}
            },
            Event::Probed { server, status, load } => {
                if let Some(x) = self.servers.get_mut(&server) {
                    if let Some(load) = load.filter(|_| status == Status::Ok) {
                        x.heed(now, &load, self.settings.gateways);
                    }
                }
            }
            Event::Peer { from, data } => self.hear(now, from, &data),
            Event::Counted { counter, total, unsure } => {
                self.counted(now, CustomerId(counter.0), total, unsure)
            }
        }
    }
}
