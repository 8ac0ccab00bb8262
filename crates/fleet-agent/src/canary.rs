//! How attempts fare under a version: a gateway of the canary part reports it before the others follow.
//!
//! A version is unhealthy when attempts fail under it that did not fail before: over half of at least [`MIN_VERDICT_ATTEMPTS`],
//! where it was under a quarter under the version before. It is healthy when that has not happened for the observation
//! time. A gateway without requests reports it healthy too: that it starts, holds the version and keeps its lease is
//! what it can tell.

use frostgauge_consensus::{Micros, VersionNumber};

/// Attempts needed for a verdict on their success rate.
pub const MIN_VERDICT_ATTEMPTS: u64 = 20;

/// Whether a version works, as one gateway has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryVerdict {
    /// The version.
    pub version: VersionNumber,
    /// Attempts under it do not fail more than before.
    pub healthy: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    ended: u64,
    failed: u64,
}

impl AttemptCounts {
    fn mostly_failed(self) -> bool {
        self.ended >= MIN_VERDICT_ATTEMPTS && self.failed * 2 > self.ended
    }

    fn often_failed(self) -> bool {
        self.ended >= MIN_VERDICT_ATTEMPTS && self.failed * 4 >= self.ended
    }
}

#[derive(Clone, Copy, Debug)]
struct ObservedVersion {
    number: VersionNumber,
    since: Micros,
}

/// Observes the attempts under the version in effect.
#[derive(Clone, Debug)]
pub struct CanaryObserver {
    observation_time: Micros,
    version: Option<ObservedVersion>,
    current: AttemptCounts,
    previous: AttemptCounts,
    unhealthy: Option<VersionNumber>,
}

impl CanaryObserver {
    /// Observes each version for so long (microseconds) before it is called healthy.
    pub fn new(observation_time: Micros) -> CanaryObserver {
        let (current, previous) = (AttemptCounts::default(), AttemptCounts::default());
        CanaryObserver { observation_time, version: None, current, previous, unhealthy: None }
    }

    /// Sets the one version in effect now; none: several, or fallback rules.
    pub fn set_version(&mut self, now: Micros, number: Option<VersionNumber>) {
        let is_new = |number: &VersionNumber| self.version.is_none_or(|version| version.number != *number);
        let Some(number) = number.filter(is_new) else { return };
        // The version just left is what the next is compared with, where it saw any attempts.
        if self.current.ended > 0 {
            self.previous = self.current;
        }
        self.version = Some(ObservedVersion { number, since: now });
        self.current = AttemptCounts::default();
    }

    /// Records the end of an attempt under that version; `failed`: by an error, a reset or a timeout, not by a
    /// rejection.
    pub fn record_attempt(&mut self, failed: bool) {
        self.current.ended += 1;
        self.current.failed += u64::from(failed);
        if let Some(version) = self.version {
            if self.current.mostly_failed() && !self.previous.often_failed() {
                self.unhealthy = Some(version.number);
            }
        }
    }

    /// The verdict on the version in effect; none: not yet.
    pub fn verdict(&self, now: Micros) -> Option<CanaryVerdict> {
        let ObservedVersion { number, since } = self.version?;
        if self.unhealthy == Some(number) {
            return Some(CanaryVerdict { version: number, healthy: false });
        }
        let observed = now >= since + self.observation_time;
        observed.then_some(CanaryVerdict { version: number, healthy: true })
    }
}
