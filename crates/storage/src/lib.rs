//! Durable storage: a folder of files as a trait, with implementations on disk and in memory (with injected faults), and
//! a journal of frames on top of it.
//!
//! The counter service's write-ahead log, the logs of the consensus replicas and the fallback versions of gateways are
//! stored through it.

mod disk;
pub mod journal;
pub mod sim;

pub use disk::{Disk, DiskError};
pub use journal::{Journal, JournalError};

use std::io::{self, ErrorKind};

/// Size of the buffer that [`read`] reads into, bytes.
const READ_CHUNK_BYTES: usize = 256 << 10;

/// A folder of files. Bytes of a file are durable only once a `sync` of that file has succeeded, and names of files
/// only once a `sync_folder` has. After a failed sync the contents of that file are unknown.
pub trait Storage: Send {
    /// Names of all files in the folder.
    ///
    /// # Errors
    /// The error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads bytes of a file from the byte offset `at` and returns how many were read. It may read fewer than `buf`
    /// holds before the end of the file; only 0 means that the offset is at the end or beyond.
    ///
    /// # Errors
    /// The error of the operating system.
    fn read_at(&self, name: &str, at: u64, buf: &mut [u8]) -> io::Result<usize>;

    /// Creates an empty file.
    ///
    /// # Errors
    /// A file of that name exists, or the error of the operating system.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes bytes to a file from the byte offset `at`. If it fails, any part of them may have been written.
    ///
    /// # Errors
    /// The error of the operating system.
    fn write_at(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of a file to `len` bytes.
    ///
    /// # Errors
    /// The error of the operating system.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Makes a file's bytes durable.
    ///
    /// # Errors
    /// The error of the operating system. What was written since the last successful sync may then be lost, even if a
    /// later sync succeeds.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names of files durable: their creation, renaming and removal.
    ///
    /// # Errors
    /// The error of the operating system.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Renames a file; a file that has the new name already is replaced.
    ///
    /// # Errors
    /// The error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The error of the operating system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Where the folder is, for error messages and logs.
    fn location(&self) -> String;
}

/// Reads a whole file.
///
/// # Errors
/// The error of the operating system.
pub fn read(storage: &(impl Storage + ?Sized), name: &str) -> io::Result<Vec<u8>> {
    let mut contents = vec![];
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        match storage.read_at(name, contents.len() as u64, &mut chunk) {
            Ok(0) => return Ok(contents),
            Ok(bytes_read) => contents.extend_from_slice(&chunk[..bytes_read]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether an error means that the disk is full (`ENOSPC`) or a quota is used up (`EDQUOT`).
pub fn is_out_of_space(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}
