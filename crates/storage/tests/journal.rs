//! The journal through crashes at every call, failed syncs, and damage.

use frostgauge_storage::sim::{FaultPlan, SimDisk};
use frostgauge_storage::{Journal, Storage};

/// Appends five frames, replaces all by one that counts them, appends two more; how many were told as durable.
fn work(disk: SimDisk) -> (SimDisk, usize) {
    let mut told = 0;
    let Ok((mut journal, _)) = Journal::open(disk.clone(), "keeper") else { return (disk, told) };
    let mut run = |journal: &mut Journal<SimDisk>| -> std::io::Result<()> {
        for k in 1..=5u8 {
            journal.append(&[k; 700])?;
            journal.sync()?;
            told = usize::from(k);
        }
        journal.replace(&[[5u8; 9]])?;
        for k in 6..=7u8 {
            journal.append(&[k; 700])?;
            journal.sync()?;
            told = usize::from(k);
        }
        Ok(())
    };
    let _ = run(&mut journal);
    (journal.into_storage(), told)
}

/// The highest frame that opening gives, each in its place.
fn highest(disk: SimDisk) -> Result<usize, String> {
    let (_, found) = Journal::open(disk, "keeper").map_err(|e| e.to_string())?;
    Ok(found.frames.last().map_or(0, |f| usize::from(f[0])))
}

#[test]
fn what_was_told_as_durable_is_there_after_a_crash_at_any_call() {
    let mut disk = SimDisk::new(1);
    disk.set_fault_plan(FaultPlan::default());
    let calls = work(disk).0.mutating_calls();
    assert!(calls > 20, "the walk through all calls saw only {calls}");
    for crash in 1..=calls {
        for seed in 0..4 {
            let mut disk = SimDisk::new(seed * 1000 + crash);
            disk.set_fault_plan(FaultPlan { crash_at_call: crash, ..FaultPlan::default() });
            let (mut disk, told) = work(disk);
            disk.restart();
            let there = highest(disk).expect("a crash is no damage");
            assert!(there >= told, "crash at call {crash}, seed {seed}: {told} told, {there} there");
        }
    }
}

#[test]
fn a_disk_that_lies_about_syncs_is_found_out_by_the_same_walk() {
    let mut lost = 0;
    for crash in 6..30 {
        let mut disk = SimDisk::new(crash);
        disk.set_fault_plan(FaultPlan { crash_at_call: crash, ignore_syncs: true, ..FaultPlan::default() });
        let (mut disk, told) = work(disk);
        disk.restart();
        lost += usize::from(highest(disk).map_or(true, |there| there < told));
    }
    assert!(lost > 0, "the walk must fail on a planted fault");
}

#[test]
fn a_failed_sync_is_told_and_what_it_dropped_was_told_to_nobody() {
    for bad_sync in 1..40 {
        let mut disk = SimDisk::new(9);
        disk.set_fault_plan(FaultPlan { failed_sync_at_call: bad_sync, ..FaultPlan::default() });
        let (mut disk, told) = work(disk);
        disk.reopen();
        // What reads show may be on no disk: opening writes it anew, so a loss of power right after loses nothing.
        let Ok((journal, _)) = Journal::open(disk, "keeper") else { panic!("a failed sync is no damage") };
        let mut disk = journal.into_storage();
        disk.restart();
        assert!(highest(disk).expect("no damage") >= told, "failed sync at call {bad_sync}");
    }
}

#[test]
fn a_full_disk_is_an_error_and_loses_nothing() {
    for full in 1..40 {
        let mut disk = SimDisk::new(4);
        disk.set_fault_plan(FaultPlan { full_from_call: full, full_for_calls: 100, ..FaultPlan::default() });
        let (mut disk, told) = work(disk);
        disk.reopen();
        assert!(highest(disk).expect("no damage") >= told, "full from call {full}");
    }
}

#[test]
fn damage_before_the_end_is_refused_with_file_and_place_and_changes_nothing() {
    let (mut journal, _) = Journal::open(SimDisk::new(2), "keeper").expect("an empty folder");
    for k in 1..=3u8 {
        journal.append(&[k; 40]).expect("a small frame");
    }
    journal.sync().expect("synced");
    let mut disk = journal.into_storage();
    let name = disk.list().expect("listed").remove(0);
    disk.flip_bit(&name, (8 + 20) * 8);
    let refused = Journal::open(disk.clone(), "keeper").expect_err("a damaged frame");
    assert!(refused.to_string().contains(&format!("{name} at byte 8")), "{refused}");
    assert_eq!(disk.list().expect("listed"), std::slice::from_ref(&name));
    disk.flip_bit(&name, 0);
    let refused = Journal::open(disk, "keeper").expect_err("another format");
    assert!(refused.to_string().contains("at byte 0"), "{refused}");
}

#[test]
fn a_frame_that_is_empty_or_too_long_is_not_taken() {
    let (mut journal, found) = Journal::open(SimDisk::new(2), "keeper").expect("an empty folder");
    assert!(found.is_new && journal.is_empty());
    assert!(journal.append(&[]).is_err());
    assert!(journal.append(&vec![0; frostgauge_storage::journal::MAX_FRAME_BYTES + 1]).is_err());
}
