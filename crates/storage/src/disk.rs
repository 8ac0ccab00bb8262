//! [`Storage`] in a folder on disk, which one process at a time can open for writing.

use crate::Storage;
use rustix::fs::FlockOperation;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Name of the file whose lock a process holds while it uses the folder; it contains the id of that process.
const LOCK_FILE: &str = "lock";

/// Why a folder cannot be opened for exclusive use.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The folder cannot be created, or its lock file cannot be opened or written.
    #[error("cannot create or lock the folder {}: {source}", folder.display())]
    Io {
        /// The folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error("the folder {} is in use by process {process}", folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
        /// The id of that process, as it wrote it to the lock file; empty if the file cannot be read.
        process: String,
    },
}

/// A folder on disk, locked while the value lives if it was opened by [`Disk::open_exclusive`].
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    /// Files opened for writing, by name; they stay open until they are removed.
    open_files: BTreeMap<String, File>,
    _lock: Option<File>,
    sync_delay: Duration,
}

impl Disk {
    /// Opens a folder for this process alone and locks it; creates the folder if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be created or locked, or another process holds its lock.
    pub fn open_exclusive(folder: &Path) -> Result<Disk, DiskError> {
        let io_error = |source: io::Error| DiskError::Io { folder: folder.to_path_buf(), source };
        std::fs::create_dir_all(folder).map_err(io_error)?;
        let path = folder.join(LOCK_FILE);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path)
            .map_err(io_error)?;
        if rustix::fs::flock(&lock, FlockOperation::NonBlockingLockExclusive).is_err() {
            let lock_file = std::fs::read_to_string(path).unwrap_or_default();
            let process = lock_file.trim().to_owned();
            return Err(DiskError::InUse { folder: folder.to_path_buf(), process });
        }
        lock.set_len(0).map_err(io_error)?;
        lock.write_all_at(format!("{}\n", std::process::id()).as_bytes(), 0).map_err(io_error)?;
        Ok(Disk { _lock: Some(lock), ..Disk::open_read_only(folder) })
    }

    /// Adds a delay to each sync of a file, to measure with a slower disk.
    #[must_use]
    pub fn with_sync_delay(self, sync_delay: Duration) -> Disk {
        Disk { sync_delay, ..self }
    }

    /// Opens a folder for reading, without locking it: another process may be writing to it.
    pub fn open_read_only(folder: &Path) -> Disk {
        Disk {
            folder: folder.to_path_buf(),
            open_files: BTreeMap::new(),
            _lock: None,
            sync_delay: Duration::ZERO,
        }
    }

    /// An existing file, opened for writing unless it is open already.
    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new().read(true).write(true).open(self.folder.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get(name).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Storage for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = vec![];
        for entry in std::fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read_at(&self, name: &str, at: u64, buf: &mut [u8]) -> io::Result<usize> {
        match self.open_files.get(name) {
            Some(file) => file.read_at(buf, at),
            None => File::open(self.folder.join(name))?.read_at(buf, at),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.folder.join(name);
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(path)?;
        self.open_files.insert(name.to_owned(), file);
        Ok(())
    }

    fn write_at(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, at)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()?;
        if !self.sync_delay.is_zero() {
            std::thread::sleep(self.sync_delay);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.folder.join(from), self.folder.join(to))?;
        if let Some(file) = self.open_files.remove(from) {
            self.open_files.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        std::fs::remove_file(self.folder.join(name))
    }

    fn location(&self) -> String {
        self.folder.display().to_string()
    }
}
