//! Validation of settings. Errors name a setting as operators write it, not as a field of [`Settings`].

use crate::api::{Settings, SettingsError};

/// Checks that all settings are in range.
///
/// # Errors
/// The first setting that is out of range.
pub(crate) fn check(s: &Settings) -> Result<(), SettingsError> {
    let sound = |ok: bool, field: &str, reason| {
        if ok {
            return Ok(());
        }
        Err(SettingsError { field: field.to_owned(), reason })
    };
    sound(!s.classes.is_empty(), "classes", "is empty")?;
    sound(!s.plans.is_empty(), "plans", "is empty")?;
    sound(s.plans.len() <= 256, "plans", "is too long")?;
    sound(s.gateways > 0 && s.gateways <= 65_535, "gateways", "is not between 1 and 65535")?;
    sound(s.gateway_id < s.gateways, "me", "is outside the set of gateways")?;
    sound(s.tick > 0, "tick", "is zero")?;
    for (k, c) in s.classes.iter().enumerate() {
        sound(c.latency_objective > 0, &format!("classes[{k}].aim"), "is zero")?;
        let worth = c.priority_weight.is_finite() && c.priority_weight >= 0.0;
        sound(worth, &format!("classes[{k}].worth"), "is negative or not finite")?;
    }
    for (k, p) in s.plans.iter().enumerate() {
        let figures = [
            ("rate", p.rate),
            ("burst", p.burst),
            ("price", p.weight_factor),
            ("over_worth", p.over_quota_weight_share),
            ("over_cost", p.over_quota_cost_share),
            ("ceiling_rate", p.ceiling_rate),
            ("ceiling_burst", p.ceiling_burst),
            ("ceiling_slack", p.ceiling_slack),
        ];
        for (name, value) in figures {
            let ok = value.is_finite() && value >= 0.0;
            sound(ok, &format!("plans[{k}].{name}"), "is negative or not finite")?;
        }
    }
    let prices = [
        ("peer_in_per_s", s.capabilities.peer_messages_per_s),
        ("peer_price", s.capabilities.peer_message_cost),
        ("probe_price", s.capabilities.probe_cost),
        ("count_fee", s.capabilities.counter_call_cost),
    ];
    for (name, value) in prices {
        sound(value.is_finite() && value >= 0.0, &format!("allow.{name}"), "is negative or not finite")?;
    }
    for (name, value) in
        [("cold_from", s.backend_limits.slow_start_share), ("fall_multiple", s.backend_limits.collapse_multiple)]
    {
        sound(value.is_finite() && value >= 0.0, &format!("rules.{name}"), "is negative or not finite")?;
    }
    Ok(())
}
