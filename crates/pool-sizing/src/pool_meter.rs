//! What a gateway measures of its lanes, a window at a time.

use crate::duration_histogram::{DurationHistogram, PackedHistogram};
use crate::pool_key::{PoolKey, MAX_POOLS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A lane over one window, as one gateway saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Requests that came for the first time.
    pub arrivals: u32,
    /// Requests that were here before: a client's repeat, or a further attempt of ours.
    pub repeats: u32,
    /// Those that were answered.
    pub served: u32,
    /// Those that failed at a server.
    pub failed: u32,
    /// Waits for a connection, microseconds.
    pub waits: PackedHistogram,
    /// Times that connections were held, microseconds.
    pub holds: PackedHistogram,
}

/// A window of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Drawn at its process's start.
    pub life: u64,
    /// Counts the windows of a life, from 1.
    pub window: u64,
    /// How long it was, microseconds.
    pub span: u64,
    /// Lanes that anything happened in.
    pub lanes: BTreeMap<PoolKey, PoolReport>,
}

#[derive(Clone, Debug, Default)]
struct Measured {
    arrivals: u32,
    repeats: u32,
    served: u32,
    failed: u32,
    waits: DurationHistogram,
    holds: DurationHistogram,
}

/// The meter of a gateway.
#[derive(Clone, Debug)]
pub struct PoolMeter {
    life: u64,
    window: u64,
    began: u64,
    lanes: BTreeMap<PoolKey, Measured>,
}

impl PoolMeter {
    /// Begins now, microseconds on any clock that only goes on.
    pub fn new(now: u64, life: u64) -> PoolMeter {
        PoolMeter { life, window: 0, began: now, lanes: BTreeMap::new() }
    }

    fn lane(&mut self, lane: &PoolKey) -> Option<&mut Measured> {
        // Settings bound the lanes; what is over them, after a change of settings, is left out of this window.
        if self.lanes.len() >= MAX_POOLS && !self.lanes.contains_key(lane) {
            return None;
        }
        Some(self.lanes.entry(lane.clone()).or_default())
    }

    /// A request came; `again`: it was here before.
    pub fn came(&mut self, lane: &PoolKey, again: bool) {
        if let Some(m) = self.lane(lane) {
            let count = if again { &mut m.repeats } else { &mut m.arrivals };
            *count = count.saturating_add(1);
        }
    }

    /// It had its connection after so long.
    pub fn waited(&mut self, lane: &PoolKey, micros: u64) {
        if let Some(m) = self.lane(lane) {
            m.waits.take(micros);
        }
    }

    /// It held it for so long, and was answered or failed there.
    pub fn held(&mut self, lane: &PoolKey, micros: u64, failed: bool) {
        if let Some(m) = self.lane(lane) {
            m.holds.take(micros);
            let count = if failed { &mut m.failed } else { &mut m.served };
            *count = count.saturating_add(1);
        }
    }

    /// The window is over.
    pub fn turn(&mut self, now: u64) -> WindowReport {
        self.window += 1;
        let span = now.saturating_sub(std::mem::replace(&mut self.began, now));
        let lanes = std::mem::take(&mut self.lanes).into_iter().map(|(lane, m)| {
            let Measured { arrivals, repeats, served, failed, waits, holds } = m;
            let report =
                PoolReport { arrivals, repeats, served, failed, waits: waits.pack(), holds: holds.pack() };
            (lane, report)
        });
        WindowReport { life: self.life, window: self.window, span, lanes: lanes.collect() }
    }
}
