//! Polling of discovery for the list of servers: first the full list, then by long polls the changes since the known
//! version.

use frostgauge::{ListKind, Micros};

/// How long discovery may hold a long poll if nothing changes, ms. A lost response looks like a held poll, and the
/// changes in it must take effect within 2 s after the hold: the time for detecting the loss and polling again.
pub const LONG_POLL_MS: u64 = 1_000;
/// Time allowed for the response beyond the hold of a poll, ms; after that the poll counts as failed.
pub const RESPONSE_SLACK_MS: u64 = 400;
/// Maximum pause after the first failed poll, ms.
const MIN_PAUSE_MS: u64 = 20;
/// Maximum pause after any failed poll, ms. It is short because the discovery agent runs on the same machine.
const MAX_PAUSE_MS: u64 = 250;
/// Maximum number of times that the pause doubles, so that the shift does not overflow.
const MAX_PAUSE_DOUBLINGS: u32 = 10;

/// State of a gateway's polling of the server list.
#[derive(Clone, Debug, Default)]
pub struct ListWatch {
    /// Version of the last list received; `None` if the full list is needed.
    version: Option<u64>,
    /// Consecutive failed polls.
    failures: u32,
}

impl ListWatch {
    /// Parameters of the next poll, and the timeout for its response, ms. The parameters are `None` to request the full
    /// list, otherwise the version since which changes are requested and how long discovery may hold the poll, ms.
    pub fn next_poll(&self) -> (Option<(u64, u64)>, u64) {
        match self.version {
            None => (None, RESPONSE_SLACK_MS),
            // After a failure the poll is not held, so that another lost poll is detected sooner.
            Some(version) if self.failures > 0 => (Some((version, 0)), RESPONSE_SLACK_MS),
            Some(version) => (Some((version, LONG_POLL_MS)), LONG_POLL_MS + RESPONSE_SLACK_MS),
        }
    }

    /// Handles a response and returns the kind of the list in it. Returns `None` for changes that cannot be applied,
    /// because no version is known or theirs is older than the known one; the caller then calls
    /// [`ListWatch::poll_failed`] with `unreadable` set, so that it pauses before the next poll.
    pub fn response_received(&mut self, full: bool, version: u64) -> Option<ListKind> {
        if !full && self.version.is_none_or(|known| version < known) {
            return None;
        }
        self.failures = 0;
        self.version = Some(version);
        Some(if full { ListKind::Full } else { ListKind::Delta })
    }

    /// Handles a failed poll and returns the pause before the next one, µs. After an `unreadable` response the full list
    /// is requested, since the changes in that response are lost. `jitter`, a random number in [0, 1), spreads the polls
    /// of the gateways: the pause is between half and all of the current backoff.
    pub fn poll_failed(&mut self, unreadable: bool, jitter: f64) -> Micros {
        if unreadable {
            self.version = None;
        }
        let pause_ms = (MIN_PAUSE_MS << self.failures.min(MAX_PAUSE_DOUBLINGS)).min(MAX_PAUSE_MS);
        self.failures += 1;
        (pause_ms as f64 * (0.5 + jitter / 2.0) * 1e3) as Micros
    }

    /// Forgets the known version and the failures, so that the next poll requests the full list. Called when the address
    /// of discovery changes.
    pub fn reset(&mut self) {
        *self = ListWatch::default();
    }
}
