//! Health of a version by the results of attempts. A canary gateway reports it before the other gateways get the version.
//!
//! A version is unhealthy if, of at least [`MIN_VERDICT_ATTEMPTS`] attempts under it, over half failed, unless a quarter
//! or more of at least as many had failed under the version before it. It is healthy if that has not happened within the
//! observation time. A gateway without requests reports the version as healthy too, because it has at least started, got
//! the version and kept its lease.

use frostgauge_consensus::{Micros, VersionNumber};

/// Attempts that must have ended under a version before their failure rate counts.
pub const MIN_VERDICT_ATTEMPTS: u64 = 20;

/// Whether a version is healthy, as observed by one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryVerdict {
    /// Number of the version.
    pub version: VersionNumber,
    /// False if most attempts under the version failed, although few had failed under the version before it.
    pub healthy: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    ended: u64,
    failed: u64,
}

impl AttemptCounts {
    /// Whether over half of at least [`MIN_VERDICT_ATTEMPTS`] attempts failed.
    fn mostly_failed(self) -> bool {
        self.ended >= MIN_VERDICT_ATTEMPTS && self.failed * 2 > self.ended
    }

    /// Whether a quarter or more of at least [`MIN_VERDICT_ATTEMPTS`] attempts failed.
    fn often_failed(self) -> bool {
        self.ended >= MIN_VERDICT_ATTEMPTS && self.failed * 4 >= self.ended
    }
}

#[derive(Clone, Copy, Debug)]
struct ObservedVersion {
    number: VersionNumber,
    /// When it came into effect.
    since: Micros,
}

/// Observes the results of attempts under the version in effect.
#[derive(Clone, Debug)]
pub struct CanaryObserver {
    observation_time: Micros,
    version: Option<ObservedVersion>,
    /// Attempts under the observed version.
    current: AttemptCounts,
    /// Attempts under the latest earlier version that had any.
    previous: AttemptCounts,
    /// The latest version found unhealthy.
    unhealthy: Option<VersionNumber>,
}

impl CanaryObserver {
    /// `observation_time`: how long a version must be in effect before it is reported healthy, microseconds.
    pub fn new(observation_time: Micros) -> CanaryObserver {
        let (current, previous) = (AttemptCounts::default(), AttemptCounts::default());
        CanaryObserver { observation_time, version: None, current, previous, unhealthy: None }
    }

    /// Sets the version in effect now. None: several versions or the fallback rules are in effect, and the version set
    /// last stays under observation.
    pub fn set_version(&mut self, now: Micros, number: Option<VersionNumber>) {
        let is_new = |number: &VersionNumber| self.version.is_none_or(|version| version.number != *number);
        let Some(number) = number.filter(is_new) else { return };
        // The new version is compared with the latest one that had any attempts.
        if self.current.ended > 0 {
            self.previous = self.current;
        }
        self.version = Some(ObservedVersion { number, since: now });
        self.current = AttemptCounts::default();
    }

    /// Records the end of an attempt under the observed version; `failed`: whether it ended by an error, a reset or a
    /// timeout. A rejection is no failure.
    pub fn record_attempt(&mut self, failed: bool) {
        self.current.ended += 1;
        self.current.failed += u64::from(failed);
        if let Some(version) = self.version {
            if self.current.mostly_failed() && !self.previous.often_failed() {
                self.unhealthy = Some(version.number);
            }
        }
    }

    /// The verdict on the observed version; none: there is no verdict yet.
    pub fn verdict(&self, now: Micros) -> Option<CanaryVerdict> {
        let ObservedVersion { number, since } = self.version?;
        if self.unhealthy == Some(number) {
            return Some(CanaryVerdict { version: number, healthy: false });
        }
        let observation_ended = now >= since + self.observation_time;
        observation_ended.then_some(CanaryVerdict { version: number, healthy: true })
    }
}
