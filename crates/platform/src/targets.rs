//! The list of servers, and how it is followed: the whole list first, then a watch from the version held.

use crate::settings::Site;
use frostgauge::{Entry, ListKind, Micros, ServerId, State};
use serde::Deserialize;
use std::net::SocketAddr;

/// Most bytes of an answer: a list of 10,000 servers takes some 2 MB.
pub const MOST_BYTES: u64 = 8 << 20;
/// How long one call of a watch may wait. A call whose answer is lost on the way looks like one that waits; what it
/// had to tell counts as told 2 s after its wait, so that is the time for noticing and asking again. Guards against
/// requests to servers that drain, of which a lost answer told: with a wait of 10 s and 2 s of patience after it, the
/// first call anew came as the time was over.
pub const HOLD_MS: u64 = 1_000;
/// An answer may come this long after a call's wait has ended, milliseconds; then the call counts as failed.
pub const LATE_MS: u64 = 400;
/// First and longest pause after a failed call, milliseconds: the agent is on this machine.
const PAUSE_MS: (u64, u64) = (20, 250);

/// Whether a server may be sent to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// It takes work.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// A server.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Target {
    /// Its id, the same at every gateway.
    #[serde(rename = "instanceId")]
    pub id: String,
    /// Where this gateway reaches it; entries of removed servers may have none.
    #[serde(rename = "hostPort", default)]
    pub address: Option<SocketAddr>,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it may be sent to.
    pub lifecycle: Lifecycle,
    /// A figure to compare with other servers'.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its last start, Unix milliseconds; 0 means long ago.
    #[serde(rename = "startedAtMs", default)]
    pub started_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Discovery's answer.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct List {
    /// The list's version.
    pub generation: u64,
    /// The whole list, not changes.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Target>,
}

impl List {
    /// Reads an answer's content.
    ///
    /// # Errors
    /// What cannot be read.
    pub fn read(json: &[u8]) -> Result<List, String> {
        serde_json::from_slice(json).map_err(|e| e.to_string())
    }
}

impl Target {
    /// A number for its id that is the same at every gateway (FNV-1a).
    pub fn server(&self) -> ServerId {
        let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        ServerId(self.id.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
    }

    /// What the decisions are told. A server without an address cannot be sent to and counts as gone.
    pub fn entry(&self, site: &Site) -> Entry {
        let zone = site.zones.iter().position(|z| *z == self.zone);
        Entry {
            server: self.server(),
            state: match (self.lifecycle, self.address) {
                (Lifecycle::Up, Some(_)) => State::Ready,
                (Lifecycle::Draining, Some(_)) => State::Draining,
                _ => State::Gone,
            },
            ready_at: self.started_ms.saturating_mul(1_000),
            size: self.weight,
            zone: zone.map_or(u32::MAX, |z| z as u32),
            cell: self.cell,
        }
    }
}

/// Where a gateway stands with discovery.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    held: Option<u64>,
    failures: u32,
}

impl Watch {
    /// What to ask next, and how long the answer may take, milliseconds.
    pub fn next(&self) -> (String, u64) {
        match self.held {
            None => ("/api/targets".to_owned(), LATE_MS),
            // After a failure it is asked for at once: another lost call is then noticed sooner.
            Some(held) if self.failures > 0 => (format!("/api/targets?from={held}&hold_ms=0"), LATE_MS),
            Some(held) => (format!("/api/targets?from={held}&hold_ms={HOLD_MS}"), HOLD_MS + LATE_MS),
        }
    }

    /// Takes an answer; the kind of list it is. `None` for changes that do not follow what is held, which the caller
    /// treats as [`Watch::failed`] and unreadable: guards against an agent that goes on answering so at once, and
    /// would be asked again and again without a pause.
    pub fn answered(&mut self, list: &List) -> Option<ListKind> {
        if !list.reset && self.held.is_none_or(|held| list.generation < held) {
            return None;
        }
        self.failures = 0;
        self.held = Some(list.generation);
        Some(if list.reset { ListKind::Full } else { ListKind::Delta })
    }

    /// A call failed; how long to wait before the next. `unreadable`: there was an answer, which makes no sense, so
    /// that what it told is lost and the whole list is needed. `roll` from 0 up to 1 sets gateways at odds.
    pub fn failed(&mut self, unreadable: bool, roll: f64) -> Micros {
        if unreadable {
            self.held = None;
        }
        let pause = (PAUSE_MS.0 << self.failures.min(10)).min(PAUSE_MS.1);
        self.failures += 1;
        (pause as f64 * (0.5 + roll / 2.0) * 1e3) as Micros
    }

    /// Discovery is somewhere else now: the whole list is asked for there.
    pub fn moved(&mut self) {
        *self = Watch::default();
    }
}
