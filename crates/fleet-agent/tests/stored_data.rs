//! The fixture is a fallback version as an earlier build stored it: a process must start from exactly that version.

#[path = "../../storage/tests/common/fixture.rs"]
mod fixture;
#[path = "../../consensus/tests/common/sample.rs"]
mod sample;

use fixture::{assert_same_files, files, TestFolder};
use frostgauge_consensus::Version;
use frostgauge_fleet_agent::{Process, ProcessConfig};
use frostgauge_storage::{Disk, Journal};
use sample::{rules_with_rate, tuning, KEEPERS};
use std::fs;
use std::path::{Path, PathBuf};

/// Name of the journal with the fallback version.
const JOURNAL: &str = "stands";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn version(number: u64) -> Version {
    Version {
        number,
        previous_hash: [7; 32],
        author: "author".into(),
        reason: "why".into(),
        time_ms: 1_800_000_000_000,
        rules: rules_with_rate(number * 1_000),
    }
}

fn open_disk(folder: &TestFolder) -> Disk {
    Disk::open_exclusive(folder.path()).expect("the folder is not in use")
}

/// Stores two versions, one replacing the other, as a process does.
fn write_versions(folder: &TestFolder) {
    let (mut journal, _) = Journal::open(open_disk(folder), JOURNAL).expect("an empty folder opens");
    for number in [59, 60] {
        journal.replace(&[version(number).to_bytes()]).expect("the disk works");
    }
}

fn assert_starts_from_the_stored_version(folder: &TestFolder) {
    let config = ProcessConfig {
        self_id: 4,
        replicas: KEEPERS.into(),
        timing: tuning(),
        random_seed: 9,
        exclusive: true,
    };
    let process =
        Process::start(0, config, None, open_disk(folder)).unwrap_or_else(|error| panic!("{error}"));
    let follower = process.follower();
    assert_eq!(follower.fallback_version(), Some(60));
    assert_eq!(follower.version(60), Some(&version(60)));
}

#[test]
fn a_process_starts_from_exactly_the_stored_version() {
    assert_starts_from_the_stored_version(&TestFolder::copy_of(&fixture("stands"), "open"));
}

#[test]
fn a_torn_frame_after_the_stored_version_is_ignored() {
    let folder = TestFolder::copy_of(&fixture("stands"), "torn");
    let (name, mut bytes) = files(folder.path()).pop_first().expect("the fixture has a journal");
    // The beginning of the first frame, which follows the file header of 8 bytes, is appended as an incomplete frame.
    bytes.extend_from_within(8..38);
    fs::write(folder.path().join(name), bytes).expect("the journal can be written");
    assert_starts_from_the_stored_version(&folder);
}

#[test]
fn the_same_versions_are_stored_as_the_same_bytes() {
    let folder = TestFolder::empty("write");
    write_versions(&folder);
    assert_same_files(&folder, &fixture("stands"));
}
