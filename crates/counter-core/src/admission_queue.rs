//! Admission of requests if more arrive than the disk can sync, and the order in which they are processed.
//!
//! Each gateway has its own queue, and the queues are served round-robin, so that a gateway that floods the service
//! lengthens only its own queue. The limit on all waiting requests is adapted to the queueing delay, as in CoDel (RFC
//! 8289): if the minimum delay within an interval exceeds the target, the limit is lowered, otherwise raised. The minimum
//! is used because a short burst is no standing queue. A fixed limit would not do, since the right one depends on the
//! speed of the disk.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Interval over which the minimum delay is measured: long enough for several commits on a slow disk.
const INTERVAL: Micros = 100_000;
/// Factor applied to the limit after an interval with a standing queue. It is lowered faster than raised, because a
/// rejected request costs its gateway little.
const DECREASE: f64 = 0.7;
/// Factor applied to the limit after any other interval.
const INCREASE: f64 = 1.1;
/// Lower bound of the limit, in requests, so that an idle service admits any small burst.
const MIN_LIMIT: f64 = 16.0;

/// Limits of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of waiting requests of all gateways together.
    pub max_waiting: usize,
    /// Maximum number of waiting requests of one gateway.
    pub max_waiting_per_gateway: usize,
    /// The queue counts as standing if the minimum delay within an interval exceeds this, microseconds.
    pub target_delay: Micros,
}

struct Waiting<T> {
    admitted_at: Micros,
    /// When the client stops waiting for the reply.
    deadline: Micros,
    item: T,
}

/// The waiting requests, in one queue per gateway.
pub struct AdmissionQueue<T> {
    config: Config,
    queues: BTreeMap<u16, VecDeque<Waiting<T>>>,
    /// Gateways with waiting requests, in round-robin order.
    round_robin: VecDeque<u16>,
    /// Number of waiting requests of all gateways together.
    len: usize,
    /// Adaptive limit on `len`; fractional, so that small increases accumulate.
    limit: f64,
    interval_start: Micros,
    /// Minimum delay of the requests taken in this interval; `None` if none was.
    min_delay: Option<Micros>,
    /// Delay of the request taken last.
    last_delay: Micros,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue, with the limit at `max_waiting`.
    pub fn new(config: Config) -> AdmissionQueue<T> {
        AdmissionQueue {
            config,
            queues: BTreeMap::new(),
            round_robin: VecDeque::new(),
            len: 0,
            limit: config.max_waiting as f64,
            interval_start: 0,
            min_delay: None,
            last_delay: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The adaptive limit on waiting requests, at most `max_waiting`. Gateways below their fair share may exceed it.
    pub fn current_limit(&self) -> usize {
        (self.limit as usize).min(self.config.max_waiting)
    }

    /// How long the request taken last had been waiting, microseconds.
    pub fn last_delay(&self) -> Micros {
        self.last_delay
    }

    /// Appends a request to its gateway's queue if it is admitted. `deadline` is when the client stops waiting
    /// for the reply.
    ///
    /// # Errors
    /// Returns the request if a limit rejects it.
    pub fn offer(&mut self, now: Micros, gateway: u16, deadline: Micros, item: T) -> Result<(), T> {
        let waiting = self.queues.get(&gateway).map_or(0, VecDeque::len);
        if !self.admits(waiting) {
            return Err(item);
        }
        if waiting == 0 {
            self.round_robin.push_back(gateway);
        }
        self.queues.entry(gateway).or_default().push_back(Waiting { admitted_at: now, deadline, item });
        self.len += 1;
        Ok(())
    }

    /// Whether a request is admitted from a gateway that has `waiting` requests in the queue. Above the limit, only
    /// gateways below their fair share are admitted, so that a flood from one gateway cannot keep the others out.
    fn admits(&self, waiting: usize) -> bool {
        if waiting >= self.config.max_waiting_per_gateway {
            return false;
        }
        let gateways = self.queues.len() + usize::from(waiting == 0);
        let fair_share = (self.current_limit() / gateways.max(1)).min(self.config.max_waiting_per_gateway);
        self.len < self.current_limit() || waiting < fair_share && self.len < self.config.max_waiting
    }

    /// Removes requests round-robin until `taken` holds `max`; requests past their deadline are moved to `late` instead.
    /// At the end of an interval, adjusts the limit.
    pub fn take(&mut self, now: Micros, max: usize, taken: &mut Vec<T>, late: &mut Vec<T>) {
        while taken.len() < max {
            let Some(gateway) = self.round_robin.pop_front() else { break };
            let Some(request) = self.pop(gateway) else { continue };
            self.last_delay = now.saturating_sub(request.admitted_at);
            self.min_delay = Some(self.min_delay.map_or(self.last_delay, |min| min.min(self.last_delay)));
            if request.deadline <= now {
                late.push(request.item);
            } else {
                taken.push(request.item);
            }
        }
        if now >= self.interval_start + INTERVAL {
            self.adjust_limit(self.len + taken.len());
            self.interval_start = now;
        }
    }

    /// Removes the oldest request of a gateway. If it has more, the gateway is moved to the end of the round-robin order.
    fn pop(&mut self, gateway: u16) -> Option<Waiting<T>> {
        let queue = self.queues.get_mut(&gateway)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&gateway);
        } else {
            self.round_robin.push_back(gateway);
        }
        self.len -= usize::from(request.is_some());
        request
    }

    /// `waiting` is the number of requests that were waiting before the last were taken.
    fn adjust_limit(&mut self, waiting: usize) {
        let is_standing = self.min_delay.take().is_some_and(|min| min > self.config.target_delay);
        let new_limit = if is_standing {
            // Starts from the number waiting if that is lower: a limit far above it would reject nothing.
            self.limit.min(waiting as f64) * DECREASE
        } else {
            self.limit * INCREASE
        };
        self.limit = new_limit.clamp(MIN_LIMIT, (self.config.max_waiting as f64).max(MIN_LIMIT));
    }
}
