//! Loss, recovery and flapping of zones and shortage of spill, in virtual time and without sockets.

use frostgauge_zones::*;
use proptest::prelude::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Start of the virtual time.
const START: Micros = 1_800_000_000 * S;

fn config(gateway_index: usize, gateways: usize) -> Config {
    Config {
        gateway_index,
        gateways,
        zones: 3,
        tiers: vec![vec![0], vec![1], vec![2]],
        limits: vec![Some(SpillLimit { rate: 50.0, share: 1.0 }); 3],
        overprovision: 1.4,
        hold: 2 * S,
        max_hold: 60 * S,
        flap_decay: 30 * S,
        ramp: 10 * S,
        check_every: 500 * MS,
        failures_to_dark: 3,
        checks_to_leave_dark: 2,
        slow_start: (10 * S, 0.2),
    }
}

/// Nodes 0 to 3 in zone 0, 10 to 13 in zone 1, 20 to 23 in zone 2.
fn nodes(zones: &[u32]) -> Vec<Node> {
    let zone_nodes =
        |zone: u32| (0..4).map(move |k| Node { id: u64::from(zone * 10 + k), zone, ready: true, started: 0 });
    zones.iter().flat_map(|z| zone_nodes(*z)).collect()
}

/// One gateway in virtual time that gets each outcome at once.
struct Simulation {
    zones: Zones,
    now: Micros,
    /// Zones with all nodes unreachable: each attempt and check there fails.
    unreachable: Vec<u32>,
    /// Time and zone of each attempt sent.
    sent: Vec<(Micros, u32)>,
}

/// Idempotent request with the lower weight.
const READ: AttemptInfo = AttemptInfo { idempotent: true, priority_weight: 2.0 };
/// Request that is not idempotent, with the higher weight.
const REPORT: AttemptInfo = AttemptInfo { idempotent: false, priority_weight: 6.0 };

impl Simulation {
    fn new() -> Simulation {
        let mut zones = Zones::new(config(0, 1), START);
        zones.set_nodes(START, &nodes(&[0, 1, 2]));
        Simulation { zones, now: START, unreachable: vec![], sent: vec![] }
    }

    /// Sends one attempt and records its outcome at once; returns its zone, or `None` if it was refused.
    fn attempt(&mut self, attempt: AttemptInfo) -> Option<u32> {
        let bits = self.zones.open_zones(self.now, attempt);
        let zone = (0..3).find(|z| bits >> z & 1 == 1)?;
        self.zones.record_send(self.now, zone);
        self.sent.push((self.now, zone));
        let outcome =
            if self.unreachable.contains(&zone) { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let node = u64::from(zone * 10) + self.sent.len() as u64 % 4;
        self.zones.record_outcome(self.now, zone, node, self.now, outcome);
        Some(zone)
    }

    /// Advances the time by `duration` with `per_s` attempts a second and all due checks. Returns the number of attempts
    /// by zone, and at index 3 the refused ones.
    fn run(&mut self, duration: Micros, per_s: u64, attempt: AttemptInfo) -> [u64; 4] {
        let (mut counts, end) = ([0; 4], self.now + duration);
        let mut due = self.now + S / per_s.max(1);
        while self.now < end {
            self.now += 10 * MS;
            self.zones.advance(self.now);
            for node in self.zones.due_checks(self.now) {
                let zone = (node / 10) as u32;
                let outcome = if self.unreachable.contains(&zone) {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Answered
                };
                self.zones.record_outcome(self.now, zone, node, self.now, outcome);
            }
            while per_s > 0 && due <= self.now {
                due += S / per_s;
                counts[self.attempt(attempt).map_or(3, |z| z as usize)] += 1;
            }
        }
        counts
    }

    fn phase(&self, zone: u32) -> Phase {
        self.zones.status(self.now, zone).expect("zone exists").phase
    }
}

#[test]
fn failures_and_checks_to_dark_follow_the_settings() {
    for (enter, leave) in [(1, 1), (5, 4)] {
        let mut zones = Zones::new(
            Config { failures_to_dark: enter, checks_to_leave_dark: leave, ..config(0, 1) },
            START,
        );
        zones.set_nodes(START, &nodes(&[0, 1, 2]));
        let phase = |z: &Zones| z.status(START, 0).expect("zone exists").phase;
        for k in 0..u64::from(enter) + 1 {
            // One failure is at one node, and two nodes are required. The fourth node never fails, since fewer failures are
            // enough once all nodes have failed.
            assert_eq!(
                phase(&zones) == Phase::Dark,
                k >= u64::from(enter.max(2)),
                "phase after {k} failures with a threshold of {enter}"
            );
            zones.record_outcome(START + k, 0, k % 3, START + k, AttemptOutcome::Failed);
        }
        assert_eq!(phase(&zones), Phase::Dark);
        for k in 0..u64::from(leave) {
            assert_eq!(phase(&zones), Phase::Dark, "phase after {k} answers with a threshold of {leave}");
            zones.record_outcome(START + 100 + k, 0, k % 4, START + 100 + k, AttemptOutcome::Answered);
        }
        assert_eq!(phase(&zones), Phase::Held);
    }
}

#[test]
fn first_tier_gets_all_requests_while_healthy() {
    assert_eq!(Simulation::new().run(10 * S, 100, READ), [1000, 0, 0, 0]);
}

#[test]
fn spill_keeps_to_the_limit_and_the_rest_is_refused() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0];
    let [zone0, zone1, zone2, refused] = sim.run(20 * S, 200, READ);
    assert!(zone0 <= 4, "{zone0} attempts to the lost zone, expected at most 4");
    assert_eq!(sim.phase(0), Phase::Dark);
    // Each of the two zones gets nearly its limit of 50 a second, and never more.
    assert!(
        (700..=1000).contains(&zone1) && (700..=1000).contains(&zone2),
        "zone 1: {zone1}, zone 2: {zone2}"
    );
    assert!(refused > 1500);
    for (zone, (at, _)) in sim.sent.iter().filter(|s| s.1 > 0).map(|s| (s.1, *s)) {
        let window = sim.sent.iter().filter(|s| s.1 == zone && (at..at + S).contains(&s.0)).count();
        assert!(window <= 50, "{window} attempts in one second, limit 50");
    }
}

#[test]
fn half_the_reported_capacity_halves_the_spill() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0, 2];
    // Four nodes with a capacity of 20 a second each: the limit of a quarter is 20 a second.
    let mut config = config(0, 1);
    config.limits[1] = Some(SpillLimit { rate: 50.0, share: 0.25 });
    sim.zones = Zones::new(config, START);
    sim.zones.set_nodes(START, &nodes(&[0, 1, 2]));
    let spilled = |sim: &mut Simulation, per_node: f64| {
        for _ in 0..200 {
            sim.zones.record_load_report(1, 2.0, 0.5, 2.0 / (0.5 * per_node));
        }
        sim.run(10 * S, 200, READ)[1]
    };
    let (whole, half) = (spilled(&mut sim, 20.0), spilled(&mut sim, 10.0));
    assert!(
        (150..=210).contains(&whole) && (75..=110).contains(&half),
        "full capacity: {whole}, half: {half}"
    );
}

#[test]
fn third_zone_keeps_its_limit_when_two_are_lost() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0, 1];
    let [_, zone1, zone2, refused] = sim.run(20 * S, 200, READ);
    assert!(
        zone1 <= 10 && (700..=1000).contains(&zone2) && refused > 2500,
        "zone 1: {zone1}, zone 2: {zone2}, refused: {refused}"
    );
    sim.unreachable.clear();
    sim.run(20 * S, 200, READ);
    assert_eq!(sim.run(S, 100, READ), [100, 0, 0, 0]);
}

#[test]
fn short_spill_goes_to_the_highest_priority_weight() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0, 2];
    sim.run(2 * S, 50, READ);
    let (mut reads, mut reports) = (0, 0);
    for k in 0..3000 {
        sim.now += 10 * MS;
        let zone = sim.attempt(if k % 2 == 0 { READ } else { REPORT });
        let counted = if k % 2 == 0 { &mut reads } else { &mut reports };
        *counted += u64::from(zone == Some(1));
    }
    // 50 reports and 50 reads a second compete for spill of about 40 a second.
    assert!(reports > 1000 && reads < reports / 10, "reports: {reports}, reads: {reads}");
}

#[test]
fn zone_with_half_of_its_nodes_lost_stays_in_use() {
    let mut sim = Simulation::new();
    // Twenty attempts in flight at two nodes fail at the same moment; all were sent before the first failure.
    for k in 0..20 {
        sim.zones.record_outcome(sim.now, 0, k % 2, sim.now - 100 * MS, AttemptOutcome::Failed);
    }
    assert_eq!(sim.phase(0), Phase::Home);
    // A healthy share of 0.5 times the overprovision of 1.4 covers 0.7 of the requests; the others are spilled.
    let mut counts = [0; 3];
    for _ in 0..1000 {
        sim.now += 50 * MS;
        let bits = sim.zones.open_zones(sim.now, READ);
        let zone = (0..3).find(|z| bits >> z & 1 == 1).expect("a zone is open");
        sim.zones.record_send(sim.now, zone);
        counts[zone as usize] += 1;
    }
    assert!((680..=720).contains(&counts[0]) && counts[1] > 250, "{counts:?}");
}

#[test]
fn cut_off_gateway_ignores_the_phases_of_zones() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0, 1, 2];
    sim.run(20 * S, 100, READ);
    let counts = sim.run(S, 100, READ);
    assert_eq!(counts, [100, 0, 0, 0], "all attempts go to the first tier, as without any failure");
    sim.unreachable.clear();
    assert!(sim.run(S, 100, READ)[0] > 0);
}

#[test]
fn recovery_has_checks_a_hold_and_an_idempotent_ramp() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0];
    sim.run(5 * S, 100, READ);
    sim.unreachable.clear();
    sim.run(S, 0, READ);
    assert_eq!(sim.phase(0), Phase::Held);
    assert_eq!(sim.run(S, 100, READ)[0], 0, "no attempts to a held zone");
    sim.run(1_500 * MS, 0, READ);
    assert_eq!(sim.phase(0), Phase::Ramp);
    assert_eq!(sim.run(S, 100, REPORT)[0], 0, "no attempts that are not idempotent at the start of the ramp");
    let early = sim.run(S, 100, READ)[0];
    assert!((5..=35).contains(&early), "{early} attempts early in the ramp");
    sim.run(4 * S, 100, READ);
    let late = sim.run(S, 100, REPORT)[0];
    assert!((60..=95).contains(&late), "{late} attempts late in the ramp");
    sim.run(4 * S, 0, READ);
    assert_eq!(sim.phase(0), Phase::Home);
    assert_eq!(sim.run(S, 100, REPORT), [100, 0, 0, 0]);
}

#[test]
fn each_flap_doubles_the_hold_until_flaps_decay() {
    let mut sim = Simulation::new();
    let mut holds_s = vec![];
    for _ in 0..4 {
        sim.unreachable = vec![0];
        sim.run(2 * S, 100, READ);
        assert_eq!(sim.phase(0), Phase::Dark);
        sim.unreachable.clear();
        let recovery_start = sim.now;
        while sim.phase(0) != Phase::Ramp {
            sim.run(100 * MS, 0, READ);
        }
        holds_s.push((sim.now - recovery_start) / S);
        // The next round makes it unreachable again before the ramp ends.
        sim.run(3 * S, 100, READ);
    }
    assert!(holds_s[1] >= 2 * holds_s[0] - 1 && holds_s[3] >= 8 * holds_s[0] - 4, "{holds_s:?}");
    sim.run(120 * S, 10, READ);
    assert_eq!(sim.phase(0), Phase::Home);
}

#[test]
fn unlisted_zone_is_dark_at_once_and_relisting_is_checked() {
    let mut sim = Simulation::new();
    sim.zones.set_nodes(sim.now, &nodes(&[1, 2]));
    assert_eq!(sim.phase(0), Phase::Dark);
    assert_eq!(sim.run(S, 10, READ)[0], 0);
    // It is listed again, but stays dark because the checks fail.
    sim.unreachable = vec![0];
    sim.zones.set_nodes(sim.now, &nodes(&[0, 1, 2]));
    assert_eq!(sim.run(10 * S, 10, READ)[0], 0);
    sim.unreachable.clear();
    sim.run(20 * S, 10, READ);
    assert_eq!(sim.phase(0), Phase::Home);
    // Listed again with new node ids: failures of the old nodes do not count, and three nodes are checked.
    sim.zones.set_nodes(sim.now, &nodes(&[1, 2]));
    let mut relisted = nodes(&[1, 2]);
    relisted.extend((100..104).map(|id| Node { id, zone: 0, ready: true, started: sim.now }));
    sim.zones.set_nodes(sim.now, &relisted);
    assert_eq!(sim.zones.due_checks(sim.now + S).len(), 3);
}

#[test]
fn long_dark_listed_zone_is_reported_as_a_cut_path() {
    let mut sim = Simulation::new();
    sim.unreachable = vec![0];
    sim.run(2 * S, 20, READ);
    assert_eq!(sim.zones.take_changes().len(), 1);
    sim.run(20 * S, 20, READ);
    let changes = sim.zones.take_changes();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].phase == Phase::Dark && changes[0].reason.contains("path"));
    // A zone without listed nodes is not reported as a cut path.
    sim.zones.set_nodes(sim.now, &nodes(&[0, 1]));
    sim.run(20 * S, 20, READ);
    assert!(sim.zones.take_changes().iter().all(|c| c.zone != 2 || !c.reason.contains("path")));
}

#[test]
fn zone_without_ready_or_with_one_failing_node_is_dark() {
    let mut sim = Simulation::new();
    let mut list = nodes(&[0, 1, 2]);
    list.iter_mut().filter(|n| n.zone == 0).for_each(|n| n.ready = n.id == 0);
    sim.zones.set_nodes(sim.now, &list);
    list[0].ready = false;
    sim.zones.set_nodes(sim.now, &list);
    assert_eq!(sim.run(S, 10, READ)[0], 0);
    let single_nodes =
        [Node { id: 0, zone: 0, ready: true, started: 0 }, Node { id: 10, zone: 1, ready: true, started: 0 }];
    let mut zones = Zones::new(config(0, 1), START);
    zones.set_nodes(START, &single_nodes);
    zones.record_outcome(START + S, 0, 0, START, AttemptOutcome::Failed);
    assert_eq!(zones.status(START + S, 0).expect("zone exists").phase, Phase::Home);
    zones.record_outcome(START + 2 * S, 0, 0, START + S, AttemptOutcome::Failed);
    assert_eq!(zones.status(START + 2 * S, 0).expect("zone exists").phase, Phase::Dark);
}

#[test]
fn drained_zone_gets_nothing_and_then_a_ramp() {
    let mut sim = Simulation::new();
    sim.zones.drain(sim.now, 0, true);
    assert_eq!(sim.run(5 * S, 20, READ)[0], 0);
    assert_eq!(sim.phase(0), Phase::Dark);
    sim.zones.drain(sim.now, 0, false);
    let early = sim.run(S, 100, READ)[0];
    assert!(early < 25, "{early} attempts early in the ramp");
    sim.run(12 * S, 10, READ);
    assert_eq!(sim.phase(0), Phase::Home);
}

/// Tries every sequence of six events out of seven kinds: the zone gets nothing while dark or held, and after any
/// sequence, a long enough time without failures brings it to [`Phase::Home`].
#[test]
fn every_event_sequence_leads_to_home_in_the_end() {
    #[derive(Clone, Copy, Debug)]
    enum Event {
        Answered,
        Failed,
        AllNodesFailed,
        Unlisted,
        Listed,
        Wait(Micros),
    }
    let events = [
        Event::Answered,
        Event::Failed,
        Event::AllNodesFailed,
        Event::Unlisted,
        Event::Listed,
        Event::Wait(S),
        Event::Wait(6 * S),
    ];
    let mut phases_seen = std::collections::BTreeSet::new();
    for code in 0..7u64.pow(6) {
        let mut sim = Simulation::new();
        sim.zones.record_outcome(START, 1, 10, START, AttemptOutcome::Answered);
        let (mut remaining_code, mut listed) = (code, true);
        for step in 0..6 {
            match events[(remaining_code % 7) as usize] {
                Event::Answered => {
                    sim.zones.record_outcome(sim.now, 0, step % 4, sim.now, AttemptOutcome::Answered)
                }
                Event::Failed => {
                    sim.zones.record_outcome(sim.now, 0, step % 4, sim.now, AttemptOutcome::Failed)
                }
                Event::AllNodesFailed => (0..4)
                    .for_each(|k| sim.zones.record_outcome(sim.now, 0, k, sim.now, AttemptOutcome::Failed)),
                Event::Unlisted => {
                    listed = false;
                    sim.zones.set_nodes(sim.now, &nodes(&[1, 2]));
                }
                Event::Listed => {
                    listed = true;
                    sim.zones.set_nodes(sim.now, &nodes(&[0, 1, 2]));
                }
                Event::Wait(span) => {
                    sim.now += span;
                    sim.zones.advance(sim.now);
                }
            }
            remaining_code /= 7;
            let open = sim.zones.open_zones(sim.now, READ) & 1 == 1;
            let phase = sim.phase(0);
            assert!(
                !open || matches!(phase, Phase::Home | Phase::Ramp),
                "zone 0 is open in phase {phase:?}, sequence {code}"
            );
            assert!(!open || listed, "zone 0 is open without listed nodes, sequence {code}");
            phases_seen.insert(format!("{phase:?}"));
        }
        // Only each fifth sequence is run until recovery, to keep the search short.
        if code % 5 == 0 {
            sim.zones.set_nodes(sim.now, &nodes(&[0, 1, 2]));
            for _ in 0..400 {
                sim.now += 500 * MS;
                sim.zones.advance(sim.now);
                for node in sim.zones.due_checks(sim.now) {
                    sim.zones.record_outcome(
                        sim.now,
                        (node / 10) as u32,
                        node,
                        sim.now,
                        AttemptOutcome::Answered,
                    );
                }
            }
            assert_eq!(sim.phase(0), Phase::Home, "zone 0 does not recover, sequence {code}");
        }
    }
    assert_eq!(phases_seen.len(), 4, "not every phase occurred: {phases_seen:?}");
}

proptest! {
    /// With any demand, any number of gateways and any restarts during the run, all gateways together never pass the
    /// limit in any second.
    #[test]
    fn all_gateways_together_keep_the_spill_limit(
        gateways in 1usize..400,
        rate in 2u32..300,
        heavy_use in prop::collection::vec((0usize..400, 0u64..3_000), 1..60),
        restarts in prop::collection::vec((0usize..400, 0u64..3_000), 0..20),
    ) {
        let mut spills: Vec<Spill> = (0..gateways).map(|k| Spill::new(f64::from(rate), k, gateways, START)).collect();
        let mut sends: Vec<u64> = vec![];
        for ms in 0..3_000 {
            let now = START + 5 * S + ms * MS;
            for (k, _) in restarts.iter().filter(|r| r.1 == ms) {
                let k = k % gateways;
                spills[k] = Spill::new(f64::from(rate), k, gateways, now);
            }
            // Some gateways use every turn at all times, and all gateways do at some moments.
            let all_send = heavy_use.iter().any(|g| g.1 == ms);
            let heavy_users = heavy_use.iter().map(|g| g.0 % gateways).collect::<std::collections::BTreeSet<_>>();
            let senders: Vec<usize> = if all_send { (0..gateways).collect() } else { heavy_users.into_iter().collect() };
            for k in senders {
                while spills[k].available(now) > 0 {
                    spills[k].use_turn(now);
                    sends.push(now);
                }
            }
        }
        for (k, first) in sends.iter().enumerate() {
            let window = sends[k..].iter().take_while(|t| **t < first + S).count();
            prop_assert!(window <= rate as usize, "{} attempts in one second, limit {}", window, rate);
        }
    }
}
