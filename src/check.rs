//! Whether settings make sense; nothing is decided here.

use crate::api::{Settings, SettingsError};

/// Settings that make no sense, by the field at fault.
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
    sound(s.me < s.gateways, "me", "is outside the set of gateways")?;
    sound(s.tick > 0, "tick", "is zero")?;
    for (k, c) in s.classes.iter().enumerate() {
        sound(c.aim > 0, &format!("classes[{k}].aim"), "is zero")?;
        let worth = c.worth.is_finite() && c.worth >= 0.0;
        sound(worth, &format!("classes[{k}].worth"), "is negative or not finite")?;
    }
    for (k, p) in s.plans.iter().enumerate() {
        let figures = [
            ("rate", p.rate),
            ("burst", p.burst),
            ("price", p.price),
            ("over_worth", p.over_worth),
            ("over_cost", p.over_cost),
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
        ("peer_in_per_s", s.allow.peer_in_per_s),
        ("peer_price", s.allow.peer_price),
        ("probe_price", s.allow.probe_price),
        ("count_fee", s.allow.count_fee),
    ];
    for (name, value) in prices {
        sound(value.is_finite() && value >= 0.0, &format!("allow.{name}"), "is negative or not finite")?;
    }
    for (name, value) in [("cold_from", s.rules.cold_from), ("fall_multiple", s.rules.fall_multiple)] {
        sound(value.is_finite() && value >= 0.0, &format!("rules.{name}"), "is negative or not finite")?;
    }
    Ok(())
}
