//! A follower: what its gateway may do now. Every gateway has one, voters too.
//!
//! It requests leases from all voters alike, and acts under a version for as long as a majority of them has granted it,
//! counted from the time its own request was sent. Without that it acts under the fallback rules of the version that it
//! has stored.

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

/// Requests whose responses may still come.
const MAX_REQUESTS_IN_FLIGHT: usize = 64;
/// Versions known at a time.
const MAX_KNOWN_VERSIONS: usize = 16;
/// Configurations whose leases may be unexpired: the present one and the one before.
const MAX_CONFIGURATIONS: usize = 2;
/// Share of the request interval that is drawn at random.
const JITTER_DIVISOR: u64 = 8;

/// A lease that one voter granted.
#[derive(Clone, Debug)]
struct Lease {
    configuration: u32,
    sequence: u64,
    versions: BTreeSet<VersionNumber>,
    expires_at: Micros,
}

/// A promise to the voters: leases of earlier requests are used only within these versions too.
#[derive(Clone, Debug)]
struct Narrowing {
    since: Micros,
    /// The first request that it does not apply to.
    before_sequence: u64,
    versions: BTreeSet<VersionNumber>,
}

/// What a gateway acts under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleSource {
    /// A lease on what all of these versions allow, until a time.
    Lease(BTreeSet<VersionNumber>, Micros),
    /// The fallback rules of a version; none: it has never known one.
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
    /// Requests sent, each to all voters.
    pub requests_sent: u64,
    /// Responses that brought a lease.
    pub leases_received: u64,
    /// Messages of no use: to another incarnation, to no request, late, or from a gateway that does not vote.
    pub unrecognized: u64,
    /// Versions rejected: unreadable, invalid, or different from one known under the same number.
    pub versions_rejected: u64,
}

/// The follower of one gateway.
#[derive(Debug)]
pub struct Follower {
    self_id: GatewayId,
    timing: Timing,
    incarnation: u64,
    sequence: u64,
    /// When the requests in flight were sent, by sequence.
    sent_at: BTreeMap<u64, Micros>,
    /// Voters by number of the configuration.
    configurations: BTreeMap<u32, BTreeSet<GatewayId>>,
    leases: BTreeMap<GatewayId, Lease>,
    narrowing: Option<Narrowing>,
    known_versions: BTreeMap<VersionNumber, Version>,
    fallback_version: Option<VersionNumber>,
    /// The fallback version that is stored.
    stored: Option<VersionNumber>,
    next_request: Micros,
    canary_report: Option<(VersionNumber, bool)>,
    /// What its gateway has open and has demand for; none: it takes no permits.
    permit_report: Option<GatewayReport>,
    received_grants: Arc<ReceivedGrants>,
    rng: ChaCha8Rng,
    stats: FollowerStats,
    outbox: Vec<(GatewayId, Message)>,
}

impl Follower {
    /// Starts. `incarnation`: drawn anew by each process, not from a clock, which could step back. `stored`: the
    /// version that it stored as its fallback before.
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
            stored: number,
            // All gateways may start at once.
            next_request: now + rng.random_range(0..=timing.jitter),
            canary_report: None,
            permit_report: None,
            received_grants: Arc::default(),
            rng,
            stats: FollowerStats::default(),
            outbox: vec![],
        }
    }

    /// Its counters.
    pub fn stats(&self) -> FollowerStats {
        self.stats
    }

    /// A version that it knows.
    pub fn version(&self, number: VersionNumber) -> Option<&Version> {
        self.known_versions.get(&number)
    }

    /// The newest version that it knows.
    pub fn newest_known(&self) -> Option<VersionNumber> {
        self.known_versions.keys().next_back().copied()
    }

    /// The fallback version that is not stored yet: to be stored, then reported by [`Follower::mark_stored`].
    pub fn version_to_store(&self) -> Option<&Version> {
        let unstored = self.fallback_version.filter(|number| self.stored != Some(*number));
        unstored.and_then(|number| self.known_versions.get(&number))
    }

    /// A version is stored: from now on the voters may rely on it.
    pub fn mark_stored(&mut self, number: VersionNumber) {
        self.stored = Some(number);
    }

    /// Sets whether this gateway is healthy under a version, for the voters if it is a canary.
    pub fn report_canary(&mut self, version: VersionNumber, healthy: bool) {
        self.canary_report = Some((version, healthy));
    }

    /// Sets what its gateway has open and has demand for: sent with each request from now on.
    pub fn report_permits(&mut self, report: GatewayReport) {
        self.permit_report = Some(report);
    }

    /// Sends a request at the next [`Follower::advance`].
    pub fn request_now(&mut self, now: Micros) {
        self.next_request = self.next_request.min(now);
    }

    /// The permits that voters have granted its gateway.
    pub fn received_grants(&self) -> &Arc<ReceivedGrants> {
        &self.received_grants
    }

    /// When [`Follower::advance`] is due.
    pub fn next_wake(&self) -> Micros {
        self.next_request
    }

    /// The version whose fallback rules it uses without a lease; none: it has never known one.
    pub fn fallback_version(&self) -> Option<VersionNumber> {
        self.fallback_version
    }

    /// The voters, as it last heard of them.
    pub fn voters(&self) -> BTreeSet<GatewayId> {
        self.configurations.values().next_back().cloned().unwrap_or_default()
    }

    /// Requests leases, if it is time.
    pub fn advance(&mut self, now: Micros) {
        if now < self.next_request {
            return;
        }
        // Jitter keeps those that once requested together from doing so for ever.
        let interval = self.timing.request_interval;
        self.next_request = now + interval - self.rng.random_range(0..=interval / JITTER_DIVISOR);
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
        // What was granted before it has expired: it restricts nothing any more.
        let lease_term = self.timing.lease;
        self.narrowing = self.narrowing.take().filter(|narrowing| narrowing.since + lease_term > now);
    }

    fn lease_request(&self) -> LeaseRequest {
        let narrowing = self.narrowing.as_ref();
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            narrowed: narrowing.map(|n| (n.before_sequence, n.versions.clone())),
            fallback_version: self.stored.unwrap_or(0),
            known_versions: self.known_versions.keys().copied().collect(),
            canary_report: self.canary_report,
            permits: self.permit_report.clone(),
        }
    }

    /// Messages to be sent, with their receivers.
    pub fn take_outgoing(&mut self) -> Vec<(GatewayId, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes a message from a gateway whose identity the peer connection has authenticated.
    pub fn handle(&mut self, now: Micros, from: GatewayId, message: Message) {
        match message {
            Message::LeaseResponse(response) => self.handle_response(now, from, &response),
            Message::RecordChanged if self.voters().contains(&from) => {
                let soon = now + self.rng.random_range(0..=self.timing.jitter);
                self.next_request = self.next_request.min(soon);
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
        self.forget_versions();
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
        let notices = Arc::make_mut(&mut self.received_grants);
        notices.set_quorums(quorums);
        notices.receive(from, response.configuration, grant, expires_at);
    }

    /// Learns the versions that a response brings; false if one of them is rejected.
    fn learn_versions(&mut self, response: &LeaseResponse) -> bool {
        for version in decode_versions(response) {
            let Some(version) = version.ok().filter(|version| self.fits_known(version)) else {
                self.stats.versions_rejected += 1;
                return false;
            };
            self.known_versions.insert(version.number, version);
        }
        true
    }

    /// Whether a version is the one known under its number, if any, and links to its known neighbours.
    fn fits_known(&self, version: &Version) -> bool {
        let known = self.known_versions.get(&version.number);
        let before = version.number.checked_sub(1).and_then(|number| self.known_versions.get(&number));
        let after = self.known_versions.get(&(version.number + 1));
        known.is_none_or(|known| known == version)
            && before.is_none_or(|before| version.follows(before).is_ok())
            && after.is_none_or(|after| after.follows(version).is_ok())
    }

    fn forget_versions(&mut self) {
        while self.known_versions.len() > MAX_KNOWN_VERSIONS {
            let unused = self.known_versions.keys().copied().find(|number| !self.uses(*number));
            let Some(unused) = unused else { return };
            self.known_versions.remove(&unused);
        }
    }

    fn uses(&self, number: VersionNumber) -> bool {
        Some(number) == self.fallback_version
            || Some(number) == self.stored
            || self.leases.values().any(|lease| lease.versions.contains(&number))
            || self.narrowing.as_ref().is_some_and(|narrowing| narrowing.versions.contains(&number))
    }

    /// A newer version may come into force: leases granted before are used only within what that allows too. Voters
    /// are notified at once, and need not wait for those leases to expire.
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
        self.next_request = now;
    }

    /// Whether two versions conflict, or one of them is not known.
    fn may_conflict(&self, a: VersionNumber, b: VersionNumber) -> bool {
        match (self.known_versions.get(&a), self.known_versions.get(&b)) {
            (Some(a), Some(b)) => !find_conflicts(&a.rules, &b.rules).is_empty(),
            _ => true,
        }
    }

    /// What it acts under now. To be called right before each act: a process may have been stopped since the last call.
    pub fn rule_source(&self, now: Micros) -> RuleSource {
        let mut best: Option<(BTreeSet<VersionNumber>, Micros)> = None;
        for (configuration, voters) in &self.configurations {
            let quorum = self.timing.quorum(voters.len());
            let leases = self.unexpired_leases(now, *configuration, voters);
            // A lease covers every set that contains its versions: considered are those of each lease, and their union.
            let union: BTreeSet<VersionNumber> =
                leases.iter().flat_map(|lease| lease.versions.iter().copied()).collect();
            for versions in leases.iter().map(|lease| &lease.versions).chain([&union]) {
                let Some(expires_at) = quorum_expiry(&leases, versions, quorum) else { continue };
                if best.as_ref().is_none_or(|(known, _)| is_preferred(versions, known)) {
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

    /// What this gateway may do under a rule source.
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

/// Until when a quorum of leases covers these versions.
fn quorum_expiry(leases: &[&Lease], versions: &BTreeSet<VersionNumber>, quorum: usize) -> Option<Micros> {
    let covering = leases.iter().filter(|lease| lease.versions.is_subset(versions));
    let mut expiries: Vec<Micros> = covering.map(|lease| lease.expires_at).collect();
    expiries.sort_unstable_by(|a, b| b.cmp(a));
    expiries.get(quorum.checked_sub(1)?).copied()
}

/// Whether a lease on these versions is preferred: fewer versions restrict less, then the newer counts.
fn is_preferred(versions: &BTreeSet<VersionNumber>, known: &BTreeSet<VersionNumber>) -> bool {
    (versions.len(), known.last(), known.len()) < (known.len(), versions.last(), versions.len())
}
