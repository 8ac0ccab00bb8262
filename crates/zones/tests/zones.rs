//! Zones lost, back, flapping and short, without sockets.

use frostgauge_zones::*;
use proptest::prelude::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const T: Micros = 1_800_000_000 * S;

fn config(me: usize, gateways: usize) -> Config {
    Config {
        gateway_index: me,
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
    let of =
        |zone: u32| (0..4).map(move |k| Node { id: u64::from(zone * 10 + k), zone, ready: true, started: 0 });
    zones.iter().flat_map(|z| of(*z)).collect()
}

struct Host {
    zones: Zones,
    now: Micros,
    /// Zones whose nodes answer nothing.
    down: Vec<u32>,
    sent: Vec<(Micros, u32)>,
}

const READ: AttemptInfo = AttemptInfo { idempotent: true, priority_weight: 2.0 };
const REPORT: AttemptInfo = AttemptInfo { idempotent: false, priority_weight: 6.0 };

impl Host {
    fn new() -> Host {
        let mut zones = Zones::new(config(0, 1), T);
        zones.set_nodes(T, &nodes(&[0, 1, 2]));
        Host { zones, now: T, down: vec![], sent: vec![] }
    }

    /// One attempt, and its outcome at once; the zone it went to.
    fn attempt(&mut self, attempt: AttemptInfo) -> Option<u32> {
        let bits = self.zones.open_zones(self.now, attempt);
        let zone = (0..3).find(|z| bits >> z & 1 == 1)?;
        self.zones.record_send(self.now, zone);
        self.sent.push((self.now, zone));
        let end = if self.down.contains(&zone) { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let node = u64::from(zone * 10) + self.sent.len() as u64 % 4;
        self.zones.record_outcome(self.now, zone, node, self.now, end);
        Some(zone)
    }

    /// Time passes with so many attempts a second, checks and outcomes; counts of attempts by zone.
    fn run(&mut self, span: Micros, per_s: u64, attempt: AttemptInfo) -> [u64; 4] {
        let (mut counts, end) = ([0; 4], self.now + span);
        let mut due = self.now + S / per_s.max(1);
        while self.now < end {
            self.now += 10 * MS;
            self.zones.advance(self.now);
            for node in self.zones.due_checks(self.now) {
                let zone = (node / 10) as u32;
                let end =
                    if self.down.contains(&zone) { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
                self.zones.record_outcome(self.now, zone, node, self.now, end);
            }
            while per_s > 0 && due <= self.now {
                due += S / per_s;
                counts[self.attempt(attempt).map_or(3, |z| z as usize)] += 1;
            }
        }
        counts
    }

    fn phase(&self, zone: u32) -> Phase {
        self.zones.status(self.now, zone).expect("a zone").phase
    }
}

#[test]
fn the_settings_say_how_many_signs_enter_and_leave_the_dark() {
    for (enter, leave) in [(1, 1), (5, 4)] {
        let mut zones =
            Zones::new(Config { failures_to_dark: enter, checks_to_leave_dark: leave, ..config(0, 1) }, T);
        zones.set_nodes(T, &nodes(&[0, 1, 2]));
        let phase = |z: &Zones| z.status(T, 0).expect("a zone").phase;
        for k in 0..u64::from(enter) + 1 {
            // One sign is at one node; the rule asks for two. One node of four stays out of it: all dead would do.
            assert_eq!(phase(&zones) == Phase::Dark, k >= u64::from(enter.max(2)), "{k} of {enter}");
            zones.record_outcome(T + k, 0, k % 3, T + k, AttemptOutcome::Failed);
        }
        assert_eq!(phase(&zones), Phase::Dark);
        for k in 0..u64::from(leave) {
            assert_eq!(phase(&zones), Phase::Dark, "{k} of {leave}");
            zones.record_outcome(T + 100 + k, 0, k % 4, T + 100 + k, AttemptOutcome::Answered);
        }
        assert_eq!(phase(&zones), Phase::Held);
    }
}

#[test]
fn all_goes_home_while_all_is_well() {
    assert_eq!(Host::new().run(10 * S, 100, READ), [1000, 0, 0, 0]);
}

#[test]
fn a_dark_zone_spills_within_the_limit_and_the_rest_is_refused() {
    let mut host = Host::new();
    host.down = vec![0];
    let [home, first, second, refused] = host.run(20 * S, 200, READ);
    assert!(home <= 4, "{home}: seen within a few attempts");
    assert_eq!(host.phase(0), Phase::Dark);
    // Each of two zones takes nearly its fifty a second, never more.
    assert!((700..=1000).contains(&first) && (700..=1000).contains(&second), "{first} {second}");
    assert!(refused > 1500);
    for (zone, (at, _)) in host.sent.iter().filter(|s| s.1 > 0).map(|s| (s.1, *s)) {
        let window = host.sent.iter().filter(|s| s.1 == zone && (at..at + S).contains(&s.0)).count();
        assert!(window <= 50, "{window} in a second");
    }
}

#[test]
fn a_target_whose_capacity_halves_is_sent_half_as_much_once_its_reports_show_it() {
    let mut host = Host::new();
    host.down = vec![0, 2];
    // Four nodes that do twenty a second each: a quarter of that is twenty.
    let mut config = config(0, 1);
    config.limits[1] = Some(SpillLimit { rate: 50.0, share: 0.25 });
    host.zones = Zones::new(config, T);
    host.zones.set_nodes(T, &nodes(&[0, 1, 2]));
    let spilled = |host: &mut Host, per_node: f64| {
        for _ in 0..200 {
            host.zones.record_load_report(1, 2.0, 0.5, 2.0 / (0.5 * per_node));
        }
        host.run(10 * S, 200, READ)[1]
    };
    let (whole, half) = (spilled(&mut host, 20.0), spilled(&mut host, 10.0));
    assert!((150..=210).contains(&whole) && (75..=110).contains(&half), "{whole} {half}");
}

#[test]
fn two_zones_lost_at_once_leave_the_third_its_limit() {
    let mut host = Host::new();
    host.down = vec![0, 1];
    let [_, first, second, refused] = host.run(20 * S, 200, READ);
    assert!(first <= 10 && (700..=1000).contains(&second) && refused > 2500, "{first} {second} {refused}");
    host.down.clear();
    host.run(20 * S, 200, READ);
    assert_eq!(host.run(S, 100, READ), [100, 0, 0, 0]);
}

#[test]
fn when_spill_is_short_the_dearest_have_it() {
    let mut host = Host::new();
    host.down = vec![0, 2];
    host.run(2 * S, 50, READ);
    let (mut cheap, mut dear) = (0, 0);
    for k in 0..3000 {
        host.now += 10 * MS;
        let zone = host.attempt(if k % 2 == 0 { READ } else { REPORT });
        let counted = if k % 2 == 0 { &mut cheap } else { &mut dear };
        *counted += u64::from(zone == Some(1));
    }
    // Fifty reports and fifty reads a second ask for some forty places.
    assert!(dear > 1000 && cheap < dear / 10, "{dear} {cheap}");
}

#[test]
fn half_of_a_zone_gone_is_not_a_zone_gone() {
    let mut host = Host::new();
    // Twenty attempts out at two nodes come back dead at one stroke, all sent before.
    for k in 0..20 {
        host.zones.record_outcome(host.now, 0, k % 2, host.now - 100 * MS, AttemptOutcome::Failed);
    }
    assert_eq!(host.phase(0), Phase::Home);
    // Health 0.5 times 1.4 covers 0.7 of the requests; the others go on.
    let mut counts = [0; 3];
    for _ in 0..1000 {
        host.now += 50 * MS;
        let bits = host.zones.open_zones(host.now, READ);
        let zone = (0..3).find(|z| bits >> z & 1 == 1).expect("a zone");
        host.zones.record_send(host.now, zone);
        counts[zone as usize] += 1;
    }
    assert!((680..=720).contains(&counts[0]) && counts[1] > 250, "{counts:?}");
}

#[test]
fn a_gateway_that_is_cut_off_from_everyone_trusts_no_verdict() {
    let mut host = Host::new();
    host.down = vec![0, 1, 2];
    host.run(20 * S, 100, READ);
    let counts = host.run(S, 100, READ);
    assert_eq!(counts, [100, 0, 0, 0], "home, as if nothing were known");
    host.down.clear();
    assert!(host.run(S, 100, READ)[0] > 0);
}

#[test]
fn a_zone_comes_back_by_checks_a_hold_and_a_ramp_that_begins_with_safe_requests() {
    let mut host = Host::new();
    host.down = vec![0];
    host.run(5 * S, 100, READ);
    host.down.clear();
    host.run(S, 0, READ);
    assert_eq!(host.phase(0), Phase::Held);
    assert_eq!(host.run(S, 100, READ)[0], 0, "nothing during the hold");
    host.run(1_500 * MS, 0, READ);
    assert_eq!(host.phase(0), Phase::Ramp);
    assert_eq!(host.run(S, 100, REPORT)[0], 0, "safe ones first");
    let early = host.run(S, 100, READ)[0];
    assert!((5..=35).contains(&early), "{early}");
    host.run(4 * S, 100, READ);
    let late = host.run(S, 100, REPORT)[0];
    assert!((60..=95).contains(&late), "{late}");
    host.run(4 * S, 0, READ);
    assert_eq!(host.phase(0), Phase::Home);
    assert_eq!(host.run(S, 100, REPORT), [100, 0, 0, 0]);
}

#[test]
fn a_flap_doubles_the_hold_and_calm_forgets_it() {
    let mut host = Host::new();
    let mut held = vec![];
    for _ in 0..4 {
        host.down = vec![0];
        host.run(2 * S, 100, READ);
        assert_eq!(host.phase(0), Phase::Dark);
        host.down.clear();
        let began = host.now;
        while host.phase(0) != Phase::Ramp {
            host.run(100 * MS, 0, READ);
        }
        held.push((host.now - began) / S);
        // It is lost again before the ramp is done.
        host.run(3 * S, 100, READ);
    }
    assert!(held[1] >= 2 * held[0] - 1 && held[3] >= 8 * held[0] - 4, "{held:?}");
    host.run(120 * S, 10, READ);
    assert_eq!(host.phase(0), Phase::Home);
}

#[test]
fn a_list_without_the_zone_is_heeded_at_once_and_one_that_calls_it_ready_is_not_believed() {
    let mut host = Host::new();
    host.zones.set_nodes(host.now, &nodes(&[1, 2]));
    assert_eq!(host.phase(0), Phase::Dark);
    assert_eq!(host.run(S, 10, READ)[0], 0);
    // It is listed again, and still dark: checks fail.
    host.down = vec![0];
    host.zones.set_nodes(host.now, &nodes(&[0, 1, 2]));
    assert_eq!(host.run(10 * S, 10, READ)[0], 0);
    host.down.clear();
    host.run(20 * S, 10, READ);
    assert_eq!(host.phase(0), Phase::Home);
    // Back under new ids: the old ones' failures are not theirs.
    host.zones.set_nodes(host.now, &nodes(&[1, 2]));
    let mut fresh = nodes(&[1, 2]);
    fresh.extend((100..104).map(|id| Node { id, zone: 0, ready: true, started: host.now }));
    host.zones.set_nodes(host.now, &fresh);
    assert_eq!(host.zones.due_checks(host.now + S).len(), 3);
}

#[test]
fn a_zone_dark_for_long_while_the_list_has_it_is_told_as_a_cut_path() {
    let mut host = Host::new();
    host.down = vec![0];
    host.run(2 * S, 20, READ);
    assert_eq!(host.zones.take_changes().len(), 1);
    host.run(20 * S, 20, READ);
    let changes = host.zones.take_changes();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].phase == Phase::Dark && changes[0].reason.contains("path"));
    // One that the list has not got is simply gone.
    host.zones.set_nodes(host.now, &nodes(&[0, 1]));
    host.run(20 * S, 20, READ);
    assert!(host.zones.take_changes().iter().all(|c| c.zone != 2 || !c.reason.contains("path")));
}

#[test]
fn the_last_node_of_a_zone_draining_and_a_zone_of_one_node() {
    let mut host = Host::new();
    let mut list = nodes(&[0, 1, 2]);
    list.iter_mut().filter(|n| n.zone == 0).for_each(|n| n.ready = n.id == 0);
    host.zones.set_nodes(host.now, &list);
    list[0].ready = false;
    host.zones.set_nodes(host.now, &list);
    assert_eq!(host.run(S, 10, READ)[0], 0);
    let one =
        [Node { id: 0, zone: 0, ready: true, started: 0 }, Node { id: 10, zone: 1, ready: true, started: 0 }];
    let mut zones = Zones::new(config(0, 1), T);
    zones.set_nodes(T, &one);
    zones.record_outcome(T + S, 0, 0, T, AttemptOutcome::Failed);
    assert_eq!(zones.status(T + S, 0).expect("a zone").phase, Phase::Home);
    zones.record_outcome(T + 2 * S, 0, 0, T + S, AttemptOutcome::Failed);
    assert_eq!(zones.status(T + 2 * S, 0).expect("a zone").phase, Phase::Dark);
}

#[test]
fn staff_take_a_zone_out_and_give_it_back_through_the_ramp() {
    let mut host = Host::new();
    host.zones.drain(host.now, 0, true);
    assert_eq!(host.run(5 * S, 20, READ)[0], 0);
    assert_eq!(host.phase(0), Phase::Dark);
    host.zones.drain(host.now, 0, false);
    let early = host.run(S, 100, READ)[0];
    assert!(early < 25, "{early}");
    host.run(12 * S, 10, READ);
    assert_eq!(host.phase(0), Phase::Home);
}

/// Every order of six events out of seven kinds: a zone takes nothing while dark or held, and whatever went
/// before, all well for long enough brings it home.
#[test]
fn a_bounded_search_finds_no_way_to_stay_away_from_home() {
    #[derive(Clone, Copy, Debug)]
    enum Do {
        Good,
        Dead,
        Burst,
        Gone,
        Back,
        Wait(Micros),
    }
    let alphabet = [Do::Good, Do::Dead, Do::Burst, Do::Gone, Do::Back, Do::Wait(S), Do::Wait(6 * S)];
    let mut seen = std::collections::BTreeSet::new();
    for code in 0..7u64.pow(6) {
        let mut host = Host::new();
        host.zones.record_outcome(T, 1, 10, T, AttemptOutcome::Answered);
        let (mut left, mut listed) = (code, true);
        for step in 0..6 {
            match alphabet[(left % 7) as usize] {
                Do::Good => {
                    host.zones.record_outcome(host.now, 0, step % 4, host.now, AttemptOutcome::Answered)
                }
                Do::Dead => {
                    host.zones.record_outcome(host.now, 0, step % 4, host.now, AttemptOutcome::Failed)
                }
                Do::Burst => (0..4).for_each(|k| {
                    host.zones.record_outcome(host.now, 0, k, host.now, AttemptOutcome::Failed)
                }),
                Do::Gone => {
                    listed = false;
                    host.zones.set_nodes(host.now, &nodes(&[1, 2]));
                }
                Do::Back => {
                    listed = true;
                    host.zones.set_nodes(host.now, &nodes(&[0, 1, 2]));
                }
                Do::Wait(span) => {
                    host.now += span;
                    host.zones.advance(host.now);
                }
            }
            left /= 7;
            let open = host.zones.open_zones(host.now, READ) & 1 == 1;
            let phase = host.phase(0);
            assert!(!open || matches!(phase, Phase::Home | Phase::Ramp), "open while {phase:?}: {code}");
            assert!(!open || listed, "open without a node: {code}");
            seen.insert(format!("{phase:?}"));
        }
        // The end of each fifth order, to keep the search short.
        if code % 5 == 0 {
            host.zones.set_nodes(host.now, &nodes(&[0, 1, 2]));
            for _ in 0..400 {
                host.now += 500 * MS;
                host.zones.advance(host.now);
                for node in host.zones.due_checks(host.now) {
                    host.zones.record_outcome(
                        host.now,
                        (node / 10) as u32,
                        node,
                        host.now,
                        AttemptOutcome::Answered,
                    );
                }
            }
            assert_eq!(host.phase(0), Phase::Home, "stuck: {code}");
        }
    }
    assert_eq!(seen.len(), 4, "every phase was met: {seen:?}");
}

proptest! {
    /// Whatever each gateway asks for, however many they are, wherever their clocks' starts lie, and whichever
    /// start again in the middle: together they never pass the limit in any second.
    #[test]
    fn the_sum_of_all_parts_stays_under_the_limit(
        gateways in 1usize..400,
        rate in 2u32..300,
        greed in prop::collection::vec((0usize..400, 0u64..3_000), 1..60),
        restarts in prop::collection::vec((0usize..400, 0u64..3_000), 0..20),
    ) {
        let mut all: Vec<Spill> = (0..gateways).map(|k| Spill::new(f64::from(rate), k, gateways, T)).collect();
        let mut sends: Vec<u64> = vec![];
        for ms in 0..3_000 {
            let now = T + 5 * S + ms * MS;
            for (k, _) in restarts.iter().filter(|r| r.1 == ms) {
                let k = k % gateways;
                all[k] = Spill::new(f64::from(rate), k, gateways, now);
            }
            // Some gateways take all they can at all times, and everyone at some moments.
            let rush = greed.iter().any(|g| g.1 == ms);
            let some = greed.iter().map(|g| g.0 % gateways).collect::<std::collections::BTreeSet<_>>();
            let takers: Vec<usize> = if rush { (0..gateways).collect() } else { some.into_iter().collect() };
            for k in takers {
                while all[k].available(now) > 0 {
                    all[k].use_turn(now);
                    sends.push(now);
                }
            }
        }
        for (k, first) in sends.iter().enumerate() {
            let window = sends[k..].iter().take_while(|t| **t < first + S).count();
            prop_assert!(window <= rate as usize, "{} in a second of {}", window, rate);
        }
    }
}
