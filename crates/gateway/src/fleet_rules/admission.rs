//! Admission of requests by the fleet rules, before they reach the decision library.

use super::FleetRules;
use crate::clock::Micros;
use crate::core::Admission;
use crate::reply::GatewayAnswer;
use frostgauge::RejectReason;
use frostgauge_fleet_agent::AttemptRejection;
use frostgauge_settings::{Loaded, Tenant};

/// Checks a request's tenant and class against the fleet rules.
pub struct RulesAdmission {
    rules: FleetRules,
    /// Names of the classes, by index.
    classes: Vec<String>,
    /// Names of the plans, by index.
    plans: Vec<String>,
    gateways: usize,
    /// Longest advice to a rejected client, µs.
    max_retry_after: Micros,
}

impl RulesAdmission {
    /// Creates the check with the classes, plans and limits of these settings.
    pub fn new(rules: FleetRules, loaded: &Loaded) -> RulesAdmission {
        RulesAdmission {
            rules,
            classes: loaded.classes.clone(),
            plans: loaded.plans.clone(),
            gateways: loaded.file.fleet.gateways,
            max_retry_after: loaded.file.limits.retry_after_ms * 1_000,
        }
    }
}

impl Admission for RulesAdmission {
    fn admit(
        &mut self,
        now: Micros,
        subject: &str,
        class: usize,
        configured: Option<Tenant>,
    ) -> Result<Tenant, GatewayAnswer> {
        let mut guard = self.rules.task.guard();
        let class = self.classes.get(class).map_or("", String::as_str);
        if let Err(reason) = guard.admit(now, subject, class) {
            metrics::counter!("frostgauge_rules_refused", "why" => reason.label()).increment(1);
            return Err(match reason {
                AttemptRejection::UnknownTenant => GatewayAnswer::UnknownTenant,
                AttemptRejection::ClassNotAllowed => GatewayAnswer::NotAllowed,
                AttemptRejection::NoLease
                | AttemptRejection::ServerUnavailable
                | AttemptRejection::NoConnectionPermit => GatewayAnswer::FallbackRulesOnly {
                    retry_after: self.rules.timing.retry_after.min(self.max_retry_after),
                },
                AttemptRejection::QuotaExhausted(retry_after) => GatewayAnswer::Rejected {
                    why: RejectReason::Ceiling,
                    retry_after: retry_after.min(self.max_retry_after),
                },
            });
        }
        if guard.eligible_servers(now).next().is_none() {
            guard.record_unserved_demand(now, subject, class);
        }
        // A tenant that only a version of the fleet rules names has no parameters but its plan.
        let view = guard.view().clone();
        let plan = view.at(now).1.tenant_plans.get(subject);
        let plan = plan.and_then(|plan| self.plans.iter().position(|p| p == plan));
        let unconfigured = Tenant {
            id: frostgauge_settings::customer_id(subject),
            plan: 0,
            subset_start: 0,
            subset_size: self.gateways,
        };
        match (configured, plan) {
            (Some(configured), Some(plan)) => Ok(Tenant { plan, ..configured }),
            (Some(configured), None) => Ok(configured),
            (None, Some(plan)) => Ok(Tenant { plan, ..unconfigured }),
            (None, None) => Err(GatewayAnswer::UnknownTenant),
        }
    }
}
