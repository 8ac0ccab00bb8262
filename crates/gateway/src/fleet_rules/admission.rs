//! Requests against the fleet's rules, before they go to the decisions.

use super::FleetRules;
use crate::clock::Micros;
use crate::core::Admission;
use crate::reply::GatewayAnswer;
use frostgauge::RejectReason;
use frostgauge_fleet_agent::AttemptRejection;
use frostgauge_settings::{Loaded, Tenant};

/// Checks a request's tenant and class against the rules.
pub struct RulesAdmission {
    rules: FleetRules,
    classes: Vec<String>,
    plans: Vec<String>,
    gateways: usize,
    max_retry_after: Micros,
}

impl RulesAdmission {
    /// For these settings.
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
        known: Option<Tenant>,
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
                AttemptRejection::QuotaExhausted(wait) => GatewayAnswer::Rejected {
                    why: RejectReason::Ceiling,
                    retry_after: wait.min(self.max_retry_after),
                },
            });
        }
        if guard.eligible_servers(now).next().is_none() {
            guard.record_unserved_demand(now, subject, class);
        }
        // One that came with a version is known by its plan alone.
        let view = guard.view().clone();
        let plan = view.at(now).1.tenant_plans.get(subject);
        let plan = plan.and_then(|plan| self.plans.iter().position(|p| p == plan));
        let here = Tenant {
            id: frostgauge_settings::customer_id(subject),
            plan: 0,
            subset_start: 0,
            subset_size: self.gateways,
        };
        match (known, plan) {
            (Some(known), Some(plan)) => Ok(Tenant { plan, ..known }),
            (Some(known), None) => Ok(known),
            (None, Some(plan)) => Ok(Tenant { plan, ..here }),
            (None, None) => Err(GatewayAnswer::UnknownTenant),
        }
    }
}
