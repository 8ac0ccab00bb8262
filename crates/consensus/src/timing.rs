//! Settings of the consensus, and the times derived from them.

use crate::ruleset::FieldError;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// A time or duration in microseconds on the process's monotonic clock.
pub type Micros = u64;

/// Ticks after which an entry that was proposed, and has not appeared in the log, is proposed again.
pub(crate) const REPROPOSE_TICKS: u64 = 10;
/// Lease terms after which the state kept for a gateway or proposal that has sent nothing since is dropped.
pub(crate) const STALE_LEASE_TERMS: u64 = 4;

/// The values that [`TimingSettings::within_ms`] may have, milliseconds.
const WITHIN_MS: RangeInclusive<u64> = 200..=600_000;
/// The largest clock drift that may be set, parts per million; a clock that deviates more is defective.
const MAX_DRIFT_PPM: u64 = 100_000;
/// The whole, in parts per million.
const PARTS_PER_MILLION: u64 = 1_000_000;
/// See [`Timing::max_log_entries`].
const MAX_LOG_ENTRIES: usize = 1_024;
/// See [`Timing::max_journal_bytes`].
const MAX_JOURNAL_BYTES: u64 = 4 << 20;
const MIN_TICK: Micros = 1_000;
const MIN_CONFIRMATION_INTERVAL: Micros = 10_000;
const MIN_PEER_STALL_TIMEOUT: Micros = 500_000;
const MIN_RECONNECT_DELAY: Micros = 100_000;

/// What operators set: the section `accord` of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Longest time for which a gateway may still act under a version after another gateway has first acted under a
    /// conflicting one, milliseconds.
    pub within_ms: u64,
    /// Largest deviation of the rate of any gateway's clock, parts per million.
    pub drift_ppm: u64,
    /// How long a server's response that it takes new work is valid under fallback rules, from when the gateway sent
    /// the request, milliseconds.
    pub confirm_ms: u64,
    /// Percentage of gateways that are canaries: a version is in force for them before it is for the others.
    pub canary_percent: u8,
    /// Time within which all canaries of a version must report that they are healthy, milliseconds; otherwise the
    /// version is withdrawn.
    pub canary_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> TimingSettings {
        TimingSettings {
            within_ms: 3_000,
            drift_ppm: 1_000,
            confirm_ms: 1_000,
            canary_percent: 10,
            canary_ms: 10_000,
        }
    }
}

/// Times and limits of voters and followers, and bugs that tests inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The term of a lease on the follower's clock, from when it sent the request.
    pub lease: Micros,
    /// How long after granting a lease a voter counts it as unexpired, on the voter's clock: the longest that the term
    /// can last there, with the largest allowed drift of both clocks.
    pub lease_wait: Micros,
    /// How long a voter makes no attestations after a change that leaves it without knowledge of granted leases: its
    /// own start, or a change of voters.
    pub quarantine: Micros,
    /// Interval between a follower's requests.
    pub request_interval: Micros,
    /// A follower delays its first request, and one after a notification, by a random time up to this.
    pub jitter: Micros,
    /// Interval at which a replica advances its consensus timers.
    pub tick: Micros,
    /// See [`TimingSettings::confirm_ms`].
    pub confirmation_ttl: Micros,
    /// See [`TimingSettings::canary_ms`].
    pub canary_timeout: Micros,
    /// How long a canary acts under a version before it may report that it is healthy.
    pub canary_observation: Micros,
    /// How long before a lease expires the servers are probed, so that confirmations exist once fallback rules apply.
    pub confirmation_lead: Micros,
    /// Interval of the check whether servers need to be probed and whether the list of servers has changed.
    pub confirmation_interval: Micros,
    /// The retry delay sent to a client whose request is rejected for want of a lease, a server or a connection permit.
    pub retry_after: Micros,
    /// A peer connection on which nothing has been acknowledged for this time is closed: what it carries would arrive
    /// too late for a lease.
    pub peer_stall_timeout: Micros,
    /// The longest delay before a peer connection is reopened.
    pub max_reconnect_delay: Micros,
    /// The number of log entries beyond which a new configuration begins from a snapshot, with an empty log.
    pub max_log_entries: usize,
    /// The journal's size in bytes beyond which it is rewritten.
    pub max_journal_bytes: u64,
    /// An injected bug: followers count the term of a lease from the response instead of the request.
    pub bug_lease_from_response: bool,
    /// An injected bug: followers take a single voter as a quorum.
    pub bug_single_voter_quorum: bool,
    /// An injected bug: voters take connections to be closed as soon as the lease of their permits has expired.
    pub bug_no_idle_wait: bool,
}

impl TimingSettings {
    /// All errors in the settings, each with the path of its key.
    fn validate(&self) -> Vec<FieldError> {
        let mut errors = vec![];
        if !WITHIN_MS.contains(&self.within_ms) {
            let (start, end) = (WITHIN_MS.start(), WITHIN_MS.end());
            let reason = format!("is {}, {start} to {end} may be", self.within_ms);
            errors.push(FieldError::new("accord.within_ms", reason));
        }
        if self.drift_ppm > MAX_DRIFT_PPM {
            let reason = format!("is {}, {MAX_DRIFT_PPM} at most", self.drift_ppm);
            errors.push(FieldError::new("accord.drift_ppm", reason));
        }
        // The longest that `confirm_ms` may last with the largest clock drift, times `PARTS_PER_MILLION`.
        let longest_confirm = self.confirm_ms.saturating_mul(PARTS_PER_MILLION + self.drift_ppm);
        if self.confirm_ms == 0 || longest_confirm > self.within_ms.saturating_mul(PARTS_PER_MILLION) {
            let reason = format!("is {}: over 0 and, clocks off, within {}", self.confirm_ms, self.within_ms);
            errors.push(FieldError::new("accord.confirm_ms", reason));
        }
        if self.canary_percent > 100 {
            let reason = format!("is {}, 100 at most", self.canary_percent);
            errors.push(FieldError::new("accord.canary_percent", reason));
        }
        if self.canary_ms < self.within_ms {
            let reason = format!("is {}, under within_ms {}", self.canary_ms, self.within_ms);
            errors.push(FieldError::new("accord.canary_ms", reason));
        }
        errors
    }

    /// Derives the times from the settings.
    ///
    /// # Errors
    /// All errors in the settings, each with the path of its key.
    pub fn timing(&self) -> Result<Timing, Vec<FieldError>> {
        let errors = self.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        // Half of `within_ms`, so that there is time for another term if a voter turns out to be lost just after a
        // lease was waited for.
        let lease = self.within_ms * 1_000 / 2;
        // The follower's clock may be slow and the voter's fast, each by the largest allowed drift.
        let lease_wait =
            lease * (PARTS_PER_MILLION + self.drift_ppm) / (PARTS_PER_MILLION - self.drift_ppm) + 1;
        let confirm = self.confirm_ms * 1_000;
        let canary = self.canary_ms * 1_000;
        Ok(Timing {
            lease,
            lease_wait,
            quarantine: lease_wait,
            // Four requests in each lease term: three in a row may be lost before the lease expires.
            request_interval: lease / 4,
            jitter: lease / 8,
            tick: (lease / 30).max(MIN_TICK),
            confirmation_ttl: confirm,
            canary_timeout: canary,
            canary_observation: canary / 4,
            confirmation_lead: confirm / 2,
            confirmation_interval: (confirm / 4).max(MIN_CONFIRMATION_INTERVAL),
            retry_after: confirm / 2,
            peer_stall_timeout: lease.max(MIN_PEER_STALL_TIMEOUT),
            max_reconnect_delay: (lease / 4).max(MIN_RECONNECT_DELAY),
            max_log_entries: MAX_LOG_ENTRIES,
            max_journal_bytes: MAX_JOURNAL_BYTES,
            bug_lease_from_response: false,
            bug_single_voter_quorum: false,
            bug_no_idle_wait: false,
        })
    }
}

impl Timing {
    /// The longest that a duration measured by another process can last on this process's clock, with the largest
    /// allowed drift of both clocks.
    pub fn with_clock_drift(&self, duration: Micros) -> Micros {
        let (wait, lease) = (u128::from(self.lease_wait.max(1)), u128::from(self.lease.max(1)));
        let longest = u128::from(duration) * wait / lease;
        Micros::try_from(longest + 1).unwrap_or(Micros::MAX)
    }

    /// The size of a quorum among this number of voters: a majority.
    pub fn quorum(&self, voters: usize) -> usize {
        if self.bug_single_voter_quorum {
            1
        } else {
            voters / 2 + 1
        }
    }
}
