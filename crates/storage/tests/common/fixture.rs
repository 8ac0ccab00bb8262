//! Fixtures of stored data: folders in the repository that tests copy before they open them, and compare with what the
//! present code writes.
#![allow(dead_code, reason = "each test file uses only some of the functions")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Name of the lock file, in which the process that uses a folder writes its id; it is not part of the stored data.
const LOCK_FILE: &str = "lock";

/// Contents of the files of a folder, by name.
pub type Files = BTreeMap<String, Vec<u8>>;

/// A temporary folder of one test, removed at its end unless the test panics.
pub struct TestFolder(PathBuf);

impl TestFolder {
    /// Creates an empty folder; `name` must be unique among the tests of a test file.
    pub fn empty(name: &str) -> TestFolder {
        let unique_name = format!("stored-data-{}-{name}", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique_name);
        fs::create_dir_all(&path).expect("a folder in the build folder can be created");
        TestFolder(path)
    }

    /// Creates a folder with a copy of a fixture's files.
    pub fn copy_of(fixture: &Path, name: &str) -> TestFolder {
        let folder = TestFolder::empty(name);
        for (file, bytes) in files(fixture) {
            fs::write(folder.path().join(file), bytes).expect("a file can be copied");
        }
        folder
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Reads all files of a folder except its lock file.
pub fn files(folder: &Path) -> Files {
    let mut files = Files::new();
    for entry in fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display())) {
        let entry = entry.expect("the folder can be listed");
        let name = entry.file_name().into_string().expect("file names are valid UTF-8");
        if name != LOCK_FILE {
            files.insert(name, fs::read(entry.path()).expect("the file can be read"));
        }
    }
    files
}

/// Asserts that a folder holds the same files as the fixture, byte for byte.
pub fn assert_same_files(written: &TestFolder, fixture: &Path) {
    let (written_files, stored_files) = (files(written.path()), files(fixture));
    let names = |files: &Files| files.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&written_files), names(&stored_files), "files in {}", written.path().display());
    for (name, bytes) in &written_files {
        assert_eq!(hex(bytes), hex(&stored_files[name]), "{name} in {}", written.path().display());
    }
}

/// Formats bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
