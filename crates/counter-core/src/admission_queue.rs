//! Admission of requests when more come than the disk can sync, and the order in which they are served.
//!
//! Each gateway has a queue of its own, and they are served in turn, so that a gateway that floods the service makes
//! only its own queue long. How many requests may wait in all follows the delay, as in CoDel (RFC 8289): while the
//! least delay of an interval stays over the target, fewer are admitted; once it is under, more. A queue that is
//! long for a moment is no standing queue, and a length that suits one disk does not suit another.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Interval whose least delay counts, microseconds: some commits of a slow disk.
const INTERVAL: Micros = 100_000;
/// Share of the limit that is left after an interval with a standing queue. Down fast: a rejected request costs
/// its gateway little.
const DECREASE: f64 = 0.7;
/// Growth of the limit after any other interval.
const INCREASE: f64 = 1.1;
/// The limit is never under this: an idle service takes any small burst.
const MIN_LIMIT: f64 = 16.0;

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests that wait in all, at most.
    pub max_waiting: usize,
    /// Requests of one gateway that wait, at most.
    pub max_waiting_per_gateway: usize,
    /// A least delay over this in any interval is a standing queue, microseconds.
    pub target_delay: Micros,
}

struct Waiting<T> {
    since: Micros,
    deadline: Micros,
    item: T,
}

/// Requests that wait, in one queue for each gateway.
pub struct AdmissionQueue<T> {
    config: Config,
    queues: BTreeMap<u16, VecDeque<Waiting<T>>>,
    /// Gateways with requests, the next one to serve first.
    turns: VecDeque<u16>,
    len: usize,
    limit: f64,
    interval_start: Micros,
    /// Least delay in this interval.
    min_delay: Option<Micros>,
    last_delay: Micros,
}

impl<T> AdmissionQueue<T> {
    /// An empty one.
    pub fn new(config: Config) -> AdmissionQueue<T> {
        AdmissionQueue {
            config,
            queues: BTreeMap::new(),
            turns: VecDeque::new(),
            len: 0,
            limit: config.max_waiting as f64,
            interval_start: 0,
            min_delay: None,
            last_delay: 0,
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many may wait at present.
    pub fn current_limit(&self) -> usize {
        (self.limit as usize).min(self.config.max_waiting)
    }

    /// How long the last request served had waited, microseconds.
    pub fn last_delay(&self) -> Micros {
        self.last_delay
    }

    /// Admits a request that is of use until `deadline`.
    ///
    /// # Errors
    /// The request, if it is not admitted.
    pub fn offer(&mut self, now: Micros, gateway: u16, deadline: Micros, item: T) -> Result<(), T> {
        let waiting = self.queues.get(&gateway).map_or(0, VecDeque::len);
        if !self.admits(waiting) {
            return Err(item);
        }
        if waiting == 0 {
            self.turns.push_back(gateway);
        }
        self.queues.entry(gateway).or_default().push_back(Waiting { since: now, deadline, item });
        self.len += 1;
        Ok(())
    }

    /// Whether one more request of a gateway with so many waiting is admitted. Over the limit only gateways under
    /// their fair share are: one gateway's flood must not keep all others out.
    fn admits(&self, waiting: usize) -> bool {
        if waiting >= self.config.max_waiting_per_gateway {
            return false;
        }
        let gateways = self.queues.len() + usize::from(waiting == 0);
        let fair_share = (self.current_limit() / gateways.max(1)).min(self.config.max_waiting_per_gateway);
        self.len < self.current_limit() || waiting < fair_share && self.len < self.config.max_waiting
    }

    /// Takes up to `max` requests out, one of each gateway in turn; those past their deadline come into `late`.
    pub fn take(&mut self, now: Micros, max: usize, taken: &mut Vec<T>, late: &mut Vec<T>) {
        while taken.len() < max {
            let Some(gateway) = self.turns.pop_front() else { break };
            let Some(request) = self.pop(gateway) else { continue };
            self.last_delay = now.saturating_sub(request.since);
            self.min_delay = Some(self.min_delay.map_or(self.last_delay, |least| least.min(self.last_delay)));
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

    /// The oldest request of a gateway, which goes to the end of the turns if more wait.
    fn pop(&mut self, gateway: u16) -> Option<Waiting<T>> {
        let queue = self.queues.get_mut(&gateway)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&gateway);
        } else {
            self.turns.push_back(gateway);
        }
        self.len -= usize::from(request.is_some());
        request
    }

    fn adjust_limit(&mut self, waiting: usize) {
        let is_standing = self.min_delay.take().is_some_and(|least| least > self.config.target_delay);
        let next = if is_standing {
            // From what waits, not from a limit far over it, which would hold nothing back.
            self.limit.min(waiting as f64) * DECREASE
        } else {
            self.limit * INCREASE
        };
        self.limit = next.clamp(MIN_LIMIT, (self.config.max_waiting as f64).max(MIN_LIMIT));
    }
}
