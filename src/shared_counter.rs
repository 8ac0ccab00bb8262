//! Shared counter: each customer's bucket as kept by a counter service for all gateways.
//!
//! A customer's number equals its quota's rate times the clock when the bucket is full, and is higher by the
//! units that are taken from it.

use crate::api::{Action, Capabilities, CounterId, CustomerId, Micros, Plan, RequestId};
use crate::customer::Customer;
use crate::decay::seconds;
use crate::quota::UsageSource;

/// Longest time that a number may live without a call, µs.
const NUMBER_TTL: Micros = 60_000_000;
/// Numbers start again after this time, since the counter returns few digits, µs.
const WRAP_PERIOD: Micros = 600_000_000;
/// A total up to this age counts as exact, µs.
const TOTAL_FRESH: Micros = 200_000;
/// A total is corrected when it is wrong by more than this, bursts.
const CORRECTION_THRESHOLD_BURSTS: f64 = 0.5;
/// A total as wrong as this is corrected by the gateway that opened the number, and by others only later,
/// bursts.
const FAR_OFF_BURSTS: f64 = 4.0;
/// Time after which others correct it, per gateway, µs: so about one of those that see it does.
const FAR_OFF_DELAY_US: f64 = 1e6;
/// The counter counts as having been down when it replied nothing for longer, µs.
const OUTAGE: Micros = 1_000_000;
/// Minimum of calls per request: enough to notice that the counter is back.
const MIN_CALLS_PER_REQUEST: f64 = 0.05;
/// Maximum of calls per request.
const MAX_CALLS_PER_REQUEST: f64 = 1.5;
/// Maximum number of calls saved up.
const MAX_SAVED_CALLS: f64 = 10.0;
/// Factor on the calls per request after a quick reply.
const QUICK_REPLY_FACTOR: f64 = 1.1;
/// Factor on the calls per request after a slow reply or none.
const SLOW_REPLY_FACTOR: f64 = 0.7;
/// A reply within this fraction (1/n) of the call's timeout is quick.
const QUICK_REPLY_DIVISOR: Micros = 8;

/// Reply to a call of the counter.
pub(crate) struct CounterReply {
    pub total: Option<f64>,
    /// The call was not answered; the amount may have been added.
    pub may_have_added: bool,
    pub elapsed: Micros,
}

/// A customer's number at the counter.
#[derive(Default)]
pub(crate) struct CustomerCount {
    /// Units used and not added yet.
    uncounted: f64,
    /// Since when there have been any.
    uncounted_since: Micros,
    /// Units of the call in flight.
    adding: f64,
    /// Correction in the call in flight.
    correcting: f64,
    /// Correction to be sent with the next call.
    correction: f64,
    /// When this gateway may correct a total that is far off; 0 if it is not.
    correct_far_off_at: Micros,
    call_in_flight: bool,
    /// When a total was last read; 0 if never.
    read_at: Micros,
    /// Requests that wait for the reply.
    waiting: Vec<RequestId>,
}

impl CustomerCount {
    /// Counts units used here.
    pub fn record(&mut self, now: Micros, units: f64) {
        self.uncounted_since = if self.uncounted > 0.0 { self.uncounted_since } else { now };
        self.uncounted += units;
    }

    /// Whether a call is in flight.
    pub fn call_in_flight(&self) -> bool {
        self.call_in_flight
    }

    /// Whether there is something to add.
    pub fn needs_call(&self) -> bool {
        self.uncounted != 0.0 || self.correction != 0.0
    }

    /// Lets a request wait for the reply.
    pub fn wait(&mut self, id: RequestId) {
        self.waiting.push(id);
    }

    /// Takes the requests that waited for the reply.
    pub fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }
}

/// Calls of the shared counter. Their rate follows the counter's speed, so that all gateways call a crowded
/// one less.
pub(crate) struct SharedCounter {
    enabled: bool,
    timeout: Micros,
    saved_calls: f64,
    calls_per_request: f64,
    last_reply: Micros,
    /// Begin and end of the last outage.
    last_outage: (Micros, Micros),
}

impl SharedCounter {
    pub fn new(capabilities: &Capabilities, now: Micros) -> SharedCounter {
        SharedCounter {
            enabled: capabilities.shared_counter,
            timeout: capabilities.counter_call_timeout,
            saved_calls: MAX_SAVED_CALLS / 2.0,
            calls_per_request: 1.0,
            last_reply: now,
            last_outage: (0, 0),
        }
    }

    /// Whether the counter may be called.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// A request allows more calls.
    pub fn record_request(&mut self) {
        self.saved_calls = (self.saved_calls + self.calls_per_request).min(MAX_SAVED_CALLS);
    }

    /// Whether no further call is allowed now.
    pub fn is_exhausted(&self) -> bool {
        self.saved_calls < 1.0
    }

    /// Whether the customer's bucket was just read.
    pub fn knows_usage_of(&self, now: Micros, count: &CustomerCount) -> bool {
        self.enabled && count.read_at > 0 && now <= count.read_at + TOTAL_FRESH
    }

    /// Adds what is not counted yet, and units reserved for a waiting request, one call at a time; whether a
    /// call is in flight now.
    pub fn call(
        &mut self,
        now: Micros,
        id: CustomerId,
        customer: &mut Customer,
        reserve: f64,
        out: &mut Vec<Action>,
    ) -> bool {
        let count = &mut customer.count;
        if count.call_in_flight || self.saved_calls < 1.0 {
            return count.call_in_flight;
        }
        self.saved_calls -= 1.0;
        count.call_in_flight = true;
        let forgiven = self.forgiven_units(now, count, &customer.quota.plan, customer.quota.subset_size);
        count.uncounted = count.uncounted.min((count.uncounted - forgiven).max(0.0));
        // What is reserved counts as used until the request goes; a rejected one returns it.
        count.adding = count.uncounted + reserve;
        count.uncounted = -reserve;
        count.correcting = std::mem::take(&mut count.correction);
        let amount = count.adding + count.correcting;
        out.push(Action::AddToCounter { counter: CounterId(id.0), amount, ttl: NUMBER_TTL });
        true
    }

    /// Units used during an outage that the bucket has refilled since: adding them all at its end would leave
    /// every customer without quota for long.
    fn forgiven_units(&self, now: Micros, count: &CustomerCount, plan: &Plan, subset_size: usize) -> f64 {
        let ongoing = now > self.last_reply + OUTAGE;
        let (from, to) = if ongoing { (self.last_reply, now) } else { self.last_outage };
        let outage_s = seconds(to.saturating_sub(from.max(count.uncounted_since)));
        (outage_s * plan.rate - plan.burst).max(0.0) / subset_size as f64
    }

    /// Adapts the rate of calls to a reply's speed.
    pub fn adapt(&mut self, reply: &CounterReply) {
        let in_time = self.timeout == 0 || reply.elapsed < self.timeout / QUICK_REPLY_DIVISOR;
        let quick = reply.total.is_some() && in_time;
        let factor = if quick { QUICK_REPLY_FACTOR } else { SLOW_REPLY_FACTOR };
        self.calls_per_request =
            (self.calls_per_request * factor).clamp(MIN_CALLS_PER_REQUEST, MAX_CALLS_PER_REQUEST);
    }

    /// Takes a reply. `roll` from 0 up to 1 sets the time at which this gateway corrects a total that is far
    /// off.
    pub fn receive(
        &mut self,
        now: Micros,
        id: CustomerId,
        customer: &mut Customer,
        reply: &CounterReply,
        roll: f64,
        out: &mut Vec<Action>,
    ) {
        let count = &mut customer.count;
        count.call_in_flight = false;
        let (added, corrected) = (std::mem::take(&mut count.adding), std::mem::take(&mut count.correcting));
        if let Some(total) = reply.total.filter(|total| total.is_finite()) {
            if now > self.last_reply + OUTAGE {
                self.last_outage = (self.last_reply, now);
            }
            self.last_reply = now;
            customer.quota.refill(now, 0.0, UsageSource::Exact);
            read_total(now, id, customer, total, added, roll, out);
        } else if !reply.may_have_added {
            count.uncounted += added;
            count.correction = corrected;
        }
    }
}

/// Sets the customer's bucket by a total, and corrects a total that is wrong. Corrections of several gateways
/// add up, so one that is far off, which all see, is corrected by the gateway whose own call opened the
/// number; by another only if it stays so.
fn read_total(
    now: Micros,
    id: CustomerId,
    customer: &mut Customer,
    total: f64,
    added: f64,
    roll: f64,
    out: &mut Vec<Action>,
) {
    let (count, plan) = (&mut customer.count, &customer.quota.plan);
    let taken = taken_units(now, total, plan);
    let corrected = taken.corrected;
    let off_bursts = (corrected - taken.raw).abs() / plan.burst.max(1e-9);
    let far_off = off_bursts >= FAR_OFF_BURSTS && total > added;
    let overdue = count.correct_far_off_at > 0 && now >= count.correct_far_off_at;
    if off_bursts > CORRECTION_THRESHOLD_BURSTS && (!far_off || overdue) {
        let amount = corrected - taken.raw;
        out.push(Action::AddToCounter { counter: CounterId(id.0), amount, ttl: NUMBER_TTL });
        count.call_in_flight = true;
        count.correcting = amount;
    }
    let delay = FAR_OFF_DELAY_US * (1.0 + roll * customer.quota.subset_size as f64);
    count.correct_far_off_at = match count.correct_far_off_at {
        _ if !far_off || overdue => 0,
        0 => now + delay as Micros,
        known => known,
    };
    count.read_at = now;
    let level = plan.burst - corrected - count.uncounted;
    customer.quota.set_level(now, level);
}

/// Units taken from a bucket.
struct TakenUnits {
    /// As the total shows them.
    raw: f64,
    /// In the range that a bucket allows.
    corrected: f64,
}

fn taken_units(now: Micros, total: f64, plan: &Plan) -> TakenUnits {
    let raw = total - plan.rate * seconds(now % WRAP_PERIOD);
    // A number older than the last wrap still counts the time before it.
    let period_units = plan.rate * seconds(WRAP_PERIOD);
    let before_wrap = raw > (period_units / 2.0).max(4.0 * plan.burst);
    let unwrapped = if before_wrap { raw - period_units } else { raw };
    TakenUnits { raw, corrected: unwrapped.clamp(0.0, 2.0 * plan.burst) }
}
