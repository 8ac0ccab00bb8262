//! Time of the calls for one attempt: choosing the open zones, recording the send, recording the outcome.

use criterion::{criterion_group, criterion_main, Criterion};
use frostgauge_zones::{AttemptInfo, AttemptOutcome, Config, Node, SpillLimit, Zones};

const S: u64 = 1_000_000;
/// Start of the virtual time, microseconds.
const START: u64 = 1_800_000_000 * S;

fn zones(nodes: u64) -> Zones {
    let limit = Some(SpillLimit { rate: 200.0, share: 0.3 });
    let config = Config {
        gateway_index: 5,
        gateways: 400,
        zones: 3,
        tiers: vec![vec![0], vec![1, 2]],
        limits: vec![limit; 3],
        overprovision: 1.4,
        hold: 2 * S,
        max_hold: 60 * S,
        flap_decay: 30 * S,
        ramp: 10 * S,
        check_every: S / 2,
        failures_to_dark: 3,
        checks_to_leave_dark: 2,
        slow_start: (10 * S, 0.2),
    };
    let mut zones = Zones::new(config, START);
    let list: Vec<Node> =
        (0..nodes).map(|id| Node { id, zone: (id % 3) as u32, ready: true, started: 0 }).collect();
    zones.set_nodes(START, &list);
    zones
}

fn run_attempt(zones: &mut Zones, now: &mut u64, count: &mut u64) {
    *now += 5_000;
    *count += 1;
    let bits = zones.open_zones(
        *now,
        AttemptInfo { idempotent: (*count).is_multiple_of(2), priority_weight: (*count % 3) as f64 },
    );
    let zone = bits.trailing_zeros();
    if zone < 3 {
        zones.record_send(*now, zone);
        zones.record_outcome(
            *now,
            zone,
            u64::from(zone) + 3 * (*count % 20),
            *now - 1_000,
            AttemptOutcome::Answered,
        );
    }
}

fn open(c: &mut Criterion) {
    let mut group = c.benchmark_group("zones, 3 zones, 86 nodes");
    for (name, lost) in [("all at home", false), ("home lost", true)] {
        let (mut zones, mut now, mut k) = (zones(86), START + 10 * S, 0);
        if lost {
            zones.drain(now, 0, true);
        }
        group.bench_function(name, |b| b.iter(|| run_attempt(&mut zones, &mut now, &mut k)));
    }
    group.finish();
}

/// Resident bytes of this process.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(f64::NAN) * 1024.0
}

/// Memory of one [`Zones`], from the growth of this process while it creates 2,000 of them.
fn memory(_: &mut Criterion) {
    let mut kept = vec![];
    for nodes in [9, 86, 400] {
        let before = resident();
        let all: Vec<Zones> = (0..2_000).map(|_| zones(nodes)).collect();
        let each = (resident() - before) / all.len() as f64;
        println!("zones, 3 zones, {nodes} nodes: {:.0} bytes a gateway, {:.0} a zone", each, each / 3.0);
        // Freed memory would be reused, and the next size would look smaller.
        kept.push(all);
    }
}

criterion_group!(benches, open, memory);
criterion_main!(benches);
