//! Journals on a disk that crashes at any call, fails a sync, fills up or is damaged.

use frostgauge_storage::sim::{FaultPlan, SimDisk};
use frostgauge_storage::{Journal, Storage};

/// Appends and syncs frames 1 to 5, replaces them by one frame that stands for them, then appends and syncs frames 6 and
/// 7; stops at the first error. Returns the disk and the number of the last frame whose sync succeeded.
fn write_frames(disk: SimDisk) -> (SimDisk, usize) {
    let mut acknowledged = 0;
    let Ok((mut journal, _)) = Journal::open(disk.clone(), "keeper") else { return (disk, acknowledged) };
    let mut write = |journal: &mut Journal<SimDisk>| -> std::io::Result<()> {
        for number in 1..=5u8 {
            journal.append(&[number; 700])?;
            journal.sync()?;
            acknowledged = usize::from(number);
        }
        journal.replace(&[[5u8; 9]])?;
        for number in 6..=7u8 {
            journal.append(&[number; 700])?;
            journal.sync()?;
            acknowledged = usize::from(number);
        }
        Ok(())
    };
    let _ = write(&mut journal);
    (journal.into_storage(), acknowledged)
}

/// The number of the last frame that opening the journal returns; 0: no frame.
fn last_frame(disk: SimDisk) -> Result<usize, String> {
    let (_, contents) = Journal::open(disk, "keeper").map_err(|error| error.to_string())?;
    Ok(contents.frames.last().map_or(0, |frame| usize::from(frame[0])))
}

#[test]
fn synced_frames_survive_a_crash_at_any_call() {
    let mut disk = SimDisk::new(1);
    disk.set_fault_plan(FaultPlan::default());
    let calls = write_frames(disk).0.mutating_calls();
    assert!(calls > 20, "a run without faults makes only {calls} mutating calls");
    for crash in 1..=calls {
        for seed in 0..4 {
            let mut disk = SimDisk::new(seed * 1000 + crash);
            disk.set_fault_plan(FaultPlan { crash_at_call: crash, ..FaultPlan::default() });
            let (mut disk, acknowledged) = write_frames(disk);
            disk.restart();
            let found = last_frame(disk).expect("a crash does not damage the journal");
            assert!(
                found >= acknowledged,
                "crash at call {crash}, seed {seed}: frame {acknowledged} was synced, the last frame found is {found}"
            );
        }
    }
}

#[test]
fn the_crash_test_detects_a_disk_that_ignores_syncs() {
    let mut runs_with_loss = 0;
    for crash in 6..30 {
        let mut disk = SimDisk::new(crash);
        disk.set_fault_plan(FaultPlan { crash_at_call: crash, ignore_syncs: true, ..FaultPlan::default() });
        let (mut disk, acknowledged) = write_frames(disk);
        disk.restart();
        runs_with_loss += usize::from(last_frame(disk).map_or(true, |found| found < acknowledged));
    }
    assert!(runs_with_loss > 0, "no run lost a synced frame although syncs were ignored");
}

#[test]
fn a_failed_sync_loses_no_frame_synced_before() {
    for failed_sync in 1..40 {
        let mut disk = SimDisk::new(9);
        disk.set_fault_plan(FaultPlan { failed_sync_at_call: failed_sync, ..FaultPlan::default() });
        let (mut disk, acknowledged) = write_frames(disk);
        disk.reopen();
        // After a failed sync, reads may return bytes that are not durable. Opening the journal rewrites them, so that a
        // loss of power right after it loses nothing.
        let Ok((journal, _)) = Journal::open(disk, "keeper") else {
            panic!("a failed sync must not count as damage")
        };
        let mut disk = journal.into_storage();
        disk.restart();
        let found = last_frame(disk).expect("the journal is not damaged");
        assert!(found >= acknowledged, "failed sync at call {failed_sync}");
    }
}

#[test]
fn a_full_disk_loses_no_synced_frame() {
    for full_from in 1..40 {
        let mut disk = SimDisk::new(4);
        disk.set_fault_plan(FaultPlan {
            full_from_call: full_from,
            full_for_calls: 100,
            ..FaultPlan::default()
        });
        let (mut disk, acknowledged) = write_frames(disk);
        disk.reopen();
        let found = last_frame(disk).expect("the journal is not damaged");
        assert!(found >= acknowledged, "disk full from call {full_from}");
    }
}

#[test]
fn damage_is_reported_with_its_place_and_changes_nothing() {
    let (mut journal, _) = Journal::open(SimDisk::new(2), "keeper").expect("an empty folder opens");
    for number in 1..=3u8 {
        journal.append(&[number; 40]).expect("a small frame is accepted");
    }
    journal.sync().expect("the disk works");
    let mut disk = journal.into_storage();
    let name = disk.list().expect("the disk works").remove(0);
    // A bit of the first frame's contents, which begin after 8 bytes of file header and 8 of frame header.
    disk.flip_bit(&name, (8 + 20) * 8);
    let error = Journal::open(disk.clone(), "keeper").expect_err("a frame is damaged");
    assert!(error.to_string().contains(&format!("{name} at byte 8")), "{error}");
    assert_eq!(disk.list().expect("the disk works"), std::slice::from_ref(&name));
    disk.flip_bit(&name, 0);
    let error = Journal::open(disk, "keeper").expect_err("the magic is wrong");
    assert!(error.to_string().contains("at byte 0"), "{error}");
}

#[test]
fn empty_and_oversized_frames_are_rejected() {
    let (mut journal, contents) = Journal::open(SimDisk::new(2), "keeper").expect("an empty folder opens");
    assert!(contents.is_new && journal.is_empty());
    assert!(journal.append(&[]).is_err());
    assert!(journal.append(&vec![0; frostgauge_storage::journal::MAX_FRAME_BYTES + 1]).is_err());
}
