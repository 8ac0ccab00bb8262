//! The check before each attempt: whether the fleet's rules let it go, now and from this gateway. Free of I/O.
//!
//! Whoever runs the follower publishes what it acts under as a [`RulesView`]; the tasks that send requests check it
//! right before the bytes go. A lease that has expired meanwhile is over for them too, whatever the follower's task is
//! doing: then the fallback rules hold.

mod connections;
mod probing;

use crate::health_confirmation::HealthConfirmations;
use crate::permits::Permits;
use crate::quota::{Charge, QuotaBuckets};
use crate::rejection::AttemptRejection;
use crate::rules_view::RulesView;
use frostgauge_connection_budget::BudgetScope;
use frostgauge_consensus::{Micros, RuleSource};
use std::net::SocketAddr;
use std::sync::Arc;

/// Checks the attempts of one gateway.
#[derive(Debug, Default)]
pub struct AttemptGuard {
    view: Arc<RulesView>,
    /// How long a server's own report counts, microseconds.
    confirmation_validity: Micros,
    confirmations: HealthConfirmations,
    quota: QuotaBuckets,
    permits: Permits,
}

impl AttemptGuard {
    /// A guard without rules yet: nothing goes. A server's own report counts for `confirmation_validity` microseconds.
    pub fn new(confirmation_validity: Micros) -> AttemptGuard {
        AttemptGuard { confirmation_validity, ..AttemptGuard::default() }
    }

    /// Publishes what the follower acts under. To be called before the follower's messages about it are sent: replicas
    /// rely on it.
    pub fn set_view(&mut self, view: Arc<RulesView>) {
        self.quota.retain(|tenant| view.contains_tenant(tenant));
        self.permits.set_grants(view.permits.clone());
        self.view = view;
    }

    /// What was published last.
    pub fn view(&self) -> &Arc<RulesView> {
        &self.view
    }

    /// Servers that may get new work now: name and address.
    pub fn eligible_servers(&self, now: Micros) -> impl Iterator<Item = (&str, &str)> {
        let required = self.required_confirmation(now);
        let servers = self.view.rules(now).effective.servers.iter();
        servers.map(|(name, address)| (name.as_str(), address.as_str())).filter(move |(name, address)| {
            self.confirmations.allow_new_work(address, now, required) && self.has_permits_at(now, name)
        })
    }

    /// Whether a server needs no permits, or this gateway has some there: one without gets nothing from here.
    fn has_permits_at(&self, now: Micros, server: &str) -> bool {
        let is_budgeted = self.view.rules(now).effective.budgeted.contains_key(server);
        !is_budgeted || self.permits.max_open(now, &BudgetScope::server(server)) > 0
    }

    /// How recent a server's own report must be, where the rules require one.
    fn required_confirmation(&self, now: Micros) -> Option<Micros> {
        self.view.rules(now).effective.confirmed_only.then_some(self.confirmation_validity)
    }

    /// Whether a tenant's request of a class may come in, and is covered by its quota share. Nothing is taken from the
    /// share: [`AttemptGuard::authorize`] does that, for each attempt.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&mut self, now: Micros, tenant: &str, class: &str) -> Result<(), AttemptRejection> {
        self.check_rules(now, tenant, class)?;
        let charge = self.charge(now, tenant, class);
        self.quota.check(now, tenant, charge).map_err(AttemptRejection::QuotaExhausted)
    }

    fn check_rules(&self, now: Micros, tenant: &str, class: &str) -> Result<(), AttemptRejection> {
        let rules = self.view.rules(now);
        if rules.allow(tenant, class) {
            return Ok(());
        }
        Err(match rules.effective.tenants.get(tenant) {
            _ if self.view.on_fallback(now) => AttemptRejection::NoLease,
            None => AttemptRejection::UnknownTenant,
            Some(_) => AttemptRejection::ClassNotAllowed,
        })
    }

    fn charge(&self, now: Micros, tenant: &str, class: &str) -> Charge {
        let rules = &self.view.rules(now).effective;
        Charge {
            cost_milli: rules.classes.get(class).map_or(0, |class| class.cost_milli),
            rate_milli: rules.tenants.get(tenant).map_or(0, |limits| limits.ceiling_milli),
        }
    }

    /// The check of an attempt right before its bytes go: takes its cost off the tenant's share, and returns what it
    /// goes under.
    ///
    /// # Errors
    /// Why it must not go: it has not run.
    pub fn authorize(
        &mut self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: SocketAddr,
    ) -> Result<RuleSource, AttemptRejection> {
        let source = self.reauthorize(now, tenant, class, server)?;
        let charge = self.charge(now, tenant, class);
        self.quota.take(now, tenant, charge).map_err(AttemptRejection::QuotaExhausted)?;
        Ok(source)
    }

    /// The same for an attempt that was charged already and whose bytes go a second time: nothing of the first ran.
    ///
    /// # Errors
    /// Why it must not go.
    pub fn reauthorize(
        &self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: SocketAddr,
    ) -> Result<RuleSource, AttemptRejection> {
        self.check_rules(now, tenant, class)?;
        let required = self.required_confirmation(now);
        let (source, rules) = self.view.at(now);
        let address = rules.server_names.get(&server).and_then(|name| rules.effective.servers.get(name));
        if !address.is_some_and(|address| self.confirmations.allow_new_work(address, now, required)) {
            return Err(AttemptRejection::ServerUnavailable);
        }
        Ok(source)
    }

    /// What an attempt at a server, by name, goes under; none: it must not go. Without a check of the quota.
    pub fn rule_source_for(
        &self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: &str,
    ) -> Option<RuleSource> {
        self.check_rules(now, tenant, class).ok()?;
        let required = self.required_confirmation(now);
        let (source, rules) = self.view.at(now);
        let address = rules.effective.servers.get(server)?;
        self.confirmations.allow_new_work(address, now, required).then_some(source)
    }
}
