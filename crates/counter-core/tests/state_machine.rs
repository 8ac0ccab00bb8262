//! Tests of the state machine: each add is counted once, totals are exact, and replay, snapshot and undo restore the
//! same state.

use frostgauge_counter_core::*;
use frostgauge_proto::counter::RejectReason;
use proptest::prelude::*;

/// Time of the first operation, milliseconds since 1970.
const START_MS: u64 = 1_800_000_000_000;
const MAX_COUNTERS: usize = 200_000;

fn open(gateway: u16, incarnation: u8) -> Operation {
    Operation::Open { gateway, incarnation: [incarnation; 16] }
}

fn add(epoch: u64, seq: u64, amount: i64, name: &str) -> Operation {
    Operation::Add { gateway: 1, epoch, seq, amount, ttl_ms: 60_000, name: name.into() }
}

/// A state machine with a session of gateway 1, the epoch of which is `START_MS`.
fn machine_with_session() -> StateMachine {
    let mut machine = StateMachine::default();
    assert!(
        matches!(machine.execute(START_MS, open(1, 1), MAX_COUNTERS), Outcome::Applied(r, _) if r.result as u64 == START_MS)
    );
    machine
}

/// Total or epoch of an operation that must have been applied.
fn applied_result(outcome: Outcome) -> i64 {
    match outcome {
        Outcome::Applied(record, _) => record.result,
        other => panic!("the operation was not applied: {other:?}"),
    }
}

#[test]
fn retry_returns_the_total_of_the_first_attempt() {
    let mut machine = machine_with_session();
    assert_eq!(applied_result(machine.execute(START_MS, add(START_MS, 1, 5, "a"), MAX_COUNTERS)), 5);
    assert_eq!(applied_result(machine.execute(START_MS, add(START_MS, 2, 7, "a"), MAX_COUNTERS)), 12);
    assert_eq!(machine.execute(START_MS, add(START_MS, 1, 5, "a"), MAX_COUNTERS), Outcome::Duplicate(5));
    assert_eq!(machine.read(START_MS, b"a"), 12);
}

#[test]
fn retry_before_the_window_is_rejected() {
    let mut machine = machine_with_session();
    for seq in 1..=DEDUP_WINDOW + 1 {
        applied_result(machine.execute(START_MS, add(START_MS, seq, 1, "a"), MAX_COUNTERS));
    }
    assert_eq!(
        machine.execute(START_MS, add(START_MS, 1, 1, "a"), MAX_COUNTERS),
        Outcome::Rejected(RejectReason::StaleSequence)
    );
    assert_eq!(machine.execute(START_MS, add(START_MS, 2, 1, "a"), MAX_COUNTERS), Outcome::Duplicate(2));
    assert_eq!(machine.read(START_MS, b"a"), DEDUP_WINDOW as i64 + 1);
    assert!(machine.sessions().all(|(_, session)| session.completed.len() <= DEDUP_WINDOW as usize));
}

#[test]
fn restarted_gateway_gets_a_new_epoch() {
    let mut machine = machine_with_session();
    applied_result(machine.execute(START_MS, add(START_MS, 1, 5, "a"), MAX_COUNTERS));
    assert_eq!(applied_result(machine.execute(START_MS, open(1, 2), MAX_COUNTERS)) as u64, START_MS + 1);
    assert_eq!(applied_result(machine.execute(START_MS, add(START_MS + 1, 1, 5, "a"), MAX_COUNTERS)), 10);
    // Adds of the earlier process are fenced, and opening the session again returns the epoch of the new one.
    assert_eq!(
        machine.execute(START_MS, add(START_MS, 2, 5, "a"), MAX_COUNTERS),
        Outcome::Rejected(RejectReason::Fenced)
    );
    assert_eq!(machine.execute(START_MS, open(1, 2), MAX_COUNTERS), Outcome::Duplicate(START_MS as i64 + 1));
}

#[test]
fn expired_counter_restarts_at_zero() {
    let mut machine = machine_with_session();
    for seq in 1..=10 {
        let total = applied_result(machine.execute(
            START_MS + seq * 10_000,
            add(START_MS, seq, 1, "a"),
            MAX_COUNTERS,
        ));
        // The counter expires 60 s after its first add at 10 s; later adds do not extend that.
        assert_eq!(total, if seq <= 6 { seq as i64 } else { seq as i64 - 6 });
    }
    assert_eq!(machine.read(START_MS + 200_000, b"a"), 0);
    // A retry of an add before the expiry still returns its first total.
    assert_eq!(
        machine.execute(START_MS + 200_000, add(START_MS, 3, 1, "a"), MAX_COUNTERS),
        Outcome::Duplicate(3)
    );
}

#[test]
fn record_time_does_not_decrease_if_the_clock_steps_back() {
    let mut machine = machine_with_session();
    applied_result(machine.execute(START_MS + 50_000, add(START_MS, 1, 1, "a"), MAX_COUNTERS));
    applied_result(machine.execute(START_MS, add(START_MS, 2, 1, "b"), MAX_COUNTERS));
    assert_eq!(machine.time_ms(), START_MS + 50_000);
    assert!(machine.counters().all(|(_, counter)| counter.expires_ms == START_MS + 110_000));
}

#[test]
fn totals_beyond_the_exact_range_are_rejected() {
    let mut machine = machine_with_session();
    applied_result(machine.execute(START_MS, add(START_MS, 1, MAX_TOTAL, "a"), MAX_COUNTERS));
    assert_eq!(
        machine.execute(START_MS, add(START_MS, 2, 1, "a"), MAX_COUNTERS),
        Outcome::Rejected(RejectReason::Overflow)
    );
    assert_eq!(
        machine.execute(START_MS, add(START_MS, 3, i64::MIN, "b"), MAX_COUNTERS),
        Outcome::Rejected(RejectReason::Overflow)
    );
    assert_eq!(applied_result(machine.execute(START_MS, add(START_MS, 4, -MAX_TOTAL, "a"), MAX_COUNTERS)), 0);
    // The sequence of a rejected add is not used up.
    assert_eq!(applied_result(machine.execute(START_MS, add(START_MS, 2, 1, "a"), MAX_COUNTERS)), 1);
}

#[test]
fn counter_limit_and_expiry_hold_for_100_000_counters() {
    let mut machine = machine_with_session();
    let max_counters = 100_000;
    for seq in 1..=max_counters {
        applied_result(machine.execute(
            START_MS,
            add(START_MS, seq, seq as i64, &format!("name-{seq}")),
            max_counters as usize,
        ));
    }
    assert_eq!(
        machine.execute(START_MS, add(START_MS, max_counters + 1, 1, "one more"), max_counters as usize),
        Outcome::Rejected(RejectReason::TooManyCounters)
    );
    let snapshot = machine.snapshot();
    assert!(snapshot.len() < max_counters as usize * 40, "{} bytes", snapshot.len());
    assert_eq!(StateMachine::restore(&snapshot).expect("a snapshot of this state machine"), machine);
    // All counters expire together; each record removes only some of them, and reads return 0 for the others.
    applied_result(machine.execute(
        START_MS + 70_000,
        add(START_MS, max_counters + 1, 1, "one more"),
        MAX_COUNTERS,
    ));
    assert!(machine.len() > 99_000);
    assert_eq!(machine.read(START_MS + 70_000, b"name-5"), 0);
}

#[test]
fn damaged_snapshots_are_rejected() {
    let mut machine = machine_with_session();
    applied_result(machine.execute(START_MS, add(START_MS, 1, 5, "a"), MAX_COUNTERS));
    let good = machine.snapshot();
    for bit in 0..good.len() * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(StateMachine::restore(&bad).is_err(), "a snapshot with bit {bit} flipped was restored");
    }
    for len in 0..good.len() {
        assert!(StateMachine::restore(&good[..len]).is_err(), "a snapshot cut to {len} bytes was restored");
    }
}

#[test]
fn records_of_another_log_are_rejected() {
    let mut machine = machine_with_session();
    let Outcome::Applied(record, _) = machine.execute(START_MS, add(START_MS, 1, 5, "a"), MAX_COUNTERS)
    else {
        panic!("the add was not applied")
    };
    let mut other = machine_with_session();
    let wrong = Record { result: 6, ..record.clone() };
    let before = other.clone();
    assert!(other.apply(&wrong).is_err());
    assert_eq!(other, before, "a rejected record changed the state");
    assert!(other.apply(&Record { index: 3, ..record.clone() }).is_err());
    assert!(other.apply(&Record { time_ms: 1, ..record.clone() }).is_err());
    other.apply(&record).expect("a record of this log");
    assert!(
        other.apply(&Record { index: 3, ..record }).is_err(),
        "an add with the same sequence was applied twice"
    );
    assert_eq!(other, machine);
}

fn operations() -> impl Strategy<Value = Vec<(u64, Operation)>> {
    let operation = prop_oneof![
        1 => (1..3u16, 0..3u8).prop_map(|(gateway, incarnation)| Operation::Open { gateway, incarnation: [incarnation; 16] }),
        8 => (1..3u16, 1..4u64, 0..20u64, -9..9i64, 1..50u32, 0..4u8).prop_map(
            |(gateway, epoch, seq, amount, ttl_ms, name)| Operation::Add {
                gateway, epoch, seq, amount, ttl_ms, name: vec![name],
            }
        ),
    ];
    proptest::collection::vec((0..40u64, operation), 0..120)
}

/// Replaces the generated number in an add by the gateway's current epoch (for 1) or an epoch before it (above 1).
fn with_current_epoch(machine: &StateMachine, operation: Operation) -> Operation {
    match operation {
        Operation::Add { gateway, epoch, seq, amount, ttl_ms, name } => {
            let current = machine
                .sessions()
                .find(|(number, _)| *number == gateway)
                .map_or(0, |(_, session)| session.epoch);
            Operation::Add { gateway, epoch: (current + 1).saturating_sub(epoch), seq, amount, ttl_ms, name }
        }
        open => open,
    }
}

#[test]
fn service_without_its_data_assigns_a_new_epoch() {
    let mut original = machine_with_session();
    let mut empty = StateMachine::default();
    let epoch = |machine: &mut StateMachine, time_ms| {
        applied_result(machine.execute(time_ms, open(1, 1), MAX_COUNTERS))
    };
    assert_eq!(original.execute(START_MS, open(1, 1), MAX_COUNTERS), Outcome::Duplicate(START_MS as i64));
    assert!(
        epoch(&mut empty, START_MS + 500) > START_MS as i64,
        "the epoch of the lost session was assigned again"
    );
}

proptest! {
    #[test]
    fn replay_and_snapshot_restore_the_same_state(operations in operations(), snapshot_at in 0..120usize) {
        let (mut machine, mut records, mut now) = (StateMachine::default(), vec![], START_MS);
        let mut snapshot = None;
        for (k, (step, operation)) in operations.into_iter().enumerate() {
            now += step;
            if k == snapshot_at {
                snapshot = Some((machine.snapshot(), records.len()));
            }
            let operation = with_current_epoch(&machine, operation);
            if let Outcome::Applied(record, _) = machine.execute(now, operation, 3) {
                records.push(record);
            }
        }
        let mut replayed = StateMachine::default();
        for record in &records {
            replayed.apply(record).expect("a record of this log");
        }
        prop_assert_eq!(&replayed, &machine);
        prop_assert_eq!(replayed.snapshot(), machine.snapshot());
        if let Some((bytes, records_before)) = snapshot {
            let mut restored = StateMachine::restore(&bytes).expect("a snapshot of this state machine");
            for record in &records[records_before..] {
                restored.apply(record).expect("a record of this log");
            }
            prop_assert_eq!(&restored, &machine);
        }
    }

    #[test]
    fn undo_restores_the_earlier_state(operations in operations(), undo_from in 0..120usize) {
        let (mut machine, mut undos, mut now) = (StateMachine::default(), vec![], START_MS);
        let mut before = None;
        for (k, (step, operation)) in operations.into_iter().enumerate() {
            now += step;
            if k == undo_from {
                before = Some(machine.clone());
                undos.clear();
            }
            let operation = with_current_epoch(&machine, operation);
            if let Outcome::Applied(_, undo) = machine.execute(now, operation, 3) {
                undos.push(undo);
            }
        }
        undos.into_iter().rev().for_each(|undo| machine.undo(*undo));
        prop_assert_eq!(machine, before.unwrap_or_default());
    }

    #[test]
    fn total_is_the_sum_of_distinct_adds(adds in proptest::collection::vec((1..40u64, -99..99i64), 0..200)) {
        let (mut machine, mut amounts) = (machine_with_session(), std::collections::BTreeMap::new());
        for (seq, amount) in adds {
            let amount = *amounts.entry(seq).or_insert(amount);
            machine.execute(START_MS, add(START_MS, seq, amount, "a"), MAX_COUNTERS);
        }
        prop_assert_eq!(machine.read(START_MS, b"a"), amounts.values().sum::<i64>());
    }
}
