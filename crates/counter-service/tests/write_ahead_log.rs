//! Recovery of truncated, damaged and mismatched files, and a full disk: the state must be exact, or the files must be
//! refused with a message that names the file and the offset.

mod common;

use common::{Add, InjectedBugs, Workload, CONFIG, TIME_MS};
use frostgauge_counter_core::Operation;
use frostgauge_counter_service::write_ahead_log::{tools, CommitOutcome, Config, WriteAheadLog};
use frostgauge_proto::counter::RejectReason;
use frostgauge_storage::sim::{FaultPlan, SimDisk};
use frostgauge_storage::{read, Disk, Storage};

/// Runs a workload for some steps, syncs the watermark, and closes the log. Returns the workload and its disk.
fn run_workload(seed: u64, steps: usize) -> (Workload, SimDisk) {
    let mut workload = Workload::new(seed, InjectedBugs::default());
    for _ in 0..steps {
        assert!(workload.step().expect("the checks hold"), "the log failed without a fault of the disk");
    }
    let mut wal = workload.wal.take().expect("the log is open");
    wal.sync_watermark().expect("the watermark is synced");
    (workload, wal.into_storage())
}

fn files_with_suffix(disk: &SimDisk, suffix: &str) -> Vec<String> {
    disk.list().expect("files are listed").into_iter().filter(|n| n.ends_with(suffix)).collect()
}

/// The message with which recovery refuses the disk; `None` if the log opens.
fn recovery_error(disk: SimDisk) -> Option<String> {
    WriteAheadLog::open(disk, CONFIG).err().map(|error| error.to_string())
}

#[test]
fn log_cut_below_the_watermark_is_refused() {
    let (workload, disk) = run_workload(3, 60);
    let newest_segment = files_with_suffix(&disk, ".fgl").pop().expect("there is a segment");
    let full_len = read(&disk, &newest_segment).expect("the segment is read").len();
    let acked = workload.acked.len();
    // A record is shorter than 80 bytes, so this cuts into at least the last three.
    for len in full_len.saturating_sub(400)..full_len {
        let mut cut = disk.clone();
        cut.modify_file_directly(&newest_segment, |bytes| bytes.truncate(len));
        let error = recovery_error(cut).unwrap_or_else(|| {
            panic!("a log cut to {len} of {full_len} bytes opens, though {acked} adds were acknowledged")
        });
        assert!(error.contains(".fgl at byte") && error.contains("durable"), "{error}");
    }
}

/// A power loss may also undo the unsynced watermark. Then the tail counts as never acknowledged, and a log cut at any
/// length opens with the records before the cut.
#[test]
fn log_cut_without_a_watermark_opens_as_a_prefix() {
    let (_, disk) = run_workload(3, 60);
    let newest_segment = files_with_suffix(&disk, ".fgl").pop().expect("there is a segment");
    let empty = vec![];
    let full_len = read(&disk, &newest_segment).expect("the segment is read").len();
    let (mut last_index, mut indexes) = (0, std::collections::BTreeSet::new());
    for len in 0..=full_len {
        let mut cut = disk.clone();
        cut.modify_file_directly("durable", |bytes| *bytes = empty.clone());
        cut.modify_file_directly(&newest_segment, |bytes| bytes.truncate(len));
        let (wal, _) =
            WriteAheadLog::open(cut, CONFIG).unwrap_or_else(|error| panic!("cut to {len} bytes: {error}"));
        let index = wal.machine().index();
        assert!(
            index >= last_index,
            "cut to {len} bytes: recovered up to record {index}, but with a shorter log up to {last_index}"
        );
        last_index = index;
        indexes.insert(index);
    }
    assert!(indexes.len() > 1, "every cut recovered to the same record: {indexes:?}");
}

#[test]
fn a_flipped_bit_is_refused_or_leaves_the_state_exact() {
    let (mut workload, disk) = run_workload(11, 50);
    let (mut refused, mut exact) = (0, 0);
    let (acked, acked_len) = (workload.acked.clone(), workload.acked.len());
    for name in disk.list().expect("files are listed") {
        let bits = read(&disk, &name).expect("the file is read").len() * 8;
        // Every bit of small files, and evenly spaced bits of large ones.
        for bit in (0..bits).step_by(1 + bits / 1_500) {
            let mut flipped = disk.clone();
            flipped.flip_bit(&name, bit);
            match WriteAheadLog::open(flipped, CONFIG) {
                Err(error) => {
                    refused += 1;
                    assert!(!error.reason.is_empty() && !error.file.is_empty());
                }
                Ok((wal, _)) => {
                    exact += 1;
                    workload.wal = Some(wal);
                    workload.check().unwrap_or_else(|failure| panic!("{name} bit {bit}: {failure}"));
                    assert_eq!(workload.acked.len(), acked_len);
                    workload.acked.clone_from(&acked);
                }
            }
        }
    }
    assert!(refused > 100 && exact > 100, "{refused} flips were refused, {exact} left the state exact");
}

#[test]
fn one_of_two_snapshots_may_be_damaged() {
    for damaged in [0, 1] {
        let (mut workload, mut disk) = run_workload(5, 120);
        let snapshots = files_with_suffix(&disk, ".fgs");
        assert_eq!(snapshots.len(), 2);
        disk.flip_bit(&snapshots[damaged], 999);
        workload.recover(disk).expect("the other snapshot and the log suffice");
        let disk = workload.take_disk();
        let renamed = files_with_suffix(&disk, ".damaged");
        assert_eq!(
            renamed.len(),
            damaged,
            "the older snapshot is not read if the newer one is intact; renamed files: {renamed:?}"
        );
        // The service goes on from the recovered state, including its snapshots.
        workload.wal = Some(WriteAheadLog::open(disk, CONFIG).expect("the recovered files open again").0);
        for _ in 0..60 {
            assert!(workload.step().expect("the checks hold"), "the log failed without a fault of the disk");
        }
        let disk = workload.take_disk();
        workload.recover(disk).expect("the state is exact");
    }
}

#[test]
fn log_and_snapshot_may_end_at_different_records() {
    let (mut workload, _) = run_workload(9, 0);
    workload.wal = Some(WriteAheadLog::open(SimDisk::new(9), CONFIG).expect("an empty disk opens").0);
    for _ in 0..40 {
        workload.step().expect("the checks hold");
    }
    let mut wal = workload.wal.take().expect("the log is open");
    wal.snapshot().expect("the snapshot is written");
    let index = wal.machine().index();
    let mut disk = wal.into_storage();
    let newest_segment = files_with_suffix(&disk, ".fgl").pop().expect("there is a segment");
    // The log loses its end, which the snapshot covers.
    disk.modify_file_directly(&newest_segment, |bytes| bytes.truncate(60));
    let error = recovery_error(disk.clone()).expect("the watermark shows that the lost part was durable");
    assert!(error.contains(&newest_segment), "{error}");
    disk.modify_file_directly("durable", Vec::clear);
    workload.recover(disk).expect("the snapshot covers the lost part");
    assert!(workload.wal.as_ref().expect("the log is open").machine().index() >= index);
    for _ in 0..40 {
        workload.step().expect("the checks hold");
    }
    let disk = workload.take_disk();
    workload.recover(disk).expect("the gap in the log before the snapshot does no harm");
    // All segments are lost, and the snapshot is older than the last acknowledged record.
    let wal = workload.wal.as_mut().expect("the log is open");
    wal.commit(TIME_MS, vec![Operation::Open { gateway: 9, incarnation: [9; 16] }])
        .expect("the commit is durable");
    wal.sync_watermark().expect("the watermark is synced");
    let mut disk = workload.take_disk();
    for name in files_with_suffix(&disk, ".fgl") {
        disk.remove_file_directly(&name);
    }
    assert!(WriteAheadLog::open(disk, CONFIG).is_err());
}

#[test]
fn a_full_disk_rejects_adds_and_recovers_with_space() {
    for first_full_call in 1..60 {
        let (mut workload, disk) = run_workload(first_full_call, 10);
        workload.wal = Some(WriteAheadLog::open(disk, CONFIG).expect("the files open again").0);
        workload.plan(FaultPlan {
            full_from_call: first_full_call,
            full_for_calls: 12,
            ..FaultPlan::default()
        });
        for _ in 0..40 {
            assert!(workload.step().expect("the checks hold"), "the log failed because the disk was full");
        }
        workload.check().expect("no rejected add was counted");
        let disk = workload.take_disk();
        workload.recover(disk).expect("no rejected add is left in the files");
    }
}

#[test]
fn a_failed_sync_fails_the_commit() {
    let (mut workload, disk) = run_workload(2, 10);
    let mut wal = WriteAheadLog::open(disk, CONFIG).expect("the files open again").0;
    // The first commit after opening makes four calls to create a segment, then writes the group and syncs it.
    wal.storage_mut().set_fault_plan(FaultPlan { failed_sync_at_call: 6, ..FaultPlan::default() });
    let epoch = workload.epoch(0);
    let add = |seq| Add { gateway: 0, epoch, seq, amount: 5, counter: 0 };
    workload.wal = Some(wal);
    let mut stopped = false;
    for seq in 400..410 {
        if !workload.send(vec![add(seq)]).expect("the checks hold") {
            stopped = true;
            break;
        }
    }
    assert!(stopped && workload.unacked.len() == 1);
}

#[test]
fn a_file_of_another_format_is_named_in_the_error() {
    let (_, mut disk) = run_workload(4, 30);
    let newest_segment = files_with_suffix(&disk, ".fgl").pop().expect("there is a segment");
    disk.modify_file_directly(&newest_segment, |bytes| {
        bytes[7] = 9;
        let checksum = frostgauge_counter_service::write_ahead_log::format::crc32c(&bytes[..16]);
        bytes[16..20].copy_from_slice(&checksum.to_be_bytes());
    });
    let error = recovery_error(disk.clone()).expect("the segment is refused");
    assert!(error.contains(&newest_segment) && error.contains("version"), "{error}");
    disk.modify_file_directly("durable", |bytes| bytes[7] = 2);
    assert!(recovery_error(disk).expect("the watermark file is refused").contains("durable"));
}

fn new_folder() -> std::path::PathBuf {
    let name = format!("frostgauge-counter-{}-{:016x}", std::process::id(), rand::random::<u64>());
    std::env::temp_dir().join(name)
}

#[test]
fn a_folder_opens_for_one_process_and_for_the_tools() {
    let folder = new_folder();
    let config = Config { max_segment_bytes: 2_000, max_counters: 100, keep_old_segments: false };
    let (mut wal, _) =
        WriteAheadLog::open(Disk::open_exclusive(&folder).expect("the folder is not in use"), config)
            .expect("an empty folder opens");
    let in_use = Disk::open_exclusive(&folder).expect_err("the folder is in use");
    assert!(in_use.to_string().contains(&std::process::id().to_string()), "{in_use}");
    let open = Operation::Open { gateway: 7, incarnation: [1; 16] };
    let outcomes = wal.commit(TIME_MS, vec![open]).expect("the commit is durable");
    assert_eq!(outcomes, [CommitOutcome::Applied(TIME_MS as i64)]);
    for seq in 1..=100 {
        let add =
            Operation::Add { gateway: 7, epoch: TIME_MS, seq, amount: 3, ttl_ms: 1_000, name: b"x".to_vec() };
        assert_eq!(
            wal.commit(TIME_MS, vec![add]).expect("the commit is durable"),
            [CommitOutcome::Applied(3 * seq as i64)]
        );
    }
    // The files can be verified while the log is open.
    let report = tools::verify(&folder).expect("the files are read");
    assert!(
        report.faults.is_empty() && report.recovery.is_ok() && report.recovered_index == 101,
        "{report:?}"
    );
    let mut records = 0;
    tools::dump(&folder, |_| records += 1).expect("the log is intact");
    assert_eq!(records, 101);
    assert!(tools::snapshot(&folder).expect_err("the folder is in use").contains("in use"));
    drop(wal);
    tools::snapshot(&folder).expect("the folder is not in use");
    assert_eq!(tools::replay(&folder).expect("the files are intact").read(TIME_MS, b"x"), 300);
    let files = tools::verify(&folder).expect("the files are read").files;
    let segment =
        files.iter().find(|(name, _, _)| name.ends_with(".fgl")).expect("there is a segment").0.clone();
    let mut bytes = std::fs::read(folder.join(&segment)).expect("the segment is read");
    bytes[100] ^= 1;
    std::fs::write(folder.join(&segment), bytes).expect("the segment is written");
    let report = tools::verify(&folder).expect("the files are read");
    assert!(report.faults.len() == 1 && report.faults[0].contains(&segment), "{:?}", report.faults);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn outcomes_tell_duplicates_from_too_many_counters() {
    let (mut wal, _) = WriteAheadLog::open(
        SimDisk::new(1),
        Config { max_segment_bytes: 4_000, max_counters: 1, keep_old_segments: false },
    )
    .expect("an empty disk opens");
    wal.commit(TIME_MS, vec![Operation::Open { gateway: 0, incarnation: [1; 16] }])
        .expect("the commit is durable");
    let add = |seq, name: &[u8]| Operation::Add {
        gateway: 0,
        epoch: TIME_MS,
        seq,
        amount: 1,
        ttl_ms: 1_000,
        name: name.to_vec(),
    };
    let outcomes =
        wal.commit(TIME_MS, vec![add(1, b"a"), add(1, b"a"), add(2, b"b")]).expect("the commit is durable");
    assert_eq!(
        outcomes,
        [
            CommitOutcome::Applied(1),
            CommitOutcome::Duplicate(1),
            CommitOutcome::Rejected(RejectReason::TooManyCounters)
        ]
    );
}
