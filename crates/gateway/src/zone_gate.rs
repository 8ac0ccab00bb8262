//! Between the library's question before each attempt and the decisions about zones.

use crate::clock::Micros;
use frostgauge::{Gate, Load, PendingAttempt, RequestId, ServerId, Status};
use frostgauge_settings::Loaded;
use frostgauge_zones::{AttemptInfo, AttemptOutcome, Config, Node, SpillLimit, Zones};
use std::collections::BTreeMap;

const MS: Micros = 1_000;

/// The decisions about zones with the zones of nodes; none where the settings have no `zone_policy`.
#[derive(Debug, Default)]
pub struct ZoneGate {
    /// The decisions.
    pub zones: Option<Zones>,
    places: BTreeMap<ServerId, u32>,
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

/// What `zones` goes by, from the settings.
fn config(loaded: &Loaded) -> Option<Config> {
    let (file, policy) = (&loaded.file, loaded.file.zone_policy.as_ref()?);
    let (me, here) = (file.gateway.number, &file.gateway.zone);
    let place = |zone: &String| file.zones.iter().position(|z| z == zone).map(|k| k as u32);
    let tiers = policy.tiers.get(here)?.iter().map(|t| t.iter().filter_map(place).collect());
    let limits = policy.limits.get(here);
    let limits = file
        .zones
        .iter()
        .map(|zone| limits.and_then(|l| l.get(zone)).map(|l| SpillLimit { rate: l.rate, share: l.share }));
    // A limit is for the gateways of this zone: its turns are shared among them, where they are known.
    let mates = |n: usize| file.fleet.zones.iter().take(n).filter(|z| *z == here).count();
    let (me, gateways) = match file.fleet.zones.len() {
        0 => (me, file.fleet.gateways),
        n => (mates(me), mates(n)),
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
    /// For these settings.
    pub fn new(loaded: &Loaded, now: Micros) -> ZoneGate {
        ZoneGate { zones: config(loaded).map(|c| Zones::new(c, now)), places: BTreeMap::new() }
    }

    /// Takes the whole list.
    pub fn list(&mut self, now: Micros, entries: &[frostgauge::ServerEntry]) {
        self.places = entries.iter().map(|e| (e.server, e.zone)).collect();
        let Some(zones) = &mut self.zones else { return };
        let ready = |e: &frostgauge::ServerEntry| e.state == frostgauge::ServerState::Ready;
        let nodes: Vec<Node> = entries
            .iter()
            .map(|e| Node { id: e.server.0, zone: e.zone, ready: ready(e), started: e.ready_at })
            .collect();
        zones.set_nodes(now, &nodes);
    }

    /// An attempt or a check ended.
    pub fn ended(&mut self, now: Micros, server: ServerId, status: Status, took: Micros, load: Option<Load>) {
        let (Some(zones), Some(zone)) = (&mut self.zones, self.places.get(&server)) else { return };
        let end = match status {
            Status::Ok | Status::Error | Status::Rejected => AttemptOutcome::Answered,
            Status::ConnectFailed | Status::WriteFailed | Status::Reset | Status::Timeout => {
                AttemptOutcome::Failed
            }
            Status::Cancelled | Status::NotSent => AttemptOutcome::Inconclusive,
        };
        zones.record_outcome(now, *zone, server.0, now.saturating_sub(took), end);
        if let (Status::Ok, Some(load)) = (status, load) {
            if let (Some(held), Some(busy)) = (load.inflight, load.util) {
                zones.record_load_report(*zone, held, busy, took as f64 / 1e6);
            }
        }
    }
}
