//! Undoing the last changes if their group of records could not be written to the log.

use super::{Counter, GatewaySession, StateMachine};

/// What is needed to undo one change: the affected parts of the state as they were before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Undo {
    pub(super) index: u64,
    pub(super) time_ms: u64,
    /// For an add: the counter's name, and the counter before the add, if it existed.
    pub(super) counter: Option<(Vec<u8>, Option<Counter>)>,
    /// Expired counters that the change removed.
    pub(super) expired: Vec<(Vec<u8>, Counter)>,
    /// The gateway; for an open, also its previous session, if it had one.
    pub(super) session: (u16, Option<GatewaySession>),
    /// How an add changed the deduplication window; `None` for an open.
    pub(super) window_shift: Option<WindowShift>,
}

/// How an add changed its gateway's deduplication window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WindowShift {
    /// Sequence of the add.
    pub(super) seq: u64,
    /// Highest sequence before the add.
    pub(super) newest_seq: u64,
    /// Sequences that left the window, with their totals.
    pub(super) dropped: Vec<(u64, i64)>,
}

impl StateMachine {
    /// Undoes a change. Changes must be undone in reverse order: `undo` belongs to the latest change not yet undone.
    pub fn undo(&mut self, undo: Undo) {
        (self.index, self.time_ms) = (undo.index, undo.time_ms);
        let (gateway, session_before) = undo.session;
        match undo.window_shift {
            Some(shift) => self.undo_window_shift(gateway, shift),
            None => match session_before {
                Some(session) => drop(self.sessions.insert(gateway, session)),
                None => drop(self.sessions.remove(&gateway)),
            },
        }
        if let Some((name, counter_before)) = undo.counter {
            if let Some(counter) = self.counters.remove(&name) {
                self.expiries.remove(&(counter.expires_ms, name.clone()));
            }
            if let Some(counter) = counter_before {
                self.insert_counter(name, counter);
            }
        }
        for (name, counter) in undo.expired {
            self.insert_counter(name, counter);
        }
    }

    fn undo_window_shift(&mut self, gateway: u16, shift: WindowShift) {
        if let Some(session) = self.sessions.get_mut(&gateway) {
            session.completed.remove(&shift.seq);
            session.completed.extend(shift.dropped);
            session.newest_seq = shift.newest_seq;
        }
    }
}
