//! Division of the processor time among client connections.
//!
//! Each answer has a cost. Connections beyond their allowance wait for a turn in one queue, which gets a share of the
//! processor time: so a client that asks as fast as it is answered, or hundreds of them, leave the rest to everyone else.
//! Connections within their allowance have a larger share, and use the queue's too where that is sooner.
//!
//! What a connection has caused is accounted for when it ends, too, whether it was answered or not. First requests have a
//! share; while it is used up, new connections are refused: reading what they send would take more than a refusal does.

use std::time::{Duration, Instant};

/// Processor time of an answer that the gateway gives by itself.
pub const OWN_ANSWER_COST: Duration = Duration::from_micros(50);
/// Processor time of a request that is skipped and refused, many of them in one write.
pub const SKIPPED_REQUEST_COST: Duration = Duration::from_micros(10);
/// Processor time of a request that is passed on to a server, with its answer.
pub const FORWARDED_REQUEST_COST: Duration = Duration::from_micros(100);
/// Processor time of a read that brings little.
pub const READ_COST: Duration = Duration::from_micros(20);
/// Processor time of each KiB that is received from a client and passed on.
pub const REQUEST_KIB_COST: Duration = Duration::from_micros(3);
/// Further processor time of each KiB of a head, which is parsed.
pub const HEAD_KIB_COST: Duration = Duration::from_micros(7);
/// Processor time of each KiB of a server's answer.
pub const ANSWER_KIB_COST: Duration = Duration::from_nanos(1_500);
/// Processor time of a connection that is accepted and closed, or refused.
const CONNECTION_COST: Duration = Duration::from_micros(35);
/// Share of the processor time for accepting connections. Most of the time it is not used; while it is, the queue leaves
/// time for it.
const ACCEPT_SHARE: f64 = 0.62;
/// How far that share may be exceeded at once: all clients of another gateway may come together.
const ACCEPT_TOLERANCE: Duration = Duration::from_millis(300);
/// Share of the processor time for first requests, for which the queue leaves time too.
const FIRST_REQUEST_SHARE: f64 = 0.3;
/// How far that share may be exceeded at once: well within the time that clients give.
const FIRST_REQUEST_TOLERANCE: Duration = Duration::from_millis(500);
/// Share of the processor time for connections within their allowance.
const ALLOWED_SHARE: f64 = 0.4;
/// Share of the processor time for the queue.
const QUEUE_SHARE: f64 = 0.25;
/// Each connection's allowance is one of this many parts of [`ALLOWED_SHARE`].
const ALLOWANCE_PARTS: f64 = 8.0;
/// How far the limits on answers may be exceeded at once.
const TOLERANCE: Duration = Duration::from_millis(100);
/// While the queue is longer than this, it leaves no time for new connections: well within the time that clients give.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(500);

/// A limit on work per time (generic cell rate algorithm).
#[derive(Clone, Debug)]
struct WorkLimit {
    /// Time that one second of work takes at this rate, s.
    slowdown: f64,
    /// How far it may be exceeded at once, in the time that the excess takes at this rate.
    tolerance: Duration,
    /// When the work so far would be done at this rate.
    done_at: Option<Instant>,
}

impl WorkLimit {
    /// A limit of so many seconds of work per second.
    fn new(rate: f64, tolerance: Duration) -> WorkLimit {
        WorkLimit { slowdown: 1.0 / rate.max(f64::MIN_POSITIVE), tolerance, done_at: None }
    }

    /// When the work so far and this would be done.
    fn done_after(&self, now: Instant, work: Duration) -> Instant {
        /// Longest time that work may take: far more than any wait.
        const MAX_TIME_S: f64 = 60.0;
        let time = Duration::from_secs_f64((work.as_secs_f64() * self.slowdown).min(MAX_TIME_S));
        self.done_at.map_or(now, |at| at.max(now)) + time
    }

    /// When this work would be within the limit.
    fn allowed_at(&self, now: Instant, work: Duration) -> Instant {
        let done_at = self.done_after(now, work);
        done_at.checked_sub(self.tolerance).map_or(now, |at| at.max(now))
    }

    /// Whether this work would be within the limit now.
    fn allows(&self, now: Instant, work: Duration) -> bool {
        self.allowed_at(now, work) <= now
    }

    /// Whether the work so far is within the limit.
    fn has_time_left(&self, now: Instant) -> bool {
        self.allows(now, Duration::ZERO)
    }

    /// Adds work, and returns when it is within the limit.
    fn reserve(&mut self, now: Instant, work: Duration) -> Instant {
        let at = self.allowed_at(now, work);
        self.done_at = Some(self.done_after(now, work));
        at
    }
}

/// The processor time of all client connections.
#[derive(Debug)]
pub struct ProcessorShares {
    accepted: WorkLimit,
    first_requests: WorkLimit,
    allowed: WorkLimit,
    queue: WorkLimit,
    allowance: f64,
}

/// The work that one client connection has caused.
#[derive(Debug)]
pub struct ClientWork {
    own: WorkLimit,
    /// Work not yet accounted for.
    due: Duration,
    /// It has not come to its second request.
    is_new: bool,
}

impl ClientWork {
    fn is_within_allowance(&self, now: Instant, work: Duration) -> bool {
        self.own.allows(now, work)
    }

    /// Adds work.
    pub fn add(&mut self, work: Duration) {
        self.due += work;
    }

    /// Adds the work of so many bytes, of which each KiB costs this much.
    pub fn add_bytes(&mut self, bytes: usize, kib_cost: Duration) {
        const KIB: f64 = 1024.0;
        self.due += kib_cost.mul_f64(bytes as f64 / KIB);
    }
}

impl ProcessorShares {
    /// Divides a share of a core.
    pub fn divide(cores: f64) -> ProcessorShares {
        let allowed = cores * ALLOWED_SHARE;
        ProcessorShares {
            accepted: WorkLimit::new(cores * ACCEPT_SHARE, ACCEPT_TOLERANCE),
            first_requests: WorkLimit::new(cores * FIRST_REQUEST_SHARE, FIRST_REQUEST_TOLERANCE),
            allowed: WorkLimit::new(allowed, TOLERANCE),
            queue: WorkLimit::new(cores * QUEUE_SHARE, TOLERANCE),
            allowance: allowed / ALLOWANCE_PARTS,
        }
    }

    /// The work of a new connection.
    pub fn client(&self) -> ClientWork {
        ClientWork { own: WorkLimit::new(self.allowance, TOLERANCE), due: Duration::ZERO, is_new: true }
    }

    /// Whether a new connection is to be served, rather than refused.
    pub fn admits(&self, now: Instant) -> bool {
        self.first_requests.has_time_left(now)
    }

    /// Whether a connection that is refused may linger, which is accounted for then.
    pub fn lets_linger(&mut self, now: Instant) -> bool {
        let allows = self.queue.allows(now, CONNECTION_COST);
        if allows {
            self.queue.reserve(now, CONNECTION_COST);
        }
        allows
    }

    /// Accounts for an accepted connection; the next one is accepted at the returned time.
    pub fn accept_at(&mut self, now: Instant) -> Instant {
        self.take_from_queue(now, CONNECTION_COST);
        self.accepted.reserve(now, CONNECTION_COST)
    }

    /// Accounts for the work that a connection has caused, without a turn: it is new, or ends.
    pub fn settle(&mut self, now: Instant, client: &mut ClientWork) {
        let work = std::mem::take(&mut client.due);
        if client.is_new {
            self.take_from_queue(now, work);
            self.first_requests.reserve(now, work);
        } else if self.allowed.has_time_left(now) {
            self.allowed.reserve(now, work);
        } else {
            self.queue.reserve(now, work);
        }
    }

    /// Has the queue leave time for new connections, within limits: that of a usual client may be behind hundreds in the
    /// kernel's queue.
    fn take_from_queue(&mut self, now: Instant, work: Duration) {
        if self.queue_delay(now) < MAX_QUEUE_DELAY {
            self.queue.reserve(now, work);
        }
    }

    /// How long the queue is.
    fn queue_delay(&self, now: Instant) -> Duration {
        self.queue.allowed_at(now, Duration::ZERO) - now
    }

    /// Accounts for the work that a connection has caused since the last call; it goes on at the returned time. In each
    /// share, connections that have to wait go on in the order of their calls.
    pub fn go_on_at(&mut self, now: Instant, client: &mut ClientWork) -> Instant {
        let work = std::mem::take(&mut client.due);
        client.is_new = false;
        let at = self.share(now, client, work).reserve(now, work);
        if client.is_within_allowance(now, work) {
            client.own.reserve(now, work);
        }
        at
    }

    /// The same for one that waits no longer than `max_wait`, and ends then.
    pub fn go_on_within(&mut self, now: Instant, client: &mut ClientWork, max_wait: Duration) -> Instant {
        let at = self.share(now, client, client.due).allowed_at(now, client.due);
        if at > now + max_wait {
            self.settle(now, client);
            return now + max_wait;
        }
        self.go_on_at(now, client)
    }

    /// Accounts for a read of what comes in pieces; it is to begin at the returned time, `max_wait` from now at the latest.
    /// What comes until then is read with it.
    pub fn read_at(&mut self, now: Instant, max_wait: Duration) -> Instant {
        let at = self.queue.allowed_at(now, READ_COST);
        if at > now + max_wait {
            return now + max_wait;
        }
        self.queue.reserve(now, READ_COST)
    }

    /// The share that work counts against.
    fn share(&mut self, now: Instant, client: &ClientWork, work: Duration) -> &mut WorkLimit {
        let is_sooner = self.allowed.allowed_at(now, work) <= self.queue.allowed_at(now, work);
        if client.is_within_allowance(now, work) && is_sooner {
            &mut self.allowed
        } else {
            &mut self.queue
        }
    }
}
