//! Data folders written by an earlier build of the counter service, kept as fixtures: this build must read exactly
//! what was stored, and must write the same bytes for the same operations.

#[path = "../../storage/tests/common/fixture.rs"]
mod fixture;

use fixture::{assert_same_files, files, TestFolder};
use frostgauge_counter_core::{Counter, GatewaySession, Operation, Record, DEDUP_WINDOW};
use frostgauge_counter_service::write_ahead_log::{
    tools, CommitOutcome, Config, RecoveryReport, WriteAheadLog,
};
use frostgauge_proto::counter::RejectReason;
use frostgauge_storage::Disk;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Segments so small that most commits begin a new one.
const CONFIG: Config = Config { max_segment_bytes: 200, max_counters: 100, keep_old_segments: false };
const START_MS: u64 = 1_800_000_000_000;
const HOUR_MS: u32 = 3_600_000;
/// The file with the index up to which the log is durable.
const WATERMARK: &str = "durable";
const NEWEST_SEGMENT: &str = "log-00000000000000000015.fgl";
const TORN_SEGMENT: &str = "log-00000000000000000016.fgl";
/// Bytes missing from the last group of the log in the fixture `torn`.
const TORN_BYTES: usize = 50;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn open(folder: &Path) -> (WriteAheadLog<Disk>, RecoveryReport) {
    let disk = Disk::open_exclusive(folder).expect("the folder is not in use");
    WriteAheadLog::open(disk, CONFIG).unwrap_or_else(|error| panic!("{error}"))
}

fn open_gateway(gateway: u16, process: u8) -> Operation {
    Operation::Open { gateway, incarnation: [process; 16] }
}

fn add(gateway: u16, epoch: u64, seq: u64, amount: i64, name: &[u8]) -> Operation {
    Operation::Add { gateway, epoch, seq, amount, ttl_ms: HOUR_MS, name: name.to_vec() }
}

/// Writes the fixture `data`: six commits, with two snapshots between them.
fn write_data(folder: &Path) {
    let (mut wal, _) = open(folder);
    let opened = wal.commit(START_MS, (1..=3).map(|g| open_gateway(g, g as u8)).collect());
    let epoch = START_MS;
    assert_eq!(opened.expect("the commit is durable"), vec![CommitOutcome::Applied(epoch as i64); 3]);

    let adds = vec![
        add(1, epoch, 1, 1_500_000, b"requests"),
        add(2, epoch, 1, 250_000, b"requests"),
        add(2, epoch, 1, 250_000, b"requests"),
        add(3, epoch, 1, -40, b"refunds"),
        Operation::Add { gateway: 3, epoch, seq: 2, amount: 7, ttl_ms: 10, name: b"short".to_vec() },
    ];
    let outcomes = wal.commit(START_MS + 1, adds).expect("the commit is durable");
    let totals = [1_500_000, 1_750_000, -40, 7].map(CommitOutcome::Applied);
    assert_eq!(outcomes, [totals[0], totals[1], CommitOutcome::Duplicate(1_750_000), totals[2], totals[3]]);
    wal.snapshot().expect("the snapshot is written");

    let adds = vec![
        add(1, epoch, 1, 1_500_000, b"requests"),
        add(1, epoch, 3, 1, b"requests"),
        add(1, epoch, 2, 2, b"requests"),
        add(2, epoch, 2, 1 << 52, b"large \xff\0"),
    ];
    wal.commit(START_MS + 1_000, adds).expect("the commit is durable");
    wal.snapshot().expect("the snapshot is written");

    wal.commit(START_MS + 2_000, vec![open_gateway(1, 9)]).expect("the commit is durable");
    let new_epoch = START_MS + 2_000;
    let adds = vec![
        add(1, epoch, 4, 1_000, b"requests"),
        add(1, new_epoch, 1, 1_000, b"requests"),
        add(2, epoch, 2 + DEDUP_WINDOW, 5, b"refunds"),
        add(2, epoch, 2, 1 << 52, b"large \xff\0"),
        add(2, epoch, 3 + DEDUP_WINDOW, 9, b"large \xff\0"),
    ];
    let outcomes = wal.commit(START_MS + 3_000, adds).expect("the commit is durable");
    assert_eq!(outcomes[0], CommitOutcome::Rejected(RejectReason::Fenced));
    assert_eq!(outcomes[3], CommitOutcome::Rejected(RejectReason::StaleSequence));
    wal.commit(START_MS + 4_000, vec![add(3, epoch, 3, -1, b"refunds")]).expect("the commit is durable");
    wal.sync_watermark().expect("the watermark is synced");
}

/// Writes the fixture `torn`: `data`, and one more commit of which a power loss left only a part of the group, and not
/// the new watermark.
fn write_torn_data(folder: &Path) {
    write_data(folder);
    let watermark = fs::read(folder.join(WATERMARK)).expect("the watermark is read");
    let (mut wal, _) = open(folder);
    wal.commit(START_MS + 5_000, vec![add(3, START_MS, 4, 1, b"lost")]).expect("the commit is durable");
    drop(wal);
    let newest_segment =
        files(folder).into_keys().rfind(|name| name.starts_with("log-")).expect("there is a segment");
    let bytes = fs::read(folder.join(&newest_segment)).expect("the segment is read");
    fs::write(folder.join(&newest_segment), &bytes[..bytes.len() - TORN_BYTES])
        .expect("the shortened segment is written");
    fs::write(folder.join(WATERMARK), watermark).expect("the old watermark is written");
}

fn assert_stored_state(wal: &WriteAheadLog<Disk>) {
    let machine = wal.machine();
    assert_eq!((machine.index(), machine.time_ms()), (15, START_MS + 4_000));
    let counters: BTreeMap<&[u8], Counter> = machine.counters().collect();
    let expires_ms = START_MS + 1 + u64::from(HOUR_MS);
    let large = Counter { total: (1 << 52) + 9, expires_ms: START_MS + 1_000 + u64::from(HOUR_MS) };
    let expected: [(&[u8], Counter); 3] = [
        (b"large \xff\0", large),
        (b"refunds", Counter { total: -36, expires_ms }),
        (b"requests", Counter { total: 1_751_003, expires_ms }),
    ];
    assert_eq!(counters, BTreeMap::from(expected));
    let sessions: BTreeMap<u16, GatewaySession> =
        machine.sessions().map(|(gateway, session)| (gateway, session.clone())).collect();
    let session = |epoch, process, newest_seq, completed: &[(u64, i64)]| GatewaySession {
        epoch,
        incarnation: [process; 16],
        newest_seq,
        completed: completed.iter().copied().collect(),
    };
    let expected = [
        (1, session(START_MS + 2_000, 9, 1, &[(1, 1_751_003)])),
        (2, session(START_MS, 2, 515, &[(514, -35), (515, (1 << 52) + 9)])),
        (3, session(START_MS, 3, 3, &[(1, -40), (2, 7), (3, -36)])),
    ];
    assert_eq!(sessions, BTreeMap::from(expected));
}

/// Retries of stored operations are duplicates, with the epoch or total of the first attempt.
fn assert_retries_are_duplicates(wal: &mut WriteAheadLog<Disk>) {
    let retries = vec![
        open_gateway(1, 9),
        add(1, START_MS + 2_000, 1, 1_000, b"requests"),
        add(2, START_MS, 2 + DEDUP_WINDOW, 5, b"refunds"),
        add(3, START_MS, 1, -40, b"refunds"),
    ];
    let outcomes = wal.commit(START_MS + 9_000, retries).expect("there is nothing to write");
    let first_results = [START_MS as i64 + 2_000, 1_751_003, -35, -40];
    assert_eq!(outcomes, first_results.map(CommitOutcome::Duplicate));
}

/// The two slots of a watermark file: 8 bytes of magic, then an index and a checksum twice.
fn watermark_slots(folder: &Path) -> [u64; 2] {
    let bytes = fs::read(folder.join(WATERMARK)).expect("the watermark is read");
    assert_eq!((&bytes[..8], bytes.len()), (&b"FGDUR\0\0\x01"[..], 32));
    [8, 20].map(|at| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("8 bytes")))
}

#[test]
fn a_stored_folder_opens_with_the_stored_state() {
    let folder = TestFolder::copy_of(&fixture("data"), "open");
    let (mut wal, report) = open(folder.path());
    assert_eq!(
        report,
        RecoveryReport {
            snapshot_index: 10,
            replayed_records: 5,
            torn_tail: None,
            damaged_snapshots: vec![]
        }
    );
    assert_stored_state(&wal);
    assert_retries_are_duplicates(&mut wal);
}

#[test]
fn a_stored_folder_opens_without_its_torn_tail() {
    let folder = TestFolder::copy_of(&fixture("torn"), "torn");
    let (mut wal, report) = open(folder.path());
    let torn_tail = Some((TORN_SEGMENT.to_owned(), 20, 40));
    assert_eq!(
        report,
        RecoveryReport { snapshot_index: 10, replayed_records: 5, torn_tail, damaged_snapshots: vec![] }
    );
    assert_stored_state(&wal);
    assert_retries_are_duplicates(&mut wal);
}

#[test]
fn the_stored_watermark_has_the_last_two_indexes() {
    assert_eq!(watermark_slots(&fixture("data")), [15, 14]);
}

#[test]
fn a_log_that_ends_before_the_stored_watermark_is_refused() {
    let folder = TestFolder::copy_of(&fixture("data"), "short");
    fs::remove_file(folder.path().join(NEWEST_SEGMENT)).expect("the newest segment is removed");
    let disk = Disk::open_exclusive(folder.path()).expect("the folder is not in use");
    let error = WriteAheadLog::open(disk, CONFIG).err().expect("the folder is refused");
    assert!(error.reason.contains("15"), "{error}");
}

#[test]
fn the_stored_log_starts_after_the_older_snapshot() {
    let mut records: Vec<Record> = vec![];
    tools::dump(&fixture("data"), |record| records.push(record.clone())).expect("the log is intact");
    let record =
        |index, time_ms, operation, result| Record { index, time_ms: START_MS + time_ms, operation, result };
    let expected = [
        record(8, 1_000, add(1, START_MS, 3, 1, b"requests"), 1_750_001),
        record(9, 1_000, add(1, START_MS, 2, 2, b"requests"), 1_750_003),
        record(10, 1_000, add(2, START_MS, 2, 1 << 52, b"large \xff\0"), 1 << 52),
        record(11, 2_000, open_gateway(1, 9), START_MS as i64 + 2_000),
        record(12, 3_000, add(1, START_MS + 2_000, 1, 1_000, b"requests"), 1_751_003),
        record(13, 3_000, add(2, START_MS, 2 + DEDUP_WINDOW, 5, b"refunds"), -35),
        record(14, 3_000, add(2, START_MS, 3 + DEDUP_WINDOW, 9, b"large \xff\0"), (1 << 52) + 9),
        record(15, 4_000, add(3, START_MS, 3, -1, b"refunds"), -36),
    ];
    assert_eq!(records, expected);
}

#[test]
fn the_same_operations_write_the_stored_bytes() {
    let folder = TestFolder::empty("write");
    write_data(folder.path());
    assert_same_files(&folder, &fixture("data"));
}

#[test]
fn a_power_loss_leaves_the_stored_torn_bytes() {
    let folder = TestFolder::empty("write-torn");
    write_torn_data(folder.path());
    assert_same_files(&folder, &fixture("torn"));
}
