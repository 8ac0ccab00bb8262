//! A gateway's calls to the counter service: what is sent when, and how each call completes.
//!
//! A call completes in one of three ways: with a total (the amount was added exactly once), rejected (the amount was
//! certainly not added), or unsure (it may have been added). A retry carries the sequence of the first attempt, so that
//! the service counts it only once. A total received for a retry completes a call that would otherwise be unsure.

use crate::connect_backoff::ConnectBackoff;
use crate::retry_budget::RetryBudget;
use crate::{sub_units, units, Micros, DEDUP_WINDOW};
use frostgauge_proto::counter::RejectReason;
use std::collections::BTreeMap;

/// Maximum number of calls in flight, and of sequences between the oldest of them and the newest: half the service's
/// deduplication window, so that a retry always finds the result of the first attempt.
const MAX_IN_FLIGHT: usize = DEDUP_WINDOW as usize / 2;
/// The connection is given up if a reply is due and nothing is received for this many call timeouts.
const SILENT_TIMEOUTS: u64 = 3;

/// Time limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// A call without a reply completes after this time, microseconds.
    pub timeout: Micros,
    /// Time from an attempt without a reply to the next attempt, microseconds.
    pub retry_after: Micros,
}

/// What the caller of [`ClientCalls`] must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection and a session on it, then call [`ClientCalls::session_opened`] or
    /// [`ClientCalls::connection_lost`].
    Connect,
    /// Close the connection, or stop opening it. It already counts as lost: [`ClientCalls::connection_lost`] is not to be
    /// called.
    Disconnect,
    /// Send an add to the service.
    SendAdd {
        /// Sequence of the call; the same for all its attempts.
        seq: u64,
        /// Number of the counter; the caller encodes it as the counter's name.
        counter: u64,
        /// Amount to add, sub-units.
        amount: i64,
        /// Time to live if the counter is created, milliseconds.
        ttl_ms: u32,
        /// Time left until the call times out, microseconds.
        remaining: Micros,
    },
    /// Return the outcome of a call to the library.
    Complete {
        /// Number of the counter; the caller encodes it as the counter's name.
        counter: u64,
        /// The counter's total in units, if the amount was certainly added.
        total: Option<f64>,
        /// If there is no total: true if the amount may have been added, false if it certainly was not.
        unsure: bool,
        /// Time since the call was made, microseconds.
        elapsed: Micros,
        /// Identifies the call in the service's log.
        details: CallDetails,
    },
}

/// Identifies a call in the service's log, for audits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallDetails {
    /// Epoch of the session in which the call was last sent; 0 if it never was.
    pub epoch: u64,
    /// Sequence of the call; 0 if it was rejected before one was assigned.
    pub seq: u64,
    /// Amount of the call, sub-units; 0 if it was rejected before a sequence was assigned.
    pub amount: i64,
    /// Number of times that the call was sent.
    pub attempts: u32,
}

/// Counts since the start of the process, shown on the admin pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls made by the library.
    pub calls: u64,
    /// Calls completed with a total.
    pub totals: u64,
    /// Calls completed as rejected: the amount was certainly not added.
    pub rejected: u64,
    /// Calls completed as unsure: the amount may have been added.
    pub unsure: u64,
    /// Attempts sent after the first one of each call.
    pub retries: u64,
    /// Connections on which a session was opened.
    pub connections: u64,
}

/// A call in flight.
#[derive(Clone, Debug)]
struct Call {
    counter: u64,
    amount: i64,
    ttl_ms: u32,
    started_at: Micros,
    /// When the call was last sent, or last not retried for lack of retry budget; before that, when it was made.
    last_sent_at: Micros,
    attempts: u32,
    rejections: u32,
    /// Epoch of the session in which it was last sent; 0 if it never was.
    epoch: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    /// No connection; the next attempt to connect is due at `retry_at`.
    Down { retry_at: Micros },
    /// [`Action::Connect`] was issued.
    Opening,
    /// A session is open.
    Up,
}

/// The calls of one gateway, and the state of its connection to the service.
#[derive(Debug)]
pub struct ClientCalls {
    config: Config,
    connection: Connection,
    epoch: u64,
    last_seq: u64,
    in_flight: BTreeMap<u64, Call>,
    retry_budget: RetryBudget,
    backoff: ConnectBackoff,
    /// When the oldest action without a response was taken: opening the connection, or sending an add after the last frame
    /// received. `None` if no response is due.
    reply_due_since: Option<Micros>,
    stats: CallStats,
}

impl ClientCalls {
    /// Starts without a connection. `seed` must differ between gateways, so that they do not reconnect at the same time.
    pub fn new(config: Config, seed: u64) -> ClientCalls {
        ClientCalls {
            config,
            connection: Connection::Down { retry_at: 0 },
            epoch: 0,
            last_seq: 0,
            in_flight: BTreeMap::new(),
            retry_budget: RetryBudget::new(),
            backoff: ConnectBackoff::new(seed),
            reply_due_since: None,
            stats: CallStats::default(),
        }
    }

    /// Counts of calls, outcomes, retries and connections so far.
    pub fn stats(&self) -> CallStats {
        self.stats
    }

    /// Whether a session with the service is open.
    pub fn is_connected(&self) -> bool {
        self.connection == Connection::Up
    }

    /// Epoch of the current or last session; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Starts a call of the library that adds `amount` units to a counter; `ttl` is the time to live if the counter is
    /// created, microseconds. The call is rejected at once if too many are in flight, the amount is not finite or
    /// exceeds [`crate::MAX_TOTAL`], or the next attempt to connect is too late for the call timeout.
    pub fn call(&mut self, now: Micros, counter: u64, amount: f64, ttl: Micros, out: &mut Vec<Action>) {
        self.stats.calls += 1;
        self.retry_budget.credit_call(now);
        let ttl_ms = u32::try_from(ttl / 1_000).unwrap_or(u32::MAX).max(1);
        let can_send = self.has_capacity() && !self.is_unreachable(now);
        let Some(amount) = sub_units(amount).filter(|_| can_send) else {
            self.stats.rejected += 1;
            let details = CallDetails::default();
            return out.push(Action::Complete { counter, total: None, unsure: false, elapsed: 0, details });
        };
        self.last_seq += 1;
        let call = Call {
            counter,
            amount,
            ttl_ms,
            started_at: now,
            last_sent_at: now,
            attempts: 0,
            rejections: 0,
            epoch: 0,
        };
        self.in_flight.insert(self.last_seq, call);
        if self.is_connected() {
            self.send(now, self.last_seq, out);
        } else {
            self.advance(now, out);
        }
    }

    /// Whether another call can be in flight. Not only their number is limited, but also the distance from the oldest
    /// sequence to the newest: the oldest must still be in the service's deduplication window when the newest is applied.
    fn has_capacity(&self) -> bool {
        let oldest = self.in_flight.first_key_value().map_or(self.last_seq, |(seq, _)| *seq);
        self.in_flight.len() < MAX_IN_FLIGHT && self.last_seq.saturating_sub(oldest) < MAX_IN_FLIGHT as u64
    }

    /// Whether the next attempt to connect is more than half the call timeout away.
    fn is_unreachable(&self, now: Micros) -> bool {
        matches!(self.connection, Connection::Down { retry_at } if retry_at > now + self.config.timeout / 2)
    }

    /// Sends an attempt of a call, unless it is a retry and the retry budget is spent.
    fn send(&mut self, now: Micros, seq: u64, out: &mut Vec<Action>) {
        self.retry_budget.refill(now);
        let Some(call) = self.in_flight.get_mut(&seq) else { return };
        if call.attempts > 0 {
            if !self.retry_budget.try_spend() {
                return;
            }
            self.stats.retries += 1;
        }
        call.attempts += 1;
        call.last_sent_at = now;
        call.epoch = self.epoch;
        self.reply_due_since.get_or_insert(now);
        let remaining = (call.started_at + self.config.timeout).saturating_sub(now);
        let (counter, amount, ttl_ms) = (call.counter, call.amount, call.ttl_ms);
        out.push(Action::SendAdd { seq, counter, amount, ttl_ms, remaining });
    }

    fn complete(&mut self, now: Micros, seq: u64, total: Option<f64>, unsure: bool, out: &mut Vec<Action>) {
        let Some(call) = self.in_flight.remove(&seq) else { return };
        match (total, unsure) {
            (Some(_), _) => self.stats.totals += 1,
            (None, true) => self.stats.unsure += 1,
            (None, false) => self.stats.rejected += 1,
        }
        let details = CallDetails { epoch: call.epoch, seq, amount: call.amount, attempts: call.attempts };
        let elapsed = now.saturating_sub(call.started_at);
        out.push(Action::Complete { counter: call.counter, total, unsure, elapsed, details });
    }

    /// Handles a session opened by the service. If its epoch differs from the last one, the service has no session of this
    /// process, and a retry could not be recognized: calls sent before complete as unsure. All other calls in flight are sent.
    pub fn session_opened(&mut self, now: Micros, epoch: u64, out: &mut Vec<Action>) {
        self.connection = Connection::Up;
        self.backoff.reset();
        self.reply_due_since = None;
        self.stats.connections += 1;
        let epoch_changed = epoch != self.epoch;
        self.epoch = epoch;
        for seq in self.in_flight.keys().copied().collect::<Vec<_>>() {
            let was_sent = self.in_flight.get(&seq).is_some_and(|call| call.attempts > 0);
            if was_sent && epoch_changed {
                self.complete(now, seq, None, true, out);
            } else {
                self.send(now, seq, out);
            }
        }
    }

    /// Handles the loss of the connection, or a failed attempt to connect. If `rejected` is set, the service rejected the
    /// connection and would most likely do so again, so that the next attempt is made after the maximum backoff.
    pub fn connection_lost(&mut self, now: Micros, rejected: bool) {
        self.connection = Connection::Down { retry_at: now + self.backoff.after_failure(rejected) };
        self.reply_due_since = None;
    }

    /// Handles a frame that needs no other handling: the service has responded.
    pub fn frame_received(&mut self) {
        self.reply_due_since = None;
    }

    /// Handles a reply with the total after the add, sub-units.
    pub fn total_received(&mut self, now: Micros, seq: u64, total: i64, out: &mut Vec<Action>) {
        self.frame_received();
        self.complete(now, seq, Some(units(total)), false, out);
    }

    /// Handles the rejection of an attempt. The call completes only once all its attempts have been rejected, since any
    /// other one may still be in transit.
    pub fn rejection_received(&mut self, now: Micros, seq: u64, reason: RejectReason, out: &mut Vec<Action>) {
        self.frame_received();
        let Some(call) = self.in_flight.get_mut(&seq) else { return };
        call.rejections += 1;
        if call.rejections == call.attempts {
            // Outside the deduplication window or the session, the service cannot know whether the add was counted.
            let unsure = matches!(reason, RejectReason::StaleSequence | RejectReason::Fenced);
            self.complete(now, seq, None, unsure, out);
        }
    }

    /// Does whatever is due at `now`: times out calls, retries them, opens a connection or gives it up.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.time_out_calls(now, out);
        match self.connection {
            Connection::Down { retry_at } if now >= retry_at => {
                self.connection = Connection::Opening;
                self.reply_due_since = Some(now);
                out.push(Action::Connect);
            }
            Connection::Up => self.retry_calls(now, out),
            Connection::Down { .. } | Connection::Opening => {}
        }
        let is_silent = self.silence_deadline().is_some_and(|deadline| now >= deadline);
        if is_silent && !matches!(self.connection, Connection::Down { .. }) {
            out.push(Action::Disconnect);
            self.connection_lost(now, false);
        }
    }

    fn time_out_calls(&mut self, now: Micros, out: &mut Vec<Action>) {
        let timeout = self.config.timeout;
        for seq in self.sequences(|call| now >= call.started_at + timeout) {
            let unsure = self.in_flight.get(&seq).is_some_and(|call| call.attempts > call.rejections);
            self.complete(now, seq, None, unsure, out);
        }
    }

    fn retry_calls(&mut self, now: Micros, out: &mut Vec<Action>) {
        let retry_after = self.config.retry_after;
        for seq in self.sequences(|call| now >= call.last_sent_at + retry_after) {
            self.send(now, seq, out);
            // If the retry budget is spent, the next retry is due after the same interval again.
            if let Some(call) = self.in_flight.get_mut(&seq) {
                call.last_sent_at = now;
            }
        }
    }

    /// Sequences of the calls in flight that match.
    fn sequences(&self, matches: impl Fn(&Call) -> bool) -> Vec<u64> {
        self.in_flight.iter().filter(|(_, call)| matches(call)).map(|(seq, _)| *seq).collect()
    }

    /// When the connection is given up unless a frame is received; `None` if no reply is due.
    fn silence_deadline(&self) -> Option<Micros> {
        self.reply_due_since.map(|since| since + SILENT_TIMEOUTS * self.config.timeout)
    }

    /// When [`ClientCalls::advance`] must next be called; `None` if nothing is pending.
    pub fn next_wake(&self) -> Option<Micros> {
        let next_timeout = self.in_flight.values().map(|call| call.started_at + self.config.timeout).min();
        let next_retry =
            self.in_flight.values().map(|call| call.last_sent_at + self.config.retry_after).min();
        let connection_deadline = match self.connection {
            Connection::Down { retry_at } => Some(retry_at),
            Connection::Opening | Connection::Up => self.silence_deadline(),
        };
        let next_retry = next_retry.filter(|_| self.is_connected());
        next_timeout.into_iter().chain(next_retry).chain(connection_deadline).min()
    }
}
