//! When the list of servers is polled: the whole list first, then changes to the version known, by long polls.

use frostgauge::{ListKind, Micros};

/// How long a long poll may be held, ms. A poll whose answer is lost looks like one that is held; what it contained
/// takes effect 2 s after its hold, which is the time for noticing and polling again.
pub const LONG_POLL_MS: u64 = 1_000;
/// How long after a poll's hold its answer may come, ms; then the poll counts as failed.
pub const RESPONSE_SLACK_MS: u64 = 400;
/// Pause after a first failed poll, ms.
const MIN_PAUSE_MS: u64 = 20;
/// Longest pause after a failed poll, ms: the agent is on this machine.
const MAX_PAUSE_MS: u64 = 250;
/// Maximum number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 10;

/// State of a gateway's watch of the list.
#[derive(Clone, Debug, Default)]
pub struct ListWatch {
    /// Version of the list that is known.
    version: Option<u64>,
    /// Failed polls in a row.
    failures: u32,
}

impl ListWatch {
    /// The next poll: `None` for the whole list, else the version after which changes are asked for and how long the
    /// poll may be held, ms; and how long its answer may take, ms.
    pub fn next_poll(&self) -> (Option<(u64, u64)>, u64) {
        match self.version {
            None => (None, RESPONSE_SLACK_MS),
            // After a failure changes are asked for at once: another lost poll is then noticed sooner.
            Some(version) if self.failures > 0 => (Some((version, 0)), RESPONSE_SLACK_MS),
            Some(version) => (Some((version, LONG_POLL_MS)), LONG_POLL_MS + RESPONSE_SLACK_MS),
        }
    }

    /// Takes an answer and returns the kind of list. `None` for changes that do not follow the known version, which
    /// the caller treats as [`ListWatch::poll_failed`] and unreadable, so that it pauses before the next poll.
    pub fn response_received(&mut self, whole: bool, version: u64) -> Option<ListKind> {
        if !whole && self.version.is_none_or(|known| version < known) {
            return None;
        }
        self.failures = 0;
        self.version = Some(version);
        Some(if whole { ListKind::Full } else { ListKind::Delta })
    }

    /// Takes a failed poll and returns how long to wait before the next. After an `unreadable` answer the whole list
    /// is needed, since what it contained is lost. `roll` from 0 up to 1 spreads the polls of gateways.
    pub fn poll_failed(&mut self, unreadable: bool, roll: f64) -> Micros {
        if unreadable {
            self.version = None;
        }
        let pause_ms = (MIN_PAUSE_MS << self.failures.min(MAX_PAUSE_DOUBLINGS)).min(MAX_PAUSE_MS);
        self.failures += 1;
        (pause_ms as f64 * (0.5 + roll / 2.0) * 1e3) as Micros
    }

    /// Starts over with the whole list, since discovery has moved.
    pub fn reset(&mut self) {
        *self = ListWatch::default();
    }
}
