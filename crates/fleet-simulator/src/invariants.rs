//! The invariants of a run, checked from what servers received, the versions that replicas hold, and the outcomes that
//! editors were told.

use frostgauge_consensus::{
    find_conflicts, GatewayId, Micros, Outcome, Proposal, RuleSource, Rules, ServerState, Version,
    VersionHash, VersionNumber,
};
use frostgauge_fleet_agent::Authorization;
use std::collections::{BTreeMap, BTreeSet};

/// Violations that are kept in full.
const MAX_REPORTED_VIOLATIONS: usize = 16;

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct ServedRequest {
    /// When, true time.
    pub at: Micros,
    /// Through which gateway.
    pub gateway: GatewayId,
    /// What it was, and the rules that it was sent under.
    pub authorization: Authorization,
}

/// Checks the invariants of one run.
#[derive(Debug)]
pub struct InvariantChecker {
    max_contradiction: Micros,
    rules: BTreeMap<VersionNumber, Rules>,
    hashes: BTreeMap<VersionNumber, VersionHash>,
    /// The newest version that a gateway has acted under, alone or as the oldest of several, and since when.
    enforced: (VersionNumber, Micros),
    /// Servers that report at present that they drain.
    draining_servers: BTreeSet<String>,
    first_requests: BTreeMap<VersionNumber, Micros>,
    known_conflicts: BTreeMap<(VersionNumber, VersionNumber), bool>,
    worst_contradiction: Micros,
    worst_contradiction_leased: Micros,
    requests: u64,
    requests_on_fallback: u64,
    requests_between_versions: u64,
    rejected_before_send: u64,
    requests_by_gateway: BTreeMap<GatewayId, u64>,
    /// By gateway: when it last sent, the quota shares that it had then, and the newest version that they came from.
    quota_shares: BTreeMap<GatewayId, (Micros, BTreeMap<String, u64>, VersionNumber)>,
    share_sums: BTreeMap<String, u64>,
    over_quota_since: BTreeMap<String, Micros>,
    outcomes: BTreeMap<u64, Outcome>,
    acknowledged: BTreeMap<VersionNumber, u64>,
    versions_by_replica: BTreeMap<GatewayId, BTreeMap<VersionNumber, VersionHash>>,
    violations: Vec<String>,
    violation_count: u64,
}

impl InvariantChecker {
    /// A checker for a fleet that begins with these rules, in which no gateway may act against a version for longer than
    /// `max_contradiction` microseconds after it was first acted under.
    pub fn new(max_contradiction: Micros, rules: Rules) -> InvariantChecker {
        InvariantChecker {
            max_contradiction,
            rules: BTreeMap::from([(1, rules)]),
            hashes: BTreeMap::new(),
            enforced: (0, 0),
            draining_servers: BTreeSet::new(),
            first_requests: BTreeMap::new(),
            known_conflicts: BTreeMap::new(),
            worst_contradiction: 0,
            worst_contradiction_leased: 0,
            requests: 0,
            requests_on_fallback: 0,
            requests_between_versions: 0,
            rejected_before_send: 0,
            requests_by_gateway: BTreeMap::new(),
            quota_shares: BTreeMap::new(),
            share_sums: BTreeMap::new(),
            over_quota_since: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            versions_by_replica: BTreeMap::new(),
            violations: vec![],
            violation_count: 0,
        }
    }

    pub(crate) fn record_violation(&mut self, what: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_REPORTED_VIOLATIONS {
            self.violations.push(what);
        }
    }

    /// The first violations, in words.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of violations.
    pub fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// The longest that a gateway acted against a version after its first act, microseconds.
    pub fn worst_contradiction(&self) -> Micros {
        self.worst_contradiction
    }

    /// The longest by a gateway with a lease, microseconds.
    pub fn worst_leased(&self) -> Micros {
        self.worst_contradiction_leased
    }

    /// Requests that servers received.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Of them, those sent under fallback rules.
    pub fn requests_on_fallback(&self) -> u64 {
        self.requests_on_fallback
    }

    /// Of them, those sent under what several versions allow.
    pub fn requests_between_versions(&self) -> u64 {
        self.requests_between_versions
    }

    /// Requests rejected by the check right before the send.
    pub fn rejected_before_send(&self) -> u64 {
        self.rejected_before_send
    }

    /// Requests that came through one gateway.
    pub fn requests_through(&self, gateway: GatewayId) -> u64 {
        self.requests_by_gateway.get(&gateway).copied().unwrap_or(0)
    }

    /// When a version was first acted under, true time.
    pub fn first_request_under(&self, version: VersionNumber) -> Option<Micros> {
        self.first_requests.get(&version).copied()
    }

    /// Versions whose number an editor was told, by number.
    pub fn acknowledged_versions(&self) -> &BTreeMap<VersionNumber, u64> {
        &self.acknowledged
    }

    pub(crate) fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.outcomes.get(&id)
    }

    pub(crate) fn record_rejected_before_send(&mut self) {
        self.rejected_before_send += 1;
    }

    /// A server reports from now on that it drains, or that it takes work again.
    pub(crate) fn server_drains(&mut self, server: &str, drains: bool) {
        if drains {
            self.draining_servers.insert(server.to_owned());
        } else {
            self.draining_servers.remove(server);
        }
    }

    pub(crate) fn record_outcome(&mut self, id: u64, outcome: Outcome, proposal: Option<&Proposal>) {
        if let Outcome::Numbered(number) = outcome {
            if let Some(other) = self.acknowledged.insert(number, id).filter(|o| *o != id) {
                self.record_violation(format!("version {number} was told to proposals {other} and {id}"));
            }
            if let (Some(rules), Some(p)) = (self.rules.get(&number), proposal) {
                if *rules != p.rules {
                    self.record_violation(format!("version {number} is not what proposal {id} asked for"));
                }
            }
        }
        match self.outcomes.insert(id, outcome.clone()) {
            Some(before) if before != outcome => {
                self.record_violation(format!("proposal {id} was told {before:?}, then {outcome:?}"));
            }
            _ => {}
        }
    }

    /// Records the versions of a replica: a number must mean the same everywhere.
    pub(crate) fn record_versions(&mut self, who: GatewayId, record: BTreeMap<VersionNumber, VersionHash>) {
        if self.versions_by_replica.get(&who) == Some(&record) {
            return;
        }
        for (number, hash) in &record {
            if self.hashes.get(number).is_some_and(|known| known != hash) {
                self.record_violation(format!("version {number} at gateway {who} is another than elsewhere"));
            }
            self.hashes.entry(*number).or_insert(*hash);
        }
        self.versions_by_replica.insert(who, record);
    }

    /// Versions acknowledged to an editor that a replica does not have; to be asked once all replicas are back.
    pub fn versions_lost_at(&self, keeper: GatewayId) -> usize {
        let latest =
            self.versions_by_replica.get(&keeper).and_then(|r| r.keys().next_back().copied()).unwrap_or(0);
        self.acknowledged.keys().filter(|n| **n > latest).count()
    }

    fn conflicts(&mut self, old: VersionNumber, new: VersionNumber) -> bool {
        let (a, b) = (self.rules.get(&old), self.rules.get(&new));
        *self.known_conflicts.entry((old, new)).or_insert_with(|| match (a, b) {
            (Some(a), Some(b)) => !find_conflicts(a, b).is_empty(),
            _ => false,
        })
    }

    /// A server got a request; `versions`: those that it went under. To be called in the order of time.
    pub fn record_request(&mut self, act: ServedRequest, versions: Vec<Version>) {
        self.requests += 1;
        *self.requests_by_gateway.entry(act.gateway).or_default() += 1;
        for version in versions {
            let hash = version.hash();
            if *self.hashes.entry(version.number).or_insert(hash) != hash {
                self.record_violation(format!(
                    "gateway {} acts under another version {}",
                    act.gateway, version.number
                ));
            }
            self.rules.entry(version.number).or_insert(version.rules);
        }
        let set = act.authorization.source.versions();
        let alone = set.first().copied().filter(|_| set.len() == 1);
        match (&act.authorization.source, alone) {
            (RuleSource::Fallback(_), _) => self.requests_on_fallback += 1,
            (_, None) => self.requests_between_versions += 1,
            (_, Some(version)) => {
                self.first_requests.entry(version).or_insert(act.at);
            }
        }
        // Under several, the oldest is in force: a version that was withdrawn is no more the law once a later one is.
        if let Some(oldest) = set.first().filter(|n| **n > self.enforced.0) {
            self.enforced = (*oldest, act.at);
        }
        let (law, since) = self.enforced;
        let conflicting = match alone {
            Some(version) if version < law => self.conflicts(version, law),
            _ => false,
        };
        if conflicting || self.forbidden(&act, law) {
            let time = act.at - since;
            self.worst_contradiction = self.worst_contradiction.max(time);
            if matches!(act.authorization.source, RuleSource::Lease(..)) {
                // The first act is the law's own: one at the same moment is not after it.
                self.worst_contradiction_leased = self.worst_contradiction_leased.max(time);
            }
            if time > self.max_contradiction {
                let Authorization { source: under, server, tenant, .. } = &act.authorization;
                self.record_violation(format!(
                    "gateway {} sent {tenant}'s request to {server} under {under:?}, {} ms after version {law} was first acted under",
                    act.gateway,
                    time / 1_000
                ));
            }
        }
    }

    fn forbidden(&self, act: &ServedRequest, law: VersionNumber) -> bool {
        let Some(rules) = self.rules.get(&law) else { return false };
        let Authorization { tenant, class, server, .. } = &act.authorization;
        !rules.gateways.contains(&act.gateway)
            || !rules.classes.contains_key(class)
            || !rules.tenants.get(tenant).is_some_and(|t| t.classes.contains(class))
            || !rules.servers.get(server).is_some_and(|s| {
                // On ground a server's own word counts, and it may be back before the record says so.
                let own_word = matches!(act.authorization.source, RuleSource::Fallback(_))
                    && !self.draining_servers.contains(server);
                s.state == ServerState::Ready || own_word
            })
    }

    /// What a gateway may let through a second for each tenant now, under versions of which `newest` is the last:
    /// parts of all gateways stay within the sum.
    pub(crate) fn check_quota_shares<'a>(
        &mut self,
        at: Micros,
        who: GatewayId,
        newest: VersionNumber,
        parts: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let new: BTreeMap<String, u64> = parts.map(|(t, p)| (t.to_owned(), p)).collect();
        let (_, old, _) = self.quota_shares.insert(who, (at, new.clone(), newest)).unwrap_or_default();
        for (tenant, part) in &old {
            *self.share_sums.entry(tenant.clone()).or_default() -= part;
        }
        for (tenant, part) in &new {
            *self.share_sums.entry(tenant.clone()).or_default() += part;
        }
        // Of the canary part, some may go by a version that nobody acts under alone yet, since a keeper that lags still
        // names an old one beside it: what all do is then within that version's sum. One who acts under it before the
        // others have left the one before is found by the acts themselves.
        let live =
            self.quota_shares.values().filter(|(seen, _, _)| at - seen < 1_000_000).map(|(_, _, n)| *n);
        let mut laws: Vec<&Rules> = vec![];
        laws.extend(self.rules.get(&self.enforced.0));
        laws.extend(live.max().filter(|n| *n > self.enforced.0).and_then(|n| self.rules.get(&n)));
        if laws.is_empty() {
            return;
        }
        let mut told = vec![];
        let tenants: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for tenant in tenants {
            let sum_of = |rules: &&Rules| {
                let plan = rules.tenants.get(tenant).and_then(|t| rules.plans.get(&t.plan));
                plan.map_or(0, |p| p.ceiling_milli.unwrap_or(p.rate_milli))
            };
            let most = laws.iter().map(sum_of).max().unwrap_or(0);
            let sum = self.share_sums.get(tenant).copied().unwrap_or(0);
            if sum <= most {
                self.over_quota_since.remove(tenant);
                continue;
            }
            let since = *self.over_quota_since.entry(tenant.clone()).or_insert(at);
            // A gateway that is stopped or dead does nothing, whatever it last might have: those are left out.
            let live: u64 = self
                .quota_shares
                .values()
                .filter(|(seen, _, _)| at - seen < 1_000_000)
                .filter_map(|(_, p, _)| p.get(tenant))
                .sum();
            if live > most && at - since > self.max_contradiction {
                told.push(format!("parts of {tenant} add up to {live}, over {most}"));
            }
        }
        told.into_iter().for_each(|t| self.record_violation(t));
    }
}
