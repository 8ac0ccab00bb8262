//! Shared counter: a counter service keeps each customer's token bucket for all gateways, as one value to
//! which they add.
//!
//! While the bucket is full, the value equals the rate of the quota times the clock (in seconds, since the
//! last multiple of [`WRAP_PERIOD`]). It is higher by the units that are missing in the bucket.

use crate::api::{Action, Capabilities, CounterId, CustomerId, Micros, Plan, RequestId};
use crate::customer::Customer;
use crate::decay::seconds;
use crate::quota::UsageSource;

/// Lifetime of a customer's value at the counter, from the call that creates it, µs.
const VALUE_TTL: Micros = 60_000_000;
/// The clock in the values wraps after this time, since the counter returns a limited number of digits, µs.
const WRAP_PERIOD: Micros = 600_000_000;
/// A total up to this age counts as exact, µs.
const MAX_TOTAL_AGE: Micros = 200_000;
/// A total is corrected if it is wrong by more than this multiple of the burst.
const CORRECTION_THRESHOLD_BURSTS: f64 = 0.5;
/// A total that is wrong by at least this multiple of the burst is corrected at once by the gateway that
/// created the value, and by others only after a delay.
const FAR_OFF_BURSTS: f64 = 4.0;
/// Delay after which others correct it, per gateway of the customer's subset, µs. Each gateway adds a random
/// part, so that about one of them corrects it.
const FAR_OFF_CORRECTION_DELAY_US: f64 = 1e6;
/// Without a reply for longer than this the counter counts as down, µs.
const OUTAGE_THRESHOLD: Micros = 1_000_000;
/// Minimum number of calls per request: enough to detect that the counter replies again after an outage.
const MIN_CALLS_PER_REQUEST: f64 = 0.05;
/// Maximum number of calls per request.
const MAX_CALLS_PER_REQUEST: f64 = 1.5;
/// Maximum number of allowed calls that are saved up.
const MAX_SAVED_CALLS: f64 = 10.0;
/// Factor on the calls per request after a quick reply.
const QUICK_REPLY_FACTOR: f64 = 1.1;
/// Factor on the calls per request after a slow reply or none.
const SLOW_REPLY_FACTOR: f64 = 0.7;
/// A reply within this fraction (1/n) of the call's timeout is quick.
const QUICK_REPLY_DIVISOR: Micros = 8;

/// Reply to a counter call; its fields are those of [`crate::Event::CounterReply`].
pub(crate) struct CounterReply {
    pub total: Option<f64>,
    /// The call was not answered, so the amount may have been added.
    pub may_have_added: bool,
    pub elapsed: Micros,
}

/// A customer's value at the counter, and the calls to it.
#[derive(Default)]
pub(crate) struct CustomerCount {
    /// Units used at this gateway that are not in a call yet, less those that a call reserved for a request.
    uncounted: f64,
    /// Since when there have been such units.
    uncounted_since: Micros,
    /// Units in the call in flight.
    units_in_call: f64,
    /// Correction in the call in flight, units.
    correction_in_call: f64,
    /// Correction to be sent with the next call, units.
    pending_correction: f64,
    /// When this gateway may correct a total that is far off; 0 if none is.
    correct_far_off_at: Micros,
    call_in_flight: bool,
    /// When a total was last read; 0 if never.
    read_at: Micros,
    /// Held requests that wait for the reply to the call in flight.
    waiting: Vec<RequestId>,
}

impl CustomerCount {
    /// Counts units used at this gateway, to be added with the next call.
    pub fn record(&mut self, now: Micros, units: f64) {
        self.uncounted_since = if self.uncounted > 0.0 { self.uncounted_since } else { now };
        self.uncounted += units;
    }

    /// Whether a call is in flight.
    pub fn call_in_flight(&self) -> bool {
        self.call_in_flight
    }

    /// Whether there are units or a correction to be added.
    pub fn needs_call(&self) -> bool {
        self.uncounted != 0.0 || self.pending_correction != 0.0
    }

    /// Adds a held request that waits for the reply to the call in flight.
    pub fn add_waiting(&mut self, id: RequestId) {
        self.waiting.push(id);
    }

    /// Removes and returns the requests that waited for the reply.
    pub fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }
}

/// Calls to the shared counter. Their rate adapts to the counter's latency, so that all gateways call a busy
/// counter less often.
pub(crate) struct SharedCounter {
    enabled: bool,
    /// Timeout of a call, µs; 0 means none.
    timeout: Micros,
    /// Calls allowed now.
    saved_calls: f64,
    /// Calls that each request allows.
    calls_per_request: f64,
    last_reply_at: Micros,
    /// Begin and end of the last outage, µs.
    last_outage: (Micros, Micros),
}

impl SharedCounter {
    pub fn new(capabilities: &Capabilities, now: Micros) -> SharedCounter {
        SharedCounter {
            enabled: capabilities.shared_counter,
            timeout: capabilities.counter_call_timeout,
            saved_calls: MAX_SAVED_CALLS / 2.0,
            calls_per_request: 1.0,
            last_reply_at: now,
            last_outage: (0, 0),
        }
    }

    /// Whether the counter may be called.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Allows more calls, since a request has arrived at this gateway.
    pub fn record_request(&mut self) {
        self.saved_calls = (self.saved_calls + self.calls_per_request).min(MAX_SAVED_CALLS);
    }

    /// Whether no further call is allowed now.
    pub fn is_exhausted(&self) -> bool {
        self.saved_calls < 1.0
    }

    /// Whether the customer's bucket was read within [`MAX_TOTAL_AGE`].
    pub fn knows_usage_of(&self, now: Micros, count: &CustomerCount) -> bool {
        self.enabled && count.read_at > 0 && now <= count.read_at + MAX_TOTAL_AGE
    }

    /// Calls the counter to add a customer's uncounted units and `reserved_units` for a request that waits,
    /// unless a call for the customer is in flight or no call is allowed. Returns whether one is in flight
    /// now.
    pub fn call(
        &mut self,
        now: Micros,
        id: CustomerId,
        customer: &mut Customer,
        reserved_units: f64,
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
        // Reserved units are added now and subtracted with the next call, which adds them again if the
        // request has used them by then.
        count.units_in_call = count.uncounted + reserved_units;
        count.uncounted = -reserved_units;
        count.correction_in_call = std::mem::take(&mut count.pending_correction);
        let amount = count.units_in_call + count.correction_in_call;
        out.push(Action::AddToCounter { counter: CounterId(id.0), amount, ttl: VALUE_TTL });
        true
    }

    /// Uncounted units that are not added after an outage, since the bucket would have refilled them during
    /// it. If all were added at its end, every customer would be without quota for a long time.
    fn forgiven_units(&self, now: Micros, count: &CustomerCount, plan: &Plan, subset_size: usize) -> f64 {
        let ongoing = now > self.last_reply_at + OUTAGE_THRESHOLD;
        let (from, to) = if ongoing { (self.last_reply_at, now) } else { self.last_outage };
        let outage_s = seconds(to.saturating_sub(from.max(count.uncounted_since)));
        (outage_s * plan.rate - plan.burst).max(0.0) / subset_size as f64
    }

    /// Adapts the number of calls per request to the latency of a reply.
    pub fn adapt_call_rate(&mut self, reply: &CounterReply) {
        let in_time = self.timeout == 0 || reply.elapsed < self.timeout / QUICK_REPLY_DIVISOR;
        let is_quick = reply.total.is_some() && in_time;
        let factor = if is_quick { QUICK_REPLY_FACTOR } else { SLOW_REPLY_FACTOR };
        self.calls_per_request =
            (self.calls_per_request * factor).clamp(MIN_CALLS_PER_REQUEST, MAX_CALLS_PER_REQUEST);
    }

    /// Applies the reply to a customer's call. `delay_factor` is a random number from 0 to 1 that sets how
    /// long this gateway waits before it corrects a total that is far off. The units and the correction of a
    /// call that was certainly not carried out are kept for the next call.
    pub fn receive(
        &mut self,
        now: Micros,
        id: CustomerId,
        customer: &mut Customer,
        reply: &CounterReply,
        delay_factor: f64,
        out: &mut Vec<Action>,
    ) {
        let count = &mut customer.count;
        count.call_in_flight = false;
        let (added, corrected) =
            (std::mem::take(&mut count.units_in_call), std::mem::take(&mut count.correction_in_call));
        if let Some(total) = reply.total.filter(|total| total.is_finite()) {
            if now > self.last_reply_at + OUTAGE_THRESHOLD {
                self.last_outage = (self.last_reply_at, now);
            }
            self.last_reply_at = now;
            customer.quota.refill(now, 0.0, UsageSource::Exact);
            apply_total(now, id, customer, total, added, delay_factor, out);
        } else if !reply.may_have_added {
            count.uncounted += added;
            count.pending_correction = corrected;
        }
    }
}

/// Sets the customer's bucket from a total, and corrects a total that is wrong. Corrections by several
/// gateways add up. A total that is far off is seen by all of them, so it is corrected at once only by the
/// gateway that created the value with its own call, and by another only if it is still far off after a
/// delay.
fn apply_total(
    now: Micros,
    id: CustomerId,
    customer: &mut Customer,
    total: f64,
    added: f64,
    delay_factor: f64,
    out: &mut Vec<Action>,
) {
    let (count, plan) = (&mut customer.count, &customer.quota.plan);
    let taken = taken_units(now, total, plan);
    let corrected = taken.corrected;
    let error_bursts = (corrected - taken.raw).abs() / plan.burst.max(1e-9);
    let is_far_off = error_bursts >= FAR_OFF_BURSTS && total > added;
    let is_overdue = count.correct_far_off_at > 0 && now >= count.correct_far_off_at;
    if error_bursts > CORRECTION_THRESHOLD_BURSTS && (!is_far_off || is_overdue) {
        let amount = corrected - taken.raw;
        out.push(Action::AddToCounter { counter: CounterId(id.0), amount, ttl: VALUE_TTL });
        count.call_in_flight = true;
        count.correction_in_call = amount;
    }
    let delay_us = FAR_OFF_CORRECTION_DELAY_US * (1.0 + delay_factor * customer.quota.subset_size as f64);
    count.correct_far_off_at = match count.correct_far_off_at {
        _ if !is_far_off || is_overdue => 0,
        0 => now + delay_us as Micros,
        known => known,
    };
    count.read_at = now;
    let level = plan.burst - corrected - count.uncounted;
    customer.quota.set_level(now, level);
}

/// Units missing in a bucket, by a total of the counter.
struct TakenUnits {
    /// As computed from the total.
    raw: f64,
    /// With a wrap of the clock undone, and limited to the range from 0 to twice the burst.
    corrected: f64,
}

fn taken_units(now: Micros, total: f64, plan: &Plan) -> TakenUnits {
    let raw = total - plan.rate * seconds(now % WRAP_PERIOD);
    // A value that was created before the clock last wrapped is higher by the units of one period.
    let period_units = plan.rate * seconds(WRAP_PERIOD);
    let before_wrap = raw > (period_units / 2.0).max(4.0 * plan.burst);
    let unwrapped = if before_wrap { raw - period_units } else { raw };
    TakenUnits { raw, corrected: unwrapped.clamp(0.0, 2.0 * plan.burst) }
}
