//! The hard ceiling: each gateway grants its even slice only, and a restart grants nothing anew.

mod common;
use common::*;
use frostgauge::*;

fn capped() -> Settings {
    let mut s = settings();
    s.plans[0] = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ceiling_rate: 10.0,
        ceiling_burst: 20.0,
        ceiling_slack: 2.0,
        ..plan()
    };
    s
}

fn grants(rig: &mut Rig, n: usize) -> usize {
    let mut went = 0;
    for _ in 0..n {
        let (id, actions) = rig.request(0, 5, S);
        if let Some(server) = sent(&actions) {
            went += 1;
            rig.outcome(id, 0, server, Status::Ok);
        }
    }
    went
}

#[test]
fn the_slice_starts_empty_at_launch() {
    let mut rig = Rig::new(capped(), &[entry(1, 0)]);
    assert_eq!(grants(&mut rig, 10), 0);
    rig.run_to(S + S);
    assert_eq!(grants(&mut rig, 10), 5, "half of ten a second, for one second");
}

#[test]
fn the_slice_fills_to_its_part_of_burst_and_slack() {
    let mut rig = Rig::new(capped(), &[entry(1, 0)]);
    rig.run_to(60 * S);
    assert_eq!(grants(&mut rig, 40), 11);
}
