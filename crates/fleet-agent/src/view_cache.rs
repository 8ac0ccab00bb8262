//! Derives the rules in effect from the follower's state, only when the versions they come from change.

use crate::rules_view::{IndexedRules, LeasedRules, RulesView};
use frostgauge_consensus::{Follower, Micros, RuleSource, VersionNumber};
use std::collections::BTreeSet;
use std::sync::Arc;

struct CachedLease {
    versions: BTreeSet<VersionNumber>,
    rules: Arc<IndexedRules>,
}

struct CachedFallback {
    version: Option<VersionNumber>,
    rules: Arc<IndexedRules>,
}

/// The indexed rules of the last lease's versions and of the last fallback version.
#[derive(Default)]
pub(crate) struct ViewCache {
    lease: Option<CachedLease>,
    fallback: Option<CachedFallback>,
}

impl ViewCache {
    /// The rules and permits in effect for the follower now.
    pub(crate) fn view(&mut self, now: Micros, follower: &Follower) -> Arc<RulesView> {
        let source = follower.rule_source(now);
        let fallback_version = follower.fallback_version();
        let fallback_rules = self.fallback_rules(follower, fallback_version);
        let lease = match source {
            RuleSource::Lease(versions, expires_at) => {
                let rules = self.leased_rules(follower, &versions, expires_at);
                Some(LeasedRules { versions, expires_at, rules })
            }
            RuleSource::Fallback(_) => None,
        };
        let permits = follower.received_grants().clone();
        Arc::new(RulesView { lease, fallback_version, fallback_rules, permits })
    }

    fn fallback_rules(&mut self, follower: &Follower, version: Option<VersionNumber>) -> Arc<IndexedRules> {
        if let Some(cached) = self.fallback.as_ref().filter(|cached| cached.version == version) {
            return cached.rules.clone();
        }
        let rules = indexed_rules(follower, &RuleSource::Fallback(version), version);
        self.fallback = Some(CachedFallback { version, rules: rules.clone() });
        rules
    }

    fn leased_rules(
        &mut self,
        follower: &Follower,
        versions: &BTreeSet<VersionNumber>,
        expires_at: Micros,
    ) -> Arc<IndexedRules> {
        if let Some(cached) = self.lease.as_ref().filter(|cached| cached.versions == *versions) {
            return cached.rules.clone();
        }
        let source = RuleSource::Lease(versions.clone(), expires_at);
        let rules = indexed_rules(follower, &source, versions.last().copied());
        self.lease = Some(CachedLease { versions: versions.clone(), rules: rules.clone() });
        rules
    }
}

fn indexed_rules(
    follower: &Follower,
    source: &RuleSource,
    newest: Option<VersionNumber>,
) -> Arc<IndexedRules> {
    let newest = newest.and_then(|number| follower.version(number)).map(|version| &version.rules);
    Arc::new(IndexedRules::new(follower.effective_rules(source), newest))
}
