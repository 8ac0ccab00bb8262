//! The state: a function of the records applied, and of nothing else.

mod operation;
mod snapshot;
mod undo;

pub use operation::{Operation, Record};
pub use snapshot::SnapshotError;
pub use undo::Undo;

use frostgauge_proto::counter::{Nonce, RejectReason};
use std::collections::{BTreeMap, BTreeSet};
use undo::WindowShift;

/// Sequences remembered behind a gateway's newest. A client has at most half as many in flight, so that a retry
/// within its time always finds its first attempt.
pub const DEDUP_WINDOW: u64 = 512;
/// Largest total, in sub-units, either way: up to here every whole number is exact as a floating-point number too.
pub const MAX_TOTAL: i64 = 1 << 53;
/// Counters removed at most by one record: many that expire together must not hold up a group.
const MAX_EXPIRIES_PER_RECORD: usize = 64;

/// A counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counter {
    /// Its total in sub-units.
    pub total: i64,
    /// When it expires, milliseconds since 1970.
    pub expires_ms: u64,
}

/// The session of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewaySession {
    /// Grows with each incarnation, and is at least the time at which it was given.
    pub epoch: u64,
    /// The gateway's process.
    pub incarnation: Nonce,
    /// The newest sequence counted.
    pub newest_seq: u64,
    /// Sequences counted within the window, with the total that each gave.
    pub completed: BTreeMap<u64, i64>,
}

/// What an operation comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is a new record, already applied; the change can be taken back while it is not durable.
    Applied(Record, Box<Undo>),
    /// It was applied before: the total or epoch that it gave then.
    Duplicate(i64),
    /// Nothing is changed.
    Rejected(RejectReason),
}

/// A record does not follow from the state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {index}: {reason}")]
pub struct DivergenceError {
    /// The record's index.
    pub index: u64,
    /// What is wrong.
    pub reason: &'static str,
}

/// Counters by name, and which adds of each gateway they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    counters: BTreeMap<Vec<u8>, Counter>,
    expiries: BTreeSet<(u64, Vec<u8>)>,
    sessions: BTreeMap<u16, GatewaySession>,
    index: u64,
    time_ms: u64,
}

impl StateMachine {
    /// Index of the last record applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Time of the last record applied.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// How many counters there are.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// All counters, by name.
    pub fn counters(&self) -> impl Iterator<Item = (&[u8], Counter)> {
        self.counters.iter().map(|(name, counter)| (&name[..], *counter))
    }

    /// All sessions, by gateway.
    pub fn sessions(&self) -> impl Iterator<Item = (u16, &GatewaySession)> {
        self.sessions.iter().map(|(gateway, session)| (*gateway, session))
    }

    /// The total of a counter at a time; 0 if there is none, or it has expired.
    pub fn read(&self, time_ms: u64, name: &[u8]) -> i64 {
        self.counters.get(name).filter(|n| n.expires_ms > time_ms).map_or(0, |n| n.total)
    }

    /// Decides about an operation at a time, and applies it. `max_counters` counters may be kept.
    pub fn execute(&mut self, time_ms: u64, operation: Operation, max_counters: usize) -> Outcome {
        let time_ms = time_ms.max(self.time_ms);
        match &operation {
            Operation::Open { gateway, incarnation } => {
                if let Some(session) = self.sessions.get(gateway).filter(|m| m.incarnation == *incarnation) {
                    return Outcome::Duplicate(session.epoch as i64);
                }
            }
            Operation::Add { gateway, epoch, seq, amount, name, .. } => {
                let Some(session) = self.sessions.get(gateway).filter(|m| m.epoch == *epoch) else {
                    return Outcome::Rejected(RejectReason::Fenced);
                };
                if let Some(total) = session.completed.get(seq) {
                    return Outcome::Duplicate(*total);
                }
                // A retry older than the window may be in the total.
                if *seq == 0 || seq.saturating_add(DEDUP_WINDOW) <= session.newest_seq {
                    return Outcome::Rejected(RejectReason::StaleSequence);
                }
                let known = self.counters.get(name).filter(|n| n.expires_ms > time_ms);
                if known.is_none() && self.counters.len() >= max_counters {
                    return Outcome::Rejected(RejectReason::TooManyCounters);
                }
                if sum(known, *amount).is_none() {
                    return Outcome::Rejected(RejectReason::Overflow);
                }
            }
        }
        let mut record = Record { index: self.index + 1, time_ms, operation, result: 0 };
        let (result, undo) = self.change(&record);
        record.result = result;
        Outcome::Applied(record, Box::new(undo))
    }

    /// Applies a record of the log.
    ///
    /// # Errors
    /// It does not follow from the state: another log's, or one missing before it.
    pub fn apply(&mut self, record: &Record) -> Result<(), DivergenceError> {
        let fail = |reason| Err(DivergenceError { index: record.index, reason });
        if record.index != self.index + 1 {
            return fail("its index does not follow");
        }
        if record.time_ms < self.time_ms {
            return fail("its time is before the last one's");
        }
        if let Operation::Add { gateway, epoch, seq, amount, name, .. } = &record.operation {
            let Some(session) = self.sessions.get(gateway).filter(|m| m.epoch == *epoch) else {
                return fail("its gateway has another epoch");
            };
            if session.completed.contains_key(seq) || seq.saturating_add(DEDUP_WINDOW) <= session.newest_seq {
                return fail("its sequence was counted before");
            }
            if sum(self.counters.get(name).filter(|n| n.expires_ms > record.time_ms), *amount).is_none() {
                return fail("its total is past what is exact");
            }
        }
        let (result, undo) = self.change(record);
        if result != record.result {
            self.undo(undo);
            return fail("it gave another total when it was written");
        }
        Ok(())
    }

    /// Removes counters past their time to live, a bounded number at once.
    fn expire(&mut self, time_ms: u64) -> Vec<(Vec<u8>, Counter)> {
        let mut expired = vec![];
        while expired.len() < MAX_EXPIRIES_PER_RECORD
            && self.expiries.first().is_some_and(|(at, _)| *at <= time_ms)
        {
            let Some((_, name)) = self.expiries.pop_first() else { break };
            if let Some(counter) = self.counters.remove(&name) {
                expired.push((name, counter));
            }
        }
        expired
    }

    /// Applies a record that has been found to follow; what it gave, and how to take it back.
    fn change(&mut self, record: &Record) -> (i64, Undo) {
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

    /// Begins a session; its epoch, and the gateway's session before.
    fn open_session(
        &mut self,
        gateway: u16,
        incarnation: Nonce,
        time_ms: u64,
    ) -> (u64, Option<GatewaySession>) {
        let before = self.sessions.get(&gateway).cloned();
        // Epochs are at least the time: a service that came back empty must not give an epoch that a client has,
        // who would then retry what an earlier service had counted.
        let epoch = (before.as_ref().map_or(0, |session| session.epoch) + 1).max(time_ms);
        self.sessions.insert(gateway, GatewaySession { epoch, incarnation, ..GatewaySession::default() });
        (epoch, before)
    }

    /// Adds to a counter, or begins it; its total, and the counter before.
    fn add(&mut self, name: &[u8], amount: i64, ttl_ms: u32, time_ms: u64) -> (i64, Option<Counter>) {
        let before = self.counters.get(name).copied();
        let live = before.filter(|counter| counter.expires_ms > time_ms);
        let total = sum(live.as_ref(), amount).unwrap_or_default();
        let new_expiry = time_ms.saturating_add(u64::from(ttl_ms));
        let expires_ms = live.map_or(new_expiry, |counter| counter.expires_ms);
        if let Some(old) = before {
            self.expiries.remove(&(old.expires_ms, name.to_vec()));
        }
        self.insert_counter(name.to_vec(), Counter { total, expires_ms });
        (total, before)
    }

    /// Remembers a counted sequence, and forgets those behind the window.
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

    /// The same numbers with nothing remembered of who had what counted: a bug to inject in tests.
    #[doc(hidden)]
    pub fn without_deduplication(&self) -> StateMachine {
        let mut copy = self.clone();
        for session in copy.sessions.values_mut() {
            (session.newest_seq, session.completed) = (0, BTreeMap::new());
        }
        copy
    }
}

fn sum(known: Option<&Counter>, amount: i64) -> Option<i64> {
    let sum = known.map_or(0, |n| n.total).checked_add(amount)?;
    (-MAX_TOTAL..=MAX_TOTAL).contains(&sum).then_some(sum)
}
