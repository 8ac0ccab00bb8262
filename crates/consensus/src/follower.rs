//! A follower: it decides under which rules its gateway may act now. Every gateway has one, voters too.
//!
//! It requests leases from all voters. It acts under a version while a majority of them has granted it an unexpired
//! lease on that version; the term is counted from when the follower sent the request. Without such a majority it acts
//! under the fallback rules of the newest fully rolled out version that it has received.

use crate::effective_rules::{find_conflicts, intersect_all, EffectiveRules};
use crate::message::{decode_versions, LeaseRequest, LeaseResponse, Message};
use crate::ruleset::GatewayId;
use crate::timing::{Micros, Timing};
use crate::version::{Version, VersionNumber};
use frostgauge_connection_budget::{GatewayReport, ReceivedGrants};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Largest number of requests to which responses are still accepted.
const MAX_REQUESTS_IN_FLIGHT: usize = 64;
/// Largest number of versions that are kept, unless more are in use.
const MAX_KNOWN_VERSIONS: usize = 16;
/// Configurations whose leases may be unexpired: the current one and the preceding one.
const MAX_CONFIGURATIONS: usize = 2;
/// Each request interval is shortened by a random time of at most the interval divided by this.
const JITTER_DIVISOR: u64 = 8;

/// A lease that one voter granted.
#[derive(Clone, Debug)]
struct Lease {
    /// The configuration that the voter was in.
    configuration: u32,
    /// The request that it was granted to.
    sequence: u64,
    /// The lease allows what all of these versions allow.
    versions: BTreeSet<VersionNumber>,
    expires_at: Micros,
}

/// A promise to the voters: leases granted to earlier requests are used only for what these versions allow too.
#[derive(Clone, Debug)]
struct Narrowing {
    since: Micros,
    /// The first request that the narrowing does not apply to.
    before_sequence: u64,
    versions: BTreeSet<VersionNumber>,
}

/// The source of the rules that a gateway acts under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleSource {
    /// A lease on what all of these versions allow, and when it expires.
    Lease(BTreeSet<VersionNumber>, Micros),
    /// The fallback rules of a version; none if the gateway has never received one, and may do nothing.
    Fallback(Option<VersionNumber>),
}

impl RuleSource {
    /// The versions of the lease; empty under fallback rules.
    pub fn versions(&self) -> BTreeSet<VersionNumber> {
        match self {
            RuleSource::Lease(versions, _) => versions.clone(),
            RuleSource::Fallback(_) => BTreeSet::new(),
        }
    }
}

/// Counters of a follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerStats {
    /// Requests sent; one to all voters counts once.
    pub requests_sent: u64,
    /// Responses that granted a lease.
    pub leases_received: u64,
    /// Messages that were ignored: responses to another incarnation or to no request in flight, leases and
    /// notifications from gateways that do not vote, and messages that are not for followers.
    pub unrecognized: u64,
    /// Versions rejected: they could not be decoded, were invalid, or did not match the versions known before.
    pub versions_rejected: u64,
}

/// The follower of one gateway.
#[derive(Debug)]
pub struct Follower {
    self_id: GatewayId,
    timing: Timing,
    /// A random number that identifies this process.
    incarnation: u64,
    /// The number of the last request.
    sequence: u64,
    /// When the requests in flight were sent, by sequence.
    sent_at: BTreeMap<u64, Micros>,
    /// The voters of each configuration, by its number; 0 for those that the follower is started with.
    configurations: BTreeMap<u32, BTreeSet<GatewayId>>,
    /// The last lease of each voter.
    leases: BTreeMap<GatewayId, Lease>,
    narrowing: Option<Narrowing>,
    known_versions: BTreeMap<VersionNumber, Version>,
    /// The newest fully rolled out version that is known.
    fallback_version: Option<VersionNumber>,
    /// The version that is stored as the fallback.
    stored_version: Option<VersionNumber>,
    next_request_at: Micros,
    /// A version, and whether the gateway is healthy under it.
    canary_report: Option<(VersionNumber, bool)>,
    /// The gateway's open connections and its demand; none until it is reported.
    permit_report: Option<GatewayReport>,
    received_grants: Arc<ReceivedGrants>,
    rng: ChaCha8Rng,
    stats: FollowerStats,
    outbox: Vec<(GatewayId, Message)>,
}

impl Follower {
    /// Creates the follower of a process that starts now.
    ///
    /// `incarnation` must be a new random number in each process; a time would not do, since clocks can step back.
    /// `stored` is the version that an earlier process stored as its fallback, and `seed` is that of the random delays.
    pub fn new(
        now: Micros,
        self_id: GatewayId,
        incarnation: u64,
        voters: BTreeSet<GatewayId>,
        stored: Option<Version>,
        timing: Timing,
        seed: u64,
    ) -> Follower {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let number = stored.as_ref().map(|version| version.number);
        Follower {
            self_id,
            timing,
            incarnation,
            sequence: 0,
            sent_at: BTreeMap::new(),
            configurations: BTreeMap::from([(0, voters)]),
            leases: BTreeMap::new(),
            narrowing: None,
            known_versions: stored.into_iter().map(|version| (version.number, version)).collect(),
            fallback_version: number,
            stored_version: number,
            // A random delay, since all gateways may start at the same time.
            next_request_at: now + rng.random_range(0..=timing.jitter),
            canary_report: None,
            permit_report: None,
            received_grants: Arc::default(),
            rng,
            stats: FollowerStats::default(),
            outbox: vec![],
        }
    }

    /// The follower's counters.
    pub fn stats(&self) -> FollowerStats {
        self.stats
    }

    /// The version with this number, if it is known.
    pub fn version(&self, number: VersionNumber) -> Option<&Version> {
        self.known_versions.get(&number)
    }

    /// The number of the newest known version, which need not be in force.
    pub fn newest_known(&self) -> Option<VersionNumber> {
        self.known_versions.keys().next_back().copied()
    }

    /// The fallback version, if it is not stored yet. The caller stores it, and then calls [`Follower::mark_stored`].
    pub fn version_to_store(&self) -> Option<&Version> {
        let unstored = self.fallback_version.filter(|number| self.stored_version != Some(*number));
        unstored.and_then(|number| self.known_versions.get(&number))
    }

    /// Records that a version is stored as the fallback. The following requests report it to the voters, which may then
    /// drop earlier versions.
    pub fn mark_stored(&mut self, number: VersionNumber) {
        self.stored_version = Some(number);
    }

    /// Sets whether this gateway is healthy under a version. The voters use that if it is a canary.
    pub fn report_canary(&mut self, version: VersionNumber, healthy: bool) {
        self.canary_report = Some((version, healthy));
    }

    /// Sets the gateway's open connections and its demand, which the following requests report.
    pub fn report_permits(&mut self, report: GatewayReport) {
        self.permit_report = Some(report);
    }

    /// Makes the next [`Follower::advance`] send a request.
    pub fn request_now(&mut self, now: Micros) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// The connection permits that voters have granted to the gateway.
    pub fn received_grants(&self) -> &Arc<ReceivedGrants> {
        &self.received_grants
    }

    /// When [`Follower::advance`] is next due.
    pub fn next_wake(&self) -> Micros {
        self.next_request_at
    }

    /// The version whose fallback rules apply without a lease; none if the follower has never received one.
    pub fn fallback_version(&self) -> Option<VersionNumber> {
        self.fallback_version
    }

    /// The voters of the newest configuration that the follower knows.
    pub fn voters(&self) -> BTreeSet<GatewayId> {
        self.configurations.values().next_back().cloned().unwrap_or_default()
    }

    /// Requests leases from all voters if a request is due.
    pub fn advance(&mut self, now: Micros) {
        if now < self.next_request_at {
            return;
        }
        // Jitter spreads out followers that have sent a request at the same time.
        let interval = self.timing.request_interval;
        self.next_request_at = now + interval - self.rng.random_range(0..=interval / JITTER_DIVISOR);
        self.sequence += 1;
        self.stats.requests_sent += 1;
        self.sent_at.insert(self.sequence, now);
        self.remove_expired(now);
        let request = self.lease_request();
        for voter in self.voters() {
            self.outbox.push((voter, Message::LeaseRequest(request.clone())));
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        let oldest = now.saturating_sub(self.timing.lease);
        self.sent_at.retain(|_, at| *at >= oldest);
        while self.sent_at.len() > MAX_REQUESTS_IN_FLIGHT {
            self.sent_at.pop_first();
        }
        self.leases.retain(|_, lease| lease.expires_at > now);
        // A narrowing restricts leases granted before it: after a lease term all of these have expired.
        let lease_term = self.timing.lease;
        self.narrowing = self.narrowing.take().filter(|narrowing| narrowing.since + lease_term > now);
    }

    fn lease_request(&self) -> LeaseRequest {
        let narrowing = self.narrowing.as_ref();
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            narrowed: narrowing.map(|n| (n.before_sequence, n.versions.clone())),
            fallback_version: self.stored_version.unwrap_or(0),
            known_versions: self.known_versions.keys().copied().collect(),
            canary_report: self.canary_report,
            permits: self.permit_report.clone(),
        }
    }

    /// Takes the messages to be sent, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(GatewayId, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Handles a message from a gateway whose identity the peer connection has authenticated.
    pub fn handle(&mut self, now: Micros, from: GatewayId, message: Message) {
        match message {
            Message::LeaseResponse(response) => self.handle_response(now, from, &response),
            Message::RecordChanged if self.voters().contains(&from) => {
                let delayed = now + self.rng.random_range(0..=self.timing.jitter);
                self.next_request_at = self.next_request_at.min(delayed);
            }
            _ => self.stats.unrecognized += 1,
        }
    }

    fn handle_response(&mut self, now: Micros, from: GatewayId, response: &LeaseResponse) {
        let sent_at = self.sent_at.get(&response.sequence).copied();
        let sent_at = sent_at.filter(|_| response.incarnation == self.incarnation);
        let may_grant = response.lease.is_none() || response.voters.contains(&from);
        let (Some(sent_at), true) = (sent_at, may_grant) else {
            self.stats.unrecognized += 1;
            return;
        };
        if !self.learn_versions(response) {
            return;
        }
        self.learn_configuration(response);
        self.learn_fallback(response.fallback_version);
        self.drop_unused_versions();
        let Some(versions) = &response.lease else { return };
        let all_are_known = versions.iter().all(|number| self.known_versions.contains_key(number));
        if versions.is_empty() || !all_are_known {
            return;
        }
        self.narrow_to(now, versions);
        self.record_lease(now, sent_at, from, response, versions);
    }

    fn learn_configuration(&mut self, response: &LeaseResponse) {
        let newest = self.configurations.keys().next_back().copied().unwrap_or(0);
        if response.configuration > newest {
            self.configurations.insert(response.configuration, response.voters.clone());
            while self.configurations.len() > MAX_CONFIGURATIONS {
                self.configurations.pop_first();
            }
        }
    }

    fn learn_fallback(&mut self, version: VersionNumber) {
        let is_newer = version > self.fallback_version.unwrap_or(0);
        if is_newer && self.known_versions.contains_key(&version) {
            self.fallback_version = Some(version);
        }
    }

    fn record_lease(
        &mut self,
        now: Micros,
        sent_at: Micros,
        from: GatewayId,
        response: &LeaseResponse,
        versions: &BTreeSet<VersionNumber>,
    ) {
        let counted_from = if self.timing.bug_lease_from_response { now } else { sent_at };
        let expires_at = counted_from + self.timing.lease;
        let (configuration, sequence) = (response.configuration, response.sequence);
        let known = self.leases.get(&from);
        if known.is_some_and(|lease| (lease.configuration, lease.sequence) > (configuration, sequence)) {
            return;
        }
        let mut versions = versions.clone();
        if let Some(narrowing) = self.narrowing.as_ref().filter(|n| sequence < n.before_sequence) {
            versions.extend(&narrowing.versions);
        }
        self.stats.leases_received += 1;
        self.leases.insert(from, Lease { configuration, sequence, versions, expires_at });
        self.record_permits(from, response, expires_at);
    }

    fn record_permits(&mut self, from: GatewayId, response: &LeaseResponse, expires_at: Micros) {
        let Some(grant) = response.permits.clone() else { return };
        let with_quorum = |voters: &BTreeSet<GatewayId>| (voters.clone(), self.timing.quorum(voters.len()));
        let configurations = self.configurations.iter();
        let quorums = configurations.map(|(number, voters)| (*number, with_quorum(voters))).collect();
        let received_grants = Arc::make_mut(&mut self.received_grants);
        received_grants.set_quorums(quorums);
        received_grants.receive(from, response.configuration, grant, expires_at);
    }

    /// Adds the versions in a response to the known ones, up to the first that is rejected; false if one is.
    fn learn_versions(&mut self, response: &LeaseResponse) -> bool {
        for version in decode_versions(response) {
            let Some(version) = version.ok().filter(|version| self.matches_known(version)) else {
                self.stats.versions_rejected += 1;
                return false;
            };
            self.known_versions.insert(version.number, version);
        }
        true
    }

    /// Whether a version is the same as the one known under its number, if any, and links to the preceding and
    /// following versions as far as these are known.
    fn matches_known(&self, version: &Version) -> bool {
        let known = self.known_versions.get(&version.number);
        let before = version.number.checked_sub(1).and_then(|number| self.known_versions.get(&number));
        let after = self.known_versions.get(&(version.number + 1));
        known.is_none_or(|known| known == version)
            && before.is_none_or(|before| version.follows(before).is_ok())
            && after.is_none_or(|after| after.follows(version).is_ok())
    }

    fn drop_unused_versions(&mut self) {
        while self.known_versions.len() > MAX_KNOWN_VERSIONS {
            let unused = self.known_versions.keys().copied().find(|number| !self.is_in_use(*number));
            let Some(unused) = unused else { return };
            self.known_versions.remove(&unused);
        }
    }

    fn is_in_use(&self, number: VersionNumber) -> bool {
        Some(number) == self.fallback_version
            || Some(number) == self.stored_version
            || self.leases.values().any(|lease| lease.versions.contains(&number))
            || self.narrowing.as_ref().is_some_and(|narrowing| narrowing.versions.contains(&number))
    }

    /// Narrows earlier leases when a voter grants a lease on a newer version that conflicts with the current ones: from
    /// now on they are used only for what the newer versions allow too. A request reports that to the voters at once,
    /// so that they need not wait for those leases to expire before the newer version comes into force.
    fn narrow_to(&mut self, now: Micros, granted: &BTreeSet<VersionNumber>) {
        let current = self.rule_source(now).versions();
        if current.is_empty() || granted.is_subset(&current) || granted.last() <= current.last() {
            return;
        }
        if !current.iter().any(|a| granted.iter().any(|b| self.may_conflict(*a, *b))) {
            return;
        }
        let mut versions: BTreeSet<VersionNumber> = current.union(granted).copied().collect();
        if let Some(earlier) = &self.narrowing {
            versions.extend(&earlier.versions);
        }
        self.sequence += 1;
        for lease in self.leases.values_mut() {
            lease.versions.extend(&versions);
        }
        self.narrowing = Some(Narrowing { since: now, before_sequence: self.sequence, versions });
        self.next_request_at = now;
    }

    /// Whether two versions conflict; true also if one of them is not known.
    fn may_conflict(&self, a: VersionNumber, b: VersionNumber) -> bool {
        match (self.known_versions.get(&a), self.known_versions.get(&b)) {
            (Some(a), Some(b)) => !find_conflicts(&a.rules, &b.rules).is_empty(),
            _ => true,
        }
    }

    /// The source of the rules that apply now. It must be determined right before each action: the process may have
    /// been stopped since the last call, so that a lease has expired.
    pub fn rule_source(&self, now: Micros) -> RuleSource {
        let mut best: Option<(BTreeSet<VersionNumber>, Micros)> = None;
        for (configuration, voters) in &self.configurations {
            let quorum = self.timing.quorum(voters.len());
            let leases = self.unexpired_leases(now, *configuration, voters);
            // A lease covers every set that contains its versions, since more versions only restrict further.
            // Candidates are the sets of the single leases, and the union of all.
            let union: BTreeSet<VersionNumber> =
                leases.iter().flat_map(|lease| lease.versions.iter().copied()).collect();
            for versions in leases.iter().map(|lease| &lease.versions).chain([&union]) {
                let Some(expires_at) = quorum_expiry(&leases, versions, quorum) else { continue };
                if best.as_ref().is_none_or(|(best_versions, _)| is_preferred(versions, best_versions)) {
                    best = Some((versions.clone(), expires_at));
                }
            }
        }
        match best {
            Some((versions, expires_at)) => RuleSource::Lease(versions, expires_at),
            None => RuleSource::Fallback(self.fallback_version),
        }
    }

    fn unexpired_leases(&self, now: Micros, configuration: u32, voters: &BTreeSet<GatewayId>) -> Vec<&Lease> {
        let leases = voters.iter().filter_map(|voter| self.leases.get(voter));
        leases.filter(|lease| lease.configuration == configuration && lease.expires_at > now).collect()
    }

    /// What this gateway may do under a rule source. Versions that are not known are left out.
    pub fn effective_rules(&self, source: &RuleSource) -> EffectiveRules {
        match source {
            RuleSource::Lease(numbers, _) => {
                let versions = numbers.iter().filter_map(|number| self.known_versions.get(number));
                intersect_all(self.self_id, versions)
            }
            RuleSource::Fallback(number) => {
                let version = number.and_then(|number| self.known_versions.get(&number));
                let rules = version.map(|version| version.rules.fallback_rules(self.self_id));
                rules.unwrap_or_default()
            }
        }
    }
}

/// Until when a quorum of leases covers these versions; none if there are fewer such leases than a quorum.
fn quorum_expiry(leases: &[&Lease], versions: &BTreeSet<VersionNumber>, quorum: usize) -> Option<Micros> {
    let covering = leases.iter().filter(|lease| lease.versions.is_subset(versions));
    let mut expiries: Vec<Micros> = covering.map(|lease| lease.expires_at).collect();
    expiries.sort_unstable_by(|a, b| b.cmp(a));
    expiries.get(quorum.checked_sub(1)?).copied()
}

/// Whether a lease on these versions is preferred to one on the others: fewer versions restrict less, and among sets of
/// the same size the one with the newer version is preferred.
fn is_preferred(versions: &BTreeSet<VersionNumber>, others: &BTreeSet<VersionNumber>) -> bool {
    (versions.len(), others.last(), others.len()) < (others.len(), versions.last(), versions.len())
}
