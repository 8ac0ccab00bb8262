//! The rules in effect at a gateway, as last published from its follower.

use crate::permits;
use frostgauge_connection_budget::{CompiledPolicy, ConnectionPermit, ReceivedGrants};
use frostgauge_consensus::{EffectiveRules, Micros, RuleSource, Rules, VersionNumber};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Effective rules with indexes for lookups.
#[derive(Clone, Debug, Default)]
pub struct IndexedRules {
    /// What the gateway may do.
    pub effective: EffectiveRules,
    /// Names of the servers, by the address they listen on.
    pub server_names: BTreeMap<SocketAddr, String>,
    /// Plans of the tenants under the newest version, by tenant name.
    pub tenant_plans: BTreeMap<String, String>,
    /// Zones of the servers under the newest version, by server name.
    pub server_zones: BTreeMap<String, String>,
    /// Connection budgets of the newest version; none: it has none.
    pub budgets: Option<Arc<CompiledPolicy>>,
}

impl IndexedRules {
    /// Indexes effective rules; `newest`: the rules of the newest version that they were derived from.
    pub fn new(effective: EffectiveRules, newest: Option<&Rules>) -> IndexedRules {
        let by_address = |(name, address): (&String, &String)| Some((address.parse().ok()?, name.clone()));
        let server_names = effective.servers.iter().filter_map(by_address).collect();
        let tenants = newest.iter().flat_map(|rules| &rules.tenants);
        let tenant_plans = tenants.map(|(name, tenant)| (name.clone(), tenant.plan.clone())).collect();
        let servers = newest.iter().flat_map(|rules| &rules.servers);
        let server_zones = servers.map(|(name, server)| (name.clone(), server.zone.clone())).collect();
        let budgets = newest.and_then(Rules::compiled_budgets).map(Arc::new);
        IndexedRules { effective, server_names, tenant_plans, server_zones, budgets }
    }

    /// The permit that a tenant's connection to a server needs; none: no server with this address is in the rules.
    pub(crate) fn permit(&self, tenant: &str, class: &str, server: SocketAddr) -> Option<ConnectionPermit> {
        let name = self.server_names.get(&server)?;
        let budgeted = self.effective.budgeted.contains_key(name);
        Some(permits::permit(self.budgets.as_deref(), budgeted, name, tenant, class))
    }

    /// Whether a tenant may send requests of a class.
    pub(crate) fn allow(&self, tenant: &str, class: &str) -> bool {
        let tenant = self.effective.tenants.get(tenant);
        self.effective.classes.contains_key(class)
            && tenant.is_some_and(|limits| limits.classes.contains(class))
    }
}

impl PartialEq for IndexedRules {
    fn eq(&self, other: &IndexedRules) -> bool {
        // The server names follow from the effective rules.
        self.effective == other.effective
            && self.tenant_plans == other.tenant_plans
            && self.server_zones == other.server_zones
            && match (&self.budgets, &other.budgets) {
                (Some(a), Some(b)) => a.policy() == b.policy(),
                (a, b) => a.is_none() && b.is_none(),
            }
    }
}

impl Eq for IndexedRules {}

/// Rules that a lease allows a gateway to act under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedRules {
    /// Numbers of the leased versions.
    pub versions: BTreeSet<VersionNumber>,
    /// When the lease expires, by the gateway's clock.
    pub expires_at: Micros,
    /// The rules: what each of the versions allows.
    pub rules: Arc<IndexedRules>,
}

/// The rules and permits in effect at a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RulesView {
    /// The lease, if there is one; it may have expired since.
    pub lease: Option<LeasedRules>,
    /// Number of the version that the fallback rules come from; none: no version is known yet.
    pub fallback_version: Option<VersionNumber>,
    /// The rules in effect without a valid lease.
    pub fallback_rules: Arc<IndexedRules>,
    /// Connection permits that the replicas have granted.
    pub permits: Arc<ReceivedGrants>,
}

impl RulesView {
    fn valid_lease(&self, now: Micros) -> Option<&LeasedRules> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at)
    }

    /// The rules in effect at the time `now`, and their source.
    pub fn at(&self, now: Micros) -> (RuleSource, &Arc<IndexedRules>) {
        match self.valid_lease(now) {
            Some(lease) => (RuleSource::Lease(lease.versions.clone(), lease.expires_at), &lease.rules),
            None => (RuleSource::Fallback(self.fallback_version), &self.fallback_rules),
        }
    }

    /// The rules in effect at the time `now`.
    pub(crate) fn rules(&self, now: Micros) -> &Arc<IndexedRules> {
        self.valid_lease(now).map_or(&self.fallback_rules, |lease| &lease.rules)
    }

    /// Whether the fallback rules are in effect at the time `now`, because there is no valid lease.
    pub fn on_fallback(&self, now: Micros) -> bool {
        self.valid_lease(now).is_none()
    }

    /// Whether the leased or the fallback rules contain a tenant.
    pub(crate) fn contains_tenant(&self, tenant: &str) -> bool {
        let leased = self.lease.as_ref().map(|lease| &lease.rules);
        let mut all_rules = leased.into_iter().chain([&self.fallback_rules]);
        all_rules.any(|rules| rules.effective.tenants.contains_key(tenant))
    }
}
