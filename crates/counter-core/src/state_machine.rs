//! The state of the counter service. It depends only on the records applied, so that a replay of the log restores it.

mod operation;
mod snapshot;
mod undo;

pub use operation::{Operation, Record};
pub use snapshot::SnapshotError;
pub use undo::Undo;

use frostgauge_proto::counter::{Nonce, RejectReason};
use std::collections::{BTreeMap, BTreeSet};
use undo::WindowShift;

/// Size of a gateway's deduplication window: the number of sequences, up to its highest one, whose results are kept.
/// Sequences of a client's calls in flight span at most half the window, so that a retry before the timeout always finds
/// the result of the first attempt.
pub const DEDUP_WINDOW: u64 = 512;
/// Largest absolute value of a total, sub-units. Every integer up to it can be represented exactly as an `f64`.
pub const MAX_TOTAL: i64 = 1 << 53;
/// Maximum number of expired counters removed by one record, so that many expiring together do not delay a commit.
const MAX_EXPIRIES_PER_RECORD: usize = 64;

/// The total of one counter, and its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counter {
    /// Sum of the amounts added, sub-units.
    pub total: i64,
    /// When the counter expires, milliseconds since 1970; set when it is created.
    pub expires_ms: u64,
}

/// A gateway's current session: the process that may add, and its deduplication window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewaySession {
    /// Increases with each incarnation, and is at least the time at which the session was opened (milliseconds since
    /// 1970).
    pub epoch: u64,
    /// Random identifier of the gateway's process, drawn at its start.
    pub incarnation: Nonce,
    /// Highest sequence applied; 0 if none was.
    pub newest_seq: u64,
    /// Sequences applied within the deduplication window, with the total that resulted from each.
    pub completed: BTreeMap<u64, i64>,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The operation is new and has been applied. The record is to be written to the log; if that fails, the change can
    /// be undone.
    Applied(Record, Box<Undo>),
    /// The operation had already been applied; contains the total or epoch that resulted from it then.
    Duplicate(i64),
    /// The operation is not applied, and the state is unchanged.
    Rejected(RejectReason),
}

/// A record of the log cannot have resulted from the current state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {index}: {reason}")]
pub struct DivergenceError {
    /// Index of the record.
    pub index: u64,
    /// The contradiction.
    pub reason: &'static str,
}

/// The counters by name, and the session of each gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    counters: BTreeMap<Vec<u8>, Counter>,
    /// Expiry (milliseconds since 1970) and name of each counter.
    expiries: BTreeSet<(u64, Vec<u8>)>,
    sessions: BTreeMap<u16, GatewaySession>,
    index: u64,
    time_ms: u64,
}

impl StateMachine {
    /// Index of the last record applied; 0 if none was.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Time of the last record applied, milliseconds since 1970; 0 if none was.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Number of counters, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Returns all counters in the order of their names, including expired ones that are not removed yet.
    pub fn counters(&self) -> impl Iterator<Item = (&[u8], Counter)> {
        self.counters.iter().map(|(name, counter)| (&name[..], *counter))
    }

    /// Returns all sessions in the order of the gateways' numbers.
    pub fn sessions(&self) -> impl Iterator<Item = (u16, &GatewaySession)> {
        self.sessions.iter().map(|(gateway, session)| (*gateway, session))
    }

    /// Returns the total of a counter in sub-units; 0 if it does not exist or has expired by `time_ms`.
    pub fn read(&self, time_ms: u64, name: &[u8]) -> i64 {
        self.counters
            .get(name)
            .filter(|counter| counter.expires_ms > time_ms)
            .map_or(0, |counter| counter.total)
    }

    /// Checks an operation and applies it. `time_ms` is milliseconds since 1970; if the clock has stepped back, the time
    /// of the last record is used instead. A new counter is rejected if `max_counters` exist.
    pub fn execute(&mut self, time_ms: u64, operation: Operation, max_counters: usize) -> Outcome {
        let time_ms = time_ms.max(self.time_ms);
        match &operation {
            Operation::Open { gateway, incarnation } => {
                if let Some(session) =
                    self.sessions.get(gateway).filter(|session| session.incarnation == *incarnation)
                {
                    return Outcome::Duplicate(session.epoch as i64);
                }
            }
            Operation::Add { gateway, epoch, seq, amount, name, .. } => {
                let Some(session) = self.sessions.get(gateway).filter(|session| session.epoch == *epoch)
                else {
                    return Outcome::Rejected(RejectReason::Fenced);
                };
                if let Some(total) = session.completed.get(seq) {
                    return Outcome::Duplicate(*total);
                }
                // An attempt before the window may already have been applied; there is no longer any record of it.
                if *seq == 0 || seq.saturating_add(DEDUP_WINDOW) <= session.newest_seq {
                    return Outcome::Rejected(RejectReason::StaleSequence);
                }
                let live = self.counters.get(name).filter(|counter| counter.expires_ms > time_ms);
                if live.is_none() && self.counters.len() >= max_counters {
                    return Outcome::Rejected(RejectReason::TooManyCounters);
                }
                if checked_total(live, *amount).is_none() {
                    return Outcome::Rejected(RejectReason::Overflow);
                }
            }
        }
        let mut record = Record { index: self.index + 1, time_ms, operation, result: 0 };
        let (result, undo) = self.apply_unchecked(&record);
        record.result = result;
        Outcome::Applied(record, Box::new(undo))
    }

    /// Applies a record read from the log.
    ///
    /// # Errors
    /// The record cannot have resulted from the current state: it belongs to another log, or a record before it is
    /// missing. The state is unchanged.
    pub fn apply(&mut self, record: &Record) -> Result<(), DivergenceError> {
        let diverged = |reason| Err(DivergenceError { index: record.index, reason });
        if record.index != self.index + 1 {
            return diverged("the index is not the successor of the last one applied");
        }
        if record.time_ms < self.time_ms {
            return diverged("the time is earlier than that of the last record applied");
        }
        if let Operation::Add { gateway, epoch, seq, amount, name, .. } = &record.operation {
            let Some(session) = self.sessions.get(gateway).filter(|session| session.epoch == *epoch) else {
                return diverged("the epoch is not that of the gateway's session");
            };
            if session.completed.contains_key(seq) || seq.saturating_add(DEDUP_WINDOW) <= session.newest_seq {
                return diverged("the sequence was applied before or lies before the deduplication window");
            }
            if checked_total(
                self.counters.get(name).filter(|counter| counter.expires_ms > record.time_ms),
                *amount,
            )
            .is_none()
            {
                return diverged("the total exceeds the largest exact value");
            }
        }
        let (result, undo) = self.apply_unchecked(record);
        if result != record.result {
            self.undo(undo);
            return diverged("applying it gives a different total or epoch than recorded");
        }
        Ok(())
    }

    /// Removes and returns expired counters, at most [`MAX_EXPIRIES_PER_RECORD`].
    fn expire(&mut self, time_ms: u64) -> Vec<(Vec<u8>, Counter)> {
        let mut expired = vec![];
        while expired.len() < MAX_EXPIRIES_PER_RECORD
            && self.expiries.first().is_some_and(|(expires_ms, _)| *expires_ms <= time_ms)
        {
            let Some((_, name)) = self.expiries.pop_first() else { break };
            if let Some(counter) = self.counters.remove(&name) {
                expired.push((name, counter));
            }
        }
        expired
    }

    /// Applies a record that has passed all checks. Returns the resulting total or epoch, and how to undo the change.
    fn apply_unchecked(&mut self, record: &Record) -> (i64, Undo) {
        let (index, time_ms) = (self.index, self.time_ms);
        (self.index, self.time_ms) = (record.index, record.time_ms);
        let expired = self.expire(record.time_ms);
        match &record.operation {
            Operation::Open { gateway, incarnation } => {
                let (epoch, before) = self.open_session(*gateway, *incarnation, record.time_ms);
                let session = (*gateway, before);
                (epoch as i64, Undo { index, time_ms, counter: None, expired, session, window_shift: None })
            }
            Operation::Add { gateway, seq, amount, ttl_ms, name, .. } => {
                let (total, before) = self.add(name, *amount, *ttl_ms, record.time_ms);
                let window_shift = Some(self.complete(*gateway, *seq, total));
                let counter = Some((name.clone(), before));
                (total, Undo { index, time_ms, counter, expired, session: (*gateway, None), window_shift })
            }
        }
    }

    /// Opens a session. Returns its epoch, and the gateway's previous session.
    fn open_session(
        &mut self,
        gateway: u16,
        incarnation: Nonce,
        time_ms: u64,
    ) -> (u64, Option<GatewaySession>) {
        let before = self.sessions.get(&gateway).cloned();
        // Epochs are at least the time. A service that has lost its data must not assign an epoch that a client already
        // has: the client would retry calls that the service had counted before the loss, and they would be counted twice.
        let epoch = (before.as_ref().map_or(0, |session| session.epoch) + 1).max(time_ms);
        self.sessions.insert(gateway, GatewaySession { epoch, incarnation, ..GatewaySession::default() });
        (epoch, before)
    }

    /// Adds to a counter, or creates it. Returns the new total, and the counter as it was before.
    fn add(&mut self, name: &[u8], amount: i64, ttl_ms: u32, time_ms: u64) -> (i64, Option<Counter>) {
        let before = self.counters.get(name).copied();
        let live = before.filter(|counter| counter.expires_ms > time_ms);
        let total = checked_total(live.as_ref(), amount).unwrap_or_default();
        let new_expiry = time_ms.saturating_add(u64::from(ttl_ms));
        let expires_ms = live.map_or(new_expiry, |counter| counter.expires_ms);
        if let Some(old) = before {
            self.expiries.remove(&(old.expires_ms, name.to_vec()));
        }
        self.insert_counter(name.to_vec(), Counter { total, expires_ms });
        (total, before)
    }

    /// Records a sequence as applied, and drops those before the deduplication window.
    fn complete(&mut self, gateway: u16, seq: u64, total: i64) -> WindowShift {
        let session = self.sessions.entry(gateway).or_default();
        let newest_seq = session.newest_seq;
        session.completed.insert(seq, total);
        session.newest_seq = newest_seq.max(seq);
        let oldest_kept = session.newest_seq.saturating_sub(DEDUP_WINDOW - 1);
        let kept = session.completed.split_off(&oldest_kept);
        let dropped = std::mem::replace(&mut session.completed, kept).into_iter().collect();
        WindowShift { seq, newest_seq, dropped }
    }

    fn insert_counter(&mut self, name: Vec<u8>, counter: Counter) {
        self.expiries.insert((counter.expires_ms, name.clone()));
        self.counters.insert(name, counter);
    }

    /// Returns a copy with the same counters but empty deduplication windows. Tests inject this fault to check that they
    /// detect adds counted twice.
    #[doc(hidden)]
    pub fn without_deduplication(&self) -> StateMachine {
        let mut copy = self.clone();
        for session in copy.sessions.values_mut() {
            (session.newest_seq, session.completed) = (0, BTreeMap::new());
        }
        copy
    }
}

/// The total after an add, sub-units; `None` if its absolute value would exceed [`MAX_TOTAL`].
fn checked_total(counter: Option<&Counter>, amount: i64) -> Option<i64> {
    let total = counter.map_or(0, |counter| counter.total).checked_add(amount)?;
    (-MAX_TOTAL..=MAX_TOTAL).contains(&total).then_some(total)
}
