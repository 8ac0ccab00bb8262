//! Files cut short, damaged, mixed up, and a disk that is full: right, or refused with file and place.

mod common;

use common::{Planted, Sent, World, CONFIG, T};
use frostgauge_counter_core::Operation;
use frostgauge_counter_service::write_ahead_log::{tools, CommitOutcome, Config, WriteAheadLog};
use frostgauge_proto::counter::RejectReason;
use frostgauge_storage::sim::{FaultPlan, SimDisk};
use frostgauge_storage::{read, Disk, Storage};

/// A world after some steps with everything told, and its disk.
fn played(seed: u64, steps: usize) -> (World, SimDisk) {
    let mut world = World::new(seed, Planted::default());
    for _ in 0..steps {
        assert!(world.step().expect("no fault"), "it goes on");
    }
    let mut wal = world.wal.take().expect("a store");
    wal.sync_watermark().expect("it seals");
    (world, wal.into_storage())
}

fn named(disk: &SimDisk, end: &str) -> Vec<String> {
    disk.list().expect("a list").into_iter().filter(|n| n.ends_with(end)).collect()
}

fn refused(disk: SimDisk) -> Option<String> {
    WriteAheadLog::open(disk, CONFIG).err().map(|r| r.to_string())
}

#[test]
fn a_log_cut_anywhere_in_its_last_records_is_refused_or_right() {
    let (world, disk) = played(3, 60);
    let last = named(&disk, ".fgl").pop().expect("a log");
    let whole = read(&disk, &last).expect("read").len();
    let known = world.acked.len();
    // A record is under 80 bytes: the last three, and some more.
    for len in whole.saturating_sub(400)..whole {
        let mut cut = disk.clone();
        cut.edit_behind_back(&last, |bytes| bytes.truncate(len));
        let what =
            refused(cut).unwrap_or_else(|| panic!("{len} of {whole}: taken, though {known} were told"));
        assert!(what.contains(".fgl at byte") && what.contains("durable"), "{what}");
    }
}

#[test]
fn a_log_cut_before_anything_was_claimed_is_a_prefix() {
    // As after a loss of power that took the unsynced claim along: the tail counts as never told.
    let (_, disk) = played(3, 60);
    let (last, empty) = (named(&disk, ".fgl").pop().expect("a log"), vec![]);
    let whole = read(&disk, &last).expect("read").len();
    let (mut last_index, mut indexes) = (0, std::collections::BTreeSet::new());
    for len in 0..=whole {
        let mut cut = disk.clone();
        cut.edit_behind_back("durable", |bytes| *bytes = empty.clone());
        cut.edit_behind_back(&last, |bytes| bytes.truncate(len));
        let (wal, _) = WriteAheadLog::open(cut, CONFIG).unwrap_or_else(|r| panic!("{len}: {r}"));
        let index = wal.machine().index();
        assert!(index >= last_index, "{len}: more bytes, fewer records");
        last_index = index;
        indexes.insert(index);
    }
    assert!(indexes.len() > 1, "{indexes:?}");
}

#[test]
fn one_flipped_bit_anywhere_is_refused_or_harmless() {
    let (mut world, disk) = played(11, 50);
    let (mut refusals, mut right) = (0, 0);
    let (acked, n) = (world.acked.clone(), world.acked.len());
    for name in disk.list().expect("a list") {
        let bits = read(&disk, &name).expect("read").len() * 8;
        // Every bit of small files, a spread of the bits of large ones.
        for bit in (0..bits).step_by(1 + bits / 1_500) {
            let mut flipped = disk.clone();
            flipped.flip_bit(&name, bit);
            match WriteAheadLog::open(flipped, CONFIG) {
                Err(refused) => {
                    refusals += 1;
                    assert!(!refused.reason.is_empty() && !refused.file.is_empty());
                }
                Ok((wal, _)) => {
                    right += 1;
                    world.wal = Some(wal);
                    world.check().unwrap_or_else(|what| panic!("{name} bit {bit}: {what}"));
                    assert_eq!(world.acked.len(), n);
                    world.acked.clone_from(&acked);
                }
            }
        }
    }
    assert!(refusals > 100 && right > 100, "{refusals} refused, {right} right");
}

#[test]
fn two_snapshots_of_which_one_is_damaged() {
    for damaged in [0, 1] {
        let (mut world, mut disk) = played(5, 120);
        let snapshots = named(&disk, ".fgs");
        assert_eq!(snapshots.len(), 2);
        disk.flip_bit(&snapshots[damaged], 999);
        world.recover(disk).expect("the other one and the log do");
        let disk = world.wal.take().expect("a store").into_storage();
        let aside = named(&disk, ".damaged");
        assert_eq!(aside.len(), damaged, "only the newest is read: {aside:?}");
        // And it goes on from there, snapshots and all.
        world.wal = Some(WriteAheadLog::open(disk, CONFIG).expect("again").0);
        for _ in 0..60 {
            assert!(world.step().expect("no fault"));
        }
        let disk = world.wal.take().expect("a store").into_storage();
        world.recover(disk).expect("right");
    }
}

#[test]
fn a_snapshot_newer_than_the_log_and_a_log_newer_than_the_snapshot() {
    let (mut world, _) = played(9, 0);
    world.wal = Some(WriteAheadLog::open(SimDisk::new(9), CONFIG).expect("empty").0);
    for _ in 0..40 {
        world.step().expect("no fault");
    }
    let mut wal = world.wal.take().expect("a store");
    wal.snapshot().expect("room");
    let index = wal.machine().index();
    let mut disk = wal.into_storage();
    let last = named(&disk, ".fgl").pop().expect("a log");
    // The log loses its end, all of which is in the snapshot.
    disk.edit_behind_back(&last, |bytes| bytes.truncate(60));
    let refused = refused(disk.clone()).expect("the claim tells that more was durable there");
    assert!(refused.contains(&last), "{refused}");
    disk.edit_behind_back("durable", Vec::clear);
    world.recover(disk).expect("the snapshot holds all");
    assert!(world.wal.as_ref().expect("a store").machine().index() >= index);
    for _ in 0..40 {
        world.step().expect("no fault");
    }
    let disk = world.wal.take().expect("a store").into_storage();
    world.recover(disk).expect("the gap before the snapshot does no harm");
    // All logs gone, the snapshot older than what was told.
    let wal = world.wal.as_mut().expect("a store");
    wal.commit(T, vec![Operation::Open { gateway: 9, incarnation: [9; 16] }]).expect("room");
    wal.sync_watermark().expect("it seals");
    let mut disk = world.wal.take().expect("a store").into_storage();
    for name in named(&disk, ".fgl") {
        disk.remove_behind_back(&name);
    }
    assert!(WriteAheadLog::open(disk, CONFIG).is_err());
}

#[test]
fn a_full_disk_in_mid_batch_and_room_again() {
    for at in 1..60 {
        let (mut world, disk) = played(at, 10);
        world.wal = Some(WriteAheadLog::open(disk, CONFIG).expect("again").0);
        world.plan(FaultPlan { full_from_call: at, full_for_calls: 12, ..FaultPlan::default() });
        for _ in 0..40 {
            assert!(world.step().expect("no fault"), "a full disk is no reason to stop");
        }
        world.check().expect("nothing of what was refused was counted");
        let disk = world.wal.take().expect("a store").into_storage();
        world.recover(disk).expect("and nothing is left of it in the files");
    }
}

#[test]
fn a_failed_sync_stops_and_tells_nobody() {
    let (mut world, disk) = played(2, 10);
    let mut wal = WriteAheadLog::open(disk, CONFIG).expect("again").0;
    // Opening calls nothing more; the write of a group comes before its sync.
    wal.storage_mut().set_plan(FaultPlan { failed_sync_at_call: 6, ..FaultPlan::default() });
    let epoch = world.epoch(0);
    let sent = |seq| Sent { gateway: 0, epoch, seq, amount: 5, name: 0 };
    world.wal = Some(wal);
    let mut stopped = false;
    for seq in 400..410 {
        if !world.send(vec![sent(seq)]).expect("no fault") {
            stopped = true;
            break;
        }
    }
    assert!(stopped && world.open.len() == 1);
}

#[test]
fn a_file_of_another_format_is_named() {
    let (_, mut disk) = played(4, 30);
    let last = named(&disk, ".fgl").pop().expect("a log");
    disk.edit_behind_back(&last, |bytes| {
        bytes[7] = 9;
        let sum = frostgauge_counter_service::write_ahead_log::format::crc32c(&bytes[..16]);
        bytes[16..20].copy_from_slice(&sum.to_be_bytes());
    });
    let what = refused(disk.clone()).expect("refused");
    assert!(what.contains(&last) && what.contains("version"), "{what}");
    disk.edit_behind_back("durable", |bytes| bytes[7] = 2);
    assert!(refused(disk).expect("refused").contains("durable"));
}

fn folder() -> std::path::PathBuf {
    let name = format!("frostgauge-counter-{}-{:016x}", std::process::id(), rand::random::<u64>());
    std::env::temp_dir().join(name)
}

#[test]
fn a_folder_on_disk_serves_one_process_and_the_tools() {
    let folder = folder();
    let config = Config { max_segment_bytes: 2_000, max_counters: 100, keep_old_segments: false };
    let (mut wal, _) =
        WriteAheadLog::open(Disk::open_exclusive(&folder).expect("free"), config).expect("empty");
    let in_use = Disk::open_exclusive(&folder).expect_err("in use");
    assert!(in_use.to_string().contains(&std::process::id().to_string()), "{in_use}");
    let outcomes = wal.commit(T, vec![Operation::Open { gateway: 7, incarnation: [1; 16] }]).expect("room");
    assert_eq!(outcomes, [CommitOutcome::Applied(T as i64)]);
    for seq in 1..=100 {
        let operation =
            Operation::Add { gateway: 7, epoch: T, seq, amount: 3, ttl_ms: 1_000, name: b"x".to_vec() };
        assert_eq!(wal.commit(T, vec![operation]).expect("room"), [CommitOutcome::Applied(3 * seq as i64)]);
    }
    // A running service's files can be verified.
    let seen = tools::verify(&folder).expect("readable");
    assert!(seen.faults.is_empty() && seen.recovery.is_ok() && seen.recovered_index == 101, "{seen:?}");
    let mut records = 0;
    tools::dump(&folder, |_| records += 1).expect("whole");
    assert_eq!(records, 101);
    assert!(tools::snapshot(&folder).expect_err("in use").contains("in use"));
    drop(wal);
    tools::snapshot(&folder).expect("free");
    assert_eq!(tools::replay(&folder).expect("whole").read(T, b"x"), 300);
    let files = tools::verify(&folder).expect("readable").files;
    let log = files.iter().find(|(name, _, _)| name.ends_with(".fgl")).expect("a log").0.clone();
    let mut bytes = std::fs::read(folder.join(&log)).expect("read");
    bytes[100] ^= 1;
    std::fs::write(folder.join(&log), bytes).expect("written");
    let seen = tools::verify(&folder).expect("readable");
    assert!(seen.faults.len() == 1 && seen.faults[0].contains(&log), "{:?}", seen.faults);
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn names_beyond_the_bound_and_stale_repeats_are_refused_by_code() {
    let (mut wal, _) = WriteAheadLog::open(
        SimDisk::new(1),
        Config { max_segment_bytes: 4_000, max_counters: 1, keep_old_segments: false },
    )
    .expect("empty");
    wal.commit(T, vec![Operation::Open { gateway: 0, incarnation: [1; 16] }]).expect("room");
    let operation = |seq, name: &[u8]| Operation::Add {
        gateway: 0,
        epoch: T,
        seq,
        amount: 1,
        ttl_ms: 1_000,
        name: name.to_vec(),
    };
    let outcomes =
        wal.commit(T, vec![operation(1, b"a"), operation(1, b"a"), operation(2, b"b")]).expect("room");
    assert_eq!(
        outcomes,
        [
            CommitOutcome::Applied(1),
            CommitOutcome::Duplicate(1),
            CommitOutcome::Rejected(RejectReason::TooManyCounters)
        ]
    );
}
