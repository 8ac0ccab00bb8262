//! Connects the decision library, which requests the available zones before each attempt, with the zone decisions of
//! `frostgauge-zones`.

use crate::clock::Micros;
use frostgauge::{Gate, Load, PendingAttempt, RequestId, ServerId, Status};
use frostgauge_settings::Loaded;
use frostgauge_zones::{AttemptInfo, AttemptOutcome, Config, Node, SpillLimit, Zones};
use std::collections::BTreeMap;

/// Microseconds per millisecond.
const MS: Micros = 1_000;

/// The zone decisions, and the zone of each server.
#[derive(Debug, Default)]
pub struct ZoneGate {
    /// The zone decisions; `None` if the settings have no policy for this gateway's zone, and then every zone is
    /// available.
    pub zones: Option<Zones>,
    server_zones: BTreeMap<ServerId, u32>,
}

impl Gate for ZoneGate {
    fn open_zones(&mut self, now: Micros, attempting: &PendingAttempt) -> u64 {
        let attempt =
            AttemptInfo { idempotent: attempting.idempotent, priority_weight: attempting.priority_weight };
        self.zones.as_mut().map_or(u64::MAX, |zones| zones.open_zones(now, attempt))
    }

    fn record_send(&mut self, now: Micros, _: RequestId, zone: u32) {
        if let Some(zones) = &mut self.zones {
            zones.record_send(now, zone);
        }
    }
}

/// Converts the settings into the configuration of `frostgauge-zones`; `None` if they have no `zone_policy`, or if it has
/// no tiers for this gateway's zone.
fn config(loaded: &Loaded) -> Option<Config> {
    let (file, policy) = (&loaded.file, loaded.file.zone_policy.as_ref()?);
    let (own_number, own_zone) = (file.gateway.number, &file.gateway.zone);
    let zone_index = |zone: &String| file.zones.iter().position(|z| z == zone).map(|index| index as u32);
    let tiers = policy.tiers.get(own_zone)?.iter().map(|tier| tier.iter().filter_map(zone_index).collect());
    let limits = policy.limits.get(own_zone);
    let limits = file.zones.iter().map(|zone| {
        let limit = limits.and_then(|limits| limits.get(zone));
        limit.map(|limit| SpillLimit { rate: limit.rate, share: limit.share })
    });
    // A limit applies to the gateways of this zone together, which take turns. Where the settings do not name the
    // zones of the gateways, all gateways of the fleet take turns.
    let in_own_zone = |n: usize| file.fleet.zones.iter().take(n).filter(|zone| *zone == own_zone).count();
    let (me, gateways) = match file.fleet.zones.len() {
        0 => (own_number, file.fleet.gateways),
        n => (in_own_zone(own_number), in_own_zone(n)),
    };
    Some(Config {
        gateway_index: me,
        gateways,
        zones: file.zones.len(),
        tiers: tiers.collect(),
        limits: limits.collect(),
        overprovision: policy.overprovision,
        hold: policy.hold_ms * MS,
        max_hold: policy.hold_most_ms * MS,
        flap_decay: policy.calm_ms * MS,
        ramp: policy.ramp_ms * MS,
        check_every: policy.check_every_ms * MS,
        failures_to_dark: policy.enter,
        checks_to_leave_dark: policy.leave,
        slow_start: (file.rules.slow_start_ms * MS, file.rules.slow_start_share),
    })
}

impl ZoneGate {
    /// Creates the gate for these settings, with no servers yet.
    pub fn new(loaded: &Loaded, now: Micros) -> ZoneGate {
        ZoneGate {
            zones: config(loaded).map(|config| Zones::new(config, now)),
            server_zones: BTreeMap::new(),
        }
    }

    /// Replaces the list of servers.
    pub fn replace_servers(&mut self, now: Micros, entries: &[frostgauge::ServerEntry]) {
        self.server_zones = entries.iter().map(|e| (e.server, e.zone)).collect();
        let Some(zones) = &mut self.zones else { return };
        let ready = |e: &frostgauge::ServerEntry| e.state == frostgauge::ServerState::Ready;
        let nodes: Vec<Node> = entries
            .iter()
            .map(|e| Node { id: e.server.0, zone: e.zone, ready: ready(e), started: e.ready_at })
            .collect();
        zones.set_nodes(now, &nodes);
    }

    /// Records the end of an attempt or of a health check, `elapsed` µs after it was sent.
    pub fn record_end(
        &mut self,
        now: Micros,
        server: ServerId,
        status: Status,
        elapsed: Micros,
        load: Option<Load>,
    ) {
        let (Some(zones), Some(zone)) = (&mut self.zones, self.server_zones.get(&server)) else { return };
        let end = match status {
            Status::Ok | Status::Error | Status::Rejected => AttemptOutcome::Answered,
            Status::ConnectFailed | Status::WriteFailed | Status::Reset | Status::Timeout => {
                AttemptOutcome::Failed
            }
            Status::Cancelled | Status::NotSent => AttemptOutcome::Inconclusive,
        };
        zones.record_outcome(now, *zone, server.0, now.saturating_sub(elapsed), end);
        if let (Status::Ok, Some(load)) = (status, load) {
            if let (Some(inflight), Some(utilization)) = (load.inflight, load.util) {
                zones.record_load_report(*zone, inflight, utilization, elapsed as f64 / 1e6);
            }
        }
    }
}
