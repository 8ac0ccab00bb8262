//! Validation of settings. Errors contain the path of a setting as operators write it, not the field of
//! [`Settings`].

use crate::api::{Settings, SettingsError};

/// Checks that all settings are in range.
///
/// # Errors
/// [`SettingsError`] for the first setting that is out of range.
pub(crate) fn check_settings(settings: &Settings) -> Result<(), SettingsError> {
    let require = |is_valid: bool, field: &str, reason| {
        if is_valid {
            return Ok(());
        }
        Err(SettingsError { field: field.to_owned(), reason })
    };
    require(!settings.classes.is_empty(), "classes", "is empty")?;
    require(!settings.plans.is_empty(), "plans", "is empty")?;
    require(settings.plans.len() <= 256, "plans", "has more than 256 entries")?;
    require(settings.gateways > 0 && settings.gateways <= 65_535, "gateways", "is not between 1 and 65535")?;
    require(settings.gateway_id < settings.gateways, "me", "is not below the number of gateways")?;
    require(settings.tick > 0, "tick", "is zero")?;
    for (k, class) in settings.classes.iter().enumerate() {
        require(class.latency_objective > 0, &format!("classes[{k}].aim"), "is zero")?;
        let is_valid = class.priority_weight.is_finite() && class.priority_weight >= 0.0;
        require(is_valid, &format!("classes[{k}].worth"), "is negative or not finite")?;
    }
    for (k, plan) in settings.plans.iter().enumerate() {
        let limits = [
            ("rate", plan.rate),
            ("burst", plan.burst),
            ("price", plan.weight_factor),
            ("over_worth", plan.over_quota_weight_share),
            ("over_cost", plan.over_quota_cost_share),
            ("ceiling_rate", plan.ceiling_rate),
            ("ceiling_burst", plan.ceiling_burst),
            ("ceiling_slack", plan.ceiling_slack),
        ];
        for (name, value) in limits {
            let is_valid = value.is_finite() && value >= 0.0;
            require(is_valid, &format!("plans[{k}].{name}"), "is negative or not finite")?;
        }
    }
    let rates_and_costs = [
        ("peer_in_per_s", settings.capabilities.peer_messages_per_s),
        ("peer_price", settings.capabilities.peer_message_cost),
        ("probe_price", settings.capabilities.probe_cost),
        ("count_fee", settings.capabilities.counter_call_cost),
    ];
    for (name, value) in rates_and_costs {
        require(value.is_finite() && value >= 0.0, &format!("allow.{name}"), "is negative or not finite")?;
    }
    for (name, value) in [
        ("cold_from", settings.backend_limits.slow_start_share),
        ("fall_multiple", settings.backend_limits.collapse_multiple),
    ] {
        require(value.is_finite() && value >= 0.0, &format!("rules.{name}"), "is negative or not finite")?;
    }
    Ok(())
}
