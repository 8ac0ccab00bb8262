//! Polling of discovery for the list of servers: first the full list, then by long polls the changes since the known
//! version.
//!
//! A poll without a response in time is overdue. Its response may be lost, or only slow, and the two cannot be told
//! apart. So another poll is sent beside it, and both wait: a lost response is noticed soon, and a slow one is still
//! received. Polls are numbered; those sent since the last response are current, earlier ones are left over.

use frostgauge::{ListKind, Micros};

/// How long discovery may hold a long poll if nothing changes, ms. A lost response looks like a held poll, and the
/// changes in it must take effect within 2 s after the hold: the time for detecting the loss and polling again.
pub const LONG_POLL_MS: u64 = 1_000;
/// A poll without a response is overdue this long after its hold, ms; later after late responses.
pub const RESPONSE_SLACK_MS: u64 = 400;
/// Maximum time after its hold until a poll is overdue, ms.
const MAX_SLACK_MS: u64 = 2_000;
/// Time until a poll is overdue, in multiples of how late the last response was. More polls would only add to the load of
/// a slow discovery.
const SLACK_PER_DELAY: u64 = 2;
/// Maximum number of polls in flight.
pub const MAX_POLLS_IN_FLIGHT: usize = 4;
/// Minimum and maximum time after its hold until a poll is given up, ms. Changes take effect 6 s after they were made,
/// whether or not they have been received.
const TIMEOUT_MS: (u64, u64) = (6_000, 60_000);
/// Time until a poll is given up, in multiples of how late the last response was.
const TIMEOUT_PER_DELAY: u64 = 2;
/// Maximum pause after the first failed poll, ms.
const MIN_PAUSE_MS: u64 = 20;
/// Maximum pause after any failed poll, ms. It is short because the discovery agent runs on the same machine.
const MAX_PAUSE_MS: u64 = 250;
/// Maximum number of times that the pause doubles, so that the shift does not overflow.
const MAX_PAUSE_DOUBLINGS: u32 = 10;

/// Number of a poll, in the order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollId(u64);

/// A poll to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Its number.
    pub id: PollId,
    /// `None` to request the full list; otherwise the version since which changes are requested, and how long discovery
    /// may hold the poll, ms.
    pub changes: Option<(u64, u64)>,
    /// Another poll is sent beside it after this time without a response, ms.
    pub overdue_after_ms: u64,
    /// It is given up after this time without a response, ms.
    pub timeout_ms: u64,
}

impl Poll {
    /// How long discovery may hold it, ms.
    pub fn hold_ms(&self) -> u64 {
        self.changes.map_or(0, |(_, hold_ms)| hold_ms)
    }
}

/// What to do with the list in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// It is to be applied.
    Apply(ListKind),
    /// Its poll was sent before the known list came, and its version is older: there is nothing to apply.
    Outdated,
    /// It cannot be applied: no version is known, or its version is older than the known one. The caller then calls
    /// [`ListWatch::poll_failed`] with `unreadable` set, so that it pauses before the next poll.
    Unusable,
}

/// State of a gateway's polling of the server list.
#[derive(Clone, Debug)]
pub struct ListWatch {
    /// Version of the last list received; `None` if the full list is needed.
    version: Option<u64>,
    /// Polls since the last response that failed or became overdue.
    failures: u32,
    /// Number of the next poll.
    next: PollId,
    /// Polls from this number on are current.
    first_current: PollId,
    /// Polls from this number on were sent after the known list was received.
    first_after_list: PollId,
    /// Time until a poll is overdue, after its hold, ms.
    slack_ms: u64,
    /// Time until a poll is given up, after its hold, ms.
    timeout_ms: u64,
}

impl Default for ListWatch {
    fn default() -> ListWatch {
        ListWatch {
            version: None,
            failures: 0,
            next: PollId(0),
            first_current: PollId(0),
            first_after_list: PollId(0),
            slack_ms: RESPONSE_SLACK_MS,
            timeout_ms: TIMEOUT_MS.0,
        }
    }
}

impl ListWatch {
    /// The next poll, which is sent now.
    pub fn next_poll(&mut self) -> Poll {
        // After a failure the poll is not held, so that another lost poll is detected sooner.
        let hold_ms = if self.failures > 0 { 0 } else { LONG_POLL_MS };
        let changes = self.version.map(|version| (version, hold_ms));
        let id = self.next;
        self.next.0 += 1;
        let mut poll = Poll { id, changes, overdue_after_ms: 0, timeout_ms: 0 };
        poll.overdue_after_ms = poll.hold_ms() + self.slack_ms;
        poll.timeout_ms = poll.hold_ms() + self.timeout_ms;
        poll
    }

    /// Whether a poll was sent since the last response; the others are left over.
    pub fn is_current(&self, id: PollId) -> bool {
        id >= self.first_current
    }

    /// The poll to drop before another is sent, as an index into those in flight, which are in the order of sending.
    /// The oldest current poll stays, since a slow response to it is due first.
    pub fn poll_to_drop(&self, in_flight: &[PollId]) -> Option<usize> {
        if in_flight.len() < MAX_POLLS_IN_FLIGHT {
            return None;
        }
        let has_left_over = in_flight.first().is_some_and(|oldest| !self.is_current(*oldest));
        Some(if has_left_over { 0 } else { 1 })
    }

    /// Handles a response, received `delay_ms` after the end of its poll's hold; `None` if it came within the hold, which
    /// does not show how late it was: later polls then get half of the additional time.
    pub fn response_received(
        &mut self,
        id: PollId,
        full: bool,
        version: u64,
        delay_ms: Option<u64>,
    ) -> Received {
        let is_older = self.version.is_some_and(|known| version < known);
        if is_older && id < self.first_after_list {
            self.mark_answered(id, delay_ms);
            return Received::Outdated;
        }
        if !full && (is_older || self.version.is_none()) {
            return Received::Unusable;
        }
        self.mark_answered(id, delay_ms);
        self.first_after_list = self.next;
        self.version = Some(version);
        Received::Apply(if full { ListKind::Full } else { ListKind::Delta })
    }

    /// Notes that a poll was answered; if it is current, the polls in flight are left over from now on.
    fn mark_answered(&mut self, id: PollId, delay_ms: Option<u64>) {
        if !self.is_current(id) {
            return;
        }
        self.failures = 0;
        self.first_current = self.next;
        let (slack_ms, timeout_ms) = match delay_ms {
            Some(delay_ms) => {
                (delay_ms.saturating_mul(SLACK_PER_DELAY), delay_ms.saturating_mul(TIMEOUT_PER_DELAY))
            }
            None => (self.slack_ms / 2, self.timeout_ms / 2),
        };
        self.slack_ms = slack_ms.clamp(RESPONSE_SLACK_MS, MAX_SLACK_MS);
        self.timeout_ms = timeout_ms.clamp(TIMEOUT_MS.0, TIMEOUT_MS.1);
    }

    /// Notes that a current poll is overdue.
    pub fn poll_overdue(&mut self) {
        self.failures += 1;
    }

    /// Notes that a poll was given up; later ones get more time if discovery has answered no other poll since.
    pub fn poll_timed_out(&mut self, id: PollId) {
        if self.is_current(id) {
            self.timeout_ms = (2 * self.timeout_ms).min(TIMEOUT_MS.1);
        }
    }

    /// Handles a failed current poll and returns the pause before the next one, µs. After an `unreadable` response the
    /// full list is requested, since the changes in that response are lost. `jitter`, a random number in [0, 1), spreads
    /// the polls of the gateways: the pause is between half and all of the current backoff.
    pub fn poll_failed(&mut self, unreadable: bool, jitter: f64) -> Micros {
        if unreadable {
            self.version = None;
        }
        let pause_ms = (MIN_PAUSE_MS << self.failures.min(MAX_PAUSE_DOUBLINGS)).min(MAX_PAUSE_MS);
        self.failures += 1;
        (pause_ms as f64 * (0.5 + jitter / 2.0) * 1e3) as Micros
    }

    /// Forgets the known version and the failures, so that the next poll requests the full list. Called when the address
    /// of discovery changes; polls in flight are to be dropped.
    pub fn reset(&mut self) {
        let next = self.next;
        *self = ListWatch { next, first_current: next, first_after_list: next, ..ListWatch::default() };
    }
}
