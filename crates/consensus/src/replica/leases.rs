//! The leases that one voter has granted to followers: on which versions, and by when each has expired.

use crate::message::LeaseRequest;
use crate::ruleset::GatewayId;
use crate::timing::Micros;
use crate::version::VersionNumber;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of unexpired leases on different sets of versions that one follower may have.
const MAX_LEASES_PER_FOLLOWER: usize = 8;
/// The sequence that leases of earlier incarnations get, so that no request of the present one narrows or extends them.
const EARLIER_INCARNATION: u64 = u64::MAX;

#[derive(Clone, Debug)]
struct Lease {
    versions: BTreeSet<VersionNumber>,
    /// The sequence of the newest request that it was granted to.
    sequence: u64,
    /// On this voter's clock; the follower's lease ends earlier, even if both clocks drift.
    expires_at: Micros,
}

/// The leases of one follower, with the incarnation, sequence and time of its last request.
#[derive(Clone, Debug, Default)]
struct FollowerLeases {
    incarnation: u64,
    sequence: u64,
    leases: Vec<Lease>,
    last_request_at: Micros,
}

/// All leases of one voter, by follower. They are kept in memory only; a voter that has restarted waits for
/// [`Timing::quarantine`](crate::Timing::quarantine) instead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leases(BTreeMap<GatewayId, FollowerLeases>);

impl Leases {
    /// Records a request. Returns false if it, or a later one of the same incarnation, was received before; it then
    /// gets no response.
    ///
    /// Leases of an earlier incarnation stay until they expire: a request of another incarnation does not prove that
    /// the earlier process has ended.
    pub(crate) fn record_request(&mut self, now: Micros, from: GatewayId, request: &LeaseRequest) -> bool {
        let follower = self.0.entry(from).or_default();
        let is_same_incarnation = request.incarnation == follower.incarnation;
        if is_same_incarnation && request.sequence <= follower.sequence {
            return false;
        }
        follower.leases.retain(|lease| lease.expires_at > now);
        if is_same_incarnation {
            follower.narrow(request);
        } else {
            // Sequences of another incarnation start anew. A delayed request of the earlier incarnation counts as a
            // change too: with it the table may hold more leases than are in use, but never fewer.
            follower.leases.iter_mut().for_each(|lease| lease.sequence = EARLIER_INCARNATION);
        }
        follower.incarnation = request.incarnation;
        follower.sequence = request.sequence;
        follower.last_request_at = now;
        true
    }

    /// Grants a lease in reply to the follower's last recorded request. Returns false if the follower has too many
    /// different leases.
    pub(crate) fn grant(
        &mut self,
        to: GatewayId,
        versions: &BTreeSet<VersionNumber>,
        expires_at: Micros,
    ) -> bool {
        let Some(follower) = self.0.get_mut(&to) else { return false };
        let sequence = follower.sequence;
        let is_same =
            |lease: &&mut Lease| lease.versions == *versions && lease.sequence < EARLIER_INCARNATION;
        if let Some(lease) = follower.leases.iter_mut().find(is_same) {
            lease.sequence = sequence;
            lease.expires_at = expires_at.max(lease.expires_at);
            return true;
        }
        if follower.leases.len() >= MAX_LEASES_PER_FOLLOWER {
            return false;
        }
        follower.leases.push(Lease { versions: versions.clone(), sequence, expires_at });
        true
    }

    /// The unexpired leases, each as the follower and the versions leased.
    pub(crate) fn unexpired(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (GatewayId, &BTreeSet<VersionNumber>)> {
        self.0.iter().flat_map(move |(gateway, follower)| {
            let unexpired = follower.leases.iter().filter(move |lease| lease.expires_at > now);
            unexpired.map(|lease| (*gateway, &lease.versions))
        })
    }

    /// Followers whose last recorded request came at or after a time.
    pub(crate) fn followers_active_since(&self, since: Micros) -> impl Iterator<Item = GatewayId> + '_ {
        let active = self.0.iter().filter(move |(_, follower)| follower.last_request_at >= since);
        active.map(|(gateway, _)| *gateway)
    }

    /// Drops followers that sent no request since `since` and hold no lease at `now`.
    pub(crate) fn remove_stale(&mut self, now: Micros, since: Micros) {
        self.0.retain(|_, follower| {
            follower.last_request_at >= since || follower.leases.iter().any(|lease| lease.expires_at > now)
        });
    }
}

impl FollowerLeases {
    /// Adds the versions of the request's narrowing to the leases of requests before it: the follower uses those leases
    /// only for what these versions allow too.
    fn narrow(&mut self, request: &LeaseRequest) {
        let Some((before_sequence, versions)) = &request.narrowed else { return };
        for lease in self.leases.iter_mut().filter(|lease| lease.sequence < *before_sequence) {
            lease.versions.extend(versions);
        }
    }
}
