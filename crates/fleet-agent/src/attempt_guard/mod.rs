//! The check of each attempt: whether the fleet's rules allow this gateway to send it now. Does no I/O.
//!
//! The task that runs the follower publishes the rules in effect as a [`RulesView`]. The tasks that send requests check
//! them right before the bytes are sent. They also notice on their own when the lease has expired, even while the
//! follower's task is blocked; the fallback rules are in effect from then on.

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

/// Checks the requests and attempts of one gateway.
#[derive(Debug, Default)]
pub struct AttemptGuard {
    view: Arc<RulesView>,
    /// Under the fallback rules, how long a server's report is valid from its request, microseconds.
    confirmation_validity: Micros,
    confirmations: HealthConfirmations,
    quota: QuotaBuckets,
    permits: Permits,
}

impl AttemptGuard {
    /// Creates a guard that rejects everything until a view is set. Under the fallback rules, a server's report is valid
    /// for `confirmation_validity` microseconds from its request.
    pub fn new(confirmation_validity: Micros) -> AttemptGuard {
        AttemptGuard { confirmation_validity, ..AttemptGuard::default() }
    }

    /// Sets the rules and permits in effect. This must be called before the follower's messages that acknowledge them are
    /// sent, because the replicas rely on those messages.
    pub fn set_view(&mut self, view: Arc<RulesView>) {
        self.quota.retain(|tenant| view.contains_tenant(tenant));
        self.permits.set_grants(view.permits.clone());
        self.view = view;
    }

    /// The view that was set last.
    pub fn view(&self) -> &Arc<RulesView> {
        &self.view
    }

    /// Names and addresses of the servers that may get new work now.
    pub fn eligible_servers(&self, now: Micros) -> impl Iterator<Item = (&str, &str)> {
        let max_age = self.max_confirmation_age(now);
        let servers = self.view.rules(now).effective.servers.iter();
        servers.map(|(name, address)| (name.as_str(), address.as_str())).filter(move |(name, address)| {
            self.confirmations.allow_new_work(address, now, max_age) && self.has_permits_at(now, name)
        })
    }

    /// Whether a server needs no permits or this gateway has permits for it.
    fn has_permits_at(&self, now: Micros, server: &str) -> bool {
        let is_budgeted = self.view.rules(now).effective.budgeted.contains_key(server);
        !is_budgeted || self.permits.max_open(now, &BudgetScope::server(server)) > 0
    }

    /// The maximum age of a server's report; none: the rules in effect require no report.
    fn max_confirmation_age(&self, now: Micros) -> Option<Micros> {
        self.view.rules(now).effective.confirmed_only.then_some(self.confirmation_validity)
    }

    /// Checks whether the rules allow a tenant's request of a class, and whether the tenant's quota share covers it. The
    /// share is not charged here but for each attempt, by [`AttemptGuard::authorize`].
    ///
    /// # Errors
    /// Why the request is rejected.
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

    /// Checks an attempt right before its bytes are sent and charges its cost to the tenant's share. Returns the source of
    /// the rules that allow it.
    ///
    /// # Errors
    /// Why the attempt must not be sent; nothing is charged then.
    pub fn authorize(
        &mut self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: SocketAddr,
    ) -> Result<RuleSource, AttemptRejection> {
        let source = self.reauthorize(now, tenant, class, server)?;
        let charge = self.charge(now, tenant, class);
        self.quota.charge(now, tenant, charge).map_err(AttemptRejection::QuotaExhausted)?;
        Ok(source)
    }

    /// The same check without a charge, for an attempt that was charged before and is sent again because the server
    /// executed nothing of it the first time.
    ///
    /// # Errors
    /// Why the attempt must not be sent.
    pub fn reauthorize(
        &self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: SocketAddr,
    ) -> Result<RuleSource, AttemptRejection> {
        self.check_rules(now, tenant, class)?;
        let max_age = self.max_confirmation_age(now);
        let (source, rules) = self.view.at(now);
        let address = rules.server_names.get(&server).and_then(|name| rules.effective.servers.get(name));
        if !address.is_some_and(|address| self.confirmations.allow_new_work(address, now, max_age)) {
            return Err(AttemptRejection::ServerUnavailable);
        }
        Ok(source)
    }

    /// The source of the rules that allow an attempt at the server with this name; none: they do not allow it. The quota
    /// is not checked.
    pub fn rule_source_for(
        &self,
        now: Micros,
        tenant: &str,
        class: &str,
        server: &str,
    ) -> Option<RuleSource> {
        self.check_rules(now, tenant, class).ok()?;
        let max_age = self.max_confirmation_age(now);
        let (source, rules) = self.view.at(now);
        let address = rules.effective.servers.get(server)?;
        self.confirmations.allow_new_work(address, now, max_age).then_some(source)
    }
}
