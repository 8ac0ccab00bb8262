//! The settings of the decision library, as the settings file gives them.

use crate::{Class, Effect, File, Group, Plan};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

/// The settings of the decision library.
pub(crate) fn decision_settings(file: &File) -> frostgauge::Settings {
    let zone = file.zones.iter().position(|z| *z == file.gateway.zone).unwrap_or(0) as u32;
    frostgauge::Settings {
        gateway_id: file.gateway.number,
        gateways: file.fleet.gateways,
        zone,
        tick: MS,
        classes: file.classes.values().map(class).collect(),
        plans: file.plans.values().map(plan).collect(),
        capabilities: capabilities(file),
        backend_limits: frostgauge::BackendLimits {
            answer_slack: file.limits.answer_margin_ms * MS,
            slow_start_share: file.rules.slow_start_share,
            slow_start_time: file.rules.slow_start_ms * MS,
            collapse_multiple: file.rules.collapse_multiple,
            collapse_time: file.rules.collapse_ms * MS,
        },
    }
}

fn effect(effect: &Effect) -> frostgauge::Effect {
    match effect {
        Effect::Safe => frostgauge::Effect::Idempotent,
        Effect::Unsafe => frostgauge::Effect::NonIdempotent,
        Effect::Keyed { group, window_ms } => frostgauge::Effect::Deduplicated {
            scope: match group {
                Group::All => frostgauge::DedupScope::All,
                Group::Zone => frostgauge::DedupScope::Zone,
                Group::Cell => frostgauge::DedupScope::Cell,
            },
            window: window_ms * MS,
        },
    }
}

fn class(class: &Class) -> frostgauge::Class {
    frostgauge::Class {
        latency_objective: class.latency_objective_ms * MS,
        deadline: class.max_timeout_ms * MS,
        late_weight_share: class.late_weight_share,
        priority_weight: class.priority_weight,
        effect: effect(&class.effect),
        stream: false,
    }
}

fn plan(plan: &Plan) -> frostgauge::Plan {
    frostgauge::Plan {
        rate: plan.rate,
        burst: plan.burst,
        max_in_flight: plan.max_in_flight,
        weight_factor: plan.weight_factor,
        over_quota_weight_share: plan.over_quota_weight_share,
        over_quota_cost_share: plan.over_quota_cost_share,
        ceiling_rate: plan.ceiling_rate,
        ceiling_burst: plan.ceiling_burst,
        ceiling_slack: plan.ceiling_slack,
    }
}

fn capabilities(file: &File) -> frostgauge::Capabilities {
    frostgauge::Capabilities {
        probes: file.limits.probe_path.is_some(),
        peers: !file.fleet.peers.is_empty(),
        cancel: true,
        hedged_requests: false,
        retry_after: true,
        max_retry_after: file.limits.retry_after_ms * MS,
        max_attempts: file.limits.attempts,
        peer_messages_per_s: file.fleet.peer_in_per_s,
        clients_mark_retries: true,
        usage_period: file.limits.meter_ms * MS,
        load_reports: match file.limits.reports {
            crate::Reports::Answers => frostgauge::LoadReports::Answers,
            crate::Reports::Probe => frostgauge::LoadReports::Probe,
            crate::Reports::None => frostgauge::LoadReports::None,
        },
        shared_counter: file.counter.is_some(),
        counter_call_timeout: file.counter.as_ref().map_or(0, |c| c.limit_ms * MS),
        ..frostgauge::Capabilities::default()
    }
}
